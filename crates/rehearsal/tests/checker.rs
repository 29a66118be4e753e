//! The checker of the rules must itself be shown to work: each hand-made bad trace is caught and named, and good
//! traces that come close pass.

use std::collections::BTreeMap;

use elderstage_rehearsal::rules::{Figures, Repeat, judge};
use elderstage_standin::traffic::{Record, Seen};

const MS: u64 = 1_000;

fn figures() -> Figures {
    Figures {
        classes: BTreeMap::from([
            ("ask".into(), Repeat::Safe),
            ("order".into(), Repeat::Unsafe),
            ("keyed".into(), Repeat::Keyed { memory: 2_000 * MS }),
        ]),
        answer_slack: 50 * MS,
        drain_grace: 2_000 * MS,
        let_go: 300 * MS,
        connect: 250 * MS,
        list_delay: 100 * MS,
    }
}

fn at(ms: u64, who: &str, what: Seen) -> Record {
    Record { at: ms * MS, who: who.into(), what }
}

fn sent(ms: u64, rid: &str, class: &str) -> Record {
    let what = Seen::Sent { rid: rid.into(), class: class.into(), front: "f0".into(), total: 1_000 * MS };
    at(ms, "clients", what)
}

fn last(ms: u64, rid: &str, outcome: &str) -> Record {
    at(ms, "clients", Seen::Final { rid: rid.into(), outcome: outcome.into(), retry_after_ms: None })
}

fn received(ms: u64, who: &str, rid: &str, task: &str, work: f64) -> Record {
    let (front, class) = ("f0".into(), "order".into());
    at(ms, who, Seen::Received { rid: rid.into(), front, class, task: task.into(), work })
}

fn answered(ms: u64, who: &str, rid: &str, how: &str) -> Record {
    at(ms, who, Seen::Answered { rid: rid.into(), how: how.into() })
}

fn tool(ms: u64, rid: &str) -> [Record; 2] {
    let received = Seen::ToolReceived { rid: rid.into(), tool: "place_order".into(), effect: true };
    let ran = Seen::ToolRan { rid: rid.into(), tool: "place_order".into(), effect: true };
    [at(ms, "tools", received), at(ms, "tools", ran)]
}

fn held(ms: u64, rid: &str) -> Record {
    at(ms, "r1", Seen::StateHeld { rid: rid.into() })
}

fn listed(ms: u64, state: &str) -> Record {
    at(ms, "hand", Seen::Listed { servers: BTreeMap::from([("w1".into(), state.into())]) })
}

fn up(ms: u64) -> Record {
    let what = Seen::Up {
        cold: true,
        cold_from: 0.5,
        cold_for: 10_000 * MS,
        fall_multiple: 2.0,
        tip_after: 1_000 * MS,
    };
    at(ms, "w1", what)
}

/// The rules that a trace breaks, by name, with what was said of each.
fn broken(records: &[Record]) -> Vec<(&'static str, String)> {
    let verdicts = judge(records, &figures());
    verdicts.into_iter().flat_map(|v| v.broken.into_iter().map(move |b| (v.rule, b.how))).collect()
}

fn only(records: &[Record], rule: &str, how: &str) {
    let found = broken(records);
    assert!(!found.is_empty(), "expected {rule} to be broken: {how}");
    for (name, said) in &found {
        assert!(*name == rule && said.contains(how), "expected {rule} ({how}), found {found:?}");
    }
}

fn good(records: &[Record]) {
    assert_eq!(broken(records), []);
}

#[test]
fn a_request_without_an_answer() {
    only(&[sent(0, "c1", "ask")], "answered once", "no final answer");
}

#[test]
fn two_answers_late_ones_and_sends_after_the_end() {
    let request = sent(0, "c1", "ask");
    good(&[request.clone(), last(1_040, "c1", "served")]);
    only(&[request.clone(), last(1_100, "c1", "served")], "answered once", "late");
    let twice = [request.clone(), last(10, "c1", "served"), last(20, "c1", "refused")];
    only(&twice, "answered once", "more than one");
    let after = [request, last(10, "c1", "refused"), received(100, "r1", "c1/1/0", "read", 0.0)];
    only(&after, "answered once", "after its final answer");
}

#[test]
fn a_connection_lost_is_excused_by_a_kill_only() {
    let lost = at(50, "clients", Seen::Lost { rid: "c1".into() });
    let front = |what: &str| at(40, "hand", Seen::Front { front: "f0".into(), what: what.into() });
    let work = received(10, "r1", "c1/1/0", "read", 0.0);
    good(&[sent(0, "c1", "ask"), work.clone(), front("killed"), lost.clone()]);
    only(&[sent(0, "c1", "ask"), work, front("ended"), lost], "answered once", "without a final answer");
}

#[test]
fn an_order_sent_again_after_it_may_have_run() {
    let start = [sent(0, "c1", "order"), received(10, "w1", "c1/1/1", "write", 0.0)];
    let again = [received(30, "w2", "c1/1/2", "write", 0.0), last(50, "c1", "served")];
    let broke = [answered(20, "w1", "c1/1/1", "broken")];
    only(&[&start[..], &broke, &again].concat(), "no effect twice", "sent again after an attempt");
    only(&[&start[..], &again].concat(), "no effect twice", "sent again after an attempt");
    let full = [answered(20, "w1", "c1/1/1", "full")];
    good(&[&start[..], &full, &again].concat());
}

/// One attempt that two addresses took, whatever its class and stage.
#[test]
fn an_attempt_that_was_received_twice() {
    let one = received(10, "r1", "c1/1/0", "read", 0.0);
    let two = received(11, "r1", "c1/1/0", "read", 0.0);
    only(&[sent(0, "c1", "ask"), one, two, last(50, "c1", "served")], "no effect twice", "received twice");
}

#[test]
fn a_tool_called_again_and_refusals_after_effects() {
    let start = [sent(0, "c1", "order")];
    let (one, two) = (tool(10, "c1/1/t0.1"), tool(20, "c1/1/t0.2"));
    let served = [last(50, "c1", "served")];
    let found = broken(&[&start[..], &one, &two, &served].concat());
    assert!(found.iter().any(|(rule, how)| *rule == "no effect twice" && how.contains("effect twice")));
    assert!(found.iter().any(|(_, how)| how.contains("made again")));
    let refused = [last(50, "c1", "refused")];
    only(&[&start[..], &one, &refused].concat(), "no effect twice", "a tool had its effect");
    let failed = [last(50, "c1", "failed")];
    good(&[&start[..], &one, &failed].concat());
    let ran = [received(10, "w1", "c1/1/1", "write", 0.0)];
    only(&[&start[..], &ran, &refused].concat(), "no effect twice", "an attempt may have run");
}

#[test]
fn a_keyed_request_sent_again_after_its_memory() {
    let trace = |ms| {
        let mut request = sent(0, "c1", "keyed");
        if let Seen::Sent { total, .. } = &mut request.what {
            *total = 9_000 * MS;
        }
        vec![
            request,
            received(10, "w1", "c1/1/1", "write", 0.0),
            received(ms, "w2", "c1/1/2", "write", 0.0),
            last(ms + 1, "c1", "served"),
        ]
    };
    good(&trace(1_900));
    only(&trace(2_100), "no effect twice", "forgotten its key");
}

#[test]
fn work_after_a_drain_and_after_leaving_the_list() {
    for state in ["draining", "gone"] {
        let trace = |ms| vec![listed(0, state), received(ms, "w1", "c1/1/0", "whole", 0.0)];
        good(&trace(1_990));
        only(&trace(2_010), "drains kept", "after its drain");
        let back = [&[listed(0, state), listed(1_000, "running")][..], &trace(2_010)[1..]].concat();
        good(&back);
    }
}

#[test]
fn a_cold_server_that_is_sent_too_much_or_falls_over() {
    let work = |ms: u64, amount: f64| received(ms, "w1", &format!("c{ms}/1/0"), "whole", amount);
    // It can do half of its work at first, so twice that is its budget of 1,000 ms in a window of 1,000 ms.
    let burst = |from: u64| (0..13).map(|n| work(from + n, 100.0 * MS as f64)).collect::<Vec<_>>();
    let told = vec![up(0), listed(10, "running")];
    only(&[told.clone(), burst(200)].concat(), "no cold server pushed over", "times its budget");
    good(&[vec![up(0)], burst(200)].concat());
    good(&[told.clone(), burst(200)[..9].to_vec(), burst(1_300)[..9].to_vec()].concat());
    only(&[told, vec![at(300, "w1", Seen::FellOver)]].concat(), "no cold server pushed over", "fell over");
}

#[test]
fn states_left_pinned() {
    let start = [sent(0, "c1", "order"), held(10, "c1/1/0")];
    let released = |ms| [at(ms, "r1", Seen::StateReleased { rid: "c1/1/0".into() })];
    let end = [last(900, "c1", "failed")];
    good(&[&start[..], &released(400), &end].concat());
    only(&[&start[..], &released(700), &end].concat(), "nothing left pinned", "no attempt out");
    only(&[&start[..], &end].concat(), "nothing left pinned", "no attempt out");
    // While an attempt is out the state may wait; after it the time runs again.
    let out = [received(200, "w1", "c1/1/1", "write", 0.0), answered(700, "w1", "c1/1/1", "full")];
    good(&[&start[..], &out, &released(800), &[last(810, "c1", "failed")]].concat());
    let left = [at(710, "clients", Seen::Left { rid: "c1".into() })];
    only(&[&start[..], &out, &left, &released(1_300)].concat(), "nothing left pinned", "no attempt out");
}

#[test]
fn records_read_back_from_their_lines() {
    let records = vec![sent(1, "c1", "ask"), held(2, "c1/1/0"), listed(3, "gone"), up(4)];
    let lines: Vec<String> = records.iter().map(|r| serde_json::to_string(r).unwrap()).collect();
    assert_eq!(elderstage_standin::traffic::read(&lines.join("\n")).unwrap(), records);
}
