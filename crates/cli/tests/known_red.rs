//! Runs the script `.ci/known-red` on valid and invalid lists of tests that are known to fail. A script in place of
//! cargo lists three test names, one of them twice; one of the tests fails.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Takes the place of cargo: lists the tests, and fails when it runs `a::red`.
const FAKE_CARGO: &str = "#!/bin/sh\n\
    case \"$*\" in\n\
    *--list*) printf 'a::red: test\\na::green: test\\ntwice: test\\ntwice: test\\n';;\n\
    *'--exact a::red') echo 'test a::red ... FAILED'; exit 101;;\n\
    *) exit 0;;\n\
    esac\n";

/// Runs the script on a file with this text.
fn run_script(name: &str, text: &str) -> Output {
    let dir = std::env::temp_dir().join(format!("elderstage-red-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (cargo, file): (PathBuf, PathBuf) = (dir.join("cargo"), dir.join("KNOWN-RED.txt"));
    std::fs::write(&cargo, FAKE_CARGO).unwrap();
    std::fs::set_permissions(&cargo, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    std::fs::write(&file, text).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let output = Command::new("bash").arg(script).arg(&file).env("CARGO", &cargo).output().unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    output
}

/// Whether the script succeeded, its standard output and its standard error.
fn outcome(output: &Output) -> (bool, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.success(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn known_failing_test_is_run_printed_and_skipped() {
    let (success, skips, stderr) = outcome(&run_script("red", "a::red | the link is cut too late | 7\n"));
    assert!(success, "{stderr}");
    assert_eq!(skips, "--exact\n--skip\na::red\n");
    assert!(stderr.contains("known red: a::red (the link is cut too late; issue 7)"), "{stderr}");
    assert!(stderr.contains("test a::red ... FAILED"), "{stderr}");
    let (success, skips, _) = outcome(&run_script("none", "\n"));
    assert!(success && skips.is_empty(), "{skips}");
}

/// A case that CI can't run, such as a script or a seed of a bench, is printed and skips no test.
#[test]
fn known_failing_case_that_is_no_test_is_printed_and_not_run() {
    let text = "a::red | cause | 7\n\nlag | review/10/run.sh, no seed | sent after a drain | 60\n";
    let (success, skips, stderr) = outcome(&run_script("case", text));
    assert!(success, "{stderr}");
    assert_eq!(skips, "--exact\n--skip\na::red\n");
    let printed = "known red, not run: lag: review/10/run.sh, no seed (sent after a drain; issue 60)";
    assert!(stderr.contains(printed), "{stderr}");
    let (success, skips, stderr) = outcome(&run_script("cases", "lag | command | seen | 60\n"));
    assert!(success && skips.is_empty(), "{skips}{stderr}");
}

#[test]
fn invalid_list_of_known_failing_tests_is_refused() {
    for (name, text, reason) in [
        ("green", "a::green | cause | 7\n", "passes: its line is to go"),
        ("unknown", "a::gone | cause | 7\n", "0 tests are named a::gone"),
        ("part", "a::re | cause | 7\n", "0 tests are named a::re"),
        ("twice", "twice | cause | 7\n", "2 tests are named twice"),
        ("bare", "a::red\n", "not \"test | cause | issue\""),
        ("no-issue", "a::red | cause |\n", "not \"test | cause | issue\""),
        ("line-number", "a::red | cause | 7\n\na::red | seed\n", "KNOWN-RED.txt:3: not"),
        ("no-seen", "lag | command | | 60\n", "KNOWN-RED.txt:1: not"),
        ("five", "lag | command | seen | 60 | more\n", "KNOWN-RED.txt:1: not"),
        ("four", &"a::red | cause | 7\n".repeat(4), "holds 4 tests, 3 at most"),
    ] {
        let (success, skips, stderr) = outcome(&run_script(name, text));
        assert!(!success && skips.is_empty() && stderr.contains(reason), "{name}: {stderr}");
    }
}
