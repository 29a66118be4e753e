//! Engines with several addresses, some of which are faulty. The tests use real sockets, and the rules of the
//! rehearsal check the recorded traffic.

mod common;

use std::collections::BTreeMap;

use common::{CallEnd, TestCluster};
use elderstage_protocol::place::AddressFamily;
use elderstage_rehearsal::fleet::Site;
use elderstage_standin::host::AddressFault;
use elderstage_standin::traffic::{Record, TrafficEvent};

const ALL_FAMILIES: [AddressFamily; 3] = [AddressFamily::Unix, AddressFamily::V6, AddressFamily::V4];

fn set_families(families: &'static [AddressFamily]) -> impl Fn(&mut Site) {
    move |site| site.engines.iter_mut().for_each(|engine| engine.address_families = families.to_vec())
}

const ORDER: &str = "[words 3] [call place_order]";

/// How often each turn was received by a writer.
fn count_receipts(records: &[Record]) -> BTreeMap<String, u32> {
    let mut received = BTreeMap::new();
    for record in records {
        if let TrafficEvent::Received { rid, task, .. } = &record.what
            && task != "read"
        {
            let turn = rid.rsplit_once('/').map_or(rid.as_str(), |(turn, _)| turn);
            *received.entry(turn.to_owned()).or_default() += 1;
        }
    }
    received
}

fn serve_orders(cluster: &TestCluster, number: usize) {
    for _ in 0..number {
        cluster.call("order", ORDER).expect_served();
        cluster.call("ask", "what is this [words 2]").expect_served();
    }
}

/// While one address works, every call is served whatever the fault of the others, and no turn reaches a writer
/// twice.
fn assert_served_despite(preferred: AddressFamily, fault: AddressFault) {
    let cluster = TestCluster::start(set_families(&ALL_FAMILIES), "", "");
    cluster.set_fault(None, preferred, fault);
    serve_orders(&cluster, 4);
    // The fault is cleared and set again, so that it also hits connections that are in use or idle in the pool.
    cluster.set_fault(None, preferred, AddressFault::None);
    cluster.wait_until_metric("elderstage_addresses_failing", |failing| failing == 0);
    serve_orders(&cluster, 2);
    cluster.set_fault(None, preferred, fault);
    serve_orders(&cluster, 2);
    let records = cluster.finish_and_check();
    let received = count_receipts(&records);
    assert!(received.len() >= 16 && received.values().all(|times| *times == 1), "{fault:?}: {received:?}");
}

#[test]
fn calls_survive_addresses_that_refuse_or_are_missing() {
    assert_served_despite(AddressFamily::Unix, AddressFault::Missing);
    assert_served_despite(AddressFamily::Unix, AddressFault::Refuses);
    assert_served_despite(AddressFamily::V6, AddressFault::Refuses);
}

#[test]
fn calls_survive_addresses_that_drop_connects_silently() {
    assert_served_despite(AddressFamily::Unix, AddressFault::Silent);
}

#[test]
fn calls_survive_addresses_that_accept_and_never_answer() {
    assert_served_despite(AddressFamily::Unix, AddressFault::Stalls);
}

#[test]
fn calls_survive_addresses_that_close_connections_at_once_or_on_a_request() {
    assert_served_despite(AddressFamily::Unix, AddressFault::Closes);
    assert_served_despite(AddressFamily::Unix, AddressFault::ClosesOnRequest);
}

#[test]
fn calls_survive_addresses_that_are_slow_or_do_not_support_100_continue() {
    assert_served_despite(AddressFamily::Unix, AddressFault::Slow);
    assert_served_despite(AddressFamily::Unix, AddressFault::Unexpected);
}

/// IPv6 is preferred, and its addresses accept connections but never answer: orders go over IPv4, arrive once and
/// succeed.
#[test]
fn orders_avoid_an_ipv6_address_that_accepts_and_stalls() {
    let cluster = TestCluster::start(set_families(&[AddressFamily::V6, AddressFamily::V4]), "", "");
    serve_orders(&cluster, 1);
    cluster.set_fault(None, AddressFamily::V6, AddressFault::Stalls);
    serve_orders(&cluster, 5);
    assert!(cluster.metric("elderstage_proofs_failed_total") > 0);
    let received = count_receipts(&cluster.finish_and_check());
    assert!(received.values().all(|times| *times == 1), "{received:?}");
}

/// The engine answered 100 and got the body, so the order may have run and must not be sent again.
#[test]
fn an_order_whose_body_was_sent_fails_and_is_not_repeated() {
    for fault in
        [AddressFault::StallsAfterContinue, AddressFault::StallsAfterHead, AddressFault::StallsInBody]
    {
        let short_give_up = |site: &mut Site| {
            set_families(&[AddressFamily::V6, AddressFamily::V4])(site);
            site.extra_directives = site.extra_directives.replace("give-up 12s", "give-up 3s");
        };
        let cluster = TestCluster::start(short_give_up, "stall 1s", "");
        for writer in ["w1", "w2", "m1"] {
            cluster.set_fault(Some(writer), AddressFamily::V6, fault);
        }
        let end = cluster.call("order", ORDER).wait_for_end();
        assert!(matches!(end, CallEnd::Failed(_)), "{fault:?}: {end:?}");
        assert!(count_receipts(&cluster.finish_and_check()).values().all(|times| *times == 1), "{fault:?}");
    }
}

#[test]
fn calls_are_refused_with_retry_after_when_all_addresses_fail() {
    let cluster = TestCluster::start(set_families(&ALL_FAMILIES), "", "");
    for family in ALL_FAMILIES {
        cluster.set_fault(None, family, AddressFault::Refuses);
    }
    for route in ["ask", "order"] {
        let end = cluster.call(route, "anyone there").wait_for_end();
        assert!(matches!(end, CallEnd::Refused { retry_after_ms: Some(_), .. }), "{end:?}");
    }
    cluster.set_fault(None, AddressFamily::V4, AddressFault::None);
    cluster.wait_until_metric("elderstage_addresses_failing", |failing| failing <= 10);
    let records = cluster.finish_and_check();
    assert_eq!(count_receipts(&records).len(), 0);
}

/// An address family that fails on all servers is reported as down, and as up again when it recovers.
#[test]
fn a_dead_address_family_is_reported_and_recovers() {
    let cluster = TestCluster::start(set_families(&[AddressFamily::V6, AddressFamily::V4]), "", "");
    cluster.set_fault(None, AddressFamily::V6, AddressFault::Refuses);
    let down = "elderstage_address_family_down{family=\"ipv6\"}";
    for _ in 0..40 {
        if cluster.metric(down) == 1 {
            break;
        }
        serve_orders(&cluster, 1);
    }
    cluster.wait_until_metric(down, |down| down == 1);
    let failed_dials = cluster.metric("elderstage_dials_failed_total");
    serve_orders(&cluster, 5);
    assert_eq!(
        cluster.metric("elderstage_dials_failed_total"),
        failed_dials,
        "requests must not dial a family that is down"
    );
    cluster.set_fault(None, AddressFamily::V6, AddressFault::None);
    cluster.wait_until_metric(down, |down| down == 0);
    cluster.wait_until_metric("elderstage_addresses_failing", |failing| failing == 0);
    assert!(cluster.metric("elderstage_address_trials_total") > 0);
    serve_orders(&cluster, 2);
    cluster.finish_and_check();
}

/// After the drain grace, the front closes its connections to servers that left the list, also those that become
/// free later.
#[test]
fn connections_to_a_removed_server_are_closed() {
    let cluster = TestCluster::start(set_families(&ALL_FAMILIES), "", "drain-grace 300ms");
    serve_orders(&cluster, 3);
    let open = || ["w1", "w2"].map(|name| cluster.host(name).connections());
    assert!(open().iter().sum::<usize>() > 0);
    let list = cluster.fleet.server_list_text(
        &cluster
            .fleet
            .initial_states
            .iter()
            .map(|(name, state)| (name.clone(), if name.starts_with('w') { "gone" } else { *state }))
            .collect(),
    );
    std::fs::write(cluster.dir.join("servers.conf"), list).unwrap();
    let deadline = std::time::Instant::now() + common::MAX_WAIT;
    while open() != [0, 0] {
        assert!(std::time::Instant::now() < deadline, "{:?}", open());
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    serve_orders(&cluster, 1);
    cluster.finish_and_check();
}

/// The order of addresses changes during attempts, and one engine is listed under two names.
#[test]
fn addresses_may_change_during_attempts_and_one_engine_may_have_two_names() {
    let cluster = TestCluster::start(set_families(&[AddressFamily::V6, AddressFamily::V4]), "", "");
    let original = cluster.fleet.server_list_text(&cluster.fleet.initial_states);
    let reversed: String = original
        .lines()
        .map(|line| match line.trim().strip_prefix("address ").and_then(|list| list.split_once(' ')) {
            Some((first, second)) => format!("address {second} {first}\n"),
            None => format!("{line}\n"),
        })
        .collect();
    let twin = original.replacen("server w1 {", "server w1-twin {", 1);
    let twin = twin[twin.find("server w1-twin").unwrap()..].split_inclusive("}\n").next().unwrap().to_owned();
    let mut calls = Vec::new();
    for round in 0..12 {
        let list = if round % 2 == 0 { format!("{reversed}{twin}") } else { original.clone() };
        std::fs::write(cluster.dir.join("servers.part"), list).unwrap();
        std::fs::rename(cluster.dir.join("servers.part"), cluster.dir.join("servers.conf")).unwrap();
        for _ in 0..4 {
            calls.push(cluster.call("order", ORDER));
        }
        std::thread::sleep(std::time::Duration::from_millis(60));
    }
    for mut call in calls {
        let end = call.wait_for_end();
        // An order on a server that was removed from the list is served too, since the server drains.
        assert!(matches!(end, CallEnd::Served(_) | CallEnd::Refused { .. }), "{end:?}");
    }
    let received = count_receipts(&cluster.finish_and_check());
    assert!(received.values().all(|times| *times == 1), "{received:?}");
}

/// An exhausted dial budget must not count as a dead server: requests wait for their dials and are served.
#[test]
fn a_small_dial_budget_delays_calls_and_loses_none() {
    let extra = "connections {\n dials-per-second 40\n dials-at-once 2\n per-server 64\n in-all 64\n}\n";
    let edit = |text: String, _: &elderstage_rehearsal::fleet::Fleet| text + extra;
    let cluster = TestCluster::with_config(set_families(&ALL_FAMILIES), "", "", edit);
    let mut calls: Vec<_> = (0..8).map(|_| cluster.call("ask", "many at once [words 4]")).collect();
    let ends: Vec<CallEnd> = calls.iter_mut().map(|call| call.wait_for_end()).collect();
    assert!(ends.iter().all(|end| !matches!(end, CallEnd::Failed(_))), "{ends:?}");
    assert!(ends.iter().any(|end| matches!(end, CallEnd::Served(_))), "{ends:?}");
    cluster.finish_and_check();
}
