//! Load reports: the ORCA `endpoint-load-metrics` header in its JSON form (xds.data.orca.v3.OrcaLoadReport).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Response header that carries a load report.
pub const REPORT_HEADER: &str = "endpoint-load-metrics";
/// Request header that asks for a load report, with its value.
pub const REPORT_REQUEST_HEADER: (&str, &str) = ("endpoint-load-metrics-format", "JSON");

/// Requests that run. This and the following names are keys of `named_metrics`, as model servers publish them.
pub const RUNNING_METRIC: &str = "num_requests_running";
/// Requests that wait.
pub const WAITING_METRIC: &str = "num_requests_waiting";
/// Share of the KV memory in use, 0 to 1.
pub const KV_USAGE_METRIC: &str = "kv_cache_usage_perc";
/// Prompt tokens that wait for prefill or for the transfer of their KV state.
pub const PENDING_TOKENS_METRIC: &str = "num_pending_prompt_tokens";
/// Unix time of the process start, in seconds.
pub const STARTED_METRIC: &str = "process_start_time_seconds";
/// Recent time to the end of a prefill or to the first token, in milliseconds.
pub const LATENCY_MS_METRIC: &str = "time_to_first_token_ms";

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Share of slots in use; may exceed 1.
    pub application_utilization: f64,
    pub named_metrics: BTreeMap<String, f64>,
}

impl Report {
    /// A named metric, if the report has it and it is finite.
    pub fn named(&self, name: &str) -> Option<f64> {
        self.named_metrics.get(name).copied().filter(|value| value.is_finite())
    }
}

/// Parses the value of the response header. Returns `None` for a malformed value and for the text and binary forms,
/// which are not supported.
pub fn parse(value: &str) -> Option<Report> {
    let json = value.trim().strip_prefix("JSON")?.trim_start();
    serde_json::from_str(json).ok()
}

/// The value of the load report in a comment of an event stream, `Endpoint-Load-Metrics: ...`. `None`: the comment is
/// something else.
pub fn report_in_comment(comment: &[u8]) -> Option<String> {
    let comment = comment.trim_ascii();
    let (name, rest) = comment.split_at_checked(REPORT_HEADER.len())?;
    if !name.eq_ignore_ascii_case(REPORT_HEADER.as_bytes()) {
        return None;
    }
    let value = rest.trim_ascii_start().strip_prefix(b":")?;
    Some(String::from_utf8_lossy(value.trim_ascii()).into_owned())
}

/// Writes the value of the response header.
pub fn format(report: &Report) -> String {
    format!("JSON {}", serde_json::to_string(report).unwrap_or_default())
}
