//! The built adapter on its wire: framing, batches, bad input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"domain":{"kind-role":["read","write"],"tokens-by-kind":[100000,100000],"let-go-by-us":300000,"self-prefill":true,"token-aim-us":[60000.0]},"limits":{"most-tries":4,"cancel":true},"n-instances":1,"services":[{"aim-us":1000000,"give-up-us":6000000,"semantics":"pure","worth":1.0}],"unheard-of":[1]}"#;

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_elderstage-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a bad line; that is no failure of the test.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn start(who: u32) -> String {
    format!(
        "AT who={who}\nATTACH salt=9 profile-data={SETTINGS}\n\
         SNAPSHOT_ROWS list=0 hosts=2\n\
         ENGINE block=0 status=Running engine=10.0.0.1:1 heft=1 shape=0 site=0\n\
         ENGINE block=0 status=Running engine=10.0.0.2:1 heft=1 shape=1 site=0 odd=7\n\
         BACKENDS_CHANGED list=0 mode=restored index=1\n"
    )
}

fn accept(id: u32) -> String {
    format!("ACCEPT id={id} tier-class=0 session-id=chat/a time-left-us=6000000 n-prompt=900 n-max=200\n")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

#[test]
fn each_batch_gets_one_reply_and_end_of_input_exits_0() {
    let one = format!("MARK time-us=1000 serial=1\n{}END\n", start(3));
    let two =
        format!("MARK time-us=2000 serial=2\nAT who=3\n{}END\nMARK time-us=3000 serial=3\nEND\n", accept(77));
    let output = play((one + &two).as_bytes());
    assert!(output.status.success());
    let text = stdout(&output);
    assert!(text.starts_with("YIELD serial=1\nFROM who=3\nDELIVER id=77 try-for-us="), "{text}");
    assert!(text.contains(" engine=10.0.0.1:1\nNOTIFY_ME "), "{text}");
    assert!(text.ends_with("YIELD serial=2\nYIELD serial=3\n"), "{text}");
}

#[test]
fn a_read_goes_on_to_the_writer() {
    let batches = format!(
        "MARK time-us=1000 serial=1\n{}{}END\nMARK time-us=90000 serial=2\nAT who=0\n\
         ANSWER id=5 hop=0 engine=10.0.0.1:1 disposition=READ took-us=88000 settled=0 note=0\nEND\n",
        start(0),
        accept(5)
    );
    let text = stdout(&play(batches.as_bytes()));
    assert!(text.contains("engine=10.0.0.2:1\nYIELD serial=2\n"), "{text}");
}

#[test]
fn unknown_events_and_keys_are_skipped() {
    let input = format!("MARK time-us=1 serial=1 new=4\n{}NEWS what is this\n{}END\n", start(0), accept(1));
    let output = play(input.as_bytes());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout(&output).contains("DELIVER id=1 "));
}

#[test]
fn a_stopped_instance_acts_no_more_and_may_come_back_in_the_same_batch() {
    let again = format!("MARK time-us=1 serial=1\n{}{}HALT\n{}END\n", start(0), accept(1), start(0));
    let output = play(again.as_bytes());
    assert!(output.status.success());
    assert!(!stdout(&output).contains("DELIVER"), "{}", stdout(&output));
}

#[test]
fn bad_input_gets_a_message_with_line_and_field_and_a_failing_exit() {
    let head = format!("MARK time-us=1 serial=1\n{}", start(0));
    let line = head.lines().count() + 1;
    let cases: &[(&str, &str)] = &[
        ("ACCEPT id=x time-left-us=5", "id"),
        ("ACCEPT id=4294967296 time-left-us=5", "id"),
        ("ACCEPT id=1", "time-left-us"),
        ("ACCEPT id=1 time-left-us=-4", "time-left-us"),
        ("ACCEPT id=1 time-left-us=5 n-prompt=nan", "n-prompt"),
        ("ACCEPT id=1 time-left-us=5 junk", "junk"),
        ("ANSWER id=1 hop=0 engine=10.0.0.1:1 disposition=MAYBE", "disposition"),
        ("ANSWER id=1 hop=0 engine=10.0.0.1:1 disposition=OK settled=2", "settled"),
        ("BACKENDS_CHANGED list=9 mode=replace index=1", "list"),
        ("BACKENDS_CHANGED list=0 mode=odd index=1", "mode"),
        ("SNAPSHOT_ROWS list=1 hosts=1\nEND", "hosts"),
        ("ATTACH salt=1 profile-data={\"me\":", "profile-data"),
        ("ATTACH salt=1 profile-data=[]", "profile-data"),
        ("ATTACH salt=1 profile-data={\"domain\":{\"kind-role\":[\"poet\"]}}", "domain.kind-role[0]"),
        ("ATTACH salt=1 profile-data={\"limits\":{\"most-tries\":-1}}", "limits.most-tries"),
        ("AT who=8\nDEADLINE_HIT name=1", "who"),
        ("MARK time-us=2 serial=2", "MARK"),
    ];
    for (bad, field) in cases {
        let output = play(format!("{head}{bad}\nEND\n").as_bytes());
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        let at = line + bad.lines().count() - 1;
        assert_eq!(output.status.code(), Some(1), "{bad}: {said}");
        assert!(said.contains(&format!("line {at}: field")) && said.contains(field), "{bad}: {said}");
        assert!(!said.contains("panicked"), "{bad}: {said}");
    }
    assert_eq!(play(b"MARK time-us=1 serial=1\nAT who=\xff\n").status.code(), Some(1));
}
