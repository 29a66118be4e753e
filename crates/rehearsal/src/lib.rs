//! The rehearsal kit: a fleet of stand-ins, scripted days with faults, clients, and a checker of the rules.
//!
//! - [`fleet`]: engines and a tool server on loopback, and the configuration that fronts take for them.
//! - [`day`]: the script: fleet, load, and what goes wrong when.
//! - [`clients`]: planned requests, each with a manner of its own.
//! - [`play`]: all of it together, with the fronts as processes.
//! - [`rules`]: the five rules, judged from the traffic.
//! - [`measure`]: the front against a baseline in one run.
//! - [`report`]: what it came to.

pub mod clients;
pub mod day;
pub mod fleet;
pub mod measure;
pub mod paths;
pub mod play;
pub mod report;
pub mod rules;
