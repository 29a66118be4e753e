//! A front over real sockets: what clients, engines and tool servers do at bad moments.

mod common;

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use common::{Call, End, LONG, World, call_body};
use elderstage_net::{Conn, open};
use elderstage_protocol::{http, mcp};
use elderstage_standin::host::{Control, Faults};
use elderstage_standin::model::Ail;
use elderstage_standin::tool::ToolFault;
use elderstage_standin::traffic::{Record, Seen};

const ORDER: &str = "One bowl. [words 12][call place_order]";

fn count(records: &[Record], is: impl Fn(&Seen) -> bool) -> usize {
    records.iter().filter(|record| is(&record.what)).count()
}

fn ran(records: &[Record]) -> usize {
    count(records, |seen| matches!(seen, Seen::ToolRan { effect: true, .. }))
}

#[test]
fn an_order_streams_pauses_for_its_tool_and_ends_in_one_response() {
    let world = World::plain();
    let mut call = world.call("order", ORDER);
    let text = call.served();
    assert_eq!(call.text, text, "the pieces make up the whole");
    assert!(text.contains("order 1 placed"), "{text}");
    let silent =
        Call::on(open(world.addr, LONG).unwrap(), world.addr, "ask", "Hello. [words 5]", 7, None, false);
    let mut silent = silent;
    assert!(!silent.served().is_empty());
    assert_eq!(silent.text, "", "no progress without a token");
    let records = world.finish();
    assert_eq!(ran(&records), 1);
    assert!(count(&records, |seen| matches!(seen, Seen::StateTaken { .. })) >= 2, "states are handed over");
}

#[test]
fn a_client_that_leaves_ends_everything_wherever_its_request_is() {
    let hang = |world: &World, names: &[&str]| {
        names.iter().for_each(|name| world.control(name, Control::Ail(Some(Ail::Hang))));
    };
    // During the read, and in the hand-over to a writer.
    for (hung, seen) in [(["r1", "r2", "m1"], "read"), (["w1", "w2", "m1"], "hand-over")] {
        let world = World::plain();
        hang(&world, &hung);
        let call = world.call("order", ORDER);
        let wanted = if seen == "read" { 1 } else { 2 };
        world.until(seen, |status| status.counters.attempts >= wanted);
        call.leave();
        world.until("client gone", |status| status.counters.gone == 1 && status.held == 0);
        let records = world.finish();
        let left = |seen: &Seen| matches!(seen, Seen::StateHeld { .. });
        let freed = |seen: &Seen| matches!(seen, Seen::StateTaken { .. } | Seen::StateReleased { .. });
        assert!(count(&records, left) <= count(&records, freed), "{seen}: a state was left pinned");
    }
    // While it is held: no server takes anything.
    let world = World::plain();
    let list = world.fleet.listed.keys().map(|name| (name.clone(), "draining")).collect();
    std::fs::write(world.dir.join("servers.conf"), world.fleet.servers(&list)).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    let call = world.call("order", ORDER);
    world.until("taken", |status| status.held == 1);
    call.leave();
    world.until("client gone", |status| status.counters.gone == 1 && status.held == 0);
    assert_eq!(world.status().counters.attempts, 0);
    world.finish();
    // In the middle of the stream.
    let world = World::plain();
    let mut call = world.call("ask", "Tell me all. [words 400]");
    call.first();
    call.leave();
    world.until("client gone", |status| status.counters.gone == 1 && status.held == 0);
    world.finish();
    // During the tool call.
    let world = World::plain();
    world.fleet.tools.fault(ToolFault::Slow(Duration::from_millis(600)));
    let mut call = world.call("order", ORDER);
    call.first();
    // The owner has counted the call before it is made: the tool server itself must have begun it.
    world.until("tool call", |_| world.fleet.tools.orders() == 1);
    call.leave();
    world.until("client gone", |status| status.counters.gone == 1 && status.held == 0);
    assert_eq!(ran(&world.finish()), 1);
}

#[test]
fn a_tool_that_may_have_run_ends_in_failure_and_is_not_called_again() {
    for fault in
        [ToolFault::Slow(Duration::from_secs(3)), ToolFault::Lost, ToolFault::Garbled, ToolFault::Error]
    {
        let world = World::plain();
        world.fleet.tools.fault(fault.clone());
        let end = world.call("order", ORDER).end();
        assert!(matches!(&end, End::Failed(why) if why.contains("tool")), "{fault:?}: {end:?}");
        let records = world.finish();
        assert_eq!(count(&records, |seen| matches!(seen, Seen::ToolReceived { .. })), 1, "{fault:?}");
    }
}

#[test]
fn a_tool_without_effect_is_tried_again_and_its_loss_is_told_to_the_model() {
    let world = World::plain();
    world.fleet.tools.fault(ToolFault::Lost);
    let text = world.call("ask", "Any left? [words 4][call stock]").served();
    assert!(text.contains("error: the tool gave no result"), "{text}");
    assert_eq!(world.status().counters.tool_retries, 1);
    world.finish();
}

#[test]
fn a_dead_tool_server_proves_that_nothing_ran() {
    let world = World::plain();
    world.fleet.tools.kill();
    let text = world.call("order", ORDER).served();
    assert!(text.contains("error: the tool gave no result"), "{text}");
    let records = world.finish();
    assert_eq!(ran(&records), 0);
}

#[test]
fn a_cancelled_call_gets_no_response_and_its_id_is_free_again() {
    let world = World::plain();
    let session = world.initialize();
    let conn = open(world.addr, LONG).unwrap();
    let mut call = Call::on(conn, world.addr, "ask", "All of it. [words 500]", 5, Some(&session), true);
    call.first();
    let headers = [("content-type", "application/json"), (mcp::SESSION_HEADER, session.as_str())];
    let cancel = r#"{"jsonrpc":"2.0","method":"notifications/cancelled","params":{"requestId":5}}"#;
    // While it is out its id is in use.
    let (_, said) = world.post_with(&headers, &call_body("ask", "x", 5, false));
    assert!(said.contains("-32600"), "{said}");
    assert_eq!(world.post_with(&headers, cancel).0, 202);
    assert_eq!(call.end(), End::Nothing);
    // A late cancel of the same id changes nothing.
    assert_eq!(world.post_with(&headers, cancel).0, 202);
    let mut again = Call::on(call.conn, world.addr, "ask", "Short. [words 3]", 5, Some(&session), true);
    again.served();
    world.finish();
}

#[test]
fn two_calls_on_one_connection_are_answered_in_their_order() {
    let world = World::plain();
    let mut conn = open(world.addr, LONG).unwrap();
    conn.set_read_timeout(Some(LONG));
    // Both in one write, so that the front may read them together.
    let mut both = Vec::new();
    for (id, words) in [(1, 40), (2, 3)] {
        let body = call_body("ask", &format!("Number {id}. [words {words}]"), id, true);
        let headers = [("content-type", "application/json"), ("accept", "text/event-stream")];
        http::write_request("POST", "/mcp", "front", &headers, body.as_bytes(), &mut both);
    }
    conn.write(&both).unwrap();
    let mut first = Call::expect(conn, 1);
    assert_eq!(first.served().split_whitespace().count(), 40);
    let mut second = Call::expect(first.conn, 2);
    assert_eq!(second.served().split_whitespace().count(), 3);
    world.finish();
}

#[test]
fn a_client_that_does_not_read_holds_up_nobody_else() {
    let quick = |site: &mut elderstage_rehearsal::fleet::Site| {
        for kind in &mut site.kinds {
            (kind.spec.step, kind.spec.step_per_answer) = (150, 1);
        }
    };
    let world = World::with_config(quick, "stall 500ms\nsend-buffer 8k", "", |text, _| {
        text.replace("class ask\n", "class ask\n max-tokens 20k\n")
    });
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&world.addr.into()).unwrap();
    let conn = Conn::new(std::net::TcpStream::from(socket)).unwrap();
    let deaf = Call::on(conn, world.addr, "ask", "Very much. [words 6000]", 1, None, true);
    world.until("taken", |status| status.counters.attempts >= 1);
    for _ in 0..5 {
        world.call("ask", "A little. [words 5]").served();
    }
    world.until("the deaf client is given up", |status| status.counters.gone == 1 && status.held == 0);
    drop(deaf);
    world.finish();
}

#[test]
fn a_drain_ends_what_is_held_and_refuses_what_is_new() {
    let mut world = World::plain();
    let mut order = world.call("order", "One bowl. [words 120][call place_order]");
    order.first();
    let front = world.front.take().unwrap();
    front.drain();
    let mut late = world.call("ask", "Too late?");
    assert!(matches!(late.end(), End::Refused { retry_after_ms: Some(ms), .. } if ms > 0));
    let done = std::thread::spawn(move || front.finish(&AtomicBool::new(false)));
    assert!(order.served().contains("order 1 placed"));
    assert!(done.join().unwrap(), "all had ended by themselves");
    assert!(open(world.addr, Duration::from_millis(500)).is_err(), "it listens no more");
    world.fleet.stop();
}

#[test]
fn what_outlasts_the_drain_is_ended_with_a_true_word() {
    let mut world = World::start(|_| {}, "drain 300ms", "");
    let mut ask = world.call("ask", "All of it. [words 500]");
    let mut order = world.call("order", "All of it. [words 500]");
    ask.first();
    order.first();
    let front = world.front.take().unwrap();
    let done = std::thread::spawn(move || front.finish(&AtomicBool::new(false)));
    assert!(matches!(ask.end(), End::Refused { .. }), "a question may be asked again");
    assert!(matches!(order.end(), End::Failed(_)), "an order may have run");
    assert!(!done.join().unwrap());
    world.fleet.stop();
}

#[test]
fn an_engine_that_answers_after_its_attempt_was_given_up_changes_nothing() {
    let world = World::plain();
    ["r1", "r2"].iter().for_each(|name| world.control(name, Control::Ail(Some(Ail::Hang))));
    let mut call = world.call("ask", "Patience. [words 5]");
    world.until("given up", |status| status.counters.outcomes.contains_key("timed-out"));
    ["r1", "r2"].iter().for_each(|name| world.control(name, Control::Ail(None)));
    call.served();
    let records = world.finish();
    let held = count(&records, |seen| matches!(seen, Seen::StateHeld { .. }));
    let freed = |seen: &Seen| matches!(seen, Seen::StateTaken { .. } | Seen::StateReleased { .. });
    assert_eq!(held, count(&records, freed));
}

#[test]
fn a_writer_that_dies_in_the_stream_ends_an_order_in_failure() {
    let world = World::plain();
    for name in ["w1", "w2", "m1"] {
        world.control(name, Control::Faults(Faults { break_next: 1, break_after: 3, ..Faults::default() }));
    }
    let end = world.call("order", "A bowl. [words 50]").end();
    assert!(matches!(&end, End::Failed(why) if why.contains("stream broke")), "{end:?}");
    world.finish();
}

#[test]
fn a_server_that_drains_or_dies_is_followed() {
    let world = World::plain();
    let mut list = world.fleet.listed.clone();
    list.insert("r1".into(), "draining");
    std::fs::write(world.dir.join("servers.conf"), "server half {").unwrap();
    std::thread::sleep(Duration::from_millis(250));
    world.call("ask", "Still there? [words 3]").served();
    std::fs::write(world.dir.join("servers.conf"), world.fleet.servers(&list)).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    let before = world.status().counters.attempts;
    for _ in 0..6 {
        world.call("ask", "Who reads? [words 3]").served();
    }
    assert!(world.status().counters.attempts > before);
    world.control("r2", Control::Kill);
    world.call("ask", "And now? [words 3]").served();
    let records = world.finish();
    let drained = records.iter().rev().filter(|r| matches!(r.what, Seen::Received { .. })).take(10);
    assert!(drained.clone().count() == 10 && drained.clone().all(|record| record.who != "r1"));
}
