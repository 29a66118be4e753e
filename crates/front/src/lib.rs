//! A front: sockets, coroutines, timers and logs around the core, which decides.
//!
//! One thread owns the core. Each client's request has a coroutine that holds its sockets: it reports what it sees
//! to the owner and does what the owner tells it, one thing at a time. Nothing is decided here.

mod client;
mod engines;
mod links;
mod mcp;
mod owner;
mod plan;
mod servers;
mod sessions;
mod slot;
mod tools;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use elderstage_config::Config;
use elderstage_core::{Core, Event};
use elderstage_net::owner::{Clock, Inbox, queue, run};
use elderstage_net::{Listener, Stop, go, init};
use thiserror::Error;

use links::ConnPool;
pub use owner::Status;
use owner::{Input, Owner};
use plan::Catalog;
pub use plan::{entries, plan as core_plan};
use sessions::Sessions;

/// Events that wait for the owner at most. A full queue turns new requests away and slows the rest down.
const QUEUE: usize = 65_536;
/// The clock starts here, so that processes started earlier have a time above 0; in microseconds.
const ORIGIN: u64 = 1_000_000_000_000;
/// After the last answer was decided, the time that coroutines have to write what is left.
const LAST_WORDS: Duration = Duration::from_secs(2);

/// Why a front could not start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {addr}: {error}")]
    Listen { addr: SocketAddr, error: std::io::Error },
    #[error("cannot read the servers' file {path}: {error}")]
    ServersFile { path: PathBuf, error: std::io::Error },
    #[error("{0}")]
    Servers(elderstage_config::Errors),
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

/// What all coroutines of a front share. Nothing in it is a decision.
pub(crate) struct Shared {
    pub config: Config,
    pub catalog: Catalog,
    pub inbox: Inbox<Input>,
    pub pool: Arc<ConnPool>,
    pub sessions: Sessions,
    pub tools: Vec<tools::ToolClient>,
    pub clock: Clock,
    pub next_chain: AtomicU64,
    /// Requests whose coroutine runs.
    pub active: AtomicUsize,
    pub connections: AtomicUsize,
    pub draining: AtomicBool,
}

/// A running front.
pub struct Front {
    shared: Arc<Shared>,
    addr: SocketAddr,
    listener: Stop,
    watch: Arc<AtomicBool>,
}

impl Front {
    /// Starts a front. `base` is the folder that relative paths in the configuration start from.
    pub fn start(config: Config, base: &std::path::Path, seed: u64) -> Result<Front, StartError> {
        init(config.front.workers);
        raise_descriptors();
        let listen = config.front.listen;
        let listener = Listener::with_send_buffer(listen, Some(config.front.send_buffer))
            .map_err(|error| StartError::Listen { addr: listen, error })?;
        let addr = listener.addr();
        let clock = Clock::new(ORIGIN);
        let catalog = Catalog::new(&config);
        let (inbox, events) = queue(QUEUE);
        let core = Core::new(plan::plan(&config), seed);
        let tools = config.tools.iter().map(|tool| tools::ToolClient::new(tool, &config)).collect();
        // Fronts that start together differ by their seed in when they try an address again.
        let jitter = (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64;
        let connect = config.rules.connect;
        let pool =
            ConnPool::new(plan::connection_bounds(&config), jitter, clock, catalog.via.clone(), connect);
        let shared = Arc::new(Shared {
            pool,
            sessions: Sessions::new(seed),
            tools,
            catalog,
            inbox,
            clock,
            next_chain: AtomicU64::new(1),
            active: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            config,
        });
        let watch = Arc::new(AtomicBool::new(true));
        servers::begin(&shared, base, watch.clone())?;
        {
            let (pool, keeps_running) = (shared.pool.clone(), watch.clone());
            let maintain = move || pool.run_maintenance(&keeps_running);
            std::thread::Builder::new()
                .name("addresses".into())
                .spawn(maintain)
                .map_err(StartError::Thread)?;
        }
        run("owner", clock, events, Owner::new(core, shared.clone())).map_err(StartError::Thread)?;
        let stop = listener.stopper();
        let accept = shared.clone();
        go(move || {
            let short = |error: &std::io::Error| {
                tracing::warn!(target: "front", %error, "no room for a connection; trying again");
            };
            listener.serve(move |conn| client::serve_connection(&accept, conn), short);
        });
        tracing::info!(target: "front", name = %shared.config.front.name, %addr, "listening");
        Ok(Front { shared, addr, listener: stop, watch })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What the front has counted, as its owner knows it now.
    pub fn status(&self) -> Option<Status> {
        let (reply, heard) = mpsc::sync_channel(1);
        if !self.shared.inbox.send(Input::Status(reply)) {
            return None;
        }
        heard.recv_timeout(Duration::from_secs(5)).ok()
    }

    /// Takes nothing new from now on.
    pub fn drain(&self) {
        if !self.shared.draining.swap(true, Ordering::SeqCst) {
            tracing::info!(target: "front", "draining");
            self.shared.inbox.send(Input::Core(Event::Drain));
        }
    }

    /// Drains, waits until all requests have ended or the configured time is up or `hasten` says so, ends what
    /// is left, and closes. `true` when all had ended by themselves.
    pub fn finish(self, hasten: &AtomicBool) -> bool {
        self.drain();
        let end = Instant::now() + Duration::from_micros(self.shared.config.front.drain);
        let idle = || self.shared.active.load(Ordering::SeqCst) == 0;
        while !idle() && Instant::now() < end && !hasten.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let clean = idle();
        if !clean {
            let left = self.shared.active.load(Ordering::SeqCst);
            tracing::warn!(target: "front", left, "the time to drain is up; ending what is left");
            self.shared.inbox.send(Input::Core(Event::Stop));
            let end = Instant::now() + LAST_WORDS;
            while !idle() && Instant::now() < end {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        self.listener.stop();
        self.watch.store(false, Ordering::SeqCst);
        tracing::info!(target: "front", clean, "stopped");
        self.shared.inbox.send(Input::Stop);
        clean
    }
}

/// Asks for as many descriptors as this process may have: each stream takes three.
fn raise_descriptors() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    if setrlimit(Resource::Nofile, raised).is_err() {
        tracing::warn!(target: "front", limit = ?limit.current, "descriptors stay limited");
    }
}
