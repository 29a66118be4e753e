//! Requests that wait for the first byte of their answer.
//!
//! A path may fail under a request: the connection stays open, but nothing arrives. Waiting for the attempt's
//! time limit would use up the time that the client is still willing to wait. Therefore a wait that is long
//! for its server counts against its address and asks for a trial. If the address turns out to be failing
//! while another one of the server answers, requests that may be repeated are given up and sent there. A
//! request that must not run twice is never given up here: its answer may still arrive.

use std::collections::BTreeMap;

use elderstage::{ServerId, Time};
use elderstage_protocol::place::Endpoint;

/// A wait is late after this multiple of the server's mean wait.
const LATE_FACTOR: f64 = 4.0;
/// A wait is not late before this time, in microseconds: trials of addresses that are merely busy would add
/// load.
const MIN_LATE_WAIT: Time = 200_000;

/// One request that waits for the first byte of its answer.
#[derive(Clone, Debug)]
pub(super) struct Wait {
    pub server: ServerId,
    pub endpoint: Endpoint,
    pub since: Time,
    /// The request may be repeated.
    pub is_repeatable: bool,
    /// The wait has been reported as late.
    pub is_late: bool,
    is_given_up: bool,
}

/// All requests that wait, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct Waits {
    last_number: u64,
    waiting: BTreeMap<u64, Wait>,
    /// Mean time to the first byte for each server.
    mean_wait: BTreeMap<ServerId, f64>,
}

impl Waits {
    /// Adds a request and returns its number.
    pub fn start(&mut self, server: &ServerId, endpoint: &Endpoint, since: Time, is_repeatable: bool) -> u64 {
        self.last_number += 1;
        let wait = Wait {
            server: server.clone(),
            endpoint: endpoint.clone(),
            since,
            is_repeatable,
            is_late: false,
            is_given_up: false,
        };
        self.waiting.insert(self.last_number, wait);
        self.last_number
    }

    /// Removes a request that got its first byte, and learns from its wait.
    pub fn record_answer(&mut self, number: u64, now: Time) -> Option<Wait> {
        let wait = self.waiting.remove(&number)?;
        let mean = self.mean_wait.entry(wait.server.clone()).or_default();
        super::book::update_mean(mean, now.saturating_sub(wait.since));
        Some(wait)
    }

    /// Removes a request that ended without a byte of answer.
    pub fn remove(&mut self, number: u64) -> Option<Wait> {
        self.waiting.remove(&number)
    }

    /// Marks and returns the waits that have become late since the last call.
    pub fn take_late(&mut self, now: Time) -> Vec<Wait> {
        let mut late = Vec::new();
        for wait in self.waiting.values_mut().filter(|wait| !wait.is_late) {
            let mean = self.mean_wait.get(&wait.server).copied().unwrap_or(0.0);
            if now >= wait.since + MIN_LATE_WAIT.max((mean * LATE_FACTOR) as Time) {
                wait.is_late = true;
                late.push(wait.clone());
            }
        }
        late
    }

    /// Marks and returns the numbers of late requests that may be repeated and for which `should_give_up`
    /// holds.
    pub fn take_given_up(&mut self, should_give_up: impl Fn(&Wait) -> bool) -> Vec<u64> {
        let mut lost = Vec::new();
        for (number, wait) in &mut self.waiting {
            if wait.is_late && wait.is_repeatable && !wait.is_given_up && should_give_up(wait) {
                wait.is_given_up = true;
                lost.push(*number);
            }
        }
        lost
    }

    /// Drops what was learned of all servers but those that `known` accepts.
    pub fn retain_servers(&mut self, known: impl Fn(&ServerId) -> bool) {
        self.mean_wait.retain(|server, _| known(server));
    }
}

#[cfg(test)]
mod tests;
