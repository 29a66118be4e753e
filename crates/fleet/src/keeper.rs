//! A keeper: its part in the record, the members it sees, the reports it holds, and clients' questions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::evidence::{Report, Store, Summary};
use crate::members::{Identity, Kind, Members, Send as SwimSend};
use crate::name::Name;
use crate::record::{
    Command, MOST_COMMAND, Order, Outcome, Proposer, RecordError, Replica, Role, Seal, Step, Stored, TICK,
    Trust, Write, open, seal,
};
use crate::wire::{Answer, Ask, Body, Shown};
use crate::{MILLI, SECOND, Time};

/// A command that has no place yet is sent again after so long.
const AGAIN: Time = 500 * MILLI;
/// A client hears that its command is not known to be taken after so long.
const PATIENCE: Time = 30 * SECOND;
/// Commands of clients that wait at most.
const MOST_WAITING: usize = 1024;
/// One other keeper is told what reports are held after so long; newer ones come back, so many bytes at a time.
const SYNC: Time = 2 * SECOND;
const SYNC_BYTES: usize = 1 << 20;
/// Reports that are newer than on disk are written after so long.
const KEEP: Time = 5 * SECOND;
/// Pause of a keeper that has nothing between two questions to the others.
const FOUND: Time = 250 * MILLI;

/// What has happened.
#[derive(Clone, Debug)]
pub enum In {
    /// A member of this fleet said something.
    From { peer: Name, body: Body },
    /// A client asks on this connection.
    Asked { conn: u64, ask: Ask },
    /// That connection is gone.
    Left { conn: u64 },
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// On disk before anything after it is done.
    Write(Box<Write>),
    /// Reports for the disk, by key; nothing waits for them.
    Keep(Vec<(u64, Vec<u8>)>),
    /// `at`: where the member listens, if this is known here and not by the file.
    Send {
        to: Name,
        at: Option<SocketAddr>,
        body: Body,
    },
    Answer {
        conn: u64,
        answer: Box<Answer>,
    },
    /// Something the operator may want to know.
    Note(Note),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The disk was not as it was left.
    Doubt(String),
    Founded,
    Rejoined,
    /// This keeper leads from now on, or another one, by its name.
    Leads(Option<Name>),
    Decided {
        command: Box<Command>,
        outcome: Outcome,
    },
    /// A report on disk that can't be read.
    ReportSpoilt(u64),
    Unread {
        peer: Name,
    },
}

struct Waiting {
    command: Box<Command>,
    conns: BTreeSet<u64>,
    until: Time,
    again: Time,
}

/// How a keeper is set up.
pub struct Setup {
    pub fleet: Name,
    pub keepers: Vec<Name>,
    pub me: Identity,
    pub seeds: Vec<Identity>,
    /// Drawn for this start; feeds what need not be foreseen.
    pub seed: u64,
}

pub struct Keeper {
    fleet: Name,
    keepers: Vec<Name>,
    name: Name,
    replica: Replica,
    members: Members,
    store: Store,
    /// Reports not on disk yet, by member and boot.
    unkept: BTreeSet<(Name, u64)>,
    waiting: BTreeMap<(Proposer, u64), Waiting>,
    leader: u64,
    founding: bool,
    tick: Time,
    sync: Time,
    synced: usize,
    keep: Time,
    found: Time,
}

/// Where a report lies on disk.
fn place(member: &Name, boot: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.as_str().as_bytes()).update(&boot.to_le_bytes());
    let mut place = [0; 8];
    hasher.finalize_xof().fill(&mut place);
    u64::from_le_bytes(place)
}

impl Keeper {
    pub fn new(
        setup: Setup,
        stored: &Stored,
        reports: &[(u64, Vec<u8>)],
        now: Time,
        out: &mut Vec<Out>,
    ) -> Result<Keeper, RecordError> {
        let name = setup.me.name.clone();
        let number = setup.keepers.iter().position(|keeper| *keeper == name).map_or(0, |n| n as u64 + 1);
        let voters: Vec<u64> = (1..=setup.keepers.len() as u64).collect();
        let replica = Replica::new(&setup.fleet, &name, number, &voters, stored, setup.me.boot)?;
        out.extend(replica.doubts().iter().map(|doubt| Out::Note(Note::Doubt(doubt.clone()))));
        let mut store = Store::default();
        for (key, block) in reports {
            let report =
                open(Seal::Report(*key), block).and_then(|bytes| postcard::from_bytes::<Report>(bytes).ok());
            match report {
                Some(report) => {
                    store.take(now, &report);
                }
                None => out.push(Out::Note(Note::ReportSpoilt(*key))),
            }
        }
        let founding = matches!(replica.trust(), Trust::Blank { .. });
        let members = Members::new(setup.me, setup.seeds, setup.seed, now);
        let mut keeper = Keeper {
            fleet: setup.fleet,
            keepers: setup.keepers,
            name,
            replica,
            members,
            store,
            unkept: BTreeSet::new(),
            waiting: BTreeMap::new(),
            leader: 0,
            founding,
            tick: now + TICK,
            sync: now + SYNC,
            synced: 0,
            keep: now + KEEP,
            found: now,
        };
        keeper.settle(now, out)?;
        Ok(keeper)
    }

    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    pub fn store(&self) -> &Store {
        &self.store
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn next_timer(&self) -> Time {
        let waiting = self.waiting.values().map(|waiting| waiting.again.min(waiting.until));
        let founding = self.founding.then_some(self.found);
        let all =
            waiting.chain(founding).chain(self.members.next_timer()).chain([self.tick, self.sync, self.keep]);
        all.min().unwrap_or(self.tick)
    }

    pub fn handle(&mut self, now: Time, input: In, out: &mut Vec<Out>) -> Result<(), RecordError> {
        match input {
            In::From { peer, body } => self.from(now, peer, body, out)?,
            In::Asked { conn, ask: Ask::Show } => {
                let answer = Box::new(Answer::Shown(Box::new(self.shown(now))));
                out.push(Out::Answer { conn, answer });
            }
            In::Asked { conn, ask: Ask::Propose(command) } => self.asked(now, conn, command, out),
            In::Left { conn } => self.waiting.retain(|_, waiting| {
                waiting.conns.remove(&conn);
                !waiting.conns.is_empty()
            }),
        }
        self.settle(now, out)
    }

    pub fn wake(&mut self, now: Time, out: &mut Vec<Out>) -> Result<(), RecordError> {
        // After a pause the ticks that were missed are not made up for: the others have gone on.
        if now >= self.tick {
            self.tick = now + TICK;
            self.replica.tick();
        }
        let mut sends = Vec::new();
        self.members.wake(now, &mut sends);
        self.gossip(sends, out);
        if self.founding && now >= self.found {
            self.found = now + FOUND;
            let holds = self.replica.holds();
            self.to_keepers(|_| Body::Holds { holds, ask: true }, out);
        }
        if now >= self.sync {
            self.sync = now + SYNC;
            self.tell_versions(out);
        }
        if now >= self.keep {
            self.keep = now + KEEP;
            self.keep_reports(out);
        }
        let mut over = Vec::new();
        for (key, waiting) in &mut self.waiting {
            if now >= waiting.until {
                over.push(key.clone());
            } else if now >= waiting.again {
                waiting.again = now + AGAIN;
                self.replica.propose(&waiting.command);
            }
        }
        for waiting in over.iter().filter_map(|key| self.waiting.remove(key)) {
            let what = if self.replica.standing().leader == 0 {
                "no leader is known here"
            } else {
                "no majority has it"
            };
            for conn in waiting.conns {
                out.push(Out::Answer { conn, answer: Box::new(Answer::NotYet(what.into())) });
            }
        }
        self.settle(now, out)
    }

    fn number_of(&self, keeper: &Name) -> Option<u64> {
        self.keepers.iter().position(|name| name == keeper).map(|n| n as u64 + 1)
    }

    fn to_keepers(&self, body: impl Fn(&Name) -> Body, out: &mut Vec<Out>) {
        for to in self.keepers.iter().filter(|name| **name != self.name) {
            out.push(Out::Send { to: to.clone(), at: None, body: body(to) });
        }
    }

    fn from(&mut self, now: Time, peer: Name, body: Body, out: &mut Vec<Out>) -> Result<(), RecordError> {
        let number = self.number_of(&peer);
        let mut unread = false;
        match (body, number) {
            (Body::Record(message), Some(_)) => match self.replica.step(&message) {
                Err(RecordError::Garbled) => unread = true,
                done => done?,
            },
            (Body::Holds { holds, ask }, Some(number)) => {
                self.replica.heard(number, holds);
                if ask {
                    let body = Body::Holds { holds: self.replica.holds(), ask: false };
                    out.push(Out::Send { to: peer.clone(), at: None, body });
                }
            }
            (Body::Versions(theirs), Some(_)) => {
                let newer = self.store.newer_than(&theirs, SYNC_BYTES);
                if !newer.is_empty() {
                    out.push(Out::Send { to: peer.clone(), at: None, body: Body::Reports(newer) });
                }
            }
            (Body::Reports(reports), Some(_)) => reports.iter().for_each(|report| self.report(now, report)),
            (Body::Swim(message), _) => {
                let mut sends = Vec::new();
                unread = !self.members.handle(now, &message, &mut sends);
                self.gossip(sends, out);
            }
            // A member speaks for itself.
            (Body::Report(report), _) if report.member == peer && report.kind != Kind::Keeper => {
                self.report(now, &report);
                let body = Body::Heard { taken: self.replica.state().taken() };
                out.push(Out::Send { to: peer.clone(), at: None, body });
            }
            _ => unread = true,
        }
        if unread {
            out.push(Out::Note(Note::Unread { peer }));
        }
        Ok(())
    }

    fn report(&mut self, now: Time, report: &Report) {
        if self.store.take(now, report) {
            self.unkept.insert((report.member.clone(), report.boot));
        }
    }

    fn gossip(&self, sends: Vec<SwimSend>, out: &mut Vec<Out>) {
        for SwimSend { to, message } in sends {
            out.push(Out::Send { to: to.name, at: Some(to.at), body: Body::Swim(message) });
        }
    }

    /// One other keeper after the other hears which reports are held here.
    fn tell_versions(&mut self, out: &mut Vec<Out>) {
        let others: Vec<&Name> = self.keepers.iter().filter(|name| **name != self.name).collect();
        let to = others[self.synced % others.len()].clone();
        self.synced += 1;
        out.push(Out::Send { to, at: None, body: Body::Versions(self.store.versions()) });
    }

    fn keep_reports(&mut self, out: &mut Vec<Out>) {
        let unkept = std::mem::take(&mut self.unkept);
        let mut blocks = Vec::new();
        for (name, held) in self.store.members() {
            let new = held.boots.keys().filter(|boot| unkept.contains(&(name.clone(), **boot)));
            for report in new.filter_map(|boot| held.report(name, *boot)) {
                let key = place(name, report.boot);
                if let Ok(bytes) = postcard::to_stdvec(&report) {
                    blocks.push((key, seal(Seal::Report(key), &bytes)));
                }
            }
        }
        if !blocks.is_empty() {
            out.push(Out::Keep(blocks));
        }
    }

    fn asked(&mut self, now: Time, conn: u64, command: Box<Command>, out: &mut Vec<Out>) {
        let answer = |answer| Out::Answer { conn, answer: Box::new(answer) };
        let refused = |key: &str, reason: &str| {
            answer(Answer::Refused(crate::change::BadProposal { key: key.into(), reason: reason.into() }))
        };
        match &command.order {
            Order::Propose(proposal) => {
                if let Err(error) = proposal.check() {
                    return out.push(answer(Answer::Refused(error)));
                }
            }
            Order::Stop { .. } => {}
            Order::Rejoin { .. } => return out.push(refused("order", "only a keeper rejoins")),
        }
        if postcard::to_stdvec(&command).map_or(true, |bytes| bytes.len() > MOST_COMMAND) {
            return out.push(refused("command", &format!("over {MOST_COMMAND} bytes")));
        }
        let key = (command.proposer.clone(), command.number);
        if !self.waiting.contains_key(&key) && self.waiting.len() >= MOST_WAITING {
            return out.push(answer(Answer::NotYet(format!("{MOST_WAITING} commands wait here already"))));
        }
        self.replica.propose(&command);
        let new = Waiting { command, conns: BTreeSet::new(), until: now + PATIENCE, again: now + AGAIN };
        self.waiting.entry(key).or_insert(new).conns.insert(conn);
    }

    /// Carries out what the record gives.
    fn settle(&mut self, _now: Time, out: &mut Vec<Out>) -> Result<(), RecordError> {
        let mut steps = Vec::new();
        self.replica.steps(&mut steps)?;
        for step in steps {
            match step {
                Step::Write(write) => out.push(Out::Write(write)),
                Step::Send { to, message } => {
                    if let Some(name) = self.keepers.get((to as usize).wrapping_sub(1)) {
                        out.push(Out::Send { to: name.clone(), at: None, body: Body::Record(message) });
                    }
                }
                Step::Applied { command, outcome } => {
                    let waiting = self.waiting.remove(&(command.proposer.clone(), command.number));
                    for conn in waiting.into_iter().flat_map(|waiting| waiting.conns) {
                        let answer = match &outcome {
                            Outcome::Refused(error) => Answer::Refused(error.clone()),
                            outcome => Answer::Done(outcome.clone()),
                        };
                        out.push(Out::Answer { conn, answer: Box::new(answer) });
                    }
                    out.push(Out::Note(Note::Decided { command, outcome }));
                }
                Step::Restored => {}
                Step::Rejoined => out.push(Out::Note(Note::Rejoined)),
            }
        }
        if self.founding && !matches!(self.replica.trust(), Trust::Blank { .. }) {
            self.founding = false;
            if self.replica.trust().has_voice() {
                out.push(Out::Note(Note::Founded));
            }
        }
        let standing = self.replica.standing();
        if standing.leader != self.leader {
            self.leader = standing.leader;
            let name = self.keepers.get((standing.leader as usize).wrapping_sub(1)).cloned();
            out.push(Out::Note(Note::Leads(name)));
        }
        Ok(())
    }

    pub fn leads(&self) -> bool {
        self.replica.standing().role == Role::Leader
    }

    pub fn shown(&self, now: Time) -> Shown {
        let summary = Summary::of(&self.store, now);
        Shown {
            fleet: self.fleet.clone(),
            keeper: self.name.clone(),
            keepers: self.keepers.clone(),
            standing: self.replica.standing(),
            doubts: self.replica.doubts().to_vec(),
            taken: self.replica.state().taken(),
            digest: self.replica.state().digest(),
            changes: self.replica.state().changes().cloned().collect(),
            members: self.members.seen(),
            counting: summary.members,
            silent: summary.silent,
            groups: summary.groups.into_iter().collect(),
        }
    }
}
