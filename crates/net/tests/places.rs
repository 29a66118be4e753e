//! TCP and Unix connections, and connections that cannot be made.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

use elderstage_net::{Conn, Endpoint, NetError, connect, init, spawn};

const LONG: Duration = Duration::from_secs(20);

/// Runs `f` in a coroutine and waits for its result.
fn in_coroutine<T: Send + 'static>(f: impl FnOnce() -> T + Send + 'static) -> T {
    init(2);
    let (sender, receiver) = std::sync::mpsc::channel();
    spawn(move || {
        let _ = sender.send(f());
    });
    receiver.recv_timeout(LONG).unwrap()
}

fn socket_path(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("elderstage-net-{}-{name}", std::process::id()))
}

/// Sends a request over a new connection, answers it at `peer` and checks the received body.
fn exchange(
    endpoint: Endpoint,
    mut peer: impl Read + Write + Send + 'static,
    open_conn: impl FnOnce() -> Conn,
) {
    let mut conn = open_conn();
    assert!(conn.is_idle(), "{endpoint}");
    conn.write(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut received = [0; 18];
    peer.read_exact(&mut received).unwrap();
    peer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi").unwrap();
    let body = in_coroutine(move || {
        conn.set_read_timeout(Some(LONG));
        let head = conn.receive_response().unwrap();
        conn.receive_body(head.framing).unwrap()
    });
    assert_eq!(body, b"hi", "{endpoint}");
}

#[test]
fn tcp_and_unix_sockets_carry_a_request() {
    let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = Endpoint::Tcp(tcp.local_addr().unwrap());
    let conn = in_coroutine({
        let endpoint = endpoint.clone();
        move || connect(endpoint, LONG).unwrap()
    });
    exchange(endpoint, tcp.accept().unwrap().0, || conn);
    let path = socket_path("carry");
    let unix = UnixListener::bind(&path).unwrap();
    let endpoint = Endpoint::Unix(path.clone());
    let conn = in_coroutine({
        let endpoint = endpoint.clone();
        move || connect(endpoint, LONG).unwrap()
    });
    exchange(endpoint, unix.accept().unwrap().0, || conn);
    std::fs::remove_file(path).unwrap();
}

#[test]
fn an_unreachable_place_fails_at_once() {
    let stale = socket_path("stale");
    drop(UnixListener::bind(&stale).unwrap());
    let dead = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for endpoint in [
        Endpoint::Tcp(dead),
        Endpoint::Unix(socket_path("missing")),
        Endpoint::Unix(stale.clone()),
        Endpoint::Unix(format!("/{}", "long".repeat(60)).into()),
    ] {
        let text = endpoint.to_string();
        let result = in_coroutine(move || connect(endpoint, LONG).map(|_| ()));
        assert!(matches!(result, Err(NetError::Io(_))), "{text}: {result:?}");
    }
    std::fs::remove_file(stale).unwrap();
}

/// A wait in a coroutine ends at its time limit, without the coroutine runtime's own timers.
#[test]
fn receiving_ends_at_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let started = Instant::now();
    let result = in_coroutine(move || {
        let mut conn = connect(addr, LONG).unwrap();
        conn.set_deadline(Some(Instant::now() + Duration::from_millis(60)));
        conn.receive_response().map(|_| ())
    });
    assert!(matches!(result, Err(NetError::TimedOut)));
    assert!(started.elapsed() >= Duration::from_millis(60));
}

#[test]
fn places_parse_and_print_the_same_and_invalid_ones_are_rejected() {
    for text in ["127.0.0.1:80", "[::1]:9", "unix:/run/x.sock"] {
        assert_eq!(text.parse::<Endpoint>().unwrap().to_string(), text);
    }
    for text in ["localhost", "unix:x", "unix:", ""] {
        assert!(text.parse::<Endpoint>().is_err(), "{text}");
    }
}
