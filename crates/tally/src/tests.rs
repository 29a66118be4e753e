use super::*;

#[test]
fn groups_are_bounded_and_all_requests_are_counted() {
    let mut tally = Tally::default();
    for n in 0..3 * MAX_GROUPS {
        tally.counts_mut(&GroupKey { class: format!("c{n}"), ..GroupKey::default() }).asked += 1;
    }
    assert_eq!(tally.len(), MAX_GROUPS + 1);
    assert_eq!(tally.sum().asked, 3 * MAX_GROUPS as u64);
}
