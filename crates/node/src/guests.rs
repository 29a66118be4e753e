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

/// Connections over the bound: those that come in before the ones that make room for them have closed. The node's own
/// descriptors hold room for them.
pub const LEAVING: usize = 16;

/// One connection.
pub struct Guest {
    /// Microseconds since the start at which it last became idle; [`BUSY`] while it has a request.
    idle_since: AtomicU64,
    leave: AtomicBool,
    waker: Waker,
}

const BUSY: u64 = u64::MAX;

impl Guest {
    /// Whether it is asked to close, now that it has no request.
    pub fn must_leave(&self) -> bool {
        self.leave.load(Ordering::SeqCst)
    }
}

/// All of them.
pub struct Guests {
    start: Instant,
    most: usize,
    next: AtomicUsize,
    all: Mutex<HashMap<usize, Arc<Guest>>>,
}

/// What becomes of a connection that comes in.
pub enum Entry {
    Place(Place),
    /// There will be one when those that were asked to leave have.
    Soon,
    /// All places are taken by requests.
    Full,
}

/// A place among them, given back when dropped.
pub struct Place {
    of: Arc<Guests>,
    key: usize,
    pub guest: Arc<Guest>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.of.all().remove(&self.key);
    }
}

impl Place {
    pub fn busy(&self) {
        self.guest.idle_since.store(BUSY, Ordering::SeqCst);
    }

    pub fn idle(&self) {
        self.guest.idle_since.store(self.of.micros(), Ordering::SeqCst);
    }
}

impl Guests {
    pub fn new(most: usize) -> Arc<Guests> {
        Arc::new(Guests { start: Instant::now(), most, next: AtomicUsize::new(0), all: Mutex::default() })
    }

    fn all(&self) -> MutexGuard<'_, HashMap<usize, Arc<Guest>>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(BUSY - 1)
    }

    pub fn len(&self) -> usize {
        self.all().len()
    }

    pub fn is_empty(&self) -> bool {
        self.all().is_empty()
    }

    /// A place for a connection. When all are taken, the one that has been idle longest is asked to leave; where none
    /// is idle there is none.
    pub fn enter(self: &Arc<Guests>, waker: Waker) -> Entry {
        let mut all = self.all();
        let is_idle = |guest: &Arc<Guest>| guest.idle_since.load(Ordering::SeqCst) != BUSY;
        if all.len() >= self.most {
            let leave = all.values().any(|guest| guest.must_leave() && is_idle(guest));
            let none = if leave { Entry::Soon } else { Entry::Full };
            let stay = all.values().filter(|guest| !guest.must_leave() && is_idle(guest));
            let oldest = stay.min_by_key(|guest| guest.idle_since.load(Ordering::SeqCst));
            let Some(oldest) = oldest.filter(|_| all.len() < self.most + LEAVING) else { return none };
            oldest.leave.store(true, Ordering::SeqCst);
            oldest.waker.wake();
        }
        let guest = Arc::new(Guest {
            idle_since: AtomicU64::new(self.micros()),
            leave: AtomicBool::new(false),
            waker,
        });
        let key = self.next.fetch_add(1, Ordering::Relaxed);
        all.insert(key, guest.clone());
        drop(all);
        Entry::Place(Place { of: self.clone(), key, guest })
    }

    /// Asks all that have no request to leave.
    pub fn dismiss_idle(&self) {
        for guest in self.all().values() {
            if guest.idle_since.load(Ordering::SeqCst) != BUSY {
                guest.leave.store(true, Ordering::SeqCst);
                guest.waker.wake();
            }
        }
    }
}
