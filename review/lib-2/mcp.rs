//! Stand-ins around the MCP front (`elderstage serve`): a mixed engine that speaks streamed chat completions,
//! a tool server and an MCP client. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::common::{Answer, Client, Rec, Req, ms};

/// Reads one request; answers `Expect: 100-continue` before its body.
fn read_request(from: &mut BufReader<TcpStream>, out: &mut TcpStream) -> io::Result<Option<Req>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let mut req = Req { method, target, headers, body: Vec::new() };
    if req.header("expect").is_some() {
        out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    let length = req.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0usize);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    req.body = body;
    Ok(Some(req))
}

/// How long engines remember a key (`repeat keyed all 5s`).
pub const KEY_MEMORY: Duration = Duration::from_secs(5);

/// What an engine does with one completion request.
#[derive(Clone, Debug)]
pub enum Turn {
    /// Runs, waits, and streams this text.
    Text { first_ms: u64, text: String },
    /// Like `Text`, and the same answer once more, some milliseconds behind the first.
    TextTwice { first_ms: u64, text: String, late_ms: u64 },
    /// Calls a tool with these arguments (JSON text).
    Call { tool: String, arguments: String },
    /// Like `Call`, and the same answer once more, some milliseconds behind the first.
    CallTwice { tool: String, arguments: String, late_ms: u64 },
    /// Runs, and the process dies before it answers: this connection and all others break, new ones are refused
    /// for `down_ms`.
    RunAndDie { down_ms: u64 },
    /// Runs, and then hangs: nothing at this engine is answered for this time, and what its client has given up
    /// meanwhile is dropped.
    RunAndHang { hang_ms: u64 },
}

pub type TurnHook = Box<dyn Fn(&Req) -> Turn + Send + Sync>;

/// A mixed engine.
pub struct McpEngine {
    pub addr: SocketAddr,
    /// The prompts that ran: `(prompt, key)`.
    pub runs: Arc<Mutex<Vec<(String, String, Instant)>>>,
}

struct EngineState {
    rec: Arc<Rec>,
    hook: TurnHook,
    runs: Arc<Mutex<Vec<(String, String, Instant)>>>,
    connections: Mutex<Vec<TcpStream>>,
    down: Mutex<Option<Instant>>,
    hung: Mutex<Option<Instant>>,
    /// Keys of requests that ran, with the text of their answer and the time. They are remembered for `KEY_MEMORY`.
    keys: Mutex<HashMap<String, (String, Instant)>>,
}

impl EngineState {
    fn wait_while_hung(&self) {
        while self.hung.lock().unwrap().is_some_and(|until| Instant::now() < until) {
            thread::sleep(ms(2));
        }
    }
}

/// The text between two marks in a prompt: `<<...>>`.
pub fn marked(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let from = text.find("<<").map_or(0, |at| at + 2);
    let to = text[from..].find(">>").map_or(from, |at| from + at);
    text[from..to].to_owned()
}

pub fn start_mcp_engine(rec: &Arc<Rec>, hook: TurnHook) -> McpEngine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let state = Arc::new(EngineState {
        rec: rec.clone(),
        hook,
        runs: runs.clone(),
        connections: Mutex::default(),
        down: Mutex::default(),
        hung: Mutex::default(),
        keys: Mutex::default(),
    });
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            // A process that has died refuses connections until it is started again.
            let down = *state.down.lock().unwrap();
            if let Some(until) = down {
                listener = None;
                if Instant::now() < until {
                    thread::sleep(ms(2));
                    continue;
                }
                let Ok(new) = TcpListener::bind(addr) else {
                    thread::sleep(ms(2));
                    continue;
                };
                state.rec.log("engine is started again");
                *state.down.lock().unwrap() = None;
                listener = Some(new);
            }
            let Some(from) = &listener else { continue };
            from.set_nonblocking(true).unwrap();
            match from.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    state.connections.lock().unwrap().push(stream.try_clone().unwrap());
                    let state = state.clone();
                    thread::spawn(move || {
                        let _ = serve(&state, stream);
                    });
                }
                Err(_) => thread::sleep(ms(1)),
            }
        }
    });
    McpEngine { addr, runs }
}

fn serve(state: &EngineState, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(req) = read_request(&mut from, &mut out)? {
        state.wait_while_hung();
        if crate::common::closed_within(&out, 1) {
            return Ok(());
        }
        if req.method == "GET" || req.target == "/abort_request" {
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let (prompt, rid) = (marked(&req.body), req.header("x-request-id").unwrap_or("-").to_owned());
        let key = req.header("idempotency-key").unwrap_or("").to_owned();
        state.rec.log(format!("engine got <<{prompt}>> x-request-id={rid} idempotency-key={key:?}"));
        let mut turn = (state.hook)(&req);
        let known = state.keys.lock().unwrap().get(&key).filter(|(_, at)| at.elapsed() < KEY_MEMORY).cloned();
        if let Some((text, _)) = known {
            state.rec.log(format!("engine drops <<{prompt}>>: a request with key {key:?} has run"));
            turn = Turn::Text { first_ms: 1, text };
        } else if !matches!(turn, Turn::Call { .. } | Turn::CallTwice { .. }) {
            state.runs.lock().unwrap().push((prompt.clone(), key.clone(), Instant::now()));
            state.rec.log(format!("engine runs <<{prompt}>> x-request-id={rid} idempotency-key={key:?}"));
            if !key.is_empty() {
                state.keys.lock().unwrap().insert(key.clone(), (format!("done: {prompt}"), Instant::now()));
            }
        }
        let late_ms = match &turn {
            Turn::TextTwice { late_ms, .. } | Turn::CallTwice { late_ms, .. } => Some(*late_ms),
            _ => None,
        };
        let events = match turn {
            Turn::RunAndDie { down_ms } => {
                state.rec.log(format!("engine dies with <<{prompt}>> unanswered"));
                *state.down.lock().unwrap() = Some(Instant::now() + ms(down_ms));
                for connection in state.connections.lock().unwrap().drain(..) {
                    let _ = connection.shutdown(Shutdown::Both);
                }
                return Ok(());
            }
            Turn::Text { first_ms, text } | Turn::TextTwice { first_ms, text, .. } => {
                thread::sleep(ms(first_ms));
                let text = text.replace('"', "'");
                format!(
                    "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\ndata: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"\"}},\"finish_reason\":\"stop\"}}]}}\n\n"
                )
            }
            Turn::Call { tool, arguments } | Turn::CallTwice { tool, arguments, .. } => {
                let arguments = arguments.replace('"', "\\\"");
                format!(
                    "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"tool_calls\":[{{\"index\":0,\"id\":\"c1\",\"type\":\"function\",\"function\":{{\"name\":\"{tool}\",\"arguments\":\"{arguments}\"}}}}]}},\"finish_reason\":null}}]}}\n\ndata: {{\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"tool_calls\"}}]}}\n\n"
                )
            }
            Turn::RunAndHang { hang_ms } => {
                state.rec.log(format!("engine hangs with <<{prompt}>> unanswered"));
                *state.hung.lock().unwrap() = Some(Instant::now() + ms(hang_ms));
                state.wait_while_hung();
                state.rec.log("engine goes on");
                return Ok(());
            }
        };
        let events = format!("{events}data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":50,\"completion_tokens\":5}}}}\n\ndata: [DONE]\n\n");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
            events.len()
        );
        let written = out.write_all(answer.as_bytes());
        if let Some(late_ms) = late_ms {
            // Whole answers are written by one call each, so that they do not mix.
            let (mut out, rec, prompt) = (out.try_clone()?, state.rec.clone(), prompt.clone());
            thread::spawn(move || {
                thread::sleep(ms(late_ms));
                let written = out.write_all(answer.as_bytes());
                let how = if written.is_ok() { "written" } else { "nobody there" };
                rec.log(format!("engine answered <<{prompt}>> a second time: {how}"));
            });
        }
        state.rec.log(format!("engine answered <<{prompt}>>: {}", if written.is_ok() { "written" } else { "nobody there" }));
        written?;
    }
    Ok(())
}

/// A tool server whose only tool places an order. It ignores a repeat (a call with a key that it has seen) and
/// answers it with the result of the first.
pub struct ToolServer {
    pub addr: SocketAddr,
    /// Orders that were placed: what, and under which key.
    pub orders: Arc<Mutex<Vec<(String, String)>>>,
}

pub fn start_tool_server(rec: &Arc<Rec>) -> ToolServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let orders = Arc::new(Mutex::new(Vec::new()));
    let (rec, placed) = (rec.clone(), orders.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (rec, placed) = (rec.clone(), placed.clone());
            thread::spawn(move || {
                let _ = serve_tools(&rec, &placed, stream);
            });
        }
    });
    ToolServer { addr, orders }
}

/// The value of `"id":` at the start of a JSON-RPC message, a number here.
fn rpc_id(text: &str) -> String {
    let at = text.find("\"id\":").map_or(0, |at| at + 5);
    text[at..].chars().take_while(|c| c.is_ascii_digit()).collect()
}

fn serve_tools(rec: &Rec, placed: &Mutex<Vec<(String, String)>>, stream: TcpStream) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(req) = read_request(&mut from, &mut out)? {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let mut respond = |status: &str, extra: &str, body: &str| {
            out.write_all(
                format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
                    .as_bytes(),
            )
        };
        if text.contains("\"initialize\"") {
            let id = rpc_id(&text);
            respond("200 OK", "Mcp-Session-Id: tools-1\r\n", &format!(
                "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"protocolVersion\":\"2025-06-18\",\"capabilities\":{{\"tools\":{{}}}},\"serverInfo\":{{\"name\":\"orders\",\"version\":\"1\"}}}}}}"
            ))?;
        } else if text.contains("tools/call") {
            let (id, what) = (rpc_id(&text), marked(&req.body));
            let key = req.header("idempotency-key").unwrap_or("").to_owned();
            let mut placed = placed.lock().unwrap();
            let earlier = placed.iter().position(|(_, known)| *known == key);
            let number = match earlier {
                Some(at) => {
                    rec.log(format!("tool server: <<{what}>> with key {key:?} is a repeat of <<{}>>, nothing is placed", placed[at].0));
                    at
                }
                None => {
                    rec.log(format!("tool server places <<{what}>> with key {key:?}"));
                    placed.push((what, key));
                    placed.len() - 1
                }
            };
            let result = format!("order {} placed: {}", number + 1, placed[number].0);
            drop(placed);
            respond("200 OK", "", &format!(
                "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"content\":[{{\"type\":\"text\",\"text\":\"{result}\"}}],\"isError\":false}}}}"
            ))?;
        } else {
            respond("202 Accepted", "", "")?;
        }
    }
    Ok(())
}

/// A front, started by `elderstage serve`, with the program that the deploy file's `build` leaves.
pub struct Front {
    pub child: Child,
    pub addr: SocketAddr,
    pub folder: PathBuf,
}

impl Front {
    pub fn start(rec: &Rec, addr: SocketAddr, config: &str) -> Front {
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let folder = std::env::temp_dir().join(format!("elderstage-review-{}-{stamp}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("front.conf"), config).unwrap();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let level = std::env::var("NODE_LOG").unwrap_or_else(|_| "info,may=warn".into());
        // The program and its log level as in the deploy file's `run`; the command as in docs/operators.md.
        let child = crate::common::ends_with_case(&mut Command::new("target/release/elderstage"))
            .args(["--log-level", &level, "serve", "--config"])
            .arg(folder.join("front.conf"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/elderstage: build it first");
        crate::common::register(child.id(), &folder);
        rec.log("front started");
        Front { child, addr, folder }
    }
    pub fn wait_ready(&self, rec: &Rec) -> bool {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.addr) {
                let sent = client.send(b"GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                if sent.is_ok() && client.answer(ms(1000)).status == 200 {
                    rec.log("front is ready");
                    return true;
                }
            }
            thread::sleep(ms(20));
        }
        false
    }
    pub fn signal(&self, signal: i32) {
        crate::common::send_signal(self.child.id() as i32, signal);
    }
    pub fn wait_end(&mut self, time: Duration) -> Option<String> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.to_string());
            }
            thread::sleep(ms(10));
        }
        None
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        crate::common::unregister(self.child.id());
        if let Ok(keep) = std::env::var("KEEP_LOG") {
            let _ = std::fs::copy(self.folder.join("log"), keep);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Calls a route of the front as an MCP client does, on a connection of its own.
pub fn call(rec: &Rec, addr: SocketAddr, route: &str, prompt: &str, wait: Duration) -> Answer {
    let body = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{{\"name\":\"{route}\",\"arguments\":{{\"prompt\":\"{prompt}\"}},\"_meta\":{{\"progressToken\":\"p\"}}}}}}"
    );
    let head = format!(
        "POST /mcp HTTP/1.1\r\nHost: front\r\nContent-Type: application/json\r\nAccept: application/json, text/event-stream\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    rec.log(format!("client calls {route}: {prompt}"));
    let answer = match Client::connect(addr) {
        Ok(mut client) => match client.send(format!("{head}{body}").as_bytes()) {
            Ok(()) => client.answer(wait),
            Err(_) => Answer { closed: true, ..Answer::default() },
        },
        Err(_) => Answer { closed: true, ..Answer::default() },
    };
    let shown = answer.body.replace(['\n', '\r'], " ");
    rec.log(format!("client got for {prompt}: status={} complete={} {shown}", answer.status, answer.complete));
    answer
}

/// Whether the answer is the error -32001: trying again is harmless.
pub fn is_refused(answer: &Answer) -> bool {
    answer.body.contains("-32001")
}

/// Whether the answer is the error -32002: it promises nothing.
pub fn is_failed(answer: &Answer) -> bool {
    answer.body.contains("-32002")
}
