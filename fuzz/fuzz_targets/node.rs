//! The parsers of a front node for clients, engines and discovery: no input makes them panic or exceed their bounds, and a
//! stream yields the same events however its bytes are split.
#![no_main]

use elderstage::Time;
use elderstage::settings::SettingNames;
use elderstage_platform::ask::{self, ClientRequest};
use elderstage_platform::list::Directory;
use elderstage_platform::reply;
use elderstage_platform::stream::EventStream;
use elderstage_protocol::http::{self, Limits};
use libfuzzer_sys::fuzz_target;

const LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: ask::MAX_BODY_BYTES };
/// The longest time that a client waits, in microseconds: the only deadline of the names below.
const LONGEST_WAIT: Time = 1_000_000;

/// Parses a stream in pieces of `step` bytes. Returns the forwarded events and whether the stream ended completely.
fn forward_events(bytes: &[u8], step: usize) -> (Vec<u8>, bool) {
    let (mut stream, mut out) = (EventStream::new(), Vec::new());
    for piece in bytes.chunks(step.max(1)) {
        match stream.push(piece, &mut out) {
            Ok(n) if n == piece.len() => {}
            _ => break,
        }
    }
    (out, stream.is_complete())
}

fuzz_target!(|data: &[u8]| {
    let Some((&first, rest)) = data.split_first() else { return };
    let words = |list: &[&str]| list.iter().map(|word| (*word).to_owned()).collect();
    let names = SettingNames {
        zones: words(&["a"]),
        kinds: words(&["b"]),
        classes: words(&["c"]),
        tenants: Vec::new(),
        idle_close: None,
        deadlines: vec![LONGEST_WAIT],
    };
    match first % 4 {
        0 => {
            if let Ok(Some((head, _))) = http::parse_request(rest, LIMITS) {
                let wanted = ask::classify_head(&head);
                if let Ok(client_request) = ClientRequest::parse(&head, 400, &names, names.longest_wait()) {
                    assert!(
                        client_request.arrival.time_left <= LONGEST_WAIT && client_request.arrival.class == 0
                    );
                    assert!(client_request.request_id.bytes().all(|b| b.is_ascii_graphic() && b != b'/'));
                }
                drop(wanted);
            }
        }
        1 => {
            if let Ok(Some((head, _))) = http::parse_response(rest, LIMITS) {
                let _ = reply::classify_answer(&head);
            }
            let _ = reply::parse_cached_tokens(rest);
        }
        2 => {
            let (whole, split) =
                (forward_events(rest, rest.len()), forward_events(rest, 1 + usize::from(first) / 4));
            // How much is forwarded before a stream is found invalid may depend on where the bytes were split, but its
            // content does not: one output is a prefix of the other.
            let (short, long) =
                if whole.0.len() < split.0.len() { (&whole.0, &split.0) } else { (&split.0, &whole.0) };
            assert!(long.starts_with(short));
            assert_eq!(whole.1, split.1);
        }
        _ => {
            if let Ok(list) = Directory::parse(rest, &names) {
                let mut directory = Directory::default();
                let hosts = list.hosts.len();
                assert!(directory.apply(list, false).1.len() == hosts && directory.len() <= hosts);
            }
        }
    }
});
