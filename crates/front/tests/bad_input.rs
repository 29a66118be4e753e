//! Malformed input from clients, engines and tool servers: each gets the clear error of its protocol, and nothing
//! panics, hangs or leaks an attempt.

mod common;

use std::time::Duration;

use common::{Call, End, LONG, World, call_body};
use elderstage_net::{NetError, open};
use elderstage_protocol::mcp;
use elderstage_rehearsal::fleet::ANY_PORT;
use elderstage_standin::peer::{Peer, Script};

fn raw(world: &World, bytes: &[u8]) -> (u16, String) {
    let mut conn = open(world.addr, LONG).unwrap();
    conn.set_read_timeout(Some(LONG));
    conn.write(bytes).unwrap();
    let head = conn.response().unwrap();
    let body = conn.body(head.framing).unwrap();
    (head.status, String::from_utf8_lossy(&body).into_owned())
}

#[test]
fn malformed_http_is_answered_with_its_status() {
    let world = World::start(|_| {}, "head 2048\nbody 4096", "");
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(5000));
    for (bytes, status) in [
        ("nonsense\r\n\r\n", 400),
        ("GET /mcp HTTP/3.0\r\n\r\n", 505),
        ("POST /mcp HTTP/1.1\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n{}", 400),
        ("POST /mcp HTTP/1.1\r\ncontent-length: nine\r\n\r\n", 400),
        ("POST /mcp HTTP/1.1\r\ncontent-length: 99999\r\n\r\n", 413),
        ("POST /mcp HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n", 400),
        ("POST /mcp HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n", 501),
        (long.as_str(), 431),
        ("PUT /mcp HTTP/1.1\r\n\r\n", 405),
        ("GET /nowhere HTTP/1.1\r\n\r\n", 404),
        ("GET /mcp HTTP/1.1\r\naccept: text/html\r\n\r\n", 406),
        ("GET /mcp HTTP/1.1\r\norigin: http://evil.example\r\n\r\n", 403),
        ("GET /mcp HTTP/1.1\r\nmcp-protocol-version: 1999-01-01\r\n\r\n", 400),
        ("GET /mcp HTTP/1.1\r\nmcp-session-id: unknown\r\n\r\n", 404),
        ("DELETE /mcp HTTP/1.1\r\n\r\n", 400),
        ("POST /mcp HTTP/1.1\r\ncontent-type: text/xml\r\ncontent-length: 0\r\n\r\n", 415),
    ] {
        assert_eq!(raw(&world, bytes.as_bytes()).0, status, "{bytes:?}");
    }
    // A body that never comes to its end, and a head that stops: closed in time, and nothing is held for them.
    let mut half = open(world.addr, LONG).unwrap();
    half.write(b"POST /mcp HTTP/1.1\r\ncontent-length: 50\r\n\r\n{").unwrap();
    drop(half);
    world.call("ask", "Still there? [words 3]").served();
    world.finish();
}

#[test]
fn malformed_json_rpc_is_answered_with_its_code() {
    let world = World::plain();
    let deep = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let nested = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\",\"params\":{{\"a\":{}1{}}}}}",
        "[".repeat(120),
        "]".repeat(120)
    );
    for (body, wanted) in [
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
        let (_, said) = world.post(body);
        assert!(said.contains(wanted), "{body:.80}: {said}");
    }
    assert_eq!(world.post("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/anything\"}").0, 202);
    assert_eq!(world.post("{\"jsonrpc\":\"2.0\",\"id\":4,\"result\":{}}").0, 202);
    let (status, _) = world.post_with(
        &[("content-type", "application/json"), ("accept", "application/json")],
        &call_body("ask", "x", 1, false),
    );
    assert_eq!(status, 406, "a call is answered by a stream");
    assert_eq!(world.status().counters.taken, 0);
    world.finish();
}

/// A world whose only engine is a scripted peer.
fn with_peer(script: Script) -> (World, Peer) {
    elderstage_net::init(2);
    let peer = Peer::start(ANY_PORT, script).unwrap();
    let addr = peer.addr();
    let world = World::with_config(
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
    (world, peer)
}

fn stream(events: &str) -> Vec<u8> {
    let mut out = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec();
    out.extend_from_slice(events.as_bytes());
    out
}

const HELLO: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"hello \"}}]}\n\n";
const STOP: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";

#[test]
fn malformed_answers_of_engines_fail_an_order_and_leave_nothing() {
    let done = "data: [DONE]\n\n";
    let call = "data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":3,\"id\":\"c\",\"function\":{\"name\":\"x\",\"arguments\":\"\"}}]}}]}\n\n";
    let scripts: Vec<(&str, Vec<u8>, bool)> = vec![
        ("no HTTP", b"SSH-2.0-engine\r\n\r\n".to_vec(), true),
        ("closed at once", Vec::new(), true),
        ("not a stream", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_vec(), true),
        ("no JSON", stream("data: {\"choices\"\n\n"), true),
        ("not UTF-8", [stream("data: "), b"\xff\xfe\n\n".to_vec()].concat(), true),
        (
            "an error in the stream",
            stream(&format!("{HELLO}data: {{\"error\":{{\"message\":\"x\"}}}}\n\n")),
            true,
        ),
        ("ends without its end", stream(HELLO), true),
        ("no finish", stream(&format!("{HELLO}{done}")), true),
        ("a call with a place left out", stream(&format!("{HELLO}{call}{STOP}{done}")), true),
        ("stands still after text", stream(HELLO), false),
        ("500", b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n".to_vec(), true),
    ];
    for (what, bytes, close) in scripts {
        // A front of its own for each: a failure suspends the only engine for a while.
        let (world, _peer) = with_peer(Script { bytes, close });
        let end = world.call("order", "x").end();
        assert!(matches!(end, End::Failed(_)), "{what}: {end:?}");
        assert_eq!(world.status().held, 0, "{what}");
        world.finish();
    }
    let good = stream(&format!("{HELLO}{STOP}data: [DONE]\n\n"));
    let (world, _peer) = with_peer(Script { bytes: good, close: true });
    assert_eq!(world.call("order", "x").served(), "hello ");
    world.finish();
}

#[test]
fn malformed_answers_of_tool_servers_fail_an_order() {
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
        let peer = Peer::start(ANY_PORT, Script { bytes: bytes.into_bytes(), close: true }).unwrap();
        let addr = peer.addr();
        let world = World::with_config(
            |_| {},
            "",
            "",
            |text, fleet| text.replace(&fleet.tools.addr().to_string(), &addr.to_string()),
        );
        // All of these happen before the call itself: it has not run, and the model is told so.
        let text = world.call("order", "x [words 3][call place_order]").served();
        assert!(text.contains("error: the tool gave no result"), "{what}: {text}");
        world.finish();
    }
}

#[test]
fn an_answer_that_outgrows_its_bound_is_ended() {
    let world = World::start(
        |site| site.kinds.iter_mut().for_each(|kind| (kind.spec.step, kind.spec.step_per_answer) = (150, 1)),
        "answer 1024",
        "",
    );
    let end = world.call("order", "Much. [words 400]").end();
    assert!(matches!(&end, End::Failed(why) if why.contains("longer")), "{end:?}");
    world.finish();
}

#[test]
fn sessions_end_with_their_calls_and_pings_keep_a_stream() {
    let world = World::plain();
    let session = world.initialize();
    let conn = open(world.addr, LONG).unwrap();
    let mut call = Call::on(conn, world.addr, "ask", "All of it. [words 500]", 5, Some(&session), true);
    call.first();
    let (status, _) =
        raw(&world, format!("DELETE /mcp HTTP/1.1\r\n{}: {session}\r\n\r\n", mcp::SESSION_HEADER).as_bytes());
    assert_eq!(status, 204);
    assert_eq!(call.end(), End::Nothing);
    let mut stream = open(world.addr, LONG).unwrap();
    stream.write(b"GET /mcp HTTP/1.1\r\naccept: text/event-stream\r\n\r\n").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(300)));
    assert_eq!(stream.response().unwrap().status, 200);
    assert!(matches!(stream.fill(), Err(NetError::TimedOut)), "it stays open");
    world.finish();
}
