use super::*;

fn valid() -> serde_json::Value {
    serde_json::json!({
        "scope": "fronts",
        "what": {"settings": {"digest": content_digest(b"{}"), "text": "{}"}},
        "stages": [{"members": {"count": 1}}, {"members": {"percent": 25}}, {"members": "all"}],
        "least_evidence": 200,
        "longest_stage_s": 600
    })
}

#[test]
fn a_valid_proposal_round_trips() {
    let proposal = Proposal::parse(&valid().to_string()).unwrap();
    let text = serde_json::to_string(&proposal).unwrap();
    assert_eq!(Proposal::parse(&text), Ok(proposal));
}

/// Each error names the key; no value is replaced by a guess.
#[test]
fn an_invalid_proposal_is_refused_with_key_and_reason() {
    let cases: [(&str, serde_json::Value, &str); 11] = [
        ("/scope", "Fronts!".into(), "is not a valid name"),
        ("/what/settings/digest", "00".into(), "is not the text's"),
        ("/what", serde_json::json!({"program": {"digest": "xyz", "path": "/bin/x"}}), "hexadecimal"),
        ("/what", serde_json::json!({"program": {"digest": "a".repeat(64), "path": "x"}}), "absolute path"),
        ("/what", serde_json::json!({"weights": {}}), "unknown variant"),
        ("/stages", serde_json::json!([]), "1 to 32"),
        ("/stages/1/members", serde_json::json!({"percent": 101}), "1 to 100"),
        ("/stages/0/members", "all".into(), "nothing comes after"),
        (
            "/stages",
            serde_json::json!([{"members": {"percent": 50}}, {"members": {"percent": 25}}]),
            "stages grow",
        ),
        ("/least_evidence", 0.into(), "on nothing"),
        ("/longest_stage_s", 0.into(), "seconds"),
    ];
    for (at, value, reason) in cases {
        let mut proposal = valid();
        *proposal.pointer_mut(at).unwrap() = value;
        let error = Proposal::parse(&proposal.to_string()).unwrap_err();
        assert!(error.to_string().contains(reason), "{at}: {error}");
        assert!(!error.key.is_empty(), "{at}");
    }
    let mut extra = valid();
    extra["suprise"] = 1.into();
    assert!(Proposal::parse(&extra.to_string()).unwrap_err().reason.contains("suprise"));
    assert!(Proposal::parse("{").unwrap_err().key.starts_with("line 1"));
}
