//! What a close must not destroy.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use elderstage_net::{Listener, go, init};

const LONG: Duration = Duration::from_secs(20);

fn to(addr: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// A connection that is dropped with bytes unread is reset, and the reset takes the answer with it: the client that had
/// sent more than was asked for saw its answer or a broken connection, as the race went.
#[test]
fn an_answer_survives_bytes_that_nobody_reads() {
    init(2);
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let addr = listener.addr();
    go(move || {
        let each = |mut conn: elderstage_net::Conn| {
            go(move || {
                conn.set_deadline(Some(std::time::Instant::now() + LONG));
                // The first piece only; the rest stays unread.
                conn.fill().unwrap();
                conn.write(&[b'a'; 4096]).unwrap();
                conn.finish(LONG, 8 << 20);
            })
        };
        listener.serve(each, |error| panic!("{error}"))
    });
    for n in 0..50 {
        let mut client = to(addr);
        let more = vec![b'x'; 200_000 + n];
        let mut writing = client.try_clone().unwrap();
        let writer = std::thread::spawn(move || writing.write_all(&more).is_ok());
        let mut got = Vec::new();
        // Its end, and no reset.
        client.read_to_end(&mut got).unwrap();
        assert_eq!(got.len(), 4096, "client {n}");
        assert!(writer.join().unwrap(), "client {n}: what it sends is taken to the end");
    }
}

#[test]
fn a_peer_that_floods_after_the_end_is_left_after_so_many_bytes() {
    init(2);
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let addr = listener.addr();
    let (done, finished) = mpsc::channel();
    go(move || {
        let each = |conn: elderstage_net::Conn| {
            conn.finish(LONG, 1 << 20);
            done.send(()).unwrap();
        };
        listener.serve(each, |error| panic!("{error}"))
    });
    let mut client = to(addr);
    let piece = [b'x'; 64 << 10];
    let taken = (0..4_000).take_while(|_| client.write_all(&piece).is_ok()).count();
    assert!(taken < 4_000, "256 MB were taken");
    finished.recv_timeout(LONG).unwrap();
}

/// What has connected is taken before a listener closes: the system has accepted those connections, and may hold whole
/// requests of theirs.
#[test]
fn connections_that_wait_are_served_before_a_listener_closes() {
    init(2);
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let (addr, stop) = (listener.addr(), listener.stopper());
    let mut clients: Vec<TcpStream> = (0..50).map(|_| to(addr)).collect();
    for client in &mut clients {
        client.write_all(b"?").unwrap();
    }
    stop.end();
    assert!(!stop.is_closed());
    go(move || {
        let each = |mut conn: elderstage_net::Conn| {
            go(move || {
                conn.fill().unwrap();
                conn.write(b"!").unwrap();
                conn.finish(LONG, 1 << 20);
            })
        };
        listener.serve(each, |error| panic!("{error}"))
    });
    for (n, client) in clients.iter_mut().enumerate() {
        let mut got = [0];
        client.read_exact(&mut got).unwrap_or_else(|error| panic!("client {n}: {error}"));
    }
    while !stop.is_closed() {
        stop.end();
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(TcpStream::connect(addr).is_err());
}
