//! An engine on a socket: the model in a thread of its own, and a coroutine for each connection.

mod door;
mod machine;
mod serve;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use elderstage_net::owner::{self, Clock, Inbox};
use elderstage_net::{Listener, Place, Socket};
use elderstage_protocol::orca;

use crate::model::{Ail, Engine, Spec};
use crate::traffic::{Log, Seen, unix_us};
use door::Door;
pub use door::DoorFault;
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
    /// Further places to listen at.
    pub also: Vec<Place>,
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
    /// What is wrong with one of the places where it listens, by its number in the order of [`Host::places`].
    Door(usize, DoorFault),
}

/// An open connection: the number of its door, and whether a request is being answered on it.
pub(crate) struct Open {
    door: usize,
    socket: Socket,
    busy: Arc<AtomicBool>,
}

pub(crate) struct Shared {
    options: Options,
    addr: SocketAddr,
    log: Log,
    faults: Mutex<Faults>,
    inbox: Inbox<Ask>,
    sockets: Mutex<HashMap<u64, Open>>,
    next: AtomicU64,
    doors: Vec<Mutex<Door>>,
    running: Mutex<bool>,
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
        let mut doors = Vec::new();
        for place in [Place::Tcp(options.listen)].iter().chain(&options.also) {
            doors.push(Mutex::new(Door::new(Listener::at(place)?)));
        }
        let addr = match lock(&doors[0]).place() {
            Place::Tcp(addr) => *addr,
            Place::Unix(_) => options.listen,
        };
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
            doors,
            running: Mutex::new(false),
            report: Mutex::default(),
            started: Mutex::new(started(cold)),
            options,
        });
        let machine = Machine::new(engine, shared.options.name.clone(), shared.log.clone());
        owner::run(&format!("engine-{}", shared.options.name), clock, events, machine)?;
        shared.log_up(cold);
        listen(&shared)?;
        Ok(Host { shared })
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        lock(&self.shared.sockets).len()
    }

    /// Where it listens.
    pub fn places(&self) -> Vec<Place> {
        self.shared.doors.iter().map(|door| lock(door).place().clone()).collect()
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
            Control::Door(number, fault) => {
                let running = *lock(&shared.running);
                if let Some(door) = shared.doors.get(number) {
                    lock(door).change(shared, number, fault, running)?;
                }
            }
            Control::Kill => {
                if std::mem::take(&mut *lock(&shared.running)) {
                    shared.doors.iter().for_each(|door| lock(door).shut());
                    shared.inbox.send(Ask::Restart { cold: true });
                    for socket in lock(&shared.sockets).drain() {
                        socket.1.socket.shut();
                    }
                    shared.log.see(&shared.options.name, Seen::Down);
                }
            }
            Control::Start { cold } => {
                if !*lock(&shared.running) {
                    shared.inbox.send(Ask::Restart { cold });
                    *lock(&shared.started) = started(cold);
                    shared.log_up(cold);
                    listen(shared)?;
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

fn listen(shared: &Arc<Shared>) -> std::io::Result<()> {
    *lock(&shared.running) = true;
    for (number, door) in shared.doors.iter().enumerate() {
        lock(door).open(shared, number)?;
    }
    Ok(())
}
