//! Engines and discovery whose every accept, read and write the test does by hand: an order of two events is forced by
//! doing the second only when the first was seen. A time limit only ends a test that failed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use elderstage_protocol::http::{self, Body, Limits, Request};

use crate::support::*;

const LIMITS: Limits = Limits { head: 64 << 10, body: 1 << 20 };

/// A listening socket, and the connections at it that rest.
pub struct Peer {
    listener: TcpListener,
    pub addr: SocketAddr,
    resting: Mutex<Vec<Line>>,
}

/// A connection that it accepted.
pub struct Line {
    pub stream: TcpStream,
    held: Vec<u8>,
}

/// A request as a peer got it.
#[derive(Debug)]
pub struct Got {
    pub head: Request,
}

impl Got {
    pub fn trace(&self) -> &str {
        self.head.headers.get("x-trace-id").unwrap_or_default()
    }

    /// What the attempt tells of the time that is left.
    pub fn expires_ms(&self) -> u128 {
        self.head.headers.get("x-expires-in-ms").and_then(|text| text.parse().ok()).unwrap()
    }
}

impl Peer {
    pub fn new() -> Peer {
        Peer::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn at(addr: SocketAddr) -> Peer {
        let listener = TcpListener::bind(addr).unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        Peer { listener, addr, resting: Mutex::default() }
    }

    fn resting(&self) -> MutexGuard<'_, Vec<Line>> {
        self.resting.lock().unwrap()
    }

    /// The next connection, if one has come already.
    pub fn accept_now(&self) -> Option<Line> {
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Some(Line { stream, held: Vec::new() })
    }

    /// Keeps a connection on which the node may send its next request.
    pub fn rest(&self, line: Line) {
        self.resting().push(line);
    }

    /// The next request, if the first bytes of one have come on any connection.
    pub fn take_now(&self) -> Option<(Line, Got)> {
        while let Some(line) = self.accept_now() {
            self.rest(line);
        }
        let mut resting = self.resting();
        resting.retain(|line| !line.has_ended());
        let ready = resting.iter().position(Line::has_bytes)?;
        let mut line = resting.remove(ready);
        drop(resting);
        let got = line.request()?;
        Some((line, got))
    }

    /// Waits for the next request, on whatever connection.
    pub fn take(&self) -> (Line, Got) {
        let mut taken = None;
        let came = || {
            taken = self.take_now();
            taken.is_some()
        };
        assert!(Platform::until(LONG, came), "no request comes to {}", self.addr);
        taken.unwrap()
    }

    /// Waits for the next request, which must be a release, and grants it.
    pub fn take_release(&self, trace: &str) {
        let (mut line, got) = self.take();
        assert_eq!(
            (got.head.method.as_str(), got.head.target.as_str()),
            ("DELETE", &*format!("/kv/leases/{trace}"))
        );
        line.write(RELEASED);
        self.rest(line);
    }
}

impl Line {
    fn peek(&self) -> std::io::Result<usize> {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).unwrap();
        peeked
    }

    fn has_bytes(&self) -> bool {
        !self.held.is_empty() || matches!(self.peek(), Ok(1))
    }

    pub fn has_ended(&self) -> bool {
        let waits = |error: &std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.held.is_empty() && self.peek().map_or_else(|error| !waits(&error), |n| n == 0)
    }

    fn more(&mut self) -> bool {
        let mut some = [0; 16 << 10];
        let n = self.stream.read(&mut some).unwrap_or(0);
        self.held.extend_from_slice(&some[..n]);
        n > 0
    }

    /// The next request whole; `None` where the node ends the connection first.
    pub fn request(&mut self) -> Option<Got> {
        let (head, n) = loop {
            match http::parse_request(&self.held, LIMITS).unwrap() {
                Some(found) => break found,
                None if !self.more() => return None,
                None => {}
            }
        };
        self.held.drain(..n);
        let (mut body, mut out) = (Body::new(head.framing), Vec::new());
        while !body.done() {
            if self.held.is_empty() && !self.more() {
                return None;
            }
            let n = body.push(&self.held, &mut out).unwrap();
            self.held.drain(..n);
        }
        Some(Got { head })
    }

    pub fn write(&mut self, text: &str) {
        // The node may have closed already: what it answers its client tells.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// A reader's answer.
    pub fn has_read(&mut self) {
        let body = "{\"cached_tokens\":96}";
        self.write(&format!("HTTP/1.1 202 Accepted\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    }

    /// The head of a stream and its first event.
    pub fn begins(&mut self) {
        self.write(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        );
        self.event("first");
    }

    pub fn event(&mut self, text: &str) {
        let event = format!("data: {{\"text\":\"{text}\"}}\n\n");
        self.write(&format!("{:x}\r\n{event}\r\n", event.len()));
    }

    /// The end of a stream.
    pub fn ends(&mut self) {
        let event = "data: [DONE]\n\n";
        self.write(&format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len()));
    }

    /// A whole stream.
    pub fn streams(&mut self) {
        self.begins();
        self.ends();
    }

    /// What is unread when the connection closes resets it.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Waits until the node has ended the connection; tells whether it had sent anything more.
    pub fn until_ended(&mut self) -> bool {
        while self.more() {}
        !self.held.is_empty()
    }
}

/// What of a stream reaches its client when an engine writes it with [`Line::streams`].
pub const STREAMED: &str = "data: {\"text\":\"first\"}\n\ndata: [DONE]\n\n";

/// An engine that streams this whole answer was heard.
pub fn streamed(answer: &Answer) -> bool {
    answer.status == 200 && answer.whole && answer.body == STREAMED
}

/// Discovery by hand: the head of a watch's answer.
pub const WATCH: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A chunk of a watch.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Answers the node's watch on this discovery with a first list, and gives the watch. On a busy machine the node may have
/// given one up before it was answered: the next one is told the same.
pub fn tell_watch(discovery: &Peer, node: &Node, list: &str) -> Line {
    let text = WATCH.to_owned() + &chunk(&(list.to_owned() + "\n"));
    loop {
        let (mut watch, _) = discovery.take();
        watch.write(&text);
        node.settle();
        if !watch.has_ended() {
            return watch;
        }
    }
}

/// Waits for the next request at any of these, and tells at which; releases are granted and passed over.
pub fn take_at_any(peers: &[Peer]) -> (usize, (Line, Got)) {
    let mut taken = None;
    let came = || {
        taken = peers.iter().enumerate().find_map(|(n, peer)| {
            let (mut line, got) = peer.take_now()?;
            if got.head.method != "DELETE" {
                return Some((n, (line, got)));
            }
            line.write(RELEASED);
            peer.rest(line);
            None
        });
        taken.is_some()
    };
    assert!(Platform::until(LONG, came), "no request comes to any");
    taken.unwrap()
}

/// The answer to a release.
const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
