//! Connections of both kinds, and what becomes of those that cannot be made.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

use elderstage_net::{Conn, NetError, Place, go, init, open};

const LONG: Duration = Duration::from_secs(20);

/// Runs in a coroutine and waits for its result.
fn inside<T: Send + 'static>(f: impl FnOnce() -> T + Send + 'static) -> T {
    init(2);
    let (done, heard) = std::sync::mpsc::channel();
    go(move || {
        let _ = done.send(f());
    });
    heard.recv_timeout(LONG).unwrap()
}

fn socket_path(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("elderstage-net-{}-{name}", std::process::id()))
}

fn talk(place: Place, mut peer: impl Read + Write + Send + 'static, opened: impl FnOnce() -> Conn) {
    let mut conn = opened();
    assert!(conn.is_idle(), "{place}");
    conn.write(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut got = [0; 18];
    peer.read_exact(&mut got).unwrap();
    peer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi").unwrap();
    let body = inside(move || {
        conn.set_read_timeout(Some(LONG));
        let head = conn.response().unwrap();
        conn.body(head.framing).unwrap()
    });
    assert_eq!(body, b"hi", "{place}");
}

#[test]
fn both_kinds_of_sockets_carry_a_request() {
    let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
    let place = Place::Tcp(tcp.local_addr().unwrap());
    let conn = inside({
        let place = place.clone();
        move || open(place, LONG).unwrap()
    });
    talk(place, tcp.accept().unwrap().0, || conn);
    let path = socket_path("carry");
    let unix = UnixListener::bind(&path).unwrap();
    let place = Place::Unix(path.clone());
    let conn = inside({
        let place = place.clone();
        move || open(place, LONG).unwrap()
    });
    talk(place, unix.accept().unwrap().0, || conn);
    std::fs::remove_file(path).unwrap();
}

#[test]
fn what_cannot_be_reached_is_told_at_once() {
    let stale = socket_path("stale");
    drop(UnixListener::bind(&stale).unwrap());
    let dead = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for place in [
        Place::Tcp(dead),
        Place::Unix(socket_path("missing")),
        Place::Unix(stale.clone()),
        Place::Unix(format!("/{}", "long".repeat(60)).into()),
    ] {
        let said = place.to_string();
        let result = inside(move || open(place, LONG).map(|_| ()));
        assert!(matches!(result, Err(NetError::Io(_))), "{said}: {result:?}");
    }
    std::fs::remove_file(stale).unwrap();
}

/// A wait ends at its limit, in coroutines without the runtime's own timers.
#[test]
fn reading_ends_at_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let begun = Instant::now();
    let result = inside(move || {
        let mut conn = open(addr, LONG).unwrap();
        conn.set_deadline(Some(Instant::now() + Duration::from_millis(60)));
        conn.response().map(|_| ())
    });
    assert!(matches!(result, Err(NetError::TimedOut)));
    assert!(begun.elapsed() >= Duration::from_millis(60));
}

#[test]
fn places_read_back_and_mistakes_are_told() {
    for text in ["127.0.0.1:80", "[::1]:9", "unix:/run/x.sock"] {
        assert_eq!(text.parse::<Place>().unwrap().to_string(), text);
    }
    for text in ["localhost", "unix:x", "unix:", ""] {
        assert!(text.parse::<Place>().is_err(), "{text}");
    }
}
