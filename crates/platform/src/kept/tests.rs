use super::*;

#[test]
fn one_reset_is_enough_for_what_must_not_be_lost_and_trust_comes_back() {
    let mut kept = Kept::default();
    assert!((0..100).all(|_| kept.may_use(false)));
    (0..100).for_each(|_| kept.told(false));
    kept.told(true);
    assert!(!kept.may_use(false), "after one reset, nothing that could be lost");
    let tried = (0..160).filter(|_| kept.may_use(true)).count();
    assert_eq!(tried, 10, "one harmless request in sixteen");
    (0..200).for_each(|_| kept.told(false));
    assert!(kept.may_use(false), "trusted again");
}

#[test]
fn connections_that_always_break_are_hardly_used() {
    let mut kept = Kept::default();
    let mut used = 0;
    for _ in 0..1_600 {
        if kept.may_use(true) {
            used += 1;
            kept.told(true);
        }
    }
    assert!(used <= 102, "{used}");
}
