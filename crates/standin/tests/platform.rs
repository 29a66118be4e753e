//! The scripted platform's own checker sees what it is there to see.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use elderstage_standin::platform::{Pass, Platform};

const LONG: Duration = Duration::from_secs(20);

#[test]
fn a_second_copy_is_seen_and_a_next_attempt_is_none() {
    let platform = Platform::start(0, 2).unwrap();
    let begun =
        || platform.traffic.seen().iter().filter(|seen| matches!(seen.pass, Pass::Begun { .. })).count();
    let send = |writer: usize, trace: &str| {
        let mut stream = TcpStream::connect(platform.engines[writer].addr).unwrap();
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nx-trace-id: {trace}\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let first = send(0, "writer-silent-1");
    assert!(Platform::until(LONG, || begun() == 1));
    drop(first);
    let second = send(1, "writer-silent-1");
    assert!(Platform::until(LONG, || begun() == 2));
    assert!(platform.traffic.judge(|_| false).is_empty(), "the first was closed before");
    let third = send(0, "writer-silent-1");
    assert!(Platform::until(LONG, || begun() == 3));
    assert_eq!(platform.traffic.judge(|_| false).len(), 1, "two at once");
    drop((second, third));
}
