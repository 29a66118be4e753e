//! Idle connections to engines and tool servers, kept for the next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use elderstage_net::{Answer, Conn, Endpoint, NetError, open, receive, send};

/// Idle connections kept for one address.
const MOST_IDLE: usize = 256;
/// An idle connection is not used after this time: servers close theirs after a minute or so.
const IDLE: Duration = Duration::from_secs(20);

pub(crate) struct Pool(Mutex<HashMap<SocketAddr, Vec<(Conn, Instant)>>>);

impl Pool {
    pub fn new() -> Pool {
        Pool(Mutex::default())
    }

    /// An idle connection that is still good. The latest used comes first, so that the others grow old and go.
    pub fn take(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        while let Some((conn, since)) = list.pop() {
            if since.elapsed() < IDLE && conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    pub fn put(&self, addr: SocketAddr, mut conn: Conn) {
        conn.set_deadline(None);
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        list.retain(|(_, since)| since.elapsed() < IDLE);
        if list.len() < MOST_IDLE {
            list.push((conn, Instant::now()));
        }
    }

    /// One request that may be repeated, answered whole within `time`.
    pub fn exchange(
        &self,
        method: &str,
        to: &Endpoint,
        headers: &[(&str, &str)],
        body: &[u8],
        time: Duration,
    ) -> Result<Answer, NetError> {
        let end = Instant::now() + time;
        let mut conn = match self.take(to.addr) {
            Some(conn) => conn,
            None => open(to.addr, time)?,
        };
        conn.set_write_timeout(Some(time));
        conn.set_deadline(Some(end));
        send(&mut conn, method, to, headers, body)?;
        let answer = receive(&mut conn)?;
        if answer.head.keep_alive {
            self.put(to.addr, conn);
        }
        Ok(answer)
    }
}
