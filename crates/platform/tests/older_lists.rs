//! Tests of lists that come out of order: from a discovery that lags, or that has numbered its lists anew.

mod harness;

use elderstage::{Outcome, ServerStatus, Time, example_settings};
use elderstage_platform::hub::Input;
use elderstage_platform::list::{Host, List};
use elderstage_platform::list_history::ListHistory;
use harness::{Harness, addr, host, sent_attempt};
use proptest::prelude::*;

use ServerStatus::{Draining, Gone, Running};

/// A start of an engine before the test, in microseconds, and a later one.
const STARTED: Time = 7_000_000;
const RESTARTED: Time = 8_000_000;
/// Number of requests that show which readers are used.
const REQUESTS: u32 = 24;

/// An entry of a list: a reader, its status and its start.
type Entry = (&'static str, ServerStatus, Time);

fn entry_host(entry: &Entry) -> Host {
    let (name, status, started) = *entry;
    let port = 1 + name.len() as u16;
    let mut host = host(name, 0, port, status);
    host.entry.ready_at = started;
    host
}

/// The whole list of these readers, with one writer.
fn whole(version: u64, entries: &[Entry]) -> List {
    let writer = host("writer", 1, 3, Running);
    let hosts = entries.iter().map(entry_host).chain([writer]).collect();
    List { version, is_complete: true, hosts }
}

/// A list of changes.
fn changes(version: u64, entries: &[Entry]) -> List {
    List { version, is_complete: false, hosts: entries.iter().map(entry_host).collect() }
}

/// The readers that new requests go to.
fn used_readers(harness: &mut Harness) -> Vec<String> {
    let mut used: Vec<String> = Vec::new();
    for id in 1..=REQUESTS {
        let (attempt, reader) = sent_attempt(&harness.arrive(id, &format!("request-{id}"))).unwrap();
        used.push(reader);
        let commands = harness.end_attempt(id, attempt, Outcome::Read);
        let (attempt, _) = sent_attempt(&commands).unwrap();
        harness.end_attempt(id, attempt, Outcome::Served);
    }
    used.sort_unstable();
    used.dedup();
    used
}

/// Guards against requests to an engine that drains or is gone: a list of a lower version, from a discovery that lags or
/// has numbered anew, took back what the node had been told (`review/10`).
#[test]
fn an_older_list_takes_back_no_drain_and_no_removal() {
    let both = [("reader", Running, STARTED), ("spare", Running, STARTED)];
    let drained = [("reader", Draining, STARTED), ("spare", Running, STARTED)];
    let restarted = [("reader", Running, RESTARTED), ("spare", Running, STARTED)];
    let started_earlier = [("reader", Running, STARTED - 1), ("spare", Running, STARTED)];
    let with_third = [both[0], both[1], ("third", Running, STARTED)];
    let drain = || changes(46, &drained[..1]);
    let without_reader = || whole(46, &both[1..]);
    for (what, lists, wanted) in [
        ("nothing was told", vec![whole(45, &both)], &["reader", "spare"][..]),
        ("a drain", vec![drain()], &["spare"]),
        ("a drain, and a discovery that lags", vec![drain(), whole(45, &both)], &["spare"]),
        ("and that has caught up", vec![drain(), whole(45, &both), whole(46, &drained)], &["spare"]),
        ("and that ends the drain", vec![drain(), whole(45, &both), whole(47, &both)], &["reader", "spare"]),
        ("a drain in a whole list", vec![whole(46, &drained), whole(45, &both)], &["spare"]),
        ("the same version", vec![drain(), whole(46, &both)], &["spare"]),
        ("a removal", vec![changes(46, &[("reader", Gone, STARTED)]), whole(45, &both)], &["spare"]),
        (
            "a removal without a start",
            vec![changes(46, &[("reader", Gone, 0)]), whole(45, &both)],
            &["spare"],
        ),
        ("a whole list that lacks it", vec![without_reader(), whole(45, &both)], &["spare"]),
        ("and that has it again", vec![without_reader(), whole(47, &both)], &["reader", "spare"]),
        ("a later start", vec![drain(), whole(2, &restarted)], &["reader", "spare"]),
        ("a later start after a removal", vec![without_reader(), whole(2, &restarted)], &["reader", "spare"]),
        ("an earlier start", vec![drain(), whole(45, &started_earlier)], &["spare"]),
        ("versions numbered anew", vec![drain(), whole(1, &both), changes(2, &both[..1])], &["spare"]),
        (
            "versions numbered anew, past the drain",
            vec![drain(), whole(1, &both), changes(47, &both[..1])],
            &["reader", "spare"],
        ),
        (
            "an engine that is new in the older list",
            vec![drain(), whole(1, &with_third)],
            &["spare", "third"],
        ),
        ("a drain in a list numbered anew", vec![whole(46, &both), whole(1, &drained)], &["spare"]),
        (
            "the end of a drain in lists numbered anew",
            vec![whole(46, &both), whole(1, &drained), whole(2, &both)],
            &["reader", "spare"],
        ),
        ("a removal in a list numbered anew", vec![whole(46, &both), whole(1, &both[1..])], &["spare"]),
        (
            "lists without numbers",
            vec![changes(0, &drained[..1]), changes(0, &both[..1])],
            &["reader", "spare"],
        ),
    ] {
        let mut harness = Harness::new(example_settings());
        harness.handle(Input::ListReceived { list: whole(45, &both), restored: false });
        for list in lists {
            harness.handle(Input::ListReceived { list, restored: false });
        }
        assert_eq!(used_readers(&mut harness), wanted, "{what}");
    }
}

/// The list that a node knows at its start counts as told: a discovery that lags takes nothing of it back.
#[test]
fn an_older_list_after_a_restart_takes_back_no_drain() {
    let mut harness = Harness::new(example_settings());
    let drained = [("reader", Draining, STARTED), ("spare", Running, STARTED)];
    harness.handle(Input::ListReceived { list: whole(46, &drained), restored: true });
    let both = [("reader", Running, STARTED), ("spare", Running, STARTED)];
    harness.handle(Input::ListReceived { list: whole(45, &both), restored: false });
    assert_eq!(used_readers(&mut harness), ["spare"]);
    assert_eq!(harness.hub.counts().overruled_entries, 1);
}

/// Guards against a cold engine that is taken for a warm one: a list from before its start takes the start back.
#[test]
fn an_older_list_takes_back_no_start() {
    let mut history = ListHistory::default();
    let mut restarted = whole(46, &[("reader", Running, RESTARTED)]);
    restarted.hosts[0].address = Some(addr(77));
    history.reconcile(&mut restarted);
    let mut older = whole(45, &[("reader", Running, STARTED)]);
    history.reconcile(&mut older);
    let reader = &older.hosts[0];
    assert_eq!((reader.entry.ready_at, reader.address), (RESTARTED, Some(addr(77))));
    // A drain of the earlier process says nothing of the later one.
    let mut older = whole(45, &[("reader", Draining, STARTED)]);
    history.reconcile(&mut older);
    assert_eq!(older.hosts[0].entry.listed, Running);
}

/// Engines come and go over a long day: those that have left are remembered in a bounded number, the last ones.
#[test]
fn engines_that_have_left_are_remembered_in_a_bounded_number() {
    const ENGINES: u64 = 30_000;
    let mut history = ListHistory::default();
    let entry = |n: u64, status| {
        let mut host = host(&format!("engine-{n}"), 0, 1, status);
        host.entry.ready_at = STARTED;
        host
    };
    let one = |version, n, status| List { version, is_complete: false, hosts: vec![entry(n, status)] };
    for n in 0..ENGINES {
        history.reconcile(&mut one(2 * n + 1, n, Running));
        history.reconcile(&mut one(2 * n + 2, n, Gone));
        assert!(history.len() <= 8_193, "{} engines are remembered", history.len());
    }
    let mut older = one(1, ENGINES - 1, Running);
    history.reconcile(&mut older);
    assert_eq!(older.hosts[0].entry.listed, Gone);
}

/// What a list says of one engine: version, status and start.
type Told = (u64, ServerStatus, Time);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any order of lists: an engine is used only if no list said that it leaves, or something newer has come since.
    #[test]
    fn an_engine_that_leaves_is_used_only_after_something_newer(
        told in prop::collection::vec(
            (1u64..6, prop_oneof![Just(Running), Just(Draining), Just(Gone)], 1u64..3),
            1..12,
        ),
        is_whole in any::<bool>(),
    ) {
        let mut history = ListHistory::default();
        let mut before: Vec<Told> = Vec::new();
        for (version, status, started) in told {
            before.push((version, status, started));
            let mut list = changes(version, &[("reader", status, started)]);
            list.is_complete = is_whole;
            history.reconcile(&mut list);
            let is_used = list.hosts.iter().any(|host| host.entry.listed == Running);
            let is_undone = |at: usize| {
                let (version, _, started) = before[at];
                before[at + 1..].iter().any(|later| later.0 > version || later.2 > started)
            };
            let leaves_at = |at: &usize| before[*at].1 != Running && before[*at].2 >= latest_start(&before[..*at]);
            if is_used {
                let kept = (0..before.len()).filter(leaves_at).find(|at| !is_undone(*at));
                prop_assert_eq!(kept, None, "{:?}", before);
            }
        }
    }
}

/// The latest start that was told.
fn latest_start(told: &[Told]) -> Time {
    told.iter().map(|(_, _, started)| *started).max().unwrap_or_default()
}
