//! Every request taken gets exactly one final answer in time, and nothing more is sent for it after that.

use std::collections::BTreeMap;

use elderstage_standin::traffic::{Record, Seen};

use super::{Figures, Verdict, client, killed};

/// A front that ended may have closed a connection on which a request had just been written.
const CLOSING: u64 = 500_000;

#[derive(Default)]
struct Request<'a> {
    front: &'a str,
    sent: u64,
    total: u64,
    finals: Vec<u64>,
    left: Option<u64>,
    lost: Option<u64>,
    last_received: Option<u64>,
}

pub(super) fn judge(records: &[Record], figures: &Figures) -> Verdict {
    let mut verdict = Verdict::new("answered once");
    let killed = killed(records);
    let mut requests: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    let mut ended: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in records {
        match &record.what {
            Seen::Sent { rid, front, total, .. } => {
                let request = Request { front, sent: record.at, total: *total, ..Request::default() };
                requests.insert(rid, request);
            }
            Seen::Final { rid, .. } => {
                requests.entry(rid).or_default().finals.push(record.at);
            }
            Seen::Left { rid } => requests.entry(rid).or_default().left = Some(record.at),
            Seen::Lost { rid } => requests.entry(rid).or_default().lost = Some(record.at),
            Seen::Received { rid, .. } | Seen::ToolReceived { rid, .. } => {
                if let Some(request) = requests.get_mut(client(rid)) {
                    request.last_received = Some(record.at);
                }
            }
            Seen::Front { front, what } if what == "ended" => ended.entry(front).or_default().push(record.at),
            _ => {}
        }
    }
    for (rid, request) in &requests {
        verdict.judged += 1;
        let due = request.sent + request.total + figures.answer_slack;
        match (request.finals.as_slice(), request.left, request.lost) {
            ([], Some(_), _) => {}
            ([], None, Some(lost)) => {
                let was_killed = killed
                    .get(request.front)
                    .is_some_and(|at| at.iter().any(|at| (request.sent..=lost).contains(at)));
                let closed = request.last_received.is_none()
                    && ended
                        .get(request.front)
                        .is_some_and(|at| at.iter().any(|at| at.abs_diff(lost) <= CLOSING));
                if !was_killed && !closed {
                    verdict.broke(lost, rid, "the connection ended without a final answer");
                }
            }
            ([], None, None) => verdict.broke(due, rid, "no final answer"),
            ([at], ..) => {
                if *at > due {
                    verdict.broke(*at, rid, format!("answered {} ms late", (at - due) / 1000));
                }
                if let Some(received) = request.last_received.filter(|r| *r > at + figures.answer_slack) {
                    verdict.broke(received, rid, "sent on after its final answer");
                }
            }
            ([_, second, ..], ..) => verdict.broke(*second, rid, "more than one final answer"),
        }
    }
    verdict
}
