//! What discovery has said of each engine, so that an older list takes nothing of it back.
//!
//! A list of a lower version than one before comes from a discovery that lags, or from one that has numbered its lists anew.
//! Time does not tell the two apart, so such a list is used for what it adds, and the promise that nothing new goes to an
//! engine that drains or is gone comes first:
//!
//! - An engine that drains or is gone stays so until something newer says otherwise: a list of a higher version than the one
//!   that said so, or a later start of the engine.
//! - A drain or a removal that a list of a lower version tells counts as well.
//! - An engine's later start is not taken back: the engine would count as warm.
//! - An engine of which no newer list has said anything is used.
//!
//! A discovery that really has numbered anew is believed in everything else at once. Of an engine that it lists as running
//! again without a new start, it is believed when its versions exceed the one that told the drain, or after the node's next
//! start.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use elderstage::{ServerId, ServerStatus, Time};

use crate::list::{Host, List};

/// Most engines that have left and are remembered. Those that left first are forgotten first.
const MAX_GONE_ENGINES: usize = 4_096;

/// The newest that is known of an engine.
#[derive(Clone, Copy, Debug)]
struct EngineRecord {
    /// Version of the list that said so; 0 if discovery does not number its lists.
    version: u64,
    status: ServerStatus,
    /// Its last start, as wall time in microseconds; 0 means long ago.
    started: Time,
    address: Option<SocketAddr>,
}

/// The newest that is known of each engine.
#[derive(Debug, Default)]
pub struct ListHistory {
    engines: HashMap<ServerId, EngineRecord>,
    /// Number of engines that have left.
    gone_engines: usize,
    /// Number of entries that contradicted a newer list.
    overruled_entries: u64,
}

impl ListHistory {
    /// Takes over what is new in a list, and changes its entries to what is known of their engines.
    pub fn reconcile(&mut self, list: &mut List) {
        if list.is_complete {
            self.remove_missing(list);
        }
        for host in &mut list.hosts {
            self.reconcile_host(list.version, host);
        }
        if list.is_complete {
            // A complete list has no entries of engines that have left.
            list.hosts.retain(|host| host.entry.listed != ServerStatus::Gone);
        }
        self.forget_oldest();
    }

    /// Number of engines that are remembered.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no list has come.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Number of entries so far that contradicted a newer list.
    pub fn overruled_entries(&self) -> u64 {
        self.overruled_entries
    }

    /// Records that the engines that a complete list does not have are gone.
    fn remove_missing(&mut self, list: &List) {
        let listed: HashSet<&ServerId> = list.hosts.iter().map(|host| &host.entry.server).collect();
        for (server, record) in &mut self.engines {
            if record.status != ServerStatus::Gone && !listed.contains(server) {
                *record = record.merge(EngineRecord {
                    version: list.version,
                    status: ServerStatus::Gone,
                    ..*record
                });
                self.gone_engines += usize::from(record.status == ServerStatus::Gone);
            }
        }
    }

    fn reconcile_host(&mut self, version: u64, host: &mut Host) {
        let entry = &mut host.entry;
        let told =
            EngineRecord { version, status: entry.listed, started: entry.ready_at, address: host.address };
        let before = self.engines.get(&entry.server).copied();
        let known = before.map_or(told, |known| known.merge(told));
        let was_gone = before.is_some_and(|before| before.status == ServerStatus::Gone);
        self.gone_engines += usize::from(known.status == ServerStatus::Gone);
        self.gone_engines -= usize::from(was_gone);
        self.overruled_entries += u64::from(known.status != told.status);
        (entry.listed, entry.ready_at, host.address) = (known.status, known.started, known.address);
        self.engines.insert(entry.server.clone(), known);
    }

    /// Forgets engines that have left, if there are too many.
    fn forget_oldest(&mut self) {
        // Twice the number, so that a list does not need a pass over all engines each time.
        if self.gone_engines <= 2 * MAX_GONE_ENGINES {
            return;
        }
        let gone = self.engines.iter().filter(|(_, record)| record.status == ServerStatus::Gone);
        let mut gone: Vec<(u64, ServerId)> =
            gone.map(|(server, record)| (record.version, server.clone())).collect();
        gone.sort_unstable();
        let excess = gone.len() - MAX_GONE_ENGINES;
        for (_, server) in &gone[..excess] {
            self.engines.remove(server);
        }
        self.gone_engines -= excess;
    }
}

impl EngineRecord {
    fn is_running(&self) -> bool {
        self.status == ServerStatus::Running
    }

    /// What is known of an engine when a list has said something else.
    fn merge(self, told: EngineRecord) -> EngineRecord {
        let is_unnumbered = told.version == 0 && self.version == 0;
        if told.version > self.version || told.started > self.started || is_unnumbered {
            // An entry of an engine that leaves need not tell its start.
            let started = if told.is_running() { told.started } else { told.started.max(self.started) };
            return EngineRecord { started, ..told };
        }
        if told.started < self.started {
            // Said of an earlier process.
            return self;
        }
        match (self.is_running(), told.is_running()) {
            // A drain or a removal counts whatever its version is.
            (true, false) => EngineRecord { address: self.address, ..told },
            (false, false) if told.status == ServerStatus::Gone => {
                EngineRecord { status: ServerStatus::Gone, ..self }
            }
            _ => self,
        }
    }
}
