//! The state of all addresses, and the order in which an attempt tries the addresses of its server.
//!
//! The book records what dials, proofs, requests and trials showed of each address, orders the addresses of a
//! server by it, and starts trials of addresses that failed or are suspected. It holds no connections. What
//! is known of an address is shared by all servers that have it, and an address that failed comes last until
//! it answers again.

use std::collections::{BTreeMap, BTreeSet};

use elderstage::{ServerId, Time};
use elderstage_protocol::place::{AddressFamily, Endpoint};

/// Weight of one sample in the mean times.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Pause before the first trial of an address that failed, in microseconds. It doubles with each failure.
const FIRST_PAUSE: Time = 500_000;
/// Limit of the pauses before jitter, in microseconds.
const LONGEST_PAUSE: Time = 10_000_000;
/// Pauses are extended by up to this share. Each front has a share of its own, so that fronts do not retry at
/// the same moment.
const MAX_JITTER: f64 = 0.5;
/// An address that has worked for this long starts from the first pause again; one that flaps does not.
const PAUSE_RESET_AFTER: Time = 60_000_000;
/// A family counts as down once this many servers failed by it while another family reached them, and no
/// address of it answered meanwhile.
const FAMILY_DOWN_SERVERS: usize = 3;
/// How long the failure of one server counts against a family.
const FAMILY_FAILURE_LIFETIME: Time = 30_000_000;
/// An address is doubtful, and comes after the others, after this many requests in a row without a byte of
/// answer.
const DOUBTFUL_AFTER_UNANSWERED: u32 = 2;
/// A proof is valid for this long: requests that may be repeated need no further one.
const PROOF_LIFETIME: Time = 1_000_000;
/// Most concurrent dials to a failed address, where a server has no other.
const HALF_OPEN_DIALS: u32 = 2;
/// After a fault on one connection, all addresses of its family are proven again for this long. The fault may
/// affect the whole family, and the next attempt goes to another server by the same family.
const PROOFS_INVALID_FOR: Time = 1_000_000;
/// Time limit of a trial of an address that is only suspected: the shortest delay between two dials, which
/// serves the same purpose.
const SUSPICION_TRIAL_TIME: Time = 100_000;
/// An address is slow if it takes longer than this factor times the best of its server, plus the margin.
const SLOW_FACTOR: f64 = 4.0;
/// See [`SLOW_FACTOR`]; in microseconds.
const SLOW_MARGIN_US: f64 = 20_000.0;
/// A slow address is tried again after this time.
const SLOW_RECHECK_INTERVAL: Time = 5_000_000;
/// An address that has answered within this time is not suspected.
const RECENT_ANSWER: Time = 200_000;
/// A server that left the list is remembered for this long: releases and attempts in progress may still name
/// it.
const FORGET_SERVER_AFTER: Time = 60_000_000;

/// What is known of one address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddressState {
    /// Mean time to connect, in microseconds; 0 before the first sample.
    pub mean_connect: f64,
    /// Mean time to prove a connection, in microseconds; 0 before the first sample.
    pub mean_proof: f64,
    /// Failures since it last answered. While there are any, it comes after the other addresses and is used
    /// only by trials, or where a server has no other address.
    pub failures: u32,
    /// No trial before this time.
    pub next_trial_at: Time,
    /// When it last answered anything; accepting a connection is not enough, since it may stall afterwards.
    pub last_proven: Option<Time>,
    /// When a request over it last got a byte of its answer.
    pub last_request_answered: Option<Time>,
    /// Requests without a byte of answer since the last one that got an answer.
    pub unanswered: u32,
    /// Dials in progress.
    pub dials_in_progress: u32,
    /// It rejected `Expect: 100-continue`, and is proven by a health request instead.
    pub rejects_continue: bool,
    /// Number of pauses, which sets the length of the next one. An address that flaps keeps it.
    pause_count: u32,
    /// Since when it has worked without a failure.
    good_since: Option<Time>,
    /// When the last failure was recorded.
    failed_at: Time,
    has_trial: bool,
    /// When its last trial started.
    last_trial_at: Time,
    /// Since when no listed server has it; `None` while one does.
    leaving_since: Option<Time>,
}

/// An address that an attempt may try.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub endpoint: Endpoint,
    pub mean_connect: f64,
    pub mean_proof: f64,
    /// A request that may be repeated needs no proof first.
    pub is_proven: bool,
    pub rejects_continue: bool,
}

/// What is known of one address family.
#[derive(Clone, Debug, Default)]
struct FamilyState {
    /// Servers that failed by this family while another one reached them, with the time of the failure.
    failed_servers: BTreeMap<ServerId, Time>,
    /// Set while the family counts as down: no trial before this time.
    next_trial_at: Option<Time>,
    pause_count: u32,
    /// The address of the last trial of the family.
    last_trial_place: Option<Endpoint>,
    has_trial: bool,
}

/// One server's addresses, as listed.
#[derive(Clone, Debug)]
struct ListedServer {
    endpoints: Vec<Endpoint>,
    leaving_since: Option<Time>,
}

/// All addresses of all servers, as one front knows them.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    servers: BTreeMap<ServerId, ListedServer>,
    addresses: BTreeMap<Endpoint, AddressState>,
    families: BTreeMap<AddressFamily, FamilyState>,
    /// Until when earlier proofs of a family's addresses do not count.
    proofs_invalid_until: BTreeMap<AddressFamily, Time>,
    /// Addresses that have failed or are doubtful.
    failing: BTreeSet<Endpoint>,
    /// Addresses to try because a request has waited long or because they are slow.
    suspects: BTreeSet<Endpoint>,
    /// When to look for slow addresses next.
    next_slow_check: Time,
    /// This front's share of the jitter, from 0 to 1.
    jitter: f64,
}

impl AddressState {
    fn is_doubtful(&self) -> bool {
        self.unanswered >= DOUBTFUL_AFTER_UNANSWERED
    }

    fn total_time(&self) -> f64 {
        self.mean_connect + self.mean_proof
    }

    fn is_slow(&self, best: f64) -> bool {
        self.total_time() > best * SLOW_FACTOR + SLOW_MARGIN_US
    }

    fn is_failing(&self) -> bool {
        self.failures > 0 || self.is_doubtful()
    }

    /// Postpones the next trial, for longer each time.
    fn postpone_trial(&mut self, now: Time, jitter: f64) {
        if self.failures == 0 && self.good_since.is_some_and(|at| now >= at + PAUSE_RESET_AFTER) {
            self.pause_count = 0;
        }
        self.pause_count += 1;
        self.next_trial_at = now + pause_length(self.pause_count, jitter);
    }
}

/// A dial that tests an address, without a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub server: ServerId,
    pub endpoint: Endpoint,
    /// The trial is for the whole family.
    pub is_family_trial: bool,
    /// Requests got no answer although connections were made. The trial must be as long as a request, since a
    /// network may pass only small packets.
    pub is_padded: bool,
    /// Time limit of the trial.
    pub time_limit: Time,
}

/// Length of the pause with this number, counted from 1, with the front's jitter.
fn pause_length(number: u32, jitter: f64) -> Time {
    let base = (FIRST_PAUSE << number.saturating_sub(1).min(6)).min(LONGEST_PAUSE);
    (base as f64 * (1.0 + MAX_JITTER * jitter)) as Time
}

impl AddressBook {
    /// An empty book. `jitter`, from 0 to 1, is drawn once for each front.
    pub fn new(jitter: f64) -> AddressBook {
        AddressBook { jitter: jitter.clamp(0.0, 1.0), ..AddressBook::default() }
    }

    /// Applies a full list: each server's addresses in the configured order, and whether the server is
    /// leaving. What is known of an address that stays is kept, whichever server has it now.
    pub fn apply_list(
        &mut self,
        now: Time,
        servers: impl IntoIterator<Item = (ServerId, Vec<Endpoint>, bool)>,
    ) {
        let mut previous = std::mem::take(&mut self.servers);
        for (server, endpoints, is_leaving) in servers {
            let before = previous.remove(&server).and_then(|listed| listed.leaving_since);
            let leaving_since = is_leaving.then(|| before.unwrap_or(now));
            self.servers.insert(server, ListedServer { endpoints, leaving_since });
        }
        for (server, mut listed) in previous {
            let left = *listed.leaving_since.get_or_insert(now);
            if now < left + FORGET_SERVER_AFTER {
                self.servers.insert(server, listed);
            }
        }
        let mut leaving_by_place: BTreeMap<&Endpoint, Option<Time>> = BTreeMap::new();
        for listed in self.servers.values() {
            for endpoint in &listed.endpoints {
                let left = leaving_by_place.entry(endpoint).or_insert(listed.leaving_since);
                *left = (*left).zip(listed.leaving_since).map(|(a, b)| a.max(b));
            }
        }
        self.addresses.retain(|endpoint, _| leaving_by_place.contains_key(endpoint));
        for (endpoint, left) in leaving_by_place {
            self.addresses.entry(endpoint.clone()).or_default().leaving_since = left;
        }
        self.failing.retain(|endpoint| self.addresses.contains_key(endpoint));
        self.suspects.retain(|endpoint| self.addresses.contains_key(endpoint));
        for family in self.families.values_mut() {
            family
                .failed_servers
                .retain(|server, _| self.servers.get(server).is_some_and(|s| s.leaving_since.is_none()));
        }
        // A family that no listed server has any more is dropped; otherwise it would be tried forever.
        let listed: BTreeSet<AddressFamily> = self
            .addresses
            .iter()
            .filter(|(_, address)| address.leaving_since.is_none())
            .map(|(p, _)| p.family())
            .collect();
        self.families.retain(|family, _| listed.contains(family));
    }

    /// The state of one address.
    pub fn address(&self, endpoint: &Endpoint) -> Option<&AddressState> {
        self.addresses.get(endpoint)
    }

    /// Whether connections to an address are to be closed: no server has it any more, and the grace period is
    /// over.
    pub fn should_close(&self, endpoint: &Endpoint, now: Time, grace: Time) -> bool {
        match self.addresses.get(endpoint) {
            None => true,
            Some(address) => address.leaving_since.is_some_and(|left| now >= left + grace),
        }
    }

    /// Whether a family counts as down, for all servers.
    pub fn family_down(&self, family: AddressFamily) -> bool {
        self.families.get(&family).is_some_and(|state| state.next_trial_at.is_some())
    }

    /// Number of addresses that have failed, or are doubtful, and have not answered since.
    pub fn failing_count(&self) -> usize {
        self.failing.len()
    }

    /// The addresses of a server in the order to try them: working ones by preference, then failed ones,
    /// earliest trial first. Failed ones are included so that a server without a working address is still
    /// tried, by a few dials at a time.
    pub fn candidates(&self, server: &ServerId, now: Time) -> Vec<Candidate> {
        let Some(listed) = self.servers.get(server) else { return Vec::new() };
        let usable: Vec<(usize, &AddressState)> = listed
            .endpoints
            .iter()
            .enumerate()
            .filter_map(|(index, endpoint)| Some((index, self.addresses.get(endpoint)?)))
            .filter(|(_, address)| address.failures == 0 || address.dials_in_progress < HALF_OPEN_DIALS)
            .collect();
        let best = best_time(usable.iter().map(|(_, address)| *address));
        let key = |&(index, address): &(usize, &AddressState)| {
            let down = !self.families.is_empty() && self.family_down(listed.endpoints[index].family());
            (
                address.is_failing(),
                down,
                address.is_slow(best),
                if address.is_failing() { address.next_trial_at } else { 0 },
                index,
            )
        };
        let mut order = usable;
        order.sort_by_cached_key(key);
        let candidate = |(index, address): (usize, &AddressState)| {
            let endpoint = &listed.endpoints[index];
            let is_invalidated =
                self.proofs_invalid_until.get(&endpoint.family()).is_some_and(|until| now < *until);
            let is_fresh = !is_invalidated && address.last_proven.is_some_and(|at| now < at + PROOF_LIFETIME);
            Candidate {
                endpoint: endpoint.clone(),
                mean_connect: address.mean_connect,
                mean_proof: address.mean_proof,
                is_proven: is_fresh && address.unanswered == 0 && address.failures == 0,
                rejects_continue: address.rejects_continue,
            }
        };
        order.into_iter().map(candidate).collect()
    }

    /// Marks slow addresses for a trial and returns them.
    fn mark_slow_addresses(&mut self, now: Time) -> Vec<Endpoint> {
        if now < self.next_slow_check {
            return Vec::new();
        }
        self.next_slow_check = now + SLOW_RECHECK_INTERVAL / 5;
        let mut slow = Vec::new();
        for listed in self.servers.values().filter(|listed| listed.endpoints.len() > 1) {
            let best = best_time(listed.endpoints.iter().filter_map(|endpoint| self.addresses.get(endpoint)));
            let due = |address: &AddressState| {
                address.is_slow(best)
                    && !address.is_failing()
                    && now >= address.last_trial_at + SLOW_RECHECK_INTERVAL
            };
            slow.extend(
                listed
                    .endpoints
                    .iter()
                    .filter(|endpoint| self.addresses.get(endpoint).is_some_and(due))
                    .cloned(),
            );
        }
        self.suspects.extend(slow.iter().cloned());
        slow
    }

    /// The addresses of a server in the listed order.
    pub fn endpoints(&self, server: &ServerId) -> &[Endpoint] {
        self.servers.get(server).map_or(&[], |listed| &listed.endpoints)
    }

    // ---- Observations ----

    /// Counts a dial that starts.
    pub fn dial_started(&mut self, endpoint: &Endpoint) {
        if let Some(address) = self.addresses.get_mut(endpoint) {
            address.dials_in_progress += 1;
        }
    }

    /// Counts a dial that ended, with or without a connection.
    pub fn dial_ended(&mut self, endpoint: &Endpoint) {
        if let Some(address) = self.addresses.get_mut(endpoint) {
            address.dials_in_progress = address.dials_in_progress.saturating_sub(1);
        }
    }

    /// Records the time of a successful connect.
    pub fn record_connect(&mut self, endpoint: &Endpoint, took: Time) {
        if let Some(address) = self.addresses.get_mut(endpoint) {
            update_mean(&mut address.mean_connect, took);
        }
    }

    /// Records that the address answered: it works, and so does its family. `took` is the duration of a
    /// proof; `None` stands for the answer to a request.
    pub fn record_answer(&mut self, endpoint: &Endpoint, now: Time, took: Option<Time>) {
        let Some(address) = self.addresses.get_mut(endpoint) else { return };
        if let Some(took) = took {
            update_mean(&mut address.mean_proof, took);
        }
        let is_back = address.failures > 0;
        if is_back || address.good_since.is_none() {
            address.good_since = Some(now);
        }
        (address.last_proven, address.failures) = (Some(now), 0);
        // Only an answer to a request clears the unanswered ones: a proof is a small message and says nothing
        // of a path on which long bodies are lost.
        if took.is_none() {
            address.last_request_answered = Some(now);
            address.unanswered = 0;
        }
        if !address.is_failing() {
            address.next_trial_at = 0;
            self.failing.remove(endpoint);
        }
        if is_back {
            // The server is back: its other addresses are tried soon, whatever their pauses.
            let jitter = self.jitter;
            for listed in self.servers.values().filter(|listed| listed.endpoints.contains(endpoint)) {
                for endpoint in &listed.endpoints {
                    if let Some(address) = self.addresses.get_mut(endpoint) {
                        address.next_trial_at =
                            address.next_trial_at.min(now + (FIRST_PAUSE as f64 * jitter) as Time);
                    }
                }
            }
        }
        let Some(family) = self.families.remove(&endpoint.family()) else { return };
        if family.next_trial_at.is_some() {
            // The family is back: its failed addresses are tried again soon, spread over the first pause.
            let of_family: Vec<Endpoint> =
                self.failing.iter().filter(|p| p.family() == endpoint.family()).cloned().collect();
            let count = of_family.len().max(1) as Time;
            for (number, endpoint) in of_family.iter().enumerate() {
                if let Some(address) = self.addresses.get_mut(endpoint) {
                    address.next_trial_at =
                        address.next_trial_at.min(now + FIRST_PAUSE * number as Time / count);
                }
            }
        }
    }

    /// Records a failed connect, or a connection that was closed or stalled during its proof. `since` is when
    /// that dial or proof started.
    pub fn record_failure(&mut self, endpoint: &Endpoint, now: Time, since: Time) {
        let jitter = self.jitter;
        let Some(address) = self.addresses.get_mut(endpoint) else { return };
        // A dial that started before the last failure was recorded says nothing new. Otherwise 100 concurrent
        // requests would each double the pause.
        if address.failures > 0 && since <= address.failed_at {
            return;
        }
        // Nor does it if the address has answered since.
        if address.last_proven.is_some_and(|at| at > since) {
            return;
        }
        address.postpone_trial(now, jitter);
        address.failures += 1;
        address.failed_at = now;
        self.failing.insert(endpoint.clone());
    }

    /// A dial failed or a connection broke: proofs of the family's addresses do not count for a while.
    pub fn invalidate_proofs(&mut self, endpoint: &Endpoint, now: Time) {
        self.proofs_invalid_until.insert(endpoint.family(), now + PROOFS_INVALID_FOR);
    }

    /// Records a request that got no byte of answer over an open connection.
    pub fn record_no_answer(&mut self, endpoint: &Endpoint, now: Time, since: Time) {
        let jitter = self.jitter;
        let Some(address) = self.addresses.get_mut(endpoint) else { return };
        // Answers to proofs do not count here: a path may pass those and lose the requests that follow.
        if address.last_request_answered.is_some_and(|at| at > since) {
            return;
        }
        address.unanswered += 1;
        if address.unanswered == DOUBTFUL_AFTER_UNANSWERED {
            address.postpone_trial(now, jitter);
            self.failing.insert(endpoint.clone());
        }
    }

    /// A request over this address has waited long: asks for trials of it and of the server's other
    /// addresses. Without the latter, a front whose requests all wait on a dead path would never learn that
    /// another path works.
    pub fn suspect_addresses(&mut self, server: &ServerId, endpoint: &Endpoint, now: Time) {
        let Some(listed) = self.servers.get(server) else { return };
        for endpoint in
            listed.endpoints.iter().chain([endpoint].into_iter().filter(|p| !listed.endpoints.contains(p)))
        {
            if let Some(address) = self.addresses.get(endpoint)
                && !address.is_failing()
                && address.last_proven.is_none_or(|at| now >= at + RECENT_ANSWER)
            {
                self.suspects.insert(endpoint.clone());
            }
        }
    }

    /// Whether requests that wait on this address should be given up: it has failed or is doubtful, while
    /// another address of the server has answered after `since`.
    pub fn should_give_up(&self, server: &ServerId, endpoint: &Endpoint, since: Time) -> bool {
        if !self.addresses.get(endpoint).is_some_and(AddressState::is_failing) {
            return false;
        }
        let works = |other: &Endpoint| {
            other != endpoint
                && self.addresses.get(other).is_some_and(|address| {
                    !address.is_failing() && address.last_proven.is_some_and(|at| at > since)
                })
        };
        self.endpoints(server).iter().any(works)
    }

    /// Records that the address rejects `Expect: 100-continue`.
    pub fn record_rejected_continue(&mut self, endpoint: &Endpoint) {
        if let Some(address) = self.addresses.get_mut(endpoint) {
            address.rejects_continue = true;
        }
    }

    /// Records that a server was reached at `won` after the addresses `lost` had failed or were late, and
    /// marks a family as down once enough servers show this.
    pub fn record_family_failures(
        &mut self,
        server: &ServerId,
        won: &Endpoint,
        lost: &[Endpoint],
        now: Time,
    ) {
        for endpoint in lost {
            let family = endpoint.family();
            // The server must be reached by another family: a dead server says nothing of the network.
            if family == won.family() {
                continue;
            }
            let jitter = self.jitter;
            let state = self.families.entry(family).or_default();
            state.failed_servers.retain(|_, at| now < *at + FAMILY_FAILURE_LIFETIME);
            state.failed_servers.insert(server.clone(), now);
            // A few servers are enough, so that a dead network is not rediscovered for each server.
            if state.next_trial_at.is_none() && state.failed_servers.len() >= FAMILY_DOWN_SERVERS {
                state.pause_count += 1;
                state.next_trial_at = Some(now + pause_length(state.pause_count, jitter));
            }
        }
    }

    // ---- Trials ----

    /// Starts the trials that are due, as far as `may` allows. A family that is down is tried by one address
    /// at a time, a different one each time; trials of its single addresses wait until the family is back. No
    /// trial takes longer than `connect`.
    pub fn start_trials(&mut self, now: Time, connect: Time, mut may: impl FnMut() -> bool) -> Vec<Trial> {
        let mut out = Vec::new();
        let down: Vec<AddressFamily> =
            self.families.iter().filter(|(_, s)| s.next_trial_at.is_some()).map(|(f, _)| *f).collect();
        for family in down {
            let Some(endpoint) = self.next_family_trial(family, now) else { continue };
            let Some(server) = self.listed_server_of(&endpoint) else { continue };
            if !may() {
                return out;
            }
            if let Some(state) = self.families.get_mut(&family) {
                (state.has_trial, state.last_trial_place) = (true, Some(endpoint.clone()));
            }
            out.push(Trial {
                server,
                endpoint,
                is_family_trial: true,
                is_padded: false,
                time_limit: connect,
            });
        }
        let slow = self.mark_slow_addresses(now);
        let wanted = self.failing.union(&self.suspects);
        let due: Vec<Endpoint> =
            wanted.filter(|endpoint| self.is_trial_due(endpoint, now)).cloned().collect();
        for endpoint in due {
            let Some(server) = self.listed_server_of(&endpoint) else { continue };
            if !may() {
                return out;
            }
            let Some(address) = self.addresses.get_mut(&endpoint) else { continue };
            address.has_trial = true;
            address.last_trial_at = now;
            self.suspects.remove(&endpoint);
            // A request waits for the outcome of a suspicion, so that trial is short.
            let time = if address.is_failing() || slow.contains(&endpoint) {
                connect
            } else {
                connect.min(SUSPICION_TRIAL_TIME)
            };
            out.push(Trial {
                server,
                is_padded: address.is_doubtful(),
                endpoint,
                is_family_trial: false,
                time_limit: time,
            });
        }
        out
    }

    fn is_trial_due(&self, endpoint: &Endpoint, now: Time) -> bool {
        let address = self.addresses.get(endpoint);
        let due = address.is_some_and(|k| {
            now >= k.next_trial_at && !k.has_trial && k.dials_in_progress == 0 && k.leaving_since.is_none()
        });
        due && !self.family_down(endpoint.family())
    }

    /// The next address by which to try a family that is down, if a trial is due.
    fn next_family_trial(&self, family: AddressFamily, now: Time) -> Option<Endpoint> {
        let state = self.families.get(&family)?;
        if state.has_trial || state.next_trial_at.is_none_or(|until| now < until) {
            return None;
        }
        let of_family = |(endpoint, address): &(&Endpoint, &AddressState)| {
            endpoint.family() == family && address.leaving_since.is_none()
        };
        let after = self.addresses.iter().filter(of_family).map(|(endpoint, _)| endpoint);
        let next = after
            .clone()
            .find(|endpoint| state.last_trial_place.as_ref().is_none_or(|tried| *endpoint > tried));
        next.or_else(|| after.clone().next()).cloned()
    }

    /// A listed server that has this address and is not leaving.
    fn listed_server_of(&self, endpoint: &Endpoint) -> Option<ServerId> {
        let has =
            |listed: &ListedServer| listed.leaving_since.is_none() && listed.endpoints.contains(endpoint);
        self.servers.iter().find(|(_, listed)| has(listed)).map(|(server, _)| server.clone())
    }

    /// Records the end of a trial.
    pub fn record_trial(&mut self, trial: &Trial, now: Time, since: Time, has_answered: bool) {
        let jitter = self.jitter;
        if let Some(address) = self.addresses.get_mut(&trial.endpoint) {
            address.has_trial = false;
            address.unanswered = if has_answered && trial.is_padded { 0 } else { address.unanswered };
            if has_answered {
                // The time of this trial, connect and answer together, replaces the means: old means would
                // keep a recovered address last for long.
                (address.mean_connect, address.mean_proof) = (0.0, now.saturating_sub(since) as f64);
            }
        }
        if has_answered {
            // The duration is already recorded above.
            return self.record_answer(&trial.endpoint, now, Some(now.saturating_sub(since)));
        }
        self.record_failure(&trial.endpoint, now, since);
        if let Some(state) = self.families.get_mut(&trial.endpoint.family()).filter(|_| trial.is_family_trial)
        {
            state.has_trial = false;
            state.pause_count += 1;
            state.next_trial_at = state.next_trial_at.map(|_| now + pause_length(state.pause_count, jitter));
        }
    }
}

/// The shortest known time to connect and prove among the working addresses; infinite if there is none.
fn best_time<'a>(addresses: impl Iterator<Item = &'a AddressState>) -> f64 {
    let fit = addresses.filter(|address| !address.is_failing()).map(AddressState::total_time);
    fit.filter(|total_time| *total_time > 0.0).fold(f64::INFINITY, f64::min)
}

/// Adds a sample to a moving mean; 0 stands for no sample yet.
pub(super) fn update_mean(mean: &mut f64, took: Time) {
    let took = took.max(1) as f64;
    *mean += if *mean == 0.0 { took } else { SAMPLE_WEIGHT * (took - *mean) };
}

#[cfg(test)]
#[path = "book_tests.rs"]
mod tests;
