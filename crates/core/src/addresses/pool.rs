//! Idle connections, kept for the next request.

use std::collections::HashMap;

use elderstage::Time;
use elderstage_protocol::place::Place;

use super::gate::Bounds;

/// A connection's life so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    pub born: Time,
    /// Requests that it has carried, one at a time: HTTP/1.1 carries one stream on a connection.
    pub uses: u32,
}

impl Life {
    pub fn new(now: Time) -> Life {
        Life { born: now, uses: 0 }
    }
}

struct Idle<C> {
    conn: C,
    life: Life,
    since: Time,
}

/// Idle connections by address. What is to be closed is handed back, never dropped inside.
pub struct Pool<C> {
    bounds: Bounds,
    idle: HashMap<Place, Vec<Idle<C>>>,
    closing: Vec<C>,
}

impl<C> Pool<C> {
    pub fn new(bounds: Bounds) -> Pool<C> {
        Pool { bounds, idle: HashMap::new(), closing: Vec::new() }
    }

    fn worn(&self, life: Life, now: Time) -> bool {
        life.uses >= self.bounds.uses || now >= life.born + self.bounds.age
    }

    /// The latest used comes first, so that the others grow old and go.
    pub fn take(&mut self, now: Time, place: &Place) -> Option<(C, Life)> {
        let list = self.idle.get_mut(place)?;
        while let Some(Idle { conn, life, since }) = list.pop() {
            if now < since + self.bounds.idle_for && now < life.born + self.bounds.age {
                return Some((conn, life));
            }
            self.closing.push(conn);
        }
        None
    }

    /// Keeps a connection that is free, or has it closed.
    pub fn put(&mut self, now: Time, place: &Place, conn: C, life: Life, left: bool) {
        let worn = left || self.worn(life, now);
        let list = self.idle.entry(place.clone()).or_default();
        if worn || list.len() >= self.bounds.idle_each {
            self.closing.push(conn);
        } else {
            list.push(Idle { conn, life, since: now });
        }
    }

    /// Marks for closing what is idle for too long, too old, or at an address that is left.
    pub fn sweep(&mut self, now: Time, left: impl Fn(&Place) -> bool) {
        let (bounds, closing) = (self.bounds, &mut self.closing);
        self.idle.retain(|place, list| {
            let gone = left(place);
            let old = |idle: &mut Idle<C>| {
                gone || now >= idle.since + bounds.idle_for || now >= idle.life.born + bounds.age
            };
            closing.extend(list.extract_if(.., old).map(|idle| idle.conn));
            !list.is_empty()
        });
    }

    /// Marks the connection for closing that is idle the longest, to make room for another.
    pub fn make_room(&mut self) -> bool {
        let oldest = |list: &Vec<Idle<C>>| list.first().map(|idle| idle.since);
        let Some(place) = self
            .idle
            .iter()
            .filter_map(|(place, list)| Some((oldest(list)?, place)))
            .min()
            .map(|(_, place)| place.clone())
        else {
            return false;
        };
        if let Some(list) = self.idle.get_mut(&place) {
            self.closing.push(list.remove(0).conn);
        }
        true
    }

    pub fn idle(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// What is to be closed.
    pub fn closing(&mut self) -> Vec<C> {
        std::mem::take(&mut self.closing)
    }
}

#[cfg(test)]
mod tests;
