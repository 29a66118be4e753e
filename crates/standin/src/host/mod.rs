//! An engine that serves the engines' HTTP API on sockets. The model runs on its own thread; each connection
//! is served by a coroutine that talks to the model through commands.
//!
//! Socket faults are injected here; faults in the engine's work belong to [`crate::model`].

mod door;
mod machine;
mod serve;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use elderstage_net::owner::{self, Clock, EventSender};
use elderstage_net::{Endpoint, Listener, ShutdownHandle};
use elderstage_protocol::orca;

use crate::ending::StreamEnding;
use crate::model::{Engine, EngineFault, EngineSpec};
use crate::traffic::{Log, TrafficEvent, unix_us};
pub use door::AddressFault;
use door::ListenAddress;
use machine::{Command, EngineDriver};

/// Capacity of the queue of commands to the model's thread.
const MAX_QUEUED_COMMANDS: usize = 65_536;

/// The identity, capacity and location of an engine.
#[derive(Clone, Debug)]
pub struct HostOptions {
    pub name: String,
    pub spec: EngineSpec,
    /// Port 0 lets the operating system choose a port; the port stays the same across restarts.
    pub listen: SocketAddr,
    /// Additional addresses to listen on.
    pub additional_endpoints: Vec<Endpoint>,
    pub zone: String,
    pub cell: u32,
    /// Transfer rate of KV states in tokens per second: within the cell, between cells, between zones.
    pub link_tokens_per_s: [f64; 3],
}

/// Faults of the sockets of an engine, independent of the fault of its model.
#[derive(Clone, Debug, Default)]
pub struct SocketFaults {
    /// Every completion request is rejected with 429.
    pub rejects_as_full: bool,
    /// Connections are closed right after they are accepted, as if the connection table were full.
    pub closes_new_connections: bool,
    /// Load reports do not change.
    pub reports_frozen: bool,
    /// Delay before a new connection is served.
    pub handshake_delay: Duration,
    /// Requests from fronts in these zones get no response.
    pub partitioned_zones: Vec<String>,
    /// Number of next streams that break, and the number of tokens after which each breaks.
    pub streams_to_break: u32,
    pub break_after_tokens: u64,
    /// How streams end.
    pub stream_ending: StreamEnding,
    /// KV state transfers are slower by this factor; a value below 1 counts as 1.
    pub link_slowdown: f64,
}

/// A change of the state or faults of a running host.
#[derive(Clone, Debug)]
pub enum Control {
    /// Sets or ends the fault of the engine model.
    EngineFault(Option<EngineFault>),
    /// Empties the prefix cache.
    ClearPrefixCache,
    /// The process dies: its connections, held states and prefix cache are lost.
    Kill,
    /// The process starts if it is not running.
    Start { cold: bool },
    /// Replaces the socket faults.
    SocketFaults(SocketFaults),
    /// Sets the fault of one listen address, by its index in [`EngineHost::listen_endpoints`].
    AddressFault(usize, AddressFault),
}

/// An open connection: the index of its listen address, and whether a request is in progress on it.
pub(crate) struct OpenConnection {
    address_index: usize,
    socket: ShutdownHandle,
    is_busy: Arc<AtomicBool>,
}

/// State shared by the connections of a host and its control calls.
pub(crate) struct Shared {
    options: HostOptions,
    addr: SocketAddr,
    log: Log,
    faults: Mutex<SocketFaults>,
    inbox: EventSender<Command>,
    connections: Mutex<HashMap<u64, OpenConnection>>,
    next_id: AtomicU64,
    addresses: Vec<Mutex<ListenAddress>>,
    is_running: Mutex<bool>,
    /// The last load report, repeated while reports are frozen, and the start of the process in seconds of
    /// Unix time.
    last_report: Mutex<orca::Report>,
    started_at: Mutex<f64>,
}

/// Locks a mutex and ignores poisoning. Locks are held for a few instructions and never during I/O, and no
/// update leaves the data inconsistent if its thread panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A running engine host.
pub struct EngineHost {
    shared: Arc<Shared>,
}

impl EngineHost {
    /// Starts an engine and listens on all its addresses.
    pub fn start(options: HostOptions, cold: bool, log: Log) -> std::io::Result<EngineHost> {
        let mut addresses = Vec::new();
        for endpoint in [Endpoint::Tcp(options.listen)].iter().chain(&options.additional_endpoints) {
            addresses.push(Mutex::new(ListenAddress::new(Listener::bind_endpoint(endpoint)?)));
        }
        let addr = match lock(&addresses[0]).endpoint() {
            Endpoint::Tcp(addr) => *addr,
            Endpoint::Unix(_) => options.listen,
        };
        let (inbox, commands) = owner::queue(MAX_QUEUED_COMMANDS);
        let clock = Clock::new(1);
        let engine = Engine::new(options.spec.clone(), clock.now(), cold);
        let shared = Arc::new(Shared {
            addr,
            log,
            faults: Mutex::default(),
            inbox: inbox.clone(),
            connections: Mutex::default(),
            next_id: AtomicU64::new(1),
            addresses,
            is_running: Mutex::new(false),
            last_report: Mutex::default(),
            started_at: Mutex::new(start_time(cold)),
            options,
        });
        let driver = EngineDriver::new(engine, shared.options.name.clone(), shared.log.clone());
        owner::spawn_machine(&format!("engine-{}", shared.options.name), clock, commands, driver)?;
        shared.log_start(cold);
        start_listening(&shared)?;
        Ok(EngineHost { shared })
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        lock(&self.shared.connections).len()
    }

    /// The listen addresses; the TCP address of `HostOptions::listen` comes first.
    pub fn listen_endpoints(&self) -> Vec<Endpoint> {
        self.shared.addresses.iter().map(|address| lock(address).endpoint().clone()).collect()
    }

    /// The main TCP address, with the chosen port.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// The options that the host was started with.
    pub fn options(&self) -> &HostOptions {
        &self.shared.options
    }

    /// Start of the process in seconds of Unix time; 0 if it was started warm.
    pub fn started(&self) -> f64 {
        *lock(&self.shared.started_at)
    }

    /// The current socket faults.
    pub fn faults(&self) -> SocketFaults {
        lock(&self.shared.faults).clone()
    }

    /// Applies a control call.
    pub fn control(&self, control: Control) -> std::io::Result<()> {
        let shared = &self.shared;
        match control {
            Control::EngineFault(fault) => {
                shared.inbox.send(Command::SetFault(fault));
            }
            Control::ClearPrefixCache => {
                shared.inbox.send(Command::ClearPrefixCache);
            }
            Control::SocketFaults(faults) => *lock(&shared.faults) = faults,
            Control::AddressFault(index, fault) => {
                let is_running = *lock(&shared.is_running);
                if let Some(address) = shared.addresses.get(index) {
                    lock(address).set_fault(shared, index, fault, is_running)?;
                }
            }
            Control::Kill => {
                if std::mem::take(&mut *lock(&shared.is_running)) {
                    shared.addresses.iter().for_each(|address| lock(address).stop_listening());
                    shared.inbox.send(Command::Restart { cold: true });
                    for connection in lock(&shared.connections).drain() {
                        connection.1.socket.shutdown();
                    }
                    shared.log.record(&shared.options.name, TrafficEvent::Down);
                }
            }
            Control::Start { cold } => {
                if !*lock(&shared.is_running) {
                    shared.inbox.send(Command::Restart { cold });
                    *lock(&shared.started_at) = start_time(cold);
                    shared.log_start(cold);
                    start_listening(shared)?;
                }
            }
        }
        Ok(())
    }

    /// Stops the engine permanently.
    pub fn stop(&self) {
        // Killing a host that does not listen is not an error.
        let _ = self.control(Control::Kill);
        self.shared.inbox.send(Command::Stop);
    }
}

/// Start time to report: now for a cold start, 0 for an engine that is treated as having run for long.
fn start_time(cold: bool) -> f64 {
    if cold { unix_us() as f64 / 1e6 } else { 0.0 }
}

impl Shared {
    fn log_start(&self, cold: bool) {
        let spec = &self.options.spec;
        let start = TrafficEvent::Up {
            cold,
            cold_start_share: spec.cold_start_share,
            cold_duration: spec.cold_duration,
            overload_multiple: spec.overload_multiple,
            overload_window: spec.overload_window,
        };
        self.log.record(&self.options.name, start);
    }
}

/// Listens on all addresses as their faults allow.
fn start_listening(shared: &Arc<Shared>) -> std::io::Result<()> {
    *lock(&shared.is_running) = true;
    for (index, address) in shared.addresses.iter().enumerate() {
        lock(address).listen(shared, index)?;
    }
    Ok(())
}
