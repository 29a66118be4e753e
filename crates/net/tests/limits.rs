//! Waiting with a time limit, and writes that are abandoned.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use elderstage_net::{Conn, Listener, init, spawn};

const LONG: Duration = Duration::from_secs(20);

/// Starts a server that runs `handler` for each connection, and returns its address.
fn serve(handler: impl Fn(Conn) + Send + Clone + 'static) -> std::net::SocketAddr {
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let addr = listener.addr();
    spawn(move || {
        let on_connection = |conn: Conn| {
            let handler = handler.clone();
            spawn(move || handler(conn))
        };
        listener.serve(on_connection, |error| panic!("{error}"))
    });
    addr
}

/// Guards against a lost wake-up: a far limit is replaced by a near one at about the time at which the timer
/// thread reaches the entry of an older limit. When the two were not decided under one lock, some waits never
/// ended.
#[test]
fn a_limit_moved_while_an_older_entry_is_due_still_wakes() {
    const ROUNDS: usize = 2_000;
    init(3);
    let addr = serve(|mut conn: Conn| {
        for _ in 0..ROUNDS {
            // Leaves an entry in the timer queue a millisecond ahead.
            conn.waker().wake();
            conn.pause(Some(Instant::now() + Duration::from_millis(1)));
            // Waits for the peer's byte, which arrives at about that time.
            while !matches!(conn.try_fill(None), Ok(true)) {
                conn.pause(Some(Instant::now() + LONG * 10));
            }
            conn.consume(usize::MAX);
            // No byte arrives now, so only the limit ends this wait.
            let until = Instant::now() + Duration::from_micros(300);
            while Instant::now() < until {
                conn.pause(Some(until));
            }
            conn.write(b"y").unwrap();
        }
    });
    let (done, results) = mpsc::channel();
    for n in 0..32u64 {
        let done = done.clone();
        std::thread::spawn(move || {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(LONG)).unwrap();
            for round in 0..ROUNDS as u64 {
                std::thread::sleep(Duration::from_micros(850 + (n * 37 + round * 13) % 150));
                stream.write_all(b"x").unwrap();
                if stream.read(&mut [0; 1]).is_err() {
                    let _ = done.send(Err(round));
                    return;
                }
            }
            let _ = done.send(Ok(()));
        });
    }
    for _ in 0..32 {
        assert_eq!(results.recv().unwrap(), Ok(()), "a wait did not end");
    }
}

/// A write to a peer that accepts no more bytes ends when it is no longer wanted, and reports that it was not
/// completed.
#[test]
fn a_write_that_is_no_longer_wanted_is_abandoned() {
    init(3);
    let (result_sender, results) = mpsc::channel();
    let (is_wanted, waker) = (Arc::new(AtomicBool::new(true)), mpsc::channel());
    let still_wanted = is_wanted.clone();
    let addr = serve(move |mut conn: Conn| {
        waker.0.send(conn.waker()).unwrap();
        let written = conn.write_while(&vec![b'x'; 32 << 20], || still_wanted.load(Ordering::SeqCst));
        result_sender.send(written.map_err(|error| error.to_string())).unwrap();
    });
    let _silent_peer = TcpStream::connect(addr).unwrap();
    let waker = waker.1.recv().unwrap();
    assert!(results.recv_timeout(Duration::from_millis(300)).is_err(), "the write ended without the peer");
    is_wanted.store(false, Ordering::SeqCst);
    waker.wake();
    assert_eq!(results.recv_timeout(LONG), Ok(Ok(false)));
}
