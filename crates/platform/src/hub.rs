//! The state of a front node: what has happened on its sockets becomes the module's events, and the module's actions
//! become commands for sockets. One owner drives it; it does no I/O and is told the time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use elderstage::{
    Action, Arrival, Event, ListMode, Outcome, Repeat, ReportField, ReqId, Role, Router, ServerId, Settings,
    Time,
};

use crate::ask::Ask;
use crate::counting::{Counting, End};
use crate::engine_start::EngineStarts;
use crate::leases::{Call, Leases, wave_interval};
use crate::list::{Directory, Host, List};
use crate::reach::Reach;
use crate::report;

/// What has happened.
#[derive(Debug)]
pub enum Input {
    /// A client's request was read whole. An id is never used twice.
    Arrived { id: ReqId, ask: Ask },
    /// The client has gone away.
    Gone { id: ReqId },
    /// The first event of an attempt's stream is being passed on.
    First { id: ReqId, attempt: u32 },
    /// An attempt has ended and its connection is closed or free. `events`: of its stream, passed on.
    Ended { id: ReqId, attempt: u32, outcome: Outcome, note: u64, report: Option<String>, events: u64 },
    /// A probe has ended.
    Probed { server: ServerId, outcome: Outcome, report: Option<String> },
    /// The wall clock was read: so many microseconds ahead of the node's.
    WallClock { ahead: i64 },
    /// A list came from discovery.
    Listed { list: List, restored: bool },
    /// A release was said to an engine; `heard`: it has answered.
    Said { id: ReqId, holder: ServerId, round: u32, engine: ServerId, heard: bool },
    /// The node ends, within this time.
    Stopping { within: Time },
    /// New figures for the same classes, kinds and zones.
    Settings { settings: Box<Settings> },
}

/// The final answer to a client, other than a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Last {
    /// Turned away; trying again is harmless. Advice in microseconds, 0 for none.
    Refused {
        retry_after: Time,
    },
    Failed,
    /// Another request with this id is open: this one was not taken.
    Open,
}

/// What is to be done on sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `harmless`: it has no effect, or may be repeated.
    Send {
        id: ReqId,
        attempt: u32,
        server: ServerId,
        dial: SocketAddr,
        timeout: Time,
        harmless: bool,
    },
    /// Stops an attempt that has not been written yet: its engine drains or has left.
    Withdraw {
        id: ReqId,
        attempt: u32,
    },
    Cancel {
        id: ReqId,
        attempt: u32,
    },
    /// Ends a running stream; its client comes again.
    Move {
        id: ReqId,
    },
    Answer {
        id: ReqId,
        last: Last,
        /// Attempts that were decided, and what came of the last: why the answer is none of an engine's.
        attempts: u32,
        last_outcome: Option<Outcome>,
    },
    Release {
        id: ReqId,
        trace: Box<str>,
        holder: ServerId,
        /// Which release of the request it belongs to.
        round: u32,
        /// Who is told: every engine passes it on.
        engine: ServerId,
        dial: SocketAddr,
    },
    Probe {
        server: ServerId,
        dial: SocketAddr,
    },
    /// Nothing more will be said of it.
    Forget {
        id: ReqId,
    },
}

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

/// When the next wave of a release is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaveDue {
    at: Time,
    id: ReqId,
    holder: ServerId,
    round: u32,
    wave: u32,
}

/// What a node has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub broken: u64,
    pub gone: u64,
    pub attempts: u64,
    pub probes: u64,
    pub probes_unread: u64,
    pub releases: u64,
    pub releases_again: u64,
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
                self.ended(now, id, attempt, outcome, note, report.as_deref(), events);
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

    fn arrived(&mut self, now: Time, id: ReqId, ask: Ask, out: &mut Vec<Command>) {
        if self.ids.contains_key(&ask.trace) {
            out.push(Command::Answer { id, last: Last::Open, attempts: 0, last_outcome: None });
            out.push(Command::Forget { id });
            return;
        }
        self.counts.taken += 1;
        if let Some(counting) = &mut self.counting {
            counting.asked(now, id, ask.arrival.class, ask.arrival.prompt);
        }
        self.ids.insert(ask.trace.clone(), id);
        let safe = self.safe.get(ask.arrival.class).copied().unwrap_or(false);
        let open = Open {
            trace: ask.trace,
            safe,
            attempts: 0,
            last_outcome: None,
            out: None,
            streaming: false,
            over: false,
        };
        self.open.insert(id, open);
        self.events.push_back(Event::Arrived(Arrival { id, ..ask.arrival }));
    }

    fn first(&mut self, now: Time, id: ReqId, attempt: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(of) = open.out.as_ref().filter(|of| of.attempt == attempt) else { return };
        open.streaming = true;
        self.leases.taken(id);
        if let Some(counting) = &mut self.counting {
            counting.first(now, id);
        }
        let (server, took) = (of.server.clone(), now.saturating_sub(of.sent));
        self.events.push_back(Event::Streaming { id, attempt, server, took });
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        now: Time,
        id: ReqId,
        attempt: u32,
        outcome: Outcome,
        note: u64,
        told: Option<&str>,
        events: u64,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(of) = open.out.take_if(|of| of.attempt == attempt) else { return };
        // The rule's time goes on while connections do not come up: what was never sent was never out.
        let may_have_arrived = !matches!(outcome, Outcome::NoConnection | Outcome::NotSent);
        open.last_outcome = Some(outcome);
        self.leases.attempt_ended(id, may_have_arrived, now);
        self.outcome(&of.server, outcome, now);
        let Some(open) = self.open.get_mut(&id) else { return };
        // A read may have ended well at the moment its connection was closed or broke.
        let left = outcome == Outcome::Read || !outcome.never_ran();
        if of.reads && left && !open.streaming {
            self.leases.may_hold(id, &open.trace, &of.server, now);
        }
        let settled = outcome == Outcome::Served || open.streaming;
        if settled && !open.over {
            open.over = true;
            let served = outcome == Outcome::Served;
            if served {
                self.counts.served += 1
            } else {
                self.counts.broken += 1
            }
            if let Some(counting) = &mut self.counting {
                counting.end(now, id, if served { End::Served { events } } else { End::Broken });
            }
        }
        let settled = open.over;
        let load = told.and_then(|text| report::parse(text, &self.fields));
        self.events.push_back(Event::Ended {
            id,
            attempt,
            server: of.server,
            outcome,
            took: now.saturating_sub(of.sent),
            settled,
            note,
            load,
        });
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

    fn heard(&mut self, server: &ServerId, heard: bool, now: Time) {
        if heard { self.reach.answered(server, now) } else { self.reach.silent(server, now) }
    }

    /// What an ended attempt or probe tells of who can be reached.
    fn outcome(&mut self, server: &ServerId, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Served | Outcome::Read | Outcome::Error | Outcome::Full => self.heard(server, true, now),
            Outcome::TimedOut | Outcome::NoConnection => self.heard(server, false, now),
            Outcome::Broken | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// One wave of a release: to the holder, or to one engine of each zone.
    fn call(&mut self, now: Time, id: ReqId, call: Call, out: &mut Vec<Command>) {
        let own = self.directory.dial(&call.holder).map(|dial| (call.holder.clone(), dial));
        let mut whom: Vec<(ServerId, SocketAddr)> = Vec::new();
        if call.wave == 0 {
            whom.extend(own);
        }
        if call.wide || whom.is_empty() {
            let salt = id.0 as usize;
            let zones = self.reach.one_of_each_zone(&self.directory, self.zone, &call.told, call.wave, salt);
            whom.extend(zones.into_iter().filter(|(server, _)| call.wave > 0 || *server != call.holder));
        }
        if whom.is_empty() {
            // No engine is known at all: there is nobody to tell, and nobody who holds anything.
            self.leases.taken(id);
            return;
        }
        let engines: Vec<ServerId> = whom.iter().map(|(server, _)| server.clone()).collect();
        let (round, wave) = (call.round, call.wave);
        self.leases.called(id, &call.holder, round, &engines);
        let at = now + wave_interval(self.let_go_by);
        self.waves.push(Reverse(WaveDue { at, id, holder: call.holder.clone(), round, wave }));
        for (engine, dial) in whom {
            self.counts.releases += 1;
            let (trace, holder) = (call.trace.clone(), call.holder.clone());
            out.push(Command::Release { id, trace, holder, round, engine, dial });
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

    fn forget(&mut self, id: ReqId, out: &mut Vec<Command>) {
        if self.open.get(&id).is_some_and(|open| open.over && open.out.is_none())
            && let Some(open) = self.open.remove(&id)
        {
            self.ids.remove(&open.trace);
            out.push(Command::Forget { id });
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

    fn send(&mut self, now: Time, id: ReqId, server: ServerId, timeout: Time, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        self.counts.attempts += 1;
        let reads = self.readers.get(&server).copied().unwrap_or(false);
        let harmless = reads || open.safe;
        let dial = self.directory.dial(&server);
        open.out = Some(Out { attempt, server: server.clone(), dial, sent: now, reads });
        // A read leaves a state of its own and comes for none.
        self.leases.attempt_begins(id, !reads);
        match dial {
            Some(dial) => out.push(Command::Send { id, attempt, server, dial, timeout, harmless }),
            None => self.ended(now, id, attempt, Outcome::NoConnection, 0, None, 0),
        }
    }

    fn answer(&mut self, now: Time, id: ReqId, last: Last, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !open.over {
            open.over = true;
            match last {
                Last::Refused { .. } => self.counts.refused += 1,
                _ => self.counts.failed += 1,
            }
            if let Some(counting) = &mut self.counting {
                let refused = matches!(last, Last::Refused { .. });
                counting.end(now, id, if refused { End::Refused } else { End::Failed });
            }
            let (attempts, last_outcome) = (open.attempts, open.last_outcome);
            out.push(Command::Answer { id, last, attempts, last_outcome });
        }
        self.forget(id, out);
    }
}
