use super::*;
use crate::day::Mix;

#[test]
fn the_same_seed_plans_the_same_day() {
    let mix = |route: &str, share, tool: Option<(&str, f64)>| Mix {
        route: route.into(),
        share,
        tool: tool.map(|(name, share)| (name.to_owned(), share)),
    };
    let load = Load {
        requests: 2_000,
        rate: 100.0,
        mix: vec![mix("ask", 3.0, None), mix("order", 1.0, Some(("place_order", 0.5)))],
        prompt: (100.0, 1_000.0),
        words: (4.0, 20.0),
        sessions: (0.5, 20),
        leave: 0.05,
        cancel: 0.05,
        cancel_in_call: 0.2,
        slow: 0.0,
        retries: 0,
    };
    let (one, two) = (plan(&load, 7), plan(&load, 7));
    let texts = |day: &[Planned]| day.iter().map(|p| (p.at, p.prompt.clone(), p.manner)).collect::<Vec<_>>();
    assert_eq!(texts(&one), texts(&two));
    assert_ne!(texts(&one), texts(&plan(&load, 8)));
    let share =
        |holds: &dyn Fn(&Planned) -> bool| one.iter().filter(|p| holds(p)).count() as f64 / one.len() as f64;
    let near = |share: f64, wanted: f64| assert!((share - wanted).abs() < 0.03, "{share} for {wanted}");
    near(share(&|p| p.route == "order"), 0.25);
    near(share(&|p| p.prompt.contains("[call place_order]")), 0.125);
    near(share(&|p| p.session.is_some()), 0.5);
    near(share(&|p| matches!(p.manner, Manner::Leave(_))), 0.05);
    near(share(&|p| p.manner == Manner::CancelInCall), 0.025);
    assert!((one[1_999].at.as_secs_f64() - 20.0).abs() < 2.0);
}
