use super::*;

#[test]
fn an_id_is_in_use_until_its_call_has_ended() {
    let sessions = Sessions::new(1);
    let (one, two) = (sessions.open(), sessions.open());
    assert_ne!(one, two);
    let id = Id::Number(7);
    assert!(sessions.begin(&one, id.clone(), ChainId(1)));
    assert!(!sessions.begin(&one, id.clone(), ChainId(2)));
    assert!(sessions.begin(&two, id.clone(), ChainId(3)), "ids are each session's own");
    assert_eq!(sessions.find(&one, &id), Some(ChainId(1)));
    sessions.end(&one, &id);
    assert_eq!(sessions.find(&one, &id), None);
    assert_eq!(sessions.close(&two), Some(vec![ChainId(3)]));
    assert!(!sessions.known(&two) && sessions.known(&one));
}
