//! Where a request's coroutine puts the socket of the one thing that it has out, so that the owner can end it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use elderstage_net::Socket;

/// One thing that can be out: an attempt of a leg, or a try of a tool call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    Attempt { turn: u32, attempt: u32 },
    Tool { turn: u32, call: usize },
}

#[derive(Default)]
struct State {
    out: Option<(Key, Option<Socket>)>,
    cancelled: Option<Key>,
}

#[derive(Default)]
pub(crate) struct Slot(Mutex<State>);

impl Slot {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins something; `false` when it was cancelled before it began.
    pub fn begin(&self, key: Key) -> bool {
        let mut state = self.lock();
        state.out = Some((key, None));
        state.cancelled != Some(key)
    }

    /// It has a socket now; `false` when it was cancelled meanwhile.
    pub fn connected(&self, key: Key, socket: Socket) -> bool {
        let mut state = self.lock();
        state.out = Some((key, Some(socket)));
        state.cancelled != Some(key)
    }

    /// It has ended; `true` when it was cancelled.
    pub fn end(&self, key: Key) -> bool {
        let mut state = self.lock();
        state.out = None;
        state.cancelled == Some(key)
    }

    /// Ends it now, or as soon as it begins.
    pub fn cancel(&self, key: Key) {
        let mut state = self.lock();
        state.cancelled = Some(key);
        if let Some((out, Some(socket))) = &state.out
            && *out == key
        {
            socket.shut();
        }
    }
}
