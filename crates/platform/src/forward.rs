//! Which fields of a client's request go to engines: all end-to-end ones, as they came. An engine may need any of them,
//! as the key by which it drops repeats; a list of known names lost what other deployments' clients send.

use elderstage_protocol::http::Request;

use crate::ask::{DEADLINE, ID};

/// Fields of one connection (RFC 9110, 7.6.1), and those that frame the message or that the node writes itself.
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
    ID,
    DEADLINE,
];

/// The fields to pass on, as lines of a head.
pub fn fields(head: &Request) -> Vec<u8> {
    let named = |name: &str| NOT_FORWARDED.iter().any(|other| name.eq_ignore_ascii_case(other));
    let mut lines = Vec::new();
    for (name, value) in &head.headers.0 {
        if !named(name) && !is_of_the_connection(head, name) {
            lines.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
    lines
}

/// Whether the client's `Connection` names this field as its own.
fn is_of_the_connection(head: &Request, name: &str) -> bool {
    let connection = head.headers.0.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let mut options = connection.flat_map(|(_, value)| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case(name))
}
