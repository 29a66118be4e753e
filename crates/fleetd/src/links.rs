//! Connections to other members and clients: frames in to the owner, frames out from a queue of each.
//!
//! A connection carries frames both ways, whoever opened it. It ends when what comes on it can't be read, when nothing
//! has come for [`PEER_READ_TIMEOUT`], or when the peer takes nothing for [`WRITE_TIMEOUT`]; only it ends then. What can't be sent is
//! dropped: everything that members say is said again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use elderstage_fleet::name::Name;
use elderstage_fleet::wire::{self, ClientRequest, FleetKey, Frame, Hello, MemberMessage, PROTOCOL_VERSION};
use elderstage_net::channel::{Receiver, Sender, channel};
use elderstage_net::owner::Inbox;
use elderstage_net::{Conn, NetError, go, open};

/// A connection is not waited for longer than this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The first frame comes within this.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Nothing has come for so long: the peer is gone or cut off, or has nothing to say, and is called again when needed.
const PEER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// A client may think for so long.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(60);
/// The peer takes nothing for so long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that wait for one peer at most; what comes then is dropped.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// After a failed call the next one waits so long, and each time twice as long up to the second figure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Frames that wait to be written.
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

    /// `false`: it was dropped, or the connection has ended.
    pub fn send(&self, frame: Arc<[u8]>) -> bool {
        let length = frame.len();
        if self.queued.fetch_add(length, Ordering::SeqCst) > MAX_QUEUED_BYTES {
            self.queued.fetch_sub(length, Ordering::SeqCst);
            return false;
        }
        self.queue.send(frame).is_ok()
    }
}

/// What connections tell the owner.
pub enum Event {
    /// A member can be reached on this connection.
    PeerConnected {
        conn: u64,
        peer: Name,
        sender: FrameSender,
    },
    PeerMessage {
        peer: Name,
        body: MemberMessage,
    },
    PeerDisconnected {
        conn: u64,
        peer: Name,
    },
    /// A call to a member came to nothing.
    ConnectFailed {
        peer: Name,
    },
    ClientRequest {
        conn: u64,
        request: ClientRequest,
        sender: FrameSender,
    },
    ClientDisconnected {
        conn: u64,
    },
    /// The end is wanted.
    Stop,
    TallyRead(elderstage_tally::Told),
}

/// What all connections of a process share.
pub struct ConnectionContext {
    pub key: FleetKey,
    pub me: Name,
    pub inbox: Inbox<Event>,
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

/// Reads one frame whole.
pub fn read_frame(conn: &mut Conn) -> Result<Frame, String> {
    loop {
        match wire::decode(conn.pending()) {
            Ok(Some((frame, frame_length))) => {
                conn.used(frame_length);
                return Ok(frame);
            }
            Ok(None) => conn.fill().map_err(|error| match error {
                NetError::TimedOut => "silent".to_owned(),
                error => error.to_string(),
            })?,
            Err(error) => return Err(error.to_string()),
        }
    }
}

/// Writes what waits, until the connection ends.
fn write_frames(mut conn: Conn, frames: Receiver<Arc<[u8]>>, queued: Arc<AtomicUsize>) {
    conn.set_write_timeout(Some(WRITE_TIMEOUT));
    while let Ok(frame) = frames.recv() {
        let written = conn.write(&frame);
        queued.fetch_sub(frame.len(), Ordering::SeqCst);
        if written.is_err() {
            break;
        }
    }
    conn.socket().shut();
}

fn check_hello(context: &ConnectionContext, hello: &Hello) -> Result<Option<Name>, String> {
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(format!("speaks form {}, this is {PROTOCOL_VERSION}", hello.protocol_version));
    }
    match &hello.member {
        None => Ok(None),
        Some((_, key)) if key.name != context.key.name => Err(format!("is of fleet {}", key.name)),
        Some((_, key)) if *key != context.key => {
            Err(format!("is of another fleet named {}: its keepers are others", key.name))
        }
        Some((name, _)) if *name == context.me => Err(format!("calls itself {name}, as this one")),
        Some((name, _)) => Ok(Some(name.clone())),
    }
}

/// A connection that somebody has opened.
pub fn handle_accepted(context: Arc<ConnectionContext>, mut conn: Conn) {
    // However slowly it comes: guards against strangers that hold memory by a frame that never ends.
    conn.set_deadline(Some(Instant::now() + HELLO_TIMEOUT));
    let peer = match read_frame(&mut conn) {
        Ok(Frame::Hello(hello)) => check_hello(&context, &hello),
        Ok(_) => Err("does not say who it is".into()),
        Err(error) => Err(error),
    };
    conn.set_deadline(None);
    match peer {
        Ok(Some(peer)) => serve_member(&context, conn, peer, true),
        Ok(None) => serve_client(&context, conn),
        Err(reason) => tracing::warn!(target: "fleet", %reason, "a connection was not taken"),
    }
}

/// Frames of a member, both ways.
fn serve_member(context: &Arc<ConnectionContext>, mut conn: Conn, peer: Name, reply_hello: bool) {
    let (conn_id, (sender, frames)) = (context.new_connection_id(), FrameSender::new());
    let Ok(writer) = conn.writer() else { return };
    let queued = sender.queued.clone();
    if reply_hello && let Ok(hello) = wire::encode(&context.hello()) {
        sender.send(hello.into());
    }
    go(move || write_frames(writer, frames, queued));
    conn.set_read_timeout(Some(PEER_READ_TIMEOUT));
    context.inbox.send(Event::PeerConnected { conn: conn_id, peer: peer.clone(), sender });
    let reason = loop {
        match read_frame(&mut conn) {
            Ok(Frame::MemberMessage(body)) => {
                if !context.inbox.send(Event::PeerMessage { peer: peer.clone(), body }) {
                    break "ending".to_owned();
                }
            }
            Ok(_) => break "said what members do not say".to_owned(),
            Err(reason) => break reason,
        }
    };
    tracing::debug!(target: "fleet", %peer, %reason, "a connection ends");
    conn.socket().shut();
    context.inbox.send(Event::PeerDisconnected { conn: conn_id, peer });
}

/// Questions of a client.
fn serve_client(context: &Arc<ConnectionContext>, mut conn: Conn) {
    let (conn_id, (sender, frames)) = (context.new_connection_id(), FrameSender::new());
    let Ok(writer) = conn.writer() else { return };
    let queued = sender.queued.clone();
    go(move || write_frames(writer, frames, queued));
    conn.set_read_timeout(Some(CLIENT_READ_TIMEOUT));
    while let Ok(Frame::ClientRequest(request)) = read_frame(&mut conn) {
        if !context.inbox.send(Event::ClientRequest { conn: conn_id, request, sender: sender.clone() }) {
            break;
        }
    }
    conn.socket().shut();
    context.inbox.send(Event::ClientDisconnected { conn: conn_id });
}

/// Calls a member; `delay`: not before.
fn connect_to(context: Arc<ConnectionContext>, peer: Name, at: SocketAddr, delay: Duration) {
    go(move || {
        elderstage_net::sleep(delay);
        let connect_failed = |reason: String| {
            tracing::debug!(target: "fleet", %peer, %at, %reason, "not reached");
            context.inbox.send(Event::ConnectFailed { peer: peer.clone() });
        };
        let mut conn = match open(at, CONNECT_TIMEOUT) {
            Ok(conn) => conn,
            Err(error) => return connect_failed(error.to_string()),
        };
        conn.set_write_timeout(Some(WRITE_TIMEOUT));
        conn.set_read_timeout(Some(HELLO_TIMEOUT));
        let written = wire::encode(&context.hello()).map(|hello| conn.write(&hello));
        if !matches!(written, Ok(Ok(()))) {
            return connect_failed("it takes nothing".into());
        }
        match read_frame(&mut conn) {
            Ok(Frame::Hello(hello)) => match check_hello(&context, &hello) {
                Ok(Some(found_peer)) if found_peer == peer => serve_member(&context, conn, peer, false),
                Ok(found_peer) => connect_failed(format!(
                    "{} is there",
                    found_peer.map_or("nobody".into(), |name| name.to_string())
                )),
                Err(reason) => {
                    tracing::warn!(target: "fleet", %peer, %at, %reason, "is not of this fleet");
                    connect_failed(reason);
                }
            },
            Ok(_) => connect_failed("does not say who it is".into()),
            Err(error) => connect_failed(error),
        }
    });
}

/// How members are reached from here; held by the owner.
pub struct PeerConnections {
    context: Arc<ConnectionContext>,
    /// Where members are by the file.
    configured: HashMap<Name, SocketAddr>,
    /// Ways that prevail over what members tell of themselves.
    overrides: HashMap<Name, SocketAddr>,
    senders: HashMap<Name, Vec<(u64, FrameSender)>>,
    /// Calls under way, with the first frame that waits for one, and how long the last failed ones waited.
    connecting: HashMap<Name, Vec<Arc<[u8]>>>,
    retry_delays: HashMap<Name, Duration>,
}

/// Frames that wait for a call at most.
const MAX_FRAMES_PER_CONNECT: usize = 64;

impl PeerConnections {
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

    pub fn peer_connected(&mut self, conn: u64, peer: Name, sender: FrameSender) {
        self.retry_delays.remove(&peer);
        for frame in self.connecting.remove(&peer).unwrap_or_default() {
            sender.send(frame);
        }
        self.senders.entry(peer).or_default().push((conn, sender));
    }

    pub fn peer_disconnected(&mut self, conn: u64, peer: &Name) {
        if let Some(senders) = self.senders.get_mut(peer) {
            senders.retain(|(id, _)| *id != conn);
            if senders.is_empty() {
                self.senders.remove(peer);
            }
        }
    }

    pub fn connect_failed(&mut self, peer: &Name) {
        self.connecting.remove(peer);
        let wait =
            self.retry_delays.get(peer).map_or(MIN_RETRY_DELAY, |wait| (*wait * 2).min(MAX_RETRY_DELAY));
        self.retry_delays.insert(peer.clone(), wait);
    }

    /// Sends to a member, calling it where no connection is up. `announced`: where it says that it listens.
    pub fn send(&mut self, peer: &Name, announced: Option<SocketAddr>, body: MemberMessage) {
        let frame: Arc<[u8]> = match wire::encode(&Frame::MemberMessage(body)) {
            Ok(frame) => frame.into(),
            Err(error) => return tracing::error!(target: "fleet", %peer, %error, "not sent"),
        };
        // The connection that came last: an older one may be of a process that is gone.
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
        let wait = self.retry_delays.get(peer).copied().unwrap_or(Duration::ZERO);
        connect_to(self.context.clone(), peer.clone(), at, wait);
    }
}
