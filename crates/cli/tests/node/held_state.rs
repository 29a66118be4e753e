//! What a reader holds for a request while the attempt that comes for it may never have arrived.

use crate::bed::{Bed, patient_chat};
use crate::peer::{Line, streamed};
use crate::support::*;

/// Waits for the release of this request at any engine. The attempt must still be out then: a release that comes only
/// after it comes too late, since nothing tells when a send that never arrives ends.
fn until_released(bed: &Bed, attempt: &Line, trace: &str) {
    let mut said = None;
    let heard = || {
        said = bed.readers.iter().chain(&bed.writers).find_map(|engine| engine.take_now());
        said.is_some() || attempt.has_ended()
    };
    assert!(Platform::until(LONG, heard), "{trace}: nothing is let go of while an attempt is out");
    let (mut line, got) = said.unwrap_or_else(|| panic!("{trace}: the attempt was given up first"));
    assert_eq!(
        (got.head.method.as_str(), got.head.target.as_str()),
        ("DELETE", &*format!("/kv/leases/{trace}"))
    );
    line.write("HTTP/1.1 204 No Content\r\n\r\n");
    bed.readers[0].rest(line);
}

/// The link to the writer takes the request and passes nothing on, with no error. What was written was taken for arrived,
/// and the reader held the state for as long as the attempt was out: seconds (incident of 2026-12-02).
#[test]
fn a_state_is_let_go_of_while_the_attempt_that_fetches_it_may_not_have_arrived() {
    for class in ["plain", "once"] {
        let bed = Bed::new(1, 1);
        let node = bed.node(|_| {});
        let trace = format!("silent-{class}");
        let mut client = node.client();
        client.send(&patient_chat(&trace, class));
        let (mut line, _) = bed.readers[0].take();
        line.has_read();
        bed.readers[0].rest(line);
        let (mut attempt, got) = bed.writers[0].take();
        assert_eq!(got.trace(), trace);
        until_released(&bed, &attempt, &trace);
        // Had it arrived, the engine would have kept what it waits for: the attempt goes on, and its stream counts.
        attempt.streams();
        assert!(streamed(&client.answer()), "{class}");
    }
}

/// The attempt had arrived and was turned away after the release, which let go of nothing then: it is said again.
#[test]
fn a_state_is_let_go_of_again_when_the_attempt_that_waited_for_it_is_turned_away() {
    let bed = Bed::new(1, 1);
    let node = bed.node(|config| config["settings"]["limits"]["most-tries"] = 2.into());
    let mut client = node.client();
    client.send(&patient_chat("away-1", "plain"));
    let (mut line, _) = bed.readers[0].take();
    line.has_read();
    bed.readers[0].rest(line);
    let (mut attempt, _) = bed.writers[0].take();
    until_released(&bed, &attempt, "away-1");
    attempt.write("HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n");
    bed.writers[0].rest(attempt);
    assert_eq!(client.answer().status, 503);
    bed.readers[0].take_release("away-1");
}
