//! Discovery's agent: whole lists, watches, silence, and moves to another address.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

/// An empty line while nothing changes.
const BEAT: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Inner {
    seq: u64,
    hosts: Vec<Value>,
    /// Lines of changes, by version.
    changes: Vec<(u64, String)>,
    watches: Vec<TcpStream>,
    /// Accepts, and answers nothing.
    silent: bool,
    asked: Vec<String>,
    /// By open watch: the version that it was told last.
    told: Vec<u64>,
}

/// An agent on one address; another one of the same list can be opened beside it.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl Discovery {
    pub fn start(hosts: Vec<Value>) -> std::io::Result<Discovery> {
        Discovery::open(Arc::new(Mutex::new(Inner { seq: 1, hosts, ..Inner::default() })))
    }

    /// The same list at another address.
    pub fn beside(&self) -> std::io::Result<Discovery> {
        Discovery::open(self.inner.clone())
    }

    fn open(inner: Arc<Mutex<Inner>>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery { addr: listener.local_addr()?, inner };
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(discovery)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut some = [0; 2048];
        let Ok(n) = stream.read(&mut some) else { return };
        let text = String::from_utf8_lossy(&some[..n]).into_owned();
        let target = text.split(' ').nth(1).unwrap_or_default().to_owned();
        let (from, first) = {
            let mut inner = self.inner();
            inner.asked.push(target.clone());
            if inner.silent {
                // Held open and never answered.
                inner.watches.push(stream);
                return;
            }
            let from: u64 = target.rsplit_once("index=").and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
            let whole = json!({"seq": inner.seq, "whole": true, "hosts": inner.hosts}).to_string();
            let known = from > 0 && inner.changes.first().is_none_or(|(seq, _)| *seq <= from + 1);
            let newer: Vec<String> =
                inner.changes.iter().filter(|(seq, _)| *seq > from).map(|(_, line)| line.clone()).collect();
            (inner.seq, if known { newer.join("\n") + "\n" } else { whole + "\n" })
        };
        if !target.contains("stream=1") {
            let body = first.trim_end();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let _ = stream.write_all(head.as_bytes());
            return;
        }
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        if stream.write_all(format!("{head}{:x}\r\n{first}\r\n", first.len()).as_bytes()).is_err() {
            return;
        }
        let mut told = from;
        let nth = {
            let mut inner = self.inner();
            inner.told.push(from);
            inner.told.len() - 1
        };
        loop {
            self.inner().told[nth] = told;
            std::thread::sleep(BEAT / 10);
            let lines: Vec<(u64, String)> = {
                let inner = self.inner();
                if inner.silent {
                    continue;
                }
                inner.changes.iter().filter(|(seq, _)| *seq > told).cloned().collect()
            };
            let mut out = String::new();
            for (seq, line) in lines {
                told = seq;
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

    /// Tells a change: entries as a list has them.
    pub fn change(&self, hosts: Vec<Value>) {
        let mut inner = self.inner();
        inner.seq += 1;
        let seq = inner.seq;
        for host in &hosts {
            inner.hosts.retain(|known| known["host"] != host["host"]);
            inner.hosts.push(host.clone());
        }
        inner.changes.push((seq, json!({"seq": seq, "whole": false, "hosts": hosts}).to_string()));
    }

    /// Tells the watches a line that is no list, as the change of a version.
    pub fn garble(&self) {
        self.inject("{\"seq\":");
    }

    /// Tells the watches this line as the change of a version, whatever it says.
    pub fn inject(&self, line: &str) {
        let mut inner = self.inner();
        inner.seq += 1;
        let seq = inner.seq;
        inner.changes.push((seq, line.to_owned()));
    }

    /// From now on it says nothing, or speaks again.
    pub fn silence(&self, silent: bool) {
        let mut inner = self.inner();
        inner.silent = silent;
        for watch in inner.watches.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }

    /// Watches that were told the newest version, those that have ended since included.
    pub fn told(&self) -> usize {
        let inner = self.inner();
        inner.told.iter().filter(|told| **told >= inner.seq).count()
    }

    /// What was asked for.
    pub fn asked(&self) -> Vec<String> {
        self.inner().asked.clone()
    }
}
