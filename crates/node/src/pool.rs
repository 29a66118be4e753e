//! The pool of connections to engines. It bounds their number and keeps idle ones for reuse.
//!
//! It knows nothing of requests. An engine closes an idle connection after its own time limit at the latest.
//! A request that is sent while the engine closes may have run, so the pool stops using idle connections well
//! before that limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use elderstage_net::{Conn, Endpoint, NetError, connect};
use elderstage_platform::kept::ReuseMonitor;

/// A connection is not reused after the engines' idle limit divided by this.
const IDLE_LIMIT_DIVISOR: u32 = 2;
/// Minimum idle time before a connection is reused. A faulty engine may send a second response some
/// milliseconds after the first. On a connection that already carries the next request it would be taken for
/// the response to that request.
const REUSE_DELAY: Duration = Duration::from_millis(30);
/// Maximum idle time of a connection where the settings have no idle limit of the engines.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(5);

/// A connection that waits for reuse.
struct IdleConnection {
    conn: Conn,
    since: Instant,
}

/// All connections to engines. `max_open` bounds them, in use and idle together.
pub struct Pool {
    max_open: usize,
    /// Open connections, in use or idle.
    open: AtomicUsize,
    /// Connections opened since the start, including those that could not be made.
    opened: AtomicUsize,
    /// A connection that has been idle for longer is closed.
    max_idle: Duration,
    /// Idle connections by engine, the one idle longest first.
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Whether idle connections can be trusted, learned from the outcomes of reused ones.
    reuse_trust: Mutex<ReuseMonitor>,
}

/// One connection in use. Dropping it closes the connection and frees its place in the pool.
pub struct PooledConnection {
    pool: Arc<Pool>,
    address: SocketAddr,
    /// `None` only while the connection is returned or dropped.
    conn: Option<Conn>,
    /// How long the connection had been idle; `None` for a new one.
    pub idle_time: Option<Duration>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // The connection is closed before its place is free for another.
        if self.conn.take().is_some() {
            self.pool.open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl PooledConnection {
    /// The connection itself.
    pub fn conn(&mut self) -> &mut Conn {
        // Only `return_to_pool` and `drop` take it, and both consume the pooled connection.
        self.conn.as_mut().expect("a pooled connection in use holds its connection")
    }

    /// Records the outcome of a request on a reused connection. `is_broken`: the connection broke before the
    /// first byte of a response.
    pub fn record_outcome(&self, is_broken: bool) {
        if self.idle_time.is_some() {
            self.pool.reuse_trust().record_reuse(is_broken);
        }
    }

    /// Returns the connection to the pool. It is closed instead if the peer has closed it or has sent
    /// unrequested bytes.
    pub fn return_to_pool(mut self) {
        let Some(mut conn) = self.conn.take() else { return };
        if !conn.is_idle() {
            drop(conn);
            self.pool.open.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        conn.shrink();
        let is_trusted = self.pool.reuse_trust().is_trusted();
        let mut all = self.pool.idle();
        let to_engine = all.entry(self.address).or_default();
        // While idle connections are not trusted, one per engine is enough to test whether they work again.
        if is_trusted || to_engine.is_empty() {
            to_engine.push(IdleConnection { conn, since: Instant::now() });
            return;
        }
        drop(all);
        drop(conn);
        self.pool.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Pool {
    /// Creates a pool of at most `max_open` connections to engines that close idle ones after
    /// `engine_idle_limit`.
    pub fn new(max_open: usize, engine_idle_limit: Option<Duration>) -> Arc<Pool> {
        let max_idle = engine_idle_limit.map_or(DEFAULT_MAX_IDLE, |time| time / IDLE_LIMIT_DIVISOR);
        Arc::new(Pool {
            max_open,
            open: AtomicUsize::new(0),
            opened: AtomicUsize::new(0),
            max_idle,
            idle: Mutex::default(),
            reuse_trust: Mutex::default(),
        })
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reuse_trust(&self) -> MutexGuard<'_, ReuseMonitor> {
        self.reuse_trust.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of open connections, and how many of them are idle.
    pub fn open_and_idle(&self) -> (usize, usize) {
        (self.open.load(Ordering::SeqCst), self.idle().values().map(Vec::len).sum())
    }

    /// The number of connections opened since the start, including those that could not be made.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Takes the most recently used idle connection that is still usable, or opens one within `timeout`.
    /// `is_harmless`: the request that it is for may be repeated whatever its outcome. Fails with
    /// [`NetError::TimedOut`] where all connections are in use.
    pub fn acquire(
        self: &Arc<Pool>,
        address: SocketAddr,
        timeout: Duration,
        is_harmless: bool,
    ) -> Result<PooledConnection, NetError> {
        while self.reuse_trust().should_reuse(is_harmless) {
            let idle = {
                let mut all = self.idle();
                let reusable = all.get_mut(&address).and_then(|to_engine| {
                    let newest = to_engine.iter().rposition(|idle| idle.since.elapsed() >= REUSE_DELAY)?;
                    Some(to_engine.remove(newest))
                });
                if all.get(&address).is_some_and(Vec::is_empty) {
                    all.remove(&address);
                }
                reusable
            };
            let Some(idle) = idle else { break };
            if idle.since.elapsed() < self.max_idle && idle.conn.is_idle() {
                return Ok(PooledConnection {
                    pool: self.clone(),
                    address,
                    conn: Some(idle.conn),
                    idle_time: Some(idle.since.elapsed()),
                });
            }
            drop(idle);
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
        self.evict_oldest_when_full();
        let fits = |open: usize| (open < self.max_open).then_some(open + 1);
        if self.open.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits).is_err() {
            return Err(NetError::TimedOut);
        }
        self.opened.fetch_add(1, Ordering::Relaxed);
        match connect(Endpoint::Tcp(address), timeout) {
            Ok(conn) => {
                Ok(PooledConnection { pool: self.clone(), address, conn: Some(conn), idle_time: None })
            }
            Err(error) => {
                self.open.fetch_sub(1, Ordering::SeqCst);
                Err(error)
            }
        }
    }

    /// Closes the connection that has been idle longest, if the bound on open connections is reached.
    fn evict_oldest_when_full(&self) {
        if self.open.load(Ordering::SeqCst) < self.max_open {
            return;
        }
        let mut all = self.idle();
        let oldest =
            all.iter().filter_map(|(address, to_engine)| Some((to_engine.first()?.since, *address))).min();
        let evicted =
            oldest.and_then(|(_, address)| all.get_mut(&address).map(|to_engine| to_engine.remove(0)));
        drop(all);
        if evicted.is_some() {
            drop(evicted);
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let mut expired = Vec::new();
        let mut all = self.idle();
        for to_engine in all.values_mut() {
            let first_fresh = to_engine
                .iter()
                .position(|idle| idle.since.elapsed() < self.max_idle)
                .unwrap_or(to_engine.len());
            expired.extend(to_engine.drain(..first_fresh));
        }
        all.retain(|_, to_engine| !to_engine.is_empty());
        drop(all);
        let closed = expired.len();
        drop(expired);
        self.open.fetch_sub(closed, Ordering::SeqCst);
    }
}
