//! A front in this process with a fleet of stand-ins, and a client that speaks raw HTTP.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use elderstage_front::{Front, Status};
use elderstage_net::{Conn, Endpoint, NetError, open, send};
use elderstage_protocol::http::Body;
use elderstage_protocol::jsonrpc::{self, Id, Message};
use elderstage_protocol::place::Family;
use elderstage_protocol::{mcp, sse};
use elderstage_rehearsal::fleet::{Fleet, Site, demo};
use elderstage_rehearsal::play::figures;
use elderstage_rehearsal::rules::{Figures, judge};
use elderstage_standin::host::DoorFault;
use elderstage_standin::traffic::{Log, Record, Writer};
use serde_json::{Value, json};

/// Longest wait for anything in a test: far beyond what it takes, so that a busy machine changes no verdict.
pub const LONG: Duration = Duration::from_secs(20);

pub struct World {
    pub fleet: Fleet,
    pub front: Option<Front>,
    pub addr: SocketAddr,
    pub dir: PathBuf,
    figures: Figures,
    writer: Option<Writer>,
}

pub fn folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("elderstage-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

impl World {
    /// A front with the demo's fleet. `front` are further directives of its section, `rules` a section's.
    pub fn start(change: impl Fn(&mut Site), front: &str, rules: &str) -> World {
        World::with_config(change, front, rules, |text, _| text)
    }

    pub fn with_config(
        change: impl Fn(&mut Site),
        front: &str,
        rules: &str,
        edit: impl Fn(String, &Fleet) -> String,
    ) -> World {
        elderstage_net::init(2);
        let mut site = demo();
        change(&mut site);
        site.rest.push_str(&format!("rules {{\n{rules}\n}}\n"));
        let (log, writer) = Log::start(None, None).unwrap();
        let fleet = Fleet::start(site, &log).unwrap();
        let dir = folder();
        std::fs::write(dir.join("servers.conf"), fleet.servers(&fleet.listed)).unwrap();
        let section = format!("listen 127.0.0.1:0\nzone a\n{front}");
        let text = edit(fleet.config(&section, "servers.conf"), &fleet);
        let config =
            elderstage_config::parse("front.conf", &text).unwrap_or_else(|errors| panic!("{errors}"));
        let figures = figures(&config);
        let front = Front::start(config, &dir, 1).unwrap();
        let addr = front.addr();
        World { fleet, front: Some(front), addr, dir, figures, writer: Some(writer) }
    }

    pub fn plain() -> World {
        World::start(|_| {}, "", "")
    }

    pub fn host(&self, name: &str) -> &elderstage_standin::host::Host {
        &self.fleet.hosts[name]
    }

    pub fn control(&self, name: &str, control: elderstage_standin::host::Control) {
        self.host(name).control(control).unwrap();
    }

    pub fn status(&self) -> Status {
        self.front.as_ref().unwrap().status().unwrap()
    }

    /// Waits until the front's status is as wanted.
    pub fn until(&self, what: &str, wanted: impl Fn(&Status) -> bool) {
        let end = Instant::now() + LONG;
        while !wanted(&self.status()) {
            assert!(Instant::now() < end, "never came: {what}; {:?}", self.status());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends all, and gives what was seen. No rule may be broken.
    pub fn finish(mut self) -> Vec<Record> {
        self.until("no request left", |status| status.held == 0);
        // States that were let go of at the last moment reach their readers.
        std::thread::sleep(Duration::from_millis(400));
        self.front.take().unwrap().finish(&AtomicBool::new(false));
        self.fleet.stop();
        let records = self.writer.take().unwrap().finish().unwrap();
        for verdict in judge(&records, &self.figures) {
            assert!(verdict.broken.is_empty(), "{}: {:?}", verdict.rule, verdict.broken);
        }
        std::fs::remove_dir_all(&self.dir).unwrap();
        records
    }

    pub fn call(&self, tool: &str, prompt: &str) -> Call {
        let conn = open(self.addr, LONG).unwrap();
        Call::on(conn, self.addr, tool, prompt, 1, None, true)
    }

    /// One of the front's plain counters.
    pub fn metric(&self, name: &str) -> u64 {
        let to = Endpoint::new(self.addr, "/metrics");
        let answer = elderstage_net::exchange("GET", &to, &[], b"", LONG).unwrap();
        let text = String::from_utf8(answer.body).unwrap();
        let line = text.lines().find(|line| line.split(' ').next() == Some(name));
        line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).unwrap_or_else(|| panic!("{name}: {text}"))
    }

    /// Waits until a counter is as wanted.
    pub fn until_metric(&self, name: &str, wanted: impl Fn(u64) -> bool) {
        let end = Instant::now() + LONG;
        while !wanted(self.metric(name)) {
            assert!(Instant::now() < end, "{name} stays {}", self.metric(name));
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn fault(&self, engine: Option<&str>, way: Family, fault: DoorFault) {
        self.fleet.fault(engine, way, fault).unwrap();
    }

    pub fn initialize(&self) -> String {
        elderstage_rehearsal::clients::Clients::initialize(self.addr).unwrap().unwrap()
    }

    /// A POST of one message, answered whole.
    pub fn post(&self, body: &str) -> (u16, String) {
        self.post_with(&[("content-type", "application/json")], body)
    }

    pub fn post_with(&self, headers: &[(&str, &str)], body: &str) -> (u16, String) {
        let to = Endpoint::new(self.addr, "/mcp");
        let answer = elderstage_net::exchange("POST", &to, headers, body.as_bytes(), LONG).unwrap();
        (answer.head.status, String::from_utf8(answer.body).unwrap())
    }
}

/// How a call ended.
#[derive(Debug, PartialEq)]
pub enum End {
    Served(String),
    Refused {
        retry_after_ms: Option<u64>,
        message: String,
    },
    Failed(String),
    /// The stream ended without a response.
    Nothing,
}

/// A call that is out.
pub struct Call {
    pub conn: Conn,
    body: Option<Body>,
    parser: sse::Parser,
    events: Vec<sse::Event>,
    pub id: i64,
    /// Text that came in pieces.
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
    pub fn on(
        mut conn: Conn,
        addr: SocketAddr,
        tool: &str,
        prompt: &str,
        id: i64,
        session: Option<&str>,
        progress: bool,
    ) -> Call {
        conn.set_read_timeout(Some(LONG));
        let mut headers =
            vec![("content-type", "application/json"), ("accept", "application/json, text/event-stream")];
        if let Some(session) = session {
            headers.push((mcp::SESSION_HEADER, session));
        }
        let to = Endpoint::new(addr, "/mcp");
        send(&mut conn, "POST", &to, &headers, call_body(tool, prompt, id, progress).as_bytes()).unwrap();
        Call::expect(conn, id)
    }

    /// Reads the answer to a call that was sent on this connection.
    pub fn expect(conn: Conn, id: i64) -> Call {
        let (parser, events) = (sse::Parser::default(), Vec::new());
        Call { conn, body: None, parser, events, id, text: String::new() }
    }

    /// The next message; `None` when the stream has ended.
    pub fn message(&mut self) -> Result<Option<Message>, NetError> {
        loop {
            if !self.events.is_empty() {
                let event = self.events.remove(0);
                return Ok(Some(jsonrpc::parse(event.data.as_bytes()).unwrap()));
            }
            let mut bytes = Vec::new();
            match &mut self.body {
                None => {
                    let head = self.conn.response()?;
                    assert_eq!(head.status, 200);
                    self.body = Some(Body::new(head.framing));
                }
                Some(body) => {
                    if !self.conn.body_piece(body, &mut bytes)? {
                        return Ok(None);
                    }
                    self.parser.push(&bytes, &mut self.events).unwrap();
                }
            }
        }
    }

    /// Waits for the first piece of text.
    pub fn first(&mut self) {
        match self.message() {
            Ok(Some(Message::Notification { params, .. })) => self.take(&params),
            other => panic!("expected text, got {other:?}"),
        }
    }

    fn take(&mut self, params: &serde_json::Map<String, Value>) {
        assert_eq!(params["progressToken"], json!(self.id));
        self.text.push_str(params["message"].as_str().unwrap());
    }

    /// Follows the call to its end.
    pub fn end(&mut self) -> End {
        loop {
            match self.message().unwrap() {
                None => return End::Nothing,
                Some(Message::Notification { params, .. }) => self.take(&params),
                Some(Message::Response { id, result }) => {
                    assert_eq!(id, Id::Number(self.id));
                    let end = end(result);
                    assert_eq!(self.message().unwrap(), None, "something after the response");
                    return end;
                }
                Some(other) => panic!("unasked: {other:?}"),
            }
        }
    }

    pub fn served(&mut self) -> String {
        match self.end() {
            End::Served(text) => text,
            other => panic!("expected served, got {other:?}"),
        }
    }

    pub fn leave(self) {
        self.conn.socket().shut();
    }
}

fn end(result: Result<Value, jsonrpc::RpcError>) -> End {
    match result {
        Ok(result) => End::Served(mcp::tool_text(&result).unwrap().text),
        Err(error) => {
            let data = error.data.unwrap_or_default();
            match data["outcome"].as_str() {
                Some("refused") => {
                    End::Refused { retry_after_ms: data["retryAfterMs"].as_u64(), message: error.message }
                }
                Some("failed") => End::Failed(error.message),
                other => panic!("outcome {other:?}: {}", error.message),
            }
        }
    }
}
