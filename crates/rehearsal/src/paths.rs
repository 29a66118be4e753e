//! A simulation of servers with several addresses, some of which fail.
//!
//! Many fronts connect to many servers in simulated time, driven by one deterministic queue of events. The core's
//! choice of addresses runs here as it does in a front; only the network is modelled. The same seed always gives the
//! same result.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use elderstage::{ServerId, Time};
use elderstage_core::addresses::{
    Addresses, ConnectionAge, ConnectionLimits, ConnectionNeeds, Proof, Race, RaceStep, Trial,
};
use elderstage_protocol::place::{AddressFamily, Endpoint};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const MILLISECOND: Time = 1_000;
const SECOND: Time = 1_000_000;
/// How often a front maintains its addresses; the same interval as in the front.
const MAINTENANCE_INTERVAL: Time = 50 * MILLISECOND;
/// Longest time to connect to an address and to prove it: the configuration's default.
const CONNECT_TIMEOUT: Time = 250 * MILLISECOND;
/// Round-trip time to a healthy address.
const ROUND_TRIP: Time = 300;
/// How long a request uses its connection.
const CONNECTION_USE: Time = 40 * MILLISECOND;

/// How an address behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressBehavior {
    /// It accepts connections and answers.
    Healthy,
    /// Connects are refused after one round trip.
    Refuses,
    /// Connects get no reply, and nothing arrives over established connections.
    Silent,
    /// Connections are accepted, but nothing is ever sent on them.
    Stalls,
    /// Connections are accepted, and closed at the first bytes from the front.
    Closes,
    /// Each round trip takes 120 ms longer.
    Slow,
}

impl AddressBehavior {
    fn round_trip(self) -> Time {
        if self == AddressBehavior::Slow { ROUND_TRIP + 120 * MILLISECOND } else { ROUND_TRIP }
    }

    /// Whether a connect succeeds. `None`: there is no reply.
    fn connects(self) -> Option<bool> {
        match self {
            AddressBehavior::Silent => None,
            AddressBehavior::Refuses => Some(false),
            _ => Some(true),
        }
    }

    /// Whether the proof of a connection succeeds. `None`: there is no reply.
    fn answers(self) -> Option<bool> {
        match self {
            AddressBehavior::Silent | AddressBehavior::Stalls => None,
            AddressBehavior::Closes | AddressBehavior::Refuses => Some(false),
            AddressBehavior::Healthy | AddressBehavior::Slow => Some(true),
        }
    }
}

/// How a front finds a working address of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// As the core does: addresses are raced, in an order learned from earlier requests.
    Learned,
    /// Addresses are raced for each request, and nothing is learned.
    Race,
    /// One address after the other, each with an equal share of the connect timeout.
    Sequential,
}

/// The input of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of servers.
    pub servers: usize,
    /// Families of each server's addresses, in the order of preference.
    pub families: Vec<AddressFamily>,
    /// Requests a second of each front; arrivals are Poisson.
    pub requests_per_s: f64,
    /// How fronts find a working address.
    pub policy: Policy,
    /// The family of the faulty addresses, or all families, and how these addresses behave during the fault.
    pub fault: (Option<AddressFamily>, AddressBehavior),
    /// Number of servers that have the fault: the first ones.
    pub faulty_servers: usize,
    /// How long the fault is on, and then off, in turn. 0 for a fault that is always on.
    pub flap_interval: Time,
    /// When the fault begins.
    pub fault_start: Time,
    /// When the fault ends.
    pub fault_end: Time,
    /// When the simulation ends.
    pub end: Time,
    /// Seed of all random draws.
    pub seed: u64,
}

/// An event at a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    RequestArrived,
    DialEnded { race: usize, lane: usize, since: Time, ok: bool },
    ProofAnswered { race: usize, lane: usize, number: u32, ok: bool },
    WaitEnded { race: usize },
    ConnectionFreed { server: usize, address: usize, opened: Time },
    TrialEnded { trial: usize, since: Time, ok: bool },
    Maintain,
}

/// A request that is waiting for its connection.
struct PendingRequest {
    race: Race,
    server: usize,
    started: Time,
    /// By lane: number of the proof in progress. An answer to an earlier proof is ignored.
    proof_numbers: Vec<u32>,
    is_finished: bool,
}

struct Front {
    addresses: Addresses<()>,
    requests: Vec<PendingRequest>,
    trials: Vec<Trial>,
    rng: ChaCha8Rng,
    demoted_at: Option<Time>,
    recovered_at: Option<Time>,
}

/// The result of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSummary {
    /// Number of requests.
    pub requests: u64,
    /// Requests that found no working address.
    pub failed: u64,
    /// Microseconds from the start of a request until its body is sent, over all requests.
    pub send_delays_us: Histogram<u64>,
    /// The same over the requests that started during the fault, at least a second after its begin.
    pub learned_send_delays_us: Histogram<u64>,
    /// Dials of all fronts in the busiest second.
    pub dials_per_s_peak: u64,
    /// Dials of all fronts in the busiest second before the fault, without the first second.
    pub dials_per_s_peak_before: u64,
    /// Dials to addresses while they had the fault.
    pub dials_into_fault: u64,
    /// Time from the begin of the fault until the last front considers the family down. `None` if one never does.
    pub demoted_after: Option<Time>,
    /// Time from the end of the fault until no front considers an address bad. `None` if one always does.
    pub recovered_after: Option<Time>,
}

/// State of a simulation.
struct Simulation {
    scenario: Scenario,
    /// Events by time, in the order in which they were scheduled, each with its front.
    queue: BinaryHeap<Reverse<(Time, u64, usize, EventKind)>>,
    /// Number of events scheduled so far.
    scheduled: u64,
    now: Time,
    fronts: Vec<Front>,
    /// Names of the servers.
    names: Vec<ServerId>,
    /// Places of each server.
    endpoints: Vec<Vec<Endpoint>>,
    /// Number of dials in each second.
    dials: BTreeMap<Time, u64>,
    summary: SimulationSummary,
}

fn histogram() -> Histogram<u64> {
    // One microsecond to one minute with three significant digits. These bounds are always valid.
    Histogram::new_with_bounds(1, 60 * SECOND, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("three significant digits are valid"))
}

fn make_place(server: usize, index: usize, family: AddressFamily) -> Endpoint {
    let port = 1000 + (server * 8 + index) as u16;
    match family {
        AddressFamily::Unix => Endpoint::Unix(format!("/{server}-{index}").into()),
        AddressFamily::V6 => Endpoint::Tcp((std::net::Ipv6Addr::LOCALHOST, port).into()),
        AddressFamily::V4 => Endpoint::Tcp((std::net::Ipv4Addr::LOCALHOST, port).into()),
    }
}

/// Runs a scenario to its end.
pub fn simulate(scenario: Scenario) -> SimulationSummary {
    let names: Vec<ServerId> = (0..scenario.servers).map(|n| ServerId(format!("s{n}").into())).collect();
    let server_places =
        |server| scenario.families.iter().enumerate().map(move |(i, family)| make_place(server, i, *family));
    let endpoints: Vec<Vec<Endpoint>> =
        (0..scenario.servers).map(|server| server_places(server).collect()).collect();
    let mut seed_rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let list = || names.iter().cloned().zip(endpoints.iter().cloned()).map(|(n, p)| (n, p, false));
    let fronts = (0..scenario.fronts).map(|_| {
        let mut addresses = Addresses::new(ConnectionLimits::default(), seed_rng.random());
        addresses.apply_list(0, list());
        Front {
            addresses,
            requests: Vec::new(),
            trials: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed_rng.random()),
            demoted_at: None,
            recovered_at: None,
        }
    });
    let summary = SimulationSummary {
        requests: 0,
        failed: 0,
        send_delays_us: histogram(),
        learned_send_delays_us: histogram(),
        dials_per_s_peak: 0,
        dials_per_s_peak_before: 0,
        dials_into_fault: 0,
        demoted_after: None,
        recovered_after: None,
    };
    let mut simulation = Simulation {
        fronts: fronts.collect(),
        queue: BinaryHeap::new(),
        scheduled: 0,
        now: 0,
        dials: BTreeMap::new(),
        names,
        endpoints,
        summary,
        scenario,
    };
    simulation.run();
    simulation.summary
}

impl Simulation {
    fn schedule(&mut self, at: Time, front: usize, kind: EventKind) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, front, kind)));
    }

    /// How an address behaves now.
    fn behavior(&self, endpoint: &Endpoint) -> AddressBehavior {
        let (family, behavior) = self.scenario.fault;
        let has_fault = family.is_none_or(|family| endpoint.family() == family)
            && self.endpoints[..self.scenario.faulty_servers]
                .iter()
                .any(|endpoints| endpoints.contains(endpoint));
        let is_in_fault =
            has_fault && (self.scenario.fault_start..self.scenario.fault_end).contains(&self.now);
        let is_on = self.scenario.flap_interval == 0
            || ((self.now - self.scenario.fault_start.min(self.now)) / self.scenario.flap_interval)
                .is_multiple_of(2);
        if is_in_fault && is_on { behavior } else { AddressBehavior::Healthy }
    }

    fn run(&mut self) {
        for front in 0..self.fronts.len() {
            self.schedule_arrival(front);
            // Fronts maintain their addresses at different times.
            self.schedule(
                MAINTENANCE_INTERVAL * front as Time / self.scenario.fronts as Time,
                front,
                EventKind::Maintain,
            );
        }
        while let Some(Reverse((at, _, front, kind))) = self.queue.pop() {
            if at >= self.scenario.end {
                break;
            }
            self.now = at;
            self.handle(front, kind);
        }
        let (start_second, end_second) =
            (self.scenario.fault_start / SECOND, self.scenario.fault_end / SECOND);
        self.summary.dials_per_s_peak = self.dials.values().copied().max().unwrap_or(0);
        // The first second is left out, because the pools are still empty then.
        self.summary.dials_per_s_peak_before =
            self.dials.range(1..start_second.max(2)).map(|(_, n)| *n).max().unwrap_or(0);
        let last_after = |value: fn(&Front) -> Option<Time>, start: Time| {
            let times: Option<Vec<Time>> = self.fronts.iter().map(value).collect();
            times.and_then(|times| times.into_iter().max()).map(|last| last.saturating_sub(start))
        };
        (self.summary.demoted_after, self.summary.recovered_after) = (
            last_after(|front| front.demoted_at, start_second * SECOND),
            last_after(|front| front.recovered_at, end_second * SECOND),
        );
    }

    fn schedule_arrival(&mut self, front: usize) {
        let interval = -(1.0 - self.fronts[front].rng.random::<f64>()).ln() / self.scenario.requests_per_s;
        self.schedule(self.now + (interval * 1e6) as Time, front, EventKind::RequestArrived);
    }

    fn handle(&mut self, front: usize, kind: EventKind) {
        match kind {
            EventKind::RequestArrived => {
                self.schedule_arrival(front);
                self.start_request(front);
            }
            EventKind::DialEnded { race, lane, since, ok } => {
                let endpoint = self.fronts[front].requests[race].race.endpoint(lane).clone();
                let state = &mut self.fronts[front];
                state.addresses.record_dial(self.now, &endpoint, since, ok);
                let request = &mut state.requests[race];
                let is_wanted =
                    if ok { request.race.record_connected(lane) } else { request.race.record_failure(lane) };
                if !ok {
                    state.addresses.record_closed(&endpoint);
                } else if !is_wanted {
                    state.addresses.return_connection(self.now, &endpoint, (), ConnectionAge::new(self.now));
                }
                self.advance_race(front, race);
            }
            EventKind::ProofAnswered { race, lane, number, ok } => {
                let state = &mut self.fronts[front];
                let request = &mut state.requests[race];
                if request.is_finished || request.proof_numbers[lane] != number {
                    return;
                }
                if ok {
                    state.addresses.record_proof(self.now, &mut request.race, lane);
                } else {
                    let endpoint = request.race.endpoint(lane).clone();
                    state.addresses.record_proof_failure(self.now, &mut request.race, lane);
                    state.addresses.record_closed(&endpoint);
                }
                self.advance_race(front, race);
            }
            EventKind::WaitEnded { race } => self.advance_race(front, race),
            EventKind::ConnectionFreed { server, address, opened } => {
                let endpoint = self.endpoints[server][address].clone();
                let state = &mut self.fronts[front];
                state.addresses.record_other_answer(self.now, &endpoint);
                state.addresses.return_connection(
                    self.now,
                    &endpoint,
                    (),
                    ConnectionAge { opened_at: opened, uses: 1 },
                );
                self.close_returned(front);
            }
            EventKind::TrialEnded { trial, since, ok } => {
                let state = &mut self.fronts[front];
                let trial = state.trials[trial].clone();
                state.addresses.record_trial(self.now, &trial, since, ok);
                state.addresses.record_closed(&trial.endpoint);
            }
            EventKind::Maintain => self.maintain(front),
        }
    }

    /// Closes the connections that the pool gave back. Which ones they were matters only for the count of open ones.
    fn close_returned(&mut self, front: usize) {
        let state = &mut self.fronts[front];
        for () in state.addresses.take_closing() {
            // The count is by address. Any open address will do, since the limits are over all servers.
            if let Some(endpoint) =
                self.endpoints.iter().flatten().find(|endpoint| state.addresses.open_to(endpoint) > 0)
            {
                state.addresses.record_closed(endpoint);
            }
        }
    }

    fn start_request(&mut self, front: usize) {
        self.summary.requests += 1;
        let server = {
            let state = &mut self.fronts[front];
            state.rng.random_range(0..self.scenario.servers)
        };
        match self.scenario.policy {
            Policy::Sequential => return self.connect_sequentially(server),
            Policy::Race => {
                let mut addresses = Addresses::new(ConnectionLimits::default(), 0.0);
                addresses
                    .apply_list(0, [(self.names[server].clone(), self.endpoints[server].clone(), false)]);
                self.fronts[front].addresses = addresses;
            }
            Policy::Learned => {}
        }
        let ask = ConnectionNeeds {
            must_not_repeat: true,
            proof: Proof::Continue,
            connect_limit: CONNECT_TIMEOUT,
            attempt_limit: 10 * SECOND,
        };
        let lanes = self.scenario.families.len();
        let state = &mut self.fronts[front];
        let race = state.addresses.start_race(self.now, &self.names[server], ask);
        state.requests.push(PendingRequest {
            race,
            server,
            started: self.now,
            proof_numbers: vec![0; lanes],
            is_finished: false,
        });
        let number = state.requests.len() - 1;
        self.advance_race(front, number);
    }

    /// Finds an address by the sequential policy. No events are needed: the delays of the addresses simply add up.
    fn connect_sequentially(&mut self, server: usize) {
        let share = CONNECT_TIMEOUT / self.scenario.families.len() as Time;
        let mut elapsed = 0;
        for endpoint in &self.endpoints[server] {
            let behavior = self.behavior(endpoint);
            let (connects, answers) = (behavior.connects(), behavior.answers());
            let needed = behavior.round_trip() * if connects == Some(true) { 2 } else { 1 };
            match (connects, answers) {
                (Some(true), Some(true)) if needed <= share => {
                    return self.record_delay(self.now, elapsed + needed);
                }
                (None, _) | (Some(true), None) => elapsed += share,
                _ => elapsed += needed.min(share),
            }
        }
        self.summary.failed += 1;
    }

    /// Records the time from the start of a request until its body was sent.
    fn record_delay(&mut self, started: Time, delay: Time) {
        self.summary.send_delays_us.saturating_record(delay.max(1));
        if (self.scenario.fault_start + SECOND..self.scenario.fault_end).contains(&started) {
            self.summary.learned_send_delays_us.saturating_record(delay.max(1));
        }
    }

    /// Carries out the steps of a request's race until it has to wait or is over.
    fn advance_race(&mut self, front: usize, race: usize) {
        loop {
            let now = self.now;
            let state = &mut self.fronts[front];
            let request = &mut state.requests[race];
            if request.is_finished {
                return;
            }
            let (server, started) = (request.server, request.started);
            match state.addresses.poll(now, &mut request.race) {
                RaceStep::Reuse(..) => {}
                RaceStep::Dial(lane, until) => {
                    let endpoint = request.race.endpoint(lane).clone();
                    let behavior = self.behavior(&endpoint);
                    *self.dials.entry(now / SECOND).or_default() += 1;
                    self.summary.dials_into_fault += u64::from(behavior != AddressBehavior::Healthy);
                    let (at, ok) = match behavior.connects() {
                        Some(ok) => (now + behavior.round_trip(), ok),
                        None => (until, false),
                    };
                    self.schedule(at, front, EventKind::DialEnded { race, lane, since: now, ok });
                }
                RaceStep::Prove(lane, _) => {
                    request.proof_numbers[lane] += 1;
                    let number = request.proof_numbers[lane];
                    let behavior = {
                        let endpoint = request.race.endpoint(lane).clone();
                        self.behavior(&endpoint)
                    };
                    if let Some(ok) = behavior.answers() {
                        self.schedule(
                            now + behavior.round_trip(),
                            front,
                            EventKind::ProofAnswered { race, lane, number, ok },
                        );
                    }
                }
                RaceStep::Drop(lane) => {
                    request.proof_numbers[lane] += 1;
                    let endpoint = request.race.endpoint(lane).clone();
                    state.addresses.record_closed(&endpoint);
                }
                RaceStep::Send(lane, _) => {
                    request.is_finished = true;
                    let endpoint = request.race.endpoint(lane).clone();
                    let address = self.endpoints[server].iter().position(|p| *p == endpoint).unwrap_or(0);
                    let unused: Vec<Endpoint> =
                        request.race.unused_lanes().map(|lane| request.race.endpoint(lane).clone()).collect();
                    for endpoint in unused {
                        state.addresses.return_connection(now, &endpoint, (), ConnectionAge::new(now));
                    }
                    self.schedule(
                        now + CONNECTION_USE,
                        front,
                        EventKind::ConnectionFreed { server, address, opened: started },
                    );
                    self.record_delay(started, now - started);
                    return self.close_returned(front);
                }
                RaceStep::Lost(_) => {
                    request.is_finished = true;
                    self.summary.failed += 1;
                    return;
                }
                RaceStep::Wait(until) => return self.schedule(until, front, EventKind::WaitEnded { race }),
            }
        }
    }

    /// Maintains the addresses of a front, as a front does at each interval, and starts the trials that are due.
    fn maintain(&mut self, front: usize) {
        let now = self.now;
        self.schedule(now + MAINTENANCE_INTERVAL, front, EventKind::Maintain);
        if self.scenario.policy != Policy::Learned {
            return;
        }
        let state = &mut self.fronts[front];
        let due = state.addresses.run_maintenance(now, CONNECT_TIMEOUT);
        let is_down = state
            .addresses
            .down_families()
            .any(|family| self.scenario.fault.0.is_none_or(|fault| family == fault));
        if is_down && state.demoted_at.is_none() {
            state.demoted_at = Some(now);
        }
        if now >= self.scenario.fault_end
            && state.recovered_at.is_none()
            && !is_down
            && state.addresses.book.failing_count() == 0
        {
            state.recovered_at = Some(now);
        }
        for trial in due.trials {
            *self.dials.entry(now / SECOND).or_default() += 1;
            let behavior = self.behavior(&trial.endpoint);
            self.summary.dials_into_fault += u64::from(behavior != AddressBehavior::Healthy);
            let (at, ok) = match (behavior.connects(), behavior.answers()) {
                (Some(true), Some(true)) => (now + 2 * behavior.round_trip(), true),
                (Some(_), Some(_)) => (now + 2 * behavior.round_trip(), false),
                _ => (now + trial.time_limit, false),
            };
            let state = &mut self.fronts[front];
            state.trials.push(trial);
            let trial = state.trials.len() - 1;
            self.schedule(at, front, EventKind::TrialEnded { trial, since: now, ok });
        }
        self.close_returned(front);
    }
}

// ---- Scenarios and their figures ----

fn ms(value: u64) -> f64 {
    value as f64 / 1e3
}

/// An outage of the IPv6 network for 30 s. Each server has three addresses.
pub fn outage(fronts: usize, servers: usize, seed: u64) -> SimulationSummary {
    simulate(outage_scenario(fronts, servers, seed))
}

fn outage_scenario(fronts: usize, servers: usize, seed: u64) -> Scenario {
    Scenario {
        fronts,
        servers,
        families: vec![AddressFamily::V6, AddressFamily::V4, AddressFamily::Unix],
        requests_per_s: 200.0,
        policy: Policy::Learned,
        fault: (Some(AddressFamily::V6), AddressBehavior::Silent),
        faulty_servers: servers,
        flap_interval: 0,
        fault_start: 10 * SECOND,
        fault_end: 40 * SECOND,
        end: 60 * SECOND,
        seed,
    }
}

/// The outage, and a restart of half the servers, for several numbers of fronts, as JSON.
pub fn outage_table(servers: usize, seed: u64) -> Value {
    let rows = [1, 4, 16, 64].map(|fronts| {
        let summary = outage(fronts, servers, seed);
        json!({
            "fronts": fronts,
            "requests": summary.requests,
            "failed": summary.failed,
            "dials_a_second_peak": summary.dials_per_s_peak,
            "dials_a_second_peak_before": summary.dials_per_s_peak_before,
            "dials_into_the_dead_family": summary.dials_into_fault,
            "delay_ms_p99_once_learned": ms(summary.learned_send_delays_us.value_at_quantile(0.99)),
            "delay_ms_worst": ms(summary.send_delays_us.max()),
            "demoted_after_ms": summary.demoted_after.map(ms),
            "recovered_after_ms": summary.recovered_after.map(ms),
        })
    });
    let restarts = [1, 4, 16, 64].map(|fronts| {
        let summary = restart(fronts, servers, seed);
        json!({
            "fronts": fronts,
            "dials_a_second_peak": summary.dials_per_s_peak,
            "dials_a_second_peak_of_a_front": summary.dials_per_s_peak / fronts as u64,
            "dials_into_dead_servers": summary.dials_into_fault,
            "a_family_was_held_to_be_down": summary.demoted_after.is_some(),
            "recovered_after_ms": summary.recovered_after.map(ms),
        })
    });
    json!({
        "simulated": true, "servers": servers, "addresses": 3, "outage_s": 30, "seed": seed,
        "rows": rows, "half_the_fleet_restarts": restarts,
    })
}

/// A restart of half of the servers: all their addresses refuse connections for 10 s, so requests to them fail.
/// Fronts must neither flood them with dials nor conclude that a network is down.
pub fn restart(fronts: usize, servers: usize, seed: u64) -> SimulationSummary {
    simulate(Scenario {
        fault: (None, AddressBehavior::Refuses),
        faulty_servers: servers / 2,
        fault_end: 20 * SECOND,
        end: 40 * SECOND,
        ..outage_scenario(fronts, servers, seed)
    })
}

/// One server with two addresses, of which the preferred one has a fault: the time until the body is sent, for each
/// fault and policy, as JSON.
pub fn delay_table(seed: u64) -> Value {
    let mut rows = Vec::new();
    let faults = [
        ("refuses", AddressBehavior::Refuses, 0),
        ("silent", AddressBehavior::Silent, 0),
        ("stalls", AddressBehavior::Stalls, 0),
        ("closes", AddressBehavior::Closes, 0),
        ("slow", AddressBehavior::Slow, 0),
        ("stalls, flapping every 3 s", AddressBehavior::Stalls, 3 * SECOND),
    ];
    for (fault_name, behavior, flap_interval) in faults {
        for (policy_name, policy) in [
            ("learned", Policy::Learned),
            ("race without learning", Policy::Race),
            ("in turn", Policy::Sequential),
        ] {
            let summary = one_server(behavior, flap_interval, policy, seed);
            rows.push(json!({
                "fault": fault_name,
                "policy": policy_name,
                "p50_ms": ms(summary.learned_send_delays_us.value_at_quantile(0.5)),
                "p99_ms": ms(summary.learned_send_delays_us.value_at_quantile(0.99)),
                "worst_ms": ms(summary.send_delays_us.max()),
                "failed": summary.failed,
                "requests": summary.requests,
            }));
        }
    }
    json!({"simulated": true, "round_trip_ms": ms(ROUND_TRIP), "bound_ms": ms(CONNECT_TIMEOUT), "rows": rows})
}

/// One front and one server, whose preferred address has a fault for 30 s. With a flap interval, the fault is on and
/// off in turn.
pub fn one_server(
    behavior: AddressBehavior,
    flap_interval: Time,
    policy: Policy,
    seed: u64,
) -> SimulationSummary {
    simulate(Scenario {
        fronts: 1,
        servers: 1,
        families: vec![AddressFamily::V6, AddressFamily::V4],
        requests_per_s: 50.0,
        policy,
        fault: (Some(AddressFamily::V6), behavior),
        faulty_servers: 1,
        flap_interval,
        fault_start: 10 * SECOND,
        fault_end: 40 * SECOND,
        end: 60 * SECOND,
        seed,
    })
}
