//! Exhaustive search over all interleavings of accept, refusal, `100 Continue`, close, answer and timeout
//! over a server's addresses. In none of them is a request's body written twice, or its head on two open
//! connections, and no request that may have run is reported as proved never to have run.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use elderstage::{ServerId, Time};
use elderstage_core::Stage;
use elderstage_core::addresses::{
    Candidate, ConnectionSource, Proof, Race, RaceFailure, RaceStep, RemainingRequest,
};
use elderstage_core::evidence::{Evidence, classify};
use elderstage_protocol::place::Endpoint;

const MS: Time = 1_000;
const END: Time = 500 * MS;

/// What was written on one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct WireState {
    is_open: bool,
    has_head: bool,
    has_health_request: bool,
    has_body: bool,
}

/// The event that is still outstanding for a lane. It may arrive after the race stops waiting for it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outstanding {
    Nothing,
    Connect,
    ProofAnswer,
}

#[derive(Clone, Debug, PartialEq)]
enum RaceEnd {
    Sent(usize),
    Lost(RaceFailure),
    /// A final answer to the head arrived.
    Answered,
}

#[derive(Clone, Debug)]
struct World {
    race: Race,
    now: Time,
    wires: Vec<WireState>,
    outstanding: Vec<Outstanding>,
    bodies: u32,
    /// The head was written on some connection.
    is_head_written: bool,
    wait_until: Option<Time>,
    ended: Option<RaceEnd>,
    /// Number of time steps to the middle of a wait. One is enough, since only its order with the events
    /// matters.
    middle_steps: u32,
    source: ScriptedSource,
}

/// Idle connections by lane, each with whether it is already closed, and the delay of a dial (`None`: no
/// dial).
#[derive(Clone, Debug)]
struct ScriptedSource {
    idle: Vec<Vec<bool>>,
    budget: Option<Time>,
}

impl ConnectionSource<bool> for ScriptedSource {
    fn take_idle(&mut self, _: Time, endpoint: &Endpoint) -> Option<bool> {
        self.idle[lane(endpoint)].pop()
    }

    fn reserve_dial(&mut self, now: Time, by: Time, _: &Endpoint) -> Option<Time> {
        self.budget.map(|delay| now + delay).filter(|at| *at <= by)
    }

    fn cancel_dial(&mut self, _: &Endpoint) {}

    fn proof_late(&mut self, _: Time, _: Time, _: &Endpoint) {}
}

fn endpoint(lane: usize) -> Endpoint {
    Endpoint::Tcp(([127, 0, 0, 1], 1000 + lane as u16).into())
}

fn lane(endpoint: &Endpoint) -> usize {
    match endpoint {
        Endpoint::Tcp(addr) => addr.port() as usize - 1000,
        Endpoint::Unix(_) => unreachable!(),
    }
}

#[derive(Clone, Copy, Debug)]
enum WorldEvent {
    Accept(usize),
    Refuse(usize),
    Continue(usize),
    Close(usize),
    /// A 417 answer, and whether the connection stays open.
    ExpectationFailed(usize, bool),
    Answer(usize),
    Time(Time),
}

impl World {
    fn new(proofs: &[Proof], source: ScriptedSource) -> World {
        let candidate = |n| Candidate {
            endpoint: endpoint(n),
            mean_connect: 0.0,
            mean_proof: 0.0,
            is_proven: false,
            rejects_continue: false,
        };
        let order = (0..proofs.len()).map(candidate).collect();
        let race =
            Race::new(ServerId("s".into()), 0, END, order, |candidate| proofs[lane(&candidate.endpoint)]);
        let mut world = World {
            race,
            now: 0,
            wires: vec![WireState::default(); proofs.len()],
            outstanding: vec![Outstanding::Nothing; proofs.len()],
            bodies: 0,
            is_head_written: false,
            wait_until: None,
            ended: None,
            middle_steps: 0,
            source,
        };
        world.run_race();
        world
    }

    /// Carries out the steps of the race until it waits or is over.
    fn run_race(&mut self) {
        for _ in 0..50 {
            match self.race.poll(self.now, &mut self.source) {
                RaceStep::Reuse(lane, closed) => {
                    self.wires[lane] = WireState { is_open: true, ..WireState::default() };
                    // A close is noticed either before anything is written, or only by writing.
                    if closed {
                        self.wires[lane].is_open = false;
                        self.race.record_stale(lane);
                    }
                }
                RaceStep::Dial(lane, until) => {
                    assert!(until <= END);
                    self.outstanding[lane] = Outstanding::Connect;
                }
                RaceStep::Prove(lane, proof) => {
                    let wire = &mut self.wires[lane];
                    assert!(wire.is_open && !wire.has_head && !wire.has_body);
                    (wire.has_head, wire.has_health_request) =
                        (proof == Proof::Continue, proof == Proof::Health);
                    self.is_head_written |= proof == Proof::Continue;
                    self.outstanding[lane] = Outstanding::ProofAnswer;
                }
                RaceStep::Drop(lane) => self.wires[lane].is_open = false,
                RaceStep::Send(lane, rest) => {
                    let wire = &mut self.wires[lane];
                    assert!(self.now < END, "sent at or after the end");
                    assert!(wire.is_open && !wire.has_body);
                    assert!(rest == RemainingRequest::Whole || wire.has_head, "body sent without its head");
                    wire.has_body = true;
                    self.bodies += 1;
                    self.ended = Some(RaceEnd::Sent(lane));
                }
                RaceStep::Wait(at) => {
                    assert!(at > self.now && at <= END);
                    self.wait_until = Some(at);
                    return self.check_invariants();
                }
                RaceStep::Lost(lost) => self.ended = Some(RaceEnd::Lost(lost)),
            }
            self.check_invariants();
            if self.ended.is_some() {
                return;
            }
        }
        panic!("the race neither waits nor ends: {self:?}");
    }

    fn check_invariants(&self) {
        assert!(self.bodies <= 1, "sent twice: {self:?}");
        let heads = self.wires.iter().filter(|wire| wire.is_open && wire.has_head).count();
        assert!(heads <= 1, "two connections have the head: {self:?}");
        match &self.ended {
            Some(RaceEnd::Lost(lost)) => {
                assert_eq!(self.bodies, 0, "body sent, but reported as never run: {self:?}");
                let evidence = match lost {
                    RaceFailure::NotConnected => Evidence::NotConnected,
                    RaceFailure::NotProven => Evidence::NotProven,
                    RaceFailure::NoRoom => Evidence::NoRoom,
                };
                assert!(classify(Stage::Whole, &evidence).0.never_ran());
                assert_eq!(self.is_head_written, *lost == RaceFailure::NotProven, "{self:?}");
            }
            Some(RaceEnd::Answered) => {
                assert_eq!(self.bodies, 0);
                let evidence = Evidence::Unsent { status: 503 };
                assert!(classify(Stage::Whole, &evidence).0.never_ran());
            }
            Some(RaceEnd::Sent(_)) => {
                // From now on, no end of the connection proves that the request did not run.
                for evidence in [Evidence::Broke, Evidence::TimedOut, Evidence::Cancelled, Evidence::Garbled]
                {
                    assert!(!classify(Stage::Whole, &evidence).0.never_ran());
                }
                let body = self.wires.iter().filter(|wire| wire.has_body).count();
                assert_eq!((body, self.bodies), (1, 1));
            }
            None => {}
        }
    }

    fn possible_events(&self) -> Vec<WorldEvent> {
        let mut out = Vec::new();
        for (lane, outstanding) in self.outstanding.iter().enumerate() {
            match outstanding {
                Outstanding::Nothing => {}
                Outstanding::Connect => out.extend([WorldEvent::Accept(lane), WorldEvent::Refuse(lane)]),
                Outstanding::ProofAnswer => {
                    out.extend([WorldEvent::Continue(lane), WorldEvent::Close(lane)]);
                    // The rarer answers only with two addresses: with three the search grows too large.
                    if self.wires[lane].has_head && self.wires.len() < 3 {
                        out.extend([
                            WorldEvent::ExpectationFailed(lane, true),
                            WorldEvent::ExpectationFailed(lane, false),
                            WorldEvent::Answer(lane),
                        ]);
                    }
                }
            }
        }
        if self.ended.is_none() {
            let wait_until = self.wait_until.unwrap_or(END);
            // To the end of the wait, to the end of the race, and to the middle of the wait.
            out.extend([wait_until, END].map(WorldEvent::Time));
            if self.middle_steps == 0 {
                out.push(WorldEvent::Time(wait_until - (wait_until - self.now) / 2));
            }
        }
        out
    }

    fn apply_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Accept(lane) => {
                self.outstanding[lane] = Outstanding::Nothing;
                // A connection that the race does not wait for stays unused.
                if self.race.record_connected(lane) {
                    self.wires[lane] = WireState { is_open: true, ..WireState::default() };
                }
            }
            WorldEvent::Refuse(lane) => {
                self.outstanding[lane] = Outstanding::Nothing;
                self.race.record_failure(lane);
            }
            WorldEvent::Continue(lane) => {
                self.outstanding[lane] = Outstanding::Nothing;
                let wanted = self.race.record_proof(lane);
                assert!(!wanted || self.wires[lane].is_open, "a closed connection was proven");
            }
            WorldEvent::Close(lane) => {
                self.outstanding[lane] = Outstanding::Nothing;
                self.wires[lane].is_open = false;
                self.race.record_failure(lane);
            }
            WorldEvent::ExpectationFailed(lane, stays_open) => {
                self.outstanding[lane] = Outstanding::Nothing;
                // The answer ends the request with that head: a new request follows, on this or a new
                // connection.
                (self.wires[lane].has_head, self.wires[lane].is_open) = (false, stays_open);
                self.race.record_expectation_failed(lane, stays_open);
            }
            WorldEvent::Answer(lane) => {
                self.outstanding[lane] = Outstanding::Nothing;
                if self.ended.is_none()
                    && self.race.is_being_proven(lane)
                    && self.race.proving_since(lane).is_some()
                {
                    self.ended = Some(RaceEnd::Answered);
                    return self.check_invariants();
                }
            }
            WorldEvent::Time(to) => {
                self.middle_steps += u32::from(to != END && Some(to) != self.wait_until);
                self.now = self.now.max(to);
            }
        }
        if self.ended.is_none() {
            self.run_race();
        } else {
            // A late event after the end changes nothing: the race returns the same step again.
            let before = self.bodies;
            let step = self.race.poll(self.now, &mut self.source);
            assert!(
                matches!(step, RaceStep::Send(..) | RaceStep::Lost(_))
                    || self.ended == Some(RaceEnd::Answered)
            );
            assert_eq!(self.bodies, before);
            self.check_invariants();
        }
    }
}

#[derive(Default)]
struct Coverage {
    states: HashSet<u64>,
    sent: u64,
    lost: u64,
    answered: u64,
}

fn explore(world: World, coverage: &mut Coverage) {
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    if !coverage.states.insert(hasher.finish()) {
        return;
    }
    match &world.ended {
        Some(RaceEnd::Sent(_)) => coverage.sent += 1,
        Some(RaceEnd::Lost(_)) => coverage.lost += 1,
        Some(RaceEnd::Answered) => coverage.answered += 1,
        None => assert!(world.now < END, "the race still waits after its end: {world:?}"),
    }
    for event in world.possible_events() {
        let mut next = world.clone();
        next.apply_event(event);
        explore(next, coverage);
    }
}

const PROOFS: [Proof; 3] = [Proof::None, Proof::Continue, Proof::Health];

fn explore_all(proofs: &[Proof], coverage: &mut Coverage) {
    let lanes = proofs.len();
    for idle in [vec![], vec![false], vec![true], vec![false, true], vec![false, false, false]] {
        for budget in [Some(0), Some(30 * MS), None] {
            let mut source = ScriptedSource { idle: vec![Vec::new(); lanes], budget };
            source.idle[0].clone_from(&idle);
            explore(World::new(proofs, source), coverage);
        }
    }
}

#[test]
fn two_addresses_never_send_twice_or_report_a_possible_run_as_never_run() {
    let mut coverage = Coverage::default();
    for first in PROOFS {
        for second in PROOFS {
            explore_all(&[first, second], &mut coverage);
        }
    }
    // Guards against a search that covers nothing: all three ends are reached in many ways.
    assert!(coverage.states.len() > 10_000, "{}", coverage.states.len());
    assert!(
        coverage.sent > 500 && coverage.lost > 500 && coverage.answered > 500,
        "{} {} {}",
        coverage.sent,
        coverage.lost,
        coverage.answered
    );
}

#[test]
fn three_addresses_never_send_twice_or_report_a_possible_run_as_never_run() {
    let mut coverage = Coverage::default();
    for idle in [vec![], vec![false]] {
        let source = ScriptedSource { idle: vec![idle, vec![], vec![]], budget: Some(0) };
        explore(World::new(&[Proof::Continue; 3], source), &mut coverage);
    }
    assert!(coverage.states.len() > 10_000, "{}", coverage.states.len());
}
