use super::*;

/// Guards against a proof that is none: a 503 may come from a proxy that has passed the request on.
#[test]
fn only_a_few_things_prove_that_nothing_ran() {
    let status = |status, code: Option<&str>| Evidence::Status { status, code: code.map(Into::into) };
    let ran = |evidence: &Evidence| !judge(Stage::Write, evidence).0.never_ran();
    assert!(!ran(&Evidence::NotConnected) && !ran(&Evidence::NotWritten) && !ran(&status(429, None)));
    assert!(!ran(&status(424, Some(NO_STATE_CODE))));
    assert!(!ran(&Evidence::NotProven) && !ran(&Evidence::NoRoom) && !ran(&Evidence::Unsent { status: 503 }));
    for evidence in [
        status(503, None),
        status(500, None),
        status(424, None),
        status(400, None),
        Evidence::Broke,
        Evidence::TimedOut,
        Evidence::Cancelled,
        Evidence::GivenUp,
        Evidence::Garbled,
        Evidence::Read { cached: 0 },
    ] {
        assert!(ran(&evidence), "{evidence:?}");
    }
}

#[test]
fn a_state_is_missing_only_where_one_was_to_be_fetched() {
    let missing = Evidence::Status { status: 424, code: Some(NO_STATE_CODE.into()) };
    assert_eq!(judge(Stage::Write, &missing), (Outcome::Full, NO_STATE_NOTE));
    assert_eq!(judge(Stage::Whole, &missing), (Outcome::Error, 0));
}

#[test]
fn tool_errors_before_the_method_prove_that_it_did_not_run() {
    assert_eq!(rpc_error(-32601), ToolEnd::NotRun);
    assert_eq!(rpc_error(-32603), ToolEnd::Unknown);
    assert_eq!(rpc_error(-32000), ToolEnd::Unknown);
    assert_eq!(tool_status(404), Some(ToolEnd::NotRun));
    for status in [200, 400, 500, 503] {
        assert_eq!(tool_status(status), None, "{status} proves nothing");
    }
}
