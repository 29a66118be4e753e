//! Tests of the checker of a node's days: it fails each rule on records that break it, and passes records that do not.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use elderstage_rehearsal::node_day::clients::{ClientRecord, Effect, plan_requests};
use elderstage_rehearsal::node_day::rules::{DayRecords, check_rules};
use elderstage_rehearsal::node_day::script::{NodeDay, NodeStep, OtherDiscovery};
use elderstage_standin::ending::StreamEnding;
use elderstage_standin::platform::{EngineEvent, Platform, SentHost, SentList, answer_events, whole_answer};

const LONG: Duration = Duration::from_secs(20);
/// Time that the clients of these records wait.
const WAIT: Duration = Duration::from_secs(4);
const MS: Duration = Duration::from_millis(1);

/// Sends a request to an engine as a node does, and waits until its end is recorded.
fn attempt(platform: &Platform, engine: &str, trace: &str) {
    let engine = platform.engines.iter().find(|one| one.name == engine).unwrap();
    let mut stream = TcpStream::connect(engine.addr).unwrap();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nx-trace-id: {trace}\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let mut buffer = [0; 4096];
    while matches!(stream.read(&mut buffer), Ok(n) if n > 0) {}
    let has_ended = || {
        platform.traffic.events().iter().any(|event| {
            matches!(&event.pass, EngineEvent::Ended { trace: ended, .. } if ended == trace)
                && event.engine == engine.name
        })
    };
    assert!(Platform::wait_until(LONG, has_ended), "{trace}");
}

/// The record of a client that was served with this body.
fn served(case: &str, trace: &str, body: &str, started_at: Instant) -> ClientRecord {
    ClientRecord {
        trace: trace.to_owned(),
        case: case.to_owned(),
        effect: Effect::Plain,
        sent_at: started_at,
        ended_at: started_at + 100 * MS,
        status: 200,
        body: body.to_owned(),
        is_complete: true,
        is_overdue: false,
    }
}

/// The rules that these records break.
fn broken_rules(
    platform: &Platform,
    clients: &[ClientRecord],
    lists: &[SentList],
    started_at: Instant,
) -> Vec<&'static str> {
    let records =
        DayRecords { started_at, clients, traffic: &platform.traffic, lists, kills: &[], wait: WAIT };
    check_rules(&records).iter().filter(|rule| !rule.violations.is_empty()).map(|rule| rule.rule).collect()
}

#[test]
fn a_stream_must_be_whole_at_its_client_if_and_only_if_its_engine_has_finished_it() {
    let (platform, now) = (Platform::start(0, 1).unwrap(), Instant::now());
    for ending in StreamEnding::ALL {
        attempt(&platform, "writer-0", &format!("ending-{}-1", ending.name()));
    }
    attempt(&platform, "writer-0", "plain-1");
    let broken = |record: ClientRecord| broken_rules(&platform, &[record], &[], now);
    for ending in StreamEnding::ALL {
        let (case, trace) = (format!("ending-{}", ending.name()), format!("ending-{}-1", ending.name()));
        let whole = served(&case, &trace, &ending.events(&answer_events(&trace)), now);
        let cut = ClientRecord { is_complete: false, ..whole.clone() };
        let foreign = served(&case, &trace, &ending.events(&answer_events("ending-plain-2")), now);
        if ending.is_finished() {
            assert_eq!(broken(whole), [""; 0], "{case}");
            assert_eq!(broken(cut), ["whole"], "{case}");
        } else {
            assert_eq!(broken(whole), ["whole"], "{case}");
            assert_eq!(broken(cut), [""; 0], "{case}");
        }
        assert_eq!(broken(foreign), ["whole"], "{case}");
    }
    assert_eq!(broken(served("plain", "plain-1", &whole_answer(), now)), [""; 0]);
    assert_eq!(broken(served("plain", "plain-1", "data: 1\n\n", now)), ["whole"]);
}

#[test]
fn each_request_must_get_one_answer_in_time() {
    let (platform, now) = (Platform::start(0, 0).unwrap(), Instant::now());
    let refused = ClientRecord { status: 503, ..served("plain", "plain-1", "", now) };
    let broken = |record: ClientRecord| broken_rules(&platform, &[record], &[], now);
    assert_eq!(broken(refused.clone()), [""; 0]);
    assert_eq!(broken(ClientRecord { status: 0, is_complete: false, ..refused.clone() }), ["answered"]);
    assert_eq!(broken(ClientRecord { is_overdue: true, ..refused.clone() }), ["answered"]);
    assert_eq!(broken(ClientRecord { ended_at: now + WAIT + 600 * MS, ..refused }), ["answered"]);
}

#[test]
fn what_must_not_run_twice_is_neither_sent_nor_refused_after_it_may_have_run() {
    let (platform, now) = (Platform::start(0, 2).unwrap(), Instant::now());
    attempt(&platform, "writer-0", "writer-500-1");
    let failed =
        |effect, status| ClientRecord { effect, status, ..served("writer-500", "writer-500-1", "", now) };
    let broken = |record: ClientRecord| broken_rules(&platform, &[record], &[], now);
    assert_eq!(broken(failed(Effect::Once, 500)), [""; 0]);
    assert_eq!(broken(failed(Effect::Plain, 503)), [""; 0]);
    assert_eq!(broken(failed(Effect::Once, 503)), ["effects"]);
    attempt(&platform, "writer-1", "writer-500-1");
    assert_eq!(broken(failed(Effect::Plain, 500)), [""; 0]);
    assert_eq!(broken(failed(Effect::Once, 500)), ["effects"]);
}

#[test]
fn a_state_that_is_held_at_the_end_is_pinned() {
    let (platform, now) = (Platform::start(1, 1).unwrap(), Instant::now());
    attempt(&platform, "reader-0", "plain-1");
    assert_eq!(broken_rules(&platform, &[], &[], now), ["pinned"]);
    attempt(&platform, "writer-0", "plain-1");
    assert_eq!(broken_rules(&platform, &[], &[], now), [""; 0]);
}

/// A drain is kept until something newer says otherwise: a newer list, or a later start of the engine.
#[test]
fn nothing_goes_to_an_engine_after_a_drain_that_only_an_older_list_takes_back() {
    let platform = Platform::start(0, 1).unwrap();
    attempt(&platform, "writer-0", "plain-1");
    let sent_at = platform.traffic.events()[0].at;
    let list = |ms_before: u32, version, health: &str, started_ms| SentList {
        at: sent_at.checked_sub(ms_before * MS).unwrap(),
        version,
        is_whole: true,
        hosts: vec![SentHost { name: "writer-0".into(), health: health.into(), started_ms }],
    };
    let gone = |ms_before, version| SentList { hosts: Vec::new(), ..list(ms_before, version, "", 0) };
    let serving = list(9_000, 45, "SERVING", 7);
    for (later, is_kept) in [
        (vec![], true),
        (vec![list(2_000, 46, "DRAINING", 7)], true),
        (vec![list(2_500, 46, "DRAINING", 7)], false),
        (vec![list(2_500, 46, "DELETED", 7)], false),
        (vec![gone(2_500, 46)], false),
        (vec![list(2_500, 46, "DRAINING", 7), list(1_000, 45, "SERVING", 7)], false),
        (vec![list(2_500, 46, "DRAINING", 7), list(1_000, 46, "SERVING", 7)], false),
        (vec![list(2_500, 46, "DRAINING", 7), list(1_000, 47, "SERVING", 7)], true),
        (vec![list(2_500, 46, "DRAINING", 7), list(1_000, 45, "SERVING", 8)], true),
        (vec![gone(2_500, 44)], true),
        (vec![gone(2_500, 46), list(1_000, 45, "SERVING", 7)], false),
        (vec![gone(2_500, 46), list(1_000, 45, "SERVING", 8)], true),
        (vec![gone(2_500, 46), list(1_000, 47, "SERVING", 7)], true),
    ] {
        let lists = [vec![serving.clone()], later].concat();
        let wanted: &[&str] = if is_kept { &[] } else { &["drains"] };
        assert_eq!(broken_rules(&platform, &[], &lists, sent_at), wanted, "{lists:?}");
    }
}

#[test]
fn a_script_is_parsed_and_its_errors_name_their_lines() {
    let text = "# A day.\nnode-rehearsal x\nseed 3\nreaders 2\nwriters 1\nload {\n requests 50\n rate 10\n once 0.5\n \
                case plain 1\n case ending-crlf 1\n}\nat 2s reload behind 4s\nat 1s list writer-0 draining for 3s\n";
    assert!(NodeDay::is_script(text) && !NodeDay::is_script("rehearsal x\n"));
    let day = NodeDay::parse("day.conf", text).unwrap();
    let list = |health| NodeStep::List { engine: "writer-0".into(), health };
    let wanted = [
        (1, list("DRAINING")),
        (2, NodeStep::Reload(OtherDiscovery::Behind(Duration::from_secs(4)))),
        (4, list("SERVING")),
    ]
    .map(|(at, step)| (Duration::from_secs(at), step));
    assert_eq!(day.steps, wanted);
    let planned = plan_requests(&day.load, day.seed);
    assert_eq!(planned, plan_requests(&day.load, day.seed));
    assert_eq!(planned.len(), 50);
    for (bad, line) in [
        ("node-rehearsal x\nload {\n case nothing 1\n}\n", 3),
        ("node-rehearsal x\nload {\n case plain 1\n}\nat 1s list writer-7 draining\n", 0),
        ("node-rehearsal x\nload {\n case plain 1\n}\nat 1s reload sideways\n", 5),
        ("node-rehearsal x\nfronts 3\n", 0),
    ] {
        let errors = NodeDay::parse("day.conf", bad).unwrap_err();
        assert_eq!(errors.0[0].position.line, line, "{errors}");
    }
}
