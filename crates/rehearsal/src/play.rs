//! Plays a day: stand-ins in this process, fronts as processes, clients, faults at their times; then the judging.

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
use elderstage_standin::model::Ail;
use elderstage_standin::traffic::{Log, Record, Seen};
use thiserror::Error;

use crate::clients::{Clients, Door, Promise, lock, plan};
use crate::day::{Day, Front, Step};
use crate::fleet::Fleet;
use crate::report::Report;
use crate::rules::{Figures, RepeatPolicy, judge};

/// A front's start, and its end beyond its time to drain, take no longer.
const START: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(8);
/// A balancer goes on sending to a front that drains for so long.
const NOTICE: Duration = Duration::from_millis(300);
/// An engine that was killed by the writer's fault comes back after this time.
const BACK: Duration = Duration::from_secs(2);
/// How often ended fronts are looked for.
const REAP: Duration = Duration::from_millis(10);
/// After the last answer, what is still under way at the engines comes to its end.
const SETTLE: Duration = Duration::from_millis(800);

#[derive(Debug, Error)]
pub enum PlayError {
    #[error("{what}: {error}")]
    Io { what: String, error: std::io::Error },
    #[error("the fronts' configuration does not load:\n{0}")]
    Config(elderstage_config::Errors),
    #[error("front {0} did not start; its log is {1}")]
    NoFront(String, PathBuf),
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> PlayError {
    let what = what.into();
    move |error| PlayError::Io { what, error }
}

/// Where and how a day is played.
pub struct Options<'a> {
    /// The `elderstage` program, run as the fronts.
    pub program: &'a Path,
    /// Takes the files of the run.
    pub dir: &'a Path,
    /// Told how many of the requests have been begun.
    pub progress: &'a dyn Fn(u64),
}

struct Process {
    child: Child,
    name: String,
}

/// All that the hands of a day work on.
struct Stage {
    fleet: Fleet,
    listed: Mutex<BTreeMap<String, &'static str>>,
    log: Log,
    clients: Arc<Clients>,
    dir: PathBuf,
    program: PathBuf,
    fronts: Vec<Front>,
    running: Mutex<Vec<Process>>,
    kill_after_tool: AtomicU32,
    clean: AtomicBool,
    over: AtomicBool,
}

/// Plays a day and judges it.
pub fn play(day: &Day, options: &Options<'_>) -> Result<Report, PlayError> {
    elderstage_net::init(2);
    let (tap, tapped) = unbounded();
    let traffic = options.dir.join("traffic.jsonl");
    let (log, writer) = Log::start(Some(&traffic), Some(tap)).map_err(io(traffic.display().to_string()))?;
    let fleet = Fleet::start(day.site.clone(), &log).map_err(io("stand-ins"))?;
    let text = fleet.config(&format!("    zone {}", day.fronts[0].zone), "servers.conf");
    let config = elderstage_config::parse("front.conf", &text).map_err(PlayError::Config)?;
    let stage = Arc::new(Stage {
        listed: Mutex::new(fleet.listed.clone()),
        clients: Clients::new(log.clone(), promises(&config), day.load.retries),
        log,
        dir: options.dir.to_owned(),
        program: options.program.to_owned(),
        fronts: day.fronts.clone(),
        running: Mutex::default(),
        kill_after_tool: AtomicU32::new(0),
        clean: AtomicBool::new(true),
        over: AtomicBool::new(false),
        fleet,
    });
    let played = run(day, options, &stage, tapped);
    stage.over.store(true, Ordering::SeqCst);
    // Whatever went wrong, no process is left behind.
    for process in lock(&stage.running).iter_mut() {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
    stage.fleet.stop();
    let records = writer.finish().map_err(io("traffic"))?;
    played?;
    let tallies = lock(&stage.clients.tallies).clone();
    let verdicts = judge(&records, &figures(&config));
    Ok(Report::new(day, &records, tallies, verdicts, stage.clean.load(Ordering::SeqCst)))
}

fn run(
    day: &Day,
    options: &Options<'_>,
    stage: &Arc<Stage>,
    tapped: Receiver<Record>,
) -> Result<(), PlayError> {
    stage.write_list()?;
    for (number, front) in day.fronts.iter().enumerate() {
        let door = stage.start_front(number, front)?;
        lock(&stage.clients.doors).push(door);
    }
    {
        let stage = stage.clone();
        std::thread::spawn(move || stage.watch(&tapped));
    }
    {
        // Ends of fronts are noted when they happen: the rules ask whether a front was there.
        let stage = stage.clone();
        std::thread::spawn(move || {
            while !stage.over.load(Ordering::SeqCst) {
                stage.reap();
                std::thread::sleep(REAP);
            }
        });
    }
    let begun = Instant::now();
    let hand = {
        let (stage, steps) = (stage.clone(), day.steps.clone());
        std::thread::spawn(move || {
            for (at, step) in steps {
                std::thread::sleep((begun + at).saturating_duration_since(Instant::now()));
                stage.log.see("hand", Seen::Fault { what: format!("{step:?}") });
                if let Err(error) = stage.step(&step) {
                    stage.log.see("hand", Seen::Fault { what: error.to_string() });
                    stage.clean.store(false, Ordering::SeqCst);
                }
            }
        })
    };
    for planned in plan(&day.load, day.seed) {
        std::thread::sleep((begun + planned.at).saturating_duration_since(Instant::now()));
        (options.progress)(planned.number + 1);
        stage.clients.begin(planned);
    }
    let longest = stage.clients.promises.values().map(|promise| promise.total).max().unwrap_or_default();
    let tries = day.load.retries + 1;
    let end = Instant::now() + (longest + END) * tries;
    while stage.clients.active.load(Ordering::SeqCst) > 0 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
    }
    if hand.join().is_err() {
        stage.clean.store(false, Ordering::SeqCst);
    }
    std::thread::sleep(SETTLE);
    for index in 0..day.fronts.len() {
        stage.terminate(index)?;
    }
    let end = Instant::now() + START + END;
    loop {
        if lock(&stage.running).is_empty() {
            return Ok(());
        }
        if Instant::now() > end {
            stage.clean.store(false, Ordering::SeqCst);
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn promises(config: &Config) -> BTreeMap<String, Promise> {
    let promise = |route: &elderstage_config::RouteConfig| {
        let class = config.classes.iter().find(|class| class.name == route.class)?;
        let total = Duration::from_micros(class.total);
        Some((route.name.clone(), Promise { class: class.name.clone(), total }))
    };
    config.routes.iter().filter_map(promise).collect()
}

/// The rules' figures, as the fronts have them.
pub fn figures(config: &Config) -> Figures {
    let repeat = |repeat| match repeat {
        RepeatName::Safe => RepeatPolicy::Safe,
        RepeatName::Unsafe => RepeatPolicy::Unsafe,
        RepeatName::Keyed { memory, .. } => RepeatPolicy::Keyed { memory_us: memory },
    };
    Figures {
        classes: config.classes.iter().map(|class| (class.name.clone(), repeat(class.repeat))).collect(),
        answer_slack_us: config.rules.answer_slack,
        drain_grace_us: config.rules.drain_grace,
        release_deadline_us: config.rules.let_go,
        connect_timeout_us: config.rules.connect,
        list_delay_us: 150_000,
    }
}

impl Stage {
    fn write_list(&self) -> Result<(), PlayError> {
        let listed = lock(&self.listed);
        let text = self.fleet.servers(&listed);
        let path = self.dir.join("servers.conf");
        let half = self.dir.join("servers.part");
        std::fs::write(&half, text)
            .and_then(|()| std::fs::rename(&half, &path))
            .map_err(io(path.display().to_string()))?;
        let servers = listed.iter().map(|(name, state)| (name.clone(), (*state).to_owned())).collect();
        self.log.see("hand", Seen::Listed { servers });
        Ok(())
    }

    // ---- Fronts ----

    fn start_front(&self, number: usize, front: &Front) -> Result<Door, PlayError> {
        let name = &front.name;
        let section = format!(
            "    listen 127.0.0.1:0\n    name {name}\n    zone {}\n    number {number}\n    fronts {}\n    drain 10s",
            front.zone,
            self.fronts.len()
        );
        let path = self.dir.join(format!("{name}.conf"));
        std::fs::write(&path, self.fleet.config(&section, "servers.conf"))
            .map_err(io(path.display().to_string()))?;
        let addr_file = self.dir.join(format!("{name}.addr"));
        // It may stand there from an earlier process of this front.
        let _ = std::fs::remove_file(&addr_file);
        let log_path = self.dir.join(format!("{name}.log"));
        let out = std::fs::OpenOptions::new().create(true).append(true).open(&log_path);
        let out = out.map_err(io(log_path.display().to_string()))?;
        let child = Command::new(&self.program)
            .args(["serve", "--log", "json", "--log-level", "info,may=warn,request=debug", "--seed"])
            .arg((number + 1).to_string())
            .arg("--config")
            .arg(&path)
            .arg("--addr-file")
            .arg(&addr_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out)
            .spawn()
            .map_err(io(self.program.display().to_string()))?;
        lock(&self.running).push(Process { child, name: name.clone() });
        let end = Instant::now() + START;
        let addr: SocketAddr = loop {
            if let Some(addr) = std::fs::read_to_string(&addr_file).ok().and_then(|text| text.parse().ok()) {
                break addr;
            }
            if Instant::now() > end {
                return Err(PlayError::NoFront(name.clone(), log_path));
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let session = Clients::initialize(addr).map_err(|_| PlayError::NoFront(name.clone(), log_path))?;
        self.log.see("hand", Seen::Front { front: name.clone(), what: "started".into() });
        Ok(Door { name: name.clone(), addr, session, open: true })
    }

    fn index(&self, name: &str) -> usize {
        self.fronts.iter().position(|front| front.name == name).unwrap_or(0)
    }

    fn close_door(&self, index: usize) {
        if let Some(door) = lock(&self.clients.doors).get_mut(index) {
            door.open = false;
        }
    }

    fn terminate(&self, index: usize) -> Result<(), PlayError> {
        let name = &self.fronts[index].name;
        let running = lock(&self.running);
        if let Some(process) = running.iter().rev().find(|process| process.name == *name) {
            self.log.see("hand", Seen::Front { front: name.clone(), what: "told to drain".into() });
            if let Some(pid) = rustix::process::Pid::from_raw(process.child.id() as i32) {
                let term = rustix::process::Signal::TERM;
                rustix::process::kill_process(pid, term).map_err(|error| io(name.clone())(error.into()))?;
            }
        }
        Ok(())
    }

    /// Notes which fronts have ended, and whether they ended well.
    fn reap(&self) {
        lock(&self.running).retain_mut(|process| match process.child.try_wait() {
            Ok(Some(status)) => {
                let what = if status.code().is_some() { "ended" } else { "killed" };
                self.log.see("hand", Seen::Front { front: process.name.clone(), what: what.into() });
                // 0: all had ended by themselves; 3: some had to be ended. Anything else is a crash.
                if !matches!(status.code(), None | Some(0 | 3)) {
                    self.clean.store(false, Ordering::SeqCst);
                }
                false
            }
            _ => true,
        });
    }

    // ---- Steps ----

    fn control(&self, engine: &str, control: Control) -> Result<(), PlayError> {
        match self.fleet.hosts.get(engine) {
            Some(host) => host.control(control).map_err(io(engine)),
            None => Ok(()),
        }
    }

    fn faults(
        &self,
        engine: &str,
        change: impl Fn(&mut elderstage_standin::host::Faults),
    ) -> Result<(), PlayError> {
        let Some(host) = self.fleet.hosts.get(engine) else { return Ok(()) };
        let mut faults = host.faults();
        change(&mut faults);
        host.control(Control::Faults(faults)).map_err(io(engine))
    }

    fn start_engine(&self, engine: &str, cold: bool) -> Result<(), PlayError> {
        self.control(engine, Control::Start { cold })?;
        self.write_list()
    }

    fn step(self: &Arc<Self>, step: &Step) -> Result<(), PlayError> {
        match step {
            Step::Hang(engine) => self.control(engine, Control::Ail(Some(Ail::Hang))),
            Step::Slow(engine, times) => self.control(engine, Control::Ail(Some(Ail::Slow(*times)))),
            Step::Unanswered(engine, class) => {
                self.control(engine, Control::Ail(Some(Ail::ClassUnanswered(class.clone()))))
            }
            Step::Well(engine) => self.control(engine, Control::Ail(None)),
            Step::Flush(engine) => self.control(engine, Control::Flush),
            Step::Kill(engine) => self.control(engine, Control::Kill),
            Step::Start { engine, cold } => self.start_engine(engine, *cold),
            Step::Full(engine, on) => self.faults(engine, |faults| faults.full = *on),
            Step::TableFull(engine, on) => self.faults(engine, |faults| faults.table_full = *on),
            Step::Freeze(engine, on) => self.faults(engine, |faults| faults.frozen = *on),
            Step::Handshake(engine, time) => self.faults(engine, |faults| faults.handshake = *time),
            Step::Address { engine, way, fault } => {
                self.fleet.fault(engine.as_deref(), *way, *fault).map_err(io("address"))
            }
            Step::Cut(zone, on) => {
                for engine in &self.fleet.site.engines {
                    let others =
                        self.fleet.site.zones.iter().filter(|other| {
                            if engine.zone == *zone { *other != zone } else { *other == zone }
                        });
                    let others: Vec<String> = others.cloned().collect();
                    self.faults(&engine.name, |faults| {
                        faults.cut = if *on { others.clone() } else { Vec::new() };
                    })?;
                }
                Ok(())
            }
            Step::Break { engine, streams, after } => self.faults(engine, |faults| {
                (faults.break_next, faults.break_after) = (*streams, *after);
            }),
            Step::SlowLinks(times) => {
                for engine in &self.fleet.site.engines {
                    self.faults(&engine.name, |faults| faults.slow_links = *times)?;
                }
                Ok(())
            }
            Step::Tool(fault) => {
                self.fleet.tools.fault(fault.clone());
                Ok(())
            }
            Step::ToolKill => {
                self.fleet.tools.kill();
                Ok(())
            }
            Step::ToolStart => self.fleet.tools.revive().map_err(io("tool server")),
            Step::List(server, state) => {
                lock(&self.listed).insert(server.clone(), state);
                self.write_list()
            }
            Step::FrontTerm(name) => {
                let index = self.index(name);
                self.terminate(index)?;
                let stage = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(NOTICE);
                    stage.close_door(index);
                });
                Ok(())
            }
            Step::FrontKill(name) => {
                let index = self.index(name);
                self.close_door(index);
                let mut running = lock(&self.running);
                if let Some(at) = running.iter().rposition(|process| process.name == *name) {
                    let mut process = running.remove(at);
                    self.log.see("hand", Seen::Front { front: name.clone(), what: "killed".into() });
                    process.child.kill().and_then(|()| process.child.wait()).map_err(io(name.clone()))?;
                }
                Ok(())
            }
            Step::FrontStart(name) => {
                let index = self.index(name);
                let door = self.start_front(index, &self.fronts[index].clone())?;
                if let Some(old) = lock(&self.clients.doors).get_mut(index) {
                    *old = door;
                }
                Ok(())
            }
            Step::KillAfterTool(times) => {
                self.kill_after_tool.fetch_add(*times, Ordering::SeqCst);
                Ok(())
            }
        }
    }

    /// Acts on what is seen: clients that cancel during a call, writers that die after one.
    fn watch(self: &Arc<Self>, tapped: &Receiver<Record>) {
        let mut after_tool: HashSet<String> = HashSet::new();
        while let Ok(record) = tapped.recv() {
            match &record.what {
                Seen::ToolReceived { rid, .. } => {
                    self.clients.tool_called(crate::rules::client_request_id(rid))
                }
                Seen::ToolRan { rid, effect: true, .. }
                    if self.kill_after_tool.load(Ordering::SeqCst) > 0 =>
                {
                    after_tool.insert(crate::rules::client_request_id(rid).to_owned());
                }
                Seen::Received { rid, task, .. }
                    if task != "read" && after_tool.remove(crate::rules::client_request_id(rid)) =>
                {
                    self.kill_writer(&record.who);
                }
                _ => {}
            }
        }
    }

    fn kill_writer(self: &Arc<Self>, engine: &str) {
        let left = self.kill_after_tool.load(Ordering::SeqCst);
        if left == 0 || !self.fleet.hosts.contains_key(engine) {
            return;
        }
        self.kill_after_tool.store(left - 1, Ordering::SeqCst);
        self.log.see("hand", Seen::Fault { what: format!("{engine} dies after a tool call") });
        let killed = self.control(engine, Control::Kill);
        let (stage, engine) = (self.clone(), engine.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(BACK);
            if killed.and_then(|()| stage.start_engine(&engine, true)).is_err() {
                stage.clean.store(false, Ordering::SeqCst);
            }
        });
    }
}
