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
mod tests {
    use super::*;

    const S: Time = 1_000_000;

    fn place(n: u16) -> Place {
        Place::Tcp(([127, 0, 0, 1], n).into())
    }

    fn pool() -> Pool<u32> {
        Pool::new(Bounds { idle_each: 2, idle_for: 20 * S, age: 60 * S, uses: 3, ..Bounds::default() })
    }

    #[test]
    fn the_latest_used_comes_first_and_too_many_are_closed() {
        let mut pool = pool();
        for conn in 0..3 {
            pool.put(S, &place(1), conn, Life::new(0), false);
        }
        assert_eq!(pool.closing(), [2]);
        assert_eq!(pool.take(S, &place(1)).map(|(conn, _)| conn), Some(1));
        assert_eq!(pool.take(S, &place(2)), None);
    }

    #[test]
    fn idle_old_and_worn_connections_are_closed() {
        let mut pool = pool();
        pool.put(S, &place(1), 1, Life::new(0), false);
        assert_eq!(pool.take(21 * S, &place(1)), None, "idle for too long");
        pool.put(59 * S, &place(1), 2, Life::new(0), false);
        assert_eq!(pool.take(60 * S, &place(1)), None, "too old");
        pool.put(S, &place(1), 3, Life { born: 0, uses: 3 }, false);
        pool.put(S, &place(1), 4, Life::new(0), true);
        assert_eq!(pool.closing(), [1, 2, 3, 4]);
        pool.put(S, &place(1), 5, Life::new(0), false);
        pool.put(5 * S, &place(2), 6, Life::new(0), false);
        pool.sweep(6 * S, |at| *at == place(2));
        assert_eq!((pool.closing(), pool.idle()), (vec![6], 1));
        pool.sweep(21 * S, |_| false);
        assert_eq!((pool.closing(), pool.idle()), (vec![5], 0));
    }

    #[test]
    fn room_is_made_by_the_one_that_is_idle_the_longest() {
        let mut pool = pool();
        assert!(!pool.make_room());
        pool.put(2 * S, &place(1), 1, Life::new(0), false);
        pool.put(S, &place(2), 2, Life::new(0), false);
        assert!(pool.make_room());
        assert_eq!(pool.closing(), [2]);
    }
}
