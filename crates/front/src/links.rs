//! Connections to engines and tool servers: dials, proofs and idle ones, as the core says.
//!
//! Each dial and each proof has a coroutine of its own, since a request's coroutine waits for several of them at
//! once. What they find is told to the core's state of addresses, which stands behind a lock that is held for a
//! few instructions and never over I/O: an order of addresses is needed where the connection is made, and going to
//! the owner and back for it would double the way of each attempt.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

use elderstage::{ServerId, Time};
use elderstage_core::addresses::{
    Addresses, Ask, Bounds, Counts, Life, Lost, Proof, Race, Rest, Step, Trial,
};
use elderstage_net::channel::{Receiver, Sender, channel};
use elderstage_net::owner::Clock;
use elderstage_net::{
    Answer, Conn, Endpoint, NetError, Place, Socket, alarm, go, open, receive, send, waiting_head,
};
use elderstage_protocol::{engine, http};

use crate::slot::{Key, Slot};

/// How often the core is asked for trials and for connections to close.
const TEND: Duration = Duration::from_millis(50);
/// Bytes of padding in a trial that is to be as long as a request: more than two packets of an Ethernet.
const PADDING: usize = 4096;

/// Counts a connection, or a dial, for as long as it lives.
struct Open {
    links: Weak<Links>,
    place: Place,
}

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(links) = self.links.upgrade() {
            links.desk().closed(&self.place);
        }
    }
}

/// A connection to a server.
pub(crate) struct Link {
    // Closed before it is counted as closed.
    pub conn: Conn,
    pub place: Place,
    life: Life,
    /// It was idle before this request.
    pub reused: bool,
    _open: Open,
}

impl Link {
    pub fn to(&self, path: &str) -> Endpoint {
        Endpoint::new(self.place.clone(), path)
    }
}

/// What is asked of a connection.
pub(crate) struct Wanted<'a> {
    pub server: &'a ServerId,
    pub ask: Ask,
    /// Head and body of the request, for a proof by its head.
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: usize,
    /// Where a cancel comes in.
    pub slot: Option<(&'a Slot, Key)>,
}

/// How it went.
pub(crate) enum Got {
    Link(Box<Link>, Rest),
    Lost(Lost),
    /// A final answer to the head alone.
    Answered(u16),
    Cancelled,
}

enum Word {
    /// Go on.
    On(Box<Link>),
    /// 417; the connection if it stays open.
    Unknown(Option<Box<Link>>),
    Final(u16),
    Nothing,
}

enum News {
    Dialed(usize, Option<Box<Link>>),
    /// With the number of the proof, since a lane may have several.
    Proved(usize, u32, Word),
    Time,
    Cancelled,
}

/// All connections of a front.
pub(crate) struct Links {
    desk: Mutex<Addresses<Link>>,
    /// Requests that wait for a first byte, by the core's number for them.
    waiting: Mutex<HashMap<u64, Socket>>,
    clock: Clock,
    via: String,
    connect: Time,
}

impl Links {
    pub fn new(bounds: Bounds, jitter: f64, clock: Clock, via: String, connect: Time) -> Arc<Links> {
        let desk = Mutex::new(Addresses::new(bounds, jitter));
        Arc::new(Links { desk, waiting: Mutex::default(), clock, via, connect })
    }

    fn desk(&self) -> std::sync::MutexGuard<'_, Addresses<Link>> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the core; what it wants closed is closed after the lock, since closing takes it again.
    fn with<T>(&self, f: impl FnOnce(&mut Addresses<Link>, Time) -> T) -> T {
        let now = self.clock.now();
        let mut desk = self.desk();
        let out = f(&mut desk, now);
        let closing = desk.closing();
        drop(desk);
        drop(closing);
        out
    }

    pub fn list(&self, servers: Vec<(ServerId, Vec<Place>, bool)>) {
        self.with(|desk, now| desk.list(now, servers));
    }

    /// What was counted; connections open and idle; addresses that fail; families that are down.
    pub fn counts(&self) -> (Counts, (usize, usize), usize, Vec<String>) {
        self.with(|desk, _| {
            let down = desk.down().map(|family| family.to_string()).collect();
            (desk.counts(), desk.open(), desk.book.failing(), down)
        })
    }

    fn link(self: &Arc<Self>, conn: Conn, open: Open) -> Box<Link> {
        let now = self.clock.now();
        let place = open.place.clone();
        Box::new(Link { conn, place, life: Life::new(now), reused: false, _open: open })
    }

    fn open(self: &Arc<Self>, place: &Place) -> Open {
        Open { links: Arc::downgrade(self), place: place.clone() }
    }

    /// Keeps a connection whose last answer has ended in good order.
    pub fn free(&self, mut link: Link) {
        link.conn.set_deadline(None);
        link.conn.set_read_timeout(None);
        let (place, life) = (link.place.clone(), link.life);
        self.with(|desk, now| desk.free(now, &place, link, life));
    }

    /// A request was written on it and waits for the first byte of its answer.
    pub fn sent(&self, server: &ServerId, link: &Link, safe: bool) -> u64 {
        let number = self.with(|desk, now| desk.sent(now, server, &link.place, safe));
        self.waiting().insert(number, link.conn.socket());
        number
    }

    /// The first byte has come.
    pub fn answered(&self, number: u64) {
        self.waiting().remove(&number);
        self.with(|desk, now| desk.answered(now, number));
    }

    /// No byte has come. `true` when the wait was ended from here.
    pub fn silent(&self, number: u64, reused: bool) -> bool {
        let given_up = self.waiting().remove(&number).is_none();
        self.with(|desk, now| desk.silent(now, number, reused));
        given_up
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Socket>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // ---- One attempt ----

    /// A connection for a request, proven as far as the core wants it.
    pub fn connect(self: &Arc<Self>, wanted: &Wanted<'_>) -> Got {
        let mut race = self.with(|desk, now| desk.begin(now, wanted.server, wanted.ask));
        let mut runner =
            Runner { links: self, wanted, held: Vec::new(), sockets: Vec::new(), proofs: 0, news: None };
        let got = runner.run(&mut race);
        for link in runner.held.into_iter().flatten() {
            // Made and not used: nothing was written on it.
            self.free(*link);
        }
        match got {
            Got::Link(mut link, rest) => {
                link.life.uses += 1;
                Got::Link(link, rest)
            }
            other => other,
        }
    }

    /// One request that may be repeated, answered whole within `time`.
    pub fn exchange(
        self: &Arc<Self>,
        server: &ServerId,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        time: Duration,
    ) -> Result<Answer, ExchangeError> {
        let end = Instant::now() + time;
        let time = time.as_micros() as Time;
        // By a health request where nothing vouches for the address: any server that is asked this has that.
        let ask = Ask { once: false, proof: Proof::Health, connect: self.connect, time };
        let wanted = Wanted { server, ask, path, headers, body: body.len(), slot: None };
        let Got::Link(mut link, _) = self.connect(&wanted) else { return Err(ExchangeError::NotConnected) };
        link.conn.set_write_timeout(Some(end.saturating_duration_since(Instant::now())));
        link.conn.set_deadline(Some(end));
        let to = link.to(path);
        let number = self.sent(server, &link, true);
        let answer = send(&mut link.conn, method, &to, headers, body).and_then(|()| receive(&mut link.conn));
        match answer {
            Ok(answer) => {
                self.answered(number);
                if answer.head.keep_alive {
                    self.free(*link);
                }
                Ok(answer)
            }
            Err(error) => {
                self.silent(number, link.reused);
                Err(ExchangeError::Net(error))
            }
        }
    }

    // ---- Now and then ----

    /// Begins trials and closes what is to be closed, until told to stop.
    pub fn tend(self: &Arc<Self>, goes_on: &std::sync::atomic::AtomicBool) {
        while goes_on.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(TEND);
            let tended = self.with(|desk, now| desk.tend(now, self.connect));
            for number in tended.give_up {
                // Taken out first: whoever waits sees by that why it ended.
                if let Some(socket) = self.waiting().remove(&number) {
                    socket.shut();
                }
            }
            for (family, down) in tended.families {
                if down {
                    tracing::warn!(target: "addresses", %family, "unreachable for several servers; its addresses come last");
                } else {
                    tracing::info!(target: "addresses", %family, "reachable again");
                }
            }
            for trial in tended.trials {
                let links = self.clone();
                go(move || links.trial(&trial));
            }
        }
    }

    fn trial(self: &Arc<Self>, trial: &Trial) {
        let since = self.clock.now();
        let guard = self.open(&trial.place);
        let time = Duration::from_micros(trial.time);
        let tried = open(trial.place.clone(), time).and_then(|conn| {
            let mut link = self.link(conn, guard);
            let padding = if trial.heavy { "x".repeat(PADDING) } else { String::new() };
            let answer = self.health(&mut link, time, &[("x-padding", padding.as_str())])?;
            Ok((link, answer))
        });
        self.with(|desk, now| desk.tried(now, trial, since, tried.is_ok()));
        match tried {
            Ok((link, answer)) => {
                tracing::info!(target: "addresses", server = %trial.server.0, place = %trial.place, "answers again");
                if answer.head.keep_alive {
                    self.free(*link);
                }
            }
            Err(error) => {
                tracing::debug!(target: "addresses", server = %trial.server.0, place = %trial.place, %error, "trial failed");
            }
        }
    }

    fn health(&self, link: &mut Link, time: Duration, further: &[(&str, &str)]) -> Result<Answer, NetError> {
        link.conn.set_write_timeout(Some(time));
        link.conn.set_deadline(Some(Instant::now() + time));
        let to = link.to(engine::HEALTH);
        let mut headers = vec![("via", self.via.as_str())];
        headers.extend_from_slice(further);
        send(&mut link.conn, "GET", &to, &headers, b"")?;
        receive(&mut link.conn)
    }
}

/// Why an exchange gave nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    #[error("no connection")]
    NotConnected,
    #[error("{0}")]
    Net(NetError),
}

/// Does what a race says.
struct Runner<'a> {
    links: &'a Arc<Links>,
    wanted: &'a Wanted<'a>,
    /// Connections that are ready, by lane.
    held: Vec<Option<Box<Link>>>,
    /// Those that are being proven.
    sockets: Vec<Option<(u32, Socket)>>,
    proofs: u32,
    news: Option<(Sender<News>, Receiver<News>)>,
}

fn at<T>(list: &mut Vec<Option<T>>, lane: usize) -> &mut Option<T> {
    if list.len() <= lane {
        list.resize_with(lane + 1, || None);
    }
    &mut list[lane]
}

impl Runner<'_> {
    /// The way in for news; a request that takes an idle connection needs none.
    fn sender(&mut self) -> Sender<News> {
        let (sender, _) = self.news.get_or_insert_with(channel);
        sender.clone()
    }

    fn run(&mut self, race: &mut Race) -> Got {
        loop {
            let (step, now) = self.links.with(|desk, now| (desk.poll(now, race), now));
            match step {
                Step::Reuse(lane, (mut link, life)) => {
                    if link.conn.is_idle() {
                        (link.life, link.reused) = (life, true);
                        *at(&mut self.held, lane) = Some(Box::new(link));
                    } else {
                        drop(link);
                        self.links.with(|desk, _| desk.stale(race, lane));
                    }
                }
                Step::Dial(lane, until) => self.dial(race, lane, until.saturating_sub(now)),
                Step::Prove(lane, proof) => self.prove(race, lane, proof, now),
                Step::Drop(lane) => {
                    if let Some((_, socket)) = at(&mut self.sockets, lane).take() {
                        socket.shut();
                    }
                }
                Step::Send(lane, rest) => {
                    return match at(&mut self.held, lane).take() {
                        Some(link) => Got::Link(link, rest),
                        None => Got::Lost(Lost::NotConnected),
                    };
                }
                Step::Lost(lost) => {
                    self.shut();
                    return Got::Lost(lost);
                }
                Step::Wait(until) => {
                    if let Some(got) = self.wait(race, until.saturating_sub(now)) {
                        self.shut();
                        return got;
                    }
                }
            }
        }
    }

    /// Ends the proofs that are out.
    fn shut(&mut self) {
        for (_, socket) in self.sockets.drain(..).flatten() {
            socket.shut();
        }
    }

    fn dial(&mut self, race: &Race, lane: usize, time: Time) {
        let (links, sender) = (self.links.clone(), self.sender());
        let place = race.place(lane).clone();
        let guard = links.open(&place);
        go(move || {
            let since = links.clock.now();
            let made = open(place.clone(), Duration::from_micros(time));
            links.with(|desk, now| desk.dialed(now, &place, since, made.is_ok()));
            let link = match made {
                Ok(conn) => Some(links.link(conn, guard)),
                Err(error) => {
                    tracing::debug!(target: "addresses", %place, %error, "no connection");
                    None
                }
            };
            if let Err(unheard) = sender.send(News::Dialed(lane, link))
                && let News::Dialed(_, Some(link)) = unheard.0
            {
                // The race is over: it waits for the next request.
                links.free(*link);
            }
        });
    }

    fn prove(&mut self, race: &Race, lane: usize, proof: Proof, now: Time) {
        let Some(mut link) = at(&mut self.held, lane).take() else { return };
        self.proofs += 1;
        let (number, sender, links) = (self.proofs, self.sender(), self.links.clone());
        *at(&mut self.sockets, lane) = Some((number, link.conn.socket()));
        let time = Duration::from_micros(race.end().saturating_sub(now));
        let head = match proof {
            Proof::Continue => {
                let to = link.to(self.wanted.path);
                Some(waiting_head("POST", &to, self.wanted.headers, self.wanted.body))
            }
            _ => None,
        };
        go(move || {
            link.conn.set_write_timeout(Some(time));
            link.conn.set_deadline(Some(Instant::now() + time));
            let word = match head {
                Some(head) => by_head(link, &head),
                None => match links.health(&mut link, time, &[]) {
                    Ok(answer) if answer.head.status == 200 && answer.head.keep_alive => Word::On(link),
                    // Good, and closed: there is nothing to send on.
                    Ok(answer) if answer.head.status == 200 => Word::Nothing,
                    Ok(answer) => Word::Final(answer.head.status),
                    Err(_) => Word::Nothing,
                },
            };
            // Whoever asked may have gone on with another.
            let _ = sender.send(News::Proved(lane, number, word));
        });
    }

    /// Waits for news; a result where the race is over by them.
    fn wait(&mut self, race: &mut Race, time: Time) -> Option<Got> {
        let sender = self.sender();
        let fires = sender.clone();
        alarm(Instant::now() + Duration::from_micros(time), move || {
            let _ = fires.send(News::Time);
        });
        if let Some((slot, key)) = self.wanted.slot
            && !slot.racing(key, move || {
                let _ = sender.send(News::Cancelled);
            })
        {
            return Some(Got::Cancelled);
        }
        let (_, news) = self.news.as_ref()?;
        match news.recv() {
            Ok(News::Dialed(lane, Some(link))) => {
                if race.connected(lane) {
                    *at(&mut self.held, lane) = Some(link);
                } else {
                    self.links.free(*link);
                }
            }
            Ok(News::Dialed(lane, None)) => {
                race.failed(lane);
            }
            Ok(News::Proved(lane, number, word)) => {
                // Guards against the word of a connection that was given up, heard as that of the next.
                if at(&mut self.sockets, lane).as_ref().is_none_or(|(now, _)| *now != number) {
                    return None;
                }
                *at(&mut self.sockets, lane) = None;
                return self.proved(race, lane, word);
            }
            Ok(News::Time) => {}
            Ok(News::Cancelled) | Err(_) => return Some(Got::Cancelled),
        }
        None
    }

    fn proved(&mut self, race: &mut Race, lane: usize, word: Word) -> Option<Got> {
        match word {
            Word::On(link) => {
                if self.links.with(|desk, now| desk.proven(now, race, lane)) {
                    *at(&mut self.held, lane) = Some(link);
                }
            }
            Word::Unknown(link) => {
                self.links.with(|desk, now| desk.without_continue(now, race, lane, link.is_some()));
                *at(&mut self.held, lane) = link;
            }
            Word::Final(status) => {
                self.links.with(|desk, now| desk.heard(now, &race.place(lane).clone()));
                return Some(Got::Answered(status));
            }
            Word::Nothing => self.links.with(|desk, now| desk.not_proven(now, race, lane)),
        }
        None
    }
}

/// Writes the head and hears the word.
fn by_head(mut link: Box<Link>, head: &[u8]) -> Word {
    let said = link.conn.write(head).and_then(|()| link.conn.go_on());
    let last: http::Response = match said {
        Ok(None) => return Word::On(link),
        Ok(Some(last)) => last,
        Err(_) => return Word::Nothing,
    };
    if last.status != 417 {
        return Word::Final(last.status);
    }
    let open = last.keep_alive && link.conn.body(last.framing).is_ok();
    Word::Unknown(open.then_some(link))
}
