//! The rehearsal kit: a fleet of stand-ins, scripted days with faults, clients, and a checker of the rules.
//!
//! - [`fleet`]: engines and a tool server on loopback, and the configuration that fronts take for them.

pub mod fleet;
pub mod rules;
