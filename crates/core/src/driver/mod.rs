//! The core's state machine: takes events, drives the router and emits effects.
//!
//! It does no I/O and reads no clock: the caller passes the time. Each chain that is submitted gets exactly
//! one [`Effect::Answer`], and then one [`Effect::Forget`] once none of its attempts is in flight.
//!
//! - `requests`: admission of requests, and the legs that are submitted to the router.
//! - `attempts`: attempts at engines, from the send to the end.
//! - `tools`: the tool calls of a turn.
//! - `ending`: final answers, and the removal of requests that have ended.
//! - `routing`: events for the router, and its actions.

mod attempts;
mod ending;
mod requests;
mod routing;
mod tools;

use std::collections::HashMap;

use elderstage::{Event as RouterEvent, ListMode, Outcome, RequestId, Router, TextKey, Time};

use crate::chain::{Chain, ChainId, Final, Reason};
use crate::counters::Counters;
use crate::estimate::Estimate;
use crate::evidence;
use crate::members::Members;
use crate::messages::{Effect, Event};
use crate::plan::Plan;
use crate::stage::Stage;
use crate::timers::{TimerPurpose, Timers};

/// What the router needs to know of the client of a request, for each of its legs.
#[derive(Clone, Debug, Default)]
struct RoutingKeys {
    session: Option<TextKey>,
    /// Key of the text that the prompt begins with.
    prefix: Option<TextKey>,
    tenant: usize,
}

/// The state of one front.
pub struct Core {
    plan: Plan,
    router: Router,
    members: Members,
    chains: HashMap<ChainId, Chain>,
    chain_by_leg: HashMap<RequestId, ChainId>,
    routing_keys: HashMap<ChainId, RoutingKeys>,
    /// One for each route.
    estimates: Vec<Estimate>,
    timers: Timers,
    last_leg_number: u32,
    is_draining: bool,
    counters: Counters,
}

impl Core {
    /// A core without servers or requests. `seed` seeds the router's random numbers.
    pub fn new(plan: Plan, seed: u64) -> Core {
        Core {
            router: Router::new(plan.settings.clone(), seed),
            members: Members::default(),
            chains: HashMap::new(),
            chain_by_leg: HashMap::new(),
            routing_keys: HashMap::new(),
            estimates: vec![Estimate::default(); plan.routes.len()],
            timers: Timers::default(),
            last_leg_number: 0,
            is_draining: false,
            counters: Counters::default(),
            plan,
        }
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of chains that have not been forgotten yet.
    pub fn request_count(&self) -> usize {
        self.chains.len()
    }

    /// Whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// When [`Core::handle_timers`] is due next.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Handles all timers that are due.
    pub fn handle_timers(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                TimerPurpose::Router(name) => self.notify_router(now, RouterEvent::Timer { name }, effects),
                TimerPurpose::Chain(chain) => self.give_up(now, chain, Reason::OutOfTime, effects),
            }
        }
    }

    /// Handles one event and appends the resulting effects to `effects`.
    pub fn handle(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submit(submit) => self.submit(now, submit, effects),
            Event::Streaming { chain, leg, attempt, took } => {
                self.attempt_streaming(now, chain, leg, attempt, took, effects)
            }
            Event::AttemptEnded { .. } => self.attempt_ended(now, event, effects),
            Event::ToolEnded { chain, call, end } => self.tool_ended(now, chain, call, end, effects),
            Event::ClientGone { chain } => {
                if self.chains.get(&chain).is_some_and(|c| !c.is_answered) {
                    self.finish(now, chain, Final::Gone, effects);
                }
            }
            Event::TooLong { chain } => self.give_up(now, chain, Reason::TooLong, effects),
            Event::Servers { mode, entries } => {
                let entries = self.members.apply_list(mode, entries);
                self.notify_router(now, RouterEvent::Servers { mode, entries }, effects);
            }
            Event::Probed { server, evidence, took, load } => {
                let outcome = evidence
                    .map_or(Outcome::Served, |evidence| evidence::classify(Stage::Whole, &evidence).0);
                self.notify_router(now, RouterEvent::Probed { server, outcome, took, load }, effects);
            }
            Event::Started { server, at, long_ago } => {
                if let Some(entry) = self.members.record_start(&server, at, long_ago) {
                    self.counters.restarts_seen += 1;
                    self.notify_router(
                        now,
                        RouterEvent::Servers { mode: ListMode::Changes, entries: vec![entry] },
                        effects,
                    );
                }
            }
            Event::Drain => self.is_draining = true,
            Event::Stop => {
                self.is_draining = true;
                let mut remaining: Vec<ChainId> = self.chains.keys().copied().collect();
                remaining.sort_unstable();
                for chain in remaining {
                    self.give_up(now, chain, Reason::Draining, effects);
                }
            }
        }
    }
}
