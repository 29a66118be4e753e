use super::*;

fn valid() -> serde_json::Value {
    serde_json::json!({
        "fleet": "shop", "name": "k1", "zone": "a", "directory": "/tmp/k1", "listen": "127.0.0.1:7101",
        "keepers": [{"name": "k1", "at": "127.0.0.1:7101"}, {"name": "k3", "at": "127.0.0.1:7103"},
                    {"name": "k2", "at": "127.0.0.1:7102"}]
    })
}

#[test]
fn a_valid_file_is_parsed_and_keepers_are_numbered_by_name() {
    let config = Config::parse(&valid().to_string()).unwrap();
    assert!(config.is_keeper());
    let names: Vec<String> = config.keeper_names().iter().map(Name::to_string).collect();
    assert_eq!(names, ["k1", "k2", "k3"]);
    let mut other = valid();
    other["keepers"][0]["at"] = "127.0.0.1:7999".into();
    assert_ne!(
        Config::parse(&other.to_string()).unwrap().key(),
        config.key(),
        "other keeper addresses make another fleet"
    );
}

#[test]
fn an_invalid_file_is_refused_with_key_and_reason() {
    let cases: [(&str, serde_json::Value, &str); 9] = [
        ("/fleet", "".into(), "is not a valid name"),
        ("/listen", "10.0.0.1:80".into(), "beyond_loopback"),
        ("/listen", "here".into(), "socket address"),
        ("/keepers", serde_json::json!([]), "0 keepers"),
        ("/keepers/1/name", "k1".into(), "twice"),
        ("/keepers/1/at", "127.0.0.1:7101".into(), "are both at"),
        ("/keepers/0", serde_json::json!({"name": "k1"}), "missing field"),
        ("/name", "n1".into(), "front or engine is missing"),
        ("/zone", 7.into(), "invalid type"),
    ];
    for (at, value, reason) in cases {
        let mut config = valid();
        *config.pointer_mut(at).unwrap() = value;
        let error = Config::parse(&config.to_string()).unwrap_err().to_string();
        assert!(error.contains(reason), "{at}: {error}");
    }
    let mut keeper = valid();
    keeper["beside"] = serde_json::json!({"engine": {}});
    assert!(Config::parse(&keeper.to_string()).unwrap_err().to_string().starts_with("beside: "));
}
