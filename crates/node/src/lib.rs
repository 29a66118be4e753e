//! A front node of the platform on real sockets: `elderstage node`.
//!
//! This crate does the socket I/O and handles signals, limits and configuration reloads. It makes no routing
//! decisions: coroutines report events to one event loop, which owns the hub and with it the router,
//! and execute the hub's commands. A request that the node has accepted is answered before the process ends,
//! within the time that the platform leaves it.

mod client;
mod connections;
mod diagnosis;
mod discovery;
mod engine;
mod event_loop;
#[cfg(feature = "hold")]
mod hold;
mod limits;
mod memory;
mod pool;
mod response;
mod tally;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderstage::settings::SettingNames;
use elderstage_net::owner::{Clock, EventSender, queue, spawn_machine};
use elderstage_net::{Conn, Listener, init_single_worker, sleep, spawn};
use elderstage_platform::counting::ClassCounts;
use elderstage_platform::hub::{Hub, Input};
use elderstage_platform::start::{ConfigError, EnvironmentOverrides, NodeConfig};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

use connections::{Admission, ClientConnections};
use diagnosis::InFlightAttempts;
use event_loop::{Event, EventLoop, SubmittedEvent};
use memory::MemoryBudget;
use pool::Pool;
use tally::{TallySlot, TallyWriter};

/// A step at which tests can hold the node. Expands to nothing without the feature `hold`.
macro_rules! hold_at {
    ($($step:tt)*) => {
        #[cfg(feature = "hold")]
        crate::hold::hold(&format!($($step)*));
    };
}
pub(crate) use hold_at;

/// Capacity of the event loop's queue. A coroutine that submits to a full queue waits.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Time after SIGTERM during which new connections are accepted. The platform's load balancer needs up to
/// 0.4 seconds to notice that the node shuts down.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(450);
/// After SIGTERM the platform waits at least for the longest time that a client waits, counted as no more
/// than `MAX_COUNTED_CLIENT_WAIT`, plus `KILL_DELAY`. Then it kills the node. The node itself cuts requests
/// that are still running `KILL_MARGIN` before that time, so that their last bytes can reach the clients.
const MAX_COUNTED_CLIENT_WAIT: Duration = Duration::from_secs(3);
const KILL_DELAY: Duration = Duration::from_millis(700);
const KILL_MARGIN: Duration = Duration::from_millis(150);
/// The platform allows for requests under way when it kills the node only if they were received within this
/// time after SIGTERM.
const ALLOWED_UNDER_WAY: Duration = Duration::from_millis(700);
/// Longest time before the node reports itself ready without a server list from discovery. The list in its
/// configuration may be out of date, and the platform expects a node to know discovery's list from the start.
/// So the node is ready when the first list has arrived, or after this time if discovery is silent.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(600);
/// Poll interval of a new connection that waits for an evicted one to close.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which the main thread polls for signals and due tasks.
const MAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired idle connections are closed, attempts are compared and counts are published.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the state is written to the log.
const STATE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time without any open work after which the process ends. Responses may still be on their way during it.
const QUIESCENCE_PERIOD: Duration = Duration::from_millis(200);

/// Why the node cannot start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {error}")]
    Read { path: String, error: std::io::Error },
    /// The configuration is invalid.
    #[error("{path}: {error}")]
    Config { path: String, error: ConfigError },
    /// The listening address cannot be bound.
    #[error("cannot listen at {at}: {error}")]
    Listen { at: SocketAddr, error: std::io::Error },
    /// Signals or threads cannot be set up.
    #[error("cannot start the node: {0}")]
    System(std::io::Error),
}

/// State shared by all coroutines and threads of the node.
pub(crate) struct Shared {
    names: SettingNames,
    connect_timeout: Duration,
    inbox: EventSender<SubmittedEvent>,
    pool: Arc<Pool>,
    client_connections: Arc<ClientConnections>,
    body_memory: Arc<MemoryBudget>,
    in_flight: Arc<InFlightAttempts>,
    /// The id of the next request.
    next_id: AtomicU32,
    /// The node reports itself ready to the platform.
    is_ready: AtomicBool,
    /// Discovery has sent a server list.
    has_server_list: AtomicBool,
    /// The node shuts down: connections are closed after their response.
    is_closing: AtomicBool,
    /// When the node must have answered all requests, once it shuts down.
    shutdown_end: OnceLock<Instant>,
    /// Number of open requests.
    open_requests: AtomicUsize,
    /// Number of releases that no engine has confirmed yet.
    pending_releases: AtomicUsize,
    /// Discovery's address, and how often it has changed.
    discovery: Mutex<(SocketAddr, u64)>,
    tally_slot: TallySlot,
    /// The longest time that a client of any class waits, in microseconds.
    longest_wait: AtomicU64,
}

impl Shared {
    /// Submits an event to the event loop, and waits while its queue is full.
    fn submit(&self, event: Event) {
        // The event loop runs as long as the process, so the event is never refused.
        self.inbox.send(SubmittedEvent { at: Instant::now(), event });
    }

    /// Whether the node shuts down, so that connections are closed after their response.
    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::SeqCst)
    }

    /// Discovery's address, and how often it has changed.
    fn discovery(&self) -> (SocketAddr, u64) {
        *self.discovery.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets discovery's address and counts the change if it is new.
    fn set_discovery(&self, to: SocketAddr) {
        let mut current = self.discovery.lock().unwrap_or_else(PoisonError::into_inner);
        if current.0 != to {
            *current = (to, current.1 + 1);
        }
    }
}

/// Reads and parses the configuration file.
fn read_config(path: &Path, environment: &EnvironmentOverrides) -> Result<NodeConfig, NodeError> {
    let path_text = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| NodeError::Read { path: path_text.clone(), error })?;
    NodeConfig::parse(&text, environment).map_err(|error| NodeError::Config { path: path_text, error })
}

/// The digest that identifies settings, equal on all nodes with equal settings: BLAKE3 of the configuration's
/// `settings` as compact JSON with sorted keys. The rest of the file differs from node to node and is left
/// out.
fn settings_digest(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let value = serde_json::from_str::<serde_json::Value>(&text).unwrap_or_default();
    blake3::hash(value["settings"].to_string().as_bytes()).to_hex().to_string()
}

/// Runs a node until SIGTERM or SIGINT, and then until all accepted requests are answered.
pub fn run(path: &Path, environment: &EnvironmentOverrides) -> Result<(), NodeError> {
    // Signals are caught from here on. One that arrives during the start is handled after it.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(NodeError::System)?;
    let start = read_config(path, environment)?;
    let shares = limits::Shares::from_allowed(start.allowed);
    init_single_worker(shares.stacks);
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let clock = Clock::new(u64::try_from(epoch.as_micros()).unwrap_or_default());
    let (inbox, events) = queue(EVENT_QUEUE_CAPACITY);
    let shared = Arc::new(Shared {
        connect_timeout: Duration::from_micros(start.settings.connect_timeout.max(1)),
        pool: Pool::new(shares.engines, start.names.idle_close.map(Duration::from_micros)),
        client_connections: ClientConnections::new(shares.clients),
        body_memory: MemoryBudget::new(shares.bodies),
        in_flight: Arc::default(),
        names: start.names.clone(),
        inbox,
        next_id: AtomicU32::new(1),
        is_ready: AtomicBool::new(false),
        has_server_list: AtomicBool::new(false),
        is_closing: AtomicBool::new(false),
        shutdown_end: OnceLock::new(),
        open_requests: AtomicUsize::new(0),
        pending_releases: AtomicUsize::new(0),
        discovery: Mutex::new((start.discovery, 0)),
        tally_slot: TallySlot::default(),
        longest_wait: AtomicU64::new(start.names.longest_wait()),
    });
    let mut hub = Hub::new(start.settings.clone(), start.seed);
    if let Some(to) = &start.tally {
        hub.enable_counting(ClassCounts::new(
            &to.release,
            &settings_digest(path),
            &shared.names.classes,
            &start.settings,
        ));
    }
    let mut tally_writer = TallyWriter::new(clock.now());
    spawn_machine("owner", clock, events, EventLoop::new(hub, shared.clone())).map_err(NodeError::System)?;
    let seq = start.known.version;
    shared.submit(Event::HubInput(Input::ListReceived { list: start.known.clone(), restored: true }));
    let listener =
        Listener::bind(start.listen).map_err(|error| NodeError::Listen { at: start.listen, error })?;
    let stop = listener.handle();
    let accept_shared = shared.clone();
    spawn(move || {
        listener.serve(
            |conn| accept(&accept_shared, conn),
            |error| tracing::warn!(target: "node", %error, "accept"),
        )
    });
    let (watch_shared, started) = (shared.clone(), Instant::now());
    spawn(move || discovery::run_watch(&watch_shared, clock, seq));
    let (mut shutdown_requested_at, mut quiescent_since): (Option<Instant>, Option<Instant>) = (None, None);
    let (mut last_cleanup, mut last_state_log) = (Instant::now(), Instant::now());
    loop {
        if !shared.is_ready.load(Ordering::SeqCst)
            && (shared.has_server_list.load(Ordering::SeqCst) || started.elapsed() >= FIRST_LIST_TIMEOUT)
        {
            shared.is_ready.store(true, Ordering::SeqCst);
            let listed = shared.has_server_list.load(Ordering::SeqCst);
            tracing::info!(target: "node", name = %start.name, listen = %start.listen, ?shares, listed, "ready");
        }
        for signal in signals.pending() {
            match signal {
                SIGHUP => reload(&shared, &start, path, environment),
                _ if shutdown_requested_at.is_none() => {
                    tracing::info!(target: "node", "shutdown requested by a signal");
                    shutdown_requested_at = Some(Instant::now());
                }
                _ => {}
            }
        }
        if last_cleanup.elapsed() >= CLEANUP_INTERVAL {
            last_cleanup = Instant::now();
            shared.pool.close_expired();
            shared.submit(Event::CompareInFlight);
            if let Some(to) = &start.tally {
                tally_writer.write(&shared.tally_slot, &to.file);
                shared.submit(Event::PublishTally);
            }
        }
        if last_state_log.elapsed() >= STATE_LOG_INTERVAL {
            last_state_log = Instant::now();
            shared.submit(Event::LogState);
        }
        if let Some(at) = shutdown_requested_at.filter(|at| at.elapsed() >= ACCEPT_AFTER_SIGTERM) {
            // Called in each round until the listener has closed. The listener first accepts the connections
            // that already wait.
            stop.stop_after_backlog();
            if !shared.is_closing.swap(true, Ordering::SeqCst) {
                shared.client_connections.evict_idle();
                let longest_wait = Duration::from_micros(shared.longest_wait.load(Ordering::SeqCst));
                let time_until_kill = longest_wait.min(MAX_COUNTED_CLIENT_WAIT) + KILL_DELAY;
                // The signal may have been noticed late, so both times are counted with the margin.
                let time_left = |after_sigterm: Duration| {
                    after_sigterm.saturating_sub(at.elapsed() + KILL_MARGIN).as_micros() as u64
                };
                let (within, late_after) = (time_left(time_until_kill), time_left(ALLOWED_UNDER_WAY));
                shared.shutdown_end.get_or_init(|| at + time_until_kill.saturating_sub(KILL_MARGIN));
                shared.submit(Event::HubInput(Input::ShuttingDown { within, late_after }));
                tracing::info!(target: "node", after_ms = at.elapsed().as_millis() as u64, "no longer accepts connections");
            }
            let is_busy = !stop.is_closed()
                || shared.open_requests.load(Ordering::SeqCst) > 0
                || shared.pending_releases.load(Ordering::SeqCst) > 0
                || !shared.client_connections.is_empty()
                || shared.inbox.queued_len() > 0;
            quiescent_since = if is_busy { None } else { quiescent_since.or(Some(Instant::now())) };
            if quiescent_since.is_some_and(|since| since.elapsed() >= QUIESCENCE_PERIOD) {
                tracing::info!(target: "node", "all requests are answered");
                if let Some(to) = &start.tally {
                    tally_writer.write(&shared.tally_slot, &to.file);
                }
                return Ok(());
            }
            shared.client_connections.evict_idle();
        }
        std::thread::sleep(MAIN_POLL_INTERVAL);
    }
}

/// Serves a new connection in a coroutine of its own, once there is room for it.
fn accept(shared: &Arc<Shared>, conn: Conn) {
    let permit = loop {
        match shared.client_connections.admit(conn.waker()) {
            Admission::Granted(permit) => break permit,
            // Later connections wait in the listening socket's queue meanwhile.
            Admission::WaitForEviction => sleep(EVICTION_POLL_INTERVAL),
            // All connections have open requests, so no descriptor is left for another.
            Admission::Full => return,
        }
    };
    let shared = shared.clone();
    spawn(move || client::serve(&shared, conn, &permit));
}

/// Applies a new configuration completely or not at all. The server list, requests and connections are kept.
fn reload(shared: &Shared, running: &NodeConfig, path: &Path, environment: &EnvironmentOverrides) {
    match read_config(path, environment) {
        Ok(new) => match running.needs_restart(&new) {
            None => {
                shared.set_discovery(new.discovery);
                shared.longest_wait.store(new.names.longest_wait(), Ordering::SeqCst);
                if running.tally.is_some() {
                    let settings = Box::new(new.settings.clone());
                    shared.submit(Event::SetCountingSettings { digest: settings_digest(path), settings });
                }
                let settings = Box::new(new.settings);
                shared.submit(Event::HubInput(Input::Settings { settings }));
                tracing::info!(target: "node", discovery = %new.discovery, "new configuration applied");
            }
            Some(what) => {
                tracing::error!(target: "node", what, "new configuration rejected: this setting cannot change while the node runs");
            }
        },
        Err(error) => {
            tracing::error!(target: "node", %error, "new configuration rejected, the old one stays in force")
        }
    }
}
