//! Tests of the start times of engines while wall clocks are stepped. Times are in microseconds on the node's clock.

use elderstage::{ServerId, Time};
use elderstage_platform::engine_start::EngineStarts;

const SECOND: Time = 1_000_000;
const HOUR: Time = 3_600 * SECOND;
const NOW: Time = 1_790_000_000 * SECOND;

/// Returns the computed age of an engine of a known true age. The wall clock of the engine's machine has been stepped by
/// `engine_step` since the node's start, and that of the node's machine by `node_step`.
fn computed_age(true_age: Time, engine_step: i64, node_step: i64) -> Time {
    let mut starts = EngineStarts::default();
    starts.set_wall_clock_offset(node_step);
    let wall_time = (NOW - true_age).saturating_add_signed(engine_step);
    NOW - starts.to_node_clock(&ServerId("s".into()), wall_time, NOW)
}

#[test]
fn an_engine_that_has_just_started_never_counts_as_warm() {
    for step in [SECOND, 30 * SECOND, HOUR].map(|step| step as i64) {
        for (engine_step, node_step) in [(step, step), (-step, -step), (0, step), (0, -step), (0, 0)] {
            let age = computed_age(2 * SECOND, engine_step, node_step);
            assert!(age <= 2 * SECOND, "steps {engine_step} and {node_step}: computed age {age}");
        }
    }
}

#[test]
fn an_engine_does_not_stay_cold_for_the_length_of_a_clock_step() {
    let mut starts = EngineStarts::default();
    starts.set_wall_clock_offset(HOUR as i64);
    let server = ServerId("s".into());
    let wall_time = NOW + HOUR - 2 * SECOND;
    let node_time = starts.to_node_clock(&server, wall_time, NOW);
    assert!(node_time <= NOW, "the cold time starts now at the latest");
    // Later lists report the same start, also after the wall clock was corrected: the engine keeps its start and ages.
    starts.set_wall_clock_offset(0);
    assert_eq!(starts.to_node_clock(&server, wall_time, NOW + 20 * SECOND), node_time);
    // A new start of the engine is converted again.
    let restarted = starts.to_node_clock(&server, NOW + 29 * SECOND, NOW + 30 * SECOND);
    assert_eq!(restarted, NOW + 29 * SECOND);
}

#[test]
fn a_start_of_zero_stays_zero_and_agreeing_clocks_change_nothing() {
    let mut starts = EngineStarts::default();
    let server = ServerId("s".into());
    assert_eq!(starts.to_node_clock(&server, 0, NOW), 0);
    assert_eq!(starts.to_node_clock(&server, NOW - 5 * SECOND, NOW), NOW - 5 * SECOND);
}
