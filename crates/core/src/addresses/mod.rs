//! Many addresses of one server, and one attempt over them.
//!
//! A server may be reached by IPv6, IPv4 and a Unix socket. What was learned of each address decides the order in
//! which they are tried ([`Book`]); one attempt dials them staggered, as RFC 8305 has it, and ends with one
//! connection or none ([`Dial`]). Connections may race; a request's bytes go to the one that won.
//!
//! When it acts: on each new connection; a server with one address pays one comparison. What it costs: a few numbers
//! an address. How it is seen: each dial and its end are told to the caller, who counts them.

mod book;
mod dial;

pub use book::{Address, Book, Family, Known};
pub use dial::{Dial, Step};
