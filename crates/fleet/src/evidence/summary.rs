//! The fleet's counts by group, with what silent members are charged.

use std::collections::BTreeMap;

use elderstage_tally::{Counts, Key};
use serde::{Deserialize, Serialize};

use super::store::ReportStore;
use crate::{Micros, SECOND};

/// A member whose reports are older than this is silent: five reports have not come.
pub const SILENT_AFTER: Micros = 5 * SECOND;

/// One group over all members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupCounts {
    pub counts: Counts,
    /// Members that counted here, and how many of them are silent.
    pub members: u32,
    pub silent: u32,
    /// Requests that silent members would have been asked since, at the pace they had: counted as failed by whoever
    /// judges. What a silent member did is not known, and a change that silences its members must not look good.
    #[serde(rename = "unheard")]
    pub unreported: u64,
}

impl GroupCounts {
    /// Share of ended requests that were served in time, silent members' unheard ones among the rest.
    pub fn in_time_share(&self) -> Option<f64> {
        let total = self.counts.ended().saturating_add(self.unreported);
        (total > 0).then(|| self.counts.in_time as f64 / total as f64)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceSummary {
    pub groups: BTreeMap<Key, GroupCounts>,
    pub members: u32,
    pub silent: u32,
}

impl EvidenceSummary {
    pub fn of(store: &ReportStore, now: Micros) -> EvidenceSummary {
        let mut summary = EvidenceSummary::default();
        for (_, reports) in store.members() {
            let silence = now.saturating_sub(reports.last_report_at);
            let silent = silence > SILENT_AFTER;
            summary.members += 1;
            summary.silent += u32::from(silent);
            // What was told in a single report took at least the time between two.
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
                // Only what it last served under goes on being charged.
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
