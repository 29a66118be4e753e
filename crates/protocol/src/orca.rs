//! Load reports: the ORCA `endpoint-load-metrics` header in its JSON form (xds.data.orca.v3.OrcaLoadReport).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Response header that carries a report.
pub const HEADER: &str = "endpoint-load-metrics";
/// Request header that asks for one, and its value.
pub const ASK: (&str, &str) = ("endpoint-load-metrics-format", "JSON");

/// Names under `named_metrics`, as model servers publish them.
pub const RUNNING: &str = "num_requests_running";
pub const WAITING: &str = "num_requests_waiting";
/// Share of KV memory held, 0 to 1.
pub const KV_USAGE: &str = "kv_cache_usage_perc";
/// Prompt tokens that wait to be read or fetched.
pub const PENDING_TOKENS: &str = "num_pending_prompt_tokens";
/// Unix time at which the process started, in seconds.
pub const STARTED: &str = "process_start_time_seconds";
/// Recent time to the end of a read or to the first token, in milliseconds.
pub const LATENCY_MS: &str = "time_to_first_token_ms";

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Share of slots in use; may pass 1.
    pub application_utilization: f64,
    pub named_metrics: BTreeMap<String, f64>,
}

impl Report {
    pub fn named(&self, name: &str) -> Option<f64> {
        self.named_metrics.get(name).copied().filter(|value| value.is_finite())
    }
}

/// Reads a header's value. The text and binary forms are not read: `None`, as for anything malformed.
pub fn parse(value: &str) -> Option<Report> {
    let json = value.trim().strip_prefix("JSON")?.trim_start();
    serde_json::from_str(json).ok()
}

pub fn format(report: &Report) -> String {
    format!("JSON {}", serde_json::to_string(report).unwrap_or_default())
}
