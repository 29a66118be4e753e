//! Waiting with a time limit, and writing that is given up.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use elderstage_net::{Conn, Listener, go, init};

const LONG: Duration = Duration::from_secs(20);

/// Connections served, each by this.
fn serve(each: impl Fn(Conn) + Send + Clone + 'static) -> std::net::SocketAddr {
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let addr = listener.addr();
    go(move || {
        let each = |conn: Conn| {
            let each = each.clone();
            go(move || each(conn))
        };
        listener.serve(each, |error| panic!("{error}"))
    });
    addr
}

/// A far limit is replaced by a near one at about the time at which an older limit comes up in the list: whoever waits is
/// woken by the near one all the same. The two were not decided at one point, and a wait was lost now and then.
#[test]
fn a_limit_that_is_moved_as_an_older_one_comes_up_is_kept() {
    const ROUNDS: usize = 2_000;
    init(3);
    let addr = serve(|mut conn: Conn| {
        for _ in 0..ROUNDS {
            // Leaves a place in the list a millisecond ahead.
            conn.waker().wake();
            conn.pause(Some(Instant::now() + Duration::from_millis(1)));
            // Waits for the peer's byte, which comes at about that time.
            while !matches!(conn.fill_now(), Ok(true)) {
                conn.pause(Some(Instant::now() + LONG * 10));
            }
            conn.used(usize::MAX);
            // Nothing comes now: the limit alone ends this.
            let until = Instant::now() + Duration::from_micros(300);
            while Instant::now() < until {
                conn.pause(Some(until));
            }
            conn.write(b"y").unwrap();
        }
    });
    let (done, all) = mpsc::channel();
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
        assert_eq!(all.recv().unwrap(), Ok(()), "a wait did not end");
    }
}

/// A peer that takes nothing more: the write ends when it is no longer wanted, and says that the last byte did not go.
#[test]
fn a_write_that_nobody_wants_any_more_ends() {
    init(3);
    let (tell, told) = mpsc::channel();
    let (wanted, waker) = (Arc::new(AtomicBool::new(true)), mpsc::channel());
    let still = wanted.clone();
    let addr = serve(move |mut conn: Conn| {
        waker.0.send(conn.waker()).unwrap();
        let written = conn.write_while(&vec![b'x'; 32 << 20], || still.load(Ordering::SeqCst));
        tell.send(written.map_err(|error| error.to_string())).unwrap();
    });
    let _reads_nothing = TcpStream::connect(addr).unwrap();
    let waker = waker.1.recv().unwrap();
    assert!(told.recv_timeout(Duration::from_millis(300)).is_err(), "it waits for the peer");
    wanted.store(false, Ordering::SeqCst);
    waker.wake();
    assert_eq!(told.recv_timeout(LONG), Ok(Ok(false)));
}
