//! Checks that all fronts together send a cold server no more work in a window than a multiple of what it can
//! process at its present speed.
//!
//! Work that arrives before the fronts can have read that the server is running does not break the rule.

use std::collections::{BTreeMap, VecDeque};

use elderstage_standin::traffic::{Record, TrafficEvent};

use super::{RuleLimits, RuleResult};

/// Arrivals are random: the work in a window may exceed its budget by this share.
const BUDGET_TOLERANCE: f64 = 0.1;
/// Excess work breaks the rule only if at least this share of it arrived after the fronts had been told of the start.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

struct ColdServer {
    started_at: u64,
    /// Share of the warm speed at the start.
    initial_speed: f64,
    warmup_us: u64,
    max_multiple: f64,
    window_us: u64,
    /// When the fronts have read that the server is running.
    informed_at: Option<u64>,
    /// Time and amount of the work in the current window.
    recent_work: VecDeque<(u64, f64)>,
    has_violation: bool,
}

/// Checks the rule on all records.
pub(super) fn check(records: &[Record], rule_limits: &RuleLimits) -> RuleResult {
    let mut verdict = RuleResult::new("no cold server pushed over");
    let mut cold_servers: BTreeMap<&str, ColdServer> = BTreeMap::new();
    for record in records {
        let source = record.who.as_str();
        match &record.what {
            TrafficEvent::Up {
                cold: true,
                cold_start_share: cold_from,
                cold_duration: cold_for,
                overload_multiple: fall_multiple,
                overload_window: tip_after,
            } => {
                verdict.cases_judged += 1;
                let server = ColdServer {
                    started_at: record.at,
                    initial_speed: *cold_from,
                    warmup_us: *cold_for,
                    max_multiple: *fall_multiple,
                    window_us: *tip_after,
                    informed_at: None,
                    recent_work: VecDeque::new(),
                    has_violation: false,
                };
                cold_servers.insert(source, server);
            }
            TrafficEvent::Up { cold: false, .. } | TrafficEvent::Down => {
                cold_servers.remove(source);
            }
            TrafficEvent::Listed { servers } => {
                for (name, state) in servers {
                    if let Some(server) = cold_servers.get_mut(name.as_str())
                        && state == "running"
                    {
                        server.informed_at.get_or_insert(record.at + rule_limits.list_delay_us);
                    }
                }
            }
            TrafficEvent::FellOver => verdict.add_violation(record.at, source, "the server fell over"),
            TrafficEvent::Received { work, .. } => {
                let Some(server) = cold_servers.get_mut(source) else { continue };
                let age = record.at.saturating_sub(server.started_at);
                if age > server.warmup_us {
                    continue;
                }
                server.recent_work.push_back((record.at, *work));
                while server.recent_work.front().is_some_and(|(at, _)| at + server.window_us < record.at) {
                    server.recent_work.pop_front();
                }
                let speed = server.initial_speed
                    + (1.0 - server.initial_speed) * age as f64 / server.warmup_us.max(1) as f64;
                let budget = server.max_multiple * speed * server.window_us as f64 * (1.0 + BUDGET_TOLERANCE);
                let total_work: f64 = server.recent_work.iter().map(|(_, work)| work).sum();
                let informed_work = server
                    .recent_work
                    .iter()
                    .filter(|(at, _)| server.informed_at.is_some_and(|informed_at| *at >= informed_at));
                let informed_work: f64 = informed_work.map(|(_, work)| work).sum();
                if total_work > budget
                    && informed_work >= INFORMED_SHARE * total_work
                    && !server.has_violation
                {
                    server.has_violation = true;
                    let description = format!("sent {:.1} times its budget while cold", total_work / budget);
                    verdict.add_violation(record.at, source, description);
                }
            }
            _ => {}
        }
    }
    verdict
}
