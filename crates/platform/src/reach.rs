//! Who can be reached: what this node has lately heard from engines, by zone, and whom to tell what any engine may be
//! told.
//!
//! A cut between zones, or a zone that is lost, leaves most engines of a list silent, and nothing says which until
//! one is tried. So one engine of every zone is told at the same time, the one heard last: whatever single zone is
//! cut off, lost or all that is left, one of them is on the right side.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use elderstage::{ServerId, Time};

use crate::list::Directory;

/// Zones told in one wave. Guards against a storm where a list has many zones: the next wave takes the next ones.
const ZONES: usize = 4;

/// What was last heard of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    answered: Time,
    silent: Time,
}

/// When each engine last answered, and when it last did not.
#[derive(Debug, Default)]
pub struct Reach(HashMap<ServerId, Heard>);

impl Reach {
    pub fn answered(&mut self, server: &ServerId, now: Time) {
        self.0.entry(server.clone()).or_default().answered = now;
    }

    pub fn silent(&mut self, server: &ServerId, now: Time) {
        self.0.entry(server.clone()).or_default().silent = now;
    }

    /// Forgets who has left the list.
    pub fn keep(&mut self, directory: &Directory) {
        self.0.retain(|server, _| directory.dial(server).is_some());
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Best first: those that answered since they were last silent, the latest first; then those never tried; then
    /// those that were silent, the one whose silence is oldest first.
    fn rank(&self, server: &ServerId) -> (u8, Time) {
        match self.0.get(server) {
            Some(heard) if heard.answered > heard.silent => (0, Time::MAX - heard.answered),
            Some(heard) if heard.silent > 0 => (2, heard.silent),
            _ => (1, 0),
        }
    }

    /// One engine of each zone, `own` first: of those told least often the best, ties by `salt`. `told` is how often
    /// this message went to each engine already; `wave` turns the zones where there are many.
    pub fn one_of_each_zone(
        &self,
        directory: &Directory,
        own: u32,
        told: &BTreeMap<ServerId, u32>,
        wave: u32,
        salt: usize,
    ) -> Vec<(ServerId, SocketAddr)> {
        let best = |of: &BTreeMap<ServerId, SocketAddr>| {
            // Guards against 350 nodes that all tell the first engine of a list.
            let turn = salt % of.len();
            let ranked = of.iter().enumerate().map(|(n, (server, dial))| {
                let place = (n + of.len() - turn) % of.len();
                (told.get(server).copied().unwrap_or(0), self.rank(server), place, server, dial)
            });
            ranked.min().map(|(_, _, _, server, dial)| (server.clone(), *dial))
        };
        let running = directory.running();
        let mine = running.get(&own).and_then(best);
        let other_zones = running.iter().filter(|(zone, _)| **zone != own);
        let mut others: Vec<_> = other_zones.filter_map(|(_, of)| best(of)).collect();
        let turn = (wave as usize).saturating_mul(ZONES - 1) % others.len().max(1);
        others.rotate_left(turn);
        mine.into_iter().chain(others).take(ZONES).collect()
    }
}
