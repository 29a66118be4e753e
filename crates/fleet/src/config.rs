//! The file of a keeper or agent: JSON, read whole or refused with the key and the reason.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

use crate::members::Kind;
use crate::name::Name;
use crate::record::KEEPERS;
use crate::wire::FleetKey;

/// Largest file, in bytes.
const MOST: usize = 1 << 20;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key}: {reason}")]
pub struct BadConfig {
    pub key: String,
    pub reason: String,
}

fn bad<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, BadConfig> {
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
    pub keepers: Vec<KeeperAt>,
    /// Other ways to members, by name, where the one they tell does not lead there.
    #[serde(default)]
    pub via: BTreeMap<Name, SocketAddr>,
    /// What an agent stands beside.
    #[serde(default)]
    pub beside: Option<Beside>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperAt {
    pub name: Name,
    pub at: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Beside {
    /// A front, which writes its counts to this file.
    Front {
        tally: PathBuf,
    },
    Engine {},
}

impl Config {
    pub fn parse(text: &str) -> Result<Config, BadConfig> {
        if text.len() > MOST {
            return bad("file", format!("{} bytes, {MOST} at most", text.len()));
        }
        let mut config: Config = serde_json::from_str(text).or_else(|error| {
            bad(format!("line {} column {}", error.line(), error.column()), error.to_string())
        })?;
        config.keepers.sort_by(|one, other| one.name.cmp(&other.name));
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), BadConfig> {
        if !KEEPERS.contains(&self.keepers.len()) {
            return bad(
                "keepers",
                format!("{} keepers, {} or {} wanted", self.keepers.len(), KEEPERS[0], KEEPERS[1]),
            );
        }
        for pair in self.keepers.windows(2) {
            if pair[0].name == pair[1].name {
                return bad("keepers", format!("{} is there twice", pair[0].name));
            }
        }
        for (n, keeper) in self.keepers.iter().enumerate() {
            if let Some(other) = self.keepers[..n].iter().find(|other| other.at == keeper.at) {
                return bad(
                    "keepers",
                    format!("{} and {} are both at {}", other.name, keeper.name, keeper.at),
                );
            }
        }
        if !self.listen.ip().is_loopback() && !self.beyond_loopback {
            let reason =
                format!("{} can be reached by other machines; say so by beyond_loopback", self.listen);
            return bad("listen", reason);
        }
        match (self.is_keeper(), &self.beside) {
            (true, Some(_)) => bad("beside", "a keeper stands beside nothing"),
            (false, None) => bad("beside", format!("{} is no keeper: front or engine is missing", self.name)),
            _ => Ok(()),
        }
    }

    pub fn is_keeper(&self) -> bool {
        self.keepers.iter().any(|keeper| keeper.name == self.name)
    }

    pub fn kind(&self) -> Kind {
        match &self.beside {
            None => Kind::Keeper,
            Some(Beside::Front { .. }) => Kind::Front,
            Some(Beside::Engine {}) => Kind::Engine,
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
