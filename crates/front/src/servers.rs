//! The list of servers: from the configuration, or from a file that is followed.
//!
//! A file is taken whole or not at all: one that cannot be read or has a mistake changes nothing and is told once.
//! It is looked at in a thread of its own, since reading files would hold up the coroutines of a worker.

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

/// How often the file is looked at: news takes this long at most, a twentieth of a usual drain grace.
const LOOK: Duration = Duration::from_millis(100);

fn hand_over(shared: &Shared, servers: &[ServerConfig]) {
    let entries = shared.catalog.update_servers(&shared.config, servers, ClockMapping::read(shared.clock));
    let listed = |server: &ServerConfig| {
        let leaves = server.state != StateName::Running;
        (ServerId(server.name.as_str().into()), server.places.clone(), leaves)
    };
    let tools = shared.tools.iter().map(|tool| (tool.server.clone(), vec![tool.place()], false));
    // Before the module hears of them: what it sends finds its addresses.
    shared.pool.set_servers(servers.iter().map(listed).chain(tools).collect());
    tracing::info!(target: "servers", servers = entries.len(), "list taken");
    shared.inbox.send(Input::Core(Event::Servers { mode: ListMode::Full, entries }));
}

pub(crate) fn begin(shared: &Arc<Shared>, base: &Path, watch: Arc<AtomicBool>) -> Result<(), StartError> {
    let Some(file) = &shared.config.servers_file else {
        hand_over(shared, &shared.config.servers);
        return Ok(());
    };
    let path = base.join(file);
    let read = |path: &PathBuf| std::fs::read_to_string(path);
    let mut text = read(&path).map_err(|error| StartError::ServersFile { path: path.clone(), error })?;
    let name = path.display().to_string();
    let servers = parse_servers(&name, &text, &shared.config).map_err(StartError::Servers)?;
    hand_over(shared, &servers);
    let shared = shared.clone();
    let look = move || {
        while watch.load(Ordering::SeqCst) {
            std::thread::sleep(LOOK);
            let Ok(new) = read(&path) else { continue };
            if new == text {
                continue;
            }
            text = new;
            match parse_servers(&name, &text, &shared.config) {
                Ok(servers) => hand_over(&shared, &servers),
                Err(errors) => {
                    for error in errors.0 {
                        tracing::error!(target: "servers", %error, "the list stays as it was");
                    }
                }
            }
        }
    };
    std::thread::Builder::new().name("servers".into()).spawn(look).map_err(StartError::Thread)?;
    Ok(())
}
