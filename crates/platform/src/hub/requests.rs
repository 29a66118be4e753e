//! Requests and their attempts, from the client's last byte to the last thing that is said of them.

use elderstage::{Arrival, Event, Outcome, ReqId, ServerId, Time};

use super::{Command, Hub, Last, Open, Out};
use crate::ask::Ask;
use crate::counting::End;
use crate::report;

/// How an attempt ended.
pub(super) struct AttemptEnd {
    pub(super) id: ReqId,
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    pub(super) note: u64,
    /// The engine's load report, if it told one.
    pub(super) report: Option<String>,
    /// Events of its stream that were passed on.
    pub(super) events: u64,
}

impl AttemptEnd {
    fn without_answer(id: ReqId, attempt: u32, outcome: Outcome) -> AttemptEnd {
        AttemptEnd { id, attempt, outcome, note: 0, report: None, events: 0 }
    }
}

impl Hub {
    pub(super) fn arrived(&mut self, now: Time, id: ReqId, ask: Ask, out: &mut Vec<Command>) {
        if self.ids.contains_key(&ask.trace) {
            out.push(Command::Answer { id, last: Last::Open, attempts: 0, last_outcome: None });
            out.push(Command::Forget { id });
            return;
        }
        self.counts.taken += 1;
        if let Some(counting) = &mut self.counting {
            counting.asked(now, id, ask.arrival.class, ask.arrival.prompt);
        }
        self.ids.insert(ask.trace.clone(), id);
        let safe = self.safe.get(ask.arrival.class).copied().unwrap_or(false);
        let open = Open {
            trace: ask.trace,
            safe,
            attempts: 0,
            last_outcome: None,
            out: None,
            streaming: false,
            over: false,
        };
        self.open.insert(id, open);
        self.events.push_back(Event::Arrived(Arrival { id, ..ask.arrival }));
    }

    pub(super) fn first(&mut self, now: Time, id: ReqId, attempt: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(of) = open.out.as_ref().filter(|of| of.attempt == attempt) else { return };
        open.streaming = true;
        self.leases.taken(id);
        if let Some(counting) = &mut self.counting {
            counting.first(now, id);
        }
        let (server, took) = (of.server.clone(), now.saturating_sub(of.sent));
        self.events.push_back(Event::Streaming { id, attempt, server, took });
    }

    pub(super) fn ended(&mut self, now: Time, end: AttemptEnd) {
        let AttemptEnd { id, attempt, outcome, note, report, events } = end;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(of) = open.out.take_if(|of| of.attempt == attempt) else { return };
        // The rule's time goes on while connections do not come up: what was never sent was never out.
        let may_have_arrived = !matches!(outcome, Outcome::NoConnection | Outcome::NotSent);
        open.last_outcome = Some(outcome);
        self.leases.attempt_ended(id, may_have_arrived, now);
        self.outcome(&of.server, outcome, now);
        let Some(open) = self.open.get_mut(&id) else { return };
        // A read may have ended well at the moment its connection was closed or broke.
        let left = outcome == Outcome::Read || !outcome.never_ran();
        if of.reads && left && !open.streaming {
            self.leases.may_hold(id, &open.trace, &of.server, now);
        }
        let settled = outcome == Outcome::Served || open.streaming;
        if settled && !open.over {
            open.over = true;
            let served = outcome == Outcome::Served;
            if served {
                self.counts.served += 1
            } else {
                self.counts.broken += 1
            }
            if let Some(counting) = &mut self.counting {
                counting.end(now, id, if served { End::Served { events } } else { End::Broken });
            }
        }
        let settled = open.over;
        let load = report.and_then(|text| report::parse(&text, &self.fields));
        self.events.push_back(Event::Ended {
            id,
            attempt,
            server: of.server,
            outcome,
            took: now.saturating_sub(of.sent),
            settled,
            note,
            load,
        });
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        id: ReqId,
        server: ServerId,
        timeout: Time,
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        self.counts.attempts += 1;
        let reads = self.readers.get(&server).copied().unwrap_or(false);
        let harmless = reads || open.safe;
        let dial = self.directory.dial(&server);
        open.out = Some(Out { attempt, server: server.clone(), dial, sent: now, reads });
        // A read leaves a state of its own and comes for none.
        self.leases.attempt_begins(id, !reads);
        match dial {
            Some(dial) => out.push(Command::Send { id, attempt, server, dial, timeout, harmless }),
            None => self.ended(now, AttemptEnd::without_answer(id, attempt, Outcome::NoConnection)),
        }
    }

    pub(super) fn answer(&mut self, now: Time, id: ReqId, last: Last, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !open.over {
            open.over = true;
            match last {
                Last::Refused { .. } => self.counts.refused += 1,
                _ => self.counts.failed += 1,
            }
            if let Some(counting) = &mut self.counting {
                let refused = matches!(last, Last::Refused { .. });
                counting.end(now, id, if refused { End::Refused } else { End::Failed });
            }
            let (attempts, last_outcome) = (open.attempts, open.last_outcome);
            out.push(Command::Answer { id, last, attempts, last_outcome });
        }
        self.forget(id, out);
    }

    pub(super) fn forget(&mut self, id: ReqId, out: &mut Vec<Command>) {
        if self.open.get(&id).is_some_and(|open| open.over && open.out.is_none())
            && let Some(open) = self.open.remove(&id)
        {
            self.ids.remove(&open.trace);
            out.push(Command::Forget { id });
        }
    }
}
