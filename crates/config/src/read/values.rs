//! The forms of values.

use std::net::SocketAddr;

use crate::model::*;

/// Parses a time such as `300ms`, `2s`, `500us` or `1m`. The unit is required, because a bare number is ambiguous.
pub fn parse_time(text: &str) -> Option<Micros> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = match &text[digits.len()..] {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        "h" => 3600e6,
        _ => return None,
    };
    let value: f64 = digits.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
    Some((value * unit).round() as Micros)
}

/// Parses a number such as `20`, `0.5`, `160k` or `1M`.
pub fn parse_number(text: &str) -> Option<f64> {
    let (digits, unit) = match text.strip_suffix('k') {
        Some(digits) => (digits, 1e3),
        None => text.strip_suffix('M').map_or((text, 1.0), |digits| (digits, 1e6)),
    };
    digits.parse::<f64>().ok().filter(|v| v.is_finite()).map(|v| v * unit)
}

/// Parses a URL such as `http://127.0.0.1:9000/mcp` into its address and path.
pub(super) fn parse_url(text: &str) -> Option<(SocketAddr, String)> {
    let rest = text.strip_prefix("http://")?;
    let (addr, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = if path.is_empty() { "/" } else { path };
    let is_printable = path.bytes().all(|b| b.is_ascii_graphic());
    Some((addr.parse().ok()?, path.to_owned())).filter(|_| is_printable)
}
