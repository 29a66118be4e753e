//! Time limits on waiting for a socket.
//!
//! The runtime's own time limits on input and output are not used: it takes their timers out of one worker's list
//! from another worker's thread, which corrupts memory when work is stolen at the wrong moment (seen as an abort of
//! the allocator in a rehearsal). Here one thread keeps the times and wakes a waiting coroutine through the
//! runtime's waker, which is safe from any thread; the coroutine looks at the clock itself.
//!
//! A connection stands in the list once for as long as it has a limit, however often the limit moves.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;

/// No limit.
const NEVER: u64 = u64::MAX;

/// The limit of one connection.
pub(crate) struct Watch {
    waker: WaitIoWaker,
    times: Mutex<Times>,
}

/// When a connection's wait ends, and where it stands in the list. Both change together: the thread that keeps the list
/// comes to a place in the very moment in which the connection moves its limit, and one that looked at the two apart
/// dropped the place, or listed it under the old limit, while the connection took it to be listed.
#[derive(Debug)]
struct Times {
    /// Microseconds since the process's first watch.
    until: u64,
    /// Time of its earliest place in the list.
    listed: u64,
}

/// What becomes of a place that is due.
#[derive(Debug, PartialEq, Eq)]
enum Due {
    /// Another place counts, or there is no limit any more.
    Drop,
    /// The limit has moved to this time.
    Later(u64),
    Wake,
}

impl Times {
    /// Moves the limit; `true` where a new place in the list is needed for it.
    fn set(&mut self, until: u64) -> bool {
        self.until = until;
        let sooner = until < self.listed;
        if sooner {
            self.listed = until;
        }
        sooner
    }

    /// The list has come to the place at this time.
    fn due(&mut self, place: u64, now: u64) -> Due {
        if self.listed != place {
            return Due::Drop;
        }
        if self.until == NEVER {
            self.listed = NEVER;
            return Due::Drop;
        }
        if self.until > now {
            self.listed = self.until;
            return Due::Later(self.until);
        }
        self.listed = NEVER;
        Due::Wake
    }
}

type Place = Reverse<(u64, usize)>;

#[derive(Default)]
struct List {
    heap: BinaryHeap<Place>,
    watches: std::collections::HashMap<usize, Weak<Watch>>,
    calls: std::collections::HashMap<usize, Box<dyn FnOnce() + Send>>,
    next: usize,
}

struct Keeper {
    start: Instant,
    list: Mutex<List>,
    sooner: Condvar,
}

fn keeper() -> &'static Keeper {
    static KEEPER: OnceLock<&'static Keeper> = OnceLock::new();
    KEEPER.get_or_init(|| {
        let keeper: &'static Keeper = Box::leak(Box::new(Keeper {
            start: Instant::now(),
            list: Mutex::default(),
            sooner: Condvar::new(),
        }));
        // Without the thread no limit would ever act; there is nothing sensible to go on with.
        let spawned = std::thread::Builder::new().name("limits".into()).spawn(|| keeper.run());
        if let Err(error) = spawned {
            panic!("cannot start the thread that keeps time limits: {error}");
        }
        keeper
    })
}

impl Keeper {
    fn micros(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.start).as_micros()).unwrap_or(NEVER - 1)
    }

    fn add(&self, at: u64, watch: &Arc<Watch>) {
        self.list(at, |list, key| {
            list.watches.insert(key, Arc::downgrade(watch));
        });
    }

    fn list(&self, at: u64, put: impl FnOnce(&mut List, usize)) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let key = list.next;
        list.next += 1;
        put(&mut list, key);
        let first = list.heap.peek().is_none_or(|Reverse((first, _))| at < *first);
        list.heap.push(Reverse((at, key)));
        drop(list);
        if first {
            self.sooner.notify_one();
        }
    }

    fn run(&self) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let now = self.micros(Instant::now());
            match list.heap.peek() {
                None => list = self.sooner.wait(list).unwrap_or_else(PoisonError::into_inner),
                Some(Reverse((at, _))) if *at > now => {
                    let left = Duration::from_micros(at - now);
                    list = self.sooner.wait_timeout(list, left).unwrap_or_else(PoisonError::into_inner).0;
                }
                Some(_) => {
                    let Some(Reverse((at, key))) = list.heap.pop() else { continue };
                    if let Some(call) = list.calls.remove(&key) {
                        drop(list);
                        call();
                        list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
                        continue;
                    }
                    let Some(watch) = list.watches.get(&key).and_then(Weak::upgrade) else {
                        list.watches.remove(&key);
                        continue;
                    };
                    let due = watch.times().due(at, now);
                    if let Due::Later(until) = due {
                        list.heap.push(Reverse((until, key)));
                        continue;
                    }
                    list.watches.remove(&key);
                    if due == Due::Wake {
                        watch.waker.wakeup();
                    }
                }
            }
        }
    }
}

impl Watch {
    pub fn new(waker: WaitIoWaker) -> Arc<Watch> {
        Arc::new(Watch { waker, times: Mutex::new(Times { until: NEVER, listed: NEVER }) })
    }

    fn times(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the limit. Whoever waits is woken at that time or a little after.
    pub fn set(self: &Arc<Self>, at: Option<Instant>) {
        let Some(at) = at else {
            self.times().set(NEVER);
            return;
        };
        let keeper = keeper();
        // One tick late rather than early: the waiter looks at the clock when it is woken.
        let at = keeper.micros(at) + 1;
        let needs_place = self.times().set(at);
        if needs_place {
            keeper.add(at, self);
        }
    }
}

/// Calls `f` at that time or a little after, from the thread that keeps time limits: it must be quick. It cannot be
/// taken back.
pub fn alarm(at: Instant, f: impl FnOnce() + Send + 'static) {
    let keeper = keeper();
    keeper.list(keeper.micros(at) + 1, |list, key| {
        list.calls.insert(key, Box::new(f));
    });
}

#[cfg(test)]
mod tests;
