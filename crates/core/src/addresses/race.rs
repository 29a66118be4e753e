//! One attempt over a server's addresses: connects staggered, one connection proven, one send.
//!
//! Connects may race, since a connect carries nothing of the request. Its head, where a proof by
//! `Expect: 100-continue` is wanted, is on one connection at a time: before another gets it, the first is closed,
//! and the body has gone to none. The body goes to one connection, once, and then the race is over.

use elderstage::{ServerId, Time};
use elderstage_protocol::place::Place;

use super::book::Choice;

/// Time between two dials where nothing was learned, and the shortest (RFC 8305, section 5: 250 ms, and 100 ms as
/// the recommended minimum).
const DELAY: Time = 250_000;
const LEAST_DELAY: Time = 100_000;
/// A connect or proof is late after so many times its usual time.
const LATE: f64 = 4.0;
/// Pooled connections of one address that may turn out closed before a new one is made.
const STALE_MOST: u32 = 2;

/// How a connection is proven before the body goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// Not at all: the request goes whole.
    None,
    /// The head goes with `Expect: 100-continue`; the body follows the word to go on.
    Continue,
    /// A health request on the same connection is answered first; then the request goes whole.
    Health,
}

/// What the caller does next. Numbers are those of [`Race::place`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<C> {
    /// Take this idle connection; if it turns out closed, [`stale`](Race::stale).
    Reuse(usize, C),
    /// Begin to connect; no longer than until this time.
    Dial(usize, Time),
    /// Prove this connection.
    Prove(usize, Proof),
    /// Close this connection: it got the head and said nothing.
    Drop(usize),
    /// Write the rest: the body after a proof by its head, or else the whole request. The race is over.
    Send(usize, Rest),
    /// Nothing until this time, or until something happens.
    Wait(Time),
    /// No address is left, or no time.
    Lost(Lost),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rest {
    Body,
    Whole,
}

/// Why an attempt has no connection. In all cases no body was written: it is proved never to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lost {
    /// No address took a connection.
    NotConnected,
    /// One or more took it, and none the head.
    NotProven,
    /// The front's own bounds on connecting left no room.
    NoRoom,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle,
    /// The budget lets it begin then.
    Booked(Time),
    Dialing(Time),
    Ready,
    /// Since when, and from when on it is late.
    Proving(Time, Time),
    Proven(Rest),
    Over,
}

#[derive(Clone, Debug)]
struct Lane {
    choice: Choice,
    proof: Proof,
    state: State,
    reused: bool,
    stale: u32,
    /// From when on its dial is late.
    late: Time,
    /// It failed or was late in this race.
    lost: bool,
}

/// What one address won against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beaten {
    pub winner: Place,
    /// All that failed or were late, those that were overtaken among them.
    pub lost: Vec<Place>,
    /// Dials that are out still, with their beginning, though another began later and was there first.
    pub overtaken: Vec<(Place, Time)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Send(usize, Rest),
    Lost(Lost),
}

/// What the race asks of the pool and the budget.
pub trait Supply<C> {
    /// An idle connection to this address.
    fn idle(&mut self, now: Time, place: &Place) -> Option<C>;
    /// When a dial may begin, if by then; it is counted on from now.
    fn dial(&mut self, now: Time, by: Time, place: &Place) -> Option<Time>;
    /// A dial that was counted on is not made: the race is over before its time.
    fn unused(&mut self, place: &Place);
    /// A connection that had the head and was late is given up.
    fn late(&mut self, now: Time, since: Time, place: &Place);
}

/// One attempt's way to its one connection.
#[derive(Clone, Debug)]
pub struct Race {
    pub server: ServerId,
    lanes: Vec<Lane>,
    /// The one connection that has the head.
    holder: Option<usize>,
    next: Time,
    end: Time,
    /// The head was written somewhere.
    touched: bool,
    crowded: bool,
    over: Option<End>,
}

impl Race {
    /// `proof` is what each address needs. It is all over by `end`: with little time the delays shrink, so that the
    /// last address still has its share.
    pub fn new(
        server: ServerId,
        now: Time,
        end: Time,
        order: Vec<Choice>,
        proof: impl Fn(&Choice) -> Proof,
    ) -> Race {
        let lane = |choice: Choice| Lane {
            proof: proof(&choice),
            choice,
            state: State::Idle,
            reused: false,
            stale: 0,
            late: 0,
            lost: false,
        };
        Race {
            server,
            lanes: order.into_iter().map(lane).collect(),
            holder: None,
            next: now,
            end,
            touched: false,
            crowded: false,
            over: None,
        }
    }

    pub fn place(&self, lane: usize) -> &Place {
        &self.lanes[lane].choice.place
    }

    /// Whether the connection was taken from the pool.
    pub fn reused(&self, lane: usize) -> bool {
        self.lanes[lane].reused
    }

    pub fn end(&self) -> Time {
        self.end
    }

    fn delay(&self, now: Time, usual: f64) -> Time {
        let learned = if usual > 0.0 { (usual * LATE) as Time } else { DELAY };
        let left = self.lanes.iter().filter(|lane| lane.state == State::Idle).count() as Time;
        let share = self.end.saturating_sub(now) / (left + 1);
        learned.clamp(LEAST_DELAY, DELAY).min(share)
    }

    fn find(&self, wanted: impl Fn(State) -> bool) -> Option<usize> {
        self.lanes.iter().position(|lane| wanted(lane.state))
    }

    fn finish<C>(&mut self, end: End, supply: &mut impl Supply<C>) {
        self.over = Some(end);
        for lane in &mut self.lanes {
            if matches!(lane.state, State::Booked(_)) {
                lane.state = State::Over;
                supply.unused(&lane.choice.place);
            }
        }
    }

    fn lost(&self) -> End {
        End::Lost(match (self.touched, self.crowded) {
            (true, _) => Lost::NotProven,
            (false, true) => Lost::NoRoom,
            (false, false) => Lost::NotConnected,
        })
    }

    /// What to do now. Call again after each step, at the time of a wait, and after each event.
    pub fn poll<C>(&mut self, now: Time, supply: &mut impl Supply<C>) -> Step<C> {
        loop {
            match self.over {
                Some(End::Send(lane, rest)) => return Step::Send(lane, rest),
                Some(End::Lost(lost)) => return Step::Lost(lost),
                None => {}
            }
            if let Some(step) = self.step(now, supply) {
                return step;
            }
        }
    }

    fn step<C>(&mut self, now: Time, supply: &mut impl Supply<C>) -> Option<Step<C>> {
        // First of all: guards against a word to go on that comes as the time fires, and a body sent after it.
        if now >= self.end {
            if let Some(holder) = self.holder
                && let State::Proving(since, _) = self.lanes[holder].state
            {
                supply.late(now, since, &self.lanes[holder].choice.place);
            }
            self.finish(self.lost(), supply);
            return None;
        }
        let ready = self.find(|state| state == State::Ready);
        if let Some(holder) = self.holder {
            match self.lanes[holder].state {
                State::Proven(rest) => {
                    self.finish(End::Send(holder, rest), supply);
                    return None;
                }
                State::Proving(since, late) if now >= late && ready.is_some() => {
                    (self.lanes[holder].state, self.lanes[holder].lost) = (State::Over, true);
                    self.holder = None;
                    supply.late(now, since, &self.lanes[holder].choice.place);
                    return Some(Step::Drop(holder));
                }
                _ => {}
            }
        }
        if let Some(lane) = ready.filter(|_| self.holder.is_none()) {
            let Lane { proof, choice, .. } = &self.lanes[lane];
            if *proof == Proof::None {
                self.finish(End::Send(lane, Rest::Whole), supply);
                return None;
            }
            let (proof, late) = (*proof, now + self.delay(now, choice.prove));
            self.lanes[lane].state = State::Proving(now, late);
            (self.holder, self.next) = (Some(lane), late);
            self.touched |= proof == Proof::Continue;
            return Some(Step::Prove(lane, proof));
        }
        if let Some(lane) = self.find(|state| matches!(state, State::Booked(at) if at <= now)) {
            self.lanes[lane].state = State::Dialing(now);
            return Some(Step::Dial(lane, self.end));
        }
        let out = self.holder.is_some()
            || self.find(|state| matches!(state, State::Booked(_) | State::Dialing(_))).is_some();
        // With nothing out there is nothing to wait for: that all are dead is known after the refusals, not the
        // delays.
        if let Some(lane) = self.find(|state| state == State::Idle).filter(|_| now >= self.next || !out) {
            return self.begin(now, lane, supply);
        }
        if !out {
            self.finish(self.lost(), supply);
            return None;
        }
        Some(Step::Wait(self.until(now)))
    }

    fn begin<C>(&mut self, now: Time, lane: usize, supply: &mut impl Supply<C>) -> Option<Step<C>> {
        let place = self.lanes[lane].choice.place.clone();
        if self.lanes[lane].stale < STALE_MOST
            && let Some(conn) = supply.idle(now, &place)
        {
            (self.lanes[lane].state, self.lanes[lane].reused) = (State::Ready, true);
            return Some(Step::Reuse(lane, conn));
        }
        self.lanes[lane].reused = false;
        let delay = self.delay(now, self.lanes[lane].choice.connect);
        match supply.dial(now, self.end, &place) {
            None => {
                self.lanes[lane].state = State::Over;
                self.crowded = true;
                None
            }
            Some(at) => {
                // A dial that has to wait for the budget has its delay from then on.
                self.next = at.max(now) + delay;
                self.lanes[lane].late = self.next;
                self.lanes[lane].state = State::Booked(at);
                None
            }
        }
    }

    fn until(&self, now: Time) -> Time {
        let mut until = self.end;
        let (mut idle, mut ready, mut late) = (false, false, None);
        for lane in &self.lanes {
            match lane.state {
                State::Idle => idle = true,
                State::Ready => ready = true,
                State::Booked(at) => until = until.min(at),
                State::Proving(_, at) => late = Some(at),
                _ => {}
            }
        }
        if idle {
            until = until.min(self.next);
        }
        if let Some(late) = late.filter(|_| ready) {
            until = until.min(late);
        }
        until.max(now + 1)
    }

    // ---- What is seen ----

    /// When the dial of this lane began, while it is out.
    pub fn dialing_since(&self, lane: usize) -> Option<Time> {
        match self.lanes[lane].state {
            State::Dialing(since) => Some(since),
            _ => None,
        }
    }

    /// When the proof of this lane began, while it is out.
    pub fn proving_since(&self, lane: usize) -> Option<Time> {
        match self.lanes[lane].state {
            State::Proving(since, _) => Some(since),
            _ => None,
        }
    }

    /// A connect has ended well. `false`: nobody waits for it any more.
    pub fn connected(&mut self, lane: usize) -> bool {
        let wanted = self.over.is_none() && self.dialing_since(lane).is_some();
        if wanted {
            self.lanes[lane].state = State::Ready;
        }
        wanted
    }

    /// A connect has failed, or a connection was closed or answered with nonsense while it was proven. `true` when
    /// that speaks against the address: a pooled connection that was closed meanwhile does not.
    pub fn failed(&mut self, lane: usize) -> bool {
        if self.over.is_some() {
            return false;
        }
        match self.lanes[lane].state {
            State::Dialing(_) => {
                (self.lanes[lane].state, self.lanes[lane].lost) = (State::Over, true);
                true
            }
            State::Proving(..) => {
                self.holder = None;
                if self.lanes[lane].reused {
                    self.again(lane);
                    return false;
                }
                (self.lanes[lane].state, self.lanes[lane].lost) = (State::Over, true);
                true
            }
            _ => false,
        }
    }

    /// An idle connection turned out closed before anything was written on it.
    pub fn stale(&mut self, lane: usize) {
        if self.over.is_none() && self.lanes[lane].state == State::Ready {
            self.again(lane);
        }
    }

    fn again(&mut self, lane: usize) {
        self.lanes[lane].state = State::Idle;
        self.lanes[lane].stale += 1;
    }

    /// The word to go on, or the answer to the health request, has come. `false`: too late, it is given up.
    pub fn proven(&mut self, lane: usize) -> bool {
        let wanted = self.over.is_none() && self.proving_since(lane).is_some();
        if wanted {
            let rest = if self.lanes[lane].proof == Proof::Continue { Rest::Body } else { Rest::Whole };
            self.lanes[lane].state = State::Proven(rest);
        }
        wanted
    }

    /// The peer does not take a head that waits for a word (417, RFC 9110, 15.5.18), and has not taken the request.
    /// It goes whole on the same connection if that stays open, or else on a new one after a health request.
    pub fn without_continue(&mut self, lane: usize, open: bool) {
        if self.over.is_some() || self.proving_since(lane).is_none() {
            return;
        }
        if open {
            self.lanes[lane].state = State::Proven(Rest::Whole);
        } else {
            self.holder = None;
            (self.lanes[lane].state, self.lanes[lane].proof) = (State::Idle, Proof::Health);
        }
    }

    /// Addresses that failed or were late, with what beat them: none where nothing did.
    pub fn beaten(&self, now: Time) -> Option<Beaten> {
        let Some(End::Send(winner, _)) = self.over else { return None };
        let lost = self.lanes.iter().filter(|lane| lane.lost).map(|lane| lane.choice.place.clone());
        // Overtaken: another began later and was there first.
        let overtaken = self.lanes.iter().enumerate().filter_map(|(index, lane)| match lane.state {
            State::Dialing(since) if index != winner && now >= lane.late => {
                Some((lane.choice.place.clone(), since))
            }
            _ => None,
        });
        let overtaken: Vec<(Place, Time)> = overtaken.collect();
        let lost = lost.chain(overtaken.iter().map(|(place, _)| place.clone())).collect();
        Some(Beaten { winner: self.place(winner).clone(), lost, overtaken })
    }

    /// Connections that were made and not used: nothing was written on them.
    pub fn unused(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.lanes.len()).filter(|lane| self.lanes[*lane].state == State::Ready)
    }

    /// Whether the head is with this lane now.
    pub fn holds(&self, lane: usize) -> bool {
        self.holder == Some(lane)
    }
}

#[cfg(test)]
#[path = "race_tests.rs"]
mod tests;
