//! Time limits on waiting for a socket.
//!
//! The coroutine runtime's own I/O timeouts are not used. The runtime removes their timers from one worker's
//! list on another worker's thread, which corrupts memory when a coroutine is stolen at the wrong moment. A
//! rehearsal showed this as an abort in the allocator. Here one timer thread keeps the limits and wakes a
//! waiting coroutine through the runtime's waker, which is safe from any thread. The coroutine checks the
//! clock itself.
//!
//! At most one entry of a connection in the timer queue is valid at a time, however often its limit moves.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;

/// Stands for "no limit".
const NEVER: u64 = u64::MAX;

/// The time limit of one connection's wait.
pub(crate) struct WaitLimit {
    waker: WaitIoWaker,
    times: Mutex<Times>,
}

/// When a connection's wait ends, and the time of its entry in the timer queue. Both change under one lock,
/// since the timer thread may reach an entry at the moment in which the connection moves its limit. With two
/// separate checks the timer thread dropped the entry, or kept it at the old limit, while the connection
/// relied on it.
#[derive(Debug)]
struct Times {
    /// End of the wait, in microseconds since the timer thread's start.
    until: u64,
    /// Time of the earliest entry in the timer queue, in the same unit.
    queued: u64,
}

/// What the timer thread does with an entry that is due.
#[derive(Debug, PartialEq, Eq)]
enum DueAction {
    /// Remove the entry: another one counts, or there is no limit any more.
    Drop,
    /// Queue the entry again: the limit has moved to this time.
    Requeue(u64),
    /// Remove the entry and wake the waiting coroutine.
    Wake,
}

impl Times {
    /// Moves the limit. `true`: it needs a new entry in the timer queue.
    fn set(&mut self, until: u64) -> bool {
        self.until = until;
        let is_sooner = until < self.queued;
        if is_sooner {
            self.queued = until;
        }
        is_sooner
    }

    /// Decides about the entry that was queued for `entry_time`, which has been reached.
    fn on_due(&mut self, entry_time: u64, now: u64) -> DueAction {
        if self.queued != entry_time {
            return DueAction::Drop;
        }
        if self.until == NEVER {
            self.queued = NEVER;
            return DueAction::Drop;
        }
        if self.until > now {
            self.queued = self.until;
            return DueAction::Requeue(self.until);
        }
        self.queued = NEVER;
        DueAction::Wake
    }
}

/// An entry of the timer queue: its time and its key.
type Entry = Reverse<(u64, usize)>;

/// The timer queue, and what each entry refers to.
#[derive(Default)]
struct TimerQueue {
    heap: BinaryHeap<Entry>,
    limits: std::collections::HashMap<usize, Weak<WaitLimit>>,
    callbacks: std::collections::HashMap<usize, Box<dyn FnOnce() + Send>>,
    next_key: usize,
}

/// The state of the timer thread.
struct TimerThread {
    start: Instant,
    queue: Mutex<TimerQueue>,
    /// Notified when the first entry of the queue has become an earlier one.
    earlier_entry: Condvar,
}

/// The process's timer thread, started at the first call.
fn timer_thread() -> &'static TimerThread {
    static TIMER_THREAD: OnceLock<&'static TimerThread> = OnceLock::new();
    TIMER_THREAD.get_or_init(|| {
        let timer_thread: &'static TimerThread = Box::leak(Box::new(TimerThread {
            start: Instant::now(),
            queue: Mutex::default(),
            earlier_entry: Condvar::new(),
        }));
        // Without this thread no time limit would take effect, so the process cannot continue.
        let spawned = std::thread::Builder::new().name("limits".into()).spawn(|| timer_thread.run());
        if let Err(error) = spawned {
            panic!("cannot start the thread that keeps time limits: {error}");
        }
        timer_thread
    })
}

impl TimerThread {
    /// A time in microseconds since the timer thread's start.
    fn micros(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.start).as_micros()).unwrap_or(NEVER - 1)
    }

    /// Queues an entry for a connection's limit.
    fn add_limit(&self, at: u64, limit: &Arc<WaitLimit>) {
        self.add_entry(at, |queue, key| {
            queue.limits.insert(key, Arc::downgrade(limit));
        });
    }

    /// Queues an entry. `insert` adds what the entry refers to under its key.
    fn add_entry(&self, at: u64, insert: impl FnOnce(&mut TimerQueue, usize)) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let key = queue.next_key;
        queue.next_key += 1;
        insert(&mut queue, key);
        let is_first = queue.heap.peek().is_none_or(|Reverse((first, _))| at < *first);
        queue.heap.push(Reverse((at, key)));
        drop(queue);
        if is_first {
            self.earlier_entry.notify_one();
        }
    }

    /// Waits for the first entry of the queue and handles it, for ever.
    fn run(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let now = self.micros(Instant::now());
            match queue.heap.peek() {
                None => queue = self.earlier_entry.wait(queue).unwrap_or_else(PoisonError::into_inner),
                Some(Reverse((at, _))) if *at > now => {
                    let time_left = Duration::from_micros(at - now);
                    queue = self
                        .earlier_entry
                        .wait_timeout(queue, time_left)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0;
                }
                Some(_) => {
                    let Some(Reverse((at, key))) = queue.heap.pop() else { continue };
                    if let Some(callback) = queue.callbacks.remove(&key) {
                        drop(queue);
                        callback();
                        queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
                        continue;
                    }
                    let Some(limit) = queue.limits.get(&key).and_then(Weak::upgrade) else {
                        queue.limits.remove(&key);
                        continue;
                    };
                    let action = limit.times().on_due(at, now);
                    if let DueAction::Requeue(until) = action {
                        queue.heap.push(Reverse((until, key)));
                        continue;
                    }
                    queue.limits.remove(&key);
                    if action == DueAction::Wake {
                        limit.waker.wakeup();
                    }
                }
            }
        }
    }
}

impl WaitLimit {
    /// Creates a limit that wakes through `waker`. It is not set yet.
    pub fn new(waker: WaitIoWaker) -> Arc<WaitLimit> {
        Arc::new(WaitLimit { waker, times: Mutex::new(Times { until: NEVER, queued: NEVER }) })
    }

    fn times(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the limit. A waiting coroutine is woken at that time or a little after.
    pub fn set(self: &Arc<Self>, at: Option<Instant>) {
        let Some(at) = at else {
            self.times().set(NEVER);
            return;
        };
        let timer_thread = timer_thread();
        // The extra microsecond avoids waking too early: the coroutine would find its limit not reached.
        let at = timer_thread.micros(at) + 1;
        let needs_entry = self.times().set(at);
        if needs_entry {
            timer_thread.add_limit(at, self);
        }
    }
}

/// Calls `f` at that time or a little after, on the timer thread. `f` must be quick, since it delays all time
/// limits. The call cannot be cancelled.
pub fn call_at(at: Instant, f: impl FnOnce() + Send + 'static) {
    let timer_thread = timer_thread();
    timer_thread.add_entry(timer_thread.micros(at) + 1, |queue, key| {
        queue.callbacks.insert(key, Box::new(f));
    });
}

#[cfg(test)]
mod tests;
