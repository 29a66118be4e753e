//! Every decision of the router, every table, default and tuned value. The interface is `src/api.rs`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;

// ---- Tunables: ratios of what is seen or of the settings ----

/// Weight that a fit keeps of its past at each new answer: about ten answers of memory.
const FIT_KEEP: f64 = 0.9;
/// A server's own pace, and one late attempt there, slow predictions by this factor at most.
const PACE_MOST: f64 = 20.0;
/// Weight of one answer in a server's own pace (it shows within a few), and of an arrival in their gap.
const PACE_STEP: f64 = 0.3;
/// An attempt is given up after this many predicted times, at least after this share of the aim, or whole
/// aims at fronts that see little: guards against reads begun anew while a crowded reader reads on.
const GIVE_UP: f64 = 4.0;
const GIVE_UP_AIM: f64 = 0.5;
const GIVE_UP_AIMS: f64 = 2.0;
/// Memory mark: no read is begun when all writers hold more; the rest is room for answers to grow.
const MARK: f64 = 0.85;
/// Memory mark of rule 3: a fuller writer's streams run too near their aim to wait for a read.
const ABSORB_MARK: f64 = 0.75;
/// Fronts that have a turn of rule 3 at a writer at once: most have nothing to send then.
const TURNS: f64 = 2.0;
/// Nominal pace of a stream, as a share of its TPOT aim: what it needs when nothing disturbs it.
const NOMINAL: f64 = 0.6;
/// A request waits at the router for this share of its TTFT aim at most.
const HOLD: f64 = 0.38;
/// First suspension after a failure, in shortest TTFT aims; it doubles so often, and is long enough that
/// trials of one suspect are at most this share of our requests.
const SUSPEND: f64 = 0.5;
const DOUBLINGS: u32 = 4;
const TRIALS: f64 = 0.1;
/// Connections that may break at a server, between two answers, before it is suspected.
const BROKE: u32 = 1;
/// Suspects of a role from which on servers are preferred that answered the class within so many aims.
const WARY: usize = 2;
const PROVEN: f64 = 12.0;
/// A state that no writer takes is let go after this share of the time that the rule allows.
const LET_GO: f64 = 0.6;
/// Share of the cold budget that is used: the rest is room for uneven splits among fronts.
const COLD_USE: f64 = 0.6;
/// Readers of a cell with hardly any writers still get this part of the others' reads.
const LEAST_PART: f64 = 0.1;
/// Our sends since a report stand for at most so many fronts that saw the same one.
const HERD: u32 = 4;
/// With so few fronts our own sends tell more of a reader than its report, which lags.
const FEW_FRONTS: u32 = 8;
/// A report older than this many TTFT aims is no evidence.
const REPORT_LIFE: f64 = 2.0;
/// A state that leaves its cell counts as this many times its tokens at the far writer.
const FAR_HANDICAP: f64 = 4.0;
/// Places in a server's memory of kept texts; it starts anew when it is full.
const KEPT_MOST: usize = 2000;
/// Held requests that fit nowhere before the rest is left for the next event.
const MISSES: u32 = 8;
/// Read times within the TTFT aim over this are a tie.
const TIE: f64 = 20.0;
/// Reports are held to tell what was one shortest TTFT aim ago, however lately they came: the share of that
/// lag, or of a client's shorter time, that a predicted end leaves free for unseen queues.
const BLIND: f64 = 0.5;
/// A text shared by more than this share of a prompt is kept at about so many readers, not at all of them.
const SHARED: f64 = 0.5;
const HOMES: f64 = 4.0;
/// Servers keep texts in blocks: a shared text of which less than this share was found is gone.
const FOUND: f64 = 0.5;
/// Reads by others since a report's content from which it is no evidence that a reader is idle.
const CROWD: f64 = 1.0;
/// Servers that tell their load before a rule counts as not met, only one where a text has its home: the next
/// reads it anew, which costs all more than it gains this one. Writers asked while a reader reads.
const PROBES: usize = 3;
const PROBES_NEAR: usize = 2;
/// Shares of the shortest TTFT aim that a report of waiting work is news for, and a probe may take.
const FRESH: f64 = 0.25;
const PROBE_WAIT: f64 = 0.05;
/// A reader with more reported work than this many mean reads has some that waits.
const RUNNING: f64 = 8.0;
/// Until a writer's read has been seen, it is held to take this many times a reader's.
const WRITER_READS: f64 = 3.0;
/// Reported waiting work that makes a writer full, as a share of its KV tokens.
const QUEUED: f64 = 0.03;
/// Tokens below which a shorter read gains nothing.
const LEAST_READ: f64 = 100.0;
/// Advice to come back is drawn from this share of the longest that clients follow, up to all of it.
const ADVICE: f64 = 0.5;
const SWEEP: u64 = 1;
/// Sweeps in the time that a held state has; an answer due within so many is given now.
const SWEEPS: u64 = 10;
const CLOSING: u64 = 2;
/// A failed call for the list is made again after this part of its span; ticks that a send takes to arrive.
const ASK_AGAIN: u64 = 4;
const TRAVEL: u64 = 4;
/// Streams are moved in this part of the time of a front that ends: before, many end by themselves and a
/// neighbour that ended first may not be back; after, there is no time for what was passed on to arrive.
const MOVING: (f64, f64) = (0.35, 0.9);
/// Without a hint, the share of its longest that an answer takes; seconds of a tenant's share in its bucket.
const ANSWER: f64 = 0.5;
const QUOTA_SPAN: f64 = 2.0;

// ---- Views of servers ----

/// What an attempt is for; also numbers the fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
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

enum Step {
    Take(ServerId),
    /// A server is asked, or its answer is due.
    Ask(Option<ServerId>),
    Next,
}

/// What a server has done for one class: a server may fail one and serve the others.
#[derive(Clone, Copy, Default)]
struct Health {
    strikes: u32,
    /// Connections that broke since it last answered.
    broke: u32,
    /// No work before this time, and then one trial at a time.
    until: Time,
    struck: Time,
    answered: Time,
}

#[derive(Clone)]
struct Job {
    kind: Kind,
    /// Cell of the state that it fetches.
    from: Option<u32>,
    sent: Time,
    due: Time,
    x: f64,
    unread: f64,
    tokens: f64,
    first: Option<Time>,
}

#[derive(Default)]
struct View {
    entry: Entry,
    role: Role,
    kv: f64,
    jobs: BTreeMap<ReqId, Job>,
    /// By kind of attempt: how much slower than the common fits, 0 for as fast.
    pace: [f64; 4],
    kept: BTreeMap<TextKey, (f64, Time)>,
    /// Memory share, prompt tokens that wait, and when told.
    report: Option<(f64, f64, Time)>,
    probed: Time,
    health: BTreeMap<usize, Health>,
}

impl View {
    fn tokens(&self) -> f64 {
        self.jobs.values().map(|job| job.tokens).sum()
    }

    fn waiting(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.first.is_none())
    }

    fn oldest(&self, now: Time) -> f64 {
        self.waiting().map(|job| now.saturating_sub(job.sent) as f64).fold(0.0, f64::max)
    }

    fn unread(&self, ask: &Arrival) -> f64 {
        (ask.prompt - self.kept(ask)).max(0.0)
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
        if found < FOUND * ask.shared || self.kept.len() > KEPT_MOST {
            self.kept.retain(|_, (_, at)| *at == now);
        }
    }
}

#[derive(Default)]
struct Request {
    ask: Arrival,
    arrived: Time,
    deadline: Time,
    aim: f64,
    over: bool,
    tries: u32,
    out: Option<(ServerId, u32)>,
    /// The reader whose state waits, and since when.
    state: Option<(ServerId, Time)>,
    streaming: bool,
    ended: bool,
    /// Server and send time of the first attempt that may have run.
    ran: Option<(ServerId, Time)>,
}

/// A hash as a number above 0, at most 1.
fn unit(hash: u64) -> f64 {
    ((hash & 0xffff_ffff) + 1) as f64 / 2f64.powi(32)
}

impl Request {
    /// Past its aim it earns little: it takes only what is free, after all that can be in time.
    fn late(&self, now: Time) -> bool {
        now >= self.arrived + self.aim as Time
    }

    /// Time left within the aim, after it to the deadline; clients may come with less than the aim.
    fn left(&self, now: Time) -> f64 {
        let (age, all) = ((now - self.arrived) as f64, self.deadline.saturating_sub(now) as f64);
        if age < self.aim { all.min(self.aim - age) } else { all }
    }
}

fn hash(one: &str, other: &str) -> u64 {
    let mix = |h: u64, byte: u8| (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let h = one.bytes().chain([0]).chain(other.bytes()).fold(0xcbf2_9ce4_8422_2325, mix);
    (h ^ (h >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 8
}

fn hand_kind(view: &View, from: Option<u32>) -> Kind {
    if from.is_none_or(|cell| cell == view.entry.cell) { Kind::Near } else { Kind::Far }
}

/// One front's router.
pub struct Router {
    set: Settings,
    seed: u64,
    views: BTreeMap<ServerId, View>,
    requests: BTreeMap<ReqId, Request>,
    fits: [Line; 4],
    /// By role: the most weight of warm servers seen at once; our sends and their answers, older ones fading.
    warm: [f64; 3],
    flow: [(f64, f64); 3],
    quota: Vec<(f64, Time)>,
    /// Mean time between our requests, and when the last one came.
    gap: f64,
    came: Time,
    /// Tokens that writers report lately: stands for those that have not reported. Mean logarithm of prompts.
    usual_tokens: f64,
    usual_prompt: f64,
    /// Weight of the running readers, and of the writers and mixed servers, by cell.
    readers: BTreeMap<u32, f64>,
    writers: BTreeMap<u32, f64>,
    /// The most weight of writers and mixed servers seen at once, by cell.
    paired: BTreeMap<u32, f64>,
    /// Servers can be asked for their load.
    may_ask: bool,
    armed: bool,
    asked: Option<Time>,
    /// When the next stream is moved, when all are to be, and when this front ends.
    stop: Option<(Time, Time, Time)>,
}

impl Router {
    /// A router that knows nothing yet. The seed feeds its random numbers, which only break ties.
    pub fn new(set: Settings, seed: u64) -> Router {
        Router {
            quota: vec![(0.0, 0); set.tenants.len()],
            may_ask: set.may_probe && !set.report_fields.is_empty() && set.fronts > FEW_FRONTS,
            set,
            seed: seed | 1,
            views: BTreeMap::new(),
            requests: BTreeMap::new(),
            fits: [Line::default(); 4],
            warm: [0.0; 3],
            flow: [(0.0, 0.0); 3],
            gap: 0.0,
            came: 0,
            usual_tokens: 0.0,
            usual_prompt: 0.0,
            readers: BTreeMap::new(),
            writers: BTreeMap::new(),
            paired: BTreeMap::new(),
            armed: false,
            asked: None,
            stop: None,
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
            Event::ClientGone { id } => self.gone(now, id, out),
            Event::Timer { name: SWEEP } => {
                self.armed = false;
                self.sweep(now, out);
            }
            Event::Stopping { within } => {
                let at = |part: f64| now + (part * within as f64) as Time;
                self.stop = Some((at(MOVING.0), at(MOVING.1), now + within));
            }
            Event::Timer { .. } | Event::Place { .. } => {}
        }
        self.totals(now);
        self.dispatch_held(now, new, out);
        if let Some(id) = new.filter(|id| self.held().any(|held| held == *id) && self.closing(now, *id)) {
            self.finish(now, id, out);
        }
        self.arm(out);
    }

    /// Goes on with other figures; classes, kinds and tenants are the same.
    pub fn adopt(&mut self, set: Settings) {
        self.may_ask = set.may_probe && !set.report_fields.is_empty() && set.fronts > FEW_FRONTS;
        for view in self.views.values_mut() {
            view.role = set.roles.get(view.entry.kind).copied().unwrap_or(Role::Mixed);
            view.kv = set.kv_tokens.get(view.entry.kind).copied().unwrap_or(0.0);
        }
        self.quota.resize(set.tenants.len(), (0.0, 0));
        self.set = set;
    }

    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
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
        (self.set.let_go_by / SWEEPS).max(self.set.tick).max(1)
    }

    /// Whether the client's time would be up before a later sweep could answer: answer now.
    fn closing(&self, now: Time, id: ReqId) -> bool {
        self.requests.get(&id).is_none_or(|request| now + CLOSING * self.sweep_every() >= request.deadline)
    }

    // ---- The monitor ----

    fn servers(&mut self, now: Time, mode: ListMode, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if self.set.discovery == Discovery::Asked {
            match mode {
                ListMode::Restored => out.push(Action::Subscribe),
                ListMode::Failed => self.asked = Some(now + self.set.ask_within / ASK_AGAIN),
                _ => self.asked = None,
            }
        }
        if mode == ListMode::Failed {
            return;
        }
        for view in self.views.values_mut().filter(|_| mode != ListMode::Changes) {
            view.entry.listed = Listed::Gone;
        }
        for entry in entries {
            let role = self.set.roles.get(entry.kind).copied().unwrap_or(Role::Mixed);
            let kv = self.set.kv_tokens.get(entry.kind).copied().unwrap_or(0.0);
            let view = self.views.entry(entry.server.clone()).or_default();
            if entry.ready_at != view.entry.ready_at {
                *view = View { jobs: std::mem::take(&mut view.jobs), ..View::default() };
            }
            (view.entry, view.role, view.kv) = (entry, role, kv);
        }
        self.views.retain(|_, view| view.entry.listed != Listed::Gone || !view.jobs.is_empty());
    }

    fn totals(&mut self, now: Time) {
        let (mut warm, mut readers, mut writers) = ([0.0; 3], BTreeMap::new(), BTreeMap::new());
        for view in self.views.values().filter(|v| v.entry.listed == Listed::Running) {
            let cells = if view.role == Role::Prefill { &mut readers } else { &mut writers };
            *cells.entry(view.entry.cell).or_insert(0.0) += view.entry.weight;
            warm[view.role as usize] += if self.cold(view, now) { 0.0 } else { view.entry.weight };
        }
        (self.readers, self.writers) = (readers, writers);
        for (cell, now) in &self.writers {
            self.paired.entry(*cell).and_modify(|most| *most = most.max(*now)).or_insert(*now);
        }
        for (most, warm) in self.warm.iter_mut().zip(warm) {
            *most = most.max(warm);
        }
    }

    fn report(&mut self, now: Time, server: &ServerId, load: Option<Vec<f64>>) {
        let mean = self.mean_read();
        let (Some(load), Some(view)) = (load, self.views.get_mut(server)) else { return };
        let (mut share, mut waiting, mut busy) = (0.0f64, 0.0f64, 0.0f64);
        for (field, value) in self.set.report_fields.iter().zip(load) {
            let value = if value.is_finite() { value.max(0.0) } else { continue };
            match field {
                ReportField::MemoryShare => share = share.max(value.min(1.0)),
                ReportField::Busy => busy = value.min(1.0),
                ReportField::PendingThousands => waiting += value * 1000.0,
                ReportField::Queue => waiting += value * mean,
                _ => {}
            }
        }
        // A writer with a queue is full, whatever bounds it: slots are told nowhere else.
        let share = if waiting > QUEUED * view.kv { 1.0 } else { share.max(busy) };
        view.report = Some((share, waiting + busy * mean, now));
        if view.role != Role::Prefill {
            self.usual_tokens += PACE_STEP * (share * view.kv - self.usual_tokens);
        }
    }

    /// What has not ended yet bounds the pace from below: guards against a lagging fit.
    fn predict(&self, view: &View, kind: Kind, x: f64, now: Time) -> f64 {
        let unseen = kind == Kind::Whole && self.fits[Kind::Whole as usize].0[0] == 0.0;
        let common = if unseen { WRITER_READS * self.fits[0].at(x) } else { self.fits[kind as usize].at(x) };
        let behind = view.waiting().filter(|job| job.kind == kind).map(|job| {
            let wanted = (job.due.saturating_sub(job.sent) as f64).max(1.0);
            now.saturating_sub(job.sent) as f64 / wanted
        });
        common * (1.0 + view.pace[kind as usize]) * behind.fold(1.0, f64::max).min(PACE_MOST)
    }

    fn mean_read(&self) -> f64 {
        let [n, sum, ..] = self.fits[Kind::Read as usize].0;
        if n > 0.0 { sum / n } else { LEAST_READ }
    }

    /// Whether a server's own report, or where none is to be had our sends, tell what waits there now.
    fn fresh(&self, view: &View, now: Time) -> bool {
        !self.may_ask || view.report.is_some_and(|(_, _, at)| now <= at + (FRESH * self.least_aim()) as Time)
    }

    /// Prompt tokens ahead of a new read: as reported, and ours, which a report lags behind.
    fn ahead(&self, view: &View, now: Time) -> f64 {
        let report = view.report.filter(|_| self.may_ask && self.fresh(view, now));
        report.map_or(0.0, |(_, waiting, _)| waiting) + view.waiting().map(|job| job.unread).sum::<f64>()
    }

    /// Reads that the other fronts, if they are like us, have sent to a reader since its report's content.
    fn others(&self) -> f64 {
        let readers = self.readers.values().sum::<f64>().max(1.0);
        let each = if self.gap > 0.0 && self.may_ask { self.least_aim() / self.gap } else { 0.0 };
        each * f64::from(self.set.fronts - 1) / readers
    }

    /// The first of these servers that takes a read, each asked for its load before it is passed over. No
    /// answer counts as busy: guards against fronts that see an idle fleet because they have nothing out. It
    /// leaves the next its turn: guards against a home that has fallen silent.
    fn first_of(&self, now: Time, ask: &Arrival, of: &[&View], takes: impl Fn(&View) -> bool) -> Step {
        let wait = (PROBE_WAIT * self.least_aim()) as Time;
        let (mut told, most) = (0, if ask.session.is_some() { 1 } else { PROBES });
        for view in of {
            if self.may_ask && told >= most {
                break;
            }
            if self.fresh(view, now) {
                if takes(view) {
                    return Step::Take(view.entry.server.clone());
                }
                told += 1;
            } else if now >= view.probed + (FRESH * self.least_aim()) as Time {
                return Step::Ask(Some(view.entry.server.clone()));
            } else if now < view.probed + wait {
                return Step::Ask(None);
            }
        }
        Step::Next
    }

    /// Age of the oldest state of ours that waits for a cell's link: guards against jammed links.
    fn jam(&self, cell: Option<u32>, now: Time) -> f64 {
        let far = self.views.values().flat_map(View::waiting).filter(|job| job.kind == Kind::Far);
        far.filter(|job| job.from == cell).map(|job| (now - job.sent) as f64).fold(0.0, f64::max)
    }

    /// An answer moves its server's pace against the common line, then the line by what is left.
    fn learn(&mut self, server: &ServerId, kind: Kind, x: f64, y: f64) {
        let (fit, Some(view)) = (&mut self.fits[kind as usize], self.views.get_mut(server)) else { return };
        let (common, pace) = (fit.at(x), &mut view.pace[kind as usize]);
        if common > 0.0 {
            *pace += PACE_STEP * ((y / common).clamp(1.0 / PACE_MOST, PACE_MOST) - 1.0 - *pace);
        }
        fit.learn(x, y / (1.0 + *pace));
    }

    /// Suspends a server for a class, so long that all fronts together do not feed one that answers nothing.
    fn strike(&mut self, server: &ServerId, class: usize, now: Time) {
        let base = (SUSPEND * self.least_aim()).max(self.gap / TRIALS);
        if let Some(health) = self.views.get_mut(server).map(|view| view.health.entry(class).or_default()) {
            let span = base * f64::from(1u32 << health.strikes.min(DOUBLINGS));
            (health.strikes, health.struck, health.until) = (health.strikes + 1, now, now + span as Time);
        }
    }

    /// Connections to a server that broke under this class since it last answered it, with this one.
    fn broke(&mut self, server: &ServerId, class: usize) -> u32 {
        let Some(view) = self.views.get_mut(server) else { return 0 };
        let health = view.health.entry(class).or_default();
        health.broke += 1;
        health.broke
    }

    fn answered(&mut self, server: &ServerId, class: usize, now: Time) {
        let Some(view) = self.views.get_mut(server) else { return };
        view.health.insert(class, Health { answered: now, ..Health::default() });
        self.flow[view.role as usize].1 += 1.0;
    }

    /// Suspected for a class: it failed for it, or for another one since it last answered this one.
    fn suspect(view: &View, class: usize) -> Option<&Health> {
        let answered = view.health.get(&class).map_or(0, |health| health.answered);
        let since = |health: &&Health| health.strikes > 0 && health.struck >= answered;
        view.health.values().filter(since).max_by_key(|h| h.until)
    }

    /// Running, not suspected, or a suspect whose time for one trial has come.
    fn well(view: &View, class: usize, now: Time) -> bool {
        let trial = |health: &Health| now >= health.until && view.waiting().next().is_none();
        view.entry.listed == Listed::Running && Self::suspect(view, class).is_none_or(trial)
    }

    /// Whether our own requests meet too few of the servers for our own answers to tell how those do.
    fn sparse(&self) -> bool {
        PROVEN * self.least_aim() < self.gap * self.views.len() as f64
    }

    /// Where several servers of a role fail this class, those that have not lately answered it come last:
    /// guards against failures that each front meets at one server after the other.
    fn wary(&self, reads: bool, class: usize, now: Time) -> impl Fn(&View) -> bool + use<> {
        let life = (PROVEN * self.least_aim()) as Time;
        let of = self.views.values().filter(|v| (v.role == Role::Prefill) == reads);
        let wary = of.filter(|v| Self::suspect(v, class).is_some()).count() >= WARY;
        move |view| wary && view.health.get(&class).is_none_or(|health| now >= health.answered + life)
    }

    /// A report that is young enough to be evidence.
    fn reported(&self, view: &View, now: Time) -> Option<(f64, f64, Time)> {
        view.report.filter(|(_, _, at)| (now - at) as f64 <= REPORT_LIFE * self.least_aim())
    }

    /// Tokens that a writer holds: as reported, plus ours since. Without a report as much as writers usually
    /// report: guards against unknown writers that look empty, which drew states over the links.
    fn held_tokens(&self, view: &View, now: Time) -> f64 {
        match self.reported(view, now) {
            Some((share, _, at)) => {
                let since = view.jobs.values().filter(|job| job.sent > at).map(|job| job.tokens);
                share * view.kv + since.sum::<f64>() * f64::from(self.set.fronts.min(HERD))
            }
            None => view.tokens().max(self.usual_tokens),
        }
    }

    /// What is not known to be full is tried: a usual share must not shut writers that nobody asks then.
    fn memory(&self, view: &View, now: Time) -> f64 {
        let held = self.reported(view, now).map_or(view.tokens(), |_| self.held_tokens(view, now));
        if view.kv > 0.0 { held / view.kv } else { 0.0 }
    }

    /// Whole reads go to a writer by turns drawn at random, about as many as the slack gained at the nominal
    /// pace pays for. Guards against fronts, blind to each other's streams, that each send a first at once.
    fn turn(&self, view: &View, time: f64, now: Time) -> bool {
        let slot = now / (time / (1.0 - NOMINAL)).max(1.0) as Time;
        let draw = hash(&view.entry.server.0, &format!("{} {slot}", self.set.me));
        unit(draw) * f64::from(self.set.fronts) <= TURNS
    }

    /// What the streams of a writer have gained on their TPOT aim at the nominal pace.
    fn slack(view: &View, now: Time) -> f64 {
        let answers = view.jobs.values().filter(|job| job.first.is_some() || job.kind == Kind::Whole);
        let slack = answers.map(|job| (now - job.first.unwrap_or(now)) as f64 * (1.0 / NOMINAL - 1.0));
        slack.fold(f64::MAX, f64::min)
    }

    // ---- Requests coming and going ----

    fn arrived(&mut self, now: Time, ask: Arrival) {
        let aim = self.set.classes.get(ask.class).map_or(ask.time_left as f64, |class| {
            class.ttft_aim as f64 + class.ttft_aim_per_1000 * ask.prompt / 1000.0
        });
        let (tenant, bucket) = (self.set.tenants.get(ask.tenant), self.quota.get_mut(ask.tenant));
        let over = tenant.zip(bucket).is_some_and(|(tenant, (level, at))| {
            let rate = tenant.quota_per_s / f64::from(self.set.fronts);
            *level = (*level - rate * (now - *at) as f64 / 1e6).max(0.0);
            *at = now;
            let over = *level > QUOTA_SPAN * rate;
            *level += if over { 0.0 } else { 1.0 };
            over
        });
        let (step, since) = if self.came > 0 { (PACE_STEP, now - self.came) } else { (1.0, 0) };
        self.usual_prompt += step * (ask.prompt.max(1.0).ln() - self.usual_prompt);
        self.gap += step * (since as f64 - self.gap);
        self.came = now;
        let id = ask.id;
        let request =
            Request { arrived: now, deadline: now + ask.time_left, aim, over, ask, ..Request::default() };
        self.requests.insert(id, request);
    }

    fn first(&mut self, now: Time, id: ReqId, server: &ServerId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        request.state = None;
        let Some(view) = self.views.get_mut(server) else { return };
        let Some(job) = view.jobs.get_mut(&id) else { return };
        job.first = Some(now);
        let job = job.clone();
        if job.kind == Kind::Whole {
            view.remember(&request.ask, job.tokens, now);
        }
        let class = request.ask.class;
        self.answered(server, class, now);
        self.learn(server, job.kind, job.x, (now - job.sent) as f64);
    }

    fn ended(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let Event::Ended { id, server, outcome, settled, note, load, .. } = event else { return };
        let server = &server;
        self.report(now, server, load);
        let job = self.views.get_mut(server).and_then(|view| view.jobs.remove(&id));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.out = None;
        // What never came up was never out, and the state waits on: guards against one such try after another.
        if let Some((_, since)) = request.state.as_mut().filter(|_| outcome != Outcome::NoConnection) {
            *since = now;
        }
        // A state that a writer misses may be out of reach, behind a cut: let go of it before reading anew.
        let missed = outcome == Outcome::Full && note == 1;
        if missed || request.state.as_ref().is_some_and(|(_, since)| now > since + self.set.let_go_by) {
            request.state = None;
            out.push(Action::Release { id });
        }
        let class = request.ask.class;
        let whole = job.as_ref().is_some_and(|job| job.kind != Kind::Read);
        match outcome {
            Outcome::Read => {
                request.state = Some((server.clone(), now));
                if let (Some(view), Some(job)) = (self.views.get_mut(server), &job) {
                    view.remember(&request.ask, note as f64, now);
                    let x = job.x - job.unread + (request.ask.prompt - note as f64).max(0.0);
                    self.answered(server, class, now);
                    self.learn(server, Kind::Read, x, (now - job.sent) as f64);
                }
            }
            _ if missed => {}
            Outcome::Served | Outcome::NotSent | Outcome::Cancelled => {}
            // One broken connection says little of a server, and one that has died refuses the next at once:
            // guards against resets on the way that would suspend one server after the other.
            Outcome::Broken if self.broke(server, class) <= BROKE => {}
            _ => {
                self.strike(server, class, now);
                // What ran out of time took at least so long: guards against slow servers and jammed links
                // that would look quick, since only answers taught, and against time-outs too short for all.
                let took = |job: &&Job| outcome == Outcome::TimedOut || job.kind == Kind::Far;
                if let Some(job) = job.as_ref().filter(took) {
                    self.learn(server, job.kind, job.x, (now - job.sent) as f64);
                }
            }
        }
        // A read may have ended well as its connection broke: guards against its state waiting there unseen.
        if !whole && !outcome.never_ran() {
            out.push(Action::Release { id });
        }
        let closing = self.closing(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if whole && !outcome.never_ran() && request.ran.is_none() {
            request.ran = Some((server.clone(), job.map_or(now, |job| job.sent)));
        }
        request.ended |= settled;
        let over = request.ended || outcome == Outcome::NotSent || closing;
        if over || (!self.hand_over(now, id, out) && !self.may_send(now, id, None)) {
            self.finish(now, id, out);
        }
    }

    fn gone(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        match &request.out {
            None => self.finish(now, id, out),
            Some((_, attempt)) if self.set.may_cancel => out.push(Action::Cancel { id, attempt: *attempt }),
            _ => {}
        }
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.asked.is_some_and(|at| now >= at) {
            self.asked = Some(now + self.set.ask_within / ASK_AGAIN);
            out.push(Action::Subscribe);
        }
        self.move_streams(now, out);
        let keep = (LET_GO * self.set.let_go_by as f64) as Time;
        let stuck: Vec<ReqId> = self.held().collect();
        for id in stuck {
            let Some(request) = self.requests.get_mut(&id) else { return };
            if request.state.as_ref().is_some_and(|(_, since)| now >= since + keep) {
                request.state = None;
                out.push(Action::Release { id });
            }
            // The wait ends early for what has not been tried, at the aim for what is not read.
            let wait = if request.tries == 0 { HOLD * request.aim } else { request.aim };
            let early = request.state.is_none() && now >= request.arrived + wait as Time;
            if early || self.closing(now, id) {
                self.finish(now, id, out);
            }
        }
    }

    /// Where this front ends, streams that it would cut go on elsewhere before: one after the other over the
    /// time that is left. Guards against all their clients coming again at once, which no reader can take.
    fn move_streams(&mut self, now: Time, out: &mut Vec<Action>) {
        let stop = self.stop.filter(|(due, _, _)| self.set.resume && now >= *due);
        let Some((_, last, end)) = stop else { return };
        let class = |request: &Request| self.set.classes.get(request.ask.class).map_or(0.0, |c| c.tpot_aim);
        // One that is past its time at the nominal pace is at a slow writer: its end is not known.
        let ends = |id: &ReqId, request: &Request| {
            let job = self.views.get(&request.out.as_ref()?.0)?.jobs.get(id)?;
            let tokens = job.tokens - request.ask.prompt;
            let at = job.first? + (tokens * NOMINAL * class(request)) as Time;
            Some(if at < now { Time::MAX } else { at }).filter(|at| *at > end)
        };
        let cut = self.requests.iter().filter(|(_, request)| request.streaming && !request.ended);
        let cut: Vec<_> = cut.filter_map(|(id, request)| Some((ends(id, request)?, *id))).collect();
        let Some((_, id)) = cut.iter().max() else { return };
        self.stop = Some((now + last.saturating_sub(now) / cut.len() as Time, last, end));
        if let Some(request) = self.requests.get_mut(id) {
            request.ended = true;
            out.push(Action::Move { id: *id });
        }
    }

    // ---- The dispatcher ----

    fn held(&self) -> impl Iterator<Item = ReqId> {
        self.requests.iter().filter(|(_, request)| request.out.is_none()).map(|(id, _)| *id)
    }

    /// Places what is held, the most worthy first; a request that has just come changes nothing for others.
    fn dispatch_held(&mut self, now: Time, only: Option<ReqId>, out: &mut Vec<Action>) {
        let mut queue: Vec<(bool, bool, Reverse<u64>, Time, ReqId)> = Vec::new();
        for id in self.held().filter(|id| only.is_none_or(|only| only == *id)) {
            let Some(request) = self.requests.get(&id) else { continue };
            let worth = self.set.classes.get(request.ask.class).map_or(0.0, |class| class.worth);
            let kept = self.views.values().map(|view| view.kept(&request.ask)).fold(0.0, f64::max);
            let gain = worth * request.ask.prompt / (request.ask.prompt - kept).max(LEAST_READ);
            queue.push((request.late(now), request.over, Reverse(gain.to_bits()), request.arrived, id));
        }
        queue.sort_unstable();
        let mut misses = 0;
        for (_, _, _, _, id) in queue {
            let sent = if self.requests.get(&id).is_some_and(|request| request.state.is_some()) {
                self.hand_over(now, id, out)
            } else {
                match self.place(now, id) {
                    (Step::Take(server), kind) => self.send(now, id, &server, kind, out),
                    (Step::Ask(Some(server)), _) => self.ask(now, &server, out),
                    _ => false,
                }
            };
            misses += u32::from(!sent);
            if misses >= MISSES {
                break;
            }
        }
    }

    /// Rules 1, 2 and 3 in this order; the request is held where none takes it.
    fn place(&self, now: Time, id: ReqId) -> (Step, Kind) {
        let salt = id.0.to_string();
        let Some(request) = self.requests.get(&id) else { return (Step::Next, Kind::Read) };
        let (ask, left) = (&request.ask, request.left(now));
        let usable = |view: &&View| Self::well(view, ask.class, now) && self.may_send(now, id, Some(view));
        let (mut readers, writers): (Vec<&View>, Vec<&View>) =
            self.views.values().filter(usable).partition(|v| v.role == Role::Prefill);
        // Writers under their memory mark that begin a stream in time: guards against reads that none takes.
        let room = |v: &&View| {
            let hand = v.oldest(now).max(self.predict(v, Kind::Near, ask.prompt, now));
            self.memory(v, now) < if request.late(now) { ABSORB_MARK } else { MARK } && hand < left
        };
        let room: Vec<&View> = writers.into_iter().filter(room).collect();
        let near: BTreeSet<u32> = room.iter().map(|v| v.entry.cell).collect();
        let read =
            |view: &View, kind: Kind| self.predict(view, kind, self.ahead(view, now) + view.unread(ask), now);
        readers.retain(|_| !room.is_empty() && request.tries + 1 < self.set.most_tries);
        // Readers by their read; near times go by a hash of session and server, weighted by what all fronts
        // see alike: the writers of its cell, so that few states leave it. Lagging reports order nothing:
        // guards against herds, and sessions read anew elsewhere (seven times the work). Where few are asked,
        // a cold reader that is drawn comes first: guards against a draw thinned twice.
        let wary = self.wary(true, ask.class, now);
        let text = ask.prefix.as_ref().filter(|_| ask.shared > SHARED * ask.prompt);
        let homes = HOMES / self.readers.values().sum::<f64>().max(1.0);
        let rank = |view: &&View| {
            let home = hash(&view.entry.server.0, ask.session.as_ref().map_or(&salt, |key| &key.0));
            let away = text.is_some_and(|key| unit(hash(&view.entry.server.0, &key.0)) > homes);
            let cell = &view.entry.cell;
            let part =
                self.writers.get(cell).zip(self.readers.get(cell)).map_or(0.0, |(room, all)| room / all);
            let home = (-unit(home).ln() / part.sqrt().max(LEAST_PART) / view.entry.weight).to_bits();
            let (kind, jam) =
                if near.contains(cell) { (Kind::Near, 0.0) } else { (Kind::Far, self.jam(Some(*cell), now)) };
            let time = read(view, Kind::Read) + self.fits[kind as usize].at(ask.prompt).max(jam);
            let times = if self.may_ask { 0.0 } else { time * TIE / request.aim.max(1.0) };
            (wary(view), self.may_ask && !self.cold(view, now), away, times.round() as u64, home)
        };
        readers.sort_by_cached_key(rank);
        // Rule 1: an idle reader. What an old report calls idle draws all fronts: guards against herds there.
        let crowd = self.others() >= CROWD;
        let idle = |v: &View| !crowd && v.jobs.is_empty() && self.ahead(v, now) < LEAST_READ;
        // Rule 2: a running reader with nothing waiting that will be on time. No predicted end has passed,
        // and time is left for what other fronts sent since the report was true.
        let blind = if self.may_ask { BLIND * left.min(self.least_aim()) } else { 0.0 };
        let on_time = |v: &View| {
            v.jobs.len() <= 1
                && (!request.late(now) || self.ahead(v, now) < LEAST_READ)
                && v.jobs.values().all(|job| job.due >= now)
                && self.ahead(v, now) <= RUNNING * self.mean_read()
                && read(v, Kind::Read) + blind <= left
        };
        // Rule 3: a writer under its memory mark whose streams all have slack above this read.
        let absorbs = |v: &&View| {
            let time = read(v, Kind::Whole);
            self.turn(v, time, now)
                && self.memory(v, now) < ABSORB_MARK
                && time <= left
                && Self::slack(v, now) > time
        };
        let room = room.into_iter().filter(|v| v.role == Role::Mixed || self.set.writers_read);
        let mut absorbers: Vec<&View> = room.filter(absorbs).collect();
        absorbers.sort_by_cached_key(|v| (v.role != Role::Mixed, hash(&v.entry.server.0, &salt)));
        let step = match self.first_of(now, ask, &readers, idle) {
            Step::Next => self.first_of(now, ask, &readers, on_time),
            step => step,
        };
        match step {
            Step::Next => (self.first_of(now, ask, &absorbers, |_| true), Kind::Whole),
            step => (step, Kind::Read),
        }
    }

    // ---- The writer pick ----

    fn ask(&mut self, now: Time, server: &ServerId, out: &mut Vec<Action>) -> bool {
        if let Some(view) = self.views.get_mut(server) {
            view.probed = now;
            out.push(Action::Probe { server: server.clone() });
        }
        false
    }

    /// Asks a few writers of the reader's cell for their load, to be known when the read returns.
    fn ask_writers(&mut self, now: Time, cell: u32, out: &mut Vec<Action>) {
        if !self.set.may_probe || self.set.report_fields.is_empty() {
            return;
        }
        let (salt, spacing) = (self.random().to_string(), (FRESH * self.least_aim()) as Time);
        let near = self.views.values().filter(|v| v.role != Role::Prefill && v.entry.cell == cell);
        let near = near.filter(|v| v.entry.listed == Listed::Running && now >= v.probed + spacing);
        let mut near: Vec<_> = near.map(|v| v.entry.server.clone()).collect();
        near.sort_by_cached_key(|server| hash(&server.0, &salt));
        for server in near.iter().take(PROBES_NEAR) {
            self.ask(now, server, out);
        }
    }

    /// Sends a read request on to the writer with the fewest tokens running; ties at random, against herds.
    fn hand_over(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) -> bool {
        let salt = self.random().to_string();
        let Some(request) = self.requests.get(&id) else { return false };
        let Some((reader, _)) = &request.state else { return false };
        let left = request.aim - (now - request.arrived) as f64;
        let cell = self.views.get(reader).map(|view| view.entry.cell);
        let (wary, jam) = (self.wary(false, request.ask.class, now), self.jam(cell, now));
        let free = |v: &View| !request.late(now) || self.memory(v, now) < ABSORB_MARK;
        let usable = |v: &&View| v.role != Role::Prefill && free(v) && self.may_send(now, id, Some(v));
        let candidates = self.views.values().filter(usable);
        let key = |view: &View| {
            let far = hand_kind(view, cell) == Kind::Far;
            let tokens = self.held_tokens(view, now);
            let apart = f64::from(u32::from(far) + u32::from(wary(view)));
            let handicap = FAR_HANDICAP * apart * (request.ask.prompt + tokens);
            let time = self.predict(view, hand_kind(view, cell), request.ask.prompt, now);
            let late = time.max(view.oldest(now)).max(if far { jam } else { 0.0 }) > left;
            let suspect = Self::suspect(view, request.ask.class).is_some();
            let poor = u32::from(!Self::well(view, request.ask.class, now)) + u32::from(suspect);
            let full = u32::from(self.memory(view, now) >= MARK) + u32::from(late);
            let warm = self.may_ask && (far || !self.cold(view, now));
            (poor, full, warm, (tokens + handicap) as u64, hash(&view.entry.server.0, &salt))
        };
        let Some(best) = candidates.min_by_key(|v| key(v)) else { return false };
        let (server, kind) = (best.entry.server.clone(), hand_kind(best, cell));
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
                let inside = now + self.set.connect_timeout + TRAVEL * self.set.tick < sent + memory;
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

    /// Guards a server that has just started: an attempt may go there by a chance, so that any number of
    /// fronts together send it a part of what a warm server of its size answers. A state has only the writers
    /// of its cell, which may have far more than its part: the mean of both. No prompt alone makes it fall.
    fn cold_turn(&self, view: &View, request: &Request, now: Time) -> bool {
        if !self.cold(view, now) {
            return true;
        }
        let (sent, answered) = self.flow[view.role as usize];
        let from = request.state.as_ref().and_then(|(at, _)| Some(self.views.get(at)?.entry.cell));
        let even = |of: f64| view.entry.weight / of.max(view.entry.weight);
        let all = even(from.map_or(self.warm[view.role as usize], |_| self.paired.values().sum()));
        let cell = self.paired.get(&view.entry.cell).filter(|_| from == Some(view.entry.cell));
        let near = cell.map_or(all, |cell| even(*cell));
        let able = self.set.fall_multiple * self.set.cold_from * (answered + 1.0) / (sent + 1.0);
        let draw = hash(&view.entry.server.0, &format!("{} {}", request.ask.id.0, request.tries));
        let fits = request.ask.prompt <= self.set.fall_multiple * self.usual_prompt.exp();
        fits && unit(draw) <= COLD_USE * able * (all * near).sqrt()
    }

    fn send(&mut self, now: Time, id: ReqId, server: &ServerId, kind: Kind, out: &mut Vec<Action>) -> bool {
        let Some(view) = self.views.get(server) else { return false };
        if !self.may_send(now, id, Some(view)) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let reads = matches!(kind, Kind::Read | Kind::Whole);
        let unread = if reads { view.unread(&request.ask) } else { 0.0 };
        let x = if reads { self.ahead(view, now) + unread } else { request.ask.prompt };
        let time = self.predict(view, kind, x, now);
        let class = self.set.classes.get(request.ask.class);
        let tpot = class.map_or(0.0, |class| class.tpot_aim);
        let answer = if request.ask.hint > 0 && tpot > 0.0 {
            request.ask.hint as f64 / tpot
        } else {
            request.ask.max_out * ANSWER
        };
        let effect = kind != Kind::Read && class.is_none_or(|class| class.repeat == Repeat::Unsafe);
        let least = request.aim * if self.sparse() { GIVE_UP_AIMS } else { GIVE_UP_AIM };
        let patience = (GIVE_UP * time).max(least) * f64::from(1u32 << request.tries.min(DOUBLINGS));
        let left = request.deadline - now;
        let timeout = if effect { left } else { left.min(patience as Time).max(1) };
        let from = request.state.as_ref().and_then(|(at, _)| Some(self.views.get(at)?.entry.cell));
        let job = Job {
            kind,
            from,
            sent: now,
            due: now + time as Time,
            x,
            unread,
            tokens: request.ask.prompt + if kind == Kind::Read { 0.0 } else { answer },
            first: None,
        };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.out = Some((server.clone(), request.tries));
        request.tries += 1;
        if let Some(view) = self.views.get_mut(server) {
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
        if request.tries > 0 && !request.streaming {
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
            let share = ADVICE + (1.0 - ADVICE) * self.random();
            let longest = if self.set.may_advise { self.set.max_retry_after } else { 0 };
            let retry_after = (share * longest as f64) as Time;
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
    }
}
