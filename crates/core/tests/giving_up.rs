//! A refusal promises that trying again is harmless. The table: every way in which a front gives a request up,
//! in every state that the request can be in. The front refuses a request only if no writer can have run it.

mod world;

use elderstage::{RepeatGroup, RepeatPolicy};
use elderstage_core::chain::Final;
use elderstage_core::evidence::{Evidence, ToolEnd};
use elderstage_core::{ChainId, Event, Stage};
use proptest::prelude::*;
use world::{MS, Script, World, plan};

const KEYED: RepeatPolicy = RepeatPolicy::Keyed { group: RepeatGroup::All, memory: 60_000 * MS };
const POLICIES: [RepeatPolicy; 3] = [RepeatPolicy::Safe, KEYED, RepeatPolicy::Unsafe];
/// Longer than any test runs.
const NEVER: u64 = 90_000 * MS;
/// Time limit of the whole request.
const REQUEST_LIMIT: u64 = 20_000 * MS;

/// How a front gives a request up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The drain takes too long.
    DrainEnd,
    /// A second signal ends the drain at once.
    SecondSignal,
    /// The time limit of the whole request, noticed before the end of an attempt that ends at the same time.
    RequestLimit,
    /// The time limit for the first token of the turn.
    FirstTokenLimit,
    /// All servers leave the list.
    NoServers,
    /// The answer exceeds the limit on its size.
    TooLong,
    /// A turn makes more tool calls than allowed.
    TooManyCalls,
    /// A turn ends after which the route allows no other.
    TooManyTurns,
    /// A tool with an effect gives no result.
    ToolEnd,
}

const WAYS: [Way; 9] = [
    Way::DrainEnd,
    Way::SecondSignal,
    Way::RequestLimit,
    Way::FirstTokenLimit,
    Way::NoServers,
    Way::TooLong,
    Way::TooManyCalls,
    Way::TooManyTurns,
    Way::ToolEnd,
];

/// What a request waits for within a turn.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No attempt was made: it waits for a server.
    Held,
    AtReader,
    /// Its attempt at a writer waits for a connection.
    NotWritten,
    AtWriter,
    Streaming,
    AtTool,
    AtToolWithEffect,
}

const STATES: [State; 7] = [
    State::Held,
    State::AtReader,
    State::NotWritten,
    State::AtWriter,
    State::Streaming,
    State::AtTool,
    State::AtToolWithEffect,
];

/// The scripts of a turn that reaches this state and stays in it.
fn scripts(state: State) -> (Script, Script) {
    let read = Script::End(20 * MS, Evidence::Read { cached: 0 });
    let turn = |calls| Script::Stream(10 * MS, 50 * MS, Evidence::Turn { cached: 0 }, calls);
    match state {
        State::AtReader => (Script::Hang, Script::Hang),
        State::Held | State::NotWritten | State::AtWriter => (read, Script::Hang),
        State::Streaming => (read, Script::Stream(10 * MS, NEVER, Evidence::Turn { cached: 0 }, Vec::new())),
        State::AtTool => (read, turn(vec!["stock"])),
        State::AtToolWithEffect => (read, turn(vec!["place_order"])),
    }
}

/// A world in which request 1 is in this state, in its first or its second turn.
fn world_in(state: State, is_later_turn: bool, repeat: RepeatPolicy, way: Way) -> World {
    let mut plan = plan(repeat);
    plan.classes[0].request_limit = REQUEST_LIMIT;
    if way == Way::RequestLimit {
        plan.classes[0].first_token_limit = REQUEST_LIMIT;
    }
    plan.routes[0].max_legs = match (way, is_later_turn) {
        (Way::TooManyTurns, false) => 1,
        (Way::TooManyTurns, true) => 2,
        _ => 3,
    };
    for tool in &mut plan.tools {
        tool.timeout = NEVER;
    }
    let mut world = World::with_plan(plan);
    let (read, write) = scripts(state);
    (world.reads, world.writes, world.tools) =
        (vec![read], vec![write], vec![(NEVER, ToolEnd::Result { bytes: 1 })]);
    if is_later_turn {
        world.reads.insert(0, Script::End(20 * MS, Evidence::Read { cached: 0 }));
        let calls = vec!["stock"];
        world.writes.insert(0, Script::Stream(10 * MS, 50 * MS, Evidence::Turn { cached: 0 }, calls));
        world.tools.insert(0, (30 * MS, ToolEnd::Result { bytes: 1 }));
        world.submit(1);
        world.run(80 * MS);
        assert_eq!(world.calls(), 1, "the tool call between the turns");
    }
    if state == State::Held {
        world.set_servers(&[]);
    }
    if state == State::NotWritten {
        world.write_delay = NEVER;
    }
    if !is_later_turn {
        world.submit(1);
    }
    world.run(100 * MS);
    let expected_stage = match state {
        State::Held | State::AtTool | State::AtToolWithEffect => None,
        State::AtReader => Some(Stage::Read),
        State::NotWritten | State::AtWriter | State::Streaming => Some(Stage::Write),
    };
    assert_eq!(world.stage_in_flight(1), expected_stage, "{state:?}, later turn: {is_later_turn}");
    assert!(!world.finals.contains_key(&1), "{state:?}: {:?}", world.finals);
    world
}

/// Whether a request in this state can be given up in this way.
fn applies(way: Way, state: State) -> bool {
    let is_at_tool = matches!(state, State::AtTool | State::AtToolWithEffect);
    let has_writer = matches!(state, State::AtWriter | State::Streaming);
    match way {
        Way::DrainEnd | Way::SecondSignal | Way::RequestLimit => true,
        // The limit ends with the first token, and a tool call has its own.
        Way::FirstTokenLimit => !is_at_tool && state != State::Streaming,
        // What runs goes on at a server that has left.
        Way::NoServers => !is_at_tool && state != State::Streaming,
        Way::TooLong => state == State::Streaming,
        Way::TooManyCalls => has_writer,
        Way::TooManyTurns => has_writer || is_at_tool,
        Way::ToolEnd => state == State::AtToolWithEffect,
    }
}

fn give_up(world: &mut World, way: Way, state: State) {
    let is_at_tool = matches!(state, State::AtTool | State::AtToolWithEffect);
    match way {
        Way::DrainEnd => {
            world.handle_event(Event::Drain);
            world.run(10 * MS);
            world.handle_event(Event::Stop);
        }
        Way::SecondSignal => {
            world.handle_event(Event::Drain);
            world.handle_event(Event::Stop);
        }
        Way::RequestLimit => world.fire_timers_first(REQUEST_LIMIT),
        Way::FirstTokenLimit => world.run(10_000 * MS),
        Way::NoServers => {
            world.set_servers(&[]);
            world.run(10_000 * MS);
        }
        Way::TooLong => world.handle_event(Event::TooLong { chain: ChainId(1) }),
        Way::TooManyCalls => world.end_turn(1, &["stock"; 9]),
        Way::TooManyTurns if is_at_tool => {
            let end = ToolEnd::Result { bytes: 1 };
            world.handle_event(Event::ToolEnded { chain: ChainId(1), call: 0, end });
        }
        // The route has no such tool, so the next turn would follow at once.
        Way::TooManyTurns => world.end_turn(1, &["rm_rf"]),
        Way::ToolEnd => {
            world.handle_event(Event::ToolEnded { chain: ChainId(1), call: 0, end: ToolEnd::Unknown });
        }
    }
    // The end of an attempt that was cancelled.
    world.run(5 * MS);
}

/// Whether the request may have run at a writer or a tool may have had its effect, by the state alone.
fn may_have_had_effect(state: State, is_later_turn: bool, repeat: RepeatPolicy) -> bool {
    if repeat == RepeatPolicy::Safe {
        return state == State::AtToolWithEffect;
    }
    is_later_turn || !matches!(state, State::Held | State::AtReader | State::NotWritten)
}

/// Guards against a refusal of an order that runs, after which its client places it again (`review/7`), and
/// against a failure of one that surely never ran.
#[test]
fn only_what_surely_never_ran_is_refused_whatever_ends_it() {
    let (mut refused, mut failed) = (0, 0);
    for repeat in POLICIES {
        for (way, state) in WAYS.iter().flat_map(|way| STATES.map(|state| (*way, state))) {
            for is_later_turn in [false, true] {
                if !applies(way, state) {
                    continue;
                }
                let mut world = world_in(state, is_later_turn, repeat, way);
                give_up(&mut world, way, state);
                let case = format!("{way:?} at {state:?}, later turn: {is_later_turn}, {repeat:?}");
                let last = world.finals.get(&1).unwrap_or_else(|| panic!("{case}: no answer"))[0];
                world.final_of(1);
                if may_have_had_effect(state, is_later_turn, repeat) {
                    failed += 1;
                    assert!(matches!(last, Final::Failed { .. }), "{case}: {last:?}");
                } else {
                    refused += 1;
                    assert!(matches!(last, Final::Refused { .. }), "{case}: {last:?}");
                }
                world.run(100 * MS);
                assert_eq!(world.core.request_count(), 0, "{case}: nothing is left");
            }
        }
    }
    // Guards against a table of which little applies: 37 pairs of way and state, two turns, three policies. A
    // safe request is refused but for the 5 ways at a tool with an effect; any other only in its first turn, in 5
    // ways and 3 states.
    assert_eq!((refused, failed), (32 * 2 + 15 * 2, 5 * 2 + 37 * 4 - 15 * 2));
}

/// Guards against an order that is done and paid for being told as failed: its answer came in whole while the
/// front cancelled it.
#[test]
fn an_answer_that_is_whole_when_the_cancellation_arrives_is_served() {
    for way in [Way::DrainEnd, Way::SecondSignal, Way::RequestLimit] {
        let mut world = world_in(State::AtWriter, false, RepeatPolicy::Unsafe, way);
        let (leg, attempt) = world.attempt_in_flight(1).unwrap();
        match way {
            Way::RequestLimit => world.fire_timers_first(REQUEST_LIMIT),
            _ => world.handle_event(Event::Stop),
        }
        assert!(!world.finals.contains_key(&1), "{way:?}: the end of the attempt decides");
        world.handle_event(Event::AttemptEnded {
            chain: ChainId(1),
            leg,
            attempt,
            evidence: Evidence::Turn { cached: 0 },
            took: MS,
            usage: Some((500, 20)),
            text_bytes: 80,
            calls: Vec::new(),
            load: None,
        });
        assert_eq!(world.final_of(1), Final::Served, "{way:?}");
        assert_eq!(world.core.request_count(), 0);
    }
}

/// Guards against a cut-off answer served as whole, and against a second answer, when several ways meet.
#[test]
fn ways_that_meet_give_one_answer() {
    let mut world = world_in(State::AtWriter, false, RepeatPolicy::Unsafe, Way::RequestLimit);
    let (leg, attempt) = world.attempt_in_flight(1).unwrap();
    world.handle_event(Event::Stop);
    world.fire_timers_first(REQUEST_LIMIT);
    world.handle_event(Event::Stop);
    let cancels =
        |world: &World| world.count(|effect| matches!(effect, elderstage_core::Effect::Cancel { .. }));
    assert_eq!((cancels(&world), world.finals.len()), (1, 0));
    world.handle_event(Event::Streaming { chain: ChainId(1), leg, attempt, took: MS });
    world.handle_event(Event::TooLong { chain: ChainId(1) });
    world.run(100 * MS);
    assert!(matches!(world.final_of(1), Final::Failed { .. }));
    assert_eq!(world.core.request_count(), 0);
    let mut gone = world_in(State::AtWriter, false, RepeatPolicy::Unsafe, Way::DrainEnd);
    gone.handle_event(Event::Stop);
    gone.handle_event(Event::ClientGone { chain: ChainId(1) });
    gone.run(100 * MS);
    assert_eq!(gone.final_of(1), Final::Gone);
    assert_eq!(gone.core.request_count(), 0);
}

fn script() -> impl Strategy<Value = Script> {
    let evidence = prop_oneof![
        Just(Evidence::NotConnected),
        Just(Evidence::Broke),
        Just(Evidence::Status { status: 429, code: None }),
        Just(Evidence::Status { status: 500, code: None }),
    ];
    let calls = prop::sample::select(vec![vec![], vec!["stock"], vec!["place_order"]]);
    prop_oneof![
        2 => (0..800 * MS, evidence).prop_map(|(after, evidence)| Script::End(after, evidence)),
        1 => Just(Script::Hang),
        3 => (0..900 * MS, 1..900 * MS, calls).prop_map(|(first, more, calls)| {
            Script::Stream(first, first + more, Evidence::Turn { cached: 0 }, calls)
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// At whatever moment the front stops or the time limits end: no request is refused that may have run.
    #[test]
    fn no_request_is_refused_that_may_have_run(
        writes in prop::collection::vec(script(), 1..8),
        write_delay in 0..60 * MS,
        stop_after in 0..2_000 * MS,
        request_limit in 100 * MS..6_000 * MS,
        policy in 0_usize..POLICIES.len(),
    ) {
        let mut plan = plan(POLICIES[policy]);
        plan.classes[0].request_limit = request_limit;
        let mut world = World::with_plan(plan);
        (world.writes, world.write_delay) = (writes, write_delay);
        for chain in 1..=5 {
            world.submit(chain);
        }
        world.run(stop_after);
        world.handle_event(Event::Stop);
        world.run(1_000 * MS);
        prop_assert_eq!(world.core.request_count(), 0);
        for chain in 1..=5 {
            let last = world.final_of(chain);
            prop_assert!(
                POLICIES[policy] == RepeatPolicy::Safe
                    || !matches!(last, Final::Refused { .. })
                    || !world.may_have_run(chain),
                "request {} was refused and may have run", chain
            );
        }
    }
}
