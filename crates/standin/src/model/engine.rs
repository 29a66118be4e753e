//! One engine: its queue, its running requests, its memory and its steps.

use std::collections::{BTreeMap, VecDeque};

use super::kept::Kept;
use super::{Ail, Job, JobId, Load, Micros, Role, Spec, Task};

/// Weight of one answer in the recent latency.
const LATENCY_STEP: f64 = 0.2;

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// All slots and places in the queue are taken, or the prompt is larger than the memory.
    Full,
    /// Not this engine's work: a reader does not answer.
    Role,
    /// The state could not be fetched.
    NoState,
    /// It has fallen over and stays down until it is started anew.
    Down,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Rejected {
        id: JobId,
        why: Why,
    },
    /// A slot and memory are there: the state is to be fetched now; `fetched` tells how it went.
    Fetch {
        id: JobId,
    },
    ReadDone {
        id: JobId,
        cached: u64,
    },
    /// The next token of an answer, from 0.
    Token {
        id: JobId,
        index: u64,
    },
    Done {
        id: JobId,
        cached: u64,
    },
    /// Too much was sent to it while it was cold; all that it held is lost.
    FellOver,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    came: Micros,
    /// Prompt tokens found kept, and those still to be read.
    cached: u64,
    unread: u64,
    /// Waits for its state.
    fetching: bool,
    written: u64,
    /// Memory held, in tokens.
    held: u64,
}

impl Running {
    fn reads(&self) -> bool {
        self.unread > 0 && !self.fetching
    }

    fn writes(&self) -> bool {
        self.unread == 0 && !self.fetching && self.job.task != Task::Read
    }
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    started: Micros,
    /// It started cold, rather than having run for long.
    cold: bool,
    down: bool,
    hang: bool,
    slow: f64,
    unanswered: Option<String>,
    kept: Kept,
    waiting: VecDeque<Running>,
    running: Vec<Running>,
    /// States that wait to be taken, by the job that read them, and the tokens that they hold.
    states: BTreeMap<JobId, u64>,
    used: u64,
    /// End of the step under way, and which jobs it reads and writes for.
    step: Option<Step>,
    latency: f64,
    /// Work that has come while cold, with its time; for falling over.
    arrivals: VecDeque<(Micros, f64)>,
}

#[derive(Clone, Debug)]
struct Step {
    ends: Micros,
    reads: Vec<(JobId, u64)>,
    writes: Vec<JobId>,
}

impl Engine {
    /// An engine that starts now; a cold one works its way up.
    pub fn new(spec: Spec, now: Micros, cold: bool) -> Engine {
        Engine {
            kept: Kept::new(spec.kept_tokens),
            spec,
            started: now,
            cold,
            down: false,
            hang: false,
            slow: 1.0,
            unanswered: None,
            waiting: VecDeque::new(),
            running: Vec::new(),
            states: BTreeMap::new(),
            used: 0,
            step: None,
            latency: 0.0,
            arrivals: VecDeque::new(),
        }
    }

    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Share of its speed that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / self.spec.cold_for.max(1) as f64;
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    pub fn load(&self) -> Load {
        let pending = self
            .waiting
            .iter()
            .chain(&self.running)
            .map(|r| if r.fetching { r.job.prompt } else { r.unread });
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            busy: self.running.len() as f64 / self.spec.slots.max(1) as f64,
            kv: self.used as f64 / self.spec.kv_tokens.max(1) as f64,
            pending: pending.sum(),
            latency: self.latency as Micros,
        }
    }

    // ---- Faults ----

    pub fn ail(&mut self, now: Micros, ail: Option<Ail>) {
        (self.hang, self.slow, self.unanswered) = (false, 1.0, None);
        match ail {
            None => {}
            Some(Ail::Hang) => self.hang = true,
            Some(Ail::Slow(times)) => self.slow = times.max(0.01),
            Some(Ail::ClassUnanswered(class)) => self.unanswered = Some(class),
        }
        if self.hang {
            self.step = None;
        } else {
            self.begin_step(now);
        }
    }

    pub fn flush(&mut self) {
        self.kept.flush();
    }

    // ---- Requests ----

    /// Takes a request, or says why not.
    pub fn start(&mut self, now: Micros, job: Job, out: &mut Vec<Out>) {
        let id = job.id;
        let cached = if job.task == Task::Write { 0 } else { self.kept.found(&job.blocks).min(job.prompt) };
        let unread = if job.task == Task::Write { 0 } else { (job.prompt - cached).max(1) };
        let work = self.spec.work(unread, if job.task == Task::Read { 0 } else { job.answer });
        if self.pushed_over(now, work) {
            out.push(Out::FellOver);
            return;
        }
        let why = if self.down {
            Some(Why::Down)
        } else if (self.spec.role == Role::Prefill) != (job.task == Task::Read)
            && self.spec.role != Role::Mixed
        {
            Some(Why::Role)
        } else if self.running.len() + self.waiting.len() >= self.spec.slots + self.spec.queue
            || job.prompt > self.spec.kv_tokens
        {
            Some(Why::Full)
        } else {
            None
        };
        if let Some(why) = why {
            out.push(Out::Rejected { id, why });
            return;
        }
        let fetching = job.task == Task::Write;
        self.waiting.push_back(Running { job, came: now, cached, unread, fetching, written: 0, held: 0 });
        self.admit(out);
        self.begin_step(now);
    }

    /// Adds work to what has come lately, and tells whether that was too much for a cold engine.
    fn pushed_over(&mut self, now: Micros, work: f64) -> bool {
        if !self.cold || self.down || self.warmth(now) >= 1.0 {
            self.arrivals.clear();
            return false;
        }
        self.arrivals.push_back((now, work));
        while self.arrivals.front().is_some_and(|(at, _)| at + self.spec.tip_after < now) {
            self.arrivals.pop_front();
        }
        let came: f64 = self.arrivals.iter().map(|(_, work)| work).sum();
        let able = self.spec.fall_multiple * self.warmth(now) * self.spec.tip_after as f64;
        if came <= able {
            return false;
        }
        self.down = true;
        self.waiting.clear();
        self.running.clear();
        self.states.clear();
        (self.used, self.step) = (0, None);
        true
    }

    /// The state has come, or could not be had.
    pub fn fetched(&mut self, now: Micros, id: JobId, ok: bool, out: &mut Vec<Out>) {
        if ok {
            if let Some(running) = self.running.iter_mut().find(|r| r.job.id == id) {
                running.fetching = false;
                self.kept.keep(&running.job.blocks);
            }
        } else if self.drop_running(id).is_some() {
            out.push(Out::Rejected { id, why: Why::NoState });
        }
        self.admit(out);
        self.begin_step(now);
    }

    /// Nobody waits for this request any more: it ends, wherever it is.
    pub fn cancel(&mut self, now: Micros, id: JobId, out: &mut Vec<Out>) {
        self.waiting.retain(|r| r.job.id != id);
        self.drop_running(id);
        self.let_go(id);
        self.admit(out);
        self.begin_step(now);
    }

    /// Whether a state waits; a taken or released one frees its memory.
    pub fn let_go(&mut self, id: JobId) -> bool {
        match self.states.remove(&id) {
            Some(tokens) => {
                self.used -= tokens;
                true
            }
            None => false,
        }
    }

    pub fn holds_state(&self, id: JobId) -> bool {
        self.states.contains_key(&id)
    }

    fn drop_running(&mut self, id: JobId) -> Option<Running> {
        let at = self.running.iter().position(|r| r.job.id == id)?;
        let running = self.running.remove(at);
        self.used -= running.held;
        Some(running)
    }

    /// Lets waiting requests in while slots and memory last, first come first.
    fn admit(&mut self, out: &mut Vec<Out>) {
        while self.running.len() < self.spec.slots {
            let Some(next) = self.waiting.front() else { return };
            let need = next.job.prompt + next.written;
            if self.used + need > self.spec.kv_tokens {
                return;
            }
            let Some(mut next) = self.waiting.pop_front() else { return };
            next.held = need;
            self.used += need;
            if next.fetching {
                out.push(Out::Fetch { id: next.job.id });
            }
            self.running.push(next);
        }
    }

    // ---- Steps ----

    fn answers(&self, class: &str) -> bool {
        self.unanswered.as_deref() != Some(class)
    }

    fn begin_step(&mut self, now: Micros) {
        if self.step.is_some() || self.hang || self.down {
            return;
        }
        let active = |r: &&Running| self.answers(&r.job.class);
        let mut room = self.spec.chunk;
        let mut reads = Vec::new();
        for running in self.running.iter().filter(active).filter(|r| r.reads()) {
            let tokens = running.unread.min(room);
            reads.push((running.job.id, tokens));
            room -= tokens;
            // A reader reads one prompt at a time, so that its times can be told ahead.
            if room == 0 || self.spec.role == Role::Prefill {
                break;
            }
        }
        let mut writes: Vec<JobId> =
            self.running.iter().filter(active).filter(|r| r.writes()).map(|r| r.job.id).collect();
        writes.sort_unstable();
        if reads.is_empty() && writes.is_empty() {
            return;
        }
        let tokens = reads.iter().map(|(_, tokens)| *tokens as f64).sum::<f64>();
        // A reader's step is the read alone; answers make a step of their own length.
        let base = if writes.is_empty() { 0.0 } else { self.spec.step as f64 };
        let full = base
            + self.spec.step_per_answer as f64 * writes.len() as f64
            + tokens / self.spec.read_per_s * 1e6;
        let time = (full * self.slow / self.warmth(now)).max(1.0);
        self.step = Some(Step { ends: now + time as Micros, reads, writes });
    }

    /// When [`Engine::wake`] is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.step.as_ref().map(|step| step.ends)
    }

    /// Ends the step that is due.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Out>) {
        let Some(step) = self.step.take_if(|step| step.ends <= now) else { return };
        for (id, tokens) in step.reads {
            self.end_read(now, id, tokens, out);
        }
        let mut done = Vec::new();
        for running in &mut self.running {
            // Some may have joined since the step began.
            if !running.writes() || step.writes.binary_search(&running.job.id).is_err() {
                continue;
            }
            if running.written == 0 {
                let took = (now - running.came) as f64;
                self.latency += LATENCY_STEP * (took - self.latency);
            }
            out.push(Out::Token { id: running.job.id, index: running.written });
            running.written += 1;
            running.held += 1;
            self.used += 1;
            if running.written >= running.job.answer {
                done.push((running.job.id, running.cached));
            }
        }
        for (id, cached) in done {
            self.drop_running(id);
            out.push(Out::Done { id, cached });
        }
        self.make_room();
        self.admit(out);
        self.begin_step(now);
    }

    fn end_read(&mut self, now: Micros, id: JobId, tokens: u64, out: &mut Vec<Out>) {
        let Some(running) = self.running.iter_mut().find(|r| r.job.id == id) else { return };
        running.unread -= tokens.min(running.unread);
        if running.unread > 0 {
            return;
        }
        self.kept.keep(&running.job.blocks);
        if running.job.task != Task::Read {
            return;
        }
        let took = (now - running.came) as f64;
        self.latency += LATENCY_STEP * (took - self.latency);
        if let Some(running) = self.drop_running(id) {
            // The state stays in memory until a writer takes it.
            self.states.insert(id, running.job.prompt);
            self.used += running.job.prompt;
            out.push(Out::ReadDone { id, cached: running.cached });
        }
    }

    /// Memory has run out: the newest answer goes back to the queue, to be read anew with what it wrote.
    fn make_room(&mut self) {
        while self.used > self.spec.kv_tokens {
            let newest = self.running.iter().filter(|r| r.writes()).max_by_key(|r| r.came).map(|r| r.job.id);
            let Some(mut running) = newest.and_then(|id| self.drop_running(id)) else { return };
            running.held = 0;
            running.unread = running.job.prompt + running.written;
            running.job.task = Task::Whole;
            self.waiting.push_front(running);
        }
    }
}
