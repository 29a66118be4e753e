//! Listening sockets: accepts connections in a coroutine until it is stopped.
//!
//! The listener serves no connection itself: it hands each to a callback.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, ToSocketAddrs};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use elderstage_protocol::place::Endpoint;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use socket2::{Domain, SockAddr, SockRef, Socket, Type};

use crate::budget::IoBudget;
use crate::conn::Conn;
use crate::stream::Stream;

/// Number of connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
/// Pause after the system could not accept for lack of descriptors or memory. Connections wait in the backlog
/// meanwhile.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A listening TCP or Unix socket.
#[derive(Debug)]
enum ListeningSocket {
    Tcp(TcpListener),
    Unix(UnixListener),
}

impl AsFd for ListeningSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            ListeningSocket::Tcp(listener) => listener.as_fd(),
            ListeningSocket::Unix(listener) => listener.as_fd(),
        }
    }
}

impl AsRawFd for ListeningSocket {
    fn as_raw_fd(&self) -> RawFd {
        match self {
            ListeningSocket::Tcp(listener) => listener.as_raw_fd(),
            ListeningSocket::Unix(listener) => listener.as_raw_fd(),
        }
    }
}

impl ListeningSocket {
    fn accept(&self) -> io::Result<Stream> {
        match self {
            ListeningSocket::Tcp(listener) => listener.accept().map(|(stream, _)| stream.into()),
            ListeningSocket::Unix(listener) => listener.accept().map(|(stream, _)| stream.into()),
        }
    }
}

/// A listening socket that is served in a coroutine.
pub struct Listener {
    io: CoIo<Arc<ListeningSocket>>,
    endpoint: Endpoint,
    /// Stop at once.
    is_stopped: Arc<AtomicBool>,
    /// Stop when no connection waits in the backlog any more.
    is_draining: Arc<AtomicBool>,
    /// Keeps the descriptor open until `io` has deregistered it, as in [`Conn`].
    _closed_last: Arc<ListeningSocket>,
}

/// A handle that stops a listener from another coroutine or thread.
pub struct ListenerHandle {
    is_stopped: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    waker: WaitIoWaker,
    socket: std::sync::Weak<ListeningSocket>,
}

impl ListenerHandle {
    /// Lets the listener accept the connections that wait in its backlog and then close. Such a connection
    /// may already carry a whole request and would be reset with the socket. Call this again until
    /// [`ListenerHandle::is_closed`], since a wake-up may be lost.
    pub fn stop_after_backlog(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.waker.wakeup();
    }

    /// Whether the listener has closed.
    pub fn is_closed(&self) -> bool {
        self.socket.strong_count() == 0
    }

    /// Stops the listener at once: it accepts no more connections and closes. The path of a Unix socket
    /// stays, as it does after the death of a process.
    pub fn stop(&self) {
        if !self.is_stopped.swap(true, Ordering::SeqCst) {
            // A wake-up alone may come between the check of the flag and the wait, and be lost. The socket
            // would stay bound and accept connections that nobody serves. A socket that is shut down stays
            // ready, so its wait ends.
            if let Some(socket) = self.socket.upgrade() {
                // An error means that it is shut down already.
                let _ = SockRef::from(&*socket).shutdown(Shutdown::Both);
            }
            self.waker.wakeup();
        }
    }
}

impl Listener {
    /// Listens at a TCP address.
    pub fn bind(addr: impl ToSocketAddrs) -> io::Result<Listener> {
        Listener::with_send_buffer(addr, None)
    }

    /// Listens at a TCP address with a send buffer of `bytes` for each connection. It bounds the response
    /// bytes that the system holds for a peer that does not receive them.
    pub fn with_send_buffer(addr: impl ToSocketAddrs, bytes: Option<usize>) -> io::Result<Listener> {
        let addr = addr.to_socket_addrs()?.next().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        // Allows a restart to bind the same port at once, while old connections are still closing.
        socket.set_reuse_address(true)?;
        if let Some(bytes) = bytes {
            // Accepted connections inherit it from the listening socket.
            socket.set_send_buffer_size(bytes)?;
        }
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr()?;
        Listener::register(ListeningSocket::Tcp(listener), Endpoint::Tcp(addr))
    }

    /// Listens at a TCP address or a Unix socket path. A socket file that an earlier process left behind is
    /// replaced. A socket file at which a process still listens is not, nor is any other file.
    pub fn bind_endpoint(endpoint: &Endpoint) -> io::Result<Listener> {
        let path = match endpoint {
            Endpoint::Tcp(addr) => return Listener::bind(addr),
            Endpoint::Unix(path) => path,
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
        Listener::register(ListeningSocket::Unix(listener), endpoint.clone())
    }

    /// Registers a listening socket for readiness events.
    fn register(socket: ListeningSocket, endpoint: Endpoint) -> io::Result<Listener> {
        let socket = Arc::new(socket);
        let io = CoIo::new(socket.clone()).map_err(io::Error::from)?;
        Ok(Listener {
            io,
            endpoint,
            is_stopped: Arc::default(),
            is_draining: Arc::default(),
            _closed_last: socket,
        })
    }

    /// The address at which it listens, with the port that the system assigned.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// The TCP address and port; the unspecified address for a Unix socket.
    pub fn addr(&self) -> SocketAddr {
        match &self.endpoint {
            Endpoint::Tcp(addr) => *addr,
            Endpoint::Unix(_) => (IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0).into(),
        }
    }

    /// A handle that stops this listener.
    pub fn handle(&self) -> ListenerHandle {
        let (is_stopped, is_draining) = (self.is_stopped.clone(), self.is_draining.clone());
        ListenerHandle {
            is_stopped,
            is_draining,
            waker: self.io.waker(),
            socket: Arc::downgrade(&self._closed_last),
        }
    }

    /// Accepts connections and passes them to `on_connection` until the listener is stopped. Must run in a
    /// coroutine. Calls `on_error` when the system had no descriptor or memory for a connection. The listener
    /// then tries again.
    pub fn serve(self, mut on_connection: impl FnMut(Conn), mut on_error: impl FnMut(&io::Error)) {
        let mut budget = IoBudget::new();
        while !self.is_stopped.load(Ordering::SeqCst) {
            budget.spend();
            match self.io.inner().accept() {
                Ok(_) if self.is_stopped.load(Ordering::SeqCst) => break,
                Ok(stream) => match Conn::new(stream) {
                    Ok(conn) => on_connection(conn),
                    Err(error) => on_error(&io::Error::other(error.to_string())),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.is_draining.load(Ordering::SeqCst) {
                        break;
                    }
                    budget.refill_after_wait(self.io.wait_io());
                }
                Err(_) if self.is_stopped.load(Ordering::SeqCst) => break,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    on_error(&error);
                    may::coroutine::sleep(ACCEPT_RETRY_PAUSE);
                }
            }
        }
    }
}

/// Whether no process listens at a socket file.
fn is_stale(path: &Path) -> bool {
    let is_refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    UnixStream::connect(path).is_err_and(is_refused)
}
