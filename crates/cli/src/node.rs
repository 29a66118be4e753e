//! `elderstage node`: a front node of the platform, told what it needs by its environment.

use std::path::PathBuf;
use std::process::ExitCode;

/// Names the configuration's file.
pub const CONFIG: &str = "PROXY_CONFIG";

pub fn node(config: Option<PathBuf>) -> Result<ExitCode, String> {
    let path = config.or_else(|| std::env::var_os(CONFIG).map(PathBuf::from));
    let path = path.ok_or_else(|| format!("{CONFIG} is not set and no --config given"))?;
    elderstage_node::node(&path).map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}
