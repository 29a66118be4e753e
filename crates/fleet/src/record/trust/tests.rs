use super::*;

#[test]
fn a_new_record_starts_only_when_all_other_keepers_are_empty() {
    let mut participation = Participation::Blank { empty_peers: BTreeSet::new() };
    participation.record_peer_status(2, LogStatus::Empty, 2);
    participation.record_peer_status(2, LogStatus::Empty, 2);
    assert!(!participation.can_replicate(), "two reports of the same keeper count once");
    participation.record_peer_status(3, LogStatus::Empty, 2);
    assert_eq!(participation, Participation::Full);
    participation.record_peer_status(3, LogStatus::NonEmpty, 2);
    assert_eq!(participation, Participation::Full, "a record that has started is not abandoned");
}

/// A keeper whose disk was wiped must not vote as if it had never voted.
#[test]
fn a_wiped_keeper_does_not_start_a_second_record() {
    let mut participation = Participation::Blank { empty_peers: BTreeSet::new() };
    participation.record_peer_status(2, LogStatus::Empty, 2);
    participation.record_peer_status(3, LogStatus::NonEmpty, 2);
    assert!(!participation.can_replicate() && !participation.can_vote());
}
