//! Connections to other members and clients: frames in to the owner, frames out from a queue of each.
//!
//! A connection carries frames both ways, whoever opened it. It ends when what comes on it can't be read, when nothing
//! has come for [`SILENT`], or when the peer takes nothing for [`STUCK`]; only it ends then. What can't be sent is
//! dropped: everything that members say is said again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use elderstage_fleet::name::Name;
use elderstage_fleet::wire::{self, Ask, Body, FORM, FleetKey, Frame, Hello};
use elderstage_net::channel::{Receiver, Sender, channel};
use elderstage_net::owner::Inbox;
use elderstage_net::{Conn, NetError, go, open};

/// A connection is not waited for longer than this.
const CONNECT: Duration = Duration::from_secs(1);
/// The first frame comes within this.
const HELLO: Duration = Duration::from_secs(5);
/// Nothing has come for so long: the peer is gone or cut off, or has nothing to say, and is called again when needed.
const SILENT: Duration = Duration::from_secs(10);
/// A client may think for so long.
const CLIENT: Duration = Duration::from_secs(60);
/// The peer takes nothing for so long.
const STUCK: Duration = Duration::from_secs(3);
/// Bytes that wait for one peer at most; what comes then is dropped.
const MOST_WAITING: usize = 32 << 20;
/// After a failed call the next one waits so long, and each time twice as long up to the second figure.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_secs(2);

/// Frames that wait to be written.
#[derive(Clone)]
pub struct Way {
    queue: Sender<Arc<[u8]>>,
    waiting: Arc<AtomicUsize>,
}

impl Way {
    fn new() -> (Way, Receiver<Arc<[u8]>>) {
        let (queue, frames) = channel();
        (Way { queue, waiting: Arc::default() }, frames)
    }

    /// `false`: it was dropped, or the connection has ended.
    pub fn send(&self, frame: Arc<[u8]>) -> bool {
        let length = frame.len();
        if self.waiting.fetch_add(length, Ordering::SeqCst) > MOST_WAITING {
            self.waiting.fetch_sub(length, Ordering::SeqCst);
            return false;
        }
        self.queue.send(frame).is_ok()
    }
}

/// What connections tell the owner.
pub enum Event {
    /// A member can be reached on this connection.
    Up {
        conn: u64,
        peer: Name,
        way: Way,
    },
    Said {
        peer: Name,
        body: Body,
    },
    Down {
        conn: u64,
        peer: Name,
    },
    /// A call to a member came to nothing.
    Missed {
        peer: Name,
    },
    Asked {
        conn: u64,
        ask: Ask,
        way: Way,
    },
    Left {
        conn: u64,
    },
    /// The end is wanted.
    Stop,
    Tally(elderstage_tally::Told),
}

/// What all connections of a process share.
pub struct Door {
    pub key: FleetKey,
    pub me: Name,
    pub inbox: Inbox<Event>,
    pub next: AtomicUsize,
}

impl Door {
    fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::SeqCst) as u64
    }

    fn hello(&self) -> Frame {
        Frame::Hello(Hello { form: FORM, member: Some((self.me.clone(), self.key.clone())) })
    }
}

/// Reads one frame whole.
pub fn read(conn: &mut Conn) -> Result<Frame, String> {
    loop {
        match wire::decode(conn.pending()) {
            Ok(Some((frame, taken))) => {
                conn.used(taken);
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
fn writes(mut conn: Conn, frames: Receiver<Arc<[u8]>>, waiting: Arc<AtomicUsize>) {
    conn.set_write_timeout(Some(STUCK));
    while let Ok(frame) = frames.recv() {
        let written = conn.write(&frame);
        waiting.fetch_sub(frame.len(), Ordering::SeqCst);
        if written.is_err() {
            break;
        }
    }
    conn.socket().shut();
}

fn check(door: &Door, hello: &Hello) -> Result<Option<Name>, String> {
    if hello.form != FORM {
        return Err(format!("speaks form {}, this is {FORM}", hello.form));
    }
    match &hello.member {
        None => Ok(None),
        Some((_, key)) if key.name != door.key.name => Err(format!("is of fleet {}", key.name)),
        Some((_, key)) if *key != door.key => {
            Err(format!("is of another fleet named {}: its keepers are others", key.name))
        }
        Some((name, _)) if *name == door.me => Err(format!("calls itself {name}, as this one")),
        Some((name, _)) => Ok(Some(name.clone())),
    }
}

/// A connection that somebody has opened.
pub fn accepted(door: Arc<Door>, mut conn: Conn) {
    // However slowly it comes: guards against strangers that hold memory by a frame that never ends.
    conn.set_deadline(Some(Instant::now() + HELLO));
    let peer = match read(&mut conn) {
        Ok(Frame::Hello(hello)) => check(&door, &hello),
        Ok(_) => Err("does not say who it is".into()),
        Err(error) => Err(error),
    };
    conn.set_deadline(None);
    match peer {
        Ok(Some(peer)) => member(&door, conn, peer, true),
        Ok(None) => client(&door, conn),
        Err(reason) => tracing::warn!(target: "fleet", %reason, "a connection was not taken"),
    }
}

/// Frames of a member, both ways.
fn member(door: &Arc<Door>, mut conn: Conn, peer: Name, answer: bool) {
    let (conn_id, (way, frames)) = (door.number(), Way::new());
    let Ok(writer) = conn.writer() else { return };
    let waiting = way.waiting.clone();
    if answer && let Ok(hello) = wire::encode(&door.hello()) {
        way.send(hello.into());
    }
    go(move || writes(writer, frames, waiting));
    conn.set_read_timeout(Some(SILENT));
    door.inbox.send(Event::Up { conn: conn_id, peer: peer.clone(), way });
    let reason = loop {
        match read(&mut conn) {
            Ok(Frame::Body(body)) => {
                if !door.inbox.send(Event::Said { peer: peer.clone(), body }) {
                    break "ending".to_owned();
                }
            }
            Ok(_) => break "said what members do not say".to_owned(),
            Err(reason) => break reason,
        }
    };
    tracing::debug!(target: "fleet", %peer, %reason, "a connection ends");
    conn.socket().shut();
    door.inbox.send(Event::Down { conn: conn_id, peer });
}

/// Questions of a client.
fn client(door: &Arc<Door>, mut conn: Conn) {
    let (conn_id, (way, frames)) = (door.number(), Way::new());
    let Ok(writer) = conn.writer() else { return };
    let waiting = way.waiting.clone();
    go(move || writes(writer, frames, waiting));
    conn.set_read_timeout(Some(CLIENT));
    while let Ok(Frame::Ask(ask)) = read(&mut conn) {
        if !door.inbox.send(Event::Asked { conn: conn_id, ask, way: way.clone() }) {
            break;
        }
    }
    conn.socket().shut();
    door.inbox.send(Event::Left { conn: conn_id });
}

/// Calls a member; `after`: not before.
fn call(door: Arc<Door>, peer: Name, at: SocketAddr, after: Duration) {
    go(move || {
        elderstage_net::sleep(after);
        let missed = |reason: String| {
            tracing::debug!(target: "fleet", %peer, %at, %reason, "not reached");
            door.inbox.send(Event::Missed { peer: peer.clone() });
        };
        let mut conn = match open(at, CONNECT) {
            Ok(conn) => conn,
            Err(error) => return missed(error.to_string()),
        };
        conn.set_write_timeout(Some(STUCK));
        conn.set_read_timeout(Some(HELLO));
        let written = wire::encode(&door.hello()).map(|hello| conn.write(&hello));
        if !matches!(written, Ok(Ok(()))) {
            return missed("it takes nothing".into());
        }
        match read(&mut conn) {
            Ok(Frame::Hello(hello)) => match check(&door, &hello) {
                Ok(Some(found)) if found == peer => member(&door, conn, peer, false),
                Ok(found) => {
                    missed(format!("{} is there", found.map_or("nobody".into(), |name| name.to_string())))
                }
                Err(reason) => {
                    tracing::warn!(target: "fleet", %peer, %at, %reason, "is not of this fleet");
                    missed(reason);
                }
            },
            Ok(_) => missed("does not say who it is".into()),
            Err(error) => missed(error),
        }
    });
}

/// How members are reached from here; held by the owner.
pub struct Links {
    door: Arc<Door>,
    /// Where members are by the file.
    by_file: HashMap<Name, SocketAddr>,
    /// Ways that prevail over what members tell of themselves.
    via: HashMap<Name, SocketAddr>,
    ways: HashMap<Name, Vec<(u64, Way)>>,
    /// Calls under way, with the first frame that waits for one, and how long the last failed ones waited.
    calling: HashMap<Name, Vec<Arc<[u8]>>>,
    waits: HashMap<Name, Duration>,
}

/// Frames that wait for a call at most.
const MOST_FOR_CALL: usize = 64;

impl Links {
    pub fn new(door: Arc<Door>, by_file: HashMap<Name, SocketAddr>, via: HashMap<Name, SocketAddr>) -> Links {
        Links { door, by_file, via, ways: HashMap::new(), calling: HashMap::new(), waits: HashMap::new() }
    }

    pub fn up(&mut self, conn: u64, peer: Name, way: Way) {
        self.waits.remove(&peer);
        for frame in self.calling.remove(&peer).unwrap_or_default() {
            way.send(frame);
        }
        self.ways.entry(peer).or_default().push((conn, way));
    }

    pub fn down(&mut self, conn: u64, peer: &Name) {
        if let Some(ways) = self.ways.get_mut(peer) {
            ways.retain(|(id, _)| *id != conn);
            if ways.is_empty() {
                self.ways.remove(peer);
            }
        }
    }

    pub fn missed(&mut self, peer: &Name) {
        self.calling.remove(peer);
        let wait = self.waits.get(peer).map_or(AGAIN, |wait| (*wait * 2).min(AGAIN_MOST));
        self.waits.insert(peer.clone(), wait);
    }

    /// Sends to a member, calling it where no connection is up. `told`: where it says that it listens.
    pub fn send(&mut self, peer: &Name, told: Option<SocketAddr>, body: Body) {
        let frame: Arc<[u8]> = match wire::encode(&Frame::Body(body)) {
            Ok(frame) => frame.into(),
            Err(error) => return tracing::error!(target: "fleet", %peer, %error, "not sent"),
        };
        // The connection that came last: an older one may be of a process that is gone.
        if let Some((_, way)) = self.ways.get(peer).and_then(|ways| ways.last()) {
            way.send(frame);
            return;
        }
        if let Some(waiting) = self.calling.get_mut(peer) {
            if waiting.len() < MOST_FOR_CALL {
                waiting.push(frame);
            }
            return;
        }
        let at = self.via.get(peer).or_else(|| self.by_file.get(peer)).copied().or(told);
        let Some(at) = at else { return };
        self.calling.insert(peer.clone(), vec![frame]);
        let wait = self.waits.get(peer).copied().unwrap_or(Duration::ZERO);
        call(self.door.clone(), peer.clone(), at, wait);
    }
}
