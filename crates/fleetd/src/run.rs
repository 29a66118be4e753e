//! `elderstage fleet run`: from the file to the end.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use elderstage_fleet::agent::Agent;
use elderstage_fleet::config::{BadConfig, Beside, Config};
use elderstage_fleet::keeper::{Keeper, Setup};
use elderstage_fleet::members::{Identity, Kind};
use elderstage_fleet::record::RecordError;
use elderstage_net::owner::{Clock, Inbox, queue, run as own};
use elderstage_net::{Listener, go, init_small};
use elderstage_tally::Told;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

use crate::disk::{self, Disk, DiskError};
use crate::host::{Core, Host};
use crate::links::{self, Door, Event, Links};

/// Events that may wait for the owner; who adds to a full queue waits.
const QUEUE: usize = 4096;
/// How often the main thread looks for signals and at the owner, and an agent at its front's file.
const TICK: Duration = Duration::from_millis(50);
const LOOK: Duration = Duration::from_millis(500);
/// Largest file of a front's counts, in bytes.
const MOST_TALLY: u64 = 4 << 20;
/// Coroutine stacks that are kept for connections to come.
const STACKS: usize = 64;

#[derive(Debug, Error)]
pub enum FleetError {
    #[error("{path}: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Config { path: PathBuf, error: BadConfig },
    #[error("{at}: {error}")]
    Listen { at: std::net::SocketAddr, error: std::io::Error },
    #[error(transparent)]
    Disk(#[from] DiskError),
    #[error("{path}: {error}")]
    Record { path: PathBuf, error: RecordError },
    #[error("cannot start: {0}")]
    System(#[from] std::io::Error),
    /// It served and could not go on.
    #[error("ended: {0}")]
    Ended(String),
}

/// Runs a keeper or an agent until SIGTERM or SIGINT.
pub fn run(path: &Path) -> Result<(), FleetError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| FleetError::Read { path: path.into(), error })?;
    let config = Config::parse(&text).map_err(|error| FleetError::Config { path: path.into(), error })?;
    // Before anything else: who asks for the end early is heard.
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    init_small(STACKS);
    let listener =
        Listener::bind(config.listen).map_err(|error| FleetError::Listen { at: config.listen, error })?;
    let boot = disk::boot(&config.directory, rand::random())?;
    let (inbox, events) = queue(QUEUE);
    let door = Arc::new(Door {
        key: config.key(),
        me: config.name.clone(),
        inbox: inbox.clone(),
        next: AtomicUsize::new(1),
    });
    let (clock, at) = (Clock::new(0), listener.addr());
    let via = config.via.clone().into_iter().collect();
    let links = Links::new(door.clone(), by_file(&config), via);
    let host = host(&config, at, boot, clock, links)?;
    let over = host.over.clone();
    let owner = own("fleet", clock, events, host)?;
    let (stop, taken) = (listener.stopper(), door);
    go(move || {
        let each = move |conn| {
            let door = taken.clone();
            go(move || links::accepted(door, conn));
        };
        listener.serve(each, |error| tracing::error!(target: "fleet", %error, "no room for a connection"));
    });
    tracing::info!(
        target: "fleet", name = %config.name, kind = ?config.kind(), listen = %at, boot, "ready",
    );
    let ended = wait(&config, &mut signals, &inbox, &owner, &over);
    stop.stop();
    inbox.send(Event::Stop);
    let host = owner.join().map_err(|_| FleetError::Ended("the owner's thread has panicked".into()))?;
    match host.failed {
        Some(why) => Err(FleetError::Ended(why)),
        None if !ended => Err(FleetError::Ended("the owner's thread has ended".into())),
        None => Ok(()),
    }
}

fn by_file(config: &Config) -> HashMap<elderstage_fleet::name::Name, std::net::SocketAddr> {
    config.keepers.iter().map(|keeper| (keeper.name.clone(), keeper.at)).collect()
}

fn host(
    config: &Config,
    at: std::net::SocketAddr,
    boot: u64,
    clock: Clock,
    links: Links,
) -> Result<Host, FleetError> {
    let zone = &config.zone;
    let me =
        Identity { name: config.name.clone(), kind: config.kind(), zone: zone.clone(), at, boot, turn: 0 };
    // Keepers are whom one says hello to; what else they are they tell.
    let seed = |keeper: &elderstage_fleet::config::KeeperAt| Identity {
        name: keeper.name.clone(),
        kind: Kind::Keeper,
        zone: zone.clone(),
        at: keeper.at,
        boot: 0,
        turn: 0,
    };
    let seeds = config.keepers.iter().map(seed).collect();
    let mut out = Vec::new();
    let core = if config.is_keeper() {
        let disk = Disk::open(&config.directory)?;
        let setup = Setup {
            fleet: config.fleet.clone(),
            keepers: config.keeper_names(),
            me,
            seeds,
            seed: rand::random(),
        };
        let (stored, reports) = (disk.stored()?, disk.reports());
        let keeper = Keeper::new(setup, &stored, &reports, clock.now(), &mut out)
            .map_err(|error| FleetError::Record { path: config.directory.clone(), error })?;
        Core::Keeper(Box::new(keeper), disk)
    } else {
        let counts = matches!(config.beside, Some(Beside::Front { .. }));
        let keepers = config.keeper_names();
        Core::Agent(Box::new(Agent::new(keepers, me, seeds, counts, rand::random(), clock.now())))
    };
    let mut host =
        Host { core, links, clients: HashMap::new(), failed: None, over: Arc::new(AtomicBool::new(false)) };
    if !out.is_empty() && !host.keeper_does(out) {
        return Err(FleetError::Ended(host.failed.take().unwrap_or_default()));
    }
    Ok(host)
}

/// Until a signal, or until the owner ends by itself (`false`).
fn wait(
    config: &Config,
    signals: &mut Signals,
    inbox: &Inbox<Event>,
    owner: &JoinHandle<Host>,
    over: &AtomicBool,
) -> bool {
    let tally = match &config.beside {
        Some(Beside::Front { tally }) => Some(tally),
        _ => None,
    };
    let (mut looked, mut last) = (std::time::Instant::now(), None);
    loop {
        if signals.pending().next().is_some() {
            tracing::info!(target: "fleet", "told to stop");
            return true;
        }
        if owner.is_finished() || over.load(Ordering::SeqCst) {
            return false;
        }
        if let Some(path) = tally.filter(|_| looked.elapsed() >= LOOK) {
            looked = std::time::Instant::now();
            match read_tally(path) {
                Ok(told) => {
                    if last.as_ref() != Some(&(told.boot, told.version)) {
                        last = Some((told.boot, told.version));
                        inbox.send(Event::Tally(told));
                    }
                }
                Err(reason) => tracing::debug!(target: "fleet", path = %path.display(), %reason, "no counts"),
            }
        }
        std::thread::sleep(TICK);
    }
}

fn read_tally(path: &Path) -> Result<Told, String> {
    use std::io::Read;
    let file = std::fs::File::open(path).map_err(|error| error.to_string())?;
    let mut text = String::new();
    file.take(MOST_TALLY).read_to_string(&mut text).map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}
