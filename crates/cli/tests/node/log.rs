//! The log lines of a request: each attempt, the answer and the close of the connection, with their reasons.

use crate::bed::{TestBed, long_lived_chat};
use crate::support::*;

#[test]
fn attempts_answers_and_closes_are_logged_with_their_reasons() {
    let bed = TestBed::new(1, 1);
    let level = "warn,sent=debug,attempt=debug,answered=debug,refused=debug,closed=debug";
    let mut node = bed.node_with_log(level, 256, |config| {
        config["known"]["hosts"] = Value::Array(bed.hosts());
    });
    let mut client = node.client();
    client.send(&long_lived_chat("told-1", "once"));
    let (mut reader, _) = bed.readers[0].next_request();
    reader.answer_prefill();
    bed.readers[0].keep_open(reader);
    let (writer, _) = bed.writers[0].next_request();
    writer.reset();
    assert_eq!(client.answer().status, 502, "the request may have run, so it fails");
    client.shutdown_write();
    let mut other = node.client();
    other.send("no request\r\n\r\n");
    assert_eq!(other.answer().status, 400);
    let mut missing = Vec::new();
    let is_logged = || {
        let log = node.log_text();
        let lines = [
            "DEBUG sent: trace=told-1 attempt=0",
            "DEBUG sent: trace=told-1 attempt=1",
            "outcome=Broken",
            "last=Failed attempts=2 last_outcome=Some(Broken)",
            "DEBUG refused: status=400",
            "DEBUG closed: reason=BadRequest",
            "DEBUG closed: reason=Client",
        ];
        missing = lines.into_iter().filter(|line| !log.contains(line)).collect();
        missing.is_empty()
    };
    assert!(Platform::wait_until(LONG, is_logged), "missing in the log: {missing:?} in {}", node.log_text());
}
