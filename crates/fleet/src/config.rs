//! The file of a keeper or agent: JSON, read whole or refused with the key and the reason.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

use crate::members::MemberKind;
use crate::name::Name;
use crate::record::KEEPER_COUNTS;
use crate::wire::FleetKey;

/// Largest file, in bytes.
const MAX_FILE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key}: {reason}")]
pub struct BadConfig {
    pub key: String,
    pub reason: String,
}

fn invalid<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, BadConfig> {
    Err(BadConfig { key: key.into(), reason: reason.into() })
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    pub fleet: Name,
    /// This process; a keeper if it is among `keepers`.
    pub name: Name,
    pub zone: Name,
    /// What must outlive the process, in a directory of its own.
    pub directory: PathBuf,
    pub listen: SocketAddr,
    /// Listen where other machines can reach it, too.
    #[serde(default)]
    pub beyond_loopback: bool,
    /// Three or five, the same in every file of the fleet.
    pub keepers: Vec<KeeperAddress>,
    /// Other ways to members, by name, where the one they tell does not lead there.
    #[serde(default)]
    #[serde(rename = "via")]
    pub address_overrides: BTreeMap<Name, SocketAddr>,
    /// What an agent stands beside.
    #[serde(default)]
    #[serde(rename = "beside")]
    pub monitored: Option<MonitoredProcess>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperAddress {
    pub name: Name,
    pub at: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MonitoredProcess {
    /// A front, which writes its counts to this file.
    Front {
        tally: PathBuf,
    },
    Engine {},
}

impl Config {
    pub fn parse(text: &str) -> Result<Config, BadConfig> {
        if text.len() > MAX_FILE_BYTES {
            return invalid("file", format!("{} bytes, {MAX_FILE_BYTES} at most", text.len()));
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
                    "{} keepers, {} or {} wanted",
                    self.keepers.len(),
                    KEEPER_COUNTS[0],
                    KEEPER_COUNTS[1]
                ),
            );
        }
        for pair in self.keepers.windows(2) {
            if pair[0].name == pair[1].name {
                return invalid("keepers", format!("{} is there twice", pair[0].name));
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
            let reason =
                format!("{} can be reached by other machines; say so by beyond_loopback", self.listen);
            return invalid("listen", reason);
        }
        match (self.is_keeper(), &self.monitored) {
            (true, Some(_)) => invalid("beside", "a keeper stands beside nothing"),
            (false, None) => {
                invalid("beside", format!("{} is no keeper: front or engine is missing", self.name))
            }
            _ => Ok(()),
        }
    }

    pub fn is_keeper(&self) -> bool {
        self.keepers.iter().any(|keeper| keeper.name == self.name)
    }

    pub fn kind(&self) -> MemberKind {
        match &self.monitored {
            None => MemberKind::Keeper,
            Some(MonitoredProcess::Front { .. }) => MemberKind::Front,
            Some(MonitoredProcess::Engine {}) => MemberKind::Engine,
        }
    }

    pub fn key(&self) -> FleetKey {
        FleetKey::new(&self.fleet, self.keepers.iter().map(|keeper| (&keeper.name, keeper.at)))
    }

    /// Names of the keepers, in the order of their numbers from 1 up.
    pub fn keeper_names(&self) -> Vec<Name> {
        self.keepers.iter().map(|keeper| keeper.name.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
