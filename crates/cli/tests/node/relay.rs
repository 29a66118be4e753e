//! Relaying streams: a client that floods, a client that receives nothing and an ordinary client at the same
//! time.

use std::io::Write;
use std::time::Duration;

use crate::bed::{TestBed, long_lived_chat};
use crate::support::*;

/// Each event reaches its client before the engine writes the next one, while one client floods the node and
/// another receives nothing.
#[test]
fn events_are_relayed_at_once_beside_a_flooding_and_a_stalled_client() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    let mut connections = Vec::new();
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&long_lived_chat(&format!("stream-{n}"), "plain"));
        let (mut connection, _) = bed.readers[0].next_request();
        connection.answer_prefill();
        bed.readers[0].keep_open(connection);
        connections.push(bed.writers[0].next_request().0);
    }
    connections.iter_mut().for_each(crate::peer::PeerConnection::begin_stream);
    // The first client floods until its connection ends.
    let mut flood = clients[0].stream.try_clone().unwrap();
    flood.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let flooding = std::thread::spawn(move || {
        let piece = vec![b'x'; 64 << 10];
        let ends = |error: std::io::Error| error.kind() != std::io::ErrorKind::WouldBlock;
        (0..100_000).any(|_| flood.write(&piece).is_err_and(ends))
    });
    // The second client receives nothing of the endless stream of its engine.
    let mut endless = connections[1].stream.try_clone().unwrap();
    endless.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let writing = std::thread::spawn(move || {
        let event = format!("data: {}\n\n", "x".repeat(32 << 10));
        let piece = format!("{:x}\r\n{event}\r\n", event.len());
        let ends = |error: std::io::Error| error.kind() != std::io::ErrorKind::WouldBlock;
        (0..100_000).any(|_| endless.write_all(piece.as_bytes()).is_err_and(ends))
    });
    // The third client receives each event before the next one is written.
    let mut received = String::new();
    let mut receive_until = |client: &mut Client, wanted: &str| {
        while !received.contains(wanted) {
            assert!(client.receive_more(), "the stream ended before {wanted}");
            received.push_str(&String::from_utf8_lossy(&std::mem::take(&mut client.received)));
        }
    };
    receive_until(&mut clients[2], "first");
    for n in 0..100 {
        let event = format!("event-{n}-");
        connections[2].send_event(&event);
        receive_until(&mut clients[2], &event);
    }
    connections[2].end_stream();
    receive_until(&mut clients[2], "0\r\n\r\n");
    connections.clear();
    drop(clients);
    assert!(
        flooding.join().unwrap() && writing.join().unwrap(),
        "a connection with unlimited bytes does not end"
    );
}
