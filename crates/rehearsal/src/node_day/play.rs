//! Runs a node's day: starts mock engines, discovery and the node, applies the steps, and checks the records.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderstage_standin::platform::{Discovery, Platform, SentHost, SentList, View};
use serde_json::{Value, json};
use thiserror::Error;

use super::clients::{NodeClients, plan_requests};
use super::report::NodeReport;
use super::rules::{DayRecords, check_rules};
use super::script::{NodeDay, NodeStep, OtherDiscovery};

/// Longest time that a node takes to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time that a node takes to exit after SIGTERM, and that the last requests take.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Poll interval while waiting for a process or for requests.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Descriptors that the node may use. While it is started again its clients wait, and all connect at once then.
const MAX_DESCRIPTORS: u64 = 1_024;
/// Wait after the last answer, in which states are released.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum NodeDayError {
    /// An operation on a file, a process or a mock server failed.
    #[error("{what}: {error}")]
    Io {
        /// What failed.
        what: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The node exited or was not ready in time; its log is at this path.
    #[error("the node is not ready; see its log {0}")]
    NotReady(PathBuf),
    /// A step of the script panicked.
    #[error("a step of the script panicked")]
    StepPanicked,
    /// The node did not exit in time after SIGTERM.
    #[error("the node does not exit")]
    NotExited,
}

/// Converts an I/O error; `what` names what failed.
fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> NodeDayError {
    let what = what.into();
    move |error| NodeDayError::Io { what, error }
}

/// Options of a run.
pub struct NodeDayOptions<'a> {
    /// The `elderstage` program.
    pub program: &'a Path,
    /// Directory for the configuration and the log of the node.
    pub dir: &'a Path,
    /// Called with the number of requests started so far.
    pub progress: &'a dyn Fn(u64),
}

/// The node and its surroundings during a day.
struct NodeStage {
    platform: Platform,
    /// The discovery that the node's configuration names.
    discovery: Discovery,
    program: PathBuf,
    dir: PathBuf,
    listen: SocketAddr,
    child: Option<Child>,
    /// The lists of the node's configurations, which it was told when it started.
    known_lists: Vec<SentList>,
    kills: Vec<Instant>,
    /// Whether each process that was told to end has exited successfully.
    is_clean: bool,
}

impl Drop for NodeStage {
    fn drop(&mut self) {
        // No process is left behind, whatever went wrong.
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs a day to its end and reports on it.
pub fn run_node_day(day: &NodeDay, options: &NodeDayOptions<'_>) -> Result<NodeReport, NodeDayError> {
    let platform = Platform::start(day.readers, day.writers).map_err(io("mock platform"))?;
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let mut stage = NodeStage {
        discovery: platform.discovery.clone(),
        platform,
        program: options.program.to_owned(),
        dir: options.dir.to_owned(),
        listen: listen.map_err(io("port"))?,
        child: None,
        known_lists: Vec::new(),
        kills: Vec::new(),
        is_clean: true,
    };
    stage.start_process()?;
    let clients = Arc::new(NodeClients::new(stage.listen, day.load.wait));
    let started_at = Instant::now();
    let steps = day.steps.clone();
    // The steps have a thread of their own, since a restart takes a while.
    let stepping = std::thread::spawn(move || {
        let applied = steps.iter().try_for_each(|(at, step)| {
            wait_until(started_at + *at);
            stage.apply_step(step)
        });
        (stage, applied)
    });
    send_requests(day, &clients, started_at, options);
    let (mut stage, applied) = stepping.join().map_err(|_| NodeDayError::StepPanicked)?;
    applied?;
    std::thread::sleep(SETTLE_TIME);
    // States are looked at before the node exits, which would drop its connections.
    let (clients, lists) = (clients.records(), stage.told_lists());
    let records = DayRecords {
        started_at,
        clients: &clients,
        traffic: &stage.platform.traffic,
        lists: &lists,
        kills: &stage.kills,
        wait: day.load.wait,
    };
    let rules = check_rules(&records);
    stage.terminate()?;
    Ok(NodeReport::new(day, &clients, rules, stage.is_clean))
}

/// Sends the requests at their times and waits until all have ended.
fn send_requests(
    day: &NodeDay,
    clients: &Arc<NodeClients>,
    started_at: Instant,
    options: &NodeDayOptions<'_>,
) {
    let active = Arc::new(AtomicU64::new(0));
    for request in plan_requests(&day.load, day.seed) {
        wait_until(started_at + request.starts_at);
        (options.progress)(request.number + 1);
        active.fetch_add(1, Ordering::SeqCst);
        let (clients, active) = (clients.clone(), active.clone());
        std::thread::spawn(move || {
            clients.run(&request);
            active.fetch_sub(1, Ordering::SeqCst);
        });
    }
    let deadline = Instant::now() + EXIT_TIMEOUT;
    while active.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl NodeStage {
    /// Applies one step of the script.
    fn apply_step(&mut self, step: &NodeStep) -> Result<(), NodeDayError> {
        match step {
            NodeStep::List { engine, health } => self.publish(engine, |host| host["health"] = json!(health)),
            NodeStep::Start(engine) => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                self.publish(engine, |host| {
                    host["health"] = json!("SERVING");
                    host["born_ms"] = json!(now.as_millis() as u64);
                });
            }
            NodeStep::Reload(other) => {
                self.use_discovery(*other)?;
                self.signal(rustix::process::Signal::HUP)?;
            }
            NodeStep::Restart(other) => {
                // The configuration of the next process is in place when this one ends.
                self.use_discovery(*other)?;
                self.terminate()?;
                self.start_process()?;
            }
            NodeStep::Kill => {
                self.kills.push(Instant::now());
                if let Some(mut child) = self.child.take() {
                    child.kill().and_then(|()| child.wait()).map_err(io("node"))?;
                }
                self.start_process()?;
            }
            NodeStep::Silence(is_silent) => self.platform.discovery.set_silent(*is_silent),
        }
        Ok(())
    }

    /// Publishes a change of an engine's entry.
    fn publish(&self, engine: &str, change: impl FnOnce(&mut Value)) {
        let engines = self.platform.engines.iter().filter(|one| one.name == engine);
        // An engine that was deleted is listed as it was at the start.
        let first = Platform::host_list(&self.platform.engines, |_| "SERVING");
        let (_, newest) = self.platform.discovery.newest();
        let entry = newest.iter().chain(&first).find(|host| host["host"] == engine);
        if let (Some(entry), 1) = (entry, engines.count()) {
            let mut entry = entry.clone();
            change(&mut entry);
            self.platform.discovery.publish_change(vec![entry]);
        }
    }

    /// Writes a configuration that names another discovery.
    fn use_discovery(&mut self, other: OtherDiscovery) -> Result<(), NodeDayError> {
        let view = match other {
            OtherDiscovery::Behind(lag) => View { lag, number_offset: 0 },
            OtherDiscovery::Renumbered => {
                View { number_offset: self.platform.discovery.newest().0 - 1, ..View::default() }
            }
        };
        self.discovery = self.platform.discovery.start_replica_with(view).map_err(io("discovery"))?;
        self.write_config().map(|_| ())
    }

    /// Writes the configuration: it has the newest list, and names the discovery in use. The file is replaced in one step.
    fn write_config(&self) -> Result<(u64, Vec<Value>), NodeDayError> {
        let (version, hosts) = self.platform.discovery.newest();
        let mut config = self.platform.config(self.listen, self.discovery.addr, false);
        config["limits"]["sockets"] = json!(MAX_DESCRIPTORS);
        config["known"] = json!({"seq": version, "whole": true, "hosts": hosts});
        let (path, part) = (self.config_path(), self.dir.join("node.part"));
        std::fs::write(&part, config.to_string())
            .and_then(|()| std::fs::rename(&part, &path))
            .map_err(io(path.display().to_string()))?;
        Ok((version, hosts))
    }

    fn config_path(&self) -> PathBuf {
        self.dir.join("node.json")
    }

    /// Starts a process of the node and waits until it is ready.
    fn start_process(&mut self) -> Result<(), NodeDayError> {
        let (version, hosts) = self.write_config()?;
        let log_path = self.dir.join("node.log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&log_path);
        let log = log.map_err(io(log_path.display().to_string()))?;
        let child = Command::new(&self.program)
            .args(["--log-level", "info,may=warn,node=debug,discovery=debug,attempt=debug", "node"])
            .env("PROXY_CONFIG", self.config_path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(io(self.program.display().to_string()))?;
        let child = self.child.insert(child);
        let deadline = Instant::now() + READY_TIMEOUT;
        while !is_ready(self.listen) {
            let has_exited = !matches!(child.try_wait(), Ok(None));
            if has_exited || Instant::now() > deadline {
                return Err(NodeDayError::NotReady(log_path));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let hosts = hosts.iter().map(SentHost::from_entry).collect();
        self.known_lists.push(SentList { at: Instant::now(), version, is_whole: true, hosts });
        Ok(())
    }

    fn signal(&self, signal: rustix::process::Signal) -> Result<(), NodeDayError> {
        let pid = self.child.as_ref().and_then(|child| rustix::process::Pid::from_raw(child.id() as i32));
        match pid {
            Some(pid) => rustix::process::kill_process(pid, signal).map_err(|error| io("node")(error.into())),
            None => Ok(()),
        }
    }

    /// Ends the node with SIGTERM and waits until it has exited.
    fn terminate(&mut self) -> Result<(), NodeDayError> {
        self.signal(rustix::process::Signal::TERM)?;
        let Some(mut child) = self.child.take() else { return Ok(()) };
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().map_err(io("node"))? {
                self.is_clean &= status.success();
                return Ok(());
            }
            if Instant::now() > deadline {
                self.child = Some(child);
                return Err(NodeDayError::NotExited);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The lists that the node was told, in the order of their times.
    fn told_lists(&self) -> Vec<SentList> {
        let mut lists = self.platform.discovery.sent_lists();
        lists.extend(self.known_lists.iter().cloned());
        lists.sort_by_key(|list| list.at);
        lists
    }
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Whether the node answers that it is ready.
fn is_ready(addr: SocketAddr) -> bool {
    let to = elderstage_net::EndpointPath::new(addr, "/-/ready");
    elderstage_net::exchange("GET", &to, &[], b"", Duration::from_secs(1))
        .is_ok_and(|answer| answer.head.status == 200)
}
