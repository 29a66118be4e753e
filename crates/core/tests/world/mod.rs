//! A core driven in simulated time: scripted engines and tools that take fixed times, and a record of all effects.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use elderstage::{Entry, ListMode, Listed, Repeat, ReqId, ServerId, Settings, Time, example_settings};
use elderstage_core::chain::Final;
use elderstage_core::evidence::{Evidence, ToolEnd};
use elderstage_core::{
    Call, ChainId, ClassPlan, Core, Effect, Event, Limits, Plan, RoutePlan, Stage, Submit, ToolPlan,
};

pub const MS: Time = 1_000;

/// What an attempt does, by stage.
#[derive(Clone, Debug)]
pub enum Act {
    /// Ends like this after this time.
    End(Time, Evidence),
    /// Streams from the first time on, and ends at the second; with calls of these tools.
    Stream(Time, Time, Evidence, Vec<&'static str>),
    /// Never says anything: it ends when its time is up or it is cancelled.
    Hang,
}

pub struct World {
    pub core: Core,
    pub now: Time,
    pub effects: Vec<(Time, Effect)>,
    pub finals: BTreeMap<u64, Vec<Final>>,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    /// What attempts and tool calls do, in order; the last one is repeated.
    pub reads: Vec<Act>,
    pub writes: Vec<Act>,
    pub tools: Vec<(Time, ToolEnd)>,
    out: BTreeMap<(ChainId, u32, u32), (ReqId, u64)>,
    states: BTreeMap<(ChainId, u32), Time>,
    tool_ends: BTreeMap<ChainId, ToolEnd>,
    /// Longest that a state waited with no attempt out.
    pub longest_wait: Time,
}

pub fn plan(repeat: Repeat) -> Plan {
    let mut settings: Settings = example_settings();
    settings.classes[0].repeat = repeat;
    let tool = |name: &str, effect| ToolPlan { name: name.into(), effect, timeout: 2_000 * MS, tries: 2 };
    Plan {
        settings,
        classes: vec![ClassPlan { repeat, give_up: 6_000 * MS, give_up_per_1000: 0.0, total: 20_000 * MS }],
        tools: vec![tool("stock", false), tool("place_order", true)],
        routes: vec![RoutePlan {
            name: "r".into(),
            class: 0,
            tools: vec![0, 1],
            max_tokens: 200.0,
            most_legs: 3,
        }],
        limits: Limits { requests: 50, ..Limits::default() },
    }
}

fn pick<T: Clone>(acts: &mut Vec<T>) -> T {
    if acts.len() > 1 { acts.remove(0) } else { acts[0].clone() }
}

impl World {
    pub fn new(repeat: Repeat) -> World {
        World::with(plan(repeat))
    }

    pub fn with(plan: Plan) -> World {
        let mut world = World {
            core: Core::new(plan, 5),
            now: 1_000_000 * MS,
            effects: Vec::new(),
            finals: BTreeMap::new(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            reads: vec![Act::End(20 * MS, Evidence::Read { cached: 0 })],
            writes: vec![Act::Stream(10 * MS, 200 * MS, Evidence::Turn { cached: 0 }, Vec::new())],
            tools: vec![(30 * MS, ToolEnd::Result { bytes: 20 })],
            out: BTreeMap::new(),
            states: BTreeMap::new(),
            tool_ends: BTreeMap::new(),
            longest_wait: 0,
        };
        world.list(&[("r1", 0), ("r2", 0), ("w1", 1), ("w2", 1)]);
        world
    }

    pub fn list(&mut self, servers: &[(&str, usize)]) {
        let entry = |(name, kind): &(&str, usize)| Entry {
            server: ServerId((*name).into()),
            listed: Listed::Running,
            kind: *kind,
            weight: 1.0,
            ..Entry::default()
        };
        let entries = servers.iter().map(entry).collect();
        self.pass(Event::Servers { mode: ListMode::Full, entries });
    }

    pub fn submit(&mut self, chain: u64) {
        self.pass(Event::Submit(Submit {
            chain: ChainId(chain),
            route: 0,
            tenant: 0,
            session: None,
            prefix: None,
            bytes: 2_000,
            repeat: false,
        }));
    }

    pub fn pass(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.core.handle(self.now, event, &mut effects);
        self.carry_out(effects);
    }

    fn later(&mut self, after: Time, event: Event) -> u64 {
        self.next += 1;
        self.due.push(Reverse((self.now + after, self.next)));
        self.events.insert(self.next, event);
        self.next
    }

    fn ended(
        &self,
        chain: ChainId,
        leg: ReqId,
        attempt: u32,
        evidence: Evidence,
        took: Time,
        calls: &[&str],
    ) -> Event {
        let calls = calls.iter().map(|name| Call { tool: (*name).into(), bytes: 10 }).collect();
        let usage = matches!(evidence, Evidence::Turn { .. }).then_some((500, 20));
        Event::AttemptEnded { chain, leg, attempt, evidence, took, usage, text: 80, calls, load: None }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            self.effects.push((self.now, effect.clone()));
            match effect {
                Effect::Send { chain, leg, turn, attempt, stage, timeout, .. } => {
                    if stage != Stage::Read
                        && let Some(since) = self.states.remove(&(chain, turn))
                    {
                        self.longest_wait = self.longest_wait.max(self.now - since);
                    }
                    let act =
                        if stage == Stage::Read { pick(&mut self.reads) } else { pick(&mut self.writes) };
                    let ended = match act {
                        Act::End(after, evidence) => {
                            let after = after.min(timeout);
                            let event = self.ended(chain, leg, attempt, evidence, after, &[]);
                            self.later(after, event)
                        }
                        Act::Stream(first, end, evidence, calls) => {
                            self.later(first, Event::Streaming { chain, leg, attempt, took: first });
                            let event = self.ended(chain, leg, attempt, evidence, end, &calls);
                            self.later(end, event)
                        }
                        Act::Hang => {
                            let event = self.ended(chain, leg, attempt, Evidence::TimedOut, timeout, &[]);
                            self.later(timeout, event)
                        }
                    };
                    self.out.insert((chain, turn, attempt), (leg, ended));
                }
                Effect::Cancel { chain, turn, attempt } => {
                    if let Some((leg, ended)) = self.out.get(&(chain, turn, attempt)).copied()
                        && self.events.remove(&ended).is_some()
                    {
                        let event = self.ended(chain, leg, attempt, Evidence::Cancelled, 0, &[]);
                        self.later(MS, event);
                    }
                }
                Effect::CallTool { chain, call, timeout, tool, attempt, .. } => {
                    let before = self.tool_ends.get(&chain);
                    assert!(
                        tool == 0 || attempt == 1 || before == Some(&ToolEnd::NotRun),
                        "a call with an effect was made again after {before:?}"
                    );
                    let (after, end) = pick(&mut self.tools);
                    let end = if after > timeout { ToolEnd::Unknown } else { end };
                    self.tool_ends.insert(chain, end.clone());
                    self.later(after.min(timeout), Event::ToolEnded { chain, call, end });
                }
                Effect::Release { chain, turn, .. } => {
                    if let Some(since) = self.states.remove(&(chain, turn)) {
                        self.longest_wait = self.longest_wait.max(self.now - since);
                    }
                }
                Effect::Answer { chain, last } => self.finals.entry(chain.0).or_default().push(last),
                Effect::Probe { .. } | Effect::CancelTool { .. } | Effect::Forget { .. } => {}
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        loop {
            let event = self.due.peek().map(|Reverse((at, _))| *at);
            let next = [event, self.core.next_timer()].into_iter().flatten().min();
            match next.filter(|at| *at <= end) {
                None => {
                    self.now = end;
                    return;
                }
                Some(at) => {
                    self.now = self.now.max(at);
                    if event == Some(at) {
                        let Some(Reverse((_, number))) = self.due.pop() else { continue };
                        if let Some(event) = self.events.remove(&number) {
                            if let Event::AttemptEnded { chain, evidence: Evidence::Read { .. }, .. } = &event
                            {
                                let turn = self.turn(*chain);
                                self.states.insert((*chain, turn), self.now);
                            }
                            self.pass(event);
                        }
                    } else {
                        let mut effects = Vec::new();
                        self.core.wake(self.now, &mut effects);
                        self.carry_out(effects);
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

    pub fn sends(&self, wanted: Stage) -> usize {
        self.count(|effect| matches!(effect, Effect::Send { stage, .. } if *stage == wanted))
    }

    pub fn calls(&self) -> usize {
        self.count(|effect| matches!(effect, Effect::CallTool { .. }))
    }
}
