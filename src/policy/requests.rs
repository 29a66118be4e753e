//! The life cycle of requests: arrival, first token, end of an attempt, client disconnect, and the periodic
//! sweep. It does not choose servers.
//!
//! A request leaves the table only through `finish`, which gives its one final answer.
use super::*;

impl Router {
    /// Records a new request, its TTFT target and whether its tenant is over quota.
    pub(super) fn on_arrival(&mut self, now: Time, arrival: Arrival) {
        let ttft_target =
            self.settings.classes.get(arrival.class).map_or(arrival.time_left as f64, |class| {
                class.ttft_target as f64 + class.ttft_target_per_1000_tokens * arrival.prompt_tokens / 1000.0
            });
        let (tenant, bucket) =
            (self.settings.tenants.get(arrival.tenant), self.quota_buckets.get_mut(arrival.tenant));
        let is_over_quota = tenant.zip(bucket).is_some_and(|(tenant, (level, updated_at))| {
            let rate = tenant.quota_per_s / f64::from(self.settings.front_count);
            *level = (*level - rate * (now - *updated_at) as f64 / 1e6).max(0.0);
            *updated_at = now;
            let is_over = *level > QUOTA_BURST_S * rate;
            *level += if is_over { 0.0 } else { 1.0 };
            is_over
        });
        let (weight, gap) =
            if self.last_arrival > 0 { (AVERAGE_WEIGHT, now - self.last_arrival) } else { (1.0, 0) };
        self.mean_log_prompt += weight * (arrival.prompt_tokens.max(1.0).ln() - self.mean_log_prompt);
        self.mean_arrival_gap += weight * (gap as f64 - self.mean_arrival_gap);
        self.last_arrival = now;
        let id = arrival.id;
        let must_end_before_kill = self.must_end_before_kill(now);
        let deadline = self.first_token_deadline(now, &arrival);
        let request = Request {
            arrived_at: now,
            deadline,
            must_end_before_kill,
            ttft_target,
            is_over_quota,
            arrival,
            ..Request::default()
        };
        self.requests.insert(id, request);
    }

    /// Records that the stream has started: the writer has fetched the KV state and has answered.
    pub(super) fn on_first_token(&mut self, now: Time, id: RequestId, server: &ServerId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_streaming = true;
        request.kv_state = None;
        let Some(view) = self.views.get_mut(server) else { return };
        let Some(attempt) = view.attempts.get_mut(&id) else { return };
        attempt.first_token_at = Some(now);
        let attempt = attempt.clone();
        let class = request.arrival.class;
        self.pending_transfers.remove(attempt.source_cell, id);
        if attempt.kind == AttemptKind::Combined {
            self.record_cached_texts(server, id, attempt.kv_tokens, now);
        }
        self.record_answer(server, class, now);
        self.record_latency(server, attempt.kind, attempt.work_tokens, (now - attempt.sent_at) as f64);
    }

    /// Records how an attempt ended, releases a KV state that can no longer be used, and hands over, retries
    /// or finishes the request.
    pub(super) fn on_attempt_ended(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let Event::Ended { id, server, outcome, is_settled: settled, note, load, .. } = event else { return };
        let server = &server;
        self.record_report(now, server, load);
        let attempt = self.views.get_mut(server).and_then(|view| view.attempts.remove(&id));
        if let Some(attempt) = &attempt {
            self.pending_transfers.remove(attempt.source_cell, id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.in_flight = None;
        let is_released = std::mem::take(&mut request.is_state_released);
        // The release clock of the KV state restarts only if the attempt is known to have arrived, or if the
        // state was released while the attempt was in flight. An attempt that never connected, or that was
        // written to a silent link, did not stop the clock. Otherwise retry after retry would keep the state.
        let has_arrived = matches!(outcome, Outcome::Full | Outcome::Error);
        let restarts_clock = has_arrived || (is_released && outcome != Outcome::NoConnection);
        if let Some((_, since)) = request.kv_state.as_mut().filter(|_| restarts_clock) {
            *since = now;
        }
        // The writer did not find the KV state: it may be unreachable behind a network partition. Release it
        // before the prompt is read again.
        let is_state_missing = outcome == Outcome::Full && note == 1;
        // The state was released while the attempt was in flight, and the attempt never connected or timed
        // out: the state counts as gone. If that attempt had arrived, the state is released now; at a silent
        // or hung server the next attempt would find nothing to fetch.
        let is_state_gone = is_released && matches!(outcome, Outcome::NoConnection | Outcome::TimedOut);
        if is_state_missing
            || is_state_gone
            || request
                .kv_state
                .as_ref()
                .is_some_and(|(_, since)| now > since + self.settings.release_time_limit)
        {
            request.kv_state = None;
            actions.push(Action::Release { id });
        }
        let class = request.arrival.class;
        let may_answer = attempt.as_ref().is_some_and(|attempt| attempt.kind != AttemptKind::Read);
        match outcome {
            Outcome::Read => {
                request.kv_state = Some((server.clone(), now));
                let prompt = request.arrival.prompt_tokens;
                if let Some(attempt) = attempt.as_ref().filter(|_| self.views.contains_key(server)) {
                    self.record_cached_texts(server, id, note as f64, now);
                    let work_tokens =
                        attempt.work_tokens - attempt.uncached_tokens + (prompt - note as f64).max(0.0);
                    self.record_answer(server, class, now);
                    self.record_latency(
                        server,
                        AttemptKind::Read,
                        work_tokens,
                        (now - attempt.sent_at) as f64,
                    );
                }
            }
            _ if is_state_missing => {}
            Outcome::Served | Outcome::NotSent | Outcome::Cancelled => {}
            // One broken connection says little about a server, and a server that has died refuses the next
            // connection at once. Otherwise resets in the network would eject one server after another.
            Outcome::Broken if self.record_broken_connection(server, class) <= TOLERATED_BREAKS => {}
            _ => {
                self.record_failure(server, class, now);
                // A timed-out attempt took at least this long. If only answers were recorded, slow servers
                // and congested links would look fast, and time-outs would stay too short for all.
                let shows_latency = |attempt: &&Attempt| {
                    outcome == Outcome::TimedOut || attempt.kind == AttemptKind::RemoteFetch
                };
                if let Some(attempt) = attempt.as_ref().filter(shows_latency) {
                    self.record_latency(
                        server,
                        attempt.kind,
                        attempt.work_tokens,
                        (now - attempt.sent_at) as f64,
                    );
                }
            }
        }
        // The read may have succeeded although its connection broke: release the state that may wait there.
        if !may_answer && !outcome.never_ran() {
            actions.push(Action::Release { id });
        }
        let is_closing = self.must_answer_now(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if may_answer && !outcome.never_ran() && request.may_have_run.is_none() {
            request.may_have_run = Some((server.clone(), attempt.map_or(now, |attempt| attempt.sent_at)));
        }
        request.is_settled |= settled;
        let is_final = request.is_settled || outcome == Outcome::NotSent || is_closing;
        if is_final || (!self.hand_over(now, id, actions) && !self.may_attempt(now, id, None)) {
            self.finish(now, id, actions);
        }
    }

    /// Marks the request as settled and cancels the attempt in flight, or finishes the request if there is
    /// none.
    pub(super) fn on_client_gone(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_settled = true;
        match &request.in_flight {
            None => self.finish(now, id, actions),
            Some((_, attempt)) if self.settings.may_cancel => {
                actions.push(Action::Cancel { id, attempt: *attempt })
            }
            _ => {}
        }
    }

    /// Periodic work: repeats a failed call for the list, ends streams before this front does, releases
    /// overdue KV states and ends holds that took too long.
    pub(super) fn sweep(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.is_sweep_scheduled = false;
        if self.subscribe_retry_at.is_some_and(|at| now >= at) {
            self.subscribe_retry_at = Some(now + self.settings.resubscribe_within / SUBSCRIBE_RETRIES);
            actions.push(Action::Subscribe);
        }
        self.end_streams_for_shutdown(now, actions);
        let max_wait = (RELEASE_SHARE * self.settings.release_time_limit as f64) as Time;
        self.release_states_in_flight(now, actions);
        let held: Vec<RequestId> = self.held_requests().collect();
        for id in held {
            let Some(request) = self.requests.get_mut(&id) else { return };
            if request.kv_state.as_ref().is_some_and(|(_, since)| now >= since + max_wait) {
                request.kv_state = None;
                actions.push(Action::Release { id });
            }
            // A request that was never sent is held for a part of its TTFT target only; one that failed is
            // held up to the target.
            let wait = if request.attempts == 0 {
                MAX_HOLD_TARGETS * request.ttft_target
            } else {
                request.ttft_target
            };
            let is_hold_over = request.kv_state.is_none() && now >= request.arrived_at + wait as Time;
            if is_hold_over || self.must_answer_now(now, id) {
                self.finish(now, id, actions);
            }
        }
    }

    /// Releases, once, the KV state of each attempt that has been in flight too long: the attempt may never
    /// have arrived, and nothing reports that. A server keeps a state that an attempt is already waiting for,
    /// so an attempt that has arrived loses nothing.
    fn release_states_in_flight(&mut self, now: Time, actions: &mut Vec<Action>) {
        let max_wait = (RELEASE_SHARE_IN_FLIGHT * self.settings.release_time_limit as f64) as Time;
        for (id, request) in &mut self.requests {
            let is_due = request.kv_state.as_ref().is_some_and(|(_, since)| now >= since + max_wait);
            if is_due && request.in_flight.is_some() && !request.is_state_released {
                request.is_state_released = true;
                actions.push(Action::Release { id: *id });
            }
        }
    }
}
