//! Whole client requests in simulated time: which final answer they get, and that no state remains
//! afterwards.

mod world;

use elderstage::{RepeatPolicy, RequestId, ServerId};
use elderstage_core::chain::{Final, Reason};
use elderstage_core::evidence::{Evidence, ToolEnd};
use elderstage_core::{ChainId, Effect, Event, Stage};
use proptest::prelude::*;
use world::{MS, Script, World, plan};

fn turn(calls: &[&'static str]) -> Script {
    Script::Stream(10 * MS, 100 * MS, Evidence::Turn { cached: 0 }, calls.to_vec())
}

#[test]
fn a_request_is_read_then_written_and_served() {
    let mut world = World::new(RepeatPolicy::Safe);
    world.submit(1);
    world.run(1_000 * MS);
    assert_eq!(world.final_of(1), Final::Served);
    assert_eq!((world.sends(Stage::Read), world.sends(Stage::Write), world.core.request_count()), (1, 1, 0));
}

#[test]
fn the_leg_after_a_tool_call_is_read_where_the_first_was_kept() {
    let mut world = World::new(RepeatPolicy::Unsafe);
    world.writes = vec![turn(&["place_order"]), turn(&[])];
    world.submit(1);
    world.run(2_000 * MS);
    assert_eq!(world.final_of(1), Final::Served);
    assert_eq!((world.calls(), world.sends(Stage::Read)), (1, 2));
    let readers: Vec<&ServerId> = world
        .effects
        .iter()
        .filter_map(|(_, effect)| match effect {
            Effect::Send { stage: Stage::Read, server, .. } => Some(server),
            _ => None,
        })
        .collect();
    assert_eq!(readers[0], readers[1], "the second leg is read where the first was kept");
}

#[test]
fn after_an_effect_a_request_fails_instead_of_being_refused() {
    // The second leg's writer hangs, fails, stays full until the client's time is up, or breaks its stream.
    for second in [
        Script::Hang,
        Script::End(5 * MS, Evidence::Broke),
        Script::End(5 * MS, Evidence::Status { status: 429, code: None }),
        Script::Stream(5 * MS, 50 * MS, Evidence::Broke, Vec::new()),
    ] {
        let mut world = World::new(RepeatPolicy::Unsafe);
        world.writes = vec![turn(&["place_order"]), second.clone()];
        world.submit(1);
        world.run(30_000 * MS);
        assert!(matches!(world.final_of(1), Final::Failed { .. }), "{second:?}");
        assert_eq!(world.calls(), 1, "{second:?}");
        assert_eq!(world.core.request_count(), 0);
    }
}

#[test]
fn a_call_with_an_effect_is_retried_only_if_it_did_not_run() {
    let mut lost = World::new(RepeatPolicy::Unsafe);
    lost.writes = vec![turn(&["place_order"]), turn(&[])];
    lost.tools = vec![(10 * MS, ToolEnd::Unknown)];
    lost.submit(1);
    lost.run(2_000 * MS);
    assert_eq!(lost.final_of(1), Final::Failed { reason: Reason::ToolUnknown });
    assert_eq!(lost.calls(), 1);
    let mut not_run = World::new(RepeatPolicy::Unsafe);
    not_run.writes = vec![turn(&["place_order"]), turn(&[])];
    not_run.tools = vec![(10 * MS, ToolEnd::NotRun), (10 * MS, ToolEnd::Result { bytes: 5 })];
    not_run.submit(1);
    not_run.run(2_000 * MS);
    assert_eq!((not_run.final_of(1), not_run.calls()), (Final::Served, 2));
}

#[test]
fn the_model_goes_on_when_a_tool_without_effect_fails_twice() {
    let mut world = World::new(RepeatPolicy::Safe);
    world.writes = vec![turn(&["stock"]), turn(&[])];
    world.tools = vec![(10 * MS, ToolEnd::Unknown)];
    world.submit(1);
    world.run(2_000 * MS);
    assert_eq!((world.final_of(1), world.calls()), (Final::Served, 2));
    assert_eq!(world.core.counters().tool_lost, 1);
}

#[test]
fn the_calls_of_a_turn_run_one_at_a_time_and_unknown_tools_are_skipped() {
    let mut world = World::new(RepeatPolicy::Unsafe);
    world.writes = vec![turn(&["stock", "rm_rf", "place_order"]), turn(&[])];
    world.submit(1);
    world.run(2_000 * MS);
    assert_eq!((world.final_of(1), world.calls()), (Final::Served, 2));
    let tools: Vec<(usize, usize)> = world
        .effects
        .iter()
        .filter_map(|(_, effect)| match effect {
            Effect::CallTool { call, tool, .. } => Some((*call, *tool)),
            _ => None,
        })
        .collect();
    assert_eq!(tools, [(0, 0), (2, 1)]);
}

#[test]
fn endless_tool_calls_end_at_the_turn_limit() {
    let mut world = World::new(RepeatPolicy::Safe);
    world.writes = vec![turn(&["stock"])];
    world.submit(1);
    world.run(5_000 * MS);
    assert_eq!(world.calls(), 3, "one call for each leg that the route allows");
    assert!(matches!(world.final_of(1), Final::Refused { reason: Reason::TooManyTurns, .. }));
}

#[test]
fn the_time_limit_of_the_request_ends_a_stream_and_a_tool_call() {
    let mut stream = World::new(RepeatPolicy::Unsafe);
    stream.writes = vec![Script::Stream(10 * MS, 60_000 * MS, Evidence::Turn { cached: 0 }, Vec::new())];
    stream.submit(1);
    stream.run(21_000 * MS);
    assert_eq!(stream.final_of(1), Final::Failed { reason: Reason::OutOfTime });
    assert_eq!(stream.core.request_count(), 0, "the attempt was cancelled");
    let mut plan = plan(RepeatPolicy::Unsafe);
    plan.tools[1].timeout = 60_000 * MS;
    let mut tool = World::with_plan(plan);
    tool.writes = vec![turn(&["place_order"])];
    tool.tools = vec![(50_000 * MS, ToolEnd::Result { bytes: 1 })];
    tool.submit(1);
    tool.run(21_000 * MS);
    assert!(matches!(tool.final_of(1), Final::Failed { .. }));
    assert_eq!(tool.core.request_count(), 0);
}

#[test]
fn no_state_remains_after_a_client_leaves() {
    for after in [5, 25, 60, 115, 130] {
        let mut world = World::new(RepeatPolicy::Unsafe);
        world.writes = vec![turn(&["place_order"]), turn(&[])];
        world.submit(1);
        world.run(after * MS);
        world.handle_event(Event::ClientGone { chain: ChainId(1) });
        world.run(3_000 * MS);
        assert_eq!(world.final_of(1), Final::Gone, "after {after} ms");
        assert_eq!(world.core.request_count(), 0, "after {after} ms");
        assert!(world.count(|effect| matches!(effect, Effect::Forget { .. })) == 1);
    }
}

#[test]
fn a_cancelled_read_is_released_at_its_reader() {
    let mut world = World::new(RepeatPolicy::Safe);
    world.reads = vec![Script::Hang, Script::End(20 * MS, Evidence::Read { cached: 0 })];
    world.submit(1);
    world.run(6_000 * MS);
    assert_eq!(world.final_of(1), Final::Served);
    assert_eq!(world.count(|effect| matches!(effect, Effect::Release { attempt: 0, .. })), 1);
}

#[test]
fn a_draining_or_full_front_refuses_requests_and_stop_ends_the_rest() {
    let mut world = World::new(RepeatPolicy::Unsafe);
    world.writes = vec![Script::Stream(10 * MS, 60_000 * MS, Evidence::Turn { cached: 0 }, Vec::new())];
    for chain in 1..=50 {
        world.submit(chain);
    }
    world.submit(51);
    assert!(matches!(world.final_of(51), Final::Refused { reason: Reason::FrontFull, .. }));
    world.run(100 * MS);
    world.handle_event(Event::Drain);
    world.submit(52);
    assert!(matches!(world.final_of(52), Final::Refused { reason: Reason::Draining, .. }));
    world.handle_event(Event::Stop);
    world.run(1_000 * MS);
    assert_eq!(world.core.request_count(), 0);
    for chain in 1..=50 {
        world.final_of(chain);
    }
}

#[test]
fn late_events_and_events_of_unknown_chains_change_nothing() {
    let mut world = World::new(RepeatPolicy::Safe);
    world.submit(1);
    world.run(1_000 * MS);
    let before = world.effects.len();
    let attempt_ended = |chain, leg| Event::AttemptEnded {
        chain: ChainId(chain),
        leg: RequestId(leg),
        attempt: 0,
        evidence: Evidence::Turn { cached: 0 },
        took: 1,
        usage: None,
        text_bytes: 1,
        calls: Vec::new(),
        load: None,
    };
    for event in [
        attempt_ended(1, 1),
        attempt_ended(9, 9),
        Event::Streaming { chain: ChainId(1), leg: RequestId(1), attempt: 0, took: 1 },
        Event::ToolEnded { chain: ChainId(1), call: 0, end: ToolEnd::Unknown },
        Event::ClientGone { chain: ChainId(1) },
        Event::TooLong { chain: ChainId(7) },
    ] {
        world.handle_event(event);
    }
    assert_eq!(world.effects.len(), before);
}

fn script() -> impl Strategy<Value = Script> {
    let evidence = prop_oneof![
        Just(Evidence::NotConnected),
        Just(Evidence::Broke),
        Just(Evidence::Garbled),
        Just(Evidence::Status { status: 429, code: None }),
        Just(Evidence::Status { status: 500, code: None }),
        Just(Evidence::Status { status: 424, code: Some("kv_state_missing".into()) }),
    ];
    let calls =
        prop::sample::select(vec![vec![], vec!["stock"], vec!["place_order"], vec!["stock", "place_order"]]);
    prop_oneof![
        1 => (0..800 * MS, evidence).prop_map(|(after, evidence)| Script::End(after, evidence)),
        1 => Just(Script::Hang),
        1 => (0..500 * MS).prop_map(|first| Script::Stream(first, first + MS, Evidence::Broke, vec![])),
        4 => (0..900 * MS, 1..900 * MS, calls)
            .prop_map(|(first, more, calls)| Script::Stream(first, first + more, Evidence::Turn { cached: 0 }, calls)),
    ]
}

fn tool() -> impl Strategy<Value = (u64, ToolEnd)> {
    let end = prop_oneof![
        3 => Just(ToolEnd::Result { bytes: 30 }), 1 => Just(ToolEnd::NotRun), 1 => Just(ToolEnd::Unknown)
    ];
    (0..3_000 * MS, end)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any mixture of faults: each request gets one final answer in time, no effect happens twice, and no
    /// state is left behind.
    #[test]
    fn any_mixture_of_faults_keeps_the_invariants(
        reads in prop::collection::vec(script(), 0..6),
        writes in prop::collection::vec(script(), 1..12),
        tools in prop::collection::vec(tool(), 1..6),
        leave_times in prop::collection::vec(prop::option::of(0..4_000 * MS), 1..6),
        safe in any::<bool>(),
    ) {
        let repeat = if safe { RepeatPolicy::Safe } else { RepeatPolicy::Unsafe };
        let mut world = World::new(repeat);
        // A read that was drawn as a stream becomes a normal read; other scripts are used as drawn.
        world.reads = reads
            .into_iter()
            .map(|script| match script {
                Script::Stream(first, ..) => Script::End(first, Evidence::Read { cached: 0 }),
                other => other,
            })
            .chain([Script::End(15 * MS, Evidence::Read { cached: 0 })])
            .collect();
        world.writes = writes;
        world.tools = tools;
        for (chain, leave_after) in leave_times.iter().enumerate() {
            let id = chain as u64 + 1;
            world.submit(id);
            if let Some(after) = leave_after {
                world.run(*after / 8);
                world.handle_event(Event::ClientGone { chain: ChainId(id) });
            }
        }
        let started = world.now;
        world.run(22_000 * MS);
        prop_assert_eq!(world.core.request_count(), 0);
        for (chain, leave_after) in leave_times.iter().enumerate() {
            let finals = world.finals.get(&(chain as u64 + 1)).cloned().unwrap_or_default();
            prop_assert_eq!(finals.len(), 1);
            prop_assert!(leave_after.is_some() || finals[0] != Final::Gone);
        }
        let last = world.effects.iter().filter(|(_, e)| matches!(e, Effect::Answer { .. })).map(|(at, _)| *at).max();
        prop_assert!(last.unwrap_or(0) <= started + 20_000 * MS, "an answer came after the request's time limit");
        // Attempts at writers, for each turn.
        let mut writer_sends = std::collections::BTreeMap::new();
        for (_, effect) in &world.effects {
            if let Effect::Send { chain, turn, stage: Stage::Write | Stage::Whole, .. } = effect {
                *writer_sends.entry((*chain, *turn)).or_insert(0) += 1;
            }
        }
        let proved = world.core.counters().outcomes.iter();
        let proved: u64 =
            proved.filter(|(name, _)| ["full", "no-connection"].contains(name)).map(|(_, count)| count).sum();
        let repeated: u64 = writer_sends.values().map(|sends: &u64| sends - 1).sum();
        prop_assert!(safe || repeated <= proved, "{repeated} sends were repeats, {proved} attempts were proved not to have run");
        prop_assert!(world.longest_state_wait <= 300 * MS, "a reader kept a state for {} us", world.longest_state_wait);
    }
}
