//! The report of a rehearsal, as tables and as JSON.
//!
//! Counts come from the clients, violations from the rules checker; nothing is judged here but whether the script's
//! limits were kept.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use comfy_table::{Cell, CellAlignment, ContentArrangement, Table, presets};
use elderstage_standin::traffic::{Record, TrafficEvent};
use serde_json::{Value, json};

use crate::clients::RouteTally;
use crate::day::{Day, LimitedOutcome};
use crate::rules::{RuleResult, client_request_id};

/// Number of violations that the printed report shows for each rule.
const MAX_VIOLATIONS_SHOWN: usize = 5;

/// The result of a rehearsal.
pub struct Report {
    /// Name of the day.
    pub name: String,
    /// Number of requests that were planned.
    pub planned: u64,
    /// Counts and latencies by route.
    pub tallies: BTreeMap<String, RouteTally>,
    /// The result of each rule's check.
    pub verdicts: [RuleResult; 5],
    /// Orders that the tool server placed.
    pub orders_placed: u64,
    /// Faults that began or ended.
    pub faults: u64,
    /// Share of the work sent to the engines whose request was not served.
    pub wasted_work_share: f64,
    /// Outcomes that the script limits: which, the limit, and the number that occurred.
    pub outcome_limits: Vec<(LimitedOutcome, u64, u64)>,
    /// Whether all fronts exited in an orderly way and every step of the script succeeded.
    pub is_clean: bool,
}

impl Report {
    /// Summarizes a finished day.
    pub(crate) fn new(
        day: &Day,
        records: &[Record],
        tallies: BTreeMap<String, RouteTally>,
        verdicts: [RuleResult; 5],
        is_clean: bool,
    ) -> Report {
        let mut served = BTreeSet::new();
        let (mut orders_placed, mut faults) = (0, 0);
        for record in records {
            match &record.what {
                TrafficEvent::Final { rid, outcome, .. } if outcome == "served" => {
                    served.insert(rid.as_str());
                }
                TrafficEvent::ToolRan { effect: true, .. } => orders_placed += 1,
                TrafficEvent::Fault { .. } => faults += 1,
                _ => {}
            }
        }
        let (mut total_work, mut wasted_work) = (0.0, 0.0);
        for record in records {
            if let TrafficEvent::Received { rid, work: amount, .. } = &record.what {
                total_work += amount;
                wasted_work += if served.contains(client_request_id(rid)) { 0.0 } else { *amount };
            }
        }
        let wasted_work_share = if total_work > 0.0 { wasted_work / total_work } else { 0.0 };
        let count = |outcome| {
            let count_of_route = |tally: &RouteTally| match outcome {
                LimitedOutcome::Refused => tally.refused,
                LimitedOutcome::Failed => tally.failed,
                LimitedOutcome::Lost => tally.lost,
            };
            tallies.values().map(count_of_route).sum()
        };
        let outcome_limits =
            day.outcome_limits.iter().map(|(outcome, limit)| (*outcome, *limit, count(*outcome))).collect();
        Report {
            name: day.name.clone(),
            planned: day.load.requests,
            tallies,
            verdicts,
            orders_placed,
            faults,
            wasted_work_share,
            outcome_limits,
            is_clean,
        }
    }

    /// Whether no rule was broken, no answer is missing, the script's limits were kept and the run was clean.
    pub fn passed(&self) -> bool {
        let has_missing = self.tallies.values().any(|tally| tally.missing > 0);
        let limits_kept = self.outcome_limits.iter().all(|(_, limit, count)| count <= limit);
        self.is_clean
            && !has_missing
            && limits_kept
            && self.verdicts.iter().all(|verdict| verdict.violations.is_empty())
    }

    /// The report as JSON.
    pub fn json(&self) -> Value {
        let routes = self.tallies.iter().map(|(route, tally)| {
            let quantiles = |histogram: &hdrhistogram::Histogram<u64>| {
                json!({"p50": histogram.value_at_quantile(0.5), "p90": histogram.value_at_quantile(0.9),
                       "p99": histogram.value_at_quantile(0.99), "max": histogram.max()})
            };
            let value = json!({
                "sent": tally.sent, "served": tally.served, "refused": tally.refused, "failed": tally.failed,
                "left": tally.left, "lost": tally.lost, "missing": tally.missing,
                "first_us": quantiles(&tally.first_text_us), "total_us": quantiles(&tally.total_us),
            });
            (route.clone(), value)
        });
        let rules = self.verdicts.iter().map(RuleResult::json);
        json!({
            "rehearsal": self.name,
            "servers": "stand-ins",
            "planned": self.planned,
            "routes": routes.collect::<serde_json::Map<_, _>>(),
            "rules": rules.collect::<Vec<_>>(),
            "orders_placed": self.orders_placed,
            "faults": self.faults,
            "work_wasted": self.wasted_work_share,
            "expected": self.outcome_limits.iter().map(|(outcome, limit, count)| {
                json!({"end": format!("{outcome:?}").to_lowercase(), "at_most": limit, "seen": count})
            }).collect::<Vec<_>>(),
            "clean": self.is_clean,
            "good": self.passed(),
        })
    }
}

pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header);
    table
}

pub(crate) fn right_aligned(text: impl ToString) -> Cell {
    Cell::new(text).set_alignment(CellAlignment::Right)
}

/// Writes the results of the rules as a table, and the first violations.
pub(crate) fn write_rules(f: &mut fmt::Formatter<'_>, results: &[RuleResult]) -> fmt::Result {
    let mut rules = table(&["rule", "judged", "broken", "verdict"]);
    for verdict in results {
        let result = match (verdict.violations.is_empty(), verdict.cases_judged) {
            (true, 0) => "not tried",
            (true, _) => "kept",
            (false, _) => "BROKEN",
        };
        let cells =
            [right_aligned(verdict.cases_judged), right_aligned(verdict.violations.len()), Cell::new(result)];
        rules.add_row([Cell::new(verdict.rule)].into_iter().chain(cells));
    }
    writeln!(f, "{rules}")?;
    for verdict in results {
        for violation in verdict.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
            writeln!(f, "  {}: {}: {}", verdict.rule, violation.subject, violation.description)?;
        }
    }
    Ok(())
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Rehearsal {} (stand-in engines, loopback)\n", self.name)?;
        let mut requests = table(&[
            "route",
            "sent",
            "served",
            "refused",
            "failed",
            "left",
            "lost",
            "missing",
            "first ms p50",
            "p99",
            "total ms p50",
            "p99",
        ]);
        for (route, tally) in &self.tallies {
            let ms = |value: u64| right_aligned(format!("{:.1}", value as f64 / 1e3));
            let counts = [
                tally.sent,
                tally.served,
                tally.refused,
                tally.failed,
                tally.left,
                tally.lost,
                tally.missing,
            ];
            let mut row = vec![Cell::new(route)];
            row.extend(counts.map(right_aligned));
            for histogram in [&tally.first_text_us, &tally.total_us] {
                row.extend([0.5, 0.99].map(|q| ms(histogram.value_at_quantile(q))));
            }
            requests.add_row(row);
        }
        writeln!(f, "{requests}\n")?;
        write_rules(f, &self.verdicts)?;
        writeln!(
            f,
            "\n{} orders placed, {} faults, {:.1}% of the engines' work served no answer",
            self.orders_placed,
            self.faults,
            self.wasted_work_share * 100.0
        )?;
        for (outcome, limit, count) in &self.outcome_limits {
            let result = if count <= limit { "as expected" } else { "NOT AS EXPECTED" };
            writeln!(f, "{count} {}, at most {limit}: {result}", format!("{outcome:?}").to_lowercase())?;
        }
        if !self.is_clean {
            writeln!(f, "a front did not exit cleanly, or a step of the script failed")?;
        }
        Ok(())
    }
}
