//! Tests of the checker of the mock platform: it reports two attempts in progress at once and accepts a retry
//! after the first connection has closed.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use elderstage_standin::platform::{EngineEvent, Platform};

const LONG: Duration = Duration::from_secs(20);

#[test]
fn judge_reports_concurrent_attempts_but_not_a_retry() {
    let platform = Platform::start(0, 2).unwrap();
    let begun_count = || {
        platform.traffic.events().iter().filter(|seen| matches!(seen.pass, EngineEvent::Begun { .. })).count()
    };
    let send = |writer: usize, trace: &str| {
        let mut stream = TcpStream::connect(platform.engines[writer].addr).unwrap();
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nx-trace-id: {trace}\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let first = send(0, "writer-silent-1");
    assert!(Platform::wait_until(LONG, || begun_count() == 1));
    drop(first);
    let second = send(1, "writer-silent-1");
    assert!(Platform::wait_until(LONG, || begun_count() == 2));
    assert!(
        platform.traffic.violations(|_| false).is_empty(),
        "the second attempt was reported although the first had closed"
    );
    let third = send(0, "writer-silent-1");
    assert!(Platform::wait_until(LONG, || begun_count() == 3));
    assert_eq!(
        platform.traffic.violations(|_| false).len(),
        1,
        "two attempts at once were not reported exactly once"
    );
    drop((second, third));
}
