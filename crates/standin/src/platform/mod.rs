//! A mock of the platform around a front node: engines that speak its protocol, discovery, and a record of
//! the traffic at the engines.
//!
//! The id of a request selects what its engine does, so that a test reads as a list of cases: the engine that
//! receives `spoilt-noise-7` answers with noise. The mock uses blocking sockets and one thread per
//! connection: simple enough that its record of the traffic can be trusted.

mod discovery;
mod engine;

use std::collections::{BTreeMap, BTreeSet};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

pub use discovery::{Discovery, SentHost, SentList, View};
pub use engine::{Engine, Role, answer_events, whole_answer};

/// An event at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A request was received completely. `second`: another attempt of the same request is in progress on a
    /// connection that is still open.
    Begun { trace: String, connection: u64, body: usize, expires_ms: Option<u64>, second: bool },
    /// The attempt ended: its answer was sent completely or malformed, or its connection ended.
    Ended { trace: String, connection: u64, how: AttemptEnd },
    /// A release of a state was received.
    Released { trace: String },
    /// A load probe was received.
    Probed,
    /// A second answer was sent, this long after the first.
    SecondAnswer { after: Duration },
    /// A request was received that no client can have caused.
    Unknown { what: String },
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The prompt was read and its state is held.
    Read,
    /// The answer was sent completely.
    Served,
    /// The engine refused the attempt and said that it has not run.
    NeverRan,
    /// Any other end: the attempt may have run.
    MayHaveRun,
}

/// An event with its time and engine.
#[derive(Clone, Debug)]
pub struct RecordedEvent {
    pub at: Instant,
    pub engine: String,
    pub role: Role,
    pub pass: EngineEvent,
}

/// `MSG_PEEK | MSG_DONTWAIT` on Linux: looks at received bytes without consuming them or blocking.
const PEEK_NONBLOCKING: i32 = 0x02 | 0x40;

/// Whether the peer has not closed this connection.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], PEEK_NONBLOCKING);
    peeked.map_or_else(|error| error.kind() == std::io::ErrorKind::WouldBlock, |n| n > 0)
}

/// Events and held states of all engines of a platform.
#[derive(Clone, Default)]
pub struct Traffic(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    seen: Vec<RecordedEvent>,
    /// Readers that hold a state, by request.
    held_states: BTreeMap<String, BTreeSet<String>>,
    /// Connections on which a request is in progress, by its id.
    open_requests: BTreeMap<String, Vec<(u64, TcpStream)>>,
    /// Number of attempts by role and request id, over all engines.
    attempts: BTreeMap<String, u32>,
}

impl Traffic {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, engine: &str, role: Role, pass: EngineEvent) {
        self.lock().seen.push(RecordedEvent { at: Instant::now(), engine: engine.to_owned(), role, pass });
    }

    /// Records that a request is in progress on a connection. Returns whether it is also in progress on
    /// another connection that is still open. Checks the socket itself for a close by the peer, because the
    /// thread that serves it may not have noticed yet.
    fn begin_request(&self, trace: &str, connection: u64, stream: &TcpStream) -> bool {
        let mut inner = self.lock();
        let connections = inner.open_requests.entry(trace.to_owned()).or_default();
        let is_second = connections.iter().any(|(_, other)| is_open(other));
        if let Ok(stream) = stream.try_clone() {
            connections.push((connection, stream));
        }
        is_second
    }

    /// Records that a request is no longer in progress on a connection.
    fn end_request(&self, trace: &str, connection: u64) {
        let mut inner = self.lock();
        if let Some(connections) = inner.open_requests.get_mut(trace) {
            connections.retain(|(id, _)| *id != connection);
        }
    }

    /// Records that an engine holds the state of a request.
    fn hold_state(&self, engine: &str, trace: &str) {
        self.lock().held_states.entry(trace.to_owned()).or_default().insert(engine.to_owned());
    }

    /// Releases the state of a request on all engines. Returns whether one was held.
    fn release_state(&self, trace: &str) -> bool {
        self.lock().held_states.remove(trace).is_some()
    }

    /// Counts an attempt of a request at engines of this role; returns the number of attempts including this
    /// one.
    fn count_attempt(&self, trace: &str, role: Role) -> u32 {
        let mut inner = self.lock();
        let count = inner.attempts.entry(format!("{role:?} {trace}")).or_default();
        *count += 1;
        *count
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<RecordedEvent> {
        self.lock().seen.clone()
    }

    /// Returns the requests whose state is held.
    pub fn held_states(&self) -> Vec<String> {
        self.lock().held_states.keys().cloned().collect()
    }

    /// Returns how the attempts of a request at writers ended, in order.
    pub fn attempts(&self, trace: &str) -> Vec<AttemptEnd> {
        let how_ended = |seen: &RecordedEvent| match &seen.pass {
            EngineEvent::Ended { trace: ended, how, .. } if ended == trace && seen.role == Role::Writer => {
                Some(*how)
            }
            _ => None,
        };
        self.lock().seen.iter().filter_map(how_ended).collect()
    }

    /// Checks the traffic and returns the violations: two attempts of one request in progress together, or a
    /// request sent again after it may have run although it must not be repeated. `is_once` tells whether an
    /// id must not be repeated.
    pub fn violations(&self, is_once: impl Fn(&str) -> bool) -> Vec<String> {
        let (mut may_have_run, mut violations) = (BTreeSet::new(), Vec::new());
        for seen in self.events() {
            match seen.pass {
                EngineEvent::Begun { trace, connection, second, .. } => {
                    if second {
                        violations.push(format!(
                            "{trace}: sent on connection {connection} while another attempt is in progress"
                        ));
                    }
                    if is_once(&trace) && may_have_run.contains(&trace) {
                        violations.push(format!("{trace}: sent again after it may have run"));
                    }
                }
                EngineEvent::Ended { trace, how, .. } => {
                    // An attempt at a reader has no effect, however it ends.
                    if seen.role == Role::Writer && matches!(how, AttemptEnd::Served | AttemptEnd::MayHaveRun)
                    {
                        may_have_run.insert(trace);
                    }
                }
                EngineEvent::Unknown { what } => violations.push(format!("an engine received {what}")),
                EngineEvent::Released { .. } | EngineEvent::Probed | EngineEvent::SecondAnswer { .. } => {}
            }
        }
        violations
    }
}

/// A running mock platform: engines, discovery and the record of their traffic.
pub struct Platform {
    pub traffic: Traffic,
    pub engines: Vec<Engine>,
    pub discovery: Discovery,
}

impl Platform {
    /// Starts this many readers and writers, all at one site.
    pub fn start(readers: usize, writers: usize) -> std::io::Result<Platform> {
        let traffic = Traffic::default();
        let mut engines = Vec::new();
        for n in 0..readers {
            engines.push(Engine::start(&format!("reader-{n}"), Role::Reader, &traffic)?);
        }
        for n in 0..writers {
            engines.push(Engine::start(&format!("writer-{n}"), Role::Writer, &traffic)?);
        }
        let discovery = Discovery::start(Platform::host_list(&engines, |_| "SERVING"))?;
        Ok(Platform { traffic, engines, discovery })
    }

    /// Returns the engines as hosts of a discovery list, each with the health that `health` returns for its
    /// name.
    pub fn host_list(engines: &[Engine], health: impl Fn(&str) -> &'static str) -> Vec<Value> {
        let host = |engine: &Engine| {
            json!({"host": engine.name, "dial": engine.addr.to_string(), "site": "here",
                "class": if engine.role == Role::Reader { "reads" } else { "writes" },
                "block": 0, "health": health(&engine.name), "share": 1.0, "born_ms": 0})
        };
        engines.iter().map(host).collect()
    }

    /// Returns a node configuration. Requests of class `plain` may be repeated, those of class `once` may
    /// not. With `lists_servers` the configuration lists the engines already.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, lists_servers: bool) -> Value {
        let hosts =
            if lists_servers { Platform::host_list(&self.engines, |_| "SERVING") } else { Vec::new() };
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "semantics": semantics, "aim-us": 1_000_000, "give-up-us": 4_000_000,
                "late-value": 0.1, "worth": 1.0, "streamed": true})
        };
        json!({"name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"seq": 0, "whole": true, "hosts": hosts},
            "settings": {
                "me": 0, "zone": 0, "n-instances": 1, "tick-us": 2000,
                "services": [class("plain", "pure"), class("once", "side_effect")],
                "skus": ["reads", "writes"], "zones": ["here"], "orgs": [], "discovery": "automatic",
                "domain": {"kind-role": ["read", "write"], "tokens-by-kind": [100_000, 100_000],
                    "self-prefill": true, "resume": true, "let-go-by-us": 300_000,
                    "token-aim-us": [60_000, 60_000], "aim-us-per-1000-prompt-tokens": [40_000, 40_000]},
                "report": {"how": "probe", "fields": ["lat_ms", "x0", "x1"]},
                "limits": {"cancel": true, "probes": true, "retry-after": true, "may-duplicate": false,
                    "most-tries": 4, "connect-timeout-us": 250_000, "max-retry-after-us": 500_000,
                    "idle-close-us": 15_000_000},
                "obligations": {"answer-slack-us": 8000, "ask-within-us": 10_000_000, "drain-grace-us": 2_000_000,
                    "cold-from": 0.3, "cold-us": 5_000_000, "fall-multiple": 4.0, "tip-after-us": 2_000_000}}})
    }

    /// Waits until the condition holds, at most for `timeout`. Returns whether it held.
    pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        while !condition() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }
}
