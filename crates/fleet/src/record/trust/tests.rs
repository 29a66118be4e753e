use super::*;

#[test]
fn a_new_record_is_founded_only_when_all_others_have_nothing() {
    let mut trust = Trust::Blank { heard: BTreeSet::new() };
    trust.heard(2, Holds::Nothing, 2);
    trust.heard(2, Holds::Nothing, 2);
    assert!(!trust.takes_part(), "the same one twice is one");
    trust.heard(3, Holds::Nothing, 2);
    assert_eq!(trust, Trust::Sure);
    trust.heard(3, Holds::Something, 2);
    assert_eq!(trust, Trust::Sure, "what is founded stays so");
}

/// Guards against a wiped disk that would vote as if it had never voted.
#[test]
fn a_wiped_keeper_does_not_found_beside_a_record() {
    let mut trust = Trust::Blank { heard: BTreeSet::new() };
    trust.heard(2, Holds::Nothing, 2);
    trust.heard(3, Holds::Something, 2);
    assert!(!trust.takes_part() && !trust.has_voice());
}
