//! Closing connections to clients and engines while bytes are on their way.

use std::io::{Read, Write};
use std::time::Duration;

use crate::bed::{Bed, patient_chat};
use crate::peer::{streamed, take_at_any};
use crate::support::*;

/// Connections that say nothing, by the hundred, with few descriptors: they are closed, and the usual are served.
#[test]
fn silent_connections_make_room() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let mut silent: Vec<Client> = (0..400).filter_map(|_| Client::to(node.addr)).collect();
    for n in 0..5 {
        assert!(whole(&node.ask(&format!("good-{n}"), "plain")), "request {n}");
    }
    assert!(silent.iter_mut().all(Client::is_closed));
}

/// A client that asks for its connection to end and has sent more than its request gets its answer to the end.
#[test]
fn an_answer_is_not_destroyed_by_what_its_client_sent_besides() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    for n in 0..10 {
        let mut client = node.client();
        let ask =
            chat(&format!("more-bytes-{n}"), "plain", 4000).replace("Host:", "Connection: close\r\nHost:");
        client.send(&(ask + &"x".repeat(300_000)));
        assert!(whole(&client.answer()), "client {n}");
        let end = client.stream.read(&mut [0; 16]);
        assert!(matches!(end, Ok(0)), "client {n}: its end, and no reset: {end:?}");
    }
}

/// An idle connection's time is up, and its client's next request has come, in the same instant.
#[test]
fn a_request_that_has_come_when_an_idle_connection_is_to_be_closed_is_answered() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let mut client = node.client();
    client.send(&chat("kept-1", "plain", 4000));
    assert!(whole(&client.answer()));
    node.freeze();
    client.send(&chat("kept-2", "plain", 4000));
    // Longer than an idle connection is kept (6 s): its time is up when the node goes on.
    std::thread::sleep(Duration::from_millis(6_200));
    node.thaw();
    let answer = client.answer();
    assert!(whole(&answer), "{answer:?}");
}

/// A connection is asked to make room while its request comes, and its client sends on all the time and reads slowly. It
/// was closed at once behind its answer: what came then reset it, and took the rest of the answer along.
#[test]
fn a_connection_that_makes_room_is_not_closed_over_its_answer() {
    let bed = Bed::new(1, 1);
    let node = bed.node(|config| config["limits"]["sockets"] = 64.into());
    let event = "x".repeat(200 << 10);
    // The oldest idle connection, with a small window: most of its answer waits at the node.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&node.addr.into()).unwrap();
    let stream = std::net::TcpStream::from(socket);
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut client = Client { stream, held: Vec::new() };
    node.settle();
    // All other places are taken by requests that have begun: this one alone is idle.
    let mut busy: Vec<Client> = (0..9).map(|_| node.client()).collect();
    busy.iter_mut().for_each(|other| other.send("POST"));
    node.settle();
    node.freeze();
    // First those that want its place, then its request: both are there when the node goes on.
    let newcomers = [node.client(), node.client()];
    client.send(&patient_chat("leaves-1", "plain"));
    node.thaw();
    let (mut line, got) = bed.readers[0].take();
    assert_eq!(got.trace(), "leaves-1");
    line.has_read();
    let (mut line, _) = bed.writers[0].take();
    // What the client sends meanwhile is more than a request: the connection ends with this answer.
    client.send(&"x".repeat(400_000));
    node.settle();
    line.begins();
    line.event(&event);
    line.ends();
    let mut flood = client.stream.try_clone().unwrap();
    let flooding = std::thread::spawn(move || {
        // Until the node has closed the connection, at most for some seconds.
        for _ in 0..10_000 {
            if flood.write_all(b"x").is_err() {
                return;
            }
            std::thread::sleep(Duration::from_micros(300));
        }
    });
    let answer = client.answer();
    assert_eq!((answer.status, answer.whole), (200, true), "the answer was cut: {} bytes", answer.body.len());
    drop((client, newcomers));
    flooding.join().unwrap();
}

/// The engine closes a kept connection over a request that it has not read. Nobody can tell from outside whether it has:
/// what must not run twice has failed, what may is asked for elsewhere.
#[test]
fn an_engine_that_closes_over_the_next_request_is_asked_again_only_where_that_is_harmless() {
    let bed = Bed::new(1, 2);
    for (class, again) in [("plain", true), ("once", false)] {
        let node = bed.node(|_| {});
        for n in 0..2 {
            let mut client = node.client();
            client.send(&patient_chat(&format!("{class}-{n}"), class));
            let (mut line, _) = bed.readers[0].take();
            line.has_read();
            bed.readers[0].rest(line);
            let (writer, (mut line, got)) = take_at_any(&bed.writers);
            assert_eq!(got.trace(), format!("{class}-{n}"));
            if n == 0 {
                line.streams();
                bed.writers[writer].rest(line);
                assert!(streamed(&client.answer()));
                continue;
            }
            // The request is there; a reset follows instead of an answer.
            line.reset();
            if again {
                let (_, (mut line, got)) = take_at_any(&bed.writers);
                assert_eq!(got.trace(), format!("{class}-{n}"));
                line.streams();
                assert!(streamed(&client.answer()));
            } else {
                assert_eq!(client.answer().status, 502);
                node.settle();
                assert!(bed.writers.iter().all(|writer| writer.take_now().is_none()), "sent twice");
            }
        }
    }
}
