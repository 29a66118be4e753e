//! One attempt over the addresses of a server: staggered dials, a proof where needed, and at most one send.
//!
//! The race only decides; the caller does the I/O. Dials may run concurrently, since a connect carries
//! nothing of the request. If a proof by `Expect: 100-continue` is needed, the request's head is on one open
//! connection at a time: before another connection gets it, the first is closed, and no body has been sent on
//! either. The body is sent on one connection, once, and this ends the race.
//!
//! A *lane* is one address of the race, with its dial and its proof.

use elderstage::{ServerId, Time};
use elderstage_protocol::place::Endpoint;

use super::book::Candidate;

/// Longest delay between two dials, in microseconds (RFC 8305, section 5: 250 ms). It also applies while no
/// time is known.
const MAX_DIAL_DELAY: Time = 250_000;
/// Shortest delay between two dials, in microseconds (RFC 8305, section 5: 100 ms is the recommended
/// minimum). The delay gets shorter only if the race has little time left.
const MIN_DIAL_DELAY: Time = 100_000;
/// A connect or a proof is late after this multiple of its mean time.
const LATE_FACTOR: f64 = 4.0;
/// Pooled connections of one address that may turn out to be closed before a new one is dialed.
const MAX_STALE_CONNECTIONS: u32 = 2;

/// How a connection is proven before the body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// No proof: the request is sent whole.
    None,
    /// The head is sent with `Expect: 100-continue`, and the body after `100 Continue`.
    Continue,
    /// A health request on the same connection must be answered first; then the request is sent whole.
    Health,
}

/// What the caller does next. The `usize` is the number of a lane, as for [`Race::endpoint`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RaceStep<C> {
    /// Use this idle connection; if it turns out to be closed, call [`stale`](Race::record_stale).
    Reuse(usize, C),
    /// Start a dial, which may last until this time.
    Dial(usize, Time),
    /// Prove this connection.
    Prove(usize, Proof),
    /// Close this connection: it got the head and did not answer.
    Drop(usize),
    /// Write the body after a proof by the head, or else the whole request. The race is over.
    Send(usize, RemainingRequest),
    /// Do nothing until this time or the next event.
    Wait(Time),
    /// No address or no time is left. The race is over.
    Lost(RaceFailure),
}

/// What remains to be written of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RemainingRequest {
    /// The body; the head has been written.
    Body,
    /// Head and body.
    Whole,
}

/// Why an attempt got no connection. No body was written, so it is proved never to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RaceFailure {
    /// No address accepted a connection.
    NotConnected,
    /// At least one connection got the head, and none answered it with `100 Continue`.
    NotProven,
    /// The front's own limits allowed no dial.
    NoRoom,
}

/// How far a lane has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LaneState {
    /// Neither a pooled connection nor a dial is in use.
    Untried,
    /// The dial may start at this time.
    Scheduled(Time),
    /// The dial is in progress since this time.
    Dialing(Time),
    /// The connection is open, and nothing was written on it.
    Ready,
    /// Start of the proof, and the time from which it is late.
    Proving(Time, Time),
    /// The proof succeeded, and this remains to be written.
    Proven(RemainingRequest),
    /// The lane is not used any more.
    Ended,
}

/// One address of a race.
#[derive(Clone, Debug)]
struct Lane {
    candidate: Candidate,
    proof: Proof,
    state: LaneState,
    is_reused: bool,
    stale_count: u32,
    /// When its dial becomes late.
    late_at: Time,
    /// It failed or was late in this race.
    has_lost: bool,
}

/// The winner of a race and the addresses that lost against it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaceSummary {
    pub winner: Endpoint,
    /// All addresses that failed or were late, including the overtaken ones.
    pub lost: Vec<Endpoint>,
    /// Late dials that are still in progress, with their start times.
    pub overtaken: Vec<(Endpoint, Time)>,
}

/// How a race ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RaceEnd {
    Send(usize, RemainingRequest),
    Lost(RaceFailure),
}

/// What a race needs from the pool and the dial limiter.
pub trait ConnectionSource<C> {
    /// Takes an idle connection to this address.
    fn take_idle(&mut self, now: Time, endpoint: &Endpoint) -> Option<C>;
    /// Reserves a dial and returns when it may start; `None` if that is not possible until `by`.
    fn reserve_dial(&mut self, now: Time, by: Time, endpoint: &Endpoint) -> Option<Time>;
    /// Returns a reserved dial that is not made, because the race is over first.
    fn cancel_dial(&mut self, endpoint: &Endpoint);
    /// Reports a proof that was late and is given up; it started at `since`.
    fn proof_late(&mut self, now: Time, since: Time, endpoint: &Endpoint);
}

/// The state of one connection attempt.
#[derive(Clone, Debug)]
pub struct Race {
    pub server: ServerId,
    lanes: Vec<Lane>,
    /// The one lane whose connection is being proven.
    proving_lane: Option<usize>,
    next_dial_at: Time,
    end: Time,
    /// The head was written on some connection.
    is_head_written: bool,
    /// The front's limits denied a dial.
    is_dial_denied: bool,
    outcome: Option<RaceEnd>,
}

impl Race {
    /// Starts a race that ends by `end`. `proof` gives the proof that each address needs. If time is short,
    /// the delays shrink so that the last address still gets its share.
    pub fn new(
        server: ServerId,
        now: Time,
        end: Time,
        candidates: Vec<Candidate>,
        proof: impl Fn(&Candidate) -> Proof,
    ) -> Race {
        let lane = |candidate: Candidate| Lane {
            proof: proof(&candidate),
            candidate,
            state: LaneState::Untried,
            is_reused: false,
            stale_count: 0,
            late_at: 0,
            has_lost: false,
        };
        Race {
            server,
            lanes: candidates.into_iter().map(lane).collect(),
            proving_lane: None,
            next_dial_at: now,
            end,
            is_head_written: false,
            is_dial_denied: false,
            outcome: None,
        }
    }

    /// The address of a lane.
    pub fn endpoint(&self, lane: usize) -> &Endpoint {
        &self.lanes[lane].candidate.endpoint
    }

    /// Whether the lane's connection was taken from the pool.
    pub fn reused(&self, lane: usize) -> bool {
        self.lanes[lane].is_reused
    }

    /// When the race ends at the latest.
    pub fn ends_at(&self) -> Time {
        self.end
    }

    /// The delay until the next dial, or until a proof is late: a multiple of the mean time, within the
    /// limits.
    fn dial_delay(&self, now: Time, mean: f64) -> Time {
        let learned = if mean > 0.0 { (mean * LATE_FACTOR) as Time } else { MAX_DIAL_DELAY };
        let left = self.lanes.iter().filter(|lane| lane.state == LaneState::Untried).count() as Time;
        let share = self.end.saturating_sub(now) / (left + 1);
        learned.clamp(MIN_DIAL_DELAY, MAX_DIAL_DELAY).min(share)
    }

    fn find_lane(&self, is_wanted: impl Fn(LaneState) -> bool) -> Option<usize> {
        self.lanes.iter().position(|lane| is_wanted(lane.state))
    }

    fn finish<C>(&mut self, end: RaceEnd, source: &mut impl ConnectionSource<C>) {
        self.outcome = Some(end);
        for lane in &mut self.lanes {
            if matches!(lane.state, LaneState::Scheduled(_)) {
                lane.state = LaneState::Ended;
                source.cancel_dial(&lane.candidate.endpoint);
            }
        }
    }

    /// The end of a race that got no connection, by what happened in it.
    fn lost_end(&self) -> RaceEnd {
        RaceEnd::Lost(match (self.is_head_written, self.is_dial_denied) {
            (true, _) => RaceFailure::NotProven,
            (false, true) => RaceFailure::NoRoom,
            (false, false) => RaceFailure::NotConnected,
        })
    }

    /// The next step. Call it again after each step, at the end of a wait, and after each event.
    pub fn poll<C>(&mut self, now: Time, source: &mut impl ConnectionSource<C>) -> RaceStep<C> {
        loop {
            match self.outcome {
                Some(RaceEnd::Send(lane, rest)) => return RaceStep::Send(lane, rest),
                Some(RaceEnd::Lost(lost)) => return RaceStep::Lost(lost),
                None => {}
            }
            if let Some(step) = self.next_step(now, source) {
                return step;
            }
        }
    }

    fn next_step<C>(&mut self, now: Time, source: &mut impl ConnectionSource<C>) -> Option<RaceStep<C>> {
        // This check comes first, so that no body is sent if a proof succeeds just as the time runs out.
        if now >= self.end {
            if let Some(proving_lane) = self.proving_lane
                && let LaneState::Proving(since, _) = self.lanes[proving_lane].state
            {
                source.proof_late(now, since, &self.lanes[proving_lane].candidate.endpoint);
            }
            self.finish(self.lost_end(), source);
            return None;
        }
        let ready = self.find_lane(|state| state == LaneState::Ready);
        if let Some(proving_lane) = self.proving_lane {
            match self.lanes[proving_lane].state {
                LaneState::Proven(rest) => {
                    self.finish(RaceEnd::Send(proving_lane, rest), source);
                    return None;
                }
                LaneState::Proving(since, late) if now >= late && ready.is_some() => {
                    (self.lanes[proving_lane].state, self.lanes[proving_lane].has_lost) =
                        (LaneState::Ended, true);
                    self.proving_lane = None;
                    source.proof_late(now, since, &self.lanes[proving_lane].candidate.endpoint);
                    return Some(RaceStep::Drop(proving_lane));
                }
                _ => {}
            }
        }
        if let Some(lane) = ready.filter(|_| self.proving_lane.is_none()) {
            let Lane { proof, candidate, .. } = &self.lanes[lane];
            if *proof == Proof::None {
                self.finish(RaceEnd::Send(lane, RemainingRequest::Whole), source);
                return None;
            }
            let (proof, late) = (*proof, now + self.dial_delay(now, candidate.mean_proof));
            self.lanes[lane].state = LaneState::Proving(now, late);
            (self.proving_lane, self.next_dial_at) = (Some(lane), late);
            self.is_head_written |= proof == Proof::Continue;
            return Some(RaceStep::Prove(lane, proof));
        }
        if let Some(lane) = self.find_lane(|state| matches!(state, LaneState::Scheduled(at) if at <= now)) {
            self.lanes[lane].state = LaneState::Dialing(now);
            return Some(RaceStep::Dial(lane, self.end));
        }
        let is_waiting = self.proving_lane.is_some()
            || self
                .find_lane(|state| matches!(state, LaneState::Scheduled(_) | LaneState::Dialing(_)))
                .is_some();
        // With no dial in progress the next one starts at once: if all addresses refuse, the race is lost
        // without waiting for the delays.
        if let Some(lane) = self
            .find_lane(|state| state == LaneState::Untried)
            .filter(|_| now >= self.next_dial_at || !is_waiting)
        {
            return self.start_lane(now, lane, source);
        }
        if !is_waiting {
            self.finish(self.lost_end(), source);
            return None;
        }
        Some(RaceStep::Wait(self.wait_until(now)))
    }

    /// Starts an untried lane: with an idle connection, or else with a dial as the limits allow.
    fn start_lane<C>(
        &mut self,
        now: Time,
        lane: usize,
        source: &mut impl ConnectionSource<C>,
    ) -> Option<RaceStep<C>> {
        let endpoint = self.lanes[lane].candidate.endpoint.clone();
        if self.lanes[lane].stale_count < MAX_STALE_CONNECTIONS
            && let Some(conn) = source.take_idle(now, &endpoint)
        {
            (self.lanes[lane].state, self.lanes[lane].is_reused) = (LaneState::Ready, true);
            return Some(RaceStep::Reuse(lane, conn));
        }
        self.lanes[lane].is_reused = false;
        let delay = self.dial_delay(now, self.lanes[lane].candidate.mean_connect);
        match source.reserve_dial(now, self.end, &endpoint) {
            None => {
                self.lanes[lane].state = LaneState::Ended;
                self.is_dial_denied = true;
                None
            }
            Some(at) => {
                // If the dial has to wait for the rate limit, its delay counts from its start.
                self.next_dial_at = at.max(now) + delay;
                self.lanes[lane].late_at = self.next_dial_at;
                self.lanes[lane].state = LaneState::Scheduled(at);
                None
            }
        }
    }

    /// The time at which to poll again if no event comes first.
    fn wait_until(&self, now: Time) -> Time {
        let mut until = self.end;
        let (mut has_untried, mut ready, mut late) = (false, false, None);
        for lane in &self.lanes {
            match lane.state {
                LaneState::Untried => has_untried = true,
                LaneState::Ready => ready = true,
                LaneState::Scheduled(at) => until = until.min(at),
                LaneState::Proving(_, at) => late = Some(at),
                _ => {}
            }
        }
        if has_untried {
            until = until.min(self.next_dial_at);
        }
        if let Some(late) = late.filter(|_| ready) {
            until = until.min(late);
        }
        until.max(now + 1)
    }

    // ---- Events ----

    /// When the dial of this lane started, while it is in progress.
    pub fn dialing_since(&self, lane: usize) -> Option<Time> {
        match self.lanes[lane].state {
            LaneState::Dialing(since) => Some(since),
            _ => None,
        }
    }

    /// When the proof of this lane started, while it is in progress.
    pub fn proving_since(&self, lane: usize) -> Option<Time> {
        match self.lanes[lane].state {
            LaneState::Proving(since, _) => Some(since),
            _ => None,
        }
    }

    /// A dial succeeded. Returns `false` if the race no longer waits for it.
    pub fn record_connected(&mut self, lane: usize) -> bool {
        let is_wanted = self.outcome.is_none() && self.dialing_since(lane).is_some();
        if is_wanted {
            self.lanes[lane].state = LaneState::Ready;
        }
        is_wanted
    }

    /// A dial failed, or a connection was closed or got a malformed answer during its proof. Returns `true`
    /// if that counts against the address; a pooled connection that the peer had closed does not.
    pub fn record_failure(&mut self, lane: usize) -> bool {
        if self.outcome.is_some() {
            return false;
        }
        match self.lanes[lane].state {
            LaneState::Dialing(_) => {
                (self.lanes[lane].state, self.lanes[lane].has_lost) = (LaneState::Ended, true);
                true
            }
            LaneState::Proving(..) => {
                self.proving_lane = None;
                if self.lanes[lane].is_reused {
                    self.retry_lane(lane);
                    return false;
                }
                (self.lanes[lane].state, self.lanes[lane].has_lost) = (LaneState::Ended, true);
                true
            }
            _ => false,
        }
    }

    /// An idle connection turned out to be closed before anything was written on it.
    pub fn record_stale(&mut self, lane: usize) {
        if self.outcome.is_none() && self.lanes[lane].state == LaneState::Ready {
            self.retry_lane(lane);
        }
    }

    /// Returns a lane to untried after a stale pooled connection.
    fn retry_lane(&mut self, lane: usize) {
        self.lanes[lane].state = LaneState::Untried;
        self.lanes[lane].stale_count += 1;
    }

    /// `100 Continue`, or the answer to the health request, arrived. Returns `false` if the proof was already
    /// given up.
    pub fn record_proof(&mut self, lane: usize) -> bool {
        let is_wanted = self.outcome.is_none() && self.proving_since(lane).is_some();
        if is_wanted {
            let rest = if self.lanes[lane].proof == Proof::Continue {
                RemainingRequest::Body
            } else {
                RemainingRequest::Whole
            };
            self.lanes[lane].state = LaneState::Proven(rest);
        }
        is_wanted
    }

    /// The peer rejected the expectation (417, RFC 9110, 15.5.18) and has not accepted the request. The
    /// request is sent whole on the same connection if that stays open, or else on a new one after a health
    /// request.
    pub fn record_expectation_failed(&mut self, lane: usize, stays_open: bool) {
        if self.outcome.is_some() || self.proving_since(lane).is_none() {
            return;
        }
        if stays_open {
            self.lanes[lane].state = LaneState::Proven(RemainingRequest::Whole);
        } else {
            self.proving_lane = None;
            (self.lanes[lane].state, self.lanes[lane].proof) = (LaneState::Untried, Proof::Health);
        }
    }

    /// The winner and the addresses that failed or were late; `None` unless the race ended in a send.
    pub fn summary(&self, now: Time) -> Option<RaceSummary> {
        let Some(RaceEnd::Send(winner, _)) = self.outcome else { return None };
        let lost = self.lanes.iter().filter(|lane| lane.has_lost).map(|lane| lane.candidate.endpoint.clone());
        // Overtaken: the dial is late, and another one won.
        let overtaken = self.lanes.iter().enumerate().filter_map(|(index, lane)| match lane.state {
            LaneState::Dialing(since) if index != winner && now >= lane.late_at => {
                Some((lane.candidate.endpoint.clone(), since))
            }
            _ => None,
        });
        let overtaken: Vec<(Endpoint, Time)> = overtaken.collect();
        let lost = lost.chain(overtaken.iter().map(|(endpoint, _)| endpoint.clone())).collect();
        Some(RaceSummary { winner: self.endpoint(winner).clone(), lost, overtaken })
    }

    /// Lanes with a connection on which nothing was written.
    pub fn unused_lanes(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.lanes.len()).filter(|lane| self.lanes[*lane].state == LaneState::Ready)
    }

    /// Whether this lane is the one being proven.
    pub fn is_being_proven(&self, lane: usize) -> bool {
        self.proving_lane == Some(lane)
    }
}

#[cfg(test)]
#[path = "race_tests.rs"]
mod tests;
