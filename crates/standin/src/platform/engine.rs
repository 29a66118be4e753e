//! One mock engine of the platform. The request id selects the behaviour: the part before the last dash is
//! the name of a case in `run_case`.
//!
//! A connection serves one request at a time on a thread of its own.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use elderstage_protocol::http::{self, Limits, Request};

use super::{AttemptEnd, EngineEvent, Traffic};
use crate::ending::StreamEnding;

/// Number of content events in an answer, and the pause after each.
const ANSWER_EVENTS: usize = 6;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Delay of the second answer in case `more-later`.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(4);
/// A connection that receives nothing for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Limit on the wait for the peer to close a connection that gets no further bytes.
const SILENT_TIMEOUT: Duration = Duration::from_secs(8);
/// The load that every engine reports.
const LOAD_REPORT: &str = "TEXT lat_ms=10.5, x0=0.1, x1=0";
/// Number of bytes sent of an endless head or chunk.
const ENDLESS_BYTES: usize = 8 << 20;

/// The stage that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Reader,
    Writer,
}

/// A running mock engine.
pub struct Engine {
    pub name: String,
    pub role: Role,
    pub addr: SocketAddr,
    is_stopped: Arc<AtomicBool>,
}

/// What the threads of an engine share.
#[derive(Clone)]
struct EngineHandler {
    name: String,
    role: Role,
    traffic: Traffic,
    is_stopped: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine on a free local port.
    pub fn start(name: &str, role: Role, traffic: &Traffic) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let handler = EngineHandler {
            name: name.to_owned(),
            role,
            traffic: traffic.clone(),
            is_stopped: is_stopped.clone(),
        };
        std::thread::spawn(move || {
            static CONNECTIONS: AtomicU64 = AtomicU64::new(0);
            for stream in listener.incoming() {
                if handler.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (handler, connection_id) = (handler.clone(), CONNECTIONS.fetch_add(1, Ordering::SeqCst));
                std::thread::spawn(move || handler.serve_connection(stream, connection_id));
            }
        });
        Ok(Engine { name: name.to_owned(), role, addr, is_stopped })
    }

    /// Stops the engine: its port refuses connects, and each open connection closes at its next request.
    pub fn kill(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // The connect wakes the accept loop, which then ends. An error means that it has ended already.
        let _ = TcpStream::connect(self.addr);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl EngineHandler {
    fn serve_connection(&self, mut stream: TcpStream, connection_id: u64) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let mut received = Vec::new();
        while let Some((head, body)) = receive_request(&mut stream, &mut received) {
            if self.is_stopped.load(Ordering::SeqCst)
                || !self.serve_request(&mut stream, connection_id, &head, &body)
            {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Sends a response; `false` if the socket write failed.
    fn send_response(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut out = Vec::new();
        http::write_response(status, headers, body, true, &mut out);
        stream.write_all(&out).is_ok()
    }

    /// Serves one request and records it. Returns whether the connection stays open.
    fn serve_request(&self, stream: &mut TcpStream, connection_id: u64, head: &Request, body: &[u8]) -> bool {
        if let Some(trace) = head.target.strip_prefix("/kv/leases/").filter(|_| head.method == "DELETE") {
            self.traffic.release_state(trace);
            self.traffic.record(&self.name, self.role, EngineEvent::Released { trace: trace.to_owned() });
            return EngineHandler::send_response(stream, 204, &[], b"");
        }
        if head.method == "GET" && head.target == "/-/load" {
            self.traffic.record(&self.name, self.role, EngineEvent::Probed);
            return EngineHandler::send_response(stream, 200, &[], LOAD_REPORT.as_bytes());
        }
        let trace = head.headers.get("x-trace-id").unwrap_or_default().to_owned();
        if head.target != "/v1/chat/completions" || trace.is_empty() || !body.starts_with(b"{") {
            let what = format!("{} {} with {} bytes, id {trace:?}", head.method, head.target, body.len());
            self.traffic.record(&self.name, self.role, EngineEvent::Unknown { what });
            return EngineHandler::send_response(stream, 400, &[], b"");
        }
        let expires_ms = head.headers.get("x-expires-in-ms").and_then(|text| text.parse().ok());
        let is_second = self.traffic.begin_request(&trace, connection_id, stream);
        let pass = EngineEvent::Begun {
            trace: trace.clone(),
            connection: connection_id,
            body: body.len(),
            expires_ms,
            second: is_second,
        };
        self.traffic.record(&self.name, self.role, pass);
        let attempt = self.traffic.count_attempt(&trace, self.role);
        let (how, keep_open) = self.run_case(stream, connection_id, &trace, attempt);
        self.traffic.end_request(&trace, connection_id);
        self.traffic.record(
            &self.name,
            self.role,
            EngineEvent::Ended { trace, connection: connection_id, how },
        );
        keep_open
    }

    /// Runs the case that the request id names. A case that ends in `-first` applies only to the first
    /// attempt; later attempts are served normally. Returns how the attempt ended and whether the connection
    /// stays open.
    fn run_case(
        &self,
        stream: &mut TcpStream,
        connection_id: u64,
        trace: &str,
        attempt: u32,
    ) -> (AttemptEnd, bool) {
        // The request is recorded as ended before its last byte is sent, because the peer may send the next
        // attempt before this thread continues.
        let send_final = |stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]| {
            self.traffic.end_request(trace, connection_id);
            EngineHandler::send_response(stream, status, headers, body)
        };
        let case = trace.rsplit_once('-').map_or(trace, |(case, _)| case);
        let case = match case.strip_suffix("-first") {
            Some(case) if attempt == 1 => case,
            Some(_) => "plain",
            None => case,
        };
        if self.role == Role::Reader {
            return match case {
                "reader-500" => (AttemptEnd::MayHaveRun, send_final(stream, 500, &[], b"")),
                "reader-full" => {
                    (AttemptEnd::NeverRan, send_final(stream, 503, &[("x-never-ran", "1")], b""))
                }
                // The prompt read succeeds but the connection breaks: the state is held nevertheless.
                "reader-breaks" => {
                    self.traffic.hold_state(&self.name, trace);
                    (AttemptEnd::MayHaveRun, false)
                }
                "reader-silent" => {
                    self.traffic.hold_state(&self.name, trace);
                    (AttemptEnd::MayHaveRun, wait_for_close(stream))
                }
                _ => {
                    self.traffic.hold_state(&self.name, trace);
                    (AttemptEnd::Read, send_final(stream, 202, &[], b"{\"cached_tokens\":96}"))
                }
            };
        }
        match case {
            "writer-500" => return (AttemptEnd::MayHaveRun, send_final(stream, 500, &[], b"oops")),
            "writer-full" => {
                return (AttemptEnd::NeverRan, send_final(stream, 503, &[("x-never-ran", "1")], b""));
            }
            "writer-gone" => {
                return (AttemptEnd::NeverRan, send_final(stream, 410, &[("x-never-ran", "1")], b""));
            }
            "writer-503" => {
                return (AttemptEnd::MayHaveRun, send_final(stream, 503, &[("retry-after", "0.2")], b""));
            }
            "writer-breaks" => return (AttemptEnd::MayHaveRun, false),
            "writer-silent" => return (AttemptEnd::MayHaveRun, wait_for_close(stream)),
            "spoilt-noise" => return send_malformed(stream, b"\x00\x16\x03noise that is no answer\r\n\r\n"),
            "spoilt-head" => return send_malformed(stream, b"HTTP/1.1 200 OK\r\nbad header line\r\n\r\n"),
            "spoilt-endless-head" => return send_endless_head(stream),
            "spoilt-first-chunk" => {
                return send_malformed(
                    stream,
                    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\ndata: {}\n\n\r\n",
                );
            }
            _ => {}
        }
        self.traffic.release_state(trace);
        if let Some(ending) = case.strip_prefix("ending-").and_then(StreamEnding::from_name) {
            return self.stream_with_ending(stream, connection_id, trace, ending);
        }
        let mut out = Vec::new();
        if case == "more-interim" {
            out.extend_from_slice(
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n",
            );
        }
        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
        for n in 0..ANSWER_EVENTS {
            http::write_chunk(event_text(n).as_bytes(), &mut out);
            if stream.write_all(&out).is_err() {
                return (AttemptEnd::MayHaveRun, false);
            }
            out.clear();
            std::thread::sleep(EVENT_INTERVAL);
            if n == ANSWER_EVENTS / 2 {
                match case {
                    "late-breaks" => return (AttemptEnd::MayHaveRun, false),
                    "late-size" => return send_malformed(stream, b"xyz\r\ndata: {\"noise\":1}\n\n\r\n"),
                    "late-misfit" => {
                        return send_malformed(stream, b"5\r\ndata: {\"noise\":1}\n\n\r\n0\r\n\r\n");
                    }
                    "late-huge" => return send_huge_chunk(stream),
                    _ => {}
                }
            }
        }
        if case == "more-report" {
            http::write_chunk(b": Endpoint-Load-Metrics: TEXT util=what\n\n", &mut out);
        }
        http::write_chunk(FINAL_EVENTS.as_bytes(), &mut out);
        out.extend_from_slice(http::LAST_CHUNK);
        if case == "more-answer" {
            http::write_response(200, &[], b"{\"of\":\"nobody\"}", true, &mut out);
        }
        self.traffic.end_request(trace, connection_id);
        let sent = stream.write_all(&out).is_ok();
        if case == "more-later" {
            // A separate thread sends it, because the next request on this connection may arrive earlier.
            let connection = stream.try_clone();
            let (handler, first_answer_at) = (self.clone(), Instant::now());
            std::thread::spawn(move || {
                std::thread::sleep(SECOND_ANSWER_DELAY);
                let mut out = Vec::new();
                http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
                http::write_chunk(b"data: {\"of\":\"nobody\"}\n\ndata: [DONE]\n\n", &mut out);
                out.extend_from_slice(http::LAST_CHUNK);
                let written = connection.and_then(|mut connection| connection.write_all(&out));
                handler.traffic.record(
                    &handler.name,
                    handler.role,
                    EngineEvent::SecondAnswer { after: first_answer_at.elapsed() },
                );
                written
            });
        }
        (if sent { AttemptEnd::Served } else { AttemptEnd::MayHaveRun }, sent)
    }

    /// Streams an answer that tells its request's id, and ends it in this way.
    fn stream_with_ending(
        &self,
        stream: &mut TcpStream,
        connection_id: u64,
        trace: &str,
        ending: StreamEnding,
    ) -> (AttemptEnd, bool) {
        let mut out = Vec::new();
        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
        for event in answer_events(trace).split_inclusive("\n\n") {
            ending.write_events(event, &mut out);
            if stream.write_all(&out).is_err() {
                return (AttemptEnd::MayHaveRun, false);
            }
            out.clear();
            std::thread::sleep(EVENT_INTERVAL);
        }
        ending.write_end(LOAD_REPORT, &mut out);
        self.traffic.end_request(trace, connection_id);
        let is_finished = stream.write_all(&out).is_ok() && ending.is_finished();
        (if is_finished { AttemptEnd::Served } else { AttemptEnd::MayHaveRun }, is_finished)
    }
}

/// Returns the events of the answer to a request whose id names a [`StreamEnding`]. Lines end with LF.
pub fn answer_events(trace: &str) -> String {
    let event =
        |n| format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{trace} t{n}\"}}}}]}}\n\n");
    (0..ANSWER_EVENTS).map(event).collect::<String>() + FINAL_EVENTS
}

/// Returns the n-th content event of an answer.
fn event_text(n: usize) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{n}\"}}}}]}}\n\n")
}

/// The usage event and the end marker of an answer.
const FINAL_EVENTS: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"prompt_tokens_details\":\
                           {\"cached_tokens\":96}}}\n\ndata: [DONE]\n\n";

/// Returns all events of a complete answer, as a client must receive them.
pub fn whole_answer() -> String {
    (0..ANSWER_EVENTS).map(event_text).collect::<String>() + FINAL_EVENTS
}

/// Sends bytes that are not valid HTTP and leaves the connection open until the peer closes it.
fn send_malformed(stream: &mut TcpStream, bytes: &[u8]) -> (AttemptEnd, bool) {
    let _ = stream.write_all(bytes);
    (AttemptEnd::MayHaveRun, wait_for_close(stream))
}

/// Sends a response head that does not end.
fn send_endless_head(stream: &mut TcpStream) -> (AttemptEnd, bool) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n");
    for n in 0..ENDLESS_BYTES / 32 {
        if stream.write_all(format!("x-filler-{n}: aaaaaaaaaaaaaaa\r\n").as_bytes()).is_err() {
            break;
        }
    }
    (AttemptEnd::MayHaveRun, false)
}

/// Sends the start of a chunk that claims a size of 3 GiB.
fn send_huge_chunk(stream: &mut TcpStream) -> (AttemptEnd, bool) {
    let _ = stream.write_all(b"c0000000\r\n");
    let piece = [b'x'; 4096];
    for _ in 0..ENDLESS_BYTES / piece.len() {
        if stream.write_all(&piece).is_err() {
            break;
        }
    }
    (AttemptEnd::MayHaveRun, false)
}

/// Waits until the peer closes or [`SILENT_TIMEOUT`] passes. Always returns `false`: the connection is done.
fn wait_for_close(stream: &mut TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(SILENT_TIMEOUT));
    let mut buffer = [0; 64];
    while matches!(stream.read(&mut buffer), Ok(n) if n > 0) {}
    false
}

/// Receives the next complete request. `received` holds bytes received but not parsed yet.
fn receive_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<(Request, Vec<u8>)> {
    let limits = Limits { head_bytes: 64 << 10, body_bytes: 1 << 20 };
    let mut receive_more = |received: &mut Vec<u8>| {
        let mut buffer = [0; 8 << 10];
        let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        received.extend_from_slice(&buffer[..n]);
        Some(())
    };
    let (head, head_len) = loop {
        match http::parse_request(received, limits) {
            Ok(Some(found)) => break found,
            Ok(None) => receive_more(received)?,
            Err(_) => return None,
        }
    };
    received.drain(..head_len);
    let (mut body, mut out) = (http::BodyDecoder::new(head.framing), Vec::new());
    while !body.is_done() {
        if received.is_empty() {
            receive_more(received)?;
        }
        let n = body.push(received, &mut out).ok()?;
        received.drain(..n);
    }
    Some((head, out))
}
