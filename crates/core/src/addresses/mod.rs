//! Many addresses of one server, and one attempt over them.
//!
//! A server may be reached by IPv6, IPv4 and a Unix socket. What was learned of each address decides the order in
//! which they are tried ([`Book`]). One attempt connects staggered, as RFC 8305 has it, proves a connection where
//! the request must not run twice, and ends with one send or none ([`Race`]). Dials have a budget and connections
//! have bounds ([`Gate`]); idle ones are kept for the next request ([`Pool`]). [`Addresses`] is all of it as one
//! front has it; the front holds the sockets and does what it is told.
//!
//! **When it acts**: on each attempt at an engine, and every few tens of milliseconds for trials and closing.
//! **What it costs**: some hundred bytes an address; an attempt that finds an idle connection, a look into two maps.
//! **How it is seen**: [`Counts`], by the front's metrics; a family that goes down or comes back is logged.

mod book;
mod gate;
mod pool;
mod race;
mod waits;

use elderstage::{ServerId, Time};
use elderstage_protocol::place::{Family, Place};
use waits::Waits;

pub use book::{Book, Choice, Known, Trial};
pub use gate::{Bounds, Gate, NoRoom};
pub use pool::{Life, Pool};
pub use race::{Beaten, Lost, Proof, Race, Rest, Step, Supply};

/// What an attempt asks of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request must not run twice: unsafe and keyed classes at a writer.
    pub once: bool,
    /// How the server's kind is proven.
    pub proof: Proof,
    /// Longest time to connect and to prove, over all addresses: what the module counts on.
    pub connect: Time,
    /// The attempt's whole time.
    pub time: Time,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub dials: u64,
    pub dials_failed: u64,
    /// Dials that another one overtook.
    pub overtaken: u64,
    pub reused: u64,
    /// Pooled connections that turned out closed.
    pub stale: u64,
    pub proofs: u64,
    pub proofs_failed: u64,
    pub no_room: u64,
    pub trials: u64,
    pub trials_failed: u64,
    pub families_down: u64,
    pub families_back: u64,
    /// Requests whose wait for a first byte was long, and those given up for it.
    pub late: u64,
    pub given_up: u64,
}

/// All that one front knows and holds of addresses. `C` is a connection, which is never looked into.
pub struct Addresses<C> {
    pub book: Book,
    gate: Gate,
    pool: Pool<C>,
    waits: Waits,
    bounds: Bounds,
    counts: Counts,
    down: [bool; 3],
}

/// What a look after the addresses has come to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tended {
    pub trials: Vec<Trial>,
    /// Families that went down or came back since the last look; true for down.
    pub families: Vec<(Family, bool)>,
    /// Requests to give up, by their numbers: nothing comes over their address, and another one works.
    pub give_up: Vec<u64>,
}

const FAMILIES: [Family; 3] = [Family::Unix, Family::V6, Family::V4];

struct Stock<'a, C> {
    book: &'a mut Book,
    gate: &'a mut Gate,
    pool: &'a mut Pool<C>,
    counts: &'a mut Counts,
    server: ServerId,
}

impl<C> Supply<(C, Life)> for Stock<'_, C> {
    fn idle(&mut self, now: Time, place: &Place) -> Option<(C, Life)> {
        let taken = self.pool.take(now, place);
        self.counts.reused += u64::from(taken.is_some());
        taken
    }

    fn dial(&mut self, now: Time, by: Time, place: &Place) -> Option<Time> {
        let places = || {
            self.book.places(&self.server).iter().chain([place].into_iter().filter(|p| {
                // Its list may have changed since the attempt began.
                !self.book.places(&self.server).contains(p)
            }))
        };
        // One that idles elsewhere makes room, once it is closed: this dial counts on it.
        let room = self.gate.room(places()) || (self.gate.full() && self.pool.make_room());
        let at = room.then(|| self.gate.reserve(now, by).ok()).flatten();
        match at {
            Some(_) => {
                self.gate.opened(place);
                self.book.dialing(place);
                self.counts.dials += 1;
            }
            None => self.counts.no_room += 1,
        }
        at
    }

    fn unused(&mut self, place: &Place) {
        self.gate.closed(place);
        self.book.dialed(place);
        self.counts.dials -= 1;
    }

    fn late(&mut self, now: Time, since: Time, place: &Place) {
        self.counts.proofs_failed += 1;
        self.book.failed(place, now, since);
    }
}

impl<C> Addresses<C> {
    /// `jitter`, from 0 to 1, is drawn once for each front.
    pub fn new(bounds: Bounds, jitter: f64) -> Addresses<C> {
        Addresses {
            book: Book::new(jitter),
            gate: Gate::new(bounds),
            pool: Pool::new(bounds),
            waits: Waits::default(),
            bounds,
            counts: Counts::default(),
            down: [false; 3],
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Connections open or being made, and those of them that are idle.
    pub fn open(&self) -> (usize, usize) {
        (self.gate.all(), self.pool.idle())
    }

    /// Connections to one address, open or being made.
    pub fn open_at(&self, place: &Place) -> usize {
        self.gate.open_at(place)
    }

    /// Families that are held to be dead.
    pub fn down(&self) -> impl Iterator<Item = Family> + '_ {
        FAMILIES.into_iter().filter(|family| self.book.family_down(*family))
    }

    /// Counts families that went down or came back; those, with whether they are down now.
    fn families(&mut self) -> Vec<(Family, bool)> {
        let mut changed = Vec::new();
        for (index, family) in FAMILIES.into_iter().enumerate() {
            let down = self.book.family_down(family);
            if down != self.down[index] {
                self.down[index] = down;
                let count =
                    if down { &mut self.counts.families_down } else { &mut self.counts.families_back };
                *count += 1;
                changed.push((family, down));
            }
        }
        changed
    }

    // ---- One attempt ----

    /// Begins an attempt.
    pub fn begin(&mut self, now: Time, server: &ServerId, ask: Ask) -> Race {
        let order = self.book.order(server, now);
        let several = order.len() > 1;
        let proof = |choice: &Choice| {
            // A proof is worth its round trip where the request must not run twice, or where there is somewhere
            // else to go and nothing vouches for this address.
            match ask.proof {
                _ if !ask.once && (choice.proven || !several) => Proof::None,
                Proof::Continue if choice.no_continue => Proof::Health,
                proof => proof,
            }
        };
        Race::new(server.clone(), now, now + ask.connect.min(ask.time), order, proof)
    }

    /// What the attempt does next.
    pub fn poll(&mut self, now: Time, race: &mut Race) -> Step<(C, Life)> {
        let server = race.server.clone();
        let Addresses { book, gate, pool, counts, .. } = self;
        let step = race.poll(now, &mut Stock { book, gate, pool, counts, server });
        match &step {
            Step::Prove(..) => self.counts.proofs += 1,
            Step::Send(..) => self.settle(now, race),
            _ => {}
        }
        step
    }

    fn settle(&mut self, now: Time, race: &Race) {
        let Some(beaten) = race.beaten(now) else { return };
        for (place, since) in &beaten.overtaken {
            self.counts.overtaken += 1;
            self.book.failed(place, now, *since);
        }
        if !beaten.lost.is_empty() {
            self.book.beaten(&race.server, &beaten.winner, &beaten.lost, now);
        }
    }

    /// A dial has ended, with a connection or without one. The race is told by itself.
    pub fn dialed(&mut self, now: Time, place: &Place, since: Time, connected: bool) {
        self.book.dialed(place);
        if connected {
            self.book.connected(place, now.saturating_sub(since));
        } else {
            self.counts.dials_failed += 1;
            self.book.shaken(place, now);
            self.book.failed(place, now, since);
        }
    }

    /// A connection was closed, or spoke nonsense, while it was proven.
    pub fn not_proven(&mut self, now: Time, race: &mut Race, lane: usize) {
        let since = race.proving_since(lane);
        self.counts.proofs_failed += 1;
        self.book.shaken(&race.place(lane).clone(), now);
        if race.failed(lane) {
            self.book.failed(&race.place(lane).clone(), now, since.unwrap_or(now));
        } else {
            self.counts.stale += 1;
        }
    }

    /// An idle connection was closed by its peer meanwhile.
    pub fn stale(&mut self, race: &mut Race, lane: usize) {
        self.counts.stale += 1;
        race.stale(lane);
    }

    /// The word to go on has come. `false`: it comes too late.
    pub fn proven(&mut self, now: Time, race: &mut Race, lane: usize) -> bool {
        let took = race.proving_since(lane).map(|since| now.saturating_sub(since));
        self.book.proven(&race.place(lane).clone(), now, took);
        race.proven(lane)
    }

    /// The peer has answered the head with 417: it does not know the expectation. `open`: the connection stays open.
    pub fn without_continue(&mut self, now: Time, race: &mut Race, lane: usize, open: bool) {
        let place = race.place(lane).clone();
        self.book.proven(&place, now, None);
        self.book.refused_continue(&place);
        race.without_continue(lane, open);
    }

    // ---- After the send ----

    /// The request was written. The number is for what follows.
    pub fn sent(&mut self, now: Time, server: &ServerId, place: &Place, safe: bool) -> u64 {
        self.waits.begin(server, place, now, safe)
    }

    /// The first byte of its answer has come.
    pub fn answered(&mut self, now: Time, number: u64) {
        if let Some(wait) = self.waits.answered(number, now) {
            self.book.proven(&wait.place, now, None);
        }
    }

    /// It has ended without a byte. `reused`: on a pooled connection, which may have been closed meanwhile and then
    /// says nothing of its address.
    pub fn silent(&mut self, now: Time, number: u64, reused: bool) {
        let Some(wait) = self.waits.ended(number) else { return };
        self.book.shaken(&wait.place, now);
        if !wait.late && !reused {
            self.book.silent(&wait.place, now, wait.since);
        }
    }

    /// Something was answered over an address beside a request.
    pub fn heard(&mut self, now: Time, place: &Place) {
        self.book.proven(place, now, Some(1));
    }

    /// A connection is free again after an answer that ended in good order.
    pub fn free(&mut self, now: Time, place: &Place, conn: C, life: Life) {
        let left = self.book.left(place, now, self.bounds.grace);
        self.pool.put(now, place, conn, life, left);
    }

    /// A connection has been closed, or a dial has ended without one.
    pub fn closed(&mut self, place: &Place) {
        self.gate.closed(place);
    }

    // ---- Now and then ----

    /// The whole list of servers: each one's addresses, and whether it is told to leave.
    pub fn list(&mut self, now: Time, servers: impl IntoIterator<Item = (ServerId, Vec<Place>, bool)>) {
        self.book.list(now, servers);
        self.waits.forget_servers(|server| !self.book.places(server).is_empty());
    }

    /// Closes what has outlived its time, looks after long waits, and begins the trials that are due.
    /// No trial takes longer than `connect`.
    pub fn tend(&mut self, now: Time, connect: Time) -> Tended {
        for wait in self.waits.late(now) {
            self.counts.late += 1;
            self.book.silent(&wait.place, now, wait.since);
            self.book.suspect(&wait.server, &wait.place, now);
        }
        let book = &self.book;
        let give_up = self.waits.give_up(|wait| book.hopeless(&wait.server, &wait.place, wait.since));
        self.counts.given_up += give_up.len() as u64;
        let (book, grace) = (&self.book, self.bounds.grace);
        self.pool.sweep(now, |place| book.left(place, now, grace));
        let gate = &mut self.gate;
        let trials = self.book.trials(now, connect, || gate.spare(now));
        for trial in &trials {
            self.gate.opened(&trial.place);
            self.counts.trials += 1;
        }
        Tended { trials, families: self.families(), give_up }
    }

    /// A trial has ended; `good` when something was answered. Its connection is told of as any other.
    pub fn tried(&mut self, now: Time, trial: &Trial, since: Time, good: bool) {
        self.counts.trials_failed += u64::from(!good);
        self.book.tried(trial, now, since, good);
    }

    /// What is to be closed.
    pub fn closing(&mut self) -> Vec<C> {
        self.pool.closing()
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
