//! When engines started, on the node's own clock.
//!
//! A list tells an engine's start as wall time. The node's clock begins at the wall time of its own start and is monotonic from
//! then on, so the two part where the wall clock is stepped: an engine that started after a step back would seem to be
//! long warm, and be sent more than it bears; after a step forward it would be cold for as long as the step. So an engine's
//! age is worked out once, when its start is first told, by both clocks, and the younger age counts; it is never
//! younger than just started. From then on the monotonic clock tells.

use std::collections::HashMap;

use elderstage::{ServerId, Time};

use crate::list::Directory;

/// A start as it was told, and where it lies on the node's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    told: Time,
    placed: Time,
}

/// Starts of the engines of the list.
#[derive(Debug, Default)]
pub struct EngineStarts {
    by_server: HashMap<ServerId, Start>,
    /// What the wall clock was ahead of the node's when it was last read, in microseconds.
    wall_ahead: i64,
}

impl EngineStarts {
    /// The wall clock was read, so many microseconds ahead of the node's clock.
    pub fn wall_clock(&mut self, ahead: i64) {
        self.wall_ahead = ahead;
    }

    /// Where a start that is told as this wall time lies on the node's clock; 0 stays 0, which is long ago.
    pub fn place(&mut self, server: &ServerId, told: Time, now: Time) -> Time {
        if told == 0 {
            self.by_server.remove(server);
            return 0;
        }
        if let Some(start) = self.by_server.get(server).filter(|start| start.told == told) {
            return start.placed;
        }
        let by_own_clock = now.saturating_sub(told);
        let by_wall_clock = now.saturating_add_signed(self.wall_ahead).saturating_sub(told);
        let placed = now.saturating_sub(by_own_clock.min(by_wall_clock)).max(1);
        self.by_server.insert(server.clone(), Start { told, placed });
        placed
    }

    /// Forgets who has left the list.
    pub fn keep(&mut self, directory: &Directory) {
        self.by_server.retain(|server, _| directory.dial(server).is_some());
    }
}
