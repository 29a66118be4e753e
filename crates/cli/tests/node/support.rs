//! A node as a child process, and clients of it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

pub use std::collections::BTreeMap;

use crate::bed::Holds;
use elderstage_protocol::http::{self, Body, Limits, Response};
pub use elderstage_standin::platform::{How, Pass, Platform, whole_answer};
pub use serde_json::Value;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_elderstage");
pub const LONG: Duration = Duration::from_secs(20);
pub const BODY: &str = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";

pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    pub config: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A port that was free a moment ago, at an address that no other test here uses: a client of one test was answered by
/// another test's node when both had the same.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let at = std::net::Ipv4Addr::from_bits(0x7f4d_0000 + n);
    TcpListener::bind((at, 0)).unwrap().local_addr().unwrap()
}

/// On a port that is asked for. Another test may take it before the node does: the node ends then, and the next port is
/// tried.
pub fn start(platform: &Platform, change: impl Fn(&mut Value)) -> Node {
    start_with(platform, None, change)
}

/// The same, with steps at which the node can be held.
pub fn start_with(platform: &Platform, holds: Option<&Holds>, change: impl Fn(&mut Value)) -> Node {
    let mut tries = (0..20).map(|_| start_at(platform, free(), holds, &change));
    tries.find_map(|node| node).expect("the node does not become ready")
}

/// `None` where the node ends instead of becoming ready.
pub fn start_at(
    platform: &Platform,
    addr: SocketAddr,
    holds: Option<&Holds>,
    change: impl Fn(&mut Value),
) -> Option<Node> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut config = platform.config(addr, platform.discovery.addr, true);
    change(&mut config);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("elderstage-node-{}-{n}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    let mut command = Command::new(PROGRAM);
    if let Some(holds) = holds {
        command.env("ELDERSTAGE_HOLD", holds.folder());
    }
    command
        .args(["--log-level", &std::env::var("NODE_LOG").unwrap_or("warn".into()), "node"])
        .env("PROXY_CONFIG", &path)
        .stdin(Stdio::null());
    until_ready(Node { child: command.spawn().unwrap(), addr, config: path })
}

/// `None` where the node ends instead of becoming ready.
pub fn until_ready(mut node: Node) -> Option<Node> {
    let addr = node.addr;
    let mut ended = false;
    let ready = || {
        ended = node.child.try_wait().unwrap().is_some();
        ended || Client::to(addr).is_some_and(|mut client| client.get("/-/ready") == Some(200))
    };
    assert!(Platform::until(LONG, ready), "the node neither ends nor becomes ready");
    (!ended).then_some(node)
}

impl Node {
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(done.unwrap().success());
    }

    pub fn client(&self) -> Client {
        Client::to(self.addr).expect("the node accepts")
    }

    /// One request on a connection of its own.
    pub fn ask(&self, trace: &str, class: &str) -> Answer {
        let mut client = self.client();
        client.send(&chat(trace, class, 4000));
        client.answer()
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub held: Vec<u8>,
}

/// What a client got.
#[derive(Debug)]
pub struct Answer {
    /// 0: the connection ended without one.
    pub status: u16,
    pub head: Option<Response>,
    pub body: String,
    /// The body came to its end.
    pub whole: bool,
}

pub fn chat(trace: &str, class: &str, expires_ms: u64) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\nX-Qos: {class}\r\n\
         X-Object: talk-{trace}\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Props: prompt_len=400,prefix_len=0,max_out=64\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

impl Client {
    pub fn to(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(LONG)).unwrap();
        Some(Client { stream, held: Vec::new() })
    }

    pub fn send(&mut self, text: &str) {
        // The node may have closed already: the answer tells.
        let _ = self.stream.write_all(text.as_bytes());
    }

    pub fn more(&mut self) -> bool {
        let mut some = [0; 16 << 10];
        let n = self.stream.read(&mut some).unwrap_or(0);
        self.held.extend_from_slice(&some[..n]);
        n > 0
    }

    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer { status: 0, head: None, body: String::new(), whole: false };
        let head = loop {
            if let Ok(Some((head, n))) = http::parse_response(&self.held, Limits::default()) {
                self.held.drain(..n);
                break head;
            }
            if !self.more() {
                return answer;
            }
        };
        let (mut body, mut out) = (Body::new(head.framing), Vec::new());
        while !body.done() {
            if self.held.is_empty() && !self.more() {
                break;
            }
            let Ok(n) = body.push(&self.held, &mut out) else { break };
            self.held.drain(..n);
        }
        answer.status = head.status;
        answer.whole = body.done();
        answer.body = String::from_utf8_lossy(&out).into_owned();
        answer.head = Some(head);
        answer
    }

    pub fn get(&mut self, path: &str) -> Option<u16> {
        self.send(&format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
        Some(self.answer().status).filter(|status| *status > 0)
    }

    /// Whether the node ends the connection.
    pub fn is_closed(&mut self) -> bool {
        while self.more() {}
        true
    }
}

pub fn whole(answer: &Answer) -> bool {
    answer.status == 200 && answer.whole && answer.body == whole_answer()
}

impl Node {
    /// Stops it where it is, as a machine that gives it no time: what happens meanwhile is all there when it goes on.
    pub fn freeze(&self) {
        self.signal("STOP");
        let stopped = || self.stat().is_some_and(|stat| stat.contains(") T "));
        assert!(Platform::until(LONG, stopped), "the node is not stopped");
    }

    pub fn thaw(&self) {
        self.signal("CONT");
    }

    fn stat(&self) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()
    }

    /// Waits until all that clients had sent and ended before has been taken into account: the answer to a request with no
    /// time left comes behind it through the same queue.
    pub fn settle(&self) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let trace = format!("settle-{}", NEXT.fetch_add(1, Ordering::SeqCst));
        let mut client = self.client();
        client.send(&chat(&trace, "plain", 0));
        assert_eq!(client.answer().status, 503);
    }

    /// Waits until nobody can connect any more.
    pub fn until_closed(&self) {
        assert!(Platform::until(LONG, || Client::to(self.addr).is_none()), "the node still listens");
    }

    /// What a node of [`crate::bed::Bed::limited_node`] has written to its log.
    pub fn said(&mut self) -> String {
        std::fs::read_to_string(self.config.with_extension("log")).unwrap()
    }

    /// Waits for its end; tells whether it ended well.
    pub fn ends_well(&mut self) -> bool {
        let mut status = None;
        let ended = || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        };
        assert!(Platform::until(LONG, ended), "the node does not end");
        status.is_some_and(|status| status.success())
    }
}

impl Client {
    /// Ends its sending; what the node still sends can be read.
    pub fn end(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Reads up to the end, and tells how it ended: `true` in good order, `false` with a reset.
    pub fn ends_in_order(&mut self) -> bool {
        let mut some = [0; 16 << 10];
        loop {
            match self.stream.read(&mut some) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }
}
