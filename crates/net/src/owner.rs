//! A thread that owns a state machine. It takes events from a bounded queue in order, and wakes the machine
//! for its timers. The machine's state needs no locks, since only this thread uses it.
//!
//! When the queue is full, [`EventSender::try_send`] fails at once. It is for new work that may be refused.
//! [`EventSender::send`] waits. It is for events of accepted work, which must not be lost. A waiting coroutine does
//! not receive from its socket, so the backpressure reaches the peer.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};

/// Poll interval of a sender that waits for room in the queue.
const FULL_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Microseconds on the owner's clock.
pub type Micros = u64;

/// A state machine that runs in a thread of its own and is driven by events and timers.
pub trait StateMachine: Send + 'static {
    /// What the machine takes from its queue.
    type Event: Send + 'static;

    /// Handles one event. `false` ends the thread.
    fn handle(&mut self, now: Micros, event: Self::Event) -> bool;
    /// The time of the machine's next timer, if it has one.
    fn next_timer(&self) -> Option<Micros>;
    /// Handles due timers. Called at or after the time of the next timer.
    fn on_timer(&mut self, now: Micros);
}

/// The sending end of the event queue.
pub struct EventSender<E>(Sender<E>);

impl<E> Clone for EventSender<E> {
    fn clone(&self) -> EventSender<E> {
        EventSender(self.0.clone())
    }
}

impl<E> EventSender<E> {
    /// Queues an event. Fails and returns the event if the queue is full or the owner has ended.
    pub fn try_send(&self, event: E) -> Result<(), E> {
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
    pub fn queued_len(&self) -> usize {
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

/// Creates a queue for `capacity` events: the sending end, and the receiving end for [`spawn_machine`].
pub fn queue<E>(capacity: usize) -> (EventSender<E>, Receiver<E>) {
    let (sender, receiver) = bounded(capacity);
    (EventSender(sender), receiver)
}

/// Runs a machine in a thread of its own until it ends or all its inboxes are dropped.
pub fn spawn_machine<M: StateMachine>(
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
                        machine.on_timer(now);
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
