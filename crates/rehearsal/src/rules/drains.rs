//! Checks that no server gets new work later than the grace period after the fronts were told that it drains or is
//! gone.

use std::collections::BTreeMap;

use elderstage_standin::traffic::{Record, TrafficEvent};

use super::{RuleLimits, RuleResult};

/// Checks the rule on all records.
pub(super) fn check(records: &[Record], rule_limits: &RuleLimits) -> RuleResult {
    let mut verdict = RuleResult::new("drains kept");
    // By server: since when it is listed as draining or gone.
    let mut closed_since: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        match &record.what {
            TrafficEvent::Listed { servers } => {
                for (server, state) in servers {
                    if state == "running" {
                        closed_since.remove(server.as_str());
                    } else if !closed_since.contains_key(server.as_str()) {
                        closed_since.insert(server, record.at);
                        verdict.cases_judged += 1;
                    }
                }
            }
            TrafficEvent::Received { rid, .. } => {
                if let Some(since) = closed_since.get(record.who.as_str())
                    && record.at > since + rule_limits.drain_grace_us
                {
                    let description =
                        format!("sent to {} {} ms after its drain", record.who, (record.at - since) / 1000);
                    verdict.add_violation(record.at, rid, description);
                }
            }
            _ => {}
        }
    }
    verdict
}
