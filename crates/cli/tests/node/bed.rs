//! A node between engines and a discovery that the test controls step by step.

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use elderstage_standin::platform::Discovery;
use serde_json::json;

use crate::peer::{Peer, is_complete_stream};
use crate::support::*;

/// Scripted engines, and a discovery that lists them.
pub struct TestBed {
    pub readers: Vec<Peer>,
    pub writers: Vec<Peer>,
    pub platform: Platform,
    /// The steps at which the test holds the node.
    pub holds: HoldPoints,
}

/// An entry of a server list.
pub fn host_entry(name: &str, peer: &Peer, health: &str) -> Value {
    let class = if name.starts_with("reader") { "reads" } else { "writes" };
    json!({"host": name, "dial": peer.addr.to_string(), "site": "here", "class": class, "block": 0,
        "health": health, "share": 1.0, "born_ms": 0})
}

/// A server list as discovery writes it.
pub fn server_list(seq: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

/// Changes a configuration for scripted peers: no probes, prompts are read only at readers, and time limits
/// long enough for the test's steps.
fn configure_for_scripted_peers(config: &mut Value) {
    config["settings"]["limits"]["probes"] = false.into();
    config["settings"]["domain"]["self-prefill"] = false.into();
    for class in config["settings"]["services"].as_array_mut().unwrap() {
        class["aim-us"] = 30_000_000.into();
        class["give-up-us"] = 40_000_000.into();
    }
}

/// A chat request whose client waits longer than any test takes.
pub fn long_lived_chat(trace: &str, class: &str) -> String {
    chat(trace, class, 30_000)
}

impl TestBed {
    /// Creates scripted readers and writers.
    pub fn new(readers: usize, writers: usize) -> TestBed {
        let peers = |n: usize| (0..n).map(|_| Peer::new()).collect::<Vec<_>>();
        let platform = Platform::start(0, 0).unwrap();
        let (readers, writers) = (peers(readers), peers(writers));
        let mut bed = TestBed { readers, writers, holds: HoldPoints::new(), platform };
        bed.platform.discovery = Discovery::start(bed.hosts()).unwrap();
        bed
    }

    /// The entries of all engines, as running ones.
    pub fn hosts(&self) -> Vec<Value> {
        let entries = |role: &str, peers: &[Peer]| -> Vec<Value> {
            peers
                .iter()
                .enumerate()
                .map(|(n, peer)| host_entry(&format!("{role}-{n}"), peer, "SERVING"))
                .collect()
        };
        [entries("reader", &self.readers), entries("writer", &self.writers)].concat()
    }

    /// Checks that an ordinary request is served by the first reader and the first writer, and that it is the
    /// next request of both.
    pub fn assert_serves(&self, node: &Node, trace: &str) {
        let mut client = node.client();
        client.send(&long_lived_chat(trace, "plain"));
        let (mut connection, request) = self.readers[0].next_request();
        assert_eq!(request.trace(), trace);
        connection.answer_prefill();
        self.readers[0].keep_open(connection);
        let (mut connection, request) = self.writers[0].next_request();
        assert_eq!(request.trace(), trace);
        connection.send_stream();
        self.writers[0].keep_open(connection);
        assert!(is_complete_stream(&client.answer()), "{trace}");
    }

    /// Starts a node without probes, so that each connection to a peer belongs to an attempt or a release.
    pub fn node(&self, change: impl Fn(&mut Value)) -> Node {
        start_node_with_holds(&self.platform, Some(&self.holds), |config| {
            config["known"]["hosts"] = Value::Array(self.hosts());
            configure_for_scripted_peers(config);
            change(config);
        })
    }
}

impl TestBed {
    /// Starts a node that may open `descriptors` file descriptors and whose log is kept in a file.
    pub fn node_with_descriptor_limit(&self, descriptors: u64, change: impl Fn(&mut Value)) -> Node {
        self.node_with_log("warn", descriptors, change)
    }

    /// Starts a node like [`TestBed::node_with_descriptor_limit`], with this log level.
    pub fn node_with_log(&self, level: &str, descriptors: u64, change: impl Fn(&mut Value)) -> Node {
        let addr = unused_address();
        let path = self.holds.folder().join("config");
        let mut config = self.platform.config(addr, self.platform.discovery.addr, true);
        configure_for_scripted_peers(&mut config);
        change(&mut config);
        std::fs::write(&path, config.to_string()).unwrap();
        let shell_command = format!("ulimit -n {descriptors} && exec \"$0\" --log-level {level} node");
        let log = std::fs::File::create(path.with_extension("log")).unwrap();
        let mut command = Command::new("sh");
        command
            .args(["-c", &shell_command, PROGRAM])
            .env("PROXY_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log);
        let node = Node { child: command.spawn().unwrap(), addr, config: path };
        wait_until_ready(node).expect("the node does not become ready")
    }
}

/// Steps at which the test can hold a node; see `crates/node/src/hold.rs`.
pub struct HoldPoints(PathBuf);

impl HoldPoints {
    fn new() -> HoldPoints {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("elderstage-hold-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        HoldPoints(path)
    }

    /// The folder of the step files.
    pub fn folder(&self) -> &std::path::Path {
        &self.0
    }

    /// Holds the node at this step from now on.
    pub fn hold(&self, step: &str) {
        std::fs::write(self.0.join(step), "").unwrap();
    }

    /// Waits until the node has reached the step.
    pub fn wait_until_reached(&self, step: &str) {
        let reached_file = self.0.join(format!("{step}.reached"));
        assert!(Platform::wait_until(LONG, || reached_file.exists()), "the node does not reach {step}");
    }

    /// Lets the node continue from the step.
    pub fn release(&self, step: &str) {
        std::fs::remove_file(self.0.join(step)).unwrap();
    }
}

impl Drop for HoldPoints {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
