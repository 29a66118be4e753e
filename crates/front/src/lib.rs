//! A front: the sockets, coroutines, timers and logs around the core.
//!
//! One thread, the owner, holds the core. Each request of a client has a coroutine that holds its sockets. The
//! coroutine reports events to the owner and carries out the owner's commands, one at a time. All decisions about
//! requests are made by the core, none by this crate.

mod client;
mod engines;
mod ids;
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
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use elderstage_config::Config;
use elderstage_core::{Core, Event};
use elderstage_net::owner::{Clock, EventSender, queue, spawn_machine};
use elderstage_net::{Listener, ListenerHandle, init, spawn};
use thiserror::Error;

use ids::IdSource;
use links::ConnPool;
pub use owner::Status;
use owner::{Input, Owner};
use plan::Catalog;
pub use plan::{entries, plan as core_plan};
use sessions::Sessions;

/// Most events in the owner's queue. When it is full, new requests are refused and all other senders are slowed
/// down.
const OWNER_QUEUE_CAPACITY: usize = 65_536;
/// Start value of the front's clock in microseconds. It is far above 0, so that the start times of servers that
/// started before the front are positive.
const CLOCK_ORIGIN_US: u64 = 1_000_000_000_000;
/// Time that coroutines have to write their final answers after the core has ended all requests.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why a front could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listening socket could not be opened.
    #[error("cannot listen on {addr}: {error}")]
    Listen { addr: SocketAddr, error: std::io::Error },
    /// The servers' file could not be read.
    #[error("cannot read the list of servers from {path}: {error}")]
    ServersFile { path: PathBuf, error: std::io::Error },
    /// The servers' file has mistakes.
    #[error("{0}")]
    Servers(elderstage_config::ConfigErrors),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

/// State that all coroutines of a front share. It holds no state of the core.
pub(crate) struct Shared {
    pub config: Config,
    pub catalog: Catalog,
    pub inbox: EventSender<Input>,
    pub pool: Arc<ConnPool>,
    pub sessions: Sessions,
    pub tools: Vec<tools::ToolClient>,
    pub clock: Clock,
    pub ids: IdSource,
    /// Number of requests whose coroutine runs.
    pub active: AtomicUsize,
    pub connections: AtomicUsize,
    pub draining: AtomicBool,
}

/// A running front. [`Front::finish`] stops it.
pub struct Front {
    shared: Arc<Shared>,
    addr: SocketAddr,
    listener: ListenerHandle,
    keeps_running: Arc<AtomicBool>,
}

impl Front {
    /// Starts a front. `base` is the directory that relative paths in the configuration refer to.
    pub fn start(config: Config, base: &std::path::Path, seed: u64) -> Result<Front, StartError> {
        init(config.front.workers);
        raise_descriptor_limit();
        let listen = config.front.listen;
        let listener = Listener::with_send_buffer(listen, Some(config.front.send_buffer))
            .map_err(|error| StartError::Listen { addr: listen, error })?;
        let addr = listener.addr();
        let clock = Clock::new(CLOCK_ORIGIN_US);
        let catalog = Catalog::new(&config);
        let (inbox, events) = queue(OWNER_QUEUE_CAPACITY);
        let core = Core::new(plan::plan(&config), seed);
        let tools = config.tools.iter().map(|tool| tools::ToolClient::new(tool, &config)).collect();
        // The jitter depends on the seed, so that fronts that start together retry a failing address at different
        // times.
        let jitter = (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64;
        let connect = config.rules.connect_timeout;
        let pool =
            ConnPool::new(plan::connection_bounds(&config), jitter, clock, catalog.via.clone(), connect);
        let shared = Arc::new(Shared {
            pool,
            sessions: Sessions::new(seed),
            tools,
            catalog,
            inbox,
            clock,
            ids: IdSource::new(),
            active: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            config,
        });
        let keeps_running = Arc::new(AtomicBool::new(true));
        servers::start(&shared, base, keeps_running.clone())?;
        {
            let (pool, keeps_running) = (shared.pool.clone(), keeps_running.clone());
            let maintain = move || pool.run_maintenance(&keeps_running);
            std::thread::Builder::new()
                .name("addresses".into())
                .spawn(maintain)
                .map_err(StartError::Thread)?;
        }
        spawn_machine("owner", clock, events, Owner::new(core, shared.clone()))
            .map_err(StartError::Thread)?;
        let stop = listener.handle();
        let accept_shared = shared.clone();
        spawn(move || {
            let on_accept_error = |error: &std::io::Error| {
                tracing::warn!(target: "front", %error, "no room for a connection; trying again");
            };
            listener.serve(move |conn| client::serve_connection(&accept_shared, conn), on_accept_error);
        });
        tracing::info!(target: "front", name = %shared.config.front.name, %addr, "listening");
        Ok(Front { shared, addr, listener: stop, keeps_running })
    }

    /// The address that the front listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The current status, or `None` if the owner does not answer within 5 seconds.
    pub fn status(&self) -> Option<Status> {
        let (reply, status) = mpsc::sync_channel(1);
        if !self.shared.inbox.send(Input::Status(reply)) {
            return None;
        }
        status.recv_timeout(Duration::from_secs(5)).ok()
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        if !self.shared.draining.swap(true, Ordering::SeqCst) {
            tracing::info!(target: "front", "draining");
            self.shared.inbox.send(Input::Core(Event::Drain));
        }
    }

    /// Drains the front, then waits until all requests have ended, the configured time has passed or `end_now` is
    /// set. Ends the remaining requests and closes the front. Returns `true` if all requests had ended by
    /// themselves.
    pub fn finish(self, end_now: &AtomicBool) -> bool {
        self.drain();
        let deadline = Instant::now() + Duration::from_micros(self.shared.config.front.drain_timeout);
        let is_idle = || self.shared.active.load(Ordering::SeqCst) == 0;
        while !is_idle() && Instant::now() < deadline && !end_now.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let clean = is_idle();
        if !clean {
            let left = self.shared.active.load(Ordering::SeqCst);
            tracing::warn!(target: "front", left, "drain time is over; ending the remaining requests");
            self.shared.inbox.send(Input::Core(Event::Stop));
            let deadline = Instant::now() + FINAL_WRITE_TIMEOUT;
            while !is_idle() && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        self.listener.stop();
        self.keeps_running.store(false, Ordering::SeqCst);
        tracing::info!(target: "front", clean, "stopped");
        self.shared.inbox.send(Input::Stop);
        clean
    }
}

/// Raises the limit on file descriptors to the hard limit, since each stream takes three descriptors.
fn raise_descriptor_limit() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    if setrlimit(Resource::Nofile, raised).is_err() {
        tracing::warn!(target: "front", limit = ?limit.current, "cannot raise the limit on file descriptors");
    }
}
