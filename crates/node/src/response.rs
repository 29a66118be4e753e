//! The response channel of one request: between its attempts, the event loop, and the coroutine of its client.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use elderstage_net::Waker;
use elderstage_platform::hub::Last;

/// Bytes that wait for a client before its engine is read no further.
const MAX_WAITING: usize = 64 << 10;

/// What a client's coroutine receives.
#[derive(Debug)]
pub enum ResponseEvent {
    /// Whole events of the stream.
    Events(Vec<u8>),
    /// The stream has come to its end.
    Whole,
    /// The stream has broken.
    Cut,
    Last(Last),
}

#[derive(Default)]
struct Inner {
    waiting: VecDeque<ResponseEvent>,
    bytes: usize,
    /// The client has gone, or has its answer.
    closed: bool,
    /// The attempt that is out, and how to wake it.
    attempt: Option<(u32, Waker)>,
    /// Attempts below this number are given up.
    cancelled: u32,
    /// Attempts below this number are not to begin any more.
    withdrawn: u32,
    /// The stream is to be cut, so that its client asks for the rest elsewhere.
    cut: bool,
}

/// What of a request goes to engines.
pub struct Parts {
    pub trace: Box<str>,
    pub method: String,
    pub target: String,
    /// Fields that are passed on, as lines.
    pub fields: Vec<u8>,
    pub body: Vec<u8>,
    /// Keeps count of the bodies' memory.
    pub _memory: crate::memory::MemoryPermit,
}

/// Whether an attempt that has its connection may be written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStart {
    Proceed,
    /// Nobody waits for it any more.
    Cancelled,
    /// Its engine has left the list, or drains, since it was chosen.
    Withdrawn,
}

/// The channel.
pub struct ResponseChannel {
    pub parts: Parts,
    inner: Mutex<Inner>,
    client: Waker,
}

impl ResponseChannel {
    pub fn new(parts: Parts, client: Waker) -> Arc<ResponseChannel> {
        Arc::new(ResponseChannel { parts, inner: Mutex::default(), client })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the client's coroutine; `false` when it no longer listens.
    pub fn send(&self, event: ResponseEvent) -> bool {
        let mut inner = self.inner();
        if inner.closed {
            return false;
        }
        if let ResponseEvent::Events(events) = &event {
            inner.bytes += events.len();
        }
        inner.waiting.push_back(event);
        drop(inner);
        self.client.wake();
        true
    }

    pub fn take(&self) -> Option<ResponseEvent> {
        let mut inner = self.inner();
        let event = inner.waiting.pop_front()?;
        if let ResponseEvent::Events(events) = &event {
            inner.bytes -= events.len();
        }
        Some(event)
    }

    /// Whether the client keeps up.
    pub fn has_room(&self) -> bool {
        self.inner().bytes < MAX_WAITING
    }

    pub fn is_closed(&self) -> bool {
        self.inner().closed
    }

    /// The client's coroutine listens no longer.
    pub fn close(&self) {
        let mut inner = self.inner();
        inner.closed = true;
        inner.waiting.clear();
        inner.bytes = 0;
    }

    /// An attempt has its connection. Here and nowhere else it is decided whether it goes or was stopped before.
    pub fn begin(&self, attempt: u32, waker: Waker) -> AttemptStart {
        let mut inner = self.inner();
        if inner.closed || attempt < inner.cancelled {
            return AttemptStart::Cancelled;
        }
        if attempt < inner.withdrawn {
            return AttemptStart::Withdrawn;
        }
        inner.attempt = Some((attempt, waker));
        AttemptStart::Proceed
    }

    /// An attempt is over.
    pub fn finish(&self, attempt: u32) {
        let mut inner = self.inner();
        if inner.attempt.as_ref().is_some_and(|(of, _)| *of == attempt) {
            inner.attempt = None;
        }
    }

    /// Gives an attempt up.
    pub fn cancel(&self, attempt: u32) {
        let mut inner = self.inner();
        inner.cancelled = inner.cancelled.max(attempt + 1);
        if let Some((of, waker)) = &inner.attempt
            && *of == attempt
        {
            waker.wake();
        }
    }

    /// An attempt is not to begin any more; one that has begun goes on.
    pub fn withdraw(&self, attempt: u32) {
        let mut inner = self.inner();
        inner.withdrawn = inner.withdrawn.max(attempt + 1);
    }

    /// Cuts the running stream: its attempt passes on what has come by now, and its end if that has.
    pub fn cut(&self) {
        let mut inner = self.inner();
        inner.cut = true;
        if let Some((_, waker)) = &inner.attempt {
            waker.wake();
        }
    }

    pub fn is_cut(&self) -> bool {
        self.inner().cut
    }

    pub fn is_cancelled(&self, attempt: u32) -> bool {
        attempt < self.inner().cancelled
    }
}
