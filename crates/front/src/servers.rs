//! The list of servers: from the configuration, or from a file that is watched for changes.
//!
//! A file is applied whole or not at all: one that cannot be read or has a mistake changes nothing, and its
//! mistakes are logged once. It is read in a thread of its own, since reading files would block the coroutines of a
//! worker thread.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use elderstage::{ListMode, ServerId};
use elderstage_config::{ServerConfig, StateName, parse_servers};
use elderstage_core::Event;

use crate::owner::Input;
use crate::plan::ClockMapping;
use crate::{Shared, StartError};

/// How often the file is read. A change is noticed after at most this time, a twentieth of a usual drain grace.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies a list of servers: to the connection pool first, then to the core.
fn apply_servers(shared: &Shared, servers: &[ServerConfig]) {
    let entries = shared.catalog.update_servers(&shared.config, servers, ClockMapping::read(shared.clock));
    let server_addresses = |server: &ServerConfig| {
        let is_leaving = server.state != StateName::Running;
        (ServerId(server.name.as_str().into()), server.endpoints.clone(), is_leaving)
    };
    let tool_addresses = shared.tools.iter().map(|tool| (tool.server.clone(), vec![tool.address()], false));
    // The pool gets the addresses before the router gets the servers, so that every server it chooses has
    // addresses.
    shared.pool.set_servers(servers.iter().map(server_addresses).chain(tool_addresses).collect());
    tracing::info!(target: "servers", servers = entries.len(), "list of servers applied");
    shared.inbox.send(Input::Core(Event::Servers { mode: ListMode::Full, entries }));
}

/// Applies the configured list of servers, or the servers' file, which a new thread then watches while
/// `keeps_running` is true.
pub(crate) fn start(
    shared: &Arc<Shared>,
    base: &Path,
    keeps_running: Arc<AtomicBool>,
) -> Result<(), StartError> {
    let Some(file) = &shared.config.servers_file else {
        apply_servers(shared, &shared.config.servers);
        return Ok(());
    };
    let path = base.join(file);
    let read = |path: &PathBuf| std::fs::read_to_string(path);
    let mut text = read(&path).map_err(|error| StartError::ServersFile { path: path.clone(), error })?;
    let name = path.display().to_string();
    let servers = parse_servers(&name, &text, &shared.config).map_err(StartError::Servers)?;
    apply_servers(shared, &servers);
    let shared = shared.clone();
    let poll = move || {
        while keeps_running.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
            let Ok(new_text) = read(&path) else { continue };
            if new_text == text {
                continue;
            }
            text = new_text;
            match parse_servers(&name, &text, &shared.config) {
                Ok(servers) => apply_servers(&shared, &servers),
                Err(errors) => {
                    for error in errors.0 {
                        tracing::error!(target: "servers", %error, "list of servers is invalid; the previous list stays in effect");
                    }
                }
            }
        }
    };
    std::thread::Builder::new().name("servers".into()).spawn(poll).map_err(StartError::Thread)?;
    Ok(())
}
