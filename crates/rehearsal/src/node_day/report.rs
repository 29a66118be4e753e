//! The report of a node's day, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Value, json};

use super::clients::ClientRecord;
use super::script::NodeDay;
use crate::report::{right_aligned, table, write_rules};
use crate::rules::RuleResult;

/// How the requests of one case ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CaseTally {
    /// Requests that were taken.
    pub sent: u64,
    /// With a whole stream.
    pub served: u64,
    /// With status 429 or 503.
    pub refused: u64,
    /// With another status.
    pub failed: u64,
    /// With a stream that broke.
    pub broken: u64,
}

/// The result of a node's day.
pub struct NodeReport {
    /// Name of the day.
    pub name: String,
    /// Number of requests that were planned.
    pub planned: u64,
    /// How requests ended, by case.
    pub tallies: BTreeMap<String, CaseTally>,
    /// The result of each rule's check.
    pub rules: Vec<RuleResult>,
    /// Whether each process of the node that was told to end has exited successfully.
    pub is_clean: bool,
}

impl NodeReport {
    /// Summarizes a finished day.
    pub(crate) fn new(
        day: &NodeDay,
        clients: &[ClientRecord],
        rules: Vec<RuleResult>,
        is_clean: bool,
    ) -> NodeReport {
        let mut tallies: BTreeMap<String, CaseTally> = BTreeMap::new();
        for client in clients {
            let tally = tallies.entry(client.case.clone()).or_default();
            tally.sent += 1;
            let count = match client.status {
                200 if client.is_complete => &mut tally.served,
                200 => &mut tally.broken,
                429 | 503 => &mut tally.refused,
                _ => &mut tally.failed,
            };
            *count += 1;
        }
        NodeReport { name: day.name.clone(), planned: day.load.requests, tallies, rules, is_clean }
    }

    /// Whether requests were taken, no rule was broken and the node exited as it should.
    pub fn passed(&self) -> bool {
        self.is_clean && !self.tallies.is_empty() && self.rules.iter().all(|rule| rule.violations.is_empty())
    }

    /// The report as JSON.
    pub fn json(&self) -> Value {
        let cases = self.tallies.iter().map(|(case, tally)| {
            let value = json!({"sent": tally.sent, "served": tally.served, "refused": tally.refused,
                "failed": tally.failed, "broken": tally.broken});
            (case.clone(), value)
        });
        json!({
            "rehearsal": self.name,
            "servers": "mocks",
            "planned": self.planned,
            "cases": cases.collect::<serde_json::Map<_, _>>(),
            "rules": self.rules.iter().map(RuleResult::json).collect::<Vec<_>>(),
            "clean": self.is_clean,
            "good": self.passed(),
        })
    }
}

impl fmt::Display for NodeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Rehearsal {} (one node, mock engines, loopback)\n", self.name)?;
        let mut requests = table(&["case", "sent", "served", "refused", "failed", "broken"]);
        for (case, tally) in &self.tallies {
            let counts = [tally.sent, tally.served, tally.refused, tally.failed, tally.broken];
            let mut row = vec![comfy_table::Cell::new(case)];
            row.extend(counts.map(right_aligned));
            requests.add_row(row);
        }
        writeln!(f, "{requests}\n")?;
        write_rules(f, &self.rules)?;
        if !self.is_clean {
            writeln!(f, "the node did not exit successfully")?;
        }
        Ok(())
    }
}
