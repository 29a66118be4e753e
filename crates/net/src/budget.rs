//! The I/O budget of a coroutine, which keeps one busy peer from stopping all others (cooperative scheduling).
//!
//! A coroutine gives way to others when it waits. One whose peer always has bytes ready never waits, and with
//! a single worker thread nothing else would run: no other socket, no accept, no time limit. So each
//! connection and each listener may carry out a limited number of socket operations. Then its coroutine waits
//! until the runtime has polled all sockets and the coroutines that have become ready have had their turn.
//!
//! Putting the coroutine back into the run queue would not be enough. The runtime polls the sockets only when
//! its run queue is empty, and a few busy coroutines can keep it filled for ever. The coroutine waits for an
//! eventfd instead, whose readiness can only be learned by a poll.

use std::fs::File;
use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use may::io::{CoIo, WaitIo};
use may::sync::Blocker;
use nix::sys::eventfd::{EfdFlags, EventFd};

use crate::spawn::spawn;

/// Socket operations between two polls of all sockets: enough for a whole request of 256 KiB.
const OPERATIONS_PER_POLL: u32 = 32;
/// The readiness bits that a poll reports (`EPOLLIN`, `EPOLLOUT`, `EPOLLERR`, `EPOLLHUP`, `EPOLLRDHUP`), as
/// opposed to the bit that a waker sets.
const READINESS_BITS: usize = 0x1 | 0x4 | 0x8 | 0x10 | 0x2000;

/// Counts the socket operations of one connection or listener.
#[derive(Debug)]
pub(crate) struct IoBudget {
    operations_left: u32,
}

impl IoBudget {
    /// A full budget.
    pub fn new() -> IoBudget {
        IoBudget { operations_left: OPERATIONS_PER_POLL }
    }

    /// Takes one operation from the budget. Where none is left, waits for the next poll of all sockets first.
    pub fn spend(&mut self) {
        if self.operations_left == 0 {
            wait_for_poll();
            self.operations_left = OPERATIONS_PER_POLL;
        }
        self.operations_left -= 1;
    }

    /// Refills the budget if a wait has ended with these readiness bits of a poll. A wait that a waker ended
    /// says nothing about polls.
    pub fn refill_after_wait(&mut self, readiness: usize) {
        if readiness & READINESS_BITS != 0 {
            self.operations_left = OPERATIONS_PER_POLL;
        }
    }
}

/// Lets coroutines wait until the sockets have been polled.
struct PollBarrier {
    /// Ready at the next poll after a coroutine has begun to wait.
    event: Arc<File>,
    waiting: Mutex<Vec<Arc<Blocker>>>,
}

/// The process's barrier; `None` if the system has no eventfd for it.
static BARRIER: OnceLock<Option<&'static PollBarrier>> = OnceLock::new();

impl PollBarrier {
    /// Creates the barrier and starts the coroutine that opens it after each poll.
    fn start() -> std::io::Result<&'static PollBarrier> {
        let event = EventFd::from_flags(EfdFlags::EFD_NONBLOCK | EfdFlags::EFD_CLOEXEC)?;
        let event = Arc::new(File::from(OwnedFd::from(event)));
        let io = CoIo::new(event.clone()).map_err(std::io::Error::from)?;
        let barrier: &'static PollBarrier =
            Box::leak(Box::new(PollBarrier { event, waiting: Mutex::default() }));
        spawn(move || {
            loop {
                io.wait_io();
                barrier.release_waiting();
            }
        });
        Ok(barrier)
    }

    /// Lets all waiting coroutines continue, since a poll has taken place.
    fn release_waiting(&self) {
        // Nothing to read means that the wait ended without a cause.
        let _ = (&*self.event).read(&mut [0; size_of::<u64>()]);
        let waiting = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
        for blocker in waiting {
            blocker.unpark();
        }
    }

    /// Waits until a poll has taken place.
    fn wait(&self) {
        let blocker = Blocker::current();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).push(blocker.clone());
        // A counter that is full is ready as well, so the write may fail.
        let _ = (&*self.event).write(&1u64.to_ne_bytes());
        // Coroutines are never cancelled here, and there is no time limit.
        let _ = blocker.park(None);
    }
}

/// Creates the barrier, so that its descriptor is there before descriptors may run out.
pub(crate) fn init_barrier() {
    BARRIER.get_or_init(|| PollBarrier::start().ok());
}

/// Waits until all sockets have been polled, if called in a coroutine. Threads block nobody.
fn wait_for_poll() {
    if !may::coroutine::is_coroutine() {
        return;
    }
    match BARRIER.get_or_init(|| PollBarrier::start().ok()) {
        Some(barrier) => barrier.wait(),
        None => may::coroutine::yield_now(),
    }
}
