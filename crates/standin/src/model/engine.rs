//! One simulated engine: its queue, its running requests, its KV memory and its steps.
//!
//! The engine does no I/O and reads no clock. The caller passes the time and receives events. The KV memory
//! in use is the sum of what running requests and held states occupy.

use std::collections::{BTreeMap, VecDeque};

use super::kept::PrefixCache;
use super::{EngineFault, EngineSpec, Job, JobId, Load, Micros, Role, Task};

/// Weight of the newest sample in the moving average of the latency.
const LATENCY_SMOOTHING: f64 = 0.2;

/// Why the engine rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// All slots and queue places are taken, or the prompt is larger than the KV memory.
    Full,
    /// The role of the engine excludes this task: a reader takes only `Task::Read`, a writer every other
    /// task.
    WrongRole,
    /// The KV state could not be fetched from the reader.
    NoState,
    /// The engine has crashed under load and stays down until it is restarted.
    Down,
}

/// What an engine reports to its host.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The request is not served.
    Rejected { id: JobId, reason: RejectReason },
    /// A slot and memory are allocated: the host fetches the KV state now and reports the outcome through
    /// [`Engine::finish_state_fetch`].
    FetchState { id: JobId },
    /// The prompt is read and its KV state is held. `cached_tokens` came from the prefix cache.
    ReadDone { id: JobId, cached_tokens: u64 },
    /// The next token of an answer; `index` starts at 0.
    Token { id: JobId, index: u64 },
    /// The answer is complete.
    AnswerDone { id: JobId, cached_tokens: u64 },
    /// The engine received too much work while cold. All its requests and states are lost.
    Crashed,
}

/// A request in the queue or in a slot, and how far it has come.
#[derive(Clone, Debug)]
struct JobProgress {
    job: Job,
    arrived_at: Micros,
    /// Prompt tokens found in the prefix cache, and prompt tokens still to be read.
    cached_tokens: u64,
    unread_tokens: u64,
    /// The KV state has not arrived yet.
    is_fetching_state: bool,
    written_tokens: u64,
    /// KV memory that this request occupies, in tokens.
    held_tokens: u64,
}

impl JobProgress {
    fn is_reading(&self) -> bool {
        self.unread_tokens > 0 && !self.is_fetching_state
    }

    fn is_writing(&self) -> bool {
        self.unread_tokens == 0 && !self.is_fetching_state && self.job.task != Task::Read
    }
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    started_at: Micros,
    /// The engine started cold; `false` means that it is treated as having run for a long time.
    started_cold: bool,
    is_down: bool,
    is_hung: bool,
    slowdown: f64,
    unanswered_class: Option<String>,
    prefix_cache: PrefixCache,
    waiting: VecDeque<JobProgress>,
    running: Vec<JobProgress>,
    /// Tokens of each KV state that no writer has taken yet, by the job that read the prompt.
    held_states: BTreeMap<JobId, u64>,
    /// KV memory in use.
    used_tokens: u64,
    /// The step in progress, if any.
    current_step: Option<Step>,
    recent_latency: f64,
    /// Arrival time and cost of the requests received while cold, within the last `tip_after`.
    cold_arrivals: VecDeque<(Micros, f64)>,
}

/// A step in progress: when it ends, the tokens that it reads for each job and the jobs that it writes a
/// token for.
#[derive(Clone, Debug)]
struct Step {
    ends_at: Micros,
    reads: Vec<(JobId, u64)>,
    writes: Vec<JobId>,
}

impl Engine {
    /// Creates an engine that starts at `now`. A cold engine starts slow and warms up over `EngineSpec::cold_duration`.
    pub fn new(spec: EngineSpec, now: Micros, cold: bool) -> Engine {
        Engine {
            prefix_cache: PrefixCache::new(spec.prefix_cache_tokens),
            spec,
            started_at: now,
            started_cold: cold,
            is_down: false,
            is_hung: false,
            slowdown: 1.0,
            unanswered_class: None,
            waiting: VecDeque::new(),
            running: Vec::new(),
            held_states: BTreeMap::new(),
            used_tokens: 0,
            current_step: None,
            recent_latency: 0.0,
            cold_arrivals: VecDeque::new(),
        }
    }

    /// The configured capacity of the engine.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Whether the engine has crashed and not been restarted.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Current speed as a fraction of the warm speed.
    pub fn speed_fraction(&self, now: Micros) -> f64 {
        if !self.started_cold {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at) as f64 / self.spec.cold_duration.max(1) as f64;
        (self.spec.cold_start_share + (1.0 - self.spec.cold_start_share) * age).min(1.0)
    }

    /// The load as an engine reports it.
    pub fn load(&self) -> Load {
        let pending_tokens = self
            .waiting
            .iter()
            .chain(&self.running)
            .map(|r| if r.is_fetching_state { r.job.prompt_tokens } else { r.unread_tokens });
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            slot_usage: self.running.len() as f64 / self.spec.max_running.max(1) as f64,
            kv_usage: self.used_tokens as f64 / self.spec.kv_tokens.max(1) as f64,
            pending_tokens: pending_tokens.sum(),
            recent_latency: self.recent_latency as Micros,
        }
    }

    // ---- Faults ----

    /// Sets the fault of the engine and ends any earlier one; `None` only ends it.
    pub fn set_fault(&mut self, now: Micros, fault: Option<EngineFault>) {
        (self.is_hung, self.slowdown, self.unanswered_class) = (false, 1.0, None);
        match fault {
            None => {}
            Some(EngineFault::Hang) => self.is_hung = true,
            Some(EngineFault::Slow(factor)) => self.slowdown = factor.max(0.01),
            Some(EngineFault::ClassUnanswered(class)) => self.unanswered_class = Some(class),
        }
        if self.is_hung {
            self.current_step = None;
        } else {
            self.begin_step(now);
        }
    }

    /// Empties the prefix cache.
    pub fn clear_prefix_cache(&mut self) {
        self.prefix_cache.clear();
    }

    // ---- Requests ----

    /// Queues a request, or rejects it with an event.
    pub fn submit(&mut self, now: Micros, job: Job, events: &mut Vec<EngineEvent>) {
        let id = job.id;
        let cached_tokens = if job.task == Task::Write {
            0
        } else {
            self.prefix_cache.cached_prefix_tokens(&job.block_hashes).min(job.prompt_tokens)
        };
        let unread_tokens =
            if job.task == Task::Write { 0 } else { (job.prompt_tokens - cached_tokens).max(1) };
        let work = self.spec.work(unread_tokens, if job.task == Task::Read { 0 } else { job.answer_tokens });
        if self.crash_if_overloaded(now, work) {
            events.push(EngineEvent::Crashed);
            return;
        }
        let reason = if self.is_down {
            Some(RejectReason::Down)
        } else if (self.spec.role == Role::Prefill) != (job.task == Task::Read)
            && self.spec.role != Role::Mixed
        {
            Some(RejectReason::WrongRole)
        } else if self.running.len() + self.waiting.len() >= self.spec.max_running + self.spec.max_waiting
            || job.prompt_tokens > self.spec.kv_tokens
        {
            Some(RejectReason::Full)
        } else {
            None
        };
        if let Some(reason) = reason {
            events.push(EngineEvent::Rejected { id, reason });
            return;
        }
        let is_fetching_state = job.task == Task::Write;
        self.waiting.push_back(JobProgress {
            job,
            arrived_at: now,
            cached_tokens,
            unread_tokens,
            is_fetching_state,
            written_tokens: 0,
            held_tokens: 0,
        });
        self.admit_waiting(events);
        self.begin_step(now);
    }

    /// Records arriving work and crashes a cold engine that received more than it can handle. Returns whether
    /// it crashed.
    fn crash_if_overloaded(&mut self, now: Micros, work: f64) -> bool {
        if !self.started_cold || self.is_down || self.speed_fraction(now) >= 1.0 {
            self.cold_arrivals.clear();
            return false;
        }
        self.cold_arrivals.push_back((now, work));
        while self
            .cold_arrivals
            .front()
            .is_some_and(|(arrived_at, _)| arrived_at + self.spec.overload_window < now)
        {
            self.cold_arrivals.pop_front();
        }
        let arrived_work: f64 = self.cold_arrivals.iter().map(|(_, work)| work).sum();
        let capacity =
            self.spec.overload_multiple * self.speed_fraction(now) * self.spec.overload_window as f64;
        if arrived_work <= capacity {
            return false;
        }
        self.is_down = true;
        self.waiting.clear();
        self.running.clear();
        self.held_states.clear();
        (self.used_tokens, self.current_step) = (0, None);
        true
    }

    /// Continues a request after its state fetch: starts the answer, or rejects the request if the fetch
    /// failed.
    pub fn finish_state_fetch(
        &mut self,
        now: Micros,
        id: JobId,
        is_available: bool,
        events: &mut Vec<EngineEvent>,
    ) {
        if is_available {
            if let Some(running) = self.running.iter_mut().find(|r| r.job.id == id) {
                running.is_fetching_state = false;
                self.prefix_cache.insert(&running.job.block_hashes);
            }
        } else if self.remove_running(id).is_some() {
            events.push(EngineEvent::Rejected { id, reason: RejectReason::NoState });
        }
        self.admit_waiting(events);
        self.begin_step(now);
    }

    /// Ends a request that nobody waits for any more: removes it from the queue, from its slot or from the
    /// held states.
    pub fn cancel(&mut self, now: Micros, id: JobId, events: &mut Vec<EngineEvent>) {
        self.waiting.retain(|r| r.job.id != id);
        self.remove_running(id);
        self.release_state(id);
        self.admit_waiting(events);
        self.begin_step(now);
    }

    /// Frees the memory of a held KV state. Returns whether the state was held.
    pub fn release_state(&mut self, id: JobId) -> bool {
        match self.held_states.remove(&id) {
            Some(tokens) => {
                self.used_tokens -= tokens;
                true
            }
            None => false,
        }
    }

    /// Whether the KV state that this job read is still held.
    pub fn holds_state(&self, id: JobId) -> bool {
        self.held_states.contains_key(&id)
    }

    /// Takes a request out of its slot and frees its memory.
    fn remove_running(&mut self, id: JobId) -> Option<JobProgress> {
        let position = self.running.iter().position(|r| r.job.id == id)?;
        let running = self.running.remove(position);
        self.used_tokens -= running.held_tokens;
        Some(running)
    }

    /// Moves requests from the queue into slots in arrival order, while slots and memory suffice.
    fn admit_waiting(&mut self, events: &mut Vec<EngineEvent>) {
        while self.running.len() < self.spec.max_running {
            let Some(next) = self.waiting.front() else { return };
            let needed_tokens = next.job.prompt_tokens + next.written_tokens;
            if self.used_tokens + needed_tokens > self.spec.kv_tokens {
                return;
            }
            let Some(mut next) = self.waiting.pop_front() else { return };
            next.held_tokens = needed_tokens;
            self.used_tokens += needed_tokens;
            if next.is_fetching_state {
                events.push(EngineEvent::FetchState { id: next.job.id });
            }
            self.running.push(next);
        }
    }

    // ---- Steps ----

    /// Whether the current fault lets requests of this class make progress.
    fn serves_class(&self, class: &str) -> bool {
        self.unanswered_class.as_deref() != Some(class)
    }

    /// Starts a step if none is in progress and there is work.
    fn begin_step(&mut self, now: Micros) {
        if self.current_step.is_some() || self.is_hung || self.is_down {
            return;
        }
        let is_served = |r: &&JobProgress| self.serves_class(&r.job.class);
        let mut chunk_left = self.spec.max_tokens_per_step;
        let mut reads = Vec::new();
        for running in self.running.iter().filter(is_served).filter(|r| r.is_reading()) {
            let tokens = running.unread_tokens.min(chunk_left);
            reads.push((running.job.id, tokens));
            chunk_left -= tokens;
            // A reader processes one prompt at a time, so that its latency is predictable.
            if chunk_left == 0 || self.spec.role == Role::Prefill {
                break;
            }
        }
        let mut writes: Vec<JobId> =
            self.running.iter().filter(is_served).filter(|r| r.is_writing()).map(|r| r.job.id).collect();
        writes.sort_unstable();
        if reads.is_empty() && writes.is_empty() {
            return;
        }
        let tokens = reads.iter().map(|(_, tokens)| *tokens as f64).sum::<f64>();
        // The fixed step cost applies only when answers are written.
        let base_time = if writes.is_empty() { 0.0 } else { self.spec.step_time_us as f64 };
        let warm_time = base_time
            + self.spec.step_time_per_answer_us as f64 * writes.len() as f64
            + tokens / self.spec.read_tokens_per_s * 1e6;
        let step_time = (warm_time * self.slowdown / self.speed_fraction(now)).max(1.0);
        self.current_step = Some(Step { ends_at: now + step_time as Micros, reads, writes });
    }

    /// When [`Engine::end_due_step`] is to be called, if a step is in progress.
    pub fn next_step_end(&self) -> Option<Micros> {
        self.current_step.as_ref().map(|step| step.ends_at)
    }

    /// Ends the step in progress if it is due, reports what it produced and starts the next one.
    pub fn end_due_step(&mut self, now: Micros, events: &mut Vec<EngineEvent>) {
        let Some(step) = self.current_step.take_if(|step| step.ends_at <= now) else { return };
        for (id, tokens) in step.reads {
            self.record_read(now, id, tokens, events);
        }
        let mut done = Vec::new();
        for running in &mut self.running {
            // Requests that joined after the step began get no token from it.
            if !running.is_writing() || step.writes.binary_search(&running.job.id).is_err() {
                continue;
            }
            if running.written_tokens == 0 {
                let elapsed = (now - running.arrived_at) as f64;
                self.recent_latency += LATENCY_SMOOTHING * (elapsed - self.recent_latency);
            }
            events.push(EngineEvent::Token { id: running.job.id, index: running.written_tokens });
            running.written_tokens += 1;
            running.held_tokens += 1;
            self.used_tokens += 1;
            if running.written_tokens >= running.job.answer_tokens {
                done.push((running.job.id, running.cached_tokens));
            }
        }
        for (id, cached_tokens) in done {
            self.remove_running(id);
            events.push(EngineEvent::AnswerDone { id, cached_tokens });
        }
        self.preempt_newest_answers();
        self.admit_waiting(events);
        self.begin_step(now);
    }

    /// Counts prompt tokens as read. Once all are read, caches the prompt and holds the state of a read task.
    fn record_read(&mut self, now: Micros, id: JobId, tokens: u64, events: &mut Vec<EngineEvent>) {
        let Some(running) = self.running.iter_mut().find(|r| r.job.id == id) else { return };
        running.unread_tokens -= tokens.min(running.unread_tokens);
        if running.unread_tokens > 0 {
            return;
        }
        self.prefix_cache.insert(&running.job.block_hashes);
        if running.job.task != Task::Read {
            return;
        }
        let elapsed = (now - running.arrived_at) as f64;
        self.recent_latency += LATENCY_SMOOTHING * (elapsed - self.recent_latency);
        if let Some(running) = self.remove_running(id) {
            // The state occupies memory until a writer takes it or it is released.
            self.held_states.insert(id, running.job.prompt_tokens);
            self.used_tokens += running.job.prompt_tokens;
            events.push(EngineEvent::ReadDone { id, cached_tokens: running.cached_tokens });
        }
    }

    /// While memory is exceeded, preempts the newest answer: it returns to the head of the queue and its
    /// prompt and written tokens are read again.
    fn preempt_newest_answers(&mut self) {
        while self.used_tokens > self.spec.kv_tokens {
            let newest =
                self.running.iter().filter(|r| r.is_writing()).max_by_key(|r| r.arrived_at).map(|r| r.job.id);
            let Some(mut running) = newest.and_then(|id| self.remove_running(id)) else { return };
            running.held_tokens = 0;
            running.unread_tokens = running.job.prompt_tokens + running.written_tokens;
            running.job.task = Task::ReadAndWrite;
            self.waiting.push_front(running);
        }
    }
}
