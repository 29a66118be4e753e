//! The sockets of the watch on discovery: opened, read, and opened anew when `elderstage_platform::watch` says so or
//! discovery moves to another address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderstage_net::owner::Clock;
use elderstage_net::{NetError, Place, open, sleep};
use elderstage_platform::hub::Input;
use elderstage_platform::values::MOST;
use elderstage_platform::watch::Watch;
use elderstage_protocol::http::{Body, Framing, Limits};

use crate::Shared;
use crate::event_loop::Event;
use crate::hold_at;

/// Wait for a connection: it is on the same machine.
const CONNECT: Duration = Duration::from_millis(300);
/// Pause between two comparison for another address.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const LIMITS: Limits = Limits { head: 16 << 10, body: MOST };

/// Watches until the process ends.
pub fn watch(shared: &Arc<Shared>, clock: Clock, seq: u64) {
    let mut watch = Watch::new(seq);
    loop {
        let (at, generation) = shared.discovery();
        match session(shared, clock, at, generation, &mut watch) {
            Ok(()) => tracing::info!(target: "node", %at, "discovery has another address"),
            Err(error) => tracing::warn!(target: "node", %at, %error, "watch on discovery ended"),
        }
        let now = clock.now();
        sleep(Duration::from_micros(watch.retry_at(now) - now));
    }
}

/// What the wall clock is ahead of the node's clock, in microseconds: nothing, until it is stepped.
fn wall_ahead(clock: Clock) -> i64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let wall = i64::try_from(wall.as_micros()).unwrap_or(i64::MAX);
    wall.saturating_sub_unsigned(clock.now())
}

fn other(error: impl std::fmt::Display) -> NetError {
    NetError::Io(std::io::Error::other(error.to_string()))
}

/// One watch; ends well where discovery has moved.
fn session(
    shared: &Arc<Shared>,
    clock: Clock,
    at: SocketAddr,
    generation: u64,
    watch: &mut Watch,
) -> Result<(), NetError> {
    let index = watch.begin(clock.now());
    let mut conn = open(Place::Tcp(at), CONNECT)?;
    conn.limits = LIMITS;
    conn.set_write_timeout(Some(CONNECT));
    let text = format!("GET /api/targets?stream=1&index={index} HTTP/1.1\r\nHost: {at}\r\n\r\n");
    conn.write(text.as_bytes())?;
    let (mut body, mut held) = (None, Vec::new());
    loop {
        if shared.discovery().1 != generation {
            return Ok(());
        }
        match &mut body {
            None => {
                if let Some(head) = conn.response_now()? {
                    if head.status != 200 {
                        return Err(other(format_args!("status {}", head.status)));
                    }
                    watch.answered(clock.now());
                    body = Some(Body::new(head.framing));
                    continue;
                }
            }
            Some(body) => {
                let n = body.push(conn.pending(), &mut held)?;
                conn.used(n);
                for list in watch.take(clock.now(), &held, &shared.names).map_err(other)? {
                    let (seq, whole, hosts) = (list.seq, list.whole, list.hosts.len());
                    tracing::debug!(target: "discovery", seq, whole, hosts);
                    shared.submit(Event::Hub(Input::WallClock { ahead: wall_ahead(clock) }));
                    shared.submit(Event::Hub(Input::Listed { list, restored: false }));
                    shared.listed.store(true, Ordering::SeqCst);
                    hold_at!("listed-{seq}");
                }
                held.clear();
                if body.done() && body.framing() != Framing::UntilClose {
                    return Err(NetError::Closed);
                }
            }
        }
        if !conn.fill_now()? {
            let left = Duration::from_micros(watch.deadline().saturating_sub(clock.now()));
            if left.is_zero() {
                return Err(NetError::TimedOut);
            }
            conn.pause(Some(Instant::now() + left.min(POLL_INTERVAL)));
        }
    }
}
