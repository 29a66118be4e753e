//! What was learned of addresses, and the order that follows from it.

use std::collections::{BTreeMap, BTreeSet};

use elderstage::{ServerId, Time};
use elderstage_protocol::place::{Family, Place};

/// Weight of one connect in the learned time.
const STEP: f64 = 0.3;
/// First pause of an address that failed; it doubles with each failure, up to the longest.
const PAUSE: Time = 500_000;
const LONGEST_PAUSE: Time = 10_000_000;
/// Pauses are stretched by up to this share, another for each front, so that fronts do not come back together.
const JITTER: f64 = 0.5;
/// An address that has been good for so long starts from the first pause again; one that flaps does not.
const FORGIVEN: Time = 60_000_000;
/// So many servers that fail by one family while another reaches them, with none reached by it meanwhile, speak of
/// a dead network; and how long such a failure is held against the family.
const FAMILY_FAILS: usize = 3;
const FAMILY_MEMORY: Time = 30_000_000;
/// So many requests in a row without a byte of answer make an address a doubtful one: it comes after the others.
const SILENCES: u32 = 2;
/// A proof holds for so long: requests that may be repeated go without a further one.
const PROVEN_FOR: Time = 1_000_000;
/// Dials at once to an address that is paused, where a server has no other.
const HALF_OPEN: u32 = 2;
/// After something went wrong by a family, all its addresses are proven anew for so long: what took one server's
/// socket may have taken them all, and the next attempt goes to another server by the same family.
const SHAKEN: Time = 1_000_000;
/// Longest time for a trial of a mere suspicion: the shortest delay between two dials, which serves the same end.
const QUICK: Time = 100_000;
/// An address is slow when it takes so many times what the best of its server takes, and this much more; and how
/// long until it is looked at again.
const SLOW: f64 = 4.0;
const SLOW_MARGIN: f64 = 20_000.0;
const SLOW_LOOK: Time = 5_000_000;
/// An address that has answered something so lately is not suspected.
const SUSPECT: Time = 200_000;
/// A server that has left is known for so long: releases and attempts under way may still name it.
const FORGET: Time = 60_000_000;

/// What is known of one address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// Mean time to connect, and to prove a connection, in microseconds; 0 before the first.
    pub connect: f64,
    pub prove: f64,
    /// Failures since it was last proven: while there are any, it comes after the others and is tried only by
    /// trials, or where a server has nothing else.
    pub fails: u32,
    /// No trial before this time.
    pub until: Time,
    /// When it last answered something; an address may accept and then stall.
    pub proven: Option<Time>,
    /// When a request over it last got a byte of answer.
    pub answered: Option<Time>,
    /// Requests without a byte of answer since the last that had one.
    pub silences: u32,
    /// Dials that are out.
    pub dialing: u32,
    /// It has refused `Expect: 100-continue`, and is proven by a health request instead.
    pub no_continue: bool,
    /// Pauses so far, as they grow; an address that flaps keeps them.
    pauses: u32,
    good_since: Option<Time>,
    failed_at: Time,
    trial: bool,
    tried: Time,
    /// Since when no listed server has it; none while one does.
    left: Option<Time>,
}

/// An address to try.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    pub place: Place,
    pub connect: f64,
    pub prove: f64,
    /// A request that may be repeated needs no proof of it first.
    pub proven: bool,
    pub no_continue: bool,
}

#[derive(Clone, Debug, Default)]
struct FamilyState {
    failed: BTreeMap<ServerId, Time>,
    /// Held to be dead; no trial before this time.
    down: Option<Time>,
    pauses: u32,
    /// The address by which it was last tried.
    tried: Option<Place>,
    trial: bool,
}

#[derive(Clone, Debug)]
struct Listed {
    places: Vec<Place>,
    left: Option<Time>,
}

/// All addresses of all servers, as one front knows them. What is known of an address is the same for all servers
/// that have it.
#[derive(Clone, Debug, Default)]
pub struct Book {
    servers: BTreeMap<ServerId, Listed>,
    known: BTreeMap<Place, Known>,
    families: BTreeMap<Family, FamilyState>,
    /// Until when nothing vouches for any address of a family.
    shaken: BTreeMap<Family, Time>,
    /// Addresses with failures.
    bad: BTreeSet<Place>,
    /// Addresses of which a trial is wanted for a long wait.
    suspects: BTreeSet<Place>,
    /// When slow addresses are looked for next.
    slow_look: Time,
    /// Share of this front's jitter, from 0 to 1.
    jitter: f64,
}

impl Known {
    fn doubtful(&self) -> bool {
        self.silences >= SILENCES
    }

    fn cost(&self) -> f64 {
        self.connect + self.prove
    }

    fn slow(&self, best: f64) -> bool {
        self.cost() > best * SLOW + SLOW_MARGIN
    }

    fn bad(&self) -> bool {
        self.fails > 0 || self.doubtful()
    }

    /// Puts the next trial off, for longer each time.
    fn punish(&mut self, now: Time, jitter: f64) {
        if self.fails == 0 && self.good_since.is_some_and(|at| now >= at + FORGIVEN) {
            self.pauses = 0;
        }
        self.pauses += 1;
        self.until = now + pause(self.pauses, jitter);
    }
}

/// A dial that is made to learn, with no request behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub server: ServerId,
    pub place: Place,
    /// It is for the whole family.
    pub family: bool,
    /// Requests got no answer though connections were made: the trial is to be as long as a request, since a network
    /// may pass small packets only.
    pub heavy: bool,
    /// Longest time for it.
    pub time: Time,
}

fn pause(number: u32, jitter: f64) -> Time {
    let base = (PAUSE << number.saturating_sub(1).min(6)).min(LONGEST_PAUSE);
    (base as f64 * (1.0 + JITTER * jitter)) as Time
}

impl Book {
    /// `jitter`, from 0 to 1, is drawn once for each front.
    pub fn new(jitter: f64) -> Book {
        Book { jitter: jitter.clamp(0.0, 1.0), ..Book::default() }
    }

    /// Takes the whole list: each server's addresses in the configured order, and whether it is told to leave.
    /// What is known of addresses that stay is kept, whichever server has them now.
    pub fn list(&mut self, now: Time, servers: impl IntoIterator<Item = (ServerId, Vec<Place>, bool)>) {
        let mut old = std::mem::take(&mut self.servers);
        for (server, places, leaves) in servers {
            let before = old.remove(&server).and_then(|listed| listed.left);
            let left = leaves.then(|| before.unwrap_or(now));
            self.servers.insert(server, Listed { places, left });
        }
        for (server, mut listed) in old {
            let left = *listed.left.get_or_insert(now);
            if now < left + FORGET {
                self.servers.insert(server, listed);
            }
        }
        let mut homes: BTreeMap<&Place, Option<Time>> = BTreeMap::new();
        for listed in self.servers.values() {
            for place in &listed.places {
                let left = homes.entry(place).or_insert(listed.left);
                *left = (*left).zip(listed.left).map(|(a, b)| a.max(b));
            }
        }
        self.known.retain(|place, _| homes.contains_key(place));
        for (place, left) in homes {
            self.known.entry(place.clone()).or_default().left = left;
        }
        self.bad.retain(|place| self.known.contains_key(place));
        self.suspects.retain(|place| self.known.contains_key(place));
        for family in self.families.values_mut() {
            family.failed.retain(|server, _| self.servers.get(server).is_some_and(|s| s.left.is_none()));
        }
        // A family that no listed server has any more is nobody's concern, and would be tried for ever.
        let listed: BTreeSet<Family> =
            self.known.iter().filter(|(_, known)| known.left.is_none()).map(|(p, _)| p.family()).collect();
        self.families.retain(|family, _| listed.contains(family));
    }

    pub fn known(&self, place: &Place) -> Option<&Known> {
        self.known.get(place)
    }

    /// Whether connections to it are to be closed: no server has it any more, and the grace is over.
    pub fn left(&self, place: &Place, now: Time, grace: Time) -> bool {
        match self.known.get(place) {
            None => true,
            Some(known) => known.left.is_some_and(|left| now >= left + grace),
        }
    }

    /// Whether a family is held to be unreachable as a whole.
    pub fn family_down(&self, family: Family) -> bool {
        self.families.get(&family).is_some_and(|state| state.down.is_some())
    }

    /// Addresses that have failed and were not proven since.
    pub fn failing(&self) -> usize {
        self.bad.len()
    }

    /// The addresses to try, in their order: what is fit by preference, then what has failed, soonest due first.
    /// Failed ones are there so that a server of which all have failed is still tried, by a few at a time.
    pub fn order(&self, server: &ServerId, now: Time) -> Vec<Choice> {
        let Some(listed) = self.servers.get(server) else { return Vec::new() };
        let known: Vec<(usize, &Known)> = listed
            .places
            .iter()
            .enumerate()
            .filter_map(|(index, place)| Some((index, self.known.get(place)?)))
            .filter(|(_, known)| known.fails == 0 || known.dialing < HALF_OPEN)
            .collect();
        let best = best(known.iter().map(|(_, known)| *known));
        let key = |&(index, known): &(usize, &Known)| {
            let down = !self.families.is_empty() && self.family_down(listed.places[index].family());
            (known.bad(), down, known.slow(best), if known.bad() { known.until } else { 0 }, index)
        };
        let mut order = known;
        order.sort_by_cached_key(key);
        let choice = |(index, known): (usize, &Known)| {
            let place = &listed.places[index];
            let shaken = self.shaken.get(&place.family()).is_some_and(|until| now < *until);
            let fresh = !shaken && known.proven.is_some_and(|at| now < at + PROVEN_FOR);
            Choice {
                place: place.clone(),
                connect: known.connect,
                prove: known.prove,
                proven: fresh && known.silences == 0 && known.fails == 0,
                no_continue: known.no_continue,
            }
        };
        order.into_iter().map(choice).collect()
    }

    /// Asks for trials of addresses that come last for being slow.
    fn look_at_slow(&mut self, now: Time) -> Vec<Place> {
        if now < self.slow_look {
            return Vec::new();
        }
        self.slow_look = now + SLOW_LOOK / 5;
        let mut slow = Vec::new();
        for listed in self.servers.values().filter(|listed| listed.places.len() > 1) {
            let best = best(listed.places.iter().filter_map(|place| self.known.get(place)));
            let due = |known: &Known| known.slow(best) && !known.bad() && now >= known.tried + SLOW_LOOK;
            slow.extend(listed.places.iter().filter(|place| self.known.get(place).is_some_and(due)).cloned());
        }
        self.suspects.extend(slow.iter().cloned());
        slow
    }

    /// The addresses of a server as they are listed.
    pub fn places(&self, server: &ServerId) -> &[Place] {
        self.servers.get(server).map_or(&[], |listed| &listed.places)
    }

    // ---- What is seen ----

    pub fn dialing(&mut self, place: &Place) {
        if let Some(known) = self.known.get_mut(place) {
            known.dialing += 1;
        }
    }

    /// A dial has come to its end, whichever.
    pub fn dialed(&mut self, place: &Place) {
        if let Some(known) = self.known.get_mut(place) {
            known.dialing = known.dialing.saturating_sub(1);
        }
    }

    pub fn connected(&mut self, place: &Place, took: Time) {
        if let Some(known) = self.known.get_mut(place) {
            learn(&mut known.connect, took);
        }
    }

    /// Something was answered over this address: it is good, and so is its family. `took` is the time that a proof
    /// took, where it was one.
    pub fn proven(&mut self, place: &Place, now: Time, took: Option<Time>) {
        let Some(known) = self.known.get_mut(place) else { return };
        if let Some(took) = took {
            learn(&mut known.prove, took);
        }
        let back = known.fails > 0;
        if back || known.good_since.is_none() {
            known.good_since = Some(now);
        }
        (known.proven, known.fails) = (Some(now), 0);
        // Guards against a proof by a small head that vouches for a path on which long bodies are lost.
        if took.is_none() {
            known.answered = Some(now);
            known.silences = 0;
        }
        if !known.bad() {
            known.until = 0;
            self.bad.remove(place);
        }
        if back {
            // The server is there again: its other addresses are tried soon, whatever their pauses.
            let jitter = self.jitter;
            for listed in self.servers.values().filter(|listed| listed.places.contains(place)) {
                for place in &listed.places {
                    if let Some(known) = self.known.get_mut(place) {
                        known.until = known.until.min(now + (PAUSE as f64 * jitter) as Time);
                    }
                }
            }
        }
        let Some(family) = self.families.remove(&place.family()) else { return };
        if family.down.is_some() {
            // The network is back: what failed with it is tried again soon, spread over the first pause.
            let mine: Vec<Place> =
                self.bad.iter().filter(|p| p.family() == place.family()).cloned().collect();
            let count = mine.len().max(1) as Time;
            for (number, place) in mine.iter().enumerate() {
                if let Some(known) = self.known.get_mut(place) {
                    known.until = known.until.min(now + PAUSE * number as Time / count);
                }
            }
        }
    }

    /// A connect failed, or a connection was closed or stalled before it was proven. `since` is when that dial or
    /// proof began.
    pub fn failed(&mut self, place: &Place, now: Time, since: Time) {
        let jitter = self.jitter;
        let Some(known) = self.known.get_mut(place) else { return };
        // Guards against a hundred requests under way together that each double the pause: what began before the
        // last failure was known says nothing new.
        if known.fails > 0 && since <= known.failed_at {
            return;
        }
        // Nor does it say anything of an address that has answered since.
        if known.proven.is_some_and(|at| at > since) {
            return;
        }
        known.punish(now, jitter);
        known.fails += 1;
        known.failed_at = now;
        self.bad.insert(place.clone());
    }

    /// A connection was closed under a request, or could not be had.
    pub fn shaken(&mut self, place: &Place, now: Time) {
        self.shaken.insert(place.family(), now + SHAKEN);
    }

    /// A request got no byte of an answer over a connection that was made.
    pub fn silent(&mut self, place: &Place, now: Time, since: Time) {
        let jitter = self.jitter;
        let Some(known) = self.known.get_mut(place) else { return };
        // Proofs say nothing here: guards against a path that passes them and swallows what follows.
        if known.answered.is_some_and(|at| at > since) {
            return;
        }
        known.silences += 1;
        if known.silences == SILENCES {
            known.punish(now, jitter);
            self.bad.insert(place.clone());
        }
    }

    /// A request over it waits long. A trial is due of it, and of the server's others: guards against a front whose
    /// requests all wait on a dead path, so that none shows that another works.
    pub fn suspect(&mut self, server: &ServerId, place: &Place, now: Time) {
        let Some(listed) = self.servers.get(server) else { return };
        for place in listed.places.iter().chain([place].into_iter().filter(|p| !listed.places.contains(p))) {
            if let Some(known) = self.known.get(place)
                && !known.bad()
                && known.proven.is_none_or(|at| now >= at + SUSPECT)
            {
                self.suspects.insert(place.clone());
            }
        }
    }

    /// Whether an address has failed or swallows requests, while another one of the server works.
    pub fn hopeless(&self, server: &ServerId, place: &Place, since: Time) -> bool {
        if !self.known.get(place).is_some_and(Known::bad) {
            return false;
        }
        let works = |other: &Place| {
            other != place
                && self
                    .known
                    .get(other)
                    .is_some_and(|known| !known.bad() && known.proven.is_some_and(|at| at > since))
        };
        self.places(server).iter().any(works)
    }

    /// It does not take requests that wait for a word before their body.
    pub fn refused_continue(&mut self, place: &Place) {
        if let Some(known) = self.known.get_mut(place) {
            known.no_continue = true;
        }
    }

    /// A server was reached at `won` after these had failed or were late: what that says of their families.
    pub fn beaten(&mut self, server: &ServerId, won: &Place, lost: &[Place], now: Time) {
        for place in lost {
            let family = place.family();
            // Guards against a dead server that speaks for a network: only where another family reached it.
            if family == won.family() {
                continue;
            }
            let jitter = self.jitter;
            let state = self.families.entry(family).or_default();
            state.failed.retain(|_, at| now < *at + FAMILY_MEMORY);
            state.failed.insert(server.clone(), now);
            // Guards against a dead network that is found server by server: a few are enough for all of them.
            if state.down.is_none() && state.failed.len() >= FAMILY_FAILS {
                state.pauses += 1;
                state.down = Some(now + pause(state.pauses, jitter));
            }
        }
    }

    // ---- Trials ----

    /// The trials that are due and that `may` lets begin. A family that is down is tried by one address at a time,
    /// another each time; its failed addresses wait for that.
    /// No trial takes longer than `connect`.
    pub fn trials(&mut self, now: Time, connect: Time, mut may: impl FnMut() -> bool) -> Vec<Trial> {
        let mut out = Vec::new();
        let down: Vec<Family> =
            self.families.iter().filter(|(_, s)| s.down.is_some()).map(|(f, _)| *f).collect();
        for family in down {
            let Some(place) = self.family_trial(family, now) else { continue };
            let Some(server) = self.home(&place) else { continue };
            if !may() {
                return out;
            }
            if let Some(state) = self.families.get_mut(&family) {
                (state.trial, state.tried) = (true, Some(place.clone()));
            }
            out.push(Trial { server, place, family: true, heavy: false, time: connect });
        }
        let slow = self.look_at_slow(now);
        let wanted = self.bad.union(&self.suspects);
        let due: Vec<Place> = wanted.filter(|place| self.due(place, now)).cloned().collect();
        for place in due {
            let Some(server) = self.home(&place) else { continue };
            if !may() {
                return out;
            }
            let Some(known) = self.known.get_mut(&place) else { continue };
            known.trial = true;
            known.tried = now;
            self.suspects.remove(&place);
            // A request waits for what comes of a suspicion.
            let time = if known.bad() || slow.contains(&place) { connect } else { connect.min(QUICK) };
            out.push(Trial { server, heavy: known.doubtful(), place, family: false, time });
        }
        out
    }

    fn due(&self, place: &Place, now: Time) -> bool {
        let known = self.known.get(place);
        let due = known.is_some_and(|k| now >= k.until && !k.trial && k.dialing == 0 && k.left.is_none());
        due && !self.family_down(place.family())
    }

    /// The next address by which a family is tried, if its time has come.
    fn family_trial(&self, family: Family, now: Time) -> Option<Place> {
        let state = self.families.get(&family)?;
        if state.trial || state.down.is_none_or(|until| now < until) {
            return None;
        }
        let mine = |(place, known): &(&Place, &Known)| place.family() == family && known.left.is_none();
        let after = self.known.iter().filter(mine).map(|(place, _)| place);
        let next = after.clone().find(|place| state.tried.as_ref().is_none_or(|tried| *place > tried));
        next.or_else(|| after.clone().next()).cloned()
    }

    /// A listed server that has this address.
    fn home(&self, place: &Place) -> Option<ServerId> {
        let has = |listed: &Listed| listed.left.is_none() && listed.places.contains(place);
        self.servers.iter().find(|(_, listed)| has(listed)).map(|(server, _)| server.clone())
    }

    /// A trial has ended; `good` when something was answered.
    pub fn tried(&mut self, trial: &Trial, now: Time, since: Time, good: bool) {
        let jitter = self.jitter;
        if let Some(known) = self.known.get_mut(&trial.place) {
            known.trial = false;
            known.silences = if good && trial.heavy { 0 } else { known.silences };
            if good {
                // What it takes now, connect and answer together; means of old times would keep it last for long.
                (known.connect, known.prove) = (0.0, now.saturating_sub(since) as f64);
            }
        }
        if good {
            // Its time is noted above already.
            return self.proven(&trial.place, now, Some(now.saturating_sub(since)));
        }
        self.failed(&trial.place, now, since);
        if let Some(state) = self.families.get_mut(&trial.place.family()).filter(|_| trial.family) {
            state.trial = false;
            state.pauses += 1;
            state.down = state.down.map(|_| now + pause(state.pauses, jitter));
        }
    }
}

/// What the quickest address that works takes to connect and prove, of those of which it is known.
fn best<'a>(known: impl Iterator<Item = &'a Known>) -> f64 {
    let fit = known.filter(|known| !known.bad()).map(Known::cost);
    fit.filter(|cost| *cost > 0.0).fold(f64::INFINITY, f64::min)
}

/// Takes one more time into a mean; 0 stands for none yet.
pub(super) fn learn(mean: &mut f64, took: Time) {
    let took = took.max(1) as f64;
    *mean += if *mean == 0.0 { took } else { STEP * (took - *mean) };
}

#[cfg(test)]
#[path = "book_tests.rs"]
mod tests;
