//! The fleet's counts by group, with an estimate of what silent members have not reported.

use std::collections::BTreeMap;

use elderstage_tally::{GroupKey, OutcomeCounts};
use serde::{Deserialize, Serialize};

use super::store::ReportStore;
use crate::{Micros, SECOND};

/// A member is silent if its last report is older than this: five reports are missing.
pub const SILENT_AFTER: Micros = 5 * SECOND;

/// Counts of one group over all members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupCounts {
    pub counts: OutcomeCounts,
    /// Members that have counts in this group, and how many of them are silent.
    pub members: u32,
    pub silent: u32,
    /// Estimated requests of silent members since their last report, at their previous rate. They count as not served
    /// in time: what a silent member did is unknown, and a change that silences its members must not look good.
    #[serde(rename = "unheard")]
    pub unreported: u64,
}

impl GroupCounts {
    /// Share of ended requests that were served in time; the unreported ones count as not in time.
    pub fn in_time_share(&self) -> Option<f64> {
        let total = self.counts.ended().saturating_add(self.unreported);
        (total > 0).then(|| self.counts.in_time as f64 / total as f64)
    }
}

/// Counts of all groups and the number of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceSummary {
    pub groups: BTreeMap<GroupKey, GroupCounts>,
    pub members: u32,
    pub silent: u32,
}

impl EvidenceSummary {
    /// Sums the reports of a store at the time `now`.
    pub fn from_store(store: &ReportStore, now: Micros) -> EvidenceSummary {
        let mut summary = EvidenceSummary::default();
        for (_, reports) in store.members() {
            let silence = now.saturating_sub(reports.last_report_at);
            let silent = silence > SILENT_AFTER;
            summary.members += 1;
            summary.silent += u32::from(silent);
            // The counts of a single report span at least the interval between two reports.
            let span = reports.last_report_at.saturating_sub(reports.first_report_at).max(SECOND);
            let current = reports.current().map(|(_, boot)| &boot.tally);
            for (key, counts) in reports.total().groups() {
                let group = summary.groups.entry(key.clone()).or_default();
                group.counts.add(counts);
                group.members += 1;
                if !silent {
                    continue;
                }
                group.silent += 1;
                // Only groups of the current boot are estimated further.
                let is_current =
                    current.is_some_and(|tally| tally.groups().any(|(other_key, _)| other_key == key));
                if is_current {
                    let requests_per_micro = counts.asked as f64 / span as f64;
                    group.unreported =
                        group.unreported.saturating_add((requests_per_micro * silence as f64) as u64);
                }
            }
        }
        summary
    }
}
