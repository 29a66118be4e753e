//! The answering side: one coroutine for each client's connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use elderstage::ReqId;
use elderstage_net::{Conn, NetError};
use elderstage_platform::ask::{self, Ask, Wanted};
use elderstage_platform::forward;
use elderstage_platform::hub::{Input, Last};
use elderstage_protocol::http::{self, Framing, HttpError, Limits, Request};

use crate::Shared;
use crate::connections::{ConnectionPermit, GRACE};
use crate::event_loop::Event;
use crate::hold_at;
use crate::memory::MemoryPermit;
use crate::response::{Parts, ResponseChannel, ResponseEvent};

/// A request is read whole within this time of its connection, or for later ones of its first byte: who sends what
/// can't be read is owed an answer within three seconds of connecting.
const READ: Duration = Duration::from_millis(2_100);
/// A connection without a request is kept for so long while there is room.
const IDLE: Duration = Duration::from_secs(6);
/// A client that takes nothing for so long has gone.
const WRITE: Duration = Duration::from_secs(5);
/// What a client still sends after our end is read and dropped for so long and so much: a close over unread bytes would
/// destroy an answer on its way.
const LINGER: Duration = Duration::from_millis(400);
const LINGER_BYTES: usize = 4 << 20;
/// While the node ends, a connection that was accepted last has so long to bring the request that its client made it for.
const ARRIVES: Duration = Duration::from_millis(300);
/// Bytes read ahead of an answer without asking for memory; beyond, memory for a whole request is reserved.
const AHEAD: usize = 16 << 10;
/// Most bytes dropped in one look at a client that floods; the rest waits for others' turn.
const FLOOD: usize = 256 << 10;
/// Pause before the next look at such a client.
const FLOOD_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two attempts to reserve memory for a body.
const ROOM: Duration = Duration::from_millis(5);
/// Most bytes of a head, and of a body.
const LIMITS: Limits = Limits { head: 16 << 10, body: ask::MOST_BODY };
/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The client has ended or reset it.
    Client,
    /// No request came in time.
    Idle,
    /// Another client needs its place, or the node ends.
    Evicted,
    /// What came can't be read, or not in time: it was told so.
    BadRequest,
    /// The client asked for it, or the answer has no end that could be told otherwise.
    Answered,
    /// The stream broke: the client is told by the end of its connection.
    StreamBroke,
    /// The node ends.
    Shutdown,
}

/// Serves a connection to its end, and closes it so that nothing that was written is destroyed by the close.
pub fn serve(shared: &Arc<Shared>, mut conn: Conn, permit: &ConnectionPermit) {
    let reason = requests(shared, &mut conn, permit);
    tracing::debug!(target: "closed", ?reason, unread = conn.pending().len());
    // Others wait for the permit of an evicted one: it stays only for as long as its last answer may be on its way.
    // It may have been evicted in the same instant in which its last request came.
    let evicted = permit.connection.is_evicted() && !shared.closing();
    let answered = conn.since_last_write().map_or(Duration::ZERO, |since| LINGER.saturating_sub(since));
    conn.finish(if evicted { answered } else { LINGER }, LINGER_BYTES);
}

fn requests(shared: &Arc<Shared>, conn: &mut Conn, permit: &ConnectionPermit) -> Close {
    conn.limits = LIMITS;
    conn.set_write_timeout(Some(WRITE));
    let accepted = Instant::now();
    let mut first = true;
    loop {
        if let Err(reason) = begins(shared, conn, permit, first, accepted) {
            return reason;
        }
        permit.busy();
        let until = if first { accepted + READ } else { Instant::now() + READ };
        first = false;
        conn.set_deadline(Some(until));
        let head = match conn.request() {
            Ok(head) => head,
            Err(NetError::Http(error)) => return refuse(conn, error.status(), &error.to_string()),
            Err(NetError::TimedOut) => return refuse(conn, 408, "no whole request in time"),
            Err(_) => return Close::Client,
        };
        match ask::wanted(&head) {
            Ok(Wanted::Ready) => {
                let status = if shared.ready.load(Ordering::SeqCst) { 200 } else { 503 };
                let read = body(shared, conn, &head, until).is_ok();
                let keep = head.keep_alive && stays(shared, conn);
                if !(read && reply(conn, status, None, "", keep) && keep) {
                    return Close::Answered;
                }
            }
            Ok(Wanted::Chat) => {
                if let Err(reason) = chat(shared, conn, head, until) {
                    return reason;
                }
            }
            Err(error) => {
                // What is wrong with a head alone leaves the connection good, if no body follows.
                let keep = head.framing == Framing::Length(0) && head.keep_alive && stays(shared, conn);
                if !keep {
                    return refuse(conn, error.status(), &error.to_string());
                }
                if !reply(conn, error.status(), None, &error.to_string(), true) {
                    return Close::Client;
                }
            }
        }
        conn.shrink();
        permit.idle();
        if shared.closing() && !conn.has_pending() {
            return Close::Shutdown;
        }
    }
}

/// Whether a connection is kept after an answer, as far as the node is concerned. While the node ends, one is kept on
/// which the next request has begun to come: what was read is answered, and the rest sees a close between requests.
fn stays(shared: &Shared, conn: &Conn) -> bool {
    !shared.closing() || conn.has_pending()
}

/// Waits for the first byte of a request. An error: the connection is to be closed.
fn begins(
    shared: &Shared,
    conn: &mut Conn,
    permit: &ConnectionPermit,
    first: bool,
    accepted: Instant,
) -> Result<(), Close> {
    let idle = Instant::now();
    loop {
        if conn.has_pending() {
            return Ok(());
        }
        match conn.fill_now() {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(_) => return Err(Close::Client),
        }
        let now = Instant::now();
        let mut until = if first { accepted + GRACE } else { idle + IDLE };
        if permit.connection.is_evicted() {
            until = if first && shared.closing() { until.min(accepted + ARRIVES) } else { now };
        }
        if now >= until {
            return Err(if permit.connection.is_evicted() { Close::Evicted } else { Close::Idle });
        }
        conn.pause(Some(until));
    }
}

/// Answers what can't be taken; its connection is to be closed.
fn refuse(conn: &mut Conn, status: u16, why: &str) -> Close {
    tracing::debug!(target: "refused", status, why);
    // Whether the client is still there to read it is not ours to know.
    let _ = reply(conn, status, None, why, false);
    Close::BadRequest
}

/// A short answer. `false`: the client has gone.
fn reply(conn: &mut Conn, status: u16, retry_after: Option<&str>, why: &str, keep: bool) -> bool {
    let mut out = Vec::with_capacity(256);
    let body =
        if why.is_empty() { String::new() } else { format!("{{\"error\":{{\"message\":{}}}}}", json(why)) };
    let mut headers = vec![("content-type", "application/json")];
    if let Some(seconds) = retry_after {
        headers.push(("retry-after", seconds));
    }
    http::write_response(status, &headers, body.as_bytes(), keep, &mut out);
    conn.write(&out).is_ok()
}

fn json(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// A body that was read whole.
struct Whole {
    bytes: Vec<u8>,
    memory: MemoryPermit,
    /// When its last byte may have come at the latest: what waited for memory had come before.
    came: Instant,
}

/// Reads a body within its bound and the memory that is left for bodies.
fn body(shared: &Shared, conn: &mut Conn, head: &Request, until: Instant) -> Result<Whole, (u16, String)> {
    let asked = Instant::now();
    let most = match head.framing {
        Framing::Length(n) => usize::try_from(n).unwrap_or(usize::MAX),
        _ => LIMITS.body,
    };
    let memory = loop {
        if let Some(memory) = shared.bodies.reserve(most.min(LIMITS.body)) {
            break memory;
        }
        if Instant::now() + ROOM >= until || conn.is_closed() {
            return Err((503, "no memory left for a body".into()));
        }
        conn.pause(Some(Instant::now() + ROOM));
    };
    let waited = asked.elapsed();
    let read = conn.take_body(head).and_then(|()| conn.body(head.framing));
    match read {
        Ok(bytes) => Ok(Whole { bytes, memory, came: Instant::now() - waited }),
        Err(NetError::Http(error)) => {
            let status = if matches!(error, HttpError::BodyTooLarge(_)) { 413 } else { error.status() };
            Err((status, error.to_string()))
        }
        Err(NetError::TimedOut) => Err((408, "no whole body in time".into())),
        // Nobody is left to read it.
        Err(error) => Err((400, error.to_string())),
    }
}

/// One request and its answer. An error: the connection is to be closed.
fn chat(shared: &Arc<Shared>, conn: &mut Conn, head: Request, until: Instant) -> Result<(), Close> {
    let Whole { bytes: body, memory, came } = match body(shared, conn, &head, until) {
        Ok(read) => read,
        Err((status, why)) => return Err(refuse(conn, status, &why)),
    };
    let keep = head.keep_alive;
    let longest_wait = shared.longest_wait.load(Ordering::SeqCst);
    let read = Ask::read(&head, body.len(), &shared.names, longest_wait);
    let ask = match read {
        Ok(ask) if ask::is_object(&body) => ask,
        other => {
            let error = other.err().unwrap_or(ask::Refusal::Body);
            let keep = keep && stays(shared, conn);
            let kept = reply(conn, error.status(), None, &error.to_string(), keep) && keep;
            return if kept { Ok(()) } else { Err(Close::BadRequest) };
        }
    };
    let fields = forward::fields(&head);
    let Request { method, target, .. } = head;
    let parts = Parts { trace: ask.trace.clone(), method, target, fields, body, _memory: memory };
    let channel = ResponseChannel::new(parts, conn.waker());
    let id = ReqId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    shared.submit(Event::Open { id, ask, channel: channel.clone(), came });
    let answered = answer(shared, conn, &channel, id, keep);
    channel.close();
    answered
}

/// Whether a client that waits for its answer is still there. Its end stands behind whatever it has sent meanwhile, so
/// that is read ahead: for the next request where there is memory for one, else to be dropped, and then its connection
/// ends with this answer.
#[derive(Default)]
struct Ahead {
    memory: Option<MemoryPermit>,
    dropped: bool,
    /// There is more to be read than one look takes.
    more: bool,
}

impl Ahead {
    /// `true`: the client has gone.
    fn look(&mut self, shared: &Shared, conn: &mut Conn) -> bool {
        let mut flood = 0;
        self.more = false;
        loop {
            let held = conn.pending().len();
            if held > AHEAD && self.memory.is_none() && !self.dropped {
                self.memory = shared.bodies.reserve(LIMITS.body);
                self.dropped = self.memory.is_none();
            }
            if held > LIMITS.head + LIMITS.body || self.dropped {
                self.dropped = true;
                flood += held;
                conn.used(usize::MAX);
            }
            if flood > FLOOD {
                self.more = true;
                return false;
            }
            match conn.fill_now() {
                Ok(true) => {}
                Ok(false) => return false,
                Err(_) => return true,
            }
        }
    }
}

fn answer(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    channel: &ResponseChannel,
    id: ReqId,
    keep: bool,
) -> Result<(), Close> {
    let stays_open = |kept: bool| if kept { Ok(()) } else { Err(Close::Answered) };
    let (mut begun, mut out, mut ahead) = (false, Vec::new(), Ahead::default());
    loop {
        let mut whole = false;
        out.clear();
        while let Some(event) = channel.take() {
            match event {
                ResponseEvent::Events(events) => {
                    if !begun {
                        begun = true;
                        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
                    }
                    http::write_chunk(&events, &mut out);
                }
                ResponseEvent::Whole => {
                    out.extend_from_slice(http::LAST_CHUNK);
                    whole = true;
                }
                ResponseEvent::Cut => {
                    // Its connection ends without the last chunk.
                    let _ = conn.write(&out);
                    return Err(Close::StreamBroke);
                }
                ResponseEvent::Last(last) => {
                    let keep = keep && stays(shared, conn) && !ahead.dropped;
                    let kept = match last {
                        Last::Refused { retry_after: 0 } => reply(conn, 503, None, "turned away", keep),
                        Last::Refused { retry_after } => {
                            let seconds = format!("{:.3}", retry_after as f64 / SECOND);
                            reply(conn, 503, Some(&seconds), "turned away", keep)
                        }
                        Last::Failed => reply(conn, 502, None, "failed; it may have run", keep),
                        Last::Open => reply(conn, 409, None, &ask::Refusal::Open.to_string(), keep),
                    };
                    return stays_open(kept && keep);
                }
            }
        }
        if (!out.is_empty() && conn.write(&out).is_err()) || (!whole && ahead.look(shared, conn)) {
            // Closed first: nothing is begun for it from here on, however long the event waits for the event loop.
            channel.close();
            shared.submit(Event::Hub(Input::Gone { id }));
            hold_at!("client-gone-{}", channel.parts.trace);
            return Err(Close::Client);
        }
        if whole {
            return stays_open(keep && stays(shared, conn) && !ahead.dropped);
        }
        conn.pause(ahead.more.then(|| Instant::now() + FLOOD_PAUSE));
    }
}
