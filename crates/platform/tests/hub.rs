//! The hub with the module in it, driven by hand. Times are microseconds.

use std::collections::HashMap;
use std::net::SocketAddr;

use elderstage::{Arrival, Entry, Listed, Outcome, ReqId, ServerId, Settings, Time, example_settings};
use elderstage_platform::ask::Ask;
use elderstage_platform::hub::{Command, Hub, Input, Last};
use elderstage_platform::list::{Host, List};

const MS: Time = 1_000;

struct World {
    hub: Hub,
    now: Time,
    /// The release that each holder was last told of.
    rounds: HashMap<(ReqId, ServerId), u32>,
}

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn host(name: &str, kind: usize, port: u16, listed: Listed) -> Host {
    let server = ServerId(name.into());
    let entry = Entry { server, listed, kind, zone: 0, cell: 0, weight: 1.0, ready_at: 0 };
    Host { entry, address: Some(addr(port)) }
}

fn ask(trace: &str) -> Ask {
    let arrival = Arrival {
        id: ReqId(0),
        class: 0,
        tenant: 0,
        session: None,
        prefix: None,
        time_left: 4_000 * MS,
        hint: 0,
        prompt: 1_000.0,
        shared: 0.0,
        max_out: 100.0,
        repeat: false,
        returned: false,
    };
    Ask { trace: trace.into(), arrival }
}

impl World {
    fn with(settings: Settings) -> World {
        let mut world = World { hub: Hub::new(settings, 7), now: 1_000_000 * MS, rounds: HashMap::new() };
        let hosts = vec![
            host("reader", 0, 1, Listed::Running),
            host("spare", 0, 2, Listed::Running),
            host("writer", 1, 3, Listed::Running),
        ];
        world.tell(Input::Listed { list: List { seq: 1, whole: true, hosts }, restored: true });
        world
    }

    fn tell(&mut self, input: Input) -> Vec<Command> {
        self.now += MS;
        let mut out = Vec::new();
        self.hub.handle(self.now, input, &mut out);
        out.retain(|command| !matches!(command, Command::Probe { .. }));
        for command in &out {
            if let Command::Release { id, holder, round, .. } = command {
                self.rounds.insert((*id, holder.clone()), *round);
            }
        }
        out
    }

    fn arrive(&mut self, id: u32, trace: &str) -> Vec<Command> {
        self.tell(Input::Arrived { id: ReqId(id), ask: ask(trace) })
    }

    fn end(&mut self, id: u32, attempt: u32, outcome: Outcome) -> Vec<Command> {
        self.tell(Input::Ended { id: ReqId(id), attempt, outcome, note: 0, report: None, events: 0 })
    }

    fn said(&mut self, id: u32, holder: &str, engine: &str, heard: bool) -> Vec<Command> {
        let (holder, engine) = (ServerId(holder.into()), ServerId(engine.into()));
        let id = ReqId(id);
        let round = self.rounds.get(&(id, holder.clone())).copied().unwrap_or_default();
        self.tell(Input::Said { id, holder, round, engine, heard })
    }

    /// Lets time pass, with the timers that are due.
    fn pass(&mut self, time: Time) -> Vec<Command> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.hub.next_timer().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.hub.wake(self.now, &mut out);
        }
        self.now = end;
        out
    }
}

fn sent(commands: &[Command]) -> Option<(u32, String)> {
    commands.iter().find_map(|command| match command {
        Command::Send { attempt, server, .. } => Some((*attempt, server.0.to_string())),
        _ => None,
    })
}

fn released(commands: &[Command]) -> Vec<SocketAddr> {
    let dial = |command: &Command| match command {
        Command::Release { dial, .. } => Some(*dial),
        _ => None,
    };
    commands.iter().filter_map(dial).collect()
}

fn told(commands: &[Command]) -> Vec<String> {
    let engine = |command: &Command| match command {
        Command::Release { engine, .. } => Some(engine.0.to_string()),
        _ => None,
    };
    commands.iter().filter_map(engine).collect()
}

/// A release that nobody heard was not said again while the request was read elsewhere, and what the first reader had
/// read after all stayed there past its time.
#[test]
fn a_release_that_was_not_heard_is_said_again_while_the_next_read_is_out() {
    let mut world = World::with(example_settings());
    let (attempt, first) = sent(&world.arrive(1, "late-read")).unwrap();
    let done = world.end(1, attempt, Outcome::TimedOut);
    assert_eq!(told(&done), [first.as_str()], "the holder alone at first");
    let (_, second) = sent(&done).expect("read anew");
    assert_ne!(first, second);
    // Its connection does not come up.
    let again = world.pass(100 * MS);
    assert!(!told(&again).is_empty(), "said again: {again:?}");
    let heard = world.said(1, &first, &told(&again)[0], true);
    assert!(told(&heard).is_empty());
    assert!(told(&world.pass(400 * MS)).is_empty(), "heard once is enough");
}

fn answer(commands: &[Command]) -> Option<Last> {
    commands.iter().find_map(|command| match command {
        Command::Answer { last, .. } => Some(*last),
        _ => None,
    })
}

#[test]
fn a_request_is_read_written_and_forgotten() {
    let mut world = World::with(example_settings());
    let (attempt, reader) = sent(&world.arrive(1, "a")).unwrap();
    assert!(reader == "reader" || reader == "spare");
    let commands = world.end(1, attempt, Outcome::Read);
    assert_eq!(sent(&commands), Some((1, "writer".into())));
    world.tell(Input::First { id: ReqId(1), attempt: 1 });
    assert_eq!(world.hub.held(), (1, 0), "a stream holds nothing at readers");
    let commands = world.end(1, 1, Outcome::Served);
    assert!(commands.contains(&Command::Forget { id: ReqId(1) }), "{commands:?}");
    assert_eq!((world.hub.held(), world.hub.in_flight().len()), ((0, 0), 0));
    assert_eq!(world.hub.counts().served, 1);
}

/// Another client's open request keeps its id and is not disturbed.
#[test]
fn an_id_that_is_open_is_not_taken_twice() {
    let mut world = World::with(example_settings());
    let (attempt, _) = sent(&world.arrive(1, "a")).unwrap();
    let commands = world.arrive(2, "a");
    assert_eq!(answer(&commands), Some(Last::Open));
    assert_eq!(sent(&commands), None);
    assert!(sent(&world.end(1, attempt, Outcome::Read)).is_some(), "the first goes on");
    world.tell(Input::First { id: ReqId(1), attempt: 1 });
    world.end(1, 1, Outcome::Served);
    assert!(sent(&world.arrive(3, "a")).is_some(), "once it has ended the id is free");
}

/// A client that leaves during a read: its attempt is called off, and what it may have left is let go.
#[test]
fn what_a_left_read_may_hold_is_let_go() {
    let mut world = World::with(example_settings());
    let (attempt, reader) = sent(&world.arrive(1, "a")).unwrap();
    let commands = world.tell(Input::Gone { id: ReqId(1) });
    assert!(commands.contains(&Command::Cancel { id: ReqId(1), attempt }), "{commands:?}");
    let commands = world.end(1, attempt, Outcome::Cancelled);
    let own = addr(if reader == "reader" { 1 } else { 2 });
    assert_eq!(released(&commands), [own]);
    assert_eq!(answer(&commands), None, "nobody is left to be answered");
    assert_eq!(world.hub.held(), (0, 1), "until it is heard");
    world.said(1, &reader, &reader, true);
    assert_eq!(world.hub.held(), (0, 0));
}

/// A read that broke or timed out may have ended well: its state must not wait for the next reader to be free.
#[test]
fn a_read_that_ends_unclear_is_let_go_at_once() {
    for outcome in [Outcome::Broken, Outcome::TimedOut, Outcome::Error] {
        let mut world = World::with(example_settings());
        let (attempt, reader) = sent(&world.arrive(1, "a")).unwrap();
        let commands = world.end(1, attempt, outcome);
        assert_eq!(released(&commands), [addr(if reader == "reader" { 1 } else { 2 })], "{outcome:?}");
    }
    for outcome in [Outcome::NoConnection, Outcome::Full] {
        let mut world = World::with(example_settings());
        let (attempt, _) = sent(&world.arrive(1, "a")).unwrap();
        assert_eq!(released(&world.end(1, attempt, outcome)), [], "{outcome:?}: nothing can be held");
    }
}

/// What fails at once is said again elsewhere, and in the end given up.
#[test]
fn a_release_is_said_until_an_engine_has_heard_it() {
    let mut world = World::with(example_settings());
    let (attempt, reader) = sent(&world.arrive(1, "a")).unwrap();
    world.tell(Input::Gone { id: ReqId(1) });
    let mut told = told(&world.end(1, attempt, Outcome::Cancelled));
    for n in 0..2 {
        let engine = told[n].clone();
        told.extend(self::told(&world.said(1, &reader, &engine, false)));
    }
    let mut all = told.clone();
    all.sort_unstable();
    assert_eq!((told[0].as_str(), told.len()), (reader.as_str(), 3));
    assert_eq!(all, ["reader", "spare", "writer"], "each of the zone once before any twice");
    world.said(1, &reader, &told[2], true);
    assert_eq!(world.hub.held(), (0, 0));
    // With nobody left who hears, it is given up after a bounded number of tries.
    let (attempt, reader) = sent(&world.arrive(2, "b")).unwrap();
    world.tell(Input::Gone { id: ReqId(2) });
    let mut told = self::told(&world.end(2, attempt, Outcome::Cancelled));
    for _ in 0..100 {
        let Some(engine) = told.pop() else { break };
        told.extend(self::told(&world.said(2, &reader, &engine, false)));
    }
    assert_eq!(world.hub.held(), (0, 0));
    assert!(world.hub.counts().releases_again < 100);
}

/// An attempt at a server that has just left the list never ran.
#[test]
fn a_server_without_an_address_is_no_connection() {
    let mut world = World::with(example_settings());
    let (attempt, reader) = sent(&world.arrive(1, "a")).unwrap();
    let gone = vec![host("writer", 1, 3, Listed::Gone)];
    world.tell(Input::Listed { list: List { seq: 2, whole: false, hosts: gone }, restored: false });
    let commands = world.end(1, attempt, Outcome::Read);
    assert_eq!(sent(&commands), None);
    let all = world.pass(3_000 * MS);
    assert!(matches!(answer(&all), Some(Last::Refused { .. })), "{reader}: {all:?}");
    assert!(!released(&all).is_empty(), "the state that nobody takes is let go");
}

/// Given up is answered at once and with advice, and long before the client's time is up.
#[test]
fn what_nobody_can_take_is_refused_early() {
    let mut world = World::with(example_settings());
    let gone = ["reader", "spare", "writer"].map(|name| host(name, 0, 1, Listed::Gone)).into();
    world.tell(Input::Listed { list: List { seq: 2, whole: false, hosts: gone }, restored: false });
    world.arrive(1, "a");
    let commands = world.pass(1_000 * MS);
    let Some(Last::Refused { retry_after }) = answer(&commands) else { panic!("{commands:?}") };
    assert!((1..=500 * MS).contains(&retry_after));
    assert_eq!(world.hub.held(), (0, 0));
}

/// Nothing is kept of requests, servers and timers that are over.
#[test]
fn nothing_grows_over_a_long_day() {
    let mut world = World::with(example_settings());
    for n in 1..3_000u32 {
        let trace = format!("t{n}");
        let (attempt, _) = sent(&world.arrive(n, &trace)).unwrap();
        assert!(sent(&world.end(n, attempt, Outcome::Read)).is_some());
        world.tell(Input::First { id: ReqId(n), attempt: attempt + 1 });
        world.end(n, attempt + 1, Outcome::Served);
        if n % 10 == 0 {
            let old = host(&format!("w{}", n - 10), 1, 9, Listed::Gone);
            let new = host(&format!("w{n}"), 1, 9, Listed::Running);
            world.tell(Input::Listed {
                list: List { seq: n.into(), whole: false, hosts: vec![old, new] },
                restored: false,
            });
        }
    }
    world.pass(5_000 * MS);
    assert_eq!(world.hub.held(), (0, 0));
    assert_eq!(world.hub.servers(), 4);
    assert_eq!(world.hub.next_timer(), None, "no timer is left when nothing is open");
}

/// The node ends: the module's moves come out as commands, one by one, and the stream that is moved is over.
#[test]
fn streams_are_moved_when_the_node_ends() {
    let mut world = World::with(Settings { resume: true, ..example_settings() });
    let mut long = ask("a");
    long.arrival.hint = 60_000 * MS;
    let (attempt, _) = sent(&world.tell(Input::Arrived { id: ReqId(1), ask: long })).unwrap();
    world.end(1, attempt, Outcome::Read);
    world.tell(Input::First { id: ReqId(1), attempt: 1 });
    world.tell(Input::Stopping { within: 2_000 * MS });
    let commands = world.pass(2_000 * MS);
    let moves = commands.iter().filter(|command| **command == Command::Move { id: ReqId(1) }).count();
    assert_eq!(moves, 1, "{commands:?}");
    let commands = world.end(1, 1, Outcome::Cancelled);
    assert!(commands.contains(&Command::Forget { id: ReqId(1) }) && answer(&commands).is_none());
}

/// Other figures at SIGHUP reach the module.
#[test]
fn other_settings_are_taken_over() {
    let mut world = World::with(example_settings());
    let settings = Box::new(Settings { max_retry_after: 40 * MS, ..example_settings() });
    world.tell(Input::Settings { settings });
    let gone = ["reader", "spare", "writer"].map(|name| host(name, 0, 1, Listed::Gone)).into();
    world.tell(Input::Listed { list: List { seq: 2, whole: false, hosts: gone }, restored: false });
    world.arrive(1, "a");
    let commands = world.pass(1_000 * MS);
    let Some(Last::Refused { retry_after }) = answer(&commands) else { panic!("{commands:?}") };
    assert!(retry_after <= 40 * MS, "{retry_after}");
}

/// What an agent beside the node is told: each request under its class, and in one end alone.
#[test]
fn requests_are_counted_by_class_and_end_once() {
    use elderstage_platform::counting::Counting;
    let mut world = World::with(example_settings());
    world.hub.count(Counting::new("r1", "d1", &["chat".into()], &example_settings()));
    let serve = |world: &mut World, id: u32, wait: Time| {
        let (attempt, _) = sent(&world.arrive(id, &format!("s{id}"))).unwrap();
        assert!(sent(&world.end(id, attempt, Outcome::Read)).is_some());
        world.now += wait;
        world.tell(Input::First { id: ReqId(id), attempt: attempt + 1 });
        world.now += 80 * MS;
        let (id, outcome, attempt) = (ReqId(id), Outcome::Served, attempt + 1);
        world.tell(Input::Ended { id, attempt, outcome, note: 0, report: None, events: 5 });
    };
    serve(&mut world, 1, 10 * MS);
    serve(&mut world, 2, 2_000 * MS);
    world.arrive(3, "gone");
    world.tell(Input::Gone { id: ReqId(3) });
    let gone = ["reader", "spare", "writer"].map(|name| host(name, 0, 1, Listed::Gone)).into();
    world.tell(Input::Listed { list: List { seq: 2, whole: false, hosts: gone }, restored: false });
    world.hub.counting().unwrap().under("d2", &["chat".into()], &example_settings());
    world.arrive(4, "refused");
    world.pass(5_000 * MS);
    let tally = world.hub.counting().unwrap().tally().clone();
    let by: Vec<_> = tally.groups().map(|(key, counts)| (key.settings.as_str(), counts.clone())).collect();
    assert_eq!((by.len(), by[0].0, by[1].0), (2, "d1", "d2"));
    let first = &by[0].1;
    assert_eq!((first.asked, first.in_time, first.late, first.gone), (3, 1, 1, 1));
    assert_eq!((first.first_token.count(), first.token_gap.count()), (2, 2));
    let gap = first.token_gap.quantile(0.5).unwrap();
    assert!((16 * MS..=20 * MS).contains(&gap), "{gap}");
    assert_eq!((by[1].1.asked, by[1].1.refused, by[1].1.ended()), (1, 1, 1));
    let text = serde_json::to_string(&tally).unwrap();
    assert_eq!(serde_json::from_str::<elderstage_tally::Tally>(&text).unwrap(), tally);
}

/// An attempt whose engine is told to drain, or is no longer listed, is stopped if it has not been written yet.
#[test]
fn an_attempt_at_an_engine_that_leaves_is_withdrawn() {
    for (listed, whole) in [(Listed::Draining, false), (Listed::Gone, false), (Listed::Running, true)] {
        let mut world = World::with(example_settings());
        let sent = world.arrive(1, "a");
        let Some(Command::Send { id, attempt, server, .. }) = sent.first().cloned() else {
            panic!("{sent:?}")
        };
        let (leaver, stays) = if &*server.0 == "reader" {
            (("reader", 1), ("spare", 2))
        } else {
            (("spare", 2), ("reader", 1))
        };
        let (name, port) = if whole { stays } else { leaver };
        let hosts = vec![host(name, 0, port, listed)];
        let told = world.tell(Input::Listed { list: List { seq: 2, whole, hosts }, restored: false });
        assert!(told.contains(&Command::Withdraw { id, attempt }), "{listed:?}: {told:?}");
    }
    let mut world = World::with(example_settings());
    world.arrive(1, "a");
    let hosts = vec![host("writer", 1, 3, Listed::Draining)];
    let told = world.tell(Input::Listed { list: List { seq: 2, whole: false, hosts }, restored: false });
    assert!(
        !told.iter().any(|command| matches!(command, Command::Withdraw { .. })),
        "its own engine runs on"
    );
}

/// The waves of a release that is not heard fit into the time that the settings give, however short that is.
#[test]
fn waves_of_a_release_fit_into_the_time_to_let_go() {
    for let_go_by in [50 * MS, 100 * MS, 300 * MS, 2_000 * MS] {
        let mut world = World::with(Settings { let_go_by, ..example_settings() });
        let (attempt, _) = sent(&world.arrive(1, "late-read")).unwrap();
        let done = world.end(1, attempt, Outcome::TimedOut);
        let waves = 1 + world.pass(let_go_by).iter().filter(|c| matches!(c, Command::Release { .. })).count();
        assert!(!released(&done).is_empty() && waves >= 4, "{waves} calls in {} ms", let_go_by / MS);
    }
}
