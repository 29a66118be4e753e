//! Codecs of the published protocols that elderstage uses. They convert between bytes and values and do no I/O.
//!
//! - [`http`]: HTTP/1.1 heads and bodies (RFC 9112), with bounds on the memory that a peer can make us use.
//! - [`sse`]: server-sent events (WHATWG HTML, section 9.2).
//! - [`answer_stream`]: the streamed answer of an engine, and when it is whole.
//! - [`jsonrpc`]: JSON-RPC 2.0 messages.
//! - [`mcp`]: the Model Context Protocol, revisions 2025-06-18 and 2025-11-25, both sides.
//! - [`engine`]: chat completions as model servers stream them, with `kv_transfer_params`.
//! - [`orca`]: load reports in the `endpoint-load-metrics` header.
//! - [`place`]: addresses of servers in text form.
//!
//! The codecs make no decisions: `elderstage-core` decides what a message means for a request.

pub mod answer_stream;
pub mod engine;
pub mod http;
pub mod jsonrpc;
pub mod mcp;
pub mod orca;
pub mod place;
pub mod sse;
