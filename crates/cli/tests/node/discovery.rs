//! The watch on discovery: silence, resets, lists in every form, and a change of discovery's address.

use std::time::{Duration, Instant};

use elderstage_standin::platform::Discovery;
use serde_json::json;

use crate::bed::server_list;
use crate::peer::{Peer, PeerConnection, WATCH_HEAD, chunk};
use crate::support::*;

/// While discovery is silent, the node serves from its known list. When discovery is back, the node takes its
/// drains.
#[test]
fn the_node_serves_while_discovery_is_silent_and_takes_its_list_afterwards() {
    let platform = Platform::start(1, 2).unwrap();
    platform.discovery.set_silent(true);
    let node = start_node(&platform, |_| {});
    assert!(is_served(&node.request("known-1", "plain")), "not served from the initial list");
    platform.discovery.set_silent(false);
    let health = |name: &str| if name == "writer-0" { "DRAINING" } else { "SERVING" };
    platform.discovery.publish_change(Platform::host_list(&platform.engines, health));
    let writers = |from: usize| -> Vec<String> {
        let began = |seen: &elderstage_standin::platform::RecordedEvent| {
            matches!(seen.pass, EngineEvent::Begun { .. })
        };
        let seen = platform.traffic.events();
        let writers = seen[from..].iter().filter(|seen| began(seen) && seen.engine.starts_with("writer"));
        writers.map(|seen| seen.engine.clone()).collect()
    };
    // Sends requests until the drain has taken effect.
    let mut n = 0;
    let has_taken_effect = || {
        let from = platform.traffic.events().len();
        for _ in 0..8 {
            n += 1;
            assert!(is_served(&node.request(&format!("drain-{n}"), "plain")));
        }
        writers(from).iter().all(|writer| writer == "writer-1")
    };
    assert!(Platform::wait_until(LONG, has_taken_effect));
    // Discovery falls silent again: the node keeps its list.
    platform.discovery.set_silent(true);
    assert!(is_served(&node.request("silent-1", "plain")));
}

#[test]
fn a_new_configuration_changes_discoverys_address_and_an_invalid_one_changes_nothing() {
    let platform = Platform::start(1, 1).unwrap();
    let mut node = start_node(&platform, |_| {});
    let other = platform.discovery.start_replica().unwrap();
    assert!(Platform::wait_until(LONG, || !platform.discovery.request_targets().is_empty()));
    let asked = platform.discovery.request_targets().len();
    std::fs::write(&node.config, "{\"listen\":").unwrap();
    node.signal("HUP");
    assert!(is_served(&node.request("bad-config-1", "plain")));
    let config = platform.config(node.addr, other.addr, true);
    std::fs::write(&node.config, config.to_string()).unwrap();
    node.signal("HUP");
    assert!(
        Platform::wait_until(LONG, || platform.discovery.request_targets().len() > asked),
        "the node does not watch the new address"
    );
    let last = platform.discovery.request_targets().pop().unwrap();
    assert!(last.contains("stream=1&index="), "{last}");
    assert!(is_served(&node.request("moved-1", "plain")));
    assert!(node.child.try_wait().unwrap().is_none(), "the node has exited");
}

/// The content of an invalid line must not be lost: the node starts a new watch with the complete list.
#[test]
fn an_invalid_list_is_requested_again() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let watches = || platform.discovery.request_targets().len();
    assert!(Platform::wait_until(LONG, || watches() == 1));
    // The first watch has its list and is open, so the next line arrives as a change.
    std::thread::sleep(Duration::from_millis(300));
    platform.discovery.send_malformed_line();
    assert!(Platform::wait_until(LONG, || watches() > 1), "no new watch is started");
    assert!(
        platform.discovery.request_targets()[1].ends_with("index=0"),
        "{:?}",
        platform.discovery.request_targets()
    );
    assert!(is_served(&node.request("after-noise-1", "plain")));
}

/// The list with which a node is started may be out of date. A node must know the list of its discovery when
/// it becomes ready.
#[test]
fn a_node_is_ready_only_with_the_list_of_its_discovery() {
    let platform = Platform::start(1, 2).unwrap();
    let health = |name: &str| if name == "writer-0" { "DRAINING" } else { "SERVING" };
    platform.discovery.publish_change(Platform::host_list(&platform.engines, health));
    for n in 0..5 {
        let node = start_node(&platform, |config| {
            assert_eq!(
                config["known"]["hosts"][1]["health"], "SERVING",
                "the initial list is not the old one"
            );
        });
        for m in 0..4 {
            let answer = node.request(&format!("first-{n}x{m}"), "plain");
            assert!(is_served(&answer), "node {n}, request {m}: {answer:?}");
        }
    }
    let began =
        |seen: &elderstage_standin::platform::RecordedEvent| matches!(seen.pass, EngineEvent::Begun { .. });
    let seen = platform.traffic.events();
    assert!(
        !seen.iter().any(|seen| began(seen) && seen.engine == "writer-0"),
        "a request went to a draining engine"
    );
}

/// Sends requests until none of eight in a row goes to these writers.
fn until_avoided(platform: &Platform, node: &Node, avoided_writers: &[&str], tag: &str) {
    let mut n = 0;
    let avoided = || {
        let from = platform.traffic.events().len();
        for _ in 0..8 {
            n += 1;
            assert!(is_served(&node.request(&format!("{tag}-{n}"), "plain")));
        }
        let seen = platform.traffic.events();
        let began = |seen: &elderstage_standin::platform::RecordedEvent| {
            matches!(seen.pass, EngineEvent::Begun { .. })
        };
        !seen[from..].iter().any(|seen| began(seen) && avoided_writers.contains(&seen.engine.as_str()))
    };
    assert!(Platform::wait_until(LONG, avoided), "requests still go to {avoided_writers:?}");
}

/// The number of requests that an engine has begun.
fn begun_at(platform: &Platform, engine: &str) -> usize {
    let began =
        |seen: &elderstage_standin::platform::RecordedEvent| matches!(seen.pass, EngineEvent::Begun { .. });
    platform.traffic.events().iter().filter(|seen| began(seen) && seen.engine == engine).count()
}

/// Health of the engines where the named one drains.
fn draining(name: &'static str) -> impl Fn(&str) -> &'static str {
    move |engine| if engine == name { "DRAINING" } else { "SERVING" }
}

/// An older list must not replace a newer one: an announced drain stays in force.
#[test]
fn an_older_list_after_a_newer_one_is_ignored() {
    let platform = Platform::start(1, 3).unwrap();
    let node = start_node(&platform, |_| {});
    platform.discovery.publish_change(Platform::host_list(&platform.engines, draining("writer-0")));
    until_avoided(&platform, &node, &["writer-0"], "newer");
    let before = begun_at(&platform, "writer-0");
    let old = Platform::host_list(&platform.engines, |_| "SERVING");
    platform.discovery.send_line(&json!({"seq": 1, "whole": true, "hosts": old}).to_string());
    let asked = platform.discovery.request_targets().len();
    assert!(
        Platform::wait_until(LONG, || platform.discovery.request_targets().len() > asked),
        "the list is not requested again"
    );
    platform.discovery.publish_change(vec![host_of(&platform, "writer-1", "DRAINING")]);
    until_avoided(&platform, &node, &["writer-0", "writer-1"], "after");
    assert_eq!(
        begun_at(&platform, "writer-0"),
        before,
        "a request went to an engine after its drain was announced"
    );
}

/// Sends requests until one goes to this writer.
fn until_used(platform: &Platform, node: &Node, writer: &str, tag: &str) {
    let (mut n, before) = (0, begun_at(platform, writer));
    let is_used = || {
        n += 1;
        assert!(is_served(&node.request(&format!("{tag}-{n}"), "plain")));
        begun_at(platform, writer) > before
    };
    assert!(Platform::wait_until(LONG, is_used), "no request goes to {writer}");
}

/// Guards against requests to an engine that drains: a new configuration names a discovery whose list is older, since it
/// lags or has numbered its lists anew, and that list took the drain back (`review/10`). What that list adds is used, also
/// by the next process of the node.
#[test]
fn an_older_list_of_another_discovery_takes_back_no_drain() {
    let platform = Platform::start(1, 3).unwrap();
    let entry = |name: &str, started_ms: u64| {
        let mut host = host_of(&platform, name, "SERVING");
        host["born_ms"] = started_ms.into();
        host
    };
    let first =
        Discovery::start(["reader-0", "writer-0", "writer-1"].map(|name| entry(name, 0)).to_vec()).unwrap();
    let configure = |config: &mut Value, discovery: &Discovery| {
        config["discovery"] = discovery.addr.to_string().into();
        let (version, hosts) = first.newest();
        config["known"] = json!({"seq": version, "whole": true, "hosts": hosts});
    };
    let node = start_node(&platform, |config| configure(config, &first));
    first.publish_change(vec![host_of(&platform, "writer-0", "DRAINING")]);
    until_avoided(&platform, &node, &["writer-0"], "first");
    let drained_at = begun_at(&platform, "writer-0");
    // Its list has a lower version, the drained engine runs by it, and one engine is only on it.
    let second = Discovery::start(Platform::host_list(&platform.engines, |_| "SERVING")).unwrap();
    let mut config = platform.config(node.addr, second.addr, true);
    configure(&mut config, &second);
    std::fs::write(&node.config, config.to_string()).unwrap();
    node.signal("HUP");
    until_used(&platform, &node, "writer-2", "second");
    until_avoided(&platform, &node, &["writer-0"], "second-avoided");
    assert_eq!(begun_at(&platform, "writer-0"), drained_at, "an older list took a drain back");
    drop(node);
    let node = start_node(&platform, |config| configure(config, &second));
    until_used(&platform, &node, "writer-2", "third");
    until_avoided(&platform, &node, &["writer-0"], "third-avoided");
    assert_eq!(begun_at(&platform, "writer-0"), drained_at, "an older list took a drain back at a restart");
    // A later start is something newer.
    second.publish_change(vec![entry("writer-0", 1_000)]);
    until_used(&platform, &node, "writer-0", "restarted");
}

/// The list entry of an engine.
fn host_of(platform: &Platform, name: &str, health: &'static str) -> Value {
    let hosts = Platform::host_list(&platform.engines, |_| health);
    hosts.into_iter().find(|host| host["host"] == name).unwrap()
}

/// Waits for the next watch. Returns its connection, and the version from which the node requests changes.
fn next_watch(discovery: &Peer) -> (PeerConnection, String) {
    let (connection, request) = discovery.next_request();
    let index = request.head.target.rsplit_once("index=").map(|(_, index)| index.to_owned());
    (connection, index.expect("the request is not a watch"))
}

/// Starts a node whose first watch gets this list.
fn start_with_first_list(platform: &Platform, discovery: &Peer, first: &str) -> (Node, PeerConnection) {
    let text = WATCH_HEAD.to_owned() + &chunk(&(first.to_owned() + "\n"));
    std::thread::scope(|scope| {
        let node = scope.spawn(|| start_watching(platform, discovery));
        let (mut connection, _) = next_watch(discovery);
        connection.write(&text);
        let node = node.join().unwrap();
        // On a busy machine the node may have given up that watch before it was answered.
        while connection.is_closed_by_node() {
            connection = next_watch(discovery).0;
            connection.write(&text);
            node.wait_until_processed();
        }
        (node, connection)
    })
}

/// Starts a node that watches this scripted discovery.
fn start_watching(platform: &Platform, discovery: &Peer) -> Node {
    start_node(platform, |config| config["discovery"] = discovery.addr.to_string().into())
}

/// The first watch is accepted and never answered. It is kept, in case its head is late, until another one is
/// answered. The second is reset within its head, the third within a line. The fourth breaks off a line with an empty one. Each time the next watch delivers everything.
#[test]
fn a_watch_that_breaks_anywhere_is_reopened_without_loss() {
    let platform = Platform::start(1, 2).unwrap();
    let discovery = Peer::new();
    let node = start_watching(&platform, &discovery);
    let (mut silent, index) = next_watch(&discovery);
    assert_eq!(index, "0");
    let (mut connection, _) = next_watch(&discovery);
    connection.write("HTTP/1.1 200 OK\r\ntransfer-enc");
    connection.reset();
    let (mut connection, index) = next_watch(&discovery);
    assert_eq!(index, "0");
    let all = |seq: u64, health: &dyn Fn(&str) -> &'static str| {
        server_list(seq, true, &Platform::host_list(&platform.engines, health))
    };
    connection.write(&(WATCH_HEAD.to_owned() + &chunk(&(all(5, &|_| "SERVING") + "\n"))));
    // Half of a drain's line arrives.
    let drain = all(6, &draining("writer-0"));
    connection.write(&chunk(&drain[..drain.len() / 2]));
    node.wait_until_processed();
    assert!(!silent.wait_until_closed(), "the silent watch sent more bytes");
    connection.reset();
    let (mut connection, index) = next_watch(&discovery);
    assert_eq!(index, "5", "not from the last complete list");
    connection.write(&(WATCH_HEAD.to_owned() + &chunk(&drain[..drain.len() / 2]) + &chunk("\n\n")));
    let (mut connection, index) = next_watch(&discovery);
    assert_eq!(index, "0", "not from the start, although a line was broken off");
    connection.write(&(WATCH_HEAD.to_owned() + &chunk(&(drain + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "whole");
}

/// A list that spans many lines and is written byte by byte.
#[test]
fn a_list_that_arrives_byte_by_byte_is_applied() {
    let platform = Platform::start(1, 2).unwrap();
    let discovery = Peer::new();
    let serving = Platform::host_list(&platform.engines, |_| "SERVING");
    let (node, mut connection) =
        start_with_first_list(&platform, &discovery, &server_list(2, true, &serving));
    let hosts = Platform::host_list(&platform.engines, draining("writer-1"));
    let text =
        serde_json::to_string_pretty(&json!({"seq": 3, "whole": true, "hosts": hosts})).unwrap() + "\n";
    for byte in chunk(&text).chars() {
        connection.write(&byte.to_string());
    }
    until_avoided(&platform, &node, &["writer-1"], "bytes");
}

/// An open watch falls silent. The node opens another one, although the first never ends, and gets the missed
/// changes there.
#[test]
fn an_open_watch_that_falls_silent_is_replaced() {
    let platform = Platform::start(1, 2).unwrap();
    let discovery = Peer::new();
    let hosts = Platform::host_list(&platform.engines, |_| "SERVING");
    let (node, mut silent) = start_with_first_list(&platform, &discovery, &server_list(7, true, &hosts));
    let (mut connection, index) = next_watch(&discovery);
    assert_eq!(index, "7");
    let drain = server_list(8, false, &[host_of(&platform, "writer-0", "DRAINING")]);
    connection.write(&(WATCH_HEAD.to_owned() + &chunk(&(drain + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "replaced");
    // The silent watch sends an outdated list after all.
    let before = begun_at(&platform, "writer-0");
    silent.write(&chunk(&(server_list(7, true, &hosts) + "\n")));
    until_avoided(&platform, &node, &["writer-0"], "late");
    assert_eq!(begun_at(&platform, "writer-0"), before);
}

/// Nothing listens at discovery's address when the node starts, and during some retries.
#[test]
fn a_discovery_that_refuses_connections_is_retried_until_it_answers() {
    let platform = Platform::start(1, 2).unwrap();
    let addr = unused_address();
    let node = start_node(&platform, |config| config["discovery"] = addr.to_string().into());
    assert!(is_served(&node.request("known-1", "plain")), "not served from the initial list");
    let discovery = Peer::at(addr);
    let (mut connection, _) = next_watch(&discovery);
    let hosts = Platform::host_list(&platform.engines, draining("writer-0"));
    connection.write(&(WATCH_HEAD.to_owned() + &chunk(&(server_list(4, true, &hosts) + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "refused");
}

/// The configuration changes discovery's address, the old discovery sends a last list at the same moment, and
/// the new one announces a drain.
#[test]
fn a_drain_announced_right_after_a_new_configuration_is_applied() {
    let platform = Platform::start(1, 3).unwrap();
    let (old, new) = (Peer::new(), Peer::new());
    let hosts = Platform::host_list(&platform.engines, |_| "SERVING");
    let (node, mut connection) = start_with_first_list(&platform, &old, &server_list(10, true, &hosts));
    node.suspend();
    std::fs::write(&node.config, platform.config(node.addr, new.addr, true).to_string()).unwrap();
    node.signal("HUP");
    connection.write(&chunk(&(server_list(11, true, &hosts) + "\n")));
    node.resume();
    let (mut moved, index) = next_watch(&new);
    assert!(["10", "11"].contains(&index.as_str()), "{index}");
    let drain = server_list(12, true, &Platform::host_list(&platform.engines, draining("writer-0")));
    moved.write(&(WATCH_HEAD.to_owned() + &chunk(&(drain + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "moved");
    let before = begun_at(&platform, "writer-0");
    // Lists of the old discovery are ignored from now on.
    connection.write(&chunk(&(server_list(13, true, &hosts) + "\n")));
    moved.write(&chunk(&(server_list(13, false, &[host_of(&platform, "writer-1", "DRAINING")]) + "\n")));
    until_avoided(&platform, &node, &["writer-0", "writer-1"], "after");
    assert_eq!(begun_at(&platform, "writer-0"), before);
}

/// Settings with another deadline come together with discovery's new address. Both are applied.
#[test]
fn a_new_configuration_may_change_how_long_clients_wait() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let new = Peer::new();
    let mut config = platform.config(node.addr, new.addr, true);
    config["settings"]["services"][0]["give-up-us"] = 9_000_000.into();
    std::fs::write(&node.config, config.to_string()).unwrap();
    node.signal("HUP");
    next_watch(&new);
}

/// Guards against a discovery that never gives a list because it is slow: its head comes after the node has opened the next
/// watch, and its list in pieces over longer than a watch may be silent.
#[test]
fn a_slow_discovery_gives_its_list() {
    let platform = Platform::start(1, 2).unwrap();
    let discovery = Peer::at(std::net::SocketAddr::new(unused_address().ip(), 0));
    let hosts = Platform::host_list(&platform.engines, draining("writer-0"));
    let list = server_list(5, true, &hosts) + "\n";
    let node = start_watching(&platform, &discovery);
    // Each head comes only when the next watch is open.
    let deadline = Instant::now() + LONG;
    let (mut connection, _) = next_watch(&discovery);
    loop {
        assert!(Instant::now() < deadline, "the node takes no list");
        let next = next_watch(&discovery).0;
        if connection.is_closed_by_node() {
            // It was kept for as long as one is kept.
            connection = next;
            continue;
        }
        connection.write(WATCH_HEAD);
        let pieces = list.as_bytes().chunks(list.len().div_ceil(12));
        for piece in pieces {
            connection.write(&chunk(std::str::from_utf8(piece).unwrap()));
            std::thread::sleep(Duration::from_millis(270));
        }
        node.wait_until_processed();
        // On a busy machine a pause may have been too long.
        if !connection.is_closed_by_node() {
            break;
        }
        connection = next_watch(&discovery).0;
    }
    until_avoided(&platform, &node, &["writer-0"], "slow");
}
