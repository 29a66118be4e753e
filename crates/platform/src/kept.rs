//! Decides whether idle connections to engines can be reused. The caller owns the connections.
//!
//! A device between a node and an engine may drop connections that it takes for idle without notifying either end: the next
//! request on such a connection is reset, and it is unknown whether the request ran. A new connection costs a handshake, a
//! reset costs an attempt. So idle connections are reused while hardly any of them breaks. After breaks new connections are
//! opened, and now and then a harmless request uses an idle connection to find out whether reuse works again.

/// Factor by which earlier breaks decay with each reuse: the memory spans about fifty reuses.
const DECAY: f64 = 0.98;
/// Decayed number of breaks above which connections are not reused. It is low because a handshake takes milliseconds, while
/// a lost attempt costs the time to find another engine, or a request that cannot be sent again.
const MAX_RECENT_BREAKS: f64 = 0.5;
/// While connections are not reused, one in this many harmless requests reuses one as a trial.
const TRIAL_INTERVAL: u32 = 16;

/// How well reuse of connections has worked lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReuseMonitor {
    /// Number of breaks, in which older ones count less.
    recent_breaks: f64,
    /// Harmless requests while connections are not reused.
    untrusted_requests: u32,
}

impl ReuseMonitor {
    /// Returns whether connections are reused for all requests.
    pub fn is_trusted(&self) -> bool {
        self.recent_breaks <= MAX_RECENT_BREAKS
    }

    /// Returns whether the next request may reuse a connection. `harmless`: it may be repeated, whatever its outcome.
    pub fn should_reuse(&mut self, harmless: bool) -> bool {
        if self.is_trusted() {
            return true;
        }
        if !harmless {
            return false;
        }
        self.untrusted_requests += 1;
        self.untrusted_requests.is_multiple_of(TRIAL_INTERVAL)
    }

    /// Records the result of a reuse: the request was answered, or the connection `broke` before a byte of an answer.
    pub fn record_reuse(&mut self, broke: bool) {
        self.recent_breaks = self.recent_breaks * DECAY + f64::from(u8::from(broke));
    }
}

#[cfg(test)]
mod tests;
