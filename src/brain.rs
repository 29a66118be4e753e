//! Every decision of the router, every table, default and tuned value. The interface is `src/api.rs`.
//!
//! Reading order: tunables, views of servers, the monitor, the dispatcher, the writer pick, the guards.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;

// ---- Tunables: ratios of what is seen or of the settings ----

/// Weight that a fit keeps of its past at each new answer: about thirty answers of memory.
const FIT_KEEP: f64 = 0.97;
/// Weight of one answer in a server's own pace: a slowdown shows within a few answers.
const PACE_STEP: f64 = 0.3;
/// An attempt older than this many predicted times no longer speaks for its server.
const OVERDUE: f64 = 3.0;
/// ... and older than this share of its TTFT aim, so that short reads are not judged by jitter.
const OVERDUE_AIM: f64 = 0.25;
/// An attempt is given up after this many predicted times, at least after the share of the aim below.
const GIVE_UP: f64 = 4.0;
const GIVE_UP_AIM: f64 = 0.5;
/// Memory mark: a writer above this share of its KV memory takes no read, and no read is begun
/// when all are above it. The rest is room for the growth of running answers.
const MARK: f64 = 0.85;
/// Nominal pace of a stream, as a share of its TPOT aim: what it needs when nothing disturbs it.
const NOMINAL: f64 = 0.6;
/// A request waits at the router for this share of its TTFT aim at most.
const HOLD: f64 = 0.38;
/// First suspension of a server after a failure, as a share of the shortest TTFT aim; it doubles.
const SUSPEND: f64 = 0.5;
const SUSPEND_DOUBLINGS: u32 = 4;
/// A state that no writer takes is let go after this share of the time that the rule allows.
const LET_GO: f64 = 0.6;
/// Share of the cold budget that is used: the rest is room for uneven splits among fronts.
const COLD_USE: f64 = 0.6;
const COLD_DRAWS: u64 = 1 << 20;
/// A report older than this many TTFT aims is no evidence.
const REPORT_LIFE: f64 = 2.0;
/// A state that leaves its cell counts as this many times its tokens at the far writer.
const FAR_HANDICAP: f64 = 3.0;
/// Places in a server's memory of kept texts; it starts anew when it is full.
const KEPT_MOST: usize = 2000;
/// Held requests that fit nowhere before the rest is left for the next event.
const MISSES: u32 = 8;
/// Read times within the TTFT aim over this are a tie.
const TIE: f64 = 20.0;
/// Writers of a reader's cell that are asked for their load while it reads, drawn at random, unless they
/// told within this share of the TTFT aim.
const PROBES: usize = 2;
const PROBE_EVERY: f64 = 0.25;
/// Reported waiting work that makes a writer full: a share of its KV tokens, or requests.
const QUEUED: f64 = 0.04;
const QUEUED_REQUESTS: f64 = 2.0;
/// Tokens below which a shorter read gains nothing.
const LEAST_READ: f64 = 100.0;
/// The one timer's name.
const SWEEP: u64 = 1;

// ---- Views of servers ----

/// What an attempt is for; also numbers the fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A read at a reader.
    Read = 0,
    /// A read and answer at a writer or mixed server (rule 3).
    Whole = 1,
    /// A state fetched inside its cell, or from another one.
    Near = 2,
    Far = 3,
}

/// A line fitted to answers, older ones fading: microseconds over tokens, as sums of 1, x, y, xx, xy.
#[derive(Clone, Copy, Default)]
struct Line([f64; 5]);

impl Line {
    fn learn(&mut self, x: f64, y: f64) {
        for (sum, new) in self.0.iter_mut().zip([1.0, x, y, x * x, x * y]) {
            *sum = *sum * FIT_KEEP + new;
        }
    }

    /// Falls back on the mean where the answers do not span a line that rises.
    fn at(&self, x: f64) -> f64 {
        let [n, sx, sy, xx, xy] = self.0;
        if n <= 0.0 {
            return 0.0;
        }
        let (mx, my) = (sx / n, sy / n);
        let spread = xx / n - mx * mx;
        let slope = if spread > 1.0 { (xy / n - mx * my) / spread } else { 0.0 };
        my + slope.clamp(0.0, if mx > 0.0 { my / mx } else { 0.0 }) * (x - mx)
    }
}

/// An attempt that is out at a server.
#[derive(Clone)]
struct Job {
    kind: Kind,
    /// Cell of the state that it fetches.
    from: Option<u32>,
    sent: Time,
    /// When its work is held to have begun, and to end.
    start: Time,
    due: Time,
    x: f64,
    tokens: f64,
    aim: f64,
    first: Option<Time>,
}

struct View {
    entry: Entry,
    role: Role,
    kv: f64,
    jobs: BTreeMap<ReqId, Job>,
    /// Own pace against the common fits, by kind of attempt.
    pace: [f64; 4],
    last_read_end: Time,
    kept: BTreeMap<TextKey, (f64, Time)>,
    /// Memory share, other business, and when told.
    report: Option<(f64, Time)>,
    probed: Time,
    /// When its streams will have made up for the reads that all fronts gave it.
    absorbed: Time,
    strikes: u32,
    suspended: Time,
}

impl View {
    fn tokens(&self) -> f64 {
        self.jobs.values().map(|job| job.tokens).sum()
    }

    fn waiting(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.first.is_none())
    }

    /// Rule 1.
    fn idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Rule 2: when the one read that runs will end. A predicted end that has passed is no evidence.
    fn runs_until(&self, now: Time) -> Option<f64> {
        let due = self.jobs.values().map(|job| job.due).max().filter(|_| self.jobs.len() == 1)?;
        Some(due.checked_sub(now)? as f64)
    }

    /// Age of the oldest attempt that waits here.
    fn oldest(&self, now: Time) -> f64 {
        self.waiting().map(|job| now.saturating_sub(job.sent) as f64).fold(0.0, f64::max)
    }

    fn unread(&self, ask: &Arrival) -> f64 {
        (ask.prompt - self.kept(ask)).max(0.0)
    }

    fn overdue(&self, now: Time) -> bool {
        self.waiting().any(|job| {
            let age = now.saturating_sub(job.start) as f64;
            age > OVERDUE * job.due.saturating_sub(job.start) as f64 && age > OVERDUE_AIM * job.aim
        })
    }

    fn kept(&self, ask: &Arrival) -> f64 {
        let of = |key: &Option<TextKey>, most: f64| Some(self.kept.get(key.as_ref()?)?.0.min(most));
        of(&ask.session, ask.prompt).unwrap_or(0.0).max(of(&ask.prefix, ask.shared).unwrap_or(0.0))
    }

    fn remember(&mut self, ask: &Arrival, found: f64, now: Time) {
        // Guards against texts that are gone: what an answer did not find is no longer counted on.
        for (key, tokens) in [(&ask.session, ask.prompt), (&ask.prefix, ask.shared)] {
            if let Some(key) = key.as_ref().filter(|_| tokens > 0.0) {
                self.kept.insert(key.clone(), (tokens, now));
            }
        }
        if found + 1.0 < ask.shared {
            self.kept.retain(|key, (_, at)| *at == now || Some(key) == ask.session.as_ref());
        }
        if self.kept.len() > KEPT_MOST {
            self.kept.retain(|_, (_, at)| *at == now);
        }
    }
}

/// A request that this front has taken.
struct Request {
    ask: Arrival,
    arrived: Time,
    deadline: Time,
    aim: f64,
    /// Beyond its tenant's share.
    over: bool,
    tries: u32,
    out: Option<(ServerId, u32)>,
    /// The reader whose state waits, and since when.
    state: Option<(ServerId, Time)>,
    /// A read has been sent, so something may be held.
    pinned: bool,
    streaming: bool,
    ended: bool,
    /// Server and send time of the first attempt that may have run.
    ran: Option<(ServerId, Time)>,
    avoid: BTreeSet<ServerId>,
}

impl Request {
    /// Time left within the aim, after it to the deadline.
    fn left(&self, now: Time) -> f64 {
        let age = (now - self.arrived) as f64;
        if age < self.aim { self.aim - age } else { self.deadline.saturating_sub(now) as f64 }
    }
}

fn hash(one: &str, other: &str) -> u64 {
    let mix = |h: u64, byte: u8| (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let h = one.bytes().chain([0]).chain(other.bytes()).fold(0xcbf2_9ce4_8422_2325, mix);
    (h ^ (h >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 8
}

/// How a state of that cell gets to this writer.
fn hand_kind(view: &View, from: Option<u32>) -> Kind {
    if from.is_none_or(|cell| cell == view.entry.cell) { Kind::Near } else { Kind::Far }
}

/// One front's router.
pub struct Router {
    set: Settings,
    seed: u64,
    views: BTreeMap<ServerId, View>,
    requests: BTreeMap<ReqId, Request>,
    held: BTreeSet<ReqId>,
    fits: [Line; 4],
    /// By role: the most weight of warm servers seen at once; our sends and their answers, older ones fading.
    warm: [f64; 3],
    flow: [(f64, f64); 3],
    quota: Vec<(f64, Time)>,
    /// Share of all writers' KV memory that our own work holds.
    own_share: f64,
    armed: bool,
    asked: Option<Time>,
}

impl Router {
    /// A router that knows nothing yet. The seed feeds its random numbers, which only break ties.
    pub fn new(set: Settings, seed: u64) -> Router {
        let quota = vec![(0.0, 0); set.tenants.len()];
        Router {
            set,
            seed: seed | 1,
            views: BTreeMap::new(),
            requests: BTreeMap::new(),
            held: BTreeSet::new(),
            fits: [Line::default(); 4],
            warm: [0.0; 3],
            flow: [(0.0, 0.0); 3],
            quota,
            own_share: 0.0,
            armed: false,
            asked: None,
        }
    }

    /// Takes one event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let new = if let Event::Arrived(ask) = &event { Some(ask.id) } else { None };
        match event {
            Event::Servers { mode, entries } => self.servers(now, mode, entries, out),
            Event::Arrived(ask) => self.arrived(now, ask),
            Event::Streaming { id, server, .. } => self.first(now, id, &server),
            Event::Ended { .. } => self.ended(now, event, out),
            Event::Probed { server, load, .. } => self.report(now, &server, load),
            Event::ClientGone { id } => self.gone(id, out),
            Event::Timer { name: SWEEP } => {
                self.armed = false;
                self.sweep(now, out);
            }
            Event::Timer { .. } | Event::Place { .. } => {}
        }
        self.totals(now);
        self.dispatch_held(now, new, out);
        if let Some(id) = new.filter(|id| self.held.contains(id) && self.closing(now, *id)) {
            self.finish(now, id, out);
        }
        self.arm(out);
    }

    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A text to hash with, for a choice at random.
    fn salt(&mut self) -> String {
        self.random().to_string()
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        if !self.armed && (!self.requests.is_empty() || self.asked.is_some()) {
            self.armed = true;
            out.push(Action::Timer { after: self.sweep_every(), name: SWEEP });
        }
    }

    fn least_aim(&self) -> f64 {
        self.set.classes.iter().map(|class| class.ttft_aim).min().unwrap_or(0) as f64
    }

    fn sweep_every(&self) -> Time {
        (self.set.let_go_by / 10).max(self.set.tick).max(1)
    }

    /// Whether the client's time would be up before a later sweep could answer: answer now.
    fn closing(&self, now: Time, id: ReqId) -> bool {
        self.requests.get(&id).is_none_or(|request| now + 2 * self.sweep_every() >= request.deadline)
    }

    // ---- The monitor ----

    fn servers(&mut self, now: Time, mode: ListMode, entries: Vec<Entry>, out: &mut Vec<Action>) {
        // The list must be asked for where it is not pushed; a call that failed is made again.
        if self.set.discovery == Discovery::Asked {
            match mode {
                ListMode::Restored => out.push(Action::Subscribe),
                ListMode::Failed => self.asked = Some(now + self.set.ask_within / 8),
                _ => self.asked = None,
            }
        }
        if mode == ListMode::Failed {
            return;
        }
        if mode != ListMode::Changes {
            for view in self.views.values_mut() {
                view.entry.listed = Listed::Gone;
            }
        }
        for entry in entries {
            let role = self.set.roles.get(entry.kind).copied().unwrap_or(Role::Mixed);
            let kv = self.set.kv_tokens.get(entry.kind).copied().unwrap_or(0.0);
            let view = self.views.entry(entry.server.clone()).or_insert_with(|| View {
                entry: entry.clone(),
                role,
                kv,
                jobs: BTreeMap::new(),
                pace: [1.0; 4],
                last_read_end: 0,
                kept: BTreeMap::new(),
                report: None,
                probed: 0,
                absorbed: 0,
                strikes: 0,
                suspended: 0,
            });
            if entry.ready_at != view.entry.ready_at {
                // A new process: what was known of the old one is void.
                (view.pace, view.report, view.strikes, view.suspended) = ([1.0; 4], None, 0, 0);
                view.kept.clear();
            }
            (view.entry, view.role, view.kv) = (entry, role, kv);
        }
        self.views.retain(|_, view| view.entry.listed != Listed::Gone || !view.jobs.is_empty());
    }

    /// What is common to all choices of one event.
    fn totals(&mut self, now: Time) {
        let (mut held, mut kv, mut warm) = (0.0, 1.0, [0.0; 3]);
        for view in self.views.values().filter(|v| v.entry.listed == Listed::Running) {
            if view.role != Role::Prefill {
                (held, kv) = (held + view.tokens(), kv + view.kv);
            }
            if !self.cold(view, now) {
                warm[view.role as usize] += view.entry.weight;
            }
        }
        self.own_share = held / kv;
        for (most, warm) in self.warm.iter_mut().zip(warm) {
            *most = most.max(warm);
        }
    }

    fn report(&mut self, now: Time, server: &ServerId, load: Option<Vec<f64>>) {
        let (Some(load), Some(view)) = (load, self.views.get_mut(server)) else { return };
        // A writer with a queue is full, whatever bounds it: slots are told nowhere else.
        let mut share: Option<f64> = None;
        for (field, value) in self.set.report_fields.iter().zip(load) {
            let part = match field {
                ReportField::MemoryShare | ReportField::Busy => value,
                ReportField::PendingThousands if value * 1000.0 > QUEUED * view.kv => 1.0,
                ReportField::Queue if value >= QUEUED_REQUESTS => 1.0,
                _ => continue,
            };
            share = Some(share.unwrap_or(0.0).max(part));
        }
        view.report = share.map(|share| (share, now)).or(view.report);
    }

    fn predict(&self, view: &View, kind: Kind, x: f64) -> f64 {
        self.fits[kind as usize].at(x) * view.pace[kind as usize]
    }

    /// Guards against a lagging fit: what has not ended yet bounds the pace from below.
    fn predict_now(&self, view: &View, kind: Kind, x: f64, now: Time) -> f64 {
        let behind = view.waiting().filter(|job| job.kind == kind).map(|job| {
            let wanted = (job.due.saturating_sub(job.start) as f64).max(1.0);
            now.saturating_sub(job.start) as f64 / wanted
        });
        self.predict(view, kind, x) * behind.fold(1.0, f64::max).min(10.0)
    }

    /// By cell: the age of the oldest of our states that waits for its link.
    fn links(&self, now: Time) -> BTreeMap<u32, f64> {
        let mut ages = BTreeMap::new();
        for job in self.views.values().flat_map(View::waiting).filter(|job| job.kind == Kind::Far) {
            if let Some(cell) = job.from {
                let age: &mut f64 = ages.entry(cell).or_default();
                *age = age.max(now.saturating_sub(job.sent) as f64);
            }
        }
        ages
    }

    /// An answer moves its server's pace against the common line, then the line by what is left.
    fn learn(&mut self, server: &ServerId, kind: Kind, x: f64, y: f64) {
        let (fit, Some(view)) = (&mut self.fits[kind as usize], self.views.get_mut(server)) else { return };
        let (common, pace) = (fit.at(x), &mut view.pace[kind as usize]);
        if common > 0.0 {
            *pace += PACE_STEP * ((y / common).clamp(0.05, 20.0) - *pace);
        }
        fit.learn(x, y / pace.max(0.05));
    }

    fn strike(&mut self, server: &ServerId, now: Time) {
        let base = SUSPEND * self.least_aim();
        if let Some(view) = self.views.get_mut(server) {
            let span = base * f64::from(1u32 << view.strikes.min(SUSPEND_DOUBLINGS));
            view.strikes += 1;
            view.suspended = now + span as Time;
        }
    }

    /// Running, not suspected, or a suspect whose time for one trial has come.
    fn well(&self, view: &View, now: Time) -> bool {
        if view.entry.listed != Listed::Running {
            return false;
        }
        let trial = view.strikes == 0 || (now >= view.suspended && view.waiting().next().is_none());
        trial && !view.overdue(now)
    }

    /// Tokens that a writer holds: as reported, plus ours since. Without a fresh report our own there, and
    /// for the other fronts as much as ours are on the mean, since they choose by themselves.
    fn held_tokens(&self, view: &View, now: Time) -> f64 {
        match view.report {
            Some((share, at)) if (now - at) as f64 <= REPORT_LIFE * self.least_aim() => {
                let since = view.jobs.values().filter(|job| job.sent > at).map(|job| job.tokens);
                share * view.kv + since.sum::<f64>()
            }
            _ => view.tokens() + f64::from(self.set.fronts - 1) * self.own_share * view.kv,
        }
    }

    /// Share of a writer's KV memory that is held.
    fn memory(&self, view: &View, now: Time) -> f64 {
        if view.kv > 0.0 { self.held_tokens(view, now) / view.kv } else { 0.0 }
    }

    fn slack(view: &View, now: Time) -> f64 {
        let slack = view.jobs.values().filter(|job| job.kind != Kind::Read).map(|job| match job.first {
            Some(first) => (now - first) as f64 * (1.0 / NOMINAL - 1.0),
            None if job.kind == Kind::Whole => 0.0,
            None => job.aim,
        });
        slack.fold(f64::MAX, f64::min)
    }

    // ---- Requests coming and going ----

    fn arrived(&mut self, now: Time, ask: Arrival) {
        let aim = self.set.classes.get(ask.class).map_or(ask.time_left as f64, |class| {
            class.ttft_aim as f64 + class.ttft_aim_per_1000 * ask.prompt / 1000.0
        });
        let (tenant, bucket) = (self.set.tenants.get(ask.tenant), self.quota.get_mut(ask.tenant));
        let over = tenant.zip(bucket).is_some_and(|(tenant, (level, at))| {
            // A bucket of two seconds of this front's part of the tenant's share.
            let rate = tenant.quota_per_s / f64::from(self.set.fronts);
            *level = (*level - rate * (now - *at) as f64 / 1e6).max(0.0);
            *at = now;
            let over = *level > 2.0 * rate;
            *level += if over { 0.0 } else { 1.0 };
            over
        });
        let id = ask.id;
        let request = Request {
            arrived: now,
            deadline: now + ask.time_left,
            aim,
            over,
            tries: 0,
            out: None,
            state: None,
            pinned: false,
            streaming: false,
            ended: false,
            ran: None,
            avoid: BTreeSet::new(),
            ask,
        };
        self.requests.insert(id, request);
        self.held.insert(id);
    }

    fn first(&mut self, now: Time, id: ReqId, server: &ServerId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        (request.state, request.pinned) = (None, false);
        let Some(view) = self.views.get_mut(server) else { return };
        (view.strikes, view.suspended) = (0, 0);
        let Some(job) = view.jobs.get_mut(&id) else { return };
        job.first = Some(now);
        let job = job.clone();
        if job.kind == Kind::Whole {
            view.remember(&request.ask, job.tokens, now);
        }
        self.learn(server, job.kind, job.x, (now - job.start) as f64);
    }

    fn ended(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let Event::Ended { id, server, outcome, settled, note, load, .. } = event else { return };
        let server = &server;
        self.report(now, server, load);
        let job = self.views.get_mut(server).and_then(|view| view.jobs.remove(&id));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.out = None;
        let answered = matches!(outcome, Outcome::Read | Outcome::Served);
        if let Some(view) = self.views.get(server).filter(|_| answered) {
            self.flow[view.role as usize].1 += 1.0;
        }
        if let Some((_, since)) = &mut request.state {
            *since = now;
        }
        let whole = job.as_ref().is_some_and(|job| job.kind != Kind::Read);
        match outcome {
            Outcome::Read => {
                request.state = Some((server.clone(), now));
                if let (Some(view), Some(job)) = (self.views.get_mut(server), &job) {
                    let start = job.start.max(view.last_read_end);
                    view.last_read_end = now;
                    (view.strikes, view.suspended) = (0, 0);
                    view.remember(&request.ask, note as f64, now);
                    let x = (request.ask.prompt - note as f64).max(0.0);
                    self.learn(server, Kind::Read, x, (now - start.min(now)) as f64);
                }
            }
            Outcome::Served | Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::Full if note == 1 => {
                // The state may only be out of reach, behind a cut: let go of it before reading anew.
                request.state = None;
                out.push(Action::Release { id });
            }
            _ => {
                request.avoid.insert(server.clone());
                self.strike(server, now);
            }
        }
        let closing = self.closing(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if whole && !outcome.never_ran() && request.ran.is_none() {
            request.ran = Some((server.clone(), job.map_or(now, |job| job.sent)));
        }
        if settled || request.ended {
            if request.pinned {
                out.push(Action::Release { id });
            }
            self.requests.remove(&id);
        } else if outcome == Outcome::NotSent || closing {
            self.finish(now, id, out);
        } else if request.state.is_none() || !self.hand_over(now, id, out) {
            if self.may_send(now, id, None) {
                self.held.insert(id);
            } else {
                self.finish(now, id, out);
            }
        }
    }

    fn gone(&mut self, id: ReqId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        self.held.remove(&id);
        if request.pinned {
            out.push(Action::Release { id });
        }
        if request.out.is_none() {
            self.requests.remove(&id);
        } else if let (Some((_, attempt)), true) = (&request.out, self.set.may_cancel) {
            out.push(Action::Cancel { id, attempt: *attempt });
        }
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.asked.is_some_and(|at| now >= at) {
            self.asked = Some(now + self.set.ask_within / 4);
            out.push(Action::Subscribe);
        }
        let keep = (LET_GO * self.set.let_go_by as f64) as Time;
        let stuck: Vec<ReqId> = self.held.iter().copied().collect();
        for id in stuck {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            if request.state.as_ref().is_some_and(|(_, since)| now >= since + keep) {
                request.state = None;
                out.push(Action::Release { id });
            }
            // The wait ends early for what has not been tried; always before the client's time is up.
            let early = request.tries == 0 && now >= request.arrived + (HOLD * request.aim) as Time;
            if early || self.closing(now, id) {
                self.finish(now, id, out);
            }
        }
    }

    // ---- The dispatcher ----

    /// Places what is held, the most worthy first. A request that has just come changes nothing for
    /// the others. After some in a row that fit nowhere the rest wait for the next event.
    fn dispatch_held(&mut self, now: Time, only: Option<ReqId>, out: &mut Vec<Action>) {
        let mut queue: Vec<(bool, i64, Time, ReqId)> = Vec::new();
        for id in self.held.iter().filter(|id| only.is_none_or(|only| only == **id)) {
            let Some(request) = self.requests.get(id) else { continue };
            let worth = self.set.classes.get(request.ask.class).map_or(0.0, |class| class.worth);
            let kept = self.views.values().map(|view| view.kept(&request.ask)).fold(0.0, f64::max);
            let gain = worth * request.ask.prompt / (request.ask.prompt - kept).max(LEAST_READ);
            queue.push((request.over, -(gain * 1000.0) as i64, request.arrived, *id));
        }
        queue.sort_unstable();
        let mut misses = 0;
        for (_, _, _, id) in queue {
            let has_state = self.requests.get(&id).is_some_and(|request| request.state.is_some());
            let sent = if has_state {
                self.hand_over(now, id, out)
            } else {
                self.place(now, id).is_some_and(|(server, kind)| self.send(now, id, &server, kind, out))
            };
            misses += u32::from(!sent);
            if misses >= MISSES {
                break;
            }
        }
    }

    /// Rules 1, 2 and 3 in this order; `None` holds the request.
    fn place(&mut self, now: Time, id: ReqId) -> Option<(ServerId, Kind)> {
        let salt = self.salt();
        let request = self.requests.get(&id)?;
        let (ask, left) = (&request.ask, request.left(now));
        let usable = |view: &&View| {
            self.well(view, now)
                && !request.avoid.contains(&view.entry.server)
                && self.may_send(now, id, Some(view))
        };
        let (readers, writers): (Vec<&View>, Vec<&View>) =
            self.views.values().filter(usable).partition(|v| v.role == Role::Prefill);
        let room = self.with_room(now, request, writers);
        let hand = self.soonest_hand(now, &room, ask.prompt);
        let best = |times: Vec<(f64, &View)>, kind: Kind| {
            // Near times are a tie, which goes by a hash of session and server: all fronts then find a
            // session's kept text at the same reader without a word between them.
            let rank = |(time, view): &(f64, &View)| {
                let home = hash(&view.entry.server.0, ask.session.as_ref().map_or(&salt, |key| &key.0));
                ((time * TIE / request.aim.max(1.0)).round() as u64, home)
            };
            times.into_iter().min_by_key(rank).map(|(_, view)| (view.entry.server.clone(), kind))
        };
        let read = |view: &View, kind: Kind| self.predict_now(view, kind, view.unread(ask), now);
        let readable = room.len().min(self.set.most_tries.saturating_sub(request.tries + 1) as usize) > 0;
        let readers = readers.into_iter().filter(|_| readable).filter_map(|v| Some((hand(v)?, v)));
        let readers: Vec<(f64, &View)> = readers.collect();
        // Rule 1: an idle reader, judged by its read and the soonest hand-over from its cell.
        let idle = readers.iter().filter(|(_, v)| v.idle()).map(|(hand, v)| (read(v, Kind::Read) + hand, *v));
        // Rule 2: a running reader with nothing waiting that will be on time.
        let on_time = readers.iter().filter_map(|(hand, v)| {
            let end = v.runs_until(now)? + read(v, Kind::Read);
            (end <= left).then_some((end + hand, *v))
        });
        // Rule 3: a writer under its memory mark whose streams all have slack above this read.
        let absorbs = room.iter().filter(|v| v.role == Role::Mixed || self.set.writers_read);
        let absorbs = absorbs.filter_map(|v| {
            let time = read(v, Kind::Whole);
            (time <= left && now >= v.absorbed && Self::slack(v, now) > time).then_some((time, *v))
        });
        best(idle.collect(), Kind::Read)
            .or_else(|| best(on_time.collect(), Kind::Read))
            .or_else(|| best(absorbs.collect(), Kind::Whole))
    }

    /// Writers under their memory mark, our reads under way counted, that begin a stream in time.
    /// Guards against reads that no writer will take.
    fn with_room<'a>(&self, now: Time, request: &Request, writers: Vec<&'a View>) -> Vec<&'a View> {
        let reading: f64 = self.views.values().filter(|v| v.role == Role::Prefill).map(View::tokens).sum();
        let coming = reading / writers.iter().map(|v| v.kv).sum::<f64>().max(1.0);
        let (left, prompt) = (request.left(now), request.ask.prompt);
        let room = |v: &&View| {
            self.memory(v, now) + coming < MARK
                && v.oldest(now).max(self.predict(v, Kind::Near, prompt)) < left
        };
        writers.into_iter().filter(room).collect()
    }

    /// The soonest hand-over of a state from a reader's cell to any of these writers.
    fn soonest_hand<'a>(&self, now: Time, room: &[&View], x: f64) -> impl Fn(&View) -> Option<f64> + 'a {
        let (mut near, mut far) = (BTreeMap::new(), None::<f64>);
        for view in room {
            let [close, away] =
                [Kind::Near, Kind::Far].map(|kind| view.oldest(now).max(self.predict(view, kind, x)));
            let least: &mut f64 = near.entry(view.entry.cell).or_insert(close);
            *least = least.min(close);
            far = Some(far.map_or(away, |least| least.min(away)));
        }
        let links = self.links(now);
        move |reader| {
            let jam = links.get(&reader.entry.cell).copied().unwrap_or(0.0);
            let near = near.get(&reader.entry.cell).copied();
            near.into_iter().chain(far.map(|far| far.max(jam))).reduce(f64::min)
        }
    }

    // ---- The writer pick ----

    /// Asks a few writers of the reader's cell for their load, to be known when the read returns.
    fn ask_writers(&mut self, now: Time, cell: u32, out: &mut Vec<Action>) {
        if !self.set.may_probe || self.set.report_fields.is_empty() {
            return;
        }
        let (salt, spacing) = (self.salt(), (PROBE_EVERY * self.least_aim()) as Time);
        let near = self.views.values_mut().filter(|v| v.role != Role::Prefill && v.entry.cell == cell);
        let mut near: Vec<&mut View> = near.filter(|v| v.entry.listed == Listed::Running).collect();
        near.sort_by_key(|v| hash(&v.entry.server.0, &salt));
        for view in near.into_iter().take(PROBES).filter(|v| now >= v.probed + spacing) {
            view.probed = now;
            out.push(Action::Probe { server: view.entry.server.clone() });
        }
    }

    /// Sends a read request on to the writer with the fewest tokens running; ties go at random, so that
    /// fronts that know as little as each other do not all take the same one.
    fn hand_over(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) -> bool {
        let salt = self.salt();
        let Some(request) = self.requests.get(&id) else { return false };
        let Some((reader, _)) = &request.state else { return false };
        let left = request.aim - (now - request.arrived) as f64;
        let cell = self.views.get(reader).map(|view| view.entry.cell);
        let jam = cell.and_then(|cell| self.links(now).get(&cell).copied()).unwrap_or(0.0);
        let candidates =
            self.views.values().filter(|v| v.role != Role::Prefill && self.may_send(now, id, Some(v)));
        let key = |view: &View| {
            let far = hand_kind(view, cell) == Kind::Far;
            let tokens = self.held_tokens(view, now);
            let handicap = if far { FAR_HANDICAP * (request.ask.prompt + tokens) } else { 0.0 };
            // What waits at this writer, or for the cell's link, bounds the time from below: guards
            // against jammed links and writers alike.
            let jam = if far { jam } else { 0.0 };
            let time = self.predict(view, hand_kind(view, cell), request.ask.prompt);
            let late = time.max(view.oldest(now)).max(jam) > left;
            let poor = u32::from(!self.well(view, now))
                + u32::from(view.strikes > 0)
                + u32::from(request.avoid.contains(&view.entry.server));
            let full = u32::from(self.memory(view, now) >= MARK) + u32::from(late);
            (poor, full, (tokens + handicap) as u64, hash(&view.entry.server.0, &salt))
        };
        let best = candidates.min_by_key(|v| key(v));
        let Some((server, kind)) = best.map(|v| (v.entry.server.clone(), hand_kind(v, cell))) else {
            return false;
        };
        self.send(now, id, &server, kind, out)
    }

    // ---- Guards: every send and every final answer passes here ----

    /// Whether another attempt is allowed, at any server or at this one.
    fn may_send(&self, now: Time, id: ReqId, to: Option<&View>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let open = !request.ended
            && !request.streaming
            && request.out.is_none()
            && request.tries < self.set.most_tries
            && now < request.deadline
            && to.is_none_or(|v| v.entry.listed == Listed::Running && self.cold_turn(v, request, now));
        let effect = match (&request.ran, self.set.classes.get(request.ask.class).map(|c| c.repeat)) {
            (None, _) | (_, Some(Repeat::Safe)) => true,
            (Some((first, sent)), Some(Repeat::Keyed { group, memory })) => {
                // Kept well inside the span: the send has to arrive in it, too.
                let inside = now + self.set.connect_timeout + 4 * self.set.tick < sent + memory;
                let same = |to: &View| match (group, self.views.get(first)) {
                    (Group::All, _) => true,
                    (Group::Zone, Some(of)) => of.entry.zone == to.entry.zone,
                    (Group::Cell, Some(of)) => of.entry.cell == to.entry.cell,
                    (_, None) => false,
                };
                inside && to.is_none_or(same)
            }
            _ => false,
        };
        open && effect
    }

    fn cold(&self, view: &View, now: Time) -> bool {
        view.entry.ready_at > 0 && now < view.entry.ready_at + self.set.cold_for
    }

    /// Guards a server that has just started: each attempt may go there by a chance, so that any number of
    /// fronts together send it a part of what a warm server of its size answers, and none waits for a turn.
    fn cold_turn(&self, view: &View, request: &Request, now: Time) -> bool {
        if !self.cold(view, now) {
            return true;
        }
        let (sent, answered) = self.flow[view.role as usize];
        let even = view.entry.weight / self.warm[view.role as usize].max(view.entry.weight);
        let able = self.set.fall_multiple * self.set.cold_from * (answered + 1.0) / (sent + 1.0);
        let draw = hash(&view.entry.server.0, &format!("{} {}", request.ask.id.0, request.tries));
        (draw % COLD_DRAWS) as f64 <= COLD_USE * able * even * COLD_DRAWS as f64
    }

    fn send(&mut self, now: Time, id: ReqId, server: &ServerId, kind: Kind, out: &mut Vec<Action>) -> bool {
        let Some(view) = self.views.get(server) else { return false };
        if !self.may_send(now, id, Some(view)) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let x = match kind {
            Kind::Read | Kind::Whole => view.unread(&request.ask),
            Kind::Near | Kind::Far => request.ask.prompt,
        };
        let time = self.predict_now(view, kind, x, now);
        let start = match kind {
            Kind::Read => view.jobs.values().map(|job| job.due).max().map_or(now, |due| due.max(now)),
            _ => now,
        };
        let from = request.state.as_ref().and_then(|(at, _)| Some(self.views.get(at)?.entry.cell));
        let class = self.set.classes.get(request.ask.class);
        let tpot = class.map_or(0.0, |class| class.tpot_aim);
        let answer = if request.ask.hint > 0 && tpot > 0.0 {
            request.ask.hint as f64 / tpot
        } else {
            request.ask.max_out / 2.0
        };
        let effect = kind != Kind::Read && class.is_none_or(|class| class.repeat == Repeat::Unsafe);
        let patience = (GIVE_UP * time + (start - now) as f64).max(GIVE_UP_AIM * request.aim)
            * f64::from(1u32 << request.tries.min(4));
        let left = request.deadline - now;
        let timeout = if effect { left } else { left.min(patience as Time).max(1) };
        let job = Job {
            kind,
            from,
            sent: now,
            start,
            due: start + time as Time,
            x,
            tokens: request.ask.prompt + if kind == Kind::Read { 0.0 } else { answer },
            aim: request.aim,
            first: None,
        };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.out = Some((server.clone(), request.tries));
        request.tries += 1;
        request.pinned |= kind == Kind::Read;
        self.held.remove(&id);
        if let Some(view) = self.views.get_mut(server) {
            if kind == Kind::Whole {
                // Streams of other fronts stall too, and those fronts send such reads as well: the slack
                // that an answer gains at its nominal pace pays for one front's reads in turn.
                view.absorbed = now + (time * f64::from(self.set.fronts) / (1.0 - NOMINAL)) as Time;
            }
            view.jobs.insert(id, job);
            let (sent, answered) = &mut self.flow[view.role as usize];
            (*sent, *answered) = (*sent * FIT_KEEP + 1.0, *answered * FIT_KEEP);
        }
        out.push(Action::Send { id, server: server.clone(), timeout });
        if let (Kind::Read, Some(cell)) = (kind, self.views.get(server).map(|view| view.entry.cell)) {
            self.ask_writers(now, cell, out);
        }
        true
    }

    /// The one final answer: a refusal where nothing can have run (or repeats are harmless), else a failure.
    fn finish(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.held.remove(&id);
        if request.pinned {
            out.push(Action::Release { id });
        }
        if request.ended {
            return;
        }
        let harmless = match self.set.classes.get(request.ask.class).map(|class| class.repeat) {
            Some(Repeat::Safe) => true,
            Some(Repeat::Keyed { group: Group::All, memory }) => {
                request.ran.as_ref().is_none_or(|(_, sent)| now < sent + memory)
            }
            _ => request.ran.is_none(),
        };
        if harmless {
            let share = 0.5 + 0.5 * self.random();
            let retry_after =
                if self.set.may_advise { (share * self.set.max_retry_after as f64) as Time } else { 0 };
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
    }
}
