//! A thread that owns a state machine. It takes events from a bounded queue in order, and wakes the machine
//! for its timers. The machine's state needs no locks, since only this thread uses it.
//!
//! When the queue is full, [`Inbox::offer`] fails at once. It is for new work that may be refused.
//! [`Inbox::send`] waits. It is for events of accepted work, which must not be lost. A waiting coroutine does
//! not receive from its socket, so the backpressure reaches the peer.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};

/// Poll interval of a sender that waits for room in the queue.
const FULL_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Microseconds on the owner's clock.
pub type Micros = u64;

/// A state machine that runs in a thread of its own and is driven by events and timers.
pub trait Machine: Send + 'static {
    /// What the machine takes from its queue.
    type Event: Send + 'static;

    /// Handles one event. `false` ends the thread.
    fn handle(&mut self, now: Micros, event: Self::Event) -> bool;
    /// The time of the machine's next timer, if it has one.
    fn next_timer(&self) -> Option<Micros>;
    /// Handles due timers. Called at or after the time of the next timer.
    fn wake(&mut self, now: Micros);
}

/// The sending end of the event queue.
pub struct Inbox<E>(Sender<E>);

impl<E> Clone for Inbox<E> {
    fn clone(&self) -> Inbox<E> {
        Inbox(self.0.clone())
    }
}

impl<E> Inbox<E> {
    /// Queues an event. Fails and returns the event if the queue is full or the owner has ended.
    pub fn offer(&self, event: E) -> Result<(), E> {
        self.0.try_send(event).map_err(TrySendError::into_inner)
    }

    /// Queues an event, and waits while the queue is full. `false`: the owner has ended.
    pub fn send(&self, mut event: E) -> bool {
        loop {
            match self.0.try_send(event) {
                Ok(()) => return true,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(rejected)) => event = rejected,
            }
            may::coroutine::sleep(FULL_QUEUE_POLL_INTERVAL);
        }
    }

    /// The number of queued events.
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
    /// Creates a clock that shows `origin` now.
    pub fn new(origin: Micros) -> Clock {
        Clock { start: Instant::now(), origin }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.origin + u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// Creates a queue for `capacity` events: the sending end, and the receiving end for [`run`].
pub fn queue<E>(capacity: usize) -> (Inbox<E>, Receiver<E>) {
    let (sender, receiver) = bounded(capacity);
    (Inbox(sender), receiver)
}

/// Runs a machine in a thread of its own until it ends or all its inboxes are dropped.
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
