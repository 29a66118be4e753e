//! Addresses of servers, alone and in a list of servers: parsing never panics, an accepted address parses to the same value
//! after it was written, and an error in a list names the line and the field.
#![no_main]

use elderstage_config::{parse, parse_directives};
use elderstage_protocol::place::Endpoint;
use libfuzzer_sys::fuzz_target;

/// The part of a valid configuration before its servers.
const PREAMBLE: &str = "zones a\nfront {\n zone a\n}\nclass c {\n repeat safe\n first-token 1s\n give-up 2s\n}\n\
                    route r {\n class c\n}\nkind k {\n role mixed\n kv-tokens 1000\n}\n";

fuzz_target!(|text: &str| {
    let endpoint = text.parse::<Endpoint>();
    if let Ok(endpoint) = &endpoint {
        assert_eq!(endpoint.to_string().parse::<Endpoint>().as_ref(), Ok(endpoint));
        let _ = (endpoint.family(), endpoint.host());
    }
    // The text as one quoted word in a list.
    let word = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
    if word.contains('\r') || word.chars().any(char::is_control) {
        return;
    }
    let file = format!("{PREAMBLE}server s {{\n kind k\n zone a\n address \"{word}\"\n}}\n");
    assert!(parse_directives("f", &file).is_ok(), "the quoted word does not stay on its line");
    match parse("f", &file) {
        Ok(config) => {
            assert_eq!(config.servers[0].endpoints, [endpoint.expect("the list accepted an invalid address")])
        }
        Err(errors) => {
            let line = PREAMBLE.lines().count() + 4;
            assert!(endpoint.is_err(), "{errors}");
            assert!(
                errors.0.iter().any(|e| e.position.line == line && e.message.starts_with("address: value 1")),
                "{errors}"
            );
        }
    }
});
