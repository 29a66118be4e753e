//! Whole configurations: loading, rendering and formatting never panic. The formatted text has the same directives as the
//! original, and formatting it again changes nothing.
#![no_main]

use std::path::Path;

use elderstage_config::{Directive, diff, format_config, load, parse_directives};
use libfuzzer_sys::fuzz_target;

/// Renders directives as text, to compare them.
fn directives_text(list: &[Directive]) -> String {
    list.iter()
        .map(|d| {
            std::format!(
                "{:?} {:?} {:?};",
                d.name,
                d.values,
                d.body.as_ref().map(|body| directives_text(body))
            )
        })
        .collect()
}

fuzz_target!(|bytes: &[u8]| {
    // An included file is either this same file or does not exist.
    let mut read = |path: &Path| match path.file_name() {
        Some(name) if name == "f" => Ok(bytes.to_vec()),
        _ => Err(std::io::Error::from(std::io::ErrorKind::NotFound)),
    };
    match load(Path::new("f"), &mut read) {
        Ok(loaded) => assert!(diff(&loaded.effective, &loaded.effective).is_empty()),
        Err(failed) => {
            assert!(!failed.errors.0.is_empty());
            let _ = failed.render(false);
        }
    }
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let Ok(before) = parse_directives("f", text) else { return };
    let formatted = format_config("f", text).expect("a text that parses can be formatted");
    assert_eq!(
        directives_text(&parse_directives("f", &formatted).expect("the formatted text parses")),
        directives_text(&before)
    );
    assert_eq!(format_config("f", &formatted).expect("the formatted text can be formatted"), formatted);
});
