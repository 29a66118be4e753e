//! The rule on held state while an attempt is out that may never have arrived, in simulated time (microseconds).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use elderstage::{Arrival, Entry, Listed, Outcome, ReqId, ServerId, Settings, Time, example_settings};
use elderstage_platform::ask::Ask;
use elderstage_platform::hub::{Command, Hub, Input};
use elderstage_platform::list::{Host, List};

const MS: Time = 1_000;
/// What the platform gives beyond the settings' time to let go.
const RULE: Time = 300 * MS;
/// A call that an engine hears.
const HEARD: Time = 5 * MS;
const READ: Time = 100 * MS;

/// What becomes of an attempt that comes for a state.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Written, and never heard of again.
    Silent,
    /// Its connection does not come up within this time.
    NoConnection(Time),
    /// It arrives, and is turned away after this time: the state waits on.
    TurnedAway(Time),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Ended(u32, u8),
    Released(ServerId, u32, ServerId),
}

fn list() -> List {
    let host = |n: usize, name: &str, kind: usize| {
        let server = ServerId(name.into());
        let entry =
            Entry { server, listed: Listed::Running, kind, zone: 0, cell: 0, weight: 1.0, ready_at: 0 };
        Host { entry, address: Some(SocketAddr::from(([127, 0, 0, 1], 1 + n as u16))) }
    };
    let names = [("reader", 0), ("writer-1", 1), ("writer-2", 1), ("writer-3", 1)];
    List { seq: 1, whole: true, hosts: names.iter().enumerate().map(|(n, of)| host(n, of.0, of.1)).collect() }
}

/// One request whose prompt is read and whose further attempts all have this fate: the times since the end of the read, or
/// since an attempt that had arrived was turned away, at which a release is heard with no attempt that waits for the state.
fn longest_held(settings: Settings, fate: Fate) -> Time {
    let (mut hub, mut now, mut out) = (Hub::new(settings, 7), 1_000_000 * MS, Vec::new());
    hub.handle(now, Input::Listed { list: list(), restored: false }, &mut out);
    let id = ReqId(1);
    let arrival =
        Arrival { id, time_left: 9_000 * MS, prompt: 1_000.0, max_out: 100.0, ..Arrival::default() };
    hub.handle(now, Input::Arrived { id, ask: Ask { trace: "a".into(), arrival } }, &mut out);
    let mut next: BinaryHeap<Reverse<(Time, Next)>> = BinaryHeap::new();
    let (mut held_since, mut arrived, mut longest) = (None, false, 0);
    loop {
        for command in std::mem::take(&mut out) {
            match command {
                Command::Send { attempt, server, timeout, .. } => {
                    let reads = &*server.0 == "reader";
                    let after = match fate {
                        _ if reads => READ,
                        Fate::Silent => timeout,
                        Fate::NoConnection(time) => time.min(timeout),
                        Fate::TurnedAway(time) => time,
                    };
                    arrived = !reads && matches!(fate, Fate::TurnedAway(_));
                    if arrived {
                        longest = longest.max(now - held_since.unwrap_or(now));
                    }
                    next.push(Reverse((now + after, Next::Ended(attempt, u8::from(reads)))));
                }
                Command::Release { holder, round, engine, .. } => {
                    next.push(Reverse((now + HEARD, Next::Released(holder, round, engine))));
                }
                _ => {}
            }
        }
        let due = next.peek().map(|Reverse((at, _))| *at);
        let Some(at) = hub.next_timer().into_iter().chain(due).min() else { break };
        now = now.max(at);
        if due != Some(at) {
            hub.wake(now, &mut out);
            continue;
        }
        match next.pop() {
            Some(Reverse((_, Next::Ended(attempt, reads)))) => {
                let outcome = match fate {
                    _ if reads > 0 => Outcome::Read,
                    Fate::Silent => Outcome::TimedOut,
                    Fate::NoConnection(_) => Outcome::NoConnection,
                    Fate::TurnedAway(_) => Outcome::Full,
                };
                if reads > 0 || arrived {
                    held_since = held_since.filter(|_| reads > 0).or(Some(now));
                }
                arrived = false;
                let ended = Input::Ended { id, attempt, outcome, note: 0, report: None, events: 0 };
                hub.handle(now, ended, &mut out);
            }
            Some(Reverse((_, Next::Released(holder, round, engine)))) => {
                if !arrived && let Some(since) = held_since.take() {
                    longest = longest.max(now - since);
                }
                hub.handle(now, Input::Said { id, holder, round, engine, heard: true }, &mut out);
            }
            None => break,
        }
    }
    assert_eq!(held_since, None, "{fate:?}: what was held is never let go of");
    assert_eq!(hub.held(), (0, 0), "{fate:?}: nothing is kept of a request that is over");
    longest
}

#[test]
fn what_is_held_behind_an_attempt_is_let_go_of_in_time_whether_or_not_it_arrived() {
    let slow_connects = Settings { connect_timeout: 2_000 * MS, ..example_settings() };
    // Attempts that are given up one after the other, each before the state's time is up.
    let mut hasty = example_settings();
    hasty.classes[0].ttft_aim = 20 * MS;
    hasty.most_tries = 9;
    hasty.classes[0].ttft_aim_per_1000 = 0.0;
    let patient = Settings { most_tries: 2, ..example_settings() };
    for (settings, fate) in [
        (example_settings(), Fate::Silent),
        (patient, Fate::Silent),
        (hasty, Fate::Silent),
        (example_settings(), Fate::NoConnection(250 * MS)),
        (slow_connects, Fate::NoConnection(2_000 * MS)),
        (example_settings(), Fate::TurnedAway(50 * MS)),
        (example_settings(), Fate::TurnedAway(1_500 * MS)),
    ] {
        let limit = settings.let_go_by + RULE;
        let longest = longest_held(settings, fate);
        assert!(longest <= limit, "{fate:?}: held for {longest} us, {limit} at the most");
    }
}
