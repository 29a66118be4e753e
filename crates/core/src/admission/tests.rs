use super::*;

#[test]
fn a_full_or_draining_front_admits_nothing() {
    let limits = Limits { max_requests: 2, ..Limits::default() };
    assert_eq!(admit(false, 1, &limits), Ok(()));
    assert_eq!(admit(false, 2, &limits), Err(Rejection::Full));
    assert_eq!(admit(true, 0, &limits), Err(Rejection::Draining));
}
