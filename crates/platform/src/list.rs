//! Discovery's lists: lines of JSON to entries of the module, and how each server is reached.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use elderstage::settings::Names;
use elderstage::{Entry, ListMode, Listed, ServerId, Time};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Why a list is not taken; what stood before stays.
#[derive(Debug, Error)]
pub enum ListError {
    #[error("bad JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("host {host}: {what}")]
    Host { host: String, what: String },
}

/// A position that the settings do not name: no role, zone or kind of theirs.
const UNNAMED: usize = u32::MAX as usize;

#[derive(Deserialize)]
struct WireList {
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<WireHost>,
}

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
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A server of a list, and where it is reached. A server that has left may come without an address.
#[derive(Clone, Debug)]
pub struct Host {
    pub entry: Entry,
    pub dial: Option<SocketAddr>,
}

/// A list or the changes to one.
#[derive(Clone, Debug)]
pub struct List {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<Host>,
}

/// Where the servers are that the lists have named.
#[derive(Debug, Default)]
pub struct Directory {
    /// Where each is reached, what the list says of it, and its zone.
    dials: HashMap<ServerId, (SocketAddr, Listed, u32)>,
    /// Those that run, by zone: kept with the changes, since a pass over thousands for each call would delay all else.
    running: BTreeMap<u32, BTreeMap<ServerId, SocketAddr>>,
}

impl Directory {
    /// Reads a list; names become positions in the settings.
    pub fn read(value: &Value, names: &Names) -> Result<List, ListError> {
        Directory::convert(serde::de::Deserialize::deserialize(value)?, names)
    }

    /// Reads one line of a watch, or a whole answer.
    pub fn parse(text: &[u8], names: &Names) -> Result<List, ListError> {
        Directory::convert(serde_json::from_slice(text)?, names)
    }

    fn convert(list: WireList, names: &Names) -> Result<List, ListError> {
        let position =
            |of: &[String], name: &str| of.iter().position(|known| known == name).unwrap_or(UNNAMED);
        let mut hosts = Vec::with_capacity(list.hosts.len());
        for host in list.hosts {
            let wrong = |what: String| ListError::Host { host: host.host.clone(), what };
            let listed = match host.health.as_str() {
                "SERVING" => Listed::Running,
                "DRAINING" => Listed::Draining,
                "DELETED" => Listed::Gone,
                other => {
                    return Err(wrong(format!("health {other:?} is none of SERVING, DRAINING, DELETED")));
                }
            };
            let dial = host.dial.parse::<SocketAddr>().ok();
            if dial.is_none() && listed != Listed::Gone {
                return Err(wrong(format!("dial {:?} is no address and port", host.dial)));
            }
            if host.host.is_empty() {
                return Err(wrong("has no name".into()));
            }
            let entry = Entry {
                server: ServerId(host.host.as_str().into()),
                listed,
                kind: position(&names.kinds, &host.class),
                zone: position(&names.zones, &host.site) as u32,
                cell: host.block,
                weight: if host.share.is_finite() && host.share > 0.0 { host.share } else { 1.0 },
                // As wall time; `engine_start` puts it on the node's clock.
                ready_at: host.born_ms.saturating_mul(1000) as Time,
            };
            hosts.push(Host { entry, dial });
        }
        Ok(List { seq: list.seq, whole: list.whole, hosts })
    }

    /// Takes a list over and gives the module's entries. `restored`: it is what was known before a restart.
    pub fn take(&mut self, list: List, restored: bool) -> (ListMode, Vec<Entry>) {
        if list.whole {
            self.dials.clear();
            self.running.clear();
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        for host in list.hosts {
            self.put(&host);
            entries.push(host.entry);
        }
        let mode = match (restored, list.whole) {
            (true, _) => ListMode::Restored,
            (_, true) => ListMode::Full,
            _ => ListMode::Changes,
        };
        (mode, entries)
    }

    pub fn dial(&self, server: &ServerId) -> Option<SocketAddr> {
        self.dials.get(server).map(|(dial, ..)| *dial)
    }

    /// Whether the list has it as running: neither draining nor gone.
    pub fn is_running(&self, server: &ServerId) -> bool {
        self.dials.get(server).is_some_and(|(_, listed, _)| *listed == Listed::Running)
    }

    fn put(&mut self, host: &Host) {
        let entry = &host.entry;
        if let Some((_, _, zone)) = self.dials.remove(&entry.server)
            && let Some(of_zone) = self.running.get_mut(&zone)
        {
            of_zone.remove(&entry.server);
            if of_zone.is_empty() {
                self.running.remove(&zone);
            }
        }
        // Guards against a long day's growth: a server that has left is forgotten.
        let Some(dial) = host.dial.filter(|_| entry.listed != Listed::Gone) else { return };
        self.dials.insert(entry.server.clone(), (dial, entry.listed, entry.zone));
        if entry.listed == Listed::Running {
            self.running.entry(entry.zone).or_default().insert(entry.server.clone(), dial);
        }
    }

    /// Those that run, by zone and in the order of their names. No zone is empty.
    pub fn running(&self) -> &BTreeMap<u32, BTreeMap<ServerId, SocketAddr>> {
        &self.running
    }

    pub fn len(&self) -> usize {
        self.dials.len()
    }

    pub fn is_empty(&self) -> bool {
        self.dials.is_empty()
    }
}
