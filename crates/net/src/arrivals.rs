//! When the bytes of a connection arrived.
//!
//! A peer may send its next message while the one before is still being answered. The bytes are received ahead, and the time
//! limits of that message run from their arrival, not from when it is parsed.

use std::collections::VecDeque;
use std::time::Instant;

/// Most reads that are remembered. Beyond it the oldest are taken together, with the time of the earlier one.
const MAX_READS: usize = 64;

/// A read from the socket.
#[derive(Clone, Copy, Debug)]
struct SocketRead {
    /// Number of bytes of the connection up to the end of the read.
    end: u64,
    at: Instant,
}

/// The reads whose bytes were not consumed yet, and the last one whose bytes were.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    reads: VecDeque<SocketRead>,
    received_bytes: u64,
}

impl Arrivals {
    /// Records a read of this many bytes.
    pub(crate) fn record(&mut self, bytes: usize, at: Instant) {
        self.received_bytes += bytes as u64;
        self.reads.push_back(SocketRead { end: self.received_bytes, at });
        if self.reads.len() > MAX_READS
            && let Some(oldest) = self.reads.pop_front()
            && let Some(next) = self.reads.front_mut()
        {
            next.at = oldest.at;
        }
    }

    /// When the last consumed byte arrived, at the latest. `pending` is the number of bytes that were received and not
    /// consumed. `None`: nothing was consumed.
    pub(crate) fn last_consumed_at(&mut self, pending: usize) -> Option<Instant> {
        let consumed_bytes = self.received_bytes.saturating_sub(pending as u64);
        while self.reads.front().is_some_and(|read| read.end < consumed_bytes) {
            self.reads.pop_front();
        }
        self.reads.front().filter(|_| consumed_bytes > 0).map(|read| read.at)
    }
}

#[cfg(test)]
mod tests;
