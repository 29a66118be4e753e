//! A front in this process with a fleet of mock servers, and a client that sends raw HTTP.
#![allow(dead_code)]

pub mod engine;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, unbounded};
use elderstage_front::{Front, Status};
use elderstage_net::{Conn, EndpointPath, NetError, connect, send};
use elderstage_protocol::http::BodyDecoder;
use elderstage_protocol::jsonrpc::{self, Id, Message};
use elderstage_protocol::place::AddressFamily;
use elderstage_protocol::{mcp, sse};
use elderstage_rehearsal::fleet::{Fleet, Site, demo_site};
use elderstage_rehearsal::play::rule_limits;
use elderstage_rehearsal::rules::{RuleLimits, check_rules};
use elderstage_standin::host::AddressFault;
use elderstage_standin::traffic::{Log, LogWriter, Record, TrafficEvent};
use serde_json::{Value, json};

/// Longest wait in a test. It is far longer than any wait takes, so that a busy machine does not make a test fail.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// A running front with its fleet of mock servers.
pub struct TestCluster {
    pub fleet: Fleet,
    pub front: Option<Front>,
    pub addr: SocketAddr,
    pub dir: PathBuf,
    rule_limits: RuleLimits,
    writer: Option<LogWriter>,
    /// The traffic as it happens.
    records_seen: Receiver<Record>,
}

/// Creates an empty directory for one test.
pub fn create_temp_dir() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("elderstage-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

impl TestCluster {
    /// Starts a front with the demo's fleet. `front` has further directives of the section `front`, `rules` those
    /// of the section `rules`.
    pub fn start(change: impl Fn(&mut Site), front: &str, rules: &str) -> TestCluster {
        TestCluster::with_config(change, front, rules, |text, _| text)
    }

    /// Like [`TestCluster::start`], with a last edit of the configuration.
    pub fn with_config(
        change: impl Fn(&mut Site),
        front: &str,
        rules: &str,
        edit: impl Fn(String, &Fleet) -> String,
    ) -> TestCluster {
        elderstage_net::init(2);
        let mut site = demo_site();
        change(&mut site);
        site.extra_directives.push_str(&format!("rules {{\n{rules}\n}}\n"));
        let (record_sender, records_seen) = unbounded();
        let (log, writer) = Log::start(None, Some(record_sender)).unwrap();
        let fleet = Fleet::start(site, &log).unwrap();
        let dir = create_temp_dir();
        std::fs::write(dir.join("servers.conf"), fleet.server_list_text(&fleet.initial_states)).unwrap();
        let section = format!("listen 127.0.0.1:0\nzone a\n{front}");
        let text = edit(fleet.front_config_text(&section, "servers.conf"), &fleet);
        let config =
            elderstage_config::parse("front.conf", &text).unwrap_or_else(|errors| panic!("{errors}"));
        let rule_limits = rule_limits(&config);
        let front = Front::start(config, &dir, 1).unwrap();
        let addr = front.addr();
        TestCluster { fleet, front: Some(front), addr, dir, rule_limits, writer: Some(writer), records_seen }
    }

    /// Starts a front with the demo's fleet as it is.
    pub fn start_default() -> TestCluster {
        TestCluster::start(|_| {}, "", "")
    }

    pub fn host(&self, name: &str) -> &elderstage_standin::host::EngineHost {
        &self.fleet.hosts[name]
    }

    pub fn control(&self, name: &str, control: elderstage_standin::host::Control) {
        self.host(name).control(control).unwrap();
    }

    pub fn status(&self) -> Status {
        self.front.as_ref().unwrap().status().unwrap()
    }

    /// Waits until the front's status meets the condition.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&Status) -> bool) {
        let deadline = Instant::now() + MAX_WAIT;
        while !condition(&self.status()) {
            assert!(Instant::now() < deadline, "timed out waiting for: {what}; {:?}", self.status());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the traffic has an event that meets the condition.
    pub fn wait_for_event(&self, what: &str, is_match: impl Fn(&TrafficEvent) -> bool) {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            match self.records_seen.recv_deadline(deadline) {
                Ok(record) if is_match(&record.what) => return,
                Ok(_) => {}
                Err(error) => panic!("no event: {what}: {error}"),
            }
        }
    }

    /// Stops everything and returns the traffic records. Fails if a rule of the rehearsal is broken.
    pub fn finish_and_check(mut self) -> Vec<Record> {
        self.wait_until("no request left", |status| status.held == 0);
        // Gives the last releases of KV states the time to reach their readers.
        std::thread::sleep(Duration::from_millis(400));
        self.front.take().unwrap().finish(&AtomicBool::new(false));
        self.fleet.stop();
        let records = self.writer.take().unwrap().finish().unwrap();
        for verdict in check_rules(&records, &self.rule_limits) {
            assert!(verdict.violations.is_empty(), "{}: {:?}", verdict.rule, verdict.violations);
        }
        std::fs::remove_dir_all(&self.dir).unwrap();
        records
    }

    /// Sends a call on a connection of its own.
    pub fn call(&self, tool: &str, prompt: &str) -> Call {
        let conn = connect(self.addr, MAX_WAIT).unwrap();
        Call::send(conn, self.addr, tool, prompt, 1, None, true)
    }

    /// The value of one metric of the front.
    pub fn metric(&self, name: &str) -> u64 {
        let to = EndpointPath::new(self.addr, "/metrics");
        let answer = elderstage_net::exchange("GET", &to, &[], b"", MAX_WAIT).unwrap();
        let text = String::from_utf8(answer.body).unwrap();
        let line = text.lines().find(|line| line.split(' ').next() == Some(name));
        line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).unwrap_or_else(|| panic!("{name}: {text}"))
    }

    /// Waits until a metric meets the condition.
    pub fn wait_until_metric(&self, name: &str, condition: impl Fn(u64) -> bool) {
        let deadline = Instant::now() + MAX_WAIT;
        while !condition(self.metric(name)) {
            assert!(Instant::now() < deadline, "timed out: {name} stays at {}", self.metric(name));
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sets the fault of one engine's addresses of a family, or of all engines'.
    pub fn set_fault(&self, engine: Option<&str>, family: AddressFamily, fault: AddressFault) {
        self.fleet.set_address_fault(engine, family, fault).unwrap();
    }

    /// Opens an MCP session and returns its id.
    pub fn open_session(&self) -> String {
        elderstage_rehearsal::clients::Clients::initialize(self.addr).unwrap().unwrap()
    }

    /// Posts one message and reads the whole response.
    pub fn post(&self, body: &str) -> (u16, String) {
        self.post_with(&[("content-type", "application/json")], body)
    }

    pub fn post_with(&self, headers: &[(&str, &str)], body: &str) -> (u16, String) {
        let to = EndpointPath::new(self.addr, "/mcp");
        let answer = elderstage_net::exchange("POST", &to, headers, body.as_bytes(), MAX_WAIT).unwrap();
        (answer.head.status, String::from_utf8(answer.body).unwrap())
    }
}

/// How a call ended.
#[derive(Debug, PartialEq)]
pub enum CallEnd {
    Served(String),
    Refused {
        retry_after_ms: Option<u64>,
        message: String,
    },
    Failed(String),
    /// The stream ended without a response.
    NoResponse,
}

/// A running call.
pub struct Call {
    pub conn: Conn,
    body: Option<BodyDecoder>,
    parser: sse::EventParser,
    events: Vec<sse::Event>,
    pub id: i64,
    /// Text received in progress notifications.
    pub text: String,
}

pub fn call_body(tool: &str, prompt: &str, id: i64, progress: bool) -> String {
    let mut params = json!({"name": tool, "arguments": {"prompt": prompt}});
    if progress {
        params["_meta"] = json!({"progressToken": id});
    }
    jsonrpc::request(&Id::Number(id), "tools/call", params)
}

impl Call {
    /// Sends a call on this connection.
    pub fn send(
        mut conn: Conn,
        addr: SocketAddr,
        tool: &str,
        prompt: &str,
        id: i64,
        session: Option<&str>,
        progress: bool,
    ) -> Call {
        conn.set_read_timeout(Some(MAX_WAIT));
        let mut headers =
            vec![("content-type", "application/json"), ("accept", "application/json, text/event-stream")];
        if let Some(session) = session {
            headers.push((mcp::SESSION_HEADER, session));
        }
        let to = EndpointPath::new(addr, "/mcp");
        send(&mut conn, "POST", &to, &headers, call_body(tool, prompt, id, progress).as_bytes()).unwrap();
        Call::receive(conn, id)
    }

    /// Prepares to read the answer to a call that was already sent on this connection.
    pub fn receive(conn: Conn, id: i64) -> Call {
        let (parser, events) = (sse::EventParser::default(), Vec::new());
        Call { conn, body: None, parser, events, id, text: String::new() }
    }

    /// Reads the next message. Returns `None` when the stream has ended.
    pub fn next_message(&mut self) -> Result<Option<Message>, NetError> {
        loop {
            if !self.events.is_empty() {
                let event = self.events.remove(0);
                return Ok(Some(jsonrpc::parse(event.data.as_bytes()).unwrap()));
            }
            let mut bytes = Vec::new();
            match &mut self.body {
                None => {
                    let head = self.conn.receive_response()?;
                    assert_eq!(head.status, 200);
                    self.body = Some(BodyDecoder::new(head.framing));
                }
                Some(body) => {
                    if !self.conn.receive_body_piece(body, &mut bytes)? {
                        return Ok(None);
                    }
                    self.parser.push(&bytes, &mut self.events).unwrap();
                }
            }
        }
    }

    /// Waits for the first piece of text.
    pub fn wait_for_text(&mut self) {
        match self.next_message() {
            Ok(Some(Message::Notification { params, .. })) => self.record_progress(&params),
            other => panic!("expected text, got {other:?}"),
        }
    }

    fn record_progress(&mut self, params: &serde_json::Map<String, Value>) {
        assert_eq!(params["progressToken"], json!(self.id));
        self.text.push_str(params["message"].as_str().unwrap());
    }

    /// Reads the answer to its end.
    pub fn wait_for_end(&mut self) -> CallEnd {
        loop {
            match self.next_message().unwrap() {
                None => return CallEnd::NoResponse,
                Some(Message::Notification { params, .. }) => self.record_progress(&params),
                Some(Message::Response { id, result }) => {
                    assert_eq!(id, Id::Number(self.id));
                    let end = classify_result(result);
                    assert_eq!(self.next_message().unwrap(), None, "message after the response");
                    return end;
                }
                Some(other) => panic!("unexpected message: {other:?}"),
            }
        }
    }

    /// Reads the answer to its end and returns the text of a successful result.
    pub fn expect_served(&mut self) -> String {
        match self.wait_for_end() {
            CallEnd::Served(text) => text,
            other => panic!("expected served, got {other:?}"),
        }
    }

    /// Closes the connection without waiting for the answer.
    pub fn disconnect(self) {
        self.conn.socket().shutdown();
    }
}

fn classify_result(result: Result<Value, jsonrpc::RpcError>) -> CallEnd {
    match result {
        Ok(result) => CallEnd::Served(mcp::parse_tool_result(&result).unwrap().text),
        Err(error) => {
            let data = error.data.unwrap_or_default();
            match data["outcome"].as_str() {
                Some("refused") => {
                    CallEnd::Refused { retry_after_ms: data["retryAfterMs"].as_u64(), message: error.message }
                }
                Some("failed") => CallEnd::Failed(error.message),
                other => panic!("outcome {other:?}: {}", error.message),
            }
        }
    }
}
