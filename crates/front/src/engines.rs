//! One attempt at an engine: connect or reuse, send, read the answer, and say what was seen.

use std::time::{Duration, Instant};

use elderstage::ServerId;
use elderstage_core::Stage;
use elderstage_core::addresses::{Ask, Lost, Rest};
use elderstage_core::evidence::Evidence;
use elderstage_net::{Conn, NetError, send};
use elderstage_protocol::engine::{self, Finish, ToolCall, Usage};
use elderstage_protocol::{http, orca, sse};
use serde_json::Value;

use crate::Shared;
use crate::links::{Got, Wanted};
use crate::slot::{Key, Slot};

/// What is to be sent, and where.
pub(crate) struct Attempt<'a> {
    pub server: &'a ServerId,
    pub stage: Stage,
    pub key: Key,
    pub rid: String,
    /// Names the request to engines that drop repeats.
    pub idempotency: Option<String>,
    pub timeout: Duration,
    /// It must not run twice.
    pub once: bool,
    pub body: Vec<u8>,
    pub slot: &'a Slot,
}

/// How it went.
#[derive(Debug)]
pub(crate) struct Ended {
    pub evidence: Evidence,
    pub usage: Option<Usage>,
    pub report: Option<orca::Report>,
    /// Parameters for the writer, from a reader.
    pub state: Option<Value>,
    pub calls: Vec<ToolCall>,
}

impl Ended {
    fn with(evidence: Evidence) -> Ended {
        Ended { evidence, usage: None, report: None, state: None, calls: Vec::new() }
    }
}

/// What a stream gives while it runs: `first` once, then each piece of text. `false` stops nothing: the stream is
/// read on until it ends or is cancelled.
pub(crate) trait Sink {
    fn first(&mut self);
    fn text(&mut self, text: &str);
}

/// Makes the attempt.
pub(crate) fn attempt(shared: &Shared, attempt: &Attempt<'_>, sink: &mut dyn Sink) -> Ended {
    let (key, slot) = (attempt.key, attempt.slot);
    if !slot.begin(key) {
        slot.end(key);
        return Ended::with(Evidence::Cancelled);
    }
    let mut ended = run(shared, attempt, sink);
    if slot.end(key) && !matches!(ended.evidence, Evidence::Read { .. } | Evidence::Turn { .. }) {
        ended.evidence = Evidence::Cancelled;
    }
    ended
}

fn run(shared: &Shared, attempt: &Attempt<'_>, sink: &mut dyn Sink) -> Ended {
    let end = Instant::now() + attempt.timeout;
    let mut headers = vec![
        ("content-type", "application/json"),
        ("x-request-id", attempt.rid.as_str()),
        ("via", shared.site.via.as_str()),
        orca::ASK,
    ];
    if let Some(key) = &attempt.idempotency {
        headers.push(("idempotency-key", key.as_str()));
    }
    let ask = Ask {
        once: attempt.once,
        proof: shared.site.proof(attempt.server),
        connect: shared.config.rules.connect,
        time: attempt.timeout.as_micros() as u64,
    };
    let wanted = Wanted {
        server: attempt.server,
        ask,
        path: engine::COMPLETIONS,
        headers: &headers,
        body: attempt.body.len(),
        slot: Some((attempt.slot, attempt.key)),
    };
    let (mut link, rest) = match shared.links.connect(&wanted) {
        Got::Link(link, rest) => (link, rest),
        Got::Lost(Lost::NotConnected) => return Ended::with(Evidence::NotConnected),
        Got::Lost(Lost::NotProven) => return Ended::with(Evidence::NotProven),
        Got::Lost(Lost::NoRoom) => return Ended::with(Evidence::NoRoom),
        Got::Answered(status) => return Ended::with(Evidence::Unsent { status }),
        Got::Cancelled => return Ended::with(Evidence::Cancelled),
    };
    if !attempt.slot.connected(attempt.key, link.conn.socket()) {
        return Ended::with(Evidence::Cancelled);
    }
    if Instant::now() >= end {
        return Ended::with(Evidence::NotWritten);
    }
    link.conn.set_deadline(Some(end));
    link.conn.set_write_timeout(Some(end.saturating_duration_since(Instant::now())));
    let to = link.to(engine::COMPLETIONS);
    let number = shared.links.sent(attempt.server, &link, !attempt.once);
    let sent = match rest {
        Rest::Body => link.conn.write(&attempt.body),
        Rest::Whole => send(&mut link.conn, "POST", &to, &headers, &attempt.body),
    };
    let head = match sent.and_then(|()| link.conn.response()) {
        Ok(head) => head,
        Err(error) => {
            let given_up = shared.links.silent(number, link.reused);
            return Ended::with(if given_up { Evidence::GivenUp } else { seen(&error) });
        }
    };
    shared.links.answered(number);
    let conn = &mut link.conn;
    let report = head.headers.get(orca::HEADER).and_then(orca::parse);
    let streams = head.headers.get("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    let mut ended = if head.status == 200 && streams && attempt.stage != Stage::Read {
        stream(shared, conn, &head, sink)
    } else {
        whole(conn, &head, attempt.stage)
    };
    ended.report = report;
    // A connection is used again only after an answer that has ended in good order.
    if head.keep_alive && !matches!(ended.evidence, Evidence::Garbled | Evidence::Broke | Evidence::TimedOut)
    {
        shared.links.free(*link);
    }
    ended
}

fn seen(error: &NetError) -> Evidence {
    match error {
        NetError::TimedOut => Evidence::TimedOut,
        NetError::Closed | NetError::Io(_) => Evidence::Broke,
        NetError::Http(_) => Evidence::Garbled,
    }
}

fn whole(conn: &mut Conn, head: &http::Response, stage: Stage) -> Ended {
    let body = match conn.body(head.framing) {
        Ok(body) => body,
        Err(error) => return Ended::with(seen(&error)),
    };
    if head.status != 200 {
        return Ended::with(Evidence::Status { status: head.status, code: engine::error_code(&body) });
    }
    match engine::read_answer(&body) {
        Some((usage, state)) if stage == Stage::Read => Ended {
            usage: Some(usage),
            state: Some(state),
            ..Ended::with(Evidence::Read { cached: usage.cached })
        },
        _ => Ended::with(Evidence::Garbled),
    }
}

/// What a stream has said so far.
#[derive(Default)]
struct Said {
    texts: engine::TextReader,
    calls: engine::Calls,
    begun: bool,
    done: bool,
    garbled: bool,
    finish: Option<Finish>,
    usage: Option<Usage>,
}

impl Said {
    /// Takes one event; its text goes to `text`.
    fn event(&mut self, data: &str, text: &mut String, most: usize) {
        if self.done || self.garbled || self.texts.read(data, text) {
            return;
        }
        if data == engine::DONE {
            self.done = true;
            return;
        }
        match engine::chunk(data) {
            Ok(chunk) if chunk.error.is_none() => {
                text.push_str(&chunk.text);
                for piece in chunk.calls {
                    self.garbled |= !self.calls.push(piece) || self.calls.bytes() > most;
                }
                self.finish = chunk.finish.or(self.finish);
                self.usage = chunk.usage.or(self.usage);
            }
            _ => self.garbled = true,
        }
    }
}

fn stream(shared: &Shared, conn: &mut Conn, head: &http::Response, sink: &mut dyn Sink) -> Ended {
    let (mut body, mut parser) = (http::Body::new(head.framing), sse::Parser::default());
    let (mut bytes, mut text) = (Vec::new(), String::new());
    let mut said = Said::default();
    let most = shared.config.front.body;
    loop {
        bytes.clear();
        match conn.body_piece(&mut body, &mut bytes) {
            // The stream has ended without its last event.
            Ok(false) => return Ended::with(Evidence::Broke),
            Ok(true) => {}
            Err(error) => return Ended::with(seen(&error)),
        }
        // What came in one read goes on in one piece.
        text.clear();
        let parsed = parser.each(&bytes, |event| said.event(event.data, &mut text, most));
        if !said.begun && (!text.is_empty() || said.calls.begun()) {
            said.begun = true;
            // From here on the client's patience for a first token no longer runs; a stream in which nothing
            // moves is broken.
            conn.set_deadline(None);
            conn.set_read_timeout(Some(Duration::from_micros(shared.config.front.stall)));
            sink.first();
        }
        if !text.is_empty() {
            sink.text(&text);
        }
        if parsed.is_err() || said.garbled {
            return Ended::with(Evidence::Garbled);
        }
        if said.done {
            // The end of the body follows; without it the connection is not used again.
            let rest = conn.body_piece(&mut body, &mut bytes);
            let calls = said.calls.take();
            let fits = match said.finish {
                None => false,
                Some(Finish::ToolCalls) => !calls.is_empty(),
                Some(_) => calls.is_empty(),
            };
            if !said.begun || !fits || !matches!(rest, Ok(false)) {
                return Ended::with(Evidence::Garbled);
            }
            let cached = said.usage.map_or(0, |usage| usage.cached);
            return Ended { usage: said.usage, calls, ..Ended::with(Evidence::Turn { cached }) };
        }
    }
}
