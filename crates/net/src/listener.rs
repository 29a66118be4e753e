//! Accepting connections in a coroutine, until told to stop.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, ToSocketAddrs};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use elderstage_protocol::place::Place;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use socket2::{Domain, SockAddr, SockRef, Socket, Type};

use crate::conn::Conn;
use crate::stream::Stream;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
/// Pause after the system refused to accept for want of descriptors or memory: the queue stays with the system.
const SHORT: Duration = Duration::from_millis(20);

#[derive(Debug)]
enum Door {
    Tcp(TcpListener),
    Unix(UnixListener),
}

impl AsFd for Door {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            Door::Tcp(listener) => listener.as_fd(),
            Door::Unix(listener) => listener.as_fd(),
        }
    }
}

impl AsRawFd for Door {
    fn as_raw_fd(&self) -> RawFd {
        match self {
            Door::Tcp(listener) => listener.as_raw_fd(),
            Door::Unix(listener) => listener.as_raw_fd(),
        }
    }
}

impl Door {
    fn accept(&self) -> io::Result<Stream> {
        match self {
            Door::Tcp(listener) => listener.accept().map(|(stream, _)| stream.into()),
            Door::Unix(listener) => listener.accept().map(|(stream, _)| stream.into()),
        }
    }
}

/// A listening socket.
pub struct Listener {
    io: CoIo<Arc<Door>>,
    place: Place,
    stop: Arc<AtomicBool>,
    ending: Arc<AtomicBool>,
    /// Closed after it is no longer watched, as with connections.
    _last: Arc<Door>,
}

/// Ends a listener from outside.
pub struct Stop {
    stop: Arc<AtomicBool>,
    ending: Arc<AtomicBool>,
    waker: WaitIoWaker,
    door: std::sync::Weak<Door>,
}

impl Stop {
    /// The listener takes what has connected already, then closes: a connection that the system has accepted and that
    /// is reset with the socket may carry a whole request. To be called again until it has: one wake-up may be lost.
    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
        self.waker.wakeup();
    }

    /// Whether the listener has closed.
    pub fn is_closed(&self) -> bool {
        self.door.strong_count() == 0
    }

    /// The listener accepts nothing more and closes. The path of a Unix socket stays, as after a process's death.
    pub fn stop(&self) {
        if !self.stop.swap(true, Ordering::SeqCst) {
            // A wake-up alone may come between the look at the flag and the wait, and be lost: the socket would stay
            // bound and take connections that nobody serves. One that is shut is ready for ever.
            if let Some(door) = self.door.upgrade() {
                // An error means that it is shut already.
                let _ = SockRef::from(&*door).shutdown(Shutdown::Both);
            }
            self.waker.wakeup();
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
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr()?;
        Listener::watched(Door::Tcp(listener), Place::Tcp(addr))
    }

    /// At either kind of place. A socket file that an earlier process has left is taken over; one that a process
    /// still listens at is not, nor is any other file.
    pub fn at(place: &Place) -> io::Result<Listener> {
        let path = match place {
            Place::Tcp(addr) => return Listener::bind(addr),
            Place::Unix(path) => path,
        };
        let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
        let addr = SockAddr::unix(path)?;
        match socket.bind(&addr) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && is_stale(path) => {
                std::fs::remove_file(path)?;
                socket.bind(&addr)?;
            }
            other => other?,
        }
        socket.listen(BACKLOG)?;
        let listener = UnixListener::from(std::os::fd::OwnedFd::from(socket));
        Listener::watched(Door::Unix(listener), place.clone())
    }

    fn watched(door: Door, place: Place) -> io::Result<Listener> {
        let door = Arc::new(door);
        let io = CoIo::new(door.clone()).map_err(io::Error::from)?;
        Ok(Listener { io, place, stop: Arc::default(), ending: Arc::default(), _last: door })
    }

    /// Where it listens, with the port that the system gave.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Address and port; the unspecified address for a Unix socket.
    pub fn addr(&self) -> SocketAddr {
        match &self.place {
            Place::Tcp(addr) => *addr,
            Place::Unix(_) => (IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0).into(),
        }
    }

    pub fn stopper(&self) -> Stop {
        let (stop, ending) = (self.stop.clone(), self.ending.clone());
        Stop { stop, ending, waker: self.io.waker(), door: Arc::downgrade(&self._last) }
    }

    /// Hands each connection to `each` until stopped. Must run in a coroutine. `short` is told when the system
    /// had no descriptor or memory for a connection: it is tried again, nothing ends.
    pub fn serve(self, mut each: impl FnMut(Conn), mut short: impl FnMut(&io::Error)) {
        while !self.stop.load(Ordering::SeqCst) {
            match self.io.inner().accept() {
                Ok(_) if self.stop.load(Ordering::SeqCst) => break,
                Ok(stream) => match Conn::new(stream) {
                    Ok(conn) => each(conn),
                    Err(error) => short(&io::Error::other(error.to_string())),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.ending.load(Ordering::SeqCst) {
                        break;
                    }
                    self.io.wait_io();
                }
                Err(_) if self.stop.load(Ordering::SeqCst) => break,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    short(&error);
                    may::coroutine::sleep(SHORT);
                }
            }
        }
    }
}

/// A socket file at which nobody listens.
fn is_stale(path: &Path) -> bool {
    let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    UnixStream::connect(path).is_err_and(refused)
}
