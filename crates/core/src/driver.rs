//! The core's one door: events in, effects out, and the module in between.

use std::collections::{BTreeMap, HashMap};

use elderstage::{
    Action, Arrival, Entry, Event as Told, ListMode, Outcome, Repeat, ReqId, Role, Router, ServerId, TextKey,
    Time,
};

use crate::admission::{self, Turned};
use crate::chain::{Chain, ChainId, Final, Leg, Phase, Reason, ToolOut};
use crate::estimate::Estimate;
use crate::evidence::{self, Evidence, ToolEnd};
use crate::members::Members;
use crate::plan::{Plan, ToolPlan};
use crate::timers::{Due, Timers};

/// What an attempt is to do at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Read the prompt and keep the state.
    Read,
    /// Fetch the state of the leg's read, and write.
    Write,
    /// Read and write at one place.
    Whole,
}

/// A request that a client has sent.
#[derive(Clone, Debug)]
pub struct Submit {
    pub chain: ChainId,
    pub route: usize,
    pub tenant: usize,
    pub session: Option<String>,
    /// Names the text with which the prompt begins, where it is shared, and its bytes.
    pub prefix: Option<(String, usize)>,
    /// Bytes of the whole prompt.
    pub bytes: usize,
    /// The client has marked it as tried before.
    pub repeat: bool,
}

/// A call that a turn has made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub tool: String,
    pub bytes: usize,
}

/// One thing that the front has seen.
#[derive(Clone, Debug)]
pub enum Event {
    Submit(Submit),
    /// The first token, or the first piece of a tool call, has come.
    Streaming {
        chain: ChainId,
        leg: ReqId,
        attempt: u32,
        took: Time,
    },
    AttemptEnded {
        chain: ChainId,
        leg: ReqId,
        attempt: u32,
        evidence: Evidence,
        took: Time,
        /// Tokens of prompt and answer as the engine counted them.
        usage: Option<(u64, u64)>,
        /// Bytes of text, and the calls, of a turn that ended in good order.
        text: usize,
        calls: Vec<Call>,
        load: Option<Vec<f64>>,
    },
    ToolEnded {
        chain: ChainId,
        call: usize,
        end: ToolEnd,
    },
    /// The client has left, or cancelled the request.
    ClientGone {
        chain: ChainId,
    },
    /// The answer has outgrown what the front may hold of it.
    TooLong {
        chain: ChainId,
    },
    Servers {
        mode: ListMode,
        entries: Vec<Entry>,
    },
    Probed {
        server: ServerId,
        evidence: Option<Evidence>,
        took: Time,
        load: Option<Vec<f64>>,
    },
    /// A server has told when its process started; starts before `long_ago` are those of warm servers.
    Started {
        server: ServerId,
        at: Time,
        long_ago: Time,
    },
    /// Take nothing new from now on.
    Drain,
    /// The time for the drain is up: end what is left.
    Stop,
}

/// One thing that the front is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        chain: ChainId,
        leg: ReqId,
        /// Number of the leg in its chain, from 1.
        turn: u32,
        attempt: u32,
        server: ServerId,
        stage: Stage,
        timeout: Time,
        /// The class is keyed: repeats are dropped by a key.
        keyed: bool,
        /// It must not run twice: its connection is proven before its body goes.
        once: bool,
    },
    /// Stop waiting for an attempt; its end is still to be told.
    Cancel {
        chain: ChainId,
        turn: u32,
        attempt: u32,
    },
    /// Tell a reader to let go of the state of this attempt, read or still being read.
    Release {
        chain: ChainId,
        turn: u32,
        attempt: u32,
        server: ServerId,
    },
    Probe {
        server: ServerId,
    },
    CallTool {
        chain: ChainId,
        turn: u32,
        call: usize,
        tool: usize,
        attempt: u32,
        timeout: Time,
    },
    CancelTool {
        chain: ChainId,
        turn: u32,
        call: usize,
    },
    /// The one final answer.
    Answer {
        chain: ChainId,
        last: Final,
    },
    /// Nothing more will come for this request.
    Forget {
        chain: ChainId,
    },
}

/// What the core has counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub turned_away: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub gone: u64,
    pub ended_for: BTreeMap<Reason, u64>,
    pub legs: u64,
    pub attempts: u64,
    pub outcomes: BTreeMap<&'static str, u64>,
    pub releases: u64,
    pub probes: u64,
    pub tool_calls: u64,
    pub tool_retries: u64,
    pub tool_lost: u64,
    pub restarts_seen: u64,
}

/// One front's state.
pub struct Core {
    plan: Plan,
    router: Router,
    members: Members,
    chains: HashMap<ChainId, Chain>,
    legs: HashMap<ReqId, ChainId>,
    asks: HashMap<ChainId, (Option<TextKey>, Option<TextKey>, usize)>,
    estimates: Vec<Estimate>,
    timers: Timers,
    next_leg: u32,
    draining: bool,
    counters: Counters,
}

impl Core {
    /// A front that knows nothing yet. The seed feeds the module's random numbers.
    pub fn new(plan: Plan, seed: u64) -> Core {
        Core {
            router: Router::new(plan.settings.clone(), seed),
            members: Members::default(),
            chains: HashMap::new(),
            legs: HashMap::new(),
            asks: HashMap::new(),
            estimates: vec![Estimate::default(); plan.routes.len()],
            timers: Timers::default(),
            next_leg: 0,
            draining: false,
            counters: Counters::default(),
            plan,
        }
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Requests that have not come to their end.
    pub fn held(&self) -> usize {
        self.chains.len()
    }

    pub fn draining(&self) -> bool {
        self.draining
    }

    /// When [`Core::wake`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Acts on all timers that are due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Module(name) => self.tell(now, Told::Timer { name }, out),
                Due::Chain(chain) => self.end_chain(now, chain, Reason::OutOfTime, out),
            }
        }
    }

    /// Takes one event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Submit(submit) => self.submit(now, submit, out),
            Event::Streaming { chain, leg, attempt, took } => {
                self.streaming(now, chain, leg, attempt, took, out)
            }
            Event::AttemptEnded { .. } => self.attempt_ended(now, event, out),
            Event::ToolEnded { chain, call, end } => self.tool_ended(now, chain, call, end, out),
            Event::ClientGone { chain } => {
                if self.chains.get(&chain).is_some_and(|c| !c.over) {
                    self.close(now, chain, Final::Gone, out);
                }
            }
            Event::TooLong { chain } => self.end_chain(now, chain, Reason::TooLong, out),
            Event::Servers { mode, entries } => {
                let entries = self.members.list(mode, entries);
                self.tell(now, Told::Servers { mode, entries }, out);
            }
            Event::Probed { server, evidence, took, load } => {
                let outcome =
                    evidence.map_or(Outcome::Served, |evidence| evidence::judge(Stage::Whole, &evidence).0);
                self.tell(now, Told::Probed { server, outcome, took, load }, out);
            }
            Event::Started { server, at, long_ago } => {
                if let Some(entry) = self.members.started(&server, at, long_ago) {
                    self.counters.restarts_seen += 1;
                    self.tell(now, Told::Servers { mode: ListMode::Changes, entries: vec![entry] }, out);
                }
            }
            Event::Drain => self.draining = true,
            Event::Stop => {
                self.draining = true;
                let mut left: Vec<ChainId> = self.chains.keys().copied().collect();
                left.sort_unstable();
                for chain in left {
                    self.end_chain(now, chain, Reason::Draining, out);
                }
            }
        }
    }

    // ---- Requests ----

    fn submit(&mut self, now: Time, submit: Submit, out: &mut Vec<Effect>) {
        let chain = submit.chain;
        if let Err(turned) = admission::admit(self.draining, self.chains.len(), &self.plan.limits) {
            self.counters.turned_away += 1;
            let reason = match turned {
                Turned::Draining => Reason::Draining,
                Turned::Full => Reason::FrontFull,
            };
            let retry_after = self.plan.limits.retry_after;
            out.push(Effect::Answer { chain, last: Final::Refused { reason, retry_after } });
            out.push(Effect::Forget { chain });
            return;
        }
        self.counters.taken += 1;
        let class = self.plan.routes[submit.route].class;
        let plan = &self.plan.classes[class];
        let tokens = self.estimates[submit.route].tokens(submit.bytes);
        let patience = plan.give_up + (plan.give_up_per_1000 * tokens / 1000.0) as Time;
        let deadline = now + plan.total;
        self.timers.set(deadline, Due::Chain(chain));
        let shared_bytes = submit.prefix.as_ref().map_or(0, |(_, bytes)| *bytes);
        let key = |text: String| TextKey(text.into());
        let prefix = submit.prefix.map(|(name, _)| key(name));
        // Without a session of its own, a request that may come back with a tool's result is one session: its next
        // leg is then read where its first was kept.
        let tools = !self.plan.routes[submit.route].tools.is_empty();
        let session = submit.session.or_else(|| tools.then(|| format!("request {}", chain.0)));
        self.asks.insert(chain, (session.map(key), prefix, submit.tenant));
        let state = Chain {
            route: submit.route,
            class,
            arrived: now,
            deadline,
            patience,
            bytes: submit.bytes,
            shared_bytes,
            legs: 0,
            calls: Vec::new(),
            next_call: 0,
            effect: false,
            phase: Phase::Leg(Leg::new(ReqId(0))),
            over: false,
        };
        self.chains.insert(chain, state);
        self.begin_leg(now, chain, submit.repeat, out);
    }

    /// Hands the next turn to the module as a request of its own, with the time that is left.
    fn begin_leg(&mut self, now: Time, id: ChainId, repeat: bool, out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let route = &self.plan.routes[chain.route];
        if chain.legs >= route.most_legs {
            return self.end_chain(now, id, Reason::TooManyTurns, out);
        }
        self.next_leg = self.next_leg.wrapping_add(1);
        let leg = ReqId(self.next_leg);
        chain.legs += 1;
        chain.phase = Phase::Leg(Leg::new(leg));
        self.legs.insert(leg, id);
        self.counters.legs += 1;
        let estimate = &self.estimates[chain.route];
        let prompt = estimate.tokens(chain.bytes);
        let shared =
            if chain.shared_bytes > 0 { estimate.tokens(chain.shared_bytes).min(prompt) } else { 0.0 };
        let tpot = self.plan.settings.classes[chain.class].tpot_aim;
        let (session, prefix, tenant) = self.asks.get(&id).cloned().unwrap_or_default();
        let arrival = Arrival {
            id: leg,
            class: chain.class,
            tenant,
            session,
            prefix,
            time_left: chain.patience.min(chain.deadline.saturating_sub(now)),
            hint: (estimate.answer() * tpot) as Time,
            prompt,
            shared,
            max_out: route.max_tokens,
            repeat,
            // A later leg is read where its session was, which its key tells; it is no return after a break.
            returned: false,
        };
        self.tell(now, Told::Arrived(arrival), out);
    }

    fn streaming(
        &mut self,
        now: Time,
        id: ChainId,
        leg: ReqId,
        attempt: u32,
        took: Time,
        out: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Leg(state) = &mut chain.phase else { return };
        let Some((server, _)) = state.out.clone().filter(|_| state.id == leg) else { return };
        state.streaming = true;
        state.may_have_run = true;
        // The writer has fetched the state; its reader has let go of it.
        state.state = None;
        if !chain.over {
            self.tell(now, Told::Streaming { id: leg, attempt, server, took }, out);
        }
    }

    fn attempt_ended(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        let Event::AttemptEnded { chain: id, leg, attempt, evidence, took, usage, text, calls, load } = event
        else {
            return;
        };
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Leg(state) = &mut chain.phase else { return };
        let Some((server, stage)) = state.out.take().filter(|_| state.id == leg) else { return };
        let (outcome, note) = evidence::judge(stage, &evidence);
        *self.counters.outcomes.entry(outcome_name(outcome)).or_default() += 1;
        let (streamed, turn) = (state.streaming, chain.legs);
        if stage != Stage::Read && !outcome.never_ran() {
            state.may_have_run = true;
        }
        if outcome == Outcome::Read {
            state.state = Some((server.clone(), attempt));
        } else if stage == Stage::Read && !outcome.never_ran() {
            // Whether the reader keeps a state is not known then: guards against one left pinned there.
            out.push(Effect::Release { chain: id, turn, attempt, server: server.clone() });
            self.counters.releases += 1;
        }
        if let Some((prompt, answer)) = usage {
            let estimate = &mut self.estimates[chain.route];
            estimate.saw_prompt(chain.bytes, prompt);
            if outcome == Outcome::Served && answer > 0 {
                estimate.saw_answer(answer);
            }
        }
        // A break in a stream that had started ends the leg, as does its good end.
        let settled = streamed || outcome == Outcome::Served;
        let over = chain.over;
        self.tell(now, Told::Ended { id: leg, attempt, server, outcome, took, settled, note, load }, out);
        if over {
            return self.forget(id, out);
        }
        if outcome == Outcome::Served {
            self.turn_ended(now, id, text, &calls, out);
        } else if settled {
            self.end_chain(now, id, Reason::StreamBroke, out);
        }
    }

    // ---- Tool calls ----

    fn turn_ended(&mut self, now: Time, id: ChainId, text: usize, calls: &[Call], out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        if calls.is_empty() {
            return self.close(now, id, Final::Served, out);
        }
        if calls.len() > self.plan.limits.calls {
            return self.end_chain(now, id, Reason::TooManyTurns, out);
        }
        let route = &self.plan.routes[chain.route];
        let find = |call: &Call| route.tools.iter().copied().find(|t| self.plan.tools[*t].name == call.tool);
        chain.calls = calls.iter().map(find).collect();
        chain.next_call = 0;
        chain.bytes += text + calls.iter().map(|call| call.bytes).sum::<usize>();
        self.next_tool(now, id, out);
    }

    /// Makes the turn's next call, one after the other, or begins the next leg. A call for a tool that the route
    /// does not have is not made; the model is told so.
    fn next_tool(&mut self, now: Time, id: ChainId, out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        while chain.calls.get(chain.next_call).is_some_and(Option::is_none) {
            chain.next_call += 1;
        }
        match chain.calls.get(chain.next_call).copied().flatten() {
            None => self.begin_leg(now, id, false, out),
            Some(tool) => {
                let call = chain.next_call;
                chain.next_call += 1;
                self.call_tool(now, id, ToolOut { call, tool, tries: 0, effect_before: false }, out);
            }
        }
    }

    fn call_tool(&mut self, now: Time, id: ChainId, mut call: ToolOut, out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let tool = &self.plan.tools[call.tool];
        if call.tries == 0 {
            call.effect_before = chain.effect;
        }
        call.tries += 1;
        chain.effect |= tool.effect;
        chain.phase = Phase::Tool(call);
        self.counters.tool_calls += 1;
        self.counters.tool_retries += u64::from(call.tries > 1);
        let timeout = tool.timeout.min(chain.deadline.saturating_sub(now));
        out.push(Effect::CallTool {
            chain: id,
            turn: chain.legs,
            call: call.call,
            tool: call.tool,
            attempt: call.tries,
            timeout,
        });
    }

    fn tool_ended(&mut self, now: Time, id: ChainId, call: usize, end: ToolEnd, out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Tool(mut state) = chain.phase.clone() else { return };
        if state.call != call {
            return;
        }
        if chain.over {
            return self.forget(id, out);
        }
        let tool = &self.plan.tools[state.tool];
        if end == ToolEnd::NotRun {
            chain.effect = state.effect_before;
        }
        match tool_step(tool, &end, state.tries) {
            ToolStep::GoOn => {
                if let ToolEnd::Result { bytes } = end {
                    chain.bytes += bytes;
                } else {
                    self.counters.tool_lost += 1;
                }
                self.next_tool(now, id, out);
            }
            ToolStep::Again => {
                state.effect_before = chain.effect;
                self.call_tool(now, id, state, out);
            }
            ToolStep::End => {
                self.counters.tool_lost += 1;
                self.end_chain(now, id, Reason::ToolUnknown, out);
            }
        }
    }

    // ---- Ends ----

    /// Ends a request for a reason of the core's, with the word that is true then.
    fn end_chain(&mut self, now: Time, id: ChainId, reason: Reason, out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get(&id).filter(|chain| !chain.over) else { return };
        let last = chain.ending(self.repeat(chain), reason, self.plan.limits.retry_after);
        self.close(now, id, last, out);
    }

    fn repeat(&self, chain: &Chain) -> Repeat {
        self.plan.classes[chain.class].repeat
    }

    /// Gives the one final answer, and stops what is still out.
    fn close(&mut self, now: Time, id: ChainId, last: Final, out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id).filter(|chain| !chain.over) else { return };
        chain.over = true;
        out.push(Effect::Answer { chain: id, last });
        match last {
            Final::Served => self.counters.served += 1,
            Final::Refused { .. } => self.counters.refused += 1,
            Final::Failed { .. } => self.counters.failed += 1,
            Final::Gone => self.counters.gone += 1,
        }
        if let Final::Refused { reason, .. } | Final::Failed { reason } = last {
            *self.counters.ended_for.entry(reason).or_default() += 1;
        }
        match &chain.phase {
            Phase::Leg(leg) => {
                let leg = leg.id;
                // To the module the client of this leg has left: it cancels what is out and lets go. It has
                // forgotten the leg already when the word was its own.
                self.tell(now, Told::ClientGone { id: leg }, out);
            }
            Phase::Tool(tool) => {
                out.push(Effect::CancelTool { chain: id, turn: chain.legs, call: tool.call });
            }
        }
        self.forget(id, out);
    }

    /// Drops a request that is over and of which nothing is out.
    fn forget(&mut self, id: ChainId, out: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get(&id) else { return };
        let idle = match &chain.phase {
            Phase::Leg(leg) => leg.out.is_none(),
            // The end of a call that was cancelled is not waited for: it changes nothing any more.
            Phase::Tool(_) => true,
        };
        if !chain.over || !idle {
            return;
        }
        if let Phase::Leg(leg) = &chain.phase {
            self.legs.remove(&leg.id);
        }
        self.chains.remove(&id);
        self.asks.remove(&id);
        out.push(Effect::Forget { chain: id });
    }

    // ---- The module ----

    fn tell(&mut self, now: Time, event: Told, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            self.act(now, action, out);
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Timer { after, name } => self.timers.set(now + after, Due::Module(name)),
            Action::Probe { server } => {
                self.counters.probes += 1;
                out.push(Effect::Probe { server });
            }
            Action::Send { id, server, timeout } => self.send(id, server, timeout, out),
            Action::Cancel { id, attempt } => {
                if let Some((chain, state)) = self.leg_chain(id) {
                    out.push(Effect::Cancel { chain, turn: state.legs, attempt });
                }
            }
            Action::Release { id } => {
                let Some(chain_id) = self.legs.get(&id).copied() else { return };
                let Some(chain) = self.chains.get_mut(&chain_id) else { return };
                let Phase::Leg(leg) = &mut chain.phase else { return };
                if leg.id != id {
                    return;
                }
                if let Some((server, attempt)) = leg.state.take() {
                    self.counters.releases += 1;
                    out.push(Effect::Release { chain: chain_id, turn: chain.legs, attempt, server });
                }
            }
            Action::Refuse { id, retry_after } => {
                let Some((chain_id, chain)) = self.leg_chain(id) else { return };
                let last = chain.refusal(self.repeat(chain), retry_after);
                self.close(now, chain_id, last, out);
            }
            Action::Fail { id } => {
                let Some((chain_id, _)) = self.leg_chain(id) else { return };
                self.close(now, chain_id, Final::Failed { reason: Reason::MayHaveRun }, out);
            }
            // The list comes by itself, and streams are not moved: neither is asked of this front.
            Action::Subscribe | Action::Move { .. } => {}
        }
    }

    fn leg_chain(&self, leg: ReqId) -> Option<(ChainId, &Chain)> {
        let id = *self.legs.get(&leg)?;
        Some((id, self.chains.get(&id)?))
    }

    fn send(&mut self, leg: ReqId, server: ServerId, timeout: Time, out: &mut Vec<Effect>) {
        let Some(id) = self.legs.get(&leg).copied() else { return };
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let kind = self.members.get(&server).map(|entry| entry.kind);
        let role = kind.and_then(|kind| self.plan.settings.roles.get(kind)).copied().unwrap_or_default();
        let repeat = self.plan.classes[chain.class].repeat;
        let keyed = matches!(repeat, Repeat::Keyed { .. });
        let turn = chain.legs;
        let Phase::Leg(state) = &mut chain.phase else { return };
        let stage = match (role, &state.state) {
            (Role::Prefill, _) => Stage::Read,
            (_, Some(_)) => Stage::Write,
            (_, None) => Stage::Whole,
        };
        let attempt = state.attempts;
        state.attempts += 1;
        state.out = Some((server.clone(), stage));
        self.counters.attempts += 1;
        // Whatever a reader does has no effect.
        let once = repeat != Repeat::Safe && stage != Stage::Read;
        out.push(Effect::Send { chain: id, leg, turn, attempt, server, stage, timeout, keyed, once });
    }
}

enum ToolStep {
    /// With the result, or with word to the model that there is none.
    GoOn,
    Again,
    End,
}

/// What follows a tool call. One with an effect is made again only when it is proved not to have run.
fn tool_step(tool: &ToolPlan, end: &ToolEnd, tries: u32) -> ToolStep {
    match end {
        ToolEnd::Result { .. } => ToolStep::GoOn,
        ToolEnd::Unknown if tool.effect => ToolStep::End,
        ToolEnd::NotRun | ToolEnd::Unknown if tries < tool.tries => ToolStep::Again,
        ToolEnd::NotRun | ToolEnd::Unknown => ToolStep::GoOn,
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed-out",
        Outcome::NoConnection => "no-connection",
        Outcome::Broken => "broken",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not-sent",
        Outcome::Read => "read",
    }
}
