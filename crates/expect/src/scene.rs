//! The simulation of one expectation: a front's core against scripted engines, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use elderstage::{ListMode, RequestId, Time};
use elderstage_config::{Config, ExpectationConfig, ServerConfig, StateName};
use elderstage_core::evidence::Evidence;
use elderstage_core::{ChainId, Core, Effect, Event, Final, NewRequest, Stage};

const MS: Time = 1_000;
/// Simulated time at the start. It is well above 0, so that processes that started long ago have a start
/// time.
const START_TIME: Time = 1_000_000_000;
/// Prompt tokens that a scripted engine reads per second.
const READ_TOKENS_PER_S: f64 = 50_000.0;
/// Time of a scripted engine to the first token of an answer.
const FIRST_TOKEN_TIME: Time = 20 * MS;
/// Tokens of a scripted answer.
const ANSWER_TOKENS: u64 = 20;
/// Time of a scripted engine for each token of an answer.
const TOKEN_TIME: Time = 10 * MS;
/// Average bytes of a token, as in the mock engines.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Duration of a refusal, a failed connect or a probe.
const QUICK_REPLY_TIME: Time = MS;

/// The course of one request. Times count from its arrival.
#[derive(Clone, Debug)]
pub struct Request {
    pub number: u64,
    /// Time, server and stage of each attempt.
    pub sends: Vec<(Time, String, Stage)>,
    /// Time and kind of the final answer; `None` if there was none.
    pub end: Option<(Time, Final)>,
}

/// The state of one simulation.
struct Simulation<'a> {
    core: Core,
    expect: &'a ExpectationConfig,
    now: Time,
    last_event: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    /// The attempt in flight of each chain: the numbers of its scheduled events, its leg, its number and its
    /// start.
    in_flight: HashMap<ChainId, (Vec<u64>, RequestId, u32, Time)>,
    requests: BTreeMap<u64, (Time, Request)>,
}

/// Simulates an expectation with one seed until the last answer is due, and returns its requests.
pub fn simulate(
    config: &Config,
    servers: &[ServerConfig],
    expect: &ExpectationConfig,
    seed: u64,
) -> Vec<Request> {
    let mut list = servers.to_vec();
    for server in &mut list {
        if expect.draining.contains(&server.name) {
            server.state = StateName::Draining;
        }
    }
    let entries = elderstage_front::entries(config, &list, |_| 0);
    let mut simulation = Simulation {
        core: Core::new(elderstage_front::core_plan(config), seed),
        expect,
        now: START_TIME,
        last_event: 0,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        in_flight: HashMap::new(),
        requests: BTreeMap::new(),
    };
    let mut effects = Vec::new();
    simulation.core.handle(START_TIME, Event::Servers { mode: ListMode::Full, entries }, &mut effects);
    simulation.apply_effects(effects);
    let route = config.routes.iter().position(|route| route.name == expect.route).unwrap_or(0);
    let class = config.classes.iter().find(|class| class.name == config.routes[route].class);
    // Requests start one second after the drain grace period, so that a draining server has left by then.
    let first_arrival = START_TIME + MS * 1000 + config.rules.drain_grace;
    for number in 0..expect.requests {
        // Requests are evenly spaced, each shifted by a fraction of the gap that depends on the seed.
        let gap = 1e6 / expect.rate;
        let shift =
            (number.wrapping_mul(0x9E37_79B9).wrapping_add(seed.wrapping_mul(0x85EB_CA6B)) % 1000) as f64;
        let at = first_arrival + (gap * (number as f64 + shift / 1000.0)) as Time;
        let submit = NewRequest {
            chain: ChainId(number + 1),
            route,
            tenant: 0,
            session: None,
            shared_prefix: None,
            prompt_bytes: expect.prompt,
            is_repeat: false,
        };
        simulation.schedule(at, Event::Submit(submit));
    }
    let longest = class.map_or(0, |class| class.total);
    let last = first_arrival + (expect.requests as f64 * 1e6 / expect.rate) as Time + longest + 1000 * MS;
    simulation.run(last);
    simulation.requests.into_values().map(|(_, request)| request).collect()
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Time, event: Event) -> u64 {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
        self.last_event
    }

    fn run(&mut self, last: Time) {
        loop {
            let event = self.queue.peek().map(|Reverse((at, _))| *at);
            let timer = self.core.next_timer();
            let Some(at) = [event, timer].into_iter().flatten().min().filter(|at| *at <= last) else {
                return;
            };
            self.now = self.now.max(at);
            let mut effects = Vec::new();
            if timer.is_some_and(|timer| timer <= self.now) {
                self.core.handle_timers(self.now, &mut effects);
            } else if let Some(Reverse((_, number))) = self.queue.pop() {
                let Some(event) = self.events.remove(&number) else { continue };
                if let Event::Submit(submit) = &event {
                    let request = Request { number: submit.chain.0, sends: Vec::new(), end: None };
                    self.requests.insert(submit.chain.0, (self.now, request));
                }
                if let Event::AttemptEnded { chain, .. } = &event {
                    self.in_flight.remove(chain);
                }
                self.core.handle(self.now, event, &mut effects);
            }
            self.apply_effects(effects);
        }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { chain, leg, attempt, server, stage, timeout, .. } => {
                    if let Some((arrived, request)) = self.requests.get_mut(&chain.0) {
                        request.sends.push((self.now - *arrived, server.0.to_string(), stage));
                    }
                    self.start_attempt(chain, leg, attempt, &server.0, stage, timeout);
                }
                Effect::Cancel { chain, .. } => {
                    if let Some((event_numbers, leg, attempt, since)) = self.in_flight.remove(&chain) {
                        for number in event_numbers {
                            self.events.remove(&number);
                        }
                        let took = self.now - since;
                        let event = attempt_ended(chain, leg, attempt, Evidence::Cancelled, took, None);
                        self.schedule(self.now, event);
                    }
                }
                Effect::Probe { server } => {
                    let down = self.expect.down.iter().any(|name| **name == *server.0);
                    let evidence = down.then_some(Evidence::NotConnected);
                    let event = Event::Probed { server, evidence, took: QUICK_REPLY_TIME, load: None };
                    self.schedule(self.now + QUICK_REPLY_TIME, event);
                }
                Effect::Answer { chain, final_answer: last } => {
                    if let Some((arrived, request)) = self.requests.get_mut(&chain.0) {
                        request.end = Some((self.now - *arrived, last));
                    }
                }
                // Scripted turns call no tools, and scripted readers keep no state.
                Effect::Release { .. }
                | Effect::CallTool { .. }
                | Effect::CancelTool { .. }
                | Effect::Forget { .. } => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        chain: ChainId,
        leg: RequestId,
        attempt: u32,
        server: &str,
        stage: Stage,
        timeout: Time,
    ) {
        let is_named = |list: &[String]| list.iter().any(|name| name == server);
        let prompt = (self.expect.prompt as f64 / BYTES_PER_TOKEN).ceil();
        let read_time = (prompt / READ_TOKENS_PER_S * 1e6) as Time;
        let (mut took, evidence, usage) = if is_named(&self.expect.down) {
            (QUICK_REPLY_TIME, Evidence::NotConnected, None)
        } else if is_named(&self.expect.full) {
            (QUICK_REPLY_TIME, Evidence::Status { status: 429, code: None }, None)
        } else {
            match stage {
                Stage::Read => (read_time, Evidence::Read { cached: 0 }, Some((prompt as u64, 1))),
                Stage::Write => (
                    FIRST_TOKEN_TIME + ANSWER_TOKENS * TOKEN_TIME,
                    Evidence::Turn { cached: 0 },
                    Some((prompt as u64, ANSWER_TOKENS)),
                ),
                Stage::Whole => (
                    read_time + FIRST_TOKEN_TIME + ANSWER_TOKENS * TOKEN_TIME,
                    Evidence::Turn { cached: 0 },
                    Some((prompt as u64, ANSWER_TOKENS)),
                ),
            }
        };
        let mut event_numbers = Vec::new();
        let streams = matches!(evidence, Evidence::Turn { .. });
        let first = took.saturating_sub(ANSWER_TOKENS * TOKEN_TIME);
        let evidence = if (if streams { first } else { took }) > timeout {
            took = timeout;
            Evidence::TimedOut
        } else {
            if streams {
                let event = Event::Streaming { chain, leg, attempt, took: first };
                event_numbers.push(self.schedule(self.now + first, event));
            }
            evidence
        };
        let event = attempt_ended(chain, leg, attempt, evidence, took, usage);
        event_numbers.push(self.schedule(self.now + took, event));
        self.in_flight.insert(chain, (event_numbers, leg, attempt, self.now));
    }
}

fn attempt_ended(
    chain: ChainId,
    leg: RequestId,
    attempt: u32,
    evidence: Evidence,
    took: Time,
    usage: Option<(u64, u64)>,
) -> Event {
    let text = if matches!(evidence, Evidence::Turn { .. }) {
        (ANSWER_TOKENS as f64 * BYTES_PER_TOKEN) as usize
    } else {
        0
    };
    Event::AttemptEnded {
        chain,
        leg,
        attempt,
        evidence,
        took,
        usage,
        text_bytes: text,
        calls: Vec::new(),
        load: None,
    }
}
