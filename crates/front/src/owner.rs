//! The one owner of the core: events in from all coroutines, effects out to them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use elderstage::{ReqId, ServerId, Time};
use elderstage_core::evidence::Evidence;
use elderstage_core::{ChainId, Core, Counters, Effect, Event, Final, Stage, Submit};
use elderstage_net::channel::Sender;
use elderstage_net::owner::{Machine, Micros};
use elderstage_net::{NetError, go};
use elderstage_protocol::{engine, orca};

use crate::Shared;
use crate::links::ExchangeError;
use crate::plan::{self, ClockMap};
use crate::slot::{CancelSlot, OperationKey};

/// What a request's coroutine is told to do.
#[derive(Debug)]
pub(crate) enum Mail {
    Send(SendMail),
    CallTool { turn: u32, call: usize, tool: usize, attempt: u32, timeout: Time },
    Last(Final),
}

#[derive(Debug)]
pub(crate) struct SendMail {
    pub leg: ReqId,
    pub turn: u32,
    pub attempt: u32,
    pub server: ServerId,
    pub stage: Stage,
    pub timeout: Time,
    pub keyed: bool,
    pub once: bool,
}

/// What coroutines and threads tell the owner.
pub(crate) enum Input {
    /// A request was taken from a client.
    Open {
        submit: Submit,
        rid: String,
        mail: Sender<Mail>,
        slot: Arc<CancelSlot>,
    },
    Core(Event),
    /// A load report came with an answer of this server.
    Report {
        server: ServerId,
        report: orca::Report,
    },
    Status(SyncSender<Status>),
    End,
}

/// What a front has counted.
#[derive(Clone, Debug)]
pub struct Status {
    pub counters: Counters,
    pub held: usize,
    pub draining: bool,
}

/// A release that is not heard is said again, over another address where there is one.
const RELEASE_TRIES: u64 = 3;

struct Open {
    rid: String,
    mail: Sender<Mail>,
    slot: Arc<CancelSlot>,
}

pub(crate) struct Owner {
    core: Core,
    shared: Arc<Shared>,
    open: HashMap<ChainId, Open>,
    effects: Vec<Effect>,
}

impl Owner {
    pub fn new(core: Core, shared: Arc<Shared>) -> Owner {
        Owner { core, shared, open: HashMap::new(), effects: Vec::new() }
    }

    fn event(&mut self, now: Micros, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.handle(now, event, &mut effects);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, mut effects: Vec<Effect>) {
        for effect in effects.drain(..) {
            self.effect(effect);
        }
        self.effects = effects;
    }

    fn mail(&self, chain: ChainId, mail: Mail) {
        if let Some(open) = self.open.get(&chain) {
            tracing::trace!(target: "request", rid = %open.rid, ?mail, "told");
            // A coroutine lives until its last mail; sending to one that has ended changes nothing.
            let _ = open.mail.send(mail);
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { chain, leg, turn, attempt, server, stage, timeout, keyed, once } => {
                let mail = SendMail { leg, turn, attempt, server, stage, timeout, keyed, once };
                self.mail(chain, Mail::Send(mail));
            }
            Effect::CallTool { chain, turn, call, tool, attempt, timeout } => {
                self.mail(chain, Mail::CallTool { turn, call, tool, attempt, timeout });
            }
            Effect::Cancel { chain, turn, attempt, .. } => {
                if let Some(open) = self.open.get(&chain) {
                    open.slot.cancel(OperationKey::Attempt { turn, attempt });
                }
            }
            Effect::CancelTool { chain, turn, call } => {
                if let Some(open) = self.open.get(&chain) {
                    open.slot.cancel(OperationKey::Tool { turn, call });
                }
            }
            Effect::Release { chain, turn, attempt, server } => {
                let rid = self.open.get(&chain).map(|open| format!("{}/{turn}/{attempt}", open.rid));
                if let Some(rid) = rid {
                    release(&self.shared, server, rid);
                }
            }
            Effect::Probe { server } => probe(&self.shared, server),
            Effect::Answer { chain, last } => {
                if let Some(open) = self.open.get(&chain) {
                    tracing::info!(target: "request", rid = %open.rid, ?last, "ended");
                }
                self.mail(chain, Mail::Last(last));
            }
            Effect::Forget { chain } => {
                self.open.remove(&chain);
            }
        }
    }
}

impl Machine for Owner {
    type Event = Input;

    fn handle(&mut self, now: Micros, input: Input) -> bool {
        match input {
            Input::Open { submit, rid, mail, slot } => {
                tracing::debug!(target: "request", %rid, route = submit.route, "taken");
                self.open.insert(submit.chain, Open { rid, mail, slot });
                self.event(now, Event::Submit(submit));
            }
            Input::Core(event) => self.event(now, event),
            Input::Report { server, report } => {
                if let Some(started) = report.named(orca::STARTED).filter(|started| *started > 0.0) {
                    let at = ClockMap::read(self.shared.clock).front_time(started);
                    let long_ago = now.saturating_sub(self.shared.config.rules.cold_for);
                    self.event(now, Event::Started { server, at, long_ago });
                }
            }
            Input::Status(reply) => {
                let status = Status {
                    counters: self.core.counters().clone(),
                    held: self.core.held(),
                    draining: self.core.draining(),
                };
                // Whoever asked may have stopped waiting.
                let _ = reply.try_send(status);
            }
            Input::End => return false,
        }
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        self.core.next_timer()
    }

    fn wake(&mut self, now: Micros) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.wake(now, &mut effects);
        self.carry_out(effects);
    }
}

/// Tells a reader to let go of a state, within the time that the rule allows; harmless to say again.
fn release(shared: &Arc<Shared>, server: ServerId, rid: String) {
    let shared = shared.clone();
    go(move || {
        let body = serde_json::json!({"rid": rid}).to_string();
        let time = Duration::from_micros(shared.config.rules.let_go / RELEASE_TRIES);
        let headers = [("content-type", "application/json"), ("via", shared.site.via.as_str())];
        for _ in 0..RELEASE_TRIES {
            let done = shared.pool.exchange(&server, "POST", engine::ABORT, &headers, body.as_bytes(), time);
            match done {
                Ok(_) => return,
                Err(error) => {
                    tracing::debug!(target: "request", %rid, server = %server.0, %error, "release not heard");
                }
            }
        }
    });
}

fn probe(shared: &Arc<Shared>, server: ServerId) {
    let shared = shared.clone();
    go(move || {
        let begun = shared.clock.now();
        let headers = [orca::ASK, ("via", shared.site.via.as_str())];
        let time = Duration::from_micros(shared.config.rules.connect);
        let answer = shared.pool.exchange(&server, "GET", engine::HEALTH, &headers, b"", time);
        let took = shared.clock.now() - begun;
        let (evidence, report) = match answer {
            Ok(answer) if answer.head.status == 200 => {
                (None, answer.head.headers.get(orca::HEADER).and_then(orca::parse))
            }
            Ok(answer) => (Some(Evidence::Status { status: answer.head.status, code: None }), None),
            Err(ExchangeError::Net(NetError::TimedOut)) => (Some(Evidence::TimedOut), None),
            Err(_) => (Some(Evidence::NotConnected), None),
        };
        let load = report.as_ref().map(plan::load);
        if let Some(report) = report {
            shared.inbox.send(Input::Report { server: server.clone(), report });
        }
        shared.inbox.send(Input::Core(Event::Probed { server, evidence, took, load }));
    });
}

/// The status as plain lines, one counter each.
pub(crate) fn metrics(status: &Status, shared: &Shared) -> String {
    let c = &status.counters;
    let mut lines = vec![
        format!("elderstage_requests_held {}", status.held),
        format!("elderstage_connections {}", shared.connections.load(Ordering::Relaxed)),
        format!("elderstage_draining {}", u8::from(status.draining)),
        format!("elderstage_events_waiting {}", shared.inbox.waiting()),
    ];
    for (name, value) in [
        ("requests_taken", c.taken),
        ("requests_turned_away", c.turned_away),
        ("requests_served", c.served),
        ("requests_refused", c.refused),
        ("requests_failed", c.failed),
        ("requests_left", c.gone),
        ("legs", c.legs),
        ("attempts", c.attempts),
        ("releases", c.releases),
        ("probes", c.probes),
        ("tool_calls", c.tool_calls),
        ("tool_retries", c.tool_retries),
        ("tool_lost", c.tool_lost),
        ("server_restarts_seen", c.restarts_seen),
    ] {
        lines.push(format!("elderstage_{name}_total {value}"));
    }
    let (a, (open, idle), failing, down) = shared.pool.counts();
    lines.push(format!("elderstage_engine_connections {open}"));
    lines.push(format!("elderstage_engine_connections_idle {idle}"));
    lines.push(format!("elderstage_addresses_failing {failing}"));
    for family in ["unix", "ipv6", "ipv4"] {
        let is = u8::from(down.iter().any(|name| name == family));
        lines.push(format!("elderstage_address_family_down{{family=\"{family}\"}} {is}"));
    }
    for (name, value) in [
        ("waits_late", a.late),
        ("waits_given_up", a.given_up),
        ("dials", a.dials),
        ("dials_failed", a.dials_failed),
        ("dials_overtaken", a.overtaken),
        ("dials_without_room", a.no_room),
        ("connections_reused", a.reused),
        ("connections_stale", a.stale),
        ("proofs", a.proofs),
        ("proofs_failed", a.proofs_failed),
        ("address_trials", a.trials),
        ("address_trials_failed", a.trials_failed),
        ("address_families_down", a.families_down),
        ("address_families_back", a.families_back),
    ] {
        lines.push(format!("elderstage_{name}_total {value}"));
    }
    for (outcome, count) in &c.outcomes {
        lines.push(format!("elderstage_attempts_ended_total{{outcome=\"{outcome}\"}} {count}"));
    }
    for (reason, count) in &c.ended_for {
        lines.push(format!("elderstage_requests_ended_total{{reason=\"{reason:?}\"}} {count}"));
    }
    lines.push(String::new());
    lines.join("\n")
}
