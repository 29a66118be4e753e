//! The asking side of HTTP/1.1: connect, send, read the answer.

use std::time::{Duration, Instant};

use elderstage_protocol::http;
use elderstage_protocol::place::Place;
use socket2::{Domain, SockAddr, Socket, Type};

use crate::conn::{Conn, NetError};

/// EINPROGRESS on Linux: the connection is being made.
const IN_PROGRESS: i32 = 115;

/// Where a server is reached, and the path of its service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Endpoint {
    pub place: Place,
    pub path: String,
}

impl Endpoint {
    pub fn new(place: impl Into<Place>, path: impl Into<String>) -> Endpoint {
        Endpoint { place: place.into(), path: path.into() }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: http::Response,
    pub body: Vec<u8>,
}

/// Opens a connection; no longer than `time`. A Unix socket answers at once: one whose backlog is full counts as
/// one that cannot be reached.
pub fn open(place: impl Into<Place>, time: Duration) -> Result<Conn, NetError> {
    let until = Instant::now() + time;
    let conn = match place.into() {
        Place::Tcp(addr) => {
            let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
            begin(&socket, &addr.into())?;
            Conn::new(std::net::TcpStream::from(socket))?
        }
        Place::Unix(path) => {
            let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
            begin(&socket, &SockAddr::unix(path)?)?;
            Conn::new(std::os::unix::net::UnixStream::from(std::os::fd::OwnedFd::from(socket)))?
        }
    };
    conn.connected(until)?;
    Ok(conn)
}

fn begin(socket: &Socket, addr: &SockAddr) -> Result<(), NetError> {
    socket.set_nonblocking(true)?;
    match socket.connect(addr) {
        Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => Err(NetError::Io(error)),
        _ => Ok(()),
    }
}

/// Writes a request.
pub fn send(
    conn: &mut Conn,
    method: &str,
    to: &Endpoint,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<(), NetError> {
    let mut out = Vec::with_capacity(256 + body.len());
    http::write_request(method, &to.path, &to.place.host(), headers, body, &mut out);
    conn.write(&out)
}

/// The head of a request whose body follows, and which waits for the word to go on.
pub fn waiting_head(method: &str, to: &Endpoint, headers: &[(&str, &str)], body: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    http::write_waiting_head(method, &to.path, &to.place.host(), headers, body, &mut out);
    out
}

/// Reads an answer whole.
pub fn receive(conn: &mut Conn) -> Result<Answer, NetError> {
    let head = conn.response()?;
    let body = conn.body(head.framing)?;
    Ok(Answer { head, body })
}

/// One request on a connection of its own, answered whole within `time`.
pub fn exchange(
    method: &str,
    to: &Endpoint,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
) -> Result<Answer, NetError> {
    let end = Instant::now() + time;
    let mut conn = open(to.place.clone(), time)?;
    conn.set_write_timeout(Some(time));
    conn.set_deadline(Some(end));
    send(&mut conn, method, to, headers, body)?;
    receive(&mut conn)
}
