//! Load reports: one line of text, `TEXT name=value, ...`, or the same as JSON.

use elderstage::ReportField;
use serde_json::Value;

/// Header that carries a report with an answer, and the comment at a stream's end.
pub const HEADER: &str = "endpoint-load-metrics";

fn field(name: &str) -> Option<ReportField> {
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

/// The values in the order that the settings name them. `None` where it can't be read, or lacks one of them: such a
/// report is no report.
pub fn parse(text: &str, fields: &[ReportField]) -> Option<Vec<f64>> {
    let text = text.trim();
    let text = match text.get(..HEADER.len()) {
        Some(name) if name.eq_ignore_ascii_case(HEADER) => {
            text[HEADER.len()..].trim_start().strip_prefix(':')?.trim()
        }
        _ => text,
    };
    let mut told: Vec<(ReportField, f64)> = Vec::new();
    let rest = text.strip_prefix("TEXT").or_else(|| text.strip_prefix("JSON")).unwrap_or(text).trim();
    if rest.starts_with('{') {
        let object: Value = serde_json::from_str(rest).ok()?;
        let named = object.get("named_metrics").and_then(Value::as_object);
        for (name, value) in object.as_object()?.iter().chain(named.into_iter().flatten()) {
            if let (Some(field), Some(value)) = (field(name), value.as_f64()) {
                told.push((field, value));
            }
        }
    } else {
        for part in rest.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=')?;
            let value: f64 = value.trim().parse().ok()?;
            if let Some(field) = field(name) {
                told.push((field, value));
            }
        }
    }
    let value = |wanted: &ReportField| {
        if *wanted == ReportField::Other {
            return Some(0.0);
        }
        let found = told.iter().find(|(field, _)| field == wanted).map(|(_, value)| *value);
        found.filter(|value| value.is_finite() && *value >= 0.0)
    };
    fields.iter().map(value).collect()
}
