//! The event loop, the one owner of the hub and with it of the module: events in from all coroutines, commands out to them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use elderstage::{ReqId, Settings};
use elderstage_net::owner::{Machine, Micros};
use elderstage_platform::ask::Ask;
use elderstage_platform::hub::{Command, Hub, Input};

use crate::Shared;
use crate::diagnosis::Comparison;
use crate::engine::{self, Attempt};
use crate::response::{ResponseChannel, ResponseEvent};

/// What coroutines and threads submit.
pub enum Event {
    /// A request was read whole.
    Open {
        id: ReqId,
        ask: Ask,
        channel: Arc<ResponseChannel>,
        /// When its last byte had come: its client's time runs since then.
        came: Instant,
    },
    Hub(Input),
    /// Write what is held and counted to the log.
    Trace,
    /// Hand out what was counted, for the agent beside this node.
    Tally,
    /// Count under other settings, known by this digest, from now on.
    CountUnder {
        digest: String,
        settings: Box<Settings>,
    },
    /// Compare what is held to be out with the connections that carry attempts.
    Compare,
}

/// An event, and when it was submitted: the time that it waits is the node's delay for all it serves.
pub struct Submitted {
    pub at: Instant,
    pub event: Event,
}

/// A wait in the queue from which on the log warns: the rules' limits on held state and on streams that end are near then.
const LATE: Duration = Duration::from_millis(200);
/// Least time between two such warnings.
const LATE_AGAIN: Duration = Duration::from_secs(1);

/// How long events have waited for the event loop.
#[derive(Debug, Default)]
struct QueueWait {
    /// The longest since the last state line.
    longest: Duration,
    warned: Option<Instant>,
}

impl QueueWait {
    fn note(&mut self, waited: Duration, waiting: usize) {
        self.longest = self.longest.max(waited);
        if waited >= LATE && self.warned.is_none_or(|at| at.elapsed() >= LATE_AGAIN) {
            self.warned = Some(Instant::now());
            tracing::warn!(target: "node", waited_ms = waited.as_millis() as u64, waiting, "event loop is late");
        }
    }
}

/// Drives the hub; runs on a thread of its own.
pub struct EventLoop {
    hub: Hub,
    shared: Arc<Shared>,
    channels: HashMap<ReqId, Arc<ResponseChannel>>,
    commands: Vec<Command>,
    comparison: Comparison,
    queue_wait: QueueWait,
}

impl EventLoop {
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

    fn carry_out(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            self.command(command);
        }
        self.commands = commands;
        let (open, _) = self.hub.held();
        self.shared.open.store(open, Ordering::SeqCst);
        self.shared.letting_go.store(self.hub.letting_go(), Ordering::SeqCst);
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Send { id, attempt, server, dial, timeout, harmless } => {
                let Some(channel) = self.channels.get(&id).cloned() else { return };
                let timeout = Duration::from_micros(timeout);
                tracing::debug!(
                    target: "sent", trace = %channel.parts.trace, attempt, server = %server.0, ?timeout, harmless,
                );
                engine::attempt(
                    &self.shared,
                    Attempt { id, attempt, server, dial, timeout, harmless, channel },
                );
            }
            Command::Cancel { id, attempt } => {
                if let Some(channel) = self.channels.get(&id) {
                    channel.cancel(attempt);
                }
            }
            Command::Withdraw { id, attempt } => {
                if let Some(channel) = self.channels.get(&id) {
                    channel.withdraw(attempt);
                }
            }
            Command::Move { id } => {
                if let Some(channel) = self.channels.get(&id) {
                    channel.cut();
                }
            }
            Command::Answer { id, last, attempts, last_outcome } => {
                if let Some(channel) = self.channels.get(&id) {
                    tracing::debug!(
                        target: "answered", trace = %channel.parts.trace, ?last, attempts, ?last_outcome,
                    );
                    channel.send(ResponseEvent::Last(last));
                }
            }
            Command::Release { id, trace, holder, round, engine, dial } => {
                engine::release(&self.shared, engine::Release { id, trace, holder, round, engine, dial });
            }
            Command::Probe { server, dial } => engine::probe(&self.shared, server, dial),
            Command::Forget { id } => {
                self.channels.remove(&id);
            }
        }
    }

    fn compare(&mut self) {
        for differs in self.comparison.compare(&self.hub.in_flight(), &self.shared.in_flight.snapshot()) {
            tracing::warn!(
                target: "node", server = %differs.server, believed = differs.believed, open = differs.open, "differs",
            );
        }
    }

    /// What the module holds beside what is open on sockets.
    fn trace(&mut self) {
        let (open, leases) = self.hub.held();
        let (links, idle) = self.shared.pool.counts();
        let out: usize = self.hub.in_flight().values().sum();
        let queue_wait = std::mem::take(&mut self.queue_wait.longest);
        tracing::info!(
            target: "node", open, attempts = out, seats = self.channels.len(), leases, servers = self.hub.servers(),
            engine_connections = links, idle, opened = self.shared.pool.opened(), examined = self.hub.examined(),
            longest_queue_wait_ms = queue_wait.as_millis() as u64, client_connections = self.shared.client_connections.len(),
            body_bytes = self.shared.bodies.reserved(), counts = ?self.hub.counts(), "state",
        );
    }
}

impl Machine for EventLoop {
    type Event = Submitted;

    fn handle(&mut self, now: Micros, submitted: Submitted) -> bool {
        self.queue_wait.note(submitted.at.elapsed(), self.shared.inbox.waiting());
        match submitted.event {
            Event::Open { id, mut ask, channel, came } => {
                let waited = u64::try_from(came.elapsed().as_micros()).unwrap_or(u64::MAX);
                ask.arrival.time_left = ask.arrival.time_left.saturating_sub(waited);
                tracing::debug!(
                    target: "taken", trace = %ask.trace, class = ask.arrival.class, left_ms = ask.arrival.time_left / 1000,
                    prompt = ask.arrival.prompt, session = ?ask.arrival.session, again = ask.arrival.returned,
                );
                self.channels.insert(id, channel);
                self.hub.handle(now, Input::Arrived { id, ask }, &mut self.commands);
            }
            Event::Hub(input) => self.hub.handle(now, input, &mut self.commands),
            Event::Trace => self.trace(),
            Event::Tally => {
                if let Some(counting) = self.hub.counting() {
                    self.shared.tally.put(counting.tally().clone());
                }
            }
            Event::CountUnder { digest, settings } => {
                if let Some(counting) = self.hub.counting() {
                    counting.under(&digest, &self.shared.names.classes, &settings);
                }
            }
            Event::Compare => self.compare(),
        }
        self.carry_out();
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        self.hub.next_timer()
    }

    fn wake(&mut self, now: Micros) {
        self.hub.wake(now, &mut self.commands);
        self.carry_out();
    }
}
