use super::*;

#[test]
fn a_call_id_stays_in_use_until_its_call_ends() {
    let sessions = Sessions::new(1);
    let (first, second) = (sessions.open(), sessions.open());
    assert_ne!(first, second);
    let id = Id::Number(7);
    assert!(sessions.begin_call(&first, id.clone(), ChainId(1)));
    assert!(!sessions.begin_call(&first, id.clone(), ChainId(2)));
    assert!(sessions.begin_call(&second, id.clone(), ChainId(3)), "another session may use the same id");
    assert_eq!(sessions.find_call(&first, &id), Some(ChainId(1)));
    sessions.end_call(&first, &id);
    assert_eq!(sessions.find_call(&first, &id), None);
    assert_eq!(sessions.close(&second), Some(vec![ChainId(3)]));
    assert!(!sessions.contains(&second) && sessions.contains(&first));
}
