//! A node between peers that the test plays by hand.

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use elderstage_standin::platform::Discovery;
use serde_json::json;

use crate::peer::{Peer, streamed};
use crate::support::*;

/// Engines, and the discovery that lists them.
pub struct Bed {
    pub readers: Vec<Peer>,
    pub writers: Vec<Peer>,
    pub platform: Platform,
    /// Where the node leaves a file for each step at which it is held.
    pub holds: Holds,
}

/// An entry of a list.
pub fn host(name: &str, peer: &Peer, health: &str) -> Value {
    let class = if name.starts_with("reader") { "reads" } else { "writes" };
    json!({"host": name, "dial": peer.addr.to_string(), "site": "here", "class": class, "block": 0,
        "health": health, "share": 1.0, "born_ms": 0})
}

/// A list as discovery writes it.
pub fn list(seq: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

/// Asks nobody for its load, has prompts read at readers only, and gives nothing up before the test has played its part.
fn patient(config: &mut Value) {
    config["settings"]["limits"]["probes"] = false.into();
    config["settings"]["domain"]["self-prefill"] = false.into();
    for class in config["settings"]["services"].as_array_mut().unwrap() {
        class["aim-us"] = 30_000_000.into();
        class["give-up-us"] = 40_000_000.into();
    }
}

/// A chat request whose client waits longer than any test takes.
pub fn patient_chat(trace: &str, class: &str) -> String {
    chat(trace, class, 30_000)
}

impl Bed {
    pub fn new(readers: usize, writers: usize) -> Bed {
        let peers = |n: usize| (0..n).map(|_| Peer::new()).collect::<Vec<_>>();
        let platform = Platform::start(0, 0).unwrap();
        let (readers, writers) = (peers(readers), peers(writers));
        let mut bed = Bed { readers, writers, holds: Holds::new(), platform };
        bed.platform.discovery = Discovery::start(bed.hosts()).unwrap();
        bed
    }

    /// All engines as running.
    pub fn hosts(&self) -> Vec<Value> {
        let of = |role: &str, peers: &[Peer]| -> Vec<Value> {
            peers.iter().enumerate().map(|(n, peer)| host(&format!("{role}-{n}"), peer, "SERVING")).collect()
        };
        [of("reader", &self.readers), of("writer", &self.writers)].concat()
    }

    /// A usual request is served by the first reader and the first writer; the next that each gets must be this one.
    pub fn serves(&self, node: &Node, trace: &str) {
        let mut client = node.client();
        client.send(&patient_chat(trace, "plain"));
        let (mut line, got) = self.readers[0].take();
        assert_eq!(got.trace(), trace);
        line.has_read();
        self.readers[0].rest(line);
        let (mut line, got) = self.writers[0].take();
        assert_eq!(got.trace(), trace);
        line.streams();
        self.writers[0].rest(line);
        assert!(streamed(&client.answer()), "{trace}");
    }

    /// A node that asks nobody for its load, so that each connection at a peer is an attempt's or a release's.
    pub fn node(&self, change: impl Fn(&mut Value)) -> Node {
        start_with(&self.platform, Some(&self.holds), |config| {
            config["known"]["hosts"] = Value::Array(self.hosts());
            patient(config);
            change(config);
        })
    }
}

impl Bed {
    /// A node that the system allows no more than so many descriptors; what it writes to its log is kept.
    pub fn limited_node(&self, descriptors: u64, change: impl Fn(&mut Value)) -> Node {
        self.logged_node("warn", descriptors, change)
    }

    /// The same, with this level of its log.
    pub fn logged_node(&self, level: &str, descriptors: u64, change: impl Fn(&mut Value)) -> Node {
        let addr = free();
        let path = self.holds.folder().join("config");
        let mut config = self.platform.config(addr, self.platform.discovery.addr, true);
        patient(&mut config);
        change(&mut config);
        std::fs::write(&path, config.to_string()).unwrap();
        let run = format!("ulimit -n {descriptors} && exec \"$0\" --log-level {level} node");
        let log = std::fs::File::create(path.with_extension("log")).unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", &run, PROGRAM]).env("PROXY_CONFIG", &path).stdin(Stdio::null()).stderr(log);
        let node = Node { child: command.spawn().unwrap(), addr, config: path };
        until_ready(node).expect("the node does not become ready")
    }
}

/// Steps at which a node waits until the test lets it go on; see `crates/node/src/hold.rs`.
pub struct Holds(PathBuf);

impl Holds {
    fn new() -> Holds {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("elderstage-hold-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Holds(path)
    }

    pub fn folder(&self) -> &std::path::Path {
        &self.0
    }

    /// From now on the node waits at this step.
    pub fn hold(&self, step: &str) {
        std::fs::write(self.0.join(step), "").unwrap();
    }

    /// Waits until the node is there.
    pub fn until_reached(&self, step: &str) {
        let reached = self.0.join(format!("{step}.reached"));
        assert!(Platform::until(LONG, || reached.exists()), "the node does not come to {step}");
    }

    /// Lets it go on.
    pub fn let_go(&self, step: &str) {
        std::fs::remove_file(self.0.join(step)).unwrap();
    }
}

impl Drop for Holds {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
