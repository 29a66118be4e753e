//! The pool of connections to engines and tool servers.
//!
//! This module opens, proves, reuses and closes connections. The decisions (which address to dial, when to prove a
//! connection, which idle one to reuse) are made by `Addresses` of the core. To prove a connection is to check,
//! before a request is sent on it, that the server behind it responds.
//!
//! A race dials the addresses of a server one after the other, each with a delay, and yields at most one connection.
//! Each of its connections is a lane. A trial is a health request to a failing address, apart from any request.
//!
//! Each dial and each proof runs in its own coroutine, since the coroutine of a request waits for several of them
//! at once. They report their results to `Addresses`, which is protected by a mutex. The mutex is held for a few
//! instructions and never during I/O. `Addresses` is not part of the owner's state, because the order of addresses
//! is needed where the connection is made: a round trip to the owner would double the path of each attempt.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

use elderstage::{ServerId, Time};
use elderstage_core::addresses::{
    AddressCounters, Addresses, ConnectionAge, ConnectionLimits, ConnectionNeeds, Proof, Race, RaceFailure,
    RaceStep, RemainingRequest, Trial,
};
use elderstage_net::channel::{Receiver, Sender, channel};
use elderstage_net::owner::Clock;
use elderstage_net::{
    Conn, Endpoint, EndpointPath, NetError, ReceivedResponse, ShutdownHandle, call_at, connect,
    expect_continue_head, receive, send, spawn,
};
use elderstage_protocol::{engine, http};

use crate::slot::{CancelSlot, OperationKey};

/// How often the pool asks the core for trials to start and for connections to close.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Padding of a trial that must be as long as a request: more than two Ethernet packets.
const TRIAL_PADDING_BYTES: usize = 4096;

/// Keeps a connection or a dial counted as open, until dropped.
struct OpenCountGuard {
    pool: Weak<ConnPool>,
    endpoint: Endpoint,
}

impl Drop for OpenCountGuard {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.upgrade() {
            pool.addresses().record_closed(&self.endpoint);
        }
    }
}

/// A connection to a server, with its history in the pool.
pub(crate) struct PooledConn {
    // Declared before the guard: the socket closes before the connection is counted as closed.
    pub conn: Conn,
    pub endpoint: Endpoint,
    life: ConnectionAge,
    /// Whether it was idle in the pool before this request.
    pub reused: bool,
    _guard: OpenCountGuard,
}

impl PooledConn {
    /// The endpoint of this path at the connected server.
    pub fn endpoint_path(&self, path: &str) -> EndpointPath {
        EndpointPath::new(self.endpoint.clone(), path)
    }
}

/// The request that a connection is needed for.
pub(crate) struct ConnectRequest<'a> {
    pub server: &'a ServerId,
    pub needs: ConnectionNeeds,
    /// Path and headers of the request, for a proof that sends its head (`Expect: 100-continue`).
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    /// Length of the request's body.
    pub body_bytes: usize,
    /// Slot and operation through which the request can be cancelled.
    pub slot: Option<(&'a CancelSlot, OperationKey)>,
}

/// Result of asking the pool for a connection.
pub(crate) enum ConnectOutcome {
    /// The connection, and which part of the request is still to be sent on it.
    Connected(Box<PooledConn>, RemainingRequest),
    /// No connection, with the reason.
    Lost(RaceFailure),
    /// The server answered the head of the request with this final status.
    Answered(u16),
    Cancelled,
}

/// Result of a proof.
enum ProofOutcome {
    /// The server is ready for the request (100 to a head, 200 to a health request).
    Proven(Box<PooledConn>),
    /// The server answered 417: it does not support `100-continue`. Holds the connection if it stays open.
    ContinueUnsupported(Option<Box<PooledConn>>),
    /// The server answered with this final status.
    Final(u16),
    /// No usable answer came.
    Failed,
}

/// What the coroutine that runs a race is woken for.
enum RaceEvent {
    /// The lane of a dial, and its connection if the dial succeeded.
    Dialed(usize, Option<Box<PooledConn>>),
    /// The lane and the id of a proof, since a lane may run several, and its result.
    Proved(usize, u32, ProofOutcome),
    /// The time of the race's next step has come.
    TimerFired,
    /// The request was cancelled.
    Cancelled,
}

/// All connections of a front to engines and tool servers.
pub(crate) struct ConnPool {
    addresses: Mutex<Addresses<PooledConn>>,
    /// Sockets of requests that wait for the first byte of their answer, by the wait id that the core gave them.
    waiting: Mutex<HashMap<u64, ShutdownHandle>>,
    clock: Clock,
    via: String,
    connect_timeout_us: Time,
}

impl ConnPool {
    /// An empty pool. `via` is the value of the `Via` header in its own requests.
    pub fn new(
        bounds: ConnectionLimits,
        jitter: f64,
        clock: Clock,
        via: String,
        connect_timeout_us: Time,
    ) -> Arc<ConnPool> {
        let addresses = Mutex::new(Addresses::new(bounds, jitter));
        Arc::new(ConnPool { addresses, waiting: Mutex::default(), clock, via, connect_timeout_us })
    }

    fn addresses(&self) -> std::sync::MutexGuard<'_, Addresses<PooledConn>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on the address state. Connections that the core wants closed are dropped after the lock is
    /// released, since dropping one takes the lock again.
    fn with_addresses<T>(&self, f: impl FnOnce(&mut Addresses<PooledConn>, Time) -> T) -> T {
        let now = self.clock.now();
        let mut addresses = self.addresses();
        let value = f(&mut addresses, now);
        let closing = addresses.take_closing();
        drop(addresses);
        drop(closing);
        value
    }

    /// Replaces the list of servers: their addresses, and whether each is leaving.
    pub fn set_servers(&self, servers: Vec<(ServerId, Vec<Endpoint>, bool)>) {
        self.with_addresses(|addresses, now| addresses.apply_list(now, servers));
    }

    /// Returns the counters, the open and idle connections, the failing addresses and the address families that are
    /// down.
    pub fn counts(&self) -> (AddressCounters, (usize, usize), usize, Vec<String>) {
        self.with_addresses(|addresses, _| {
            let down = addresses.down_families().map(|family| family.to_string()).collect();
            (addresses.counts(), addresses.open_counts(), addresses.book.failing_count(), down)
        })
    }

    /// Wraps a new connection for the pool.
    fn wrap(self: &Arc<Self>, conn: Conn, guard: OpenCountGuard) -> Box<PooledConn> {
        let now = self.clock.now();
        let endpoint = guard.endpoint.clone();
        Box::new(PooledConn { conn, endpoint, life: ConnectionAge::new(now), reused: false, _guard: guard })
    }

    /// A guard that keeps a connection to this address counted as open.
    fn count_open(self: &Arc<Self>, endpoint: &Endpoint) -> OpenCountGuard {
        OpenCountGuard { pool: Arc::downgrade(self), endpoint: endpoint.clone() }
    }

    /// Returns a connection to the pool for reuse. Its last answer must have been read to its end.
    pub fn put_back(&self, mut pooled: PooledConn) {
        pooled.conn.set_deadline(None);
        pooled.conn.set_read_timeout(None);
        let (endpoint, life) = (pooled.endpoint.clone(), pooled.life);
        self.with_addresses(|addresses, now| addresses.return_connection(now, &endpoint, pooled, life));
    }

    /// Records that a request is written on this connection and waits for the first byte of its answer. Returns the
    /// id of the wait.
    pub fn record_sent(&self, server: &ServerId, pooled: &PooledConn, is_repeatable: bool) -> u64 {
        let wait_id = self.with_addresses(|addresses, now| {
            addresses.record_sent(now, server, &pooled.endpoint, is_repeatable)
        });
        self.waiting().insert(wait_id, pooled.conn.socket());
        wait_id
    }

    /// Records that the first byte of the answer has arrived.
    pub fn record_answered(&self, wait_id: u64) {
        self.waiting().remove(&wait_id);
        self.with_addresses(|addresses, now| addresses.record_first_byte(now, wait_id));
    }

    /// Records that the wait ended without a byte. Returns `true` when the pool itself ended it.
    pub fn record_no_answer(&self, wait_id: u64, reused: bool) -> bool {
        let given_up = self.waiting().remove(&wait_id).is_none();
        self.with_addresses(|addresses, now| addresses.record_no_answer(now, wait_id, reused));
        given_up
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<u64, ShutdownHandle>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // ---- Connections for one request ----

    /// Gets a connection for a request, proven if the core asks for that.
    pub fn connect(self: &Arc<Self>, request: &ConnectRequest<'_>) -> ConnectOutcome {
        let mut race =
            self.with_addresses(|addresses, now| addresses.start_race(now, request.server, request.needs));
        let mut runner = RaceRunner {
            pool: self,
            request,
            ready: Vec::new(),
            proving: Vec::new(),
            proofs_started: 0,
            events: None,
        };
        let outcome = runner.run(&mut race);
        for pooled in runner.ready.into_iter().flatten() {
            // Nothing was written on this connection, so it can be reused.
            self.put_back(*pooled);
        }
        match outcome {
            ConnectOutcome::Connected(mut pooled, rest) => {
                pooled.life.uses += 1;
                ConnectOutcome::Connected(pooled, rest)
            }
            other => other,
        }
    }

    /// Sends one request that may be repeated and reads its whole answer, all within `timeout`.
    pub fn exchange(
        self: &Arc<Self>,
        server: &ServerId,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let deadline = Instant::now() + timeout;
        let time = timeout.as_micros() as Time;
        // An address that is not proven at present is proven by a health request. Every server that `exchange` is
        // used with serves that path.
        let needs = ConnectionNeeds {
            must_not_repeat: false,
            proof: Proof::Health,
            connect_limit: self.connect_timeout_us,
            attempt_limit: time,
        };
        let request = ConnectRequest { server, needs, path, headers, body_bytes: body.len(), slot: None };
        let ConnectOutcome::Connected(mut pooled, _) = self.connect(&request) else {
            return Err(ExchangeError::NotConnected);
        };
        pooled.conn.set_write_timeout(Some(deadline.saturating_duration_since(Instant::now())));
        pooled.conn.set_deadline(Some(deadline));
        let endpoint_path = pooled.endpoint_path(path);
        let wait_id = self.record_sent(server, &pooled, true);
        let answer = send(&mut pooled.conn, method, &endpoint_path, headers, body)
            .and_then(|()| receive(&mut pooled.conn));
        match answer {
            Ok(answer) => {
                self.record_answered(wait_id);
                if answer.head.keep_alive {
                    self.put_back(*pooled);
                }
                Ok(answer)
            }
            Err(error) => {
                self.record_no_answer(wait_id, pooled.reused);
                Err(ExchangeError::Net(error))
            }
        }
    }

    // ---- Periodic maintenance ----

    /// Starts trials of failing addresses, ends waits and closes connections, until `keeps_running` is false.
    pub fn run_maintenance(self: &Arc<Self>, keeps_running: &std::sync::atomic::AtomicBool) {
        while keeps_running.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(MAINTENANCE_INTERVAL);
            let due =
                self.with_addresses(|addresses, now| addresses.run_maintenance(now, self.connect_timeout_us));
            for wait_id in due.give_up {
                // Removed before the shutdown: the waiting coroutine recognizes by this that the pool ended its
                // wait.
                if let Some(socket) = self.waiting().remove(&wait_id) {
                    socket.shutdown();
                }
            }
            for (family, down) in due.families {
                if down {
                    tracing::warn!(target: "addresses", %family, "address family is unreachable on several servers; its addresses are tried last");
                } else {
                    tracing::info!(target: "addresses", %family, "address family is reachable again");
                }
            }
            for trial in due.trials {
                let pool = self.clone();
                spawn(move || pool.run_trial(&trial));
            }
        }
    }

    /// Tries a failing address by a health request, and reports the result to the core.
    fn run_trial(self: &Arc<Self>, trial: &Trial) {
        let started_at = self.clock.now();
        let guard = self.count_open(&trial.endpoint);
        let timeout = Duration::from_micros(trial.time_limit);
        let result = connect(trial.endpoint.clone(), timeout).and_then(|conn| {
            let mut pooled = self.wrap(conn, guard);
            let padding = if trial.is_padded { "x".repeat(TRIAL_PADDING_BYTES) } else { String::new() };
            let answer = self.request_health(&mut pooled, timeout, &[("x-padding", padding.as_str())])?;
            Ok((pooled, answer))
        });
        self.with_addresses(|addresses, now| addresses.record_trial(now, trial, started_at, result.is_ok()));
        match result {
            Ok((pooled, answer)) => {
                tracing::info!(target: "addresses", server = %trial.server.0, place = %trial.endpoint, "address answers again");
                if answer.head.keep_alive {
                    self.put_back(*pooled);
                }
            }
            Err(error) => {
                tracing::debug!(target: "addresses", server = %trial.server.0, place = %trial.endpoint, %error, "trial of a failing address failed");
            }
        }
    }

    /// Sends a health request with these extra headers and reads its answer.
    fn request_health(
        &self,
        pooled: &mut PooledConn,
        timeout: Duration,
        extra_headers: &[(&str, &str)],
    ) -> Result<ReceivedResponse, NetError> {
        pooled.conn.set_write_timeout(Some(timeout));
        pooled.conn.set_deadline(Some(Instant::now() + timeout));
        let endpoint_path = pooled.endpoint_path(engine::HEALTH_PATH);
        let mut headers = vec![("via", self.via.as_str())];
        headers.extend_from_slice(extra_headers);
        send(&mut pooled.conn, "GET", &endpoint_path, &headers, b"")?;
        receive(&mut pooled.conn)
    }
}

/// Why an exchange returned no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    #[error("no connection")]
    NotConnected,
    #[error("{0}")]
    Net(NetError),
}

/// Carries out the steps that the core's race for a connection decides.
struct RaceRunner<'a> {
    pool: &'a Arc<ConnPool>,
    request: &'a ConnectRequest<'a>,
    /// Connections ready to use, by lane.
    ready: Vec<Option<Box<PooledConn>>>,
    /// Id of the running proof and the socket it uses, by lane.
    proving: Vec<Option<(u32, ShutdownHandle)>>,
    proofs_started: u32,
    events: Option<(Sender<RaceEvent>, Receiver<RaceEvent>)>,
}

/// The entry of a lane; the list grows as needed.
fn lane_entry<T>(list: &mut Vec<Option<T>>, lane: usize) -> &mut Option<T> {
    if list.len() <= lane {
        list.resize_with(lane + 1, || None);
    }
    &mut list[lane]
}

impl RaceRunner<'_> {
    /// A sender of events. The channel is created on first use: a request that takes an idle connection needs none.
    fn event_sender(&mut self) -> Sender<RaceEvent> {
        let (sender, _) = self.events.get_or_insert_with(channel);
        sender.clone()
    }

    /// Runs the race to its end.
    fn run(&mut self, race: &mut Race) -> ConnectOutcome {
        loop {
            let (step, now) = self.pool.with_addresses(|addresses, now| (addresses.poll(now, race), now));
            match step {
                RaceStep::Reuse(lane, (mut pooled, life)) => {
                    if pooled.conn.is_idle() {
                        (pooled.life, pooled.reused) = (life, true);
                        *lane_entry(&mut self.ready, lane) = Some(Box::new(pooled));
                    } else {
                        drop(pooled);
                        self.pool.with_addresses(|addresses, _| addresses.record_stale(race, lane));
                    }
                }
                RaceStep::Dial(lane, until) => self.dial(race, lane, until.saturating_sub(now)),
                RaceStep::Prove(lane, proof) => self.prove(race, lane, proof, now),
                RaceStep::Drop(lane) => {
                    if let Some((_, socket)) = lane_entry(&mut self.proving, lane).take() {
                        socket.shutdown();
                    }
                }
                RaceStep::Send(lane, rest) => {
                    return match lane_entry(&mut self.ready, lane).take() {
                        Some(pooled) => ConnectOutcome::Connected(pooled, rest),
                        None => ConnectOutcome::Lost(RaceFailure::NotConnected),
                    };
                }
                RaceStep::Lost(lost) => {
                    self.abort_proofs();
                    return ConnectOutcome::Lost(lost);
                }
                RaceStep::Wait(until) => {
                    if let Some(outcome) = self.wait_for_event(race, until.saturating_sub(now)) {
                        self.abort_proofs();
                        return outcome;
                    }
                }
            }
        }
    }

    /// Aborts the running proofs by shutting down their sockets.
    fn abort_proofs(&mut self) {
        for (_, socket) in self.proving.drain(..).flatten() {
            socket.shutdown();
        }
    }

    /// Starts a dial in a coroutine of its own.
    fn dial(&mut self, race: &Race, lane: usize, timeout_us: Time) {
        let (pool, sender) = (self.pool.clone(), self.event_sender());
        let endpoint = race.endpoint(lane).clone();
        let guard = pool.count_open(&endpoint);
        spawn(move || {
            let started_at = pool.clock.now();
            let dialed = connect(endpoint.clone(), Duration::from_micros(timeout_us));
            pool.with_addresses(|addresses, now| {
                addresses.record_dial(now, &endpoint, started_at, dialed.is_ok())
            });
            let pooled = match dialed {
                Ok(conn) => Some(pool.wrap(conn, guard)),
                Err(error) => {
                    tracing::debug!(target: "addresses", place = %endpoint, %error, "dial failed");
                    None
                }
            };
            if let Err(undelivered) = sender.send(RaceEvent::Dialed(lane, pooled))
                && let RaceEvent::Dialed(_, Some(pooled)) = undelivered.0
            {
                // The race is over: the connection goes to the pool for the next request.
                pool.put_back(*pooled);
            }
        });
    }

    /// Starts a proof of the lane's connection in a coroutine of its own.
    fn prove(&mut self, race: &Race, lane: usize, proof: Proof, now: Time) {
        let Some(mut pooled) = lane_entry(&mut self.ready, lane).take() else { return };
        self.proofs_started += 1;
        let (proof_id, sender, pool) = (self.proofs_started, self.event_sender(), self.pool.clone());
        *lane_entry(&mut self.proving, lane) = Some((proof_id, pooled.conn.socket()));
        let timeout = Duration::from_micros(race.ends_at().saturating_sub(now));
        let head = match proof {
            Proof::Continue => {
                let endpoint_path = pooled.endpoint_path(self.request.path);
                Some(expect_continue_head(
                    "POST",
                    &endpoint_path,
                    self.request.headers,
                    self.request.body_bytes,
                ))
            }
            _ => None,
        };
        spawn(move || {
            pooled.conn.set_write_timeout(Some(timeout));
            pooled.conn.set_deadline(Some(Instant::now() + timeout));
            let proof_outcome = match head {
                Some(head) => prove_by_head(pooled, &head),
                None => match pool.request_health(&mut pooled, timeout, &[]) {
                    Ok(answer) if answer.head.status == 200 && answer.head.keep_alive => {
                        ProofOutcome::Proven(pooled)
                    }
                    // The server is healthy but closes the connection, so the request cannot be sent on it.
                    Ok(answer) if answer.head.status == 200 => ProofOutcome::Failed,
                    Ok(answer) => ProofOutcome::Final(answer.head.status),
                    Err(_) => ProofOutcome::Failed,
                },
            };
            // The race may have ended with another connection.
            let _ = sender.send(RaceEvent::Proved(lane, proof_id, proof_outcome));
        });
    }

    /// Waits for the next event and applies it. Returns the result if the event ends the race.
    fn wait_for_event(&mut self, race: &mut Race, timeout_us: Time) -> Option<ConnectOutcome> {
        let sender = self.event_sender();
        let timer_sender = sender.clone();
        call_at(Instant::now() + Duration::from_micros(timeout_us), move || {
            let _ = timer_sender.send(RaceEvent::TimerFired);
        });
        if let Some((slot, key)) = self.request.slot
            && !slot.set_connecting(key, move || {
                let _ = sender.send(RaceEvent::Cancelled);
            })
        {
            return Some(ConnectOutcome::Cancelled);
        }
        let (_, events) = self.events.as_ref()?;
        match events.recv() {
            Ok(RaceEvent::Dialed(lane, Some(pooled))) => {
                if race.record_connected(lane) {
                    *lane_entry(&mut self.ready, lane) = Some(pooled);
                } else {
                    self.pool.put_back(*pooled);
                }
            }
            Ok(RaceEvent::Dialed(lane, None)) => {
                race.record_failure(lane);
            }
            Ok(RaceEvent::Proved(lane, proof_id, proof_outcome)) => {
                // A late result of an aborted proof must not count as the result of the lane's next proof.
                if lane_entry(&mut self.proving, lane)
                    .as_ref()
                    .is_none_or(|(current, _)| *current != proof_id)
                {
                    return None;
                }
                *lane_entry(&mut self.proving, lane) = None;
                return self.apply_proof(race, lane, proof_outcome);
            }
            Ok(RaceEvent::TimerFired) => {}
            Ok(RaceEvent::Cancelled) | Err(_) => return Some(ConnectOutcome::Cancelled),
        }
        None
    }

    /// Applies the result of a proof. Returns the result of the race if that ends it.
    fn apply_proof(
        &mut self,
        race: &mut Race,
        lane: usize,
        proof_outcome: ProofOutcome,
    ) -> Option<ConnectOutcome> {
        match proof_outcome {
            ProofOutcome::Proven(pooled) => {
                if self.pool.with_addresses(|addresses, now| addresses.record_proof(now, race, lane)) {
                    *lane_entry(&mut self.ready, lane) = Some(pooled);
                }
            }
            ProofOutcome::ContinueUnsupported(pooled) => {
                self.pool.with_addresses(|addresses, now| {
                    addresses.record_expectation_failed(now, race, lane, pooled.is_some())
                });
                *lane_entry(&mut self.ready, lane) = pooled;
            }
            ProofOutcome::Final(status) => {
                self.pool.with_addresses(|addresses, now| {
                    addresses.record_other_answer(now, &race.endpoint(lane).clone())
                });
                return Some(ConnectOutcome::Answered(status));
            }
            ProofOutcome::Failed => {
                self.pool.with_addresses(|addresses, now| addresses.record_proof_failure(now, race, lane))
            }
        }
        None
    }
}

/// Proves a connection by the head of the request: writes it and reads the interim or final answer.
fn prove_by_head(mut pooled: Box<PooledConn>, head: &[u8]) -> ProofOutcome {
    let received = pooled.conn.write(head).and_then(|()| pooled.conn.receive_continue());
    let response: http::Response = match received {
        Ok(None) => return ProofOutcome::Proven(pooled),
        Ok(Some(response)) => response,
        Err(_) => return ProofOutcome::Failed,
    };
    if response.status != 417 {
        return ProofOutcome::Final(response.status);
    }
    let stays_open = response.keep_alive && pooled.conn.receive_body(response.framing).is_ok();
    ProofOutcome::ContinueUnsupported(stays_open.then_some(pooled))
}
