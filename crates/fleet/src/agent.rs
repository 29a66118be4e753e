//! State machine of an agent: a member that runs beside a front or an engine. It reports the counts of its front to all
//! keepers and takes part in membership.
//!
//! The front never waits for its agent: it writes its counts to a file, which the agent reads. This module does no I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elderstage_tally::{Tally, TallySnapshot};

use crate::evidence::Report;
use crate::members::{Identity, Members, OutgoingMessage};
use crate::name::Name;
use crate::wire::MemberMessage;
use crate::{Micros, SECOND};

/// Interval between reports to each keeper. At 350 members and five keepers that is 1,750 messages a second in the
/// fleet, 350 at each keeper, of a few hundred bytes each.
const REPORT_INTERVAL: Micros = SECOND;

/// An event for an agent.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from a member of this fleet.
    PeerMessage { peer: Name, body: MemberMessage },
    /// The counts that the front wrote last.
    TallyRead(TallySnapshot),
}

/// What the caller does next, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to a member. `at` is its listen address if membership provides it; else the configuration does.
    Send { to: Name, at: Option<SocketAddr>, body: MemberMessage },
    /// The number of keepers that answer reports has changed.
    ReachableKeepers { reachable: usize },
    /// A message of this member was malformed or not permitted.
    RejectedMessage { peer: Name },
}

/// An agent.
pub struct Agent {
    keepers: Vec<Name>,
    members: Members,
    /// The front's latest counts. An agent beside an engine has none and sends empty reports as a sign of life.
    latest_tally: Option<TallySnapshot>,
    is_beside_front: bool,
    report_version: u64,
    next_report: Micros,
    /// By keeper: when it last acknowledged a report, and how many commands it had applied.
    acknowledgements: BTreeMap<Name, (Micros, u64)>,
    reachable_keepers: usize,
}

impl Agent {
    /// Starts an agent. `is_beside_front` is false for an agent beside an engine.
    pub fn new(
        keepers: Vec<Name>,
        me: Identity,
        seeds: Vec<Identity>,
        is_beside_front: bool,
        seed: u64,
        now: Micros,
    ) -> Agent {
        let members = Members::new(me, seeds, seed, now);
        let (latest_tally, acknowledgements) = (None, BTreeMap::new());
        Agent {
            keepers,
            members,
            latest_tally,
            is_beside_front,
            report_version: 0,
            next_report: now,
            acknowledgements,
            reachable_keepers: 0,
        }
    }

    /// The membership view.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Highest number of applied commands that any keeper has acknowledged with.
    pub fn applied_commands(&self) -> u64 {
        self.acknowledgements.values().map(|(_, applied_commands)| *applied_commands).max().unwrap_or(0)
    }

    /// When [`Self::wake`] is due next.
    pub fn next_timer(&self) -> Micros {
        self.members.next_timer().into_iter().chain([self.next_report]).min().unwrap_or(self.next_report)
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::PeerMessage { peer, body: MemberMessage::Swim(message) } => {
                let mut sends = Vec::new();
                if !self.members.handle(now, &message, &mut sends) {
                    out.push(Output::RejectedMessage { peer });
                }
                send_gossip(sends, out);
            }
            Input::PeerMessage { peer, body: MemberMessage::ReportAck { applied_commands } }
                if self.keepers.contains(&peer) =>
            {
                self.acknowledgements.insert(peer, (now, applied_commands));
                self.update_reachable_keepers(now, out);
            }
            Input::PeerMessage { peer, .. } => out.push(Output::RejectedMessage { peer }),
            Input::TallyRead(latest_tally) => {
                // Files are read in the order in which they were written. Boots are compared for equality only, since
                // the front's clock may have gone back between two starts.
                let newer = |last: &TallySnapshot| {
                    latest_tally.boot != last.boot || latest_tally.version > last.version
                };
                if self.latest_tally.as_ref().is_none_or(newer) {
                    self.latest_tally = Some(latest_tally);
                }
            }
        }
    }

    /// Runs all timers that are due.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.members.wake(now, &mut sends);
        send_gossip(sends, out);
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            self.report_version += 1;
            self.send_report(out);
            self.update_reachable_keepers(now, out);
        }
    }

    fn send_report(&self, out: &mut Vec<Output>) {
        let me = self.members.me();
        let (boot, version, tally) = match (&self.latest_tally, self.is_beside_front) {
            (Some(latest_tally), true) => {
                (latest_tally.boot, latest_tally.version, latest_tally.tally.clone())
            }
            // No counts of the front have been read yet.
            (None, true) => return,
            (_, false) => (me.boot, self.report_version, Tally::default()),
        };
        let (member, kind, zone) = (me.name.clone(), me.kind, me.zone.clone());
        let report = Report { member, kind, zone, boot, version, tally };
        for to in &self.keepers {
            let body = MemberMessage::Report(Box::new(report.clone()));
            out.push(Output::Send { to: to.clone(), at: None, body });
        }
    }

    fn update_reachable_keepers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let reachable =
            self.acknowledgements.values().filter(|(at, _)| now <= at + 5 * REPORT_INTERVAL).count();
        if reachable != self.reachable_keepers {
            self.reachable_keepers = reachable;
            out.push(Output::ReachableKeepers { reachable });
        }
    }
}

fn send_gossip(sends: Vec<OutgoingMessage>, out: &mut Vec<Output>) {
    for OutgoingMessage { to, message } in sends {
        out.push(Output::Send { to: to.name, at: Some(to.at), body: MemberMessage::Swim(message) });
    }
}
