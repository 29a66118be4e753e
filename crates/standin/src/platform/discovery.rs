//! A mock discovery agent: serves whole host lists and watches, and can fall silent, lag, number its lists anew or be opened
//! at another address.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Interval at which a watch sends its changes, or an empty line if there are none.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// One version of the list.
#[derive(Clone)]
struct Version {
    number: u64,
    /// When it was published.
    at: Instant,
    change: Change,
}

/// What a version changes.
#[derive(Clone)]
enum Change {
    /// These hosts are added, replaced or, if their health is `DELETED`, removed.
    Hosts(Vec<Value>),
    /// Nothing: the version is sent as this line, whatever it means.
    Line(String),
}

/// The hosts of the list after these versions.
fn hosts_after(versions: &[Version]) -> Vec<Value> {
    let mut hosts: Vec<Value> = Vec::new();
    let mut positions: HashMap<String, usize> = HashMap::new();
    for version in versions {
        let Change::Hosts(changes) = &version.change else { continue };
        for host in changes {
            let name = host["host"].as_str().unwrap_or_default();
            let position = *positions.entry(name.to_owned()).or_insert(hosts.len());
            match hosts.get_mut(position) {
                Some(known) => known.clone_from(host),
                None => hosts.push(host.clone()),
            }
        }
    }
    hosts.retain(|host| host["health"] != "DELETED");
    hosts
}

/// A list that was written to a node.
#[derive(Clone, Debug)]
pub struct SentList {
    /// When it had been written.
    pub at: Instant,
    /// Its version in the numbering of the first agent.
    pub version: u64,
    /// Whether it is a whole list.
    pub is_whole: bool,
    /// Name, health and start time of its hosts.
    pub hosts: Vec<SentHost>,
}

/// A host of a list that was written to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentHost {
    /// Its name.
    pub name: String,
    /// Its health, as written.
    pub health: String,
    /// Its last start, in Unix milliseconds.
    pub started_ms: u64,
}

/// How an agent sees the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// It learns of each version this much later.
    pub lag: Duration,
    /// What it subtracts from the number of each version.
    pub number_offset: u64,
}

#[derive(Default)]
struct Inner {
    /// All versions of the list, the oldest first; at least one.
    versions: Vec<Version>,
    /// Connections left unanswered while silent.
    unanswered: Vec<TcpStream>,
    /// Accepts connections and sends nothing.
    is_silent: bool,
    /// Targets of the requests received.
    request_targets: Vec<String>,
    /// The version sent last on each watch, ended watches included.
    sent_versions: Vec<u64>,
    /// The lists that were written, in order.
    sent_lists: Vec<SentList>,
}

/// A mock discovery agent on one address. Clones and agents from [`Discovery::start_replica`] share the list.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    view: View,
    inner: Arc<Mutex<Inner>>,
}

impl SentHost {
    /// The host of a list's entry.
    pub fn from_entry(entry: &Value) -> SentHost {
        let text = |key: &str| entry[key].as_str().unwrap_or_default().to_owned();
        SentHost {
            name: text("host"),
            health: text("health"),
            started_ms: entry["born_ms"].as_u64().unwrap_or_default(),
        }
    }
}

impl View {
    /// The part of the versions that the agent knows of.
    fn known<'a>(&self, versions: &'a [Version]) -> &'a [Version] {
        let now = Instant::now();
        // The first version is known from the start.
        let count = versions.iter().skip(1).take_while(|version| version.at + self.lag <= now).count() + 1;
        &versions[..count.min(versions.len())]
    }

    /// The number under which the agent publishes a version.
    fn number(&self, version: &Version) -> u64 {
        version.number.saturating_sub(self.number_offset)
    }
}

/// Text to write on a watch, and the lists that are told by it.
#[derive(Default)]
struct Outgoing {
    lines: Vec<String>,
    lists: Vec<(u64, bool, Vec<SentHost>)>,
}

impl Outgoing {
    /// Adds the whole list after these versions, under the number of the last one.
    fn add_whole_list(&mut self, view: View, versions: &[Version]) {
        let Some(last) = versions.last() else { return };
        let hosts = hosts_after(versions);
        self.add_list(view, last, true, &hosts);
    }

    /// Adds what a version changes.
    fn add_change(&mut self, view: View, version: &Version) {
        match &version.change {
            Change::Hosts(hosts) => self.add_list(view, version, false, hosts),
            Change::Line(line) => self.lines.push(line.clone()),
        }
    }

    fn add_list(&mut self, view: View, version: &Version, is_whole: bool, hosts: &[Value]) {
        self.lines.push(json!({"seq": view.number(version), "whole": is_whole, "hosts": hosts}).to_string());
        self.lists.push((version.number, is_whole, hosts.iter().map(SentHost::from_entry).collect()));
    }
}

impl Discovery {
    /// Starts an agent with this list as version 1.
    pub fn start(hosts: Vec<Value>) -> std::io::Result<Discovery> {
        let first = Version { number: 1, at: Instant::now(), change: Change::Hosts(hosts) };
        let inner = Inner { versions: vec![first], ..Inner::default() };
        Discovery::open(Arc::new(Mutex::new(inner)), View::default())
    }

    /// Starts another agent with the same list at another address.
    pub fn start_replica(&self) -> std::io::Result<Discovery> {
        self.start_replica_with(View::default())
    }

    /// Starts another agent that sees the same list in its own way.
    pub fn start_replica_with(&self, view: View) -> std::io::Result<Discovery> {
        Discovery::open(self.inner.clone(), view)
    }

    fn open(inner: Arc<Mutex<Inner>>, view: View) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery { addr: listener.local_addr()?, view, inner };
        let agent = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                std::thread::spawn(move || agent.serve_connection(stream));
            }
        });
        Ok(discovery)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What an agent answers to a client that knows a version: the changes after it, or the whole list. Returns the version
    /// that the client knows then.
    fn first_answer(&self, versions: &[Version], client_version: u64) -> (u64, Outgoing) {
        let (view, known) = (self.view, self.view.known(versions));
        let (last, mut outgoing) = (&known[known.len() - 1], Outgoing::default());
        let has_changes = (view.number(&versions[0])..=view.number(last)).contains(&client_version);
        if client_version > 0 && has_changes {
            let newer = known.iter().filter(|version| view.number(version) > client_version);
            newer.for_each(|version| outgoing.add_change(view, version));
        } else {
            outgoing.add_whole_list(view, known);
        }
        (last.number, outgoing)
    }

    /// Records that lists were written.
    fn record_sent(&self, outgoing: Outgoing) {
        let at = Instant::now();
        let sent = outgoing.lists.into_iter();
        let sent = sent.map(|(version, is_whole, hosts)| SentList { at, version, is_whole, hosts });
        self.lock().sent_lists.extend(sent);
    }

    /// Serves the one request of a connection: a whole list, or a watch until the peer closes.
    fn serve_connection(&self, mut stream: TcpStream) {
        let mut buffer = [0; 2048];
        let Ok(n) = stream.read(&mut buffer) else { return };
        let request = String::from_utf8_lossy(&buffer[..n]).into_owned();
        let target = request.split(' ').nth(1).unwrap_or_default().to_owned();
        let (version, outgoing) = {
            let mut inner = self.lock();
            inner.request_targets.push(target.clone());
            if inner.is_silent {
                // The connection stays open without a response.
                inner.unanswered.push(stream);
                return;
            }
            let client_version: u64 =
                target.rsplit_once("index=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
            self.first_answer(&inner.versions, client_version)
        };
        let first_body = outgoing.lines.join("\n") + "\n";
        if !target.contains("stream=1") {
            let body = first_body.trim_end();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(head.as_bytes()).is_ok() {
                self.record_sent(outgoing);
            }
            return;
        }
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        if stream.write_all(format!("{head}{:x}\r\n{first_body}\r\n", first_body.len()).as_bytes()).is_err() {
            return;
        }
        self.record_sent(outgoing);
        self.serve_watch(&mut stream, version);
    }

    /// Sends changes and empty lines until the peer closes.
    fn serve_watch(&self, stream: &mut TcpStream, first_version: u64) {
        let mut sent_version = first_version;
        let watch_index = {
            let mut inner = self.lock();
            inner.sent_versions.push(sent_version);
            inner.sent_versions.len() - 1
        };
        loop {
            self.lock().sent_versions[watch_index] = sent_version;
            std::thread::sleep(HEARTBEAT_INTERVAL);
            let mut outgoing = Outgoing::default();
            {
                let inner = self.lock();
                if inner.is_silent {
                    continue;
                }
                let known = self.view.known(&inner.versions).iter();
                for version in known.filter(|version| version.number > sent_version) {
                    outgoing.add_change(self.view, version);
                }
                sent_version =
                    sent_version.max(self.view.known(&inner.versions).last().map_or(0, |v| v.number));
            }
            let chunk = |line: &String| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            let mut out: String = outgoing.lines.iter().map(chunk).collect();
            if out.is_empty() {
                out.push_str("1\r\n\n\r\n");
            }
            if stream.write_all(out.as_bytes()).is_err() {
                return;
            }
            self.record_sent(outgoing);
        }
    }

    /// Adds a change of these hosts, given as the entries of a list, and sends it on the watches.
    pub fn publish_change(&self, hosts: Vec<Value>) {
        self.publish(Change::Hosts(hosts));
    }

    /// Sends an incomplete JSON line on the watches as the change of a new version.
    pub fn send_malformed_line(&self) {
        self.send_line("{\"seq\":");
    }

    /// Sends any line on the watches as the change of a new version.
    pub fn send_line(&self, line: &str) {
        self.publish(Change::Line(line.to_owned()));
    }

    /// Adds a version.
    fn publish(&self, change: Change) {
        let mut inner = self.lock();
        let number = inner.versions[inner.versions.len() - 1].number + 1;
        inner.versions.push(Version { number, at: Instant::now(), change });
    }

    /// Makes the agent silent, or ends its silence. Closes the connections left unanswered.
    pub fn set_silent(&self, is_silent: bool) {
        let mut inner = self.lock();
        inner.is_silent = is_silent;
        for connection in inner.unanswered.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns the number of the newest version, and the hosts of the list.
    pub fn newest(&self) -> (u64, Vec<Value>) {
        let inner = self.lock();
        (inner.versions[inner.versions.len() - 1].number, hosts_after(&inner.versions))
    }

    /// Returns the number of watches that were sent the newest version, ended watches included.
    pub fn up_to_date_watches(&self) -> usize {
        let inner = self.lock();
        let newest = inner.versions[inner.versions.len() - 1].number;
        inner.sent_versions.iter().filter(|version| **version >= newest).count()
    }

    /// Returns the targets of the requests received.
    pub fn request_targets(&self) -> Vec<String> {
        self.lock().request_targets.clone()
    }

    /// Returns the lists that were written, in order.
    pub fn sent_lists(&self) -> Vec<SentList> {
        self.lock().sent_lists.clone()
    }
}
