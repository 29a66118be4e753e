//! Clients' connections: how many there are, and which may be closed to make room.
//!
//! A connection with no open request may be closed once it has been so for two seconds; a younger one is closed only
//! when there is no other room.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use elderstage_net::Waker;

/// A connection without a request is anybody's to close after this time; the platform's figure and a little.
pub const GRACE: Duration = Duration::from_millis(2_100);

/// Connections over the bound: those that come in before the evicted ones have closed. The node's own descriptors hold
/// room for them.
pub const EVICTING: usize = 16;

/// Stands for "has a request" where a connection's idle time is kept.
const BUSY: u64 = u64::MAX;

/// What is known of one connection.
pub struct ConnectionState {
    /// Microseconds since the start at which it last became idle; [`BUSY`] while it has a request.
    idle_since: AtomicU64,
    evicted: AtomicBool,
    waker: Waker,
}

impl ConnectionState {
    /// Whether it is to close as soon as it has no request.
    pub fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::SeqCst)
    }

    fn is_idle(&self) -> bool {
        self.idle_since() != BUSY
    }

    fn idle_since(&self) -> u64 {
        self.idle_since.load(Ordering::SeqCst)
    }

    fn evict(&self) {
        self.evicted.store(true, Ordering::SeqCst);
        self.waker.wake();
    }
}

/// All open connections of clients, and the bound on them.
pub struct ClientConnections {
    start: Instant,
    max: usize,
    next_key: AtomicUsize,
    open: Mutex<HashMap<usize, Arc<ConnectionState>>>,
}

/// What becomes of a connection that comes in.
pub enum Admission {
    Granted(ConnectionPermit),
    /// There will be room when those that were evicted have closed.
    WaitForEviction,
    /// All connections have requests.
    Full,
}

/// The right to one open connection, given back when dropped.
pub struct ConnectionPermit {
    of: Arc<ClientConnections>,
    key: usize,
    pub connection: Arc<ConnectionState>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.of.open().remove(&self.key);
    }
}

impl ConnectionPermit {
    /// A request has begun: the connection is not evicted for another.
    pub fn busy(&self) {
        self.connection.idle_since.store(BUSY, Ordering::SeqCst);
    }

    /// The request is answered.
    pub fn idle(&self) {
        self.connection.idle_since.store(self.of.micros(), Ordering::SeqCst);
    }
}

impl ClientConnections {
    pub fn new(max: usize) -> Arc<ClientConnections> {
        let (next_key, open) = (AtomicUsize::new(0), Mutex::default());
        Arc::new(ClientConnections { start: Instant::now(), max, next_key, open })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<usize, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(BUSY - 1)
    }

    pub fn len(&self) -> usize {
        self.open().len()
    }

    pub fn is_empty(&self) -> bool {
        self.open().is_empty()
    }

    /// Admits a connection. When the bound is reached, the one that has been idle longest is evicted for it.
    pub fn admit(self: &Arc<ClientConnections>, waker: Waker) -> Admission {
        let mut open = self.open();
        if open.len() >= self.max {
            let evicting = open.values().any(|connection| connection.is_evicted() && connection.is_idle());
            let refused = if evicting { Admission::WaitForEviction } else { Admission::Full };
            let evictable =
                open.values().filter(|connection| !connection.is_evicted() && connection.is_idle());
            let Some(oldest) = evictable.min_by_key(|connection| connection.idle_since()) else {
                return refused;
            };
            if open.len() >= self.max + EVICTING {
                return refused;
            }
            oldest.evict();
        }
        let idle_since = AtomicU64::new(self.micros());
        let connection = Arc::new(ConnectionState { idle_since, evicted: AtomicBool::new(false), waker });
        let key = self.next_key.fetch_add(1, Ordering::Relaxed);
        open.insert(key, connection.clone());
        drop(open);
        Admission::Granted(ConnectionPermit { of: self.clone(), key, connection })
    }

    /// Evicts all that have no request.
    pub fn close_idle(&self) {
        self.open()
            .values()
            .filter(|connection| connection.is_idle())
            .for_each(|connection| connection.evict());
    }
}
