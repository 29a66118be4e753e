//! Requests that wait for the first byte of their answer, and what a long wait says of their address.
//!
//! A path may die under a request: its connection stands, and nothing comes. Waiting for the attempt's whole time
//! would spend what the client still waits. So a wait that is long for its address counts as a silence and asks for
//! a trial; when the address turns out bad while another one of the server answers, requests that may be repeated
//! are given up and go there. What must not run twice waits on: its answer may still come.

use std::collections::BTreeMap;

use elderstage::{ServerId, Time};
use elderstage_protocol::place::Place;

/// A wait is long after so many times the usual one.
const LATE: f64 = 4.0;
/// And not before this time: a trial of each address that is merely busy would be a burden of its own.
const LEAST: Time = 200_000;

#[derive(Clone, Debug)]
pub(super) struct Wait {
    pub server: ServerId,
    pub place: Place,
    pub since: Time,
    /// It may be repeated.
    pub safe: bool,
    /// Its long wait was counted.
    pub late: bool,
    given_up: bool,
}

/// All requests that wait, by a number of their own.
#[derive(Clone, Debug, Default)]
pub(super) struct Waits {
    next: u64,
    out: BTreeMap<u64, Wait>,
    /// Mean time to the first byte, by server.
    usual: BTreeMap<ServerId, f64>,
}

impl Waits {
    pub fn begin(&mut self, server: &ServerId, place: &Place, since: Time, safe: bool) -> u64 {
        self.next += 1;
        let wait =
            Wait { server: server.clone(), place: place.clone(), since, safe, late: false, given_up: false };
        self.out.insert(self.next, wait);
        self.next
    }

    /// The first byte has come.
    pub fn answered(&mut self, number: u64, now: Time) -> Option<Wait> {
        let wait = self.out.remove(&number)?;
        let mean = self.usual.entry(wait.server.clone()).or_default();
        super::book::learn(mean, now.saturating_sub(wait.since));
        Some(wait)
    }

    /// It has ended without.
    pub fn ended(&mut self, number: u64) -> Option<Wait> {
        self.out.remove(&number)
    }

    /// Waits that have become long since the last look.
    pub fn late(&mut self, now: Time) -> Vec<Wait> {
        let mut late = Vec::new();
        for wait in self.out.values_mut().filter(|wait| !wait.late) {
            let usual = self.usual.get(&wait.server).copied().unwrap_or(0.0);
            if now >= wait.since + LEAST.max((usual * LATE) as Time) {
                wait.late = true;
                late.push(wait.clone());
            }
        }
        late
    }

    /// Long waits of requests that may be repeated, where `hopeless` says so of them.
    pub fn give_up(&mut self, hopeless: impl Fn(&Wait) -> bool) -> Vec<u64> {
        let mut lost = Vec::new();
        for (number, wait) in &mut self.out {
            if wait.late && wait.safe && !wait.given_up && hopeless(wait) {
                wait.given_up = true;
                lost.push(*number);
            }
        }
        lost
    }

    pub fn forget_servers(&mut self, known: impl Fn(&ServerId) -> bool) {
        self.usual.retain(|server, _| known(server));
    }
}

#[cfg(test)]
mod tests;
