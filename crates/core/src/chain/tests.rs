use super::*;

fn chain(legs: u32, may_have_had_effect: bool, may_have_run: bool) -> Chain {
    Chain {
        route: 0,
        class: 0,
        arrived: 0,
        deadline: 1,
        first_token_limit: 1,
        bytes: 0,
        shared_bytes: 0,
        legs,
        calls: Vec::new(),
        next_call: 0,
        may_have_had_effect,
        // A later leg follows a turn that a writer has served.
        may_have_run: may_have_run || legs > 1,
        phase: Phase::Leg(Leg::new(RequestId(1))),
        given_up_for: None,
        is_answered: false,
    }
}

/// Guards against a refusal after an order was placed: the client may then retry and place it twice.
#[test]
fn never_refuses_once_an_effect_may_have_happened() {
    for repeat in [RepeatPolicy::Safe, RepeatPolicy::Unsafe] {
        let after_effect = chain(2, true, false);
        assert!(matches!(after_effect.final_for_refusal(repeat, 1), Final::Failed { .. }), "{repeat:?}");
        assert!(matches!(after_effect.final_for_end(repeat, Reason::OutOfTime, 1), Final::Failed { .. }));
    }
    assert!(matches!(
        chain(2, false, false).final_for_refusal(RepeatPolicy::Unsafe, 1),
        Final::Failed { .. }
    ));
    assert!(matches!(chain(2, false, false).final_for_refusal(RepeatPolicy::Safe, 1), Final::Refused { .. }));
    assert!(matches!(
        chain(1, false, false).final_for_refusal(RepeatPolicy::Unsafe, 1),
        Final::Refused { .. }
    ));
    let running = chain(1, false, true);
    assert!(matches!(
        running.final_for_end(RepeatPolicy::Unsafe, Reason::OutOfTime, 1),
        Final::Failed { .. }
    ));
    assert!(matches!(running.final_for_end(RepeatPolicy::Safe, Reason::OutOfTime, 1), Final::Refused { .. }));
}
