//! The server side towards clients: one coroutine for each client connection.
//!
//! It parses requests, passes them to the event loop and writes the responses that come back over the
//! response channel. It chooses no engine and talks to none. A connection is closed so that a response on its
//! way is not lost, and a client that disconnects is noticed while it waits.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use elderstage::RequestId;
use elderstage_net::{Conn, NetError};
use elderstage_platform::ask::{self, ClientRequest, RequestKind};
use elderstage_platform::forward;
use elderstage_platform::hub::{FinalAnswer, Input};
use elderstage_protocol::http::{self, Framing, HttpError, Limits, Request};

use crate::Shared;
use crate::connections::{ConnectionPermit, FIRST_REQUEST_GRACE};
use crate::event_loop::Event;
use crate::hold_at;
use crate::memory::MemoryPermit;
use crate::response::{ForwardedRequest, ResponseChannel, ResponseEvent};

/// Time limit for receiving a whole request, from the connection for the first request and from the first
/// byte for later ones. A client that sends an invalid request must get a response within three seconds of
/// connecting.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Time that a connection without a request is kept open while there is room.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// A client that accepts no bytes for this time counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limits on receiving and discarding what a client still sends after the node has ended its side. Closing a
/// socket with unreceived bytes resets the connection, which would destroy a response on its way.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_LINGER_BYTES: usize = 4 << 20;
/// Time for the first request of a new connection while the node shuts down: its client connected to send
/// one.
const SHUTDOWN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes received ahead of a response without a memory reservation. Beyond this, memory for a whole request
/// is reserved.
const MAX_UNRESERVED_BYTES: usize = 16 << 10;
/// Maximum number of bytes discarded in one poll of a client that floods. The rest waits, so that other
/// coroutines run.
const MAX_DISCARD_PER_POLL: usize = 256 << 10;
/// Pause before the next poll of such a client.
const DISCARD_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two attempts to reserve memory for a body.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Part of its client's time for which a request may wait for memory. The rest is left for another node.
const MEMORY_WAIT_DIVISOR: u32 = 2;
/// Maximum sizes of a request's head and body, in bytes.
const REQUEST_LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: ask::MAX_BODY_BYTES };
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Why a client's connection is closed. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The client has closed or reset it.
    Client,
    /// No request arrived in time.
    Idle,
    /// Another client needs its place, or the node shuts down.
    Evicted,
    /// The request was invalid or did not arrive in time. The client got an error response.
    BadRequest,
    /// The response is written and the connection is not kept open: at the client's wish, or because only the
    /// close marks the end of the response.
    Answered,
    /// The stream broke. The client learns of it by the end of its connection.
    StreamBroke,
    /// The node shuts down.
    Shutdown,
}

/// Serves a connection until it ends. Closes it in such a way that the client still gets all that was
/// written.
pub fn serve(shared: &Arc<Shared>, mut conn: Conn, permit: &ConnectionPermit) {
    let reason = serve_requests(shared, &mut conn, permit);
    tracing::debug!(target: "closed", ?reason, unread = conn.pending().len());
    // New clients wait for the permit of an evicted connection, so it lingers only while its last response
    // may be on its way. It may have been evicted in the instant in which its last request arrived.
    let is_evicted = permit.connection.is_evicted() && !shared.is_closing();
    let time_for_response =
        conn.since_last_write().map_or(Duration::ZERO, |since| LINGER_TIMEOUT.saturating_sub(since));
    conn.close_gracefully(if is_evicted { time_for_response } else { LINGER_TIMEOUT }, MAX_LINGER_BYTES);
}

/// Serves one request after the other until the connection is to be closed.
fn serve_requests(shared: &Arc<Shared>, conn: &mut Conn, permit: &ConnectionPermit) -> CloseReason {
    conn.limits = REQUEST_LIMITS;
    conn.record_arrivals();
    conn.set_write_timeout(Some(WRITE_TIMEOUT));
    let accepted_at = Instant::now();
    let mut is_first = true;
    loop {
        if let Err(reason) = wait_for_request(shared, conn, permit, is_first, accepted_at) {
            return reason;
        }
        permit.mark_busy();
        let deadline =
            if is_first { accepted_at + REQUEST_TIMEOUT } else { Instant::now() + REQUEST_TIMEOUT };
        is_first = false;
        conn.set_deadline(Some(deadline));
        let head = match conn.receive_request() {
            Ok(head) => head,
            Err(NetError::Http(error)) => return reject(conn, error.status(), &error.to_string()),
            Err(NetError::TimedOut) => return reject(conn, 408, "no whole request in time"),
            Err(_) => return CloseReason::Client,
        };
        match ask::classify_head(&head) {
            Ok(RequestKind::Ready) => {
                let status = if shared.is_ready.load(Ordering::SeqCst) { 200 } else { 503 };
                let is_received = receive_body(shared, conn, &head, deadline).is_ok();
                let keep_alive = head.keep_alive && may_keep_open(shared, conn);
                if !(is_received && write_response(conn, status, None, "", keep_alive) && keep_alive) {
                    return CloseReason::Answered;
                }
            }
            Ok(RequestKind::Chat) => {
                if let Err(reason) = serve_chat(shared, conn, head, deadline) {
                    return reason;
                }
            }
            Err(error) => {
                // The connection remains usable after an invalid head if no body follows.
                let keep_alive =
                    head.framing == Framing::Length(0) && head.keep_alive && may_keep_open(shared, conn);
                if !keep_alive {
                    return reject(conn, error.status(), &error.to_string());
                }
                if !write_response(conn, error.status(), None, &error.to_string(), true) {
                    return CloseReason::Client;
                }
            }
        }
        conn.shrink();
        permit.mark_idle();
        if shared.is_closing() && !conn.has_pending() {
            return CloseReason::Shutdown;
        }
    }
}

/// Whether the node lets a connection stay open after a response. While the node shuts down, a connection
/// stays open only if the next request has begun to arrive. That request is answered. All other clients see
/// their connection closed between two requests.
fn may_keep_open(shared: &Shared, conn: &Conn) -> bool {
    !shared.is_closing() || conn.has_pending()
}

/// Waits for the first byte of a request. `Err`: the connection is to be closed for this reason.
fn wait_for_request(
    shared: &Shared,
    conn: &mut Conn,
    permit: &ConnectionPermit,
    is_first: bool,
    accepted_at: Instant,
) -> Result<(), CloseReason> {
    let idle_since = Instant::now();
    loop {
        if conn.has_pending() {
            return Ok(());
        }
        match conn.try_fill(None) {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(_) => return Err(CloseReason::Client),
        }
        let now = Instant::now();
        let mut deadline =
            if is_first { accepted_at + FIRST_REQUEST_GRACE } else { idle_since + IDLE_TIMEOUT };
        if permit.connection.is_evicted() {
            deadline = if is_first && shared.is_closing() {
                deadline.min(accepted_at + SHUTDOWN_FIRST_REQUEST_TIMEOUT)
            } else {
                now
            };
        }
        if now >= deadline {
            return Err(if permit.connection.is_evicted() {
                CloseReason::Evicted
            } else {
                CloseReason::Idle
            });
        }
        conn.pause(Some(deadline));
    }
}

/// Writes an error response to a request that cannot be served, and returns the reason to close the
/// connection.
fn reject(conn: &mut Conn, status: u16, why: &str) -> CloseReason {
    tracing::debug!(target: "refused", status, why);
    // The connection is closed anyway, so it does not matter whether the client receives the response.
    let _ = write_response(conn, status, None, why, false);
    CloseReason::BadRequest
}

/// Writes a response that is not a stream. `false`: the client has disconnected.
fn write_response(
    conn: &mut Conn,
    status: u16,
    retry_after: Option<&str>,
    why: &str,
    keep_alive: bool,
) -> bool {
    let mut out = Vec::with_capacity(256);
    let body = if why.is_empty() {
        String::new()
    } else {
        format!("{{\"error\":{{\"message\":{}}}}}", json_string(why))
    };
    let mut headers = vec![("content-type", "application/json")];
    if let Some(seconds) = retry_after {
        headers.push(("retry-after", seconds));
    }
    http::write_response(status, &headers, body.as_bytes(), keep_alive, &mut out);
    conn.write(&out).is_ok()
}

/// Encodes a text as a JSON string.
fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// A body that was received completely.
struct ReceivedBody {
    bytes: Vec<u8>,
    memory_permit: MemoryPermit,
    /// The latest time at which the last byte may have arrived. It may have been received ahead, while the
    /// request before it was served. A body that waited for memory may have arrived before the wait, so the
    /// time of the wait is subtracted.
    received_at: Instant,
}

/// Waits for memory of this size, until `deadline` at most. `None`: there was none in time, or the client has
/// disconnected.
fn reserve_memory(shared: &Shared, conn: &mut Conn, bytes: usize, deadline: Instant) -> Option<MemoryPermit> {
    loop {
        if let Some(permit) = shared.body_memory.reserve(bytes) {
            return Some(permit);
        }
        // A node that shuts down must answer before it is killed.
        let shutdown_end = shared.shutdown_end.get().copied();
        let deadline = shutdown_end.map_or(deadline, |end| end.min(deadline));
        let retry_at = Instant::now() + MEMORY_RETRY_INTERVAL;
        if retry_at >= deadline || conn.is_closed() {
            return None;
        }
        conn.pause(Some(retry_at));
    }
}

/// Receives a body within the size limit and the memory budget. `Err`: the status and message of the error
/// response.
fn receive_body(
    shared: &Shared,
    conn: &mut Conn,
    head: &Request,
    deadline: Instant,
) -> Result<ReceivedBody, (u16, String)> {
    let started = Instant::now();
    let longest_wait = shared.longest_wait.load(Ordering::SeqCst);
    let client_time = ask::parse_time_left(head, longest_wait).map_or(REQUEST_TIMEOUT, Duration::from_micros);
    let max_bytes = match head.framing {
        Framing::Length(n) => usize::try_from(n).unwrap_or(usize::MAX),
        _ => REQUEST_LIMITS.body_bytes,
    };
    let memory_deadline = deadline.min(started + client_time / MEMORY_WAIT_DIVISOR);
    let bytes = max_bytes.min(REQUEST_LIMITS.body_bytes);
    let Some(memory_permit) = reserve_memory(shared, conn, bytes, memory_deadline) else {
        return Err((503, "no memory left for a body".into()));
    };
    let memory_wait = started.elapsed();
    let received = conn.send_continue(head).and_then(|()| conn.receive_body(head.framing));
    match received {
        Ok(bytes) => {
            let after_wait = Instant::now() - memory_wait;
            let received_at = conn.last_consumed_at().map_or(after_wait, |at| at.min(after_wait));
            Ok(ReceivedBody { bytes, memory_permit, received_at })
        }
        Err(NetError::Http(error)) => {
            let status = if matches!(error, HttpError::BodyTooLarge(_)) { 413 } else { error.status() };
            Err((status, error.to_string()))
        }
        Err(NetError::TimedOut) => Err((408, "no whole body in time".into())),
        // The connection has failed, so the client does not receive this response.
        Err(error) => Err((400, error.to_string())),
    }
}

/// Serves one chat request. `Err`: the connection is to be closed for this reason.
fn serve_chat(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    head: Request,
    deadline: Instant,
) -> Result<(), CloseReason> {
    let ReceivedBody { bytes: body, memory_permit, received_at } =
        match receive_body(shared, conn, &head, deadline) {
            Ok(received) => received,
            Err((status, why)) => return Err(reject(conn, status, &why)),
        };
    let keep_alive = head.keep_alive;
    let longest_wait = shared.longest_wait.load(Ordering::SeqCst);
    let parsed = ClientRequest::parse(&head, body.len(), &shared.names, longest_wait);
    let client_request = match parsed {
        Ok(client_request) if ask::is_object(&body) => client_request,
        other => {
            let error = other.err().unwrap_or(ask::Refusal::Body);
            let keep_alive = keep_alive && may_keep_open(shared, conn);
            let is_kept =
                write_response(conn, error.status(), None, &error.to_string(), keep_alive) && keep_alive;
            return if is_kept { Ok(()) } else { Err(CloseReason::BadRequest) };
        }
    };
    let header_lines = forward::fields(&head);
    let Request { method, target, .. } = head;
    let request = ForwardedRequest {
        trace: client_request.request_id.clone(),
        method,
        target,
        header_lines,
        body,
        _memory_permit: memory_permit,
    };
    let channel = ResponseChannel::new(request, conn.waker());
    let id = RequestId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    shared.submit(Event::RequestReceived { id, client_request, channel: channel.clone(), received_at });
    let result = relay_response(shared, conn, &channel, id, keep_alive);
    channel.close();
    result
}

/// Detects whether a client that waits for its response has disconnected. The end of a connection comes after
/// all bytes that the client has sent meanwhile, so these are received ahead. They are kept for the next
/// request if there is memory for one. Otherwise they are discarded, and the connection is closed after the
/// response.
#[derive(Default)]
struct ReadAhead {
    /// Memory for the next request, once more than `MAX_UNRESERVED_BYTES` have arrived.
    memory_permit: Option<MemoryPermit>,
    /// Bytes were discarded, so the connection cannot carry another request.
    has_discarded: bool,
    /// The last poll stopped before it had received all available bytes.
    has_more: bool,
}

impl ReadAhead {
    /// Receives available bytes. `true`: the client has disconnected.
    fn poll_disconnected(&mut self, shared: &Shared, conn: &mut Conn) -> bool {
        let mut discarded = 0;
        self.has_more = false;
        loop {
            let pending = conn.pending().len();
            if pending > MAX_UNRESERVED_BYTES && self.memory_permit.is_none() && !self.has_discarded {
                self.memory_permit = shared.body_memory.reserve(REQUEST_LIMITS.body_bytes);
                self.has_discarded = self.memory_permit.is_none();
            }
            if pending > REQUEST_LIMITS.head_bytes + REQUEST_LIMITS.body_bytes || self.has_discarded {
                self.has_discarded = true;
                discarded += pending;
                conn.consume(usize::MAX);
            }
            if discarded > MAX_DISCARD_PER_POLL {
                self.has_more = true;
                return false;
            }
            match conn.try_fill(None) {
                Ok(true) => {}
                Ok(false) => return false,
                Err(_) => return true,
            }
        }
    }
}

/// Writes the events of the response channel to the client until the response is complete. `Err`: the
/// connection is to be closed for this reason.
fn relay_response(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    channel: &ResponseChannel,
    id: RequestId,
    keep_alive: bool,
) -> Result<(), CloseReason> {
    let ok_if_kept = |is_kept: bool| if is_kept { Ok(()) } else { Err(CloseReason::Answered) };
    let (mut has_begun, mut out, mut read_ahead) = (false, Vec::new(), ReadAhead::default());
    loop {
        let mut is_complete = false;
        out.clear();
        while let Some(event) = channel.pop() {
            match event {
                ResponseEvent::Events(events) => {
                    if !has_begun {
                        has_begun = true;
                        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
                    }
                    http::write_chunk(&events, &mut out);
                }
                ResponseEvent::Complete => {
                    out.extend_from_slice(http::LAST_CHUNK);
                    is_complete = true;
                }
                ResponseEvent::Broken => {
                    // The missing last chunk tells the client that the stream is incomplete.
                    let _ = conn.write(&out);
                    return Err(CloseReason::StreamBroke);
                }
                ResponseEvent::Final(last) => {
                    let keep_alive = keep_alive && may_keep_open(shared, conn) && !read_ahead.has_discarded;
                    let is_kept = match last {
                        FinalAnswer::Refused { retry_after: 0 } => {
                            write_response(conn, 503, None, "turned away", keep_alive)
                        }
                        FinalAnswer::Refused { retry_after } => {
                            let seconds = format!("{:.3}", retry_after as f64 / MICROS_PER_SECOND);
                            write_response(conn, 503, Some(&seconds), "turned away", keep_alive)
                        }
                        FinalAnswer::Failed => {
                            write_response(conn, 502, None, "failed; it may have run", keep_alive)
                        }
                        FinalAnswer::Open => {
                            write_response(conn, 409, None, &ask::Refusal::Open.to_string(), keep_alive)
                        }
                    };
                    return ok_if_kept(is_kept && keep_alive);
                }
            }
        }
        if (!out.is_empty() && conn.write(&out).is_err())
            || (!is_complete && read_ahead.poll_disconnected(shared, conn))
        {
            // The channel is closed first, so no attempt begins for this request even if the event waits in
            // the queue.
            channel.close();
            shared.submit(Event::HubInput(Input::ClientDisconnected { id }));
            hold_at!("client-gone-{}", channel.request.trace);
            return Err(CloseReason::Client);
        }
        if is_complete {
            return ok_if_kept(keep_alive && may_keep_open(shared, conn) && !read_ahead.has_discarded);
        }
        conn.pause(read_ahead.has_more.then(|| Instant::now() + DISCARD_PAUSE));
    }
}
