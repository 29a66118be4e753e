//! `elderstage node`: runs a front node of the platform, configured by a file and environment variables.

use std::path::PathBuf;
use std::process::ExitCode;

use elderstage_platform::start::EnvironmentOverrides;

/// Environment variable with the path of the configuration file.
pub const CONFIG: &str = "PROXY_CONFIG";

/// Runs the node with the configuration file of the command line or of the environment.
pub fn node(config: Option<PathBuf>) -> Result<ExitCode, String> {
    let path = config.or_else(|| std::env::var_os(CONFIG).map(PathBuf::from));
    let path = path.ok_or_else(|| format!("{CONFIG} is not set and no --config given"))?;
    let non_empty_variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let environment = EnvironmentOverrides {
        name: non_empty_variable("PROXY_NAME"),
        listen: non_empty_variable("PROXY_LISTEN"),
        discovery: non_empty_variable("PROXY_DISCOVERY"),
    };
    elderstage_node::run(&path, &environment).map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}
