use super::*;

const S: Time = 1_000_000;

fn entry(ready_at: Time) -> ServerEntry {
    ServerEntry { server: ServerId("w".into()), ready_at, ..ServerEntry::default() }
}

/// Guards against sending a warm server's load to a restarted server until the list shows the restart.
#[test]
fn a_reported_start_is_new_once_and_overrides_an_older_list() {
    let (mut members, w) = (Members::default(), ServerId("w".into()));
    members.apply_list(ListMode::Full, vec![entry(0)]);
    assert!(members.record_start(&w, 5 * S, 10 * S).is_none(), "started long ago");
    assert_eq!(members.record_start(&w, 50 * S, 10 * S).map(|e| e.ready_at), Some(50 * S));
    assert!(members.record_start(&w, 50 * S + 1000, 10 * S).is_none(), "the same start");
    assert!(members.record_start(&w, 30 * S, 10 * S).is_none(), "late report of an older process");
    let listed = members.apply_list(ListMode::Changes, vec![entry(0)]);
    assert_eq!(listed[0].ready_at, 50 * S);
    let listed = members.apply_list(ListMode::Changes, vec![entry(50 * S + 300)]);
    assert_eq!(listed[0].ready_at, 50 * S, "the starts differ by less than the tolerance");
    let listed = members.apply_list(ListMode::Full, vec![entry(90 * S)]);
    assert_eq!(listed[0].ready_at, 90 * S);
    assert!(members.record_start(&ServerId("x".into()), 99 * S, 0).is_none(), "not on the list");
}
