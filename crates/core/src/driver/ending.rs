//! Final answers, and the removal of requests that have ended.
//!
//! A request that is given up while an attempt may run it is answered by the end of that attempt, which is cancelled at
//! once: no end seen yet is no proof that it did not run.

use elderstage::{Event as RouterEvent, RepeatPolicy, Time};

use super::Core;
use crate::chain::{Chain, ChainId, Final, Phase, Reason, RepeatSafety};
use crate::messages::Effect;

impl Core {
    /// Ends a request for a reason found by the core, with the final answer that [`Chain::final_for_end`]
    /// allows. If the end of the attempt in flight decides which one that is, the attempt is cancelled and the
    /// answer follows its end.
    pub(super) fn give_up(&mut self, now: Time, id: ChainId, reason: Reason, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get(&id).filter(|chain| !chain.is_answered) else { return };
        let repeat = self.repeat_policy(chain);
        if chain.repeat_safety(repeat) == RepeatSafety::Undecided {
            return self.cancel_undecided(now, id, reason, effects);
        }
        let last = chain.final_for_end(repeat, reason, self.plan.limits.retry_after);
        self.finish(now, id, last, effects);
    }

    /// Cancels the attempt in flight, whose end decides the final answer. Does nothing the second time.
    pub(super) fn cancel_undecided(
        &mut self,
        now: Time,
        id: ChainId,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id).filter(|chain| chain.given_up_for.is_none()) else {
            return;
        };
        chain.given_up_for = Some(reason);
        if let Phase::Leg(leg) = &chain.phase {
            let leg = leg.id;
            self.notify_router(now, RouterEvent::ClientGone { id: leg }, effects);
        }
    }

    /// Gives the final answer of a request that was given up, after the end of its attempt. An attempt that
    /// brought the whole answer before the cancellation reached it is served.
    pub(super) fn finish_given_up(
        &mut self,
        now: Time,
        id: ChainId,
        reason: Reason,
        is_whole_answer: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get(&id) else { return };
        let last = if is_whole_answer {
            Final::Served
        } else {
            chain.final_for_end(self.repeat_policy(chain), reason, self.plan.limits.retry_after)
        };
        self.finish(now, id, last, effects);
    }

    pub(super) fn repeat_policy(&self, chain: &Chain) -> RepeatPolicy {
        self.plan.classes[chain.class].repeat
    }

    /// Gives the final answer and cancels the attempt or tool call in flight.
    pub(super) fn finish(&mut self, now: Time, id: ChainId, last: Final, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id).filter(|chain| !chain.is_answered) else { return };
        chain.is_answered = true;
        effects.push(Effect::Answer { chain: id, final_answer: last });
        match last {
            Final::Served => self.counters.served += 1,
            Final::Refused { .. } => self.counters.refused += 1,
            Final::Failed { .. } => self.counters.failed += 1,
            Final::Gone => self.counters.clients_gone += 1,
        }
        if let Final::Refused { reason, .. } | Final::Failed { reason } = last {
            *self.counters.ended_for.entry(reason).or_default() += 1;
        }
        match &chain.phase {
            Phase::Leg(leg) => {
                let leg = leg.id;
                // The router is told that the client has left: it cancels the attempt in flight and releases
                // the state. If the router itself ended the leg, it no longer knows it and ignores this.
                self.notify_router(now, RouterEvent::ClientGone { id: leg }, effects);
            }
            Phase::Tool(tool) => {
                effects.push(Effect::CancelTool { chain: id, turn: chain.legs, call: tool.call });
            }
        }
        self.remove_if_finished(id, effects);
    }

    /// Removes a chain that has its final answer and no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: ChainId, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get(&id) else { return };
        let is_idle = match &chain.phase {
            Phase::Leg(leg) => leg.in_flight.is_none(),
            // The end of a cancelled tool call has no consequence, so it is not awaited.
            Phase::Tool(_) => true,
        };
        if !chain.is_answered || !is_idle {
            return;
        }
        if let Phase::Leg(leg) = &chain.phase {
            self.chain_by_leg.remove(&leg.id);
        }
        self.chains.remove(&id);
        self.routing_keys.remove(&id);
        effects.push(Effect::Forget { chain: id });
    }
}
