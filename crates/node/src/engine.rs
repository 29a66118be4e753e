//! The client side towards engines: attempts, probes and releases. Each runs in a coroutine of its own and
//! uses one connection at a time.
//!
//! Nothing is decided here: outcomes go to the event loop. The outcome of an attempt is submitted only after
//! its connection is closed or back in the pool, so that an open attempt always stands for one connection in
//! use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use elderstage::{Outcome, RequestId, ServerId};
use elderstage_net::NetError;
use elderstage_net::spawn;
use elderstage_platform::hub::Input;
use elderstage_platform::reply::{self, AbortReason, AnswerKind, WriteProgress};
use elderstage_platform::report;
use elderstage_platform::stream::EventStream;
use elderstage_protocol::http::{BodyDecoder, Framing, Limits, Response};

use crate::Shared;
use crate::event_loop::Event;
use crate::hold_at;
use crate::pool::PooledConnection;
use crate::response::{AttemptStart, ResponseChannel, ResponseEvent};

/// Longest gap between events of a stream. TCP does not report a machine that is cut off from the network, so
/// an engine that sends nothing for this time counts as gone. The client must learn of it within five seconds
/// of the last event.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_300);
/// Poll interval while a client reads its stream too slowly.
const SLOW_CLIENT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum body size of a response that is not a stream, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Time to receive a body whose content is not used. It is received only so that its connection can be
/// reused.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Time limit for a probe, and for the body of a prefill response. Engines answer these at once or not at
/// all.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for one release call. Calls to other engines run at the same time, so each may wait for a
/// connection that is slow to open.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(240);
/// Time in which an engine learns that an attempt without an answer has ended. The next attempt goes over another connection
/// and must not overtake the end of this one: two attempts of one request would be in flight.
const ATTEMPT_END_NOTICE_TIME: Duration = Duration::from_millis(2);
/// Limits on a response. The head may take 16 KiB, as common proxies allow.
const RESPONSE_LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: MAX_BODY_BYTES };

/// One attempt to have a request served by one engine.
pub struct Attempt {
    pub id: RequestId,
    /// Number of this attempt within its request, from 0.
    pub number: u32,
    pub server: ServerId,
    pub dial: SocketAddr,
    pub timeout: Duration,
    /// The request may be sent again whatever the outcome.
    pub is_harmless: bool,
    pub channel: Arc<ResponseChannel>,
}

/// One call that asks an engine to release the state held for a request.
pub struct ReleaseCall {
    pub id: RequestId,
    pub trace: Box<str>,
    /// The engine that holds the state.
    pub holder: ServerId,
    /// Number of the request's release that the call belongs to.
    pub round: u32,
    /// The engine that is called, and its address.
    pub engine: ServerId,
    pub dial: SocketAddr,
}

/// How an attempt ended.
struct AttemptEnd {
    outcome: Outcome,
    /// Detail of the outcome for the router, such as the number of cached prompt tokens.
    note: u64,
    /// The engine's load report.
    report: Option<String>,
    /// Whether the client's stream has begun.
    has_begun: bool,
    /// Number of stream events that were passed on.
    events: u64,
}

impl AttemptEnd {
    fn without_stream(outcome: Outcome, note: u64, report: Option<String>) -> AttemptEnd {
        AttemptEnd { outcome, note, report, has_begun: false, events: 0 }
    }
}

/// Runs an attempt in a coroutine of its own and submits its outcome.
pub fn start_attempt(shared: &Arc<Shared>, attempt: Attempt) {
    let shared = shared.clone();
    spawn(move || {
        let started = Instant::now();
        let end = run_attempt(&shared, &attempt, started + attempt.timeout);
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Broken) {
            elderstage_net::sleep(ATTEMPT_END_NOTICE_TIME);
        }
        attempt.channel.finish_attempt(attempt.number);
        if end.has_begun {
            attempt.channel.send(if end.outcome == Outcome::Served {
                ResponseEvent::Complete
            } else {
                ResponseEvent::Broken
            });
        }
        tracing::debug!(
            target: "attempt", trace = %attempt.channel.request.trace, attempt = attempt.number, server = %attempt.server.0,
            outcome = ?end.outcome, note = end.note, took_ms = started.elapsed().as_millis() as u64,
        );
        let AttemptEnd { outcome, note, report, events, .. } = end;
        let (id, number) = (attempt.id, attempt.number);
        shared.submit(Event::HubInput(Input::AttemptEnded {
            id,
            attempt: number,
            outcome,
            note,
            report,
            events,
        }));
    });
}

/// Runs an attempt until it has ended, at the latest at `deadline`.
fn run_attempt(shared: &Arc<Shared>, attempt: &Attempt, deadline: Instant) -> AttemptEnd {
    let ended =
        |reached, cut| AttemptEnd::without_stream(reply::outcome_without_answer(reached, cut), 0, None);
    let time_left = || deadline.saturating_duration_since(Instant::now());
    if time_left().is_zero() {
        return ended(WriteProgress::NotWhole, AbortReason::TimedOut);
    }
    let mut connection =
        match shared.pool.acquire(attempt.dial, shared.connect_timeout.min(time_left()), attempt.is_harmless)
        {
            Ok(connection) => connection,
            Err(error) => {
                tracing::debug!(target: "link", what = "connect", %error, server = %attempt.server.0, "cut");
                return ended(WriteProgress::NotWhole, AbortReason::Broken);
            }
        };
    hold_at!("attempt-connected-{}", attempt.channel.request.trace);
    let _in_flight = shared.in_flight.begin(attempt.dial);
    let waker = connection.conn().waker();
    match attempt.channel.begin_attempt(attempt.number, waker) {
        AttemptStart::Proceed => {}
        AttemptStart::Cancelled => {
            connection.return_to_pool();
            return ended(WriteProgress::NotWhole, AbortReason::Cancelled);
        }
        AttemptStart::Withdrawn => {
            connection.return_to_pool();
            return ended(WriteProgress::NotWhole, AbortReason::Broken);
        }
    }
    let idle = connection.idle_time;
    let log_cut = |what: &str, cut: AbortReason| {
        tracing::debug!(target: "link", what, ?cut, ?idle, server = %attempt.server.0, "cut");
    };
    if let Err(cut) = write_request(&mut connection, attempt, time_left()) {
        log_cut("write", cut);
        connection.record_outcome(cut == AbortReason::Broken);
        drop(connection);
        return ended(WriteProgress::NotWhole, cut);
    }
    let end = receive_response(shared, &mut connection, attempt, deadline);
    match &end {
        Ok(_) => connection.record_outcome(false),
        Err(cut) => {
            let is_silent = !connection.conn().has_pending();
            connection.record_outcome(*cut == AbortReason::Broken && is_silent);
        }
    }
    match end {
        Ok((end, true)) => {
            connection.return_to_pool();
            end
        }
        Ok((end, false)) => end,
        Err(cut) => {
            log_cut(if connection.conn().has_pending() { "half a head" } else { "answer" }, cut);
            ended(WriteProgress::Whole, cut)
        }
    }
}

/// Writes the whole request. Fails with the reason why the last byte was not written.
fn write_request(
    connection: &mut PooledConnection,
    attempt: &Attempt,
    time_left: Duration,
) -> Result<(), AbortReason> {
    let request = &attempt.channel.request;
    let mut head = Vec::with_capacity(512);
    head.extend_from_slice(
        format!("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.target, attempt.dial).as_bytes(),
    );
    head.extend_from_slice(
        format!("X-Trace-Id: {}\r\nX-Expires-In-Ms: {}\r\n", request.trace, time_left.as_millis()).as_bytes(),
    );
    head.extend_from_slice(&request.header_lines);
    head.extend_from_slice(format!("Content-Length: {}\r\n\r\n", request.body.len()).as_bytes());
    let conn = connection.conn();
    conn.limits = RESPONSE_LIMITS;
    conn.set_write_timeout(Some(time_left));
    // The engine may stop reading for a while, and the client may leave meanwhile.
    let is_wanted = || !attempt.channel.is_cancelled(attempt.number) && !attempt.channel.is_closed();
    for bytes in [&head, &request.body] {
        match conn.write_while(bytes, is_wanted) {
            Ok(true) => {}
            Ok(false) => return Err(AbortReason::Cancelled),
            Err(NetError::TimedOut) => return Err(AbortReason::TimedOut),
            Err(_) => return Err(AbortReason::Broken),
        }
    }
    Ok(())
}

/// Waits for more bytes of a response. Returns early, without new bytes, when the attempt's stream is to be
/// cut.
fn receive_more(
    connection: &mut PooledConnection,
    attempt: Option<&Attempt>,
    deadline: Instant,
) -> Result<(), AbortReason> {
    loop {
        if attempt.is_some_and(|attempt| attempt.channel.is_cancelled(attempt.number)) {
            return Err(AbortReason::Cancelled);
        }
        match connection.conn().try_fill(Some(deadline)) {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(NetError::TimedOut) => return Err(AbortReason::TimedOut),
            Err(_) => return Err(AbortReason::Broken),
        }
        if attempt.is_some_and(|attempt| attempt.channel.is_stream_cut()) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(AbortReason::TimedOut);
        }
        connection.conn().pause(Some(deadline));
    }
}

/// Receives the head of a response.
fn receive_head(
    connection: &mut PooledConnection,
    attempt: Option<&Attempt>,
    deadline: Instant,
) -> Result<Response, AbortReason> {
    loop {
        if let Some(head) = connection.conn().try_response().map_err(|_| AbortReason::Broken)? {
            return Ok(head);
        }
        receive_more(connection, attempt, deadline)?;
    }
}

/// Receives a body that is not a stream, and tells whether its connection can be reused.
fn receive_body(connection: &mut PooledConnection, head: &Response, deadline: Instant) -> (Vec<u8>, bool) {
    let (mut body, mut out) =
        (BodyDecoder::new(head.framing).with_max_chunk_bytes(MAX_BODY_BYTES as u64), Vec::new());
    if matches!(head.framing, Framing::Length(n) if n > MAX_BODY_BYTES as u64)
        || head.framing == Framing::UntilClose
    {
        return (out, false);
    }
    while !body.is_done() {
        if connection.conn().has_pending() {
            let Ok(n) = body.push(connection.conn().pending(), &mut out) else { return (out, false) };
            connection.conn().consume(n);
        } else if receive_more(connection, None, deadline).is_err() {
            return (out, false);
        }
        if out.len() > MAX_BODY_BYTES {
            return (out, false);
        }
    }
    let is_reusable = head.keep_alive && !connection.conn().has_pending();
    (out, is_reusable)
}

/// Receives the response to a completely written request, and tells whether the connection can be reused.
fn receive_response(
    shared: &Arc<Shared>,
    connection: &mut PooledConnection,
    attempt: &Attempt,
    deadline: Instant,
) -> Result<(AttemptEnd, bool), AbortReason> {
    let head = receive_head(connection, Some(attempt), deadline)?;
    let report = head.headers.get(report::HEADER).map(str::to_owned);
    match reply::classify_answer(&head) {
        AnswerKind::Stream => relay_stream(shared, connection, attempt, &head, report, deadline),
        AnswerKind::Read => {
            let (body, is_reusable) =
                receive_body(connection, &head, deadline.min(Instant::now() + PROBE_TIMEOUT));
            Ok((
                AttemptEnd::without_stream(Outcome::Read, reply::parse_cached_tokens(&body), report),
                is_reusable,
            ))
        }
        AnswerKind::Ended(outcome, note) => {
            tracing::debug!(target: "answer", status = head.status, server = %attempt.server.0);
            let (_, is_reusable) =
                receive_body(connection, &head, deadline.min(Instant::now() + UNUSED_BODY_TIMEOUT));
            Ok((AttemptEnd::without_stream(outcome, note, report), is_reusable))
        }
    }
}

/// Passes the events of a stream on to the client until the stream ends. Tells whether the connection can be
/// reused.
fn relay_stream(
    shared: &Arc<Shared>,
    connection: &mut PooledConnection,
    attempt: &Attempt,
    head: &Response,
    header_report: Option<String>,
    mut deadline: Instant,
) -> Result<(AttemptEnd, bool), AbortReason> {
    let (mut stream, mut has_begun, opened) = (EventStream::new(), false, Instant::now());
    let broken =
        |has_begun| AttemptEnd { outcome: Outcome::Broken, note: 0, report: None, has_begun, events: 0 };
    loop {
        let mut events = Vec::new();
        let pushed = stream.push(connection.conn().pending(), &mut events);
        if !events.is_empty() {
            if !has_begun {
                has_begun = true;
                tracing::debug!(
                    target: "answer", after_head_us = opened.elapsed().as_micros() as u64,
                    trace = %attempt.channel.request.trace, "streams",
                );
                shared.submit(Event::HubInput(Input::FirstEvent { id: attempt.id, attempt: attempt.number }));
            }
            deadline = Instant::now() + STREAM_SILENCE_TIMEOUT;
            if !attempt.channel.send(ResponseEvent::Events(events)) {
                return Ok((
                    AttemptEnd { outcome: Outcome::Cancelled, has_begun, ..broken(has_begun) },
                    false,
                ));
            }
        }
        match pushed {
            Ok(n) => connection.conn().consume(n),
            Err(error) => {
                tracing::debug!(target: "answer", %error, server = %attempt.server.0, begun = has_begun, "invalid stream");
                return Ok((broken(has_begun), false));
            }
        }
        if stream.is_ended() {
            if !(has_begun && stream.is_complete()) {
                return Ok((broken(has_begun), false));
            }
            let is_reusable = head.keep_alive && !connection.conn().has_pending();
            let summary = stream.into_summary();
            let report = summary.report.or(header_report);
            let (outcome, note, events) = (Outcome::Served, summary.cached, summary.events);
            return Ok((AttemptEnd { outcome, note, report, has_begun, events }, is_reusable));
        }
        if attempt.channel.is_stream_cut() {
            // Bytes that have already arrived are still passed on, so a stream that the engine has finished
            // is complete. One that keeps its socket full is cut all the same.
            match connection.conn().try_fill(Some(Instant::now())) {
                Ok(true) => continue,
                _ => return Ok((AttemptEnd { outcome: Outcome::Cancelled, ..broken(has_begun) }, false)),
            }
        }
        while !attempt.channel.has_room()
            && !attempt.channel.is_closed()
            && !attempt.channel.is_stream_cut()
            && !attempt.channel.is_cancelled(attempt.number)
        {
            connection.conn().pause(Some(Instant::now() + SLOW_CLIENT_POLL_INTERVAL));
            deadline = Instant::now() + STREAM_SILENCE_TIMEOUT;
        }
        match receive_more(connection, Some(attempt), deadline) {
            Ok(()) => {}
            Err(AbortReason::Cancelled) => {
                return Ok((
                    AttemptEnd { outcome: Outcome::Cancelled, has_begun, ..broken(has_begun) },
                    false,
                ));
            }
            Err(cut) if has_begun => {
                tracing::debug!(target: "answer", ?cut, server = %attempt.server.0, "stream broke");
                return Ok((broken(has_begun), false));
            }
            Err(cut) => return Err(cut),
        }
    }
}

/// Sends a request without a body and receives the whole response. `head_lines` is the request's head without
/// the `Host` line.
fn exchange(
    shared: &Shared,
    dial: SocketAddr,
    head_lines: &str,
    timeout: Duration,
) -> Result<(Response, Vec<u8>), AbortReason> {
    let deadline = Instant::now() + timeout;
    let mut connection = shared.pool.acquire(dial, timeout.min(shared.connect_timeout), true).map_err(
        |error| match error {
            NetError::TimedOut => AbortReason::TimedOut,
            _ => AbortReason::Broken,
        },
    )?;
    hold_at!("small-connected-{}", head_lines.split(' ').nth(1).unwrap_or_default().replace('/', "-"));
    let conn = connection.conn();
    conn.limits = RESPONSE_LIMITS;
    conn.set_write_timeout(Some(timeout));
    let written =
        conn.write(format!("{head_lines}Host: {dial}\r\n\r\n").as_bytes()).map_err(|_| AbortReason::Broken);
    let head = written.and_then(|()| receive_head(&mut connection, None, deadline));
    connection.record_outcome(head.as_ref().is_err_and(|cut| *cut == AbortReason::Broken));
    let head = head?;
    let (body, is_reusable) = receive_body(&mut connection, &head, deadline);
    if is_reusable {
        connection.return_to_pool();
    }
    Ok((head, body))
}

/// Asks an engine for its load in a coroutine of its own and submits the result.
pub fn start_probe(shared: &Arc<Shared>, server: ServerId, dial: SocketAddr) {
    let shared = shared.clone();
    spawn(move || {
        let (outcome, report) = match exchange(&shared, dial, "GET /-/load HTTP/1.1\r\n", PROBE_TIMEOUT) {
            Ok((head, body)) if head.status == 200 => {
                let header = head.headers.get(report::HEADER).map(str::to_owned);
                (Outcome::Served, header.or_else(|| String::from_utf8(body).ok()))
            }
            Ok((head, body)) if head.status == 503 => (Outcome::Error, String::from_utf8(body).ok()),
            Ok(_) => (Outcome::Error, None),
            Err(AbortReason::TimedOut) => (Outcome::TimedOut, None),
            Err(_) => (Outcome::NoConnection, None),
        };
        tracing::debug!(target: "probe", server = %server.0, ?outcome, told = ?report);
        shared.submit(Event::HubInput(Input::ProbeEnded { server, outcome, report }));
    });
}

/// Asks an engine to release the state held for a request, in a coroutine of its own. Only a response proves
/// that the engine received the call, since writing to a machine that is cut off from the network succeeds
/// too.
pub fn start_release(shared: &Arc<Shared>, call: ReleaseCall) {
    let shared = shared.clone();
    spawn(move || {
        let ReleaseCall { id, trace, holder, round, engine, dial } = call;
        let started = Instant::now();
        let head_lines = format!("DELETE /kv/leases/{trace} HTTP/1.1\r\n");
        let heard = exchange(&shared, dial, &head_lines, RELEASE_TIMEOUT).is_ok();
        let took_ms = started.elapsed().as_millis() as u64;
        tracing::debug!(target: "release", %trace, holder = %holder.0, engine = %engine.0, heard, took_ms);
        if !heard {
            // An engine that refuses connections at once would otherwise be called in a tight loop.
            let time_left = RELEASE_TIMEOUT.saturating_sub(started.elapsed());
            elderstage_net::sleep(time_left.min(RELEASE_RETRY_PAUSE));
        }
        shared.submit(Event::HubInput(Input::ReleaseCallEnded {
            id,
            holder,
            release_number: round,
            engine,
            acknowledged: heard,
        }));
    });
}

/// Pause after a failed release call, before the next call can follow.
const RELEASE_RETRY_PAUSE: Duration = Duration::from_millis(20);
