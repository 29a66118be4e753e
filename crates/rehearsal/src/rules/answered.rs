//! Checks that every request that was sent gets exactly one final answer before its deadline, and that no attempt is
//! sent for it after that answer.
//!
//! A request whose client left needs no answer. Neither does a request whose connection was lost because its front
//! was killed, or because its front exited before it forwarded the request.

use std::collections::BTreeMap;

use elderstage_standin::traffic::{Record, TrafficEvent};

use super::{RuleLimits, RuleResult, client_request_id, kill_times};

/// A front that exits may close a connection on which a client has just written a request. A connection that is lost
/// within this time of the exit is not a violation, as long as no attempt was sent for the request.
const EXIT_CLOSE_WINDOW_US: u64 = 500_000;

#[derive(Default)]
struct Request<'a> {
    front: &'a str,
    sent_at: u64,
    answer_timeout: u64,
    final_answers: Vec<u64>,
    left_at: Option<u64>,
    lost_at: Option<u64>,
    last_received_at: Option<u64>,
}

/// Checks the rule on all records.
pub(super) fn check(records: &[Record], rule_limits: &RuleLimits) -> RuleResult {
    let mut verdict = RuleResult::new("answered once");
    let kill_times = kill_times(records);
    let mut requests: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    let mut exit_times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in records {
        match &record.what {
            TrafficEvent::Sent { rid, front, total, .. } => {
                let request =
                    Request { front, sent_at: record.at, answer_timeout: *total, ..Request::default() };
                requests.insert(rid, request);
            }
            TrafficEvent::Final { rid, .. } => {
                requests.entry(rid).or_default().final_answers.push(record.at);
            }
            TrafficEvent::Left { rid } => requests.entry(rid).or_default().left_at = Some(record.at),
            TrafficEvent::Lost { rid } => requests.entry(rid).or_default().lost_at = Some(record.at),
            TrafficEvent::Received { rid, .. } | TrafficEvent::ToolReceived { rid, .. } => {
                if let Some(request) = requests.get_mut(client_request_id(rid)) {
                    request.last_received_at = Some(record.at);
                }
            }
            TrafficEvent::Front { front, what } if what == "ended" => {
                exit_times.entry(front).or_default().push(record.at)
            }
            _ => {}
        }
    }
    for (rid, request) in &requests {
        verdict.cases_judged += 1;
        let deadline = request.sent_at + request.answer_timeout + rule_limits.answer_slack_us;
        match (request.final_answers.as_slice(), request.left_at, request.lost_at) {
            ([], Some(_), _) => {}
            ([], None, Some(lost_at)) => {
                let front_was_killed = kill_times
                    .get(request.front)
                    .is_some_and(|times| times.iter().any(|at| (request.sent_at..=lost_at).contains(at)));
                let closed_by_exit = request.last_received_at.is_none()
                    && exit_times.get(request.front).is_some_and(|times| {
                        times.iter().any(|at| at.abs_diff(lost_at) <= EXIT_CLOSE_WINDOW_US)
                    });
                if !front_was_killed && !closed_by_exit {
                    verdict.add_violation(lost_at, rid, "the connection ended without a final answer");
                }
            }
            ([], None, None) => verdict.add_violation(deadline, rid, "no final answer"),
            ([answered_at], ..) => {
                if *answered_at > deadline {
                    verdict.add_violation(
                        *answered_at,
                        rid,
                        format!("answered {} ms late", (answered_at - deadline) / 1000),
                    );
                }
                if let Some(received_at) =
                    request.last_received_at.filter(|at| *at > answered_at + rule_limits.answer_slack_us)
                {
                    verdict.add_violation(
                        received_at,
                        rid,
                        "an attempt or tool call was sent after its final answer",
                    );
                }
            }
            ([_, second, ..], ..) => verdict.add_violation(*second, rid, "more than one final answer"),
        }
    }
    verdict
}
