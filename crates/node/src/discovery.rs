//! The watch on discovery: the whole list first, then a watch that is taken up again whenever it ends, falls silent or
//! discovery moves to another address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use elderstage_net::{Conn, NetError, Place, open, sleep};
use elderstage_platform::hub::Input;
use elderstage_platform::list::Directory;
use elderstage_protocol::http::{Body, Framing, Limits};

use crate::Shared;
use crate::owner::In;

/// A watch that brings no line for so long is dead: an empty one is due every two seconds.
const SILENT: Duration = Duration::from_millis(5_000);
/// Wait for a connection: it is on the same machine.
const CONNECT: Duration = Duration::from_millis(500);
/// Pause before the next try, and between two looks for another address.
const AGAIN: Duration = Duration::from_millis(250);
/// Most bytes of a line: some 10,000 servers.
const MOST_LINE: usize = 4 << 20;
const LIMITS: Limits = Limits { head: 16 << 10, body: MOST_LINE };

/// Watches until the process ends.
pub fn watch(shared: &Arc<Shared>, mut seq: u64) {
    loop {
        let (at, generation) = shared.discovery();
        match session(shared, at, generation, &mut seq) {
            Ok(()) => tracing::info!(target: "node", %at, "discovery has another address"),
            Err(error) => {
                tracing::warn!(target: "node", %at, %error, "watch on discovery ended");
                sleep(AGAIN);
            }
        }
    }
}

/// One watch; ends well where discovery has moved.
fn session(shared: &Arc<Shared>, at: SocketAddr, generation: u64, seq: &mut u64) -> Result<(), NetError> {
    let mut conn = open(Place::Tcp(at), CONNECT)?;
    conn.limits = LIMITS;
    conn.set_write_timeout(Some(CONNECT));
    let text = format!("GET /api/targets?stream=1&index={seq} HTTP/1.1\r\nHost: {at}\r\n\r\n");
    conn.write(text.as_bytes())?;
    let (mut body, mut held) = (None, Vec::new());
    let mut until = Instant::now() + SILENT;
    loop {
        if shared.discovery().1 != generation {
            return Ok(());
        }
        match &mut body {
            None => {
                if let Some(head) = conn.response_now()? {
                    if head.status != 200 {
                        return Err(NetError::Io(std::io::Error::other(format!("status {}", head.status))));
                    }
                    body = Some(Body::new(head.framing));
                    continue;
                }
            }
            Some(body) => {
                let n = body.push(conn.pending(), &mut held)?;
                conn.used(n);
                if lines(shared, &mut held, seq)? {
                    until = Instant::now() + SILENT;
                }
                if body.done() && body.framing() != Framing::UntilClose {
                    return Err(NetError::Closed);
                }
                if held.len() > MOST_LINE {
                    return Err(NetError::Io(std::io::Error::other("a line that does not end")));
                }
            }
        }
        fill(&mut conn, until)?;
    }
}

/// Waits for more, a while, or the time at which the watch is dead.
fn fill(conn: &mut Conn, until: Instant) -> Result<(), NetError> {
    if conn.fill_now()? {
        return Ok(());
    }
    let now = Instant::now();
    if now >= until {
        return Err(NetError::TimedOut);
    }
    conn.pause(Some(until.min(now + AGAIN)));
    Ok(())
}

/// Takes whole lines. `true` where there was one, an empty one included. A list that can't be read ends the watch:
/// the next one begins with the whole list, so that nothing it told is lost.
fn lines(shared: &Arc<Shared>, held: &mut Vec<u8>, seq: &mut u64) -> Result<bool, NetError> {
    let mut at = 0;
    while let Some(end) = held[at..].iter().position(|b| *b == b'\n') {
        let line = held[at..at + end].trim_ascii();
        at += end + 1;
        if line.is_empty() {
            continue;
        }
        match Directory::parse(line, &shared.names) {
            Ok(list) => {
                *seq = list.seq;
                tracing::debug!(target: "discovery", seq, whole = list.whole, hosts = list.hosts.len());
                shared.tell(In::Hub(Input::Listed { list, restored: false }));
            }
            Err(error) => {
                *seq = 0;
                return Err(NetError::Io(std::io::Error::other(format!(
                    "a list that can't be read: {error}"
                ))));
            }
        }
    }
    held.drain(..at);
    Ok(at > 0)
}
