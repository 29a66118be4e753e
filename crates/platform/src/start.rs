//! What a front node is told at its start, by the environment and its configuration file.

use std::net::SocketAddr;
use std::path::PathBuf;

use elderstage::Settings;
use elderstage::settings::{self, Names};
use serde_json::Value;
use thiserror::Error;

use crate::check::check;
use crate::list::{Directory, List, ListError};

/// Why a configuration is not taken.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("bad JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}: is missing")]
    Missing(&'static str),
    #[error("{key}: {value} is not {wanted}")]
    Wrong { key: &'static str, value: String, wanted: &'static str },
    #[error("settings: {0}")]
    Settings(#[from] settings::SettingsError),
    #[error("known: {0}")]
    Known(#[from] ListError),
}

/// What the machine allows this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// Share of one core.
    pub cores: f64,
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: u64,
}

/// A whole configuration.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub allowed: Allowed,
    pub settings: Settings,
    pub names: Names,
    /// The list as this node last had it; may be old.
    pub known: List,
    /// Where this node's counts are written for an agent beside it, and the release that they are counted under.
    pub tally: Option<TallyTo>,
}

/// Where counts go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TallyTo {
    pub file: PathBuf,
    pub release: String,
}

/// Longest name of a release, in bytes: a digest's digits.
const MOST_RELEASE: usize = 64;

impl TallyTo {
    fn parse(value: Option<&Value>) -> Result<Option<TallyTo>, StartError> {
        let Some(value) = value.filter(|value| !value.is_null()) else { return Ok(None) };
        let word = |key: &str| value.get(key).and_then(Value::as_str).filter(|word| !word.is_empty());
        let file = word("file").ok_or_else(|| wrong("tally", value, "an object with a path as file"))?;
        let release = word("release").unwrap_or(env!("CARGO_PKG_VERSION"));
        if release.len() > MOST_RELEASE {
            return Err(wrong("tally", value, "an object with a release of at most 64 bytes"));
        }
        Ok(Some(TallyTo { file: file.into(), release: release.into() }))
    }
}

fn field<'a>(root: &'a Value, key: &'static str) -> Result<&'a Value, StartError> {
    root.get(key).filter(|value| !value.is_null()).ok_or(StartError::Missing(key))
}

fn wrong(key: &'static str, value: &Value, wanted: &'static str) -> StartError {
    StartError::Wrong { key, value: value.to_string(), wanted }
}

/// What the environment tells besides; the file prevails, since it can be replaced while the node runs.
#[derive(Clone, Debug, Default)]
pub struct Companions {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
}

fn addr(root: &Value, key: &'static str, besides: Option<&String>) -> Result<SocketAddr, StartError> {
    let besides = besides.map(|text| Value::from(text.as_str()));
    let value = field(root, key).or_else(|error| besides.as_ref().ok_or(error))?;
    value.as_str().and_then(|text| text.parse().ok()).ok_or_else(|| wrong(key, value, "an address and port"))
}

fn number(limits: &Value, key: &'static str, absent: f64) -> Result<f64, StartError> {
    match limits.get(key) {
        None | Some(Value::Null) => Ok(absent),
        Some(value) => {
            let found = value.as_f64().filter(|number| number.is_finite() && *number > 0.0);
            found.ok_or_else(|| wrong(key, value, "a number above 0"))
        }
    }
}

/// Limits where none are told: a common machine's.
const CORES: f64 = 1.0;
const MEMORY_MB: f64 = 2048.0;
const DESCRIPTORS: f64 = 1024.0;

impl Start {
    /// Reads the text of a configuration file. It is taken whole or not at all.
    pub fn parse(text: &str, besides: &Companions) -> Result<Start, StartError> {
        let root: Value = serde_json::from_str(text)?;
        if !root.is_object() {
            return Err(wrong("configuration", &Value::Null, "an object"));
        }
        let seed = match root.get("seed") {
            None | Some(Value::Null) => 0,
            Some(Value::Number(number)) => {
                number.as_u64().ok_or_else(|| wrong("seed", &root["seed"], "a whole number"))?
            }
            Some(value) => {
                let hex = value.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
                hex.ok_or_else(|| wrong("seed", value, "up to 16 hexadecimal digits"))?
            }
        };
        let limits = root.get("limits").unwrap_or(&Value::Null);
        let allowed = Allowed {
            cores: number(limits, "cores", CORES)?,
            memory_mb: number(limits, "memory_mb", MEMORY_MB)? as u64,
            descriptors: number(limits, "sockets", DESCRIPTORS)? as u64,
        };
        let object = field(&root, "settings")?;
        let (set, names) = (settings::from_value(object)?, settings::names(object)?);
        check(&set, &names)?;
        let known = match root.get("known") {
            None | Some(Value::Null) => List { seq: 0, whole: true, hosts: Vec::new() },
            Some(value) => Directory::read(value, &names)?,
        };
        let name = root.get("name").and_then(Value::as_str).map(str::to_owned);
        let name = name.or_else(|| besides.name.clone()).unwrap_or_default();
        Ok(Start {
            name,
            listen: addr(&root, "listen", besides.listen.as_ref())?,
            discovery: addr(&root, "discovery", besides.discovery.as_ref())?,
            seed,
            allowed,
            settings: set,
            names,
            known,
            tally: TallyTo::parse(root.get("tally"))?,
        })
    }

    /// What a running node could not take over from another configuration: it needs a restart for it.
    pub fn needs_restart(&self, other: &Start) -> Option<&'static str> {
        if self.listen != other.listen {
            return Some("listen");
        }
        if self.allowed != other.allowed {
            return Some("limits");
        }
        if self.tally != other.tally {
            return Some("tally");
        }
        let differs = !self.names.reads_like(&other.names) || self.settings.me != other.settings.me;
        differs.then_some("names of classes, kinds, zones or tenants, or limits of sockets in the settings")
    }
}
