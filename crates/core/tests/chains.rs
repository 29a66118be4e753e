//! Requests over their legs, in simulated time: what may be promised, and that nothing is left behind.

mod world;

use elderstage::{Repeat, ReqId, ServerId};
use elderstage_core::chain::{Final, Reason};
use elderstage_core::evidence::{Evidence, ToolEnd};
use elderstage_core::{ChainId, Effect, Event, Stage};
use proptest::prelude::*;
use world::{Act, MS, World, plan};

fn turn(calls: &[&'static str]) -> Act {
    Act::Stream(10 * MS, 100 * MS, Evidence::Turn { cached: 0 }, calls.to_vec())
}

#[test]
fn a_turn_is_read_handed_over_and_served() {
    let mut world = World::new(Repeat::Safe);
    world.submit(1);
    world.run(1_000 * MS);
    assert_eq!(world.final_of(1), Final::Served);
    assert_eq!((world.sends(Stage::Read), world.sends(Stage::Write), world.core.held()), (1, 1, 0));
}

#[test]
fn a_tool_call_makes_a_second_leg_where_the_first_was_kept() {
    let mut world = World::new(Repeat::Unsafe);
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
    assert_eq!(readers[0], readers[1], "the second leg's prompt begins with the first's");
}

#[test]
fn after_an_effect_nothing_is_refused() {
    // The writer of the second leg hangs, dies, or is full until the client's time is up.
    for second in [
        Act::Hang,
        Act::End(5 * MS, Evidence::Broke),
        Act::End(5 * MS, Evidence::Status { status: 429, code: None }),
        Act::Stream(5 * MS, 50 * MS, Evidence::Broke, Vec::new()),
    ] {
        let mut world = World::new(Repeat::Unsafe);
        world.writes = vec![turn(&["place_order"]), second.clone()];
        world.submit(1);
        world.run(30_000 * MS);
        assert!(matches!(world.final_of(1), Final::Failed { .. }), "{second:?}");
        assert_eq!(world.calls(), 1, "{second:?}");
        assert_eq!(world.core.held(), 0);
    }
}

#[test]
fn a_call_that_may_have_run_is_not_made_again_and_one_that_did_not_is() {
    let mut lost = World::new(Repeat::Unsafe);
    lost.writes = vec![turn(&["place_order"]), turn(&[])];
    lost.tools = vec![(10 * MS, ToolEnd::Unknown)];
    lost.submit(1);
    lost.run(2_000 * MS);
    assert_eq!(lost.final_of(1), Final::Failed { reason: Reason::ToolUnknown });
    assert_eq!(lost.calls(), 1);
    let mut not_run = World::new(Repeat::Unsafe);
    not_run.writes = vec![turn(&["place_order"]), turn(&[])];
    not_run.tools = vec![(10 * MS, ToolEnd::NotRun), (10 * MS, ToolEnd::Result { bytes: 5 })];
    not_run.submit(1);
    not_run.run(2_000 * MS);
    assert_eq!((not_run.final_of(1), not_run.calls()), (Final::Served, 2));
}

#[test]
fn a_tool_without_effect_that_is_lost_twice_is_told_to_the_model() {
    let mut world = World::new(Repeat::Safe);
    world.writes = vec![turn(&["stock"]), turn(&[])];
    world.tools = vec![(10 * MS, ToolEnd::Unknown)];
    world.submit(1);
    world.run(2_000 * MS);
    assert_eq!((world.final_of(1), world.calls()), (Final::Served, 2));
    assert_eq!(world.core.counters().tool_lost, 1);
}

#[test]
fn several_calls_of_a_turn_are_made_one_after_the_other_and_unknown_tools_never() {
    let mut world = World::new(Repeat::Unsafe);
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
fn a_model_that_calls_for_ever_is_ended() {
    let mut world = World::new(Repeat::Safe);
    world.writes = vec![turn(&["stock"])];
    world.submit(1);
    world.run(5_000 * MS);
    assert_eq!(world.calls(), 3, "as many legs as the route allows");
    assert!(matches!(world.final_of(1), Final::Refused { reason: Reason::TooManyTurns, .. }));
}

#[test]
fn the_whole_time_ends_a_stream_and_a_tool_call() {
    let mut stream = World::new(Repeat::Unsafe);
    stream.writes = vec![Act::Stream(10 * MS, 60_000 * MS, Evidence::Turn { cached: 0 }, Vec::new())];
    stream.submit(1);
    stream.run(21_000 * MS);
    assert_eq!(stream.final_of(1), Final::Failed { reason: Reason::OutOfTime });
    assert_eq!(stream.core.held(), 0, "the attempt was cancelled");
    let mut plan = plan(Repeat::Unsafe);
    plan.tools[1].timeout = 60_000 * MS;
    let mut tool = World::with(plan);
    tool.writes = vec![turn(&["place_order"])];
    tool.tools = vec![(50_000 * MS, ToolEnd::Result { bytes: 1 })];
    tool.submit(1);
    tool.run(21_000 * MS);
    assert!(matches!(tool.final_of(1), Final::Failed { .. }));
    assert_eq!(tool.core.held(), 0);
}

#[test]
fn a_client_that_leaves_is_owed_nothing_and_leaves_nothing() {
    for after in [5, 25, 60, 115, 130] {
        let mut world = World::new(Repeat::Unsafe);
        world.writes = vec![turn(&["place_order"]), turn(&[])];
        world.submit(1);
        world.run(after * MS);
        world.pass(Event::ClientGone { chain: ChainId(1) });
        world.run(3_000 * MS);
        assert_eq!(world.final_of(1), Final::Gone, "after {after} ms");
        assert_eq!(world.core.held(), 0, "after {after} ms");
        assert!(world.count(|effect| matches!(effect, Effect::Forget { .. })) == 1);
    }
}

#[test]
fn a_read_given_up_is_let_go_of_at_its_reader() {
    let mut world = World::new(Repeat::Safe);
    world.reads = vec![Act::Hang, Act::End(20 * MS, Evidence::Read { cached: 0 })];
    world.submit(1);
    world.run(6_000 * MS);
    assert_eq!(world.final_of(1), Final::Served);
    assert_eq!(world.count(|effect| matches!(effect, Effect::Release { attempt: 0, .. })), 1);
}

#[test]
fn a_front_that_drains_or_is_full_takes_nothing_and_stops_what_outlasts_it() {
    let mut world = World::new(Repeat::Unsafe);
    world.writes = vec![Act::Stream(10 * MS, 60_000 * MS, Evidence::Turn { cached: 0 }, Vec::new())];
    for chain in 1..=50 {
        world.submit(chain);
    }
    world.submit(51);
    assert!(matches!(world.final_of(51), Final::Refused { reason: Reason::FrontFull, .. }));
    world.run(100 * MS);
    world.pass(Event::Drain);
    world.submit(52);
    assert!(matches!(world.final_of(52), Final::Refused { reason: Reason::Draining, .. }));
    world.pass(Event::Stop);
    world.run(1_000 * MS);
    assert_eq!(world.core.held(), 0);
    for chain in 1..=50 {
        world.final_of(chain);
    }
}

#[test]
fn late_and_foreign_news_changes_nothing() {
    let mut world = World::new(Repeat::Safe);
    world.submit(1);
    world.run(1_000 * MS);
    let before = world.effects.len();
    let ended = |chain, leg| Event::AttemptEnded {
        chain: ChainId(chain),
        leg: ReqId(leg),
        attempt: 0,
        evidence: Evidence::Turn { cached: 0 },
        took: 1,
        usage: None,
        text: 1,
        calls: Vec::new(),
        load: None,
    };
    for event in [
        ended(1, 1),
        ended(9, 9),
        Event::Streaming { chain: ChainId(1), leg: ReqId(1), attempt: 0, took: 1 },
        Event::ToolEnded { chain: ChainId(1), call: 0, end: ToolEnd::Unknown },
        Event::ClientGone { chain: ChainId(1) },
        Event::TooLong { chain: ChainId(7) },
    ] {
        world.pass(event);
    }
    assert_eq!(world.effects.len(), before);
}

fn act() -> impl Strategy<Value = Act> {
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
        1 => (0..800 * MS, evidence).prop_map(|(after, evidence)| Act::End(after, evidence)),
        1 => Just(Act::Hang),
        1 => (0..500 * MS).prop_map(|first| Act::Stream(first, first + MS, Evidence::Broke, vec![])),
        4 => (0..900 * MS, 1..900 * MS, calls)
            .prop_map(|(first, more, calls)| Act::Stream(first, first + more, Evidence::Turn { cached: 0 }, calls)),
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

    /// Whatever engines, tools and clients do: one final answer in time, no effect twice, nothing left.
    #[test]
    fn any_mixture_of_faults_keeps_the_rules(
        reads in prop::collection::vec(act(), 0..6),
        writes in prop::collection::vec(act(), 1..12),
        tools in prop::collection::vec(tool(), 1..6),
        leaves in prop::collection::vec(prop::option::of(0..4_000 * MS), 1..6),
        safe in any::<bool>(),
    ) {
        let repeat = if safe { Repeat::Safe } else { Repeat::Unsafe };
        let mut world = World::new(repeat);
        // Reads end as reads, or as whatever was drawn that is no stream.
        world.reads = reads
            .into_iter()
            .map(|act| match act {
                Act::Stream(first, ..) => Act::End(first, Evidence::Read { cached: 0 }),
                other => other,
            })
            .chain([Act::End(15 * MS, Evidence::Read { cached: 0 })])
            .collect();
        world.writes = writes;
        world.tools = tools;
        for (chain, leave) in leaves.iter().enumerate() {
            let id = chain as u64 + 1;
            world.submit(id);
            if let Some(after) = leave {
                world.run(*after / 8);
                world.pass(Event::ClientGone { chain: ChainId(id) });
            }
        }
        let begun = world.now;
        world.run(22_000 * MS);
        prop_assert_eq!(world.core.held(), 0);
        for (chain, leave) in leaves.iter().enumerate() {
            let finals = world.finals.get(&(chain as u64 + 1)).cloned().unwrap_or_default();
            prop_assert_eq!(finals.len(), 1);
            prop_assert!(leave.is_some() || finals[0] != Final::Gone);
        }
        let last = world.effects.iter().filter(|(_, e)| matches!(e, Effect::Answer { .. })).map(|(at, _)| *at).max();
        prop_assert!(last.unwrap_or(0) <= begun + 20_000 * MS, "an answer after the whole time");
        // By turn: writers that may have run, and calls of the tool with an effect.
        let mut may_have_run = std::collections::BTreeMap::new();
        for (_, effect) in &world.effects {
            if let Effect::Send { chain, turn, stage: Stage::Write | Stage::Whole, .. } = effect {
                *may_have_run.entry((*chain, *turn)).or_insert(0) += 1;
            }
        }
        let proved = world.core.counters().outcomes.iter();
        let proved: u64 =
            proved.filter(|(name, _)| ["full", "no-connection"].contains(name)).map(|(_, count)| count).sum();
        let again: u64 = may_have_run.values().map(|sends: &u64| sends - 1).sum();
        prop_assert!(safe || again <= proved, "{again} sent again, {proved} proved not to have run");
        prop_assert!(world.longest_wait <= 300 * MS, "a state waited {} us", world.longest_wait);
    }
}
