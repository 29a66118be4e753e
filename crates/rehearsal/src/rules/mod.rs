//! Checks the five rules of a rehearsal on the recorded traffic.
//!
//! The checks use only what was seen on the sockets of clients, engines and tool servers, the server lists that were
//! handed out, when fronts were started, told to drain or killed, and the configured limits. They never ask a front
//! anything.

mod answered;
mod cold;
mod drains;
mod effects;
mod pinned;

use std::collections::BTreeMap;

use elderstage_standin::traffic::{Record, TrafficEvent};
use serde_json::{Value, json};

/// Whether a request of a class may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// A repeat is always allowed.
    Safe,
    /// Engines drop repeats by their key for this time after the first attempt that may have run.
    Keyed {
        /// In microseconds.
        memory_us: u64,
    },
    /// A repeat is never allowed.
    Unsafe,
}

/// The configured limits that the rules are checked against. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Repeat policy of each class, by the class's name.
    pub classes: BTreeMap<String, RepeatPolicy>,
    /// How much later than the class's timeout an answer may come.
    pub answer_slack_us: u64,
    /// How long a server may still get new work after it is listed as draining or gone.
    pub drain_grace_us: u64,
    /// How long a state may wait for its release while no attempt is in flight.
    pub release_deadline_us: u64,
    /// Time to connect: an attempt may be in flight for this long before an engine sees it.
    pub connect_timeout_us: u64,
    /// How late a front that follows a list file may read a new list.
    pub list_delay_us: u64,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Microseconds of Unix time.
    pub at_us: u64,
    /// Id of the request or name of the server concerned.
    pub subject: String,
    /// What happened.
    pub description: String,
}

/// The result of the check of one rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleResult {
    /// The rule's name in reports.
    pub rule: &'static str,
    /// Number of cases that the check applied to. With 0 cases, the absence of violations proves nothing.
    pub cases_judged: u64,
    /// All violations, in no particular order.
    pub violations: Vec<Violation>,
}

impl RuleResult {
    pub(crate) fn new(rule: &'static str) -> RuleResult {
        RuleResult { rule, cases_judged: 0, violations: Vec::new() }
    }

    /// The result as JSON.
    pub(crate) fn json(&self) -> Value {
        let broken = self.violations.iter().map(|violation| {
            json!({"at_us": violation.at_us, "of": violation.subject, "how": violation.description})
        });
        json!({"rule": self.rule, "judged": self.cases_judged, "broken": broken.collect::<Vec<_>>()})
    }

    pub(crate) fn add_violation(&mut self, at_us: u64, subject: &str, description: impl Into<String>) {
        self.violations.push(Violation { at_us, subject: subject.into(), description: description.into() });
    }
}

/// Checks all five rules. The records must be ordered by time.
pub fn check_rules(records: &[Record], rule_limits: &RuleLimits) -> [RuleResult; 5] {
    [
        answered::check(records, rule_limits),
        effects::check(records, rule_limits),
        drains::check(records, rule_limits),
        cold::check(records, rule_limits),
        pinned::check(records, rule_limits),
    ]
}

/// The id of the client's request, as part of an engine's or tool's request id: `c17` of `c17/2/0`.
pub(crate) fn client_request_id(rid: &str) -> &str {
    rid.split('/').next().unwrap_or(rid)
}

/// The id of the turn, as part of an engine's or tool's request id: `c17/2` of `c17/2/0`.
pub(crate) fn turn_id(rid: &str) -> &str {
    rid.rfind('/').map_or(rid, |at| &rid[..at])
}

/// Whether an engine's answer proves that the attempt did not run.
pub(crate) fn proves_not_run(how: &str) -> bool {
    matches!(how, "full" | "no-state")
}

/// The times at which each front was killed without a drain.
pub(crate) fn kill_times(records: &[Record]) -> BTreeMap<&str, Vec<u64>> {
    let mut kill_times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in records {
        if let TrafficEvent::Front { front, what } = &record.what
            && what == "killed"
        {
            kill_times.entry(front).or_default().push(record.at);
        }
    }
    kill_times
}

/// By client request: the front that it was sent to, and when.
pub(crate) fn fronts_by_request(records: &[Record]) -> BTreeMap<&str, (&str, u64)> {
    let mut fronts = BTreeMap::new();
    for record in records {
        if let TrafficEvent::Sent { rid, front, .. } = &record.what {
            fronts.insert(rid.as_str(), (front.as_str(), record.at));
        }
    }
    fronts
}
