//! Timers in simulated or real time: a heap of what is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use elderstage::Time;

use crate::chain::ChainId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A timer of the module, by the name it gave.
    Module(u64),
    /// A request's whole time is up.
    Chain(ChainId),
}

#[derive(Clone, Debug, Default)]
pub struct Timers(BinaryHeap<Reverse<(Time, Due)>>);

impl Timers {
    pub fn set(&mut self, at: Time, due: Due) {
        self.0.push(Reverse((at, due)));
    }

    pub fn next(&self) -> Option<Time> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// The earliest that is due.
    pub fn pop(&mut self, now: Time) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, due))| due)
    }
}
