//! Scripted days for one front node of the platform: mock engines and discovery, the node as a process, and clients.
//!
//! - [`script`]: the script of a day.
//! - [`clients`]: planned requests, and what their clients received.
//! - [`play`]: runs a day.
//! - [`rules`]: checks the rules on the records of clients, engines and discovery.
//! - [`report`]: the result of a day.

pub mod clients;
pub mod play;
pub mod report;
pub mod rules;
pub mod script;
