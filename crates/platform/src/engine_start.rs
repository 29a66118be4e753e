//! Converts the start times of engines to the node's own clock.
//!
//! A list gives an engine's start as wall time. The node's clock begins at the wall time of its own start and is monotonic
//! from then on, so the two diverge when the wall clock is stepped: an engine that started after a step back would seem
//! warm for a long time and be sent more than it can serve; after a step forward it would be cold for as long as the step.
//! So an engine's age is computed by both clocks once, when its start is first reported, and the younger age counts; it is
//! never negative. From then on only the monotonic clock counts. The module reads no clock itself.

use std::collections::HashMap;

use elderstage::{ServerId, Time};

use crate::list::Directory;

/// The start of an engine as wall time and on the node's clock.
#[derive(Clone, Copy, Debug)]
struct EngineStart {
    wall_time: Time,
    node_time: Time,
}

/// The starts of the listed engines.
#[derive(Debug, Default)]
pub struct EngineStarts {
    by_server: HashMap<ServerId, EngineStart>,
    /// How far the wall clock was ahead of the node's clock when it was last read, in microseconds.
    wall_clock_offset: i64,
}

impl EngineStarts {
    /// Records how many microseconds the wall clock is ahead of the node's clock.
    pub fn set_wall_clock_offset(&mut self, offset: i64) {
        self.wall_clock_offset = offset;
    }

    /// Converts an engine's start from wall time to the node's clock. 0 stays 0 and means long ago.
    pub fn to_node_clock(&mut self, server: &ServerId, wall_time: Time, now: Time) -> Time {
        if wall_time == 0 {
            self.by_server.remove(server);
            return 0;
        }
        if let Some(start) = self.by_server.get(server).filter(|start| start.wall_time == wall_time) {
            return start.node_time;
        }
        let age_by_node_clock = now.saturating_sub(wall_time);
        let age_by_wall_clock = now.saturating_add_signed(self.wall_clock_offset).saturating_sub(wall_time);
        let node_time = now.saturating_sub(age_by_node_clock.min(age_by_wall_clock)).max(1);
        self.by_server.insert(server.clone(), EngineStart { wall_time, node_time });
        node_time
    }

    /// Forgets the engines that have left the list.
    pub fn retain_listed(&mut self, directory: &Directory) {
        self.by_server.retain(|server, _| directory.address(server).is_some());
    }
}
