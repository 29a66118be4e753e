//! What engines may hold for requests, and letting go of it.
//!
//! A reader that has read a prompt holds its state until a writer takes it or it is told to let go. The module says
//! when; this keeps where, and says a release again until it has reached an engine: the time that the rule gives goes
//! on while connections do not come up. A release is known by the request's id alone and every engine accepts it, so
//! when the holder can't be reached the next try goes to another engine.

use std::collections::BTreeMap;

use elderstage::{ReqId, ServerId, Time};

/// Tries of one release before it is given up: no engine has been reached for seconds then.
const TRIES: u32 = 24;
/// A release is not said again after this time: the engines' own limits have acted by then. In microseconds.
const LIFE: Time = 10_000_000;

#[derive(Debug)]
struct Lease {
    trace: Box<str>,
    holders: Vec<Holder>,
    /// An attempt is out: what is held waits for it.
    wanted: bool,
}

#[derive(Debug)]
struct Holder {
    server: ServerId,
    /// Being told to let go: how often it was tried, and since when.
    letting_go: Option<(u32, Time)>,
}

/// What to tell whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub trace: Box<str>,
    pub holder: ServerId,
    /// How often it was said before; the first goes to the holder.
    pub tries: u32,
}

/// All that may be held.
#[derive(Debug, Default)]
pub struct Leases(BTreeMap<ReqId, Lease>);

impl Leases {
    /// An attempt that may leave a state behind has ended at this server.
    pub fn may_hold(&mut self, id: ReqId, trace: &str, server: &ServerId) {
        let lease = self.0.entry(id).or_insert_with(|| Lease {
            trace: trace.into(),
            holders: Vec::new(),
            wanted: false,
        });
        if !lease.holders.iter().any(|holder| holder.server == *server) {
            lease.holders.push(Holder { server: server.clone(), letting_go: None });
        }
    }

    /// Whether an attempt of this request is out. While one is, nothing is let go that it may come for.
    pub fn wanted(&mut self, id: ReqId, wanted: bool) {
        if let Some(lease) = self.0.get_mut(&id) {
            lease.wanted = wanted;
        }
    }

    /// The request streams: the engines have let go of the rest.
    pub fn taken(&mut self, id: ReqId) {
        self.0.remove(&id);
    }

    /// The module lets go: whom to tell that is not being told already.
    pub fn release(&mut self, id: ReqId, now: Time) -> Vec<Call> {
        let Some(lease) = self.0.get_mut(&id) else { return Vec::new() };
        let mut calls = Vec::new();
        for holder in lease.holders.iter_mut().filter(|holder| holder.letting_go.is_none()) {
            holder.letting_go = Some((0, now));
            calls.push(Call { trace: lease.trace.clone(), holder: holder.server.clone(), tries: 0 });
        }
        calls
    }

    /// A release was said; `heard`: it has reached an engine whole. Gives the next try, if there is one.
    pub fn said(&mut self, id: ReqId, server: &ServerId, heard: bool, now: Time) -> Option<Call> {
        let lease = self.0.get_mut(&id)?;
        let wanted = lease.wanted;
        let holder = lease.holders.iter_mut().find(|holder| holder.server == *server)?;
        let (tries, since) = holder.letting_go.as_mut()?;
        *tries += 1;
        if heard || *tries >= TRIES || now >= *since + LIFE {
            lease.holders.retain(|holder| holder.server != *server);
            if lease.holders.is_empty() {
                self.0.remove(&id);
            }
            return None;
        }
        if wanted {
            // Its next release tells it again.
            holder.letting_go = None;
            return None;
        }
        Some(Call { trace: lease.trace.clone(), holder: server.clone(), tries: *tries })
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
