//! A front node of the platform on real sockets: `elderstage node`. Decides nothing: coroutines report what happened
//! to one owner, which holds the hub and with it the module, and carry out what they are told.

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
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderstage::settings::Names;
use elderstage_net::owner::{Clock, Inbox, queue, run};
use elderstage_net::{Conn, Listener, go, init_small, sleep};
use elderstage_platform::counting::Counting;
use elderstage_platform::hub::{Hub, Input};
use elderstage_platform::start::{Companions, Start, StartError};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use thiserror::Error;

use connections::{Admission, ClientConnections};
use diagnosis::InFlightAttempts;
use event_loop::{Event, EventLoop, Submitted};
use memory::MemoryBudget;
use pool::Pool;

/// A step at which tests can hold the node; nothing without their feature.
macro_rules! hold_at {
    ($($step:tt)*) => {
        #[cfg(feature = "hold")]
        crate::hold::hold(&format!($($step)*));
    };
}
pub(crate) use hold_at;

/// Events that may wait for the owner; who adds to a full queue waits.
const QUEUE: usize = 4096;
/// New connections are accepted for so long after SIGTERM: the platform's distributor needs up to 0.4 s to notice.
const STILL_ACCEPTS: Duration = Duration::from_millis(450);
/// The platform kills a node no sooner after SIGTERM than the longest time a client waits, counted as 3 s where it is
/// longer, and this; what still runs is cut then. The last of these is left for what is on its way.
const KILL_COUNTS: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(700);
const KILL_MARGIN: Duration = Duration::from_millis(150);
/// The list that a node knows at its start may be old, and what its discovery has counts as told at once: a node is ready
/// with the first list, or after this time if discovery is silent.
const FIRST_LIST: Duration = Duration::from_millis(600);
/// Poll interval for the permit of a connection that was evicted.
const EVICTION_POLL: Duration = Duration::from_millis(1);
/// How often the main thread polls for signals and for what is due.
const TICK: Duration = Duration::from_millis(20);
/// How often idle connections are looked at, and the state is written to the log.
const TIDY: Duration = Duration::from_secs(1);
const TRACE: Duration = Duration::from_secs(10);
/// The program may end when nothing was open for so long: answers are on their way then.
const QUIESCENCE_PERIOD: Duration = Duration::from_millis(200);

/// Why a node does not start.
#[derive(Debug, Error)]
pub enum NodeError {
    #[error("{path}: {error}")]
    Read { path: String, error: std::io::Error },
    #[error("{path}: {error}")]
    Config { path: String, error: StartError },
    #[error("{at}: {error}")]
    Listen { at: SocketAddr, error: std::io::Error },
    #[error("cannot start: {0}")]
    System(std::io::Error),
}

/// What all coroutines use.
pub(crate) struct Shared {
    names: Names,
    connect: Duration,
    inbox: Inbox<Submitted>,
    pool: Arc<Pool>,
    client_connections: Arc<ClientConnections>,
    bodies: Arc<MemoryBudget>,
    in_flight: Arc<InFlightAttempts>,
    next_id: AtomicU32,
    ready: AtomicBool,
    /// Discovery has told a list.
    listed: AtomicBool,
    /// Connections are closed after their answer.
    closing: AtomicBool,
    open: AtomicUsize,
    letting_go: AtomicUsize,
    discovery: Mutex<(SocketAddr, u64)>,
    tally: tally::Handed,
    /// The longest time that a client of any class waits, in microseconds.
    longest_wait: AtomicU64,
}

impl Shared {
    fn submit(&self, event: Event) {
        // The owner lives as long as the process.
        self.inbox.send(Submitted { at: Instant::now(), event });
    }

    fn closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Where discovery is, and how often it has moved.
    fn discovery(&self) -> (SocketAddr, u64) {
        *self.discovery.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn move_discovery(&self, to: SocketAddr) {
        let mut at = self.discovery.lock().unwrap_or_else(PoisonError::into_inner);
        if at.0 != to {
            *at = (to, at.1 + 1);
        }
    }
}

fn read(path: &Path, environment: &Companions) -> Result<Start, NodeError> {
    let shown = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| NodeError::Read { path: shown.clone(), error })?;
    Start::parse(&text, environment).map_err(|error| NodeError::Config { path: shown, error })
}

/// What settings are known by, alike at all nodes that have the same: the BLAKE3 digest of the configuration's `settings`
/// as compact JSON with sorted keys. The rest of the file is this node's own.
fn digest(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let value = serde_json::from_str::<serde_json::Value>(&text).unwrap_or_default();
    blake3::hash(value["settings"].to_string().as_bytes()).to_hex().to_string()
}

/// Runs a node until SIGTERM or SIGINT and until all it took is answered.
pub fn node(path: &Path, environment: &Companions) -> Result<(), NodeError> {
    // Caught from here on: a signal during the start waits, also while the configuration is read.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(NodeError::System)?;
    let start = read(path, environment)?;
    let shares = limits::Shares::of(start.allowed);
    init_small(shares.stacks);
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let clock = Clock::new(u64::try_from(epoch.as_micros()).unwrap_or_default());
    let (inbox, events) = queue(QUEUE);
    let shared = Arc::new(Shared {
        connect: Duration::from_micros(start.settings.connect_timeout.max(1)),
        pool: Pool::new(shares.engines, start.names.idle_close.map(Duration::from_micros)),
        client_connections: ClientConnections::new(shares.clients),
        bodies: MemoryBudget::new(shares.bodies),
        in_flight: Arc::default(),
        names: start.names.clone(),
        inbox,
        next_id: AtomicU32::new(1),
        ready: AtomicBool::new(false),
        listed: AtomicBool::new(false),
        closing: AtomicBool::new(false),
        open: AtomicUsize::new(0),
        letting_go: AtomicUsize::new(0),
        discovery: Mutex::new((start.discovery, 0)),
        tally: tally::Handed::default(),
        longest_wait: AtomicU64::new(start.names.longest_wait()),
    });
    let mut hub = Hub::new(start.settings.clone(), start.seed);
    if let Some(to) = &start.tally {
        hub.count(Counting::new(&to.release, &digest(path), &shared.names.classes, &start.settings));
    }
    let mut counts = tally::Writer::new(clock.now());
    run("owner", clock, events, EventLoop::new(hub, shared.clone())).map_err(NodeError::System)?;
    let seq = start.known.seq;
    shared.submit(Event::Hub(Input::Listed { list: start.known.clone(), restored: true }));
    let listener =
        Listener::bind(start.listen).map_err(|error| NodeError::Listen { at: start.listen, error })?;
    let stop = listener.stopper();
    let accepting = shared.clone();
    go(move || {
        listener
            .serve(|conn| accept(&accepting, conn), |error| tracing::warn!(target: "node", %error, "accept"))
    });
    let (watching, begun) = (shared.clone(), Instant::now());
    go(move || discovery::watch(&watching, clock, seq));
    let (mut term, mut quiescent_since): (Option<Instant>, Option<Instant>) = (None, None);
    let (mut tidy, mut trace) = (Instant::now(), Instant::now());
    loop {
        if !shared.ready.load(Ordering::SeqCst)
            && (shared.listed.load(Ordering::SeqCst) || begun.elapsed() >= FIRST_LIST)
        {
            shared.ready.store(true, Ordering::SeqCst);
            let listed = shared.listed.load(Ordering::SeqCst);
            tracing::info!(target: "node", name = %start.name, listen = %start.listen, ?shares, listed, "ready");
        }
        for signal in signals.pending() {
            match signal {
                SIGHUP => reload(&shared, &start, path, environment),
                _ if term.is_none() => {
                    tracing::info!(target: "node", "told to stop");
                    term = Some(Instant::now());
                }
                _ => {}
            }
        }
        if tidy.elapsed() >= TIDY {
            tidy = Instant::now();
            shared.pool.reap();
            shared.submit(Event::Compare);
            if let Some(to) = &start.tally {
                counts.write(&shared.tally, &to.file);
                shared.submit(Event::Tally);
            }
        }
        if trace.elapsed() >= TRACE {
            trace = Instant::now();
            shared.submit(Event::Trace);
        }
        if let Some(at) = term.filter(|at| at.elapsed() >= STILL_ACCEPTS) {
            // Until it has closed: what has connected before is taken.
            stop.end();
            if !shared.closing.swap(true, Ordering::SeqCst) {
                shared.client_connections.close_idle();
                let longest = Duration::from_micros(shared.longest_wait.load(Ordering::SeqCst));
                let all = longest.min(KILL_COUNTS) + KILL_AFTER;
                let within = all.saturating_sub(at.elapsed() + KILL_MARGIN).as_micros() as u64;
                shared.submit(Event::Hub(Input::Stopping { within }));
                tracing::info!(target: "node", after_ms = at.elapsed().as_millis() as u64, "accepts no more");
            }
            let busy = !stop.is_closed()
                || shared.open.load(Ordering::SeqCst) > 0
                || shared.letting_go.load(Ordering::SeqCst) > 0
                || !shared.client_connections.is_empty()
                || shared.inbox.waiting() > 0;
            quiescent_since = if busy { None } else { quiescent_since.or(Some(Instant::now())) };
            if quiescent_since.is_some_and(|since| since.elapsed() >= QUIESCENCE_PERIOD) {
                tracing::info!(target: "node", "all answered");
                if let Some(to) = &start.tally {
                    counts.write(&shared.tally, &to.file);
                }
                return Ok(());
            }
            shared.client_connections.close_idle();
        }
        std::thread::sleep(TICK);
    }
}

fn accept(shared: &Arc<Shared>, conn: Conn) {
    let permit = loop {
        match shared.client_connections.admit(conn.waker()) {
            Admission::Granted(permit) => break permit,
            // Those that come after it wait with the system.
            Admission::WaitForEviction => sleep(EVICTION_POLL),
            // Where all places are taken by requests there is no descriptor left for another.
            Admission::Full => return,
        }
    };
    let shared = shared.clone();
    go(move || client::serve(&shared, conn, &permit));
}

/// Takes a new configuration whole or not at all. Engines, requests and connections stay.
fn reload(shared: &Shared, running: &Start, path: &Path, environment: &Companions) {
    match read(path, environment) {
        Ok(new) => match running.needs_restart(&new) {
            None => {
                shared.move_discovery(new.discovery);
                shared.longest_wait.store(new.names.longest_wait(), Ordering::SeqCst);
                if running.tally.is_some() {
                    let settings = Box::new(new.settings.clone());
                    shared.submit(Event::CountUnder { digest: digest(path), settings });
                }
                let settings = Box::new(new.settings);
                shared.submit(Event::Hub(Input::Settings { settings }));
                tracing::info!(target: "node", discovery = %new.discovery, "configuration taken");
            }
            Some(what) => {
                tracing::error!(target: "node", what, "configuration not taken: this can't change while the node runs");
            }
        },
        Err(error) => tracing::error!(target: "node", %error, "configuration not taken, the old one stays"),
    }
}
