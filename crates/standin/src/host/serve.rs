//! One connection to an engine: its requests in their order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use elderstage_net::channel::{Receiver, channel};
use elderstage_net::{Conn, Endpoint, NetError, exchange, sleep};
use elderstage_protocol::{engine, http, orca, sse};
use serde_json::{Value, json};

use super::door::{DoorFault, SLOW};
use super::machine::{Ask, News};
use super::{Faults, Shared, lock};
use crate::model::{Job, JobId, Load, RejectReason, Task, block_hashes};
use crate::script;
use crate::traffic::Seen;

/// A connection without a request is closed after this time.
const IDLE: Duration = Duration::from_secs(120);
/// How often a waiting connection looks whether its peer is still there.
const LOOK: Duration = Duration::from_millis(100);
/// How often a connection that is held by a fault looks whether that is over.
const HOLD: Duration = Duration::from_millis(20);
/// Tokens of a stream before it stands still by a fault.
const STALL_AFTER: u64 = 2;
/// Longest wait for another engine's answer about a state.
const CLAIM: Duration = Duration::from_secs(5);
/// A front that takes no bytes for so long has left.
const STALL: Duration = Duration::from_secs(30);
/// Path by which engines hand states to each other; the front never uses it.
const CLAIM_PATH: &str = "/internal/kv/claim";
const TAKEN_PATH: &str = "/internal/kv/taken";

/// A request's way to its end: the connection can go on, or is over.
enum Next {
    Go,
    Close,
}

/// Reads nothing and says nothing until the peer leaves or the door's fault is over.
fn hold(shared: &Shared, conn: &Conn, door: usize, fault: DoorFault) {
    while !conn.is_closed() && lock(&shared.doors[door]).fault() == fault {
        sleep(HOLD);
    }
    conn.socket().shut();
}

pub(crate) fn connection(shared: &Arc<Shared>, mut conn: Conn, door: usize, busy: &AtomicBool) {
    let fault = lock(&shared.doors[door]).fault();
    match fault {
        DoorFault::Closes => return conn.socket().shut(),
        DoorFault::Slow => sleep(SLOW),
        _ => {}
    }
    let faults = lock(&shared.faults).clone();
    if faults.table_full {
        conn.socket().shut();
        return;
    }
    if !faults.handshake.is_zero() {
        sleep(faults.handshake);
    }
    conn.set_write_timeout(Some(STALL));
    loop {
        conn.set_read_timeout(Some(IDLE));
        let head = match conn.request() {
            Ok(head) => head,
            Err(NetError::Http(error)) => {
                let _ = answer(
                    &mut conn,
                    error.status(),
                    &[],
                    &engine::error_body("bad_request", &error.to_string()),
                );
                return;
            }
            Err(_) => return,
        };
        let fault = lock(&shared.doors[door]).fault();
        let waits = head.headers.get("expect").is_some();
        match fault {
            DoorFault::Unexpected if waits => {
                if answer(&mut conn, 417, &[], b"").is_err() {
                    return;
                }
                continue;
            }
            DoorFault::Stalls | DoorFault::Silent => {
                // A body that was sent is noted as received: the rules judge what was sent.
                let sent = head.target == engine::COMPLETIONS && !waits;
                let body = if sent { conn.body(head.framing).ok() } else { None };
                let rid = body.map(|body| shared.see_order(&head, &body));
                hold(shared, &conn, door, fault);
                if let Some(rid) = rid {
                    shared.log.see(&shared.options.name, Seen::Answered { rid, how: "stalled".into() });
                }
                return;
            }
            DoorFault::ClosesOnRequest => return conn.socket().shut(),
            _ => {}
        }
        if conn.take_body(&head).is_err() {
            return;
        }
        let Ok(body) = conn.body(head.framing) else { return };
        let completes = head.target == engine::COMPLETIONS;
        if fault == DoorFault::StallsAfterContinue && completes {
            // Noted as received: the body was sent, and the rules judge what was sent.
            let rid = shared.see_order(&head, &body);
            hold(shared, &conn, door, fault);
            shared.log.see(&shared.options.name, Seen::Answered { rid, how: "stalled".into() });
            return;
        }
        if fault == DoorFault::StallsAfterHead && completes {
            let rid = shared.see_order(&head, &body);
            let mut out = Vec::new();
            http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
            let _ = conn.write(&out);
            hold(shared, &conn, door, fault);
            shared.log.see(&shared.options.name, Seen::Answered { rid, how: "stalled".into() });
            return;
        }
        let keep = head.keep_alive;
        let broken = fault == DoorFault::StallsInBody && completes;
        let request = Request { head: &head, body: &body, stalls: broken.then_some(door) };
        busy.store(true, Ordering::SeqCst);
        let done = request_on(shared, &mut conn, &request);
        busy.store(false, Ordering::SeqCst);
        match done {
            Ok(Next::Go) if keep => {}
            _ => {
                conn.socket().shut();
                return;
            }
        }
    }
}

fn answer(conn: &mut Conn, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Result<(), NetError> {
    let mut out = Vec::with_capacity(256 + body.len());
    http::write_response(status, headers, body, true, &mut out);
    conn.write(&out)
}

/// Name and zone of the front that asks, from `Via: 1.1 name (zone)`.
fn via(head: &http::Request) -> (String, String) {
    let via = head.headers.get("via").unwrap_or_default();
    let mut words = via.split_whitespace().skip(1);
    let name = words.next().unwrap_or("?").to_owned();
    let zone = words.next().unwrap_or_default().trim_matches(|c| c == '(' || c == ')').to_owned();
    (name, zone)
}

/// One request, and whether its stream is to stand still, by the door that it came in by.
struct Request<'a> {
    head: &'a http::Request,
    body: &'a [u8],
    stalls: Option<usize>,
}

fn request_on(shared: &Arc<Shared>, conn: &mut Conn, request: &Request<'_>) -> Result<Next, NetError> {
    let Request { head, body, .. } = *request;
    let faults = lock(&shared.faults).clone();
    let (front, zone) = via(head);
    if faults.cut.contains(&zone) {
        // Nothing passes between the zones: the peer hears nothing and gives up by itself. What it sent is
        // noted all the same, since the rules judge what was sent.
        let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
        match head.target.as_str() {
            engine::COMPLETIONS => drop(shared.see_order(head, body)),
            engine::ABORT => shared.see_release(body),
            _ => {}
        }
        while conn.is_idle() {
            sleep(LOOK);
        }
        if head.target == engine::COMPLETIONS {
            shared.log.see(&shared.options.name, Seen::Answered { rid, how: "cut".into() });
        }
        return Ok(Next::Close);
    }
    let json = [("content-type", "application/json")];
    match (head.method.as_str(), head.target.as_str()) {
        ("GET", engine::HEALTH) => {
            let report = report(shared, &faults);
            let headers = [(orca::HEADER, report.as_str())];
            answer(conn, 200, &headers, b"")?;
        }
        ("POST", engine::COMPLETIONS) => {
            return completion(shared, conn, request, &front, &faults);
        }
        ("POST", engine::ABORT | CLAIM_PATH | TAKEN_PATH) => {
            let asked: Value = serde_json::from_slice(body).unwrap_or_default();
            let Some(rid) = asked.get("rid").and_then(Value::as_str).map(str::to_owned) else {
                answer(conn, 400, &json, &engine::error_body("bad_request", "expected a rid"))?;
                return Ok(Next::Go);
            };
            let (status, said) = match head.target.as_str() {
                engine::ABORT => {
                    shared.see_release(body);
                    let (done, heard) = channel();
                    shared.inbox.send(Ask::Release { rid, done });
                    (200, json!({"success": heard.recv().unwrap_or(false)}))
                }
                CLAIM_PATH => {
                    let (done, heard) = channel();
                    shared.inbox.send(Ask::Claim { rid, done });
                    match heard.recv().unwrap_or(None) {
                        Some(tokens) => (200, json!({"tokens": tokens})),
                        None => (404, json!({})),
                    }
                }
                _ => {
                    let (done, heard) = channel();
                    shared.inbox.send(Ask::Taken { rid, done });
                    (if heard.recv().unwrap_or(false) { 200 } else { 404 }, json!({}))
                }
            };
            answer(conn, status, &json, said.to_string().as_bytes())?;
        }
        (_, engine::HEALTH | engine::COMPLETIONS | engine::ABORT) => {
            answer(conn, 405, &json, &engine::error_body("method_not_allowed", "wrong method"))?;
        }
        _ => answer(conn, 404, &json, &engine::error_body("not_found", "no such path"))?,
    }
    Ok(Next::Go)
}

fn cut_task(body: &[u8]) -> &'static str {
    let asked: Option<engine::Asked> = serde_json::from_slice(body).ok();
    let reads =
        asked.and_then(|asked| asked.kv_transfer_params).is_some_and(|params| params.do_remote_decode);
    if reads { "read" } else { "write" }
}

fn report(shared: &Shared, faults: &Faults) -> String {
    if !faults.frozen {
        let (done, heard) = channel();
        shared.inbox.send(Ask::Load { done });
        if let Ok((load, _)) = heard.recv() {
            *lock(&shared.report) = to_report(&load, *lock(&shared.started));
        }
    }
    orca::format(&lock(&shared.report))
}

fn to_report(load: &Load, started: f64) -> orca::Report {
    let named = [
        (orca::RUNNING, load.running as f64),
        (orca::WAITING, load.waiting as f64),
        (orca::KV_USAGE, load.kv_usage),
        (orca::PENDING_TOKENS, load.pending_tokens as f64),
        (orca::LATENCY_MS, load.recent_latency as f64 / 1e3),
        (orca::STARTED, started),
    ];
    orca::Report {
        application_utilization: load.slot_usage,
        named_metrics: named.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(),
    }
}

fn completion(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    request: &Request<'_>,
    front: &str,
    faults: &Faults,
) -> Result<Next, NetError> {
    let Request { head, body, stalls } = *request;
    let json = [("content-type", "application/json")];
    let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
    let asked: engine::Asked = match serde_json::from_slice(body) {
        Ok(asked) => asked,
        Err(error) => {
            answer(conn, 400, &json, &engine::error_body("bad_request", &error.to_string()))?;
            return Ok(Next::Go);
        }
    };
    let params = asked.kv_transfer_params.clone().unwrap_or_default();
    let task = match (params.do_remote_decode, params.do_remote_prefill) {
        (true, _) => Task::Read,
        (false, true) => Task::Write,
        _ => Task::ReadAndWrite,
    };
    let text = script::prompt_text(&asked);
    let (prompt, turn) = (script::tokens(&text), script::turn(&asked));
    let work = shared
        .options
        .spec
        .work(if task == Task::Write { 0 } else { prompt }, if task == Task::Read { 0 } else { turn.tokens });
    let name = &shared.options.name;
    let task_name = match task {
        Task::Read => "read",
        Task::Write => "write",
        Task::ReadAndWrite => "whole",
    };
    shared.log.see(
        name,
        Seen::Received {
            rid: rid.clone(),
            front: front.into(),
            class: asked.model.clone(),
            task: task_name.into(),
            work,
        },
    );
    let said = |how: &str| shared.log.see(name, Seen::Answered { rid: rid.clone(), how: how.into() });
    if faults.full {
        said("full");
        answer(conn, 429, &json, &engine::error_body("rate_limit", "too many requests"))?;
        return Ok(Next::Go);
    }
    let id = JobId(shared.next.fetch_add(1, Ordering::Relaxed));
    let (news, heard) = channel();
    let block_hashes = block_hashes(text.as_bytes());
    let job = Job {
        id,
        task,
        class: asked.model.clone(),
        block_hashes,
        prompt_tokens: prompt,
        answer_tokens: turn.tokens,
    };
    shared.inbox.send(Ask::Start { job, rid: rid.clone(), news });
    let mut work = Work { shared, conn, heard, id, rid: &rid, asked: &asked, turn: &turn, prompt, stalls };
    let (how, next) = work.follow(&params, faults);
    said(how);
    if !matches!(next, Ok(Next::Go)) {
        shared.inbox.send(Ask::Cancel { id });
    }
    next
}

/// A job under way, and the connection that waits for it.
struct Work<'a> {
    shared: &'a Arc<Shared>,
    conn: &'a mut Conn,
    heard: Receiver<News>,
    id: JobId,
    rid: &'a str,
    asked: &'a engine::Asked,
    turn: &'a script::Turn,
    prompt: u64,
    /// The stream stands still, by the fault of this door.
    stalls: Option<usize>,
}

impl Work<'_> {
    /// The next news; `None` when the peer has left or the engine has died.
    fn news(&mut self) -> Option<News> {
        loop {
            match self.heard.recv_timeout(LOOK) {
                Ok(news) => return Some(news),
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return None,
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) if self.conn.is_idle() => {}
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => return None,
            }
        }
    }

    fn reject(&mut self, why: RejectReason) -> (&'static str, Result<Next, NetError>) {
        let (how, status, code) = match why {
            RejectReason::Full => ("full", 429, "rate_limit"),
            RejectReason::WrongRole => ("wrong-role", 400, "wrong_role"),
            RejectReason::NoState => ("no-state", 424, engine::NO_STATE),
            RejectReason::Down => ("down", 500, "engine_dead"),
        };
        let json = [("content-type", "application/json")];
        let sent = answer(self.conn, status, &json, &engine::error_body(code, how));
        (how, sent.map(|()| Next::Go))
    }

    fn usage(&self, written: u64, cached: u64) -> engine::Usage {
        engine::Usage { prompt: self.prompt, completion: written, cached }
    }

    fn follow(
        &mut self,
        params: &engine::KvParams,
        faults: &Faults,
    ) -> (&'static str, Result<Next, NetError>) {
        loop {
            match self.news() {
                None => return ("left", Ok(Next::Close)),
                Some(News::Rejected(why)) => return self.reject(why),
                Some(News::Fetch) => {
                    let ok = fetch(self.shared, params);
                    self.shared.inbox.send(Ask::Fetched { id: self.id, ok });
                }
                Some(News::Read { cached_tokens }) => return ("read", self.read(cached_tokens)),
                Some(News::Token(index)) => return self.stream(index, faults),
                Some(News::Done { .. }) => return ("error", Ok(Next::Close)),
            }
        }
    }

    fn read(&mut self, cached: u64) -> Result<Next, NetError> {
        let kv = engine::KvParams {
            do_remote_prefill: true,
            remote_engine_id: Some(format!(
                "{}.{}.{}",
                self.shared.options.zone, self.shared.options.cell, self.shared.options.name
            )),
            remote_block_ids: Some(Vec::new()),
            remote_host: Some(self.shared.addr.ip().to_string()),
            remote_port: Some(self.shared.addr.port()),
            remote_request_id: Some(self.rid.to_owned()),
            ..engine::KvParams::default()
        };
        let body = engine::read_body(&self.asked.model, self.usage(1, cached), &kv);
        // Read first: a lock must not be held while the report is waited for.
        let faults = lock(&self.shared.faults).clone();
        let report = report(self.shared, &faults);
        let headers = [("content-type", "application/json"), (orca::HEADER, report.as_str())];
        answer(self.conn, 200, &headers, &body)?;
        Ok(Next::Go)
    }

    /// Streams the answer from its first token on.
    fn stream(&mut self, first: u64, faults: &Faults) -> (&'static str, Result<Next, NetError>) {
        let breaks = {
            let mut faults = lock(&self.shared.faults);
            let breaks = faults.break_next > 0;
            faults.break_next = faults.break_next.saturating_sub(1);
            breaks.then_some(faults.break_after)
        };
        let report = report(self.shared, faults);
        let (mut out, mut event) = (Vec::with_capacity(1024), Vec::with_capacity(256));
        let headers = [
            ("content-type", "text/event-stream"),
            (orca::HEADER, report.as_str()),
            ("cache-control", "no-store"),
        ];
        http::write_stream_head(200, &headers, &mut out);
        let mut news = Some(News::Token(first));
        loop {
            match news {
                Some(News::Token(index)) => {
                    if let Some(door) = self.stalls.filter(|_| index == STALL_AFTER) {
                        let _ = self.conn.write(&out);
                        hold(self.shared, self.conn, door, DoorFault::StallsInBody);
                        return ("stalled", Ok(Next::Close));
                    }
                    if breaks == Some(index) {
                        let _ = self.conn.write(&out);
                        return ("broken", Ok(Next::Close));
                    }
                    event.clear();
                    let data = engine::text_chunk(&self.asked.model, &self.turn.token(index));
                    sse::write(None, &data, &mut event);
                    http::write_chunk(&event, &mut out);
                }
                Some(News::Done { cached_tokens }) => {
                    self.last(cached_tokens, &mut out);
                    return match self.conn.write(&out) {
                        Ok(()) => ("served", Ok(Next::Go)),
                        Err(error) => ("left", Err(error)),
                    };
                }
                Some(_) => {}
                None => {
                    let _ = self.conn.write(&out);
                    return ("left", Ok(Next::Close));
                }
            }
            // What is there already goes out in one write.
            news = match self.heard.try_recv() {
                Ok(news) => Some(news),
                Err(_) => {
                    if let Err(error) = self.conn.write(&out) {
                        return ("left", Err(error));
                    }
                    out.clear();
                    self.news()
                }
            };
        }
    }

    fn last(&self, cached: u64, out: &mut Vec<u8>) {
        let mut event = Vec::new();
        let finish = match &self.turn.call {
            None => engine::Finish::Stop,
            Some((name, arguments)) => {
                let function = engine::Function { name: name.clone(), arguments: arguments.clone() };
                let call =
                    engine::ToolCall { id: format!("call-{}", self.id.0), kind: "function".into(), function };
                sse::write(None, &engine::call_chunk(&self.asked.model, &call), &mut event);
                engine::Finish::ToolCalls
            }
        };
        let usage = self.usage(self.turn.tokens, cached);
        sse::write(None, &engine::end_chunk(&self.asked.model, finish, usage), &mut event);
        sse::write(None, engine::DONE, &mut event);
        http::write_chunk(&event, out);
        out.extend_from_slice(http::LAST_CHUNK);
    }
}

/// Fetches a state from its reader; takes the time that the link takes.
fn fetch(shared: &Shared, params: &engine::KvParams) -> bool {
    let (Some(host), Some(port), Some(rid)) =
        (&params.remote_host, params.remote_port, &params.remote_request_id)
    else {
        return false;
    };
    let Ok(addr) = format!("{host}:{port}").parse::<SocketAddr>() else { return false };
    let via = format!("1.1 {} ({})", shared.options.name, shared.options.zone);
    let ask = |path: &str| {
        let to = Endpoint::new(addr, path);
        exchange("POST", &to, &[("via", &via)], json!({"rid": rid}).to_string().as_bytes(), CLAIM)
    };
    let Ok(claimed) = ask(CLAIM_PATH) else { return false };
    let said: Value = serde_json::from_slice(&claimed.body).unwrap_or_default();
    let Some(tokens) = said.get("tokens").and_then(Value::as_f64).filter(|_| claimed.head.status == 200)
    else {
        return false;
    };
    let slow = lock(&shared.faults).slow_links.max(1.0);
    let rate = shared.link_rate(params.remote_engine_id.as_deref().unwrap_or_default());
    sleep(Duration::from_secs_f64(tokens / rate.max(1.0) * slow));
    ask(TAKEN_PATH).is_ok_and(|answer| answer.head.status == 200)
}

impl Shared {
    /// Notes an order that was received and goes nowhere.
    fn see_order(&self, head: &http::Request, body: &[u8]) -> String {
        let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
        let (front, _) = via(head);
        let (class, task) = ("?".into(), cut_task(body).into());
        self.log.see(&self.options.name, Seen::Received { rid: rid.clone(), front, class, task, work: 0.0 });
        rid
    }

    fn see_release(&self, body: &[u8]) {
        let asked: Value = serde_json::from_slice(body).unwrap_or_default();
        if let Some(rid) = asked.get("rid").and_then(Value::as_str) {
            self.log.see(&self.options.name, Seen::ReleaseAsked { rid: rid.to_owned() });
        }
    }

    /// Tokens a second from the engine of this name: by the place in its name, `zone.cell.name`.
    fn link_rate(&self, from: &str) -> f64 {
        let [near, cell, zone] = self.options.links;
        let mut place = from.split('.');
        let same_zone = place.next() == Some(self.options.zone.as_str());
        let same_cell = place.next() == Some(self.options.cell.to_string().as_str());
        match (same_zone, same_cell) {
            (true, true) => near,
            (true, false) => cell,
            (false, _) => zone,
        }
    }
}
