//! The state of a front node. The hub translates what happened on sockets into events of the router, and the
//! router's actions into commands for sockets.
//!
//! It does no I/O, reads no clock and starts no threads: one owner calls it with the current time. It forgets a request
//! once the request is finished and has no attempt in flight.

mod messages;
mod release;
mod requests;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use elderstage::{
    Action, Event, ListMode, Outcome, RepeatPolicy, ReportField, RequestId, Role, Router, ServerId, Settings,
    Time,
};

use crate::counting::{ClassCounts, RequestEnd};
use crate::engine_start::EngineStarts;
use crate::leases::Leases;
use crate::list::{Directory, Host, List};
use crate::list_history::ListHistory;
use crate::reach::Reachability;
use crate::report;

pub use messages::{Command, Counts, FinalAnswer, Input};
use release::WaveTimer;
use requests::AttemptEnd;

/// The attempt of a request that is in flight.
#[derive(Debug)]
struct InFlightAttempt {
    attempt: u32,
    server: ServerId,
    address: Option<SocketAddr>,
    sent_at: Time,
    /// The server is a reader: the attempt reads the prompt and leaves KV state at the server.
    is_prompt_read: bool,
}

/// A request that is open.
#[derive(Debug)]
struct OpenRequest {
    trace: Box<str>,
    /// The request may run any number of times.
    is_repeatable: bool,
    attempts: u32,
    last_outcome: Option<Outcome>,
    in_flight: Option<InFlightAttempt>,
    is_streaming: bool,
    /// The client was answered or has disconnected.
    is_finished: bool,
}

/// The state of a front node.
pub struct Hub {
    router: Router,
    report_fields: Vec<ReportField>,
    roles: Vec<Role>,
    /// For each class, whether its requests may run any number of times.
    repeatable_classes: Vec<bool>,
    directory: Directory,
    list_history: ListHistory,
    engine_starts: EngineStarts,
    /// The kind of each listed server, as its position in the settings. Its role follows from the settings in force.
    kinds: HashMap<ServerId, usize>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    ids_by_trace: HashMap<Box<str>, RequestId>,
    leases: Leases,
    reachability: Reachability,
    /// Zone of this node.
    zone: u32,
    /// Time limit of the settings for the release of held state.
    release_time_limit: Time,
    /// When the next wave of each release is due.
    wave_timers: BinaryHeap<Reverse<WaveTimer>>,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counts: Counts,
    /// Counts by class for the agent on this node's machine; `None` unless the configuration asks for them.
    counting: Option<ClassCounts>,
}

impl Hub {
    /// Creates the hub of a node. `seed` seeds the random choices of the router.
    pub fn new(settings: Settings, seed: u64) -> Hub {
        Hub {
            report_fields: settings.report_fields.clone(),
            roles: settings.roles.clone(),
            repeatable_classes: settings
                .classes
                .iter()
                .map(|class| class.repeat == RepeatPolicy::Safe)
                .collect(),
            directory: Directory::default(),
            list_history: ListHistory::default(),
            engine_starts: EngineStarts::default(),
            kinds: HashMap::new(),
            open_requests: BTreeMap::new(),
            ids_by_trace: HashMap::new(),
            leases: Leases::default(),
            reachability: Reachability::default(),
            zone: settings.zone,
            release_time_limit: settings.release_time_limit,
            wave_timers: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counts: Counts::default(),
            counting: None,
            router: Router::new(settings, seed),
        }
    }

    /// Returns the counts since the node's start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Starts counting by class, for the agent on this node's machine.
    pub fn enable_counting(&mut self, counting: ClassCounts) {
        self.counting = Some(counting);
    }

    /// Returns the counts by class, if they are enabled.
    pub fn counting_mut(&mut self) -> Option<&mut ClassCounts> {
        self.counting.as_mut()
    }

    /// Returns the number of open requests and the number of requests for which KV state may be held.
    pub fn open_and_held_counts(&self) -> (usize, usize) {
        (self.open_requests.len(), self.leases.len())
    }

    /// Returns the number of servers that the router's passes over the list have examined since the start.
    pub fn examined_servers(&self) -> u64 {
        self.router.examined_servers()
    }

    /// Returns the number of requests with a release that no engine has acknowledged yet.
    pub fn pending_releases(&self) -> usize {
        self.leases.pending_releases()
    }

    /// Returns the number of listed servers.
    pub fn server_count(&self) -> usize {
        self.directory.len()
    }

    /// Returns the number of attempts that the router counts at each address. The node compares it with its open sockets.
    pub fn attempts_by_address(&self) -> BTreeMap<SocketAddr, usize> {
        let mut by_address = BTreeMap::new();
        for address in self.open_requests.values().filter_map(|request| request.in_flight.as_ref()?.address) {
            *by_address.entry(address).or_insert(0) += 1;
        }
        by_address
    }

    /// Returns the time at which [`Hub::run_due_timers`] is to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let wave = self.wave_timers.peek().map(|Reverse(timer)| timer.at);
        timer.into_iter().chain(wave).min()
    }

    /// Runs the timers that are due. Called at or after the time of the next timer.
    pub fn run_due_timers(&mut self, now: Time, commands: &mut Vec<Command>) {
        while let Some(Reverse((at, name))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.events.push_back(Event::Timer { name });
        }
        while self.wave_timers.peek().is_some_and(|Reverse(timer)| timer.at <= now) {
            let Some(Reverse(WaveTimer { id, holder, round, wave, .. })) = self.wave_timers.pop() else {
                break;
            };
            if let Some(wave) = self.leases.handle_wave_timer(id, &holder, round, wave, now) {
                self.counts.releases_again += 1;
                self.send_release_wave(now, id, wave, commands);
            }
        }
        self.process_events(now, commands);
    }

    /// Handles an input and appends the commands that follow from it.
    pub fn handle(&mut self, now: Time, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Arrived { id, client_request } => self.handle_arrival(now, id, client_request, commands),
            Input::ClientDisconnected { id } => {
                if let Some(request) = self.open_requests.get_mut(&id).filter(|request| !request.is_finished)
                {
                    request.is_finished = true;
                    self.counts.gone += 1;
                    if let Some(counting) = &mut self.counting {
                        counting.record_end(now, id, RequestEnd::Gone);
                    }
                    self.events.push_back(Event::ClientGone { id });
                }
            }
            Input::FirstEvent { id, attempt } => self.handle_first_event(now, id, attempt),
            Input::AttemptEnded { id, attempt, outcome, note, report, events } => {
                self.handle_attempt_end(now, AttemptEnd { id, attempt, outcome, note, report, events });
            }
            Input::ProbeEnded { server, outcome, report } => {
                self.record_outcome(&server, outcome, now);
                let load = report.as_deref().and_then(|text| report::parse(text, &self.report_fields));
                self.counts.probes_unread += u64::from(load.is_none());
                self.events.push_back(Event::Probed { server, outcome, took: 0, load });
            }
            Input::WallClock { ahead } => self.engine_starts.set_wall_clock_offset(ahead),
            Input::ListReceived { list, restored } => self.apply_list(now, list, restored, commands),
            Input::ShuttingDown { within, late_after } => {
                self.events.push_back(Event::Stopping { within, late_after });
            }
            Input::Settings { settings } => {
                self.report_fields = settings.report_fields.clone();
                self.roles = settings.roles.clone();
                self.repeatable_classes =
                    settings.classes.iter().map(|class| class.repeat == RepeatPolicy::Safe).collect();
                (self.zone, self.release_time_limit) = (settings.zone, settings.release_time_limit);
                self.router.update_settings(*settings);
            }
            Input::ReleaseCallEnded { id, holder, release_number: round, engine, acknowledged: heard } => {
                self.record_contact(&engine, heard, now);
                if let Some(wave) = self.leases.handle_call_end(id, &holder, round, heard, now) {
                    self.counts.releases_again += 1;
                    self.send_release_wave(now, id, wave, commands);
                }
            }
        }
        self.process_events(now, commands);
    }

    /// Applies a list from discovery to the directory and passes it on to the router.
    fn apply_list(&mut self, now: Time, mut list: List, restored: bool, commands: &mut Vec<Command>) {
        self.list_history.reconcile(&mut list);
        self.counts.overruled_entries = self.list_history.overruled_entries();
        for Host { entry, .. } in &mut list.hosts {
            entry.ready_at = self.engine_starts.to_node_clock(&entry.server, entry.ready_at, now);
        }
        if list.is_complete {
            self.kinds.clear();
        }
        for Host { entry, .. } in &list.hosts {
            self.kinds.insert(entry.server.clone(), entry.kind);
        }
        let (mode, entries) = self.directory.apply(list, restored);
        let directory = &self.directory;
        self.kinds.retain(|server, _| directory.address(server).is_some());
        self.reachability.retain_listed(directory);
        self.engine_starts.retain_listed(directory);
        self.withdraw_from_leaving_engines(commands);
        self.events.push_back(Event::Servers { mode, entries });
    }

    /// Returns whether a server only reads prompts. It then has no effect, and holds state for a writer.
    fn is_reader(&self, server: &ServerId) -> bool {
        self.kinds.get(server).is_some_and(|kind| self.roles.get(*kind) == Some(&Role::Prefill))
    }

    /// Withdraws the attempts at engines that are no longer running. Such an attempt may have been decided before its
    /// engine was told to drain, and may still wait for its connection.
    fn withdraw_from_leaving_engines(&self, commands: &mut Vec<Command>) {
        for (id, request) in &self.open_requests {
            if let Some(attempt) =
                request.in_flight.as_ref().filter(|attempt| !self.directory.is_running(&attempt.server))
            {
                commands.push(Command::WithdrawAttempt { id: *id, attempt: attempt.attempt });
            }
        }
    }

    /// Passes queued events to the router and executes its actions until no event is left.
    fn process_events(&mut self, now: Time, commands: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let request_id = match &event {
                Event::Ended { id, .. } | Event::ClientGone { id } => Some(*id),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(now, action, commands);
            }
            self.actions = actions;
            if let Some(id) = request_id {
                self.forget_if_finished(id, commands);
            }
        }
    }

    /// Turns an action of the router into commands.
    fn execute_action(&mut self, now: Time, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Send { id, server, timeout } => self.send_attempt(now, id, server, timeout, commands),
            Action::Refuse { id, retry_after } => {
                self.answer_client(now, id, FinalAnswer::Refused { retry_after }, commands)
            }
            Action::Fail { id } => self.answer_client(now, id, FinalAnswer::Failed, commands),
            Action::Cancel { id, attempt } => commands.push(Command::Cancel { id, attempt }),
            Action::Release { id } => {
                for wave in self.leases.start_release(id, now, self.release_time_limit) {
                    self.send_release_wave(now, id, wave, commands);
                }
            }
            Action::Probe { server } => {
                self.counts.probes += 1;
                match self.directory.address(&server) {
                    Some(dial) => commands.push(Command::Probe { server, address: dial }),
                    None => self.events.push_back(Event::Probed {
                        server,
                        outcome: Outcome::NoConnection,
                        took: 0,
                        load: None,
                    }),
                }
            }
            Action::Timer { after, name } => self.timers.push(Reverse((now + after, name))),
            // The watch on discovery is always open, so there is nothing to fetch beyond what it has delivered.
            Action::Subscribe => {
                self.events.push_back(Event::Servers { mode: ListMode::Changes, entries: Vec::new() });
            }
            Action::Move { id } => commands.push(Command::EndStream { id }),
        }
    }
}
