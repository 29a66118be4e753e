//! Rehearsals: scripted days of load and faults against real fronts, with mock engines, and a check of the rules.
//!
//! - [`fleet`]: engines and a tool server on loopback, and the configuration of fronts that use them.
//! - [`day`]: the script of a day: the fleet, the load, and the faults with their times.
//! - [`clients`]: planned requests, and how their clients behave.
//! - [`play`]: runs a day, with the fronts as processes.
//! - [`rules`]: checks the five rules on the recorded traffic.
//! - [`report`]: the result of a day.
//! - [`measure`]: measures a front against a baseline in the same run.
//! - [`node_day`]: scripted days for one front node of the platform.
//! - [`paths`]: simulates servers of which some addresses fail.
//!
//! The mock servers simulate engines and run no model.

pub mod clients;
pub mod day;
pub mod fleet;
pub mod measure;
pub mod node_day;
pub mod paths;
pub mod play;
pub mod report;
pub mod rules;
mod script;
