//! One request between the coroutine that holds its client's connection, the owner, and its attempts.

use std::collections::VecDeque;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use elderstage_net::Waker;
use elderstage_platform::hub::Last;

/// Bytes that wait for a client before its engine is read no further.
const MOST_WAITING: usize = 64 << 10;

/// What a client's coroutine is told.
#[derive(Debug)]
pub enum Mail {
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
    mail: VecDeque<Mail>,
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
    pub _room: crate::room::Room,
}

/// Whether an attempt that has its connection may be written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    Go,
    /// Nobody waits for it any more.
    GivenUp,
    /// Its engine has left the list, or drains, since it was chosen.
    Withdrawn,
}

/// One request.
pub struct Seat {
    pub parts: Parts,
    /// An attempt is out that comes for what a reader holds: nothing is let go of meanwhile.
    pub fetching: Arc<AtomicBool>,
    inner: Mutex<Inner>,
    client: Waker,
}

impl Seat {
    pub fn new(parts: Parts, client: Waker) -> Arc<Seat> {
        Arc::new(Seat { parts, fetching: Arc::default(), inner: Mutex::default(), client })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the client's coroutine; `false` when it no longer listens.
    pub fn post(&self, mail: Mail) -> bool {
        let mut inner = self.inner();
        if inner.closed {
            return false;
        }
        if let Mail::Events(events) = &mail {
            inner.bytes += events.len();
        }
        inner.mail.push_back(mail);
        drop(inner);
        self.client.wake();
        true
    }

    pub fn take(&self) -> Option<Mail> {
        let mut inner = self.inner();
        let mail = inner.mail.pop_front()?;
        if let Mail::Events(events) = &mail {
            inner.bytes -= events.len();
        }
        Some(mail)
    }

    /// Whether the client keeps up.
    pub fn has_room(&self) -> bool {
        self.inner().bytes < MOST_WAITING
    }

    pub fn is_closed(&self) -> bool {
        self.inner().closed
    }

    /// The client's coroutine listens no longer.
    pub fn close(&self) {
        let mut inner = self.inner();
        inner.closed = true;
        inner.mail.clear();
        inner.bytes = 0;
    }

    /// An attempt has its connection. Here and nowhere else it is decided whether it goes or was stopped before.
    pub fn begin(&self, attempt: u32, waker: Waker) -> Begin {
        let mut inner = self.inner();
        if inner.closed || attempt < inner.cancelled {
            return Begin::GivenUp;
        }
        if attempt < inner.withdrawn {
            return Begin::Withdrawn;
        }
        inner.attempt = Some((attempt, waker));
        Begin::Go
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
