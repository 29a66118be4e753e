//! Drives the engine model of one host: applies the commands of its connections to the model and forwards the
//! model's events to the connection that waits for each job.
//!
//! It owns the model, so all changes to it happen on one thread. It does no socket I/O.

use std::collections::{HashMap, HashSet, VecDeque};

use elderstage_net::channel::Sender;
use elderstage_net::owner::{self, Micros};

use crate::model::{Engine, EngineEvent, EngineFault, Job, JobId, Load, RejectReason, Task};
use crate::traffic::{Log, TrafficEvent};

/// A held state that nobody takes or releases is dropped after this time, for example because its front died.
const STATE_EXPIRY: Micros = 10_000_000;
/// Limit on remembered requests that were aborted before they arrived. They are rejected on arrival.
const MAX_ABORTED: usize = 4096;

/// Progress of a job, sent to the connection that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobUpdate {
    Rejected(RejectReason),
    FetchState,
    ReadDone { cached_tokens: u64 },
    Token(u64),
    AnswerDone { cached_tokens: u64 },
}

/// What connections and control calls ask of the driver.
pub(crate) enum Command {
    /// Submit a job; its progress is sent to `updates`.
    Submit {
        job: Job,
        rid: String,
        updates: Sender<JobUpdate>,
    },
    /// The state fetch of a job has ended.
    StateFetched {
        id: JobId,
        is_available: bool,
    },
    /// The connection that waited for the job has ended.
    Cancel {
        id: JobId,
    },
    /// Release a held state, or cancel the read that would produce it.
    ReleaseState {
        rid: String,
        reply: Sender<bool>,
    },
    /// A writer asks for a state. Replies with its size in tokens if it is held.
    ClaimState {
        rid: String,
        reply: Sender<Option<u64>>,
    },
    /// The writer has received the state.
    StateTaken {
        rid: String,
        reply: Sender<bool>,
    },
    /// Replies with the load and whether the engine is down.
    Load {
        reply: Sender<(Load, bool)>,
    },
    SetFault(Option<EngineFault>),
    ClearPrefixCache,
    Restart {
        cold: bool,
    },
    Stop,
}

/// A job in the model and where its progress is sent.
struct ActiveJob {
    rid: String,
    updates: Sender<JobUpdate>,
}

/// Owner of the engine model, with the jobs and states by request id.
pub(crate) struct EngineDriver {
    engine: Engine,
    name: String,
    log: Log,
    jobs: HashMap<JobId, ActiveJob>,
    /// Reads in progress and held states, with their prompt tokens, by request id.
    reads_by_request: HashMap<String, (JobId, u64)>,
    /// Requests that were aborted before they arrived, and the order in which they were aborted.
    aborted_requests: HashSet<String>,
    aborted_order: VecDeque<String>,
    /// Expiry times of states, in the order in which the states were read.
    state_expiries: VecDeque<(Micros, String, JobId)>,
}

impl EngineDriver {
    pub fn new(engine: Engine, name: String, log: Log) -> EngineDriver {
        EngineDriver {
            engine,
            name,
            log,
            jobs: HashMap::new(),
            reads_by_request: HashMap::new(),
            aborted_requests: HashSet::new(),
            aborted_order: VecDeque::new(),
            state_expiries: VecDeque::new(),
        }
    }

    fn log_event(&self, event: TrafficEvent) {
        self.log.record(&self.name, event);
    }

    /// Drops states whose expiry time has passed.
    fn expire_states(&mut self, now: Micros) {
        while self.state_expiries.front().is_some_and(|(expires_at, ..)| *expires_at <= now) {
            let Some((_, rid, id)) = self.state_expiries.pop_front() else { return };
            if self.engine.release_state(id) {
                self.reads_by_request.remove(&rid);
                self.log_event(TrafficEvent::StateLost { rid });
            }
        }
    }

    /// Logs the events of the model and forwards them to the connections of their jobs.
    fn handle_engine_events(&mut self, now: Micros, events: Vec<EngineEvent>) {
        for event in events {
            match event {
                EngineEvent::Rejected { id, reason } => {
                    self.send_last_update(id, JobUpdate::Rejected(reason))
                }
                EngineEvent::FetchState { id } => self.send_update(id, JobUpdate::FetchState),
                EngineEvent::ReadDone { id, cached_tokens } => {
                    if let Some(job) = self.jobs.get(&id) {
                        self.log_event(TrafficEvent::StateHeld { rid: job.rid.clone() });
                        self.state_expiries.push_back((now + STATE_EXPIRY, job.rid.clone(), id));
                    }
                    self.send_last_update(id, JobUpdate::ReadDone { cached_tokens });
                }
                EngineEvent::Token { id, index } => {
                    if index == 0
                        && let Some(job) = self.jobs.get(&id)
                    {
                        self.log_event(TrafficEvent::Ran { rid: job.rid.clone() });
                    }
                    self.send_update(id, JobUpdate::Token(index));
                }
                EngineEvent::AnswerDone { id, cached_tokens } => {
                    self.send_last_update(id, JobUpdate::AnswerDone { cached_tokens })
                }
                EngineEvent::Crashed => {
                    self.log_event(TrafficEvent::FellOver);
                    self.discard_jobs_and_states();
                }
            }
        }
    }

    fn send_update(&self, id: JobId, update: JobUpdate) {
        if let Some(job) = self.jobs.get(&id) {
            // The send fails if the connection has just ended; its cancel command follows.
            let _ = job.updates.send(update);
        }
    }

    /// Sends the final update of a job and forgets it.
    fn send_last_update(&mut self, id: JobId, update: JobUpdate) {
        self.send_update(id, update);
        if let Some(job) = self.jobs.remove(&id)
            && !matches!(update, JobUpdate::ReadDone { .. })
        {
            self.reads_by_request.remove(&job.rid);
        }
    }

    /// Discards all jobs and states. Connections notice because their channel of updates closes.
    fn discard_jobs_and_states(&mut self) {
        self.jobs.clear();
        for (rid, (id, _)) in self.reads_by_request.drain() {
            if self.engine.holds_state(id) {
                self.log.record(&self.name, TrafficEvent::StateLost { rid });
            }
        }
    }

    /// Releases the state of a request or cancels its read. Returns whether either existed.
    fn release_request(&mut self, now: Micros, rid: &str) -> bool {
        let Some((id, _)) = self.reads_by_request.remove(rid) else {
            // The request may still arrive.
            if self.aborted_requests.insert(rid.to_owned()) {
                self.aborted_order.push_back(rid.to_owned());
            }
            if self.aborted_order.len() > MAX_ABORTED
                && let Some(oldest) = self.aborted_order.pop_front()
            {
                self.aborted_requests.remove(&oldest);
            }
            return false;
        };
        if self.engine.release_state(id) {
            self.log_event(TrafficEvent::StateReleased { rid: rid.to_owned() });
        } else {
            self.cancel_job(now, id);
        }
        true
    }

    /// Cancels a job that is not finished.
    fn cancel_job(&mut self, now: Micros, id: JobId) {
        // A finished read is no longer in `jobs`: its response may have been lost with the connection, so the
        // state stays until it is released.
        if let Some(job) = self.jobs.remove(&id) {
            self.reads_by_request.remove(&job.rid);
            let mut events = Vec::new();
            self.engine.cancel(now, id, &mut events);
            self.handle_engine_events(now, events);
        }
    }
}

impl owner::StateMachine for EngineDriver {
    type Event = Command;

    fn handle(&mut self, now: Micros, command: Command) -> bool {
        self.expire_states(now);
        let mut events = Vec::new();
        match command {
            Command::Submit { job, rid, updates } => {
                if job.task == Task::Read {
                    if self.aborted_requests.contains(&rid) {
                        let _ = updates.send(JobUpdate::Rejected(RejectReason::Full));
                        return true;
                    }
                    self.reads_by_request.insert(rid.clone(), (job.id, job.prompt_tokens));
                }
                self.jobs.insert(job.id, ActiveJob { rid, updates });
                self.engine.submit(now, job, &mut events);
            }
            Command::StateFetched { id, is_available } => {
                self.engine.finish_state_fetch(now, id, is_available, &mut events)
            }
            Command::Cancel { id } => self.cancel_job(now, id),
            Command::ReleaseState { rid, reply } => {
                let _ = reply.send(self.release_request(now, &rid));
            }
            Command::ClaimState { rid, reply } => {
                let state = self.reads_by_request.get(&rid).filter(|(id, _)| self.engine.holds_state(*id));
                let _ = reply.send(state.map(|(_, tokens)| *tokens));
            }
            Command::StateTaken { rid, reply } => {
                let is_taken =
                    self.reads_by_request.get(&rid).is_some_and(|(id, _)| self.engine.release_state(*id));
                if is_taken {
                    self.reads_by_request.remove(&rid);
                    self.log_event(TrafficEvent::StateTaken { rid });
                }
                let _ = reply.send(is_taken);
            }
            Command::Load { reply } => {
                let _ = reply.send((self.engine.load(), self.engine.is_down()));
            }
            Command::SetFault(fault) => self.engine.set_fault(now, fault),
            Command::ClearPrefixCache => self.engine.clear_prefix_cache(),
            Command::Restart { cold } => {
                self.discard_jobs_and_states();
                self.engine = Engine::new(self.engine.spec().clone(), now, cold);
            }
            Command::Stop => return false,
        }
        self.handle_engine_events(now, events);
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        let next_expiry = self.state_expiries.front().map(|(expires_at, ..)| *expires_at);
        self.engine.next_step_end().into_iter().chain(next_expiry).min()
    }

    fn on_timer(&mut self, now: Micros) {
        self.expire_states(now);
        let mut events = Vec::new();
        self.engine.end_due_step(now, &mut events);
        self.handle_engine_events(now, events);
    }
}
