//! Parses the lists of discovery into entries for the router, and keeps the directory of the listed servers with
//! their addresses. The directory holds no server that has left the list. Reading from discovery is up to the caller.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use elderstage::settings::SettingNames;
use elderstage::{ListMode, ServerEntry, ServerId, ServerStatus, Time};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Why a list is rejected. The previous list stays in effect.
#[derive(Debug, Error)]
pub enum ListError {
    /// The list is not valid JSON, or not of the expected form.
    #[error("bad JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The entry of a host is invalid.
    #[error("host {host}: {what}")]
    Host { host: String, what: String },
}

/// Position of a zone or kind that the settings do not name.
const UNNAMED_POSITION: usize = u32::MAX as usize;

/// A list as discovery writes it.
#[derive(Deserialize)]
struct WireList {
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<WireHost>,
}

/// A server as discovery writes it.
#[derive(Deserialize)]
struct WireHost {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u32,
    #[serde(default)]
    health: String,
    #[serde(default = "default_share")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn default_share() -> f64 {
    1.0
}

/// A server of a list and its address. A server that has left may have none.
#[derive(Clone, Debug)]
pub struct Host {
    /// The entry for the router.
    pub entry: ServerEntry,
    /// The address of the server.
    pub address: Option<SocketAddr>,
}

/// A whole list of servers, or changes to it.
#[derive(Clone, Debug)]
pub struct List {
    /// Version of the list.
    pub version: u64,
    /// The list replaces all earlier ones; otherwise it holds changes only.
    pub is_complete: bool,
    /// The servers, in the order of the list.
    pub hosts: Vec<Host>,
}

impl List {
    /// Reduces the list to changes: the entries of servers that drain or are gone.
    pub fn into_leaving(mut self) -> List {
        self.hosts.retain(|host| host.entry.listed != ServerStatus::Running);
        List { is_complete: false, ..self }
    }
}

/// The listed servers and their addresses.
#[derive(Debug, Default)]
pub struct Directory {
    /// Address, listed state and zone of each server.
    servers: HashMap<ServerId, (SocketAddr, ServerStatus, u32)>,
    /// The running servers by zone. Updated with each change, because a pass over thousands of servers for each release call
    /// would delay everything else.
    running_by_zone: BTreeMap<u32, BTreeMap<ServerId, SocketAddr>>,
}

impl Directory {
    /// Parses a list from a JSON value. Names become positions in the settings.
    pub fn read(value: &Value, names: &SettingNames) -> Result<List, ListError> {
        Directory::convert(serde::de::Deserialize::deserialize(value)?, names)
    }

    /// Parses a list from the text of one JSON object.
    pub fn parse(text: &[u8], names: &SettingNames) -> Result<List, ListError> {
        Directory::convert(serde_json::from_slice(text)?, names)
    }

    /// Converts a list to entries for the router.
    fn convert(list: WireList, names: &SettingNames) -> Result<List, ListError> {
        let position = |names: &[String], name: &str| {
            names.iter().position(|known| known == name).unwrap_or(UNNAMED_POSITION)
        };
        let mut hosts = Vec::with_capacity(list.hosts.len());
        for host in list.hosts {
            let error = |what: String| ListError::Host { host: host.host.clone(), what };
            let listed = match host.health.as_str() {
                "SERVING" => ServerStatus::Running,
                "DRAINING" => ServerStatus::Draining,
                "DELETED" => ServerStatus::Gone,
                other => {
                    return Err(error(format!("health {other:?} is none of SERVING, DRAINING, DELETED")));
                }
            };
            let address = host.dial.parse::<SocketAddr>().ok();
            if address.is_none() && listed != ServerStatus::Gone {
                return Err(error(format!("dial {:?} is not an address and port", host.dial)));
            }
            if host.host.is_empty() {
                return Err(error("the name is empty".into()));
            }
            let entry = ServerEntry {
                server: ServerId(host.host.as_str().into()),
                listed,
                kind: position(&names.kinds, &host.class),
                zone: position(&names.zones, &host.site) as u32,
                cell: host.block,
                weight: if host.share.is_finite() && host.share > 0.0 { host.share } else { 1.0 },
                // Wall time; `engine_start` converts it to the node's clock.
                ready_at: host.born_ms.saturating_mul(1000) as Time,
            };
            hosts.push(Host { entry, address });
        }
        Ok(List { version: list.seq, is_complete: list.whole, hosts })
    }

    /// Applies a list and returns the entries for the router. `restored` marks the list that was known before a restart.
    pub fn apply(&mut self, list: List, restored: bool) -> (ListMode, Vec<ServerEntry>) {
        if list.is_complete {
            self.servers.clear();
            self.running_by_zone.clear();
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        for host in list.hosts {
            self.insert(&host);
            entries.push(host.entry);
        }
        let mode = match (restored, list.is_complete) {
            (true, _) => ListMode::Restored,
            (_, true) => ListMode::Full,
            _ => ListMode::Changes,
        };
        (mode, entries)
    }

    /// Returns the address of a listed server.
    pub fn address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.servers.get(server).map(|(address, ..)| *address)
    }

    /// Returns whether a server is listed as running, that is, neither draining nor gone.
    pub fn is_running(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|(_, listed, _)| *listed == ServerStatus::Running)
    }

    /// Inserts, replaces or removes a server.
    fn insert(&mut self, host: &Host) {
        let entry = &host.entry;
        if let Some((_, _, zone)) = self.servers.remove(&entry.server)
            && let Some(servers_of_zone) = self.running_by_zone.get_mut(&zone)
        {
            servers_of_zone.remove(&entry.server);
            if servers_of_zone.is_empty() {
                self.running_by_zone.remove(&zone);
            }
        }
        // A server that has left is forgotten, so that the directory does not grow over a long day.
        let Some(address) = host.address.filter(|_| entry.listed != ServerStatus::Gone) else { return };
        self.servers.insert(entry.server.clone(), (address, entry.listed, entry.zone));
        if entry.listed == ServerStatus::Running {
            self.running_by_zone.entry(entry.zone).or_default().insert(entry.server.clone(), address);
        }
    }

    /// Returns the running servers by zone, in the order of their names. No zone is empty.
    pub fn running_by_zone(&self) -> &BTreeMap<u32, BTreeMap<ServerId, SocketAddr>> {
        &self.running_by_zone
    }

    /// Returns the number of listed servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
