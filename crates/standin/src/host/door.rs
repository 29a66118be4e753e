//! One place where an engine listens, and what may be wrong with it while the engine itself is well.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use elderstage_net::{Listener, Place, Stop, go};

use super::{Open, Shared, lock, serve};

/// Connections of our own that fill a backlog of one; the system takes one or two more than it says.
const FILL: usize = 4;
/// Wait for one of them; the ones after the backlog is full take this long.
const FILL_TIME: Duration = Duration::from_millis(20);

/// What is wrong with an address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DoorFault {
    #[default]
    None,
    /// Nobody listens: connects are refused. For a Unix socket the file stays, as after a process's death.
    Refuses,
    /// Connects are not answered: the backlog is full and nobody accepts.
    Silent,
    /// Connections are taken and nothing is read or said.
    Stalls,
    /// Connections are closed as soon as they are made.
    Closes,
    /// Connections are closed as soon as a request's head has come.
    ClosesOnRequest,
    /// A request is read whole, and the head of an answer is all that comes.
    StallsAfterHead,
    /// A stream stands still after its first tokens.
    StallsInBody,
    /// The word to go on is given, and then nothing more.
    StallsAfterContinue,
    /// The word to go on comes late, by the first pause of a slow handshake.
    Slow,
    /// A Unix socket's file is missing.
    Missing,
    /// A Unix socket's file may not be used; without effect on a superuser.
    Denied,
    /// Requests that wait for the word to go on are answered 417.
    Unexpected,
}

/// How long a slow door takes to say anything.
pub(super) const SLOW: Duration = Duration::from_millis(120);

/// A listening place.
pub(super) struct Door {
    place: Place,
    fault: DoorFault,
    /// Bound before the engine was there, so that its port is known.
    bound: Option<Listener>,
    listening: Option<Stop>,
    /// Connections that fill a backlog, and the socket whose backlog it is.
    full: Option<(socket2::Socket, Vec<socket2::Socket>)>,
}

impl Door {
    pub fn new(bound: Listener) -> Door {
        let place = bound.place().clone();
        Door { place, fault: DoorFault::None, bound: Some(bound), listening: None, full: None }
    }

    pub fn place(&self) -> &Place {
        &self.place
    }

    pub fn fault(&self) -> DoorFault {
        self.fault
    }

    /// Stops listening.
    pub fn shut(&mut self) {
        if let Some(stop) = self.listening.take() {
            stop.stop();
        }
        self.full = None;
    }

    /// Listens, as far as its fault lets it.
    pub fn open(&mut self, shared: &Arc<Shared>, number: usize) -> std::io::Result<()> {
        self.shut();
        match self.fault {
            DoorFault::Refuses => {
                if let Place::Unix(path) = &self.place {
                    stale(path)?;
                }
                Ok(())
            }
            DoorFault::Missing => {
                if let Place::Unix(path) = &self.place {
                    remove(path)?;
                }
                Ok(())
            }
            DoorFault::Silent => self.fill(),
            _ => {
                let listener = match self.bound.take() {
                    Some(bound) => bound,
                    None => listener(&self.place)?,
                };
                if let (DoorFault::Denied, Place::Unix(path)) = (self.fault, &self.place) {
                    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o000))?;
                }
                self.listening = Some(listener.stopper());
                accept(shared, listener, number);
                Ok(())
            }
        }
    }

    /// From now on this is wrong with it. Connections that a fault holds are let go of by its end.
    pub fn change(
        &mut self,
        shared: &Arc<Shared>,
        number: usize,
        fault: DoorFault,
        running: bool,
    ) -> std::io::Result<()> {
        if self.fault == fault {
            return Ok(());
        }
        self.fault = fault;
        self.bound = None;
        // Idle connections end where nobody takes new ones; else they have the fault with their next request. What
        // is being answered goes on: the engine is well.
        if matches!(fault, DoorFault::Refuses | DoorFault::Missing | DoorFault::Closes) {
            for open in lock(&shared.sockets).values() {
                if open.door == number && !open.busy.load(Ordering::SeqCst) {
                    open.socket.shut();
                }
            }
        }
        if running { self.open(shared, number) } else { Ok(()) }
    }

    /// A backlog that is full, with nobody who accepts.
    fn fill(&mut self) -> std::io::Result<()> {
        use socket2::{Domain, SockAddr, Socket, Type};
        let (domain, addr) = match &self.place {
            Place::Tcp(addr) => (Domain::for_address(*addr), SockAddr::from(*addr)),
            Place::Unix(path) => {
                remove(path)?;
                (Domain::UNIX, SockAddr::unix(path)?)
            }
        };
        let socket = Socket::new(domain, Type::STREAM, None)?;
        if domain != Domain::UNIX {
            socket.set_reuse_address(true)?;
        }
        retry(|| socket.bind(&addr))?;
        socket.listen(0)?;
        let mut held = Vec::new();
        for _ in 0..FILL {
            let one = Socket::new(domain, Type::STREAM, None)?;
            one.set_nonblocking(true)?;
            // That it cannot be made in time is what is wanted.
            let _ = one.connect(&addr);
            held.push(one);
        }
        std::thread::sleep(FILL_TIME);
        self.full = Some((socket, held));
        Ok(())
    }
}

/// The old listener closes when its coroutine has heard of it, a moment later.
fn retry<T>(mut f: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    for _ in 0..200 {
        match f() {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {
                std::thread::sleep(Duration::from_millis(5));
            }
            other => return other,
        }
    }
    f()
}

fn listener(place: &Place) -> std::io::Result<Listener> {
    if let Place::Unix(path) = place {
        // A process that starts removes what an earlier one left.
        remove(path)?;
    }
    retry(|| Listener::at(place))
}

fn remove(path: &Path) -> std::io::Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// A file without a listener.
fn stale(path: &Path) -> std::io::Result<()> {
    remove(path)?;
    drop(std::os::unix::net::UnixListener::bind(path)?);
    Ok(())
}

fn accept(shared: &Arc<Shared>, listener: Listener, door: usize) {
    let shared = shared.clone();
    go(move || {
        let accept = {
            let shared = shared.clone();
            move |conn: elderstage_net::Conn| {
                let number = shared.next.fetch_add(1, Ordering::Relaxed);
                let busy = Arc::new(AtomicBool::new(false));
                let open = Open { door, socket: conn.socket(), busy: busy.clone() };
                lock(&shared.sockets).insert(number, open);
                let shared = shared.clone();
                go(move || {
                    serve::connection(&shared, conn, door, &busy);
                    lock(&shared.sockets).remove(&number);
                });
            }
        };
        listener.serve(accept, |_| {});
    });
}
