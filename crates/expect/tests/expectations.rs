//! Expectations on a small deployment: they hold where the configuration meets them, fail where it does not,
//! and give the same result on every run.

use elderstage_config::{Config, parse};
use elderstage_expect::{Verdict, run_expectation};

const SITE: &str = "zones a b\nfront {\n zone a\n}\n\
    class ask {\n repeat safe\n first-token 1s\n give-up 4s\n total 10s\n}\n\
    class order {\n repeat unsafe\n first-token 2s\n give-up 6s\n total 10s\n}\n\
    route ask {\n class ask\n}\nroute order {\n class order\n}\n\
    kind reader {\n role prefill\n kv-tokens 200k\n}\nkind writer {\n role decode\n kv-tokens 200k\n}\n\
    rules {\n drain-grace 500ms\n}\n\
    server r1 {\n address 127.0.0.1:1\n kind reader\n zone a\n}\nserver r2 {\n address 127.0.0.1:2\n kind reader\n zone a\n}\n\
    server w1 {\n address 127.0.0.1:3\n kind writer\n zone a\n}\nserver w2 {\n address 127.0.0.1:4\n kind writer\n zone b\n}\n";

fn config(expects: &str) -> Config {
    parse("f.conf", &format!("{SITE}{expects}")).unwrap_or_else(|errors| panic!("{errors}"))
}

fn test_twice(expect: &str) -> Verdict {
    let config = config(&format!("expect it {{\n{expect}\n}}\n"));
    let verdict = run_expectation(&config, &config.servers, &config.expectations[0], 3);
    assert_eq!(
        verdict,
        run_expectation(&config, &config.servers, &config.expectations[0], 3),
        "the same on every run"
    );
    verdict
}

#[test]
fn expectations_that_the_configuration_meets_hold() {
    for expect in [
        "route ask\nserved 1\nattempts 2\nanswered-within 1s",
        "route order\nserved 1\nshare w2 0 1",
        "route ask\ndraining w1\nnever w1\nserved 1",
        "route order\nfull w1\nserved 0.99",
        "route order\ndown w1 w2 r1 r2\nanswered-within 6s",
    ] {
        let verdict = test_twice(expect);
        assert!(verdict.holds(), "{expect}: {verdict:#?}");
    }
}

#[test]
fn violated_expectations_fail_with_a_witness() {
    for (expect, failing_line) in [
        ("route ask\nnever w1 w2", "never"),
        ("route ask\nattempts 1", "attempts"),
        ("route order\ndown w1 w2 r1 r2\nserved 0.5", "served"),
        ("route ask\nanswered-within 1ms", "answered-within"),
    ] {
        let verdict = test_twice(expect);
        assert!(!verdict.holds(), "{expect}");
        let check = verdict.checks.iter().find(|check| !check.holds).unwrap();
        assert!(check.what.starts_with(failing_line) && check.witness.is_some(), "{check:?}");
    }
    assert!(!test_twice("route ask\nshare w1 0.9 1").holds());
}

/// Guards against an expectation that holds only because nothing was sent or because it names an unknown
/// server.
#[test]
fn expectations_without_evidence_fail() {
    let verdict = test_twice("route ask\ndraining r1 r2 w1 w2\nnever w1");
    assert!(!verdict.holds() && verdict.checks[0].seen == "nothing was sent", "{verdict:?}");
    let config = config("expect it {\nroute ask\ndown w1\nserved 1\n}\n");
    let verdict = run_expectation(&config, &config.servers[..2], &config.expectations[0], 1);
    assert!(!verdict.holds() && verdict.checks[0].seen.contains("w1"), "{verdict:?}");
}

#[test]
fn invalid_expectations_are_rejected() {
    for (expect, message) in [
        ("route ask\ndown w9\nserved 1", "no server is called w9; did you mean w1?"),
        ("route asks\nserved 1", "no route is called asks; did you mean ask?"),
        ("route ask", "this expects nothing"),
        ("route ask\nserved 2", "expected a share from 0 to 1"),
        ("route ask\nshare w1 0.9 0.1", "expected the lower bound first"),
        ("route ask\nattempts none", "attempts: expected a number from 1"),
    ] {
        let errors = parse("f.conf", &format!("{SITE}expect it {{\n{expect}\n}}\n")).unwrap_err().to_string();
        assert!(errors.contains(message), "{expect}: {errors}");
    }
}
