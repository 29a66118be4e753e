//! Closing connections to clients and engines while bytes are in flight.

use std::io::{Read, Write};
use std::time::Duration;

use crate::bed::{TestBed, long_lived_chat};
use crate::peer::{is_complete_stream, next_request_at_any};
use crate::support::*;

/// Hundreds of connections without a request on a node with few descriptors: they are closed, and requests
/// are served.
#[test]
fn connections_without_a_request_are_closed_to_make_room() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let mut silent: Vec<Client> = (0..400).filter_map(|_| Client::connect(node.addr)).collect();
    for n in 0..5 {
        assert!(is_served(&node.request(&format!("good-{n}"), "plain")), "request {n}");
    }
    assert!(silent.iter_mut().all(Client::wait_until_closed));
}

/// A client that asks for its connection to be closed and has sent more bytes than its request gets its
/// complete answer.
#[test]
fn an_answer_is_not_destroyed_by_unreceived_bytes_of_its_client() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    for n in 0..10 {
        let mut client = node.client();
        let request =
            chat(&format!("more-bytes-{n}"), "plain", 4000).replace("Host:", "Connection: close\r\nHost:");
        client.send(&(request + &"x".repeat(300_000)));
        assert!(is_served(&client.answer()), "client {n}");
        let end = client.stream.read(&mut [0; 16]);
        assert!(matches!(end, Ok(0)), "client {n}: the connection is not closed without a reset: {end:?}");
    }
}

/// An idle connection's time limit passes at the moment at which its client's next request has arrived.
#[test]
fn a_request_that_arrives_as_its_idle_connection_expires_is_answered() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let mut client = node.client();
    client.send(&chat("kept-1", "plain", 4000));
    assert!(is_served(&client.answer()));
    node.suspend();
    client.send(&chat("kept-2", "plain", 4000));
    // Longer than an idle connection is kept (6 s), so it has expired when the node resumes.
    std::thread::sleep(Duration::from_millis(6_200));
    node.resume();
    let answer = client.answer();
    assert!(is_served(&answer), "{answer:?}");
}

/// Guards against a destroyed answer: a connection is evicted while its request arrives, and its client keeps
/// sending and receives slowly. When the node closed such a connection right after writing the answer, the
/// bytes that arrived then reset it, and the rest of the answer was lost.
#[test]
fn an_evicted_connection_delivers_its_answer_before_it_closes() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|config| config["limits"]["sockets"] = 64.into());
    let event = "x".repeat(200 << 10);
    // The oldest idle connection. Its receive buffer is small, so most of its answer waits at the node.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&node.addr.into()).unwrap();
    let stream = std::net::TcpStream::from(socket);
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut client = Client { stream, received: Vec::new() };
    node.wait_until_processed();
    // All other connections have begun a request, so this one is the only idle one.
    let mut busy: Vec<Client> = (0..9).map(|_| node.client()).collect();
    busy.iter_mut().for_each(|other| other.send("POST"));
    node.wait_until_processed();
    node.suspend();
    // First new connections that need its place, then its request. Both are pending when the node resumes.
    let newcomers = [node.client(), node.client()];
    client.send(&long_lived_chat("leaves-1", "plain"));
    node.resume();
    let (mut connection, request) = bed.readers[0].next_request();
    assert_eq!(request.trace(), "leaves-1");
    connection.answer_prefill();
    let (mut connection, _) = bed.writers[0].next_request();
    // The client sends more than a request meanwhile, so the connection is closed after this answer.
    client.send(&"x".repeat(400_000));
    node.wait_until_processed();
    connection.begin_stream();
    connection.send_event(&event);
    connection.end_stream();
    let mut flood = client.stream.try_clone().unwrap();
    let flooding = std::thread::spawn(move || {
        // Sends until the node has closed the connection, for some seconds at most.
        for _ in 0..10_000 {
            if flood.write_all(b"x").is_err() {
                return;
            }
            std::thread::sleep(Duration::from_micros(300));
        }
    });
    let answer = client.answer();
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "the answer was cut: {} bytes",
        answer.body.len()
    );
    drop((client, newcomers));
    flooding.join().unwrap();
}

/// The engine resets an idle connection on which the next request is on its way. The node cannot know whether
/// the engine has run the request. A request that must not run twice fails, any other is sent to another
/// engine.
#[test]
fn a_request_on_a_connection_that_the_engine_closes_is_retried_only_where_that_is_harmless() {
    let bed = TestBed::new(1, 2);
    for (class, is_retried) in [("plain", true), ("once", false)] {
        let node = bed.node(|_| {});
        for n in 0..2 {
            let mut client = node.client();
            client.send(&long_lived_chat(&format!("{class}-{n}"), class));
            let (mut connection, _) = bed.readers[0].next_request();
            connection.answer_prefill();
            bed.readers[0].keep_open(connection);
            let (writer, (mut connection, request)) = next_request_at_any(&bed.writers);
            assert_eq!(request.trace(), format!("{class}-{n}"));
            if n == 0 {
                connection.send_stream();
                bed.writers[writer].keep_open(connection);
                assert!(is_complete_stream(&client.answer()));
                continue;
            }
            // The request has arrived. The engine resets the connection instead of answering.
            connection.reset();
            if is_retried {
                let (_, (mut connection, request)) = next_request_at_any(&bed.writers);
                assert_eq!(request.trace(), format!("{class}-{n}"));
                connection.send_stream();
                assert!(is_complete_stream(&client.answer()));
            } else {
                assert_eq!(client.answer().status, 502);
                node.wait_until_processed();
                assert!(bed.writers.iter().all(|writer| writer.try_next_request().is_none()), "sent twice");
            }
        }
    }
}
