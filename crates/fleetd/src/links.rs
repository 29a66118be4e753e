//! Connections to members and clients. Received frames become events of the owner; each connection has a send queue.
//!
//! A connection carries frames both ways, whichever side opened it. It ends on a malformed frame, when nothing has
//! arrived for [`PEER_READ_TIMEOUT`], or when the peer accepts no bytes for [`WRITE_TIMEOUT`]; other connections are
//! unaffected. Messages that can't be sent are dropped: members repeat all their messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use elderstage_fleet::name::Name;
use elderstage_fleet::wire::{self, ClientRequest, FleetKey, Frame, Hello, MemberMessage, PROTOCOL_VERSION};
use elderstage_net::channel::{Receiver, Sender, channel};
use elderstage_net::owner::EventSender;
use elderstage_net::{Conn, NetError, connect, spawn};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which the first frame must have arrived.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// A peer from which nothing has arrived for this long is gone, unreachable or idle; the next message opens a new
/// connection.
const PEER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// A client may pause this long between requests.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for writing to a peer that accepts no bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum bytes queued for one peer; further frames are dropped.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// Delay before the next attempt after a failed connect; it doubles with each failure up to the maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Send queue of a connection.
#[derive(Clone)]
pub struct FrameSender {
    queue: Sender<Arc<[u8]>>,
    queued: Arc<AtomicUsize>,
}

impl FrameSender {
    fn new() -> (FrameSender, Receiver<Arc<[u8]>>) {
        let (queue, frames) = channel();
        (FrameSender { queue, queued: Arc::default() }, frames)
    }

    /// Queues a frame; `false` if it was dropped or the connection has ended.
    pub fn send(&self, frame: Arc<[u8]>) -> bool {
        let length = frame.len();
        if self.queued.fetch_add(length, Ordering::SeqCst) > MAX_QUEUED_BYTES {
            self.queued.fetch_sub(length, Ordering::SeqCst);
            return false;
        }
        self.queue.send(frame).is_ok()
    }
}

/// An event for the owner.
pub enum Event {
    /// A connection to a member is open.
    PeerConnected { conn: u64, peer: Name, sender: FrameSender },
    /// A message from a member.
    PeerMessage { peer: Name, body: MemberMessage },
    /// A connection to a member has closed.
    PeerDisconnected { conn: u64, peer: Name },
    /// A connection to a member could not be opened.
    ConnectFailed { peer: Name },
    /// A client sent a request on this connection.
    ClientRequest { conn: u64, request: ClientRequest, sender: FrameSender },
    /// The connection of a client has closed.
    ClientDisconnected { conn: u64 },
    /// The process shall stop.
    Stop,
    /// New counts were read from the file of the front.
    TallyRead(elderstage_tally::TallySnapshot),
}

/// Context shared by all connections of a process.
pub struct ConnectionContext {
    pub key: FleetKey,
    pub me: Name,
    pub inbox: EventSender<Event>,
    pub next_connection_id: AtomicUsize,
}

impl ConnectionContext {
    fn new_connection_id(&self) -> u64 {
        self.next_connection_id.fetch_add(1, Ordering::SeqCst) as u64
    }

    fn hello(&self) -> Frame {
        Frame::Hello(Hello {
            protocol_version: PROTOCOL_VERSION,
            member: Some((self.me.clone(), self.key.clone())),
        })
    }
}

/// Reads one complete frame.
pub fn read_frame(conn: &mut Conn) -> Result<Frame, String> {
    loop {
        match wire::decode(conn.pending()) {
            Ok(Some((frame, frame_length))) => {
                conn.consume(frame_length);
                return Ok(frame);
            }
            Ok(None) => conn.fill().map_err(|error| match error {
                NetError::TimedOut => "read timed out".to_owned(),
                error => error.to_string(),
            })?,
            Err(error) => return Err(error.to_string()),
        }
    }
}

/// Writes queued frames until the connection ends.
fn write_frames(mut conn: Conn, frames: Receiver<Arc<[u8]>>, queued: Arc<AtomicUsize>) {
    conn.set_write_timeout(Some(WRITE_TIMEOUT));
    while let Ok(frame) = frames.recv() {
        let written = conn.write(&frame);
        queued.fetch_sub(frame.len(), Ordering::SeqCst);
        if written.is_err() {
            break;
        }
    }
    conn.socket().shutdown();
}

/// Validates the first frame of a peer: `Some` name for a member, `None` for a client.
fn check_hello(context: &ConnectionContext, hello: &Hello) -> Result<Option<Name>, String> {
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(format!("uses protocol version {}, expected {PROTOCOL_VERSION}", hello.protocol_version));
    }
    match &hello.member {
        None => Ok(None),
        Some((_, key)) if key.name != context.key.name => Err(format!("is of fleet {}", key.name)),
        Some((_, key)) if *key != context.key => {
            Err(format!("is of another fleet named {}: its keepers differ", key.name))
        }
        Some((name, _)) if *name == context.me => Err(format!("has the same name as this process: {name}")),
        Some((name, _)) => Ok(Some(name.clone())),
    }
}

/// Serves a connection that another process has opened.
pub fn handle_accepted(context: Arc<ConnectionContext>, mut conn: Conn) {
    // A deadline for the whole frame: a stranger must not hold memory with a frame that never ends.
    conn.set_deadline(Some(Instant::now() + HELLO_TIMEOUT));
    let peer = match read_frame(&mut conn) {
        Ok(Frame::Hello(hello)) => check_hello(&context, &hello),
        Ok(_) => Err("first frame is not a hello".into()),
        Err(error) => Err(error),
    };
    conn.set_deadline(None);
    match peer {
        Ok(Some(peer)) => serve_member(&context, conn, peer, true),
        Ok(None) => serve_client(&context, conn),
        Err(reason) => tracing::warn!(target: "fleet", %reason, "refused a connection"),
    }
}

/// Exchanges frames with a member until the connection ends.
fn serve_member(context: &Arc<ConnectionContext>, mut conn: Conn, peer: Name, reply_hello: bool) {
    let (conn_id, (sender, frames)) = (context.new_connection_id(), FrameSender::new());
    let Ok(writer) = conn.try_clone_for_writing() else { return };
    let queued = sender.queued.clone();
    if reply_hello && let Ok(hello) = wire::encode(&context.hello()) {
        sender.send(hello.into());
    }
    spawn(move || write_frames(writer, frames, queued));
    conn.set_read_timeout(Some(PEER_READ_TIMEOUT));
    context.inbox.send(Event::PeerConnected { conn: conn_id, peer: peer.clone(), sender });
    let reason = loop {
        match read_frame(&mut conn) {
            Ok(Frame::MemberMessage(body)) => {
                if !context.inbox.send(Event::PeerMessage { peer: peer.clone(), body }) {
                    break "this process is stopping".to_owned();
                }
            }
            Ok(_) => break "frame is not a member message".to_owned(),
            Err(reason) => break reason,
        }
    };
    tracing::debug!(target: "fleet", %peer, %reason, "connection closed");
    conn.socket().shutdown();
    context.inbox.send(Event::PeerDisconnected { conn: conn_id, peer });
}

/// Serves the requests of a client until the connection ends.
fn serve_client(context: &Arc<ConnectionContext>, mut conn: Conn) {
    let (conn_id, (sender, frames)) = (context.new_connection_id(), FrameSender::new());
    let Ok(writer) = conn.try_clone_for_writing() else { return };
    let queued = sender.queued.clone();
    spawn(move || write_frames(writer, frames, queued));
    conn.set_read_timeout(Some(CLIENT_READ_TIMEOUT));
    while let Ok(Frame::ClientRequest(request)) = read_frame(&mut conn) {
        if !context.inbox.send(Event::ClientRequest { conn: conn_id, request, sender: sender.clone() }) {
            break;
        }
    }
    conn.socket().shutdown();
    context.inbox.send(Event::ClientDisconnected { conn: conn_id });
}

/// Opens a connection to a member after `delay`.
fn connect_to(context: Arc<ConnectionContext>, peer: Name, at: SocketAddr, delay: Duration) {
    spawn(move || {
        elderstage_net::sleep(delay);
        let connect_failed = |reason: String| {
            tracing::debug!(target: "fleet", %peer, %at, %reason, "failed to connect");
            context.inbox.send(Event::ConnectFailed { peer: peer.clone() });
        };
        let mut conn = match connect(at, CONNECT_TIMEOUT) {
            Ok(conn) => conn,
            Err(error) => return connect_failed(error.to_string()),
        };
        conn.set_write_timeout(Some(WRITE_TIMEOUT));
        conn.set_read_timeout(Some(HELLO_TIMEOUT));
        let written = wire::encode(&context.hello()).map(|hello| conn.write(&hello));
        if !matches!(written, Ok(Ok(()))) {
            return connect_failed("failed to send the hello".into());
        }
        match read_frame(&mut conn) {
            Ok(Frame::Hello(hello)) => match check_hello(&context, &hello) {
                Ok(Some(found_peer)) if found_peer == peer => serve_member(&context, conn, peer, false),
                Ok(found_peer) => connect_failed(format!(
                    "the process there is {}",
                    found_peer.map_or("not a member".into(), |name| name.to_string())
                )),
                Err(reason) => {
                    tracing::warn!(target: "fleet", %peer, %at, %reason, "peer is not of this fleet");
                    connect_failed(reason);
                }
            },
            Ok(_) => connect_failed("first frame is not a hello".into()),
            Err(error) => connect_failed(error),
        }
    });
}

/// Connections to the other members; held by the owner.
pub struct PeerConnections {
    context: Arc<ConnectionContext>,
    /// Addresses of members from the configuration file.
    configured: HashMap<Name, SocketAddr>,
    /// Addresses that take precedence over all others.
    overrides: HashMap<Name, SocketAddr>,
    senders: HashMap<Name, Vec<(u64, FrameSender)>>,
    /// Frames queued for each connect in progress, and the delay of the next connect after failures.
    connecting: HashMap<Name, Vec<Arc<[u8]>>>,
    retry_delays: HashMap<Name, Duration>,
}

/// Maximum number of frames queued for a connect in progress.
const MAX_FRAMES_PER_CONNECT: usize = 64;

impl PeerConnections {
    /// Creates the connections; none is open yet.
    pub fn new(
        context: Arc<ConnectionContext>,
        configured: HashMap<Name, SocketAddr>,
        overrides: HashMap<Name, SocketAddr>,
    ) -> PeerConnections {
        PeerConnections {
            context,
            configured,
            overrides,
            senders: HashMap::new(),
            connecting: HashMap::new(),
            retry_delays: HashMap::new(),
        }
    }

    /// A connection to a member is open: sends the frames queued for it.
    pub fn peer_connected(&mut self, conn: u64, peer: Name, sender: FrameSender) {
        self.retry_delays.remove(&peer);
        for frame in self.connecting.remove(&peer).unwrap_or_default() {
            sender.send(frame);
        }
        self.senders.entry(peer).or_default().push((conn, sender));
    }

    /// Forgets a closed connection.
    pub fn peer_disconnected(&mut self, conn: u64, peer: &Name) {
        if let Some(senders) = self.senders.get_mut(peer) {
            senders.retain(|(id, _)| *id != conn);
            if senders.is_empty() {
                self.senders.remove(peer);
            }
        }
    }

    /// Drops the frames queued for a failed connect and increases the delay of the next one.
    pub fn connect_failed(&mut self, peer: &Name) {
        self.connecting.remove(peer);
        let delay =
            self.retry_delays.get(peer).map_or(MIN_RETRY_DELAY, |delay| (*delay * 2).min(MAX_RETRY_DELAY));
        self.retry_delays.insert(peer.clone(), delay);
    }

    /// Sends a message to a member and connects to it if no connection is open. `announced` is the address that the
    /// member announces.
    pub fn send(&mut self, peer: &Name, announced: Option<SocketAddr>, body: MemberMessage) {
        let frame: Arc<[u8]> = match wire::encode(&Frame::MemberMessage(body)) {
            Ok(frame) => frame.into(),
            Err(error) => return tracing::error!(target: "fleet", %peer, %error, "failed to encode message"),
        };
        // The newest connection: an older one may belong to a process that is gone.
        if let Some((_, sender)) = self.senders.get(peer).and_then(|senders| senders.last()) {
            sender.send(frame);
            return;
        }
        if let Some(queued) = self.connecting.get_mut(peer) {
            if queued.len() < MAX_FRAMES_PER_CONNECT {
                queued.push(frame);
            }
            return;
        }
        let at = self.overrides.get(peer).or_else(|| self.configured.get(peer)).copied().or(announced);
        let Some(at) = at else { return };
        self.connecting.insert(peer.clone(), vec![frame]);
        let delay = self.retry_delays.get(peer).copied().unwrap_or(Duration::ZERO);
        connect_to(self.context.clone(), peer.clone(), at, delay);
    }
}
