//! The connection to discovery over which the node watches the server list.
//!
//! It is opened again when it fails, and when discovery moves to another address. The protocol of the watch,
//! its deadlines and its retry times belong to `elderstage_platform::watch`. This module does the socket I/O.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderstage_net::owner::Clock;
use elderstage_net::{Conn, Endpoint, NetError, connect, sleep};
use elderstage_platform::hub::Input;
use elderstage_platform::list::List;
use elderstage_platform::values::MAX_OBJECT_BYTES;
use elderstage_platform::watch::{Watch, WatchError};
use elderstage_protocol::http::{BodyDecoder, Framing, Limits, Response};

use crate::Shared;
use crate::event_loop::Event;
use crate::hold_at;

/// Time limit for connecting and for writing the request. Discovery runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Poll interval for a change of discovery's address.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Poll interval for an answer on the connection that was kept.
const UNANSWERED_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum sizes of the head of discovery's response and of a server list, in bytes.
const LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: MAX_OBJECT_BYTES };

/// Watches discovery until the process ends.
pub fn run_watch(shared: &Arc<Shared>, clock: Clock, seq: u64) {
    let (at, generation) = shared.discovery();
    let mut watcher =
        Watcher { shared: shared.clone(), clock, at, generation, watch: Watch::new(seq), unanswered: None };
    loop {
        match watcher.run_session() {
            Ok(()) => tracing::info!(target: "node", at = %watcher.at, "discovery has another address"),
            Err(error) => {
                tracing::warn!(target: "node", at = %watcher.at, %error, "watch on discovery ended");
            }
        }
        let now = clock.now();
        sleep(Duration::from_micros(watcher.watch.retry_at(now) - now));
    }
}

/// How far the wall clock is ahead of the node's clock, in microseconds. It is about zero until the wall
/// clock is stepped.
fn wall_clock_offset_us(clock: Clock) -> i64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let wall = i64::try_from(wall.as_micros()).unwrap_or(i64::MAX);
    wall.saturating_sub_unsigned(clock.now())
}

fn io_error(error: impl std::fmt::Display) -> NetError {
    NetError::Io(std::io::Error::other(error.to_string()))
}

/// Watches over one connection at a time. One whose head is late may be kept beside it.
struct Watcher {
    shared: Arc<Shared>,
    clock: Clock,
    /// Discovery's address, and how often it had changed by then.
    at: SocketAddr,
    generation: u64,
    watch: Watch,
    /// The connection that is kept while its head is late.
    unanswered: Option<Conn>,
}

impl Watcher {
    /// Watches until the watch is broken. Returns `Ok` when discovery's address has changed.
    fn run_session(&mut self) -> Result<(), NetError> {
        let (at, generation) = self.shared.discovery();
        if generation != self.generation {
            (self.at, self.generation) = (at, generation);
            self.forget_unanswered();
        }
        let conn = self.open()?;
        let Some((mut conn, head)) = self.receive_head(conn)? else { return Ok(()) };
        self.watch.record_head(self.clock.now());
        self.unanswered = None;
        if head.status != 200 {
            return Err(io_error(format_args!(
                "discovery answered with status {}, expected 200",
                head.status
            )));
        }
        self.receive_lists(&mut conn, BodyDecoder::new(head.framing))
    }

    fn has_moved(&self) -> bool {
        self.shared.discovery().1 != self.generation
    }

    fn forget_unanswered(&mut self) {
        self.unanswered = None;
        self.watch.forget_unanswered();
    }

    /// Opens a connection and sends the request for the watch.
    fn open(&mut self) -> Result<Conn, NetError> {
        let (at, index) = (self.at, self.watch.start(self.clock.now()));
        let mut conn = connect(Endpoint::Tcp(at), CONNECT_TIMEOUT)?;
        conn.limits = LIMITS;
        conn.set_write_timeout(Some(CONNECT_TIMEOUT));
        let request = format!("GET /api/targets?stream=1&index={index} HTTP/1.1\r\nHost: {at}\r\n\r\n");
        conn.write(request.as_bytes())?;
        Ok(conn)
    }

    /// Receives the head of an answer, on this connection or on the one that was kept. Returns the connection that has
    /// it; `None`: discovery's address has changed.
    fn receive_head(&mut self, mut conn: Conn) -> Result<Option<(Conn, Response)>, NetError> {
        loop {
            if self.has_moved() {
                return Ok(None);
            }
            if let Some(answered) = self.poll_unanswered() {
                return Ok(Some(answered));
            }
            if let Some(head) = conn.try_response()? {
                return Ok(Some((conn, head)));
            }
            let now = self.clock.now();
            let time_left = Duration::from_micros(self.watch.deadline().saturating_sub(now));
            if conn.try_fill(Some(Instant::now() + time_left))? {
                continue;
            }
            if time_left.is_zero() {
                if self.watch.keep_unanswered(now) {
                    self.unanswered = Some(conn);
                }
                return Err(NetError::TimedOut);
            }
            // The other connection does not wake this coroutine.
            let interval = if self.unanswered.is_some() { UNANSWERED_POLL_INTERVAL } else { POLL_INTERVAL };
            conn.pause(Some(Instant::now() + time_left.min(interval)));
        }
    }

    /// Looks for an answer on the connection that was kept.
    fn poll_unanswered(&mut self) -> Option<(Conn, Response)> {
        let conn = self.unanswered.as_mut()?;
        let answer = match conn.try_fill(None) {
            Ok(true) => conn.try_response(),
            Ok(false) => return None,
            Err(error) => Err(error),
        };
        match answer {
            Ok(Some(head)) => self.unanswered.take().map(|conn| (conn, head)),
            Ok(None) => None,
            Err(_) => {
                self.forget_unanswered();
                None
            }
        }
    }

    /// Receives lists until the watch is broken. Returns `Ok` when discovery's address has changed.
    fn receive_lists(&mut self, conn: &mut Conn, mut body: BodyDecoder) -> Result<(), NetError> {
        let mut received = Vec::new();
        loop {
            if self.has_moved() {
                return Ok(());
            }
            let n = body.push(conn.pending(), &mut received)?;
            conn.consume(n);
            self.submit_lists(&received)?;
            received.clear();
            if body.is_done() && body.framing() != Framing::UntilClose {
                return Err(NetError::Closed);
            }
            let time_left = Duration::from_micros(self.watch.deadline().saturating_sub(self.clock.now()));
            if !conn.try_fill(Some(Instant::now() + time_left))? {
                if time_left.is_zero() {
                    return Err(NetError::TimedOut);
                }
                conn.pause(Some(Instant::now() + time_left.min(POLL_INTERVAL)));
            }
        }
    }

    /// Parses bytes of the body and submits the lists that are complete.
    fn submit_lists(&mut self, bytes: &[u8]) -> Result<(), NetError> {
        match self.watch.push(self.clock.now(), bytes, &self.shared.names) {
            Ok(lists) => {
                for list in lists {
                    self.submit(list);
                    self.shared.has_server_list.store(true, Ordering::SeqCst);
                }
                Ok(())
            }
            Err(error) => {
                let message = io_error(&error);
                if let WatchError::OlderVersion { leaving, .. } = error {
                    self.submit(*leaving);
                }
                Err(message)
            }
        }
    }

    /// Submits a list to the event loop.
    fn submit(&self, list: List) {
        let (seq, whole, hosts) = (list.version, list.is_complete, list.hosts.len());
        tracing::debug!(target: "discovery", seq, whole, hosts);
        let ahead = wall_clock_offset_us(self.clock);
        self.shared.submit(Event::HubInput(Input::WallClock { ahead }));
        self.shared.submit(Event::HubInput(Input::ListReceived { list, restored: false }));
        hold_at!("listed-{seq}");
    }
}
