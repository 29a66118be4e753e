//! Tracks which engines answered lately, and selects the engines for a message that any engine accepts.
//!
//! A partition between zones, or the loss of a zone, leaves most engines of a list silent, and nothing shows which ones
//! until one is called. So one engine of every zone is called at the same time, the one that answered last: whichever
//! single zone is partitioned, lost or the only one left, one of the engines can be reached. The caller sends the calls.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use elderstage::{ServerId, Time};

use crate::list::Directory;

/// Zones that are called in one wave. Bounds the calls where a list has many zones: the next wave takes the next zones.
const MAX_ZONES_PER_WAVE: usize = 4;

/// When an engine last answered, and when it last failed to answer; 0 for never.
#[derive(Clone, Copy, Debug, Default)]
struct LastContact {
    answered_at: Time,
    silent_at: Time,
}

/// When each engine last answered, and when it last failed to answer.
#[derive(Debug, Default)]
pub struct Reachability(HashMap<ServerId, LastContact>);

impl Reachability {
    /// Records that an engine answered.
    pub fn record_answer(&mut self, server: &ServerId, now: Time) {
        self.0.entry(server.clone()).or_default().answered_at = now;
    }

    /// Records that an engine did not answer.
    pub fn record_silence(&mut self, server: &ServerId, now: Time) {
        self.0.entry(server.clone()).or_default().silent_at = now;
    }

    /// Forgets the engines that have left the list.
    pub fn retain_listed(&mut self, directory: &Directory) {
        self.0.retain(|server, _| directory.address(server).is_some());
    }

    /// Returns the number of engines with a record.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no engine has a record.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns a sort key, best first: engines whose last contact was an answer, the latest first; then engines never
    /// called; then engines whose last contact was silence, the oldest silence first.
    fn rank(&self, server: &ServerId) -> (u8, Time) {
        match self.0.get(server) {
            Some(contact) if contact.answered_at > contact.silent_at => (0, Time::MAX - contact.answered_at),
            Some(contact) if contact.silent_at > 0 => (2, contact.silent_at),
            _ => (1, 0),
        }
    }

    /// Selects one engine of each zone, `own_zone` first: among the engines called least often the one with the best rank;
    /// `salt` breaks ties. `calls_by_engine` is how often this message was already sent to each engine; `wave` rotates the
    /// zones where there are many.
    pub fn select_engine_per_zone(
        &self,
        directory: &Directory,
        own_zone: u32,
        calls_by_engine: &BTreeMap<ServerId, u32>,
        wave: u32,
        salt: usize,
    ) -> Vec<(ServerId, SocketAddr)> {
        let select_best = |engines: &BTreeMap<ServerId, SocketAddr>| {
            // Without the offset 350 nodes would all call the first engine of a list.
            let offset = salt % engines.len();
            let ranked = engines.iter().enumerate().map(|(index, (server, address))| {
                let position = (index + engines.len() - offset) % engines.len();
                (
                    calls_by_engine.get(server).copied().unwrap_or(0),
                    self.rank(server),
                    position,
                    server,
                    address,
                )
            });
            ranked.min().map(|(_, _, _, server, address)| (server.clone(), *address))
        };
        let running = directory.running_by_zone();
        let of_own_zone = running.get(&own_zone).and_then(select_best);
        let other_zones = running.iter().filter(|(zone, _)| **zone != own_zone);
        let mut of_other_zones: Vec<_> =
            other_zones.filter_map(|(_, engines)| select_best(engines)).collect();
        let rotation = (wave as usize).saturating_mul(MAX_ZONES_PER_WAVE - 1) % of_other_zones.len().max(1);
        of_other_zones.rotate_left(rotation);
        of_own_zone.into_iter().chain(of_other_zones).take(MAX_ZONES_PER_WAVE).collect()
    }
}
