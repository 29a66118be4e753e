//! One connection: buffered reading of HTTP messages from the socket, and writing, each with a time limit.
//!
//! The connection blocks the calling coroutine, never its thread. It knows nothing of requests or their
//! routing.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use elderstage_protocol::http::{self, BodyDecoder, Framing, HttpError, Limits};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use thiserror::Error;

use crate::arrivals::Arrivals;
use crate::budget::IoBudget;
use crate::stream::Stream;
use crate::watch::WaitLimit;

/// Bytes requested from the system in one socket read.
const READ_SIZE: usize = 8 << 10;
/// Reads in a row that all found bytes, from which on a peer counts as one that keeps the socket full. More than
/// a whole message of the sizes that are accepted here needs.
const READS_OF_A_FULL_SOCKET: u32 = 64;
/// Poll interval for a socket where the caller is a thread and not a coroutine.
const THREAD_POLL_INTERVAL: Duration = Duration::from_micros(300);

/// Why connecting, reading or writing failed.
#[derive(Debug, Error)]
pub enum NetError {
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The time limit passed.
    #[error("no answer in time")]
    TimedOut,
    /// The system reported an error.
    #[error("connection: {0}")]
    Io(io::Error),
    /// The peer sent invalid HTTP.
    #[error("HTTP: {0}")]
    Http(#[from] HttpError),
}

impl From<io::Error> for NetError {
    fn from(error: io::Error) -> NetError {
        match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => NetError::TimedOut,
            io::ErrorKind::UnexpectedEof => NetError::Closed,
            _ => NetError::Io(error),
        }
    }
}

/// A handle to shut down a connection that another coroutine or thread uses.
#[derive(Clone)]
pub struct ShutdownHandle(Arc<Stream>);

impl ShutdownHandle {
    /// Shuts the connection down: all reads and writes on it end, now and later.
    pub fn shutdown(&self) {
        // An error means that the peer has closed it already.
        let _ = self.0.shutdown_both();
    }
}

/// Wakes a coroutine that waits in [`Conn::pause`], from any thread. The coroutine finds out itself why it
/// was woken. If it does not wait yet, its next wait returns at once.
pub struct Waker(WaitIoWaker);

impl Waker {
    /// Wakes the coroutine.
    pub fn wake(&self) {
        self.0.wakeup();
    }
}

/// A connection with a buffer of the bytes that were read from the socket and not consumed yet.
pub struct Conn {
    io: CoIo<Arc<Stream>>,
    buffer: Vec<u8>,
    /// Bytes at the start of `buffer` that were consumed.
    consumed: usize,
    deadline: Option<Instant>,
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
    /// When the socket last accepted bytes.
    last_write: Option<Instant>,
    wait_limit: Arc<WaitLimit>,
    budget: IoBudget,
    /// Reads that found bytes since one that found none.
    reads_since_empty: u32,
    /// When the bytes arrived, if that is recorded.
    arrivals: Option<Arrivals>,
    /// Maximum sizes of heads and bodies that are accepted from the peer.
    pub limits: Limits,
    /// Keeps the descriptor open until `io` has deregistered it (fields are dropped in this order). If it
    /// were closed first, its number could belong to another connection by the time it is deregistered. That
    /// connection would lose its wake-ups and never learn of its data.
    _closed_last: Arc<Stream>,
}

impl Conn {
    /// Wraps a connected socket. Fails if the system cannot register it for readiness events.
    pub fn new(stream: impl Into<Stream>) -> Result<Conn, NetError> {
        let stream = stream.into();
        stream.set_nodelay()?;
        let stream = Arc::new(stream);
        let io = CoIo::new(stream.clone()).map_err(|error| NetError::Io(error.into()))?;
        Ok(Conn {
            wait_limit: WaitLimit::new(io.waker()),
            budget: IoBudget::new(),
            reads_since_empty: 0,
            arrivals: None,
            io,
            buffer: Vec::new(),
            consumed: 0,
            deadline: None,
            read_timeout: None,
            write_timeout: None,
            last_write: None,
            limits: Limits::default(),
            _closed_last: stream,
        })
    }

    /// A handle with which others can shut the connection down.
    pub fn socket(&self) -> ShutdownHandle {
        ShutdownHandle(self.io.inner().clone())
    }

    /// Waits until a connect in progress has succeeded or failed.
    pub(crate) fn wait_connected(&mut self, until: Instant) -> Result<(), NetError> {
        loop {
            if let Some(error) = self.io.inner().take_error()? {
                return Err(error.into());
            }
            match self.io.inner().is_connected() {
                Ok(()) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::NotConnected => self.wait(Some(until))?,
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// A second handle for writing from another coroutine. It uses a descriptor of its own.
    pub fn try_clone_for_writing(&self) -> Result<Conn, NetError> {
        let mut conn = Conn::new(self.io.inner().try_clone()?)?;
        conn.limits = self.limits;
        Ok(conn)
    }

    /// Sets the time at which all waiting for the peer's bytes ends, however many socket reads it takes. The
    /// read timeout bounds each single read.
    pub fn set_deadline(&mut self, at: Option<Instant>) {
        self.deadline = at;
    }

    /// Sets the time limit for each socket read.
    pub fn set_read_timeout(&mut self, time: Option<Duration>) {
        self.read_timeout = time;
    }

    /// Sets the longest time for which the peer may accept no bytes during a write.
    pub fn set_write_timeout(&mut self, time: Option<Duration>) {
        self.write_timeout = time;
    }

    /// Records from now on when bytes arrive. Must be called before the first read.
    pub fn record_arrivals(&mut self) {
        self.arrivals = Some(Arrivals::default());
    }

    /// When the last consumed byte arrived, at the latest. `None`: nothing was consumed, or it is not recorded.
    pub fn last_consumed_at(&mut self) -> Option<Instant> {
        let pending = self.pending().len();
        self.arrivals.as_mut()?.last_consumed_at(pending)
    }

    /// How long ago the last bytes were written; `None` if none were.
    pub fn since_last_write(&self) -> Option<Duration> {
        self.last_write.map(|at| at.elapsed())
    }

    /// A handle that wakes a coroutine that waits in [`Conn::pause`].
    pub fn waker(&self) -> Waker {
        Waker(self.io.waker())
    }

    /// Waits until the socket's readiness has changed, the waker is called, or `until`. It may return early
    /// without a cause.
    pub fn pause(&mut self, until: Option<Instant>) {
        // The caller checks the time itself, so a timeout is no error here.
        let _ = self.wait(until);
    }

    /// Waits until the socket may be ready, or `until`. Fails with [`NetError::TimedOut`] if that time has
    /// passed.
    fn wait(&mut self, until: Option<Instant>) -> Result<(), NetError> {
        if until.is_some_and(|until| Instant::now() >= until) {
            return Err(NetError::TimedOut);
        }
        if may::coroutine::is_coroutine() {
            self.wait_limit.set(until);
            let readiness = self.io.wait_io();
            self.budget.refill_after_wait(readiness);
        } else {
            // Only tests and the control code of a rehearsal wait in threads.
            std::thread::sleep(THREAD_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Reads once from the socket, at the end of the buffer, without waiting for bytes. `None`: the socket is
    /// empty. Fails with [`NetError::TimedOut`] if `deadline` has passed and the peer keeps the socket full;
    /// otherwise bytes that have arrived count however late they are read.
    fn read_available(&mut self, deadline: Option<Instant>) -> Result<Option<usize>, NetError> {
        self.budget.spend();
        if self.reads_since_empty >= READS_OF_A_FULL_SOCKET
            && deadline.is_some_and(|deadline| Instant::now() >= deadline)
        {
            return Err(NetError::TimedOut);
        }
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        let old = self.buffer.len();
        self.buffer.resize(old + READ_SIZE, 0);
        let read = loop {
            match self.io.inner().read(&mut self.buffer[old..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        self.buffer.truncate(old + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(n) => {
                self.reads_since_empty = self.reads_since_empty.saturating_add(1);
                if let Some(arrivals) = &mut self.arrivals {
                    arrivals.record(n, Instant::now());
                }
                Ok(Some(n))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.reads_since_empty = 0;
                Ok(None)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// The bytes that were received and not consumed yet.
    pub fn pending(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks `n` of the pending bytes as consumed, or all where there are fewer.
    pub fn consume(&mut self, n: usize) {
        self.consumed = self.consumed.saturating_add(n).min(self.buffer.len());
    }

    /// Releases buffer memory that a large message needed.
    pub fn shrink(&mut self) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.shrink_to(0);
    }

    /// Reads from the socket what is available without waiting for bytes; `false` if nothing is. The coroutine
    /// may give way to others first. Fails with [`NetError::TimedOut`] if `deadline` has passed and the peer
    /// keeps the socket full, so that a loop that reads until the socket is empty ends.
    pub fn try_fill(&mut self, deadline: Option<Instant>) -> Result<bool, NetError> {
        match self.read_available(deadline)? {
            Some(0) => Err(NetError::Closed),
            Some(_) => Ok(true),
            None => Ok(false),
        }
    }

    /// The head of the next response, if all of it has been received. Interim responses (1xx) are skipped.
    pub fn try_response(&mut self) -> Result<Option<http::Response>, NetError> {
        while let Some((head, n)) = http::parse_response(self.pending(), self.limits)? {
            self.consumed += n;
            if head.status >= 200 {
                return Ok(Some(head));
            }
        }
        Ok(None)
    }

    /// Whether bytes were received and not consumed yet.
    pub fn has_pending(&self) -> bool {
        !self.pending().is_empty()
    }

    /// Takes the bytes that were received and not consumed yet.
    pub fn take_pending(&mut self) -> Vec<u8> {
        let bytes = self.buffer.split_off(self.consumed);
        self.buffer.clear();
        self.consumed = 0;
        bytes
    }

    /// Whether an idle connection can carry a request: it is open and has received no unrequested bytes.
    pub fn is_idle(&self) -> bool {
        let peeked = self.io.inner().peek();
        !self.has_pending() && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Shuts down the sending side. The peer can still receive all that was written.
    pub fn shutdown_write(&self) {
        // An error means that the peer has closed it already.
        let _ = self.io.inner().shutdown_write();
    }

    /// Whether the peer has closed the connection and the socket holds no more unreceived bytes. Pending
    /// bytes in the buffer are not considered.
    pub fn is_closed(&self) -> bool {
        match self.io.inner().peek() {
            Ok(n) => n == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Closes the connection gracefully: shuts down the sending side, then discards what the peer still sends
    /// until it closes too, for at most `timeout` and about `max_bytes` bytes. Closing a socket with
    /// unreceived bytes resets the connection, and the reset destroys what the peer has not received yet (RFC
    /// 9112, 9.6). No request is lost, since the discarded bytes are not answered any more.
    pub fn close_gracefully(mut self, timeout: Duration, max_bytes: usize) {
        self.shutdown_write();
        let (until, mut discarded) = (Instant::now() + timeout, 0);
        while discarded < max_bytes {
            discarded += self.pending().len();
            self.consume(usize::MAX);
            match self.try_fill(Some(until)) {
                Ok(true) => {}
                Ok(false) if Instant::now() < until => self.pause(Some(until)),
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Reads more bytes from the socket, and waits for them within the time limits.
    pub fn fill(&mut self) -> Result<(), NetError> {
        let timeout = self.read_timeout.map(|time| Instant::now() + time);
        let until = [self.deadline, timeout].into_iter().flatten().min();
        while !self.try_fill(until)? {
            self.wait(until)?;
        }
        Ok(())
    }

    /// Writes all bytes to the socket.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), NetError> {
        self.write_while(bytes, || true).map(|_| ())
    }

    /// Writes all bytes as long as `is_wanted` holds. It is called whenever the peer accepts no more bytes
    /// for now, and again when the waker is called. `false`: the write was abandoned before the last byte.
    pub fn write_while(&mut self, bytes: &[u8], is_wanted: impl Fn() -> bool) -> Result<bool, NetError> {
        let mut rest = bytes;
        // The timeout bounds the time without progress: it starts again with each piece that the peer
        // accepts.
        let mut until = None;
        while !rest.is_empty() {
            self.budget.spend();
            match self.io.inner().write(rest) {
                Ok(0) => return Err(NetError::Closed),
                Ok(n) => {
                    rest = &rest[n..];
                    until = None;
                    self.last_write = Some(Instant::now());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if !is_wanted() {
                        return Ok(false);
                    }
                    let timeout = self.write_timeout.map(|time| Instant::now() + time);
                    until = until.or(timeout);
                    self.wait(until)?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(true)
    }

    /// Receives the head of the next request. Fails with [`NetError::Closed`] if the peer closed the
    /// connection.
    pub fn receive_request(&mut self) -> Result<http::Request, NetError> {
        loop {
            if let Some((head, n)) = http::parse_request(self.pending(), self.limits)? {
                self.consumed += n;
                return Ok(head);
            }
            self.fill()?;
        }
    }

    /// Receives the head of the next response. Interim responses (1xx) are skipped.
    pub fn receive_response(&mut self) -> Result<http::Response, NetError> {
        loop {
            let head = self.any_response()?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    /// Waits for the response to the head of a request with `Expect: 100-continue` (RFC 9110, 10.1.1).
    /// `None`: the peer accepts the body. Otherwise its final response.
    pub fn receive_continue(&mut self) -> Result<Option<http::Response>, NetError> {
        loop {
            match self.any_response()? {
                head if head.status == 100 => return Ok(None),
                head if head.status >= 200 => return Ok(Some(head)),
                _ => {}
            }
        }
    }

    /// Receives the head of the next response, be it interim or final.
    fn any_response(&mut self) -> Result<http::Response, NetError> {
        loop {
            match http::parse_response(self.pending(), self.limits)? {
                Some((head, n)) => {
                    self.consumed += n;
                    return Ok(head);
                }
                None => self.fill()?,
            }
        }
    }

    /// Writes `100 Continue` if the request asks for it and no byte of its body has been received.
    pub fn send_continue(&mut self, head: &http::Request) -> Result<(), NetError> {
        let expects_continue =
            head.headers.get("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if expects_continue && !self.has_pending() {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        Ok(())
    }

    /// Receives the next piece of a body and appends it to `out`; `false` when the body has ended.
    pub fn receive_body_piece(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut Vec<u8>,
    ) -> Result<bool, NetError> {
        loop {
            if body.is_done() {
                return Ok(false);
            }
            if self.has_pending() {
                let before = out.len();
                let n = body.push(&self.buffer[self.consumed..], out)?;
                self.consumed += n;
                if out.len() > before {
                    return Ok(true);
                }
                if body.is_done() {
                    return Ok(false);
                }
            }
            match self.fill() {
                Err(NetError::Closed) if ends_with_connection(body) => return Ok(false),
                other => other?,
            }
        }
    }

    /// Receives a whole body within the size limit.
    pub fn receive_body(&mut self, framing: Framing) -> Result<Vec<u8>, NetError> {
        if let Framing::Length(n) = framing
            && n > self.limits.body_bytes as u64
        {
            return Err(HttpError::BodyTooLarge(self.limits.body_bytes).into());
        }
        let (mut body, mut out) = (BodyDecoder::new(framing), Vec::new());
        while self.receive_body_piece(&mut body, &mut out)? {
            if out.len() > self.limits.body_bytes {
                return Err(HttpError::BodyTooLarge(self.limits.body_bytes).into());
            }
        }
        Ok(out)
    }
}

fn ends_with_connection(body: &BodyDecoder) -> bool {
    body.framing() == Framing::UntilClose
}
