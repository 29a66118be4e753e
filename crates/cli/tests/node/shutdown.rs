//! Shutting down a node: accepted requests, requests that arrive during the shutdown, and kills.

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::Duration;

use crate::bed::{TestBed, long_lived_chat};
use crate::peer::is_complete_stream;
use crate::support::*;

#[test]
fn after_sigterm_a_node_answers_accepted_requests_and_exits_successfully() {
    let platform = Platform::start(2, 1).unwrap();
    let mut node = start_node(&platform, |_| {});
    let mut kept = node.client();
    kept.send(&chat("before-1", "plain", 4000));
    assert!(is_served(&kept.answer()));
    let mut open = node.client();
    open.send(&chat("reader-silent-first-2", "plain", 4000));
    let begun = || {
        platform
            .traffic
            .events()
            .iter()
            .any(|seen| matches!(&seen.pass, EngineEvent::Begun { trace, .. } if trace.ends_with("-2")))
    };
    assert!(Platform::wait_until(LONG, begun));
    node.signal("TERM");
    // Right after the signal, a request on an open connection is still accepted.
    kept.send(&chat("after-1", "plain", 4000));
    assert!(is_served(&kept.answer()));
    assert!(is_served(&open.answer()));
    let mut status = None;
    assert!(Platform::wait_until(LONG, || {
        status = node.child.try_wait().unwrap();
        status.is_some()
    }));
    assert!(status.unwrap().success());
    assert!(Client::connect(node.addr).is_none(), "the node still listens");
}

/// A node is killed and started again under its name and address. The second process has no state of the
/// first: it neither answers the first one's open requests nor sends them again.
#[test]
fn a_killed_node_restarts_without_state() {
    let platform = Platform::start(2, 2).unwrap();
    let node = start_node(&platform, |_| {});
    let addr = node.addr;
    let mut open = node.client();
    open.send(&chat("reader-silent-1", "once", 4000));
    let begun =
        || platform.traffic.events().iter().any(|seen| matches!(seen.pass, EngineEvent::Begun { .. }));
    assert!(Platform::wait_until(LONG, begun));
    drop(node);
    assert_eq!(open.answer().status, 0, "the connection does not end");
    // The port is free, unless another test takes it for a moment.
    let mut restarts = (0..20).map(|_| try_start_node_at(&platform, addr, None, |_| {}));
    let restarted = restarts.find_map(|node| node).expect("the node does not start again");
    assert!(is_served(&restarted.request("after-kill-1", "once")));
    let sent = platform.traffic.events();
    let sent = sent.iter().filter(
        |seen| matches!(&seen.pass, EngineEvent::Begun { trace, .. } if trace.starts_with("reader-silent")),
    );
    assert_eq!(sent.count(), 1);
}

/// Guards against dropped requests: one request is being served when the node gets SIGTERM, and a second one
/// and half of a third wait behind it on the same connection. The node has received their first bytes, so
/// each must be answered. The node dropped them without an answer.
#[test]
fn requests_that_have_begun_to_arrive_are_answered_during_shutdown() {
    let bed = TestBed::new(1, 1);
    let mut node = bed.node(|_| {});
    let mut client = node.client();
    let third = long_lived_chat("third-1", "plain");
    let (begun, rest) = third.split_at(third.len() / 2);
    client.send(&(long_lived_chat("first-1", "plain") + &long_lived_chat("second-1", "plain") + begun));
    let (mut prefill, request) = bed.readers[0].next_request();
    assert_eq!(request.trace(), "first-1");
    // The node has received all that was sent.
    node.wait_until_processed();
    node.signal("TERM");
    node.wait_until_unreachable();
    for trace in ["first-1", "second-1", "third-1"] {
        if trace == "third-1" {
            client.send(rest);
        }
        if trace != "first-1" {
            let (connection, request) = bed.readers[0].next_request();
            assert_eq!(request.trace(), trace);
            prefill = connection;
        }
        prefill.answer_prefill();
        let (mut decode, request) = bed.writers[0].next_request();
        assert_eq!(request.trace(), trace);
        decode.send_stream();
        let answer = client.answer();
        assert!(is_complete_stream(&answer), "{trace}: {answer:?}");
    }
    assert!(client.ends_without_reset());
    assert!(node.exits_successfully());
}

/// Guards against streams that SIGKILL cuts: where streams cannot be resumed, a request whose last byte came
/// late after SIGTERM was forwarded, although its stream could not end before the node is killed.
#[test]
fn a_request_completed_late_in_a_shutdown_is_refused_before_an_engine_has_it() {
    // On a busy machine the client may take longer than a node waits for a whole request. The test is
    // repeated then.
    let has_succeeded = (0..10).any(|n| {
        let bed = TestBed::new(1, 1);
        let mut node = bed.node(|config| config["settings"]["domain"]["resume"] = false.into());
        let mut client = node.client();
        let request = long_lived_chat(&format!("late-{n}"), "plain");
        let (begun, rest) = request.split_at(request.len() / 2);
        client.send(begun);
        node.wait_until_processed();
        node.signal("TERM");
        node.wait_until_unreachable();
        // Longer than the time after SIGTERM in which requests may be under way at SIGKILL.
        std::thread::sleep(Duration::from_millis(300));
        client.send(rest);
        let answer = client.answer();
        if answer.status == 408 {
            return false;
        }
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(bed.readers[0].try_next_request().is_none(), "an engine has the request");
        assert!(node.exits_successfully());
        true
    });
    assert!(has_succeeded, "the request was never completed in time");
}

/// Connections that wait in the listener's backlog when the node stops accepting are served.
#[test]
fn connections_in_the_backlog_are_served_when_the_listener_closes() {
    // On a busy machine the listener may be closed before the clients connect. The test is repeated then.
    let has_succeeded = (0..10).any(|_| {
        let bed = TestBed::new(1, 1);
        let mut node = bed.node(|_| {});
        node.signal("TERM");
        std::thread::sleep(Duration::from_millis(100));
        node.suspend();
        let mut clients: Vec<Client> = (0..3).filter_map(|_| Client::connect(node.addr)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&long_lived_chat(&format!("late-{n}"), "plain"));
        }
        // Longer than the node accepts connections after the signal, so that time is over when it resumes.
        std::thread::sleep(Duration::from_millis(600));
        node.resume();
        if clients.len() < 3 {
            return false;
        }
        for _ in 0..3 {
            let (mut connection, _) = bed.readers[0].next_request();
            connection.answer_prefill();
            bed.readers[0].keep_open(connection);
            let (mut connection, _) = bed.writers[0].next_request();
            connection.send_stream();
            bed.writers[0].keep_open(connection);
        }
        assert!(clients.iter_mut().all(|client| is_complete_stream(&client.answer())));
        assert!(node.exits_successfully());
        true
    });
    assert!(has_succeeded);
}

/// The engine has written its last chunk when the node reaches the time at which it cuts streams.
#[test]
fn a_stream_that_its_engine_has_finished_is_relayed_to_its_end() {
    let bed = TestBed::new(1, 1);
    let mut node = bed.node(|_| {});
    let mut client = node.client();
    client.send(&long_lived_chat("finished-1", "plain"));
    let (mut connection, _) = bed.readers[0].next_request();
    connection.answer_prefill();
    let (mut connection, _) = bed.writers[0].next_request();
    connection.begin_stream();
    // The client receives the beginning of the stream.
    assert!(client.receive_more());
    node.signal("TERM");
    node.wait_until_unreachable();
    node.suspend();
    connection.end_stream();
    // Longer than the node has after the signal (3.7 s), so all its time limits have passed when it resumes.
    std::thread::sleep(Duration::from_millis(3_800));
    node.resume();
    let answer = client.answer();
    assert!(is_complete_stream(&answer), "{answer:?}");
    assert!(node.exits_successfully());
}

/// A signal during the program's start is handled after the start. Guards against a signal that ends the
/// program at once.
#[test]
fn a_signal_during_the_start_is_handled_afterwards() {
    for (signals, is_terminated) in
        [(&["TERM"][..], true), (&["HUP"], false), (&["HUP", "TERM", "TERM"], true)]
    {
        let bed = TestBed::new(1, 1);
        // The configuration file is a pipe, so the node waits until the test writes it.
        let path = bed.holds.folder().join("config");
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let addr = unused_address();
        let mut config = bed.platform.config(addr, bed.platform.discovery.addr, true);
        config["known"]["hosts"] = Value::Array(bed.hosts());
        let command =
            Command::new(PROGRAM).arg("node").env("PROXY_CONFIG", &path).stdin(Stdio::null()).spawn();
        let mut node = Node { child: command.unwrap(), addr, config: path.clone() };
        let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        // The pipe is open at both ends, so the program is reading its configuration.
        for signal in signals {
            node.signal(signal);
        }
        // At SIGHUP the node reads the path again. It is a file by then, since the node would wait for ever
        // on a pipe.
        std::fs::remove_file(&path).unwrap();
        std::fs::write(&path, config.to_string()).unwrap();
        pipe.write_all(config.to_string().as_bytes()).unwrap();
        drop(pipe);
        if is_terminated {
            assert!(node.exits_successfully(), "{signals:?}");
        } else {
            let ready =
                || Client::connect(addr).is_some_and(|mut client| client.get("/-/ready") == Some(200));
            assert!(Platform::wait_until(LONG, ready), "{signals:?}");
        }
    }
}

/// A configuration reload and a termination in the same poll of the signals, and both repeated later.
#[test]
fn simultaneous_and_repeated_signals_shut_down_once() {
    let bed = TestBed::new(1, 1);
    let mut node = bed.node(|_| {});
    let mut client = node.client();
    client.send(&long_lived_chat("open-1", "plain"));
    let (mut prefill, _) = bed.readers[0].next_request();
    node.suspend();
    for signal in ["TERM", "HUP", "TERM", "HUP"] {
        node.signal(signal);
    }
    node.resume();
    node.wait_until_unreachable();
    node.signal("TERM");
    node.signal("HUP");
    prefill.answer_prefill();
    let (mut decode, _) = bed.writers[0].next_request();
    decode.send_stream();
    assert!(is_complete_stream(&client.answer()));
    assert!(node.exits_successfully());
}

/// A node is killed right after it has accepted connections: no client gets an answer, and no request has
/// reached an engine.
#[test]
fn a_node_killed_right_after_an_accept_has_sent_nothing() {
    let bed = TestBed::new(1, 1);
    let node = bed.node(|_| {});
    bed.holds.hold("attempt-connected-killed-1");
    let mut silent = node.client();
    let mut half = node.client();
    half.send("POST /v1/chat/completions HTTP/1.1\r\n");
    let mut whole = node.client();
    whole.send(&long_lived_chat("killed-1", "once"));
    bed.holds.wait_until_reached("attempt-connected-killed-1");
    drop(node);
    assert_eq!([&mut silent, &mut half, &mut whole].map(|client| client.answer().status), [0; 3]);
    assert!(
        bed.readers[0].try_next_request().is_none(),
        "the engine got a request whose client gets no answer"
    );
}
