//! What the router decides while its front shuts down: which requests still go to a server, and which streams
//! are ended so that their clients go on at another front. It does not choose servers.
//!
//! The front is killed soon after the end of its shutdown. A stream that its client can resume elsewhere is
//! moved in time. Where streams cannot be resumed, a request that arrives late goes to a server only if its
//! stream can end in time as well.
use super::*;

/// The times of a shutdown.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    /// When the next stream is moved.
    next_move: Time,
    /// When the last stream is to be moved.
    last_move: Time,
    /// A request that arrives from this time on must have ended when the front is killed.
    late_from: Time,
    /// When this front ends.
    end: Time,
}

impl Router {
    /// Records that this front shuts down and ends after `within`.
    pub(super) fn begin_shutdown(&mut self, now: Time, within: Time, late_after: Time) {
        let after_share = |share: f64| now + (share * within as f64) as Time;
        self.shutdown = Some(Shutdown {
            next_move: after_share(MOVE_WINDOW.0),
            last_move: after_share(MOVE_WINDOW.1),
            late_from: now + late_after,
            end: now + within,
        });
    }

    /// Whether a request that arrives now may not be under way when this front is killed.
    pub(super) fn must_end_before_kill(&self, now: Time) -> bool {
        self.shutdown.is_some_and(|shutdown| now >= shutdown.late_from)
    }

    /// The latest time for the first token of a request that arrives now. No answer may be due after this
    /// front has ended. Where the stream must end before as well and cannot be moved, the time that it may
    /// take is left for it. A request that has no time left is refused at once.
    pub(super) fn first_token_deadline(&self, now: Time, arrival: &Arrival) -> Time {
        let client_deadline = now.saturating_add(arrival.time_left);
        let Some(shutdown) = self.shutdown else { return client_deadline };
        let stream_time = if self.must_end_before_kill(now) && !self.settings.may_resume {
            self.longest_stream_time(arrival)
        } else {
            0
        };
        client_deadline.min(shutdown.end.saturating_sub(stream_time))
    }

    /// The time that a stream may take from its first token on: all tokens that it may have, at a pace that
    /// is slower than the target. Without a limit or a target nothing bounds it.
    fn longest_stream_time(&self, arrival: &Arrival) -> Time {
        let tpot_target = self.settings.classes.get(arrival.class).map_or(0.0, |class| class.tpot_target);
        if arrival.max_output_tokens <= 0.0 || tpot_target <= 0.0 {
            return Time::MAX;
        }
        (arrival.max_output_tokens * tpot_target * SLOWEST_TPOT_TARGETS) as Time
    }

    /// Before this front ends, moves the streams that would be cut, one after the other over the remaining
    /// time. Otherwise all their clients would come back at once, which no reader can serve. Streams that
    /// must have ended before the kill are ended at the latest when the shutdown's time is up.
    pub(super) fn end_streams_for_shutdown(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(shutdown) = self.shutdown else { return };
        if now >= shutdown.end {
            self.end_late_streams(actions);
        }
        if !self.settings.may_resume || now < shutdown.next_move {
            return;
        }
        let interrupted: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.is_streaming && !request.is_settled)
            .filter_map(|(id, request)| Some((self.predicted_stream_end(*id, request, now)?, *id)))
            .filter(|(predicted_end, _)| *predicted_end > shutdown.end)
            .collect();
        let Some((_, id)) = interrupted.iter().max() else { return };
        let spacing = shutdown.last_move.saturating_sub(now) / interrupted.len() as Time;
        self.shutdown = Some(Shutdown { next_move: now + spacing, ..shutdown });
        if let Some(request) = self.requests.get_mut(id) {
            request.is_settled = true;
            actions.push(Action::Move { id: *id });
        }
    }

    /// When a stream ends at the nominal pace. A stream past that time is at a slow writer: its end is
    /// unknown.
    fn predicted_stream_end(&self, id: RequestId, request: &Request, now: Time) -> Option<Time> {
        let (server, _) = request.in_flight.as_ref()?;
        let attempt = self.views.get(server)?.attempts.get(&id)?;
        let tpot_target =
            self.settings.classes.get(request.arrival.class).map_or(0.0, |class| class.tpot_target);
        let output_tokens = attempt.kv_tokens - request.arrival.prompt_tokens;
        let predicted_end =
            attempt.first_token_at? + (output_tokens * NOMINAL_TPOT_SHARE * tpot_target) as Time;
        Some(if predicted_end < now { Time::MAX } else { predicted_end })
    }

    /// Ends all streams that may not be under way when this front is killed, whether or not they can go on
    /// elsewhere: their writers hang or are far slower than the target.
    fn end_late_streams(&mut self, actions: &mut Vec<Action>) {
        for (id, request) in &mut self.requests {
            if request.is_streaming && !request.is_settled && request.must_end_before_kill {
                request.is_settled = true;
                actions.push(Action::Move { id: *id });
            }
        }
    }
}
