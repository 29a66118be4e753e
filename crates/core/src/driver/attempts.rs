//! Attempts at engines, from the send to the end.

use elderstage::{Event as RouterEvent, Outcome, RepeatPolicy, RequestId, Role, ServerId, Time};

use super::Core;
use crate::chain::{ChainId, Phase, Reason};
use crate::counters::outcome_name;
use crate::evidence;
use crate::messages::{Effect, Event};
use crate::stage::Stage;

impl Core {
    pub(super) fn send_attempt(
        &mut self,
        leg: RequestId,
        server: ServerId,
        timeout: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.chain_by_leg.get(&leg).copied() else { return };
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let kind = self.members.get(&server).map(|entry| entry.kind);
        let role = kind.and_then(|kind| self.plan.settings.roles.get(kind)).copied().unwrap_or_default();
        let repeat = self.plan.classes[chain.class].repeat;
        let keyed = matches!(repeat, RepeatPolicy::Keyed { .. });
        let turn = chain.legs;
        let Phase::Leg(current) = &mut chain.phase else { return };
        let stage = match (role, &current.kept_state) {
            (Role::Prefill, _) => Stage::Read,
            (_, Some(_)) => Stage::Write,
            (_, None) => Stage::Whole,
        };
        let attempt = current.attempts;
        current.attempts += 1;
        current.in_flight = Some((server.clone(), stage));
        self.counters.attempts += 1;
        // Reading a prompt has no side effect, so it may be repeated.
        let once = repeat != RepeatPolicy::Safe && stage != Stage::Read;
        effects.push(Effect::Send {
            chain: id,
            leg,
            turn,
            attempt,
            server,
            stage,
            timeout,
            is_keyed: keyed,
            must_not_repeat: once,
        });
    }

    pub(super) fn attempt_streaming(
        &mut self,
        now: Time,
        id: ChainId,
        leg: RequestId,
        attempt: u32,
        took: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Leg(current) = &mut chain.phase else { return };
        let Some((server, _)) = current.in_flight.clone().filter(|_| current.id == leg) else { return };
        current.is_streaming = true;
        // The writer has fetched the state and the reader has released it.
        current.kept_state = None;
        chain.may_have_run = true;
        if !chain.is_answered {
            self.notify_router(now, RouterEvent::Streaming { id: leg, attempt, server, took }, effects);
        }
    }

    pub(super) fn attempt_ended(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let Event::AttemptEnded {
            chain: id,
            leg,
            attempt,
            evidence,
            took,
            usage,
            text_bytes: text,
            calls,
            load,
        } = event
        else {
            return;
        };
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Leg(current) = &mut chain.phase else { return };
        let Some((server, stage)) = current.in_flight.take().filter(|_| current.id == leg) else { return };
        let (outcome, note) = evidence::classify(stage, &evidence);
        *self.counters.outcomes.entry(outcome_name(outcome)).or_default() += 1;
        let (streamed, turn) = (current.is_streaming, chain.legs);
        chain.may_have_run |= stage != Stage::Read && !outcome.never_ran();
        if outcome == Outcome::Read {
            current.kept_state = Some((server.clone(), attempt));
        } else if stage == Stage::Read && !outcome.never_ran() {
            // It is not known whether the reader keeps a state. The release prevents one from staying pinned.
            effects.push(Effect::Release { chain: id, turn, attempt, server: server.clone() });
            self.counters.releases += 1;
        }
        if let Some((prompt, answer)) = usage {
            let estimate = &mut self.estimates[chain.route];
            estimate.record_prompt(chain.bytes, prompt);
            if outcome == Outcome::Served && answer > 0 {
                estimate.record_answer(answer);
            }
        }
        // A stream that breaks after its first token ends the leg, just as a complete stream does.
        let settled = streamed || outcome == Outcome::Served;
        let (is_answered, given_up_for) = (chain.is_answered, chain.given_up_for);
        self.notify_router(
            now,
            RouterEvent::Ended { id: leg, attempt, server, outcome, took, is_settled: settled, note, load },
            effects,
        );
        if is_answered {
            return self.remove_if_finished(id, effects);
        }
        if let Some(reason) = given_up_for {
            let is_whole_answer = outcome == Outcome::Served && calls.is_empty();
            return self.finish_given_up(now, id, reason, is_whole_answer, effects);
        }
        if outcome == Outcome::Served {
            self.turn_ended(now, id, text, &calls, effects);
        } else if settled {
            self.give_up(now, id, Reason::StreamBroke, effects);
        }
    }
}
