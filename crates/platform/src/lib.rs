//! The platform's front-node protocol, free of I/O: what a node is told at its start, what clients ask, what engines'
//! answers prove, what discovery tells, and the state that ties these to the decision module.
//!
//! Nothing here reads a clock, opens a socket or starts a thread, and nothing here decides: [`hub::Hub`] turns what
//! happened on sockets into the module's events and the module's actions into commands for sockets. The rules of its
//! own are those of the protocol itself (what can't be read is answered as such; an id that is open is not taken
//! twice), and the delivery of a release until it is known to have reached an engine.

pub mod ask;
pub mod check;
pub mod counting;
pub mod engine_start;
pub mod forward;
pub mod hub;
pub mod kept;
pub mod leases;
pub mod list;
pub mod reach;
pub mod reply;
pub mod report;
pub mod start;
pub mod stream;
pub mod values;
pub mod watch;
