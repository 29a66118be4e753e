//! Accepting connections in a coroutine, until told to stop.

use std::io;
use std::net::{SocketAddr, TcpListener, ToSocketAddrs};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use socket2::{Domain, Socket, Type};

use crate::conn::Conn;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
/// Pause after the system refused to accept for want of descriptors or memory: the queue stays with the system.
const SHORT: Duration = Duration::from_millis(20);

/// A listening socket.
pub struct Listener {
    io: CoIo<Arc<TcpListener>>,
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    /// Closed after it is no longer watched, as with connections.
    _last: Arc<TcpListener>,
}

/// Ends a listener from outside.
pub struct Stop {
    stop: Arc<AtomicBool>,
    addr: SocketAddr,
}

impl Stop {
    /// The listener accepts nothing more and closes.
    pub fn stop(&self) {
        if !self.stop.swap(true, Ordering::SeqCst) {
            // A connection of our own wakes it; the port is on this machine.
            let _ = std::net::TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        }
    }
}

impl Listener {
    pub fn bind(addr: impl ToSocketAddrs) -> io::Result<Listener> {
        Listener::with_send_buffer(addr, None)
    }

    /// Bounds what the system holds of answers that a peer does not read, in bytes for each connection.
    pub fn with_send_buffer(addr: impl ToSocketAddrs, bytes: Option<usize>) -> io::Result<Listener> {
        let addr = addr.to_socket_addrs()?.next().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        // A port is taken again at once after a restart, while old connections linger.
        socket.set_reuse_address(true)?;
        if let Some(bytes) = bytes {
            // Connections take it over from the listening socket.
            socket.set_send_buffer_size(bytes)?;
        }
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        let listener: Arc<TcpListener> = Arc::new(socket.into());
        let addr = listener.local_addr()?;
        let io = CoIo::new(listener.clone()).map_err(io::Error::from)?;
        Ok(Listener { io, addr, stop: Arc::new(AtomicBool::new(false)), _last: listener })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn stopper(&self) -> Stop {
        Stop { stop: self.stop.clone(), addr: self.addr }
    }

    /// Hands each connection to `each` until stopped. Must run in a coroutine. `short` is told when the system
    /// had no descriptor or memory for a connection: it is tried again, nothing ends.
    pub fn serve(self, mut each: impl FnMut(Conn), mut short: impl FnMut(&io::Error)) {
        while !self.stop.load(Ordering::SeqCst) {
            match self.io.inner().accept() {
                Ok(_) if self.stop.load(Ordering::SeqCst) => break,
                Ok((stream, _)) => match Conn::new(stream) {
                    Ok(conn) => each(conn),
                    Err(error) => short(&io::Error::other(error.to_string())),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.io.wait_io();
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    short(&error);
                    may::coroutine::sleep(SHORT);
                }
            }
        }
    }
}
