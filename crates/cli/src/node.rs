//! `elderstage node`: a front node of the platform, told what it needs by its environment.

use std::path::PathBuf;
use std::process::ExitCode;

use elderstage_platform::start::Companions;

/// Names the configuration's file.
pub const CONFIG: &str = "PROXY_CONFIG";

pub fn node(config: Option<PathBuf>) -> Result<ExitCode, String> {
    let path = config.or_else(|| std::env::var_os(CONFIG).map(PathBuf::from));
    let path = path.ok_or_else(|| format!("{CONFIG} is not set and no --config given"))?;
    let told = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let besides = Companions {
        name: told("PROXY_NAME"),
        listen: told("PROXY_LISTEN"),
        discovery: told("PROXY_DISCOVERY"),
    };
    elderstage_node::node(&path, &besides).map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}
