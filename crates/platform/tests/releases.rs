//! Releases of KV state by many nodes at once while zones are lost or partitioned, in simulated time (microseconds).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use elderstage::{
    Arrival, Outcome, RequestId, ServerEntry, ServerId, ServerStatus, Settings, Time, example_settings,
};
use elderstage_platform::ask::ClientRequest;
use elderstage_platform::hub::{Command, Hub, Input};
use elderstage_platform::list::{Host, List};

const MS: Time = 1_000;
/// Time that the platform allows for a release beyond the time limit of the settings.
const RELEASE_GRACE: Time = 300 * MS;
const NODES: u32 = 350;
const ZONES: u32 = 3;
const ENGINES: u32 = 60;
/// Duration of a call that an engine answers.
const ANSWERED_CALL: Time = 5 * MS;
/// Duration of a call to a silent engine.
const SILENT_CALL: Time = 240 * MS;
/// Duration of a call to an engine that is gone, whose host refuses the connection.
const REFUSED_CALL: Time = 20 * MS;

/// How an engine reacts to a node's call.
#[derive(Clone, Copy, PartialEq)]
enum Reaction {
    Answers,
    Silent,
    Refuses,
}

fn name(engine: u32) -> String {
    format!("s-{engine:03}")
}

fn zone_of(engine: u32) -> u32 {
    engine % ZONES
}

fn list() -> List {
    let host = |engine: u32| {
        let entry = ServerEntry {
            server: ServerId(name(engine).as_str().into()),
            listed: ServerStatus::Running,
            kind: usize::from(!(engine / ZONES).is_multiple_of(2)),
            zone: zone_of(engine),
            cell: 0,
            weight: 1.0,
            ready_at: 0,
        };
        Host { entry, address: Some(SocketAddr::from(([127, 0, 0, 1], 1 + engine as u16))) }
    };
    List { version: 1, is_complete: true, hosts: (0..ENGINES).map(host).collect() }
}

/// The end of a release call: its time, the holder of the state, the number of the release, the called engine, and whether
/// the engine answered.
type CallEnd = (Time, ServerId, u32, ServerId, bool);

/// The result of one release.
struct ReleaseResult {
    acknowledged_after: Option<Time>,
    calls: Vec<String>,
}

/// A node's read is cancelled without an answer, and the node releases its state. `reaction` gives the reaction of an engine
/// to calls from a zone.
fn release(node: u32, reaction: impl Fn(u32, u32) -> Reaction) -> ReleaseResult {
    let zone = node % ZONES;
    let settings = Settings { front_number: node, zone, front_count: NODES, ..example_settings() };
    let (mut hub, mut now, mut out) = (Hub::new(settings, node.into()), 1_000_000 * MS, Vec::new());
    hub.handle(now, Input::ListReceived { list: list(), restored: true }, &mut out);
    let id = RequestId(node);
    let arrival = Arrival {
        id,
        time_left: 4_000 * MS,
        prompt_tokens: 1_000.0,
        max_output_tokens: 100.0,
        ..Arrival::default()
    };
    hub.handle(
        now,
        Input::Arrived { id, client_request: ClientRequest { request_id: "a".into(), arrival } },
        &mut out,
    );
    assert!(out.iter().any(|command| matches!(command, Command::Send { .. })), "{out:?}");
    hub.handle(now, Input::ClientDisconnected { id }, &mut out);
    out.clear();
    let note = 0;
    hub.handle(
        now,
        Input::AttemptEnded { id, attempt: 0, outcome: Outcome::Cancelled, note, report: None, events: 0 },
        &mut out,
    );
    let (started_at, mut calls, mut acknowledged_after) = (now, Vec::new(), None);
    let mut ends: BinaryHeap<Reverse<CallEnd>> = BinaryHeap::new();
    loop {
        for command in out.drain(..) {
            let Command::Release { holder, release_number: round, engine, .. } = command else { continue };
            let number: u32 = engine.0[2..].parse().unwrap();
            let (took, answered) = match reaction(zone, number) {
                Reaction::Answers => (ANSWERED_CALL, true),
                Reaction::Silent => (SILENT_CALL, false),
                Reaction::Refuses => (REFUSED_CALL, false),
            };
            calls.push(engine.0.to_string());
            ends.push(Reverse((now + took, holder, round, engine, answered)));
        }
        let end = ends.peek().map(|Reverse((at, ..))| *at);
        let Some(at) = hub.next_timer().into_iter().chain(end).min() else { break };
        now = now.max(at);
        if end == Some(at) {
            let Some(Reverse((_, holder, round, engine, answered))) = ends.pop() else { break };
            if answered {
                acknowledged_after = acknowledged_after.or(Some(now - started_at));
            }
            hub.handle(
                now,
                Input::ReleaseCallEnded { id, holder, release_number: round, engine, acknowledged: answered },
                &mut out,
            );
        } else {
            hub.run_due_timers(now, &mut out);
        }
    }
    assert_eq!(hub.open_and_held_counts(), (0, 0), "nothing is kept of a finished release");
    ReleaseResult { acknowledged_after, calls }
}

/// All nodes release at once: each release is acknowledged within the time limit, with a bounded number of calls that are
/// spread over the engines.
fn assert_all_release(case: &str, max_calls: usize, reaction: impl Fn(u32, u32) -> Reaction) {
    let mut by_engine: BTreeMap<String, usize> = BTreeMap::new();
    for node in 0..NODES {
        let result = release(node, &reaction);
        let acknowledged_after = result.acknowledged_after.unwrap_or_else(|| {
            panic!("{case}: the release of node {node} was never acknowledged: {:?}", result.calls)
        });
        assert!(
            acknowledged_after <= RELEASE_GRACE,
            "{case}: the release of node {node} was acknowledged after {acknowledged_after} us: {:?}",
            result.calls
        );
        assert!(result.calls.len() <= max_calls, "{case}: node {node}: {:?}", result.calls);
        result.calls.into_iter().for_each(|engine| *by_engine.entry(engine).or_default() += 1);
    }
    let (all, most) = (by_engine.values().sum::<usize>(), by_engine.values().max().copied().unwrap_or(0));
    // Four times an even share is allowed, because an engine in the only zone that answers already has three times its share.
    assert!(
        most <= 4 * all.div_ceil(ENGINES as usize) + 20,
        "{case}: {most} of {all} calls went to one engine"
    );
}

#[test]
fn a_release_is_one_call_when_all_engines_answer() {
    assert_all_release("all engines answer", 1, |_, _| Reaction::Answers);
}

/// Guards against calling one engine after the other, which takes too long while a partitioned zone leaves two of three
/// engines silent.
#[test]
fn a_release_is_acknowledged_in_time_whichever_zone_is_partitioned() {
    for partitioned in 0..ZONES {
        let is_across = |zone: u32, engine: u32| (zone == partitioned) != (zone_of(engine) == partitioned);
        assert_all_release("partitioned", 7, |zone, engine| {
            if is_across(zone, engine) { Reaction::Silent } else { Reaction::Answers }
        });
    }
}

#[test]
fn a_release_is_acknowledged_in_time_when_one_zone_is_lost_and_another_partitioned() {
    for lost in 0..ZONES {
        let partitioned = (lost + 1) % ZONES;
        // Nodes of the lost zone are gone; nodes of the partitioned zone still reach the engines of their own zone.
        assert_all_release("lost and partitioned", 7, |zone, engine| {
            let is_across = (zone == partitioned) != (zone_of(engine) == partitioned);
            match zone_of(engine) {
                _ if zone == lost => Reaction::Answers,
                zone if zone == lost => Reaction::Refuses,
                _ if is_across => Reaction::Silent,
                _ => Reaction::Answers,
            }
        });
    }
}

/// One in four engines of every zone is silent as well, so the call to a zone may go to a silent engine.
#[test]
fn a_release_is_acknowledged_in_time_when_engines_hang_during_a_partition() {
    assert_all_release("hanging engines", 17, |zone, engine| {
        let is_across = (zone == 0) != (zone_of(engine) == 0);
        if is_across || (engine / ZONES).is_multiple_of(4) { Reaction::Silent } else { Reaction::Answers }
    });
}

/// If no engine answers, the release ends after a bounded number of calls and is forgotten.
#[test]
fn a_release_that_no_engine_acknowledges_ends() {
    for reaction in [Reaction::Silent, Reaction::Refuses] {
        let result = release(7, |_, _| reaction);
        assert_eq!(result.acknowledged_after, None);
        assert!((ZONES as usize..=100).contains(&result.calls.len()), "{} calls", result.calls.len());
    }
}
