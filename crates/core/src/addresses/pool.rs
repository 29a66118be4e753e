//! The pool of idle connections, kept for the next request.
//!
//! HTTP/1.1 does not say which request an answer belongs to, but by its order on the connection. A faulty server may
//! send a second answer some time after the first; on a connection that carries the next request it would be taken
//! for that one's answer. So a connection rests before it is used again, and the bytes that arrive meanwhile end it.
//! That is a proof by time alone.
//!
//! The pool never closes a connection itself: connections to close are collected until the caller takes them.

use std::collections::HashMap;

use elderstage::Time;
use elderstage_protocol::http::MIN_REUSE_REST;
use elderstage_protocol::place::Endpoint;

use super::gate::ConnectionLimits;

/// Shortest time from the end of an answer until the connection carries the next request.
const MIN_REST: Time = MIN_REUSE_REST.as_micros() as Time;

/// Age and use count of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAge {
    /// When it was opened.
    pub opened_at: Time,
    /// Requests that it has carried, one at a time, since HTTP/1.1 has no concurrent streams.
    pub uses: u32,
}

impl ConnectionAge {
    /// A connection that was opened at `now` and has carried no request.
    pub fn new(now: Time) -> ConnectionAge {
        ConnectionAge { opened_at: now, uses: 0 }
    }
}

struct Idle<C> {
    conn: C,
    life: ConnectionAge,
    since: Time,
}

/// Idle connections by address, and connections to close.
pub struct Pool<C> {
    bounds: ConnectionLimits,
    idle: HashMap<Endpoint, Vec<Idle<C>>>,
    closing: Vec<C>,
}

impl<C> Pool<C> {
    /// An empty pool.
    pub fn new(bounds: ConnectionLimits) -> Pool<C> {
        Pool { bounds, idle: HashMap::new(), closing: Vec::new() }
    }

    fn is_worn_out(&self, life: ConnectionAge, now: Time) -> bool {
        life.uses >= self.bounds.max_uses || now >= life.opened_at + self.bounds.max_age
    }

    /// Takes the most recently used of the idle connections that have rested, so that surplus ones expire.
    pub fn take(&mut self, now: Time, endpoint: &Endpoint) -> Option<(C, ConnectionAge)> {
        let list = self.idle.get_mut(endpoint)?;
        while let Some(newest) = list.iter().rposition(|idle| now >= idle.since + MIN_REST) {
            let Idle { conn, life, since } = list.remove(newest);
            if now < since + self.bounds.idle_timeout && now < life.opened_at + self.bounds.max_age {
                return Some((conn, life));
            }
            self.closing.push(conn);
        }
        None
    }

    /// Keeps a connection for the next request, or marks it for closing. `is_leaving`: its address is no
    /// longer in use.
    pub fn put(&mut self, now: Time, endpoint: &Endpoint, conn: C, life: ConnectionAge, is_leaving: bool) {
        let is_worn_out = is_leaving || self.is_worn_out(life, now);
        let list = self.idle.entry(endpoint.clone()).or_default();
        if is_worn_out || list.len() >= self.bounds.max_idle_per_address {
            self.closing.push(conn);
        } else {
            list.push(Idle { conn, life, since: now });
        }
    }

    /// Marks for closing the connections that are idle too long, too old, or at an address for which
    /// `is_leaving` holds.
    pub fn sweep(&mut self, now: Time, is_leaving: impl Fn(&Endpoint) -> bool) {
        let (bounds, closing) = (self.bounds, &mut self.closing);
        self.idle.retain(|endpoint, list| {
            let place_is_leaving = is_leaving(endpoint);
            let is_expired = |idle: &mut Idle<C>| {
                place_is_leaving
                    || now >= idle.since + bounds.idle_timeout
                    || now >= idle.life.opened_at + bounds.max_age
            };
            closing.extend(list.extract_if(.., is_expired).map(|idle| idle.conn));
            !list.is_empty()
        });
    }

    /// Marks the longest idle connection for closing, to make room for another one. Returns `false` if none
    /// is idle.
    pub fn make_room(&mut self) -> bool {
        let oldest = |list: &Vec<Idle<C>>| list.first().map(|idle| idle.since);
        let Some(endpoint) = self
            .idle
            .iter()
            .filter_map(|(endpoint, list)| Some((oldest(list)?, endpoint)))
            .min()
            .map(|(_, endpoint)| endpoint.clone())
        else {
            return false;
        };
        if let Some(list) = self.idle.get_mut(&endpoint) {
            self.closing.push(list.remove(0).conn);
        }
        true
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Removes and returns the connections to close.
    pub fn take_closing(&mut self) -> Vec<C> {
        std::mem::take(&mut self.closing)
    }
}

#[cfg(test)]
mod tests;
