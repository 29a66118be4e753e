//! The language itself: places, near names, includes, forms of text, formatting, and what changes between files.

use std::collections::BTreeMap;
use std::path::Path;

use elderstage_config::{Directive, Failed, Loaded, diff, directives, format, load};
use proptest::prelude::*;

const GOOD: &str = "zones a\nfront {\n    zone a\n}\nclass c {\n    repeat safe\n    first-token 1s\n    give-up 2s\n}\n\
                    route r {\n    class c\n}\nkind k {\n    role mixed\n    kv-tokens 1000\n}\n\
                    server s {\n    address 127.0.0.1:1\n    kind k\n    zone a\n}\n";

/// Loads `main.conf` from files in memory.
fn loaded(files: &[(&str, &[u8])]) -> Result<Loaded, Box<Failed>> {
    let files: BTreeMap<&Path, &[u8]> =
        files.iter().map(|(name, bytes)| (Path::new(*name), *bytes)).collect();
    let mut read = |path: &Path| {
        let found = files.get(path).map(|bytes| bytes.to_vec());
        found.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::NotFound))
    };
    load(Path::new("main.conf"), &mut read)
}

fn told(files: &[(&str, &[u8])]) -> Vec<String> {
    loaded(files)
        .err()
        .map(|failed| failed.errors.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

fn bad(text: &str) -> Vec<String> {
    told(&[("main.conf", text.as_bytes())])
}

#[test]
fn errors_have_line_column_and_a_near_name() {
    for (old, new, said) in [
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
        let found = bad(&GOOD.replacen(old, new, 1));
        assert!(found.iter().any(|line| line == said), "{said}\n{found:#?}");
    }
    // Far names are not suggested.
    assert!(bad(&GOOD.replacen("give-up", "zzzzzz", 1)).iter().all(|line| !line.contains("did you mean")));
}

#[test]
fn all_mistakes_are_told_and_none_that_follow_from_a_torn_line() {
    let torn = GOOD.replacen("first-token 1s", "first-token \"1s", 1).replacen(
        "kv-tokens 1000",
        "kv-tokens many",
        1,
    );
    let found = bad(&torn);
    assert_eq!(found.len(), 2, "{found:#?}");
    assert!(
        found[0].starts_with("main.conf:7:17: expected a closing quote") && found[1].contains("kv-tokens")
    );
}

#[test]
fn each_error_is_shown_in_its_line() {
    let failed =
        loaded(&[("main.conf", GOOD.replacen("give-up 2s", "give-upp 2s", 1).as_bytes())]).unwrap_err();
    let shown = failed.render(false);
    for part in ["unknown directive give-upp", "main.conf:8:5", "    give-upp 2s", "did you mean give-up?"] {
        assert!(shown.contains(part), "{part}\n{shown}");
    }
}

#[test]
fn windows_lines_marks_and_tabs_are_read_and_other_bytes_are_told() {
    let windows = format!("\u{feff}{}", GOOD.replace('\n', "\r\n").replace("    ", "\t"));
    let plain = loaded(&[("main.conf", GOOD.as_bytes())]).unwrap();
    let same = loaded(&[("main.conf", windows.as_bytes())]).unwrap();
    assert_eq!(diff(&plain.effective, &same.effective), [] as [String; 0]);
    let mut bytes = GOOD.as_bytes().to_vec();
    bytes[13] = 0xff;
    assert_eq!(
        told(&[("main.conf", &bytes)]),
        ["main.conf:2:6: this byte is no UTF-8; the file must be UTF-8 text"]
    );
    let shown = loaded(&[("main.conf", &bytes)]).unwrap_err().render(false);
    assert!(shown.contains("main.conf:2:6") && shown.contains("no UTF-8"), "{shown}");
    assert!(bad(&GOOD.replacen("zone a", "zone a\u{1}", 1))[0].contains("control character"));
    // A file cut in half.
    for end in 0..GOOD.len() - 2 {
        assert!(!bad(&GOOD[..end]).is_empty(), "cut at {end}");
    }
}

#[test]
fn includes_stand_in_their_places_and_circles_are_told() {
    let server = GOOD.find("server").unwrap();
    let main = format!("{}include parts/servers.conf\n", &GOOD[..server]);
    let files = [("main.conf", main.as_bytes()), ("parts/servers.conf", &GOOD.as_bytes()[server..])];
    let included = loaded(&files).unwrap();
    let at =
        included.effective.iter().find(|e| e.section == "server s" && e.name == "kind").unwrap().at.unwrap();
    assert_eq!((included.files[at.file].name.as_str(), at.line), ("parts/servers.conf", 3));
    // Inside of a section, and wrong there.
    let inner = GOOD.replacen("    give-up 2s\n", "    include times.conf\n", 1);
    assert!(loaded(&[("main.conf", inner.as_bytes()), ("times.conf", b"give-up 2s\n")]).is_ok());
    let found = told(&[("main.conf", inner.as_bytes()), ("times.conf", b"\ngive-up soon\n")]);
    assert!(found[0].starts_with("times.conf:2:9: give-up: expected a time"), "{found:?}");
    let circle = [("main.conf", &b"include a.conf\n"[..]), ("a.conf", &b"include main.conf\n"[..])];
    assert!(
        told(&circle)
            .iter()
            .any(|line| line == "a.conf:1:9: include: a circle: main.conf -> a.conf -> main.conf")
    );
    assert!(
        bad("include nowhere.conf\n")
            .iter()
            .any(|line| line.starts_with("main.conf:1:9: cannot read nowhere.conf"))
    );
    assert!(bad("include a b\n").iter().any(|line| line.contains("the path of one file")));
}

#[test]
fn what_acts_is_shown_with_its_line_and_compared() {
    let old = loaded(&[("main.conf", GOOD.as_bytes())]).unwrap();
    let find = |name: &str| old.effective.iter().find(|e| e.section == "class c" && e.name == name).unwrap();
    assert_eq!((find("give-up").value.as_str(), find("give-up").at.map(|at| at.line)), ("2s", Some(8)));
    assert_eq!((find("total").value.as_str(), find("total").at), ("120s", None));
    let changed =
        GOOD.replacen("give-up 2s", "give-up 3s\n    worth 2", 1).replacen("server s ", "server t ", 1);
    let new = loaded(&[("main.conf", changed.as_bytes())]).unwrap();
    assert_eq!(
        diff(&old.effective, &new.effective),
        ["- server s", "+ server t", "  class c: give-up: 2s -> 3s", "  class c: worth: 1 -> 2"]
    );
    assert_eq!(diff(&new.effective, &new.effective), [] as [String; 0]);
}

#[test]
fn a_file_has_one_form() {
    let untidy = "# top\n\n\n\nclass   \"ask\" {# why\n\trepeat \"safe\"\n\n\n  # alone\n worth   2 # twice\n\n}\nzones a   \"b c\"\n\n";
    let tidy = "# top\n\nclass ask {  # why\n    repeat safe\n\n    # alone\n    worth 2  # twice\n}\nzones a \"b c\"\n";
    assert_eq!(format("f", untidy).unwrap(), tidy);
    assert_eq!(format("f", tidy).unwrap(), tidy);
    assert!(format("f", "a \"b\n").is_err(), "what cannot be read is not touched");
}

/// What directives say, without their places.
fn said(list: &[Directive]) -> String {
    list.iter()
        .map(|d| std::format!("{:?} {:?} {:?};", d.name, d.values, d.body.as_ref().map(|body| said(body))))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any text: no panic, and one that reads says the same in its one form, which has itself as its form.
    #[test]
    fn formatting_keeps_the_meaning(text in "([a-z\"{}#\\\\ \t\r\n]|\\PC|[a-z]{1,6} [a-z]{1,4} \\{\n|\n\\}\n){0,40}") {
        if let Ok(before) = directives("f", &text) {
            let tidy = format("f", &text).unwrap();
            prop_assert_eq!(said(&directives("f", &tidy).unwrap()), said(&before), "{}", tidy);
            prop_assert_eq!(format("f", &tidy).unwrap(), tidy);
        }
        // Nothing else may panic either.
        let _ = loaded(&[("main.conf", text.as_bytes())]).map_err(|failed| failed.render(false));
    }
}
