//! Simulations of servers with failing addresses: limits on lost requests, delays and dials that hold for any seed.

use elderstage_rehearsal::paths::{AddressBehavior, Policy, one_server, outage, restart};

const MS: u64 = 1_000;
/// The delay between two connects of RFC 8305, plus a round trip of the model and the proof.
const MAX_SEND_DELAY: u64 = 250 * MS;

#[test]
fn one_working_address_loses_no_request_and_a_learned_fault_adds_no_delay() {
    for behavior in [
        AddressBehavior::Refuses,
        AddressBehavior::Silent,
        AddressBehavior::Stalls,
        AddressBehavior::Closes,
        AddressBehavior::Slow,
    ] {
        for seed in 1..4 {
            let summary = one_server(behavior, 0, Policy::Learned, seed);
            assert!(summary.requests > 2_000);
            assert_eq!(summary.failed, 0, "{behavior:?}");
            // No delay exceeds the time that the core allows. Once the fault is learned, delays are well below it.
            assert!(
                summary.send_delays_us.max() <= MAX_SEND_DELAY,
                "{behavior:?}: {}",
                summary.send_delays_us.max()
            );
            assert!(summary.learned_send_delays_us.value_at_quantile(0.99) < 130 * MS, "{behavior:?}");
        }
    }
}

#[test]
fn learning_is_ten_times_faster_than_both_baselines() {
    for behavior in [AddressBehavior::Silent, AddressBehavior::Stalls] {
        let p99 = |policy| one_server(behavior, 0, policy, 7).learned_send_delays_us.value_at_quantile(0.99);
        let (learned, race, sequential) = (p99(Policy::Learned), p99(Policy::Race), p99(Policy::Sequential));
        assert!(
            learned * 10 < race && learned * 10 < sequential,
            "{behavior:?}: {learned} {race} {sequential}"
        );
    }
}

#[test]
fn a_flapping_address_loses_no_request() {
    let summary = one_server(AddressBehavior::Stalls, 3_000 * MS, Policy::Learned, 3);
    assert_eq!(summary.failed, 0);
    assert!(summary.send_delays_us.max() <= MAX_SEND_DELAY);
}

/// An outage of one address family at 60 servers: every front detects it within a second, keeps to its dial budget,
/// and uses the family again within 16 s of its return.
#[test]
fn every_front_demotes_a_dead_family_and_recovers_it() {
    for fronts in [1, 4, 16] {
        let summary = outage(fronts, 60, 11);
        assert_eq!(summary.failed, 0, "{fronts} fronts");
        assert!(
            summary.demoted_after.is_some_and(|took| took <= 1_000 * MS),
            "{fronts}: {:?}",
            summary.demoted_after
        );
        assert!(
            summary.recovered_after.is_some_and(|took| took <= 16_000 * MS),
            "{fronts}: {:?}",
            summary.recovered_after
        );
        // The dial budget of each front: 200 a second, and 100 at once.
        assert!(summary.dials_per_s_peak <= 300 * fronts as u64, "{fronts}: {}", summary.dials_per_s_peak);
    }
}

/// Half of the servers restart: no front considers a family down, each keeps to its dial budget, and all addresses
/// are used again.
#[test]
fn a_restart_of_half_the_servers_causes_no_dial_storm_and_demotes_no_family() {
    for fronts in [1, 4, 16] {
        let summary = restart(fronts, 60, 5);
        assert_eq!(summary.demoted_after, None, "{fronts} fronts");
        assert!(summary.dials_per_s_peak <= 300 * fronts as u64, "{fronts}: {}", summary.dials_per_s_peak);
        assert!(
            summary.recovered_after.is_some_and(|took| took <= 16_000 * MS),
            "{fronts}: {:?}",
            summary.recovered_after
        );
    }
}
