//! One owner of a state machine: a thread that takes events from a bounded queue in order and wakes for its
//! timers. What it owns needs no locks.
//!
//! When the queue is full, [`Inbox::offer`] says so at once, for work that may be turned away; [`Inbox::send`]
//! waits, for news of work already taken, which must not be lost. A waiting coroutine reads no more from its
//! socket, so the pressure reaches the peer.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};

/// Pause of a sender that met a full queue.
const FULL_PAUSE: Duration = Duration::from_millis(1);

/// Microseconds on the owner's clock.
pub type Micros = u64;

/// Something that lives in a thread of its own and is driven by events and by time.
pub trait Machine: Send + 'static {
    type Event: Send + 'static;

    /// Takes one event. `false` ends the thread.
    fn handle(&mut self, now: Micros, event: Self::Event) -> bool;
    /// When it next wants to be woken.
    fn next_timer(&self) -> Option<Micros>;
    /// Called at or after that time.
    fn wake(&mut self, now: Micros);
}

/// The way in.
pub struct Inbox<E>(Sender<E>);

impl<E> Clone for Inbox<E> {
    fn clone(&self) -> Inbox<E> {
        Inbox(self.0.clone())
    }
}

impl<E> Inbox<E> {
    /// Hands an event over unless the queue is full or the owner has ended, and then gives it back.
    pub fn offer(&self, event: E) -> Result<(), E> {
        self.0.try_send(event).map_err(TrySendError::into_inner)
    }

    /// Hands an event over, waiting while the queue is full. `false` when the owner has ended.
    pub fn send(&self, mut event: E) -> bool {
        loop {
            match self.0.try_send(event) {
                Ok(()) => return true,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(back)) => event = back,
            }
            may::coroutine::sleep(FULL_PAUSE);
        }
    }

    /// Events that wait.
    pub fn waiting(&self) -> usize {
        self.0.len()
    }
}

/// A clock that starts at `origin` and never goes backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    pub fn new(origin: Micros) -> Clock {
        Clock { start: Instant::now(), origin }
    }

    pub fn now(&self) -> Micros {
        self.origin + u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// A queue of so many events, and the end that [`run`] takes.
pub fn queue<E>(bound: usize) -> (Inbox<E>, Receiver<E>) {
    let (sender, receiver) = bounded(bound);
    (Inbox(sender), receiver)
}

/// Runs a machine in a thread of its own until it ends or all ways in are gone.
pub fn run<M: Machine>(
    name: &str,
    clock: Clock,
    events: Receiver<M::Event>,
    mut machine: M,
) -> std::io::Result<JoinHandle<M>> {
    std::thread::Builder::new().name(name.into()).spawn(move || {
        loop {
            let event = match machine.next_timer() {
                None => events.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(at) => {
                    let now = clock.now();
                    if at <= now {
                        machine.wake(now);
                        events.try_recv().map_err(|error| match error {
                            crossbeam_channel::TryRecvError::Empty => RecvTimeoutError::Timeout,
                            crossbeam_channel::TryRecvError::Disconnected => RecvTimeoutError::Disconnected,
                        })
                    } else {
                        events.recv_timeout(Duration::from_micros(at - now))
                    }
                }
            };
            match event {
                Ok(event) => {
                    if !machine.handle(clock.now(), event) {
                        return machine;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return machine,
            }
        }
    })
}
