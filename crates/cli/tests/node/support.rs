//! A node as a child process, and its clients.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

pub use std::collections::BTreeMap;

use crate::bed::HoldPoints;
use elderstage_protocol::http::{self, BodyDecoder, Limits, Response};
pub use elderstage_standin::platform::{AttemptEnd, EngineEvent, Platform, whole_answer};
pub use serde_json::Value;

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_elderstage");
/// Time limit of every wait. It only ends a test that has failed.
pub const LONG: Duration = Duration::from_secs(20);
/// The body of a chat request.
pub const BODY: &str = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";

/// A running node. It is killed when dropped.
pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    /// Path of its configuration file.
    pub config: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// An address with a port that was free a moment ago. The IP address is used by no other test: when two tests
/// shared one, a client of one test was answered by the other test's node.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let ip = std::net::Ipv4Addr::from_bits(0x7f4d_0000 + n);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// Starts a node on an unused port. If another program takes the port before the node does, the node exits
/// and the next port is tried.
pub fn start_node(platform: &Platform, change: impl Fn(&mut Value)) -> Node {
    start_node_with_holds(platform, None, change)
}

/// Starts a node like [`start_node`], with steps at which the test can hold it.
pub fn start_node_with_holds(
    platform: &Platform,
    holds: Option<&HoldPoints>,
    change: impl Fn(&mut Value),
) -> Node {
    let mut attempts = (0..20).map(|_| try_start_node_at(platform, unused_address(), holds, &change));
    attempts.find_map(|node| node).expect("the node does not become ready")
}

/// Starts a node at this address. `None`: the node exits instead of becoming ready.
pub fn try_start_node_at(
    platform: &Platform,
    addr: SocketAddr,
    holds: Option<&HoldPoints>,
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
    wait_until_ready(Node { child: command.spawn().unwrap(), addr, config: path })
}

/// Waits until a node is ready. `None`: the node exits instead.
pub fn wait_until_ready(mut node: Node) -> Option<Node> {
    let addr = node.addr;
    let mut has_exited = false;
    let ready = || {
        has_exited = node.child.try_wait().unwrap().is_some();
        has_exited || Client::connect(addr).is_some_and(|mut client| client.get("/-/ready") == Some(200))
    };
    assert!(Platform::wait_until(LONG, ready), "the node neither exits nor becomes ready");
    (!has_exited).then_some(node)
}

impl Node {
    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(done.unwrap().success());
    }

    /// A new connection to it.
    pub fn client(&self) -> Client {
        Client::connect(self.addr).expect("the node accepts")
    }

    /// Sends one request on a new connection and receives the answer.
    pub fn request(&self, trace: &str, class: &str) -> Answer {
        let mut client = self.client();
        client.send(&chat(trace, class, 4000));
        client.answer()
    }
}

/// A scripted client: one connection to a node.
pub struct Client {
    pub stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    pub received: Vec<u8>,
}

/// A response as a client received it.
#[derive(Debug)]
pub struct Answer {
    /// The status; 0 if the connection ended without a response.
    pub status: u16,
    pub head: Option<Response>,
    pub body: String,
    /// The body was received to its end.
    pub is_complete: bool,
}

/// A chat request whose client waits for `expires_ms`.
pub fn chat(trace: &str, class: &str, expires_ms: u64) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\nX-Qos: {class}\r\n\
         X-Object: talk-{trace}\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Props: prompt_len=400,prefix_len=0,max_out=64\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

impl Client {
    /// Connects to a node; `None` if nothing listens there.
    pub fn connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(LONG)).unwrap();
        Some(Client { stream, received: Vec::new() })
    }

    /// Sends a text.
    pub fn send(&mut self, text: &str) {
        // The node may have closed the connection already. The test sees that in the answer.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Receives more bytes. `false`: the connection has ended.
    pub fn receive_more(&mut self) -> bool {
        let mut buffer = [0; 16 << 10];
        let n = self.stream.read(&mut buffer).unwrap_or(0);
        self.received.extend_from_slice(&buffer[..n]);
        n > 0
    }

    /// Receives the next response.
    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer { status: 0, head: None, body: String::new(), is_complete: false };
        let head = loop {
            if let Ok(Some((head, n))) = http::parse_response(&self.received, Limits::default()) {
                self.received.drain(..n);
                break head;
            }
            if !self.receive_more() {
                return answer;
            }
        };
        let (mut body, mut out) = (BodyDecoder::new(head.framing), Vec::new());
        while !body.is_done() {
            if self.received.is_empty() && !self.receive_more() {
                break;
            }
            let Ok(n) = body.push(&self.received, &mut out) else { break };
            self.received.drain(..n);
        }
        answer.status = head.status;
        answer.is_complete = body.is_done();
        answer.body = String::from_utf8_lossy(&out).into_owned();
        answer.head = Some(head);
        answer
    }

    /// Sends a GET request and returns the status of its response.
    pub fn get(&mut self, path: &str) -> Option<u16> {
        self.send(&format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
        Some(self.answer().status).filter(|status| *status > 0)
    }

    /// Waits until the node closes the connection.
    pub fn wait_until_closed(&mut self) -> bool {
        while self.receive_more() {}
        true
    }
}

/// Whether the answer is the complete stream of a mock engine.
pub fn is_served(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_complete && answer.body == whole_answer()
}

impl Node {
    /// Suspends the process, like a machine that gives it no CPU time. All events of that time are pending
    /// when it resumes.
    pub fn suspend(&self) {
        self.signal("STOP");
        let is_stopped = || self.stat().is_some_and(|stat| stat.contains(") T "));
        assert!(Platform::wait_until(LONG, is_stopped), "the node is not suspended");
    }

    /// Resumes the suspended process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Its `stat` file in `/proc`.
    fn stat(&self) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()
    }

    /// CPU time that the process has used, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = self.stat().unwrap_or_default();
        // The fields behind the name, which may hold spaces, begin with the third; the 14th and the 15th are
        // the time in user mode and in the system.
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        [11, 12].iter().filter_map(|n| fields.get(*n)?.parse::<u64>().ok()).sum()
    }

    /// Waits until the node has processed all events that came before. It sends a request with no time left,
    /// whose events pass through the same queue behind them, and waits for the answer.
    pub fn wait_until_processed(&self) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let trace = format!("settle-{}", NEXT.fetch_add(1, Ordering::SeqCst));
        let mut client = self.client();
        client.send(&chat(&trace, "plain", 0));
        assert_eq!(client.answer().status, 503);
    }

    /// Waits until the node accepts no more connections.
    pub fn wait_until_unreachable(&self) {
        assert!(
            Platform::wait_until(LONG, || Client::connect(self.addr).is_none()),
            "the node still listens"
        );
    }

    /// The log of a node from [`crate::bed::TestBed::node_with_descriptor_limit`].
    pub fn log_text(&mut self) -> String {
        std::fs::read_to_string(self.config.with_extension("log")).unwrap()
    }

    /// Waits until the process exits. `true`: it exited successfully.
    pub fn exits_successfully(&mut self) -> bool {
        let mut status = None;
        let has_exited = || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        };
        assert!(Platform::wait_until(LONG, has_exited), "the node does not exit");
        status.is_some_and(|status| status.success())
    }
}

impl Client {
    /// Shuts down its sending side. It can still receive.
    pub fn shutdown_write(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Receives up to the end of the connection. `true`: the connection was closed, `false`: it was reset.
    pub fn ends_without_reset(&mut self) -> bool {
        let mut buffer = [0; 16 << 10];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }
}
