//! `elderstage node` as its platform runs it: a child process between scripted clients, engines and discovery, all on
//! loopback. Answers and rules are asserted, times never: every wait is far longer than what it waits for takes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use elderstage_protocol::http::{self, Body, Limits, Response};
use elderstage_standin::platform::{How, Pass, Platform, whole_answer};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_elderstage");
const LONG: Duration = Duration::from_secs(20);
const BODY: &str = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";

struct Node {
    child: Child,
    addr: SocketAddr,
    config: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A port that was free a moment ago, at an address that no other test here uses: a client of one test was answered by
/// another test's node when both had the same.
fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let at = std::net::Ipv4Addr::from_bits(0x7f4d_0000 + n);
    TcpListener::bind((at, 0)).unwrap().local_addr().unwrap()
}

/// On a port that is asked for. Another test may take it before the node does: the node ends then, and the next port is
/// tried.
fn start(platform: &Platform, change: impl Fn(&mut Value)) -> Node {
    let mut tries = (0..20).map(|_| start_at(platform, free(), &change));
    tries.find_map(|node| node).expect("the node does not become ready")
}

/// `None` where the node ends instead of becoming ready.
fn start_at(platform: &Platform, addr: SocketAddr, change: impl Fn(&mut Value)) -> Option<Node> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut config = platform.config(addr, platform.discovery.addr, true);
    change(&mut config);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("elderstage-node-{}-{n}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    let mut command = Command::new(PROGRAM);
    command.args(["--log-level", "warn", "node"]).env("PROXY_CONFIG", &path).stdin(Stdio::null());
    let mut node = Node { child: command.spawn().unwrap(), addr, config: path };
    let mut ended = false;
    let ready = || {
        ended = node.child.try_wait().unwrap().is_some();
        ended || Client::to(addr).is_some_and(|mut client| client.get("/-/ready") == Some(200))
    };
    assert!(Platform::until(LONG, ready), "the node neither ends nor becomes ready");
    (!ended).then_some(node)
}

impl Node {
    fn signal(&self, name: &str) {
        let done = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(done.unwrap().success());
    }

    fn client(&self) -> Client {
        Client::to(self.addr).expect("the node accepts")
    }

    /// One request on a connection of its own.
    fn ask(&self, trace: &str, class: &str) -> Answer {
        let mut client = self.client();
        client.send(&chat(trace, class, 4000));
        client.answer()
    }
}

struct Client {
    stream: TcpStream,
    held: Vec<u8>,
}

/// What a client got.
#[derive(Debug)]
struct Answer {
    /// 0: the connection ended without one.
    status: u16,
    head: Option<Response>,
    body: String,
    /// The body came to its end.
    whole: bool,
}

fn chat(trace: &str, class: &str, expires_ms: u64) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\nX-Qos: {class}\r\n\
         X-Object: talk-{trace}\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Props: prompt_len=400,prefix_len=0,max_out=64\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

impl Client {
    fn to(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(LONG)).unwrap();
        Some(Client { stream, held: Vec::new() })
    }

    fn send(&mut self, text: &str) {
        // The node may have closed already: the answer tells.
        let _ = self.stream.write_all(text.as_bytes());
    }

    fn more(&mut self) -> bool {
        let mut some = [0; 16 << 10];
        let n = self.stream.read(&mut some).unwrap_or(0);
        self.held.extend_from_slice(&some[..n]);
        n > 0
    }

    fn answer(&mut self) -> Answer {
        let mut answer = Answer { status: 0, head: None, body: String::new(), whole: false };
        let head = loop {
            if let Ok(Some((head, n))) = http::parse_response(&self.held, Limits::default()) {
                self.held.drain(..n);
                break head;
            }
            if !self.more() {
                return answer;
            }
        };
        let (mut body, mut out) = (Body::new(head.framing), Vec::new());
        while !body.done() {
            if self.held.is_empty() && !self.more() {
                break;
            }
            let Ok(n) = body.push(&self.held, &mut out) else { break };
            self.held.drain(..n);
        }
        answer.status = head.status;
        answer.whole = body.done();
        answer.body = String::from_utf8_lossy(&out).into_owned();
        answer.head = Some(head);
        answer
    }

    fn get(&mut self, path: &str) -> Option<u16> {
        self.send(&format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
        Some(self.answer().status).filter(|status| *status > 0)
    }

    /// Whether the node ends the connection.
    fn is_closed(&mut self) -> bool {
        while self.more() {}
        true
    }
}

fn whole(answer: &Answer) -> bool {
    answer.status == 200 && answer.whole && answer.body == whole_answer()
}

/// Every line of the protocol's table of outcomes, for a class that may be repeated and one that may not.
#[test]
fn each_outcome_at_an_engine_has_its_answer() {
    // The case, whether a plain request is served, and whether one that must not run twice is.
    for (case, plain, once) in [
        ("served", true, true),
        ("reader-500-first", true, true),
        ("reader-full-first", true, true),
        ("reader-breaks-first", true, true),
        ("writer-full-first", true, true),
        ("writer-gone-first", true, true),
        ("writer-500-first", true, false),
        ("writer-503-first", true, false),
        ("writer-breaks-first", true, false),
        ("spoilt-noise-first", true, false),
        ("spoilt-head-first", true, false),
        ("spoilt-endless-head-first", true, false),
        ("spoilt-first-chunk-first", true, false),
        ("more-interim", true, true),
        ("more-report", true, true),
        ("more-answer", true, true),
    ] {
        // A fresh node for each: what it has learned of its engines from one case is not the next one's matter.
        let platform = Platform::start(3, 4).unwrap();
        let node = start(&platform, |_| {});
        for (class, served) in [("plain", plain), ("once", once)] {
            let trace = format!("{case}-{class}");
            let answer = node.ask(&trace, class);
            if served {
                assert!(whole(&answer), "{trace}: {answer:?}");
            } else {
                // It may have run: never a word that trying again is harmless.
                assert_eq!(answer.status, 502, "{trace}: {answer:?}");
                // The engine may note the end after the client has its answer.
                let attempts = || platform.traffic.attempts(&trace);
                assert!(Platform::until(LONG, || !attempts().is_empty()), "{trace}");
                assert_eq!(attempts(), [How::MayHaveRun], "{trace}");
            }
        }
        assert_eq!(platform.traffic.judge(|trace| trace.ends_with("-once")), Vec::<String>::new(), "{case}");
        let empty = Platform::until(LONG, || platform.traffic.held().is_empty());
        assert!(empty, "{case}: still held: {:?}", platform.traffic.held());
    }
}

#[test]
fn a_stream_that_breaks_ends_its_clients_connection_without_the_last_chunk() {
    let platform = Platform::start(1, 4).unwrap();
    let node = start(&platform, |_| {});
    for case in ["late-breaks", "late-size", "late-misfit", "late-huge"] {
        let answer = node.ask(&format!("{case}-x"), "once");
        assert_eq!((answer.status, answer.whole), (200, false), "{case}");
        assert!(
            whole_answer().starts_with(&answer.body) && !answer.body.is_empty(),
            "{case}: {}",
            answer.body
        );
    }
}

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
fn an_id_open_elsewhere_is_refused_and_its_owner_served() {
    let platform = Platform::start(2, 1).unwrap();
    let node = start(&platform, |_| {});
    let mut first = node.client();
    // The reader answers nothing: the request stays open.
    first.send(&chat("reader-silent-first-1", "plain", 4000));
    let begun = || platform.traffic.seen().iter().any(|seen| matches!(seen.pass, Pass::Begun { .. }));
    assert!(Platform::until(LONG, begun));
    assert_eq!(node.ask("reader-silent-first-1", "plain").status, 409);
    assert!(whole(&first.answer()), "given up at the silent reader and read elsewhere");
}

#[test]
fn a_client_that_leaves_leaves_nothing_behind() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let mut client = node.client();
    client.send(&chat("reader-silent-1", "plain", 4000));
    assert!(Platform::until(LONG, || !platform.traffic.held().is_empty()));
    drop(client);
    assert!(Platform::until(LONG, || platform.traffic.held().is_empty()), "let go");
    let ended = |seen: &Pass| matches!(seen, Pass::Ended { how: How::MayHaveRun, .. });
    assert!(Platform::until(LONG, || platform.traffic.seen().iter().any(|seen| ended(&seen.pass))));
}

/// Connections that say nothing, by the hundred, with few descriptors: they are closed, and the usual are served.
#[test]
fn silent_connections_make_room() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let mut silent: Vec<Client> = (0..400).filter_map(|_| Client::to(node.addr)).collect();
    for n in 0..5 {
        assert!(whole(&node.ask(&format!("good-{n}"), "plain")), "request {n}");
    }
    assert!(silent.iter_mut().all(Client::is_closed));
}

#[test]
fn a_silent_discovery_stops_nothing_and_drains_are_obeyed_when_it_is_back() {
    let platform = Platform::start(1, 2).unwrap();
    platform.discovery.silence(true);
    let node = start(&platform, |_| {});
    assert!(whole(&node.ask("known-1", "plain")), "from the list it was started with");
    platform.discovery.silence(false);
    let health = |name: &str| if name == "writer-0" { "DRAINING" } else { "SERVING" };
    platform.discovery.change(Platform::list(&platform.engines, health));
    let writers = |from: usize| -> Vec<String> {
        let began = |seen: &elderstage_standin::platform::Seen| matches!(seen.pass, Pass::Begun { .. });
        let seen = platform.traffic.seen();
        let writers = seen[from..].iter().filter(|seen| began(seen) && seen.engine.starts_with("writer"));
        writers.map(|seen| seen.engine.clone()).collect()
    };
    // Until the drain has come through.
    let mut n = 0;
    let settled = || {
        let from = platform.traffic.seen().len();
        for _ in 0..8 {
            n += 1;
            assert!(whole(&node.ask(&format!("drain-{n}"), "plain")));
        }
        writers(from).iter().all(|writer| writer == "writer-1")
    };
    assert!(Platform::until(LONG, settled));
    // A new whole list at the watch's next try, after silence: nothing is forgotten.
    platform.discovery.silence(true);
    assert!(whole(&node.ask("silent-1", "plain")));
}

#[test]
fn a_new_configuration_moves_discovery_and_a_bad_one_changes_nothing() {
    let platform = Platform::start(1, 1).unwrap();
    let mut node = start(&platform, |_| {});
    let other = platform.discovery.beside().unwrap();
    assert!(Platform::until(LONG, || !platform.discovery.asked().is_empty()));
    let asked = platform.discovery.asked().len();
    std::fs::write(&node.config, "{\"listen\":").unwrap();
    node.signal("HUP");
    assert!(whole(&node.ask("bad-config-1", "plain")));
    let config = platform.config(node.addr, other.addr, true);
    std::fs::write(&node.config, config.to_string()).unwrap();
    node.signal("HUP");
    assert!(
        Platform::until(LONG, || platform.discovery.asked().len() > asked),
        "the watch is taken up there"
    );
    let last = platform.discovery.asked().pop().unwrap();
    assert!(last.contains("stream=1&index="), "{last}");
    assert!(whole(&node.ask("moved-1", "plain")));
    assert!(node.child.try_wait().unwrap().is_none(), "it runs on");
}

#[test]
fn a_node_that_is_told_to_stop_answers_what_it_took_and_ends_well() {
    let platform = Platform::start(2, 1).unwrap();
    let mut node = start(&platform, |_| {});
    let mut kept = node.client();
    kept.send(&chat("before-1", "plain", 4000));
    assert!(whole(&kept.answer()));
    let mut open = node.client();
    open.send(&chat("reader-silent-first-2", "plain", 4000));
    let begun = || {
        platform
            .traffic
            .seen()
            .iter()
            .any(|seen| matches!(&seen.pass, Pass::Begun { trace, .. } if trace.ends_with("-2")))
    };
    assert!(Platform::until(LONG, begun));
    node.signal("TERM");
    // Still taken right after the signal, on a connection that it knows.
    kept.send(&chat("after-1", "plain", 4000));
    assert!(whole(&kept.answer()));
    assert!(whole(&open.answer()));
    let mut status = None;
    assert!(Platform::until(LONG, || {
        status = node.child.try_wait().unwrap();
        status.is_some()
    }));
    assert!(status.unwrap().success());
    assert!(Client::to(node.addr).is_none(), "nobody listens any more");
}

/// A short mixed day: good and bad engines, a writer that dies, clients that come and go; the rules are judged by
/// what the engines saw and what the clients got.
#[test]
fn a_mixed_day_keeps_the_rules() {
    let mut platform = Platform::start(6, 8).unwrap();
    let node = start(&platform, |_| {});
    let cases = [
        "fine",
        "fine",
        "fine",
        "writer-500-first",
        "spoilt-noise-first",
        "late-size",
        "reader-breaks-first",
        "fine",
        "writer-gone-first",
        "writer-full-first",
        "more-answer",
        "late-breaks",
        "fine",
        "reader-500-first",
    ];
    let got: BTreeMap<String, Answer> = std::thread::scope(|scope| {
        let node = &node;
        let clients: Vec<_> = (0..8)
            .map(|c| {
                scope.spawn(move || {
                    let mut got = Vec::new();
                    for n in 0..25 {
                        let case = cases[(n * 3 + c) % cases.len()];
                        let class = if (n + c) % 3 == 0 { "once" } else { "plain" };
                        let trace = format!("{case}-{c}x{n}x{class}");
                        got.push((trace.clone(), node.ask(&trace, class)));
                    }
                    got
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        drop(platform.engines.pop());
        clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
    });
    assert_eq!(got.len(), 200);
    let mut served = 0;
    for (trace, answer) in &got {
        match answer.status {
            200 if answer.whole => {
                served += 1;
                assert_eq!(answer.body, whole_answer(), "{trace}");
                assert!(
                    platform.traffic.attempts(trace).contains(&How::Served),
                    "{trace}: no engine served it"
                );
            }
            200 => assert!(whole_answer().starts_with(&answer.body), "{trace}: {answer:?}"),
            503 if trace.ends_with("once") => {
                let ran = platform.traffic.attempts(trace);
                assert!(ran.iter().all(|how| *how == How::NeverRan), "{trace}: refused, but {ran:?}");
            }
            503 | 502 => {}
            other => panic!("{trace}: {other} {answer:?}"),
        }
    }
    assert!(served > 100, "{served} of 200 served");
    assert_eq!(platform.traffic.judge(|trace| trace.ends_with("once")), Vec::<String>::new());
    assert!(Platform::until(LONG, || platform.traffic.held().is_empty()), "{:?}", platform.traffic.held());
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

/// Killed outright and started again under its name and address: it takes over from nothing, and what the first had
/// under way is neither answered nor sent a second time by the second.
#[test]
fn a_node_killed_outright_starts_again_from_nothing() {
    let platform = Platform::start(2, 2).unwrap();
    let node = start(&platform, |_| {});
    let addr = node.addr;
    let mut open = node.client();
    open.send(&chat("reader-silent-1", "once", 4000));
    let begun = || platform.traffic.seen().iter().any(|seen| matches!(seen.pass, Pass::Begun { .. }));
    assert!(Platform::until(LONG, begun));
    drop(node);
    assert_eq!(open.answer().status, 0, "its connection ends");
    // Its port is free but for what another test may take for a moment.
    let mut again = (0..20).map(|_| start_at(&platform, addr, |_| {}));
    let again = again.find_map(|node| node).expect("it starts again");
    assert!(whole(&again.ask("after-kill-1", "once")));
    let sent = platform.traffic.seen();
    let sent = sent
        .iter()
        .filter(|seen| matches!(&seen.pass, Pass::Begun { trace, .. } if trace.starts_with("reader-silent")));
    assert_eq!(sent.count(), 1);
}

/// The list that a node is started with may be old, and what its discovery holds counts as told from its first moment.
#[test]
fn a_node_is_ready_with_the_list_that_its_discovery_holds() {
    let platform = Platform::start(1, 2).unwrap();
    let health = |name: &str| if name == "writer-0" { "DRAINING" } else { "SERVING" };
    platform.discovery.change(Platform::list(&platform.engines, health));
    for n in 0..5 {
        let node = start(&platform, |config| {
            assert_eq!(config["known"]["hosts"][1]["health"], "SERVING", "the old list");
        });
        for m in 0..4 {
            let answer = node.ask(&format!("first-{n}x{m}"), "plain");
            assert!(whole(&answer), "node {n}, request {m}: {answer:?}");
        }
    }
    let began = |seen: &elderstage_standin::platform::Seen| matches!(seen.pass, Pass::Begun { .. });
    let seen = platform.traffic.seen();
    assert!(!seen.iter().any(|seen| began(seen) && seen.engine == "writer-0"), "a draining engine was asked");
}

/// A client's end stands behind what it has sent meanwhile: one that had sent a part of its next request, or half of
/// its bytes and its end, was not seen to be gone while its request waited, and the request was sent on for nobody.
#[test]
fn nothing_is_sent_on_for_clients_that_left_behind_more_bytes() {
    let platform = Platform::start(1, 1).unwrap();
    platform.discovery.silence(true);
    // No engine is known, and the class waits long for one.
    let node = start(&platform, |config| {
        config["known"]["hosts"] = Value::Array(Vec::new());
        config["settings"]["services"][0]["aim-us"] = 18_000_000.into();
        config["settings"]["services"][0]["give-up-us"] = 20_000_000.into();
    });
    let more = chat("left-next", "plain", 18_000);
    for (trace, rest) in [
        ("left-plain", String::new()),
        ("left-half", more[..more.len() / 2].to_owned()),
        ("left-noise", "x".repeat(400_000)),
    ] {
        let mut client = node.client();
        client.send(&chat(trace, "plain", 18_000));
        client.send(&rest);
    }
    let mut client = node.client();
    client.send(&chat("left-closed", "plain", 18_000));
    client.send(&more[..20]);
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut stays = node.client();
    stays.send(&chat("stays-1", "plain", 18_000));
    std::thread::sleep(Duration::from_millis(500));
    platform.discovery.silence(false);
    platform.discovery.change(Platform::list(&platform.engines, |_| "SERVING"));
    assert!(whole(&stays.answer()), "who stays is served");
    assert!(whole(&node.ask("after-1", "plain")));
    let seen = platform.traffic.seen();
    let for_nobody = seen
        .iter()
        .filter(|seen| matches!(&seen.pass, Pass::Begun { trace, .. } if trace.starts_with("left-")));
    assert_eq!(for_nobody.count(), 0);
}

/// A client that asks for its connection to end and has sent more than its request gets its answer to the end.
#[test]
fn an_answer_is_not_destroyed_by_what_its_client_sent_besides() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    for n in 0..10 {
        let mut client = node.client();
        let ask =
            chat(&format!("more-bytes-{n}"), "plain", 4000).replace("Host:", "Connection: close\r\nHost:");
        client.send(&(ask + &"x".repeat(300_000)));
        assert!(whole(&client.answer()), "client {n}");
        let end = client.stream.read(&mut [0; 16]);
        assert!(matches!(end, Ok(0)), "client {n}: its end, and no reset: {end:?}");
    }
}

/// A second answer that comes some milliseconds late must not pass for the next request's.
#[test]
fn a_second_answer_that_comes_late_is_nobodys() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    for n in 0..20 {
        let answer = node.ask(&format!("more-later-{n}"), "plain");
        assert!(whole(&answer), "request {n}: {answer:?}");
        let answer = node.ask(&format!("after-later-{n}"), "plain");
        assert!(whole(&answer), "request after {n}: {answer:?}");
    }
}

/// What a line that can't be read told must not be lost: the watch begins anew with the whole list.
#[test]
fn a_list_that_cannot_be_read_is_asked_for_anew() {
    let platform = Platform::start(1, 1).unwrap();
    let node = start(&platform, |_| {});
    let watches = || platform.discovery.asked().len();
    assert!(Platform::until(LONG, || watches() == 1));
    // The first watch has its list and is open: what comes now comes as a change.
    std::thread::sleep(Duration::from_millis(300));
    platform.discovery.garble();
    assert!(Platform::until(LONG, || watches() > 1), "the watch is taken up again");
    assert!(platform.discovery.asked()[1].ends_with("index=0"), "{:?}", platform.discovery.asked());
    assert!(whole(&node.ask("after-noise-1", "plain")));
}
