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
            bed.holds.hold("listed-2");
            let drained = host(&format!("writer-{leaver}"), &bed.writers[leaver], health);
            bed.platform.discovery.change(vec![drained]);
            bed.holds.until_reached("listed-2");
            bed.holds.let_go("listed-2");
            // The change is in the queue: what comes behind it finds it taken.
            node.settle();
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

/// A first read broke and what it may have left is let go of; that call waits for its connection while the prompt is read
/// elsewhere and a writer is asked. It is said all the same: engines keep what an attempt waits for, and what the first
/// reader holds would be held past its time if the call were left out.
#[test]
fn a_release_that_waits_for_its_connection_is_said_beside_an_attempt_that_fetches() {
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
    let mut said = None;
    let heard = || {
        said = bed.readers.iter().chain(&bed.writers).find_map(|engine| engine.take_now());
        said.is_some()
    };
    assert!(Platform::until(LONG, heard), "nothing is let go of");
    let (_line, got) = said.unwrap();
    assert_eq!((got.head.method.as_str(), got.head.target.as_str()), ("DELETE", "/kv/leases/fetch-1"));
    write.streams();
    assert!(streamed(&client.answer()));
}
