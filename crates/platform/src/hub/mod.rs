//! The state of a front node: what has happened on its sockets becomes the module's events, and the module's actions
//! become commands for sockets. One owner drives it; it does no I/O and is told the time.

mod messages;
mod release;
mod requests;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use elderstage::{
    Action, Event, ListMode, Outcome, Repeat, ReportField, ReqId, Role, Router, ServerId, Settings, Time,
};

use crate::counting::{Counting, End};
use crate::engine_start::EngineStarts;
use crate::leases::Leases;
use crate::list::{Directory, Host, List};
use crate::reach::Reach;
use crate::report;

pub use messages::{Command, Counts, Input, Last};
use release::WaveDue;
use requests::AttemptEnd;

#[derive(Debug)]
struct Out {
    attempt: u32,
    server: ServerId,
    dial: Option<SocketAddr>,
    sent: Time,
    /// It reads a prompt and leaves a state behind.
    reads: bool,
}

#[derive(Debug)]
struct Open {
    trace: Box<str>,
    /// May run any number of times.
    safe: bool,
    attempts: u32,
    last_outcome: Option<Outcome>,
    out: Option<Out>,
    streaming: bool,
    /// Answered, or its client has gone.
    over: bool,
}

/// The state of a front node.
pub struct Hub {
    router: Router,
    fields: Vec<ReportField>,
    roles: Vec<Role>,
    /// By class: it may run any number of times.
    safe: Vec<bool>,
    directory: Directory,
    engine_starts: EngineStarts,
    /// Servers whose role is to read.
    readers: HashMap<ServerId, bool>,
    open: BTreeMap<ReqId, Open>,
    ids: HashMap<Box<str>, ReqId>,
    leases: Leases,
    reach: Reach,
    /// This node's zone, and the time that the settings give to let go.
    zone: u32,
    let_go_by: Time,
    /// When the next wave of a release is due.
    waves: BinaryHeap<Reverse<WaveDue>>,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counts: Counts,
    /// For an agent beside this node; `None` where nobody asked for it.
    counting: Option<Counting>,
}

impl Hub {
    pub fn new(settings: Settings, seed: u64) -> Hub {
        Hub {
            fields: settings.report_fields.clone(),
            roles: settings.roles.clone(),
            safe: settings.classes.iter().map(|class| class.repeat == Repeat::Safe).collect(),
            directory: Directory::default(),
            engine_starts: EngineStarts::default(),
            readers: HashMap::new(),
            open: BTreeMap::new(),
            ids: HashMap::new(),
            leases: Leases::default(),
            reach: Reach::default(),
            zone: settings.zone,
            let_go_by: settings.let_go_by,
            waves: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counts: Counts::default(),
            counting: None,
            router: Router::new(settings, seed),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Counts by class from now on, for an agent beside this node.
    pub fn count(&mut self, counting: Counting) {
        self.counting = Some(counting);
    }

    pub fn counting(&mut self) -> Option<&mut Counting> {
        self.counting.as_mut()
    }

    /// Requests that are open, and requests for which something may be held.
    pub fn held(&self) -> (usize, usize) {
        (self.open.len(), self.leases.len())
    }

    /// Servers that the module's passes over the list have looked at since the start.
    pub fn examined(&self) -> u64 {
        self.router.examined()
    }

    /// Releases that have not been heard yet.
    pub fn letting_go(&self) -> usize {
        self.leases.letting_go()
    }

    pub fn servers(&self) -> usize {
        self.directory.len()
    }

    /// By address, the attempts that the module counts there: what a trace compares with open sockets.
    pub fn in_flight(&self) -> BTreeMap<SocketAddr, usize> {
        let mut by = BTreeMap::new();
        for dial in self.open.values().filter_map(|open| open.out.as_ref()?.dial) {
            *by.entry(dial).or_insert(0) += 1;
        }
        by
    }

    pub fn next_timer(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let wave = self.waves.peek().map(|Reverse(due)| due.at);
        timer.into_iter().chain(wave).min()
    }

    /// Called at or after the time of the next timer.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(Reverse((at, name))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.events.push_back(Event::Timer { name });
        }
        while self.waves.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(WaveDue { id, holder, round, wave, .. })) = self.waves.pop() else { break };
            if let Some(call) = self.leases.due(id, &holder, round, wave, now) {
                self.counts.releases_again += 1;
                self.call(now, id, call, out);
            }
        }
        self.run(now, out);
    }

    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::Arrived { id, ask } => self.arrived(now, id, ask, out),
            Input::Gone { id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|open| !open.over) {
                    open.over = true;
                    self.counts.gone += 1;
                    if let Some(counting) = &mut self.counting {
                        counting.end(now, id, End::Gone);
                    }
                    self.events.push_back(Event::ClientGone { id });
                }
            }
            Input::First { id, attempt } => self.first(now, id, attempt),
            Input::Ended { id, attempt, outcome, note, report, events } => {
                self.ended(now, AttemptEnd { id, attempt, outcome, note, report, events });
            }
            Input::Probed { server, outcome, report } => {
                self.outcome(&server, outcome, now);
                let load = report.as_deref().and_then(|text| report::parse(text, &self.fields));
                self.counts.probes_unread += u64::from(load.is_none());
                self.events.push_back(Event::Probed { server, outcome, took: 0, load });
            }
            Input::WallClock { ahead } => self.engine_starts.wall_clock(ahead),
            Input::Listed { list, restored } => self.listed(now, list, restored, out),
            Input::Stopping { within } => self.events.push_back(Event::Stopping { within }),
            Input::Settings { settings } => {
                self.fields = settings.report_fields.clone();
                self.roles = settings.roles.clone();
                self.safe = settings.classes.iter().map(|class| class.repeat == Repeat::Safe).collect();
                (self.zone, self.let_go_by) = (settings.zone, settings.let_go_by);
                self.router.adopt(*settings);
            }
            Input::Said { id, holder, round, engine, heard } => {
                self.heard(&engine, heard, now);
                if let Some(call) = self.leases.said(id, &holder, round, heard, now) {
                    self.counts.releases_again += 1;
                    self.call(now, id, call, out);
                }
            }
        }
        self.run(now, out);
    }

    fn listed(&mut self, now: Time, mut list: List, restored: bool, out: &mut Vec<Command>) {
        for Host { entry, .. } in &mut list.hosts {
            entry.ready_at = self.engine_starts.place(&entry.server, entry.ready_at, now);
        }
        if list.whole {
            self.readers.clear();
        }
        for host in &list.hosts {
            let reads = self.roles.get(host.entry.kind) == Some(&Role::Prefill);
            self.readers.insert(host.entry.server.clone(), reads);
        }
        let (mode, entries) = self.directory.take(list, restored);
        let directory = &self.directory;
        self.readers.retain(|server, _| directory.dial(server).is_some());
        self.reach.keep(directory);
        self.engine_starts.keep(directory);
        self.withdraw_from_leavers(out);
        self.events.push_back(Event::Servers { mode, entries });
    }

    /// An attempt may have been decided before its engine was told to drain, and still wait for its connection.
    fn withdraw_from_leavers(&self, out: &mut Vec<Command>) {
        for (id, open) in &self.open {
            if let Some(of) = open.out.as_ref().filter(|of| !self.directory.is_running(&of.server)) {
                out.push(Command::Withdraw { id: *id, attempt: of.attempt });
            }
        }
    }

    /// Feeds the module until nothing is left to be told.
    fn run(&mut self, now: Time, out: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let of = match &event {
                Event::Ended { id, .. } | Event::ClientGone { id } => Some(*id),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
            if let Some(id) = of {
                self.forget(id, out);
            }
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { id, server, timeout } => self.send(now, id, server, timeout, out),
            Action::Refuse { id, retry_after } => self.answer(now, id, Last::Refused { retry_after }, out),
            Action::Fail { id } => self.answer(now, id, Last::Failed, out),
            Action::Cancel { id, attempt } => out.push(Command::Cancel { id, attempt }),
            Action::Release { id } => {
                for call in self.leases.release(id, now, self.let_go_by) {
                    self.call(now, id, call, out);
                }
            }
            Action::Probe { server } => {
                self.counts.probes += 1;
                match self.directory.dial(&server) {
                    Some(dial) => out.push(Command::Probe { server, dial }),
                    None => self.events.push_back(Event::Probed {
                        server,
                        outcome: Outcome::NoConnection,
                        took: 0,
                        load: None,
                    }),
                }
            }
            Action::Timer { after, name } => self.timers.push(Reverse((now + after, name))),
            // The watch is always open: what it has brought is all there is.
            Action::Subscribe => {
                self.events.push_back(Event::Servers { mode: ListMode::Changes, entries: Vec::new() });
            }
            Action::Move { id } => out.push(Command::Move { id }),
        }
    }
}
