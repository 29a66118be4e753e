//! Limits on the rate of dials and on the number of open connections of one front.
//!
//! The limiter counts connections and grants dials; it neither opens nor closes any. It never grants a dial
//! beyond the rate with its burst; callers check [`ConnectionLimiter::has_room`] before they dial.

use std::collections::HashMap;

use elderstage::Time;
use elderstage_protocol::place::Endpoint;

/// One front's limits on dials and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Sustained dials per second.
    pub dials_per_s: f64,
    /// Largest burst of dials after a quiet period.
    pub dial_burst: f64,
    /// Most connections to one server that are open or being dialed.
    pub max_per_server: usize,
    /// Most connections to all servers that are open or being dialed.
    pub max_total: usize,
    /// Most idle connections kept for each address.
    pub max_idle_per_address: usize,
    /// An idle connection is closed after this time.
    pub idle_timeout: Time,
    /// A connection is not reused beyond this age.
    pub max_age: Time,
    /// A connection is not reused after this many requests.
    pub max_uses: u32,
    /// A server's connections are closed this long after it started to leave.
    pub grace: Time,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits {
            // A front that loses half of 64 servers, at 20 connections each, has reconnected in about three
            // seconds. 64 such fronts make 12,800 connects a second, 200 to each server: under 1% of a core.
            dials_per_s: 200.0,
            dial_burst: 100.0,
            max_per_server: 512,
            max_total: 8192,
            max_idle_per_address: 64,
            // Servers usually close idle connections after 30 s to a minute; the front closes them earlier.
            idle_timeout: 20_000_000,
            max_age: 600_000_000,
            max_uses: 10_000,
            grace: 2_000_000,
        }
    }
}

/// Why a dial is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialRejection {
    /// The dial rate allows none in time.
    Budget,
    /// The maximum number of connections is open.
    Connections,
}

/// Counts open connections and schedules dials within the rate limit.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    bounds: ConnectionLimits,
    /// When the whole burst is available again if no further dial is made (the theoretical arrival time of
    /// the generic cell rate algorithm, ITU-T I.371).
    burst_available_at: Time,
    /// Connections that are open or being dialed, by address.
    open_by_place: HashMap<Endpoint, usize>,
    /// Connections that are open or being dialed, in total.
    total: usize,
}

impl ConnectionLimiter {
    /// A limiter without connections, with the whole burst available.
    pub fn new(bounds: ConnectionLimits) -> ConnectionLimiter {
        ConnectionLimiter { bounds, burst_available_at: 0, open_by_place: HashMap::new(), total: 0 }
    }

    /// Mean time between two dials at the sustained rate.
    fn dial_interval_us(&self) -> f64 {
        1e6 / self.bounds.dials_per_s.max(0.001)
    }

    /// Whether one more connection fits to the server that has these addresses.
    pub fn has_room<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint>) -> bool {
        let open_count: usize =
            endpoints.map(|endpoint| self.open_by_place.get(endpoint).copied().unwrap_or(0)).sum();
        open_count < self.bounds.max_per_server && self.total < self.bounds.max_total
    }

    /// Reserves a dial and returns when it may start. Reserves none if that is later than `by`.
    pub fn reserve_dial(&mut self, now: Time, by: Time) -> Result<Time, DialRejection> {
        let burst = (self.dial_interval_us() * (self.bounds.dial_burst - 1.0).max(0.0)) as Time;
        let at = now.max(self.burst_available_at.saturating_sub(burst));
        if at > by {
            return Err(DialRejection::Budget);
        }
        self.burst_available_at = self.burst_available_at.max(now) + self.dial_interval_us() as Time;
        Ok(at)
    }

    /// Reserves a dial that no request waits for; only while more than half of the burst is available.
    pub fn try_reserve_spare(&mut self, now: Time) -> bool {
        let half = (self.dial_interval_us() * self.bounds.dial_burst / 2.0) as Time;
        self.burst_available_at <= now + half
            && self.total < self.bounds.max_total
            && self.reserve_dial(now, now).is_ok()
    }

    /// Counts a connection that is open or being dialed.
    pub fn count_opened(&mut self, endpoint: &Endpoint) {
        *self.open_by_place.entry(endpoint.clone()).or_default() += 1;
        self.total += 1;
    }

    /// Counts a connection as closed.
    pub fn count_closed(&mut self, endpoint: &Endpoint) {
        if let Some(count) = self.open_by_place.get_mut(endpoint) {
            *count -= 1;
            self.total -= 1;
            if *count == 0 {
                self.open_by_place.remove(endpoint);
            }
        }
    }

    /// Whether the maximum total number of connections is open.
    pub fn is_full(&self) -> bool {
        self.total >= self.bounds.max_total
    }

    /// Connections that are open or being dialed, in total.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Connections to one address that are open or being dialed.
    pub fn open_to(&self, endpoint: &Endpoint) -> usize {
        self.open_by_place.get(endpoint).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
