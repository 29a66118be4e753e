//! Engines that leave while attempts and releases are on their way to them.

use crate::bed::{Bed, host, patient_chat};
use crate::peer::{streamed, take_at_any};
use crate::support::*;

/// The attempt was decided and waits for its connection; then its engine is told to drain. It was sent all the same.
#[test]
fn an_attempt_that_waits_for_its_connection_is_not_sent_to_an_engine_that_drains_meanwhile() {
    for health in ["DRAINING", "DELETED"] {
        for class in ["plain", "once"] {
            let bed = Bed::new(1, 2);
            let node = bed.node(|_| {});
            let trace = format!("drain-{class}");
            let step = format!("attempt-connected-{trace}");
            let mut client = node.client();
            client.send(&patient_chat(&trace, class));
            let (mut line, _) = bed.readers[0].take();
            bed.holds.hold(&step);
            line.has_read();
            bed.readers[0].rest(line);
            bed.holds.until_reached(&step);
            // The connection was made; which writer is it at?
            let mut at = None;
            let came = || {
                at = bed.writers.iter().position(|writer| {
                    let line = writer.accept_now();
                    line.map(|line| writer.rest(line)).is_some()
                });
                at.is_some()
            };
            assert!(Platform::until(LONG, came));
            let leaver = at.unwrap();
            bed.platform.discovery.change(vec![host(
                &format!("writer-{leaver}"),
                &bed.writers[leaver],
                health,
            )]);
            until_listed(&bed, &node, leaver);
            bed.holds.let_go(&step);
            let (mut line, got) = bed.writers[1 - leaver].take();
            assert_eq!(got.trace(), trace);
            line.streams();
            assert!(streamed(&client.answer()), "{health}, {class}");
            assert!(
                bed.writers[leaver].take_now().is_none(),
                "{health}, {class}: sent to an engine that had left"
            );
        }
    }
}

/// Waits until the node's own choices show that it has this change of the list.
fn until_listed(bed: &Bed, node: &Node, leaver: usize) {
    let mut n = 0;
    let obeyed = || {
        (0..6).all(|_| {
            n += 1;
            let trace = format!("listed-{n}");
            let mut client = node.client();
            client.send(&patient_chat(&trace, "plain"));
            let (mut line, got) = bed.readers[0].take();
            assert_eq!(got.trace(), trace, "{got:?}");
            line.has_read();
            bed.readers[0].rest(line);
            let (writer, (mut line, _)) = take_at_any(&bed.writers);
            line.streams();
            bed.writers[writer].rest(line);
            assert!(streamed(&client.answer()));
            writer != leaver
        })
    };
    assert!(Platform::until(LONG, obeyed), "the change does not come through");
}

/// A first read broke and what it may have left is let go of; that call waits for its connection while the prompt is read
/// elsewhere and a writer is asked. It freed what the writer had come for.
#[test]
fn a_release_that_waits_for_its_connection_is_not_said_under_an_attempt_that_fetches() {
    let bed = Bed::new(2, 1);
    let node = bed.node(|_| {});
    let release = "small-connected--kv-leases-fetch-1";
    bed.holds.hold(release);
    let mut client = node.client();
    client.send(&patient_chat("fetch-1", "plain"));
    let (_, (line, _)) = take_at_any(&bed.readers);
    line.reset();
    let (_, (mut read, got)) = take_at_any(&bed.readers);
    assert_eq!(got.trace(), "fetch-1");
    bed.holds.until_reached(release);
    read.has_read();
    // The attempt that fetches is out.
    let (mut write, got) = bed.writers[0].take();
    assert_eq!(got.trace(), "fetch-1");
    bed.holds.let_go(release);
    node.settle();
    let engines = || bed.readers.iter().chain(&bed.writers);
    let released = || engines().find_map(|engine| engine.take_now());
    // Long enough for every wave that was held: none may come while the attempt is out.
    let end = std::time::Instant::now() + std::time::Duration::from_millis(300);
    while std::time::Instant::now() < end {
        if let Some((_, got)) = released() {
            panic!("{} {} while an attempt fetches", got.head.method, got.head.target);
        }
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    write.streams();
    assert!(streamed(&client.answer()));
}
