//! The owner's thread: one core, its disk and its links.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use elderstage_fleet::agent::{self, Agent};
use elderstage_fleet::keeper::{self, Keeper, Notice};
use elderstage_fleet::wire::{self, Frame};
use elderstage_net::owner::{Machine, Micros};

use crate::disk::Disk;
use crate::links::{Event, FrameSender, PeerConnections};

/// Which core it is.
pub enum Core {
    Keeper(Box<Keeper>, Disk),
    Agent(Box<Agent>),
}

pub struct FleetProcess {
    pub core: Core,
    pub connections: PeerConnections,
    /// Clients' connections, by number.
    pub clients: HashMap<u64, FrameSender>,
    /// Why it can't go on. Seen by the main thread at `has_failed`: with nothing more coming in no event would end it.
    pub failure: Option<String>,
    pub has_failed: Arc<AtomicBool>,
}

fn log_notice(notice: &Notice) {
    match notice {
        Notice::DiskFault(what) => tracing::warn!(target: "fleet", %what, "the disk is not as it was left"),
        Notice::Bootstrapped => tracing::info!(target: "fleet", "the record is founded"),
        Notice::Rejoined => tracing::info!(target: "fleet", "has all of the record again"),
        Notice::LeaderChanged(Some(keeper)) => tracing::info!(target: "fleet", %keeper, "leads"),
        Notice::LeaderChanged(None) => tracing::info!(target: "fleet", "no leader is known"),
        Notice::CommandApplied { command, outcome } => {
            let (by, number) = (&command.proposer.name, command.number);
            tracing::info!(target: "fleet", %by, number, ?outcome, "decided");
        }
        Notice::CorruptReport(key) => tracing::warn!(target: "fleet", key, "a report on disk is spoilt"),
        Notice::RejectedMessage { peer } => tracing::warn!(target: "fleet", %peer, "said what can't be used"),
    }
}

impl FleetProcess {
    fn fail(&mut self, why: String) {
        self.failure.get_or_insert(why);
        self.has_failed.store(true, Ordering::SeqCst);
    }

    /// Carries out what a keeper says, in order. `false`: the disk has failed and nothing after it was done.
    pub fn run_keeper_outputs(&mut self, outputs: Vec<keeper::Output>) -> bool {
        for action in outputs {
            let Core::Keeper(_, disk) = &self.core else { return false };
            let result = match &action {
                keeper::Output::Write(write) => disk.write(write),
                keeper::Output::StoreReports(reports) => disk.store_reports(reports),
                _ => Ok(()),
            };
            if let Err(error) = result {
                // What follows must not be said: whoever can't write is not there.
                self.fail(error.to_string());
                return false;
            }
            match action {
                keeper::Output::Send { to, at, body } => self.connections.send(&to, at, body),
                keeper::Output::ClientResponse { conn, response } => {
                    if let (Some(sender), Ok(frame)) =
                        (self.clients.get(&conn), wire::encode(&Frame::ClientResponse(response)))
                    {
                        sender.send(frame.into());
                    }
                }
                keeper::Output::Notice(what) => log_notice(&what),
                keeper::Output::Write(_) | keeper::Output::StoreReports(_) => {}
            }
        }
        true
    }

    fn run_agent_outputs(&mut self, outputs: Vec<agent::Output>) {
        for action in outputs {
            match action {
                agent::Output::Send { to, at, body } => self.connections.send(&to, at, body),
                agent::Output::ReachableKeepers { reachable } => {
                    tracing::info!(target: "fleet", heard = reachable, "keepers")
                }
                agent::Output::RejectedMessage { peer } => {
                    tracing::warn!(target: "fleet", %peer, "said what can't be used")
                }
            }
        }
    }

    fn handle_keeper_input(&mut self, now: Micros, input: keeper::Input) -> bool {
        let Core::Keeper(core, _) = &mut self.core else { return true };
        let mut outputs = Vec::new();
        match core.handle(now, input, &mut outputs) {
            Ok(()) => self.run_keeper_outputs(outputs),
            Err(error) => {
                self.fail(error.to_string());
                false
            }
        }
    }

    fn handle_agent_input(&mut self, now: Micros, input: agent::Input) -> bool {
        let Core::Agent(core) = &mut self.core else { return true };
        let mut outputs = Vec::new();
        core.handle(now, input, &mut outputs);
        self.run_agent_outputs(outputs);
        true
    }
}

impl Machine for FleetProcess {
    type Event = Event;

    fn handle(&mut self, now: Micros, event: Event) -> bool {
        // Nothing is said after a write that failed.
        if self.failure.is_some() {
            return false;
        }
        match event {
            Event::PeerConnected { conn, peer, sender } => {
                self.connections.peer_connected(conn, peer, sender)
            }
            Event::PeerDisconnected { conn, peer } => self.connections.peer_disconnected(conn, &peer),
            Event::ConnectFailed { peer } => self.connections.connect_failed(&peer),
            Event::PeerMessage { peer, body } => {
                return match &self.core {
                    Core::Keeper(..) => {
                        self.handle_keeper_input(now, keeper::Input::PeerMessage { peer, body })
                    }
                    Core::Agent(_) => self.handle_agent_input(now, agent::Input::PeerMessage { peer, body }),
                };
            }
            Event::ClientRequest { conn, request, sender } => {
                if matches!(self.core, Core::Keeper(..)) {
                    self.clients.insert(conn, sender);
                    return self.handle_keeper_input(now, keeper::Input::ClientRequest { conn, request });
                }
                let reason = "this is an agent: ask a keeper".to_owned();
                let response = Box::new(wire::ClientResponse::Unconfirmed(reason));
                if let Ok(frame) = wire::encode(&Frame::ClientResponse(response)) {
                    sender.send(frame.into());
                }
            }
            Event::ClientDisconnected { conn } => {
                self.clients.remove(&conn);
                return self.handle_keeper_input(now, keeper::Input::ClientDisconnected { conn });
            }
            Event::TallyRead(told) => return self.handle_agent_input(now, agent::Input::TallyRead(told)),
            Event::Stop => return false,
        }
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        // A disk that has failed is an end, told at the next look.
        if self.failure.is_some() {
            return None;
        }
        Some(match &self.core {
            Core::Keeper(core, _) => core.next_timer(),
            Core::Agent(core) => core.next_timer(),
        })
    }

    fn wake(&mut self, now: Micros) {
        match &mut self.core {
            Core::Keeper(core, _) => {
                let mut outputs = Vec::new();
                match core.wake(now, &mut outputs) {
                    Ok(()) => drop(self.run_keeper_outputs(outputs)),
                    Err(error) => self.fail(error.to_string()),
                }
            }
            Core::Agent(core) => {
                let mut outputs = Vec::new();
                core.wake(now, &mut outputs);
                self.run_agent_outputs(outputs);
            }
        }
    }
}
