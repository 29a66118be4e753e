//! A listen address of an engine and its faults. The engine itself works normally while an address has a
//! fault.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use elderstage_net::{Endpoint, Listener, ListenerHandle, spawn};

use super::{OpenConnection, Shared, lock, serve};

/// Number of connections that fill a backlog of one. The kernel queues one or two connections more than the
/// requested backlog.
const FILL_CONNECTIONS: usize = 4;
/// Time that the kernel gets to queue these connections before the backlog counts as full.
const FILL_WAIT: Duration = Duration::from_millis(20);

/// A fault of a listen address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AddressFault {
    #[default]
    None,
    /// Connects are refused because nothing listens. The file of a Unix socket remains, as after a crash.
    Refuses,
    /// Connects hang: the backlog is full and nothing accepts.
    Silent,
    /// Connections are accepted; requests get no response.
    Stalls,
    /// Connections are closed right after they are accepted.
    Closes,
    /// Connections are closed once the head of a request has arrived.
    ClosesOnRequest,
    /// The request is received completely; only the head of the response is sent.
    StallsAfterHead,
    /// A stream stalls after its first tokens.
    StallsInBody,
    /// `100 Continue` is sent, and nothing after it.
    StallsAfterContinue,
    /// A new connection is served late, so that the first `100 Continue` on it is delayed like by a slow
    /// handshake.
    Slow,
    /// The file of a Unix socket is missing.
    Missing,
    /// The file of a Unix socket has no permissions; has no effect on root.
    Denied,
    /// Requests with an `Expect` header get status 417.
    Unexpected,
}

/// Delay before a new connection is served under [`AddressFault::Slow`].
pub(super) const SLOW_HANDSHAKE: Duration = Duration::from_millis(120);

/// A listen address, its fault and its listener.
pub(super) struct ListenAddress {
    endpoint: Endpoint,
    fault: AddressFault,
    /// A listener bound before the engine starts, so that its port is known.
    prebound: Option<Listener>,
    listener_stop: Option<ListenerHandle>,
    /// The socket whose backlog is full, and the connections that fill it.
    backlog_fill: Option<(socket2::Socket, Vec<socket2::Socket>)>,
}

impl ListenAddress {
    pub fn new(listener: Listener) -> ListenAddress {
        let endpoint = listener.endpoint().clone();
        ListenAddress {
            endpoint,
            fault: AddressFault::None,
            prebound: Some(listener),
            listener_stop: None,
            backlog_fill: None,
        }
    }

    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    pub fn fault(&self) -> AddressFault {
        self.fault
    }

    /// Stops listening and drops the connections that fill a backlog.
    pub fn stop_listening(&mut self) {
        if let Some(stop) = self.listener_stop.take() {
            stop.stop();
        }
        self.backlog_fill = None;
    }

    /// Starts listening as the current fault allows.
    pub fn listen(&mut self, shared: &Arc<Shared>, index: usize) -> std::io::Result<()> {
        self.stop_listening();
        match self.fault {
            AddressFault::Refuses => {
                if let Endpoint::Unix(path) = &self.endpoint {
                    leave_stale_socket_file(path)?;
                }
                Ok(())
            }
            AddressFault::Missing => {
                if let Endpoint::Unix(path) = &self.endpoint {
                    remove_socket_file(path)?;
                }
                Ok(())
            }
            AddressFault::Silent => self.fill_backlog(),
            _ => {
                let listener = match self.prebound.take() {
                    Some(listener) => listener,
                    None => bind_listener(&self.endpoint)?,
                };
                if let (AddressFault::Denied, Endpoint::Unix(path)) = (self.fault, &self.endpoint) {
                    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o000))?;
                }
                self.listener_stop = Some(listener.handle());
                spawn_accept_loop(shared, listener, index);
                Ok(())
            }
        }
    }

    /// Sets the fault. Connections that the previous fault holds are closed when it ends.
    pub fn set_fault(
        &mut self,
        shared: &Arc<Shared>,
        index: usize,
        fault: AddressFault,
        is_running: bool,
    ) -> std::io::Result<()> {
        if self.fault == fault {
            return Ok(());
        }
        self.fault = fault;
        self.prebound = None;
        // Idle connections are closed if the fault also refuses new ones; otherwise the fault applies to
        // their next request. Requests in progress continue, because the engine itself has no fault.
        if matches!(fault, AddressFault::Refuses | AddressFault::Missing | AddressFault::Closes) {
            for connection in lock(&shared.connections).values() {
                if connection.address_index == index && !connection.is_busy.load(Ordering::SeqCst) {
                    connection.socket.shutdown();
                }
            }
        }
        if is_running { self.listen(shared, index) } else { Ok(()) }
    }

    /// Listens with a full backlog and accepts nothing.
    fn fill_backlog(&mut self) -> std::io::Result<()> {
        use socket2::{Domain, SockAddr, Socket, Type};
        let (domain, addr) = match &self.endpoint {
            Endpoint::Tcp(addr) => (Domain::for_address(*addr), SockAddr::from(*addr)),
            Endpoint::Unix(path) => {
                remove_socket_file(path)?;
                (Domain::UNIX, SockAddr::unix(path)?)
            }
        };
        let socket = Socket::new(domain, Type::STREAM, None)?;
        if domain != Domain::UNIX {
            socket.set_reuse_address(true)?;
        }
        retry_while_in_use(|| socket.bind(&addr))?;
        socket.listen(0)?;
        let mut connections = Vec::new();
        for _ in 0..FILL_CONNECTIONS {
            let connection = Socket::new(domain, Type::STREAM, None)?;
            connection.set_nonblocking(true)?;
            // An error is ignored: once the backlog is full, the connect is meant not to complete.
            let _ = connection.connect(&addr);
            connections.push(connection);
        }
        std::thread::sleep(FILL_WAIT);
        self.backlog_fill = Some((socket, connections));
        Ok(())
    }
}

/// Retries while the address is in use: the previous listener closes a moment after it is told to stop.
fn retry_while_in_use<T>(mut operation: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    for _ in 0..200 {
        match operation() {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {
                std::thread::sleep(Duration::from_millis(5));
            }
            other => return other,
        }
    }
    operation()
}

/// Binds a listener, over the socket file of an earlier process if there is one.
fn bind_listener(endpoint: &Endpoint) -> std::io::Result<Listener> {
    if let Endpoint::Unix(path) = endpoint {
        // A starting process removes the socket file that an earlier one left.
        remove_socket_file(path)?;
    }
    retry_while_in_use(|| Listener::bind_endpoint(endpoint))
}

fn remove_socket_file(path: &Path) -> std::io::Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Leaves a socket file that nothing listens on.
fn leave_stale_socket_file(path: &Path) -> std::io::Result<()> {
    remove_socket_file(path)?;
    drop(std::os::unix::net::UnixListener::bind(path)?);
    Ok(())
}

/// Accepts connections and serves each in its own coroutine.
fn spawn_accept_loop(shared: &Arc<Shared>, listener: Listener, address_index: usize) {
    let shared = shared.clone();
    spawn(move || {
        let on_connection = {
            let shared = shared.clone();
            move |conn: elderstage_net::Conn| {
                let connection_id = shared.next_id.fetch_add(1, Ordering::Relaxed);
                let is_busy = Arc::new(AtomicBool::new(false));
                let open_connection =
                    OpenConnection { address_index, socket: conn.socket(), is_busy: is_busy.clone() };
                lock(&shared.connections).insert(connection_id, open_connection);
                let shared = shared.clone();
                spawn(move || {
                    serve::serve_connection(&shared, conn, address_index, &is_busy);
                    lock(&shared.connections).remove(&connection_id);
                });
            }
        };
        listener.serve(on_connection, |_| {});
    });
}
