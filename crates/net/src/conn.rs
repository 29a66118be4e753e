//! One connection: buffered reading of HTTP messages, and writing, each with a time limit.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use elderstage_protocol::http::{self, Body, Framing, HttpError, Limits};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use thiserror::Error;

use crate::stream::Stream;
use crate::watch::Watch;

/// Bytes asked of the system in one read.
const READ: usize = 8 << 10;
/// Pause between two looks at a socket by a thread that is no coroutine.
const THREAD_WAIT: Duration = Duration::from_micros(300);

/// How reading or writing failed.
#[derive(Debug, Error)]
pub enum NetError {
    #[error("the peer closed the connection")]
    Closed,
    #[error("no answer in time")]
    TimedOut,
    #[error("connection: {0}")]
    Io(io::Error),
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

/// A handle on a connection that another coroutine or thread uses: shutting it ends its reads and writes.
#[derive(Clone)]
pub struct Socket(Arc<Stream>);

impl Socket {
    /// Ends all reading and writing on it, now and later.
    pub fn shut(&self) {
        // An error means that the peer has closed it already.
        let _ = self.0.shut();
    }
}

/// Wakes a coroutine that waits in [`Conn::pause`], from any thread; it looks itself at what it was woken for. One
/// that does not wait yet does not wait the next time.
pub struct Waker(WaitIoWaker);

impl Waker {
    pub fn wake(&self) {
        self.0.wakeup();
    }
}

/// A connection with what has been read and not used yet.
pub struct Conn {
    io: CoIo<Arc<Stream>>,
    buffer: Vec<u8>,
    at: usize,
    deadline: Option<Instant>,
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
    /// When the peer last took bytes.
    wrote: Option<Instant>,
    watch: Arc<Watch>,
    pub limits: Limits,
    /// Closes the descriptor after `io` has stopped watching it (fields are dropped in this order). Guards against
    /// lost wake-ups: were it closed first, its number could be another connection's by the time it is taken off
    /// the watch, and that other connection would never hear of its data.
    _last: Arc<Stream>,
}

impl Conn {
    /// Takes a connection over. Fails where the system has no room to watch it.
    pub fn new(stream: impl Into<Stream>) -> Result<Conn, NetError> {
        let stream = stream.into();
        stream.set_nodelay()?;
        let stream = Arc::new(stream);
        let io = CoIo::new(stream.clone()).map_err(|error| NetError::Io(error.into()))?;
        Ok(Conn {
            watch: Watch::new(io.waker()),
            io,
            buffer: Vec::new(),
            at: 0,
            deadline: None,
            read_timeout: None,
            write_timeout: None,
            wrote: None,
            limits: Limits::default(),
            _last: stream,
        })
    }

    pub fn socket(&self) -> Socket {
        Socket(self.io.inner().clone())
    }

    /// Waits for a connection that is being made.
    pub(crate) fn connected(&self, until: Instant) -> Result<(), NetError> {
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

    /// A second handle for writing from another coroutine; takes a descriptor of its own.
    pub fn writer(&self) -> Result<Conn, NetError> {
        let mut conn = Conn::new(self.io.inner().try_clone()?)?;
        conn.limits = self.limits;
        Ok(conn)
    }

    /// All reading ends by then, however many reads it takes; each read alone is bounded by the read timeout.
    pub fn set_deadline(&mut self, at: Option<Instant>) {
        self.deadline = at;
    }

    pub fn set_read_timeout(&mut self, time: Option<Duration>) {
        self.read_timeout = time;
    }

    pub fn set_write_timeout(&mut self, time: Option<Duration>) {
        self.write_timeout = time;
    }

    /// How long ago the last bytes were written; `None` where nothing was.
    pub fn since_last_write(&self) -> Option<Duration> {
        self.wrote.map(|at| at.elapsed())
    }

    pub fn waker(&self) -> Waker {
        Waker(self.io.waker())
    }

    /// Waits until something has changed on the socket, its waker is called, or `until`; returns early at times.
    pub fn pause(&self, until: Option<Instant>) {
        // The time is the caller's to look at.
        let _ = self.wait(until);
    }

    /// Waits until something can be done with the socket, or `until`.
    fn wait(&self, until: Option<Instant>) -> Result<(), NetError> {
        if until.is_some_and(|until| Instant::now() >= until) {
            return Err(NetError::TimedOut);
        }
        if may::coroutine::is_coroutine() {
            self.watch.set(until);
            self.io.wait_io();
        } else {
            // Threads wait in tests and at the edges of a rehearsal only.
            std::thread::sleep(THREAD_WAIT);
        }
        Ok(())
    }

    fn read(&mut self, into: usize) -> Result<usize, NetError> {
        let timeout = self.read_timeout.map(|time| Instant::now() + time);
        let until = [self.deadline, timeout].into_iter().flatten().min();
        loop {
            match self.io.inner().read(&mut self.buffer[into..]) {
                Ok(n) => return Ok(n),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.wait(until)?,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// What has come and was not used yet.
    pub fn pending(&self) -> &[u8] {
        &self.buffer[self.at..]
    }

    /// So many bytes of what has come were used.
    pub fn used(&mut self, n: usize) {
        self.at = self.at.saturating_add(n).min(self.buffer.len());
    }

    /// Gives memory back that a large message needed.
    pub fn shrink(&mut self) {
        if self.at > 0 {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        self.buffer.shrink_to(0);
    }

    /// Takes what has come without waiting; `false` where nothing has.
    pub fn fill_now(&mut self) -> Result<bool, NetError> {
        if self.at > 0 {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        let old = self.buffer.len();
        self.buffer.resize(old + READ, 0);
        let read = self.io.inner().read(&mut self.buffer[old..]);
        self.buffer.truncate(old + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) => Err(NetError::Closed),
            Ok(_) => Ok(true),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Ok(false)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// The next response's head if it has come whole; interim responses (1xx) are passed over.
    pub fn response_now(&mut self) -> Result<Option<http::Response>, NetError> {
        while let Some((head, n)) = http::parse_response(self.pending(), self.limits)? {
            self.at += n;
            if head.status >= 200 {
                return Ok(Some(head));
            }
        }
        Ok(None)
    }

    /// Bytes that have come and were not used yet.
    pub fn has_pending(&self) -> bool {
        !self.pending().is_empty()
    }

    /// Takes what has come and was not used yet.
    pub fn take_pending(&mut self) -> Vec<u8> {
        let bytes = self.buffer.split_off(self.at);
        self.buffer.clear();
        self.at = 0;
        bytes
    }

    /// Whether an idle connection is still good for a request: open, and nothing unasked has come on it.
    pub fn is_idle(&self) -> bool {
        let peeked = self.io.inner().peek();
        !self.has_pending() && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends writing: the peer reads to the end of what was written.
    pub fn end(&self) {
        // An error means that the peer has closed it already.
        let _ = self.io.inner().end();
    }

    /// Whether the peer has closed it, with what it sent before, read or not, left aside.
    pub fn is_closed(&self) -> bool {
        match self.io.inner().peek() {
            Ok(n) => n == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Closes in good order: ends writing, then drops what the peer still sends until it ends too, for so long and so
    /// many bytes at most. A close over unread bytes resets the connection, and the reset takes with it what the peer
    /// has not read yet (RFC 9112, 9.6). What is read here was sent after our end and is nobody's request.
    pub fn finish(mut self, time: Duration, most: usize) {
        self.end();
        let (until, mut dropped) = (Instant::now() + time, 0);
        while dropped < most {
            dropped += self.pending().len();
            self.used(usize::MAX);
            match self.fill_now() {
                Ok(true) => {}
                Ok(false) if Instant::now() < until => self.pause(Some(until)),
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Reads more from the peer.
    pub fn fill(&mut self) -> Result<(), NetError> {
        if self.at > 0 {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        let old = self.buffer.len();
        self.buffer.resize(old + READ, 0);
        let read = self.read(old);
        self.buffer.truncate(old + *read.as_ref().unwrap_or(&0));
        if read? == 0 {
            return Err(NetError::Closed);
        }
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<(), NetError> {
        self.write_while(bytes, || true).map(|_| ())
    }

    /// Writes while `wanted` holds, which is asked whenever the peer takes nothing more for now; its waker makes it look
    /// again. `false`: given up before the last byte.
    pub fn write_while(&mut self, bytes: &[u8], wanted: impl Fn() -> bool) -> Result<bool, NetError> {
        let mut rest = bytes;
        // The limit is on standing still: each piece that the peer takes begins it anew.
        let mut until = None;
        while !rest.is_empty() {
            match self.io.inner().write(rest) {
                Ok(0) => return Err(NetError::Closed),
                Ok(n) => {
                    rest = &rest[n..];
                    until = None;
                    self.wrote = Some(Instant::now());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if !wanted() {
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

    /// The next request's head. `Closed` where the peer ended in good order before a first byte.
    pub fn request(&mut self) -> Result<http::Request, NetError> {
        loop {
            if let Some((head, n)) = http::parse_request(self.pending(), self.limits)? {
                self.at += n;
                return Ok(head);
            }
            self.fill()?;
        }
    }

    /// The next response's head; interim responses (1xx) are passed over.
    pub fn response(&mut self) -> Result<http::Response, NetError> {
        loop {
            let head = self.any_response()?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    /// Waits for the word on a request whose head asked for it (RFC 9110, 10.1.1): `None` when the peer takes the
    /// body, or else its final answer.
    pub fn go_on(&mut self) -> Result<Option<http::Response>, NetError> {
        loop {
            match self.any_response()? {
                head if head.status == 100 => return Ok(None),
                head if head.status >= 200 => return Ok(Some(head)),
                _ => {}
            }
        }
    }

    fn any_response(&mut self) -> Result<http::Response, NetError> {
        loop {
            match http::parse_response(self.pending(), self.limits)? {
                Some((head, n)) => {
                    self.at += n;
                    return Ok(head);
                }
                None => self.fill()?,
            }
        }
    }

    /// Tells a peer that waits for it to send its body; nothing where the body is on its way.
    pub fn take_body(&mut self, head: &http::Request) -> Result<(), NetError> {
        let waits =
            head.headers.get("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if waits && !self.has_pending() {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        Ok(())
    }

    /// The next piece of a body, appended to `out`; `false` when the body has ended.
    pub fn body_piece(&mut self, body: &mut Body, out: &mut Vec<u8>) -> Result<bool, NetError> {
        loop {
            if body.done() {
                return Ok(false);
            }
            if self.has_pending() {
                let before = out.len();
                let n = body.push(&self.buffer[self.at..], out)?;
                self.at += n;
                if out.len() > before {
                    return Ok(true);
                }
                if body.done() {
                    return Ok(false);
                }
            }
            match self.fill() {
                Err(NetError::Closed) if body_runs_to_close(body) => return Ok(false),
                other => other?,
            }
        }
    }

    /// A whole body, within the limit.
    pub fn body(&mut self, framing: Framing) -> Result<Vec<u8>, NetError> {
        if let Framing::Length(n) = framing
            && n > self.limits.body as u64
        {
            return Err(HttpError::BodyTooLarge(self.limits.body).into());
        }
        let (mut body, mut out) = (Body::new(framing), Vec::new());
        while self.body_piece(&mut body, &mut out)? {
            if out.len() > self.limits.body {
                return Err(HttpError::BodyTooLarge(self.limits.body).into());
            }
        }
        Ok(out)
    }
}

fn body_runs_to_close(body: &Body) -> bool {
    body.framing() == Framing::UntilClose
}
