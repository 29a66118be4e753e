//! What cannot be read: from clients, and in the configuration.

use std::io::Write;
use std::process::Command;

use serde_json::json;

use crate::support::*;

#[test]
fn what_cannot_be_read_gets_an_error_and_reaches_no_engine() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let good = chat("bad-1", "plain", 4000);
    let length = format!("Content-Length: {}", BODY.len());
    let of = |from: &str, to: &str| {
        assert!(good.contains(from));
        good.replace(from, to)
    };
    for (what, text, status) in [
        ("noise", "\u{0}\u{16}what is this\r\n\r\n".to_owned(), 400),
        (
            "endless head",
            format!("GET / HTTP/1.1\r\n{}", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaa\r\n".repeat(800)),
            400,
        ),
        ("endless line", format!("GET / HTTP/1.1\r\nX-Filler: {}", "a".repeat(40_000)), 431),
        ("negative length", of(&length, "Content-Length: -1"), 400),
        ("length that is no number", of(&length, "Content-Length: 1x"), 400),
        ("huge length", of(&length, "Content-Length: 62914560"), 413),
        ("length beyond all", of(&length, "Content-Length: 99999999999999999999999"), 400),
        ("doubled length", of(&length, &format!("{length}\r\n{length}")), 400),
        ("two framings", of(&length, &format!("{length}\r\nTransfer-Encoding: chunked")), 400),
        ("unknown coding", of(&length, "Transfer-Encoding: gzip"), 501),
        ("chunk size without an end", of(&length, "Transfer-Encoding: chunked"), 408),
        ("bad chunk size", of(&length, "Transfer-Encoding: chunked").replace(BODY, "zz\r\n{}\r\n"), 400),
        ("unknown class", of("plain", "vip"), 400),
        ("no class", of("X-Qos: plain\r\n", ""), 400),
        ("no id", of("X-Trace-Id: bad-1\r\n", ""), 400),
        ("deadline that is no number", of("4000", "soon"), 400),
        ("negative deadline", of("4000", "-4"), 400),
        ("lengths that are no numbers", of("prompt_len=400", "prompt_len=x"), 400),
        ("body that is no object", of(BODY, &"x".repeat(BODY.len())), 400),
        ("other path", of("/v1/chat/completions", "/v1/other"), 404),
        ("other method", of("POST", "PUT"), 405),
        ("half a body", good[..good.len() - 5].to_owned(), 408),
        ("half a head", good[..40].to_owned(), 408),
    ] {
        let mut client = node.client();
        client.send(&text);
        assert_eq!(client.answer().status, status, "{what}");
    }
    // Half a request and a close; a body of many megabytes at full speed.
    node.client().send(&good[..60]);
    let mut client = node.client();
    client.send(&of(&length, "Content-Length: 62914560"));
    let piece = [b'x'; 64 << 10];
    for _ in 0..960 {
        if client.stream.write_all(&piece).is_err() {
            break;
        }
    }
    assert!(whole(&node.ask("good-1", "plain")));
    let attempts = platform.traffic.seen().into_iter().filter_map(|seen| match seen.pass {
        Pass::Begun { trace, .. } => Some(trace),
        Pass::Unknown { what } => Some(what),
        _ => None,
    });
    assert!(attempts.into_iter().all(|trace| trace == "good-1"));
}

#[test]
fn a_configuration_that_cannot_be_read_is_told_and_ends_the_program() {
    let path = std::env::temp_dir().join(format!("elderstage-node-bad-{}.json", std::process::id()));
    std::fs::write(&path, "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"x\"}").unwrap();
    let done = Command::new(PROGRAM).arg("node").env("PROXY_CONFIG", &path).output().unwrap();
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success() && told.contains("settings: is missing"), "{told}");
    let done = Command::new(PROGRAM).arg("node").env_remove("PROXY_CONFIG").output().unwrap();
    assert!(String::from_utf8_lossy(&done.stderr).contains("PROXY_CONFIG is not set"));
    std::fs::remove_file(&path).unwrap();
}

/// What is wrong, the change that makes it so, and what the error has to name: the key and the reason.
type Bad = (&'static str, fn(&mut Value), [&'static str; 2]);

/// Settings that no node could serve under: what is changed in good ones, and what the error has to name.
fn bad_settings() -> Vec<Bad> {
    vec![
        ("no classes", |of| of["services"] = json!([]), ["services", "is empty or missing"]),
        ("classes that are no list", |of| of["services"] = json!("plain"), ["services", "is not a list"]),
        (
            "a class named twice",
            |of| of["services"][1]["name"] = json!("plain"),
            ["services[1]", "named twice"],
        ),
        (
            "a class without a name",
            |of| of["services"][0]["name"] = json!(""),
            ["services[0]", "has no name"],
        ),
        (
            "no time",
            |of| of["services"][0]["give-up-us"] = json!(0),
            ["services[0].give-up-us", "round trip"],
        ),
        (
            "less time than a round trip",
            |of| of["services"][1]["give-up-us"] = json!(900),
            ["services[1].give-up-us", "round trip"],
        ),
        ("an aim of nothing", |of| of["services"][0]["aim-us"] = json!(0), ["services[0].aim-us", "no time"]),
        (
            "a negative time",
            |of| of["services"][0]["aim-us"] = json!(-5),
            ["services[0].aim-us", "not a number of 0"],
        ),
        (
            "an unknown effect",
            |of| of["services"][0]["semantics"] = json!("odd"),
            ["services[0].semantics", "odd"],
        ),
        ("no kinds", |of| of["skus"] = json!([]), ["skus", "is empty or missing"]),
        (
            "a kind without a role",
            |of| of["skus"] = json!(["reads", "writes", "both"]),
            ["domain.kind-role", "2 kinds, and there are 3"],
        ),
        (
            "an unknown role",
            |of| of["domain"]["kind-role"][0] = json!("thinks"),
            ["domain.kind-role[0]", "thinks"],
        ),
        ("a zone beyond all", |of| of["zone"] = json!(4), ["zone", "4 is not the position"]),
        ("a zone named twice", |of| of["zones"] = json!(["here", "here"]), ["zones[1]", "named twice"]),
        (
            "no attempt",
            |of| of["limits"]["most-tries"] = json!(0),
            ["limits.most-tries", "0 allows no attempt"],
        ),
        (
            "a wrong type",
            |of| of["limits"]["cancel"] = json!("yes"),
            ["limits.cancel", "is not true or false"],
        ),
        (
            "no time to connect",
            |of| of["limits"]["connect-timeout-us"] = json!(0),
            ["limits.connect-timeout-us", "no connection could be made"],
        ),
        (
            "half a thing",
            |of| of["limits"]["most-tries"] = json!(1.5),
            ["limits.most-tries", "not a whole number"],
        ),
    ]
}

#[test]
fn settings_that_cannot_be_served_under_are_one_error_that_names_key_and_reason() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let good = platform.config(node.addr, platform.discovery.addr, true);
    for (what, change, named) in bad_settings() {
        let mut config = good.clone();
        change(&mut config["settings"]);
        let path = std::env::temp_dir().join(format!("elderstage-settings-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let done = Command::new(PROGRAM).arg("node").env("PROXY_CONFIG", &path).output().unwrap();
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(!done.status.success(), "{what}: it ran");
        assert_eq!(said.trim().lines().count(), 1, "{what}: {said}");
        assert!(named.iter().all(|word| said.contains(word)), "{what}: {said}");
        std::fs::remove_file(&path).unwrap();
        // At a node that runs, the old ones stay.
        std::fs::write(&node.config, config.to_string()).unwrap();
        node.signal("HUP");
        assert!(whole(&node.ask(&format!("stays-{}", named[0].len()), "plain")), "{what}");
    }
}
