//! The platform around a front node, scripted: engines that speak its protocol, discovery, and a log of what passed.
//!
//! A request's own id tells what its engine does, so that a test reads as a list of cases: `spoilt-noise-7` meets an
//! engine that answers noise. Plain threads and blocking sockets, one thread a connection: simple enough to trust.

mod discovery;
mod engine;

use std::collections::{BTreeMap, BTreeSet};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

pub use discovery::Discovery;
pub use engine::{Engine, Role, whole_answer};

/// One thing that passed at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pass {
    /// The last byte of a request has come. `second`: another one of the same request is out on a connection that is
    /// still open.
    Begun {
        trace: String,
        connection: u64,
        body: usize,
        expires_ms: Option<u64>,
        second: bool,
    },
    /// Its answer went out whole, was spoilt, or its connection ended.
    Ended {
        trace: String,
        connection: u64,
        how: How,
    },
    /// A release has come.
    Released {
        trace: String,
    },
    Probed,
    /// A second answer was written, so long after the first.
    SecondAnswer {
        after: Duration,
    },
    /// A request that no client can have sent.
    Unknown {
        what: String,
    },
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Read,
    Served,
    /// Told as such: it has not run.
    NeverRan,
    /// Anything else: it may have run.
    MayHaveRun,
}

/// What passed, when and where.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub engine: String,
    pub role: Role,
    pub pass: Pass,
}

/// Linux's flags for a look that takes nothing and does not wait.
const PEEK_NOW: i32 = 0x02 | 0x40;

fn is_open(stream: &TcpStream) -> bool {
    let looked = SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], PEEK_NOW);
    looked.map_or_else(|error| error.kind() == std::io::ErrorKind::WouldBlock, |n| n > 0)
}

/// What the engines hold and have seen, shared by all of them.
#[derive(Clone, Default)]
pub struct Traffic(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    seen: Vec<Seen>,
    /// Requests whose read state waits, by reader.
    held: BTreeMap<String, BTreeSet<String>>,
    /// Connections that carry a request, by its id.
    out: BTreeMap<String, Vec<(u64, TcpStream)>>,
    /// How often each id was asked for, over all engines.
    asked: BTreeMap<String, u32>,
}

impl Traffic {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, engine: &str, role: Role, pass: Pass) {
        self.inner().seen.push(Seen { at: Instant::now(), engine: engine.to_owned(), role, pass });
    }

    /// A request begins on a connection; tells whether it is out on another one that is still open. A peer's close is
    /// seen on the socket itself: the thread that serves it may not have come to it yet.
    fn begin(&self, trace: &str, connection: u64, stream: &TcpStream) -> bool {
        let mut inner = self.inner();
        let out = inner.out.entry(trace.to_owned()).or_default();
        let second = out.iter().any(|(_, other)| is_open(other));
        if let Ok(stream) = stream.try_clone() {
            out.push((connection, stream));
        }
        second
    }

    fn end(&self, trace: &str, connection: u64) {
        let mut inner = self.inner();
        if let Some(out) = inner.out.get_mut(trace) {
            out.retain(|(of, _)| *of != connection);
        }
    }

    fn hold(&self, engine: &str, trace: &str) {
        self.inner().held.entry(trace.to_owned()).or_default().insert(engine.to_owned());
    }

    /// Lets go of what is held for a request, wherever; tells whether anything was.
    fn let_go(&self, trace: &str) -> bool {
        self.inner().held.remove(trace).is_some()
    }

    /// How often it has been asked for at a reader and at a writer, this time included.
    fn count(&self, trace: &str, role: Role) -> u32 {
        let mut inner = self.inner();
        let n = inner.asked.entry(format!("{role:?} {trace}")).or_default();
        *n += 1;
        *n
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.inner().seen.clone()
    }

    /// Requests for which a state is held.
    pub fn held(&self) -> Vec<String> {
        self.inner().held.keys().cloned().collect()
    }

    /// Attempts at writers that may have run or ran, of one request.
    pub fn attempts(&self, trace: &str) -> Vec<How> {
        let ended = |seen: &Seen| match &seen.pass {
            Pass::Ended { trace: of, how, .. } if of == trace && seen.role == Role::Writer => Some(*how),
            _ => None,
        };
        self.inner().seen.iter().filter_map(ended).collect()
    }

    /// What the engines saw against the rules: two attempts of one request out together, or one sent again after it
    /// may have run where it may not be repeated. `once` tells that of an id.
    pub fn judge(&self, once: impl Fn(&str) -> bool) -> Vec<String> {
        let (mut ran, mut broken) = (BTreeSet::new(), Vec::new());
        for seen in self.seen() {
            match seen.pass {
                Pass::Begun { trace, connection, second, .. } => {
                    if second {
                        broken.push(format!("{trace}: on connection {connection} while another is out"));
                    }
                    if once(&trace) && ran.contains(&trace) {
                        broken.push(format!("{trace}: sent again after it may have run"));
                    }
                }
                Pass::Ended { trace, how, .. } => {
                    // However an attempt at a reader ends, it has had no effect.
                    if seen.role == Role::Writer && matches!(how, How::Served | How::MayHaveRun) {
                        ran.insert(trace);
                    }
                }
                Pass::Unknown { what } => broken.push(format!("an engine got {what}")),
                Pass::Released { .. } | Pass::Probed | Pass::SecondAnswer { .. } => {}
            }
        }
        broken
    }
}

/// A platform with its engines and discovery.
pub struct Platform {
    pub traffic: Traffic,
    pub engines: Vec<Engine>,
    pub discovery: Discovery,
}

impl Platform {
    /// So many readers and writers, all in one place.
    pub fn start(readers: usize, writers: usize) -> std::io::Result<Platform> {
        let traffic = Traffic::default();
        let mut engines = Vec::new();
        for n in 0..readers {
            engines.push(Engine::start(&format!("reader-{n}"), Role::Reader, &traffic)?);
        }
        for n in 0..writers {
            engines.push(Engine::start(&format!("writer-{n}"), Role::Writer, &traffic)?);
        }
        let discovery = Discovery::start(Platform::list(&engines, |_| "SERVING"))?;
        Ok(Platform { traffic, engines, discovery })
    }

    /// The hosts of a list, each in the state that is told.
    pub fn list(engines: &[Engine], health: impl Fn(&str) -> &'static str) -> Vec<Value> {
        let host = |engine: &Engine| {
            json!({"host": engine.name, "dial": engine.addr.to_string(), "site": "here",
                "class": if engine.role == Role::Reader { "reads" } else { "writes" },
                "block": 0, "health": health(&engine.name), "share": 1.0, "born_ms": 0})
        };
        engines.iter().map(host).collect()
    }

    /// A configuration for a node. Class `plain` may be repeated, class `once` may not.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, known: bool) -> Value {
        let hosts = if known { Platform::list(&self.engines, |_| "SERVING") } else { Vec::new() };
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

    /// Waits until it holds, for at most so long; tells whether it did.
    pub fn until(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + time;
        while !holds() {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }
}
