//! A mock discovery agent: serves whole host lists and watches, and can fall silent or be opened at another
//! address.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

/// Ten times the interval at which a watch sends its changes, or an empty line if there are none.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Inner {
    /// Version of the list.
    seq: u64,
    hosts: Vec<Value>,
    /// Changes as JSON lines, with their versions.
    changes: Vec<(u64, String)>,
    /// Connections left unanswered while silent.
    unanswered: Vec<TcpStream>,
    /// Accepts connections and sends nothing.
    is_silent: bool,
    /// Targets of the requests received.
    request_targets: Vec<String>,
    /// The version sent last on each watch, ended watches included.
    sent_versions: Vec<u64>,
}

/// A mock discovery agent on one address. Clones and agents from [`Discovery::start_replica`] share the list.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl Discovery {
    /// Starts an agent with this list as version 1.
    pub fn start(hosts: Vec<Value>) -> std::io::Result<Discovery> {
        Discovery::open(Arc::new(Mutex::new(Inner { seq: 1, hosts, ..Inner::default() })))
    }

    /// Starts another agent with the same list at another address.
    pub fn start_replica(&self) -> std::io::Result<Discovery> {
        Discovery::open(self.inner.clone())
    }

    fn open(inner: Arc<Mutex<Inner>>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery { addr: listener.local_addr()?, inner };
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

    /// Serves the one request of a connection: a whole list, or a watch until the peer closes.
    fn serve_connection(&self, mut stream: TcpStream) {
        let mut buffer = [0; 2048];
        let Ok(n) = stream.read(&mut buffer) else { return };
        let request = String::from_utf8_lossy(&buffer[..n]).into_owned();
        let target = request.split(' ').nth(1).unwrap_or_default().to_owned();
        let (version, first_body) = {
            let mut inner = self.lock();
            inner.request_targets.push(target.clone());
            if inner.is_silent {
                // The connection stays open without a response.
                inner.unanswered.push(stream);
                return;
            }
            let client_version: u64 =
                target.rsplit_once("index=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
            let whole_list = json!({"seq": inner.seq, "whole": true, "hosts": inner.hosts}).to_string();
            let has_changes =
                client_version > 0 && inner.changes.first().is_none_or(|(seq, _)| *seq <= client_version + 1);
            let newer_lines: Vec<String> = inner
                .changes
                .iter()
                .filter(|(seq, _)| *seq > client_version)
                .map(|(_, line)| line.clone())
                .collect();
            (inner.seq, if has_changes { newer_lines.join("\n") + "\n" } else { whole_list + "\n" })
        };
        if !target.contains("stream=1") {
            let body = first_body.trim_end();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let _ = stream.write_all(head.as_bytes());
            return;
        }
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        if stream.write_all(format!("{head}{:x}\r\n{first_body}\r\n", first_body.len()).as_bytes()).is_err() {
            return;
        }
        let mut sent_version = version;
        let watch_index = {
            let mut inner = self.lock();
            inner.sent_versions.push(version);
            inner.sent_versions.len() - 1
        };
        loop {
            self.lock().sent_versions[watch_index] = sent_version;
            std::thread::sleep(HEARTBEAT_INTERVAL / 10);
            let lines: Vec<(u64, String)> = {
                let inner = self.lock();
                if inner.is_silent {
                    continue;
                }
                inner.changes.iter().filter(|(seq, _)| *seq > sent_version).cloned().collect()
            };
            let mut out = String::new();
            for (seq, line) in lines {
                sent_version = seq;
                out.push_str(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
            }
            if out.is_empty() {
                out.push_str("1\r\n\n\r\n");
            }
            if stream.write_all(out.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Adds a change of these hosts, given as the entries of a list, and sends it on the watches.
    pub fn publish_change(&self, hosts: Vec<Value>) {
        let mut inner = self.lock();
        inner.seq += 1;
        let seq = inner.seq;
        for host in &hosts {
            inner.hosts.retain(|known| known["host"] != host["host"]);
            inner.hosts.push(host.clone());
        }
        inner.changes.push((seq, json!({"seq": seq, "whole": false, "hosts": hosts}).to_string()));
    }

    /// Sends an incomplete JSON line on the watches as the change of a new version.
    pub fn send_malformed_line(&self) {
        self.send_line("{\"seq\":");
    }

    /// Sends any line on the watches as the change of a new version.
    pub fn send_line(&self, line: &str) {
        let mut inner = self.lock();
        inner.seq += 1;
        let seq = inner.seq;
        inner.changes.push((seq, line.to_owned()));
    }

    /// Makes the agent silent, or ends its silence. Closes the connections left unanswered.
    pub fn set_silent(&self, is_silent: bool) {
        let mut inner = self.lock();
        inner.is_silent = is_silent;
        for connection in inner.unanswered.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns the number of watches that were sent the newest version, ended watches included.
    pub fn up_to_date_watches(&self) -> usize {
        let inner = self.lock();
        inner.sent_versions.iter().filter(|version| **version >= inner.seq).count()
    }

    /// Returns the targets of the requests received.
    pub fn request_targets(&self) -> Vec<String> {
        self.lock().request_targets.clone()
    }
}
