//! What a front has counted since its start.

use std::collections::BTreeMap;

use elderstage::Outcome;

use crate::chain::Reason;

/// Counters since the start of the core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected at admission.
    pub turned_away: u64,
    /// Requests that ended with [`Final::Served`].
    pub served: u64,
    /// Admitted requests that ended with [`Final::Refused`].
    pub refused: u64,
    /// Requests that ended with [`Final::Failed`].
    pub failed: u64,
    /// Requests whose client left or cancelled.
    pub clients_gone: u64,
    /// Admitted requests that were refused or failed, by reason.
    pub ended_for: BTreeMap<Reason, u64>,
    /// Legs started.
    pub legs: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Ended attempts, by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Releases of KV states requested from readers.
    pub releases: u64,
    /// Probes requested by the router.
    pub probes: u64,
    /// Tool calls made, retries included.
    pub tool_calls: u64,
    /// Tool calls that repeat an earlier try.
    pub tool_retries: u64,
    /// Tool calls that ended without a result after the last try.
    pub tool_lost: u64,
    /// Server restarts noticed from the servers' own reports.
    pub restarts_seen: u64,
}

/// The name of an outcome in [`Counters::outcomes`].
pub(crate) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed-out",
        Outcome::NoConnection => "no-connection",
        Outcome::Broken => "broken",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not-sent",
        Outcome::Read => "read",
    }
}
