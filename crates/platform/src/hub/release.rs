//! Whom a release is said to, and what is learned of who can be reached.

use std::cmp::Reverse;
use std::net::SocketAddr;

use elderstage::{Outcome, ReqId, ServerId, Time};

use super::{Command, Hub};
use crate::leases::{Call, wave_interval};

/// When the next wave of a release is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaveDue {
    pub(super) at: Time,
    pub(super) id: ReqId,
    pub(super) holder: ServerId,
    pub(super) round: u32,
    pub(super) wave: u32,
}

impl Hub {
    pub(super) fn heard(&mut self, server: &ServerId, heard: bool, now: Time) {
        if heard { self.reach.answered(server, now) } else { self.reach.silent(server, now) }
    }

    /// What an ended attempt or probe tells of who can be reached.
    pub(super) fn outcome(&mut self, server: &ServerId, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Served | Outcome::Read | Outcome::Error | Outcome::Full => self.heard(server, true, now),
            Outcome::TimedOut | Outcome::NoConnection => self.heard(server, false, now),
            Outcome::Broken | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// One wave of a release: to the holder, or to one engine of each zone.
    pub(super) fn call(&mut self, now: Time, id: ReqId, call: Call, out: &mut Vec<Command>) {
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
}
