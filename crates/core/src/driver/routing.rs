//! Events for the router, and its actions.

use elderstage::{Action, Event as RouterEvent, RequestId, Time};

use super::Core;
use crate::chain::{Chain, ChainId, Final, Phase, Reason};
use crate::messages::Effect;
use crate::timers::TimerPurpose;

impl Core {
    pub(super) fn notify_router(&mut self, now: Time, event: RouterEvent, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            self.apply_action(now, action, effects);
        }
    }

    pub(super) fn apply_action(&mut self, now: Time, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Timer { after, name } => self.timers.set(now + after, TimerPurpose::Router(name)),
            Action::Probe { server } => {
                self.counters.probes += 1;
                effects.push(Effect::Probe { server });
            }
            Action::Send { id, server, timeout } => self.send_attempt(id, server, timeout, effects),
            Action::Cancel { id, attempt } => {
                if let Some((chain, chain_state)) = self.chain_of_leg(id) {
                    effects.push(Effect::Cancel { chain, turn: chain_state.legs, attempt });
                }
            }
            Action::Release { id } => {
                let Some(chain_id) = self.chain_by_leg.get(&id).copied() else { return };
                let Some(chain) = self.chains.get_mut(&chain_id) else { return };
                let Phase::Leg(leg) = &mut chain.phase else { return };
                if leg.id != id {
                    return;
                }
                if let Some((server, attempt)) = leg.kept_state.take() {
                    self.counters.releases += 1;
                    effects.push(Effect::Release { chain: chain_id, turn: chain.legs, attempt, server });
                }
            }
            Action::Refuse { id, retry_after } => {
                let Some((chain_id, chain)) = self.chain_of_leg(id) else { return };
                let last = chain.final_for_refusal(self.repeat_policy(chain), retry_after);
                self.finish(now, chain_id, last, effects);
            }
            Action::Fail { id } => {
                let Some((chain_id, _)) = self.chain_of_leg(id) else { return };
                self.finish(now, chain_id, Final::Failed { reason: Reason::MayHaveRun }, effects);
            }
            // The front receives the list without asking for it, and this front does not move streams.
            Action::Subscribe | Action::Move { .. } => {}
        }
    }

    pub(super) fn chain_of_leg(&self, leg: RequestId) -> Option<(ChainId, &Chain)> {
        let id = *self.chain_by_leg.get(&leg)?;
        Some((id, self.chains.get(&id)?))
    }
}
