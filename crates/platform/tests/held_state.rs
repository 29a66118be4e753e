//! The time limit on held KV state while an attempt is in flight that may never have arrived, in simulated time
//! (microseconds).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
/// Duration of a release call that an engine answers.
const ANSWERED_CALL: Time = 5 * MS;
/// Duration of the read of a prompt.
const PROMPT_READ: Time = 100 * MS;

/// What happens to an attempt that fetches KV state.
#[derive(Clone, Copy, Debug)]
enum FetchResult {
    /// It is written and never answered.
    Silent,
    /// Its connection fails after this time.
    NoConnection(Time),
    /// It arrives and is rejected after this time, so the state stays held.
    Rejected(Time),
}

/// A simulated event.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    /// An attempt ends: its number, and 1 for the read of a prompt.
    AttemptEnded(u32, u8),
    /// A release call is answered: the holder, the number of the release and the called engine.
    ReleaseAnswered(ServerId, u32, ServerId),
}

fn list() -> List {
    let host = |n: usize, name: &str, kind: usize| {
        let server = ServerId(name.into());
        let entry = ServerEntry {
            server,
            listed: ServerStatus::Running,
            kind,
            zone: 0,
            cell: 0,
            weight: 1.0,
            ready_at: 0,
        };
        Host { entry, address: Some(SocketAddr::from(([127, 0, 0, 1], 1 + n as u16))) }
    };
    let names = [("reader", 0), ("writer-1", 1), ("writer-2", 1), ("writer-3", 1)];
    List {
        version: 1,
        is_complete: true,
        hosts: names.iter().enumerate().map(|(n, of)| host(n, of.0, of.1)).collect(),
    }
}

/// Simulates one request whose prompt is read and whose further attempts all have the same result. Returns the longest time
/// for which state was held with no attempt waiting for it: from the end of the read, or from the rejection of an attempt
/// that had arrived, to the next answered release or the arrival of the next attempt.
fn longest_hold(settings: Settings, result: FetchResult) -> Time {
    let (mut hub, mut now, mut out) = (Hub::new(settings, 7), 1_000_000 * MS, Vec::new());
    hub.handle(now, Input::ListReceived { list: list(), restored: false }, &mut out);
    let id = RequestId(1);
    let arrival = Arrival {
        id,
        time_left: 9_000 * MS,
        prompt_tokens: 1_000.0,
        max_output_tokens: 100.0,
        ..Arrival::default()
    };
    hub.handle(
        now,
        Input::Arrived { id, client_request: ClientRequest { request_id: "a".into(), arrival } },
        &mut out,
    );
    let mut events: BinaryHeap<Reverse<(Time, SimulatedEvent)>> = BinaryHeap::new();
    let (mut held_since, mut has_arrived, mut longest) = (None, false, 0);
    loop {
        for command in std::mem::take(&mut out) {
            match command {
                Command::Send { attempt, server, timeout, .. } => {
                    let is_prompt_read = &*server.0 == "reader";
                    let after = match result {
                        _ if is_prompt_read => PROMPT_READ,
                        FetchResult::Silent => timeout,
                        FetchResult::NoConnection(time) => time.min(timeout),
                        FetchResult::Rejected(time) => time,
                    };
                    has_arrived = !is_prompt_read && matches!(result, FetchResult::Rejected(_));
                    if has_arrived {
                        longest = longest.max(now - held_since.unwrap_or(now));
                    }
                    events.push(Reverse((
                        now + after,
                        SimulatedEvent::AttemptEnded(attempt, u8::from(is_prompt_read)),
                    )));
                }
                Command::Release { holder, release_number: round, engine, .. } => {
                    events.push(Reverse((
                        now + ANSWERED_CALL,
                        SimulatedEvent::ReleaseAnswered(holder, round, engine),
                    )));
                }
                _ => {}
            }
        }
        let next_event = events.peek().map(|Reverse((at, _))| *at);
        let Some(at) = hub.next_timer().into_iter().chain(next_event).min() else { break };
        now = now.max(at);
        if next_event != Some(at) {
            hub.run_due_timers(now, &mut out);
            continue;
        }
        match events.pop() {
            Some(Reverse((_, SimulatedEvent::AttemptEnded(attempt, prompt_read)))) => {
                let outcome = match result {
                    _ if prompt_read > 0 => Outcome::Read,
                    FetchResult::Silent => Outcome::TimedOut,
                    FetchResult::NoConnection(_) => Outcome::NoConnection,
                    FetchResult::Rejected(_) => Outcome::Full,
                };
                if prompt_read > 0 || has_arrived {
                    held_since = held_since.filter(|_| prompt_read > 0).or(Some(now));
                }
                has_arrived = false;
                let ended = Input::AttemptEnded { id, attempt, outcome, note: 0, report: None, events: 0 };
                hub.handle(now, ended, &mut out);
            }
            Some(Reverse((_, SimulatedEvent::ReleaseAnswered(holder, round, engine)))) => {
                if !has_arrived && let Some(since) = held_since.take() {
                    longest = longest.max(now - since);
                }
                hub.handle(
                    now,
                    Input::ReleaseCallEnded { id, holder, release_number: round, engine, acknowledged: true },
                    &mut out,
                );
            }
            None => break,
        }
    }
    assert_eq!(held_since, None, "{result:?}: held state was never released");
    assert_eq!(hub.open_and_held_counts(), (0, 0), "{result:?}: nothing is kept of a finished request");
    longest
}

#[test]
fn state_is_released_in_time_whether_or_not_the_attempt_that_fetches_it_arrived() {
    let slow_connects = Settings { connect_timeout: 2_000 * MS, ..example_settings() };
    // Attempts that are abandoned one after the other, each before the time limit on the state has passed.
    let mut short_attempts = example_settings();
    short_attempts.classes[0].ttft_target = 20 * MS;
    short_attempts.max_attempts = 9;
    short_attempts.classes[0].ttft_target_per_1000_tokens = 0.0;
    let two_attempts = Settings { max_attempts: 2, ..example_settings() };
    for (settings, result) in [
        (example_settings(), FetchResult::Silent),
        (two_attempts, FetchResult::Silent),
        (short_attempts, FetchResult::Silent),
        (example_settings(), FetchResult::NoConnection(250 * MS)),
        (slow_connects, FetchResult::NoConnection(2_000 * MS)),
        (example_settings(), FetchResult::Rejected(50 * MS)),
        (example_settings(), FetchResult::Rejected(1_500 * MS)),
    ] {
        let limit = settings.release_time_limit + RELEASE_GRACE;
        let longest = longest_hold(settings, result);
        assert!(longest <= limit, "{result:?}: held for {longest} us, the limit is {limit} us");
    }
}
