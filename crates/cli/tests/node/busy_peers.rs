//! Peers that always have bytes ready: clients, engines and a discovery that send without end. None of them
//! may stop the node for the others, and none may keep a request, an attempt or a watch beyond its time.
//!
//! Each flood goes on until the node ends the connection or is itself ended with the test.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::JoinHandle;

use crate::bed::{TestBed, server_list};
use crate::peer::{Peer, WATCH_HEAD, answer_watch, chunk};
use crate::support::*;

/// Sends a text over and over until the connection ends, and drops what comes back.
fn flood(stream: &TcpStream, text: &str) -> JoinHandle<()> {
    let mut sending = stream.try_clone().unwrap();
    let mut receiving = stream.try_clone().unwrap();
    receiving.set_read_timeout(None).unwrap();
    let pieces = text.repeat(1 + (1 << 20) / text.len());
    let receiver = std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while receiving.read(&mut buffer).is_ok_and(|n| n > 0) {}
        let _ = receiving.shutdown(Shutdown::Both);
    });
    std::thread::spawn(move || {
        while sending.write_all(pieces.as_bytes()).is_ok() {}
        let _ = sending.shutdown(Shutdown::Both);
        receiver.join().unwrap();
    })
}

/// Requests that a client of [`flood_of_answered_requests`] has open at once. The node receives as many ahead.
const OPEN_REQUESTS: usize = 500;

/// Keeps hundreds of requests open until the connection ends: as some are answered, as many follow.
fn flood_of_answered_requests(stream: &TcpStream, request: &str) -> JoinHandle<()> {
    const ANSWER_START: &str = "HTTP/1.1 ";
    let (mut stream, request) = (stream.try_clone().unwrap(), request.to_owned());
    stream.set_read_timeout(None).unwrap();
    std::thread::spawn(move || {
        let (mut received, mut buffer) = (String::new(), vec![0; 1 << 20]);
        let mut is_open = stream.write_all(request.repeat(OPEN_REQUESTS).as_bytes()).is_ok();
        while is_open {
            let n = stream.read(&mut buffer).unwrap_or(0);
            received.push_str(&String::from_utf8_lossy(&buffer[..n]));
            let answered = received.matches(ANSWER_START).count();
            // An answer may begin in what is kept, but not lie in it.
            received.drain(..received.len().saturating_sub(ANSWER_START.len() - 1));
            is_open = n > 0 && stream.write_all(request.repeat(answered).as_bytes()).is_ok();
        }
    })
}

/// Guards against a stopped node: clients that had hundreds of requests ready at any time kept the only worker
/// thread, and every other client waited for as long as they stayed.
#[test]
fn clients_with_requests_always_ready_do_not_stop_the_node() {
    let without_id = chat("none", "plain", 4000).replace("X-Trace-Id: none\r\n", "");
    let ready = "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n".to_owned();
    // Such a request passes through the event loop, whose answer wakes the connection's coroutine.
    let without_time = chat("no-time", "plain", 0);
    for (kind, request) in [("without-id", &without_id), ("ready", &ready), ("without-time", &without_time)] {
        let platform = Platform::start(1, 1).unwrap();
        let node = start_node(&platform, |_| {});
        let mut kept = node.client();
        kept.send(&chat(&format!("{kind}-before"), "plain", 4000));
        assert!(is_served(&kept.answer()), "{kind}");
        let clients: Vec<Client> = (0..6).map(|_| node.client()).collect();
        let start = if kind == "without-time" { flood_of_answered_requests } else { flood };
        let floods: Vec<_> = clients.iter().map(|client| start(&client.stream, request)).collect();
        // All floods are being served.
        let is_flooded = || node.cpu_ticks() > 20;
        assert!(Platform::wait_until(LONG, is_flooded), "{kind}: the node is not busy");
        for n in 0..3 {
            kept.send(&chat(&format!("{kind}-kept-{n}"), "plain", 20_000));
            assert!(is_served(&kept.answer()), "{kind}: a client with an open connection is not served");
            let mut new = node.client();
            new.send(&chat(&format!("{kind}-new-{n}"), "plain", 20_000));
            assert!(is_served(&new.answer()), "{kind}: a new client is not served");
        }
        drop(node);
        floods.into_iter().for_each(|flood| flood.join().unwrap());
    }
}

/// Guards against a request that never ends: the trailer of a chunked body can go on for ever, and the time
/// limit on a request counts whether or not the socket is ever empty.
#[test]
fn a_body_whose_trailer_never_ends_is_refused_in_time() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let mut client = node.client();
    let head = chat("trailer-1", "plain", 4000);
    let head = head.split("Content-Length").next().unwrap();
    client.send(&format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\n{{}}\r\n0\r\n"));
    let mut sending = client.stream.try_clone().unwrap();
    let flood = std::thread::spawn(move || {
        let trailer = "x-trailer: value\r\n".repeat(64 << 10);
        while sending.write_all(trailer.as_bytes()).is_ok() {}
    });
    assert!(is_served(&node.request("beside-1", "plain")));
    assert!((400..500).contains(&client.answer().status));
    let _ = client.stream.shutdown(Shutdown::Both);
    flood.join().unwrap();
}

/// What an engine sends without end, and in which place.
struct EngineFlood {
    kind: &'static str,
    is_reader: bool,
    /// What it sends once before the flood.
    opening: &'static str,
    piece: &'static str,
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const INTERIM_RESPONSE: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const COMMENT_CHUNK: &str = "5\r\n: c\n\n\r\n";

/// Guards against an attempt that never ends: its deadline was looked at only when the engine's socket was
/// empty, so that a request got no answer while interim responses, comments or trailers kept coming.
#[test]
fn an_engine_that_sends_without_end_is_given_up_in_time() {
    let floods = [
        EngineFlood { kind: "reader-interim", is_reader: true, opening: "", piece: INTERIM_RESPONSE },
        EngineFlood { kind: "writer-interim", is_reader: false, opening: "", piece: INTERIM_RESPONSE },
        EngineFlood { kind: "comments", is_reader: false, opening: STREAM_HEAD, piece: COMMENT_CHUNK },
        EngineFlood {
            kind: "refusal-trailer",
            is_reader: true,
            opening: "HTTP/1.1 503 Busy\r\nx-never-ran: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            piece: "x-trailer: value\r\n",
        },
    ];
    for EngineFlood { kind, is_reader, opening, piece } in floods {
        let bed = TestBed::new(1, 1);
        let node = bed.node(|config| config["settings"]["limits"]["most-tries"] = 2.into());
        let mut client = node.client();
        client.send(&chat(&format!("{kind}-1"), "plain", 1000));
        let (mut connection, _) = bed.readers[0].next_request();
        if !is_reader {
            connection.answer_prefill();
            bed.readers[0].keep_open(connection);
            connection = bed.writers[0].next_request().0;
        }
        connection.write(opening);
        let flood = flood(&connection.stream, piece);
        assert_eq!(node.client().get("/-/ready"), Some(200), "{kind}: the node serves nobody else");
        let answer = client.answer();
        assert!([502, 503].contains(&answer.status), "{kind}: {answer:?}");
        flood.join().unwrap();
    }
}

/// Guards against a client that waits for ever: an engine that went on with comments after the first event of
/// its stream kept the stream open.
#[test]
fn a_stream_of_comments_without_end_is_ended() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    let mut client = node.client();
    client.send(&chat("comments-1", "plain", 4000));
    let (mut connection, _) = bed.readers[0].next_request();
    connection.answer_prefill();
    bed.readers[0].keep_open(connection);
    let (mut connection, _) = bed.writers[0].next_request();
    connection.begin_stream();
    let flood = flood(&connection.stream, COMMENT_CHUNK);
    assert_eq!(node.client().get("/-/ready"), Some(200));
    let answer = client.answer();
    assert!(answer.status == 200 && !answer.is_complete, "{answer:?}");
    flood.join().unwrap();
}

/// Guards against a node without a server list: a discovery whose bytes never ended kept the node's only
/// thread, and the time limit on its watch was looked at only when the socket was empty.
#[test]
fn a_discovery_that_sends_without_end_does_not_stop_the_node() {
    let list = |seq: u64, bed: &TestBed| server_list(seq, true, &bed.hosts());
    let trailer_opening = format!("{WATCH_HEAD}0\r\n");
    let empty_list = chunk(&(server_list(1, false, &[]) + "\n"));
    for (kind, opening, piece) in [
        ("interim", "", INTERIM_RESPONSE),
        ("trailer", &*trailer_opening, "x-trailer: value\r\n"),
        ("lists", WATCH_HEAD, &*empty_list),
    ] {
        let (bed, discovery) = (TestBed::new(1, 1), Peer::new());
        let node = bed.node(|config| config["discovery"] = discovery.addr.to_string().into());
        drop(answer_watch(&discovery, &node, &list(1, &bed)));
        let (mut watch, _) = discovery.next_request();
        watch.write(opening);
        let flood = flood(&watch.stream, piece);
        for n in 0..3 {
            bed.assert_serves(&node, &format!("{kind}-{n}"));
        }
        if kind == "lists" {
            // Such a watch is alive, so it stays.
            drop(node);
        } else {
            answer_watch(&discovery, &node, &list(2, &bed));
        }
        flood.join().unwrap();
    }
}
