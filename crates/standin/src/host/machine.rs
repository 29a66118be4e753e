//! The model's owner: takes what connections ask, and tells each job's connection what becomes of it.

use std::collections::{HashMap, HashSet, VecDeque};

use elderstage_net::channel::Sender;
use elderstage_net::owner::{self, Micros};

use crate::model::{Ail, Engine, EngineEvent, Job, JobId, Load, RejectReason, Task};
use crate::traffic::{Log, Seen};

/// A state that nobody takes or lets go of is dropped after this time, as when its front has died.
const EXPIRES: Micros = 10_000_000;
/// Requests that were given up before they came; remembered so that they are not begun.
const ABORTED_MOST: usize = 4096;

/// What becomes of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum News {
    Rejected(RejectReason),
    Fetch,
    Read { cached_tokens: u64 },
    Token(u64),
    Done { cached_tokens: u64 },
}

pub(crate) enum Ask {
    Start {
        job: Job,
        rid: String,
        news: Sender<News>,
    },
    Fetched {
        id: JobId,
        ok: bool,
    },
    /// The connection has ended.
    Cancel {
        id: JobId,
    },
    /// Let go of a state, read or still being read.
    Release {
        rid: String,
        done: Sender<bool>,
    },
    /// A writer asks for a state: its tokens, if it is there.
    Claim {
        rid: String,
        done: Sender<Option<u64>>,
    },
    /// The writer has it.
    Taken {
        rid: String,
        done: Sender<bool>,
    },
    Load {
        done: Sender<(Load, bool)>,
    },
    Ail(Option<Ail>),
    Flush,
    Restart {
        cold: bool,
    },
    Stop,
}

struct Known {
    rid: String,
    news: Sender<News>,
}

pub(crate) struct Machine {
    engine: Engine,
    name: String,
    log: Log,
    jobs: HashMap<JobId, Known>,
    /// Reads and waiting states, by request id.
    reads: HashMap<String, (JobId, u64)>,
    aborted: HashSet<String>,
    aborted_order: VecDeque<String>,
    /// States in the order in which they were read.
    expiry: VecDeque<(Micros, String, JobId)>,
}

impl Machine {
    pub fn new(engine: Engine, name: String, log: Log) -> Machine {
        Machine {
            engine,
            name,
            log,
            jobs: HashMap::new(),
            reads: HashMap::new(),
            aborted: HashSet::new(),
            aborted_order: VecDeque::new(),
            expiry: VecDeque::new(),
        }
    }

    fn see(&self, what: Seen) {
        self.log.see(&self.name, what);
    }

    fn expire(&mut self, now: Micros) {
        while self.expiry.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, rid, id)) = self.expiry.pop_front() else { return };
            if self.engine.release_state(id) {
                self.reads.remove(&rid);
                self.see(Seen::StateLost { rid });
            }
        }
    }

    fn tell(&mut self, now: Micros, outs: Vec<EngineEvent>) {
        for out in outs {
            match out {
                EngineEvent::Rejected { id, reason } => self.last(id, News::Rejected(reason)),
                EngineEvent::FetchState { id } => self.news(id, News::Fetch),
                EngineEvent::ReadDone { id, cached_tokens } => {
                    if let Some(job) = self.jobs.get(&id) {
                        self.see(Seen::StateHeld { rid: job.rid.clone() });
                        self.expiry.push_back((now + EXPIRES, job.rid.clone(), id));
                    }
                    self.last(id, News::Read { cached_tokens });
                }
                EngineEvent::Token { id, index } => {
                    if index == 0
                        && let Some(job) = self.jobs.get(&id)
                    {
                        self.see(Seen::Ran { rid: job.rid.clone() });
                    }
                    self.news(id, News::Token(index));
                }
                EngineEvent::AnswerDone { id, cached_tokens } => self.last(id, News::Done { cached_tokens }),
                EngineEvent::Crashed => {
                    self.see(Seen::FellOver);
                    self.lose_all();
                }
            }
        }
    }

    fn news(&self, id: JobId, news: News) {
        if let Some(job) = self.jobs.get(&id) {
            // A connection that has just ended takes no more news; its cancel is on its way.
            let _ = job.news.send(news);
        }
    }

    fn last(&mut self, id: JobId, news: News) {
        self.news(id, news);
        if let Some(job) = self.jobs.remove(&id)
            && !matches!(news, News::Read { .. })
        {
            self.reads.remove(&job.rid);
        }
    }

    /// All jobs and states are gone; connections hear it by the end of their news.
    fn lose_all(&mut self) {
        self.jobs.clear();
        for (rid, (id, _)) in self.reads.drain() {
            if self.engine.holds_state(id) {
                self.log.see(&self.name, Seen::StateLost { rid });
            }
        }
    }

    fn release(&mut self, now: Micros, rid: &str) -> bool {
        let Some((id, _)) = self.reads.remove(rid) else {
            // It may be on its way here still.
            if self.aborted.insert(rid.to_owned()) {
                self.aborted_order.push_back(rid.to_owned());
            }
            if self.aborted_order.len() > ABORTED_MOST
                && let Some(old) = self.aborted_order.pop_front()
            {
                self.aborted.remove(&old);
            }
            return false;
        };
        if self.engine.release_state(id) {
            self.see(Seen::StateReleased { rid: rid.to_owned() });
        } else {
            self.cancel(now, id);
        }
        true
    }

    fn cancel(&mut self, now: Micros, id: JobId) {
        // The answer of a read may have been lost with its connection: the state stays until it is let go of.
        if let Some(job) = self.jobs.remove(&id) {
            self.reads.remove(&job.rid);
            let mut outs = Vec::new();
            self.engine.cancel(now, id, &mut outs);
            self.tell(now, outs);
        }
    }
}

impl owner::Machine for Machine {
    type Event = Ask;

    fn handle(&mut self, now: Micros, event: Ask) -> bool {
        self.expire(now);
        let mut outs = Vec::new();
        match event {
            Ask::Start { job, rid, news } => {
                if job.task == Task::Read {
                    if self.aborted.contains(&rid) {
                        let _ = news.send(News::Rejected(RejectReason::Full));
                        return true;
                    }
                    self.reads.insert(rid.clone(), (job.id, job.prompt_tokens));
                }
                self.jobs.insert(job.id, Known { rid, news });
                self.engine.submit(now, job, &mut outs);
            }
            Ask::Fetched { id, ok } => self.engine.finish_state_fetch(now, id, ok, &mut outs),
            Ask::Cancel { id } => self.cancel(now, id),
            Ask::Release { rid, done } => {
                let _ = done.send(self.release(now, &rid));
            }
            Ask::Claim { rid, done } => {
                let state = self.reads.get(&rid).filter(|(id, _)| self.engine.holds_state(*id));
                let _ = done.send(state.map(|(_, tokens)| *tokens));
            }
            Ask::Taken { rid, done } => {
                let taken = self.reads.get(&rid).is_some_and(|(id, _)| self.engine.release_state(*id));
                if taken {
                    self.reads.remove(&rid);
                    self.see(Seen::StateTaken { rid });
                }
                let _ = done.send(taken);
            }
            Ask::Load { done } => {
                let _ = done.send((self.engine.load(), self.engine.is_down()));
            }
            Ask::Ail(ail) => self.engine.set_fault(now, ail),
            Ask::Flush => self.engine.clear_prefix_cache(),
            Ask::Restart { cold } => {
                self.lose_all();
                self.engine = Engine::new(self.engine.spec().clone(), now, cold);
            }
            Ask::Stop => return false,
        }
        self.tell(now, outs);
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        let expiry = self.expiry.front().map(|(at, ..)| *at);
        self.engine.next_step_end().into_iter().chain(expiry).min()
    }

    fn wake(&mut self, now: Micros) {
        self.expire(now);
        let mut outs = Vec::new();
        self.engine.end_due_step(now, &mut outs);
        self.tell(now, outs);
    }
}
