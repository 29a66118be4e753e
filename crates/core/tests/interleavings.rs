//! Every interleaving of accept, refusal, word to go on, close, answer and time-out over a server's
//! addresses, by exhaustive search: no path writes a request's body twice, has its head on two open
//! connections, or reports as proved never to have run what may have.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use elderstage::{ServerId, Time};
use elderstage_core::Stage;
use elderstage_core::addresses::{Choice, Lost, Proof, Race, Rest, Step, Supply};
use elderstage_core::evidence::{Evidence, classify};
use elderstage_protocol::place::Place;

const MS: Time = 1_000;
const END: Time = 500 * MS;

/// What stands on the wire of one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Wire {
    open: bool,
    head: bool,
    health: bool,
    body: bool,
}

/// What the world has still to say of a lane; it may come late, after nobody waits for it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Owed {
    Nothing,
    Connect,
    Word,
}

#[derive(Clone, Debug, PartialEq)]
enum Ended {
    Sent(usize),
    Lost(Lost),
    /// A final answer came to the head alone.
    Answered,
}

#[derive(Clone, Debug)]
struct World {
    race: Race,
    now: Time,
    wires: Vec<Wire>,
    owed: Vec<Owed>,
    bodies: u32,
    /// The head was written on some connection.
    touched: bool,
    wait: Option<Time>,
    ended: Option<Ended>,
    /// Steps of time to the middle of a wait, of which one is enough: only its order with the events matters.
    middles: u32,
    stock: Stock,
}

/// Idle connections by lane, whether each is closed already, and how long the budget makes a dial wait.
#[derive(Clone, Debug)]
struct Stock {
    idle: Vec<Vec<bool>>,
    budget: Option<Time>,
}

impl Supply<bool> for Stock {
    fn idle(&mut self, _: Time, place: &Place) -> Option<bool> {
        self.idle[lane(place)].pop()
    }

    fn dial(&mut self, now: Time, by: Time, _: &Place) -> Option<Time> {
        self.budget.map(|wait| now + wait).filter(|at| *at <= by)
    }

    fn unused(&mut self, _: &Place) {}

    fn late(&mut self, _: Time, _: Time, _: &Place) {}
}

fn place(lane: usize) -> Place {
    Place::Tcp(([127, 0, 0, 1], 1000 + lane as u16).into())
}

fn lane(place: &Place) -> usize {
    match place {
        Place::Tcp(addr) => addr.port() as usize - 1000,
        Place::Unix(_) => unreachable!(),
    }
}

#[derive(Clone, Copy, Debug)]
enum Happens {
    Accept(usize),
    Refuse(usize),
    GoOn(usize),
    Close(usize),
    /// 417, and whether the connection stays open.
    Unknown(usize, bool),
    Answer(usize),
    Time(Time),
}

impl World {
    fn new(proofs: &[Proof], stock: Stock) -> World {
        let choice =
            |n| Choice { place: place(n), connect: 0.0, prove: 0.0, proven: false, no_continue: false };
        let order = (0..proofs.len()).map(choice).collect();
        let race = Race::new(ServerId("s".into()), 0, END, order, |choice| proofs[lane(&choice.place)]);
        let mut world = World {
            race,
            now: 0,
            wires: vec![Wire::default(); proofs.len()],
            owed: vec![Owed::Nothing; proofs.len()],
            bodies: 0,
            touched: false,
            wait: None,
            ended: None,
            middles: 0,
            stock,
        };
        world.act();
        world
    }

    /// Does what the race says until it waits or is over.
    fn act(&mut self) {
        for _ in 0..50 {
            match self.race.poll(self.now, &mut self.stock) {
                Step::Reuse(lane, closed) => {
                    self.wires[lane] = Wire { open: true, ..Wire::default() };
                    // A close may be seen before anything is written, or only by what is written.
                    if closed {
                        self.wires[lane].open = false;
                        self.race.stale(lane);
                    }
                }
                Step::Dial(lane, until) => {
                    assert!(until <= END);
                    self.owed[lane] = Owed::Connect;
                }
                Step::Prove(lane, proof) => {
                    let wire = &mut self.wires[lane];
                    assert!(wire.open && !wire.head && !wire.body);
                    (wire.head, wire.health) = (proof == Proof::Continue, proof == Proof::Health);
                    self.touched |= proof == Proof::Continue;
                    self.owed[lane] = Owed::Word;
                }
                Step::Drop(lane) => self.wires[lane].open = false,
                Step::Send(lane, rest) => {
                    let wire = &mut self.wires[lane];
                    assert!(self.now < END, "sent at or after the end");
                    assert!(wire.open && !wire.body);
                    assert!(rest == Rest::Whole || wire.head, "a body without its head");
                    wire.body = true;
                    self.bodies += 1;
                    self.ended = Some(Ended::Sent(lane));
                }
                Step::Wait(at) => {
                    assert!(at > self.now && at <= END);
                    self.wait = Some(at);
                    return self.check();
                }
                Step::Lost(lost) => self.ended = Some(Ended::Lost(lost)),
            }
            self.check();
            if self.ended.is_some() {
                return;
            }
        }
        panic!("never waits: {self:?}");
    }

    fn check(&self) {
        assert!(self.bodies <= 1, "sent twice: {self:?}");
        let heads = self.wires.iter().filter(|wire| wire.open && wire.head).count();
        assert!(heads <= 1, "two connections have the head: {self:?}");
        match &self.ended {
            Some(Ended::Lost(lost)) => {
                assert_eq!(self.bodies, 0, "called unrun: {self:?}");
                let evidence = match lost {
                    Lost::NotConnected => Evidence::NotConnected,
                    Lost::NotProven => Evidence::NotProven,
                    Lost::NoRoom => Evidence::NoRoom,
                };
                assert!(classify(Stage::Whole, &evidence).0.never_ran());
                assert_eq!(self.touched, *lost == Lost::NotProven, "{self:?}");
            }
            Some(Ended::Answered) => {
                assert_eq!(self.bodies, 0);
                let evidence = Evidence::Unsent { status: 503 };
                assert!(classify(Stage::Whole, &evidence).0.never_ran());
            }
            Some(Ended::Sent(_)) => {
                // Whatever comes now, nothing of the connection's end proves that it did not run.
                for evidence in [Evidence::Broke, Evidence::TimedOut, Evidence::Cancelled, Evidence::Garbled]
                {
                    assert!(!classify(Stage::Whole, &evidence).0.never_ran());
                }
                let body = self.wires.iter().filter(|wire| wire.body).count();
                assert_eq!((body, self.bodies), (1, 1));
            }
            None => {}
        }
    }

    fn options(&self) -> Vec<Happens> {
        let mut out = Vec::new();
        for (lane, owed) in self.owed.iter().enumerate() {
            match owed {
                Owed::Nothing => {}
                Owed::Connect => out.extend([Happens::Accept(lane), Happens::Refuse(lane)]),
                Owed::Word => {
                    out.extend([Happens::GoOn(lane), Happens::Close(lane)]);
                    // The rarer answers over two addresses only: over three there are too many ways.
                    if self.wires[lane].head && self.wires.len() < 3 {
                        out.extend([
                            Happens::Unknown(lane, true),
                            Happens::Unknown(lane, false),
                            Happens::Answer(lane),
                        ]);
                    }
                }
            }
        }
        if self.ended.is_none() {
            let wait = self.wait.unwrap_or(END);
            // At the end of a wait, of the whole race, and in the middle of a wait.
            out.extend([wait, END].map(Happens::Time));
            if self.middles == 0 {
                out.push(Happens::Time(wait - (wait - self.now) / 2));
            }
        }
        out
    }

    fn happens(&mut self, what: Happens) {
        match what {
            Happens::Accept(lane) => {
                self.owed[lane] = Owed::Nothing;
                // One that nobody waits for stays unused.
                if self.race.connected(lane) {
                    self.wires[lane] = Wire { open: true, ..Wire::default() };
                }
            }
            Happens::Refuse(lane) => {
                self.owed[lane] = Owed::Nothing;
                self.race.failed(lane);
            }
            Happens::GoOn(lane) => {
                self.owed[lane] = Owed::Nothing;
                let wanted = self.race.proven(lane);
                assert!(!wanted || self.wires[lane].open, "a closed connection was proven");
            }
            Happens::Close(lane) => {
                self.owed[lane] = Owed::Nothing;
                self.wires[lane].open = false;
                self.race.failed(lane);
            }
            Happens::Unknown(lane, open) => {
                self.owed[lane] = Owed::Nothing;
                // The answer has ended the head: what follows is a new request, here or on a new connection.
                (self.wires[lane].head, self.wires[lane].open) = (false, open);
                self.race.without_continue(lane, open);
            }
            Happens::Answer(lane) => {
                self.owed[lane] = Owed::Nothing;
                if self.ended.is_none() && self.race.holds(lane) && self.race.proving_since(lane).is_some() {
                    self.ended = Some(Ended::Answered);
                    return self.check();
                }
            }
            Happens::Time(to) => {
                self.middles += u32::from(to != END && Some(to) != self.wait);
                self.now = self.now.max(to);
            }
        }
        if self.ended.is_none() {
            self.act();
        } else {
            // Late news after the end changes nothing: the race says the same again.
            let before = self.bodies;
            let step = self.race.poll(self.now, &mut self.stock);
            assert!(matches!(step, Step::Send(..) | Step::Lost(_)) || self.ended == Some(Ended::Answered));
            assert_eq!(self.bodies, before);
            self.check();
        }
    }
}

#[derive(Default)]
struct Seen {
    states: HashSet<u64>,
    sent: u64,
    lost: u64,
    answered: u64,
}

fn explore(world: World, seen: &mut Seen) {
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    if !seen.states.insert(hasher.finish()) {
        return;
    }
    match &world.ended {
        Some(Ended::Sent(_)) => seen.sent += 1,
        Some(Ended::Lost(_)) => seen.lost += 1,
        Some(Ended::Answered) => seen.answered += 1,
        None => assert!(world.now < END, "still waits after the end: {world:?}"),
    }
    for what in world.options() {
        let mut next = world.clone();
        next.happens(what);
        explore(next, seen);
    }
}

const PROOFS: [Proof; 3] = [Proof::None, Proof::Continue, Proof::Health];

fn all(proofs: &[Proof], seen: &mut Seen) {
    let lanes = proofs.len();
    for idle in [vec![], vec![false], vec![true], vec![false, true], vec![false, false, false]] {
        for budget in [Some(0), Some(30 * MS), None] {
            let mut stock = Stock { idle: vec![Vec::new(); lanes], budget };
            stock.idle[0].clone_from(&idle);
            explore(World::new(proofs, stock), seen);
        }
    }
}

#[test]
fn no_interleaving_over_two_addresses_sends_twice_or_calls_a_possible_run_unrun() {
    let mut seen = Seen::default();
    for first in PROOFS {
        for second in PROOFS {
            all(&[first, second], &mut seen);
        }
    }
    // Guards against a search that sees nothing: all three ends are reached, on many ways.
    assert!(seen.states.len() > 10_000, "{}", seen.states.len());
    assert!(
        seen.sent > 500 && seen.lost > 500 && seen.answered > 500,
        "{} {} {}",
        seen.sent,
        seen.lost,
        seen.answered
    );
}

#[test]
fn nor_over_three() {
    let mut seen = Seen::default();
    for idle in [vec![], vec![false]] {
        let stock = Stock { idle: vec![idle, vec![], vec![]], budget: Some(0) };
        explore(World::new(&[Proof::Continue; 3], stock), &mut seen);
    }
    assert!(seen.states.len() > 10_000, "{}", seen.states.len());
}
