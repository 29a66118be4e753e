//! The JSON configuration file of a keeper or agent. An invalid file is refused as a whole, with key and reason.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

use crate::members::MemberKind;
use crate::name::Name;
use crate::record::KEEPER_COUNTS;
use crate::wire::FleetKey;

/// Largest configuration file.
const MAX_FILE_BYTES: usize = 1 << 20;

/// Why a configuration file is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key}: {reason}")]
pub struct BadConfig {
    pub key: String,
    pub reason: String,
}

fn invalid<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, BadConfig> {
    Err(BadConfig { key: key.into(), reason: reason.into() })
}

/// Configuration of one process of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    pub fleet: Name,
    /// Name of this process; it is a keeper if `keepers` lists it.
    pub name: Name,
    pub zone: Name,
    /// Directory for data that outlives the process, used by no other process.
    pub directory: PathBuf,
    pub listen: SocketAddr,
    /// Permits a listen address that other machines can reach.
    #[serde(default)]
    pub beyond_loopback: bool,
    /// Three or five keepers, the same in every file of the fleet.
    pub keepers: Vec<KeeperAddress>,
    /// By member name: the address to connect to if the address that the member announces does not work from here.
    #[serde(default)]
    #[serde(rename = "via")]
    pub address_overrides: BTreeMap<Name, SocketAddr>,
    /// What the agent runs beside; absent for a keeper.
    #[serde(default)]
    #[serde(rename = "beside")]
    pub monitored: Option<MonitoredProcess>,
}

/// A keeper and its listen address.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperAddress {
    pub name: Name,
    pub at: SocketAddr,
}

/// The process that an agent runs beside.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MonitoredProcess {
    /// A front, which writes its counts to the file `tally`.
    Front { tally: PathBuf },
    /// An engine, which has no counts.
    Engine {},
}

impl Config {
    /// Parses and validates the text of a configuration file. Sorts the keepers by name.
    pub fn parse(text: &str) -> Result<Config, BadConfig> {
        if text.len() > MAX_FILE_BYTES {
            return invalid("file", format!("{} bytes, expected at most {MAX_FILE_BYTES}", text.len()));
        }
        let mut config: Config = serde_json::from_str(text).or_else(|error| {
            invalid(format!("line {} column {}", error.line(), error.column()), error.to_string())
        })?;
        config.keepers.sort_by(|one, other| one.name.cmp(&other.name));
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), BadConfig> {
        if !KEEPER_COUNTS.contains(&self.keepers.len()) {
            return invalid(
                "keepers",
                format!(
                    "{} keepers, expected {} or {}",
                    self.keepers.len(),
                    KEEPER_COUNTS[0],
                    KEEPER_COUNTS[1]
                ),
            );
        }
        for pair in self.keepers.windows(2) {
            if pair[0].name == pair[1].name {
                return invalid("keepers", format!("{} is listed twice", pair[0].name));
            }
        }
        for (n, keeper) in self.keepers.iter().enumerate() {
            if let Some(other) = self.keepers[..n].iter().find(|other| other.at == keeper.at) {
                return invalid(
                    "keepers",
                    format!("{} and {} are both at {}", other.name, keeper.name, keeper.at),
                );
            }
        }
        if !self.listen.ip().is_loopback() && !self.beyond_loopback {
            let reason = format!(
                "{} is reachable from other machines; set beyond_loopback to permit this",
                self.listen
            );
            return invalid("listen", reason);
        }
        match (self.is_keeper(), &self.monitored) {
            (true, Some(_)) => invalid("beside", "a keeper must not have this key"),
            (false, None) => {
                invalid("beside", format!("{} is not a keeper: front or engine is missing", self.name))
            }
            _ => Ok(()),
        }
    }

    /// Whether this process is a keeper.
    pub fn is_keeper(&self) -> bool {
        self.keepers.iter().any(|keeper| keeper.name == self.name)
    }

    /// Kind of this member.
    pub fn kind(&self) -> MemberKind {
        match &self.monitored {
            None => MemberKind::Keeper,
            Some(MonitoredProcess::Front { .. }) => MemberKind::Front,
            Some(MonitoredProcess::Engine {}) => MemberKind::Engine,
        }
    }

    /// Key that identifies the fleet to its members.
    pub fn key(&self) -> FleetKey {
        FleetKey::new(&self.fleet, self.keepers.iter().map(|keeper| (&keeper.name, keeper.at)))
    }

    /// Names of the keepers, in the order of their numbers (from 1).
    pub fn keeper_names(&self) -> Vec<Name> {
        self.keepers.iter().map(|keeper| keeper.name.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
