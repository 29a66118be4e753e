use super::*;

/// Guards against customers who are served with each other's orders: an engine takes the second for a repeat of the
/// first, since a front that was restarted, or another of its name, gives the same key (`review/8`).
#[test]
fn no_key_or_attempt_is_named_twice_whatever_the_front_and_the_client_are_called() {
    let all = |ids: &RequestIds| {
        [ids.attempt(1, 0), ids.turn_key(1), ids.tool_try(1, 0, 1), ids.tool_call_key(1, 0)]
    };
    let (one, other) = (IdSource::new(), IdSource::new());
    for label in [None, Some("order-7")] {
        let first = one.request_ids(one.next_chain(), "front", label);
        let second = one.request_ids(one.next_chain(), "front", label);
        // The same number in another process.
        let restarted = other.request_ids(other.next_chain(), "front", label);
        let mut ids = [all(&first), all(&second), all(&restarted)].concat();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), 12, "{ids:?}");
    }
}

/// Guards against retries that engines and tool servers don't know for repeats.
#[test]
fn keys_are_the_same_for_all_tries_and_do_not_tell_the_clients_word() {
    let source = IdSource::new();
    let chain = source.next_chain();
    let (ids, same) =
        (source.request_ids(chain, "front", Some("mine")), source.request_ids(chain, "front", Some("x")));
    assert_ne!(ids.attempt(1, 0), ids.attempt(1, 1));
    assert_eq!(ids.turn_key(1), same.turn_key(1));
    assert_eq!(ids.tool_call_key(1, 2), same.tool_call_key(1, 2));
    assert_ne!(ids.turn_key(1), ids.turn_key(2));
    assert_ne!(ids.tool_call_key(1, 2), ids.tool_call_key(1, 3));
}
