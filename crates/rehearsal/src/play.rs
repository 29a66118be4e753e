//! Runs a day and reports on it.
//!
//! The mock servers and the clients run in this process, each front in a process of its own. The steps of the script
//! are applied at their times, while all traffic is logged. After the last request, the fronts are told to drain and the
//! log is checked against the rules. No process is left behind, whatever fails.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, unbounded};
use elderstage_config::{Config, RepeatName};
use elderstage_standin::host::Control;
use elderstage_standin::model::EngineFault;
use elderstage_standin::traffic::{Log, Record, TrafficEvent};
use thiserror::Error;

use crate::clients::{Clients, FrontTarget, RouteTimeout, lock, plan_requests};
use crate::day::{Day, Front, Step};
use crate::fleet::Fleet;
use crate::report::Report;
use crate::rules::{RepeatPolicy, RuleLimits, check_rules};

/// Longest time that a front takes to start.
const FRONT_START_TIMEOUT: Duration = Duration::from_secs(10);
/// How much longer than its drain timeout a front may take to exit, and how much longer than its route's timeout a
/// client may take.
const EXIT_GRACE: Duration = Duration::from_secs(8);
/// How long a load balancer goes on sending to a front that drains.
const BALANCER_DELAY: Duration = Duration::from_millis(300);
/// When an engine that was killed after a tool call is started again.
const ENGINE_RESTART_DELAY: Duration = Duration::from_secs(2);
/// How often the fronts are checked for their exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Wait after the last answer, in which the engines finish their remaining work.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum PlayError {
    /// An operation on a file, a process or a mock server failed.
    #[error("{what}: {error}")]
    Io {
        /// What failed: a file, a process or a mock server.
        what: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The script gives a configuration that fronts do not accept.
    #[error("the fronts' configuration is invalid:\n{0}")]
    Config(elderstage_config::ConfigErrors),
    /// A front did not start in time: its name, and the path of its log.
    #[error("front {0} did not start; see its log {1}")]
    FrontNotStarted(String, PathBuf),
}

/// Converts an I/O error; `what` names the file or the part that failed.
fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> PlayError {
    let what = what.into();
    move |error| PlayError::Io { what, error }
}

/// Options of a run.
pub struct RunOptions<'a> {
    /// The `elderstage` program, which is run for each front.
    pub program: &'a Path,
    /// Directory for the files of the run.
    pub dir: &'a Path,
    /// Called with the number of requests started so far.
    pub progress: &'a dyn Fn(u64),
}

/// The process of a front.
struct FrontProcess {
    child: Child,
    name: String,
}

/// State of a run, shared by its threads.
struct RunState {
    fleet: Fleet,
    /// State of each server in the current server list.
    listed: Mutex<BTreeMap<String, &'static str>>,
    log: Log,
    clients: Arc<Clients>,
    dir: PathBuf,
    program: PathBuf,
    fronts: Vec<Front>,
    drain_timeout_us: u64,
    running: Mutex<Vec<FrontProcess>>,
    /// How many engines are still to be killed after a tool call.
    kill_after_tool: AtomicU32,
    /// Whether all fronts exited in an orderly way and every step succeeded so far.
    is_clean: AtomicBool,
    /// Ends the thread that watches for exits.
    is_finished: AtomicBool,
}

/// Runs a day to its end and reports on it.
pub fn run_script(day: &Day, options: &RunOptions<'_>) -> Result<Report, PlayError> {
    elderstage_net::init(2);
    let (record_sender, records_seen) = unbounded();
    let traffic = options.dir.join("traffic.jsonl");
    let (log, writer) =
        Log::start(Some(&traffic), Some(record_sender)).map_err(io(traffic.display().to_string()))?;
    let fleet = Fleet::start(day.site.clone(), &log).map_err(io("stand-ins"))?;
    let text = fleet.front_config_text(&format!("    zone {}", day.fronts[0].zone), "servers.conf");
    let config = elderstage_config::parse("front.conf", &text).map_err(PlayError::Config)?;
    let state = Arc::new(RunState {
        listed: Mutex::new(fleet.initial_states.clone()),
        clients: Clients::new(log.clone(), route_timeouts(&config), day.load.retries),
        log,
        dir: options.dir.to_owned(),
        program: options.program.to_owned(),
        fronts: day.fronts.clone(),
        drain_timeout_us: day.drain_timeout_us,
        running: Mutex::default(),
        kill_after_tool: AtomicU32::new(0),
        is_clean: AtomicBool::new(true),
        is_finished: AtomicBool::new(false),
        fleet,
    });
    let result = run_day(day, options, &state, records_seen);
    state.is_finished.store(true, Ordering::SeqCst);
    // No process is left behind, whatever went wrong.
    for process in lock(&state.running).iter_mut() {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
    state.fleet.stop();
    let records = writer.finish().map_err(io("traffic"))?;
    result?;
    let tallies = lock(&state.clients.tallies).clone();
    let verdicts = check_rules(&records, &rule_limits(&config));
    Ok(Report::new(day, &records, tallies, verdicts, state.is_clean.load(Ordering::SeqCst)))
}

/// Starts the fronts, applies the steps, runs all requests and ends the fronts.
fn run_day(
    day: &Day,
    options: &RunOptions<'_>,
    state: &Arc<RunState>,
    records_seen: Receiver<Record>,
) -> Result<(), PlayError> {
    state.write_list()?;
    for (number, front) in day.fronts.iter().enumerate() {
        let target = state.start_front(number, front)?;
        lock(&state.clients.fronts).push(target);
    }
    {
        let state = state.clone();
        std::thread::spawn(move || state.watch_traffic(&records_seen));
    }
    {
        // Exits of fronts are logged when they happen, because the rules depend on their times.
        let state = state.clone();
        std::thread::spawn(move || {
            while !state.is_finished.load(Ordering::SeqCst) {
                state.record_exits();
                std::thread::sleep(EXIT_POLL_INTERVAL);
            }
        });
    }
    let started = Instant::now();
    let step_thread = {
        let (state, steps) = (state.clone(), day.steps.clone());
        std::thread::spawn(move || {
            for (at, step) in steps {
                std::thread::sleep((started + at).saturating_duration_since(Instant::now()));
                state.log.record("hand", TrafficEvent::Fault { what: format!("{step:?}") });
                if let Err(error) = state.apply_step(&step) {
                    state.log.record("hand", TrafficEvent::Fault { what: error.to_string() });
                    state.is_clean.store(false, Ordering::SeqCst);
                }
            }
        })
    };
    for planned in plan_requests(&day.load, day.seed) {
        std::thread::sleep((started + planned.starts_at).saturating_duration_since(Instant::now()));
        (options.progress)(planned.number + 1);
        state.clients.start_request(planned);
    }
    let longest_timeout =
        state.clients.route_timeouts.values().map(|timeout| timeout.total).max().unwrap_or_default();
    let attempts = day.load.retries + 1;
    let deadline = Instant::now() + (longest_timeout + EXIT_GRACE) * attempts;
    while state.clients.active.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    if step_thread.join().is_err() {
        state.is_clean.store(false, Ordering::SeqCst);
    }
    std::thread::sleep(SETTLE_TIME);
    for index in 0..day.fronts.len() {
        state.terminate(index)?;
    }
    let deadline = Instant::now() + FRONT_START_TIMEOUT + EXIT_GRACE;
    loop {
        if lock(&state.running).is_empty() {
            return Ok(());
        }
        if Instant::now() > deadline {
            state.is_clean.store(false, Ordering::SeqCst);
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Class and timeout of each route, for the clients.
fn route_timeouts(config: &Config) -> BTreeMap<String, RouteTimeout> {
    let timeout = |route: &elderstage_config::RouteConfig| {
        let class = config.classes.iter().find(|class| class.name == route.class)?;
        let total = Duration::from_micros(class.total);
        Some((route.name.clone(), RouteTimeout { class: class.name.clone(), total }))
    };
    config.routes.iter().filter_map(timeout).collect()
}

/// The limits for the rules, from the fronts' configuration.
pub fn rule_limits(config: &Config) -> RuleLimits {
    let policy = |repeat| match repeat {
        RepeatName::Safe => RepeatPolicy::Safe,
        RepeatName::Unsafe => RepeatPolicy::Unsafe,
        RepeatName::Keyed { memory, .. } => RepeatPolicy::Keyed { memory_us: memory },
    };
    RuleLimits {
        classes: config.classes.iter().map(|class| (class.name.clone(), policy(class.repeat))).collect(),
        answer_slack_us: config.rules.answer_slack,
        drain_grace_us: config.rules.drain_grace,
        release_deadline_us: config.rules.release_time_limit,
        connect_timeout_us: config.rules.connect_timeout,
        list_delay_us: 150_000,
    }
}

impl RunState {
    /// Writes the server list that the fronts follow. The file is replaced in one step.
    fn write_list(&self) -> Result<(), PlayError> {
        let listed = lock(&self.listed);
        let text = self.fleet.server_list_text(&listed);
        let path = self.dir.join("servers.conf");
        let part = self.dir.join("servers.part");
        std::fs::write(&part, text)
            .and_then(|()| std::fs::rename(&part, &path))
            .map_err(io(path.display().to_string()))?;
        let servers = listed.iter().map(|(name, state)| (name.clone(), (*state).to_owned())).collect();
        self.log.record("hand", TrafficEvent::Listed { servers });
        Ok(())
    }

    // ---- Fronts ----

    /// Starts a front's process and waits until it listens.
    fn start_front(&self, number: usize, front: &Front) -> Result<FrontTarget, PlayError> {
        let name = &front.name;
        let section = format!(
            "    listen 127.0.0.1:0\n    name {name}\n    zone {}\n    number {number}\n    fronts {}\n    drain {}us",
            front.zone,
            self.fronts.len(),
            self.drain_timeout_us
        );
        let path = self.dir.join(format!("{name}.conf"));
        std::fs::write(&path, self.fleet.front_config_text(&section, "servers.conf"))
            .map_err(io(path.display().to_string()))?;
        let addr_file = self.dir.join(format!("{name}.addr"));
        // An earlier process of this front may have left the file.
        let _ = std::fs::remove_file(&addr_file);
        let log_path = self.dir.join(format!("{name}.log"));
        let log_file = std::fs::OpenOptions::new().create(true).append(true).open(&log_path);
        let log_file = log_file.map_err(io(log_path.display().to_string()))?;
        let child = Command::new(&self.program)
            .args(["serve", "--log", "json", "--log-level", "info,may=warn,request=debug", "--seed"])
            .arg((number + 1).to_string())
            .arg("--config")
            .arg(&path)
            .arg("--addr-file")
            .arg(&addr_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(io(self.program.display().to_string()))?;
        lock(&self.running).push(FrontProcess { child, name: name.clone() });
        let deadline = Instant::now() + FRONT_START_TIMEOUT;
        let addr: SocketAddr = loop {
            if let Some(addr) = std::fs::read_to_string(&addr_file).ok().and_then(|text| text.parse().ok()) {
                break addr;
            }
            if Instant::now() > deadline {
                return Err(PlayError::FrontNotStarted(name.clone(), log_path));
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let session =
            Clients::initialize(addr).map_err(|_| PlayError::FrontNotStarted(name.clone(), log_path))?;
        self.log.record("hand", TrafficEvent::Front { front: name.clone(), what: "started".into() });
        Ok(FrontTarget { name: name.clone(), addr, session, is_enabled: true })
    }

    /// Index of a front in the script.
    fn front_index(&self, name: &str) -> usize {
        self.fronts.iter().position(|front| front.name == name).unwrap_or(0)
    }

    /// Makes the clients send no new requests to a front.
    fn disable_front(&self, index: usize) {
        if let Some(target) = lock(&self.clients.fronts).get_mut(index) {
            target.is_enabled = false;
        }
    }

    /// Sends SIGTERM to a front.
    fn terminate(&self, index: usize) -> Result<(), PlayError> {
        let name = &self.fronts[index].name;
        let running = lock(&self.running);
        if let Some(process) = running.iter().rev().find(|process| process.name == *name) {
            self.log
                .record("hand", TrafficEvent::Front { front: name.clone(), what: "told to drain".into() });
            if let Some(pid) = rustix::process::Pid::from_raw(process.child.id() as i32) {
                let term = rustix::process::Signal::TERM;
                rustix::process::kill_process(pid, term).map_err(|error| io(name.clone())(error.into()))?;
            }
        }
        Ok(())
    }

    /// Logs the fronts that have exited. A crash makes the run unclean.
    fn record_exits(&self) {
        lock(&self.running).retain_mut(|process| match process.child.try_wait() {
            Ok(Some(status)) => {
                let what = if status.code().is_some() { "ended" } else { "killed" };
                self.log
                    .record("hand", TrafficEvent::Front { front: process.name.clone(), what: what.into() });
                // Exit code 0: all requests had ended when the front stopped. 3: some had to be aborted. Any other
                // code is a crash.
                if !matches!(status.code(), None | Some(0 | 3)) {
                    self.is_clean.store(false, Ordering::SeqCst);
                }
                false
            }
            _ => true,
        });
    }

    // ---- Steps ----

    /// Sends a control call to an engine. An unknown engine is ignored.
    fn control(&self, engine: &str, control: Control) -> Result<(), PlayError> {
        match self.fleet.hosts.get(engine) {
            Some(host) => host.control(control).map_err(io(engine)),
            None => Ok(()),
        }
    }

    /// Changes some of an engine's faults and keeps the others.
    fn change_faults(
        &self,
        engine: &str,
        change: impl Fn(&mut elderstage_standin::host::SocketFaults),
    ) -> Result<(), PlayError> {
        let Some(host) = self.fleet.hosts.get(engine) else { return Ok(()) };
        let mut faults = host.faults();
        change(&mut faults);
        host.control(Control::SocketFaults(faults)).map_err(io(engine))
    }

    /// Starts an engine, and writes a server list with its new start time.
    fn start_engine(&self, engine: &str, cold: bool) -> Result<(), PlayError> {
        self.control(engine, Control::Start { cold })?;
        self.write_list()
    }

    /// Applies one step of the script.
    fn apply_step(self: &Arc<Self>, step: &Step) -> Result<(), PlayError> {
        match step {
            Step::Hang(engine) => self.control(engine, Control::EngineFault(Some(EngineFault::Hang))),
            Step::Slow(engine, times) => {
                self.control(engine, Control::EngineFault(Some(EngineFault::Slow(*times))))
            }
            Step::Unanswered(engine, class) => {
                self.control(engine, Control::EngineFault(Some(EngineFault::ClassUnanswered(class.clone()))))
            }
            Step::Well(engine) => self.control(engine, Control::EngineFault(None)),
            Step::Flush(engine) => self.control(engine, Control::ClearPrefixCache),
            Step::Kill(engine) => self.control(engine, Control::Kill),
            Step::Start { engine, cold } => self.start_engine(engine, *cold),
            Step::Full(engine, on) => self.change_faults(engine, |faults| faults.rejects_as_full = *on),
            Step::TableFull(engine, on) => {
                self.change_faults(engine, |faults| faults.closes_new_connections = *on)
            }
            Step::Freeze(engine, on) => self.change_faults(engine, |faults| faults.reports_frozen = *on),
            Step::Handshake(engine, time) => {
                self.change_faults(engine, |faults| faults.handshake_delay = *time)
            }
            Step::Address { engine, way, fault } => {
                self.fleet.set_address_fault(engine.as_deref(), *way, *fault).map_err(io("address"))
            }
            Step::Cut(zone, on) => {
                for engine in &self.fleet.site.engines {
                    let others =
                        self.fleet.site.zones.iter().filter(|other| {
                            if engine.zone == *zone { *other != zone } else { *other == zone }
                        });
                    let others: Vec<String> = others.cloned().collect();
                    self.change_faults(&engine.name, |faults| {
                        faults.partitioned_zones = if *on { others.clone() } else { Vec::new() };
                    })?;
                }
                Ok(())
            }
            Step::Break { engine, streams, after } => self.change_faults(engine, |faults| {
                (faults.streams_to_break, faults.break_after_tokens) = (*streams, *after);
            }),
            Step::Ending(engine, ending) => {
                self.change_faults(engine, |faults| faults.stream_ending = *ending)
            }
            Step::SlowLinks(times) => {
                for engine in &self.fleet.site.engines {
                    self.change_faults(&engine.name, |faults| faults.link_slowdown = *times)?;
                }
                Ok(())
            }
            Step::Tool(fault) => {
                self.fleet.tools.set_fault(fault.clone());
                Ok(())
            }
            Step::ToolKill => {
                self.fleet.tools.kill();
                Ok(())
            }
            Step::ToolStart => self.fleet.tools.restart().map_err(io("tool server")),
            Step::List(server, state) => {
                lock(&self.listed).insert(server.clone(), state);
                self.write_list()
            }
            Step::FrontTerm(name) => {
                let index = self.front_index(name);
                self.terminate(index)?;
                let state = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(BALANCER_DELAY);
                    state.disable_front(index);
                });
                Ok(())
            }
            Step::FrontKill(name) => {
                let index = self.front_index(name);
                self.disable_front(index);
                let mut running = lock(&self.running);
                if let Some(at) = running.iter().rposition(|process| process.name == *name) {
                    let mut process = running.remove(at);
                    self.log
                        .record("hand", TrafficEvent::Front { front: name.clone(), what: "killed".into() });
                    process.child.kill().and_then(|()| process.child.wait()).map_err(io(name.clone()))?;
                }
                Ok(())
            }
            Step::FrontStart(name) => {
                let index = self.front_index(name);
                let target = self.start_front(index, &self.fronts[index].clone())?;
                if let Some(old) = lock(&self.clients.fronts).get_mut(index) {
                    *old = target;
                }
                Ok(())
            }
            Step::KillAfterTool(times) => {
                self.kill_after_tool.fetch_add(*times, Ordering::SeqCst);
                Ok(())
            }
        }
    }

    /// Reacts to the traffic: lets clients cancel during a tool call, and kills writers after one.
    fn watch_traffic(self: &Arc<Self>, records_seen: &Receiver<Record>) {
        let mut had_tool_effect: HashSet<String> = HashSet::new();
        while let Ok(record) = records_seen.recv() {
            match &record.what {
                TrafficEvent::ToolReceived { rid, .. } => {
                    self.clients.on_tool_call(crate::rules::client_request_id(rid))
                }
                TrafficEvent::ToolRan { rid, effect: true, .. }
                    if self.kill_after_tool.load(Ordering::SeqCst) > 0 =>
                {
                    had_tool_effect.insert(crate::rules::client_request_id(rid).to_owned());
                }
                TrafficEvent::Received { rid, task, .. }
                    if task != "read" && had_tool_effect.remove(crate::rules::client_request_id(rid)) =>
                {
                    self.kill_writer(&record.who);
                }
                _ => {}
            }
        }
    }

    /// Kills an engine after a tool call, if the script still asks for it, and starts it again later.
    fn kill_writer(self: &Arc<Self>, engine: &str) {
        let remaining = self.kill_after_tool.load(Ordering::SeqCst);
        if remaining == 0 || !self.fleet.hosts.contains_key(engine) {
            return;
        }
        self.kill_after_tool.store(remaining - 1, Ordering::SeqCst);
        self.log.record("hand", TrafficEvent::Fault { what: format!("{engine} dies after a tool call") });
        let kill_result = self.control(engine, Control::Kill);
        let (state, engine) = (self.clone(), engine.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(ENGINE_RESTART_DELAY);
            if kill_result.and_then(|()| state.start_engine(&engine, true)).is_err() {
                state.is_clean.store(false, Ordering::SeqCst);
            }
        });
    }
}
