//! Admission of requests, and the legs that are submitted to the router.

use elderstage::{Arrival, Event as RouterEvent, RequestId, TextKey, Time};

use super::{Core, RoutingKeys};
use crate::admission::{self, Rejection};
use crate::chain::{Chain, ChainId, Final, Leg, Phase, Reason};
use crate::messages::{Effect, NewRequest};
use crate::timers::TimerPurpose;

impl Core {
    pub(super) fn submit(&mut self, now: Time, submit: NewRequest, effects: &mut Vec<Effect>) {
        let chain = submit.chain;
        if let Err(rejection) = admission::admit(self.is_draining, self.chains.len(), &self.plan.limits) {
            self.counters.turned_away += 1;
            let reason = match rejection {
                Rejection::Draining => Reason::Draining,
                Rejection::Full => Reason::FrontFull,
            };
            let retry_after = self.plan.limits.retry_after;
            effects.push(Effect::Answer { chain, final_answer: Final::Refused { reason, retry_after } });
            effects.push(Effect::Forget { chain });
            return;
        }
        self.counters.admitted += 1;
        let class = self.plan.routes[submit.route].class;
        let plan = &self.plan.classes[class];
        let tokens = self.estimates[submit.route].tokens(submit.prompt_bytes);
        let first_token_limit =
            plan.first_token_limit + (plan.first_token_limit_per_1000 * tokens / 1000.0) as Time;
        let deadline = now + plan.request_limit;
        self.timers.set(deadline, TimerPurpose::Chain(chain));
        let shared_bytes = submit.shared_prefix.as_ref().map_or(0, |(_, bytes)| *bytes);
        let key = |text: String| TextKey(text.into());
        let prefix = submit.shared_prefix.map(|(name, _)| key(name));
        // A request on a route with tools gets a session of its own if it names none: the router then reads
        // its next leg on the server that keeps the first.
        let tools = !self.plan.routes[submit.route].tools.is_empty();
        let session = submit.session.or_else(|| tools.then(|| format!("request {}", chain.0)));
        let keys = RoutingKeys { session: session.map(key), prefix, tenant: submit.tenant };
        self.routing_keys.insert(chain, keys);
        let new_chain = Chain {
            route: submit.route,
            class,
            arrived: now,
            deadline,
            first_token_limit,
            bytes: submit.prompt_bytes,
            shared_bytes,
            legs: 0,
            calls: Vec::new(),
            next_call: 0,
            may_have_had_effect: false,
            may_have_run: false,
            phase: Phase::Leg(Leg::new(RequestId(0))),
            given_up_for: None,
            is_answered: false,
        };
        self.chains.insert(chain, new_chain);
        self.start_leg(now, chain, submit.is_repeat, effects);
    }

    /// Submits the next turn to the router as a request of its own, with the time that is left.
    pub(super) fn start_leg(&mut self, now: Time, id: ChainId, repeat: bool, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let route = &self.plan.routes[chain.route];
        if chain.legs >= route.max_legs {
            return self.give_up(now, id, Reason::TooManyTurns, effects);
        }
        self.last_leg_number = self.last_leg_number.wrapping_add(1);
        let leg = RequestId(self.last_leg_number);
        chain.legs += 1;
        chain.phase = Phase::Leg(Leg::new(leg));
        self.chain_by_leg.insert(leg, id);
        self.counters.legs += 1;
        let estimate = &self.estimates[chain.route];
        let prompt = estimate.tokens(chain.bytes);
        let shared =
            if chain.shared_bytes > 0 { estimate.tokens(chain.shared_bytes).min(prompt) } else { 0.0 };
        let tpot = self.plan.settings.classes[chain.class].tpot_target;
        let RoutingKeys { session, prefix, tenant } = self.routing_keys.get(&id).cloned().unwrap_or_default();
        let arrival = Arrival {
            id: leg,
            class: chain.class,
            tenant,
            session,
            prefix,
            time_left: chain.first_token_limit.min(chain.deadline.saturating_sub(now)),
            output_time_hint: (estimate.answer_tokens() * tpot) as Time,
            prompt_tokens: prompt,
            shared_tokens: shared,
            max_output_tokens: route.max_tokens,
            is_repeat: repeat,
            // The session key leads a later leg to its reader; `returned` is for sessions that come back
            // after a break.
            is_resumed: false,
        };
        self.notify_router(now, RouterEvent::Arrived(arrival), effects);
    }
}
