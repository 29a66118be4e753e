//! Chooses the server that reads a prompt (rules 1, 2 and 3). It does not choose the writer that later
//! fetches the KV state; `hand_over` does.
//!
//! A read starts only while at least one writer can start the stream in time.
use super::*;

impl Router {
    /// Applies rules 1, 2 and 3 in this order. The request stays held if no server accepts it.
    pub(super) fn place_request(&mut self, now: Time, id: RequestId) -> (Placement, AttemptKind) {
        if !self.may_attempt(now, id, None) || !self.any_writer_can_start_stream(now, id) {
            return (Placement::NotFound, AttemptKind::Read);
        }
        let ranking = self.ranking(id);
        let placement = self.choose_reader(now, id, &ranking.order);
        let Some(request) = self.requests.get_mut(&id) else {
            return (Placement::NotFound, AttemptKind::Read);
        };
        request.ranking = Some(ranking);
        match placement {
            Placement::NotFound => (self.choose_combined_server(now, id), AttemptKind::Combined),
            placement => (placement, AttemptKind::Read),
        }
    }

    /// Rules 1 and 2: chooses a reader. The last attempt is left for the writer.
    fn choose_reader(&self, now: Time, id: RequestId, order: &[RankedReader]) -> Placement {
        let Some(request) = self.requests.get(&id) else { return Placement::NotFound };
        if request.attempts + 1 >= self.settings.max_attempts {
            return Placement::NotFound;
        }
        let (arrival, time_left) = (&request.arrival, request.time_left(now));
        let read_time = |view: &ServerView| self.predict_read(view, arrival, AttemptKind::Read, now);
        // Rule 1: an idle reader. The rule is skipped if the other fronts are expected to have sent so many
        // reads since its report that some would wait. Otherwise all fronts would send to the same reader
        // (thundering herd).
        let is_crowded = self.expected_reads_by_others() > RUNNING_READS;
        let is_idle = |v: &ServerView| {
            !is_crowded && v.attempts.is_empty() && self.tokens_ahead(v, now) < MIN_READ_TOKENS
        };
        // Rule 2: a reader that is reading, has nothing waiting and will finish in time. No predicted end
        // there has passed, and time remains for reads that other fronts sent after the report was taken.
        let report_lag = if self.relies_on_reports {
            REPORT_LAG_TARGETS * time_left.min(self.shortest_ttft_target())
        } else {
            0.0
        };
        let is_on_time = |v: &ServerView| {
            v.attempts.len() <= 1
                && (!request.is_late(now) || self.tokens_ahead(v, now) < MIN_READ_TOKENS)
                && v.attempts.values().all(|attempt| attempt.predicted_end >= now)
                && self.tokens_ahead(v, now) <= RUNNING_READS * self.mean_read_tokens()
                && read_time(v) + report_lag <= time_left
        };
        if self.relies_on_reports {
            let readers = || self.readers_in_turn(now, request, order);
            return match self.first_accepting(now, arrival, readers(), is_idle) {
                Placement::NotFound => self.first_accepting(now, arrival, readers(), is_on_time),
                placement => placement,
            };
        }
        let readers = self.readers_by_time(now, request, order);
        match self.first_accepting(now, arrival, readers.iter().copied(), is_idle) {
            Placement::NotFound => self.first_accepting(now, arrival, readers.iter().copied(), is_on_time),
            placement => placement,
        }
    }

    /// Rule 3: reads and answers at one server, a mixed server or a writer. Its memory use is below the
    /// limit, and the slack of all its streams exceeds the duration of this read.
    fn choose_combined_server(&self, now: Time, id: RequestId) -> Placement {
        let Some(request) = self.requests.get(&id) else { return Placement::NotFound };
        let (arrival, time_left, salt) = (&request.arrival, request.time_left(now), id.0.to_string());
        let mut turns = TurnSalt::default();
        let can_take = |view: &&ServerView| {
            if view.role != Role::Mixed && !self.settings.writers_may_read {
                return false;
            }
            let read_time = self.predict_read(view, arrival, AttemptKind::Combined, now);
            read_time <= time_left
                && self.can_start_stream(view, request, now)
                && self.memory_share(view, now) < MEMORY_LIMIT_COMBINED
                && Self::stream_slack(view, now) > read_time
                && self.has_combined_turn(view, read_time, now, &mut turns)
        };
        let mut candidates: Vec<&ServerView> = self.scan_servers().filter(can_take).collect();
        candidates.sort_by_cached_key(|v| (v.role != Role::Mixed, hash(v.name_hash, &salt)));
        self.first_accepting(now, arrival, candidates.iter().copied(), |_| true)
    }

    /// Returns the first candidate that accepts a read. Each candidate is probed for its load before it is
    /// passed over. While the answer is due, the candidate counts as busy: otherwise fronts with nothing in
    /// flight would see an idle fleet. Once the probe has timed out, the next candidate has its turn, so that
    /// a silent home server does not block its sessions.
    fn first_accepting<'a>(
        &self,
        now: Time,
        arrival: &Arrival,
        candidates: impl Iterator<Item = &'a ServerView>,
        accepts: impl Fn(&ServerView) -> bool,
    ) -> Placement {
        let probe_timeout = (PROBE_TIMEOUT_TARGETS * self.shortest_ttft_target()) as Time;
        let (mut reported, max_reported) = (0, if arrival.session.is_some() { 1 } else { MAX_PROBES });
        for view in candidates {
            if self.relies_on_reports && reported >= max_reported {
                break;
            }
            if self.has_fresh_load(view, now) {
                if accepts(view) {
                    return Placement::Selected(view.entry.server.clone());
                }
                reported += 1;
            } else if now >= view.last_probe + (REPORT_FRESH_TARGETS * self.shortest_ttft_target()) as Time {
                return Placement::Probing(Some(view.entry.server.clone()));
            } else if now < view.last_probe + probe_timeout {
                return Placement::Probing(None);
            }
        }
        Placement::NotFound
    }

    /// Whether a server may take this request, judged by its health and the guards.
    pub(super) fn is_usable(&self, view: &ServerView, request: &Request, now: Time) -> bool {
        Self::is_healthy(view, request.arrival.class, now) && self.may_attempt_at(now, request, view)
    }

    /// Whether a writer below its memory limit can start a stream in time. Otherwise a prompt would be read
    /// that no writer takes.
    pub(super) fn can_start_stream(&self, view: &ServerView, request: &Request, now: Time) -> bool {
        let memory_limit = if request.is_late(now) { MEMORY_LIMIT_COMBINED } else { MEMORY_LIMIT };
        let fetch_time = || {
            view.oldest_wait(now).max(self.predict_latency(
                view,
                AttemptKind::LocalFetch,
                request.arrival.prompt_tokens,
                now,
            ))
        };
        view.role != Role::Prefill
            && self.is_usable(view, request, now)
            && self.memory_share(view, now) < memory_limit
            && fetch_time() < request.time_left(now)
    }

    fn any_writer_can_start_stream(&self, now: Time, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        self.scan_servers().any(|view| self.can_start_stream(view, request, now))
    }

    /// Predicts the time until a new read of this prompt ends at the server, including the reads ahead of it.
    pub(super) fn predict_read(
        &self,
        view: &ServerView,
        arrival: &Arrival,
        kind: AttemptKind,
        now: Time,
    ) -> f64 {
        self.predict_latency(view, kind, self.tokens_ahead(view, now) + view.uncached_tokens(arrival), now)
    }
}
