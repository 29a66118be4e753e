//! The built `elderstage-simhost` on its wire: framing, batches and invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"domain":{"kind-role":["read","write"],"tokens-by-kind":[100000,100000],"let-go-by-us":300000,"self-prefill":true,"token-aim-us":[60000.0]},"limits":{"most-tries":4,"cancel":true},"n-instances":1,"services":[{"aim-us":1000000,"give-up-us":6000000,"semantics":"pure","worth":1.0}],"unheard-of":[1]}"#;

fn run_host(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_elderstage-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the host starts");
    // The host may stop reading at an invalid line; a failed write is no failure of the test.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the host ends")
}

fn attach_with_servers(who: u32) -> String {
    format!(
        "AT who={who}\nATTACH salt=9 profile-data={SETTINGS}\n\
         SNAPSHOT_ROWS list=0 hosts=2\n\
         ENGINE block=0 status=Running engine=10.0.0.1:1 heft=1 shape=0 site=0\n\
         ENGINE block=0 status=Running engine=10.0.0.2:1 heft=1 shape=1 site=0 odd=7\n\
         BACKENDS_CHANGED list=0 mode=restored index=1\n"
    )
}

fn accept_line(id: u32) -> String {
    format!("ACCEPT id={id} tier-class=0 session-id=chat/a time-left-us=6000000 n-prompt=900 n-max=200\n")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

#[test]
fn each_batch_gets_one_reply_and_end_of_input_exits_0() {
    let one = format!("MARK time-us=1000 serial=1\n{}END\n", attach_with_servers(3));
    let two = format!(
        "MARK time-us=2000 serial=2\nAT who=3\n{}END\nMARK time-us=3000 serial=3\nEND\n",
        accept_line(77)
    );
    let output = run_host((one + &two).as_bytes());
    assert!(output.status.success());
    let text = stdout(&output);
    assert!(text.starts_with("YIELD serial=1\nFROM who=3\nDELIVER id=77 try-for-us="), "{text}");
    assert!(text.contains(" engine=10.0.0.1:1\nNOTIFY_ME "), "{text}");
    assert!(text.ends_with("YIELD serial=2\nYIELD serial=3\n"), "{text}");
}

#[test]
fn a_completed_read_is_sent_on_to_a_writer() {
    let batches = format!(
        "MARK time-us=1000 serial=1\n{}{}END\nMARK time-us=90000 serial=2\nAT who=0\n\
         ANSWER id=5 hop=0 engine=10.0.0.1:1 disposition=READ took-us=88000 settled=0 note=0\nEND\n",
        attach_with_servers(0),
        accept_line(5)
    );
    let text = stdout(&run_host(batches.as_bytes()));
    assert!(text.contains("engine=10.0.0.2:1\nYIELD serial=2\n"), "{text}");
}

#[test]
fn unknown_events_and_keys_are_skipped() {
    let input = format!(
        "MARK time-us=1 serial=1 new=4\n{}NEWS what is this\n{}END\n",
        attach_with_servers(0),
        accept_line(1)
    );
    let output = run_host(input.as_bytes());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout(&output).contains("DELIVER id=1 "));
}

#[test]
fn a_halted_instance_sends_no_actions_and_can_be_attached_again_in_the_same_batch() {
    let again = format!(
        "MARK time-us=1 serial=1\n{}{}HALT\n{}END\n",
        attach_with_servers(0),
        accept_line(1),
        attach_with_servers(0)
    );
    let output = run_host(again.as_bytes());
    assert!(output.status.success());
    assert!(!stdout(&output).contains("DELIVER"), "{}", stdout(&output));
}

#[test]
fn invalid_input_is_reported_with_line_and_field_and_exit_status_1() {
    let head = format!("MARK time-us=1 serial=1\n{}", attach_with_servers(0));
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
    for (invalid, field) in cases {
        let output = run_host(format!("{head}{invalid}\nEND\n").as_bytes());
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        let at = line + invalid.lines().count() - 1;
        assert_eq!(output.status.code(), Some(1), "{invalid}: {message}");
        assert!(
            message.contains(&format!("line {at}: field")) && message.contains(field),
            "{invalid}: {message}"
        );
        assert!(!message.contains("panicked"), "{invalid}: {message}");
    }
    assert_eq!(run_host(b"MARK time-us=1 serial=1\nAT who=\xff\n").status.code(), Some(1));
}
