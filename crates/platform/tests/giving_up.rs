//! A refusal promises that trying again is harmless. The table: every way in which a node gives a request up, in
//! every state that the request can be in. While an attempt is in flight nothing is proved, so it is not answered.

mod harness;

use elderstage::{Outcome, RepeatGroup, RepeatPolicy, RequestId, Settings, Time, example_settings};
use elderstage_platform::hub::{Command, FinalAnswer, Input};
use elderstage_platform::list::List;
use harness::{Harness, MS, final_answer, sent_attempt};

/// The engines remember keys for longer than the test runs.
const LONG_MEMORY: Time = 60_000 * MS;
/// The engines have forgotten a key when the request is given up.
const SHORT_MEMORY: Time = MS;
/// Longer than any client waits.
const LATE: Time = 10_000 * MS;

/// How a node gives a request up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The node shuts down, and the time until its end passes.
    ShutdownEnd,
    /// It is told so twice.
    SecondSignal,
    /// The client's time passes.
    TimeLimit,
    /// All engines leave the list.
    NoEngines,
    /// No further attempt gets a connection.
    NoConnections,
}

const WAYS: [Way; 5] =
    [Way::ShutdownEnd, Way::SecondSignal, Way::TimeLimit, Way::NoEngines, Way::NoConnections];

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Held,
    AtReader,
    /// Its attempt at a writer waits for a connection, or for room in the engine's socket.
    NotWritten,
    AtWriter,
    Streaming,
}

const STATES: [State; 5] =
    [State::Held, State::AtReader, State::NotWritten, State::AtWriter, State::Streaming];

/// Repeat policies, each with whether a request that may have run can be refused under it.
fn policies() -> [(RepeatPolicy, bool); 5] {
    let keyed = |group, memory| RepeatPolicy::Keyed { group, memory };
    [
        (RepeatPolicy::Safe, true),
        (keyed(RepeatGroup::All, LONG_MEMORY), true),
        (keyed(RepeatGroup::All, SHORT_MEMORY), false),
        (keyed(RepeatGroup::Zone, LONG_MEMORY), false),
        (RepeatPolicy::Unsafe, false),
    ]
}

fn drop_all_engines(harness: &mut Harness) -> Vec<Command> {
    let list = List { version: 2, is_complete: true, hosts: Vec::new() };
    harness.handle(Input::ListReceived { list, restored: false })
}

/// A hub with request 1 in this state, and the number of its attempt in flight.
fn hub_in(state: State, repeat: RepeatPolicy) -> (Harness, Option<u32>) {
    let mut settings: Settings = example_settings();
    settings.classes[0].repeat = repeat;
    let mut harness = Harness::new(settings);
    if state == State::Held {
        drop_all_engines(&mut harness);
        assert_eq!(sent_attempt(&harness.arrive(1, "a")), None);
        return (harness, None);
    }
    let (read, _) = sent_attempt(&harness.arrive(1, "a")).unwrap();
    if state == State::AtReader {
        return (harness, Some(read));
    }
    let (write, server) = sent_attempt(&harness.end_attempt(1, read, Outcome::Read)).unwrap();
    assert_eq!(server, "writer");
    if state == State::Streaming {
        harness.handle(Input::FirstEvent { id: RequestId(1), attempt: write });
    }
    (harness, Some(write))
}

fn give_up(harness: &mut Harness, way: Way) -> Vec<Command> {
    let shut_down = || Input::ShuttingDown { within: 1_000 * MS, late_after: 500 * MS };
    let mut commands = match way {
        Way::ShutdownEnd => harness.handle(shut_down()),
        Way::SecondSignal => [harness.handle(shut_down()), harness.handle(shut_down())].concat(),
        Way::NoEngines => drop_all_engines(harness),
        Way::TimeLimit | Way::NoConnections => Vec::new(),
    };
    if way != Way::NoConnections {
        commands.extend(harness.advance(LATE));
    }
    commands
}

/// What a node reports of the attempt in flight in this state, once its time is up or its connection has broken.
fn possible_ends(state: State) -> &'static [Outcome] {
    match state {
        State::Held => &[],
        State::AtReader => &[Outcome::TimedOut, Outcome::Broken, Outcome::Error],
        State::NotWritten => &[Outcome::NoConnection, Outcome::NotSent],
        State::AtWriter => &[Outcome::TimedOut, Outcome::Broken, Outcome::Error, Outcome::Cancelled],
        State::Streaming => &[Outcome::Broken, Outcome::Cancelled],
    }
}

/// Ends the attempt in flight and all that follow it without a connection, until the request has ended.
fn end_attempts(harness: &mut Harness, attempt: u32, outcome: Outcome) -> Vec<Command> {
    let mut commands = harness.end_attempt(1, attempt, outcome);
    let mut next = sent_attempt(&commands);
    while final_answer(&commands).is_none() {
        let more = match next {
            Some((attempt, _)) => harness.end_attempt(1, attempt, Outcome::NoConnection),
            None => harness.advance(LATE),
        };
        if next.is_none() && more.is_empty() {
            break;
        }
        next = sent_attempt(&more);
        commands.extend(more);
    }
    commands
}

/// Guards against a refusal of a request that runs (`review/7`, at the front of the other protocol).
#[test]
fn only_what_surely_never_ran_is_refused_whatever_ends_it() {
    let (mut refused, mut failed, mut broken) = (0, 0, 0);
    for (repeat, may_refuse_after_run) in policies() {
        for (way, state) in WAYS.iter().flat_map(|way| STATES.map(|state| (*way, state))) {
            let case = format!("{way:?} at {state:?}, {repeat:?}");
            let (mut harness, attempt) = hub_in(state, repeat);
            let given_up = give_up(&mut harness, way);
            if attempt.is_none() {
                let last = final_answer(&[given_up, harness.advance(LATE)].concat());
                assert!(matches!(last, Some(FinalAnswer::Refused { .. })), "{case}: {last:?}");
                refused += 1;
                continue;
            }
            assert_eq!(final_answer(&given_up), None, "{case}: the attempt in flight may run");
            for outcome in possible_ends(state) {
                let (mut harness, attempt) = hub_in(state, repeat);
                assert_eq!(final_answer(&give_up(&mut harness, way)), None);
                let last = final_answer(&end_attempts(&mut harness, attempt.unwrap(), *outcome));
                let case = format!("{case}, {outcome:?}");
                let may_have_run = state == State::AtWriter;
                match last {
                    None => {
                        assert_eq!(state, State::Streaming, "{case}: no answer");
                        broken += 1;
                    }
                    Some(FinalAnswer::Failed) => {
                        assert!(may_have_run && !may_refuse_after_run, "{case}: failed");
                        failed += 1;
                    }
                    Some(FinalAnswer::Refused { .. }) => {
                        assert!(!may_have_run || may_refuse_after_run, "{case}: refused");
                        refused += 1;
                    }
                    Some(FinalAnswer::Open) => panic!("{case}: open"),
                }
                assert_eq!(harness.hub.open_and_held_counts().0, 0, "{case}: the request is forgotten");
            }
        }
    }
    // Guards against a table of which little applies: five ways, five policies, and for each state its ends. At a
    // writer three of the policies allow no refusal.
    assert_eq!((refused, failed, broken), (25 * (1 + 3 + 2) + 5 * 2 * 4, 5 * 3 * 4, 25 * 2));
}
