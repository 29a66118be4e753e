//! Mock servers for rehearsals and tests: engines, a tool server and the platform around a node, with faults
//! and a log of the traffic.
//!
//! - [`model`]: a model of one engine without I/O and clock: slots, queue, KV memory, speeds, prefix cache,
//!   cold start, crash under load, faults. [`host`] drives it on sockets.
//! - [`ending`]: the ways in which engines end their streams.
//! - [`script`]: the answers of engines, controlled by markers in the prompt.
//! - [`host`]: an engine that serves the engines' HTTP API.
//! - [`platform`]: a mock of the platform around a front node: engines and discovery.
//! - [`tool`]: a tool server that speaks MCP.
//! - [`peer`]: a peer that responds with given bytes.
//! - [`traffic`]: the log of what was seen, as JSON lines.
//!
//! The engines are models. Their speeds are not measurements of real engines.

pub mod ending;
pub mod host;
pub mod model;
pub mod peer;
pub mod platform;
pub mod script;
pub mod tool;
pub mod traffic;
