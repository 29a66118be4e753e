//! The lifecycle of requests and their attempts, from the last byte of the client's request until the request is
//! forgotten.

use elderstage::{Arrival, Event, Outcome, RequestId, ServerId, Time};

use super::{Command, FinalAnswer, Hub, InFlightAttempt, OpenRequest};
use crate::ask::ClientRequest;
use crate::counting::RequestEnd;
use crate::report;

/// How an attempt ended.
pub(super) struct AttemptEnd {
    pub(super) id: RequestId,
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    pub(super) note: u64,
    /// The engine's load report, if it sent one.
    pub(super) report: Option<String>,
    /// Number of stream events that were forwarded to the client.
    pub(super) events: u64,
}

impl AttemptEnd {
    /// The end of an attempt that brought no answer.
    fn without_answer(id: RequestId, attempt: u32, outcome: Outcome) -> AttemptEnd {
        AttemptEnd { id, attempt, outcome, note: 0, report: None, events: 0 }
    }
}

impl Hub {
    /// Opens a request, unless another request with the same id is open.
    pub(super) fn handle_arrival(
        &mut self,
        now: Time,
        id: RequestId,
        client_request: ClientRequest,
        commands: &mut Vec<Command>,
    ) {
        if self.ids_by_trace.contains_key(&client_request.request_id) {
            commands.push(Command::Answer { id, last: FinalAnswer::Open, attempts: 0, last_outcome: None });
            commands.push(Command::RemoveRequest { id });
            return;
        }
        self.counts.taken += 1;
        if let Some(counting) = &mut self.counting {
            counting.record_arrival(
                now,
                id,
                client_request.arrival.class,
                client_request.arrival.prompt_tokens,
            );
        }
        self.ids_by_trace.insert(client_request.request_id.clone(), id);
        let is_repeatable =
            self.repeatable_classes.get(client_request.arrival.class).copied().unwrap_or(false);
        let request = OpenRequest {
            trace: client_request.request_id,
            is_repeatable,
            attempts: 0,
            last_outcome: None,
            in_flight: None,
            is_streaming: false,
            is_finished: false,
        };
        self.open_requests.insert(id, request);
        self.events.push_back(Event::Arrived(Arrival { id, ..client_request.arrival }));
    }

    /// Handles the first stream event of an attempt: from here on the request is bound to it.
    pub(super) fn handle_first_event(&mut self, now: Time, id: RequestId, attempt: u32) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let Some(in_flight) = request.in_flight.as_ref().filter(|in_flight| in_flight.attempt == attempt)
        else {
            return;
        };
        request.is_streaming = true;
        self.leases.remove(id);
        if let Some(counting) = &mut self.counting {
            counting.record_first_event(now, id);
        }
        let (server, took) = (in_flight.server.clone(), now.saturating_sub(in_flight.sent_at));
        self.events.push_back(Event::Streaming { id, attempt, server, took });
    }

    /// Handles the end of an attempt: settles the request if it is finished and reports the outcome to the router.
    pub(super) fn handle_attempt_end(&mut self, now: Time, end: AttemptEnd) {
        let AttemptEnd { id, attempt, outcome, note, report, events } = end;
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let Some(in_flight) = request.in_flight.take_if(|in_flight| in_flight.attempt == attempt) else {
            return;
        };
        // The time limit on held state keeps running while connections fail, because an attempt that was never sent reached
        // no engine.
        let may_have_arrived = !matches!(outcome, Outcome::NoConnection | Outcome::NotSent);
        request.last_outcome = Some(outcome);
        self.leases.end_attempt(id, may_have_arrived, now);
        self.record_outcome(&in_flight.server, outcome, now);
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        // A read may have succeeded at the moment its connection was closed or broke.
        let may_have_left_state = outcome == Outcome::Read || !outcome.never_ran();
        if in_flight.is_prompt_read && may_have_left_state && !request.is_streaming {
            self.leases.record_holder(id, &request.trace, &in_flight.server, now);
        }
        let settled = outcome == Outcome::Served || request.is_streaming;
        if settled && !request.is_finished {
            request.is_finished = true;
            let served = outcome == Outcome::Served;
            if served {
                self.counts.served += 1
            } else {
                self.counts.broken += 1
            }
            if let Some(counting) = &mut self.counting {
                counting.record_end(
                    now,
                    id,
                    if served { RequestEnd::Served { events } } else { RequestEnd::Broken },
                );
            }
        }
        let settled = request.is_finished;
        let load = report.and_then(|text| report::parse(&text, &self.report_fields));
        self.events.push_back(Event::Ended {
            id,
            attempt,
            server: in_flight.server,
            outcome,
            took: now.saturating_sub(in_flight.sent_at),
            is_settled: settled,
            note,
            load,
        });
    }

    /// Sends the next attempt of a request.
    pub(super) fn send_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        timeout: Time,
        commands: &mut Vec<Command>,
    ) {
        let is_prompt_read = self.is_reader(&server);
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        self.counts.attempts += 1;
        let harmless = is_prompt_read || request.is_repeatable;
        let address = self.directory.address(&server);
        request.in_flight =
            Some(InFlightAttempt { attempt, server: server.clone(), address, sent_at: now, is_prompt_read });
        // A read creates KV state of its own and fetches none.
        self.leases.start_attempt(id, !is_prompt_read);
        match address {
            Some(dial) => commands.push(Command::Send {
                id,
                attempt,
                server,
                address: dial,
                timeout,
                is_repeatable: harmless,
            }),
            None => {
                self.handle_attempt_end(now, AttemptEnd::without_answer(id, attempt, Outcome::NoConnection))
            }
        }
    }

    /// Sends the final answer to a client that has neither a final answer yet nor disconnected.
    pub(super) fn answer_client(
        &mut self,
        now: Time,
        id: RequestId,
        last: FinalAnswer,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        if !request.is_finished {
            request.is_finished = true;
            match last {
                FinalAnswer::Refused { .. } => self.counts.refused += 1,
                _ => self.counts.failed += 1,
            }
            if let Some(counting) = &mut self.counting {
                let refused = matches!(last, FinalAnswer::Refused { .. });
                counting.record_end(now, id, if refused { RequestEnd::Refused } else { RequestEnd::Failed });
            }
            let (attempts, last_outcome) = (request.attempts, request.last_outcome);
            commands.push(Command::Answer { id, last, attempts, last_outcome });
        }
        self.forget_if_finished(id, commands);
    }

    /// Forgets a request that is finished and has no attempt in flight.
    pub(super) fn forget_if_finished(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        if self
            .open_requests
            .get(&id)
            .is_some_and(|request| request.is_finished && request.in_flight.is_none())
            && let Some(request) = self.open_requests.remove(&id)
        {
            self.ids_by_trace.remove(&request.trace);
            commands.push(Command::RemoveRequest { id });
        }
    }
}
