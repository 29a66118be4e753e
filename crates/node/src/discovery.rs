//! The connection to discovery over which the node watches the server list.
//!
//! It is opened again when it fails, and when discovery moves to another address. The protocol of the watch,
//! its deadlines and its retry times belong to `elderstage_platform::watch`. This module does the socket I/O.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderstage_net::owner::Clock;
use elderstage_net::{Endpoint, NetError, connect, sleep};
use elderstage_platform::hub::Input;
use elderstage_platform::list::List;
use elderstage_platform::values::MAX_OBJECT_BYTES;
use elderstage_platform::watch::{Watch, WatchError};
use elderstage_protocol::http::{BodyDecoder, Framing, Limits};

use crate::Shared;
use crate::event_loop::Event;
use crate::hold_at;

/// Time limit for connecting and for writing the request. Discovery runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Poll interval for a change of discovery's address.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum sizes of the head of discovery's response and of a server list, in bytes.
const LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: MAX_OBJECT_BYTES };

/// Watches discovery until the process ends.
pub fn run_watch(shared: &Arc<Shared>, clock: Clock, seq: u64) {
    let mut watch = Watch::new(seq);
    loop {
        let (at, generation) = shared.discovery();
        match watch_session(shared, clock, at, generation, &mut watch) {
            Ok(()) => tracing::info!(target: "node", %at, "discovery has another address"),
            Err(error) => tracing::warn!(target: "node", %at, %error, "watch on discovery ended"),
        }
        let now = clock.now();
        sleep(Duration::from_micros(watch.retry_at(now) - now));
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

/// Submits a list to the event loop.
fn submit_list(shared: &Shared, clock: Clock, list: List) {
    let (seq, whole, hosts) = (list.version, list.is_complete, list.hosts.len());
    tracing::debug!(target: "discovery", seq, whole, hosts);
    shared.submit(Event::HubInput(Input::WallClock { ahead: wall_clock_offset_us(clock) }));
    shared.submit(Event::HubInput(Input::ListReceived { list, restored: false }));
    hold_at!("listed-{seq}");
}

/// Watches over one connection. Returns `Ok` when discovery's address has changed.
fn watch_session(
    shared: &Arc<Shared>,
    clock: Clock,
    at: SocketAddr,
    generation: u64,
    watch: &mut Watch,
) -> Result<(), NetError> {
    let index = watch.start(clock.now());
    let mut conn = connect(Endpoint::Tcp(at), CONNECT_TIMEOUT)?;
    conn.limits = LIMITS;
    conn.set_write_timeout(Some(CONNECT_TIMEOUT));
    let request = format!("GET /api/targets?stream=1&index={index} HTTP/1.1\r\nHost: {at}\r\n\r\n");
    conn.write(request.as_bytes())?;
    let (mut body, mut received) = (None, Vec::new());
    loop {
        if shared.discovery().1 != generation {
            return Ok(());
        }
        match &mut body {
            None => {
                if let Some(head) = conn.try_response()? {
                    if head.status != 200 {
                        return Err(io_error(format_args!(
                            "discovery answered with status {}, expected 200",
                            head.status
                        )));
                    }
                    watch.record_head(clock.now());
                    body = Some(BodyDecoder::new(head.framing));
                    continue;
                }
            }
            Some(body) => {
                let n = body.push(conn.pending(), &mut received)?;
                conn.consume(n);
                let lists = watch.push(clock.now(), &received, &shared.names).map_err(|error| {
                    let message = io_error(&error);
                    if let WatchError::OlderVersion { leaving, .. } = error {
                        submit_list(shared, clock, *leaving);
                    }
                    message
                })?;
                for list in lists {
                    submit_list(shared, clock, list);
                    shared.has_server_list.store(true, Ordering::SeqCst);
                }
                received.clear();
                if body.is_done() && body.framing() != Framing::UntilClose {
                    return Err(NetError::Closed);
                }
            }
        }
        let time_left = Duration::from_micros(watch.deadline().saturating_sub(clock.now()));
        if !conn.try_fill(Some(Instant::now() + time_left))? {
            if time_left.is_zero() {
                return Err(NetError::TimedOut);
            }
            conn.pause(Some(Instant::now() + time_left.min(POLL_INTERVAL)));
        }
    }
}
