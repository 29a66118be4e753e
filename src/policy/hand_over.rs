//! Chooses the writer that fetches a KV state after a read. It does not choose readers; `placement` does.
//!
//! Of all writers that may take the request, the one with the lowest cost is chosen.
use super::*;

impl Router {
    /// Sends a request whose prompt has been read to the writer with the lowest cost. Ties are broken at
    /// random, so that fronts do not all choose the same writer.
    pub(super) fn hand_over(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let salt = self.next_random().to_string();
        match self.pick_writer(now, id, &salt) {
            Some((server, kind)) => self.send(now, id, &server, kind, actions),
            None => false,
        }
    }

    /// Finds the writer with the lowest cost. Writers of the reader's cell come first and set the bound; any
    /// writer whose token count alone makes it worse is skipped without computing its full cost.
    fn pick_writer(&self, now: Time, id: RequestId, salt: &str) -> Option<(ServerId, AttemptKind)> {
        let request = self.requests.get(&id)?;
        let (reader, _) = request.kv_state.as_ref()?;
        if !self.may_attempt(now, id, None) {
            return None;
        }
        let cell = self.views.get(reader).map(|view| view.entry.cell);
        let (requirement, link_wait) =
            (self.proof_requirement(false, request.arrival.class), self.oldest_pending_transfer(cell, now));
        let tie_break = |view: &ServerView| hash(view.name_hash, salt);
        let mut best: Option<(WriterCost, &ServerView)> = None;
        let local = cell.and_then(|cell| self.server_index.writers.get(&cell)).into_iter().flatten();
        let local = local.filter_map(|server| self.views.get(server)).inspect(|_| self.count_examined());
        let remote = self.scan_servers().filter(|view| cell.is_none_or(|cell| view.entry.cell != cell));
        for view in local.chain(remote).filter(|view| view.role != Role::Prefill) {
            let min_cost = self.min_writer_cost(view, cell, &request.arrival, now);
            if best.as_ref().is_some_and(|(cost, _)| min_cost > *cost) {
                continue;
            }
            let has_memory = !request.is_late(now) || self.memory_share(view, now) < MEMORY_LIMIT_COMBINED;
            if !has_memory || !self.may_attempt_at(now, request, view) {
                continue;
            }
            let cost = self.writer_cost(view, cell, request, &requirement, link_wait, now);
            // The hash that breaks ties is computed for ties only.
            let is_better = best.as_ref().is_none_or(|(best_cost, best_view)| {
                cost.cmp(best_cost).then_with(|| tie_break(view).cmp(&tie_break(best_view))).is_lt()
            });
            if is_better {
                best = Some((cost, view));
            }
        }
        best.map(|(_, view)| (view.entry.server.clone(), fetch_kind(view, cell)))
    }

    /// Lower bound of the cost of a writer, computed from its token count alone.
    fn min_writer_cost(
        &self,
        view: &ServerView,
        cell: Option<u32>,
        arrival: &Arrival,
        now: Time,
    ) -> WriterCost {
        let is_remote = fetch_kind(view, cell) == AttemptKind::RemoteFetch;
        let tokens = self.estimated_tokens(view, now);
        let penalty_tokens =
            if is_remote { PENALTY_TOKEN_FACTOR * (arrival.prompt_tokens + tokens) } else { 0.0 };
        WriterCost {
            health_penalty: 0,
            load_penalty: 0,
            lacks_cold_preference: is_remote && self.relies_on_reports,
            total_tokens: (tokens + penalty_tokens) as u64,
        }
    }

    /// The full cost of a writer for this request.
    fn writer_cost(
        &self,
        view: &ServerView,
        cell: Option<u32>,
        request: &Request,
        requirement: &ProofRequirement,
        link_wait: f64,
        now: Time,
    ) -> WriterCost {
        let (arrival, kind) = (&request.arrival, fetch_kind(view, cell));
        let (is_remote, time_left) =
            (kind == AttemptKind::RemoteFetch, request.ttft_target - (now - request.arrived_at) as f64);
        let tokens = self.estimated_tokens(view, now);
        let penalties = f64::from(u32::from(is_remote) + u32::from(requirement.is_unmet_by(view, now)));
        let penalty_tokens = PENALTY_TOKEN_FACTOR * penalties * (arrival.prompt_tokens + tokens);
        let fetch_time = self.predict_latency(view, kind, arrival.prompt_tokens, now);
        let is_late =
            fetch_time.max(view.oldest_wait(now)).max(if is_remote { link_wait } else { 0.0 }) > time_left;
        let is_suspect = Self::suspect_health(view, arrival.class).is_some();
        WriterCost {
            health_penalty: u32::from(!Self::is_healthy(view, arrival.class, now)) + u32::from(is_suspect),
            load_penalty: u32::from(self.memory_share(view, now) >= MEMORY_LIMIT) + u32::from(is_late),
            lacks_cold_preference: self.relies_on_reports && (is_remote || !self.is_server_cold(view, now)),
            total_tokens: (tokens + penalty_tokens) as u64,
        }
    }
}
