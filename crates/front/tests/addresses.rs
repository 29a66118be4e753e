//! Engines with several addresses, and what goes wrong with some of them: through real sockets, judged by the rules.

mod common;

use std::collections::BTreeMap;

use common::{End, World};
use elderstage_protocol::place::Family;
use elderstage_rehearsal::fleet::Site;
use elderstage_standin::host::DoorFault;
use elderstage_standin::traffic::{Record, Seen};

const WAYS: [Family; 3] = [Family::Unix, Family::V6, Family::V4];

fn ways(ways: &'static [Family]) -> impl Fn(&mut Site) {
    move |site| site.engines.iter_mut().for_each(|engine| engine.ways = ways.to_vec())
}

const ORDER: &str = "[words 3] [call place_order]";

/// Receipts of attempts at writers, by request.
fn receipts(records: &[Record]) -> BTreeMap<String, u32> {
    let mut seen = BTreeMap::new();
    for record in records {
        if let Seen::Received { rid, task, .. } = &record.what
            && task != "read"
        {
            let turn = rid.rsplit_once('/').map_or(rid.as_str(), |(turn, _)| turn);
            *seen.entry(turn.to_owned()).or_default() += 1;
        }
    }
    seen
}

fn orders(world: &World, number: usize) {
    for _ in 0..number {
        world.call("order", ORDER).served();
        world.call("ask", "what is this [words 2]").served();
    }
}

/// While one address works nothing is lost, whatever is wrong with the others; no attempt arrives twice.
fn survives(preferred: Family, fault: DoorFault) {
    let world = World::start(ways(&WAYS), "", "");
    world.fault(None, preferred, fault);
    orders(&world, 4);
    // The fault comes over connections that are in use and in the pool, and goes again.
    world.fault(None, preferred, DoorFault::None);
    world.until_metric("elderstage_addresses_failing", |failing| failing == 0);
    orders(&world, 2);
    world.fault(None, preferred, fault);
    orders(&world, 2);
    let records = world.finish();
    let seen = receipts(&records);
    assert!(seen.len() >= 16 && seen.values().all(|times| *times == 1), "{fault:?}: {seen:?}");
}

#[test]
fn addresses_that_refuse_or_are_missing() {
    survives(Family::Unix, DoorFault::Missing);
    survives(Family::Unix, DoorFault::Refuses);
    survives(Family::V6, DoorFault::Refuses);
}

#[test]
fn addresses_that_drop_connects_silently() {
    survives(Family::Unix, DoorFault::Silent);
}

#[test]
fn addresses_that_take_connections_and_say_nothing() {
    survives(Family::Unix, DoorFault::Stalls);
}

#[test]
fn addresses_that_close_connections_at_once_or_on_a_request() {
    survives(Family::Unix, DoorFault::Closes);
    survives(Family::Unix, DoorFault::ClosesOnRequest);
}

#[test]
fn addresses_that_are_slow_or_do_not_know_the_expectation() {
    survives(Family::Unix, DoorFault::Slow);
    survives(Family::Unix, DoorFault::Unexpected);
}

/// IPv6 first, and it takes connections without a word: orders go by IPv4 and arrive once; nothing fails.
#[test]
fn ipv6_that_accepts_and_stalls() {
    let world = World::start(ways(&[Family::V6, Family::V4]), "", "");
    orders(&world, 1);
    world.fault(None, Family::V6, DoorFault::Stalls);
    orders(&world, 5);
    assert!(world.metric("elderstage_proofs_failed_total") > 0);
    let seen = receipts(&world.finish());
    assert!(seen.values().all(|times| *times == 1), "{seen:?}");
}

/// The word to go on was given and the body went: whatever ran there, it is not sent again.
#[test]
fn an_order_whose_body_went_is_failed_and_never_sent_again() {
    for fault in [DoorFault::StallsAfterContinue, DoorFault::StallsAfterHead, DoorFault::StallsInBody] {
        let short = |site: &mut Site| {
            ways(&[Family::V6, Family::V4])(site);
            site.rest = site.rest.replace("give-up 12s", "give-up 3s");
        };
        let world = World::start(short, "stall 1s", "");
        for writer in ["w1", "w2", "m1"] {
            world.fault(Some(writer), Family::V6, fault);
        }
        let end = world.call("order", ORDER).end();
        assert!(matches!(end, End::Failed(_)), "{fault:?}: {end:?}");
        assert!(receipts(&world.finish()).values().all(|times| *times == 1), "{fault:?}");
    }
}

#[test]
fn all_addresses_dead_is_a_refusal_with_advice() {
    let world = World::start(ways(&WAYS), "", "");
    for way in WAYS {
        world.fault(None, way, DoorFault::Refuses);
    }
    for route in ["ask", "order"] {
        let end = world.call(route, "anyone there").end();
        assert!(matches!(end, End::Refused { retry_after_ms: Some(_), .. }), "{end:?}");
    }
    world.fault(None, Family::V4, DoorFault::None);
    world.until_metric("elderstage_addresses_failing", |failing| failing <= 10);
    let records = world.finish();
    assert_eq!(receipts(&records).len(), 0);
}

/// A network that is gone for all servers is found once, and its return as well.
#[test]
fn a_dead_family_is_told_and_comes_back() {
    let world = World::start(ways(&[Family::V6, Family::V4]), "", "");
    world.fault(None, Family::V6, DoorFault::Refuses);
    let down = "elderstage_address_family_down{family=\"ipv6\"}";
    for _ in 0..40 {
        if world.metric(down) == 1 {
            break;
        }
        orders(&world, 1);
    }
    world.until_metric(down, |down| down == 1);
    let failed = world.metric("elderstage_dials_failed_total");
    orders(&world, 5);
    assert_eq!(world.metric("elderstage_dials_failed_total"), failed, "no request tries it any more");
    world.fault(None, Family::V6, DoorFault::None);
    world.until_metric(down, |down| down == 0);
    world.until_metric("elderstage_addresses_failing", |failing| failing == 0);
    assert!(world.metric("elderstage_address_trials_total") > 0);
    orders(&world, 2);
    world.finish();
}

/// What has left the list has no connection of ours after the grace, nor one that comes free later.
#[test]
fn the_connections_of_a_server_that_is_gone_are_closed() {
    let world = World::start(ways(&WAYS), "", "drain-grace 300ms");
    orders(&world, 3);
    let open = || ["w1", "w2"].map(|name| world.host(name).connections());
    assert!(open().iter().sum::<usize>() > 0);
    let list = world.fleet.servers(
        &world
            .fleet
            .listed
            .iter()
            .map(|(name, state)| (name.clone(), if name.starts_with('w') { "gone" } else { *state }))
            .collect(),
    );
    std::fs::write(world.dir.join("servers.conf"), list).unwrap();
    let end = std::time::Instant::now() + common::LONG;
    while open() != [0, 0] {
        assert!(std::time::Instant::now() < end, "{:?}", open());
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    orders(&world, 1);
    world.finish();
}

/// The list changes while attempts are under way, and one engine stands behind two names.
#[test]
fn addresses_change_during_attempts_and_one_engine_has_two_names() {
    let world = World::start(ways(&[Family::V6, Family::V4]), "", "");
    let both = world.fleet.servers(&world.fleet.listed);
    let reversed: String = both
        .lines()
        .map(|line| match line.trim().strip_prefix("address ").and_then(|list| list.split_once(' ')) {
            Some((first, second)) => format!("address {second} {first}\n"),
            None => format!("{line}\n"),
        })
        .collect();
    let twin = both.replacen("server w1 {", "server w1-twin {", 1);
    let twin = twin[twin.find("server w1-twin").unwrap()..].split_inclusive("}\n").next().unwrap().to_owned();
    let mut calls = Vec::new();
    for round in 0..12 {
        let list = if round % 2 == 0 { format!("{reversed}{twin}") } else { both.clone() };
        std::fs::write(world.dir.join("servers.part"), list).unwrap();
        std::fs::rename(world.dir.join("servers.part"), world.dir.join("servers.conf")).unwrap();
        for _ in 0..4 {
            calls.push(world.call("order", ORDER));
        }
        std::thread::sleep(std::time::Duration::from_millis(60));
    }
    for mut call in calls {
        let end = call.end();
        // An order on a server that was taken off the list is served too: it drains.
        assert!(matches!(end, End::Served(_) | End::Refused { .. }), "{end:?}");
    }
    let seen = receipts(&world.finish());
    assert!(seen.values().all(|times| *times == 1), "{seen:?}");
}

/// A budget that is used up is no dead server: requests wait for their dials and are served.
#[test]
fn a_small_budget_of_dials_slows_and_loses_nothing() {
    let extra = "connections {\n dials-per-second 40\n dials-at-once 2\n per-server 64\n in-all 64\n}\n";
    let edit = |text: String, _: &elderstage_rehearsal::fleet::Fleet| text + extra;
    let world = World::with_config(ways(&WAYS), "", "", edit);
    let mut calls: Vec<_> = (0..8).map(|_| world.call("ask", "many at once [words 4]")).collect();
    let ends: Vec<End> = calls.iter_mut().map(|call| call.end()).collect();
    assert!(ends.iter().all(|end| !matches!(end, End::Failed(_))), "{ends:?}");
    assert!(ends.iter().any(|end| matches!(end, End::Served(_))), "{ends:?}");
    world.finish();
}
