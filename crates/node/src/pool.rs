//! Connections to engines: a bound on all of them, and those that are idle.
//!
//! An engine closes an idle connection after its own limit at the latest, and a request that crosses this close may
//! have run: ours are given up well before.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use elderstage_net::{Conn, NetError, Place, open};
use elderstage_platform::kept::Kept;

/// Share of the engines' idle limit after which a connection is not used again.
const IDLE_SHARE: u32 = 2;
/// A connection rests for so long before it is used again: a spoilt engine's second answer may come some milliseconds
/// after the first, and on a connection that carries the next request already it would pass for that one's answer.
const REST: Duration = Duration::from_millis(30);
/// Idle limit where the settings tell none.
const IDLE: Duration = Duration::from_secs(5);

struct Idle {
    conn: Conn,
    since: Instant,
}

/// All connections to engines.
pub struct Pool {
    most: usize,
    open: AtomicUsize,
    /// Connections made since the start.
    opened: AtomicUsize,
    idle_for: Duration,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    kept: Mutex<Kept>,
}

/// One connection in use; gives its place back when dropped.
pub struct Link {
    of: Arc<Pool>,
    at: SocketAddr,
    /// Taken out only when it goes back.
    conn: Option<Conn>,
    /// How long it had been idle; `None` for a new one.
    pub idle: Option<Duration>,
}

impl Drop for Link {
    fn drop(&mut self) {
        // Closed before its place is given to another.
        if self.conn.take().is_some() {
            self.of.open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Link {
    pub fn conn(&mut self) -> &mut Conn {
        // It is taken only by `keep` and by the drop, which both consume the link.
        self.conn.as_mut().expect("a link in use has its connection")
    }

    /// What came of the request on it: `broke` before a byte of an answer had come.
    pub fn told(&self, broke: bool) {
        if self.idle.is_some() {
            self.of.kept().told(broke);
        }
    }

    /// Keeps it for the next request. One on which something unasked has come is closed.
    pub fn keep(mut self) {
        let Some(mut conn) = self.conn.take() else { return };
        if !conn.is_idle() {
            drop(conn);
            self.of.open.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        conn.shrink();
        let trusted = self.of.kept().is_trusted();
        let mut all = self.of.idle();
        let of = all.entry(self.at).or_default();
        // While kept ones are not trusted, one an engine is enough to try them with.
        if trusted || of.is_empty() {
            of.push(Idle { conn, since: Instant::now() });
            return;
        }
        drop(all);
        drop(conn);
        self.of.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Pool {
    pub fn new(most: usize, engines_close: Option<Duration>) -> Arc<Pool> {
        let idle_for = engines_close.map_or(IDLE, |time| time / IDLE_SHARE);
        Arc::new(Pool {
            most,
            open: AtomicUsize::new(0),
            opened: AtomicUsize::new(0),
            idle_for,
            idle: Mutex::default(),
            kept: Mutex::default(),
        })
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Open connections, and how many of them are idle.
    pub fn counts(&self) -> (usize, usize) {
        (self.open.load(Ordering::SeqCst), self.idle().values().map(Vec::len).sum())
    }

    /// Connections made since the start, or begun to be made.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// The connection used last that is still good, or a new one made within `time`. `harmless`: what goes on it may
    /// be repeated, whatever comes of it.
    pub fn take(self: &Arc<Pool>, at: SocketAddr, time: Duration, harmless: bool) -> Result<Link, NetError> {
        while self.kept().may_use(harmless) {
            let idle = {
                let mut all = self.idle();
                let of = all.get_mut(&at).and_then(|of| {
                    let rested = of.iter().rposition(|idle| idle.since.elapsed() >= REST)?;
                    Some(of.remove(rested))
                });
                if all.get(&at).is_some_and(Vec::is_empty) {
                    all.remove(&at);
                }
                of
            };
            let Some(idle) = idle else { break };
            if idle.since.elapsed() < self.idle_for && idle.conn.is_idle() {
                return Ok(Link {
                    of: self.clone(),
                    at,
                    conn: Some(idle.conn),
                    idle: Some(idle.since.elapsed()),
                });
            }
            drop(idle);
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
        self.make_room();
        let fits = |open: usize| (open < self.most).then_some(open + 1);
        if self.open.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits).is_err() {
            return Err(NetError::TimedOut);
        }
        self.opened.fetch_add(1, Ordering::Relaxed);
        match open(Place::Tcp(at), time) {
            Ok(conn) => Ok(Link { of: self.clone(), at, conn: Some(conn), idle: None }),
            Err(error) => {
                self.open.fetch_sub(1, Ordering::SeqCst);
                Err(error)
            }
        }
    }

    /// Closes the connection that has been idle longest, where all places are taken.
    fn make_room(&self) {
        if self.open.load(Ordering::SeqCst) < self.most {
            return;
        }
        let mut all = self.idle();
        let oldest = all.iter().filter_map(|(at, of)| Some((of.first()?.since, *at))).min();
        let gone = oldest.and_then(|(_, at)| all.get_mut(&at).map(|of| of.remove(0)));
        drop(all);
        if gone.is_some() {
            drop(gone);
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Closes what has been idle for too long.
    pub fn reap(&self) {
        let mut old = Vec::new();
        let mut all = self.idle();
        for of in all.values_mut() {
            let fresh = of.iter().position(|idle| idle.since.elapsed() < self.idle_for).unwrap_or(of.len());
            old.extend(of.drain(..fresh));
        }
        all.retain(|_, of| !of.is_empty());
        drop(all);
        let n = old.len();
        drop(old);
        self.open.fetch_sub(n, Ordering::SeqCst);
    }
}
