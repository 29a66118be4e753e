//! The owner's thread: one core, its disk and its links.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use elderstage_fleet::agent::{self, Agent};
use elderstage_fleet::keeper::{self, Keeper, Note};
use elderstage_fleet::wire::{self, Frame};
use elderstage_net::owner::{Machine, Micros};

use crate::disk::Disk;
use crate::links::{Event, Links, Way};

/// Which core it is.
pub enum Core {
    Keeper(Box<Keeper>, Disk),
    Agent(Box<Agent>),
}

pub struct Host {
    pub core: Core,
    pub links: Links,
    /// Clients' connections, by number.
    pub clients: HashMap<u64, Way>,
    /// Why it can't go on. Seen by the main thread at `over`: with nothing more coming in no event would end it.
    pub failed: Option<String>,
    pub over: Arc<AtomicBool>,
}

fn note(note: &Note) {
    match note {
        Note::Doubt(what) => tracing::warn!(target: "fleet", %what, "the disk is not as it was left"),
        Note::Founded => tracing::info!(target: "fleet", "the record is founded"),
        Note::Rejoined => tracing::info!(target: "fleet", "has all of the record again"),
        Note::Leads(Some(keeper)) => tracing::info!(target: "fleet", %keeper, "leads"),
        Note::Leads(None) => tracing::info!(target: "fleet", "no leader is known"),
        Note::Decided { command, outcome } => {
            let (by, number) = (&command.proposer.name, command.number);
            tracing::info!(target: "fleet", %by, number, ?outcome, "decided");
        }
        Note::ReportSpoilt(key) => tracing::warn!(target: "fleet", key, "a report on disk is spoilt"),
        Note::Unread { peer } => tracing::warn!(target: "fleet", %peer, "said what can't be used"),
    }
}

impl Host {
    fn fail(&mut self, why: String) {
        self.failed.get_or_insert(why);
        self.over.store(true, Ordering::SeqCst);
    }

    /// Carries out what a keeper says, in order. `false`: the disk has failed and nothing after it was done.
    pub fn keeper_does(&mut self, out: Vec<keeper::Out>) -> bool {
        for action in out {
            let Core::Keeper(_, disk) = &self.core else { return false };
            let done = match &action {
                keeper::Out::Write(write) => disk.write(write),
                keeper::Out::Keep(reports) => disk.keep(reports),
                _ => Ok(()),
            };
            if let Err(error) = done {
                // What follows must not be said: whoever can't write is not there.
                self.fail(error.to_string());
                return false;
            }
            match action {
                keeper::Out::Send { to, at, body } => self.links.send(&to, at, body),
                keeper::Out::Answer { conn, answer } => {
                    if let (Some(way), Ok(frame)) =
                        (self.clients.get(&conn), wire::encode(&Frame::Answer(answer)))
                    {
                        way.send(frame.into());
                    }
                }
                keeper::Out::Note(what) => note(&what),
                keeper::Out::Write(_) | keeper::Out::Keep(_) => {}
            }
        }
        true
    }

    fn agent_does(&mut self, out: Vec<agent::Out>) {
        for action in out {
            match action {
                agent::Out::Send { to, at, body } => self.links.send(&to, at, body),
                agent::Out::Keepers { heard } => tracing::info!(target: "fleet", heard, "keepers"),
                agent::Out::Unread { peer } => {
                    tracing::warn!(target: "fleet", %peer, "said what can't be used")
                }
            }
        }
    }

    fn keeper_in(&mut self, now: Micros, input: keeper::In) -> bool {
        let Core::Keeper(core, _) = &mut self.core else { return true };
        let mut out = Vec::new();
        match core.handle(now, input, &mut out) {
            Ok(()) => self.keeper_does(out),
            Err(error) => {
                self.fail(error.to_string());
                false
            }
        }
    }

    fn agent_in(&mut self, now: Micros, input: agent::In) -> bool {
        let Core::Agent(core) = &mut self.core else { return true };
        let mut out = Vec::new();
        core.handle(now, input, &mut out);
        self.agent_does(out);
        true
    }
}

impl Machine for Host {
    type Event = Event;

    fn handle(&mut self, now: Micros, event: Event) -> bool {
        // Nothing is said after a write that failed.
        if self.failed.is_some() {
            return false;
        }
        match event {
            Event::Up { conn, peer, way } => self.links.up(conn, peer, way),
            Event::Down { conn, peer } => self.links.down(conn, &peer),
            Event::Missed { peer } => self.links.missed(&peer),
            Event::Said { peer, body } => {
                return match &self.core {
                    Core::Keeper(..) => self.keeper_in(now, keeper::In::From { peer, body }),
                    Core::Agent(_) => self.agent_in(now, agent::In::From { peer, body }),
                };
            }
            Event::Asked { conn, ask, way } => {
                if matches!(self.core, Core::Keeper(..)) {
                    self.clients.insert(conn, way);
                    return self.keeper_in(now, keeper::In::Asked { conn, ask });
                }
                let reason = "this is an agent: ask a keeper".to_owned();
                let answer = Box::new(wire::Answer::NotYet(reason));
                if let Ok(frame) = wire::encode(&Frame::Answer(answer)) {
                    way.send(frame.into());
                }
            }
            Event::Left { conn } => {
                self.clients.remove(&conn);
                return self.keeper_in(now, keeper::In::Left { conn });
            }
            Event::Tally(told) => return self.agent_in(now, agent::In::Told(told)),
            Event::Stop => return false,
        }
        true
    }

    fn next_timer(&self) -> Option<Micros> {
        // A disk that has failed is an end, told at the next look.
        if self.failed.is_some() {
            return None;
        }
        Some(match &self.core {
            Core::Keeper(core, _) => core.next_timer(),
            Core::Agent(core) => core.next_timer(),
        })
    }

    fn wake(&mut self, now: Micros) {
        match &mut self.core {
            Core::Keeper(core, _) => {
                let mut out = Vec::new();
                match core.wake(now, &mut out) {
                    Ok(()) => drop(self.keeper_does(out)),
                    Err(error) => self.fail(error.to_string()),
                }
            }
            Core::Agent(core) => {
                let mut out = Vec::new();
                core.wake(now, &mut out);
                self.agent_does(out);
            }
        }
    }
}
