//! State machine of a keeper: its replica of the record, its membership view, its reports and the requests of clients.
//!
//! Does no I/O. Invariant: outputs are carried out in order, and a write is on disk before any output after it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::evidence::{EvidenceSummary, Report, ReportStore};
use crate::members::{Identity, MemberKind, Members, OutgoingMessage};
use crate::name::Name;
use crate::record::{
    BlockKind, Command, DiskWrite, MAX_COMMAND_BYTES, Operation, Outcome, Participation, Proposer,
    RecordError, Replica, ReplicaOutput, Role, StoredBlocks, TICK_INTERVAL, decode_block, encode_block,
};
use crate::wire::{ClientRequest, ClientResponse, FleetStatus, MemberMessage};
use crate::{MILLISECOND, Micros, SECOND};

/// Interval at which a command that is not applied yet is proposed again.
const PROPOSE_RETRY_INTERVAL: Micros = 500 * MILLISECOND;
/// Time after which a client is told that its command is not confirmed.
const COMMAND_TIMEOUT: Micros = 30 * SECOND;
/// Maximum number of client commands that wait.
const MAX_WAITING_COMMANDS: usize = 1024;
/// Interval at which one other keeper gets the versions of the held reports; it returns newer ones, up to this many
/// bytes.
const REPORT_SYNC_INTERVAL: Micros = 2 * SECOND;
const MAX_REPORT_SYNC_BYTES: usize = 1 << 20;
/// Interval at which new reports are written to disk.
const REPORT_STORE_INTERVAL: Micros = 5 * SECOND;
/// Interval at which a keeper with a blank disk queries the other keepers.
const BOOTSTRAP_QUERY_INTERVAL: Micros = 250 * MILLISECOND;

/// An event for a keeper.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from a member of this fleet.
    PeerMessage { peer: Name, body: MemberMessage },
    /// A client request on this connection.
    ClientRequest { conn: u64, request: ClientRequest },
    /// The connection of a client has closed.
    ClientDisconnected { conn: u64 },
}

/// What the caller does next, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Must be on disk before any later output is carried out.
    Write(Box<DiskWrite>),
    /// Reports for the disk, by key; no other output depends on them.
    StoreReports(Vec<(u64, Vec<u8>)>),
    /// A message to a member. `at` is its listen address if membership provides it; else the configuration does.
    Send { to: Name, at: Option<SocketAddr>, body: MemberMessage },
    /// A response to a client.
    ClientResponse { conn: u64, response: Box<ClientResponse> },
    /// An event for the operator.
    Notice(Notice),
}

/// An event that the operator may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A fault found on the disk at start.
    DiskFault(String),
    /// A new record was started.
    Bootstrapped,
    /// This keeper again has all entries that it may have acknowledged.
    Rejoined,
    /// The leader is now this keeper or another one; `None` if no leader is known.
    LeaderChanged(Option<Name>),
    /// A command was applied.
    CommandApplied { command: Box<Command>, outcome: Outcome },
    /// A report on disk is corrupt; by its key.
    CorruptReport(u64),
    /// A message of this member was malformed or not permitted.
    RejectedMessage { peer: Name },
}

/// A client command that is not applied yet, and the connections that wait for it.
struct WaitingCommand {
    command: Box<Command>,
    connections: BTreeSet<u64>,
    expires_at: Micros,
    retry_at: Micros,
}

/// Parameters of a keeper.
pub struct KeeperSetup {
    pub fleet: Name,
    pub keepers: Vec<Name>,
    pub me: Identity,
    pub seeds: Vec<Identity>,
    /// Random for this start; seeds membership.
    pub seed: u64,
}

/// A keeper.
pub struct Keeper {
    fleet: Name,
    keepers: Vec<Name>,
    name: Name,
    replica: Replica,
    members: Members,
    store: ReportStore,
    /// Reports that are not on disk yet, by member and boot.
    unsaved_reports: BTreeSet<(Name, u64)>,
    waiting: BTreeMap<(Proposer, u64), WaitingCommand>,
    leader: u64,
    is_bootstrapping: bool,
    next_tick: Micros,
    next_sync: Micros,
    sync_count: usize,
    next_report_store: Micros,
    next_bootstrap_query: Micros,
}

/// Key of a report on disk: a digest of member and boot.
fn report_key(member: &Name, boot: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.as_str().as_bytes()).update(&boot.to_le_bytes());
    let mut key = [0; 8];
    hasher.finalize_xof().fill(&mut key);
    u64::from_le_bytes(key)
}

impl Keeper {
    /// Starts a keeper from its disk.
    pub fn new(
        setup: KeeperSetup,
        stored: &StoredBlocks,
        reports: &[(u64, Vec<u8>)],
        now: Micros,
        out: &mut Vec<Output>,
    ) -> Result<Keeper, RecordError> {
        let name = setup.me.name.clone();
        let number = setup.keepers.iter().position(|keeper| *keeper == name).map_or(0, |n| n as u64 + 1);
        let voters: Vec<u64> = (1..=setup.keepers.len() as u64).collect();
        let replica = Replica::new(&setup.fleet, &name, number, &voters, stored, setup.me.boot)?;
        out.extend(
            replica.disk_faults().iter().map(|fault| Output::Notice(Notice::DiskFault(fault.clone()))),
        );
        let mut store = ReportStore::default();
        for (key, block) in reports {
            let report = decode_block(BlockKind::Report(*key), block)
                .and_then(|bytes| postcard::from_bytes::<Report>(bytes).ok());
            match report {
                Some(report) => {
                    store.take(now, &report);
                }
                None => out.push(Output::Notice(Notice::CorruptReport(*key))),
            }
        }
        let is_bootstrapping = matches!(replica.participation(), Participation::Blank { .. });
        let members = Members::new(setup.me, setup.seeds, setup.seed, now);
        let mut keeper = Keeper {
            fleet: setup.fleet,
            keepers: setup.keepers,
            name,
            replica,
            members,
            store,
            unsaved_reports: BTreeSet::new(),
            waiting: BTreeMap::new(),
            leader: 0,
            is_bootstrapping,
            next_tick: now + TICK_INTERVAL,
            next_sync: now + REPORT_SYNC_INTERVAL,
            sync_count: 0,
            next_report_store: now + REPORT_STORE_INTERVAL,
            next_bootstrap_query: now,
        };
        keeper.process_replica_outputs(now, out)?;
        Ok(keeper)
    }

    /// The replica of the record.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The held reports.
    pub fn store(&self) -> &ReportStore {
        &self.store
    }

    /// The membership view.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// When [`Self::wake`] is due next.
    pub fn next_timer(&self) -> Micros {
        let waiting = self.waiting.values().map(|waiting| waiting.retry_at.min(waiting.expires_at));
        let is_bootstrapping = self.is_bootstrapping.then_some(self.next_bootstrap_query);
        let deadlines = waiting.chain(is_bootstrapping).chain(self.members.next_timer()).chain([
            self.next_tick,
            self.next_sync,
            self.next_report_store,
        ]);
        deadlines.min().unwrap_or(self.next_tick)
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) -> Result<(), RecordError> {
        match input {
            Input::PeerMessage { peer, body } => self.handle_peer_message(now, peer, body, out)?,
            Input::ClientRequest { conn, request: ClientRequest::Show } => {
                let response = Box::new(ClientResponse::Status(Box::new(self.status(now))));
                out.push(Output::ClientResponse { conn, response });
            }
            Input::ClientRequest { conn, request: ClientRequest::Propose(command) } => {
                self.handle_client_command(now, conn, command, out)
            }
            Input::ClientDisconnected { conn } => self.waiting.retain(|_, waiting| {
                waiting.connections.remove(&conn);
                !waiting.connections.is_empty()
            }),
        }
        self.process_replica_outputs(now, out)
    }

    /// Runs all timers that are due.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Output>) -> Result<(), RecordError> {
        // Ticks missed during a pause are not made up for: the other keepers have gone on.
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.replica.tick();
        }
        let mut sends = Vec::new();
        self.members.wake(now, &mut sends);
        self.send_gossip(sends, out);
        if self.is_bootstrapping && now >= self.next_bootstrap_query {
            self.next_bootstrap_query = now + BOOTSTRAP_QUERY_INTERVAL;
            let status = self.replica.log_status();
            self.send_to_keepers(|_| MemberMessage::LogStatus { status, wants_reply: true }, out);
        }
        if now >= self.next_sync {
            self.next_sync = now + REPORT_SYNC_INTERVAL;
            self.send_report_versions(out);
        }
        if now >= self.next_report_store {
            self.next_report_store = now + REPORT_STORE_INTERVAL;
            self.store_reports(out);
        }
        let mut expired = Vec::new();
        for (key, waiting) in &mut self.waiting {
            if now >= waiting.expires_at {
                expired.push(key.clone());
            } else if now >= waiting.retry_at {
                waiting.retry_at = now + PROPOSE_RETRY_INTERVAL;
                self.replica.propose(&waiting.command);
            }
        }
        for waiting in expired.iter().filter_map(|key| self.waiting.remove(key)) {
            let reason = if self.replica.status().leader == 0 {
                "this keeper knows no leader"
            } else {
                "no majority has confirmed it"
            };
            for conn in waiting.connections {
                out.push(Output::ClientResponse {
                    conn,
                    response: Box::new(ClientResponse::Unconfirmed(reason.into())),
                });
            }
        }
        self.process_replica_outputs(now, out)
    }

    fn keeper_number(&self, keeper: &Name) -> Option<u64> {
        self.keepers.iter().position(|name| name == keeper).map(|n| n as u64 + 1)
    }

    fn send_to_keepers(&self, body: impl Fn(&Name) -> MemberMessage, out: &mut Vec<Output>) {
        for to in self.keepers.iter().filter(|name| **name != self.name) {
            out.push(Output::Send { to: to.clone(), at: None, body: body(to) });
        }
    }

    fn handle_peer_message(
        &mut self,
        now: Micros,
        peer: Name,
        body: MemberMessage,
        out: &mut Vec<Output>,
    ) -> Result<(), RecordError> {
        let number = self.keeper_number(&peer);
        let mut is_rejected = false;
        match (body, number) {
            (MemberMessage::Raft(message), Some(_)) => match self.replica.step(&message) {
                Err(RecordError::MalformedMessage) => is_rejected = true,
                done => done?,
            },
            (MemberMessage::LogStatus { status, wants_reply }, Some(number)) => {
                self.replica.record_peer_status(number, status);
                if wants_reply {
                    let body =
                        MemberMessage::LogStatus { status: self.replica.log_status(), wants_reply: false };
                    out.push(Output::Send { to: peer.clone(), at: None, body });
                }
            }
            (MemberMessage::ReportVersions(peer_versions), Some(_)) => {
                let newer = self.store.newer_than(&peer_versions, MAX_REPORT_SYNC_BYTES);
                if !newer.is_empty() {
                    out.push(Output::Send {
                        to: peer.clone(),
                        at: None,
                        body: MemberMessage::Reports(newer),
                    });
                }
            }
            (MemberMessage::Reports(reports), Some(_)) => {
                reports.iter().for_each(|report| self.take_report(now, report))
            }
            (MemberMessage::Swim(message), _) => {
                let mut sends = Vec::new();
                is_rejected = !self.members.handle(now, &message, &mut sends);
                self.send_gossip(sends, out);
            }
            // A member reports only its own counts.
            (MemberMessage::Report(report), _)
                if report.member == peer && report.kind != MemberKind::Keeper =>
            {
                self.take_report(now, &report);
                let body =
                    MemberMessage::ReportAck { applied_commands: self.replica.state().applied_commands() };
                out.push(Output::Send { to: peer.clone(), at: None, body });
            }
            _ => is_rejected = true,
        }
        if is_rejected {
            out.push(Output::Notice(Notice::RejectedMessage { peer }));
        }
        Ok(())
    }

    fn take_report(&mut self, now: Micros, report: &Report) {
        if self.store.take(now, report) {
            self.unsaved_reports.insert((report.member.clone(), report.boot));
        }
    }

    fn send_gossip(&self, sends: Vec<OutgoingMessage>, out: &mut Vec<Output>) {
        for OutgoingMessage { to, message } in sends {
            out.push(Output::Send { to: to.name, at: Some(to.at), body: MemberMessage::Swim(message) });
        }
    }

    /// Sends the versions of the held reports to one other keeper, each in turn.
    fn send_report_versions(&mut self, out: &mut Vec<Output>) {
        let others: Vec<&Name> = self.keepers.iter().filter(|name| **name != self.name).collect();
        let to = others[self.sync_count % others.len()].clone();
        self.sync_count += 1;
        out.push(Output::Send { to, at: None, body: MemberMessage::ReportVersions(self.store.versions()) });
    }

    fn store_reports(&mut self, out: &mut Vec<Output>) {
        let unsaved_reports = std::mem::take(&mut self.unsaved_reports);
        let mut blocks = Vec::new();
        for (name, held) in self.store.members() {
            let new = held.boots.keys().filter(|boot| unsaved_reports.contains(&(name.clone(), **boot)));
            for report in new.filter_map(|boot| held.report(name, *boot)) {
                let key = report_key(name, report.boot);
                if let Ok(bytes) = postcard::to_stdvec(&report) {
                    blocks.push((key, encode_block(BlockKind::Report(key), &bytes)));
                }
            }
        }
        if !blocks.is_empty() {
            out.push(Output::StoreReports(blocks));
        }
    }

    fn handle_client_command(
        &mut self,
        now: Micros,
        conn: u64,
        command: Box<Command>,
        out: &mut Vec<Output>,
    ) {
        let response = |response| Output::ClientResponse { conn, response: Box::new(response) };
        let refused = |key: &str, reason: &str| {
            response(ClientResponse::Refused(crate::change::BadProposal {
                key: key.into(),
                reason: reason.into(),
            }))
        };
        match &command.operation {
            Operation::Propose(proposal) => {
                if let Err(error) = proposal.check() {
                    return out.push(response(ClientResponse::Refused(error)));
                }
            }
            Operation::Stop { .. } => {}
            Operation::Rejoin { .. } => {
                return out.push(refused("order", "only a keeper may propose a rejoin"));
            }
        }
        if postcard::to_stdvec(&command).map_or(true, |bytes| bytes.len() > MAX_COMMAND_BYTES) {
            return out.push(refused("command", &format!("larger than {MAX_COMMAND_BYTES} bytes")));
        }
        let key = (command.proposer.clone(), command.number);
        if !self.waiting.contains_key(&key) && self.waiting.len() >= MAX_WAITING_COMMANDS {
            return out.push(response(ClientResponse::Unconfirmed(format!(
                "{MAX_WAITING_COMMANDS} commands are waiting at this keeper already"
            ))));
        }
        self.replica.propose(&command);
        let new = WaitingCommand {
            command,
            connections: BTreeSet::new(),
            expires_at: now + COMMAND_TIMEOUT,
            retry_at: now + PROPOSE_RETRY_INTERVAL,
        };
        self.waiting.entry(key).or_insert(new).connections.insert(conn);
    }

    /// Turns the outputs of the replica into outputs of the keeper.
    fn process_replica_outputs(&mut self, _now: Micros, out: &mut Vec<Output>) -> Result<(), RecordError> {
        let mut outputs = Vec::new();
        self.replica.take_outputs(&mut outputs)?;
        for output in outputs {
            match output {
                ReplicaOutput::Write(write) => out.push(Output::Write(write)),
                ReplicaOutput::Send { to, message } => {
                    if let Some(name) = self.keepers.get((to as usize).wrapping_sub(1)) {
                        out.push(Output::Send {
                            to: name.clone(),
                            at: None,
                            body: MemberMessage::Raft(message),
                        });
                    }
                }
                ReplicaOutput::Applied { command, outcome } => {
                    let waiting = self.waiting.remove(&(command.proposer.clone(), command.number));
                    for conn in waiting.into_iter().flat_map(|waiting| waiting.connections) {
                        let response = match &outcome {
                            Outcome::Refused(error) => ClientResponse::Refused(error.clone()),
                            outcome => ClientResponse::Applied(outcome.clone()),
                        };
                        out.push(Output::ClientResponse { conn, response: Box::new(response) });
                    }
                    out.push(Output::Notice(Notice::CommandApplied { command, outcome }));
                }
                ReplicaOutput::Restored => {}
                ReplicaOutput::Rejoined => out.push(Output::Notice(Notice::Rejoined)),
            }
        }
        if self.is_bootstrapping && !matches!(self.replica.participation(), Participation::Blank { .. }) {
            self.is_bootstrapping = false;
            if self.replica.participation().can_vote() {
                out.push(Output::Notice(Notice::Bootstrapped));
            }
        }
        let status = self.replica.status();
        if status.leader != self.leader {
            self.leader = status.leader;
            let name = self.keepers.get((status.leader as usize).wrapping_sub(1)).cloned();
            out.push(Output::Notice(Notice::LeaderChanged(name)));
        }
        Ok(())
    }

    /// Whether this keeper considers itself the leader.
    pub fn is_leader(&self) -> bool {
        self.replica.status().role == Role::Leader
    }

    /// The state of the fleet as this keeper sees it.
    pub fn status(&self, now: Micros) -> FleetStatus {
        let summary = EvidenceSummary::from_store(&self.store, now);
        FleetStatus {
            fleet: self.fleet.clone(),
            keeper: self.name.clone(),
            keepers: self.keepers.clone(),
            status: self.replica.status(),
            disk_faults: self.replica.disk_faults().to_vec(),
            applied_commands: self.replica.state().applied_commands(),
            digest: self.replica.state().digest(),
            changes: self.replica.state().changes().cloned().collect(),
            members: self.members.statuses(),
            counting: summary.members,
            silent: summary.silent,
            groups: summary.groups.into_iter().collect(),
        }
    }
}
