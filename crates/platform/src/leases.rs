//! Tracks which engines may hold KV state for which requests, and the releases of that state.
//!
//! A reader that has read a prompt holds its KV state until a writer fetches it or a release reaches an engine. The
//! router decides when to release; this module tracks where state is held and retries a release until an engine
//! has acknowledged it, because the time limit on held state keeps running while connections fail. A release names the
//! request's id only, and every engine accepts it. The caller owns the sockets and the timers.
//!
//! An attempt that fetches state may never arrive, and nothing reports that: a request that was written has not
//! necessarily arrived. So releases are sent while such an attempt is in flight. An engine keeps state that an attempt
//! waits for, so a release that it acknowledged meanwhile may have had no effect: the state counts as held until the
//! attempt has ended and is then released again.
//!
//! The first call goes to the holder alone, and is the only one in the normal case. A release that is not acknowledged
//! within [`wave_interval`], or that starts late, goes to one engine of every zone at once (see `reach.rs`): calling
//! one engine after the other took 0.12 s each, while a partitioned zone left two of three engines silent.

use std::collections::BTreeMap;

use elderstage::{RequestId, ServerId, Time};

/// Waves after which a release is abandoned: no engine has been reached for seconds by then.
const MAX_WAVES: u32 = 24;
/// Waves that are sent on a timer, while earlier calls are unanswered. Later waves wait until all calls have ended. With
/// four zones a release costs at most 17 calls within the time limit on held state, and about 17 a second after it.
const TIMED_WAVES: u32 = 5;
/// Longest time between two timed waves, in microseconds. A call that succeeds takes a few milliseconds, on a new
/// connection some tens.
const MAX_WAVE_INTERVAL: Time = 60_000;
/// Shortest time between two timed waves, in microseconds.
const MIN_WAVE_INTERVAL: Time = 5_000;
/// Age after which a release is not retried, in microseconds: the engines' own limits have taken effect by then.
const MAX_RELEASE_AGE: Time = 10_000_000;

/// Time between two waves of a release: all timed waves fit into the time that the settings give for a release.
pub fn wave_interval(release_time_limit: Time) -> Time {
    (release_time_limit / Time::from(TIMED_WAVES)).clamp(MIN_WAVE_INTERVAL, MAX_WAVE_INTERVAL)
}

/// The KV state that may be held for one request.
#[derive(Debug)]
struct Lease {
    trace: Box<str>,
    holders: Vec<Holder>,
    /// An attempt that fetches KV state is in flight.
    is_fetching: bool,
    /// Counts the releases, so that the result of an earlier one is not attributed to a later one.
    round: u32,
}

/// A server that may hold KV state of a request.
#[derive(Debug)]
struct Holder {
    server: ServerId,
    /// Since when it may hold state that no attempt is fetching.
    unclaimed_since: Time,
    pending_release: Option<PendingRelease>,
}

/// A release that no engine has acknowledged yet.
#[derive(Debug, Default)]
struct PendingRelease {
    round: u32,
    started_at: Time,
    waves_sent: u32,
    /// Calls that have not ended.
    calls_in_flight: u32,
    calls_by_engine: BTreeMap<ServerId, u32>,
}

/// The next wave of calls of a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseWave {
    /// Id that the client gave the request.
    pub trace: Box<str>,
    /// The server that may hold the state.
    pub holder: ServerId,
    /// Number of the release within its request.
    pub round: u32,
    /// How often each engine was already called in this release.
    pub calls_by_engine: BTreeMap<ServerId, u32>,
    /// Number of the wave within its release; the first is 0.
    pub number: u32,
    /// The wave goes to one engine of every zone, not to the holder alone.
    pub to_all_zones: bool,
}

/// The KV state that may be held for requests of this node.
#[derive(Debug, Default)]
pub struct Leases(BTreeMap<RequestId, Lease>);

impl Leases {
    /// Records that an attempt that may have left KV state ended at this server.
    pub fn record_holder(&mut self, id: RequestId, trace: &str, server: &ServerId, now: Time) {
        let lease = self.0.entry(id).or_insert_with(|| Lease {
            trace: trace.into(),
            holders: Vec::new(),
            is_fetching: false,
            round: 0,
        });
        match lease.holders.iter_mut().find(|holder| holder.server == *server) {
            Some(holder) => holder.unclaimed_since = now,
            None => lease.holders.push(Holder {
                server: server.clone(),
                unclaimed_since: now,
                pending_release: None,
            }),
        }
    }

    /// Records the start of an attempt. `fetches`: it fetches the KV state of an earlier one.
    pub fn start_attempt(&mut self, id: RequestId, fetches: bool) {
        if let Some(lease) = self.0.get_mut(&id) {
            lease.is_fetching = fetches;
        }
    }

    /// Records the end of an attempt. If it `may_have_arrived`, held state is unclaimed only from now on, and a release that
    /// was acknowledged during a fetch may have had no effect because the engine kept the state for the attempt.
    pub fn end_attempt(&mut self, id: RequestId, may_have_arrived: bool, now: Time) {
        let Some(lease) = self.0.get_mut(&id) else { return };
        let was_fetching = std::mem::take(&mut lease.is_fetching);
        if !may_have_arrived {
            return;
        }
        for holder in &mut lease.holders {
            holder.unclaimed_since = now;
            if was_fetching {
                holder.pending_release = None;
            }
        }
    }

    /// Removes the lease of a request, as when its stream has started: the engines have then released the state.
    pub fn remove(&mut self, id: RequestId) {
        self.0.remove(&id);
    }

    /// Starts a release at every holder that has none pending, and returns the first waves. `release_time_limit` is the
    /// time that the settings give for a release.
    pub fn start_release(&mut self, id: RequestId, now: Time, release_time_limit: Time) -> Vec<ReleaseWave> {
        let Some(lease) = self.0.get_mut(&id) else { return Vec::new() };
        lease.round += 1;
        let (trace, round) = (&lease.trace, lease.round);
        let unreleased = lease.holders.iter_mut().filter(|holder| holder.pending_release.is_none());
        unreleased
            .map(|holder| {
                holder.pending_release =
                    Some(PendingRelease { round, started_at: now, ..PendingRelease::default() });
                ReleaseWave {
                    trace: trace.clone(),
                    holder: holder.server.clone(),
                    round,
                    calls_by_engine: BTreeMap::new(),
                    number: 0,
                    to_all_zones: now >= holder.unclaimed_since + release_time_limit,
                }
            })
            .collect()
    }

    /// Records a wave of calls to these engines.
    pub fn record_wave(&mut self, id: RequestId, holder: &ServerId, round: u32, engines: &[ServerId]) {
        let Some(release) = self.pending_release(id, holder, round) else { return };
        release.waves_sent += 1;
        for engine in engines {
            release.calls_in_flight += 1;
            *release.calls_by_engine.entry(engine.clone()).or_insert(0) += 1;
        }
    }

    /// Returns the pending release of a holder, if it has this number.
    fn pending_release(
        &mut self,
        id: RequestId,
        holder: &ServerId,
        round: u32,
    ) -> Option<&mut PendingRelease> {
        let lease = self.0.get_mut(&id)?;
        let holder = lease.holders.iter_mut().find(|known| known.server == *holder)?;
        holder.pending_release.as_mut().filter(|release| release.round == round)
    }

    /// Handles the end of a release call. `acknowledged`: the release reached an engine completely. Returns the next wave,
    /// if one is due.
    pub fn handle_call_end(
        &mut self,
        id: RequestId,
        holder: &ServerId,
        round: u32,
        acknowledged: bool,
        now: Time,
    ) -> Option<ReleaseWave> {
        let release = self.pending_release(id, holder, round)?;
        release.calls_in_flight = release.calls_in_flight.saturating_sub(1);
        let all_ended = release.calls_in_flight == 0;
        if acknowledged {
            self.acknowledge(id, holder);
            return None;
        }
        if all_ended { self.next_wave(id, holder, round, now) } else { None }
    }

    /// Ends an acknowledged release. The holder stays if an attempt is in flight for which the engine may have kept the state.
    fn acknowledge(&mut self, id: RequestId, holder: &ServerId) {
        let Some(lease) = self.0.get_mut(&id) else { return };
        if !lease.is_fetching {
            self.remove_holder(id, holder);
            return;
        }
        if let Some(holder) = lease.holders.iter_mut().find(|known| known.server == *holder) {
            holder.pending_release = None;
        }
    }

    /// Handles the timer that is due [`wave_interval`] after a wave. Returns the next wave, unless the release was
    /// acknowledged.
    pub fn handle_wave_timer(
        &mut self,
        id: RequestId,
        holder: &ServerId,
        round: u32,
        wave: u32,
        now: Time,
    ) -> Option<ReleaseWave> {
        let release = self.pending_release(id, holder, round)?;
        let is_current = release.waves_sent == wave + 1 && release.waves_sent < TIMED_WAVES;
        if is_current { self.next_wave(id, holder, round, now) } else { None }
    }

    /// Returns the next wave of a release, or removes the holder if the release is to be abandoned.
    fn next_wave(&mut self, id: RequestId, holder: &ServerId, round: u32, now: Time) -> Option<ReleaseWave> {
        let release = self.pending_release(id, holder, round)?;
        if release.waves_sent >= MAX_WAVES || now >= release.started_at + MAX_RELEASE_AGE {
            self.remove_holder(id, holder);
            return None;
        }
        let (calls_by_engine, number) = (release.calls_by_engine.clone(), release.waves_sent);
        let trace = self.0.get(&id)?.trace.clone();
        Some(ReleaseWave {
            trace,
            holder: holder.clone(),
            round,
            calls_by_engine,
            number,
            to_all_zones: true,
        })
    }

    /// Removes a holder, and the lease if it was the last one.
    fn remove_holder(&mut self, id: RequestId, holder: &ServerId) {
        if let Some(lease) = self.0.get_mut(&id) {
            lease.holders.retain(|known| known.server != *holder);
            if lease.holders.is_empty() {
                self.0.remove(&id);
            }
        }
    }

    /// Returns the number of requests for which KV state may be held.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no KV state may be held for any request.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of requests with a pending release.
    pub fn pending_releases(&self) -> usize {
        let has_pending =
            |lease: &&Lease| lease.holders.iter().any(|holder| holder.pending_release.is_some());
        self.0.values().filter(has_pending).count()
    }
}
