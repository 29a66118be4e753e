//! One engine of the platform. What it does with a request is told by the request's id, up to its last dash.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use elderstage_protocol::http::{self, Limits, Request};

use super::{How, Pass, Traffic};

/// Events of an answer, and the pause between two.
const EVENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(5);
/// A second answer that comes late comes so long after the first.
const LATER: Duration = Duration::from_millis(4);
/// A connection that brings nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(15);
/// Time after which an answer that never comes is given up here, too.
const SILENT: Duration = Duration::from_secs(8);
/// Of an endless chunk so much is sent.
const ENDLESS: usize = 8 << 20;

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Reader,
    Writer,
}

/// A listening engine.
pub struct Engine {
    pub name: String,
    pub role: Role,
    pub addr: SocketAddr,
    stop: Arc<AtomicBool>,
}

#[derive(Clone)]
struct Doing {
    name: String,
    role: Role,
    traffic: Traffic,
    stop: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(name: &str, role: Role, traffic: &Traffic) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let doing = Doing { name: name.to_owned(), role, traffic: traffic.clone(), stop: stop.clone() };
        std::thread::spawn(move || {
            static CONNECTIONS: AtomicU64 = AtomicU64::new(0);
            for stream in listener.incoming() {
                if doing.stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (doing, number) = (doing.clone(), CONNECTIONS.fetch_add(1, Ordering::SeqCst));
                std::thread::spawn(move || doing.serve(stream, number));
            }
        });
        Ok(Engine { name: name.to_owned(), role, addr, stop })
    }

    /// It dies: its port refuses, and its connections end at their next request.
    pub fn kill(&self) {
        self.stop.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes. An error means that it has gone already.
        let _ = TcpStream::connect(self.addr);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Doing {
    fn serve(&self, mut stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE));
        let mut held = Vec::new();
        while let Some((head, body)) = request(&mut stream, &mut held) {
            if self.stop.load(Ordering::SeqCst) || !self.answer(&mut stream, number, &head, &body) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn write(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut out = Vec::new();
        http::write_response(status, headers, body, true, &mut out);
        stream.write_all(&out).is_ok()
    }

    /// `false`: the connection is closed.
    fn answer(&self, stream: &mut TcpStream, number: u64, head: &Request, body: &[u8]) -> bool {
        if let Some(trace) = head.target.strip_prefix("/kv/leases/").filter(|_| head.method == "DELETE") {
            self.traffic.let_go(trace);
            self.traffic.note(&self.name, self.role, Pass::Released { trace: trace.to_owned() });
            return Doing::write(stream, 204, &[], b"");
        }
        if head.method == "GET" && head.target == "/-/load" {
            self.traffic.note(&self.name, self.role, Pass::Probed);
            return Doing::write(stream, 200, &[], b"TEXT lat_ms=10.5, x0=0.1, x1=0");
        }
        let trace = head.headers.get("x-trace-id").unwrap_or_default().to_owned();
        if head.target != "/v1/chat/completions" || trace.is_empty() || !body.starts_with(b"{") {
            let what = format!("{} {} with {} bytes, id {trace:?}", head.method, head.target, body.len());
            self.traffic.note(&self.name, self.role, Pass::Unknown { what });
            return Doing::write(stream, 400, &[], b"");
        }
        let expires_ms = head.headers.get("x-expires-in-ms").and_then(|text| text.parse().ok());
        let second = self.traffic.begin(&trace, number, stream);
        let begun =
            Pass::Begun { trace: trace.clone(), connection: number, body: body.len(), expires_ms, second };
        self.traffic.note(&self.name, self.role, begun);
        let nth = self.traffic.count(&trace, self.role);
        let (how, good) = self.act(stream, number, &trace, nth);
        self.traffic.end(&trace, number);
        self.traffic.note(&self.name, self.role, Pass::Ended { trace, connection: number, how });
        good
    }

    /// What the id asks for. A case that ends in `-first` is met by the first attempt only.
    fn act(&self, stream: &mut TcpStream, number: u64, trace: &str, nth: u32) -> (How, bool) {
        // It is over before its last byte goes: the peer may send the next before this thread goes on.
        let last = |stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]| {
            self.traffic.end(trace, number);
            Doing::write(stream, status, headers, body)
        };
        let case = trace.rsplit_once('-').map_or(trace, |(case, _)| case);
        let case = match case.strip_suffix("-first") {
            Some(case) if nth == 1 => case,
            Some(_) => "plain",
            None => case,
        };
        if self.role == Role::Reader {
            return match case {
                "reader-500" => (How::MayHaveRun, last(stream, 500, &[], b"")),
                "reader-full" => (How::NeverRan, last(stream, 503, &[("x-never-ran", "1")], b"")),
                // The read ends well as its connection breaks: its state is held all the same.
                "reader-breaks" => {
                    self.traffic.hold(&self.name, trace);
                    (How::MayHaveRun, false)
                }
                "reader-silent" => {
                    self.traffic.hold(&self.name, trace);
                    (How::MayHaveRun, wait_for_close(stream))
                }
                _ => {
                    self.traffic.hold(&self.name, trace);
                    (How::Read, last(stream, 202, &[], b"{\"cached_tokens\":96}"))
                }
            };
        }
        match case {
            "writer-500" => return (How::MayHaveRun, last(stream, 500, &[], b"oops")),
            "writer-full" => return (How::NeverRan, last(stream, 503, &[("x-never-ran", "1")], b"")),
            "writer-gone" => return (How::NeverRan, last(stream, 410, &[("x-never-ran", "1")], b"")),
            "writer-503" => {
                return (How::MayHaveRun, last(stream, 503, &[("retry-after", "0.2")], b""));
            }
            "writer-breaks" => return (How::MayHaveRun, false),
            "writer-silent" => return (How::MayHaveRun, wait_for_close(stream)),
            "spoilt-noise" => return spoil(stream, b"\x00\x16\x03noise that is no answer\r\n\r\n"),
            "spoilt-head" => return spoil(stream, b"HTTP/1.1 200 OK\r\nbad header line\r\n\r\n"),
            "spoilt-endless-head" => return endless_head(stream),
            "spoilt-first-chunk" => {
                return spoil(
                    stream,
                    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\ndata: {}\n\n\r\n",
                );
            }
            _ => {}
        }
        self.traffic.let_go(trace);
        let mut out = Vec::new();
        if case == "more-interim" {
            out.extend_from_slice(
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n",
            );
        }
        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
        for n in 0..EVENTS {
            http::write_chunk(event(n).as_bytes(), &mut out);
            if stream.write_all(&out).is_err() {
                return (How::MayHaveRun, false);
            }
            out.clear();
            std::thread::sleep(PAUSE);
            if n == EVENTS / 2 {
                match case {
                    "late-breaks" => return (How::MayHaveRun, false),
                    "late-size" => return spoil(stream, b"xyz\r\ndata: {\"noise\":1}\n\n\r\n"),
                    "late-misfit" => return spoil(stream, b"5\r\ndata: {\"noise\":1}\n\n\r\n0\r\n\r\n"),
                    "late-huge" => return huge_chunk(stream),
                    _ => {}
                }
            }
        }
        if case == "more-report" {
            http::write_chunk(b": Endpoint-Load-Metrics: TEXT util=what\n\n", &mut out);
        }
        http::write_chunk(LAST_EVENTS.as_bytes(), &mut out);
        out.extend_from_slice(http::LAST_CHUNK);
        if case == "more-answer" {
            http::write_response(200, &[], b"{\"of\":\"nobody\"}", true, &mut out);
        }
        self.traffic.end(trace, number);
        let sent = stream.write_all(&out).is_ok();
        if case == "more-later" {
            // On a thread of its own: the next request on this connection may be here before it.
            let copy = stream.try_clone();
            let (doing, first) = (self.clone(), Instant::now());
            std::thread::spawn(move || {
                std::thread::sleep(LATER);
                let mut out = Vec::new();
                http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
                http::write_chunk(b"data: {\"of\":\"nobody\"}\n\ndata: [DONE]\n\n", &mut out);
                out.extend_from_slice(http::LAST_CHUNK);
                let written = copy.and_then(|mut copy| copy.write_all(&out));
                doing.traffic.note(&doing.name, doing.role, Pass::SecondAnswer { after: first.elapsed() });
                written
            });
        }
        (if sent { How::Served } else { How::MayHaveRun }, sent)
    }
}

fn event(n: usize) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{n}\"}}}}]}}\n\n")
}

const LAST_EVENTS: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"prompt_tokens_details\":\
                           {\"cached_tokens\":96}}}\n\ndata: [DONE]\n\n";

/// All events of a whole answer, as a client must get them.
pub fn whole_answer() -> String {
    (0..EVENTS).map(event).collect::<String>() + LAST_EVENTS
}

/// Sends what can't be read and leaves the connection open.
fn spoil(stream: &mut TcpStream, bytes: &[u8]) -> (How, bool) {
    let _ = stream.write_all(bytes);
    (How::MayHaveRun, wait_for_close(stream))
}

fn endless_head(stream: &mut TcpStream) -> (How, bool) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n");
    for n in 0..ENDLESS / 32 {
        if stream.write_all(format!("x-filler-{n}: aaaaaaaaaaaaaaa\r\n").as_bytes()).is_err() {
            break;
        }
    }
    (How::MayHaveRun, false)
}

fn huge_chunk(stream: &mut TcpStream) -> (How, bool) {
    let _ = stream.write_all(b"c0000000\r\n");
    let piece = [b'x'; 4096];
    for _ in 0..ENDLESS / piece.len() {
        if stream.write_all(&piece).is_err() {
            break;
        }
    }
    (How::MayHaveRun, false)
}

/// Waits until the other side closes.
fn wait_for_close(stream: &mut TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(SILENT));
    let mut some = [0; 64];
    while matches!(stream.read(&mut some), Ok(n) if n > 0) {}
    false
}

/// The next request, whole.
fn request(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<(Request, Vec<u8>)> {
    let limits = Limits { head: 64 << 10, body: 1 << 20 };
    let mut more = |held: &mut Vec<u8>| {
        let mut some = [0; 8 << 10];
        let n = stream.read(&mut some).ok().filter(|n| *n > 0)?;
        held.extend_from_slice(&some[..n]);
        Some(())
    };
    let (head, n) = loop {
        match http::parse_request(held, limits) {
            Ok(Some(found)) => break found,
            Ok(None) => more(held)?,
            Err(_) => return None,
        }
    };
    held.drain(..n);
    let (mut body, mut out) = (http::Body::new(head.framing), Vec::new());
    while !body.done() {
        if held.is_empty() {
            more(held)?;
        }
        let n = body.push(held, &mut out).ok()?;
        held.drain(..n);
    }
    Some((head, out))
}
