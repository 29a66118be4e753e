//! The state held by the owner thread: one state machine, its disk and its connections.
//!
//! Carries out outputs in order; after a failed write it carries out nothing more.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use elderstage_fleet::agent::{self, Agent};
use elderstage_fleet::keeper::{self, Keeper, Notice};
use elderstage_fleet::wire::{self, Frame};
use elderstage_net::owner::{Micros, StateMachine};

use crate::disk::Disk;
use crate::links::{Event, FrameSender, PeerConnections};

/// The state machine of this process.
pub enum Core {
    Keeper(Box<Keeper>, Disk),
    Agent(Box<Agent>),
}

/// A keeper or agent process.
pub struct FleetProcess {
    pub core: Core,
    pub connections: PeerConnections,
    /// Connections of clients, by number.
    pub clients: HashMap<u64, FrameSender>,
    /// Why the process can't go on. The main thread polls `has_failed`, since without further events the owner would
    /// not end.
    pub failure: Option<String>,
    pub has_failed: Arc<AtomicBool>,
}

/// Logs an event of the keeper.
fn log_notice(notice: &Notice) {
    match notice {
        Notice::DiskFault(what) => tracing::warn!(target: "fleet", %what, "fault found on disk at start"),
        Notice::Bootstrapped => tracing::info!(target: "fleet", "started a new record"),
        Notice::Rejoined => tracing::info!(target: "fleet", "rejoined the record"),
        Notice::LeaderChanged(Some(keeper)) => tracing::info!(target: "fleet", %keeper, "leader changed"),
        Notice::LeaderChanged(None) => tracing::info!(target: "fleet", "no leader known"),
        Notice::CommandApplied { command, outcome } => {
            let (by, number) = (&command.proposer.name, command.number);
            tracing::info!(target: "fleet", %by, number, ?outcome, "command applied");
        }
        Notice::CorruptReport(key) => tracing::warn!(target: "fleet", key, "report on disk is corrupt"),
        Notice::RejectedMessage { peer } => tracing::warn!(target: "fleet", %peer, "rejected message"),
    }
}

impl FleetProcess {
    /// Records the first failure.
    fn fail(&mut self, reason: String) {
        self.failure.get_or_insert(reason);
        self.has_failed.store(true, Ordering::SeqCst);
    }

    /// Carries out a keeper's outputs in order. `false` if a write failed; no output after it was carried out.
    pub fn run_keeper_outputs(&mut self, outputs: Vec<keeper::Output>) -> bool {
        for output in outputs {
            let Core::Keeper(_, disk) = &self.core else { return false };
            let result = match &output {
                keeper::Output::Write(write) => disk.write(write),
                keeper::Output::StoreReports(reports) => disk.store_reports(reports),
                _ => Ok(()),
            };
            if let Err(error) = result {
                // Later messages depend on this write and must not be sent.
                self.fail(error.to_string());
                return false;
            }
            match output {
                keeper::Output::Send { to, at, body } => self.connections.send(&to, at, body),
                keeper::Output::ClientResponse { conn, response } => {
                    if let (Some(sender), Ok(frame)) =
                        (self.clients.get(&conn), wire::encode(&Frame::ClientResponse(response)))
                    {
                        sender.send(frame.into());
                    }
                }
                keeper::Output::Notice(notice) => log_notice(&notice),
                keeper::Output::Write(_) | keeper::Output::StoreReports(_) => {}
            }
        }
        true
    }

    fn run_agent_outputs(&mut self, outputs: Vec<agent::Output>) {
        for output in outputs {
            match output {
                agent::Output::Send { to, at, body } => self.connections.send(&to, at, body),
                agent::Output::ReachableKeepers { reachable } => {
                    tracing::info!(target: "fleet", heard = reachable, "number of reachable keepers changed")
                }
                agent::Output::RejectedMessage { peer } => {
                    tracing::warn!(target: "fleet", %peer, "rejected message")
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

impl StateMachine for FleetProcess {
    type Event = Event;

    fn handle(&mut self, now: Micros, event: Event) -> bool {
        // Nothing is sent after a failed write.
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
                let reason = "this process is an agent; send requests to a keeper".to_owned();
                let response = Box::new(wire::ClientResponse::Unconfirmed(reason));
                if let Ok(frame) = wire::encode(&Frame::ClientResponse(response)) {
                    sender.send(frame.into());
                }
            }
            Event::ClientDisconnected { conn } => {
                self.clients.remove(&conn);
                return self.handle_keeper_input(now, keeper::Input::ClientDisconnected { conn });
            }
            Event::TallyRead(tally) => return self.handle_agent_input(now, agent::Input::TallyRead(tally)),
            Event::Stop => return false,
        }
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        // After a failure no timer runs; the main thread sees `has_failed` at its next poll.
        if self.failure.is_some() {
            return None;
        }
        Some(match &self.core {
            Core::Keeper(core, _) => core.next_timer(),
            Core::Agent(core) => core.next_timer(),
        })
    }

    fn on_timer(&mut self, now: Micros) {
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
