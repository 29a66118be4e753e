//! `elderstage fleet run`: starts a keeper or agent from its configuration file and waits for its end.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use elderstage_fleet::agent::Agent;
use elderstage_fleet::config::{BadConfig, Config, MonitoredProcess};
use elderstage_fleet::keeper::{Keeper, KeeperSetup};
use elderstage_fleet::members::{Identity, MemberKind};
use elderstage_fleet::record::RecordError;
use elderstage_net::owner::{Clock, EventSender, queue, spawn_machine};
use elderstage_net::{Listener, init_single_worker, spawn};
use elderstage_tally::TallySnapshot;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

use crate::disk::{self, Disk, DiskError};
use crate::host::{Core, FleetProcess};
use crate::links::{self, ConnectionContext, Event, PeerConnections};

/// Maximum number of queued events for the owner; a sender blocks while the queue is full.
const EVENT_QUEUE_LENGTH: usize = 4096;
/// How often the main thread polls signals and the owner, and how often an agent reads its front's file.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const TALLY_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Largest file with a front's counts.
const MAX_TALLY_FILE_BYTES: u64 = 4 << 20;
/// Unused coroutine stacks kept for later connections.
const MAX_KEPT_STACKS: usize = 64;

/// Why a process of a fleet could not start or ended.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The configuration file could not be read.
    #[error("{path}: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    /// The configuration file is invalid.
    #[error("{path}: {error}")]
    Config { path: PathBuf, error: BadConfig },
    /// The listen address could not be bound.
    #[error("{at}: {error}")]
    Listen { at: std::net::SocketAddr, error: std::io::Error },
    /// The directory could not be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The record on disk could not be used.
    #[error("{path}: {error}")]
    Record { path: PathBuf, error: RecordError },
    /// A thread or signal handler could not be set up.
    #[error("cannot start: {0}")]
    System(#[from] std::io::Error),
    /// The process ran and could not go on.
    #[error("ended: {0}")]
    Ended(String),
}

/// Runs a keeper or an agent until SIGTERM or SIGINT.
pub fn run(path: &Path) -> Result<(), FleetError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| FleetError::Read { path: path.into(), error })?;
    let config = Config::parse(&text).map_err(|error| FleetError::Config { path: path.into(), error })?;
    // Before anything else, so that an early signal is not lost.
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    init_single_worker(MAX_KEPT_STACKS);
    let listener =
        Listener::bind(config.listen).map_err(|error| FleetError::Listen { at: config.listen, error })?;
    let boot = disk::next_boot_id(&config.directory, rand::random())?;
    let (inbox, events) = queue(EVENT_QUEUE_LENGTH);
    let context = Arc::new(ConnectionContext {
        key: config.key(),
        me: config.name.clone(),
        inbox: inbox.clone(),
        next_connection_id: AtomicUsize::new(1),
    });
    let (clock, at) = (Clock::new(0), listener.addr());
    let address_overrides = config.address_overrides.clone().into_iter().collect();
    let connections = PeerConnections::new(context.clone(), configured_addresses(&config), address_overrides);
    let process = new_process(&config, at, boot, clock, connections)?;
    let has_failed = process.has_failed.clone();
    let owner = spawn_machine("fleet", clock, events, process)?;
    let (stop, accept_context) = (listener.handle(), context);
    spawn(move || {
        let each = move |conn| {
            let context = accept_context.clone();
            spawn(move || links::handle_accepted(context, conn));
        };
        listener
            .serve(each, |error| tracing::error!(target: "fleet", %error, "failed to accept a connection"));
    });
    tracing::info!(
        target: "fleet", name = %config.name, kind = ?config.kind(), listen = %at, boot, "ready",
    );
    let stopped_by_signal = wait_for_end(&config, &mut signals, &inbox, &owner, &has_failed);
    stop.stop();
    inbox.send(Event::Stop);
    let process = owner.join().map_err(|_| FleetError::Ended("the owner thread has panicked".into()))?;
    match process.failure {
        Some(reason) => Err(FleetError::Ended(reason)),
        None if !stopped_by_signal => Err(FleetError::Ended("the owner thread has ended".into())),
        None => Ok(()),
    }
}

/// Addresses of the keepers from the configuration file.
fn configured_addresses(config: &Config) -> HashMap<elderstage_fleet::name::Name, std::net::SocketAddr> {
    config.keepers.iter().map(|keeper| (keeper.name.clone(), keeper.at)).collect()
}

/// Creates the state machine of this process and what it needs.
fn new_process(
    config: &Config,
    at: std::net::SocketAddr,
    boot: u64,
    clock: Clock,
    connections: PeerConnections,
) -> Result<FleetProcess, FleetError> {
    let zone = &config.zone;
    let me = Identity {
        name: config.name.clone(),
        kind: config.kind(),
        zone: zone.clone(),
        at,
        boot,
        incarnation: 0,
    };
    // Membership starts from the keepers; zone and boot of a seed are placeholders until the keeper announces itself.
    let seed = |keeper: &elderstage_fleet::config::KeeperAddress| Identity {
        name: keeper.name.clone(),
        kind: MemberKind::Keeper,
        zone: zone.clone(),
        at: keeper.at,
        boot: 0,
        incarnation: 0,
    };
    let seeds = config.keepers.iter().map(seed).collect();
    let mut out = Vec::new();
    let core = if config.is_keeper() {
        let disk = Disk::open(&config.directory)?;
        let setup = KeeperSetup {
            fleet: config.fleet.clone(),
            keepers: config.keeper_names(),
            me,
            seeds,
            seed: rand::random(),
        };
        let (stored, reports) = (disk.read_blocks()?, disk.reports());
        let keeper = Keeper::new(setup, &stored, &reports, clock.now(), &mut out)
            .map_err(|error| FleetError::Record { path: config.directory.clone(), error })?;
        Core::Keeper(Box::new(keeper), disk)
    } else {
        let is_beside_front = matches!(config.monitored, Some(MonitoredProcess::Front { .. }));
        let keepers = config.keeper_names();
        Core::Agent(Box::new(Agent::new(keepers, me, seeds, is_beside_front, rand::random(), clock.now())))
    };
    let mut process = FleetProcess {
        core,
        connections,
        clients: HashMap::new(),
        failure: None,
        has_failed: Arc::new(AtomicBool::new(false)),
    };
    if !out.is_empty() && !process.run_keeper_outputs(out) {
        return Err(FleetError::Ended(process.failure.take().unwrap_or_default()));
    }
    Ok(process)
}

/// Waits for a signal (`true`), or until the owner ends by itself (`false`).
fn wait_for_end(
    config: &Config,
    signals: &mut Signals,
    inbox: &EventSender<Event>,
    owner: &JoinHandle<FleetProcess>,
    has_failed: &AtomicBool,
) -> bool {
    let tally = match &config.monitored {
        Some(MonitoredProcess::Front { tally }) => Some(tally),
        _ => None,
    };
    let (mut last_read, mut last_version) = (std::time::Instant::now(), None);
    loop {
        if signals.pending().next().is_some() {
            tracing::info!(target: "fleet", "received a signal to stop");
            return true;
        }
        if owner.is_finished() || has_failed.load(Ordering::SeqCst) {
            return false;
        }
        if let Some(path) = tally.filter(|_| last_read.elapsed() >= TALLY_READ_INTERVAL) {
            last_read = std::time::Instant::now();
            match read_tally(path) {
                Ok(counts) => {
                    if last_version.as_ref() != Some(&(counts.boot, counts.version)) {
                        last_version = Some((counts.boot, counts.version));
                        inbox.send(Event::TallyRead(counts));
                    }
                }
                Err(reason) => {
                    tracing::debug!(target: "fleet", path = %path.display(), %reason, "failed to read counts")
                }
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads a front's counts.
fn read_tally(path: &Path) -> Result<TallySnapshot, String> {
    use std::io::Read;
    let file = std::fs::File::open(path).map_err(|error| error.to_string())?;
    let mut text = String::new();
    file.take(MAX_TALLY_FILE_BYTES).read_to_string(&mut text).map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}
