//! Every decision of the router, every table, default and tuned value. The interface is `src/api.rs`.
mod dispatcher;
mod guards;
mod hand_over;
mod index;
mod monitor;
mod placement;
mod ranking;
mod requests;
mod tunables;
mod views;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use index::*;
use tunables::*;
use views::*;

/// One front's router.
#[derive(Default)]
pub struct Router {
    set: Settings,
    seed: u64,
    views: BTreeMap<ServerId, View>,
    requests: BTreeMap<ReqId, Request>,
    fits: [Line; 4],
    /// By role: the most running weight seen at once; our sends and their answers, older ones fading.
    most: [f64; 3],
    flow: [(f64, f64); 3],
    quota: Vec<(f64, Time)>,
    /// Mean time between our requests, and when the last one came.
    gap: f64,
    came: Time,
    /// Tokens that writers report lately: stands for those that have not reported. Mean logarithm of prompts.
    usual_tokens: f64,
    usual_prompt: f64,
    /// Weight of the running readers, and of the writers and mixed servers, by cell.
    readers: BTreeMap<u32, f64>,
    writers: BTreeMap<u32, f64>,
    /// The most weight of writers and mixed servers seen at once, by cell.
    paired: BTreeMap<u32, f64>,
    /// Servers can be asked for their load.
    may_ask: bool,
    armed: bool,
    asked: Option<Time>,
    /// When the next stream is moved, when all are to be, and when this front ends.
    stop: Option<(Time, Time, Time)>,
    index: ListIndex,
    texts: TextIndex,
    link_waits: LinkWaits,
    /// Servers that failed for a class and have not answered it since.
    struck: BTreeSet<ServerId>,
    /// Servers that passes over the list have looked at, and until when those for held requests have used
    /// up their share.
    examined: Cell<u64>,
    examined_until: Time,
}

impl Router {
    /// A router that knows nothing yet. The seed feeds its random numbers, which only break ties.
    pub fn new(set: Settings, seed: u64) -> Router {
        Router {
            quota: vec![(0.0, 0); set.tenants.len()],
            may_ask: set.may_probe && !set.report_fields.is_empty() && set.fronts > FEW_FRONTS,
            set,
            seed: seed | 1,
            ..Router::default()
        }
    }

    /// Takes one event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let new = if let Event::Arrived(ask) = &event { Some(ask.id) } else { None };
        match event {
            Event::Servers { mode, entries } => self.servers(now, mode, entries, out),
            Event::Arrived(ask) => self.arrived(now, ask),
            Event::Streaming { id, server, .. } => self.first(now, id, &server),
            Event::Ended { .. } => self.ended(now, event, out),
            Event::Probed { server, load, .. } => self.report(now, &server, load),
            Event::ClientGone { id } => self.gone(now, id, out),
            Event::Timer { name: SWEEP } => self.sweep(now, out),
            Event::Stopping { within } => {
                let at = |part: f64| now + (part * within as f64) as Time;
                self.stop = Some((at(MOVING.0), at(MOVING.1), now + within));
            }
            Event::Timer { .. } | Event::Place { .. } => {}
        }
        self.dispatch_held(now, new, out);
        if let Some(id) = new.filter(|id| self.held().any(|held| held == *id) && self.closing(now, *id)) {
            self.finish(now, id, out);
        }
        self.arm(out);
    }

    /// Goes on with other figures; classes, kinds and tenants are the same.
    pub fn adopt(&mut self, set: Settings) {
        self.may_ask = set.may_probe && !set.report_fields.is_empty() && set.fronts > FEW_FRONTS;
        for view in self.views.values_mut() {
            view.role = set.roles.get(view.entry.kind).copied().unwrap_or(Role::Mixed);
            view.kv = set.kv_tokens.get(view.entry.kind).copied().unwrap_or(0.0);
        }
        self.quota.resize(set.tenants.len(), (0.0, 0));
        self.set = set;
        self.list_changed();
    }

    /// Servers looked at by all passes over the list since the start: the work that grows with the fleet.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn look(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// One pass over the list.
    fn scan(&self) -> impl Iterator<Item = &View> {
        self.views.values().inspect(|_| self.look())
    }

    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        if !self.armed && (!self.requests.is_empty() || self.asked.is_some()) {
            self.armed = true;
            out.push(Action::Timer { after: self.sweep_every(), name: SWEEP });
        }
    }

    fn least_aim(&self) -> f64 {
        self.set.classes.iter().map(|class| class.ttft_aim).min().unwrap_or(0) as f64
    }

    fn sweep_every(&self) -> Time {
        (self.set.let_go_by / SWEEPS).max(self.set.tick).max(1)
    }

    /// Whether the client's time would be up before a later sweep could answer: answer now.
    fn closing(&self, now: Time, id: ReqId) -> bool {
        self.requests.get(&id).is_none_or(|request| now + CLOSING * self.sweep_every() >= request.deadline)
    }
}
