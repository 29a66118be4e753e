//! Malformed input from clients, engines and tool servers. Each gets the error that its protocol defines, and
//! nothing panics, hangs or leaks an attempt.

mod common;

use std::time::Duration;

use common::{Call, CallEnd, MAX_WAIT, TestCluster, call_body};
use elderstage_net::{NetError, connect};
use elderstage_protocol::mcp;
use elderstage_rehearsal::fleet::ANY_PORT;
use elderstage_standin::peer::{PeerScript, ScriptedPeer};

/// Sends raw bytes and returns the status and the body of the response.
fn send_raw(cluster: &TestCluster, bytes: &[u8]) -> (u16, String) {
    let mut conn = connect(cluster.addr, MAX_WAIT).unwrap();
    conn.set_read_timeout(Some(MAX_WAIT));
    conn.write(bytes).unwrap();
    let head = conn.receive_response().unwrap();
    let body = conn.receive_body(head.framing).unwrap();
    (head.status, String::from_utf8_lossy(&body).into_owned())
}

#[test]
fn malformed_http_gets_the_matching_status() {
    let cluster = TestCluster::start(|_| {}, "head 2048\nbody 4096", "");
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(5000));
    for (bytes, status) in [
        ("nonsense\r\n\r\n", 400),
        ("GET /mcp HTTP/3.0\r\n\r\n", 505),
        ("POST /mcp HTTP/1.1\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n{}", 400),
        ("POST /mcp HTTP/1.1\r\ncontent-length: nine\r\n\r\n", 400),
        ("POST /mcp HTTP/1.1\r\ncontent-length: 99999\r\n\r\n", 413),
        ("POST /mcp HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n", 400),
        ("POST /mcp HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n", 501),
        (long_head.as_str(), 431),
        ("PUT /mcp HTTP/1.1\r\n\r\n", 405),
        ("GET /nowhere HTTP/1.1\r\n\r\n", 404),
        ("GET /mcp HTTP/1.1\r\naccept: text/html\r\n\r\n", 406),
        ("GET /mcp HTTP/1.1\r\norigin: http://evil.example\r\n\r\n", 403),
        ("GET /mcp HTTP/1.1\r\nmcp-protocol-version: 1999-01-01\r\n\r\n", 400),
        ("GET /mcp HTTP/1.1\r\nmcp-session-id: unknown\r\n\r\n", 404),
        ("DELETE /mcp HTTP/1.1\r\n\r\n", 400),
        ("POST /mcp HTTP/1.1\r\ncontent-type: text/xml\r\ncontent-length: 0\r\n\r\n", 415),
    ] {
        assert_eq!(send_raw(&cluster, bytes.as_bytes()).0, status, "{bytes:?}");
    }
    // A client that leaves in the middle of a body must not affect other clients, and nothing stays held for it.
    let mut incomplete = connect(cluster.addr, MAX_WAIT).unwrap();
    incomplete.write(b"POST /mcp HTTP/1.1\r\ncontent-length: 50\r\n\r\n{").unwrap();
    drop(incomplete);
    cluster.call("ask", "Still there? [words 3]").expect_served();
    cluster.finish_and_check();
}

#[test]
fn malformed_json_rpc_gets_the_matching_code() {
    let cluster = TestCluster::start_default();
    let deep = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let nested = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\",\"params\":{{\"a\":{}1{}}}}}",
        "[".repeat(120),
        "]".repeat(120)
    );
    for (body, expected) in [
        ("{", "-32700"),
        ("\u{feff}{}", "-32700"),
        (deep.as_str(), "-32700"),
        (nested.as_str(), "\"result\":{}"),
        ("[]", "-32600"),
        ("7", "-32600"),
        ("{\"jsonrpc\":\"1.0\",\"id\":1,\"method\":\"ping\"}", "-32600"),
        ("{\"jsonrpc\":\"2.0\",\"id\":null,\"method\":\"ping\"}", "-32600"),
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"server/discover\"}", "-32601"),
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":{}}", "-32602"),
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":[]}", "-32602"),
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{}}", "-32602"),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"nope\"}}",
            "no tool is called nope",
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"ask\",\"arguments\":{\"prompt\":3}}}",
            "prompt must be a string",
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"ask\",\"arguments\":{\"prompt\":\"x\",\"z\":1}}}",
            "no argument is called z",
        ),
    ] {
        let (_, response) = cluster.post(body);
        assert!(response.contains(expected), "{body:.80}: {response}");
    }
    assert_eq!(cluster.post("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/anything\"}").0, 202);
    assert_eq!(cluster.post("{\"jsonrpc\":\"2.0\",\"id\":4,\"result\":{}}").0, 202);
    let (status, _) = cluster.post_with(
        &[("content-type", "application/json"), ("accept", "application/json")],
        &call_body("ask", "x", 1, false),
    );
    assert_eq!(status, 406, "the response to a call is a stream, which this client does not accept");
    assert_eq!(cluster.status().counters.admitted, 0);
    cluster.finish_and_check();
}

/// Starts a cluster whose only engine is a scripted peer.
fn start_with_engine_peer(script: PeerScript) -> (TestCluster, ScriptedPeer) {
    elderstage_net::init(2);
    let peer = ScriptedPeer::start(ANY_PORT, script).unwrap();
    let addr = peer.addr();
    let cluster = TestCluster::with_config(
        |_| {},
        "stall 400ms",
        "probes no",
        |text, _| {
            let list = format!("server p {{\n address {addr}\n kind mixed\n zone a\n}}\n");
            text.replace("servers servers.conf", &list)
                .replace("give-up 6s", "give-up 2s")
                .replace("give-up 12s", "give-up 3s")
        },
    );
    (cluster, peer)
}

fn stream(events: &str) -> Vec<u8> {
    let mut out = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec();
    out.extend_from_slice(events.as_bytes());
    out
}

const HELLO: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"hello \"}}]}\n\n";
const STOP: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";

#[test]
fn malformed_engine_responses_fail_an_order_and_leave_no_request() {
    let done = "data: [DONE]\n\n";
    let call = "data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":3,\"id\":\"c\",\"function\":{\"name\":\"x\",\"arguments\":\"\"}}]}}]}\n\n";
    let scripts: Vec<(&str, Vec<u8>, bool)> = vec![
        ("not HTTP", b"SSH-2.0-engine\r\n\r\n".to_vec(), true),
        ("closed at once", Vec::new(), true),
        ("not a stream", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_vec(), true),
        ("not JSON", stream("data: {\"choices\"\n\n"), true),
        ("not UTF-8", [stream("data: "), b"\xff\xfe\n\n".to_vec()].concat(), true),
        (
            "an error in the stream",
            stream(&format!("{HELLO}data: {{\"error\":{{\"message\":\"x\"}}}}\n\n")),
            true,
        ),
        ("ends before the [DONE] event", stream(HELLO), true),
        ("no finish reason", stream(&format!("{HELLO}{done}")), true),
        ("a tool call that skips an index", stream(&format!("{HELLO}{call}{STOP}{done}")), true),
        ("stalls after text", stream(HELLO), false),
        ("500", b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n".to_vec(), true),
    ];
    for (what, bytes, close) in scripts {
        // Each case has its own front, because a failure ejects the only engine for a while.
        let (cluster, _peer) = start_with_engine_peer(PeerScript { bytes, close });
        let end = cluster.call("order", "x").wait_for_end();
        assert!(matches!(end, CallEnd::Failed(_)), "{what}: {end:?}");
        assert_eq!(cluster.status().held, 0, "{what}");
        cluster.finish_and_check();
    }
    let valid = stream(&format!("{HELLO}{STOP}data: [DONE]\n\n"));
    let (cluster, _peer) = start_with_engine_peer(PeerScript { bytes: valid, close: true });
    assert_eq!(cluster.call("order", "x").expect_served(), "hello ");
    cluster.finish_and_check();
}

#[test]
fn malformed_tool_server_responses_give_the_model_an_error() {
    let http = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    for (what, bytes) in [
        ("no HTTP", "nonsense\r\n\r\n".to_owned()),
        ("not JSON", http("{")),
        ("no result of initialize", http("{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}")),
        ("closed", String::new()),
    ] {
        elderstage_net::init(2);
        let peer =
            ScriptedPeer::start(ANY_PORT, PeerScript { bytes: bytes.into_bytes(), close: true }).unwrap();
        let addr = peer.addr();
        let cluster = TestCluster::with_config(
            |_| {},
            "",
            "",
            |text, fleet| text.replace(&fleet.tools.addr().to_string(), &addr.to_string()),
        );
        // All of these faults occur before the call is sent: the tool has not run, and the model gets that result.
        let text = cluster.call("order", "x [words 3][call place_order]").expect_served();
        assert!(text.contains("error: the tool gave no result"), "{what}: {text}");
        cluster.finish_and_check();
    }
}

#[test]
fn an_answer_over_the_length_limit_fails() {
    let cluster = TestCluster::start(
        |site| {
            site.kinds
                .iter_mut()
                .for_each(|kind| (kind.spec.step_time_us, kind.spec.step_time_per_answer_us) = (150, 1))
        },
        "answer 1024",
        "",
    );
    let end = cluster.call("order", "Much. [words 400]").wait_for_end();
    assert!(matches!(&end, CallEnd::Failed(why) if why.contains("longer")), "{end:?}");
    cluster.finish_and_check();
}

#[test]
fn closing_a_session_ends_its_calls_and_a_get_stream_stays_open() {
    let cluster = TestCluster::start_default();
    let session = cluster.open_session();
    let conn = connect(cluster.addr, MAX_WAIT).unwrap();
    let mut call = Call::send(conn, cluster.addr, "ask", "All of it. [words 500]", 5, Some(&session), true);
    call.wait_for_text();
    let (status, _) = send_raw(
        &cluster,
        format!("DELETE /mcp HTTP/1.1\r\n{}: {session}\r\n\r\n", mcp::SESSION_HEADER).as_bytes(),
    );
    assert_eq!(status, 204);
    assert_eq!(call.wait_for_end(), CallEnd::NoResponse);
    let mut stream = connect(cluster.addr, MAX_WAIT).unwrap();
    stream.write(b"GET /mcp HTTP/1.1\r\naccept: text/event-stream\r\n\r\n").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(300)));
    assert_eq!(stream.receive_response().unwrap().status, 200);
    assert!(matches!(stream.fill(), Err(NetError::TimedOut)), "the stream must stay open");
    cluster.finish_and_check();
}
