//! No cold server is pushed over: what all fronts together send it stays under a multiple of what it can do.

use std::collections::{BTreeMap, VecDeque};

use elderstage_standin::traffic::{Record, Seen};

use super::{Figures, Verdict};

/// Room for chance: a window may pass its budget by this share.
const CHANCE: f64 = 0.1;
/// The rule is broken if this share of the work came from fronts that had been told of the start.
const TOLD_SHARE: f64 = 2.0 / 3.0;

struct Cold {
    since: u64,
    cold_from: f64,
    cold_for: u64,
    multiple: f64,
    window: u64,
    told: Option<u64>,
    /// Work of the present window, with its time.
    work: VecDeque<(u64, f64)>,
    broken: bool,
}

pub(super) fn judge(records: &[Record], figures: &Figures) -> Verdict {
    let mut verdict = Verdict::new("no cold server pushed over");
    let mut cold: BTreeMap<&str, Cold> = BTreeMap::new();
    for record in records {
        let who = record.who.as_str();
        match &record.what {
            Seen::Up { cold: true, cold_from, cold_for, fall_multiple, tip_after } => {
                verdict.judged += 1;
                let server = Cold {
                    since: record.at,
                    cold_from: *cold_from,
                    cold_for: *cold_for,
                    multiple: *fall_multiple,
                    window: *tip_after,
                    told: None,
                    work: VecDeque::new(),
                    broken: false,
                };
                cold.insert(who, server);
            }
            Seen::Up { cold: false, .. } | Seen::Down => {
                cold.remove(who);
            }
            Seen::Listed { servers } => {
                for (server, state) in servers {
                    if let Some(cold) = cold.get_mut(server.as_str())
                        && state == "running"
                    {
                        cold.told.get_or_insert(record.at + figures.list_delay);
                    }
                }
            }
            Seen::FellOver => verdict.broke(record.at, who, "it fell over"),
            Seen::Received { work, .. } => {
                let Some(server) = cold.get_mut(who) else { continue };
                let age = record.at.saturating_sub(server.since);
                if age > server.cold_for {
                    continue;
                }
                server.work.push_back((record.at, *work));
                while server.work.front().is_some_and(|(at, _)| at + server.window < record.at) {
                    server.work.pop_front();
                }
                let warmth =
                    server.cold_from + (1.0 - server.cold_from) * age as f64 / server.cold_for.max(1) as f64;
                let budget = server.multiple * warmth * server.window as f64 * (1.0 + CHANCE);
                let sent: f64 = server.work.iter().map(|(_, work)| work).sum();
                let told = server.work.iter().filter(|(at, _)| server.told.is_some_and(|told| *at >= told));
                let told: f64 = told.map(|(_, work)| work).sum();
                if sent > budget && told >= TOLD_SHARE * sent && !server.broken {
                    server.broken = true;
                    let how = format!("sent {:.1} times its budget while cold", sent / budget);
                    verdict.broke(record.at, who, how);
                }
            }
            _ => {}
        }
    }
    verdict
}
