use super::*;

/// Guards against treating weak evidence as proof: a 503 may come from a proxy that forwarded the request.
#[test]
fn only_listed_evidence_proves_that_nothing_ran() {
    let status = |status, code: Option<&str>| Evidence::Status { status, code: code.map(Into::into) };
    let may_have_run = |evidence: &Evidence| !classify(Stage::Write, evidence).0.never_ran();
    assert!(
        !may_have_run(&Evidence::NotConnected)
            && !may_have_run(&Evidence::NotWritten)
            && !may_have_run(&status(429, None))
    );
    assert!(!may_have_run(&status(424, Some(NO_STATE_CODE))));
    assert!(
        !may_have_run(&Evidence::NotProven)
            && !may_have_run(&Evidence::NoRoom)
            && !may_have_run(&Evidence::Unsent { status: 503 })
    );
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
        assert!(may_have_run(&evidence), "{evidence:?}");
    }
}

#[test]
fn missing_state_counts_only_for_a_write() {
    let missing = Evidence::Status { status: 424, code: Some(NO_STATE_CODE.into()) };
    assert_eq!(classify(Stage::Write, &missing), (Outcome::Full, NO_STATE_NOTE));
    assert_eq!(classify(Stage::Whole, &missing), (Outcome::Error, 0));
}

#[test]
fn rpc_errors_before_the_method_runs_prove_that_it_did_not_run() {
    assert_eq!(tool_end_from_rpc_error(-32601), ToolEnd::NotRun);
    assert_eq!(tool_end_from_rpc_error(-32603), ToolEnd::Unknown);
    assert_eq!(tool_end_from_rpc_error(-32000), ToolEnd::Unknown);
    assert_eq!(tool_end_from_status(404), Some(ToolEnd::NotRun));
    for status in [200, 400, 500, 503] {
        assert_eq!(tool_end_from_status(status), None, "{status} proves nothing");
    }
}

/// Guards against a refusal of an order whose body was written before its attempt was cancelled.
#[test]
fn a_cancelled_attempt_never_ran_only_if_its_body_was_not_written() {
    let may_have_run = |evidence: Evidence| {
        let (outcome, _) = classify(Stage::Whole, &evidence.of_cancelled());
        !outcome.never_ran()
    };
    for unwritten in [
        Evidence::NotConnected,
        Evidence::NotWritten,
        Evidence::NotProven,
        Evidence::NoRoom,
        Evidence::Withdrawn,
        Evidence::Unsent { status: 503 },
        Evidence::Status { status: 429, code: None },
    ] {
        assert!(!may_have_run(unwritten.clone()), "{unwritten:?}");
    }
    for written in [
        Evidence::TimedOut,
        Evidence::Broke,
        Evidence::Cancelled,
        Evidence::GivenUp,
        Evidence::Garbled,
        Evidence::Status { status: 503, code: None },
        Evidence::Turn { cached: 0 },
    ] {
        assert!(may_have_run(written.clone()), "{written:?}");
    }
}
