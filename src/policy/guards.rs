//! The guards: the limits on attempts, repeats, cold servers and final answers. They do not choose a server.
//!
//! Every send and every final answer passes here, so that no request is repeated where that could do harm and
//! none is answered twice.
use super::*;

impl Router {
    /// Whether another attempt is allowed, at any server or, if `to` is given, at that one.
    pub(super) fn may_attempt(&self, now: Time, id: RequestId, to: Option<&ServerView>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_open = !request.is_settled
            && !request.is_streaming
            && request.in_flight.is_none()
            && request.attempts < self.settings.max_attempts
            && now < request.deadline;
        let is_repeat_allowed =
            match (&request.may_have_run, self.settings.classes.get(request.arrival.class).map(|c| c.repeat))
            {
                (None, _) | (_, Some(RepeatPolicy::Safe)) => true,
                (Some((_, sent)), Some(RepeatPolicy::Keyed { memory, .. })) => {
                    now + self.settings.connect_timeout + SEND_TICKS * self.settings.tick < sent + memory
                }
                _ => false,
            };
        is_open && is_repeat_allowed && to.is_none_or(|view| self.may_attempt_at(now, request, view))
    }

    /// Whether a request for which another attempt is allowed may go to this server.
    pub(super) fn may_attempt_at(&self, now: Time, request: &Request, to: &ServerView) -> bool {
        let is_same_group =
            |group: RepeatGroup, first_server: &ServerId| match (group, self.views.get(first_server)) {
                (RepeatGroup::All, _) => true,
                (RepeatGroup::Zone, Some(first)) => first.entry.zone == to.entry.zone,
                (RepeatGroup::Cell, Some(first)) => first.entry.cell == to.entry.cell,
                (_, None) => false,
            };
        let is_repeat_allowed =
            match (&request.may_have_run, self.settings.classes.get(request.arrival.class).map(|c| c.repeat))
            {
                (Some((first_server, _)), Some(RepeatPolicy::Keyed { group, .. })) => {
                    is_same_group(group, first_server)
                }
                _ => true,
            };
        to.entry.listed == ServerStatus::Running
            && is_repeat_allowed
            && self.passes_cold_limit(to, request, now)
    }

    /// Whether a server started so recently that it is still cold.
    pub(super) fn is_server_cold(&self, view: &ServerView, now: Time) -> bool {
        self.is_cold(view.entry.ready_at, now)
    }

    /// Whether a server that became ready at `ready_at` is still cold.
    pub(super) fn is_cold(&self, ready_at: Time, now: Time) -> bool {
        ready_at > 0 && now < ready_at + self.settings.cold_duration
    }

    /// Limits the load on a server that has just started. An attempt passes by a random draw, so that all
    /// fronts together, however many, send the server a part of what a warm server of its weight takes. A KV
    /// state is fetched by writers of its own cell, whose share there can be far above their share of all
    /// writers: the draw uses the geometric mean of both shares. A prompt so long that it alone could
    /// overload the server does not pass. Shares refer to all running servers: fronts that start during a
    /// rolling release see no warm server.
    fn passes_cold_limit(&self, view: &ServerView, request: &Request, now: Time) -> bool {
        if !self.is_server_cold(view, now) {
            return true;
        }
        let (sent, answered) = self.sent_answered[view.role as usize];
        let source_cell = request.kv_state.as_ref().and_then(|(at, _)| Some(self.views.get(at)?.entry.cell));
        let weight_share = |total: f64| view.entry.weight / total.max(view.entry.weight);
        let overall_share = weight_share(
            source_cell
                .map_or(self.peak_weight[view.role as usize], |_| self.server_index.peak_writer_weight),
        );
        let cell_weight = self
            .peak_writer_weight_by_cell
            .get(&view.entry.cell)
            .filter(|_| source_cell == Some(view.entry.cell));
        let cell_share = cell_weight.map_or(overall_share, |cell| weight_share(*cell));
        let cold_factor = self.settings.overload_multiple * self.settings.cold_start_share * (answered + 1.0)
            / (sent + 1.0);
        let draw = hash(view.name_hash, &format!("{} {}", request.arrival.id.0, request.attempts));
        let is_prompt_short =
            request.arrival.prompt_tokens <= self.settings.overload_multiple * self.mean_log_prompt.exp();
        is_prompt_short
            && unit_interval(draw) <= COLD_BUDGET_SHARE * cold_factor * (overall_share * cell_share).sqrt()
    }

    /// Gives the one final answer: a refusal if nothing can have run or repeats are harmless, otherwise a
    /// failure.
    pub(super) fn finish(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.attempts > 0 && !request.is_streaming {
            actions.push(Action::Release { id });
        }
        if request.is_settled {
            return;
        }
        let is_retry_safe = match self.settings.classes.get(request.arrival.class).map(|class| class.repeat) {
            Some(RepeatPolicy::Safe) => true,
            Some(RepeatPolicy::Keyed { group: RepeatGroup::All, memory }) => {
                request.may_have_run.as_ref().is_none_or(|(_, sent)| now < sent + memory)
            }
            _ => request.may_have_run.is_none(),
        };
        if is_retry_safe {
            let share = MIN_RETRY_SHARE + (1.0 - MIN_RETRY_SHARE) * self.next_random();
            let max_retry_after = if self.settings.may_advise { self.settings.max_retry_after } else { 0 };
            let retry_after = (share * max_retry_after as f64) as Time;
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
    }
}
