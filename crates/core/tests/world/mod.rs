//! A simulator for tests: drives a core in simulated time against engines and tools with scripted outcomes
//! and durations, and records all effects.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use elderstage::{
    ListMode, RepeatPolicy, RequestId, ServerEntry, ServerId, ServerStatus, Settings, Time, example_settings,
};
use elderstage_core::chain::Final;
use elderstage_core::evidence::{Evidence, ToolEnd, classify};
use elderstage_core::{
    ChainId, ClassPlan, Core, Effect, Event, Limits, NewRequest, Plan, RequestedToolCall, RoutePlan, Stage,
    ToolPlan,
};

pub const MS: Time = 1_000;

/// The scripted course of one attempt.
#[derive(Clone, Debug)]
pub enum Script {
    /// Ends with this evidence after this time.
    End(Time, Evidence),
    /// First token after the first time, end after the second, with calls to these tools.
    Stream(Time, Time, Evidence, Vec<&'static str>),
    /// Stays silent until its timeout or until it is cancelled.
    Hang,
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    leg: RequestId,
    stage: Stage,
    written_at: Time,
    /// Number of the event that ends it.
    end_event: u64,
}

pub struct World {
    pub core: Core,
    pub now: Time,
    pub effects: Vec<(Time, Effect)>,
    pub finals: BTreeMap<u64, Vec<Final>>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    /// Scripts of reads, writes and tool calls, used in order; the last one repeats.
    pub reads: Vec<Script>,
    pub writes: Vec<Script>,
    pub tools: Vec<(Time, ToolEnd)>,
    in_flight: BTreeMap<(ChainId, u32, u32), InFlightAttempt>,
    /// Time from a send to a writer until the request is written. An attempt that is cancelled before did not run.
    pub write_delay: Time,
    /// The attempts at writers that may have run, whatever the core knows of them.
    possible_runs: BTreeSet<(ChainId, u32, u32)>,
    kept_states: BTreeMap<(ChainId, u32), Time>,
    last_tool_ends: BTreeMap<ChainId, ToolEnd>,
    /// Longest time that a reader kept a state before a writer was sent for it or it was released.
    pub longest_state_wait: Time,
}

pub fn plan(repeat: RepeatPolicy) -> Plan {
    let mut settings: Settings = example_settings();
    settings.classes[0].repeat = repeat;
    let tool = |name: &str, effect| ToolPlan {
        name: name.into(),
        has_effect: effect,
        timeout: 2_000 * MS,
        max_tries: 2,
    };
    Plan {
        settings,
        classes: vec![ClassPlan {
            repeat,
            first_token_limit: 6_000 * MS,
            first_token_limit_per_1000: 0.0,
            request_limit: 20_000 * MS,
        }],
        tools: vec![tool("stock", false), tool("place_order", true)],
        routes: vec![RoutePlan {
            name: "r".into(),
            class: 0,
            tools: vec![0, 1],
            max_tokens: 200.0,
            max_legs: 3,
        }],
        limits: Limits { max_requests: 50, ..Limits::default() },
    }
}

fn next_script<T: Clone>(scripts: &mut Vec<T>) -> T {
    if scripts.len() > 1 { scripts.remove(0) } else { scripts[0].clone() }
}

impl World {
    pub fn new(repeat: RepeatPolicy) -> World {
        World::with_plan(plan(repeat))
    }

    pub fn with_plan(plan: Plan) -> World {
        let mut world = World {
            core: Core::new(plan, 5),
            now: 1_000_000 * MS,
            effects: Vec::new(),
            finals: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            reads: vec![Script::End(20 * MS, Evidence::Read { cached: 0 })],
            writes: vec![Script::Stream(10 * MS, 200 * MS, Evidence::Turn { cached: 0 }, Vec::new())],
            tools: vec![(30 * MS, ToolEnd::Result { bytes: 20 })],
            in_flight: BTreeMap::new(),
            write_delay: 0,
            possible_runs: BTreeSet::new(),
            kept_states: BTreeMap::new(),
            last_tool_ends: BTreeMap::new(),
            longest_state_wait: 0,
        };
        world.set_servers(&[("r1", 0), ("r2", 0), ("w1", 1), ("w2", 1)]);
        world
    }

    pub fn set_servers(&mut self, servers: &[(&str, usize)]) {
        let entry = |(name, kind): &(&str, usize)| ServerEntry {
            server: ServerId((*name).into()),
            listed: ServerStatus::Running,
            kind: *kind,
            weight: 1.0,
            ..ServerEntry::default()
        };
        let entries = servers.iter().map(entry).collect();
        self.handle_event(Event::Servers { mode: ListMode::Full, entries });
    }

    pub fn submit(&mut self, chain: u64) {
        self.handle_event(Event::Submit(NewRequest {
            chain: ChainId(chain),
            route: 0,
            tenant: 0,
            session: None,
            shared_prefix: None,
            prompt_bytes: 2_000,
            is_repeat: false,
        }));
    }

    pub fn handle_event(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.core.handle(self.now, event, &mut effects);
        self.apply_effects(effects);
    }

    fn schedule(&mut self, after: Time, event: Event) -> u64 {
        self.last_event += 1;
        self.queue.push(Reverse((self.now + after, self.last_event)));
        self.events.insert(self.last_event, event);
        self.last_event
    }

    fn attempt_ended(
        chain: ChainId,
        leg: RequestId,
        attempt: u32,
        evidence: Evidence,
        took: Time,
        calls: &[&str],
    ) -> Event {
        let calls =
            calls.iter().map(|name| RequestedToolCall { tool: (*name).into(), argument_bytes: 10 }).collect();
        let usage = matches!(evidence, Evidence::Turn { .. }).then_some((500, 20));
        Event::AttemptEnded { chain, leg, attempt, evidence, took, usage, text_bytes: 80, calls, load: None }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            self.effects.push((self.now, effect.clone()));
            match effect {
                Effect::Send { chain, leg, turn, attempt, stage, timeout, .. } => {
                    if stage != Stage::Read
                        && let Some(since) = self.kept_states.remove(&(chain, turn))
                    {
                        self.longest_state_wait = self.longest_state_wait.max(self.now - since);
                    }
                    let script = if stage == Stage::Read {
                        next_script(&mut self.reads)
                    } else {
                        next_script(&mut self.writes)
                    };
                    let key = (chain, turn, attempt);
                    let delay = if stage == Stage::Read { 0 } else { self.write_delay };
                    let end = |evidence: Evidence, after, calls: &[&str]| {
                        Self::attempt_ended(chain, leg, attempt, evidence, after, calls)
                    };
                    let (last_evidence, end_event) = match script {
                        _ if delay >= timeout => {
                            let evidence = Evidence::NotWritten;
                            (evidence.clone(), self.schedule(timeout, end(evidence, timeout, &[])))
                        }
                        Script::End(after, evidence) => {
                            let after = (after + delay).min(timeout);
                            (evidence.clone(), self.schedule(after, end(evidence, after, &[])))
                        }
                        Script::Stream(first, after, evidence, calls) => {
                            let (first, after) = (first + delay, after + delay);
                            self.schedule(first, Event::Streaming { chain, leg, attempt, took: first });
                            (evidence.clone(), self.schedule(after, end(evidence, after, &calls)))
                        }
                        Script::Hang => {
                            let evidence = Evidence::TimedOut;
                            (evidence.clone(), self.schedule(timeout, end(evidence, timeout, &[])))
                        }
                    };
                    if stage != Stage::Read && !classify(stage, &last_evidence).0.never_ran() {
                        self.possible_runs.insert(key);
                    }
                    let written_at = self.now + delay;
                    self.in_flight.insert(key, InFlightAttempt { leg, stage, written_at, end_event });
                }
                Effect::Cancel { chain, turn, attempt } => {
                    let key = (chain, turn, attempt);
                    if let Some(InFlightAttempt { leg, stage, written_at, end_event }) =
                        self.in_flight.get(&key).copied()
                        && self.events.remove(&end_event).is_some()
                    {
                        let evidence = if self.now < written_at {
                            self.possible_runs.remove(&key);
                            Evidence::Withdrawn
                        } else {
                            if stage != Stage::Read {
                                self.possible_runs.insert(key);
                            }
                            Evidence::Cancelled
                        };
                        let event = Self::attempt_ended(chain, leg, attempt, evidence, 0, &[]);
                        self.schedule(MS, event);
                    }
                }
                Effect::CallTool { chain, call, timeout, tool, attempt, .. } => {
                    let before = self.last_tool_ends.get(&chain);
                    assert!(
                        tool == 0 || attempt == 1 || before == Some(&ToolEnd::NotRun),
                        "a call with an effect was repeated after {before:?}"
                    );
                    let (after, end) = next_script(&mut self.tools);
                    let end = if after > timeout { ToolEnd::Unknown } else { end };
                    self.last_tool_ends.insert(chain, end.clone());
                    self.schedule(after.min(timeout), Event::ToolEnded { chain, call, end });
                }
                Effect::Release { chain, turn, .. } => {
                    if let Some(since) = self.kept_states.remove(&(chain, turn)) {
                        self.longest_state_wait = self.longest_state_wait.max(self.now - since);
                    }
                }
                Effect::Answer { chain, final_answer: last } => {
                    self.finals.entry(chain.0).or_default().push(last)
                }
                Effect::Probe { .. } | Effect::CancelTool { .. } | Effect::Forget { .. } => {}
            }
        }
    }

    /// Advances the simulated time by `span` and handles everything due until then.
    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        loop {
            let event = self.queue.peek().map(|Reverse((at, _))| *at);
            let next = [event, self.core.next_timer()].into_iter().flatten().min();
            match next.filter(|at| *at <= end) {
                None => {
                    self.now = end;
                    return;
                }
                Some(at) => {
                    self.now = self.now.max(at);
                    if event == Some(at) {
                        let Some(Reverse((_, number))) = self.queue.pop() else { continue };
                        if let Some(event) = self.events.remove(&number) {
                            if let Event::AttemptEnded { chain, evidence: Evidence::Read { .. }, .. } = &event
                            {
                                let turn = self.turn(*chain);
                                self.kept_states.insert((*chain, turn), self.now);
                            }
                            self.handle_event(event);
                        }
                    } else {
                        let mut effects = Vec::new();
                        self.core.handle_timers(self.now, &mut effects);
                        self.apply_effects(effects);
                    }
                }
            }
        }
    }

    fn turn(&self, of: ChainId) -> u32 {
        let sends = self.effects.iter().rev().find_map(|(_, effect)| match effect {
            Effect::Send { chain, turn, .. } if *chain == of => Some(*turn),
            _ => None,
        });
        sends.unwrap_or(0)
    }

    pub fn count(&self, is: impl Fn(&Effect) -> bool) -> usize {
        self.effects.iter().filter(|(_, effect)| is(effect)).count()
    }

    pub fn final_of(&self, chain: u64) -> Final {
        let finals = &self.finals[&chain];
        assert_eq!(finals.len(), 1, "exactly one final answer: {finals:?}");
        finals[0]
    }

    /// Whether a writer may have run an attempt of this request, whatever the core knows of it.
    pub fn may_have_run(&self, chain: u64) -> bool {
        self.possible_runs.iter().any(|(id, ..)| *id == ChainId(chain))
    }

    /// The stage of the request's attempt in flight.
    pub fn stage_in_flight(&self, chain: u64) -> Option<Stage> {
        let mut attempts = self.in_flight.iter().filter(|((id, ..), _)| *id == ChainId(chain));
        attempts
            .find(|(_, attempt)| self.events.contains_key(&attempt.end_event))
            .map(|(_, attempt)| attempt.stage)
    }

    /// The leg and number of the request's attempt in flight.
    pub fn attempt_in_flight(&self, chain: u64) -> Option<(RequestId, u32)> {
        let mut attempts = self.in_flight.iter().filter(|((id, ..), _)| *id == ChainId(chain));
        let ((.., number), attempt) =
            attempts.find(|(_, attempt)| self.events.contains_key(&attempt.end_event))?;
        Some((attempt.leg, *number))
    }

    /// Lets the timers that are due within `span` fire before anything else that happens in it.
    pub fn fire_timers_first(&mut self, span: Time) {
        self.now += span;
        let mut effects = Vec::new();
        self.core.handle_timers(self.now, &mut effects);
        self.apply_effects(effects);
    }

    /// Ends the attempt in flight with a whole turn that makes `calls`.
    pub fn end_turn(&mut self, chain: u64, calls: &[&str]) {
        let (leg, attempt) = self.attempt_in_flight(chain).expect("an attempt is in flight");
        let evidence = Evidence::Turn { cached: 0 };
        let event = Self::attempt_ended(ChainId(chain), leg, attempt, evidence, MS, calls);
        self.handle_event(event);
    }

    pub fn sends(&self, wanted: Stage) -> usize {
        self.count(|effect| matches!(effect, Effect::Send { stage, .. } if *stage == wanted))
    }

    pub fn calls(&self) -> usize {
        self.count(|effect| matches!(effect, Effect::CallTool { .. }))
    }
}
