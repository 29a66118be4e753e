//! Streams on their way: a flood, a client that does not read, and a usual one side by side.

use std::io::Write;
use std::time::Duration;

use crate::bed::{Bed, patient_chat};
use crate::support::*;

/// An event reaches its client before the next one is written, while one client floods and another reads nothing.
#[test]
fn events_pass_beside_a_flood_and_a_client_that_does_not_read() {
    let bed = Bed::new(1, 1);
    let node = bed.node(|_| {});
    let mut lines = Vec::new();
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&patient_chat(&format!("stream-{n}"), "plain"));
        let (mut line, _) = bed.readers[0].take();
        line.has_read();
        bed.readers[0].rest(line);
        lines.push(bed.writers[0].take().0);
    }
    lines.iter_mut().for_each(crate::peer::Line::begins);
    // The first floods until its connection ends.
    let mut flood = clients[0].stream.try_clone().unwrap();
    flood.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let flooding = std::thread::spawn(move || {
        let piece = vec![b'x'; 64 << 10];
        let ends = |error: std::io::Error| error.kind() != std::io::ErrorKind::WouldBlock;
        (0..100_000).any(|_| flood.write(&piece).is_err_and(ends))
    });
    // The second reads nothing of what its engine writes without end.
    let mut endless = lines[1].stream.try_clone().unwrap();
    endless.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let writing = std::thread::spawn(move || {
        let event = format!("data: {}\n\n", "x".repeat(32 << 10));
        let piece = format!("{:x}\r\n{event}\r\n", event.len());
        let ends = |error: std::io::Error| error.kind() != std::io::ErrorKind::WouldBlock;
        (0..100_000).any(|_| endless.write_all(piece.as_bytes()).is_err_and(ends))
    });
    // The third gets each event before the next is written.
    let mut got = String::new();
    let mut until = |client: &mut Client, wanted: &str| {
        while !got.contains(wanted) {
            assert!(client.more(), "the stream ended before {wanted}");
            got.push_str(&String::from_utf8_lossy(&std::mem::take(&mut client.held)));
        }
    };
    until(&mut clients[2], "first");
    for n in 0..100 {
        let event = format!("event-{n}-");
        lines[2].event(&event);
        until(&mut clients[2], &event);
    }
    lines[2].ends();
    until(&mut clients[2], "0\r\n\r\n");
    lines.clear();
    drop(clients);
    assert!(flooding.join().unwrap() && writing.join().unwrap(), "both come to an end");
}
