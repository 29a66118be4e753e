//! `.ci/known-red` on files of all kinds, with a stand-in for cargo that knows three tests, one of which fails.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const CARGO: &str = "#!/bin/sh\n\
    case \"$*\" in\n\
    *--list*) printf 'a::red: test\\na::green: test\\ntwice: test\\ntwice: test\\n';;\n\
    *'--exact a::red') echo 'test a::red ... FAILED'; exit 101;;\n\
    *) exit 0;;\n\
    esac\n";

fn run(name: &str, text: &str) -> Output {
    let dir = std::env::temp_dir().join(format!("elderstage-red-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (cargo, file): (PathBuf, PathBuf) = (dir.join("cargo"), dir.join("KNOWN-RED.txt"));
    std::fs::write(&cargo, CARGO).unwrap();
    std::fs::set_permissions(&cargo, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    std::fs::write(&file, text).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let done = Command::new("bash").arg(script).arg(&file).env("CARGO", &cargo).output().unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    done
}

fn told(of: &Output) -> (bool, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (of.status.success(), text(&of.stdout), text(&of.stderr))
}

#[test]
fn a_red_test_is_run_printed_and_passed_over() {
    let (good, skips, said) = told(&run("red", "a::red | the link is cut too late | 7\n"));
    assert!(good, "{said}");
    assert_eq!(skips, "--exact\n--skip\na::red\n");
    assert!(said.contains("known red: a::red (the link is cut too late; issue 7)"), "{said}");
    assert!(said.contains("test a::red ... FAILED"), "{said}");
    let (good, skips, _) = told(&run("none", "\n"));
    assert!(good && skips.is_empty(), "{skips}");
}

#[test]
fn what_is_not_red_or_no_test_or_one_too_many_fails() {
    for (name, text, why) in [
        ("green", "a::green | cause | 7\n", "passes: its line is to go"),
        ("unknown", "a::gone | cause | 7\n", "0 tests are named a::gone"),
        ("part", "a::re | cause | 7\n", "0 tests are named a::re"),
        ("twice", "twice | cause | 7\n", "2 tests are named twice"),
        ("bare", "a::red\n", "not \"test | cause | issue\""),
        ("no-issue", "a::red | cause |\n", "not \"test | cause | issue\""),
        ("four", &"a::red | cause | 7\n".repeat(4), "holds 4 tests, 3 at most"),
    ] {
        let (good, skips, said) = told(&run(name, text));
        assert!(!good && skips.is_empty() && said.contains(why), "{name}: {said}");
    }
}
