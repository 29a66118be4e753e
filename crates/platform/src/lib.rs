//! The platform's protocol for front nodes, without I/O: a node's configuration, clients' requests, engines' answers, the
//! lists of discovery, and the state that connects these to the router.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread, and routing decisions are left to the
//! router: [`hub::Hub`] turns what happened on sockets into events of the router, and the router's actions into commands
//! for sockets. The crate's own rules are those of the protocol (an unreadable request is refused as such; an id that is
//! open is not accepted twice), and the retries of a release until it is known to have reached an engine.

pub mod ask;
pub mod check;
pub mod counting;
pub mod engine_start;
pub mod forward;
pub mod hub;
pub mod kept;
pub mod leases;
pub mod list;
pub mod list_history;
pub mod reach;
pub mod reply;
pub mod report;
pub mod start;
pub mod stream;
pub mod values;
pub mod watch;
