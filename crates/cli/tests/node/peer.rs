//! Engines and discovery whose every accept, receive and send is a step of the test. A test forces the order
//! of two events by causing the second only when it has seen the first. A time limit only ends a test that
//! has failed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use elderstage_protocol::http::{self, BodyDecoder, Limits, Request};

use crate::support::*;

const LIMITS: Limits = Limits { head_bytes: 64 << 10, body_bytes: 1 << 20 };

/// A scripted server: a listening socket, and its idle connections.
pub struct Peer {
    listener: TcpListener,
    pub addr: SocketAddr,
    idle: Mutex<Vec<PeerConnection>>,
}

/// A connection that a peer accepted.
pub struct PeerConnection {
    pub stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    received: Vec<u8>,
}

/// A request as a peer received it.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub head: Request,
}

impl ReceivedRequest {
    /// The value of `X-Trace-Id`.
    pub fn trace(&self) -> &str {
        self.head.headers.get("x-trace-id").unwrap_or_default()
    }

    /// The value of `X-Expires-In-Ms`: the time that the request has left.
    pub fn expires_ms(&self) -> u128 {
        self.head.headers.get("x-expires-in-ms").and_then(|text| text.parse().ok()).unwrap()
    }
}

impl Peer {
    /// Listens at a free port.
    pub fn new() -> Peer {
        Peer::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Listens at an address.
    pub fn at(addr: SocketAddr) -> Peer {
        let listener = TcpListener::bind(addr).unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        Peer { listener, addr, idle: Mutex::default() }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<PeerConnection>> {
        self.idle.lock().unwrap()
    }

    /// Accepts the next connection, if one waits already.
    pub fn try_accept(&self) -> Option<PeerConnection> {
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Some(PeerConnection { stream, received: Vec::new() })
    }

    /// Keeps a connection open, so that the node may send its next request on it.
    pub fn keep_open(&self, connection: PeerConnection) {
        self.idle().push(connection);
    }

    /// Receives the next request, if first bytes of one have arrived on any connection.
    pub fn try_next_request(&self) -> Option<(PeerConnection, ReceivedRequest)> {
        while let Some(connection) = self.try_accept() {
            self.keep_open(connection);
        }
        let mut idle = self.idle();
        idle.retain(|connection| !connection.is_closed_by_node());
        let ready = idle.iter().position(PeerConnection::has_bytes)?;
        let mut connection = idle.remove(ready);
        drop(idle);
        let request = connection.receive_request()?;
        Some((connection, request))
    }

    /// Waits for the next request on any connection.
    pub fn next_request(&self) -> (PeerConnection, ReceivedRequest) {
        let mut received = None;
        let has_arrived = || {
            received = self.try_next_request();
            received.is_some()
        };
        assert!(Platform::wait_until(LONG, has_arrived), "no request arrives at {}", self.addr);
        received.unwrap()
    }

    /// Waits for the next request, checks that it is the release of this request and confirms it.
    pub fn expect_release(&self, trace: &str) {
        let (mut connection, request) = self.next_request();
        assert_eq!(
            (request.head.method.as_str(), request.head.target.as_str()),
            ("DELETE", &*format!("/kv/leases/{trace}"))
        );
        connection.write(RELEASED);
        self.keep_open(connection);
    }
}

impl PeerConnection {
    fn peek(&self) -> std::io::Result<usize> {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).unwrap();
        peeked
    }

    /// Whether received bytes wait to be consumed.
    fn has_bytes(&self) -> bool {
        !self.received.is_empty() || matches!(self.peek(), Ok(1))
    }

    /// Whether the node has closed the connection and no received bytes are left.
    pub fn is_closed_by_node(&self) -> bool {
        let would_block = |error: &std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.received.is_empty() && self.peek().map_or_else(|error| !would_block(&error), |n| n == 0)
    }

    /// Receives more bytes. `false`: the connection has ended.
    fn receive_more(&mut self) -> bool {
        let mut buffer = [0; 16 << 10];
        let n = self.stream.read(&mut buffer).unwrap_or(0);
        self.received.extend_from_slice(&buffer[..n]);
        n > 0
    }

    /// Receives the next request completely. `None`: the node closes the connection first.
    pub fn receive_request(&mut self) -> Option<ReceivedRequest> {
        let (head, n) = loop {
            match http::parse_request(&self.received, LIMITS).unwrap() {
                Some(found) => break found,
                None if !self.receive_more() => return None,
                None => {}
            }
        };
        self.received.drain(..n);
        let (mut body, mut out) = (BodyDecoder::new(head.framing), Vec::new());
        while !body.is_done() {
            if self.received.is_empty() && !self.receive_more() {
                return None;
            }
            let n = body.push(&self.received, &mut out).unwrap();
            self.received.drain(..n);
        }
        Some(ReceivedRequest { head })
    }

    /// Sends a text.
    pub fn write(&mut self, text: &str) {
        // The node may have closed the connection already. The test sees that in the client's answer.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Sends a reader's answer: the prompt has been read.
    pub fn answer_prefill(&mut self) {
        let body = "{\"cached_tokens\":96}";
        self.write(&format!("HTTP/1.1 202 Accepted\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    }

    /// Sends the head of a stream and its first event.
    pub fn begin_stream(&mut self) {
        self.write(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        );
        self.send_event("first");
    }

    /// Sends an event of a stream.
    pub fn send_event(&mut self, text: &str) {
        let event = format!("data: {{\"text\":\"{text}\"}}\n\n");
        self.write(&format!("{:x}\r\n{event}\r\n", event.len()));
    }

    /// Sends the last event and the end of a stream.
    pub fn end_stream(&mut self) {
        let event = "data: [DONE]\n\n";
        self.write(&format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len()));
    }

    /// Sends a complete stream.
    pub fn send_stream(&mut self) {
        self.begin_stream();
        self.end_stream();
    }

    /// Resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Waits until the node has closed the connection. `true`: the node had sent more bytes.
    pub fn wait_until_closed(&mut self) -> bool {
        while self.receive_more() {}
        !self.received.is_empty()
    }
}

/// The body that a client receives when an engine sends [`PeerConnection::send_stream`].
pub const COMPLETE_STREAM: &str = "data: {\"text\":\"first\"}\n\ndata: [DONE]\n\n";

/// Whether the answer is the complete stream of a scripted engine.
pub fn is_complete_stream(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_complete && answer.body == COMPLETE_STREAM
}

/// The head of discovery's response to a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A chunk of the body of a response to a watch.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Answers the node's watch on this discovery with a first list, and returns the watch's connection. On a
/// busy machine the node may give up a watch before it is answered. The next watch gets the same list then.
pub fn answer_watch(discovery: &Peer, node: &Node, list: &str) -> PeerConnection {
    let text = WATCH_HEAD.to_owned() + &chunk(&(list.to_owned() + "\n"));
    loop {
        let (mut watch, _) = discovery.next_request();
        watch.write(&text);
        node.wait_until_processed();
        if !watch.is_closed_by_node() {
            return watch;
        }
    }
}

/// Waits for the next request at any of these peers, and returns the peer's index and the request. Releases
/// are confirmed and skipped.
pub fn next_request_at_any(peers: &[Peer]) -> (usize, (PeerConnection, ReceivedRequest)) {
    let mut received = None;
    let has_arrived = || {
        received = peers.iter().enumerate().find_map(|(n, peer)| {
            let (mut connection, request) = peer.try_next_request()?;
            if request.head.method != "DELETE" {
                return Some((n, (connection, request)));
            }
            connection.write(RELEASED);
            peer.keep_open(connection);
            None
        });
        received.is_some()
    };
    assert!(Platform::wait_until(LONG, has_arrived), "no request arrives at any peer");
    received.unwrap()
}

/// The response to a release.
const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
