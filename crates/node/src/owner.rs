//! The one owner of the hub and with it of the module: events in from all coroutines, commands out to them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use elderstage::{ReqId, Settings};
use elderstage_net::owner::{Machine, Micros};
use elderstage_platform::ask::Ask;
use elderstage_platform::hub::{Command, Hub, Input};

use crate::Shared;
use crate::beliefs::Looks;
use crate::engine::{self, Attempt};
use crate::seat::{Mail, Seat};

/// What coroutines and threads tell the owner.
pub enum In {
    /// A request was read whole.
    Open {
        id: ReqId,
        ask: Ask,
        seat: Arc<Seat>,
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

pub struct Owner {
    hub: Hub,
    shared: Arc<Shared>,
    seats: HashMap<ReqId, Arc<Seat>>,
    commands: Vec<Command>,
    looks: Looks,
}

impl Owner {
    pub fn new(hub: Hub, shared: Arc<Shared>) -> Owner {
        Owner { hub, shared, seats: HashMap::new(), commands: Vec::new(), looks: Looks::default() }
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
            Command::Send { id, attempt, server, dial, timeout, harmless, fetches } => {
                let Some(seat) = self.seats.get(&id).cloned() else { return };
                seat.fetching.store(fetches, Ordering::SeqCst);
                let timeout = Duration::from_micros(timeout);
                engine::attempt(&self.shared, Attempt { id, attempt, server, dial, timeout, harmless, seat });
            }
            Command::Cancel { id, attempt } => {
                if let Some(seat) = self.seats.get(&id) {
                    seat.cancel(attempt);
                }
            }
            Command::Withdraw { id, attempt } => {
                if let Some(seat) = self.seats.get(&id) {
                    seat.withdraw(attempt);
                }
            }
            Command::Move { id } => {
                if let Some(seat) = self.seats.get(&id) {
                    seat.cut();
                }
            }
            Command::Answer { id, last } => {
                if let Some(seat) = self.seats.get(&id) {
                    tracing::debug!(target: "answered", trace = %seat.parts.trace, ?last);
                    seat.post(Mail::Last(last));
                }
            }
            Command::Release { id, trace, holder, engine, dial } => {
                let fetching = self.seats.get(&id).map(|seat| seat.fetching.clone()).unwrap_or_default();
                engine::release(&self.shared, engine::Release { id, trace, holder, engine, dial, fetching });
            }
            Command::Probe { server, dial } => engine::probe(&self.shared, server, dial),
            Command::Forget { id } => {
                self.seats.remove(&id);
            }
        }
    }

    fn compare(&mut self) {
        for differs in self.looks.look(&self.hub.in_flight(), &self.shared.carrying.now()) {
            tracing::warn!(
                target: "node", server = %differs.at, believed = differs.believed, open = differs.open, "differs",
            );
        }
    }

    /// What the module holds beside what is open on sockets.
    fn trace(&self) {
        let (open, leases) = self.hub.held();
        let (links, idle) = self.shared.pool.counts();
        let out: usize = self.hub.in_flight().values().sum();
        tracing::info!(
            target: "node", open, attempts = out, seats = self.seats.len(), leases, servers = self.hub.servers(),
            engine_connections = links, idle, client_connections = self.shared.guests.len(),
            body_bytes = self.shared.bodies.taken(), counts = ?self.hub.counts(), "state",
        );
    }
}

impl Machine for Owner {
    type Event = In;

    fn handle(&mut self, now: Micros, event: In) -> bool {
        match event {
            In::Open { id, mut ask, seat, came } => {
                let waited = u64::try_from(came.elapsed().as_micros()).unwrap_or(u64::MAX);
                ask.arrival.time_left = ask.arrival.time_left.saturating_sub(waited);
                tracing::debug!(
                    target: "taken", trace = %ask.trace, class = ask.arrival.class, left_ms = ask.arrival.time_left / 1000,
                    prompt = ask.arrival.prompt, session = ?ask.arrival.session, again = ask.arrival.returned,
                );
                self.seats.insert(id, seat);
                self.hub.handle(now, Input::Arrived { id, ask }, &mut self.commands);
            }
            In::Hub(input) => self.hub.handle(now, input, &mut self.commands),
            In::Trace => self.trace(),
            In::Tally => {
                if let Some(counting) = self.hub.counting() {
                    self.shared.tally.put(counting.tally().clone());
                }
            }
            In::CountUnder { digest, settings } => {
                if let Some(counting) = self.hub.counting() {
                    counting.under(&digest, &self.shared.names.classes, &settings);
                }
            }
            In::Compare => self.compare(),
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
