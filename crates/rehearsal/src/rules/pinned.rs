//! Nothing is left pinned: a state that waits while no attempt of its request is out is taken or let go of in time.

use std::collections::{BTreeMap, BTreeSet};

use elderstage_standin::traffic::{Record, Seen};

use super::{Figures, Verdict, client, fronts, killed, turn};

struct Held {
    since: u64,
    /// When no attempt of the turn was out any more.
    idle: Option<u64>,
}

pub(super) fn judge(records: &[Record], figures: &Figures) -> Verdict {
    let mut verdict = Verdict::new("nothing left pinned");
    let (killed, fronts) = (killed(records), fronts(records));
    // What a front held when it was killed is not its to let go of.
    let excused = |rid: &str, at: u64| {
        fronts.get(client(rid)).is_none_or(|(front, sent)| {
            killed.get(front).is_some_and(|times| times.iter().any(|time| (*sent..=at).contains(time)))
        })
    };
    let limit = figures.let_go + figures.connect;
    let mut held: BTreeMap<&str, Held> = BTreeMap::new();
    // Attempts that are out, by turn.
    let mut out: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut judge_one = |rid: &str, held: Held, at: u64| {
        verdict.judged += 1;
        let idle = held.idle.unwrap_or(at);
        if at.saturating_sub(idle) > limit && !excused(rid, at) {
            let how = format!("its state waited {} ms with no attempt out", (at - idle) / 1000);
            verdict.broke(at, rid, how);
        }
    };
    for record in records {
        match &record.what {
            Seen::Received { rid, task, .. } if task != "read" => {
                out.entry(turn(rid)).or_default().insert(rid);
                // The present wait is over once an attempt is out.
                let waiting: Vec<&str> = held.keys().copied().filter(|of| turn(of) == turn(rid)).collect();
                for of in waiting {
                    if let Some(state) = held.get_mut(of)
                        && let Some(idle) = state.idle.take()
                        && record.at.saturating_sub(idle) > limit
                    {
                        let since = state.since;
                        judge_one(of, Held { since, idle: Some(idle) }, record.at);
                    }
                }
            }
            Seen::Answered { rid, .. } => {
                let busy = out.get_mut(turn(rid)).is_some_and(|attempts| {
                    attempts.remove(rid.as_str());
                    !attempts.is_empty()
                });
                if !busy {
                    for (of, state) in &mut held {
                        if turn(of) == turn(rid) {
                            state.idle.get_or_insert(record.at);
                        }
                    }
                }
            }
            Seen::StateHeld { rid } => {
                let idle = out.get(turn(rid)).is_none_or(BTreeSet::is_empty).then_some(record.at);
                held.insert(rid, Held { since: record.at, idle });
            }
            Seen::StateTaken { rid }
            | Seen::StateReleased { rid }
            | Seen::ReleaseAsked { rid }
            | Seen::StateLost { rid } => {
                if let Some(state) = held.remove(rid.as_str()) {
                    judge_one(rid, state, record.at);
                }
            }
            _ => {}
        }
    }
    let end = records.last().map_or(0, |record| record.at);
    for (rid, state) in held {
        judge_one(rid, state, end);
    }
    verdict
}
