//! Whole configurations: no panic in reading, rendering and formatting; the one form says the same and is its own form.
#![no_main]

use std::path::Path;

use elderstage_config::{Directive, diff, directives, format, load};
use libfuzzer_sys::fuzz_target;

fn said(list: &[Directive]) -> String {
    list.iter()
        .map(|d| std::format!("{:?} {:?} {:?};", d.name, d.values, d.body.as_ref().map(|body| said(body))))
        .collect()
}

fuzz_target!(|bytes: &[u8]| {
    // Whatever is included is the same file again, or not there.
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
    let Ok(before) = directives("f", text) else { return };
    let tidy = format("f", text).expect("what reads has a form");
    assert_eq!(said(&directives("f", &tidy).expect("the form reads")), said(&before));
    assert_eq!(format("f", &tidy).expect("the form has a form"), tidy);
});
