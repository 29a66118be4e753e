//! Engines that start while wall clocks are stepped. Times are microseconds on the node's clock.

use elderstage::{ServerId, Time};
use elderstage_platform::engine_start::EngineStarts;

const SECOND: Time = 1_000_000;
const HOUR: Time = 3_600 * SECOND;
const NOW: Time = 1_790_000_000 * SECOND;

/// How old an engine is held to be that started so long ago, where the wall clock of the engines' machines and that of the
/// node's own have been stepped by so much since the node's start.
fn age(true_age: Time, theirs: i64, own: i64) -> Time {
    let mut starts = EngineStarts::default();
    starts.set_wall_clock_offset(own);
    let told = (NOW - true_age).saturating_add_signed(theirs);
    NOW - starts.to_node_clock(&ServerId("s".into()), told, NOW)
}

#[test]
fn an_engine_that_has_just_started_is_never_held_to_be_warm() {
    for step in [SECOND, 30 * SECOND, HOUR].map(|step| step as i64) {
        for (theirs, own) in [(step, step), (-step, -step), (0, step), (0, -step), (0, 0)] {
            let held = age(2 * SECOND, theirs, own);
            assert!(held <= 2 * SECOND, "{theirs} {own}: held to be {held} old");
        }
    }
}

#[test]
fn an_engine_is_not_cold_for_as_long_as_a_step() {
    let mut starts = EngineStarts::default();
    starts.set_wall_clock_offset(HOUR as i64);
    let server = ServerId("s".into());
    let told = NOW + HOUR - 2 * SECOND;
    let placed = starts.to_node_clock(&server, told, NOW);
    assert!(placed <= NOW, "its cold time begins by now");
    // Told again with the next lists, also after the wall clock has been set right: it grows older all the same.
    starts.set_wall_clock_offset(0);
    assert_eq!(starts.to_node_clock(&server, told, NOW + 20 * SECOND), placed);
    // A new start counts anew.
    let again = starts.to_node_clock(&server, NOW + 29 * SECOND, NOW + 30 * SECOND);
    assert_eq!(again, NOW + 29 * SECOND);
}

#[test]
fn a_start_long_ago_stays_long_ago_and_clocks_that_agree_change_nothing() {
    let mut starts = EngineStarts::default();
    let server = ServerId("s".into());
    assert_eq!(starts.to_node_clock(&server, 0, NOW), 0);
    assert_eq!(starts.to_node_clock(&server, NOW - 5 * SECOND, NOW), NOW - 5 * SECOND);
}
