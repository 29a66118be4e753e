//! Admission of clients' connections: how many are open, and which may be closed to make room.
//!
//! A connection without an open request may be closed once it has been idle for two seconds. One that has
//! been idle for less is closed only when there is no other way to make room. A connection with an open
//! request is never evicted. This module does no I/O: it marks a connection as evicted and wakes the
//! coroutine that serves it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use elderstage_net::Waker;

/// Time that a new connection is kept open without a request: the platform's two seconds and a margin.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(2_100);

/// Maximum number of connections over the bound: those admitted before the evicted ones have closed. The
/// node's reserved descriptors include them.
pub const MAX_EVICTING: usize = 16;

/// Value of `idle_since` of a connection that has a request.
const BUSY: u64 = u64::MAX;

/// The state of one client connection.
pub struct ConnectionState {
    /// Microseconds since the start at which it last became idle; [`BUSY`] while it has a request.
    idle_since: AtomicU64,
    is_evicted: AtomicBool,
    waker: Waker,
}

impl ConnectionState {
    /// Whether the connection is to be closed as soon as it has no request.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::SeqCst)
    }

    fn is_idle(&self) -> bool {
        self.idle_since() != BUSY
    }

    fn idle_since(&self) -> u64 {
        self.idle_since.load(Ordering::SeqCst)
    }

    fn evict(&self) {
        self.is_evicted.store(true, Ordering::SeqCst);
        self.waker.wake();
    }
}

/// All open client connections, and the bound on their number.
pub struct ClientConnections {
    start: Instant,
    max: usize,
    next_key: AtomicUsize,
    open: Mutex<HashMap<usize, Arc<ConnectionState>>>,
}

/// The decision on a new connection.
pub enum Admission {
    /// The connection may be served.
    Granted(ConnectionPermit),
    /// There will be room when the evicted connections have closed.
    WaitForEviction,
    /// All connections have open requests.
    Full,
}

/// The permission for one open connection. Dropping it makes room for another.
pub struct ConnectionPermit {
    all: Arc<ClientConnections>,
    key: usize,
    pub connection: Arc<ConnectionState>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.all.lock().remove(&self.key);
    }
}

impl ConnectionPermit {
    /// Records that a request has begun. The connection is not evicted until [`Self::mark_idle`].
    pub fn mark_busy(&self) {
        self.connection.idle_since.store(BUSY, Ordering::SeqCst);
    }

    /// Records that the request has been answered.
    pub fn mark_idle(&self) {
        self.connection.idle_since.store(self.all.micros_since_start(), Ordering::SeqCst);
    }
}

impl ClientConnections {
    /// Creates an empty set that admits `max` connections.
    pub fn new(max: usize) -> Arc<ClientConnections> {
        let (next_key, open) = (AtomicUsize::new(0), Mutex::default());
        Arc::new(ClientConnections { start: Instant::now(), max, next_key, open })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros_since_start(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(BUSY - 1)
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Admits a connection. When the bound is reached, the connection that has been idle longest is evicted
    /// for it.
    pub fn admit(self: &Arc<ClientConnections>, waker: Waker) -> Admission {
        let mut open = self.lock();
        if open.len() >= self.max {
            let has_evicting =
                open.values().any(|connection| connection.is_evicted() && connection.is_idle());
            let denied = if has_evicting { Admission::WaitForEviction } else { Admission::Full };
            let evictable =
                open.values().filter(|connection| !connection.is_evicted() && connection.is_idle());
            let Some(oldest) = evictable.min_by_key(|connection| connection.idle_since()) else {
                return denied;
            };
            if open.len() >= self.max + MAX_EVICTING {
                return denied;
            }
            oldest.evict();
        }
        let idle_since = AtomicU64::new(self.micros_since_start());
        let connection = Arc::new(ConnectionState { idle_since, is_evicted: AtomicBool::new(false), waker });
        let key = self.next_key.fetch_add(1, Ordering::Relaxed);
        open.insert(key, connection.clone());
        drop(open);
        Admission::Granted(ConnectionPermit { all: self.clone(), key, connection })
    }

    /// Evicts all connections without a request.
    pub fn evict_idle(&self) {
        self.lock()
            .values()
            .filter(|connection| connection.is_idle())
            .for_each(|connection| connection.evict());
    }
}
