//! Selects the headers of a client's request that are forwarded to engines: all end-to-end headers, unchanged. An engine
//! may need any of them, such as the idempotency key; a list of known names lost headers that clients of other
//! deployments send. The headers that the node writes itself are not added here.

use elderstage_protocol::http::Request;

use crate::ask::{DEADLINE_HEADER, ID_HEADER};

/// Headers that concern one connection (RFC 9110, section 7.6.1), that frame the message or that the node writes itself.
const NOT_FORWARDED: &[&str] = &[
    "connection",
    "proxy-connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "host",
    ID_HEADER,
    DEADLINE_HEADER,
];

/// Returns the headers to forward, as lines of a head.
pub fn fields(head: &Request) -> Vec<u8> {
    let is_excluded = |name: &str| NOT_FORWARDED.iter().any(|other| name.eq_ignore_ascii_case(other));
    let mut lines = Vec::new();
    for (name, value) in &head.headers.0 {
        if !is_excluded(name) && !is_connection_option(head, name) {
            lines.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
    lines
}

/// Returns whether the client's `Connection` header names this header.
fn is_connection_option(head: &Request, name: &str) -> bool {
    let connection = head.headers.0.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let mut options = connection.flat_map(|(_, value)| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case(name))
}
