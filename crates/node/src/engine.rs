//! The asking side: attempts, probes and releases, each in a coroutine of its own, on one connection at a time.
//!
//! What an attempt came to is told only after its connection is closed or free: an attempt is its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use elderstage::{Outcome, ReqId, ServerId};
use elderstage_net::NetError;
use elderstage_net::go;
use elderstage_platform::hub::Input;
use elderstage_platform::reply::{self, Cut, Reached, Verdict};
use elderstage_platform::report;
use elderstage_platform::stream::Stream;
use elderstage_protocol::http::{Body, Framing, Limits, Response};

use crate::Shared;
use crate::event_loop::Event;
use crate::hold_at;
use crate::pool::Link;
use crate::response::{AttemptStart, ResponseChannel, ResponseEvent};

/// An engine whose stream brings nothing for so long is gone without a word (TCP tells nothing of a machine that is
/// cut off): its client must hear of it within five seconds of the last event.
const SILENT: Duration = Duration::from_millis(4_300);
/// Poll interval for a client that does not keep up.
const CLIENT_WAIT: Duration = Duration::from_millis(5);
/// Most bytes of the body of an answer that is no stream.
const MOST_BODY: usize = 64 << 10;
/// Wait for the rest of a body that decides nothing, so that its connection can be used again.
const REST: Duration = Duration::from_millis(50);
/// A probe or a release is answered at once, or not at all.
const SMALL: Duration = Duration::from_millis(250);
/// Others are told meanwhile, so a call may wait as long as a connection that comes up late needs.
const RELEASE: Duration = Duration::from_millis(240);
/// What an engine's head may take: 16 KiB, as common proxies allow.
const HEAD: Limits = Limits { head: 16 << 10, body: MOST_BODY };

/// One attempt.
pub struct Attempt {
    pub id: ReqId,
    pub attempt: u32,
    pub server: ServerId,
    pub dial: SocketAddr,
    pub timeout: Duration,
    /// It may be sent again, whatever comes of it.
    pub harmless: bool,
    pub channel: Arc<ResponseChannel>,
}

/// One call that lets go of what is held for a request.
pub struct Release {
    pub id: ReqId,
    pub trace: Box<str>,
    pub holder: ServerId,
    /// Which release of the request it belongs to.
    pub round: u32,
    /// Who is told, and where.
    pub engine: ServerId,
    pub dial: SocketAddr,
}

/// How an attempt ended.
struct End {
    outcome: Outcome,
    note: u64,
    report: Option<String>,
    /// The client's stream has begun.
    begun: bool,
    /// Events of it that were passed on.
    events: u64,
}

impl End {
    fn of(outcome: Outcome, note: u64, report: Option<String>) -> End {
        End { outcome, note, report, begun: false, events: 0 }
    }
}

pub fn attempt(shared: &Arc<Shared>, job: Attempt) {
    let shared = shared.clone();
    go(move || {
        let begun = Instant::now();
        let end = run(&shared, &job, begun + job.timeout);
        job.channel.finish(job.attempt);
        if end.begun {
            job.channel.send(if end.outcome == Outcome::Served {
                ResponseEvent::Whole
            } else {
                ResponseEvent::Cut
            });
        }
        tracing::debug!(
            target: "attempt", trace = %job.channel.parts.trace, attempt = job.attempt, server = %job.server.0,
            outcome = ?end.outcome, note = end.note, took_ms = begun.elapsed().as_millis() as u64,
        );
        let End { outcome, note, report, events, .. } = end;
        let (id, attempt) = (job.id, job.attempt);
        shared.submit(Event::Hub(Input::Ended { id, attempt, outcome, note, report, events }));
    });
}

fn run(shared: &Arc<Shared>, job: &Attempt, until: Instant) -> End {
    let ended = |reached, cut| End::of(reply::without_answer(reached, cut), 0, None);
    let left = || until.saturating_duration_since(Instant::now());
    if left().is_zero() {
        return ended(Reached::NotWhole, Cut::TimedOut);
    }
    let mut link = match shared.pool.take(job.dial, shared.connect.min(left()), job.harmless) {
        Ok(link) => link,
        Err(error) => {
            tracing::debug!(target: "link", what = "connect", %error, server = %job.server.0, "cut");
            return ended(Reached::NotWhole, Cut::Broken);
        }
    };
    hold_at!("attempt-connected-{}", job.channel.parts.trace);
    let _in_flight = shared.in_flight.begin(job.dial);
    let waker = link.conn().waker();
    match job.channel.begin(job.attempt, waker) {
        AttemptStart::Proceed => {}
        AttemptStart::Cancelled => {
            link.keep();
            return ended(Reached::NotWhole, Cut::Cancelled);
        }
        AttemptStart::Withdrawn => {
            link.keep();
            return ended(Reached::NotWhole, Cut::Broken);
        }
    }
    let idle = link.idle;
    let trace = |what: &str, cut: Cut| {
        tracing::debug!(target: "link", what, ?cut, ?idle, server = %job.server.0, "cut");
    };
    if let Err(cut) = write(&mut link, job, left()) {
        trace("write", cut);
        link.told(cut == Cut::Broken);
        drop(link);
        return ended(Reached::NotWhole, cut);
    }
    let end = answer(shared, &mut link, job, until);
    match &end {
        Ok(_) => link.told(false),
        Err(cut) => {
            let silent = !link.conn().has_pending();
            link.told(*cut == Cut::Broken && silent);
        }
    }
    match end {
        Ok((end, true)) => {
            link.keep();
            end
        }
        Ok((end, false)) => end,
        Err(cut) => {
            trace(if link.conn().has_pending() { "half a head" } else { "answer" }, cut);
            ended(Reached::Whole, cut)
        }
    }
}

fn write(link: &mut Link, job: &Attempt, left: Duration) -> Result<(), Cut> {
    let parts = &job.channel.parts;
    let mut head = Vec::with_capacity(512);
    head.extend_from_slice(
        format!("{} {} HTTP/1.1\r\nHost: {}\r\n", parts.method, parts.target, job.dial).as_bytes(),
    );
    head.extend_from_slice(
        format!("X-Trace-Id: {}\r\nX-Expires-In-Ms: {}\r\n", parts.trace, left.as_millis()).as_bytes(),
    );
    head.extend_from_slice(&parts.fields);
    head.extend_from_slice(format!("Content-Length: {}\r\n\r\n", parts.body.len()).as_bytes());
    let conn = link.conn();
    conn.limits = HEAD;
    conn.set_write_timeout(Some(left));
    // An engine may take nothing more for a while, and the client leave meanwhile.
    let wanted = || !job.channel.is_cancelled(job.attempt) && !job.channel.is_closed();
    for bytes in [&head, &parts.body] {
        match conn.write_while(bytes, wanted) {
            Ok(true) => {}
            Ok(false) => return Err(Cut::Cancelled),
            Err(NetError::TimedOut) => return Err(Cut::TimedOut),
            Err(_) => return Err(Cut::Broken),
        }
    }
    Ok(())
}

/// Waits for more of an answer.
fn more(link: &mut Link, job: Option<&Attempt>, until: Instant) -> Result<(), Cut> {
    loop {
        if job.is_some_and(|job| job.channel.is_cancelled(job.attempt)) {
            return Err(Cut::Cancelled);
        }
        match link.conn().fill_now() {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(_) => return Err(Cut::Broken),
        }
        if job.is_some_and(|job| job.channel.is_cut()) {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(Cut::TimedOut);
        }
        link.conn().pause(Some(until));
    }
}

fn head(link: &mut Link, job: Option<&Attempt>, until: Instant) -> Result<Response, Cut> {
    loop {
        if let Some(head) = link.conn().response_now().map_err(|_| Cut::Broken)? {
            return Ok(head);
        }
        more(link, job, until)?;
    }
}

/// A body that is no stream, and whether its connection can be used again.
fn body(link: &mut Link, head: &Response, until: Instant) -> (Vec<u8>, bool) {
    let (mut body, mut out) = (Body::new(head.framing).with_most_chunk(MOST_BODY as u64), Vec::new());
    if matches!(head.framing, Framing::Length(n) if n > MOST_BODY as u64)
        || head.framing == Framing::UntilClose
    {
        return (out, false);
    }
    while !body.done() {
        if link.conn().has_pending() {
            let Ok(n) = body.push(link.conn().pending(), &mut out) else { return (out, false) };
            link.conn().used(n);
        } else if more(link, None, until).is_err() {
            return (out, false);
        }
        if out.len() > MOST_BODY {
            return (out, false);
        }
    }
    let good = head.keep_alive && !link.conn().has_pending();
    (out, good)
}

/// Reads the answer to a request that was written whole; tells whether the connection can be used again.
fn answer(shared: &Arc<Shared>, link: &mut Link, job: &Attempt, until: Instant) -> Result<(End, bool), Cut> {
    let head = head(link, Some(job), until)?;
    let told = head.headers.get(report::HEADER).map(str::to_owned);
    match reply::verdict(&head) {
        Verdict::Stream => stream(shared, link, job, &head, told, until),
        Verdict::Read => {
            let (body, good) = body(link, &head, until.min(Instant::now() + SMALL));
            Ok((End::of(Outcome::Read, reply::cached(&body), told), good))
        }
        Verdict::Ended(outcome, note) => {
            tracing::debug!(target: "answer", status = head.status, server = %job.server.0);
            let (_, good) = body(link, &head, until.min(Instant::now() + REST));
            Ok((End::of(outcome, note, told), good))
        }
    }
}

fn stream(
    shared: &Arc<Shared>,
    link: &mut Link,
    job: &Attempt,
    head: &Response,
    told: Option<String>,
    mut until: Instant,
) -> Result<(End, bool), Cut> {
    let (mut stream, mut begun, opened) = (Stream::new(), false, Instant::now());
    let broken = |begun| End { outcome: Outcome::Broken, note: 0, report: None, begun, events: 0 };
    loop {
        let mut events = Vec::new();
        let pushed = stream.push(link.conn().pending(), &mut events);
        if !events.is_empty() {
            if !begun {
                begun = true;
                tracing::debug!(
                    target: "answer", after_head_us = opened.elapsed().as_micros() as u64,
                    trace = %job.channel.parts.trace, "streams",
                );
                shared.submit(Event::Hub(Input::First { id: job.id, attempt: job.attempt }));
            }
            until = Instant::now() + SILENT;
            if !job.channel.send(ResponseEvent::Events(events)) {
                return Ok((End { outcome: Outcome::Cancelled, begun, ..broken(begun) }, false));
            }
        }
        match pushed {
            Ok(n) => link.conn().used(n),
            Err(error) => {
                tracing::debug!(target: "answer", %error, server = %job.server.0, begun, "spoilt");
                return Ok((broken(begun), false));
            }
        }
        if stream.done() {
            if !(begun && stream.whole()) {
                return Ok((broken(begun), false));
            }
            let good = head.keep_alive && !link.conn().has_pending();
            let said = stream.told();
            let report = said.report.or(told);
            let (outcome, note, events) = (Outcome::Served, said.cached, said.events);
            return Ok((End { outcome, note, report, begun, events }, good));
        }
        if job.channel.is_cut() {
            // What the engine has written by now still goes on: a stream that it has finished is whole.
            match link.conn().fill_now() {
                Ok(true) => continue,
                _ => return Ok((End { outcome: Outcome::Cancelled, ..broken(begun) }, false)),
            }
        }
        while !job.channel.has_room() && !job.channel.is_closed() && !job.channel.is_cancelled(job.attempt) {
            link.conn().pause(Some(Instant::now() + CLIENT_WAIT));
            until = Instant::now() + SILENT;
        }
        match more(link, Some(job), until) {
            Ok(()) => {}
            Err(Cut::Cancelled) => {
                return Ok((End { outcome: Outcome::Cancelled, begun, ..broken(begun) }, false));
            }
            Err(cut) if begun => {
                tracing::debug!(target: "answer", ?cut, server = %job.server.0, "stream broke");
                return Ok((broken(begun), false));
            }
            Err(cut) => return Err(cut),
        }
    }
}

/// One small exchange without a body.
fn small(shared: &Shared, dial: SocketAddr, text: &str, time: Duration) -> Result<(Response, Vec<u8>), Cut> {
    let until = Instant::now() + time;
    let mut link = shared.pool.take(dial, time.min(shared.connect), true).map_err(|error| match error {
        NetError::TimedOut => Cut::TimedOut,
        _ => Cut::Broken,
    })?;
    hold_at!("small-connected-{}", text.split(' ').nth(1).unwrap_or_default().replace('/', "-"));
    let conn = link.conn();
    conn.limits = HEAD;
    conn.set_write_timeout(Some(time));
    let written = conn.write(format!("{text}Host: {dial}\r\n\r\n").as_bytes()).map_err(|_| Cut::Broken);
    let head = written.and_then(|()| head(&mut link, None, until));
    link.told(head.as_ref().is_err_and(|cut| *cut == Cut::Broken));
    let head = head?;
    let (body, good) = body(&mut link, &head, until);
    if good {
        link.keep();
    }
    Ok((head, body))
}

pub fn probe(shared: &Arc<Shared>, server: ServerId, dial: SocketAddr) {
    let shared = shared.clone();
    go(move || {
        let (outcome, told) = match small(&shared, dial, "GET /-/load HTTP/1.1\r\n", SMALL) {
            Ok((head, body)) if head.status == 200 => {
                let header = head.headers.get(report::HEADER).map(str::to_owned);
                (Outcome::Served, header.or_else(|| String::from_utf8(body).ok()))
            }
            Ok((head, body)) if head.status == 503 => (Outcome::Error, String::from_utf8(body).ok()),
            Ok(_) => (Outcome::Error, None),
            Err(Cut::TimedOut) => (Outcome::TimedOut, None),
            Err(_) => (Outcome::NoConnection, None),
        };
        tracing::debug!(target: "probe", server = %server.0, ?outcome, ?told);
        shared.submit(Event::Hub(Input::Probed { server, outcome, report: told }));
    });
}

/// Tells an engine to let go of what is held for a request. It was heard when an answer came: what is written to a
/// machine that is cut off reaches nobody.
pub fn release(shared: &Arc<Shared>, job: Release) {
    let shared = shared.clone();
    go(move || {
        let Release { id, trace, holder, round, engine, dial } = job;
        let begun = Instant::now();
        let text = format!("DELETE /kv/leases/{trace} HTTP/1.1\r\n");
        let heard = small(&shared, dial, &text, RELEASE).is_ok();
        let took_ms = begun.elapsed().as_millis() as u64;
        tracing::debug!(target: "release", %trace, holder = %holder.0, engine = %engine.0, heard, took_ms);
        if !heard {
            // Guards against a storm of tries at what refuses at once.
            let left = RELEASE.saturating_sub(begun.elapsed());
            elderstage_net::sleep(left.min(AGAIN));
        }
        shared.submit(Event::Hub(Input::Said { id, holder, round, engine, heard }));
    });
}

/// Least time between two tries of one release.
const AGAIN: Duration = Duration::from_millis(20);
