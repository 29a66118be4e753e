//! Addresses that fail, in simulated time: many fronts, many servers, one deterministic queue of events. The core's
//! own state of addresses runs here as it does in a front; the network is the model.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use elderstage::{ServerId, Time};
use elderstage_core::addresses::{Addresses, Ask, Bounds, Life, Proof, Race, Step, Trial};
use elderstage_protocol::place::{Family, Place};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const MS: Time = 1_000;
const S: Time = 1_000_000;
/// How often a front looks after its addresses; as the front does.
const TEND: Time = 50 * MS;
/// Longest time to connect and prove, the configuration's default.
const CONNECT: Time = 250 * MS;
/// Round trip of a path that is well.
const RTT: Time = 300;
/// A connection is in use for so long.
const USE: Time = 40 * MS;

/// What an address does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    Well,
    /// Connects are refused after one round trip.
    Refuses,
    /// Connects are not answered, and nothing comes over connections that stand.
    Silent,
    /// Connects are taken, and nothing is said.
    Stalls,
    /// Connections are closed on the first word.
    Closes,
    /// Everything takes 120 ms more.
    Slow,
}

impl Path {
    fn rtt(self) -> Time {
        if self == Path::Slow { RTT + 120 * MS } else { RTT }
    }

    fn connects(self) -> Option<bool> {
        match self {
            Path::Silent => None,
            Path::Refuses => Some(false),
            _ => Some(true),
        }
    }

    fn answers(self) -> Option<bool> {
        match self {
            Path::Silent | Path::Stalls => None,
            Path::Closes | Path::Refuses => Some(false),
            Path::Well | Path::Slow => Some(true),
        }
    }
}

/// How a front finds a working address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The core's: raced, with what was learned.
    Learned,
    /// Raced anew for each request, nothing learned.
    Race,
    /// One address after the other, each with its share of the time.
    InTurn,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Plan {
    pub fronts: usize,
    pub servers: usize,
    /// Families of each server's addresses, in the order of preference.
    pub ways: Vec<Family>,
    /// Requests a second of each front.
    pub rate: f64,
    pub policy: Policy,
    /// What the addresses of one family, or of all, do from one time to another.
    pub fault: (Option<Family>, Path),
    /// At so many of the servers.
    pub faulty: usize,
    /// It changes between the fault and well every so often; 0 for a fault that stays.
    pub flaps: Time,
    pub from: Time,
    pub to: Time,
    pub end: Time,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    DialEnded { race: usize, lane: usize, since: Time, ok: bool },
    Word { race: usize, lane: usize, number: u32, ok: bool },
    Wake { race: usize },
    Free { server: usize, way: usize, born: Time },
    TrialEnded { trial: usize, since: Time, ok: bool },
    Tend,
}

struct Flight {
    race: Race,
    server: usize,
    begun: Time,
    proofs: Vec<u32>,
    over: bool,
}

struct Front {
    addresses: Addresses<()>,
    flights: Vec<Flight>,
    trials: Vec<Trial>,
    rng: ChaCha8Rng,
    demoted: Option<Time>,
    recovered: Option<Time>,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub requests: u64,
    pub failed: u64,
    /// Microseconds from the request to the moment that its body goes: all, and those begun while the fault stood
    /// and was at least a second old.
    pub delays: Histogram<u64>,
    pub learned: Histogram<u64>,
    /// Dials of all fronts in the busiest second: all, and while the fault stood those to addresses that have it.
    pub dials_peak: u64,
    pub dials_steady_peak: u64,
    pub dials_into_fault: u64,
    /// From the fault's begin until the last front holds the family to be down, and from its end until no front
    /// holds an address to be bad any more.
    pub demoted: Option<Time>,
    pub recovered: Option<Time>,
}

struct World {
    plan: Plan,
    queue: BinaryHeap<Reverse<(Time, u64, usize, What)>>,
    order: u64,
    now: Time,
    fronts: Vec<Front>,
    names: Vec<ServerId>,
    places: Vec<Vec<Place>>,
    dials: BTreeMap<Time, u64>,
    out: Outcome,
}

fn histogram() -> Histogram<u64> {
    // One microsecond to a minute, three figures; bounds that are always valid.
    Histogram::new_with_bounds(1, 60 * S, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("three figures are valid"))
}

fn place(server: usize, index: usize, way: Family) -> Place {
    let port = 1000 + (server * 8 + index) as u16;
    match way {
        Family::Unix => Place::Unix(format!("/{server}-{index}").into()),
        Family::V6 => Place::Tcp((std::net::Ipv6Addr::LOCALHOST, port).into()),
        Family::V4 => Place::Tcp((std::net::Ipv4Addr::LOCALHOST, port).into()),
    }
}

/// Plays a plan to its end.
pub fn simulate(plan: Plan) -> Outcome {
    let names: Vec<ServerId> = (0..plan.servers).map(|n| ServerId(format!("s{n}").into())).collect();
    let ways = |server| plan.ways.iter().enumerate().map(move |(i, way)| place(server, i, *way));
    let places: Vec<Vec<Place>> = (0..plan.servers).map(|server| ways(server).collect()).collect();
    let mut master = ChaCha8Rng::seed_from_u64(plan.seed);
    let list = || names.iter().cloned().zip(places.iter().cloned()).map(|(n, p)| (n, p, false));
    let fronts = (0..plan.fronts).map(|_| {
        let mut addresses = Addresses::new(Bounds::default(), master.random());
        addresses.list(0, list());
        Front {
            addresses,
            flights: Vec::new(),
            trials: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(master.random()),
            demoted: None,
            recovered: None,
        }
    });
    let out = Outcome {
        requests: 0,
        failed: 0,
        delays: histogram(),
        learned: histogram(),
        dials_peak: 0,
        dials_steady_peak: 0,
        dials_into_fault: 0,
        demoted: None,
        recovered: None,
    };
    let mut world = World {
        fronts: fronts.collect(),
        queue: BinaryHeap::new(),
        order: 0,
        now: 0,
        dials: BTreeMap::new(),
        names,
        places,
        out,
        plan,
    };
    world.run();
    world.out
}

impl World {
    fn at(&mut self, at: Time, front: usize, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, front, what)));
    }

    fn path(&self, place: &Place) -> Path {
        let (family, path) = self.plan.fault;
        let concerned = family.is_none_or(|family| place.family() == family)
            && self.places[..self.plan.faulty].iter().any(|places| places.contains(place));
        let faulty = concerned && (self.plan.from..self.plan.to).contains(&self.now);
        let on = self.plan.flaps == 0
            || ((self.now - self.plan.from.min(self.now)) / self.plan.flaps).is_multiple_of(2);
        if faulty && on { path } else { Path::Well }
    }

    fn run(&mut self) {
        for front in 0..self.fronts.len() {
            self.arrive_next(front);
            // Fronts look at different times.
            self.at(TEND * front as Time / self.plan.fronts as Time, front, What::Tend);
        }
        while let Some(Reverse((at, _, front, what))) = self.queue.pop() {
            if at >= self.plan.end {
                break;
            }
            self.now = at;
            self.happens(front, what);
        }
        let (from, to) = (self.plan.from / S, self.plan.to / S);
        self.out.dials_peak = self.dials.values().copied().max().unwrap_or(0);
        // Before the fault, without the first second, in which nothing is in the pools.
        self.out.dials_steady_peak = self.dials.range(1..from.max(2)).map(|(_, n)| *n).max().unwrap_or(0);
        let all = |value: fn(&Front) -> Option<Time>, from: Time| {
            let times: Option<Vec<Time>> = self.fronts.iter().map(value).collect();
            times.and_then(|times| times.into_iter().max()).map(|last| last.saturating_sub(from))
        };
        (self.out.demoted, self.out.recovered) =
            (all(|front| front.demoted, from * S), all(|front| front.recovered, to * S));
    }

    fn arrive_next(&mut self, front: usize) {
        let gap = -(1.0 - self.fronts[front].rng.random::<f64>()).ln() / self.plan.rate;
        self.at(self.now + (gap * 1e6) as Time, front, What::Arrive);
    }

    fn happens(&mut self, front: usize, what: What) {
        match what {
            What::Arrive => {
                self.arrive_next(front);
                self.arrive(front);
            }
            What::DialEnded { race, lane, since, ok } => {
                let place = self.fronts[front].flights[race].race.place(lane).clone();
                let of = &mut self.fronts[front];
                of.addresses.dialed(self.now, &place, since, ok);
                let flight = &mut of.flights[race];
                let taken = if ok { flight.race.connected(lane) } else { flight.race.failed(lane) };
                if !ok {
                    of.addresses.closed(&place);
                } else if !taken {
                    of.addresses.free(self.now, &place, (), Life::new(self.now));
                }
                self.step(front, race);
            }
            What::Word { race, lane, number, ok } => {
                let of = &mut self.fronts[front];
                let flight = &mut of.flights[race];
                if flight.over || flight.proofs[lane] != number {
                    return;
                }
                if ok {
                    of.addresses.proven(self.now, &mut flight.race, lane);
                } else {
                    let place = flight.race.place(lane).clone();
                    of.addresses.not_proven(self.now, &mut flight.race, lane);
                    of.addresses.closed(&place);
                }
                self.step(front, race);
            }
            What::Wake { race } => self.step(front, race),
            What::Free { server, way, born } => {
                let place = self.places[server][way].clone();
                let of = &mut self.fronts[front];
                of.addresses.heard(self.now, &place);
                of.addresses.free(self.now, &place, (), Life { born, uses: 1 });
                self.close(front);
            }
            What::TrialEnded { trial, since, ok } => {
                let of = &mut self.fronts[front];
                let trial = of.trials[trial].clone();
                of.addresses.tried(self.now, &trial, since, ok);
                of.addresses.closed(&trial.place);
            }
            What::Tend => self.tend(front),
        }
    }

    /// What the pool gave back is closed; which it was does not matter here but for the count.
    fn close(&mut self, front: usize) {
        let of = &mut self.fronts[front];
        for () in of.addresses.closing() {
            // The count is by address; any open one will do for bounds over all servers.
            if let Some(place) = self.places.iter().flatten().find(|place| of.addresses.open_at(place) > 0) {
                of.addresses.closed(place);
            }
        }
    }

    fn arrive(&mut self, front: usize) {
        self.out.requests += 1;
        let server = {
            let of = &mut self.fronts[front];
            of.rng.random_range(0..self.plan.servers)
        };
        match self.plan.policy {
            Policy::InTurn => return self.in_turn(server),
            Policy::Race => {
                let mut fresh = Addresses::new(Bounds::default(), 0.0);
                fresh.list(0, [(self.names[server].clone(), self.places[server].clone(), false)]);
                self.fronts[front].addresses = fresh;
            }
            Policy::Learned => {}
        }
        let ask = Ask { once: true, proof: Proof::Continue, connect: CONNECT, time: 10 * S };
        let lanes = self.plan.ways.len();
        let of = &mut self.fronts[front];
        let race = of.addresses.begin(self.now, &self.names[server], ask);
        of.flights.push(Flight { race, server, begun: self.now, proofs: vec![0; lanes], over: false });
        let number = of.flights.len() - 1;
        self.step(front, number);
    }

    /// The baseline needs no events: it waits out each address.
    fn in_turn(&mut self, server: usize) {
        let share = CONNECT / self.plan.ways.len() as Time;
        let mut took = 0;
        for place in &self.places[server] {
            let path = self.path(place);
            let (connects, answers) = (path.connects(), path.answers());
            let need = path.rtt() * if connects == Some(true) { 2 } else { 1 };
            match (connects, answers) {
                (Some(true), Some(true)) if need <= share => {
                    return self.sent(self.now, took + need);
                }
                (None, _) | (Some(true), None) => took += share,
                _ => took += need.min(share),
            }
        }
        self.out.failed += 1;
    }

    fn sent(&mut self, begun: Time, took: Time) {
        self.out.delays.saturating_record(took.max(1));
        if (self.plan.from + S..self.plan.to).contains(&begun) {
            self.out.learned.saturating_record(took.max(1));
        }
    }

    fn step(&mut self, front: usize, race: usize) {
        loop {
            let now = self.now;
            let of = &mut self.fronts[front];
            let flight = &mut of.flights[race];
            if flight.over {
                return;
            }
            let (server, begun) = (flight.server, flight.begun);
            match of.addresses.poll(now, &mut flight.race) {
                Step::Reuse(..) => {}
                Step::Dial(lane, until) => {
                    let place = flight.race.place(lane).clone();
                    let path = self.path(&place);
                    *self.dials.entry(now / S).or_default() += 1;
                    self.out.dials_into_fault += u64::from(path != Path::Well);
                    let (at, ok) = match path.connects() {
                        Some(ok) => (now + path.rtt(), ok),
                        None => (until, false),
                    };
                    self.at(at, front, What::DialEnded { race, lane, since: now, ok });
                }
                Step::Prove(lane, _) => {
                    flight.proofs[lane] += 1;
                    let number = flight.proofs[lane];
                    let path = {
                        let place = flight.race.place(lane).clone();
                        self.path(&place)
                    };
                    if let Some(ok) = path.answers() {
                        self.at(now + path.rtt(), front, What::Word { race, lane, number, ok });
                    }
                }
                Step::Drop(lane) => {
                    flight.proofs[lane] += 1;
                    let place = flight.race.place(lane).clone();
                    of.addresses.closed(&place);
                }
                Step::Send(lane, _) => {
                    flight.over = true;
                    let place = flight.race.place(lane).clone();
                    let way = self.places[server].iter().position(|p| *p == place).unwrap_or(0);
                    let unused: Vec<Place> =
                        flight.race.unused().map(|lane| flight.race.place(lane).clone()).collect();
                    for place in unused {
                        of.addresses.free(now, &place, (), Life::new(now));
                    }
                    self.at(now + USE, front, What::Free { server, way, born: begun });
                    self.sent(begun, now - begun);
                    return self.close(front);
                }
                Step::Lost(_) => {
                    flight.over = true;
                    self.out.failed += 1;
                    return;
                }
                Step::Wait(until) => return self.at(until, front, What::Wake { race }),
            }
        }
    }

    fn tend(&mut self, front: usize) {
        let now = self.now;
        self.at(now + TEND, front, What::Tend);
        if self.plan.policy != Policy::Learned {
            return;
        }
        let of = &mut self.fronts[front];
        let tended = of.addresses.tend(now, CONNECT);
        let down = of.addresses.down().any(|family| self.plan.fault.0.is_none_or(|fault| family == fault));
        if down && of.demoted.is_none() {
            of.demoted = Some(now);
        }
        if now >= self.plan.to && of.recovered.is_none() && !down && of.addresses.book.failing() == 0 {
            of.recovered = Some(now);
        }
        for trial in tended.trials {
            *self.dials.entry(now / S).or_default() += 1;
            let path = self.path(&trial.place);
            self.out.dials_into_fault += u64::from(path != Path::Well);
            let (at, ok) = match (path.connects(), path.answers()) {
                (Some(true), Some(true)) => (now + 2 * path.rtt(), true),
                (Some(_), Some(_)) => (now + 2 * path.rtt(), false),
                _ => (now + trial.time, false),
            };
            let of = &mut self.fronts[front];
            of.trials.push(trial);
            let trial = of.trials.len() - 1;
            self.at(at, front, What::TrialEnded { trial, since: now, ok });
        }
        self.close(front);
    }
}

// ---- What is asked of it ----

fn ms(value: u64) -> f64 {
    value as f64 / 1e3
}

/// A network that is gone for 30 s, as seen by so many fronts of 60 servers with three addresses each.
pub fn outage(fronts: usize, servers: usize, seed: u64) -> Outcome {
    simulate(gone(fronts, servers, seed))
}

fn gone(fronts: usize, servers: usize, seed: u64) -> Plan {
    Plan {
        fronts,
        servers,
        ways: vec![Family::V6, Family::V4, Family::Unix],
        rate: 200.0,
        policy: Policy::Learned,
        fault: (Some(Family::V6), Path::Silent),
        faulty: servers,
        flaps: 0,
        from: 10 * S,
        to: 40 * S,
        end: 60 * S,
        seed,
    }
}

/// The outage by number of fronts.
pub fn outages(servers: usize, seed: u64) -> Value {
    let rows = [1, 4, 16, 64].map(|fronts| {
        let out = outage(fronts, servers, seed);
        json!({
            "fronts": fronts,
            "requests": out.requests,
            "failed": out.failed,
            "dials_a_second_peak": out.dials_peak,
            "dials_a_second_peak_before": out.dials_steady_peak,
            "dials_into_the_dead_family": out.dials_into_fault,
            "delay_ms_p99_once_learned": ms(out.learned.value_at_quantile(0.99)),
            "delay_ms_worst": ms(out.delays.max()),
            "demoted_after_ms": out.demoted.map(ms),
            "recovered_after_ms": out.recovered.map(ms),
        })
    });
    let restarts = [1, 4, 16, 64].map(|fronts| {
        let out = restart(fronts, servers, seed);
        json!({
            "fronts": fronts,
            "dials_a_second_peak": out.dials_peak,
            "dials_a_second_peak_of_a_front": out.dials_peak / fronts as u64,
            "dials_into_dead_servers": out.dials_into_fault,
            "a_family_was_held_to_be_down": out.demoted.is_some(),
            "recovered_after_ms": out.recovered.map(ms),
        })
    });
    json!({
        "simulated": true, "servers": servers, "addresses": 3, "outage_s": 30, "seed": seed,
        "rows": rows, "half_the_fleet_restarts": restarts,
    })
}

/// Half of the servers are gone for 10 s, by all their addresses: requests to them fail, and what counts is that
/// fronts neither storm them nor take it for a dead network.
pub fn restart(fronts: usize, servers: usize, seed: u64) -> Outcome {
    simulate(Plan {
        fault: (None, Path::Refuses),
        faulty: servers / 2,
        to: 20 * S,
        end: 40 * S,
        ..gone(fronts, servers, seed)
    })
}

/// One server with two addresses, of which the preferred one has a fault: time until the body goes, by fault and
/// policy.
pub fn by_fault(seed: u64) -> Value {
    let mut rows = Vec::new();
    let faults = [
        ("refuses", Path::Refuses, 0),
        ("silent", Path::Silent, 0),
        ("stalls", Path::Stalls, 0),
        ("closes", Path::Closes, 0),
        ("slow", Path::Slow, 0),
        ("stalls, flapping every 3 s", Path::Stalls, 3 * S),
    ];
    for (name, path, flaps) in faults {
        for (of, policy) in [
            ("learned", Policy::Learned),
            ("race without learning", Policy::Race),
            ("in turn", Policy::InTurn),
        ] {
            let out = one_server(path, flaps, policy, seed);
            rows.push(json!({
                "fault": name,
                "policy": of,
                "p50_ms": ms(out.learned.value_at_quantile(0.5)),
                "p99_ms": ms(out.learned.value_at_quantile(0.99)),
                "worst_ms": ms(out.delays.max()),
                "failed": out.failed,
                "requests": out.requests,
            }));
        }
    }
    json!({"simulated": true, "round_trip_ms": ms(RTT), "bound_ms": ms(CONNECT), "rows": rows})
}

/// One front and one server, whose preferred address has a fault for 30 s.
pub fn one_server(path: Path, flaps: Time, policy: Policy, seed: u64) -> Outcome {
    simulate(Plan {
        fronts: 1,
        servers: 1,
        ways: vec![Family::V6, Family::V4],
        rate: 50.0,
        policy,
        fault: (Some(Family::V6), path),
        faulty: 1,
        flaps,
        from: 10 * S,
        to: 40 * S,
        end: 60 * S,
        seed,
    })
}
