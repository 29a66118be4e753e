use super::*;

const S: Time = 1_000_000;

fn entry(ready_at: Time) -> Entry {
    Entry { server: ServerId("w".into()), ready_at, ..Entry::default() }
}

/// Guards against a restarted server that is sent a warm server's load until the list has noticed.
#[test]
fn a_start_told_by_the_server_is_news_once_and_outlives_an_older_list() {
    let (mut members, w) = (Members::default(), ServerId("w".into()));
    members.list(ListMode::Full, vec![entry(0)]);
    assert!(members.started(&w, 5 * S, 10 * S).is_none(), "long ago");
    assert_eq!(members.started(&w, 50 * S, 10 * S).map(|e| e.ready_at), Some(50 * S));
    assert!(members.started(&w, 50 * S + 1000, 10 * S).is_none(), "the same start");
    assert!(members.started(&w, 30 * S, 10 * S).is_none(), "late news of an older process");
    let listed = members.list(ListMode::Changes, vec![entry(0)]);
    assert_eq!(listed[0].ready_at, 50 * S);
    let listed = members.list(ListMode::Changes, vec![entry(50 * S + 300)]);
    assert_eq!(listed[0].ready_at, 50 * S, "told apart by less than clocks differ");
    let listed = members.list(ListMode::Full, vec![entry(90 * S)]);
    assert_eq!(listed[0].ready_at, 90 * S);
    assert!(members.started(&ServerId("x".into()), 99 * S, 0).is_none(), "not on the list");
}
