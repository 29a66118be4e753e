//! The state machine of one front: everything but I/O, clocks, threads and the choice of servers.
//!
//! A front feeds one [`Core`] with [`Event`]s, each with the time at which it is handled, and carries out the
//! [`Effect`]s that come back. The core owns an [`elderstage::Router`] ("the router" in this crate), which
//! chooses the server of each attempt. A client's request is a *chain* of *legs*: one leg for each turn of
//! the model, with tool calls in between. Each leg is a request of its own to the router.
//!
//! - [`chain`]: the state of one client request, and the rule which final answer it may get.
//! - [`evidence`]: what was observed of an attempt or a tool call, and which outcome follows.
//! - [`estimate`]: learned estimates of prompt tokens and answer lengths.
//! - [`members`]: the servers on the list, with the start times that they report themselves.
//! - [`addresses`]: the addresses of a server, and one connection attempt over them.
//! - [`admission`]: rejection of requests before any work is done for them.

pub mod addresses;
pub mod admission;
pub mod chain;
mod counters;
pub mod estimate;
pub mod evidence;
pub mod members;
mod messages;
mod plan;
mod stage;
mod timers;

mod driver;

pub use chain::{ChainId, Final, Reason};
pub use counters::Counters;
pub use driver::Core;
pub use messages::{Effect, Event, NewRequest, RequestedToolCall};
pub use plan::{ClassPlan, Limits, Plan, RoutePlan, ToolPlan};
pub use stage::Stage;
