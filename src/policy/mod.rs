//! The decision logic of the router: all state, rules, defaults and tuned values. The public interface is
//! `src/api.rs`.
//!
//! The router does no I/O and reads no clock. The same events and the same seed give the same actions, and
//! every request gets at most one final answer.
mod dispatcher;
mod guards;
mod hand_over;
mod index;
mod monitor;
mod placement;
mod ranking;
mod requests;
mod shutdown;
mod tunables;
mod views;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use index::*;
use shutdown::Shutdown;
use tunables::*;
use views::*;

/// The router of one front: takes events and returns the actions to carry out.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    rng_state: u64,
    views: BTreeMap<ServerId, ServerView>,
    requests: BTreeMap<RequestId, Request>,
    latency_fits: [LinearFit; 4],
    /// By role: the highest total weight of running servers seen at once.
    peak_weight: [f64; 3],
    /// By role: attempts that this front sent, and those that were answered. Both decay with each send.
    sent_answered: [(f64, f64); 3],
    /// By tenant: fill level of its leaky bucket, and when the level was last updated.
    quota_buckets: Vec<(f64, Time)>,
    /// Exponential moving average of the time between two requests of this front.
    mean_arrival_gap: f64,
    /// When the last request arrived.
    last_arrival: Time,
    /// Moving average of the tokens that writers report; the estimate for writers that have not reported.
    mean_writer_tokens: f64,
    /// Moving average of the logarithm of the prompt length.
    mean_log_prompt: f64,
    /// By cell: total weight of the running readers.
    reader_weight_by_cell: BTreeMap<u32, f64>,
    /// By cell: total weight of the running writers and mixed servers.
    writer_weight_by_cell: BTreeMap<u32, f64>,
    /// By cell: the highest total weight of writers and mixed servers seen at once.
    peak_writer_weight_by_cell: BTreeMap<u32, f64>,
    /// Load reports can be requested, and this front is one of many: decisions use reports, not only its own
    /// sends.
    relies_on_reports: bool,
    /// A sweep timer is outstanding.
    is_sweep_scheduled: bool,
    /// When to call for the list of servers again after a failed call.
    subscribe_retry_at: Option<Time>,
    /// Set while this front shuts down.
    shutdown: Option<Shutdown>,
    server_index: ServerIndex,
    cache_index: CacheIndex,
    pending_transfers: PendingTransfers,
    /// Servers that failed for a class and have not answered that class since.
    failed_servers: BTreeSet<ServerId>,
    /// Number of servers examined by all passes over the list.
    examined: Cell<u64>,
    /// Until when passes over the list for held requests have used up their share of the time.
    held_scans_until: Time,
}

impl Router {
    /// Creates a router that knows no servers. The seed starts the random numbers, which break ties, spread
    /// the advice in `retry_after` and pick the writers to probe.
    pub fn new(settings: Settings, seed: u64) -> Router {
        Router {
            quota_buckets: vec![(0.0, 0); settings.tenants.len()],
            relies_on_reports: settings.may_probe
                && !settings.report_fields.is_empty()
                && settings.front_count > FEW_FRONTS,
            settings,
            rng_state: seed | 1,
            ..Router::default()
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let arrived_id = if let Event::Arrived(arrival) = &event { Some(arrival.id) } else { None };
        match event {
            Event::Servers { mode, entries } => self.update_servers(now, mode, entries, actions),
            Event::Arrived(arrival) => self.on_arrival(now, arrival),
            Event::Streaming { id, server, .. } => self.on_first_token(now, id, &server),
            Event::Ended { .. } => self.on_attempt_ended(now, event, actions),
            Event::Probed { server, load, .. } => self.record_report(now, &server, load),
            Event::ClientGone { id } => self.on_client_gone(now, id, actions),
            Event::Timer { name: SWEEP_TIMER } => self.sweep(now, actions),
            Event::Stopping { within, late_after } => self.begin_shutdown(now, within, late_after),
            Event::Timer { .. } | Event::Place { .. } => {}
        }
        self.dispatch_held(now, arrived_id, actions);
        if let Some(id) = arrived_id
            .filter(|id| self.held_requests().any(|held| held == *id) && self.must_answer_now(now, *id))
        {
            self.finish(now, id, actions);
        }
        self.schedule_sweep(actions);
    }

    /// Replaces the settings at run time. The lists of classes, kinds and tenants must stay the same; their
    /// values may change.
    pub fn update_settings(&mut self, settings: Settings) {
        self.relies_on_reports =
            settings.may_probe && !settings.report_fields.is_empty() && settings.front_count > FEW_FRONTS;
        for view in self.views.values_mut() {
            view.role = settings.roles.get(view.entry.kind).copied().unwrap_or(Role::Mixed);
            view.kv_capacity = settings.kv_tokens.get(view.entry.kind).copied().unwrap_or(0.0);
        }
        self.quota_buckets.resize(settings.tenants.len(), (0.0, 0));
        self.settings = settings;
        self.rebuild_server_index();
    }

    /// Number of servers examined by all passes over the list since the start: the part of the work that
    /// grows with the size of the fleet.
    pub fn examined_servers(&self) -> u64 {
        self.examined.get()
    }

    fn count_examined(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Iterates over all known servers and counts each one as examined.
    fn scan_servers(&self) -> impl Iterator<Item = &ServerView> {
        self.views.values().inspect(|_| self.count_examined())
    }

    /// Xorshift generator; returns a number from 0 up to, but not including, 1.
    fn next_random(&mut self) -> f64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    fn schedule_sweep(&mut self, actions: &mut Vec<Action>) {
        if !self.is_sweep_scheduled && (!self.requests.is_empty() || self.subscribe_retry_at.is_some()) {
            self.is_sweep_scheduled = true;
            actions.push(Action::Timer { after: self.sweep_interval(), name: SWEEP_TIMER });
        }
    }

    fn shortest_ttft_target(&self) -> f64 {
        self.settings.classes.iter().map(|class| class.ttft_target).min().unwrap_or(0) as f64
    }

    fn sweep_interval(&self) -> Time {
        (self.settings.release_time_limit / SWEEPS_PER_RELEASE).max(self.settings.tick).max(1)
    }

    /// Whether the deadline may pass before a later sweep could answer: the request must be answered now.
    fn must_answer_now(&self, now: Time, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_none_or(|request| now + FINAL_SWEEPS * self.sweep_interval() >= request.deadline)
    }
}
