//! Checks that no effect happens twice, and that a request is refused only where the client can safely send it again.
//!
//! A request of an unsafe class must not be sent to a writer again after an attempt that may have run. A keyed one
//! may be, as long as the engines still remember its key; it is not refused either, since a client's next try has
//! another key. Tool calls with an effect are never repeated unless the
//! tool server proves that the call did not run.

use std::collections::{BTreeMap, BTreeSet};

use elderstage_standin::traffic::{Record, TrafficEvent};

use super::{RepeatPolicy, RuleLimits, RuleResult, client_request_id, proves_not_run, turn_id};

/// The answer of a tool server that proves that a call did not run. The mock tool server never gives it yet.
const TOOL_NOT_RUN: &str = "not-run";

#[derive(Default)]
struct Turn {
    /// Attempts at writers: when each was received, its request id, and whether it is proven not to have run.
    attempts: Vec<(u64, String, bool)>,
}

/// Checks the rule on all records.
pub(super) fn check(records: &[Record], rule_limits: &RuleLimits) -> RuleResult {
    let mut verdict = RuleResult::new("no effect twice");
    let mut policies: BTreeMap<&str, RepeatPolicy> = BTreeMap::new();
    let mut turns: BTreeMap<&str, Turn> = BTreeMap::new();
    // By tool call with an effect: its attempts, as in `Turn::attempts`, and the number of effects that it had.
    let mut call_attempts: BTreeMap<&str, Vec<(u64, String, bool)>> = BTreeMap::new();
    let mut effect_counts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut requests_with_effect: BTreeSet<&str> = BTreeSet::new();
    let mut refused_at: BTreeMap<&str, u64> = BTreeMap::new();
    let mut received_ids: BTreeSet<&str> = BTreeSet::new();
    for record in records {
        // An attempt is sent once, whatever the number of servers and addresses that it could go to.
        if let TrafficEvent::Received { rid, .. } = &record.what
            && !received_ids.insert(rid)
        {
            verdict.add_violation(record.at, rid, "one attempt was received twice");
        }
        match &record.what {
            TrafficEvent::Sent { rid, class, .. } => {
                policies.insert(rid, rule_limits.classes.get(class).copied().unwrap_or(RepeatPolicy::Unsafe));
            }
            TrafficEvent::Received { rid, task, .. } if task != "read" => {
                turns.entry(turn_id(rid)).or_default().attempts.push((record.at, rid.clone(), false));
            }
            TrafficEvent::Answered { rid, how } if proves_not_run(how) => {
                if let Some(turn) = turns.get_mut(turn_id(rid))
                    && let Some(attempt) = turn.attempts.iter_mut().rev().find(|(_, id, _)| id == rid)
                {
                    attempt.2 = true;
                }
            }
            TrafficEvent::ToolReceived { rid, effect: true, .. } => {
                call_attempts.entry(tool_call_id(rid)).or_default().push((record.at, rid.clone(), false));
            }
            TrafficEvent::ToolAnswered { rid, how } if how == TOOL_NOT_RUN => {
                if let Some(attempts) = call_attempts.get_mut(tool_call_id(rid))
                    && let Some(attempt) = attempts.iter_mut().rev().find(|(_, id, _)| id == rid)
                {
                    attempt.2 = true;
                }
            }
            TrafficEvent::ToolRan { rid, effect: true, .. } => {
                *effect_counts.entry(tool_call_id(rid)).or_default() += 1;
                requests_with_effect.insert(client_request_id(rid));
                if effect_counts.get(tool_call_id(rid)).is_some_and(|count| *count > 1) {
                    verdict.add_violation(record.at, rid, "a tool call had its effect twice");
                }
            }
            TrafficEvent::Final { rid, outcome, .. } if outcome == "refused" => {
                refused_at.insert(rid, record.at);
            }
            _ => {}
        }
    }
    for (turn_id, turn) in &turns {
        let policy = policies.get(client_request_id(turn_id)).copied().unwrap_or(RepeatPolicy::Unsafe);
        verdict.cases_judged += 1;
        let mut may_have_run_at: Option<u64> = None;
        for (at, rid, is_proven_not_run) in &turn.attempts {
            if let Some(first_at) = may_have_run_at {
                match policy {
                    RepeatPolicy::Safe => {}
                    RepeatPolicy::Keyed { memory_us } if *at <= first_at + memory_us => {}
                    RepeatPolicy::Keyed { .. } => {
                        verdict.add_violation(*at, rid, "sent again after the engines had forgotten its key");
                    }
                    RepeatPolicy::Unsafe => {
                        verdict.add_violation(*at, rid, "sent again after an attempt that may have run");
                    }
                }
            }
            if !is_proven_not_run {
                may_have_run_at = may_have_run_at.or(Some(*at));
            }
        }
        let request_id = client_request_id(turn_id);
        // The engines would not know the client's next try by its key, which the front makes anew.
        if policy != RepeatPolicy::Safe
            && may_have_run_at.is_some()
            && let Some(at) = refused_at.get(request_id)
        {
            verdict.add_violation(*at, request_id, "refused although an attempt may have run");
        }
    }
    for attempts in call_attempts.values() {
        verdict.cases_judged += 1;
        for pair in attempts.windows(2) {
            if !pair[0].2 {
                verdict.add_violation(pair[1].0, &pair[1].1, "a tool call with an effect was made again");
            }
        }
    }
    for (rid, at) in &refused_at {
        if requests_with_effect.contains(rid) {
            verdict.add_violation(*at, rid, "refused although a tool had its effect");
        }
    }
    verdict
}

/// The part of a tool request id that names the call, without the attempt: `c17/1/t0` of `c17/1/t0.2@...`.
fn tool_call_id(rid: &str) -> &str {
    rid.rfind('.').map_or(rid, |at| &rid[..at])
}
