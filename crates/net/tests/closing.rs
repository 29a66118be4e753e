//! Closing connections and listeners without losing responses or waiting connections.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use elderstage_net::{Listener, init, spawn};

const LONG: Duration = Duration::from_secs(20);

fn connect(addr: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Guards against a lost response: closing a socket with unreceived bytes resets the connection, and the
/// reset destroys a response on its way. A client that had sent more than one request received the response
/// or a reset, depending on timing.
#[test]
fn closing_with_unreceived_bytes_does_not_destroy_the_response() {
    init(2);
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let addr = listener.addr();
    spawn(move || {
        let on_connection = |mut conn: elderstage_net::Conn| {
            spawn(move || {
                conn.set_deadline(Some(std::time::Instant::now() + LONG));
                // Receives only the first piece of what the client sends.
                conn.fill().unwrap();
                conn.write(&[b'a'; 4096]).unwrap();
                conn.close_gracefully(LONG, 8 << 20);
            })
        };
        listener.serve(on_connection, |error| panic!("{error}"))
    });
    for n in 0..50 {
        let mut client = connect(addr);
        let request = vec![b'x'; 200_000 + n];
        let mut writing = client.try_clone().unwrap();
        let writer = std::thread::spawn(move || writing.write_all(&request).is_ok());
        let mut received = Vec::new();
        // Succeeds only if the connection ends without a reset.
        client.read_to_end(&mut received).unwrap();
        assert_eq!(received.len(), 4096, "client {n}");
        assert!(writer.join().unwrap(), "client {n}: not all that it sent was received");
    }
}

/// A peer that keeps sending after the close does not keep the connection open beyond the limit on discarded
/// bytes.
#[test]
fn closing_stops_discarding_at_the_byte_limit() {
    init(2);
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let addr = listener.addr();
    let (done, finished) = mpsc::channel();
    spawn(move || {
        let on_connection = |conn: elderstage_net::Conn| {
            conn.close_gracefully(LONG, 1 << 20);
            done.send(()).unwrap();
        };
        listener.serve(on_connection, |error| panic!("{error}"))
    });
    let mut client = connect(addr);
    let piece = [b'x'; 64 << 10];
    let written = (0..4_000).take_while(|_| client.write_all(&piece).is_ok()).count();
    assert!(written < 4_000, "256 MB were received");
    finished.recv_timeout(LONG).unwrap();
}

/// The listener accepts the connections that wait in its backlog before it closes. The system has accepted
/// them already and may hold whole requests of theirs.
#[test]
fn waiting_connections_are_served_before_the_listener_closes() {
    init(2);
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let (addr, stop) = (listener.addr(), listener.handle());
    let mut clients: Vec<TcpStream> = (0..50).map(|_| connect(addr)).collect();
    for client in &mut clients {
        client.write_all(b"?").unwrap();
    }
    stop.stop_after_backlog();
    assert!(!stop.is_closed());
    spawn(move || {
        let on_connection = |mut conn: elderstage_net::Conn| {
            spawn(move || {
                conn.fill().unwrap();
                conn.write(b"!").unwrap();
                conn.close_gracefully(LONG, 1 << 20);
            })
        };
        listener.serve(on_connection, |error| panic!("{error}"))
    });
    for (n, client) in clients.iter_mut().enumerate() {
        let mut received = [0];
        client.read_exact(&mut received).unwrap_or_else(|error| panic!("client {n}: {error}"));
    }
    while !stop.is_closed() {
        stop.stop_after_backlog();
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(TcpStream::connect(addr).is_err());
}
