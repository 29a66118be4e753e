//! Addresses that fail, in simulated time: bounds that hold whatever the seed.

use elderstage_rehearsal::paths::{Path, Policy, one_server, outage, restart};

const MS: u64 = 1_000;
/// RFC 8305's delay between two connects, and a round trip of the model with its proof.
const DELAY: u64 = 250 * MS;

#[test]
fn no_request_is_lost_while_one_address_works_and_a_learned_fault_costs_no_delay() {
    for path in [Path::Refuses, Path::Silent, Path::Stalls, Path::Closes, Path::Slow] {
        for seed in 1..4 {
            let out = one_server(path, 0, Policy::Learned, seed);
            assert!(out.requests > 2_000);
            assert_eq!(out.failed, 0, "{path:?}");
            // Never more than the time that the module gave, and once learned below the delay.
            assert!(out.delays.max() <= DELAY, "{path:?}: {}", out.delays.max());
            assert!(out.learned.value_at_quantile(0.99) < 130 * MS, "{path:?}");
        }
    }
}

#[test]
fn what_was_learned_beats_both_baselines() {
    for path in [Path::Silent, Path::Stalls] {
        let p99 = |policy| one_server(path, 0, policy, 7).learned.value_at_quantile(0.99);
        let (learned, race, in_turn) = (p99(Policy::Learned), p99(Policy::Race), p99(Policy::InTurn));
        assert!(learned * 10 < race && learned * 10 < in_turn, "{path:?}: {learned} {race} {in_turn}");
    }
}

#[test]
fn a_flapping_address_loses_nothing() {
    let out = one_server(Path::Stalls, 3_000 * MS, Policy::Learned, 3);
    assert_eq!(out.failed, 0);
    assert!(out.delays.max() <= DELAY);
}

/// A dead network over 60 servers: found at once, without a storm of dials, and taken back when it returns.
#[test]
fn a_dead_family_is_demoted_and_recovered_by_every_front() {
    for fronts in [1, 4, 16] {
        let out = outage(fronts, 60, 11);
        assert_eq!(out.failed, 0, "{fronts} fronts");
        assert!(out.demoted.is_some_and(|took| took <= 1_000 * MS), "{fronts}: {:?}", out.demoted);
        assert!(out.recovered.is_some_and(|took| took <= 16_000 * MS), "{fronts}: {:?}", out.recovered);
        // The budget of each front: 200 a second and 100 at once.
        assert!(out.dials_peak <= 300 * fronts as u64, "{fronts}: {}", out.dials_peak);
    }
}

/// Half the fleet restarts: no family is held to be dead, the budget holds, and all addresses are taken back.
#[test]
fn a_restart_of_half_the_fleet_is_no_storm_and_no_dead_network() {
    for fronts in [1, 4, 16] {
        let out = restart(fronts, 60, 5);
        assert_eq!(out.demoted, None, "{fronts} fronts");
        assert!(out.dials_peak <= 300 * fronts as u64, "{fronts}: {}", out.dials_peak);
        assert!(out.recovered.is_some_and(|took| took <= 16_000 * MS), "{fronts}: {:?}", out.recovered);
    }
}
