//! What a rehearsal came to: a table for people, JSON for programs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use comfy_table::{Cell, CellAlignment, ContentArrangement, Table, presets};
use elderstage_standin::traffic::{Record, Seen};
use serde_json::{Value, json};

use crate::clients::Tally;
use crate::day::{Day, Ended};
use crate::rules::{Verdict, client_request_id};

/// Broken rules that a table shows, each.
const SHOWN: usize = 5;

pub struct Report {
    pub name: String,
    pub planned: u64,
    pub tallies: BTreeMap<String, Tally>,
    pub verdicts: [Verdict; 5],
    /// Orders that the tool server has placed.
    pub effects: u64,
    pub faults: u64,
    /// Share of the engines' work that served no answer, of all that was sent to them.
    pub wasted: f64,
    /// Ends that the script bounds: which, at most, and how many there were.
    pub expected: Vec<(Ended, u64, u64)>,
    /// All fronts ended as told, and every step of the script could be done.
    pub clean: bool,
}

impl Report {
    pub(crate) fn new(
        day: &Day,
        records: &[Record],
        tallies: BTreeMap<String, Tally>,
        verdicts: [Verdict; 5],
        clean: bool,
    ) -> Report {
        let mut served = BTreeSet::new();
        let (mut effects, mut faults) = (0, 0);
        for record in records {
            match &record.what {
                Seen::Final { rid, outcome, .. } if outcome == "served" => {
                    served.insert(rid.as_str());
                }
                Seen::ToolRan { effect: true, .. } => effects += 1,
                Seen::Fault { .. } => faults += 1,
                _ => {}
            }
        }
        let (mut work, mut lost) = (0.0, 0.0);
        for record in records {
            if let Seen::Received { rid, work: amount, .. } = &record.what {
                work += amount;
                lost += if served.contains(client_request_id(rid)) { 0.0 } else { *amount };
            }
        }
        let wasted = if work > 0.0 { lost / work } else { 0.0 };
        let count = |ended| {
            let of = |tally: &Tally| match ended {
                Ended::Refused => tally.refused,
                Ended::Failed => tally.failed,
                Ended::Lost => tally.lost,
            };
            tallies.values().map(of).sum()
        };
        let expected = day.most.iter().map(|(ended, most)| (*ended, *most, count(*ended))).collect();
        Report {
            name: day.name.clone(),
            planned: day.load.requests,
            tallies,
            verdicts,
            effects,
            faults,
            wasted,
            expected,
            clean,
        }
    }

    /// All rules held and nothing else went wrong.
    pub fn good(&self) -> bool {
        let missing = self.tallies.values().any(|tally| tally.missing > 0);
        let expected = self.expected.iter().all(|(_, most, seen)| seen <= most);
        self.clean && !missing && expected && self.verdicts.iter().all(|verdict| verdict.broken.is_empty())
    }

    pub fn json(&self) -> Value {
        let routes = self.tallies.iter().map(|(route, tally)| {
            let quantiles = |h: &hdrhistogram::Histogram<u64>| {
                json!({"p50": h.value_at_quantile(0.5), "p90": h.value_at_quantile(0.9),
                       "p99": h.value_at_quantile(0.99), "max": h.max()})
            };
            let value = json!({
                "sent": tally.sent, "served": tally.served, "refused": tally.refused, "failed": tally.failed,
                "left": tally.left, "lost": tally.lost, "missing": tally.missing,
                "first_us": quantiles(&tally.first), "total_us": quantiles(&tally.total),
            });
            (route.clone(), value)
        });
        let rules = self.verdicts.iter().map(|verdict| {
            let broken = verdict.broken.iter().map(|violation| {
                json!({"at_us": violation.at_us, "of": violation.subject, "how": violation.description})
            });
            json!({"rule": verdict.rule, "judged": verdict.cases_judged, "broken": broken.collect::<Vec<_>>()})
        });
        json!({
            "rehearsal": self.name,
            "servers": "stand-ins",
            "planned": self.planned,
            "routes": routes.collect::<serde_json::Map<_, _>>(),
            "rules": rules.collect::<Vec<_>>(),
            "orders_placed": self.effects,
            "faults": self.faults,
            "work_wasted": self.wasted,
            "expected": self.expected.iter().map(|(ended, most, seen)| {
                json!({"end": format!("{ended:?}").to_lowercase(), "at_most": most, "seen": seen})
            }).collect::<Vec<_>>(),
            "clean": self.clean,
            "good": self.good(),
        })
    }
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header);
    table
}

fn right(text: impl ToString) -> Cell {
    Cell::new(text).set_alignment(CellAlignment::Right)
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
            let ms = |value: u64| right(format!("{:.1}", value as f64 / 1e3));
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
            row.extend(counts.map(right));
            for histogram in [&tally.first, &tally.total] {
                row.extend([0.5, 0.99].map(|q| ms(histogram.value_at_quantile(q))));
            }
            requests.add_row(row);
        }
        writeln!(f, "{requests}\n")?;
        let mut rules = table(&["rule", "judged", "broken", "verdict"]);
        for verdict in &self.verdicts {
            let said = match (verdict.broken.is_empty(), verdict.cases_judged) {
                (true, 0) => "not tried",
                (true, _) => "kept",
                (false, _) => "BROKEN",
            };
            let cells = [right(verdict.cases_judged), right(verdict.broken.len()), Cell::new(said)];
            rules.add_row([Cell::new(verdict.rule)].into_iter().chain(cells));
        }
        writeln!(f, "{rules}")?;
        for verdict in &self.verdicts {
            for violation in verdict.broken.iter().take(SHOWN) {
                writeln!(f, "  {}: {}: {}", verdict.rule, violation.subject, violation.description)?;
            }
        }
        writeln!(
            f,
            "\n{} orders placed, {} faults, {:.1}% of the engines' work served no answer",
            self.effects,
            self.faults,
            self.wasted * 100.0
        )?;
        for (ended, most, seen) in &self.expected {
            let said = if seen <= most { "as expected" } else { "NOT AS EXPECTED" };
            writeln!(f, "{seen} {}, at most {most}: {said}", format!("{ended:?}").to_lowercase())?;
        }
        if !self.clean {
            writeln!(f, "a front ended badly, or a step of the script could not be done")?;
        }
        Ok(())
    }
}
