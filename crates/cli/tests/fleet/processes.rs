//! Keepers, agents and fronts as child processes, which are killed at the end of the test even if it fails.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use elderstage_standin::platform::Platform;
use serde_json::{Value, json};

use crate::links::Links;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_elderstage");
/// Far longer than any awaited event takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the condition holds; `false` after the timeout.
pub fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    condition()
}

pub fn signal(id: u32, name: &str) {
    let status = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status();
    assert!(status.unwrap().success());
}

/// A temporary folder, deleted when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("elderstage-fleet-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process that is killed when it is dropped.
pub struct Process {
    pub child: Child,
    pub log: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn log_contains(&self, what: &str) -> bool {
        self.log_text().contains(what)
    }

    /// Waits until the process ends.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        let ended = wait_until(|| {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        assert!(ended, "the process does not end: {}", self.log_text());
        status.unwrap()
    }
}

/// A fleet with a link from each member to each other.
pub struct Fleet {
    pub folder: Folder,
    pub links: Links,
    pub keepers: Vec<String>,
    /// Address of the link by which clients reach each keeper; the configuration files give it as the keeper's address.
    pub client_addresses: BTreeMap<String, SocketAddr>,
    pub members: Vec<String>,
    pub running: BTreeMap<String, Process>,
}

impl Fleet {
    /// Writes the configuration files of a fleet; starts no process.
    pub fn new(keepers: usize, fronts: usize, engines: usize) -> Fleet {
        let (folder, links) = (Folder::new(), Links::default());
        let keepers: Vec<String> = (1..=keepers).map(|n| format!("k{n}")).collect();
        let mut members = keepers.clone();
        members.extend((1..=fronts).map(|n| format!("f{n}")));
        members.extend((1..=engines).map(|n| format!("e{n}")));
        let client_addresses: BTreeMap<_, _> =
            keepers.iter().map(|name| (name.clone(), links.open_link("client", name))).collect();
        let fleet = Fleet { folder, links, keepers, client_addresses, members, running: BTreeMap::new() };
        for (n, name) in fleet.members.iter().enumerate() {
            let mut config = json!({
                "fleet": "shop", "name": name, "zone": format!("z{}", n % 3), "listen": "127.0.0.1:0",
                "directory": fleet.path(name),
                "keepers": fleet.client_addresses.iter()
                    .map(|(name, at)| json!({"name": name, "at": at}))
                    .collect::<Vec<_>>(),
                "via": fleet.members.iter().filter(|other| *other != name)
                    .map(|other| (other.clone(), json!(fleet.links.open_link(name, other))))
                    .collect::<serde_json::Map<_, _>>(),
            });
            match &name[..1] {
                "f" => config["beside"] = json!({"front": {"tally": fleet.path(&format!("{name}.tally"))}}),
                "e" => config["beside"] = json!({"engine": {}}),
                _ => {}
            }
            std::fs::write(fleet.config(name), config.to_string()).unwrap();
        }
        fleet
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.0.join(name)
    }

    pub fn config(&self, name: &str) -> PathBuf {
        self.path(&format!("{name}.json"))
    }

    fn spawn(&self, name: &str, limit: Option<u64>) -> Process {
        let log = self.path(&format!("{name}.log"));
        let mut command = match limit {
            None => Command::new(PROGRAM),
            // Files may not grow beyond this, as on a full disk. The signal for it is ignored.
            Some(blocks) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\""), PROGRAM]);
                shell
            }
        };
        command.args(["--log", "json", "--log-level", "info,may=warn", "fleet", "run", "--config"]);
        command.arg(self.config(name)).stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.stderr(File::create(&log).unwrap()).spawn().unwrap();
        Process { child, log }
    }

    /// Starts a member and waits until it listens.
    pub fn start(&mut self, name: &str) {
        self.start_limited(name, None);
    }

    pub fn start_limited(&mut self, name: &str, limit: Option<u64>) {
        if let Some(log_text) = self.try_start(name, limit) {
            panic!("{name} does not start: {log_text}");
        }
    }

    /// Starts a member; returns its log if it ends instead of listening.
    pub fn try_start(&mut self, name: &str, limit: Option<u64>) -> Option<String> {
        let mut process = self.spawn(name, limit);
        let mut at = None;
        let ready = wait_until(|| {
            let log = process.log_text();
            let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
            let listen = lines
                .filter(|line| line["message"] == "ready")
                .find_map(|line| line["listen"].as_str().and_then(|text| text.parse::<SocketAddr>().ok()));
            at = listen;
            at.is_some() || process.child.try_wait().unwrap().is_some()
        });
        assert!(ready, "{name} neither listens nor ends: {}", process.log_text());
        let Some(at) = at else { return Some(process.log_text()) };
        self.links.set_address(name, at);
        self.running.insert(name.into(), process);
        None
    }

    /// Starts a member that is expected to fail; returns its log.
    pub fn start_expecting_exit(&mut self, name: &str) -> String {
        let mut process = self.spawn(name, None);
        assert!(!process.wait_for_exit().success(), "{}", process.log_text());
        process.log_text()
    }

    pub fn start_all(&mut self) {
        for name in self.members.clone() {
            self.start(&name);
        }
    }

    pub fn kill(&mut self, name: &str) {
        drop(self.running.remove(name));
    }

    pub fn id(&self, name: &str) -> u32 {
        self.running[name].child.id()
    }

    /// Output of `fleet show --json` at a keeper.
    pub fn show(&self, keeper: &str) -> Option<Value> {
        let at = self.client_addresses[keeper].to_string();
        let out = Command::new(PROGRAM).args(["fleet", "show", "--json", "--to", &at]).output().unwrap();
        serde_json::from_slice(&out.stdout).ok().filter(|_| out.status.success())
    }

    /// The leader, according to a running keeper.
    pub fn leader(&self) -> String {
        let mut leader = String::new();
        let has_leader = wait_until(|| {
            for name in self.keepers.iter().filter(|name| self.running.contains_key(*name)) {
                let Some(shown) = self.show(name) else { continue };
                if shown["standing"]["role"] == "Leader" {
                    leader = name.clone();
                    return true;
                }
            }
            false
        });
        assert!(has_leader, "there is no leader");
        leader
    }

    pub fn proposal(&self, n: u64) -> PathBuf {
        let path = self.path(&format!("proposal-{n}.json"));
        let text = format!("{{\"n\": {n}}}");
        let digest = elderstage_fleet::change::content_digest(text.as_bytes());
        let proposal = json!({
            "scope": "fronts", "what": {"settings": {"digest": digest, "text": text}},
            "stages": [{"members": {"count": 1}}, {"members": "all"}],
            "least_evidence": 100, "longest_stage_s": 600,
        });
        std::fs::write(&path, proposal.to_string()).unwrap();
        path
    }

    /// Runs `fleet propose` with the addresses of all keepers.
    pub fn propose(&self, file: &Path, extra_args: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(["fleet", "propose"]).arg(file).args(extra_args).arg("--to");
        command.args(self.client_addresses.values().map(SocketAddr::to_string));
        command.output().unwrap()
    }

    /// Proposes until the change is confirmed and returns its number. An unconfirmed proposal is sent again under the
    /// same run.
    pub fn propose_until_accepted(&self, n: u64) -> u64 {
        let (file, mut extra_args) = (self.proposal(n), Vec::<String>::new());
        for _ in 0..10 {
            let extra_args_now: Vec<&str> = extra_args.iter().map(String::as_str).collect();
            let out = self.propose(&file, &extra_args_now);
            let (output, error) =
                (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
            match out.status.code() {
                Some(0) => return output.split_whitespace().nth(1).unwrap().parse().unwrap(),
                Some(3) => {
                    let run = error
                        .split("--again ")
                        .nth(1)
                        .expect("the error says how to send the proposal again")
                        .trim()
                        .to_owned();
                    extra_args = vec!["--again".into(), run];
                }
                _ => panic!("proposal {n}: {:?} {output} {error}", out.status),
            }
        }
        panic!("proposal {n} is not confirmed");
    }

    /// Waits until all keepers have the same record with this many changes; returns their numbers.
    pub fn wait_for_agreement(&self, changes: usize) -> Vec<u64> {
        let (mut numbers, mut statuses) = (Vec::new(), String::new());
        let all_agree = wait_until(|| {
            let shown: Vec<_> = self.keepers.iter().map(|name| self.show(name)).collect();
            let Some(shown) = shown.into_iter().collect::<Option<Vec<_>>>() else { return false };
            statuses =
                shown.iter().map(|status| format!("{} {}\n", status["keeper"], status["standing"])).collect();
            let digests: std::collections::BTreeSet<_> =
                shown.iter().map(|status| status["digest"].to_string()).collect();
            let all_can_vote = shown.iter().all(|status| status["standing"]["role"] != "Rejoining");
            let all = shown[0]["changes"].as_array().unwrap();
            numbers = all.iter().map(|change| change["number"].as_u64().unwrap()).collect();
            digests.len() == 1 && all_can_vote && numbers.len() == changes
        });
        assert!(all_agree, "keepers differ or have {numbers:?}\n{statuses}");
        numbers
    }
}

/// A front node beside its agent, with mock engines.
pub struct Front {
    pub process: Process,
    pub addr: SocketAddr,
}

impl Front {
    /// Starts on a free port. Another process may take the port first; then the next one is tried.
    pub fn start(fleet: &Fleet, name: &str, platform: &Platform) -> Front {
        for _ in 0..20 {
            let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
            let mut config = platform.config(addr, platform.discovery.addr, true);
            config["tally"] = json!({"file": fleet.path(&format!("{name}.tally")), "release": "r1"});
            let (path, log) =
                (fleet.path(&format!("{name}-node.json")), fleet.path(&format!("{name}-node.log")));
            std::fs::write(&path, config.to_string()).unwrap();
            let mut command = Command::new(PROGRAM);
            command.args(["--log-level", "warn", "node"]).env("PROXY_CONFIG", &path).stdin(Stdio::null());
            let child = command.stdout(Stdio::null()).stderr(File::create(&log).unwrap()).spawn().unwrap();
            let mut front = Front { process: Process { child, log }, addr };
            let mut ended = false;
            let ready = wait_until(|| {
                ended = front.process.child.try_wait().unwrap().is_some();
                ended || get(addr, "/-/ready") == Some(200)
            });
            if ready && !ended {
                return front;
            }
        }
        panic!("{name}: the front does not become ready");
    }

    /// Sends one request; returns the status, 0 if there was no response.
    pub fn request(&self, trace: &str) -> u16 {
        let body = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\nX-Qos: plain\r\n\
             X-Object: talk-{trace}\r\nX-Expires-In-Ms: 20000\r\nX-Props: prompt_len=400,prefix_len=0,max_out=64\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        exchange(self.addr, &text).unwrap_or(0)
    }
}

fn get(at: SocketAddr, path: &str) -> Option<u16> {
    exchange(at, &format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n"))
}

/// Sends a request and reads the response to its end.
fn exchange(at: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).split_whitespace().nth(1)?.parse().ok()
}
