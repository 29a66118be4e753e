//! The dispatcher: orders held requests, sends attempts and probes servers. Where a request goes is decided
//! in `placement` and `hand_over`.
//!
//! Every send passes the guards.
use super::*;

impl Router {
    /// Requests without an attempt in flight, in the order of their ids.
    pub(super) fn held_requests(&self) -> impl Iterator<Item = RequestId> {
        self.requests.iter().filter(|(_, request)| request.in_flight.is_none()).map(|(id, _)| *id)
    }

    /// Places held requests, the most valuable first. After an arrival only the new request is tried, since
    /// it changes nothing for the others.
    pub(super) fn dispatch_held(&mut self, now: Time, only: Option<RequestId>, actions: &mut Vec<Action>) {
        let mut queue: Vec<(bool, bool, Reverse<u64>, Time, RequestId)> = Vec::new();
        for id in self.held_requests().filter(|id| only.is_none_or(|only| only == *id)) {
            let Some(request) = self.requests.get(&id) else { continue };
            let worth = self.settings.classes.get(request.arrival.class).map_or(0.0, |class| class.worth);
            let cached = self.cache_index.most_cached_tokens(&request.arrival);
            let gain = worth * request.arrival.prompt_tokens
                / (request.arrival.prompt_tokens - cached).max(MIN_READ_TOKENS);
            queue.push((
                request.is_late(now),
                request.is_over_quota,
                Reverse(gain.to_bits()),
                request.arrived_at,
                id,
            ));
        }
        queue.sort_unstable();
        let mut misses = 0;
        for (_, _, _, _, id) in queue {
            if only.is_none() && self.held_scans_until > now {
                break;
            }
            let examined_before = self.examined.get();
            let is_sent = if self.requests.get(&id).is_some_and(|request| request.kv_state.is_some()) {
                self.hand_over(now, id, actions)
            } else {
                match self.place_request(now, id) {
                    (Placement::Selected(server), kind) => self.send(now, id, &server, kind, actions),
                    (Placement::Probing(Some(server)), _) => self.probe(now, &server, actions),
                    _ => false,
                }
            };
            misses += u32::from(!is_sent);
            if only.is_none() {
                self.charge_held_scan(now, self.examined.get() - examined_before);
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
    }

    /// Charges a pass for held requests to their share of the time. Held requests are tried at each event,
    /// and each may cost a pass over all servers. With a large fleet such passes would otherwise take all the
    /// time, and every request would be late.
    fn charge_held_scan(&mut self, now: Time, examined: u64) {
        let earliest = now.saturating_sub(self.sweep_interval());
        self.held_scans_until = self.held_scans_until.max(earliest) + examined / EXAMINED_PER_US;
    }

    /// Sends an attempt if the guards allow it, and returns whether it was sent. Records what predictions
    /// need later.
    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        server: &ServerId,
        kind: AttemptKind,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(view) = self.views.get(server) else { return false };
        if !self.may_attempt(now, id, Some(view)) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let includes_read = matches!(kind, AttemptKind::Read | AttemptKind::Combined);
        let uncached_tokens = if includes_read { view.uncached_tokens(&request.arrival) } else { 0.0 };
        let work_tokens = if includes_read {
            self.tokens_ahead(view, now) + uncached_tokens
        } else {
            request.arrival.prompt_tokens
        };
        let predicted = self.predict_latency(view, kind, work_tokens, now);
        let class = self.settings.classes.get(request.arrival.class);
        let tpot_target = class.map_or(0.0, |class| class.tpot_target);
        let output_tokens = if request.arrival.output_time_hint > 0 && tpot_target > 0.0 {
            request.arrival.output_time_hint as f64 / tpot_target
        } else {
            request.arrival.max_output_tokens * DEFAULT_OUTPUT_SHARE
        };
        let must_not_repeat =
            kind != AttemptKind::Read && class.is_none_or(|class| class.repeat == RepeatPolicy::Unsafe);
        let min_timeout = request.ttft_target
            * if self.has_sparse_traffic() { MIN_TIMEOUT_TARGETS_SPARSE } else { MIN_TIMEOUT_TARGETS };
        let patience = (TIMEOUT_FACTOR * predicted).max(min_timeout)
            * f64::from(1u32 << request.attempts.min(MAX_DOUBLINGS));
        let until_deadline = request.deadline - now;
        let timeout =
            if must_not_repeat { until_deadline } else { until_deadline.min(patience as Time).max(1) };
        let source_cell = request.kv_state.as_ref().and_then(|(at, _)| Some(self.views.get(at)?.entry.cell));
        let attempt = Attempt {
            kind,
            source_cell,
            sent_at: now,
            predicted_end: now + predicted as Time,
            work_tokens,
            uncached_tokens,
            kv_tokens: request.arrival.prompt_tokens
                + if kind == AttemptKind::Read { 0.0 } else { output_tokens },
            first_token_at: None,
        };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.in_flight = Some((server.clone(), request.attempts));
        request.ranking = None;
        request.attempts += 1;
        if let Some(view) = self.views.get_mut(server) {
            if kind == AttemptKind::RemoteFetch {
                self.pending_transfers.insert(source_cell, id, now);
            }
            view.attempts.insert(id, attempt);
            let (sent, answered) = &mut self.sent_answered[view.role as usize];
            (*sent, *answered) = (*sent * FIT_DECAY + 1.0, *answered * FIT_DECAY);
        }
        actions.push(Action::Send { id, server: server.clone(), timeout });
        if let (AttemptKind::Read, Some(cell)) = (kind, self.views.get(server).map(|view| view.entry.cell)) {
            self.probe_writers(now, cell, actions);
        }
        true
    }

    /// Probes a server for its load. Returns false: no attempt was sent.
    pub(super) fn probe(&mut self, now: Time, server: &ServerId, actions: &mut Vec<Action>) -> bool {
        if let Some(view) = self.views.get_mut(server) {
            view.last_probe = now;
            actions.push(Action::Probe { server: server.clone() });
        }
        false
    }

    /// Probes a few writers of the reader's cell, so that their load is known when the read returns.
    fn probe_writers(&mut self, now: Time, cell: u32, actions: &mut Vec<Action>) {
        if !self.settings.may_probe || self.settings.report_fields.is_empty() {
            return;
        }
        let (salt, min_gap) =
            (self.next_random().to_string(), (REPORT_FRESH_TARGETS * self.shortest_ttft_target()) as Time);
        let writers = self.server_index.writers.get(&cell).into_iter().flatten();
        let writers = writers.filter_map(|server| self.views.get(server)).inspect(|_| self.count_examined());
        let writers = writers.filter(|view| now >= view.last_probe + min_gap);
        let mut writers: Vec<_> = writers.map(|view| view.entry.server.clone()).collect();
        writers.sort_by_cached_key(|server| hash(name_hash(&server.0), &salt));
        for server in writers.iter().take(WRITER_PROBES) {
            self.probe(now, server, actions);
        }
    }
}
