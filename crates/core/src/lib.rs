//! State and decisions of the product that are not the decision module's: free of I/O, clocks and threads.
//!
//! A front feeds one [`Core`] with [`Event`]s, each with one reading of its clock, and carries out the
//! [`Effect`]s. The core owns the module's [`elderstage::Router`]; a client's request is a *chain* of *legs*, one
//! for each turn of the writer, and each leg is a request of its own to the module.
//!
//! - [`chain`]: one request over its legs and tool calls, and which final answer is true to promise.
//! - [`evidence`]: what was seen of an attempt or a tool call, and what it proves.
//! - [`estimate`]: tokens from bytes, and lengths of answers, learned.
//! - [`members`]: the servers as listed and as they show themselves.
//! - [`addresses`]: many addresses of one server, and one attempt over them.
//! - [`admission`]: what is turned away before it is taken.

pub mod addresses;
pub mod admission;
pub mod chain;
pub mod estimate;
pub mod evidence;
pub mod members;
mod plan;
mod timers;

mod driver;

pub use chain::{ChainId, Final, Reason};
pub use driver::{Call, Core, Counters, Effect, Event, Stage, Submit};
pub use plan::{ClassPlan, Limits, Plan, RoutePlan, ToolPlan};
