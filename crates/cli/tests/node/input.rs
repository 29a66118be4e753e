//! Invalid input: from clients, and in the configuration.

use std::io::Write;
use std::process::Command;

use serde_json::json;

use crate::bed::{TestBed, long_lived_chat};
use crate::support::*;

#[test]
fn invalid_requests_get_an_error_and_reach_no_engine() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let good = chat("bad-1", "plain", 4000);
    let length = format!("Content-Length: {}", BODY.len());
    let replaced = |from: &str, to: &str| {
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
        ("negative length", replaced(&length, "Content-Length: -1"), 400),
        ("length that is no number", replaced(&length, "Content-Length: 1x"), 400),
        ("huge length", replaced(&length, "Content-Length: 62914560"), 413),
        ("length beyond all", replaced(&length, "Content-Length: 99999999999999999999999"), 400),
        ("doubled length", replaced(&length, &format!("{length}\r\n{length}")), 400),
        ("two framings", replaced(&length, &format!("{length}\r\nTransfer-Encoding: chunked")), 400),
        ("unknown coding", replaced(&length, "Transfer-Encoding: gzip"), 501),
        ("chunk size without an end", replaced(&length, "Transfer-Encoding: chunked"), 408),
        (
            "bad chunk size",
            replaced(&length, "Transfer-Encoding: chunked").replace(BODY, "zz\r\n{}\r\n"),
            400,
        ),
        ("unknown class", replaced("plain", "vip"), 400),
        ("no class", replaced("X-Qos: plain\r\n", ""), 400),
        ("no id", replaced("X-Trace-Id: bad-1\r\n", ""), 400),
        ("deadline that is no number", replaced("4000", "soon"), 400),
        ("negative deadline", replaced("4000", "-4"), 400),
        ("lengths that are no numbers", replaced("prompt_len=400", "prompt_len=x"), 400),
        ("body that is no object", replaced(BODY, &"x".repeat(BODY.len())), 400),
        ("other path", replaced("/v1/chat/completions", "/v1/other"), 404),
        ("other method", replaced("POST", "PUT"), 405),
        ("half a body", good[..good.len() - 5].to_owned(), 408),
        ("half a head", good[..40].to_owned(), 408),
    ] {
        let mut client = node.client();
        client.send(&text);
        assert_eq!(client.answer().status, status, "{what}");
    }
    // Half a request and a close. Then a body of many megabytes at full speed.
    node.client().send(&good[..60]);
    let mut client = node.client();
    client.send(&replaced(&length, "Content-Length: 62914560"));
    let piece = [b'x'; 64 << 10];
    for _ in 0..960 {
        if client.stream.write_all(&piece).is_err() {
            break;
        }
    }
    assert!(is_served(&node.request("good-1", "plain")));
    let attempts = platform.traffic.events().into_iter().filter_map(|seen| match seen.pass {
        EngineEvent::Begun { trace, .. } => Some(trace),
        EngineEvent::Unknown { what } => Some(what),
        _ => None,
    });
    assert!(attempts.into_iter().all(|trace| trace == "good-1"));
}

#[test]
fn an_invalid_configuration_is_reported_and_ends_the_program() {
    let path = std::env::temp_dir().join(format!("elderstage-node-bad-{}.json", std::process::id()));
    std::fs::write(&path, "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"x\"}").unwrap();
    let done = Command::new(PROGRAM).arg("node").env("PROXY_CONFIG", &path).output().unwrap();
    let stderr = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success() && stderr.contains("settings: is missing"), "{stderr}");
    let done = Command::new(PROGRAM).arg("node").env_remove("PROXY_CONFIG").output().unwrap();
    assert!(String::from_utf8_lossy(&done.stderr).contains("PROXY_CONFIG is not set"));
    std::fs::remove_file(&path).unwrap();
}

/// A description, the change that makes settings invalid, and what the error must contain: the key and the
/// reason.
type InvalidSettings = (&'static str, fn(&mut Value), [&'static str; 2]);

/// Settings under which no node could serve.
fn invalid_settings() -> Vec<InvalidSettings> {
    vec![
        ("no classes", |settings| settings["services"] = json!([]), ["services", "is empty or missing"]),
        (
            "classes that are no list",
            |settings| settings["services"] = json!("plain"),
            ["services", "is not a list"],
        ),
        (
            "a class named twice",
            |settings| settings["services"][1]["name"] = json!("plain"),
            ["services[1]", "named twice"],
        ),
        (
            "a class without a name",
            |settings| settings["services"][0]["name"] = json!(""),
            ["services[0]", "has no name"],
        ),
        (
            "no time",
            |settings| settings["services"][0]["give-up-us"] = json!(0),
            ["services[0].give-up-us", "round trip"],
        ),
        (
            "less time than a round trip",
            |settings| settings["services"][1]["give-up-us"] = json!(900),
            ["services[1].give-up-us", "round trip"],
        ),
        (
            "an aim of nothing",
            |settings| settings["services"][0]["aim-us"] = json!(0),
            ["services[0].aim-us", "no time"],
        ),
        (
            "a negative time",
            |settings| settings["services"][0]["aim-us"] = json!(-5),
            ["services[0].aim-us", "not a number of 0"],
        ),
        (
            "an unknown effect",
            |settings| settings["services"][0]["semantics"] = json!("odd"),
            ["services[0].semantics", "odd"],
        ),
        ("no kinds", |settings| settings["skus"] = json!([]), ["skus", "is empty or missing"]),
        (
            "a kind without a role",
            |settings| settings["skus"] = json!(["reads", "writes", "both"]),
            ["domain.kind-role", "2 kinds, and there are 3"],
        ),
        (
            "an unknown role",
            |settings| settings["domain"]["kind-role"][0] = json!("thinks"),
            ["domain.kind-role[0]", "thinks"],
        ),
        ("a zone beyond all", |settings| settings["zone"] = json!(4), ["zone", "4 is not the position"]),
        (
            "a zone named twice",
            |settings| settings["zones"] = json!(["here", "here"]),
            ["zones[1]", "named twice"],
        ),
        (
            "no attempt",
            |settings| settings["limits"]["most-tries"] = json!(0),
            ["limits.most-tries", "0 allows no attempt"],
        ),
        (
            "a wrong type",
            |settings| settings["limits"]["cancel"] = json!("yes"),
            ["limits.cancel", "is not true or false"],
        ),
        (
            "no time to connect",
            |settings| settings["limits"]["connect-timeout-us"] = json!(0),
            ["limits.connect-timeout-us", "no connection could be made"],
        ),
        (
            "half a thing",
            |settings| settings["limits"]["most-tries"] = json!(1.5),
            ["limits.most-tries", "not a whole number"],
        ),
    ]
}

#[test]
fn invalid_settings_give_one_error_with_key_and_reason() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start_node(&platform, |_| {});
    let good = platform.config(node.addr, platform.discovery.addr, true);
    for (what, change, named) in invalid_settings() {
        let mut config = good.clone();
        change(&mut config["settings"]);
        let path = std::env::temp_dir().join(format!("elderstage-settings-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let done = Command::new(PROGRAM).arg("node").env("PROXY_CONFIG", &path).output().unwrap();
        let stderr = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(!done.status.success(), "{what}: the program succeeded");
        assert_eq!(stderr.trim().lines().count(), 1, "{what}: {stderr}");
        assert!(named.iter().all(|word| stderr.contains(word)), "{what}: {stderr}");
        std::fs::remove_file(&path).unwrap();
        // A running node keeps its old settings.
        std::fs::write(&node.config, config.to_string()).unwrap();
        node.signal("HUP");
        assert!(is_served(&node.request(&format!("stays-{}", named[0].len()), "plain")), "{what}");
    }
}

/// Guards against answers that come too late: clients that stopped in the middle of large bodies held the whole
/// memory for bodies, and a request that waited for memory was refused when theirs was given up, although its
/// own client had left by then.
#[test]
fn a_request_waits_for_memory_no_longer_than_its_client_waits() {
    let is_unanswered = |client: &Client| {
        client.stream.set_nonblocking(true).unwrap();
        let peeked = client.stream.peek(&mut [0]);
        client.stream.set_nonblocking(false).unwrap();
        peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    };
    // On a busy machine the bodies may be given up before the request is sent. The test is repeated then.
    let has_succeeded = (0..10).any(|n| {
        let bed = TestBed::new(1, 1);
        let node = bed.node(|config| config["limits"]["memory_mb"] = 1.into());
        let mut stopping: Vec<Client> = (0..2).map(|_| node.client()).collect();
        for (m, client) in stopping.iter_mut().enumerate() {
            let request = long_lived_chat(&format!("stops-{n}-{m}"), "plain");
            let head = request.split("Content-Length").next().unwrap();
            client.send(&format!("{head}Content-Length: {}\r\n\r\n{{", 256 << 10));
        }
        // The node receives this after the heads of the bodies, whose memory is reserved by then.
        assert_eq!(node.client().get("/-/ready"), Some(200));
        // The bodies are given up well before the time limit on the whole of the next request.
        std::thread::sleep(std::time::Duration::from_millis(200));
        let mut client = node.client();
        client.send(&chat(&format!("short-{n}"), "plain", 800));
        let answer = client.answer();
        answer.status == 503 && stopping.iter().all(is_unanswered)
    });
    assert!(has_succeeded, "each request was answered only after the bodies had been given up");
}
