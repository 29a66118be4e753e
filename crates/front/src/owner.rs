//! The owner of the core: the single thread that passes events to the core and carries out the effects.
//!
//! Events come from all coroutines and threads of the front through one queue. Effects become commands to the
//! coroutine of a request, cancellations, or requests to engines that run in coroutines of their own. The owner
//! itself waits for no I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use elderstage::{RequestId, ServerId, Time};
use elderstage_core::evidence::Evidence;
use elderstage_core::{ChainId, Core, Counters, Effect, Event, Final, NewRequest, Stage};
use elderstage_net::channel::Sender;
use elderstage_net::owner::{Micros, StateMachine};
use elderstage_net::{NetError, spawn};
use elderstage_protocol::{engine, orca};

use crate::Shared;
use crate::ids::RequestIds;
use crate::links::ExchangeError;
use crate::plan::{self, ClockMapping};
use crate::slot::{CancelSlot, OperationKey};

/// A command from the owner to the coroutine of a request. Its `Debug` text is written to the trace log.
#[derive(Debug)]
pub(crate) enum Command {
    /// Make an attempt at an engine.
    Send(SendMail),
    /// Make one try of a tool call.
    CallTool { turn: u32, call: usize, tool: usize, attempt: u32, timeout: Time },
    /// Write the final answer and end.
    Last(Final),
}

/// An attempt to make at an engine. The name of this type is part of the trace log.
#[derive(Debug)]
pub(crate) struct SendMail {
    pub leg: RequestId,
    pub turn: u32,
    pub attempt: u32,
    pub server: ServerId,
    pub stage: Stage,
    pub timeout: Time,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
    /// Whether the request must not run twice.
    pub once: bool,
}

/// An event in the owner's queue.
pub(crate) enum Input {
    /// A new request of a client.
    NewRequest { submit: NewRequest, ids: RequestIds, commands: Sender<Command>, slot: Arc<CancelSlot> },
    /// An event for the core.
    Core(Event),
    /// A load report that arrived with an answer of this server.
    LoadReport { server: ServerId, report: orca::Report },
    /// A request for the front's status.
    Status(SyncSender<Status>),
    /// Ends the owner's thread.
    Stop,
}

/// Counters and current state of a front.
#[derive(Clone, Debug)]
pub struct Status {
    pub counters: Counters,
    /// Requests that have not ended.
    pub held: usize,
    pub draining: bool,
}

/// How often a release is tried. One without an answer is retried, over another address if the server has one.
const MAX_RELEASE_TRIES: u64 = 3;

/// A request whose coroutine runs.
struct OpenRequest {
    ids: RequestIds,
    commands: Sender<Command>,
    slot: Arc<CancelSlot>,
}

/// The state of the owner's thread.
pub(crate) struct Owner {
    core: Core,
    shared: Arc<Shared>,
    open_requests: HashMap<ChainId, OpenRequest>,
    /// Reused buffer for the effects of one event.
    effects: Vec<Effect>,
}

impl Owner {
    /// An owner without requests.
    pub fn new(core: Core, shared: Arc<Shared>) -> Owner {
        Owner { core, shared, open_requests: HashMap::new(), effects: Vec::new() }
    }

    /// Passes an event to the core and carries out the effects.
    fn handle_core_event(&mut self, now: Micros, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.handle(now, event, &mut effects);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, mut effects: Vec<Effect>) {
        for effect in effects.drain(..) {
            self.apply_effect(effect);
        }
        self.effects = effects;
    }

    /// Sends a command to the coroutine of a request.
    fn send_command(&self, chain: ChainId, command: Command) {
        if let Some(request) = self.open_requests.get(&chain) {
            tracing::trace!(target: "request", rid = %request.ids.label, mail = ?command, "command sent to the request");
            // A coroutine runs until its last command. Sending to one that has ended has no effect.
            let _ = request.commands.send(command);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send {
                chain,
                leg,
                turn,
                attempt,
                server,
                stage,
                timeout,
                is_keyed: keyed,
                must_not_repeat: once,
            } => {
                let send = SendMail { leg, turn, attempt, server, stage, timeout, keyed, once };
                self.send_command(chain, Command::Send(send));
            }
            Effect::CallTool { chain, turn, call, tool, attempt, timeout } => {
                self.send_command(chain, Command::CallTool { turn, call, tool, attempt, timeout });
            }
            Effect::Cancel { chain, turn, attempt, .. } => {
                if let Some(request) = self.open_requests.get(&chain) {
                    request.slot.cancel(OperationKey::Attempt { turn, attempt });
                }
            }
            Effect::CancelTool { chain, turn, call } => {
                if let Some(request) = self.open_requests.get(&chain) {
                    request.slot.cancel(OperationKey::Tool { turn, call });
                }
            }
            Effect::Release { chain, turn, attempt, server } => {
                if let Some(request) = self.open_requests.get(&chain) {
                    release_state(&self.shared, server, request.ids.attempt(turn, attempt));
                }
            }
            Effect::Probe { server } => probe_server(&self.shared, server),
            Effect::Answer { chain, final_answer: last } => {
                if let Some(request) = self.open_requests.get(&chain) {
                    tracing::info!(target: "request", rid = %request.ids.label, ?last, "request ended");
                }
                self.send_command(chain, Command::Last(last));
            }
            Effect::Forget { chain } => {
                self.open_requests.remove(&chain);
            }
        }
    }
}

impl StateMachine for Owner {
    type Event = Input;

    fn handle(&mut self, now: Micros, input: Input) -> bool {
        match input {
            Input::NewRequest { submit, ids, commands, slot } => {
                tracing::debug!(target: "request", rid = %ids.label, route = submit.route, "request accepted");
                self.open_requests.insert(submit.chain, OpenRequest { ids, commands, slot });
                self.handle_core_event(now, Event::Submit(submit));
            }
            Input::Core(event) => self.handle_core_event(now, event),
            Input::LoadReport { server, report } => {
                if let Some(started) = report.named(orca::STARTED_METRIC).filter(|started| *started > 0.0) {
                    let at = ClockMapping::read(self.shared.clock).front_time(started);
                    let long_ago = now.saturating_sub(self.shared.config.rules.cold_duration);
                    self.handle_core_event(now, Event::Started { server, at, long_ago });
                }
            }
            Input::Status(reply) => {
                let status = Status {
                    counters: self.core.counters().clone(),
                    held: self.core.request_count(),
                    draining: self.core.is_draining(),
                };
                // The caller may have stopped waiting.
                let _ = reply.try_send(status);
            }
            Input::Stop => return false,
        }
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        self.core.next_timer()
    }

    fn on_timer(&mut self, now: Micros) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.handle_timers(now, &mut effects);
        self.apply_effects(effects);
    }
}

/// Tells a reader to release the KV state of a request, within the configured time. The request can be repeated
/// without harm.
fn release_state(shared: &Arc<Shared>, server: ServerId, rid: String) {
    let shared = shared.clone();
    spawn(move || {
        let body = serde_json::json!({"rid": rid}).to_string();
        let timeout = Duration::from_micros(shared.config.rules.release_time_limit / MAX_RELEASE_TRIES);
        let headers = [("content-type", "application/json"), ("via", shared.catalog.via.as_str())];
        for _ in 0..MAX_RELEASE_TRIES {
            let result =
                shared.pool.exchange(&server, "POST", engine::ABORT_PATH, &headers, body.as_bytes(), timeout);
            match result {
                Ok(_) => return,
                Err(error) => {
                    tracing::debug!(target: "request", %rid, server = %server.0, %error, "release was not answered");
                }
            }
        }
    });
}

/// Probes the health of a server and reports the result to the core.
fn probe_server(shared: &Arc<Shared>, server: ServerId) {
    let shared = shared.clone();
    spawn(move || {
        let started_at = shared.clock.now();
        let headers = [orca::REPORT_REQUEST_HEADER, ("via", shared.catalog.via.as_str())];
        let timeout = Duration::from_micros(shared.config.rules.connect_timeout);
        let answer = shared.pool.exchange(&server, "GET", engine::HEALTH_PATH, &headers, b"", timeout);
        let took = shared.clock.now() - started_at;
        let (evidence, report) = match answer {
            Ok(answer) if answer.head.status == 200 => {
                (None, answer.head.headers.get(orca::REPORT_HEADER).and_then(orca::parse))
            }
            Ok(answer) => (Some(Evidence::Status { status: answer.head.status, code: None }), None),
            Err(ExchangeError::Net(NetError::TimedOut)) => (Some(Evidence::TimedOut), None),
            Err(_) => (Some(Evidence::NotConnected), None),
        };
        let load = report.as_ref().map(plan::load_values);
        if let Some(report) = report {
            shared.inbox.send(Input::LoadReport { server: server.clone(), report });
        }
        shared.inbox.send(Input::Core(Event::Probed { server, evidence, took, load }));
    });
}

/// The text of `/metrics`: one line for each counter.
pub(crate) fn render_metrics(status: &Status, shared: &Shared) -> String {
    let counters = &status.counters;
    let mut lines = vec![
        format!("elderstage_requests_held {}", status.held),
        format!("elderstage_connections {}", shared.connections.load(Ordering::Relaxed)),
        format!("elderstage_draining {}", u8::from(status.draining)),
        format!("elderstage_events_waiting {}", shared.inbox.queued_len()),
    ];
    for (name, value) in [
        ("requests_taken", counters.admitted),
        ("requests_turned_away", counters.turned_away),
        ("requests_served", counters.served),
        ("requests_refused", counters.refused),
        ("requests_failed", counters.failed),
        ("requests_left", counters.clients_gone),
        ("legs", counters.legs),
        ("attempts", counters.attempts),
        ("releases", counters.releases),
        ("probes", counters.probes),
        ("tool_calls", counters.tool_calls),
        ("tool_retries", counters.tool_retries),
        ("tool_lost", counters.tool_lost),
        ("server_restarts_seen", counters.restarts_seen),
    ] {
        lines.push(format!("elderstage_{name}_total {value}"));
    }
    let (connection_counters, (open, idle), failing, down) = shared.pool.counts();
    lines.push(format!("elderstage_engine_connections {open}"));
    lines.push(format!("elderstage_engine_connections_idle {idle}"));
    lines.push(format!("elderstage_addresses_failing {failing}"));
    for family in ["unix", "ipv6", "ipv4"] {
        let value = u8::from(down.iter().any(|name| name == family));
        lines.push(format!("elderstage_address_family_down{{family=\"{family}\"}} {value}"));
    }
    for (name, value) in [
        ("waits_late", connection_counters.late_waits),
        ("waits_given_up", connection_counters.given_up_waits),
        ("dials", connection_counters.dials),
        ("dials_failed", connection_counters.dials_failed),
        ("dials_overtaken", connection_counters.overtaken),
        ("dials_without_room", connection_counters.no_room),
        ("connections_reused", connection_counters.reused),
        ("connections_stale", connection_counters.stale_connections),
        ("proofs", connection_counters.proofs),
        ("proofs_failed", connection_counters.proofs_failed),
        ("address_trials", connection_counters.trials),
        ("address_trials_failed", connection_counters.trials_failed),
        ("address_families_down", connection_counters.families_down),
        ("address_families_back", connection_counters.families_back),
    ] {
        lines.push(format!("elderstage_{name}_total {value}"));
    }
    for (outcome, count) in &counters.outcomes {
        lines.push(format!("elderstage_attempts_ended_total{{outcome=\"{outcome}\"}} {count}"));
    }
    for (reason, count) in &counters.ended_for {
        lines.push(format!("elderstage_requests_ended_total{{reason=\"{reason:?}\"}} {count}"));
    }
    lines.push(String::new());
    lines.join("\n")
}
