//! The budget of dials, and the bounds on open connections.

use std::collections::HashMap;

use elderstage::Time;
use elderstage_protocol::place::Place;

/// One front's bounds on connecting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Dials a second, and how many may come at once after a quiet time.
    pub dials_per_s: f64,
    pub dials_at_once: f64,
    /// Connections open or being made: to one server, and in all.
    pub per_server: usize,
    pub in_all: usize,
    /// Idle connections kept for one address; how long; and until what age and number of requests.
    pub idle_each: usize,
    pub idle_for: Time,
    pub age: Time,
    pub uses: u32,
    /// A server's connections are closed so long after it was told to leave.
    pub grace: Time,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            // A front that loses half of 64 servers at 20 connections each is whole again in some three seconds,
            // and 64 such fronts ask 12,800 connects a second of the fleet, 200 of each server: under 1% of a core.
            dials_per_s: 200.0,
            dials_at_once: 100.0,
            per_server: 512,
            in_all: 8192,
            idle_each: 64,
            // Servers close idle connections after 30 s to a minute as a rule; ours go first.
            idle_for: 20_000_000,
            age: 600_000_000,
            uses: 10_000,
            grace: 2_000_000,
        }
    }
}

/// Why a dial may not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoom {
    /// The budget has no place for it in time.
    Budget,
    /// As many connections are open as may be.
    Connections,
}

/// Counts what is open and hands out times at which dials may begin.
#[derive(Clone, Debug)]
pub struct Gate {
    bounds: Bounds,
    /// When the budget is whole again, if no further dial is made (the cell rate algorithm of ITU-T I.371).
    whole: Time,
    open: HashMap<Place, usize>,
    all: usize,
}

impl Gate {
    pub fn new(bounds: Bounds) -> Gate {
        Gate { bounds, whole: 0, open: HashMap::new(), all: 0 }
    }

    fn step(&self) -> f64 {
        1e6 / self.bounds.dials_per_s.max(0.001)
    }

    /// Room for one more connection to the server that has these addresses.
    pub fn room<'a>(&self, places: impl Iterator<Item = &'a Place>) -> bool {
        let open: usize = places.map(|place| self.open.get(place).copied().unwrap_or(0)).sum();
        open < self.bounds.per_server && self.all < self.bounds.in_all
    }

    /// When a dial may begin, which is then counted on; not at all if that is later than `by`.
    pub fn reserve(&mut self, now: Time, by: Time) -> Result<Time, NoRoom> {
        let burst = (self.step() * (self.bounds.dials_at_once - 1.0).max(0.0)) as Time;
        let at = now.max(self.whole.saturating_sub(burst));
        if at > by {
            return Err(NoRoom::Budget);
        }
        self.whole = self.whole.max(now) + self.step() as Time;
        Ok(at)
    }

    /// A dial that nobody waits for: only from what is left of a budget that is more than half full.
    pub fn spare(&mut self, now: Time) -> bool {
        let half = (self.step() * self.bounds.dials_at_once / 2.0) as Time;
        self.whole <= now + half && self.all < self.bounds.in_all && self.reserve(now, now).is_ok()
    }

    pub fn opened(&mut self, place: &Place) {
        *self.open.entry(place.clone()).or_default() += 1;
        self.all += 1;
    }

    pub fn closed(&mut self, place: &Place) {
        if let Some(count) = self.open.get_mut(place) {
            *count -= 1;
            self.all -= 1;
            if *count == 0 {
                self.open.remove(place);
            }
        }
    }

    /// As many connections are open as may be, over all servers.
    pub fn full(&self) -> bool {
        self.all >= self.bounds.in_all
    }

    /// Connections open or being made, in all.
    pub fn all(&self) -> usize {
        self.all
    }

    pub fn open_at(&self, place: &Place) -> usize {
        self.open.get(place).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
