//! Valid files load; invalid files are refused with the line of each error and what was expected.

use elderstage_config::{RepeatName, parse, parse_servers};

const VALID: &str = r#"
# A small deployment.
zones a b
front {
    listen 127.0.0.1:0
    zone a
}
class ask {
    repeat safe
    first-token 1200ms
    give-up 6s
    worth 1
}
class order {
    repeat keyed zone 5s
    first-token 2.5s
    give-up 12s
}
tool stock {
    url http://127.0.0.1:9000/mcp
    effect none
}
tool place_order {
    url http://127.0.0.1:9000/mcp
    effect lasting
}
route ask {
    class ask
    tools stock
    preamble "You answer\nshortly. {#}"
}
route order {
    class order
    tools stock place_order
}
kind reader {
    role prefill
    kv-tokens 160k
}
server r1 {
    address 127.0.0.1:8001
    kind reader
    zone a
}
"#;

fn errors(text: &str) -> Vec<String> {
    parse("f.conf", text)
        .map_or_else(|errors| errors.0.iter().map(ToString::to_string).collect(), |_| Vec::new())
}

#[test]
fn valid_file_loads() {
    let config = parse("f.conf", VALID).unwrap();
    assert_eq!(config.classes[0].ttft_target, 1_200_000);
    assert!(matches!(config.classes[1].repeat, RepeatName::Keyed { memory: 5_000_000, .. }));
    assert_eq!(config.kinds[0].kv_tokens, 160_000.0);
    assert_eq!(config.routes[0].preamble, "You answer\nshortly. {#}");
    assert_eq!(config.rules.drain_grace, 2_000_000);
}

#[test]
fn server_addresses_keep_the_order_of_preference() {
    let text = VALID.replace("127.0.0.1:8001", "unix:/run/r1.sock [::1]:8001 127.0.0.1:8001");
    let config = parse("f.conf", &text).unwrap();
    let endpoints: Vec<String> = config.servers[0].endpoints.iter().map(ToString::to_string).collect();
    assert_eq!(endpoints, ["unix:/run/r1.sock", "[::1]:8001", "127.0.0.1:8001"]);
    assert_eq!((config.connections.max_per_server, config.connections.idle_timeout), (512, 20_000_000));
    let with_limits =
        parse("f.conf", &format!("{VALID}connections {{\n per-server 7\n idle 1s\n}}\n")).unwrap();
    assert_eq!(
        (with_limits.connections.max_per_server, with_limits.connections.idle_timeout),
        (7, 1_000_000)
    );
}

#[test]
fn each_error_names_its_line_and_what_was_expected() {
    for (old, new, line, expected) in [
        ("give-up 6s", "give-up 6", 11, "expected a time such as"),
        ("give-up 6s", "give-up 1s", 8, "no longer than give-up"),
        ("worth 1", "worht 1", 12, "unknown directive worht"),
        ("worth 1", "worth 1\n worth 2", 13, "worth is already set on line 12"),
        ("class ask\n", "class aks\n", 27, "no class is called aks"),
        ("tools stock\n", "tools stock place_order\n", 27, "has a lasting effect"),
        ("zone a\n}\nclass", "zone c\n}\nclass", 1, "no zone is called c"),
        ("role prefill", "role reader", 37, "expected prefill, decode or mixed"),
        ("kind reader\n    zone a", "kind writer\n    zone a", 40, "no kind is called writer"),
        ("repeat safe", "repeat sometimes", 9, "expected safe, unsafe, or keyed"),
        ("effect none", "effect some", 21, "expected none or lasting"),
        ("http://127.0.0.1:9000/mcp\n    effect none", "ftp://x\n    effect none", 20, "expected a URL"),
        ("127.0.0.1:8001", "localhost", 41, "expected an address such as"),
        ("127.0.0.1:8001", "127.0.0.1:8001 [::1", 41, "address: value 2: \"[::1\": address: IPv6 stands in"),
        ("127.0.0.1:8001", "[fe80::1%lo]:8001", 41, "address: value 1: \"[fe80::1%lo]:8001\": zone:"),
        ("127.0.0.1:8001", "unix:/a unix:b", 41, "address: value 2: \"unix:b\": path: expected an absolute"),
        ("127.0.0.1:8001", "127.0.0.1:x", 41, "address: value 1: \"127.0.0.1:x\": port:"),
        ("127.0.0.1:8001", "unix:/a [::1]:1 unix:/a", 41, "value 3: \"unix:/a\" is already given as value 1"),
        ("127.0.0.1:8001", "", 41, "address: expected from 1 to 8 addresses"),
        ("server r1", "server \"r 1\"", 40, "expected a name without spaces"),
        ("role prefill", "role prefill\n    proof yes", 38, "expected continue, health or none"),
        ("shortly. {#}\"", "shortly.", 30, "expected a closing quote"),
        ("zones a b", "zones a b\n}", 4, "} without a matching {"),
        ("# A small deployment.", "surprise yes", 2, "unknown directive surprise"),
    ] {
        assert!(VALID.contains(old), "{old}");
        let found = errors(&VALID.replacen(old, new, 1));
        let position = format!("f.conf:{line}:");
        assert!(found.iter().any(|e| e.starts_with(&position) && e.contains(expected)), "{new}: {found:#?}");
    }
}

#[test]
fn all_errors_of_a_file_are_reported_together() {
    let text =
        VALID.replace("worth 1", "worth x").replace("role prefill", "role x").replace("zones a b", "zones a");
    assert_eq!(errors(&text).len(), 2);
    assert!(errors("").len() >= 4);
    assert_eq!(errors("class x {\n").len(), 1, "a section without its closing brace");
}

#[test]
fn server_list_is_checked_against_its_configuration() {
    let config = parse("f.conf", VALID).unwrap();
    let list = "server w {\n address 127.0.0.1:1\n kind reader\n zone b\n state draining\n}\n";
    assert_eq!(parse_servers("s", list, &config).unwrap().len(), 1);
    for (text, expected) in [
        ("", "at least one server"),
        ("class x {\n}\n", "expected server, not class"),
        (&list[..40], "before the end of the file"),
        (&list.replace("zone b", "zone z"), "no zone is called z"),
        (&format!("{list}{list}"), "server w is already defined on line 1"),
    ] {
        let found = parse_servers("s", text, &config).unwrap_err().to_string();
        assert!(found.contains(expected), "{text}: {found}");
    }
}
