//! The event loop. It is the only owner of the [`Hub`], and with it of the router, so neither needs a
//! lock.
//!
//! It takes events from all coroutines and threads, passes them to the hub and executes the hub's commands.
//! It reads and writes no sockets and never waits for one: attempts, probes and releases run in coroutines of
//! their own ([`crate::engine`]).

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use elderstage::{RequestId, Settings};
use elderstage_net::owner::{Micros, StateMachine};
use elderstage_platform::ask::ClientRequest;
use elderstage_platform::hub::{Command, Hub, Input};

use crate::Shared;
use crate::diagnosis::Comparison;
use crate::engine::{self, Attempt};
use crate::response::{ResponseChannel, ResponseEvent};

/// An event that a coroutine or thread submits to the event loop.
pub enum Event {
    /// A client's request was received completely.
    RequestReceived {
        id: RequestId,
        client_request: ClientRequest,
        channel: Arc<ResponseChannel>,
        /// When its last byte had arrived. The request's time limit runs from then.
        received_at: Instant,
    },
    /// Input for the hub.
    HubInput(Input),
    /// Write the node's state and counters to the log.
    LogState,
    /// Publish the request counts for the fleet agent on this machine.
    PublishTally,
    /// Count requests under new settings, identified by this digest, from now on.
    SetCountingSettings { digest: String, settings: Box<Settings> },
    /// Compare the hub's attempts in flight with the connections that carry attempts.
    CompareInFlight,
}

/// An event with its time of submission. The time that it waits in the queue delays every request that the
/// node serves.
pub struct SubmittedEvent {
    /// When the event was submitted.
    pub at: Instant,
    pub event: Event,
}

/// Queue wait from which on the log warns. Longer waits endanger the platform's limits on held state and on
/// ending streams.
const QUEUE_WAIT_WARN_THRESHOLD: Duration = Duration::from_millis(200);
/// Minimum time between two such warnings.
const QUEUE_WAIT_WARN_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks how long events wait for the event loop.
#[derive(Debug, Default)]
struct QueueWait {
    /// The longest wait since the last `state` log line.
    longest: Duration,
    /// When the last warning was logged.
    last_warning: Option<Instant>,
}

impl QueueWait {
    fn record(&mut self, waited: Duration, waiting: usize) {
        self.longest = self.longest.max(waited);
        if waited >= QUEUE_WAIT_WARN_THRESHOLD
            && self.last_warning.is_none_or(|at| at.elapsed() >= QUEUE_WAIT_WARN_INTERVAL)
        {
            self.last_warning = Some(Instant::now());
            tracing::warn!(target: "node", waited_ms = waited.as_millis() as u64, waiting, "event loop is late");
        }
    }
}

/// Drives the hub. Runs on a thread of its own.
pub struct EventLoop {
    hub: Hub,
    shared: Arc<Shared>,
    /// Response channels of the requests that the hub knows.
    channels: HashMap<RequestId, Arc<ResponseChannel>>,
    commands: Vec<Command>,
    comparison: Comparison,
    queue_wait: QueueWait,
}

impl EventLoop {
    /// Creates the event loop for a hub.
    pub fn new(hub: Hub, shared: Arc<Shared>) -> EventLoop {
        EventLoop {
            hub,
            shared,
            channels: HashMap::new(),
            commands: Vec::new(),
            comparison: Comparison::default(),
            queue_wait: QueueWait::default(),
        }
    }

    /// Executes the hub's pending commands and publishes its counts.
    fn execute_commands(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            self.execute(command);
        }
        self.commands = commands;
        let (open, _) = self.hub.open_and_held_counts();
        self.shared.open_requests.store(open, Ordering::SeqCst);
        self.shared.pending_releases.store(self.hub.pending_releases(), Ordering::SeqCst);
    }

    /// Executes one command of the hub.
    fn execute(&mut self, command: Command) {
        match command {
            Command::Send { id, attempt, server, address: dial, timeout, is_repeatable: harmless } => {
                let Some(channel) = self.channels.get(&id).cloned() else { return };
                let timeout = Duration::from_micros(timeout);
                tracing::debug!(
                    target: "sent", trace = %channel.request.trace, attempt, server = %server.0, ?timeout, harmless,
                );
                engine::start_attempt(
                    &self.shared,
                    Attempt { id, number: attempt, server, dial, timeout, is_harmless: harmless, channel },
                );
            }
            Command::Cancel { id, attempt } => {
                if let Some(channel) = self.channels.get(&id) {
                    channel.cancel_attempt(attempt);
                }
            }
            Command::WithdrawAttempt { id, attempt } => {
                if let Some(channel) = self.channels.get(&id) {
                    channel.withdraw_attempt(attempt);
                }
            }
            Command::EndStream { id } => {
                if let Some(channel) = self.channels.get(&id) {
                    channel.cut_stream();
                }
            }
            Command::Answer { id, last, attempts, last_outcome } => {
                if let Some(channel) = self.channels.get(&id) {
                    tracing::debug!(
                        target: "answered", trace = %channel.request.trace, ?last, attempts, ?last_outcome,
                    );
                    channel.send(ResponseEvent::Final(last));
                }
            }
            Command::Release { id, trace, holder, release_number: round, engine, address: dial } => {
                engine::start_release(
                    &self.shared,
                    engine::ReleaseCall { id, trace, holder, round, engine, dial },
                );
            }
            Command::Probe { server, address: dial } => engine::start_probe(&self.shared, server, dial),
            Command::RemoveRequest { id } => {
                self.channels.remove(&id);
            }
        }
    }

    /// Logs servers for which the hub's count of attempts differs from the open connections.
    fn log_differences(&mut self) {
        for difference in
            self.comparison.compare(&self.hub.attempts_by_address(), &self.shared.in_flight.snapshot())
        {
            tracing::warn!(
                target: "node", server = %difference.server, believed = difference.believed, open = difference.open, "differs",
            );
        }
    }

    /// Logs what the hub holds together with what is open on sockets.
    fn log_state(&mut self) {
        let (open, leases) = self.hub.open_and_held_counts();
        let (engine_connections, idle) = self.shared.pool.open_and_idle();
        let in_flight: usize = self.hub.attempts_by_address().values().sum();
        let queue_wait = std::mem::take(&mut self.queue_wait.longest);
        tracing::info!(
            target: "node", open, attempts = in_flight, seats = self.channels.len(), leases, servers = self.hub.server_count(),
            engine_connections = engine_connections, idle, opened = self.shared.pool.opened(), examined = self.hub.examined_servers(),
            longest_queue_wait_ms = queue_wait.as_millis() as u64, client_connections = self.shared.client_connections.len(),
            body_bytes = self.shared.body_memory.reserved_bytes(), counts = ?self.hub.counts(), "state",
        );
    }
}

impl StateMachine for EventLoop {
    type Event = SubmittedEvent;

    fn handle(&mut self, now: Micros, submitted: SubmittedEvent) -> bool {
        self.queue_wait.record(submitted.at.elapsed(), self.shared.inbox.queued_len());
        match submitted.event {
            Event::RequestReceived { id, mut client_request, channel, received_at } => {
                let waited_us = u64::try_from(received_at.elapsed().as_micros()).unwrap_or(u64::MAX);
                client_request.arrival.time_left = client_request.arrival.time_left.saturating_sub(waited_us);
                tracing::debug!(
                    target: "taken", trace = %client_request.request_id, class = client_request.arrival.class, left_ms = client_request.arrival.time_left / 1000,
                    prompt = client_request.arrival.prompt_tokens, session = ?client_request.arrival.session, again = client_request.arrival.is_resumed,
                );
                self.channels.insert(id, channel);
                self.hub.handle(now, Input::Arrived { id, client_request }, &mut self.commands);
            }
            Event::HubInput(input) => self.hub.handle(now, input, &mut self.commands),
            Event::LogState => self.log_state(),
            Event::PublishTally => {
                if let Some(counting) = self.hub.counting_mut() {
                    self.shared.tally_slot.put(counting.tally().clone());
                }
            }
            Event::SetCountingSettings { digest, settings } => {
                if let Some(counting) = self.hub.counting_mut() {
                    counting.set_settings(&digest, &self.shared.names.classes, &settings);
                }
            }
            Event::CompareInFlight => self.log_differences(),
        }
        self.execute_commands();
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        self.hub.next_timer()
    }

    fn on_timer(&mut self, now: Micros) {
        self.hub.run_due_timers(now, &mut self.commands);
        self.execute_commands();
    }
}
