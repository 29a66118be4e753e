//! Coroutine sockets for fronts, nodes, mock servers and scripted clients: spawning coroutines, and HTTP/1.1
//! over a connection.
//!
//! This crate makes no decisions: callers get bytes, message heads and errors. A coroutine's stack is small
//! and of fixed size ([`STACK_WORDS`]), so code that needs a deeper stack must not run in one.

mod arrivals;
mod budget;
mod client;
mod conn;
mod listener;
pub mod owner;
mod spawn;
mod stream;
mod watch;

pub use client::{EndpointPath, ReceivedResponse, connect, exchange, expect_continue_head, receive, send};
pub use conn::{Conn, NetError, ShutdownHandle, Waker};
pub use elderstage_protocol::place::Endpoint;
pub use listener::{Listener, ListenerHandle};
pub use may::coroutine::sleep;
pub use spawn::{STACK_WORDS, init, init_single_worker, spawn};
pub use stream::Stream;
pub use watch::call_at;

/// Channels between coroutines, and from threads to coroutines.
pub mod channel {
    pub use may::sync::mpsc::{Receiver, Sender, channel};
}
