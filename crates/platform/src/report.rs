//! Parses load reports of engines: one line of text, `TEXT name=value, ...`, or the same as JSON. A report counts only if it
//! has all values that the settings name.

use elderstage::ReportField;
use serde_json::Value;

/// Name of the header, and of the comment at the end of a stream, that carries a report.
pub const HEADER: &str = "endpoint-load-metrics";

/// Returns the field that a name stands for. A prefix up to the last dot is ignored.
fn field_by_name(name: &str) -> Option<ReportField> {
    let name = name.rsplit('.').next().unwrap_or(name).trim();
    Some(match name {
        "inflight" | "rif" => ReportField::InFlight,
        "queue" | "q" => ReportField::Queue,
        "util" | "busy" => ReportField::Busy,
        "latency_ms" | "lat_ms" => ReportField::LatencyMs,
        "x0" => ReportField::MemoryShare,
        "x1" => ReportField::PendingThousands,
        _ => return None,
    })
}

/// Returns the values in the order of the settings, or `None` if the report is unreadable or lacks one of them.
pub fn parse(text: &str, fields: &[ReportField]) -> Option<Vec<f64>> {
    let text = text.trim();
    let text = match text.get(..HEADER.len()) {
        Some(name) if name.eq_ignore_ascii_case(HEADER) => {
            text[HEADER.len()..].trim_start().strip_prefix(':')?.trim()
        }
        _ => text,
    };
    let mut reported: Vec<(ReportField, f64)> = Vec::new();
    let rest = text.strip_prefix("TEXT").or_else(|| text.strip_prefix("JSON")).unwrap_or(text).trim();
    if rest.starts_with('{') {
        let object: Value = serde_json::from_str(rest).ok()?;
        let named = object.get("named_metrics").and_then(Value::as_object);
        for (name, value) in object.as_object()?.iter().chain(named.into_iter().flatten()) {
            if let (Some(field), Some(value)) = (field_by_name(name), value.as_f64()) {
                reported.push((field, value));
            }
        }
    } else {
        for part in rest.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=')?;
            let value: f64 = value.trim().parse().ok()?;
            if let Some(field) = field_by_name(name) {
                reported.push((field, value));
            }
        }
    }
    let valid_value = |expected: &ReportField| {
        if *expected == ReportField::Other {
            return Some(0.0);
        }
        let found = reported.iter().find(|(field, _)| field == expected).map(|(_, value)| *value);
        found.filter(|value| value.is_finite() && *value >= 0.0)
    };
    fields.iter().map(valid_value).collect()
}
