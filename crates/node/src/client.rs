//! The answering side: one coroutine for each client's connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use elderstage::ReqId;
use elderstage_net::{Conn, NetError};
use elderstage_platform::ask::{self, Ask, Wanted};
use elderstage_platform::hub::{Input, Last};
use elderstage_protocol::http::{self, Framing, HttpError, Limits, Request};

use crate::Shared;
use crate::guests::{GRACE, Place};
use crate::owner::In;
use crate::seat::{Mail, Parts, Seat};

/// A request is read whole within this time of its connection, or for later ones of its first byte: who sends what
/// can't be read is owed an answer within three seconds of connecting.
const READ: Duration = Duration::from_millis(2_100);
/// A connection without a request is kept for so long while there is room.
const IDLE: Duration = Duration::from_secs(6);
/// A client that takes nothing for so long has gone.
const WRITE: Duration = Duration::from_secs(5);
/// After an error, what the client still sends is read and dropped for so long and so much, so that it can read the
/// error: a close with unread bytes would destroy it on its way (RFC 9112, 9.6).
const LINGER: Duration = Duration::from_millis(400);
const LINGER_BYTES: usize = 4 << 20;
/// Pause between two looks for room for a body.
const ROOM: Duration = Duration::from_millis(5);
/// Most bytes of a head, and of a body.
const LIMITS: Limits = Limits { head: 16 << 10, body: ask::MOST_BODY };
/// Fields that engines are sent as they came, apart from those the node writes itself.
const PASSED: &[&str] = &["content-type", "x-qos", "x-object", "x-props"];
/// Microseconds in a second.
const SECOND: f64 = 1e6;

pub fn serve(shared: &Arc<Shared>, mut conn: Conn, place: &Place) {
    conn.limits = LIMITS;
    conn.set_write_timeout(Some(WRITE));
    let accepted = Instant::now();
    let mut first = true;
    loop {
        if !begins(&mut conn, place, first, accepted) {
            return;
        }
        place.busy();
        let until = if first { accepted + READ } else { Instant::now() + READ };
        first = false;
        conn.set_deadline(Some(until));
        let head = match conn.request() {
            Ok(head) => head,
            Err(NetError::Http(error)) => return refuse(&mut conn, error.status(), &error.to_string()),
            Err(NetError::TimedOut) => return refuse(&mut conn, 408, "no whole request in time"),
            Err(_) => return,
        };
        match ask::wanted(&head) {
            Ok(Wanted::Ready) => {
                let status = if shared.ready.load(Ordering::SeqCst) { 200 } else { 503 };
                let keep = head.keep_alive && !shared.closing();
                if body(shared, &mut conn, &head, until).is_err()
                    || !reply(&mut conn, status, None, "", keep)
                    || !keep
                {
                    return;
                }
            }
            Ok(Wanted::Chat) => {
                if !chat(shared, &mut conn, head, until) {
                    return;
                }
            }
            Err(error) => {
                // What is wrong with a head alone leaves the connection good, if no body follows.
                let keep = head.framing == Framing::Length(0) && head.keep_alive && !shared.closing();
                if !keep {
                    return refuse(&mut conn, error.status(), &error.to_string());
                }
                if !reply(&mut conn, error.status(), None, &error.to_string(), true) {
                    return;
                }
            }
        }
        conn.shrink();
        place.idle();
        if shared.closing() {
            return;
        }
    }
}

/// Waits for the first byte of a request. `false`: the connection is to be closed.
fn begins(conn: &mut Conn, place: &Place, first: bool, accepted: Instant) -> bool {
    let idle = Instant::now();
    loop {
        if conn.has_pending() {
            return true;
        }
        match conn.fill_now() {
            Ok(true) => return true,
            Ok(false) => {}
            Err(_) => return false,
        }
        let now = Instant::now();
        let until = if first { accepted + GRACE } else { idle + IDLE };
        if now >= until || place.guest.must_leave() {
            return false;
        }
        conn.pause(Some(until));
    }
}

/// Answers what can't be taken, and closes.
fn refuse(conn: &mut Conn, status: u16, why: &str) {
    if !reply(conn, status, None, why, false) {
        return;
    }
    conn.end();
    let (until, mut dropped) = (Instant::now() + LINGER, 0);
    while Instant::now() < until && dropped < LINGER_BYTES {
        match conn.fill_now() {
            Ok(true) => {
                dropped += conn.pending().len();
                conn.used(usize::MAX);
            }
            Ok(false) => conn.pause(Some(until)),
            Err(_) => return,
        }
    }
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

/// Reads a body within its bound and the memory that is left for bodies.
fn body(
    shared: &Shared,
    conn: &mut Conn,
    head: &Request,
    until: Instant,
) -> Result<(Vec<u8>, crate::room::Room), (u16, String)> {
    let most = match head.framing {
        Framing::Length(n) => usize::try_from(n).unwrap_or(usize::MAX),
        _ => LIMITS.body,
    };
    let room = loop {
        if let Some(room) = shared.bodies.take(most.min(LIMITS.body)) {
            break room;
        }
        if Instant::now() + ROOM >= until || conn.is_closed() {
            return Err((503, "no memory left for a body".into()));
        }
        conn.pause(Some(Instant::now() + ROOM));
    };
    let read = conn.take_body(head).and_then(|()| conn.body(head.framing));
    match read {
        Ok(body) => Ok((body, room)),
        Err(NetError::Http(error)) => {
            let status = if matches!(error, HttpError::BodyTooLarge(_)) { 413 } else { error.status() };
            Err((status, error.to_string()))
        }
        Err(NetError::TimedOut) => Err((408, "no whole body in time".into())),
        // Nobody is left to read it.
        Err(error) => Err((400, error.to_string())),
    }
}

/// One request and its answer. `false`: the connection is to be closed.
fn chat(shared: &Arc<Shared>, conn: &mut Conn, head: Request, until: Instant) -> bool {
    let (body, room) = match body(shared, conn, &head, until) {
        Ok(read) => read,
        Err((status, why)) => {
            refuse(conn, status, &why);
            return false;
        }
    };
    let keep = head.keep_alive;
    let read = Ask::read(&head, body.len(), &shared.names);
    let ask = match read {
        Ok(ask) if ask::is_object(&body) => ask,
        other => {
            let error = other.err().unwrap_or(ask::Refusal::Body);
            let keep = keep && !shared.closing();
            return reply(conn, error.status(), None, &error.to_string(), keep) && keep;
        }
    };
    let mut fields = Vec::new();
    for (name, value) in
        head.headers.0.iter().filter(|(name, _)| PASSED.iter().any(|p| name.eq_ignore_ascii_case(p)))
    {
        fields.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    let Request { method, target, .. } = head;
    let parts = Parts { trace: ask.trace.clone(), method, target, fields, body, _room: room };
    let seat = Seat::new(parts, conn.waker());
    let id = ReqId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    shared.tell(In::Open { id, ask, seat: seat.clone() });
    let kept = answer(shared, conn, &seat, id, keep);
    seat.close();
    kept
}

fn answer(shared: &Arc<Shared>, conn: &mut Conn, seat: &Seat, id: ReqId, keep: bool) -> bool {
    let (mut begun, mut out) = (false, Vec::new());
    loop {
        let mut whole = false;
        out.clear();
        while let Some(mail) = seat.take() {
            match mail {
                Mail::Events(events) => {
                    if !begun {
                        begun = true;
                        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
                    }
                    http::write_chunk(&events, &mut out);
                }
                Mail::Whole => {
                    out.extend_from_slice(http::LAST_CHUNK);
                    whole = true;
                }
                Mail::Cut => {
                    // Its connection ends without the last chunk.
                    let _ = conn.write(&out);
                    return false;
                }
                Mail::Last(last) => {
                    let keep = keep && !shared.closing();
                    let kept = match last {
                        Last::Refused { retry_after: 0 } => reply(conn, 503, None, "turned away", keep),
                        Last::Refused { retry_after } => {
                            let seconds = format!("{:.3}", retry_after as f64 / SECOND);
                            reply(conn, 503, Some(&seconds), "turned away", keep)
                        }
                        Last::Failed => reply(conn, 502, None, "failed; it may have run", keep),
                        Last::Open => reply(conn, 409, None, &ask::Refusal::Open.to_string(), keep),
                    };
                    return kept && keep;
                }
            }
        }
        if (!out.is_empty() && conn.write(&out).is_err()) || (!whole && conn.is_closed()) {
            shared.tell(In::Hub(Input::Gone { id }));
            return false;
        }
        if whole {
            return keep && !shared.closing();
        }
        conn.pause(None);
    }
}
