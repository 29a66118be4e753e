//! Clients that leave, at each stage of their request.

use std::time::Duration;

use crate::bed::{Bed, patient_chat};
use crate::peer::take_at_any;
use crate::support::*;

#[test]
fn a_client_that_leaves_leaves_nothing_behind() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let mut client = node.client();
    client.send(&chat("reader-silent-1", "plain", 4000));
    assert!(Platform::until(LONG, || !platform.traffic.held().is_empty()));
    drop(client);
    assert!(Platform::until(LONG, || platform.traffic.held().is_empty()), "let go");
    let ended = |seen: &Pass| matches!(seen, Pass::Ended { how: How::MayHaveRun, .. });
    assert!(Platform::until(LONG, || platform.traffic.seen().iter().any(|seen| ended(&seen.pass))));
}

/// A client's end stands behind what it has sent meanwhile: one that had sent a part of its next request, or half of
/// its bytes and its end, was not seen to be gone while its request waited, and the request was sent on for nobody.
#[test]
fn nothing_is_sent_on_for_clients_that_left_behind_more_bytes() {
    let platform = Platform::start(1, 1).unwrap();
    platform.discovery.silence(true);
    // No engine is known, and the class waits long for one.
    let node = start(&platform, |config| {
        config["known"]["hosts"] = Value::Array(Vec::new());
        config["settings"]["services"][0]["aim-us"] = 18_000_000.into();
        config["settings"]["services"][0]["give-up-us"] = 20_000_000.into();
    });
    let more = chat("left-next", "plain", 18_000);
    for (trace, rest) in [
        ("left-plain", String::new()),
        ("left-half", more[..more.len() / 2].to_owned()),
        ("left-noise", "x".repeat(400_000)),
    ] {
        let mut client = node.client();
        client.send(&chat(trace, "plain", 18_000));
        client.send(&rest);
    }
    let mut client = node.client();
    client.send(&chat("left-closed", "plain", 18_000));
    client.send(&more[..20]);
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut stays = node.client();
    stays.send(&chat("stays-1", "plain", 18_000));
    std::thread::sleep(Duration::from_millis(500));
    platform.discovery.silence(false);
    platform.discovery.change(Platform::list(&platform.engines, |_| "SERVING"));
    assert!(whole(&stays.answer()), "who stays is served");
    assert!(whole(&node.ask("after-1", "plain")));
    let seen = platform.traffic.seen();
    let for_nobody = seen
        .iter()
        .filter(|seen| matches!(&seen.pass, Pass::Begun { trace, .. } if trace.starts_with("left-")));
    assert_eq!(for_nobody.count(), 0);
}

#[derive(Clone, Copy, Debug)]
enum Leaves {
    Ends,
    Closes,
    Resets,
}

const WAYS: [Leaves; 3] = [Leaves::Ends, Leaves::Closes, Leaves::Resets];

/// The client leaves; kept where its own side of the connection must stay.
fn leave(client: Client, how: Leaves) -> Option<Client> {
    match how {
        Leaves::Ends => {
            client.end();
            Some(client)
        }
        Leaves::Closes => None,
        Leaves::Resets => {
            client.reset();
            None
        }
    }
}

/// The client of this request leaves, and the node has taken that into account.
fn leave_and_be_noticed(bed: &Bed, node: &Node, trace: &str, client: Client, how: Leaves) -> Option<Client> {
    let step = format!("client-gone-{trace}");
    bed.holds.hold(&step);
    let kept = leave(client, how);
    bed.holds.until_reached(&step);
    bed.holds.let_go(&step);
    // The news is in the queue: what comes behind it finds it taken.
    node.settle();
    kept
}

#[test]
fn nothing_is_sent_on_for_a_client_that_left_in_the_middle_of_its_request() {
    let bed = Bed::new(1, 1);
    let node = bed.node(|_| {});
    for how in WAYS {
        let mut client = node.client();
        let text = patient_chat("left-1", "plain");
        client.send(&text[..text.len() - 1]);
        let _kept = leave(client, how);
        node.settle();
        bed.serves(&node, &format!("stays-{how:?}"));
    }
}

/// The attempt was decided and its connection made; the client leaves before the first byte.
#[test]
fn nothing_is_sent_on_for_a_client_that_left_while_its_attempt_got_a_connection() {
    let bed = Bed::new(1, 1);
    for (n, how) in WAYS.into_iter().enumerate() {
        let node = bed.node(|_| {});
        let trace = format!("left-{n}");
        let step = format!("attempt-connected-{trace}");
        bed.holds.hold(&step);
        let mut client = node.client();
        client.send(&patient_chat(&trace, "plain"));
        bed.holds.until_reached(&step);
        let _kept = leave_and_be_noticed(&bed, &node, &trace, client, how);
        bed.holds.let_go(&step);
        bed.serves(&node, &format!("stays-{n}"));
    }
}

/// The prompt is being read when the client leaves: no writer is asked, and what was read is let go of.
#[test]
fn no_writer_is_asked_for_a_client_that_left_while_its_prompt_was_read() {
    for may_cancel in [true, false] {
        let bed = Bed::new(1, 1);
        let node = bed.node(|config| config["settings"]["limits"]["cancel"] = may_cancel.into());
        for (n, how) in WAYS.into_iter().enumerate() {
            let trace = format!("left-{n}");
            let mut client = node.client();
            client.send(&patient_chat(&trace, "plain"));
            let (mut line, got) = bed.readers[0].take();
            assert_eq!(got.trace(), trace);
            let _kept = leave_and_be_noticed(&bed, &node, &trace, client, how);
            if may_cancel {
                assert!(!line.until_ended(), "the read is called off");
            } else {
                line.has_read();
            }
            bed.readers[0].take_release(&trace);
            assert!(bed.writers[0].accept_now().is_none(), "{how:?}: a writer was asked for nobody");
        }
        bed.serves(&node, "stays-1");
    }
}

/// The attempt fails after its client has left: there is no further one.
#[test]
fn nothing_is_tried_again_for_a_client_that_left_during_an_attempt() {
    for (n, how) in WAYS.into_iter().enumerate() {
        let bed = Bed::new(2, 1);
        let node = bed.node(|config| config["settings"]["limits"]["cancel"] = false.into());
        let trace = format!("left-{n}");
        let mut client = node.client();
        client.send(&patient_chat(&trace, "plain"));
        let (reader, (mut line, got)) = take_at_any(&bed.readers);
        assert_eq!(got.trace(), trace);
        let _kept = leave_and_be_noticed(&bed, &node, &trace, client, how);
        line.write("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n");
        bed.readers[reader].rest(line);
        // It may have left something: that is let go of, which is the last word on this request.
        bed.readers[reader].take_release(&trace);
        node.settle();
        assert!(
            bed.readers.iter().all(|reader| reader.take_now().is_none()),
            "{how:?}: read again for nobody"
        );
        assert!(bed.writers[0].accept_now().is_none());
    }
}
