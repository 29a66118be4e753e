//! The pending timers, ordered by due time. The caller supplies the time, real or simulated.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use elderstage::Time;

use crate::chain::ChainId;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerPurpose {
    /// A timer of the router, by the name that the router gave it.
    Router(u64),
    /// The time limit of a whole request.
    Chain(ChainId),
}

/// A min-heap of pending timers.
#[derive(Clone, Debug, Default)]
pub struct Timers(BinaryHeap<Reverse<(Time, TimerPurpose)>>);

impl Timers {
    /// Adds a timer.
    pub fn set(&mut self, at: Time, due: TimerPurpose) {
        self.0.push(Reverse((at, due)));
    }

    /// When the earliest timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer that is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<TimerPurpose> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, due))| due)
    }
}
