//! Tests of the router through its public interface. Times are in microseconds.

mod answers;
mod events;
mod hand_over;
mod harness;
mod health;
mod placement;
mod release;
mod shutdown;
mod slow_start;
