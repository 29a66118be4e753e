//! Tests of the hub together with the router. The tests supply inputs and time. Times are in microseconds.

mod harness;

use elderstage::{Outcome, RepeatPolicy, RequestId, Role, ServerStatus, Settings, Time, example_settings};
use elderstage_platform::hub::{Command, FinalAnswer, Input};
use elderstage_platform::list::List;
use harness::{
    Harness, MS, addr, called_engines, client_request, final_answer, host, released_addresses, sent_attempt,
};

/// Guards against KV state that stays at the first reader past its time limit: a release that no engine acknowledged was not
/// repeated while another reader read the prompt, although the first read had succeeded after its timeout.
#[test]
fn an_unacknowledged_release_is_repeated_while_the_next_read_is_in_flight() {
    let mut harness = Harness::new(example_settings());
    let (attempt, first) = sent_attempt(&harness.arrive(1, "late-read")).unwrap();
    let commands = harness.end_attempt(1, attempt, Outcome::TimedOut);
    assert_eq!(called_engines(&commands), [first.as_str()], "the first wave goes to the holder alone");
    let (_, second) = sent_attempt(&commands).expect("the prompt is read again");
    assert_ne!(first, second);
    // The connection to the holder is not established.
    let repeated = harness.advance(100 * MS);
    assert!(!called_engines(&repeated).is_empty(), "the release is repeated: {repeated:?}");
    let acknowledged = harness.end_release_call(1, &first, &called_engines(&repeated)[0], true);
    assert!(called_engines(&acknowledged).is_empty());
    assert!(called_engines(&harness.advance(400 * MS)).is_empty(), "one acknowledgement ends the release");
}

#[test]
fn a_request_is_read_written_and_forgotten() {
    let mut harness = Harness::new(example_settings());
    let (attempt, reader) = sent_attempt(&harness.arrive(1, "a")).unwrap();
    assert!(reader == "reader" || reader == "spare");
    let commands = harness.end_attempt(1, attempt, Outcome::Read);
    assert_eq!(sent_attempt(&commands), Some((1, "writer".into())));
    harness.handle(Input::FirstEvent { id: RequestId(1), attempt: 1 });
    assert_eq!(harness.hub.open_and_held_counts(), (1, 0), "readers hold nothing for a request that streams");
    let commands = harness.end_attempt(1, 1, Outcome::Served);
    assert!(commands.contains(&Command::RemoveRequest { id: RequestId(1) }), "{commands:?}");
    assert_eq!((harness.hub.open_and_held_counts(), harness.hub.attempts_by_address().len()), ((0, 0), 0));
    assert_eq!(harness.hub.counts().served, 1);
}

/// A request with the id of an open request is refused, and the open request goes on.
#[test]
fn an_id_that_is_open_is_not_accepted_twice() {
    let mut harness = Harness::new(example_settings());
    let (attempt, _) = sent_attempt(&harness.arrive(1, "a")).unwrap();
    let commands = harness.arrive(2, "a");
    assert_eq!(final_answer(&commands), Some(FinalAnswer::Open));
    assert_eq!(sent_attempt(&commands), None);
    assert!(
        sent_attempt(&harness.end_attempt(1, attempt, Outcome::Read)).is_some(),
        "the first request goes on"
    );
    harness.handle(Input::FirstEvent { id: RequestId(1), attempt: 1 });
    harness.end_attempt(1, 1, Outcome::Served);
    assert!(
        sent_attempt(&harness.arrive(3, "a")).is_some(),
        "the id is free after the first request has ended"
    );
}

/// When a client disconnects during a read, its attempt is cancelled and the KV state it may have left is released.
#[test]
fn state_of_a_cancelled_read_is_released() {
    let mut harness = Harness::new(example_settings());
    let (attempt, reader) = sent_attempt(&harness.arrive(1, "a")).unwrap();
    let commands = harness.handle(Input::ClientDisconnected { id: RequestId(1) });
    assert!(commands.contains(&Command::Cancel { id: RequestId(1), attempt }), "{commands:?}");
    let commands = harness.end_attempt(1, attempt, Outcome::Cancelled);
    let holder = addr(if reader == "reader" { 1 } else { 2 });
    assert_eq!(released_addresses(&commands), [holder]);
    assert_eq!(final_answer(&commands), None, "the client is gone and gets no answer");
    assert_eq!(
        harness.hub.open_and_held_counts(),
        (0, 1),
        "the state counts as held until the release is acknowledged"
    );
    harness.end_release_call(1, &reader, &reader, true);
    assert_eq!(harness.hub.open_and_held_counts(), (0, 0));
}

/// A read that broke or timed out may have succeeded: its KV state is released without waiting for a free reader.
#[test]
fn state_of_a_read_with_unclear_end_is_released_at_once() {
    for outcome in [Outcome::Broken, Outcome::TimedOut, Outcome::Error] {
        let mut harness = Harness::new(example_settings());
        let (attempt, reader) = sent_attempt(&harness.arrive(1, "a")).unwrap();
        let commands = harness.end_attempt(1, attempt, outcome);
        assert_eq!(
            released_addresses(&commands),
            [addr(if reader == "reader" { 1 } else { 2 })],
            "{outcome:?}"
        );
    }
    for outcome in [Outcome::NoConnection, Outcome::Full] {
        let mut harness = Harness::new(example_settings());
        let (attempt, _) = sent_attempt(&harness.arrive(1, "a")).unwrap();
        assert_eq!(
            released_addresses(&harness.end_attempt(1, attempt, outcome)),
            [],
            "{outcome:?}: no state can be held"
        );
    }
}

/// A release call that fails at once is retried at other engines. The release is abandoned after a bounded number of calls.
#[test]
fn a_release_is_repeated_until_an_engine_acknowledges_it() {
    let mut harness = Harness::new(example_settings());
    let (attempt, reader) = sent_attempt(&harness.arrive(1, "a")).unwrap();
    harness.handle(Input::ClientDisconnected { id: RequestId(1) });
    let mut called = called_engines(&harness.end_attempt(1, attempt, Outcome::Cancelled));
    for n in 0..2 {
        let engine = called[n].clone();
        called.extend(called_engines(&harness.end_release_call(1, &reader, &engine, false)));
    }
    let mut all = called.clone();
    all.sort_unstable();
    assert_eq!((called[0].as_str(), called.len()), (reader.as_str(), 3));
    assert_eq!(
        all,
        ["reader", "spare", "writer"],
        "every engine of the zone is called once before any is called twice"
    );
    harness.end_release_call(1, &reader, &called[2], true);
    assert_eq!(harness.hub.open_and_held_counts(), (0, 0));
    // If no engine acknowledges the release, it is abandoned after a bounded number of calls.
    let (attempt, reader) = sent_attempt(&harness.arrive(2, "b")).unwrap();
    harness.handle(Input::ClientDisconnected { id: RequestId(2) });
    let mut called = called_engines(&harness.end_attempt(2, attempt, Outcome::Cancelled));
    for _ in 0..100 {
        let Some(engine) = called.pop() else { break };
        called.extend(called_engines(&harness.end_release_call(2, &reader, &engine, false)));
    }
    assert_eq!(harness.hub.open_and_held_counts(), (0, 0));
    assert!(harness.hub.counts().releases_again < 100);
}

/// An attempt at a server that has just left the list ends without a connection and never ran.
#[test]
fn an_attempt_at_a_server_without_an_address_ends_with_no_connection() {
    let mut harness = Harness::new(example_settings());
    let (attempt, reader) = sent_attempt(&harness.arrive(1, "a")).unwrap();
    let gone = vec![host("writer", 1, 3, ServerStatus::Gone)];
    harness.handle(Input::ListReceived {
        list: List { version: 2, is_complete: false, hosts: gone },
        restored: false,
    });
    let commands = harness.end_attempt(1, attempt, Outcome::Read);
    assert_eq!(sent_attempt(&commands), None);
    let all = harness.advance(3_000 * MS);
    assert!(matches!(final_answer(&all), Some(FinalAnswer::Refused { .. })), "{reader}: {all:?}");
    assert!(!released_addresses(&all).is_empty(), "state that no writer fetches is released");
}

/// A request that no server can take is refused with advice on when to retry, long before its deadline.
#[test]
fn a_request_that_no_server_can_take_is_refused_early() {
    let mut harness = Harness::new(example_settings());
    let gone = ["reader", "spare", "writer"].map(|name| host(name, 0, 1, ServerStatus::Gone)).into();
    harness.handle(Input::ListReceived {
        list: List { version: 2, is_complete: false, hosts: gone },
        restored: false,
    });
    harness.arrive(1, "a");
    let commands = harness.advance(1_000 * MS);
    let Some(FinalAnswer::Refused { retry_after }) = final_answer(&commands) else { panic!("{commands:?}") };
    assert!((1..=500 * MS).contains(&retry_after));
    assert_eq!(harness.hub.open_and_held_counts(), (0, 0));
}

/// The hub keeps nothing of finished requests, servers that left and expired timers.
#[test]
fn memory_does_not_grow_over_a_long_day() {
    let mut harness = Harness::new(example_settings());
    for n in 1..3_000u32 {
        let trace = format!("t{n}");
        let (attempt, _) = sent_attempt(&harness.arrive(n, &trace)).unwrap();
        assert!(sent_attempt(&harness.end_attempt(n, attempt, Outcome::Read)).is_some());
        harness.handle(Input::FirstEvent { id: RequestId(n), attempt: attempt + 1 });
        harness.end_attempt(n, attempt + 1, Outcome::Served);
        if n % 10 == 0 {
            let left = host(&format!("w{}", n - 10), 1, 9, ServerStatus::Gone);
            let joined = host(&format!("w{n}"), 1, 9, ServerStatus::Running);
            harness.handle(Input::ListReceived {
                list: List { version: n.into(), is_complete: false, hosts: vec![left, joined] },
                restored: false,
            });
        }
    }
    harness.advance(5_000 * MS);
    assert_eq!(harness.hub.open_and_held_counts(), (0, 0));
    assert_eq!(harness.hub.server_count(), 4);
    assert_eq!(harness.hub.next_timer(), None, "no timer is left when no request is open");
}

/// When the node shuts down, each move of the router becomes one command, and the moved stream is finished.
#[test]
fn streams_are_moved_when_the_node_shuts_down() {
    let mut harness = Harness::new(Settings { may_resume: true, ..example_settings() });
    let mut long = client_request("a");
    long.arrival.output_time_hint = 60_000 * MS;
    let (attempt, _) =
        sent_attempt(&harness.handle(Input::Arrived { id: RequestId(1), client_request: long })).unwrap();
    harness.end_attempt(1, attempt, Outcome::Read);
    harness.handle(Input::FirstEvent { id: RequestId(1), attempt: 1 });
    harness.handle(Input::ShuttingDown { within: 2_000 * MS, late_after: 250 * MS });
    let commands = harness.advance(2_000 * MS);
    let moves =
        commands.iter().filter(|command| **command == Command::EndStream { id: RequestId(1) }).count();
    assert_eq!(moves, 1, "{commands:?}");
    let commands = harness.end_attempt(1, 1, Outcome::Cancelled);
    assert!(
        commands.contains(&Command::RemoveRequest { id: RequestId(1) }) && final_answer(&commands).is_none()
    );
}

/// New settings, as after SIGHUP, reach the router.
#[test]
fn new_settings_reach_the_module() {
    let mut harness = Harness::new(example_settings());
    let settings = Box::new(Settings { max_retry_after: 40 * MS, ..example_settings() });
    harness.handle(Input::Settings { settings });
    let gone = ["reader", "spare", "writer"].map(|name| host(name, 0, 1, ServerStatus::Gone)).into();
    harness.handle(Input::ListReceived {
        list: List { version: 2, is_complete: false, hosts: gone },
        restored: false,
    });
    harness.arrive(1, "a");
    let commands = harness.advance(1_000 * MS);
    let Some(FinalAnswer::Refused { retry_after }) = final_answer(&commands) else { panic!("{commands:?}") };
    assert!(retry_after <= 40 * MS, "{retry_after}");
}

/// The counts for the agent on the node's machine: each request counts under its class and with exactly one end.
#[test]
fn requests_are_counted_by_class_with_one_end_each() {
    use elderstage_platform::counting::ClassCounts;
    let mut harness = Harness::new(example_settings());
    harness.hub.enable_counting(ClassCounts::new("r1", "d1", &["chat".into()], &example_settings()));
    let serve = |harness: &mut Harness, id: u32, wait: Time| {
        let (attempt, _) = sent_attempt(&harness.arrive(id, &format!("s{id}"))).unwrap();
        assert!(sent_attempt(&harness.end_attempt(id, attempt, Outcome::Read)).is_some());
        harness.now += wait;
        harness.handle(Input::FirstEvent { id: RequestId(id), attempt: attempt + 1 });
        harness.now += 80 * MS;
        let (id, outcome, attempt) = (RequestId(id), Outcome::Served, attempt + 1);
        harness.handle(Input::AttemptEnded { id, attempt, outcome, note: 0, report: None, events: 5 });
    };
    serve(&mut harness, 1, 10 * MS);
    serve(&mut harness, 2, 2_000 * MS);
    harness.arrive(3, "gone");
    harness.handle(Input::ClientDisconnected { id: RequestId(3) });
    let gone = ["reader", "spare", "writer"].map(|name| host(name, 0, 1, ServerStatus::Gone)).into();
    harness.handle(Input::ListReceived {
        list: List { version: 2, is_complete: false, hosts: gone },
        restored: false,
    });
    harness.hub.counting_mut().unwrap().set_settings("d2", &["chat".into()], &example_settings());
    harness.arrive(4, "refused");
    harness.advance(5_000 * MS);
    let tally = harness.hub.counting_mut().unwrap().tally().clone();
    let groups: Vec<_> =
        tally.groups().map(|(key, counts)| (key.settings.as_str(), counts.clone())).collect();
    assert_eq!((groups.len(), groups[0].0, groups[1].0), (2, "d1", "d2"));
    let first = &groups[0].1;
    assert_eq!((first.asked, first.in_time, first.late, first.gone), (3, 1, 1, 1));
    assert_eq!((first.first_token.count(), first.token_gap.count()), (2, 2));
    let gap = first.token_gap.quantile(0.5).unwrap();
    assert!((16 * MS..=20 * MS).contains(&gap), "{gap}");
    assert_eq!((groups[1].1.asked, groups[1].1.refused, groups[1].1.ended()), (1, 1, 1));
    let text = serde_json::to_string(&tally).unwrap();
    assert_eq!(serde_json::from_str::<elderstage_tally::Tally>(&text).unwrap(), tally);
}

/// An attempt whose engine drains or is no longer listed is withdrawn, unless it was already written.
#[test]
fn an_attempt_at_an_engine_that_leaves_is_withdrawn() {
    for (listed, whole) in
        [(ServerStatus::Draining, false), (ServerStatus::Gone, false), (ServerStatus::Running, true)]
    {
        let mut harness = Harness::new(example_settings());
        let commands = harness.arrive(1, "a");
        let Some(Command::Send { id, attempt, server, .. }) = commands.first().cloned() else {
            panic!("{commands:?}")
        };
        let (leaving, staying) = if &*server.0 == "reader" {
            (("reader", 1), ("spare", 2))
        } else {
            (("spare", 2), ("reader", 1))
        };
        let (name, port) = if whole { staying } else { leaving };
        let hosts = vec![host(name, 0, port, listed)];
        let commands = harness.handle(Input::ListReceived {
            list: List { version: 2, is_complete: whole, hosts },
            restored: false,
        });
        assert!(commands.contains(&Command::WithdrawAttempt { id, attempt }), "{listed:?}: {commands:?}");
    }
    let mut harness = Harness::new(example_settings());
    harness.arrive(1, "a");
    let hosts = vec![host("writer", 1, 3, ServerStatus::Draining)];
    let commands = harness.handle(Input::ListReceived {
        list: List { version: 2, is_complete: false, hosts },
        restored: false,
    });
    assert!(
        !commands.iter().any(|command| matches!(command, Command::WithdrawAttempt { .. })),
        "its own engine is still running"
    );
}

/// The timed waves of an unacknowledged release fit into the time limit of the settings, however short it is.
#[test]
fn waves_of_a_release_fit_into_the_time_limit() {
    for release_time_limit in [50 * MS, 100 * MS, 300 * MS, 2_000 * MS] {
        let mut harness = Harness::new(Settings { release_time_limit, ..example_settings() });
        let (attempt, _) = sent_attempt(&harness.arrive(1, "late-read")).unwrap();
        let commands = harness.end_attempt(1, attempt, Outcome::TimedOut);
        let waves = 1 + harness
            .advance(release_time_limit)
            .iter()
            .filter(|c| matches!(c, Command::Release { .. }))
            .count();
        assert!(
            !released_addresses(&commands).is_empty() && waves >= 4,
            "{waves} waves in {} ms",
            release_time_limit / MS
        );
    }
}

/// Changes the role of kind 0 by a new configuration.
fn change_role(harness: &mut Harness, settings: &Settings, role: Role) {
    let settings = Settings { roles: vec![role, Role::Decode], ..settings.clone() };
    harness.handle(Input::Settings { settings: Box::new(settings) });
}

/// Guards against states that stay held: a new configuration makes readers of a kind, and what they hold was not noted,
/// since roles were taken from lists alone.
#[test]
fn a_state_is_released_at_an_engine_that_became_a_reader() {
    let settings = Settings { roles: vec![Role::Mixed, Role::Decode], ..example_settings() };
    let mut harness = Harness::new(settings.clone());
    change_role(&mut harness, &settings, Role::Prefill);
    let (attempt, reader) = sent_attempt(&harness.arrive(1, "a")).unwrap();
    let commands = harness.end_attempt(1, attempt, Outcome::Read);
    assert_eq!(sent_attempt(&commands), Some((1, "writer".into())));
    let mut commands = harness.end_attempt(1, 1, Outcome::NoConnection);
    commands.extend(harness.handle(Input::ClientDisconnected { id: RequestId(1) }));
    commands.extend(harness.advance(settings.release_time_limit));
    assert!(called_engines(&commands).contains(&reader), "{commands:?}");
}

/// Guards against orders that run twice: a new configuration lets readers write, and an attempt there counted as one
/// without effect.
#[test]
fn an_attempt_at_an_engine_that_may_write_by_now_is_not_repeated() {
    let mut settings = example_settings();
    settings.classes[0].repeat = RepeatPolicy::Unsafe;
    let mut harness = Harness::new(settings.clone());
    let is_repeatable = |commands: &[Command]| {
        commands.iter().find_map(|command| match command {
            Command::Send { is_repeatable, .. } => Some(*is_repeatable),
            _ => None,
        })
    };
    let before = harness.arrive(1, "read");
    assert_eq!(is_repeatable(&before), Some(true), "a read has no effect");
    change_role(&mut harness, &settings, Role::Mixed);
    for id in 2..10 {
        let commands = harness.arrive(id, &format!("order-{id}"));
        assert_eq!(is_repeatable(&commands), Some(false), "{commands:?}");
        harness.end_attempt(id, 0, Outcome::Served);
    }
}
