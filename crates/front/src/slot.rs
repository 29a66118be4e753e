//! Where a request's coroutine puts the socket of the one thing that it has out, so that the owner can end it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use elderstage_net::Socket;

/// One thing that can be out: an attempt of a leg, or a try of a tool call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    Attempt { turn: u32, attempt: u32 },
    Tool { turn: u32, call: usize },
}

/// By what it is ended.
enum Handle {
    Nothing,
    Socket(Socket),
    /// Connections are being made: told to whoever waits for them.
    Race(Box<dyn Fn() + Send>),
}

#[derive(Default)]
struct State {
    out: Option<(Key, Handle)>,
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
        state.out = Some((key, Handle::Nothing));
        state.cancelled != Some(key)
    }

    /// Its connection is being made; `false` when it was cancelled meanwhile.
    pub fn racing(&self, key: Key, cancel: impl Fn() + Send + 'static) -> bool {
        let mut state = self.lock();
        state.out = Some((key, Handle::Race(Box::new(cancel))));
        state.cancelled != Some(key)
    }

    /// It has a socket now; `false` when it was cancelled meanwhile.
    pub fn connected(&self, key: Key, socket: Socket) -> bool {
        let mut state = self.lock();
        state.out = Some((key, Handle::Socket(socket)));
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
        match &state.out {
            Some((out, Handle::Socket(socket))) if *out == key => socket.shut(),
            Some((out, Handle::Race(cancel))) if *out == key => cancel(),
            _ => {}
        }
    }
}
