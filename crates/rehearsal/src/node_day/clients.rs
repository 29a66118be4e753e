//! The clients of a node's day. All requests are planned from the day's seed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use elderstage_protocol::http::{self, BodyDecoder, Limits};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::script::NodeLoad;
use crate::clients::lock;

/// A client waits this much longer than it told the node, and for a stream that has begun.
const ANSWER_GRACE: Duration = Duration::from_secs(6);
/// How long a client tries to connect to a node that is being started again.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// Body of every request.
const BODY: &str = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may.
    Plain,
    /// It must not.
    Once,
}

/// A request as planned from the day's seed.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedNodeRequest {
    /// Number of the request within the day, from 0.
    pub number: u64,
    /// When it is sent, since the start of the day.
    pub starts_at: Duration,
    /// What the engine does with it.
    pub case: String,
    /// Whether it may run twice.
    pub effect: Effect,
    /// Whether it asks for the rest of a broken stream.
    pub is_resumed: bool,
}

/// What a client sent and received.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    /// Id of the request.
    pub trace: String,
    /// What the engine does with it.
    pub case: String,
    /// Whether it may run twice.
    pub effect: Effect,
    /// When its last byte was sent.
    pub sent_at: Instant,
    /// When its answer, or its connection, had ended.
    pub ended_at: Instant,
    /// The status; 0 if the connection ended without a response.
    pub status: u16,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body came to its end.
    pub is_complete: bool,
    /// Whether the client stopped waiting.
    pub is_overdue: bool,
}

/// Plans the requests of a day: the same load and seed always give the same plan.
pub fn plan_requests(load: &NodeLoad, seed: u64) -> Vec<PlannedNodeRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let total_weight: f64 = load.cases.iter().map(|(_, weight)| weight).sum();
    let mut starts_at = 0.0;
    let mut planned = Vec::new();
    for number in 0..load.requests {
        starts_at += -rng.random_range(f64::EPSILON..1.0).ln() / load.requests_per_s;
        let mut remaining = rng.random_range(0.0..total_weight.max(f64::EPSILON));
        let case = load.cases.iter().find(|(_, weight)| {
            remaining -= weight;
            remaining < 0.0
        });
        let Some((case, _)) = case.or(load.cases.last()) else { break };
        let effect = if rng.random_bool(load.once_share) { Effect::Once } else { Effect::Plain };
        planned.push(PlannedNodeRequest {
            number,
            starts_at: Duration::from_secs_f64(starts_at),
            case: case.clone(),
            effect,
            is_resumed: rng.random_bool(load.resumed_share),
        });
    }
    planned
}

/// The clients of a node, and what they received.
pub struct NodeClients {
    addr: SocketAddr,
    wait: Duration,
    records: Mutex<Vec<ClientRecord>>,
}

impl NodeClients {
    /// Clients that ask the node at this address.
    pub fn new(addr: SocketAddr, wait: Duration) -> NodeClients {
        NodeClients { addr, wait, records: Mutex::default() }
    }

    /// What was received so far.
    pub fn records(&self) -> Vec<ClientRecord> {
        lock(&self.records).clone()
    }

    /// Sends a request and receives its answer. A client whose stream breaks asks for the rest, once.
    pub fn run(&self, planned: &PlannedNodeRequest) {
        let trace = format!("{}-{}", planned.case, planned.number);
        let record = self.ask(planned, &trace, planned.is_resumed);
        let has_broken = record.as_ref().is_some_and(|record| record.status == 200 && !record.is_complete);
        lock(&self.records).extend(record);
        if has_broken && planned.effect == Effect::Plain {
            let rest = self.ask(planned, &format!("{trace}r"), true);
            lock(&self.records).extend(rest);
        }
    }

    /// Sends one request on a new connection. `None`: the node could not be reached, or took nothing.
    fn ask(&self, planned: &PlannedNodeRequest, trace: &str, is_resumed: bool) -> Option<ClientRecord> {
        let mut stream = self.connect()?;
        let class = if planned.effect == Effect::Once { "once" } else { "plain" };
        let resumed_line = if is_resumed { "X-Second-Try: again\r\n" } else { "" };
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: node.local\r\nX-Trace-Id: {trace}\r\nX-Qos: {class}\r\n\
             X-Object: talk-{trace}\r\nX-Expires-In-Ms: {}\r\n{resumed_line}\
             X-Props: prompt_len=400,prefix_len=0,max_out=64\r\nContent-Length: {}\r\n\r\n{BODY}",
            self.wait.as_millis(),
            BODY.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let sent_at = Instant::now();
        let deadline = sent_at + self.wait + ANSWER_GRACE;
        let answer = receive_answer(&mut stream, deadline);
        Some(ClientRecord {
            trace: trace.to_owned(),
            case: planned.case.clone(),
            effect: planned.effect,
            sent_at,
            ended_at: Instant::now(),
            status: answer.status,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
            is_complete: answer.is_complete,
            is_overdue: answer.is_overdue,
        })
    }

    fn connect(&self) -> Option<TcpStream> {
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        loop {
            match TcpStream::connect(self.addr) {
                Ok(stream) => {
                    stream.set_nodelay(true).ok()?;
                    return Some(stream);
                }
                Err(_) if Instant::now() < deadline => std::thread::sleep(CONNECT_INTERVAL),
                Err(_) => return None,
            }
        }
    }
}

/// An answer as far as it came.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    body: Vec<u8>,
    is_complete: bool,
    is_overdue: bool,
}

/// Receives an answer until its body or its connection ends, or until `deadline`.
fn receive_answer(stream: &mut TcpStream, deadline: Instant) -> Answer {
    let (mut answer, mut received, mut decoder) = (Answer::default(), Vec::new(), None);
    loop {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            answer.is_overdue = true;
            return answer;
        }
        let mut buffer = [0; 16 << 10];
        let read = stream.set_read_timeout(Some(time_left)).and_then(|()| stream.read(&mut buffer));
        match read {
            Ok(n) if n > 0 => received.extend_from_slice(&buffer[..n]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Ok(_) | Err(_) => return answer,
        }
        if decoder.is_none() {
            match http::parse_response(&received, Limits::default()) {
                Ok(Some((head, head_bytes))) => {
                    answer.status = head.status;
                    decoder = Some(BodyDecoder::new(head.framing));
                    received.drain(..head_bytes);
                }
                Ok(None) => continue,
                Err(_) => return answer,
            }
        }
        let Some(decoder) = &mut decoder else { continue };
        let Ok(taken) = decoder.push(&received, &mut answer.body) else { return answer };
        received.drain(..taken);
        if decoder.is_done() {
            answer.is_complete = true;
            return answer;
        }
    }
}
