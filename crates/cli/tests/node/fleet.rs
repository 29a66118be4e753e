//! Nodes in large numbers: many nodes, many engines, many idle clients.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::bed::{TestBed, host_entry, server_list};
use crate::peer::{Peer, answer_watch, chunk};
use crate::support::*;

/// Thirty nodes learn of a reader that has just started at different moments, half of them only at their own
/// start. All their requests to it together stay within its budget and a margin for chance.
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
    let mut nodes: Vec<Node> = (0..NODES / 2).map(|_| start_node(&platform, cold)).collect();
    for (n, node) in nodes.iter().enumerate() {
        assert!(is_served(&node.request(&format!("warm-{n}"), "plain")));
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut hosts = Platform::host_list(&platform.engines[..1], |_| "SERVING");
    hosts[0]["born_ms"] = now.into();
    platform.discovery.publish_change(hosts);
    // The other nodes learn of it from their first list.
    nodes.extend((0..NODES / 2).map(|_| start_node(&platform, cold)));
    let all_listed = || platform.discovery.up_to_date_watches() >= nodes.len();
    assert!(Platform::wait_until(LONG, all_listed), "not all nodes have the list");
    let before = platform.traffic.events().len();
    std::thread::scope(|scope| {
        for (n, node) in nodes.iter().enumerate() {
            scope.spawn(move || {
                for m in 0..EACH {
                    // Some of the first prefill attempts fail, and the prompt is read at another reader.
                    let case = if m % 4 == 0 { "reader-500-first" } else { "fine" };
                    assert!(is_served(&node.request(&format!("{case}-{n}x{m}"), "plain")));
                }
            });
        }
    });
    let seen = platform.traffic.events();
    let began =
        |seen: &&elderstage_standin::platform::RecordedEvent| matches!(seen.pass, EngineEvent::Begun { .. });
    let prefills =
        |engine: &str| seen[before..].iter().filter(began).filter(|seen| seen.engine == engine).count();
    let all: usize = (0..6).map(|n| prefills(&format!("reader-{n}"))).sum();
    // The share of one of six warm readers, times the load that a cold one can bear: a multiple of its
    // present capacity.
    let budget = 4.0 * 0.3 * all as f64 / 6.0;
    let max = budget + 2.0 * budget.sqrt() + 2.0;
    let cold = prefills("reader-0");
    assert!((cold as f64) <= max, "{cold} of {all} prefills at the cold reader, expected {max:.1} at most");
    assert!(cold > 0, "no request goes to the cold reader");
}

/// Idle clients take all descriptors available to them while discovery is down. When discovery is back, the
/// node gets its list, reaches engines and reports itself ready. Accepting never fails for lack of a
/// descriptor.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_engines() {
    let bed = TestBed::new(1, 1);
    let discovery = Peer::new();
    const DESCRIPTORS: u64 = 96;
    let mut node = bed.node_with_descriptor_limit(DESCRIPTORS, |config| {
        config["known"]["hosts"] = Value::Array(Vec::new());
        config["discovery"] = discovery.addr.to_string().into();
        config["limits"]["sockets"] = DESCRIPTORS.into();
    });
    let idle: Vec<Client> = (0..400).filter_map(|_| Client::connect(node.addr)).collect();
    assert_eq!(node.client().get("/-/ready"), Some(200));
    // Discovery answers again.
    let _watch = answer_watch(&discovery, &node, &server_list(2, true, &bed.hosts()));
    bed.assert_serves(&node, "after-1");
    drop(idle);
    let log = node.log_text();
    assert!(!log.contains("accept"), "{log}");
}

/// A list of 1,024 engines, in the configuration and from discovery, whose entries are then changed one by
/// one.
#[test]
fn a_node_starts_with_a_thousand_engines() {
    let bed = TestBed::new(1, 1);
    let unused = Peer::new();
    let all = |health: &str| -> Vec<Value> {
        let other = |n: usize| host_entry(&format!("writer-gone-{n}"), &unused, health);
        (0..1_022).map(other).chain(bed.hosts()).collect()
    };
    let discovery = Peer::new();
    let node = bed.node(|config| {
        config["known"] = json!({"seq": 1, "whole": true, "hosts": all("DRAINING")});
        config["discovery"] = discovery.addr.to_string().into();
    });
    bed.assert_serves(&node, "known-1");
    let mut watch = answer_watch(&discovery, &node, &server_list(2, true, &all("DRAINING")));
    for (n, mut other) in all("DELETED").into_iter().take(1_022).enumerate() {
        other["dial"] = "".into();
        watch.write(&chunk(&(server_list(3 + n as u64, false, &[other]) + "\n")));
    }
    std::thread::sleep(Duration::from_millis(1));
    bed.assert_serves(&node, "listed-1");
    assert!(unused.try_accept().is_none());
}

/// CPU seconds that a node has used.
fn cpu_seconds(node: &Node) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", node.child.id())).unwrap();
    let used = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok());
    used.filter_map(|text| text.split(' ').next()?.parse::<f64>().ok()).sum::<f64>() / 1e9
}

/// CPU seconds that a node needs for a fixed number of requests with so many servers, one in twenty of which
/// drain and return meanwhile. Many servers share an engine's socket.
fn cpu_with_servers(servers: usize) -> f64 {
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
    platform.discovery.publish_change(all("SERVING"));
    let node = start_node(&platform, |config| {
        config["settings"]["n-instances"] = 300.into();
        config["known"]["hosts"] = Value::Array(all("SERVING"));
    });
    let cpu_at_start = cpu_seconds(&node);
    std::thread::scope(|scope| {
        for n in 0..CLIENTS {
            let node = &node;
            scope.spawn(move || {
                for m in 0..EACH {
                    assert!(
                        is_served(&node.request(&format!("large-{n}x{m}"), "plain")),
                        "{servers} servers, {n}x{m}"
                    );
                }
            });
        }
        for round in 0..4 {
            let part = |health| (0..servers).filter(|n| n % 20 == round).map(|n| entry(n, health)).collect();
            platform.discovery.publish_change(part("DRAINING"));
            std::thread::sleep(Duration::from_millis(100));
            platform.discovery.publish_change(part("SERVING"));
        }
    });
    cpu_seconds(&node) - cpu_at_start
}

/// The platform's bound on CPU for a fleet with sixteen times as many servers. `tests/scale.rs` checks the
/// operation counts.
#[test]
fn a_node_with_thousands_of_servers_needs_hardly_more_cpu() {
    let [small, large] = [192, 3_192].map(cpu_with_servers);
    let max = 1.4 * small + 0.02 + 0.03 * 3.0;
    assert!(
        large <= max,
        "{large:.3} s with 3,192 servers, {small:.3} s with 192: expected {max:.3} s at most"
    );
}
