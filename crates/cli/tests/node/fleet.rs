//! Many nodes, many engines, many idle clients.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::bed::{Bed, host, list};
use crate::peer::{Peer, chunk, tell_watch};
use crate::support::*;

/// Thirty nodes, told of a reader that has just started at different moments, some of them only at their own start. What
/// all of them send it stays within its budget, and what may be put down to chance.
#[test]
fn thirty_nodes_together_keep_a_cold_engine_within_its_budget() {
    const NODES: usize = 30;
    const EACH: usize = 12;
    let platform = Platform::start(6, 6).unwrap();
    let cold = |config: &mut Value| {
        config["settings"]["n-instances"] = NODES.into();
        config["settings"]["obligations"]["cold-us"] = 600_000_000.into();
        config["settings"]["obligations"]["tip-after-us"] = 600_000_000.into();
    };
    let mut nodes: Vec<Node> = (0..NODES / 2).map(|_| start(&platform, cold)).collect();
    for (n, node) in nodes.iter().enumerate() {
        assert!(whole(&node.ask(&format!("warm-{n}"), "plain")));
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut hosts = Platform::list(&platform.engines[..1], |_| "SERVING");
    hosts[0]["born_ms"] = now.into();
    platform.discovery.change(hosts);
    // The others know of it from their first list.
    nodes.extend((0..NODES / 2).map(|_| start(&platform, cold)));
    let told = || platform.discovery.told() >= nodes.len();
    assert!(Platform::until(LONG, told), "all are told");
    let before = platform.traffic.seen().len();
    std::thread::scope(|scope| {
        for (n, node) in nodes.iter().enumerate() {
            scope.spawn(move || {
                for m in 0..EACH {
                    // A part of the first reads fails, and is read again elsewhere.
                    let case = if m % 4 == 0 { "reader-500-first" } else { "fine" };
                    assert!(whole(&node.ask(&format!("{case}-{n}x{m}"), "plain")));
                }
            });
        }
    });
    let seen = platform.traffic.seen();
    let began = |seen: &&elderstage_standin::platform::Seen| matches!(seen.pass, Pass::Begun { .. });
    let reads =
        |engine: &str| seen[before..].iter().filter(began).filter(|seen| seen.engine == engine).count();
    let all: usize = (0..6).map(|n| reads(&format!("reader-{n}"))).sum();
    // What one of six warm readers takes, times what a cold one bears: a multiple of its present capacity.
    let budget = 4.0 * 0.3 * all as f64 / 6.0;
    let most = budget + 2.0 * budget.sqrt() + 2.0;
    let cold = reads("reader-0");
    assert!((cold as f64) <= most, "{cold} reads of {all} at the cold reader, {most:.1} at the most");
    assert!(cold > 0, "it is not left out altogether");
}

/// Idle clients take all descriptors that they may while discovery is down: when it is back its list is heard, engines
/// are asked and readiness is told, and accepting never fails for want of a descriptor.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_engines() {
    let bed = Bed::new(1, 1);
    let discovery = Peer::new();
    const DESCRIPTORS: u64 = 96;
    let mut node = bed.limited_node(DESCRIPTORS, |config| {
        config["known"]["hosts"] = Value::Array(Vec::new());
        config["discovery"] = discovery.addr.to_string().into();
        config["limits"]["sockets"] = DESCRIPTORS.into();
    });
    let idle: Vec<Client> = (0..400).filter_map(|_| Client::to(node.addr)).collect();
    assert_eq!(node.client().get("/-/ready"), Some(200));
    // Discovery is back.
    let _watch = tell_watch(&discovery, &node, &list(2, true, &bed.hosts()));
    bed.serves(&node, "after-1");
    drop(idle);
    let said = node.said();
    assert!(!said.contains("accept"), "{said}");
}

/// A list of 1,024 engines, in the configuration and from discovery, changed one by one.
#[test]
fn a_node_starts_with_a_thousand_engines() {
    let bed = Bed::new(1, 1);
    let gone = Peer::new();
    let all = |health: &str| -> Vec<Value> {
        let other = |n: usize| host(&format!("writer-gone-{n}"), &gone, health);
        (0..1_022).map(other).chain(bed.hosts()).collect()
    };
    let discovery = Peer::new();
    let node = bed.node(|config| {
        config["known"] = json!({"seq": 1, "whole": true, "hosts": all("DRAINING")});
        config["discovery"] = discovery.addr.to_string().into();
    });
    bed.serves(&node, "known-1");
    let mut watch = tell_watch(&discovery, &node, &list(2, true, &all("DRAINING")));
    for (n, mut other) in all("DELETED").into_iter().take(1_022).enumerate() {
        other["dial"] = "".into();
        watch.write(&chunk(&(list(3 + n as u64, false, &[other]) + "\n")));
    }
    std::thread::sleep(Duration::from_millis(1));
    bed.serves(&node, "listed-1");
    assert!(gone.accept_now().is_none());
}

/// CPU seconds that a process has used.
fn cpu_seconds(node: &Node) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", node.child.id())).unwrap();
    let used = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok());
    used.filter_map(|text| text.split(' ').next()?.parse::<f64>().ok()).sum::<f64>() / 1e9
}

/// The CPU that a node needs for the same requests before so many servers, one in twenty of which leave and return
/// meanwhile. Many servers share an engine's socket.
fn cpu_before(servers: usize) -> f64 {
    const CLIENTS: usize = 6;
    const EACH: usize = 40;
    const CELL: usize = 6;
    let platform = Platform::start(4, 8).unwrap();
    let (readers, writers) = platform.engines.split_at(4);
    let entry = |n: usize, health: &str| {
        let (class, engines) = if n % CELL < 2 { ("reads", readers) } else { ("writes", writers) };
        json!({"host": format!("s-{n:08x}"), "dial": engines[n % engines.len()].addr.to_string(), "site": "here",
            "class": class, "block": n / CELL, "health": health, "share": 1.0, "born_ms": 0})
    };
    let all = |health: &str| (0..servers).map(|n| entry(n, health)).collect::<Vec<Value>>();
    platform.discovery.change(all("SERVING"));
    let node = start(&platform, |config| {
        config["settings"]["n-instances"] = 300.into();
        config["known"]["hosts"] = Value::Array(all("SERVING"));
    });
    let before = cpu_seconds(&node);
    std::thread::scope(|scope| {
        for n in 0..CLIENTS {
            let node = &node;
            scope.spawn(move || {
                for m in 0..EACH {
                    assert!(
                        whole(&node.ask(&format!("large-{n}x{m}"), "plain")),
                        "{servers} servers, {n}x{m}"
                    );
                }
            });
        }
        for round in 0..4 {
            let part = |health| (0..servers).filter(|n| n % 20 == round).map(|n| entry(n, health)).collect();
            platform.discovery.change(part("DRAINING"));
            std::thread::sleep(Duration::from_millis(100));
            platform.discovery.change(part("SERVING"));
        }
    });
    cpu_seconds(&node) - before
}

/// The platform's bound on CPU for a fleet with sixteen times the servers; see `tests/scale.rs` for the counts.
#[test]
fn a_node_before_thousands_of_servers_needs_hardly_more_cpu() {
    let [usual, large] = [192, 3_192].map(cpu_before);
    let most = 1.4 * usual + 0.02 + 0.03 * 3.0;
    assert!(
        large <= most,
        "{large:.3} s before 3,192 servers, {usual:.3} s before 192: {most:.3} s at the most"
    );
}
