//! The core's state machine: takes events, drives the router and emits effects.
//!
//! It does no I/O and reads no clock: the caller passes the time. Each chain that is submitted gets exactly
//! one [`Effect::Answer`], and then one [`Effect::Forget`] once none of its attempts is in flight.

use std::collections::{BTreeMap, HashMap};

use elderstage::{
    Action, Arrival, Event as RouterEvent, ListMode, Outcome, RepeatPolicy, RequestId, Role, Router,
    ServerEntry, ServerId, TextKey, Time,
};

use crate::admission::{self, Rejection};
use crate::chain::{Chain, ChainId, Final, Leg, PendingToolCall, Phase, Reason, RepeatSafety};
use crate::estimate::Estimate;
use crate::evidence::{self, Evidence, ToolEnd};
use crate::members::Members;
use crate::plan::{Plan, ToolPlan};
use crate::timers::{TimerPurpose, Timers};

/// The work that an attempt does at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Read the prompt (prefill) and keep its KV state for a writer.
    Read,
    /// Fetch the KV state that the leg's reader keeps, and write the answer (decode).
    Write,
    /// Read and write on one server.
    Whole,
}

/// A request from a client.
#[derive(Clone, Debug)]
pub struct NewRequest {
    pub chain: ChainId,
    /// Index into [`Plan::routes`].
    pub route: usize,
    /// Index into the tenants of the router's settings.
    pub tenant: usize,
    /// Key of the client's session, if the client named one.
    pub session: Option<String>,
    /// Name and length in bytes of the text that the prompt begins with, if other requests share it.
    pub shared_prefix: Option<(String, usize)>,
    /// Length of the whole prompt, in bytes.
    pub prompt_bytes: usize,
    /// The client marked the request as a repeat of an earlier one.
    pub is_repeat: bool,
}

/// A tool call that the model made in a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestedToolCall {
    /// Name of the tool, as the model wrote it.
    pub tool: String,
    /// Length of the arguments, in bytes.
    pub argument_bytes: usize,
}

/// An event that the front observed.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client sent a request.
    Submit(NewRequest),
    /// The first token, or the first fragment of a tool call, arrived from the engine.
    Streaming { chain: ChainId, leg: RequestId, attempt: u32, took: Time },
    /// An attempt ended, after `took`.
    AttemptEnded {
        chain: ChainId,
        leg: RequestId,
        attempt: u32,
        evidence: Evidence,
        took: Time,
        /// Prompt tokens and answer tokens, as counted by the engine.
        usage: Option<(u64, u64)>,
        /// Bytes of text and the tool calls of a turn that ended normally.
        text_bytes: usize,
        calls: Vec<RequestedToolCall>,
        load: Option<Vec<f64>>,
    },
    /// A tool call ended. `call` is its position among the calls of the turn.
    ToolEnded { chain: ChainId, call: usize, end: ToolEnd },
    /// The client closed its connection or cancelled the request.
    ClientGone { chain: ChainId },
    /// The answer exceeds the size that the front may buffer.
    TooLong { chain: ChainId },
    /// The list of servers, or changes to it.
    Servers { mode: ListMode, entries: Vec<ServerEntry> },
    /// A probe ended; `evidence` is `None` if the server answered that it is healthy.
    Probed { server: ServerId, evidence: Option<Evidence>, took: Time, load: Option<Vec<f64>> },
    /// A server reported the start time of its process. A server that started before `long_ago` counts as
    /// warm.
    Started { server: ServerId, at: Time, long_ago: Time },
    /// Reject new requests from now on.
    Drain,
    /// The drain period is over: end all remaining requests.
    Stop,
}

/// An action that the front carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start an attempt.
    Send {
        chain: ChainId,
        leg: RequestId,
        /// Number of the leg within its chain, from 1.
        turn: u32,
        attempt: u32,
        server: ServerId,
        stage: Stage,
        timeout: Time,
        /// The request's class is keyed: the server drops repeats by an idempotency key.
        is_keyed: bool,
        /// The request must not run twice: its connection is proven before its body is sent.
        must_not_repeat: bool,
    },
    /// Cancel an attempt; the front still reports its end.
    Cancel { chain: ChainId, turn: u32, attempt: u32 },
    /// Tell a reader to release the KV state of this attempt, whether its read is finished or still running.
    Release { chain: ChainId, turn: u32, attempt: u32, server: ServerId },
    /// Send a health request to a server.
    Probe { server: ServerId },
    /// Call a tool. `tool` is an index into [`Plan::tools`].
    CallTool { chain: ChainId, turn: u32, call: usize, tool: usize, attempt: u32, timeout: Time },
    /// Cancel a tool call.
    CancelTool { chain: ChainId, turn: u32, call: usize },
    /// Give the client its final answer; emitted once per chain.
    Answer { chain: ChainId, final_answer: Final },
    /// Drop everything held for this chain: no further effect refers to it.
    Forget { chain: ChainId },
}

/// Counters since the start of the core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected at admission.
    pub turned_away: u64,
    /// Requests that ended with [`Final::Served`].
    pub served: u64,
    /// Admitted requests that ended with [`Final::Refused`].
    pub refused: u64,
    /// Requests that ended with [`Final::Failed`].
    pub failed: u64,
    /// Requests whose client left or cancelled.
    pub clients_gone: u64,
    /// Admitted requests that were refused or failed, by reason.
    pub ended_for: BTreeMap<Reason, u64>,
    /// Legs started.
    pub legs: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Ended attempts, by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Releases of KV states requested from readers.
    pub releases: u64,
    /// Probes requested by the router.
    pub probes: u64,
    /// Tool calls made, retries included.
    pub tool_calls: u64,
    /// Tool calls that repeat an earlier try.
    pub tool_retries: u64,
    /// Tool calls that ended without a result after the last try.
    pub tool_lost: u64,
    /// Server restarts noticed from the servers' own reports.
    pub restarts_seen: u64,
}

/// The state of one front.
pub struct Core {
    plan: Plan,
    router: Router,
    members: Members,
    chains: HashMap<ChainId, Chain>,
    chain_by_leg: HashMap<RequestId, ChainId>,
    /// Session key, prefix key and tenant of each chain.
    routing_keys: HashMap<ChainId, (Option<TextKey>, Option<TextKey>, usize)>,
    /// One for each route.
    estimates: Vec<Estimate>,
    timers: Timers,
    last_leg_number: u32,
    is_draining: bool,
    counters: Counters,
}

impl Core {
    /// A core without servers or requests. `seed` seeds the router's random numbers.
    pub fn new(plan: Plan, seed: u64) -> Core {
        Core {
            router: Router::new(plan.settings.clone(), seed),
            members: Members::default(),
            chains: HashMap::new(),
            chain_by_leg: HashMap::new(),
            routing_keys: HashMap::new(),
            estimates: vec![Estimate::default(); plan.routes.len()],
            timers: Timers::default(),
            last_leg_number: 0,
            is_draining: false,
            counters: Counters::default(),
            plan,
        }
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of chains that have not been forgotten yet.
    pub fn request_count(&self) -> usize {
        self.chains.len()
    }

    /// Whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// When [`Core::handle_timers`] is due next.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Handles all timers that are due.
    pub fn handle_timers(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                TimerPurpose::Router(name) => self.notify_router(now, RouterEvent::Timer { name }, effects),
                TimerPurpose::Chain(chain) => self.give_up(now, chain, Reason::OutOfTime, effects),
            }
        }
    }

    /// Handles one event and appends the resulting effects to `effects`.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submit(submit) => self.submit(now, submit, effects),
            Event::Streaming { chain, leg, attempt, took } => {
                self.attempt_streaming(now, chain, leg, attempt, took, effects)
            }
            Event::AttemptEnded { .. } => self.attempt_ended(now, event, effects),
            Event::ToolEnded { chain, call, end } => self.tool_ended(now, chain, call, end, effects),
            Event::ClientGone { chain } => {
                if self.chains.get(&chain).is_some_and(|c| !c.is_answered) {
                    self.finish(now, chain, Final::Gone, effects);
                }
            }
            Event::TooLong { chain } => self.give_up(now, chain, Reason::TooLong, effects),
            Event::Servers { mode, entries } => {
                let entries = self.members.apply_list(mode, entries);
                self.notify_router(now, RouterEvent::Servers { mode, entries }, effects);
            }
            Event::Probed { server, evidence, took, load } => {
                let outcome = evidence
                    .map_or(Outcome::Served, |evidence| evidence::classify(Stage::Whole, &evidence).0);
                self.notify_router(now, RouterEvent::Probed { server, outcome, took, load }, effects);
            }
            Event::Started { server, at, long_ago } => {
                if let Some(entry) = self.members.record_start(&server, at, long_ago) {
                    self.counters.restarts_seen += 1;
                    self.notify_router(
                        now,
                        RouterEvent::Servers { mode: ListMode::Changes, entries: vec![entry] },
                        effects,
                    );
                }
            }
            Event::Drain => self.is_draining = true,
            Event::Stop => {
                self.is_draining = true;
                let mut remaining: Vec<ChainId> = self.chains.keys().copied().collect();
                remaining.sort_unstable();
                for chain in remaining {
                    self.give_up(now, chain, Reason::Draining, effects);
                }
            }
        }
    }

    // ---- Requests ----

    fn submit(&mut self, now: Time, submit: NewRequest, effects: &mut Vec<Effect>) {
        let chain = submit.chain;
        if let Err(rejection) = admission::admit(self.is_draining, self.chains.len(), &self.plan.limits) {
            self.counters.turned_away += 1;
            let reason = match rejection {
                Rejection::Draining => Reason::Draining,
                Rejection::Full => Reason::FrontFull,
            };
            let retry_after = self.plan.limits.retry_after;
            effects.push(Effect::Answer { chain, final_answer: Final::Refused { reason, retry_after } });
            effects.push(Effect::Forget { chain });
            return;
        }
        self.counters.admitted += 1;
        let class = self.plan.routes[submit.route].class;
        let plan = &self.plan.classes[class];
        let tokens = self.estimates[submit.route].tokens(submit.prompt_bytes);
        let first_token_limit =
            plan.first_token_limit + (plan.first_token_limit_per_1000 * tokens / 1000.0) as Time;
        let deadline = now + plan.request_limit;
        self.timers.set(deadline, TimerPurpose::Chain(chain));
        let shared_bytes = submit.shared_prefix.as_ref().map_or(0, |(_, bytes)| *bytes);
        let key = |text: String| TextKey(text.into());
        let prefix = submit.shared_prefix.map(|(name, _)| key(name));
        // A request on a route with tools gets a session of its own if it names none: the router then reads
        // its next leg on the server that keeps the first.
        let tools = !self.plan.routes[submit.route].tools.is_empty();
        let session = submit.session.or_else(|| tools.then(|| format!("request {}", chain.0)));
        self.routing_keys.insert(chain, (session.map(key), prefix, submit.tenant));
        let new_chain = Chain {
            route: submit.route,
            class,
            arrived: now,
            deadline,
            first_token_limit,
            bytes: submit.prompt_bytes,
            shared_bytes,
            legs: 0,
            calls: Vec::new(),
            next_call: 0,
            may_have_had_effect: false,
            may_have_run: false,
            phase: Phase::Leg(Leg::new(RequestId(0))),
            given_up_for: None,
            is_answered: false,
        };
        self.chains.insert(chain, new_chain);
        self.start_leg(now, chain, submit.is_repeat, effects);
    }

    /// Submits the next turn to the router as a request of its own, with the time that is left.
    fn start_leg(&mut self, now: Time, id: ChainId, repeat: bool, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let route = &self.plan.routes[chain.route];
        if chain.legs >= route.max_legs {
            return self.give_up(now, id, Reason::TooManyTurns, effects);
        }
        self.last_leg_number = self.last_leg_number.wrapping_add(1);
        let leg = RequestId(self.last_leg_number);
        chain.legs += 1;
        chain.phase = Phase::Leg(Leg::new(leg));
        self.chain_by_leg.insert(leg, id);
        self.counters.legs += 1;
        let estimate = &self.estimates[chain.route];
        let prompt = estimate.tokens(chain.bytes);
        let shared =
            if chain.shared_bytes > 0 { estimate.tokens(chain.shared_bytes).min(prompt) } else { 0.0 };
        let tpot = self.plan.settings.classes[chain.class].tpot_target;
        let (session, prefix, tenant) = self.routing_keys.get(&id).cloned().unwrap_or_default();
        let arrival = Arrival {
            id: leg,
            class: chain.class,
            tenant,
            session,
            prefix,
            time_left: chain.first_token_limit.min(chain.deadline.saturating_sub(now)),
            output_time_hint: (estimate.answer_tokens() * tpot) as Time,
            prompt_tokens: prompt,
            shared_tokens: shared,
            max_output_tokens: route.max_tokens,
            is_repeat: repeat,
            // The session key leads a later leg to its reader; `returned` is for sessions that come back
            // after a break.
            is_resumed: false,
        };
        self.notify_router(now, RouterEvent::Arrived(arrival), effects);
    }

    fn attempt_streaming(
        &mut self,
        now: Time,
        id: ChainId,
        leg: RequestId,
        attempt: u32,
        took: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Leg(current) = &mut chain.phase else { return };
        let Some((server, _)) = current.in_flight.clone().filter(|_| current.id == leg) else { return };
        current.is_streaming = true;
        // The writer has fetched the state and the reader has released it.
        current.kept_state = None;
        chain.may_have_run = true;
        if !chain.is_answered {
            self.notify_router(now, RouterEvent::Streaming { id: leg, attempt, server, took }, effects);
        }
    }

    fn attempt_ended(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let Event::AttemptEnded {
            chain: id,
            leg,
            attempt,
            evidence,
            took,
            usage,
            text_bytes: text,
            calls,
            load,
        } = event
        else {
            return;
        };
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Leg(current) = &mut chain.phase else { return };
        let Some((server, stage)) = current.in_flight.take().filter(|_| current.id == leg) else { return };
        let (outcome, note) = evidence::classify(stage, &evidence);
        *self.counters.outcomes.entry(outcome_name(outcome)).or_default() += 1;
        let (streamed, turn) = (current.is_streaming, chain.legs);
        chain.may_have_run |= stage != Stage::Read && !outcome.never_ran();
        if outcome == Outcome::Read {
            current.kept_state = Some((server.clone(), attempt));
        } else if stage == Stage::Read && !outcome.never_ran() {
            // It is not known whether the reader keeps a state. The release prevents one from staying pinned.
            effects.push(Effect::Release { chain: id, turn, attempt, server: server.clone() });
            self.counters.releases += 1;
        }
        if let Some((prompt, answer)) = usage {
            let estimate = &mut self.estimates[chain.route];
            estimate.record_prompt(chain.bytes, prompt);
            if outcome == Outcome::Served && answer > 0 {
                estimate.record_answer(answer);
            }
        }
        // A stream that breaks after its first token ends the leg, just as a complete stream does.
        let settled = streamed || outcome == Outcome::Served;
        let (is_answered, given_up_for) = (chain.is_answered, chain.given_up_for);
        self.notify_router(
            now,
            RouterEvent::Ended { id: leg, attempt, server, outcome, took, is_settled: settled, note, load },
            effects,
        );
        if is_answered {
            return self.remove_if_finished(id, effects);
        }
        if let Some(reason) = given_up_for {
            let is_whole_answer = outcome == Outcome::Served && calls.is_empty();
            return self.finish_given_up(now, id, reason, is_whole_answer, effects);
        }
        if outcome == Outcome::Served {
            self.turn_ended(now, id, text, &calls, effects);
        } else if settled {
            self.give_up(now, id, Reason::StreamBroke, effects);
        }
    }

    // ---- Tool calls ----

    fn turn_ended(
        &mut self,
        now: Time,
        id: ChainId,
        text: usize,
        calls: &[RequestedToolCall],
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        if calls.is_empty() {
            return self.finish(now, id, Final::Served, effects);
        }
        if calls.len() > self.plan.limits.max_calls_per_turn {
            return self.give_up(now, id, Reason::TooManyTurns, effects);
        }
        let route = &self.plan.routes[chain.route];
        let find_tool = |call: &RequestedToolCall| {
            route.tools.iter().copied().find(|t| self.plan.tools[*t].name == call.tool)
        };
        chain.calls = calls.iter().map(find_tool).collect();
        chain.next_call = 0;
        chain.bytes += text + calls.iter().map(|call| call.argument_bytes).sum::<usize>();
        self.start_next_call(now, id, effects);
    }

    /// Starts the turn's next tool call, or the next leg after the last one. Calls run one at a time. A call
    /// to a tool that the route does not have is skipped; the model is told that there is no such tool.
    fn start_next_call(&mut self, now: Time, id: ChainId, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        while chain.calls.get(chain.next_call).is_some_and(Option::is_none) {
            chain.next_call += 1;
        }
        match chain.calls.get(chain.next_call).copied().flatten() {
            None => self.start_leg(now, id, false, effects),
            Some(tool) => {
                let call = chain.next_call;
                chain.next_call += 1;
                self.start_tool_call(
                    now,
                    id,
                    PendingToolCall { call, tool, tries: 0, had_effect_before: false },
                    effects,
                );
            }
        }
    }

    fn start_tool_call(
        &mut self,
        now: Time,
        id: ChainId,
        mut call: PendingToolCall,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let tool = &self.plan.tools[call.tool];
        if call.tries == 0 {
            call.had_effect_before = chain.may_have_had_effect;
        }
        call.tries += 1;
        chain.may_have_had_effect |= tool.has_effect;
        chain.phase = Phase::Tool(call);
        self.counters.tool_calls += 1;
        self.counters.tool_retries += u64::from(call.tries > 1);
        let timeout = tool.timeout.min(chain.deadline.saturating_sub(now));
        effects.push(Effect::CallTool {
            chain: id,
            turn: chain.legs,
            call: call.call,
            tool: call.tool,
            attempt: call.tries,
            timeout,
        });
    }

    fn tool_ended(&mut self, now: Time, id: ChainId, call: usize, end: ToolEnd, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Tool(mut pending) = chain.phase.clone() else { return };
        if pending.call != call {
            return;
        }
        if chain.is_answered {
            return self.remove_if_finished(id, effects);
        }
        let tool = &self.plan.tools[pending.tool];
        if end == ToolEnd::NotRun {
            chain.may_have_had_effect = pending.had_effect_before;
        }
        match decide_tool_step(tool, &end, pending.tries) {
            ToolStep::Continue => {
                if let ToolEnd::Result { bytes } = end {
                    chain.bytes += bytes;
                } else {
                    self.counters.tool_lost += 1;
                }
                self.start_next_call(now, id, effects);
            }
            ToolStep::Retry => {
                pending.had_effect_before = chain.may_have_had_effect;
                self.start_tool_call(now, id, pending, effects);
            }
            ToolStep::EndRequest => {
                self.counters.tool_lost += 1;
                self.give_up(now, id, Reason::ToolUnknown, effects);
            }
        }
    }

    // ---- Ends ----

    /// Ends a request for a reason found by the core, with the final answer that [`Chain::final_for_end`]
    /// allows. If the end of the attempt in flight decides which one that is, the attempt is cancelled and the
    /// answer follows its end.
    fn give_up(&mut self, now: Time, id: ChainId, reason: Reason, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get(&id).filter(|chain| !chain.is_answered) else { return };
        let repeat = self.repeat_policy(chain);
        if chain.repeat_safety(repeat) == RepeatSafety::Undecided {
            return self.cancel_undecided(now, id, reason, effects);
        }
        let last = chain.final_for_end(repeat, reason, self.plan.limits.retry_after);
        self.finish(now, id, last, effects);
    }

    /// Cancels the attempt in flight, whose end decides the final answer. Does nothing the second time.
    fn cancel_undecided(&mut self, now: Time, id: ChainId, reason: Reason, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id).filter(|chain| chain.given_up_for.is_none()) else {
            return;
        };
        chain.given_up_for = Some(reason);
        if let Phase::Leg(leg) = &chain.phase {
            let leg = leg.id;
            self.notify_router(now, RouterEvent::ClientGone { id: leg }, effects);
        }
    }

    /// Gives the final answer of a request that was given up, after the end of its attempt. An attempt that
    /// brought the whole answer before the cancellation reached it is served.
    fn finish_given_up(
        &mut self,
        now: Time,
        id: ChainId,
        reason: Reason,
        is_whole_answer: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get(&id) else { return };
        let last = if is_whole_answer {
            Final::Served
        } else {
            chain.final_for_end(self.repeat_policy(chain), reason, self.plan.limits.retry_after)
        };
        self.finish(now, id, last, effects);
    }

    fn repeat_policy(&self, chain: &Chain) -> RepeatPolicy {
        self.plan.classes[chain.class].repeat
    }

    /// Gives the final answer and cancels the attempt or tool call in flight.
    fn finish(&mut self, now: Time, id: ChainId, last: Final, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id).filter(|chain| !chain.is_answered) else { return };
        chain.is_answered = true;
        effects.push(Effect::Answer { chain: id, final_answer: last });
        match last {
            Final::Served => self.counters.served += 1,
            Final::Refused { .. } => self.counters.refused += 1,
            Final::Failed { .. } => self.counters.failed += 1,
            Final::Gone => self.counters.clients_gone += 1,
        }
        if let Final::Refused { reason, .. } | Final::Failed { reason } = last {
            *self.counters.ended_for.entry(reason).or_default() += 1;
        }
        match &chain.phase {
            Phase::Leg(leg) => {
                let leg = leg.id;
                // The router is told that the client has left: it cancels the attempt in flight and releases
                // the state. If the router itself ended the leg, it no longer knows it and ignores this.
                self.notify_router(now, RouterEvent::ClientGone { id: leg }, effects);
            }
            Phase::Tool(tool) => {
                effects.push(Effect::CancelTool { chain: id, turn: chain.legs, call: tool.call });
            }
        }
        self.remove_if_finished(id, effects);
    }

    /// Removes a chain that has its final answer and no attempt in flight.
    fn remove_if_finished(&mut self, id: ChainId, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get(&id) else { return };
        let is_idle = match &chain.phase {
            Phase::Leg(leg) => leg.in_flight.is_none(),
            // The end of a cancelled tool call has no consequence, so it is not awaited.
            Phase::Tool(_) => true,
        };
        if !chain.is_answered || !is_idle {
            return;
        }
        if let Phase::Leg(leg) = &chain.phase {
            self.chain_by_leg.remove(&leg.id);
        }
        self.chains.remove(&id);
        self.routing_keys.remove(&id);
        effects.push(Effect::Forget { chain: id });
    }

    // ---- The router ----

    fn notify_router(&mut self, now: Time, event: RouterEvent, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            self.apply_action(now, action, effects);
        }
    }

    fn apply_action(&mut self, now: Time, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Timer { after, name } => self.timers.set(now + after, TimerPurpose::Router(name)),
            Action::Probe { server } => {
                self.counters.probes += 1;
                effects.push(Effect::Probe { server });
            }
            Action::Send { id, server, timeout } => self.send_attempt(id, server, timeout, effects),
            Action::Cancel { id, attempt } => {
                if let Some((chain, chain_state)) = self.chain_of_leg(id) {
                    effects.push(Effect::Cancel { chain, turn: chain_state.legs, attempt });
                }
            }
            Action::Release { id } => {
                let Some(chain_id) = self.chain_by_leg.get(&id).copied() else { return };
                let Some(chain) = self.chains.get_mut(&chain_id) else { return };
                let Phase::Leg(leg) = &mut chain.phase else { return };
                if leg.id != id {
                    return;
                }
                if let Some((server, attempt)) = leg.kept_state.take() {
                    self.counters.releases += 1;
                    effects.push(Effect::Release { chain: chain_id, turn: chain.legs, attempt, server });
                }
            }
            Action::Refuse { id, retry_after } => {
                let Some((chain_id, chain)) = self.chain_of_leg(id) else { return };
                let last = chain.final_for_refusal(self.repeat_policy(chain), retry_after);
                self.finish(now, chain_id, last, effects);
            }
            Action::Fail { id } => {
                let Some((chain_id, _)) = self.chain_of_leg(id) else { return };
                self.finish(now, chain_id, Final::Failed { reason: Reason::MayHaveRun }, effects);
            }
            // The front receives the list without asking for it, and this front does not move streams.
            Action::Subscribe | Action::Move { .. } => {}
        }
    }

    fn chain_of_leg(&self, leg: RequestId) -> Option<(ChainId, &Chain)> {
        let id = *self.chain_by_leg.get(&leg)?;
        Some((id, self.chains.get(&id)?))
    }

    fn send_attempt(&mut self, leg: RequestId, server: ServerId, timeout: Time, effects: &mut Vec<Effect>) {
        let Some(id) = self.chain_by_leg.get(&leg).copied() else { return };
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let kind = self.members.get(&server).map(|entry| entry.kind);
        let role = kind.and_then(|kind| self.plan.settings.roles.get(kind)).copied().unwrap_or_default();
        let repeat = self.plan.classes[chain.class].repeat;
        let keyed = matches!(repeat, RepeatPolicy::Keyed { .. });
        let turn = chain.legs;
        let Phase::Leg(current) = &mut chain.phase else { return };
        let stage = match (role, &current.kept_state) {
            (Role::Prefill, _) => Stage::Read,
            (_, Some(_)) => Stage::Write,
            (_, None) => Stage::Whole,
        };
        let attempt = current.attempts;
        current.attempts += 1;
        current.in_flight = Some((server.clone(), stage));
        self.counters.attempts += 1;
        // Reading a prompt has no side effect, so it may be repeated.
        let once = repeat != RepeatPolicy::Safe && stage != Stage::Read;
        effects.push(Effect::Send {
            chain: id,
            leg,
            turn,
            attempt,
            server,
            stage,
            timeout,
            is_keyed: keyed,
            must_not_repeat: once,
        });
    }
}

enum ToolStep {
    /// Go on with the result, or tell the model that there is none.
    Continue,
    /// Make the same call again.
    Retry,
    /// End the request: the call may have had an effect, and its result is not known.
    EndRequest,
}

/// Decides what follows a tool call. A call with an effect is retried only if it is proved not to have run.
fn decide_tool_step(tool: &ToolPlan, end: &ToolEnd, tries: u32) -> ToolStep {
    match end {
        ToolEnd::Result { .. } => ToolStep::Continue,
        ToolEnd::Unknown if tool.has_effect => ToolStep::EndRequest,
        ToolEnd::NotRun | ToolEnd::Unknown if tries < tool.max_tries => ToolStep::Retry,
        ToolEnd::NotRun | ToolEnd::Unknown => ToolStep::Continue,
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
