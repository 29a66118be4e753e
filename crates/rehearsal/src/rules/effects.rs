//! No effect happens twice, and a refusal is given only where trying again is harmless.

use std::collections::{BTreeMap, BTreeSet};

use elderstage_standin::traffic::{Record, Seen};

use super::{Figures, Repeat, Verdict, client, never_ran, turn};

/// Answers of a tool server that prove that a call did not run. It gives none of them so far.
const TOOL_NOT_RUN: &str = "not-run";

#[derive(Default)]
struct Turn {
    /// Attempts at writers: when each came, and whether it is proved not to have run.
    attempts: Vec<(u64, String, bool)>,
}

pub(super) fn judge(records: &[Record], figures: &Figures) -> Verdict {
    let mut verdict = Verdict::new("no effect twice");
    let mut classes: BTreeMap<&str, Repeat> = BTreeMap::new();
    let mut turns: BTreeMap<&str, Turn> = BTreeMap::new();
    // By call: tries of a tool with an effect, and the effects that it had.
    let mut calls: BTreeMap<&str, Vec<(u64, String, bool)>> = BTreeMap::new();
    let mut ran: BTreeMap<&str, u64> = BTreeMap::new();
    let mut had_effect: BTreeSet<&str> = BTreeSet::new();
    let mut refused: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reached: BTreeSet<&str> = BTreeSet::new();
    for record in records {
        // One attempt is one send, over whichever addresses of whichever server.
        if let Seen::Received { rid, .. } = &record.what
            && !reached.insert(rid)
        {
            verdict.broke(record.at, rid, "one attempt was received twice");
        }
        match &record.what {
            Seen::Sent { rid, class, .. } => {
                classes.insert(rid, figures.classes.get(class).copied().unwrap_or(Repeat::Unsafe));
            }
            Seen::Received { rid, task, .. } if task != "read" => {
                turns.entry(turn(rid)).or_default().attempts.push((record.at, rid.clone(), false));
            }
            Seen::Answered { rid, how } if never_ran(how) => {
                if let Some(turn) = turns.get_mut(turn(rid))
                    && let Some(attempt) = turn.attempts.iter_mut().rev().find(|(_, of, _)| of == rid)
                {
                    attempt.2 = true;
                }
            }
            Seen::ToolReceived { rid, effect: true, .. } => {
                calls.entry(call(rid)).or_default().push((record.at, rid.clone(), false));
            }
            Seen::ToolAnswered { rid, how } if how == TOOL_NOT_RUN => {
                if let Some(tries) = calls.get_mut(call(rid))
                    && let Some(one) = tries.iter_mut().rev().find(|(_, of, _)| of == rid)
                {
                    one.2 = true;
                }
            }
            Seen::ToolRan { rid, effect: true, .. } => {
                *ran.entry(call(rid)).or_default() += 1;
                had_effect.insert(client(rid));
                if ran.get(call(rid)).is_some_and(|times| *times > 1) {
                    verdict.broke(record.at, rid, "a tool call had its effect twice");
                }
            }
            Seen::Final { rid, outcome, .. } if outcome == "refused" => {
                refused.insert(rid, record.at);
            }
            _ => {}
        }
    }
    for (of, turn) in &turns {
        let class = classes.get(client(of)).copied().unwrap_or(Repeat::Unsafe);
        verdict.judged += 1;
        let mut may_have_run: Option<u64> = None;
        for (at, rid, proved) in &turn.attempts {
            if let Some(first) = may_have_run {
                match class {
                    Repeat::Safe => {}
                    Repeat::Keyed { memory } if *at <= first + memory => {}
                    Repeat::Keyed { .. } => {
                        verdict.broke(*at, rid, "sent again after the engines had forgotten its key");
                    }
                    Repeat::Unsafe => {
                        verdict.broke(*at, rid, "sent again after an attempt that may have run");
                    }
                }
            }
            if !proved {
                may_have_run = may_have_run.or(Some(*at));
            }
        }
        let request = client(of);
        if class == Repeat::Unsafe
            && may_have_run.is_some()
            && let Some(at) = refused.get(request)
        {
            verdict.broke(*at, request, "refused although an attempt may have run");
        }
    }
    for tries in calls.values() {
        verdict.judged += 1;
        for pair in tries.windows(2) {
            if !pair[0].2 {
                verdict.broke(pair[1].0, &pair[1].1, "a tool call with an effect was made again");
            }
        }
    }
    for (rid, at) in &refused {
        if had_effect.contains(rid) {
            verdict.broke(*at, rid, "refused although a tool had its effect");
        }
    }
    verdict
}

/// The call of a tool request id, `c17/1/t0` of `c17/1/t0.2`.
fn call(rid: &str) -> &str {
    rid.rfind('.').map_or(rid, |at| &rid[..at])
}
