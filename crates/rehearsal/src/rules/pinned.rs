//! Checks that no prefilled state stays held: while no attempt of its turn is in flight, it is taken or released
//! within the release deadline plus the connect timeout.
//!
//! The time without an attempt starts anew whenever an attempt ends. A state is exempt if its front was killed, or if
//! no client is known to have sent its request.

use std::collections::{BTreeMap, BTreeSet};

use elderstage_standin::traffic::{Record, TrafficEvent};

use super::{RuleLimits, RuleResult, client_request_id, fronts_by_request, kill_times, turn_id};

struct HeldState {
    held_since: u64,
    /// Since when no attempt of the turn is in flight.
    idle_since: Option<u64>,
}

/// Checks the rule on all records.
pub(super) fn check(records: &[Record], rule_limits: &RuleLimits) -> RuleResult {
    let mut verdict = RuleResult::new("nothing left pinned");
    let (kill_times, fronts) = (kill_times(records), fronts_by_request(records));
    // A front that was killed cannot release what it held.
    let is_exempt = |rid: &str, at: u64| {
        fronts.get(client_request_id(rid)).is_none_or(|(front, sent_at)| {
            kill_times.get(front).is_some_and(|times| times.iter().any(|time| (*sent_at..=at).contains(time)))
        })
    };
    let limit_us = rule_limits.release_deadline_us + rule_limits.connect_timeout_us;
    let mut held_states: BTreeMap<&str, HeldState> = BTreeMap::new();
    // Attempts in flight, by turn.
    let mut in_flight: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut judge_state = |rid: &str, state: HeldState, at: u64| {
        verdict.cases_judged += 1;
        let idle_since = state.idle_since.unwrap_or(at);
        if at.saturating_sub(idle_since) > limit_us && !is_exempt(rid, at) {
            let description =
                format!("its state waited {} ms with no attempt in flight", (at - idle_since) / 1000);
            verdict.add_violation(at, rid, description);
        }
    };
    for record in records {
        match &record.what {
            TrafficEvent::Received { rid, task, .. } if task != "read" => {
                in_flight.entry(turn_id(rid)).or_default().insert(rid);
                // The attempt ends the current idle time of the turn's states.
                let waiting: Vec<&str> =
                    held_states.keys().copied().filter(|id| turn_id(id) == turn_id(rid)).collect();
                for id in waiting {
                    if let Some(state) = held_states.get_mut(id)
                        && let Some(idle_since) = state.idle_since.take()
                        && record.at.saturating_sub(idle_since) > limit_us
                    {
                        let held_since = state.held_since;
                        judge_state(id, HeldState { held_since, idle_since: Some(idle_since) }, record.at);
                    }
                }
            }
            TrafficEvent::Answered { rid, .. } => {
                let has_attempts = in_flight.get_mut(turn_id(rid)).is_some_and(|attempts| {
                    attempts.remove(rid.as_str());
                    !attempts.is_empty()
                });
                if !has_attempts {
                    for (id, state) in &mut held_states {
                        if turn_id(id) == turn_id(rid) {
                            state.idle_since.get_or_insert(record.at);
                        }
                    }
                }
            }
            TrafficEvent::StateHeld { rid } => {
                let idle_since =
                    in_flight.get(turn_id(rid)).is_none_or(BTreeSet::is_empty).then_some(record.at);
                held_states.insert(rid, HeldState { held_since: record.at, idle_since });
            }
            TrafficEvent::StateTaken { rid }
            | TrafficEvent::StateReleased { rid }
            | TrafficEvent::ReleaseAsked { rid }
            | TrafficEvent::StateLost { rid } => {
                if let Some(state) = held_states.remove(rid.as_str()) {
                    judge_state(rid, state, record.at);
                }
            }
            _ => {}
        }
    }
    let end = records.last().map_or(0, |record| record.at);
    for (rid, state) in held_states {
        judge_state(rid, state, end);
    }
    verdict
}
