//! The client side of HTTP/1.1: connecting, sending a request and receiving the response.
//!
//! It neither retries nor keeps connections.

use std::time::{Duration, Instant};

use elderstage_protocol::http;
use elderstage_protocol::place::Endpoint;
use socket2::{Domain, SockAddr, Socket, Type};

use crate::conn::{Conn, NetError};

/// `EINPROGRESS` on Linux: the connect continues in the background.
const EINPROGRESS: i32 = 115;

/// The address of a server, and the path of its service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointPath {
    /// The server's address.
    pub endpoint: Endpoint,
    /// The path of the request target.
    pub path: String,
}

impl EndpointPath {
    /// Creates an endpoint.
    pub fn new(endpoint: impl Into<Endpoint>, path: impl Into<String>) -> EndpointPath {
        EndpointPath { endpoint: endpoint.into(), path: path.into() }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    pub head: http::Response,
    pub body: Vec<u8>,
}

/// Opens a connection within `timeout`. Connecting to a Unix socket succeeds or fails at once: one whose
/// backlog is full counts as unreachable.
pub fn connect(endpoint: impl Into<Endpoint>, timeout: Duration) -> Result<Conn, NetError> {
    let until = Instant::now() + timeout;
    let mut conn = match endpoint.into() {
        Endpoint::Tcp(addr) => {
            let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
            start_connect(&socket, &addr.into())?;
            Conn::new(std::net::TcpStream::from(socket))?
        }
        Endpoint::Unix(path) => {
            let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
            start_connect(&socket, &SockAddr::unix(path)?)?;
            Conn::new(std::os::unix::net::UnixStream::from(std::os::fd::OwnedFd::from(socket)))?
        }
    };
    conn.wait_connected(until)?;
    Ok(conn)
}

/// Starts a connect without waiting for it.
fn start_connect(socket: &Socket, addr: &SockAddr) -> Result<(), NetError> {
    socket.set_nonblocking(true)?;
    match socket.connect(addr) {
        Err(error) if error.raw_os_error() != Some(EINPROGRESS) => Err(NetError::Io(error)),
        _ => Ok(()),
    }
}

/// Writes a request.
pub fn send(
    conn: &mut Conn,
    method: &str,
    to: &EndpointPath,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<(), NetError> {
    let mut out = Vec::with_capacity(256 + body.len());
    http::write_request(method, &to.path, &to.endpoint.host(), headers, body, &mut out);
    conn.write(&out)
}

/// Builds the head of a request with `Expect: 100-continue`, whose body is sent after the peer's consent.
pub fn expect_continue_head(
    method: &str,
    to: &EndpointPath,
    headers: &[(&str, &str)],
    body: usize,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    http::write_expect_continue_head(method, &to.path, &to.endpoint.host(), headers, body, &mut out);
    out
}

/// Receives a complete response.
pub fn receive(conn: &mut Conn) -> Result<ReceivedResponse, NetError> {
    let head = conn.receive_response()?;
    let body = conn.receive_body(head.framing)?;
    Ok(ReceivedResponse { head, body })
}

/// Sends one request on a new connection and receives the complete response within `timeout`.
pub fn exchange(
    method: &str,
    to: &EndpointPath,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<ReceivedResponse, NetError> {
    let deadline = Instant::now() + timeout;
    let mut conn = connect(to.endpoint.clone(), timeout)?;
    conn.set_write_timeout(Some(timeout));
    conn.set_deadline(Some(deadline));
    send(&mut conn, method, to, headers, body)?;
    receive(&mut conn)
}
