//! What engines may hold for requests, and letting go of it.
//!
//! A reader that has read a prompt holds its state until a writer takes it or it is told to let go. The module says
//! when; this keeps where, and says a release again until it has reached an engine: the time that the rule gives goes
//! on while connections do not come up. A release is known by the request's id alone and every engine accepts it.
//!
//! An attempt that comes for a state may never arrive, and nothing tells: written is not arrived. So a release goes out and
//! on beside an attempt. An engine keeps what an attempt waits for there, so a release that was heard meanwhile may have let go
//! of nothing: what it was for is held to be there until the attempt has ended, and told again then.
//! The first call goes to the holder alone and is all there is when all is well. What is not heard within [`wave_interval`]
//! goes to one engine of every zone at once (`reach.rs`), and so does what is late already: one engine after the
//! other took 0.12 s each, while a cut zone left two of three silent.

use std::collections::BTreeMap;

use elderstage::{ReqId, ServerId, Time};

/// Waves of one release before it is given up: no engine has been reached for seconds then.
const WAVES: u32 = 24;
/// Waves that go out while others are not answered yet; later ones wait until all calls have ended. With four zones
/// a release costs 17 calls within the time of the rule at the most, and about 17 a second after it.
const QUICK: u32 = 5;
/// Longest and shortest time between two such waves, in microseconds. A call that is heard takes a few milliseconds, on a
/// new connection some tens.
const WAVE_MAX: Time = 60_000;
const WAVE_MIN: Time = 5_000;
/// A release is not said again after this time: the engines' own limits have acted by then. In microseconds.
const LIFE: Time = 10_000_000;

/// Time between two waves of a release: the time that the settings give for it has to hold the quick ones.
pub fn wave_interval(let_go_by: Time) -> Time {
    (let_go_by / Time::from(QUICK)).clamp(WAVE_MIN, WAVE_MAX)
}

#[derive(Debug)]
struct Lease {
    trace: Box<str>,
    holders: Vec<Holder>,
    /// An attempt is out that comes for a state.
    fetching: bool,
    /// Counts the releases, so that what comes of an earlier one is not taken for a later one's.
    round: u32,
}

#[derive(Debug)]
struct Holder {
    server: ServerId,
    /// Since when it may hold something that no writer was asked to take.
    since: Time,
    letting_go: Option<Telling>,
}

/// A release on its way.
#[derive(Debug, Default)]
struct Telling {
    round: u32,
    since: Time,
    waves: u32,
    /// Calls that have not ended.
    out: u32,
    told: BTreeMap<ServerId, u32>,
}

/// What to tell next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub trace: Box<str>,
    pub holder: ServerId,
    /// Which release of this request it belongs to.
    pub round: u32,
    /// How often each engine was told already.
    pub told: BTreeMap<ServerId, u32>,
    /// The first wave is 0.
    pub wave: u32,
    /// Not to the holder alone.
    pub wide: bool,
}

/// All that may be held.
#[derive(Debug, Default)]
pub struct Leases(BTreeMap<ReqId, Lease>);

impl Leases {
    /// An attempt that may leave a state behind has ended at this server.
    pub fn may_hold(&mut self, id: ReqId, trace: &str, server: &ServerId, now: Time) {
        let lease = self.0.entry(id).or_insert_with(|| Lease {
            trace: trace.into(),
            holders: Vec::new(),
            fetching: false,
            round: 0,
        });
        match lease.holders.iter_mut().find(|holder| holder.server == *server) {
            Some(holder) => holder.since = now,
            None => lease.holders.push(Holder { server: server.clone(), since: now, letting_go: None }),
        }
    }

    /// An attempt of this request that comes for a state has been decided, or one that does not.
    pub fn attempt_begins(&mut self, id: ReqId, fetches: bool) {
        if let Some(lease) = self.0.get_mut(&id) {
            lease.fetching = fetches;
        }
    }

    /// The attempt has ended. `may_have_arrived`: what is held has waited since then, and what was told of it meanwhile may
    /// have been kept for the attempt.
    pub fn attempt_ended(&mut self, id: ReqId, may_have_arrived: bool, now: Time) {
        let Some(lease) = self.0.get_mut(&id) else { return };
        let fetched = std::mem::take(&mut lease.fetching);
        if !may_have_arrived {
            return;
        }
        for holder in &mut lease.holders {
            holder.since = now;
            if fetched {
                holder.letting_go = None;
            }
        }
    }

    /// The request streams: the engines have let go of the rest.
    pub fn taken(&mut self, id: ReqId) {
        self.0.remove(&id);
    }

    /// The module lets go: what to tell that is not being told already. `let_go_by`: what the settings give for it.
    pub fn release(&mut self, id: ReqId, now: Time, let_go_by: Time) -> Vec<Call> {
        let Some(lease) = self.0.get_mut(&id) else { return Vec::new() };
        lease.round += 1;
        let (trace, round) = (&lease.trace, lease.round);
        let new = lease.holders.iter_mut().filter(|holder| holder.letting_go.is_none());
        new.map(|holder| {
            holder.letting_go = Some(Telling { round, since: now, ..Telling::default() });
            Call {
                trace: trace.clone(),
                holder: holder.server.clone(),
                round,
                told: BTreeMap::new(),
                wave: 0,
                wide: now >= holder.since + let_go_by,
            }
        })
        .collect()
    }

    /// These engines are being told.
    pub fn called(&mut self, id: ReqId, holder: &ServerId, round: u32, engines: &[ServerId]) {
        let Some(telling) = self.telling(id, holder, round) else { return };
        telling.waves += 1;
        for engine in engines {
            telling.out += 1;
            *telling.told.entry(engine.clone()).or_insert(0) += 1;
        }
    }

    fn telling(&mut self, id: ReqId, holder: &ServerId, round: u32) -> Option<&mut Telling> {
        let lease = self.0.get_mut(&id)?;
        let holder = lease.holders.iter_mut().find(|of| of.server == *holder)?;
        holder.letting_go.as_mut().filter(|telling| telling.round == round)
    }

    /// A release was said; `heard`: it has reached an engine whole. Gives the next wave, if one is due.
    pub fn said(&mut self, id: ReqId, holder: &ServerId, round: u32, heard: bool, now: Time) -> Option<Call> {
        let telling = self.telling(id, holder, round)?;
        telling.out = telling.out.saturating_sub(1);
        let over = telling.out == 0;
        if heard {
            self.heard(id, holder);
            return None;
        }
        if over { self.next(id, holder, round, now) } else { None }
    }

    /// Done, unless an attempt is out for which the engine may have kept it.
    fn heard(&mut self, id: ReqId, holder: &ServerId) {
        let Some(lease) = self.0.get_mut(&id) else { return };
        if !lease.fetching {
            self.drop_holder(id, holder);
            return;
        }
        if let Some(holder) = lease.holders.iter_mut().find(|of| of.server == *holder) {
            holder.letting_go = None;
        }
    }

    /// [`wave_interval`] after a wave went out: the next one, if it was not heard.
    pub fn due(&mut self, id: ReqId, holder: &ServerId, round: u32, wave: u32, now: Time) -> Option<Call> {
        let telling = self.telling(id, holder, round)?;
        let stands = telling.waves == wave + 1 && telling.waves < QUICK;
        if stands { self.next(id, holder, round, now) } else { None }
    }

    fn next(&mut self, id: ReqId, holder: &ServerId, round: u32, now: Time) -> Option<Call> {
        let telling = self.telling(id, holder, round)?;
        if telling.waves >= WAVES || now >= telling.since + LIFE {
            self.drop_holder(id, holder);
            return None;
        }
        let (told, wave) = (telling.told.clone(), telling.waves);
        let trace = self.0.get(&id)?.trace.clone();
        Some(Call { trace, holder: holder.clone(), round, told, wave, wide: true })
    }

    fn drop_holder(&mut self, id: ReqId, holder: &ServerId) {
        if let Some(lease) = self.0.get_mut(&id) {
            lease.holders.retain(|of| of.server != *holder);
            if lease.holders.is_empty() {
                self.0.remove(&id);
            }
        }
    }

    /// Requests for which something may be held.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether all that is left waits for an attempt or has not been let go of yet.
    pub fn letting_go(&self) -> usize {
        let told = |lease: &&Lease| lease.holders.iter().any(|holder| holder.letting_go.is_some());
        self.0.values().filter(told).count()
    }
}
