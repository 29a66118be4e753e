use super::*;

fn chain(legs: u32, effect: bool, may_have_run: bool) -> Chain {
    Chain {
        route: 0,
        class: 0,
        arrived: 0,
        deadline: 1,
        patience: 1,
        bytes: 0,
        shared_bytes: 0,
        legs,
        calls: Vec::new(),
        next_call: 0,
        effect,
        phase: Phase::Leg(Leg { may_have_run, ..Leg::new(ReqId(1)) }),
        over: false,
    }
}

/// Guards against a client that tries again, as a refusal allows, after its order was placed.
#[test]
fn nothing_is_refused_once_an_effect_may_have_happened() {
    for repeat in [Repeat::Safe, Repeat::Unsafe] {
        let after_effect = chain(2, true, false);
        assert!(matches!(after_effect.refusal(repeat, 1), Final::Failed { .. }), "{repeat:?}");
        assert!(matches!(after_effect.ending(repeat, Reason::OutOfTime, 1), Final::Failed { .. }));
    }
    assert!(matches!(chain(2, false, false).refusal(Repeat::Unsafe, 1), Final::Failed { .. }));
    assert!(matches!(chain(2, false, false).refusal(Repeat::Safe, 1), Final::Refused { .. }));
    assert!(matches!(chain(1, false, false).refusal(Repeat::Unsafe, 1), Final::Refused { .. }));
    let running = chain(1, false, true);
    assert!(matches!(running.ending(Repeat::Unsafe, Reason::OutOfTime, 1), Final::Failed { .. }));
    assert!(matches!(running.ending(Repeat::Safe, Reason::OutOfTime, 1), Final::Refused { .. }));
}
