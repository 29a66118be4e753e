//! Tests the checks of the five rules: each hand-written trace that breaks a rule must be reported under that rule,
//! and traces that just keep the rule must pass.

use std::collections::BTreeMap;

use elderstage_rehearsal::rules::{RepeatPolicy, RuleLimits, check_rules};
use elderstage_standin::traffic::{Record, TrafficEvent};

const MS: u64 = 1_000;

fn rule_limits() -> RuleLimits {
    RuleLimits {
        classes: BTreeMap::from([
            ("ask".into(), RepeatPolicy::Safe),
            ("order".into(), RepeatPolicy::Unsafe),
            ("keyed".into(), RepeatPolicy::Keyed { memory_us: 2_000 * MS }),
        ]),
        answer_slack_us: 50 * MS,
        drain_grace_us: 2_000 * MS,
        release_deadline_us: 300 * MS,
        connect_timeout_us: 250 * MS,
        list_delay_us: 100 * MS,
    }
}

fn record(at_ms: u64, who: &str, what: TrafficEvent) -> Record {
    Record { at: at_ms * MS, who: who.into(), what }
}

fn sent(at_ms: u64, rid: &str, class: &str) -> Record {
    let what =
        TrafficEvent::Sent { rid: rid.into(), class: class.into(), front: "f0".into(), total: 1_000 * MS };
    record(at_ms, "clients", what)
}

fn final_answer(at_ms: u64, rid: &str, outcome: &str) -> Record {
    record(
        at_ms,
        "clients",
        TrafficEvent::Final { rid: rid.into(), outcome: outcome.into(), retry_after_ms: None },
    )
}

fn received(at_ms: u64, who: &str, rid: &str, task: &str, work: f64) -> Record {
    let (front, class) = ("f0".into(), "order".into());
    record(at_ms, who, TrafficEvent::Received { rid: rid.into(), front, class, task: task.into(), work })
}

fn answered(at_ms: u64, who: &str, rid: &str, how: &str) -> Record {
    record(at_ms, who, TrafficEvent::Answered { rid: rid.into(), how: how.into() })
}

fn tool_call(at_ms: u64, rid: &str) -> [Record; 2] {
    let received = TrafficEvent::ToolReceived { rid: rid.into(), tool: "place_order".into(), effect: true };
    let ran = TrafficEvent::ToolRan { rid: rid.into(), tool: "place_order".into(), effect: true };
    [record(at_ms, "tools", received), record(at_ms, "tools", ran)]
}

fn state_held(at_ms: u64, rid: &str) -> Record {
    record(at_ms, "r1", TrafficEvent::StateHeld { rid: rid.into() })
}

fn listed(at_ms: u64, state: &str) -> Record {
    record(at_ms, "hand", TrafficEvent::Listed { servers: BTreeMap::from([("w1".into(), state.into())]) })
}

fn cold_start(at_ms: u64) -> Record {
    let what = TrafficEvent::Up {
        cold: true,
        cold_start_share: 0.5,
        cold_duration: 10_000 * MS,
        overload_multiple: 2.0,
        overload_window: 1_000 * MS,
    };
    record(at_ms, "w1", what)
}

/// The violations in a trace: the rule's name and the description of each.
fn violations(records: &[Record]) -> Vec<(&'static str, String)> {
    let verdicts = check_rules(records, &rule_limits());
    verdicts
        .into_iter()
        .flat_map(|v| v.violations.into_iter().map(move |b| (v.rule, b.description)))
        .collect()
}

/// Asserts that all violations in a trace are of this rule and contain this text, and that there is one.
fn assert_breaks_only(records: &[Record], rule: &str, text: &str) {
    let found = violations(records);
    assert!(!found.is_empty(), "expected a violation of \"{rule}\": {text}");
    for (name, description) in &found {
        assert!(
            *name == rule && description.contains(text),
            "expected only violations of \"{rule}\" ({text}), found {found:?}"
        );
    }
}

fn assert_no_violation(records: &[Record]) {
    assert_eq!(violations(records), []);
}

#[test]
fn a_request_without_an_answer_is_reported() {
    assert_breaks_only(&[sent(0, "c1", "ask")], "answered once", "no final answer");
}

#[test]
fn late_and_second_answers_and_attempts_after_the_answer_are_reported() {
    let request = sent(0, "c1", "ask");
    assert_no_violation(&[request.clone(), final_answer(1_040, "c1", "served")]);
    assert_breaks_only(&[request.clone(), final_answer(1_100, "c1", "served")], "answered once", "late");
    let twice = [request.clone(), final_answer(10, "c1", "served"), final_answer(20, "c1", "refused")];
    assert_breaks_only(&twice, "answered once", "more than one");
    let after = [request, final_answer(10, "c1", "refused"), received(100, "r1", "c1/1/0", "read", 0.0)];
    assert_breaks_only(&after, "answered once", "after its final answer");
}

#[test]
fn a_lost_connection_is_allowed_only_if_the_front_was_killed() {
    let lost = record(50, "clients", TrafficEvent::Lost { rid: "c1".into() });
    let front =
        |what: &str| record(40, "hand", TrafficEvent::Front { front: "f0".into(), what: what.into() });
    let work = received(10, "r1", "c1/1/0", "read", 0.0);
    assert_no_violation(&[sent(0, "c1", "ask"), work.clone(), front("killed"), lost.clone()]);
    assert_breaks_only(
        &[sent(0, "c1", "ask"), work, front("ended"), lost],
        "answered once",
        "without a final answer",
    );
}

#[test]
fn an_unsafe_request_repeated_after_it_may_have_run_is_reported() {
    let first = [sent(0, "c1", "order"), received(10, "w1", "c1/1/1", "write", 0.0)];
    let again = [received(30, "w2", "c1/1/2", "write", 0.0), final_answer(50, "c1", "served")];
    let broke = [answered(20, "w1", "c1/1/1", "broken")];
    assert_breaks_only(
        &[&first[..], &broke, &again].concat(),
        "no effect twice",
        "sent again after an attempt",
    );
    assert_breaks_only(&[&first[..], &again].concat(), "no effect twice", "sent again after an attempt");
    let full = [answered(20, "w1", "c1/1/1", "full")];
    assert_no_violation(&[&first[..], &full, &again].concat());
}

/// Guards against refusals of what may have run, whose clients try again with another key.
#[test]
fn a_refusal_after_a_possible_run_is_reported_for_all_but_safe_classes() {
    let trace = |class, how: &str, outcome| {
        let ended = answered(20, "w1", "c1/1/1", how);
        [
            sent(0, "c1", class),
            received(10, "w1", "c1/1/1", "write", 0.0),
            ended,
            final_answer(50, "c1", outcome),
        ]
    };
    for class in ["order", "keyed"] {
        assert_breaks_only(&trace(class, "left", "refused"), "no effect twice", "an attempt may have run");
        assert_no_violation(&trace(class, "full", "refused"));
        assert_no_violation(&trace(class, "left", "failed"));
    }
    assert_no_violation(&trace("ask", "left", "refused"));
}

/// An attempt that two addresses accept is a violation whatever its class and stage.
#[test]
fn an_attempt_received_twice_is_reported() {
    let one = received(10, "r1", "c1/1/0", "read", 0.0);
    let two = received(11, "r1", "c1/1/0", "read", 0.0);
    assert_breaks_only(
        &[sent(0, "c1", "ask"), one, two, final_answer(50, "c1", "served")],
        "no effect twice",
        "received twice",
    );
}

#[test]
fn repeated_tool_calls_and_refusals_after_effects_are_reported() {
    let first = [sent(0, "c1", "order")];
    let (one, two) = (tool_call(10, "c1/1/t0.1"), tool_call(20, "c1/1/t0.2"));
    let served = [final_answer(50, "c1", "served")];
    let found = violations(&[&first[..], &one, &two, &served].concat());
    assert!(found.iter().any(|(rule, how)| *rule == "no effect twice" && how.contains("effect twice")));
    assert!(found.iter().any(|(_, how)| how.contains("made again")));
    let refused = [final_answer(50, "c1", "refused")];
    assert_breaks_only(&[&first[..], &one, &refused].concat(), "no effect twice", "a tool had its effect");
    let failed = [final_answer(50, "c1", "failed")];
    assert_no_violation(&[&first[..], &one, &failed].concat());
    let ran = [received(10, "w1", "c1/1/1", "write", 0.0)];
    assert_breaks_only(&[&first[..], &ran, &refused].concat(), "no effect twice", "an attempt may have run");
}

#[test]
fn a_keyed_request_repeated_after_the_key_is_forgotten_is_reported() {
    let trace = |ms| {
        let mut request = sent(0, "c1", "keyed");
        if let TrafficEvent::Sent { total, .. } = &mut request.what {
            *total = 9_000 * MS;
        }
        vec![
            request,
            received(10, "w1", "c1/1/1", "write", 0.0),
            received(ms, "w2", "c1/1/2", "write", 0.0),
            final_answer(ms + 1, "c1", "served"),
        ]
    };
    assert_no_violation(&trace(1_900));
    assert_breaks_only(&trace(2_100), "no effect twice", "forgotten its key");
}

#[test]
fn work_sent_after_the_drain_grace_is_reported() {
    for state in ["draining", "gone"] {
        let trace = |ms| vec![listed(0, state), received(ms, "w1", "c1/1/0", "whole", 0.0)];
        assert_no_violation(&trace(1_990));
        assert_breaks_only(&trace(2_010), "drains kept", "after its drain");
        let back = [&[listed(0, state), listed(1_000, "running")][..], &trace(2_010)[1..]].concat();
        assert_no_violation(&back);
    }
}

#[test]
fn an_overloaded_cold_server_is_reported() {
    let work = |at_ms: u64, amount: f64| received(at_ms, "w1", &format!("c{at_ms}/1/0"), "whole", amount);
    // The server starts at half speed and may get twice that, so its budget is 1,000 ms of work in a window of
    // 1,000 ms.
    let burst = |from: u64| (0..13).map(|n| work(from + n, 100.0 * MS as f64)).collect::<Vec<_>>();
    let informed = vec![cold_start(0), listed(10, "running")];
    assert_breaks_only(
        &[informed.clone(), burst(200)].concat(),
        "no cold server pushed over",
        "times its budget",
    );
    assert_no_violation(&[vec![cold_start(0)], burst(200)].concat());
    assert_no_violation(&[informed.clone(), burst(200)[..9].to_vec(), burst(1_300)[..9].to_vec()].concat());
    assert_breaks_only(
        &[informed, vec![record(300, "w1", TrafficEvent::FellOver)]].concat(),
        "no cold server pushed over",
        "fell over",
    );
}

#[test]
fn states_held_too_long_are_reported() {
    let first = [sent(0, "c1", "order"), state_held(10, "c1/1/0")];
    let released = |at_ms| [record(at_ms, "r1", TrafficEvent::StateReleased { rid: "c1/1/0".into() })];
    let end = [final_answer(900, "c1", "failed")];
    assert_no_violation(&[&first[..], &released(400), &end].concat());
    assert_breaks_only(
        &[&first[..], &released(700), &end].concat(),
        "nothing left pinned",
        "no attempt in flight",
    );
    assert_breaks_only(&[&first[..], &end].concat(), "nothing left pinned", "no attempt in flight");
    // The time does not run while an attempt is in flight, and starts anew when the attempt has ended.
    let attempt = [received(200, "w1", "c1/1/1", "write", 0.0), answered(700, "w1", "c1/1/1", "full")];
    assert_no_violation(
        &[&first[..], &attempt, &released(800), &[final_answer(810, "c1", "failed")]].concat(),
    );
    let left = [record(710, "clients", TrafficEvent::Left { rid: "c1".into() })];
    assert_breaks_only(
        &[&first[..], &attempt, &left, &released(1_300)].concat(),
        "nothing left pinned",
        "no attempt in flight",
    );
}

#[test]
fn records_are_read_back_as_they_were_written() {
    let records = vec![sent(1, "c1", "ask"), state_held(2, "c1/1/0"), listed(3, "gone"), cold_start(4)];
    let lines: Vec<String> = records.iter().map(|r| serde_json::to_string(r).unwrap()).collect();
    assert_eq!(elderstage_standin::traffic::parse_records(&lines.join("\n")).unwrap(), records);
}
