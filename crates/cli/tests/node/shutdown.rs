//! The end of a node: what it had taken, what comes while it ends, and being killed.

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::Duration;

use crate::bed::{Bed, patient_chat};
use crate::peer::streamed;
use crate::support::*;

#[test]
fn a_node_that_is_told_to_stop_answers_what_it_took_and_ends_well() {
    let platform = Platform::start(2, 1).unwrap();
    let mut node = start(&platform, |_| {});
    let mut kept = node.client();
    kept.send(&chat("before-1", "plain", 4000));
    assert!(whole(&kept.answer()));
    let mut open = node.client();
    open.send(&chat("reader-silent-first-2", "plain", 4000));
    let begun = || {
        platform
            .traffic
            .seen()
            .iter()
            .any(|seen| matches!(&seen.pass, Pass::Begun { trace, .. } if trace.ends_with("-2")))
    };
    assert!(Platform::until(LONG, begun));
    node.signal("TERM");
    // Still taken right after the signal, on a connection that it knows.
    kept.send(&chat("after-1", "plain", 4000));
    assert!(whole(&kept.answer()));
    assert!(whole(&open.answer()));
    let mut status = None;
    assert!(Platform::until(LONG, || {
        status = node.child.try_wait().unwrap();
        status.is_some()
    }));
    assert!(status.unwrap().success());
    assert!(Client::to(node.addr).is_none(), "nobody listens any more");
}

/// Killed outright and started again under its name and address: it takes over from nothing, and what the first had
/// under way is neither answered nor sent a second time by the second.
#[test]
fn a_node_killed_outright_starts_again_from_nothing() {
    let platform = Platform::start(2, 2).unwrap();
    let node = start(&platform, |_| {});
    let addr = node.addr;
    let mut open = node.client();
    open.send(&chat("reader-silent-1", "once", 4000));
    let begun = || platform.traffic.seen().iter().any(|seen| matches!(seen.pass, Pass::Begun { .. }));
    assert!(Platform::until(LONG, begun));
    drop(node);
    assert_eq!(open.answer().status, 0, "its connection ends");
    // Its port is free but for what another test may take for a moment.
    let mut again = (0..20).map(|_| start_at(&platform, addr, None, |_| {}));
    let again = again.find_map(|node| node).expect("it starts again");
    assert!(whole(&again.ask("after-kill-1", "once")));
    let sent = platform.traffic.seen();
    let sent = sent
        .iter()
        .filter(|seen| matches!(&seen.pass, Pass::Begun { trace, .. } if trace.starts_with("reader-silent")));
    assert_eq!(sent.count(), 1);
}

/// One request is being served, a second one and half of a third wait behind it on the same connection when the node is
/// told to end. Their first bytes were read, so each is answered; they were dropped without a word.
#[test]
fn requests_that_had_begun_to_come_are_answered_across_the_end() {
    let bed = Bed::new(1, 1);
    let mut node = bed.node(|_| {});
    let mut client = node.client();
    let third = patient_chat("third-1", "plain");
    let (begun, rest) = third.split_at(third.len() / 2);
    client.send(&(patient_chat("first-1", "plain") + &patient_chat("second-1", "plain") + begun));
    let (mut read, got) = bed.readers[0].take();
    assert_eq!(got.trace(), "first-1");
    // All that was sent is with the node.
    node.settle();
    node.signal("TERM");
    node.until_closed();
    for trace in ["first-1", "second-1", "third-1"] {
        if trace == "third-1" {
            client.send(rest);
        }
        if trace != "first-1" {
            let (line, got) = bed.readers[0].take();
            assert_eq!(got.trace(), trace);
            read = line;
        }
        read.has_read();
        let (mut write, got) = bed.writers[0].take();
        assert_eq!(got.trace(), trace);
        write.streams();
        let answer = client.answer();
        assert!(streamed(&answer), "{trace}: {answer:?}");
    }
    assert!(client.ends_in_order());
    assert!(node.ends_well());
}

/// Connections that the system has accepted and the node has not, when the time comes at which it accepts no more.
#[test]
fn what_had_connected_when_the_listener_closes_is_served() {
    // On a busy machine the listener may be closed before the clients come: that is another order, played again.
    let played = (0..10).any(|_| {
        let bed = Bed::new(1, 1);
        let mut node = bed.node(|_| {});
        node.signal("TERM");
        std::thread::sleep(Duration::from_millis(100));
        node.freeze();
        let mut clients: Vec<Client> = (0..3).filter_map(|_| Client::to(node.addr)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&patient_chat(&format!("late-{n}"), "plain"));
        }
        // Longer than it accepts after the signal: the time for that is over when the node goes on.
        std::thread::sleep(Duration::from_millis(600));
        node.thaw();
        if clients.len() < 3 {
            return false;
        }
        for _ in 0..3 {
            let (mut line, _) = bed.readers[0].take();
            line.has_read();
            bed.readers[0].rest(line);
            let (mut line, _) = bed.writers[0].take();
            line.streams();
            bed.writers[0].rest(line);
        }
        assert!(clients.iter_mut().all(|client| streamed(&client.answer())));
        assert!(node.ends_well());
        true
    });
    assert!(played);
}

/// The engine has written its last chunk when the time comes at which streams are cut.
#[test]
fn a_stream_that_its_engine_has_finished_is_passed_on_to_its_end() {
    let bed = Bed::new(1, 1);
    let mut node = bed.node(|_| {});
    let mut client = node.client();
    client.send(&patient_chat("finished-1", "plain"));
    let (mut line, _) = bed.readers[0].take();
    line.has_read();
    let (mut line, _) = bed.writers[0].take();
    line.begins();
    // The stream has begun for the client.
    assert!(client.more());
    node.signal("TERM");
    node.until_closed();
    node.freeze();
    line.ends();
    // Longer than the node has after the signal (3.7 s): all its times are up when it goes on.
    std::thread::sleep(Duration::from_millis(3_800));
    node.thaw();
    let answer = client.answer();
    assert!(streamed(&answer), "{answer:?}");
    assert!(node.ends_well());
}

/// A signal while the program starts waits until it can be obeyed; it ended the program there and then.
#[test]
fn a_signal_during_the_start_waits() {
    for (signals, ends) in [(&["TERM"][..], true), (&["HUP"], false), (&["HUP", "TERM", "TERM"], true)] {
        let bed = Bed::new(1, 1);
        // The configuration is a pipe: the node waits for it until it is written.
        let path = bed.holds.folder().join("config");
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let addr = free();
        let mut config = bed.platform.config(addr, bed.platform.discovery.addr, true);
        config["known"]["hosts"] = Value::Array(bed.hosts());
        let command =
            Command::new(PROGRAM).arg("node").env("PROXY_CONFIG", &path).stdin(Stdio::null()).spawn();
        let mut node = Node { child: command.unwrap(), addr, config: path.clone() };
        let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        // The pipe is open at both ends: the program reads its configuration.
        for signal in signals {
            node.signal(signal);
        }
        // What it reads anew at SIGHUP is a file: a pipe that nobody writes would keep it for ever.
        std::fs::remove_file(&path).unwrap();
        std::fs::write(&path, config.to_string()).unwrap();
        pipe.write_all(config.to_string().as_bytes()).unwrap();
        drop(pipe);
        if ends {
            assert!(node.ends_well(), "{signals:?}");
        } else {
            let ready = || Client::to(addr).is_some_and(|mut client| client.get("/-/ready") == Some(200));
            assert!(Platform::until(LONG, ready), "{signals:?}");
        }
    }
}

/// A new configuration and the end in one look at the signals, and the end told again and again.
#[test]
fn signals_that_come_together_have_one_result() {
    let bed = Bed::new(1, 1);
    let mut node = bed.node(|_| {});
    let mut client = node.client();
    client.send(&patient_chat("open-1", "plain"));
    let (mut read, _) = bed.readers[0].take();
    node.freeze();
    for signal in ["TERM", "HUP", "TERM", "HUP"] {
        node.signal(signal);
    }
    node.thaw();
    node.until_closed();
    node.signal("TERM");
    node.signal("HUP");
    read.has_read();
    let (mut write, _) = bed.writers[0].take();
    write.streams();
    assert!(streamed(&client.answer()));
    assert!(node.ends_well());
}

/// Killed right after an accept: nobody is told anything, and nothing of it has reached an engine.
#[test]
fn a_node_killed_right_after_an_accept_leaves_nothing_half_taken() {
    let bed = Bed::new(1, 1);
    let node = bed.node(|_| {});
    bed.holds.hold("attempt-connected-killed-1");
    let mut silent = node.client();
    let mut half = node.client();
    half.send("POST /v1/chat/completions HTTP/1.1\r\n");
    let mut whole = node.client();
    whole.send(&patient_chat("killed-1", "once"));
    bed.holds.until_reached("attempt-connected-killed-1");
    drop(node);
    assert_eq!([&mut silent, &mut half, &mut whole].map(|client| client.answer().status), [0; 3]);
    assert!(bed.readers[0].take_now().is_none(), "the engine got a request that nobody answers");
}
