use super::*;
use crate::day::RouteShare;

#[test]
fn the_same_seed_gives_the_same_plan() {
    let mix = |route: &str, share, tool: Option<(&str, f64)>| RouteShare {
        route: route.into(),
        share,
        tool: tool.map(|(name, share)| (name.to_owned(), share)),
    };
    let load = Load {
        requests: 2_000,
        requests_per_s: 100.0,
        mix: vec![mix("ask", 3.0, None), mix("order", 1.0, Some(("place_order", 0.5)))],
        prompt_bytes: (100.0, 1_000.0),
        answer_words: (4.0, 20.0),
        session_share: (0.5, 20),
        disconnect_share: 0.05,
        cancel_share: 0.05,
        cancel_in_call_share: 0.2,
        pause_share: 0.0,
        retries: 0,
    };
    let (one, two) = (plan_requests(&load, 7), plan_requests(&load, 7));
    let summary = |plan: &[PlannedRequest]| {
        plan.iter().map(|p| (p.starts_at, p.prompt.clone(), p.behavior)).collect::<Vec<_>>()
    };
    assert_eq!(summary(&one), summary(&two));
    assert_ne!(summary(&one), summary(&plan_requests(&load, 8)));
    let share = |predicate: &dyn Fn(&PlannedRequest) -> bool| {
        one.iter().filter(|p| predicate(p)).count() as f64 / one.len() as f64
    };
    let assert_near = |share: f64, expected: f64| {
        assert!((share - expected).abs() < 0.03, "expected a share of {expected}, got {share}")
    };
    assert_near(share(&|p| p.route == "order"), 0.25);
    assert_near(share(&|p| p.prompt.contains("[call place_order]")), 0.125);
    assert_near(share(&|p| p.session.is_some()), 0.5);
    assert_near(share(&|p| matches!(p.behavior, ClientBehavior::Disconnect(_))), 0.05);
    assert_near(share(&|p| p.behavior == ClientBehavior::CancelDuringToolCall), 0.025);
    assert!((one[1_999].starts_at.as_secs_f64() - 20.0).abs() < 2.0);
}
