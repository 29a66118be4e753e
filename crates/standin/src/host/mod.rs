//! An engine on a socket: the model in a thread of its own, and a coroutine for each connection.

mod machine;
mod serve;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use elderstage_net::owner::{self, Clock, Inbox};
use elderstage_net::{Listener, Socket, Stop, go};
use elderstage_protocol::orca;

use crate::model::{Ail, Engine, Spec};
use crate::traffic::{Log, Seen, unix_us};
use machine::{Ask, Machine};

/// Events that wait for the model at most.
const QUEUE: usize = 65_536;

/// What an engine is and where it stands.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub spec: Spec,
    /// Port 0 asks the system for one; it is kept over restarts.
    pub listen: SocketAddr,
    pub zone: String,
    pub cell: u32,
    /// Tokens of state a second: to a writer of the same cell, of another cell, of another zone.
    pub links: [f64; 3],
}

/// What is wrong with the sockets of an engine, beside what ails its model.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every request is turned away as too many.
    pub full: bool,
    /// Connections are closed as soon as they are made, as by a full table.
    pub table_full: bool,
    /// Load reports stay as they were.
    pub frozen: bool,
    /// Time that a new connection waits before it is served.
    pub handshake: Duration,
    /// Peers of these zones are not answered.
    pub cut: Vec<String>,
    /// So many of the next streams break after so many tokens.
    pub break_next: u32,
    pub break_after: u64,
    /// Links run so many times slower; 0 stands for 1.
    pub slow_links: f64,
}

/// A control call.
#[derive(Clone, Debug)]
pub enum Control {
    Ail(Option<Ail>),
    Flush,
    /// The process dies: its connections, states and kept texts are gone.
    Kill,
    /// The process starts, if it is not running.
    Start {
        cold: bool,
    },
    Faults(Faults),
}

pub(crate) struct Shared {
    options: Options,
    addr: SocketAddr,
    log: Log,
    faults: Mutex<Faults>,
    inbox: Inbox<Ask>,
    sockets: Mutex<HashMap<u64, Socket>>,
    next: AtomicU64,
    listening: Mutex<Option<Stop>>,
    /// The last report, for those that are frozen, and when the process started, in seconds of Unix time.
    report: Mutex<orca::Report>,
    started: Mutex<f64>,
}

/// Locks are held for a few instructions, never over I/O; one that panicked left whole data behind.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A running engine.
pub struct Host {
    shared: Arc<Shared>,
}

impl Host {
    /// Starts an engine on its socket.
    pub fn start(options: Options, cold: bool, log: Log) -> std::io::Result<Host> {
        let listener = Listener::bind(options.listen)?;
        let addr = listener.addr();
        let (inbox, events) = owner::queue(QUEUE);
        let clock = Clock::new(1);
        let engine = Engine::new(options.spec.clone(), clock.now(), cold);
        let shared = Arc::new(Shared {
            addr,
            log,
            faults: Mutex::default(),
            inbox: inbox.clone(),
            sockets: Mutex::default(),
            next: AtomicU64::new(1),
            listening: Mutex::new(None),
            report: Mutex::default(),
            started: Mutex::new(started(cold)),
            options,
        });
        let machine = Machine::new(engine, shared.options.name.clone(), shared.log.clone());
        owner::run(&format!("engine-{}", shared.options.name), clock, events, machine)?;
        shared.log_up(cold);
        listen(&shared, listener);
        Ok(Host { shared })
    }

    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    pub fn options(&self) -> &Options {
        &self.shared.options
    }

    /// Unix time of the process's start in seconds, 0 for long ago.
    pub fn started(&self) -> f64 {
        *lock(&self.shared.started)
    }

    pub fn faults(&self) -> Faults {
        lock(&self.shared.faults).clone()
    }

    /// Carries a control call out.
    pub fn control(&self, control: Control) -> std::io::Result<()> {
        let shared = &self.shared;
        match control {
            Control::Ail(ail) => {
                shared.inbox.send(Ask::Ail(ail));
            }
            Control::Flush => {
                shared.inbox.send(Ask::Flush);
            }
            Control::Faults(faults) => *lock(&shared.faults) = faults,
            Control::Kill => {
                if let Some(stop) = lock(&shared.listening).take() {
                    stop.stop();
                    shared.inbox.send(Ask::Restart { cold: true });
                    for socket in lock(&shared.sockets).drain() {
                        socket.1.shut();
                    }
                    shared.log.see(&shared.options.name, Seen::Down);
                }
            }
            Control::Start { cold } => {
                if lock(&shared.listening).is_none() {
                    let listener = Listener::bind(shared.addr)?;
                    shared.inbox.send(Ask::Restart { cold });
                    *lock(&shared.started) = started(cold);
                    shared.log_up(cold);
                    listen(shared, listener);
                }
            }
        }
        Ok(())
    }

    /// Ends the engine for good.
    pub fn stop(&self) {
        // Killing what does not listen is no error.
        let _ = self.control(Control::Kill);
        self.shared.inbox.send(Ask::Stop);
    }
}

fn started(cold: bool) -> f64 {
    if cold { unix_us() as f64 / 1e6 } else { 0.0 }
}

impl Shared {
    fn log_up(&self, cold: bool) {
        let spec = &self.options.spec;
        let up = Seen::Up {
            cold,
            cold_from: spec.cold_from,
            cold_for: spec.cold_for,
            fall_multiple: spec.fall_multiple,
            tip_after: spec.tip_after,
        };
        self.log.see(&self.options.name, up);
    }
}

fn listen(shared: &Arc<Shared>, listener: Listener) {
    *lock(&shared.listening) = Some(listener.stopper());
    let shared = shared.clone();
    go(move || {
        let accept = {
            let shared = shared.clone();
            move |conn: elderstage_net::Conn| {
                let number = shared.next.fetch_add(1, Ordering::Relaxed);
                lock(&shared.sockets).insert(number, conn.socket());
                let shared = shared.clone();
                go(move || {
                    serve::connection(&shared, conn);
                    lock(&shared.sockets).remove(&number);
                });
            }
        };
        listener.serve(accept, |_| {});
    });
}
