//! Connections to servers that have several addresses.
//!
//! A server may be reached by IPv6, IPv4 and a Unix socket. The state of each address decides the order in
//! which they are tried ([`AddressBook`]). One attempt starts its dials staggered as in RFC 8305, proves a
//! connection where the request must not run twice, and sends the request at most once ([`Race`]). The dial
//! rate and the number of connections are limited ([`ConnectionLimiter`]); idle connections are kept for the
//! next request ([`Pool`]). [`Addresses`] combines all of this for one front. It does no I/O: the front owns
//! the sockets and carries out the [`RaceStep`]s.
//!
//! The code runs on each attempt at an engine, and every few tens of milliseconds for trials and closing. It
//! takes on the order of 100 bytes for each address; an attempt that finds an idle connection costs two map
//! look-ups. The front exports [`AddressCounters`] as metrics and logs when a family goes down or comes back.

mod book;
mod gate;
mod pool;
mod race;
mod waits;

use elderstage::{ServerId, Time};
use elderstage_protocol::place::{AddressFamily, Endpoint};
use waits::Waits;

pub use book::{AddressBook, AddressState, Candidate, Trial};
pub use gate::{ConnectionLimiter, ConnectionLimits, DialRejection};
pub use pool::{ConnectionAge, Pool};
pub use race::{ConnectionSource, Proof, Race, RaceFailure, RaceStep, RaceSummary, RemainingRequest};

/// What an attempt needs from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionNeeds {
    /// The request must not run twice: unsafe and keyed classes at a writer.
    pub must_not_repeat: bool,
    /// How connections to this kind of server are proven.
    pub proof: Proof,
    /// Longest time to connect and to prove, over all addresses; the router plans with it.
    pub connect_limit: Time,
    /// Time limit of the whole attempt.
    pub attempt_limit: Time,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AddressCounters {
    /// Dials started.
    pub dials: u64,
    /// Dials that ended without a connection.
    pub dials_failed: u64,
    /// Dials that were late when another address won the race.
    pub overtaken: u64,
    /// Connections taken from the pool.
    pub reused: u64,
    /// Pooled connections that turned out to be closed.
    pub stale_connections: u64,
    /// Proofs started.
    pub proofs: u64,
    /// Proofs that failed or were given up as late.
    pub proofs_failed: u64,
    /// Dials denied by the limits.
    pub no_room: u64,
    /// Trials started.
    pub trials: u64,
    /// Trials without an answer.
    pub trials_failed: u64,
    /// How often a family went down.
    pub families_down: u64,
    /// How often a family came back.
    pub families_back: u64,
    /// Requests that waited long for the first byte of their answer.
    pub late_waits: u64,
    /// Requests that were given up because their address delivered nothing.
    pub given_up_waits: u64,
}

/// The addresses and connections of one front. `C` is a connection, which is opaque here.
pub struct Addresses<C> {
    /// The state of the addresses.
    pub book: AddressBook,
    limiter: ConnectionLimiter,
    pool: Pool<C>,
    waits: Waits,
    bounds: ConnectionLimits,
    counts: AddressCounters,
    known_down: [bool; 3],
}

/// What [`Addresses::run_maintenance`] asks of the front.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MaintenanceResult {
    /// Trials to carry out.
    pub trials: Vec<Trial>,
    /// Families that went down (`true`) or came back since the last call.
    pub families: Vec<(AddressFamily, bool)>,
    /// Numbers of the requests to give up: their address delivers nothing, and another one works.
    pub give_up: Vec<u64>,
}

/// The families, in the order of `Addresses::known_down`.
const FAMILIES: [AddressFamily; 3] = [AddressFamily::Unix, AddressFamily::V6, AddressFamily::V4];

/// The connections and dials of one front, for the race to one server.
struct RaceSupply<'a, C> {
    book: &'a mut AddressBook,
    limiter: &'a mut ConnectionLimiter,
    pool: &'a mut Pool<C>,
    counts: &'a mut AddressCounters,
    server: ServerId,
}

impl<C> ConnectionSource<(C, ConnectionAge)> for RaceSupply<'_, C> {
    fn take_idle(&mut self, now: Time, endpoint: &Endpoint) -> Option<(C, ConnectionAge)> {
        let taken = self.pool.take(now, endpoint);
        self.counts.reused += u64::from(taken.is_some());
        taken
    }

    fn reserve_dial(&mut self, now: Time, by: Time, endpoint: &Endpoint) -> Option<Time> {
        let endpoints = || {
            self.book.endpoints(&self.server).iter().chain([endpoint].into_iter().filter(|p| {
                // The server's addresses may have changed since the attempt started.
                !self.book.endpoints(&self.server).contains(p)
            }))
        };
        // An idle connection to any address is closed to make room. The dial is granted before that is done.
        let has_room =
            self.limiter.has_room(endpoints()) || (self.limiter.is_full() && self.pool.make_room());
        let at = has_room.then(|| self.limiter.reserve_dial(now, by).ok()).flatten();
        match at {
            Some(_) => {
                self.limiter.count_opened(endpoint);
                self.book.dial_started(endpoint);
                self.counts.dials += 1;
            }
            None => self.counts.no_room += 1,
        }
        at
    }

    fn cancel_dial(&mut self, endpoint: &Endpoint) {
        self.limiter.count_closed(endpoint);
        self.book.dial_ended(endpoint);
        self.counts.dials -= 1;
    }

    fn proof_late(&mut self, now: Time, since: Time, endpoint: &Endpoint) {
        self.counts.proofs_failed += 1;
        self.book.record_failure(endpoint, now, since);
    }
}

impl<C> Addresses<C> {
    /// No addresses and no connections yet. `jitter`, from 0 to 1, is drawn once for each front.
    pub fn new(bounds: ConnectionLimits, jitter: f64) -> Addresses<C> {
        Addresses {
            book: AddressBook::new(jitter),
            limiter: ConnectionLimiter::new(bounds),
            pool: Pool::new(bounds),
            waits: Waits::default(),
            bounds,
            counts: AddressCounters::default(),
            known_down: [false; 3],
        }
    }

    /// The counters since the start.
    pub fn counts(&self) -> AddressCounters {
        self.counts
    }

    /// Connections that are open or being dialed, and how many of them are idle.
    pub fn open_counts(&self) -> (usize, usize) {
        (self.limiter.total(), self.pool.idle_count())
    }

    /// Connections to one address that are open or being dialed.
    pub fn open_to(&self, endpoint: &Endpoint) -> usize {
        self.limiter.open_to(endpoint)
    }

    /// Families that count as down.
    pub fn down_families(&self) -> impl Iterator<Item = AddressFamily> + '_ {
        FAMILIES.into_iter().filter(|family| self.book.family_down(*family))
    }

    /// Counts and returns the families that went down or came back, with whether they are down now.
    fn take_family_changes(&mut self) -> Vec<(AddressFamily, bool)> {
        let mut changed = Vec::new();
        for (index, family) in FAMILIES.into_iter().enumerate() {
            let down = self.book.family_down(family);
            if down != self.known_down[index] {
                self.known_down[index] = down;
                let count =
                    if down { &mut self.counts.families_down } else { &mut self.counts.families_back };
                *count += 1;
                changed.push((family, down));
            }
        }
        changed
    }

    // ---- One attempt ----

    /// Starts an attempt.
    pub fn start_race(&mut self, now: Time, server: &ServerId, needs: ConnectionNeeds) -> Race {
        let candidates = self.book.candidates(server, now);
        let has_several = candidates.len() > 1;
        let proof = |candidate: &Candidate| {
            // A proof costs a round trip. It is needed where the request must not run twice, or where the
            // server has another address and this one has not answered recently.
            match needs.proof {
                _ if !needs.must_not_repeat && (candidate.is_proven || !has_several) => Proof::None,
                Proof::Continue if candidate.rejects_continue => Proof::Health,
                proof => proof,
            }
        };
        Race::new(server.clone(), now, now + needs.connect_limit.min(needs.attempt_limit), candidates, proof)
    }

    /// The next step of the attempt.
    pub fn poll(&mut self, now: Time, race: &mut Race) -> RaceStep<(C, ConnectionAge)> {
        let server = race.server.clone();
        let Addresses { book, limiter, pool, counts, .. } = self;
        let step = race.poll(now, &mut RaceSupply { book, limiter, pool, counts, server });
        match &step {
            RaceStep::Prove(..) => self.counts.proofs += 1,
            RaceStep::Send(..) => self.record_race_outcome(now, race),
            _ => {}
        }
        step
    }

    /// Records what a race that ended in a send showed of the other addresses.
    fn record_race_outcome(&mut self, now: Time, race: &Race) {
        let Some(summary) = race.summary(now) else { return };
        for (endpoint, since) in &summary.overtaken {
            self.counts.overtaken += 1;
            self.book.record_failure(endpoint, now, *since);
        }
        if !summary.lost.is_empty() {
            self.book.record_family_failures(&race.server, &summary.winner, &summary.lost, now);
        }
    }

    /// Records the end of a dial, with or without a connection. The caller also notifies the race.
    pub fn record_dial(&mut self, now: Time, endpoint: &Endpoint, since: Time, is_connected: bool) {
        self.book.dial_ended(endpoint);
        if is_connected {
            self.book.record_connect(endpoint, now.saturating_sub(since));
        } else {
            self.counts.dials_failed += 1;
            self.book.invalidate_proofs(endpoint, now);
            self.book.record_failure(endpoint, now, since);
        }
    }

    /// Records that a connection was closed, or got a malformed answer, during its proof.
    pub fn record_proof_failure(&mut self, now: Time, race: &mut Race, lane: usize) {
        let since = race.proving_since(lane);
        self.counts.proofs_failed += 1;
        self.book.invalidate_proofs(&race.endpoint(lane).clone(), now);
        if race.record_failure(lane) {
            self.book.record_failure(&race.endpoint(lane).clone(), now, since.unwrap_or(now));
        } else {
            self.counts.stale_connections += 1;
        }
    }

    /// Records that the peer had closed an idle connection.
    pub fn record_stale(&mut self, race: &mut Race, lane: usize) {
        self.counts.stale_connections += 1;
        race.record_stale(lane);
    }

    /// Records that the proof succeeded. Returns `false` if it comes too late.
    pub fn record_proof(&mut self, now: Time, race: &mut Race, lane: usize) -> bool {
        let took = race.proving_since(lane).map(|since| now.saturating_sub(since));
        self.book.record_answer(&race.endpoint(lane).clone(), now, took);
        race.record_proof(lane)
    }

    /// Records that the peer answered the head with 417, which rejects the expectation. `stays_open`: the
    /// connection stays open.
    pub fn record_expectation_failed(&mut self, now: Time, race: &mut Race, lane: usize, stays_open: bool) {
        let endpoint = race.endpoint(lane).clone();
        self.book.record_answer(&endpoint, now, None);
        self.book.record_rejected_continue(&endpoint);
        race.record_expectation_failed(lane, stays_open);
    }

    // ---- After the request was sent ----

    /// Records that the request was written. The number identifies it in the calls that follow.
    pub fn record_sent(
        &mut self,
        now: Time,
        server: &ServerId,
        endpoint: &Endpoint,
        is_repeatable: bool,
    ) -> u64 {
        self.waits.start(server, endpoint, now, is_repeatable)
    }

    /// Records the first byte of the answer.
    pub fn record_first_byte(&mut self, now: Time, number: u64) {
        if let Some(wait) = self.waits.record_answer(number, now) {
            self.book.record_answer(&wait.endpoint, now, None);
        }
    }

    /// Records that the request ended without a byte of answer. `is_reused`: it went over a pooled connection,
    /// which the peer may have closed; that says nothing about the address.
    pub fn record_no_answer(&mut self, now: Time, number: u64, is_reused: bool) {
        let Some(wait) = self.waits.remove(number) else { return };
        self.book.invalidate_proofs(&wait.endpoint, now);
        if !wait.is_late && !is_reused {
            self.book.record_no_answer(&wait.endpoint, now, wait.since);
        }
    }

    /// Records an answer over an address that is not the answer to a request, for instance to a health check.
    pub fn record_other_answer(&mut self, now: Time, endpoint: &Endpoint) {
        self.book.record_answer(endpoint, now, Some(1));
    }

    /// Takes back a connection after a complete answer.
    pub fn return_connection(&mut self, now: Time, endpoint: &Endpoint, conn: C, life: ConnectionAge) {
        let should_close = self.book.should_close(endpoint, now, self.bounds.grace);
        self.pool.put(now, endpoint, conn, life, should_close);
    }

    /// Records that a connection was closed, or that a dial ended without one.
    pub fn record_closed(&mut self, endpoint: &Endpoint) {
        self.limiter.count_closed(endpoint);
    }

    // ---- Periodic work ----

    /// Applies a full list of servers: each one's addresses, and whether it is leaving.
    pub fn apply_list(
        &mut self,
        now: Time,
        servers: impl IntoIterator<Item = (ServerId, Vec<Endpoint>, bool)>,
    ) {
        self.book.apply_list(now, servers);
        self.waits.retain_servers(|server| !self.book.endpoints(server).is_empty());
    }

    /// Closes expired connections, handles requests that wait long, and starts the trials that are due. No
    /// trial takes longer than `connect`.
    pub fn run_maintenance(&mut self, now: Time, connect: Time) -> MaintenanceResult {
        for wait in self.waits.take_late(now) {
            self.counts.late_waits += 1;
            self.book.record_no_answer(&wait.endpoint, now, wait.since);
            self.book.suspect_addresses(&wait.server, &wait.endpoint, now);
        }
        let book = &self.book;
        let give_up =
            self.waits.take_given_up(|wait| book.should_give_up(&wait.server, &wait.endpoint, wait.since));
        self.counts.given_up_waits += give_up.len() as u64;
        let (book, grace) = (&self.book, self.bounds.grace);
        self.pool.sweep(now, |endpoint| book.should_close(endpoint, now, grace));
        let limiter = &mut self.limiter;
        let trials = self.book.start_trials(now, connect, || limiter.try_reserve_spare(now));
        for trial in &trials {
            self.limiter.count_opened(&trial.endpoint);
            self.counts.trials += 1;
        }
        MaintenanceResult { trials, families: self.take_family_changes(), give_up }
    }

    /// Records the end of a trial. Its connection is reported like any other.
    pub fn record_trial(&mut self, now: Time, trial: &Trial, since: Time, has_answered: bool) {
        self.counts.trials_failed += u64::from(!has_answered);
        self.book.record_trial(trial, now, since, has_answered);
    }

    /// Removes and returns the connections to close.
    pub fn take_closing(&mut self) -> Vec<C> {
        self.pool.take_closing()
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
