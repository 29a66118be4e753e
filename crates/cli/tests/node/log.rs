//! What the log tells of a request: each attempt, the answer and the close, with their reasons.

use crate::bed::{Bed, patient_chat};
use crate::support::*;

#[test]
fn attempts_answers_and_closes_are_said_with_their_reasons() {
    let bed = Bed::new(1, 1);
    let level = "warn,sent=debug,attempt=debug,answered=debug,refused=debug,closed=debug";
    let mut node = bed.logged_node(level, 256, |config| {
        config["known"]["hosts"] = Value::Array(bed.hosts());
    });
    let mut client = node.client();
    client.send(&patient_chat("told-1", "once"));
    let (mut line, _) = bed.readers[0].take();
    line.has_read();
    bed.readers[0].rest(line);
    let (line, _) = bed.writers[0].take();
    line.reset();
    assert_eq!(client.answer().status, 502, "it may have run");
    client.end();
    let mut other = node.client();
    other.send("no request\r\n\r\n");
    assert_eq!(other.answer().status, 400);
    let mut missing = Vec::new();
    let told = || {
        let said = node.said();
        let lines = [
            "DEBUG sent: trace=told-1 attempt=0",
            "DEBUG sent: trace=told-1 attempt=1",
            "outcome=Broken",
            "last=Failed attempts=2 last_outcome=Some(Broken)",
            "DEBUG refused: status=400",
            "DEBUG closed: reason=BadRequest",
            "DEBUG closed: reason=Client",
        ];
        missing = lines.into_iter().filter(|line| !said.contains(line)).collect();
        missing.is_empty()
    };
    assert!(Platform::until(LONG, told), "not said: {missing:?} in {}", node.said());
}
