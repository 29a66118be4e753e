//! Peers that always have bytes ready, on one worker thread: no connection may carry out more operations than
//! its budget before all others had their turn.
//!
//! A handler that blocks the worker thread until the test has caused another event makes sure that this event
//! waits when the handler goes on.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use elderstage_net::{Conn, Listener, NetError, init_single_worker, spawn};

const LONG: Duration = Duration::from_secs(20);
/// Operations of one connection within which another one must have its turn: its budget, which may have been
/// refilled once since the other became ready.
const MAX_OPERATIONS: usize = 64;

/// Starts a server that runs `handler` in a coroutine for each connection, and returns its address.
fn serve(handler: impl Fn(Conn) + Send + Clone + 'static) -> SocketAddr {
    init_single_worker(64);
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

/// Sends bytes until the connection ends.
fn flood(addr: SocketAddr) -> std::thread::JoinHandle<()> {
    let mut stream = TcpStream::connect(addr).unwrap();
    std::thread::spawn(move || while stream.write_all(&[b'x'; 64 << 10]).is_ok() {})
}

/// Blocks the calling thread, and with it the worker, until the test has sent a value.
fn block_worker(go: &Mutex<mpsc::Receiver<()>>) {
    go.lock().unwrap().recv_timeout(LONG).unwrap();
}

/// Guards against a stopped process: a connection on which bytes were always ready was read without a pause,
/// and no other connection had a turn.
#[test]
fn a_peer_with_bytes_always_ready_does_not_stop_other_connections() {
    let is_other_served = Arc::new(AtomicBool::new(false));
    let (began, has_begun) = mpsc::channel();
    let (go, wait_for_go) = mpsc::channel();
    let (result, results) = mpsc::channel();
    let (wait_for_go, is_served) = (Arc::new(Mutex::new(wait_for_go)), is_other_served.clone());
    let flooded = serve(move |mut conn: Conn| {
        conn.fill().unwrap();
        began.send(()).unwrap();
        block_worker(&wait_for_go);
        let mut reads = 0;
        while !is_served.load(Ordering::SeqCst) && reads < 100 * MAX_OPERATIONS {
            match conn.try_fill(None) {
                Ok(true) => reads += 1,
                Ok(false) => conn.pause(None),
                Err(error) => panic!("{error}"),
            }
            conn.consume(usize::MAX);
        }
        result.send(reads).unwrap();
    });
    let is_served = is_other_served.clone();
    let other = serve(move |mut conn: Conn| {
        conn.write(b"a").unwrap();
        conn.fill().unwrap();
        is_served.store(true, Ordering::SeqCst);
    });
    let mut waiting = TcpStream::connect(other).unwrap();
    waiting.set_read_timeout(Some(LONG)).unwrap();
    waiting.read_exact(&mut [0]).unwrap();
    let flood = flood(flooded);
    has_begun.recv_timeout(LONG).unwrap();
    waiting.write_all(b"b").unwrap();
    go.send(()).unwrap();
    let reads = results.recv_timeout(LONG).unwrap();
    assert!(reads <= MAX_OPERATIONS, "{reads} reads before the other connection had its turn");
    flood.join().unwrap();
}

/// Guards against a stopped process: a listener accepted for as long as connections waited, and none of them
/// was served meanwhile.
#[test]
fn connections_are_served_while_others_wait_to_be_accepted() {
    const CLIENTS: usize = 300;
    init_single_worker(64);
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let addr = listener.addr();
    let (began, has_begun) = mpsc::channel();
    let (go, wait_for_go) = mpsc::channel();
    let (result, results) = mpsc::channel();
    let (wait_for_go, accepted) = (Mutex::new(wait_for_go), Arc::new(AtomicUsize::new(0)));
    spawn(move || {
        let on_connection = |conn: Conn| {
            if accepted.fetch_add(1, Ordering::SeqCst) == 0 {
                began.send(()).unwrap();
                block_worker(&wait_for_go);
            }
            let (accepted, result) = (accepted.clone(), result.clone());
            spawn(move || {
                drop(conn);
                let _ = result.send(accepted.load(Ordering::SeqCst));
            });
        };
        listener.serve(on_connection, |error| panic!("{error}"))
    });
    let mut clients = vec![TcpStream::connect(addr).unwrap()];
    has_begun.recv_timeout(LONG).unwrap();
    clients.extend((1..CLIENTS).map(|_| TcpStream::connect(addr).unwrap()));
    go.send(()).unwrap();
    let accepted_before_first_served = results.recv_timeout(LONG).unwrap();
    assert!(
        accepted_before_first_served <= MAX_OPERATIONS,
        "{accepted_before_first_served} connections were accepted before the first was served"
    );
}

/// A loop that reads until the socket is empty ends at its deadline, also if the socket never is. Bytes that
/// have arrived count however late they are read, since the process may have been held up.
#[test]
fn a_deadline_ends_reading_only_where_the_peer_keeps_its_socket_full() {
    let (result, results) = mpsc::channel();
    let addr = serve(move |mut conn: Conn| {
        let has_passed = Instant::now();
        // The first byte tells whether this peer floods.
        conn.fill().unwrap();
        let is_flood = conn.pending()[0] == b'x';
        let mut received = 0;
        let end = loop {
            received += conn.pending().len();
            conn.consume(usize::MAX);
            match conn.try_fill(Some(has_passed)) {
                Ok(true) => {}
                Ok(false) => conn.pause(None),
                Err(error) => break error,
            }
        };
        result.send((is_flood, received, end)).unwrap();
    });
    let mut usual = TcpStream::connect(addr).unwrap();
    usual.write_all(&[b'u'; 256 << 10]).unwrap();
    drop(usual);
    let (is_flood, received, end) = results.recv_timeout(LONG).unwrap();
    assert!(!is_flood && received == 256 << 10 && matches!(end, NetError::Closed), "{received}: {end}");
    let flood = flood(addr);
    let (is_flood, _, end) = results.recv_timeout(LONG).unwrap();
    assert!(is_flood && matches!(end, NetError::TimedOut), "{end}");
    flood.join().unwrap();
}
