//! Stand-ins for what a front talks to: engines and a tool server, each with faults and a traffic log.
//!
//! - [`model`]: one engine model, free of I/O and clocks: slots, waiting line, KV memory, speeds, kept texts, cold
//!   start, falling over, faults. Any host can drive it; [`host`] does so on sockets.
//! - [`script`]: what a stand-in answers, told by the prompt.
//! - [`host`]: an engine on a socket, speaking the engines' API.
//! - [`platform`]: the platform around a front node, scripted: engines and discovery.
//! - [`tool`]: a tool server on a socket, speaking MCP.
//! - [`traffic`]: what was seen, as JSON lines.
//!
//! These are models, not measurements of real engines.

pub mod host;
pub mod model;
pub mod peer;
pub mod platform;
pub mod script;
pub mod tool;
pub mod traffic;
