//! The cancellation slot of a request: holds what is needed to cancel the operation that its coroutine runs now.
//!
//! The coroutine registers each operation and its socket here; the owner cancels it from its own thread. A request
//! has at most one operation at a time. A cancellation that comes before its operation begins is kept until then.

use std::sync::{Mutex, MutexGuard, PoisonError};

use elderstage_net::ShutdownHandle;

/// Identifies one operation of a request: an attempt at an engine, or one try of a tool call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperationKey {
    Attempt { turn: u32, attempt: u32 },
    Tool { turn: u32, call: usize },
}

/// How the current operation is cancelled.
enum CancelMethod {
    /// It has no socket yet.
    Nothing,
    /// The socket is shut down.
    ShutSocket(ShutdownHandle),
    /// Connections are being made; the callback notifies the coroutine that waits for them.
    Notify(Box<dyn Fn() + Send>),
}

#[derive(Default)]
struct SlotState {
    current: Option<(OperationKey, CancelMethod)>,
    cancelled: Option<OperationKey>,
}

/// Cancellation state that the coroutine of a request and the owner share.
#[derive(Default)]
pub(crate) struct CancelSlot(Mutex<SlotState>);

impl CancelSlot {
    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an operation. Returns `false` when it was cancelled before it began.
    pub fn begin(&self, key: OperationKey) -> bool {
        let mut state = self.lock();
        state.current = Some((key, CancelMethod::Nothing));
        state.cancelled != Some(key)
    }

    /// Registers the callback that cancels the operation while its connection is made. Returns `false` when it was
    /// cancelled meanwhile.
    pub fn set_connecting(&self, key: OperationKey, cancel: impl Fn() + Send + 'static) -> bool {
        let mut state = self.lock();
        state.current = Some((key, CancelMethod::Notify(Box::new(cancel))));
        state.cancelled != Some(key)
    }

    /// Registers the socket of the operation. Returns `false` when the operation was cancelled meanwhile.
    pub fn set_connected(&self, key: OperationKey, socket: ShutdownHandle) -> bool {
        let mut state = self.lock();
        state.current = Some((key, CancelMethod::ShutSocket(socket)));
        state.cancelled != Some(key)
    }

    /// Ends an operation. Returns `true` when it was cancelled.
    pub fn end(&self, key: OperationKey) -> bool {
        let mut state = self.lock();
        state.current = None;
        state.cancelled == Some(key)
    }

    /// Cancels an operation now, or as soon as it begins.
    pub fn cancel(&self, key: OperationKey) {
        let mut state = self.lock();
        state.cancelled = Some(key);
        match &state.current {
            Some((current, CancelMethod::ShutSocket(socket))) if *current == key => socket.shutdown(),
            Some((current, CancelMethod::Notify(cancel))) if *current == key => cancel(),
            _ => {}
        }
    }
}
