//! The watch on discovery: silence, resets, lists in every form, moves to another address.

use std::time::Duration;

use serde_json::json;

use crate::bed::list;
use crate::peer::{Line, Peer, WATCH, chunk};
use crate::support::*;

#[test]
fn a_silent_discovery_stops_nothing_and_drains_are_obeyed_when_it_is_back() {
    let platform = Platform::start(1, 2).unwrap();
    platform.discovery.silence(true);
    let node = start(&platform, |_| {});
    assert!(whole(&node.ask("known-1", "plain")), "from the list it was started with");
    platform.discovery.silence(false);
    let health = |name: &str| if name == "writer-0" { "DRAINING" } else { "SERVING" };
    platform.discovery.change(Platform::list(&platform.engines, health));
    let writers = |from: usize| -> Vec<String> {
        let began = |seen: &elderstage_standin::platform::Seen| matches!(seen.pass, Pass::Begun { .. });
        let seen = platform.traffic.seen();
        let writers = seen[from..].iter().filter(|seen| began(seen) && seen.engine.starts_with("writer"));
        writers.map(|seen| seen.engine.clone()).collect()
    };
    // Until the drain has come through.
    let mut n = 0;
    let settled = || {
        let from = platform.traffic.seen().len();
        for _ in 0..8 {
            n += 1;
            assert!(whole(&node.ask(&format!("drain-{n}"), "plain")));
        }
        writers(from).iter().all(|writer| writer == "writer-1")
    };
    assert!(Platform::until(LONG, settled));
    // A new whole list at the watch's next try, after silence: nothing is forgotten.
    platform.discovery.silence(true);
    assert!(whole(&node.ask("silent-1", "plain")));
}

#[test]
fn a_new_configuration_moves_discovery_and_a_bad_one_changes_nothing() {
    let platform = Platform::start(1, 1).unwrap();
    let mut node = start(&platform, |_| {});
    let other = platform.discovery.beside().unwrap();
    assert!(Platform::until(LONG, || !platform.discovery.asked().is_empty()));
    let asked = platform.discovery.asked().len();
    std::fs::write(&node.config, "{\"listen\":").unwrap();
    node.signal("HUP");
    assert!(whole(&node.ask("bad-config-1", "plain")));
    let config = platform.config(node.addr, other.addr, true);
    std::fs::write(&node.config, config.to_string()).unwrap();
    node.signal("HUP");
    assert!(
        Platform::until(LONG, || platform.discovery.asked().len() > asked),
        "the watch is taken up there"
    );
    let last = platform.discovery.asked().pop().unwrap();
    assert!(last.contains("stream=1&index="), "{last}");
    assert!(whole(&node.ask("moved-1", "plain")));
    assert!(node.child.try_wait().unwrap().is_none(), "it runs on");
}

/// What a line that can't be read told must not be lost: the watch begins anew with the whole list.
#[test]
fn a_list_that_cannot_be_read_is_asked_for_anew() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let watches = || platform.discovery.asked().len();
    assert!(Platform::until(LONG, || watches() == 1));
    // The first watch has its list and is open: what comes now comes as a change.
    std::thread::sleep(Duration::from_millis(300));
    platform.discovery.garble();
    assert!(Platform::until(LONG, || watches() > 1), "the watch is taken up again");
    assert!(platform.discovery.asked()[1].ends_with("index=0"), "{:?}", platform.discovery.asked());
    assert!(whole(&node.ask("after-noise-1", "plain")));
}

/// The list that a node is started with may be old, and what its discovery holds counts as told from its first moment.
#[test]
fn a_node_is_ready_with_the_list_that_its_discovery_holds() {
    let platform = Platform::start(1, 2).unwrap();
    let health = |name: &str| if name == "writer-0" { "DRAINING" } else { "SERVING" };
    platform.discovery.change(Platform::list(&platform.engines, health));
    for n in 0..5 {
        let node = start(&platform, |config| {
            assert_eq!(config["known"]["hosts"][1]["health"], "SERVING", "the old list");
        });
        for m in 0..4 {
            let answer = node.ask(&format!("first-{n}x{m}"), "plain");
            assert!(whole(&answer), "node {n}, request {m}: {answer:?}");
        }
    }
    let began = |seen: &elderstage_standin::platform::Seen| matches!(seen.pass, Pass::Begun { .. });
    let seen = platform.traffic.seen();
    assert!(!seen.iter().any(|seen| began(seen) && seen.engine == "writer-0"), "a draining engine was asked");
}

/// Sends requests until eight in a row go past these writers; from then on none may come there.
fn until_avoided(platform: &Platform, node: &Node, leavers: &[&str], tag: &str) {
    let mut n = 0;
    let avoided = || {
        let from = platform.traffic.seen().len();
        for _ in 0..8 {
            n += 1;
            assert!(whole(&node.ask(&format!("{tag}-{n}"), "plain")));
        }
        let seen = platform.traffic.seen();
        let began = |seen: &elderstage_standin::platform::Seen| matches!(seen.pass, Pass::Begun { .. });
        !seen[from..].iter().any(|seen| began(seen) && leavers.contains(&seen.engine.as_str()))
    };
    assert!(Platform::until(LONG, avoided), "{leavers:?} are still asked");
}

fn begun_at(platform: &Platform, engine: &str) -> usize {
    let began = |seen: &elderstage_standin::platform::Seen| matches!(seen.pass, Pass::Begun { .. });
    platform.traffic.seen().iter().filter(|seen| began(seen) && seen.engine == engine).count()
}

fn draining(name: &'static str) -> impl Fn(&str) -> &'static str {
    move |engine| if engine == name { "DRAINING" } else { "SERVING" }
}

/// A list that is older than the one that the node has must not undo it: a drain that was told stays told.
#[test]
fn an_older_list_after_a_newer_one_changes_nothing() {
    let platform = Platform::start(1, 3).unwrap();
    let node = start(&platform, |_| {});
    platform.discovery.change(Platform::list(&platform.engines, draining("writer-0")));
    until_avoided(&platform, &node, &["writer-0"], "newer");
    let before = begun_at(&platform, "writer-0");
    let old = Platform::list(&platform.engines, |_| "SERVING");
    platform.discovery.inject(&json!({"seq": 1, "whole": true, "hosts": old}).to_string());
    let asked = platform.discovery.asked().len();
    assert!(Platform::until(LONG, || platform.discovery.asked().len() > asked), "asked for anew");
    platform.discovery.change(vec![host_of(&platform, "writer-1", "DRAINING")]);
    until_avoided(&platform, &node, &["writer-0", "writer-1"], "after");
    assert_eq!(
        begun_at(&platform, "writer-0"),
        before,
        "an engine was asked after it had been told to drain"
    );
}

fn host_of(platform: &Platform, name: &str, health: &'static str) -> Value {
    let hosts = Platform::list(&platform.engines, |_| health);
    hosts.into_iter().find(|host| host["host"] == name).unwrap()
}

/// A watch by hand: its connection, and the version from which the node wants to know.
fn next_watch(discovery: &Peer) -> (Line, String) {
    let (line, got) = discovery.take();
    let index = got.head.target.rsplit_once("index=").map(|(_, index)| index.to_owned());
    (line, index.expect("a watch"))
}

/// A node whose first watch has been told this list.
fn told_first(platform: &Platform, discovery: &Peer, first: &str) -> (Node, Line) {
    let text = WATCH.to_owned() + &chunk(&(first.to_owned() + "\n"));
    std::thread::scope(|scope| {
        let node = scope.spawn(|| by_hand(platform, discovery));
        let (mut line, _) = next_watch(discovery);
        line.write(&text);
        let node = node.join().unwrap();
        // On a busy machine the node may have given that one up before it was answered.
        while line.has_ended() {
            line = next_watch(discovery).0;
            line.write(&text);
            node.settle();
        }
        (node, line)
    })
}

fn by_hand(platform: &Platform, discovery: &Peer) -> Node {
    start(platform, |config| config["discovery"] = discovery.addr.to_string().into())
}

/// The first watch is accepted and never answered, the second is reset before its head ends, the third in the middle of
/// a line, the fourth breaks off a line with an empty one: each time the next one tells all.
#[test]
fn a_watch_that_breaks_anywhere_is_opened_anew_and_loses_nothing() {
    let platform = Platform::start(1, 2).unwrap();
    let discovery = Peer::new();
    let node = by_hand(&platform, &discovery);
    let (mut silent, index) = next_watch(&discovery);
    assert_eq!(index, "0");
    let (mut line, _) = next_watch(&discovery);
    assert!(!silent.until_ended(), "the silent one is given up");
    line.write("HTTP/1.1 200 OK\r\ntransfer-enc");
    line.reset();
    let (mut line, index) = next_watch(&discovery);
    assert_eq!(index, "0");
    let all = |seq: u64, health: &dyn Fn(&str) -> &'static str| {
        list(seq, true, &Platform::list(&platform.engines, health))
    };
    line.write(&(WATCH.to_owned() + &chunk(&(all(5, &|_| "SERVING") + "\n"))));
    // A drain, of which half comes.
    let drain = all(6, &draining("writer-0"));
    line.write(&chunk(&drain[..drain.len() / 2]));
    node.settle();
    line.reset();
    let (mut line, index) = next_watch(&discovery);
    assert_eq!(index, "5", "from what it has whole");
    line.write(&(WATCH.to_owned() + &chunk(&drain[..drain.len() / 2]) + &chunk("\n\n")));
    let (mut line, index) = next_watch(&discovery);
    assert_eq!(index, "0", "what was broken off may have told anything");
    line.write(&(WATCH.to_owned() + &chunk(&(drain + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "whole");
}

/// A list over many lines, one byte a write.
#[test]
fn a_list_that_comes_byte_by_byte_is_taken() {
    let platform = Platform::start(1, 2).unwrap();
    let discovery = Peer::new();
    let serving = Platform::list(&platform.engines, |_| "SERVING");
    let (node, mut line) = told_first(&platform, &discovery, &list(2, true, &serving));
    let hosts = Platform::list(&platform.engines, draining("writer-1"));
    let text =
        serde_json::to_string_pretty(&json!({"seq": 3, "whole": true, "hosts": hosts})).unwrap() + "\n";
    for byte in chunk(&text).chars() {
        line.write(&byte.to_string());
    }
    until_avoided(&platform, &node, &["writer-1"], "bytes");
}

/// An open watch falls silent; what it misses comes over the next one, which is opened though the first never ends.
#[test]
fn an_open_watch_that_falls_silent_is_replaced() {
    let platform = Platform::start(1, 2).unwrap();
    let discovery = Peer::new();
    let hosts = Platform::list(&platform.engines, |_| "SERVING");
    let (node, mut silent) = told_first(&platform, &discovery, &list(7, true, &hosts));
    let (mut line, index) = next_watch(&discovery);
    assert_eq!(index, "7");
    let drain = list(8, false, &[host_of(&platform, "writer-0", "DRAINING")]);
    line.write(&(WATCH.to_owned() + &chunk(&(drain + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "replaced");
    // The silent one comes back to life with what was true before.
    let before = begun_at(&platform, "writer-0");
    silent.write(&chunk(&(list(7, true, &hosts) + "\n")));
    until_avoided(&platform, &node, &["writer-0"], "late");
    assert_eq!(begun_at(&platform, "writer-0"), before);
}

/// Nobody listens at discovery's address when the node starts, and for some tries after.
#[test]
fn a_discovery_that_refuses_is_asked_until_it_answers() {
    let platform = Platform::start(1, 2).unwrap();
    let addr = free();
    let node = start(&platform, |config| config["discovery"] = addr.to_string().into());
    assert!(whole(&node.ask("known-1", "plain")), "from the list it was started with");
    let discovery = Peer::at(addr);
    let (mut line, _) = next_watch(&discovery);
    let hosts = Platform::list(&platform.engines, draining("writer-0"));
    line.write(&(WATCH.to_owned() + &chunk(&(list(4, true, &hosts) + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "refused");
}

/// The configuration moves discovery, the old one tells a last list in the same instant, and the new one has a drain.
#[test]
fn a_drain_right_behind_a_new_configuration_is_kept() {
    let platform = Platform::start(1, 3).unwrap();
    let (old, new) = (Peer::new(), Peer::new());
    let hosts = Platform::list(&platform.engines, |_| "SERVING");
    let (node, mut line) = told_first(&platform, &old, &list(10, true, &hosts));
    node.freeze();
    std::fs::write(&node.config, platform.config(node.addr, new.addr, true).to_string()).unwrap();
    node.signal("HUP");
    line.write(&chunk(&(list(11, true, &hosts) + "\n")));
    node.thaw();
    let (mut moved, index) = next_watch(&new);
    assert!(["10", "11"].contains(&index.as_str()), "{index}");
    let drain = list(12, true, &Platform::list(&platform.engines, draining("writer-0")));
    moved.write(&(WATCH.to_owned() + &chunk(&(drain + "\n"))));
    until_avoided(&platform, &node, &["writer-0"], "moved");
    let before = begun_at(&platform, "writer-0");
    // The old one is heard no more.
    line.write(&chunk(&(list(13, true, &hosts) + "\n")));
    moved.write(&chunk(&(list(13, false, &[host_of(&platform, "writer-1", "DRAINING")]) + "\n")));
    until_avoided(&platform, &node, &["writer-0", "writer-1"], "after");
    assert_eq!(begun_at(&platform, "writer-0"), before);
}

/// Settings with another deadline come with discovery's new address: they are taken, whole.
#[test]
fn a_new_configuration_may_change_how_long_clients_wait() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let new = Peer::new();
    let mut config = platform.config(node.addr, new.addr, true);
    config["settings"]["services"][0]["give-up-us"] = 9_000_000.into();
    std::fs::write(&node.config, config.to_string()).unwrap();
    node.signal("HUP");
    next_watch(&new);
}
