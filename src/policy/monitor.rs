//! The monitor: the list of servers, load reports, latency predictions and the health of servers. It takes no
//! decision about a request.
//!
//! Health is kept by class: a failure for one class ejects the server for the others only until it answers
//! them.
use super::*;

impl Router {
    /// Applies a list of servers. A server that has restarted keeps its attempts and loses all other records.
    pub(super) fn update_servers(
        &mut self,
        now: Time,
        mode: ListMode,
        entries: Vec<ServerEntry>,
        actions: &mut Vec<Action>,
    ) {
        if self.settings.discovery == Discovery::Asked {
            match mode {
                ListMode::Restored => actions.push(Action::Subscribe),
                ListMode::Failed => {
                    self.subscribe_retry_at = Some(now + self.settings.resubscribe_within / SUBSCRIBE_RETRIES)
                }
                _ => self.subscribe_retry_at = None,
            }
        }
        if mode == ListMode::Failed {
            return;
        }
        for view in self.views.values_mut().filter(|_| mode != ListMode::Changes) {
            view.entry.listed = ServerStatus::Gone;
        }
        for entry in entries {
            let role = self.settings.roles.get(entry.kind).copied().unwrap_or(Role::Mixed);
            let kv_capacity = self.settings.kv_tokens.get(entry.kind).copied().unwrap_or(0.0);
            let mut view = self.views.remove(&entry.server).unwrap_or_default();
            if entry.ready_at != view.entry.ready_at {
                self.forget_server(&entry.server, &view);
                view = ServerView { attempts: std::mem::take(&mut view.attempts), ..ServerView::default() };
            }
            let server = entry.server.clone();
            (view.name_hash, view.entry, view.role, view.kv_capacity) =
                (name_hash(&server.0), entry, role, kv_capacity);
            self.views.insert(server, view);
        }
        let has_left =
            |view: &ServerView| view.entry.listed == ServerStatus::Gone && view.attempts.is_empty();
        let gone: Vec<ServerId> =
            self.views.iter().filter(|(_, view)| has_left(view)).map(|(server, _)| server.clone()).collect();
        for server in gone {
            if let Some(view) = self.views.remove(&server) {
                self.forget_server(&server, &view);
            }
        }
        self.rebuild_server_index();
    }

    /// Records a load report. Values that are not finite are ignored.
    pub(super) fn record_report(&mut self, now: Time, server: &ServerId, load: Option<Vec<f64>>) {
        let mean_read = self.mean_read_tokens();
        let (Some(load), Some(view)) = (load, self.views.get_mut(server)) else { return };
        let (mut memory_share, mut waiting, mut busy) = (0.0f64, 0.0f64, 0.0f64);
        for (field, value) in self.settings.report_fields.iter().zip(load) {
            let value = if value.is_finite() { value.max(0.0) } else { continue };
            match field {
                ReportField::MemoryShare => memory_share = memory_share.max(value.min(1.0)),
                ReportField::Busy => busy = value.min(1.0),
                ReportField::PendingThousands => waiting += value * 1000.0,
                ReportField::Queue => waiting += value * mean_read,
                _ => {}
            }
        }
        // A writer with a queue is full, whatever limits it: free slots are not reported in any other field.
        let memory_share =
            if waiting > FULL_QUEUE_SHARE * view.kv_capacity { 1.0 } else { memory_share.max(busy) };
        view.load_report = Some((memory_share, waiting + busy * mean_read, now));
        if view.role != Role::Prefill {
            self.mean_writer_tokens +=
                AVERAGE_WEIGHT * (memory_share * view.kv_capacity - self.mean_writer_tokens);
        }
    }

    /// Predicts the latency of an attempt. Attempts that are overdue raise the prediction, because the fit
    /// lags behind.
    pub(super) fn predict_latency(
        &self,
        view: &ServerView,
        kind: AttemptKind,
        work_tokens: f64,
        now: Time,
    ) -> f64 {
        let is_unseen =
            kind == AttemptKind::Combined && self.latency_fits[AttemptKind::Combined as usize].0[0] == 0.0;
        let common = if is_unseen {
            WRITER_READ_FACTOR * self.latency_fits[0].predict(work_tokens)
        } else {
            self.latency_fits[kind as usize].predict(work_tokens)
        };
        let overdue = view.awaiting_first_token().filter(|attempt| attempt.kind == kind).map(|attempt| {
            let predicted = (attempt.predicted_end.saturating_sub(attempt.sent_at) as f64).max(1.0);
            now.saturating_sub(attempt.sent_at) as f64 / predicted
        });
        common * (1.0 + view.slowdown[kind as usize]) * overdue.fold(1.0, f64::max).min(MAX_SLOWDOWN)
    }

    /// Mean number of tokens of recent reads, including the tokens that were ahead of them.
    pub(super) fn mean_read_tokens(&self) -> f64 {
        let [count, sum_tokens, ..] = self.latency_fits[AttemptKind::Read as usize].0;
        if count > 0.0 { sum_tokens / count } else { MIN_READ_TOKENS }
    }

    /// Whether the load of a server is known: by a recent report, or by this front's own sends where reports
    /// are not used.
    pub(super) fn has_fresh_load(&self, view: &ServerView, now: Time) -> bool {
        !self.relies_on_reports
            || view.load_report.is_some_and(|(_, _, at)| {
                now <= at + (REPORT_FRESH_TARGETS * self.shortest_ttft_target()) as Time
            })
    }

    /// Prompt tokens ahead of a new read: those in the report, and those of this front's attempts, which the
    /// report may not include yet.
    pub(super) fn tokens_ahead(&self, view: &ServerView, now: Time) -> f64 {
        let report = view.load_report.filter(|_| self.relies_on_reports && self.has_fresh_load(view, now));
        report.map_or(0.0, |(_, waiting, _)| waiting)
            + view.awaiting_first_token().map(|attempt| attempt.uncached_tokens).sum::<f64>()
    }

    /// Expected number of reads that the other fronts have sent to one reader since its report was taken, if
    /// they send as this front does.
    pub(super) fn expected_reads_by_others(&self) -> f64 {
        let readers = self.server_index.reader_weight.max(1.0);
        let reads_per_front = if self.mean_arrival_gap > 0.0 && self.relies_on_reports {
            self.shortest_ttft_target() / self.mean_arrival_gap
        } else {
            0.0
        };
        reads_per_front * f64::from(self.settings.front_count - 1) / readers
    }

    /// Age of the oldest KV state of this front that waits for the link out of a cell; detects congested
    /// links.
    pub(super) fn oldest_pending_transfer(&self, cell: Option<u32>, now: Time) -> f64 {
        self.pending_transfers.oldest_age(cell, now)
    }

    /// Records a latency: first in the slowdown of the server relative to the shared fit, then, corrected by
    /// that slowdown, in the shared fit.
    pub(super) fn record_latency(
        &mut self,
        server: &ServerId,
        kind: AttemptKind,
        work_tokens: f64,
        latency: f64,
    ) {
        let (fit, Some(view)) = (&mut self.latency_fits[kind as usize], self.views.get_mut(server)) else {
            return;
        };
        let (common, slowdown) = (fit.predict(work_tokens), &mut view.slowdown[kind as usize]);
        if common > 0.0 {
            *slowdown += AVERAGE_WEIGHT
                * ((latency / common).clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN) - 1.0 - *slowdown);
        }
        fit.add_sample(work_tokens, latency / (1.0 + *slowdown));
    }

    /// Records a failure and ejects the server for a class. The ejection is long enough that all fronts
    /// together send little to a server that answers nothing.
    pub(super) fn record_failure(&mut self, server: &ServerId, class: usize, now: Time) {
        let base =
            (EJECTION_TARGETS * self.shortest_ttft_target()).max(self.mean_arrival_gap / MAX_TRIAL_SHARE);
        if let Some(health) = self.views.get_mut(server).map(|view| view.health.entry(class).or_default()) {
            let ejection = base * f64::from(1u32 << health.failures.min(MAX_DOUBLINGS));
            (health.failures, health.last_failure, health.ejected_until) =
                (health.failures + 1, now, now + ejection as Time);
            self.failed_servers.insert(server.clone());
        }
    }

    /// Records a broken connection. Returns how many broke under this class since the server last answered
    /// it, this one included.
    pub(super) fn record_broken_connection(&mut self, server: &ServerId, class: usize) -> u32 {
        let Some(view) = self.views.get_mut(server) else { return 0 };
        let health = view.health.entry(class).or_default();
        health.broken_connections += 1;
        health.broken_connections
    }

    /// Records that the server answered a class, and clears its failures for that class.
    pub(super) fn record_answer(&mut self, server: &ServerId, class: usize, now: Time) {
        let Some(view) = self.views.get_mut(server) else { return };
        view.health.insert(class, ClassHealth { answered_at: now, ..ClassHealth::default() });
        self.sent_answered[view.role as usize].1 += 1.0;
        if view.health.values().all(|health| health.failures == 0) {
            self.failed_servers.remove(server);
        }
    }

    /// The health record that makes a server a suspect for a class: it failed for this class, or for another
    /// one since it last answered this one.
    pub(super) fn suspect_health(view: &ServerView, class: usize) -> Option<&ClassHealth> {
        let answered_at = view.health.get(&class).map_or(0, |health| health.answered_at);
        let is_current = |health: &&ClassHealth| health.failures > 0 && health.last_failure >= answered_at;
        view.health.values().filter(is_current).max_by_key(|h| h.ejected_until)
    }

    /// Whether a running server is no suspect, or is a suspect that is due for a single trial.
    pub(super) fn is_healthy(view: &ServerView, class: usize, now: Time) -> bool {
        let may_try = |health: &ClassHealth| {
            now >= health.ejected_until && view.awaiting_first_token().next().is_none()
        };
        view.entry.listed == ServerStatus::Running && Self::suspect_health(view, class).is_none_or(may_try)
    }

    /// Whether this front reaches each server so rarely that its own answers do not show how the servers are
    /// doing.
    pub(super) fn has_sparse_traffic(&self) -> bool {
        PROOF_LIFE_TARGETS * self.shortest_ttft_target() < self.mean_arrival_gap * self.views.len() as f64
    }

    /// Once several servers of a role are suspects for a class, servers that have not recently answered the
    /// class come last. Otherwise each front would meet the same failure at one server after another.
    pub(super) fn proof_requirement(&self, is_reader: bool, class: usize) -> ProofRequirement {
        let failed = self.failed_servers.iter().filter_map(|server| self.views.get(server));
        let failed = failed
            .inspect(|_| self.count_examined())
            .filter(|view| (view.role == Role::Prefill) == is_reader);
        let is_active =
            failed.filter(|view| Self::suspect_health(view, class).is_some()).count() >= MIN_SUSPECTS;
        ProofRequirement {
            is_active,
            class,
            lifetime: (PROOF_LIFE_TARGETS * self.shortest_ttft_target()) as Time,
        }
    }

    /// The load report, if it is recent enough to be evidence.
    pub(super) fn recent_report(&self, view: &ServerView, now: Time) -> Option<(f64, f64, Time)> {
        view.load_report
            .filter(|(_, _, at)| (now - at) as f64 <= REPORT_LIFE_TARGETS * self.shortest_ttft_target())
    }

    /// Estimates the tokens that a writer holds: the reported ones, plus those that this front has sent
    /// since. Without a report the estimate is the mean that writers report. Otherwise unknown writers would
    /// look empty and draw KV states over the links between cells.
    pub(super) fn estimated_tokens(&self, view: &ServerView, now: Time) -> f64 {
        match self.recent_report(view, now) {
            Some((share, _, at)) => {
                let sent_since = view
                    .attempts
                    .values()
                    .filter(|attempt| attempt.sent_at > at)
                    .map(|attempt| attempt.kv_tokens);
                share * view.kv_capacity
                    + sent_since.sum::<f64>() * f64::from(self.settings.front_count.min(MAX_HERD_FRONTS))
            }
            None => view.outstanding_tokens().max(self.mean_writer_tokens),
        }
    }

    /// Estimated share of KV memory in use. Without a report only this front's own tokens count: the mean
    /// estimate could exclude writers that then are never probed.
    pub(super) fn memory_share(&self, view: &ServerView, now: Time) -> f64 {
        let tokens = self
            .recent_report(view, now)
            .map_or(view.outstanding_tokens(), |_| self.estimated_tokens(view, now));
        if view.kv_capacity > 0.0 { tokens / view.kv_capacity } else { 0.0 }
    }

    /// Whether this front has a turn to send a combined attempt to a writer. Turns are drawn at random, about
    /// as many as the slack gained at the nominal pace pays for. Otherwise many fronts, which do not see each
    /// other's streams, would each send their first one at the same time.
    pub(super) fn has_combined_turn(
        &self,
        view: &ServerView,
        read_time: f64,
        now: Time,
        salt: &mut TurnSalt,
    ) -> bool {
        let slot = now / (read_time / (1.0 - NOMINAL_TPOT_SHARE)).max(1.0) as Time;
        let draw = hash(view.name_hash, salt.for_slot(self.settings.front_number, slot));
        unit_interval(draw) * f64::from(self.settings.front_count) <= COMBINED_TURNS
    }

    /// The least time that any stream of a writer has gained on its TPOT target at the nominal pace.
    pub(super) fn stream_slack(view: &ServerView, now: Time) -> f64 {
        let streams = view
            .attempts
            .values()
            .filter(|attempt| attempt.first_token_at.is_some() || attempt.kind == AttemptKind::Combined);
        let slack = streams.map(|attempt| {
            (now - attempt.first_token_at.unwrap_or(now)) as f64 * (1.0 / NOMINAL_TPOT_SHARE - 1.0)
        });
        slack.fold(f64::MAX, f64::min)
    }
}
