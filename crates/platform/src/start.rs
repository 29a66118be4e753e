//! Parses the configuration of a front node from its configuration file and the environment. A configuration is accepted
//! completely or not at all. Reading the file and the environment is up to the caller.

use std::net::SocketAddr;
use std::path::PathBuf;

use elderstage::Settings;
use elderstage::settings::{self, SettingNames};
use serde_json::Value;
use thiserror::Error;

use crate::check::check;
use crate::list::{Directory, List, ListError};

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not valid JSON.
    #[error("bad JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A required key is missing.
    #[error("{0}: is missing")]
    Missing(&'static str),
    /// The value of a key is invalid.
    #[error("{key}: {value} is not {expected}")]
    Invalid { key: &'static str, value: String, expected: &'static str },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] settings::SettingsError),
    /// The known list of servers is invalid.
    #[error("known: {0}")]
    Known(#[from] ListError),
}

/// The resources that this node may use on its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// CPU time, in cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of file descriptors.
    pub descriptors: u64,
}

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the node.
    pub name: String,
    /// Address on which the node accepts clients.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of the router's random choices.
    pub seed: u64,
    /// Resources that the node may use.
    pub allowed: ResourceLimits,
    /// Settings of the router.
    pub settings: Settings,
    /// Names in the settings, and limits that concern sockets.
    pub names: SettingNames,
    /// The list of servers that this node had last; it may be outdated.
    pub known: List,
    /// Where this node's counts are written for the agent on its machine; `None` if they are not written.
    pub tally: Option<TallyTarget>,
}

/// Where counts are written, and the software release that they are attributed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TallyTarget {
    /// File that the counts are written to.
    pub file: PathBuf,
    /// Name of the software release.
    pub release: String,
}

/// Longest name of a release in bytes: the digits of a digest.
const MAX_RELEASE_BYTES: usize = 64;

impl TallyTarget {
    fn parse(value: Option<&Value>) -> Result<Option<TallyTarget>, ConfigError> {
        let Some(value) = value.filter(|value| !value.is_null()) else { return Ok(None) };
        let text_value =
            |key: &str| value.get(key).and_then(Value::as_str).filter(|text_value| !text_value.is_empty());
        let file = text_value("file")
            .ok_or_else(|| invalid("tally", value, "an object with a path in the key file"))?;
        let release = text_value("release").unwrap_or(env!("CARGO_PKG_VERSION"));
        if release.len() > MAX_RELEASE_BYTES {
            return Err(invalid("tally", value, "an object with a release of at most 64 bytes"));
        }
        Ok(Some(TallyTarget { file: file.into(), release: release.into() }))
    }
}

/// Returns the value of a required key.
fn required_value<'a>(root: &'a Value, key: &'static str) -> Result<&'a Value, ConfigError> {
    root.get(key).filter(|value| !value.is_null()).ok_or(ConfigError::Missing(key))
}

/// The error of a key with an invalid value.
fn invalid(key: &'static str, value: &Value, expected: &'static str) -> ConfigError {
    ConfigError::Invalid { key, value: value.to_string(), expected }
}

/// Values from the environment. The configuration file takes precedence, because it can be replaced while the node runs.
#[derive(Clone, Debug, Default)]
pub struct EnvironmentOverrides {
    /// Name of the node.
    pub name: Option<String>,
    /// Address on which the node accepts clients.
    pub listen: Option<String>,
    /// Address of the discovery agent.
    pub discovery: Option<String>,
}

/// Parses an address from the configuration file, or from the environment if the file has none.
fn parse_address(
    root: &Value,
    key: &'static str,
    from_environment: Option<&String>,
) -> Result<SocketAddr, ConfigError> {
    let from_environment = from_environment.map(|text| Value::from(text.as_str()));
    let value = required_value(root, key).or_else(|error| from_environment.as_ref().ok_or(error))?;
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| invalid(key, value, "an address and port"))
}

/// Parses a limit above 0; `absent` is the value if it is missing.
fn parse_limit(limits: &Value, key: &'static str, absent: f64) -> Result<f64, ConfigError> {
    match limits.get(key) {
        None | Some(Value::Null) => Ok(absent),
        Some(value) => {
            let found = value.as_f64().filter(|number| number.is_finite() && *number > 0.0);
            found.ok_or_else(|| invalid(key, value, "a number above 0"))
        }
    }
}

/// Cores where the configuration gives no limit, as on a common machine.
const DEFAULT_CORES: f64 = 1.0;
/// Megabytes of memory where the configuration gives no limit, as on a common machine.
const DEFAULT_MEMORY_MB: f64 = 2048.0;
/// File descriptors where the configuration gives no limit, as on a common machine.
const DEFAULT_DESCRIPTORS: f64 = 1024.0;

impl NodeConfig {
    /// Parses the text of a configuration file. Values that the file lacks are taken from the environment.
    pub fn parse(text: &str, environment: &EnvironmentOverrides) -> Result<NodeConfig, ConfigError> {
        let root: Value = serde_json::from_str(text)?;
        if !root.is_object() {
            return Err(invalid("configuration", &Value::Null, "an object"));
        }
        let seed = match root.get("seed") {
            None | Some(Value::Null) => 0,
            Some(Value::Number(number)) => {
                number.as_u64().ok_or_else(|| invalid("seed", &root["seed"], "a whole number"))?
            }
            Some(value) => {
                let hex = value.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
                hex.ok_or_else(|| invalid("seed", value, "up to 16 hexadecimal digits"))?
            }
        };
        let limits = root.get("limits").unwrap_or(&Value::Null);
        let allowed = ResourceLimits {
            cores: parse_limit(limits, "cores", DEFAULT_CORES)?,
            memory_mb: parse_limit(limits, "memory_mb", DEFAULT_MEMORY_MB)? as u64,
            descriptors: parse_limit(limits, "sockets", DEFAULT_DESCRIPTORS)? as u64,
        };
        let settings_value = required_value(&root, "settings")?;
        let (settings, names) =
            (settings::from_value(settings_value)?, settings::read_names(settings_value)?);
        check(&settings, &names)?;
        let known = match root.get("known") {
            None | Some(Value::Null) => List { version: 0, is_complete: true, hosts: Vec::new() },
            Some(value) => Directory::read(value, &names)?,
        };
        let name = root.get("name").and_then(Value::as_str).map(str::to_owned);
        let name = name.or_else(|| environment.name.clone()).unwrap_or_default();
        Ok(NodeConfig {
            name,
            listen: parse_address(&root, "listen", environment.listen.as_ref())?,
            discovery: parse_address(&root, "discovery", environment.discovery.as_ref())?,
            seed,
            allowed,
            settings,
            names,
            known,
            tally: TallyTarget::parse(root.get("tally"))?,
        })
    }

    /// Returns the part of another configuration that a running node cannot adopt without a restart, if there is one.
    pub fn needs_restart(&self, other: &NodeConfig) -> Option<&'static str> {
        if self.listen != other.listen {
            return Some("listen");
        }
        if self.allowed != other.allowed {
            return Some("limits");
        }
        if self.tally != other.tally {
            return Some("tally");
        }
        let differs = !self.names.has_same_layout(&other.names)
            || self.settings.front_number != other.settings.front_number;
        differs.then_some("names of classes, kinds, zones or tenants, or limits of sockets in the settings")
    }
}
