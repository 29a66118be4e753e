//! A front over real sockets: faults of clients, engines and tool servers at every stage of a request.

mod common;

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use common::{Call, CallEnd, MAX_WAIT, TestCluster, call_body};
use elderstage_net::{Conn, connect};
use elderstage_protocol::place::AddressFamily;
use elderstage_protocol::{http, mcp};
use elderstage_rehearsal::fleet::Site;
use elderstage_standin::host::{AddressFault, Control, SocketFaults};
use elderstage_standin::model::EngineFault;
use elderstage_standin::tool::ToolFault;
use elderstage_standin::traffic::{Record, TrafficEvent};

const ORDER: &str = "One bowl. [words 12][call place_order]";

fn count_records(records: &[Record], is_match: impl Fn(&TrafficEvent) -> bool) -> usize {
    records.iter().filter(|record| is_match(&record.what)).count()
}

fn count_tool_runs(records: &[Record]) -> usize {
    count_records(records, |seen| matches!(seen, TrafficEvent::ToolRan { effect: true, .. }))
}

#[test]
fn an_order_streams_calls_its_tool_and_ends_in_one_response() {
    let cluster = TestCluster::start_default();
    let mut call = cluster.call("order", ORDER);
    let text = call.expect_served();
    assert_eq!(call.text, text, "the progress texts must make up the answer");
    assert!(text.contains("order 1 placed"), "{text}");
    let no_progress = Call::send(
        connect(cluster.addr, MAX_WAIT).unwrap(),
        cluster.addr,
        "ask",
        "Hello. [words 5]",
        7,
        None,
        false,
    );
    let mut no_progress = no_progress;
    assert!(!no_progress.expect_served().is_empty());
    assert_eq!(no_progress.text, "", "no progress without a token");
    let records = cluster.finish_and_check();
    assert_eq!(count_tool_runs(&records), 1);
    assert!(
        count_records(&records, |seen| matches!(seen, TrafficEvent::StateTaken { .. })) >= 2,
        "writers must fetch the KV states"
    );
}

#[test]
fn a_disconnected_client_ends_its_request_at_every_stage() {
    let hang = |cluster: &TestCluster, names: &[&str]| {
        names.iter().for_each(|name| cluster.control(name, Control::EngineFault(Some(EngineFault::Hang))));
    };
    // During prefill, and during the transfer to a writer.
    for (hung, stage) in [(["r1", "r2", "m1"], "read"), (["w1", "w2", "m1"], "hand-over")] {
        let cluster = TestCluster::start_default();
        hang(&cluster, &hung);
        let call = cluster.call("order", ORDER);
        let min_attempts = if stage == "read" { 1 } else { 2 };
        cluster.wait_until(stage, |status| status.counters.attempts >= min_attempts);
        call.disconnect();
        cluster.wait_until("client gone", |status| status.counters.clients_gone == 1 && status.held == 0);
        let records = cluster.finish_and_check();
        let left = |seen: &TrafficEvent| matches!(seen, TrafficEvent::StateHeld { .. });
        let freed = |seen: &TrafficEvent| {
            matches!(seen, TrafficEvent::StateTaken { .. } | TrafficEvent::StateReleased { .. })
        };
        assert!(
            count_records(&records, left) <= count_records(&records, freed),
            "{stage}: a KV state was not released"
        );
    }
    // While the request is held because no server accepts it.
    let cluster = TestCluster::start_default();
    let list = cluster.fleet.initial_states.keys().map(|name| (name.clone(), "draining")).collect();
    std::fs::write(cluster.dir.join("servers.conf"), cluster.fleet.server_list_text(&list)).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    let call = cluster.call("order", ORDER);
    cluster.wait_until("request held", |status| status.held == 1);
    call.disconnect();
    cluster.wait_until("client gone", |status| status.counters.clients_gone == 1 && status.held == 0);
    assert_eq!(cluster.status().counters.attempts, 0);
    cluster.finish_and_check();
    // In the middle of the stream.
    let cluster = TestCluster::start_default();
    let mut call = cluster.call("ask", "Tell me all. [words 400]");
    call.wait_for_text();
    call.disconnect();
    cluster.wait_until("client gone", |status| status.counters.clients_gone == 1 && status.held == 0);
    cluster.finish_and_check();
    // During the tool call.
    let cluster = TestCluster::start_default();
    cluster.fleet.tools.set_fault(ToolFault::Slow(Duration::from_millis(600)));
    let mut call = cluster.call("order", ORDER);
    call.wait_for_text();
    // The owner counts the call before it is made, so the test waits until the tool server has begun it.
    cluster.wait_until("tool call", |_| cluster.fleet.tools.order_count() == 1);
    call.disconnect();
    cluster.wait_until("client gone", |status| status.counters.clients_gone == 1 && status.held == 0);
    assert_eq!(count_tool_runs(&cluster.finish_and_check()), 1);
}

#[test]
fn a_tool_that_may_have_run_fails_the_call_and_is_not_called_again() {
    for fault in
        [ToolFault::Slow(Duration::from_secs(3)), ToolFault::Lost, ToolFault::Garbled, ToolFault::Error]
    {
        let cluster = TestCluster::start_default();
        cluster.fleet.tools.set_fault(fault.clone());
        let end = cluster.call("order", ORDER).wait_for_end();
        assert!(matches!(&end, CallEnd::Failed(why) if why.contains("tool")), "{fault:?}: {end:?}");
        let records = cluster.finish_and_check();
        assert_eq!(
            count_records(&records, |seen| matches!(seen, TrafficEvent::ToolReceived { .. })),
            1,
            "{fault:?}"
        );
    }
}

#[test]
fn a_tool_without_effect_is_retried_and_the_model_gets_its_error() {
    let cluster = TestCluster::start_default();
    cluster.fleet.tools.set_fault(ToolFault::Lost);
    let text = cluster.call("ask", "Any left? [words 4][call stock]").expect_served();
    assert!(text.contains("error: the tool gave no result"), "{text}");
    assert_eq!(cluster.status().counters.tool_retries, 1);
    cluster.finish_and_check();
}

#[test]
fn a_dead_tool_server_gives_the_model_an_error_since_nothing_ran() {
    let cluster = TestCluster::start_default();
    cluster.fleet.tools.kill();
    let text = cluster.call("order", ORDER).expect_served();
    assert!(text.contains("error: the tool gave no result"), "{text}");
    let records = cluster.finish_and_check();
    assert_eq!(count_tool_runs(&records), 0);
}

#[test]
fn a_cancelled_call_gets_no_response_and_its_id_can_be_reused() {
    let cluster = TestCluster::start_default();
    let session = cluster.open_session();
    let conn = connect(cluster.addr, MAX_WAIT).unwrap();
    let mut call = Call::send(conn, cluster.addr, "ask", "All of it. [words 500]", 5, Some(&session), true);
    call.wait_for_text();
    let headers = [("content-type", "application/json"), (mcp::SESSION_HEADER, session.as_str())];
    let cancel = r#"{"jsonrpc":"2.0","method":"notifications/cancelled","params":{"requestId":5}}"#;
    // The id is in use while the call runs.
    let (_, response) = cluster.post_with(&headers, &call_body("ask", "x", 5, false));
    assert!(response.contains("-32600"), "{response}");
    assert_eq!(cluster.post_with(&headers, cancel).0, 202);
    assert_eq!(call.wait_for_end(), CallEnd::NoResponse);
    // A late cancellation of the same id has no effect.
    assert_eq!(cluster.post_with(&headers, cancel).0, 202);
    let mut reused = Call::send(call.conn, cluster.addr, "ask", "Short. [words 3]", 5, Some(&session), true);
    reused.expect_served();
    cluster.finish_and_check();
}

#[test]
fn two_calls_on_one_connection_are_answered_in_order() {
    let cluster = TestCluster::start_default();
    let mut conn = connect(cluster.addr, MAX_WAIT).unwrap();
    conn.set_read_timeout(Some(MAX_WAIT));
    // Both requests are in one write, so that the front may get them in one socket read.
    let mut both = Vec::new();
    for (id, words) in [(1, 40), (2, 3)] {
        let body = call_body("ask", &format!("Number {id}. [words {words}]"), id, true);
        let headers = [("content-type", "application/json"), ("accept", "text/event-stream")];
        http::write_request("POST", "/mcp", "front", &headers, body.as_bytes(), &mut both);
    }
    conn.write(&both).unwrap();
    let mut first = Call::receive(conn, 1);
    assert_eq!(first.expect_served().split_whitespace().count(), 40);
    let mut second = Call::receive(first.conn, 2);
    assert_eq!(second.expect_served().split_whitespace().count(), 3);
    cluster.finish_and_check();
}

#[test]
fn a_client_that_does_not_read_does_not_delay_others() {
    let fast_engines = |site: &mut elderstage_rehearsal::fleet::Site| {
        for kind in &mut site.kinds {
            (kind.spec.step_time_us, kind.spec.step_time_per_answer_us) = (150, 1);
        }
    };
    let cluster = TestCluster::with_config(fast_engines, "stall 500ms\nsend-buffer 8k", "", |text, _| {
        text.replace("class ask\n", "class ask\n max-tokens 20k\n")
    });
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&cluster.addr.into()).unwrap();
    let conn = Conn::new(std::net::TcpStream::from(socket)).unwrap();
    let stalled = Call::send(conn, cluster.addr, "ask", "Very much. [words 6000]", 1, None, true);
    cluster.wait_until("attempt started", |status| status.counters.attempts >= 1);
    for _ in 0..5 {
        cluster.call("ask", "A little. [words 5]").expect_served();
    }
    cluster.wait_until("the stalled client is given up", |status| {
        status.counters.clients_gone == 1 && status.held == 0
    });
    drop(stalled);
    cluster.finish_and_check();
}

#[test]
fn a_drain_finishes_running_requests_and_refuses_new_ones() {
    let mut cluster = TestCluster::start_default();
    let mut order = cluster.call("order", "One bowl. [words 120][call place_order]");
    order.wait_for_text();
    let front = cluster.front.take().unwrap();
    front.drain();
    let mut late = cluster.call("ask", "Too late?");
    assert!(matches!(late.wait_for_end(), CallEnd::Refused { retry_after_ms: Some(ms), .. } if ms > 0));
    let done = std::thread::spawn(move || front.finish(&AtomicBool::new(false)));
    assert!(order.expect_served().contains("order 1 placed"));
    assert!(done.join().unwrap(), "all requests must have ended by themselves");
    assert!(connect(cluster.addr, Duration::from_millis(500)).is_err(), "the front must not listen any more");
    cluster.fleet.stop();
}

/// Guards against a client that is told to try an order again which an engine runs, when the drain ends before the
/// order (`review/7`), and against a failure of one that no engine has.
#[test]
fn an_order_that_ends_with_the_drain_is_failed_if_an_engine_has_it_and_refused_if_none_has() {
    for is_second_signal in [false, true] {
        for (fault, is_sent) in [(AddressFault::None, true), (AddressFault::Silent, false)] {
            let drain = if is_second_signal { "drain 30s" } else { "drain 300ms" };
            let only_mixed = |site: &mut Site| site.engines.retain(|engine| engine.name == "m1");
            let mut cluster = TestCluster::start(only_mixed, drain, "");
            cluster.control("m1", Control::EngineFault(Some(EngineFault::Hang)));
            cluster.set_fault(Some("m1"), AddressFamily::V4, fault);
            let mut order = cluster.call("order", ORDER);
            if is_sent {
                let is_write = |seen: &TrafficEvent| matches!(seen, TrafficEvent::Received { task, .. } if task != "read");
                cluster.wait_for_event("the engine has the order", is_write);
            } else {
                cluster.wait_until("attempt started", |status| status.counters.attempts >= 1);
            }
            let mut ask = cluster.call("ask", "Hello.");
            cluster.wait_until("both accepted", |status| status.held == 2);
            let front = cluster.front.take().unwrap();
            let ended_by_themselves = front.finish(&AtomicBool::new(is_second_signal));
            let case = format!("{fault:?}, second signal: {is_second_signal}");
            assert!(!ended_by_themselves, "{case}");
            assert!(matches!(ask.wait_for_end(), CallEnd::Refused { .. }), "{case}");
            let end = order.wait_for_end();
            if is_sent {
                assert!(matches!(end, CallEnd::Failed(_)), "{case}: {end:?}");
            } else {
                assert!(matches!(end, CallEnd::Refused { .. }), "{case}: {end:?}");
            }
            cluster.fleet.stop();
        }
    }
}

#[test]
fn requests_that_outlast_the_drain_are_refused_or_failed_by_their_effect() {
    let mut cluster = TestCluster::start(|_| {}, "drain 300ms", "");
    let mut ask = cluster.call("ask", "All of it. [words 500]");
    let mut order = cluster.call("order", "All of it. [words 500]");
    ask.wait_for_text();
    order.wait_for_text();
    let front = cluster.front.take().unwrap();
    let done = std::thread::spawn(move || front.finish(&AtomicBool::new(false)));
    assert!(
        matches!(ask.wait_for_end(), CallEnd::Refused { .. }),
        "a request without effect may be repeated"
    );
    assert!(matches!(order.wait_for_end(), CallEnd::Failed(_)), "the order may have run");
    assert!(!done.join().unwrap());
    cluster.fleet.stop();
}

#[test]
fn a_late_answer_to_an_abandoned_attempt_has_no_effect() {
    let cluster = TestCluster::start_default();
    ["r1", "r2"].iter().for_each(|name| cluster.control(name, Control::EngineFault(Some(EngineFault::Hang))));
    let mut call = cluster.call("ask", "Patience. [words 5]");
    cluster.wait_until("given up", |status| status.counters.outcomes.contains_key("timed-out"));
    ["r1", "r2"].iter().for_each(|name| cluster.control(name, Control::EngineFault(None)));
    call.expect_served();
    let records = cluster.finish_and_check();
    let states_held = count_records(&records, |seen| matches!(seen, TrafficEvent::StateHeld { .. }));
    let freed = |seen: &TrafficEvent| {
        matches!(seen, TrafficEvent::StateTaken { .. } | TrafficEvent::StateReleased { .. })
    };
    assert_eq!(states_held, count_records(&records, freed));
}

#[test]
fn an_order_fails_when_its_writer_dies_in_the_stream() {
    let cluster = TestCluster::start_default();
    for name in ["w1", "w2", "m1"] {
        cluster.control(
            name,
            Control::SocketFaults(SocketFaults {
                streams_to_break: 1,
                break_after_tokens: 3,
                ..SocketFaults::default()
            }),
        );
    }
    let end = cluster.call("order", "A bowl. [words 50]").wait_for_end();
    assert!(matches!(&end, CallEnd::Failed(why) if why.contains("stream broke")), "{end:?}");
    cluster.finish_and_check();
}

#[test]
fn draining_and_dead_servers_are_avoided() {
    let cluster = TestCluster::start_default();
    let mut list = cluster.fleet.initial_states.clone();
    list.insert("r1".into(), "draining");
    std::fs::write(cluster.dir.join("servers.conf"), "server half {").unwrap();
    std::thread::sleep(Duration::from_millis(250));
    cluster.call("ask", "Still there? [words 3]").expect_served();
    std::fs::write(cluster.dir.join("servers.conf"), cluster.fleet.server_list_text(&list)).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    let attempts_before = cluster.status().counters.attempts;
    for _ in 0..6 {
        cluster.call("ask", "Who reads? [words 3]").expect_served();
    }
    assert!(cluster.status().counters.attempts > attempts_before);
    cluster.control("r2", Control::Kill);
    cluster.call("ask", "And now? [words 3]").expect_served();
    let records = cluster.finish_and_check();
    let received = records.iter().rev().filter(|r| matches!(r.what, TrafficEvent::Received { .. })).take(10);
    assert!(received.clone().count() == 10 && received.clone().all(|record| record.who != "r1"));
}
