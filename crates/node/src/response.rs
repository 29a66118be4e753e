//! The response channel of one request. It connects the request's attempts, the event loop and the coroutine
//! of the client's connection.
//!
//! It carries stream events and the final answer to the client, and cancellations to the attempt in progress.
//! Whether an attempt may still be written is decided under one lock ([`ResponseChannel::begin_attempt`]), so
//! a cancellation and the start of an attempt cannot miss each other.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use elderstage_net::Waker;
use elderstage_platform::hub::FinalAnswer;

/// When this many bytes are queued, nothing more is received from the engine until the client has taken some.
const MAX_QUEUED_BYTES: usize = 64 << 10;

/// An event for the coroutine of the client's connection.
#[derive(Debug)]
pub enum ResponseEvent {
    /// Complete server-sent events of the stream.
    Events(Vec<u8>),
    /// The stream has ended after its last event.
    Complete,
    /// The stream ended before its last event.
    Broken,
    /// The final answer of a request that is not streamed.
    Final(FinalAnswer),
}

/// The state of a channel, under one lock.
#[derive(Default)]
struct ChannelState {
    queue: VecDeque<ResponseEvent>,
    /// Bytes of the stream events in the queue.
    queued_bytes: usize,
    /// The client has disconnected or has its answer.
    is_closed: bool,
    /// The attempt in progress, and how to wake it.
    active_attempt: Option<(u32, Waker)>,
    /// Attempts below this number are cancelled.
    cancelled_below: u32,
    /// Attempts below this number must not begin any more.
    withdrawn_below: u32,
    /// The stream is to be cut, so that its client requests the rest elsewhere.
    is_stream_cut: bool,
}

/// The parts of a request that are forwarded to engines.
pub struct ForwardedRequest {
    /// Value of the `X-Trace-Id` header.
    pub trace: Box<str>,
    pub method: String,
    pub target: String,
    /// Header fields that are passed on, as lines.
    pub header_lines: Vec<u8>,
    pub body: Vec<u8>,
    /// Reserves the memory of `body` for as long as the request lives.
    pub _memory_permit: crate::memory::MemoryPermit,
}

/// Whether an attempt that has its connection may be written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStart {
    /// It may be written.
    Proceed,
    /// Its outcome is no longer wanted.
    Cancelled,
    /// Its engine was removed from the server list or began to drain after it was chosen.
    Withdrawn,
}

/// Carries events and cancellations between the parties of one request.
pub struct ResponseChannel {
    pub request: ForwardedRequest,
    state: Mutex<ChannelState>,
    client_waker: Waker,
}

impl ResponseChannel {
    /// Creates a channel whose events wake the coroutine of `client_waker`.
    pub fn new(request: ForwardedRequest, client_waker: Waker) -> Arc<ResponseChannel> {
        Arc::new(ResponseChannel { request, state: Mutex::default(), client_waker })
    }

    fn lock(&self) -> MutexGuard<'_, ChannelState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues an event for the client. `false`: the channel is closed and the event was dropped.
    pub fn send(&self, event: ResponseEvent) -> bool {
        let mut state = self.lock();
        if state.is_closed {
            return false;
        }
        if let ResponseEvent::Events(events) = &event {
            state.queued_bytes += events.len();
        }
        state.queue.push_back(event);
        drop(state);
        self.client_waker.wake();
        true
    }

    /// Removes the next event from the queue.
    pub fn pop(&self) -> Option<ResponseEvent> {
        let mut state = self.lock();
        let event = state.queue.pop_front()?;
        if let ResponseEvent::Events(events) = &event {
            state.queued_bytes -= events.len();
        }
        Some(event)
    }

    /// Whether more events may be queued for the client.
    pub fn has_room(&self) -> bool {
        self.lock().queued_bytes < MAX_QUEUED_BYTES
    }

    /// Whether the client takes no more events.
    pub fn is_closed(&self) -> bool {
        self.lock().is_closed
    }

    /// Closes the channel: the client takes no more events.
    pub fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        state.queue.clear();
        state.queued_bytes = 0;
    }

    /// Called when an attempt has its connection. This is the only place that decides whether the attempt is
    /// written to it or had been stopped before.
    pub fn begin_attempt(&self, attempt: u32, waker: Waker) -> AttemptStart {
        let mut state = self.lock();
        if state.is_closed || attempt < state.cancelled_below {
            return AttemptStart::Cancelled;
        }
        if attempt < state.withdrawn_below {
            return AttemptStart::Withdrawn;
        }
        state.active_attempt = Some((attempt, waker));
        AttemptStart::Proceed
    }

    /// Records that an attempt has ended.
    pub fn finish_attempt(&self, attempt: u32) {
        let mut state = self.lock();
        if state.active_attempt.as_ref().is_some_and(|(number, _)| *number == attempt) {
            state.active_attempt = None;
        }
    }

    /// Cancels an attempt, and with it those of lower numbers.
    pub fn cancel_attempt(&self, attempt: u32) {
        let mut state = self.lock();
        state.cancelled_below = state.cancelled_below.max(attempt + 1);
        if let Some((number, waker)) = &state.active_attempt
            && *number == attempt
        {
            waker.wake();
        }
    }

    /// Prevents an attempt from beginning. One that has begun continues.
    pub fn withdraw_attempt(&self, attempt: u32) {
        let mut state = self.lock();
        state.withdrawn_below = state.withdrawn_below.max(attempt + 1);
    }

    /// Cuts the stream in progress. Its attempt passes on what has arrived so far, including the end of the
    /// stream.
    pub fn cut_stream(&self) {
        let mut state = self.lock();
        state.is_stream_cut = true;
        if let Some((_, waker)) = &state.active_attempt {
            waker.wake();
        }
    }

    /// Whether the stream in progress is to be cut.
    pub fn is_stream_cut(&self) -> bool {
        self.lock().is_stream_cut
    }

    /// Whether an attempt is cancelled.
    pub fn is_cancelled(&self, attempt: u32) -> bool {
        attempt < self.lock().cancelled_below
    }
}
