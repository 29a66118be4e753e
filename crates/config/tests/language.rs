//! The configuration language: error positions, suggested names, includes, text encodings, formatting, and differences
//! between configurations.

use std::collections::BTreeMap;
use std::path::Path;

use elderstage_config::{Directive, LoadError, LoadedConfig, diff, format_config, load, parse_directives};
use proptest::prelude::*;

const VALID: &str = "zones a\nfront {\n    zone a\n}\nclass c {\n    repeat safe\n    first-token 1s\n    give-up 2s\n}\n\
                    route r {\n    class c\n}\nkind k {\n    role mixed\n    kv-tokens 1000\n}\n\
                    server s {\n    address 127.0.0.1:1\n    kind k\n    zone a\n}\n";

/// Loads `main.conf` from files in memory.
fn load_files(files: &[(&str, &[u8])]) -> Result<LoadedConfig, Box<LoadError>> {
    let files: BTreeMap<&Path, &[u8]> =
        files.iter().map(|(name, bytes)| (Path::new(*name), *bytes)).collect();
    let mut read = |path: &Path| {
        let found = files.get(path).map(|bytes| bytes.to_vec());
        found.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::NotFound))
    };
    load(Path::new("main.conf"), &mut read)
}

/// The errors of loading `main.conf`, one line each; empty if it is valid.
fn load_errors(files: &[(&str, &[u8])]) -> Vec<String> {
    load_files(files)
        .err()
        .map(|failed| failed.errors.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

/// The errors of a configuration that consists of one file.
fn errors(text: &str) -> Vec<String> {
    load_errors(&[("main.conf", text.as_bytes())])
}

#[test]
fn errors_have_line_column_and_suggested_name() {
    for (old, new, expected) in [
        (
            "give-up 2s",
            "give-upp 2s",
            "main.conf:8:5: unknown directive give-upp in section \"c\"; did you mean give-up?",
        ),
        ("    class c", "    class d", "main.conf:10:1: route r: no class is called d; did you mean c?"),
        ("front {", "fornt {", "main.conf:2:1: unknown directive fornt; did you mean front?"),
        (
            "give-up 2s",
            "give-up 2",
            "main.conf:8:13: give-up: expected a time such as 300ms or 2s, not \"2\"",
        ),
        (
            "127.0.0.1:1",
            "127.0.0.1:1 [::1:2",
            "main.conf:18:25: address: value 2: \"[::1:2\": address: IPv6 stands in brackets, as in [::1]:8000",
        ),
        (
            "zone a\n}\nclass",
            "zone \"é\\x\"\n}\nclass",
            "main.conf:3:10: expected \\n, \\\" or \\\\ after a backslash",
        ),
    ] {
        let found = errors(&VALID.replacen(old, new, 1));
        assert!(found.iter().any(|line| line == expected), "{expected}\n{found:#?}");
    }
    // A name that is too different is not suggested.
    assert!(
        errors(&VALID.replacen("give-up", "zzzzzz", 1)).iter().all(|line| !line.contains("did you mean"))
    );
}

#[test]
fn syntax_error_causes_no_follow_up_errors() {
    let broken = VALID.replacen("first-token 1s", "first-token \"1s", 1).replacen(
        "kv-tokens 1000",
        "kv-tokens many",
        1,
    );
    let found = errors(&broken);
    assert_eq!(found.len(), 2, "{found:#?}");
    assert!(
        found[0].starts_with("main.conf:7:17: expected a closing quote") && found[1].contains("kv-tokens")
    );
}

#[test]
fn rendered_error_shows_its_line() {
    let failed =
        load_files(&[("main.conf", VALID.replacen("give-up 2s", "give-upp 2s", 1).as_bytes())]).unwrap_err();
    let rendered = failed.render(false);
    for part in ["unknown directive give-upp", "main.conf:8:5", "    give-upp 2s", "did you mean give-up?"] {
        assert!(rendered.contains(part), "{part}\n{rendered}");
    }
}

#[test]
fn crlf_byte_order_mark_and_tabs_are_accepted_and_invalid_bytes_are_reported() {
    let windows = format!("\u{feff}{}", VALID.replace('\n', "\r\n").replace("    ", "\t"));
    let plain = load_files(&[("main.conf", VALID.as_bytes())]).unwrap();
    let same = load_files(&[("main.conf", windows.as_bytes())]).unwrap();
    assert_eq!(diff(&plain.effective, &same.effective), [] as [String; 0]);
    let mut bytes = VALID.as_bytes().to_vec();
    bytes[13] = 0xff;
    assert_eq!(
        load_errors(&[("main.conf", &bytes)]),
        ["main.conf:2:6: invalid UTF-8 byte; the file must be UTF-8 text"]
    );
    let rendered = load_files(&[("main.conf", &bytes)]).unwrap_err().render(false);
    assert!(rendered.contains("main.conf:2:6") && rendered.contains("invalid UTF-8"), "{rendered}");
    assert!(errors(&VALID.replacen("zone a", "zone a\u{1}", 1))[0].contains("control character"));
    // A file that is cut off at any byte is refused.
    for end in 0..VALID.len() - 2 {
        assert!(!errors(&VALID[..end]).is_empty(), "cut at {end}");
    }
}

#[test]
fn includes_are_expanded_in_place_and_cycles_are_refused() {
    let server = VALID.find("server").unwrap();
    let main = format!("{}include parts/servers.conf\n", &VALID[..server]);
    let files = [("main.conf", main.as_bytes()), ("parts/servers.conf", &VALID.as_bytes()[server..])];
    let included = load_files(&files).unwrap();
    let at = included
        .effective
        .iter()
        .find(|e| e.section == "server s" && e.name == "kind")
        .unwrap()
        .position
        .unwrap();
    assert_eq!((included.files[at.file].name.as_str(), at.line), ("parts/servers.conf", 3));
    // An include inside a section, valid and with an error.
    let inner = VALID.replacen("    give-up 2s\n", "    include times.conf\n", 1);
    assert!(load_files(&[("main.conf", inner.as_bytes()), ("times.conf", b"give-up 2s\n")]).is_ok());
    let found = load_errors(&[("main.conf", inner.as_bytes()), ("times.conf", b"\ngive-up soon\n")]);
    assert!(found[0].starts_with("times.conf:2:9: give-up: expected a time"), "{found:?}");
    let cycle = [("main.conf", &b"include a.conf\n"[..]), ("a.conf", &b"include main.conf\n"[..])];
    assert!(
        load_errors(&cycle)
            .iter()
            .any(|line| line == "a.conf:1:9: include: cycle: main.conf -> a.conf -> main.conf")
    );
    assert!(
        errors("include nowhere.conf\n")
            .iter()
            .any(|line| line.starts_with("main.conf:1:9: cannot read nowhere.conf"))
    );
    assert!(errors("include a b\n").iter().any(|line| line.contains("the path of one file")));
}

#[test]
fn effective_values_have_their_lines_and_are_compared() {
    let old = load_files(&[("main.conf", VALID.as_bytes())]).unwrap();
    let find = |name: &str| old.effective.iter().find(|e| e.section == "class c" && e.name == name).unwrap();
    assert_eq!((find("give-up").value.as_str(), find("give-up").position.map(|at| at.line)), ("2s", Some(8)));
    assert_eq!((find("total").value.as_str(), find("total").position), ("120s", None));
    let changed =
        VALID.replacen("give-up 2s", "give-up 3s\n    worth 2", 1).replacen("server s ", "server t ", 1);
    let new = load_files(&[("main.conf", changed.as_bytes())]).unwrap();
    assert_eq!(
        diff(&old.effective, &new.effective),
        ["- server s", "+ server t", "  class c: give-up: 2s -> 3s", "  class c: worth: 1 -> 2"]
    );
    assert_eq!(diff(&new.effective, &new.effective), [] as [String; 0]);
}

#[test]
fn formatting_gives_the_canonical_form() {
    let unformatted = "# top\n\n\n\nclass   \"ask\" {# why\n\trepeat \"safe\"\n\n\n  # alone\n worth   2 # twice\n\n}\nzones a   \"b c\"\n\n";
    let canonical = "# top\n\nclass ask {  # why\n    repeat safe\n\n    # alone\n    worth 2  # twice\n}\nzones a \"b c\"\n";
    assert_eq!(format_config("f", unformatted).unwrap(), canonical);
    assert_eq!(format_config("f", canonical).unwrap(), canonical);
    assert!(format_config("f", "a \"b\n").is_err(), "a text with a syntax error is refused");
}

/// The names, values and bodies of directives, without their positions.
fn content(list: &[Directive]) -> String {
    list.iter()
        .map(|d| std::format!("{:?} {:?} {:?};", d.name, d.values, d.body.as_ref().map(|body| content(body))))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any text, nothing panics. If the text is valid, its canonical form has the same content and is its own
    /// canonical form.
    #[test]
    fn formatting_keeps_the_content(text in "([a-z\"{}#\\\\ \t\r\n]|\\PC|[a-z]{1,6} [a-z]{1,4} \\{\n|\n\\}\n){0,40}") {
        if let Ok(before) = parse_directives("f", &text) {
            let canonical = format_config("f", &text).unwrap();
            prop_assert_eq!(content(&parse_directives("f", &canonical).unwrap()), content(&before), "{}", canonical);
            prop_assert_eq!(format_config("f", &canonical).unwrap(), canonical);
        }
        // Loading and rendering must not panic either.
        let _ = load_files(&[("main.conf", text.as_bytes())]).map_err(|failed| failed.render(false));
    }
}
