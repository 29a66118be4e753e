//! Drives the `foca` library with explicit times: collects the messages it sends and keeps its timers. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec,
    Timer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::identity::Identity;
use crate::Micros;
use crate::name::Name;

/// One probe a second. Without an answer within half a second, three other members probe indirectly.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const INDIRECT_PROBES: usize = 3;
/// A suspect is down after this time: three probe periods in which the suspicion can spread.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// A member that is down is remembered for an hour, so that a late update does not bring it back.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(3600);
/// How often each member forwards an update: 4 log10(1,000), the rule of memberlist for local networks.
const MAX_GOSSIP_TRANSMISSIONS: u8 = 12;
/// Largest message: updates of about 60 members.
const MAX_PACKET_BYTES: usize = 8 << 10;
/// Maximum number of known members; further ones are ignored. Protects against a flood of made-up names.
const MAX_MEMBERS: usize = 4096;
/// Interval at which a member that knows no other announces itself to a seed.
const ANNOUNCE_INTERVAL: Micros = 2_000_000;

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    pub to: Identity,
    pub message: Vec<u8>,
}

/// State of a member, as this member sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberStatus {
    pub identity: Identity,
    #[serde(rename = "up")]
    pub is_up: bool,
}

/// This member's view of the membership.
pub struct Members {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    next_timer_id: u64,
    /// Members to announce to.
    seeds: Vec<Identity>,
    next_announce: Micros,
    announce_count: usize,
    /// Last known identity of each member, including those that are down.
    last_known: BTreeMap<Name, Identity>,
    up: BTreeSet<Name>,
}

impl Members {
    /// Starts the membership of `me`. `seed` seeds the random choice of probe targets.
    pub fn new(me: Identity, seeds: Vec<Identity>, seed: u64, now: Micros) -> Members {
        let announce = |seconds, members| {
            let frequency = Duration::from_secs(seconds);
            NonZeroUsize::new(members).map(|num_members| PeriodicParams { frequency, num_members })
        };
        let config = Config {
            probe_period: PROBE_PERIOD,
            probe_rtt: PROBE_TIMEOUT,
            num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(MAX_GOSSIP_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: SUSPECT_TIMEOUT,
            remove_down_after: Some(DOWN_MEMBER_RETENTION),
            max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            // These reunite the two sides of a network partition.
            periodic_announce: announce(30, 1),
            periodic_announce_to_down_members: announce(15, 2),
            periodic_gossip: None,
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let last_known = BTreeMap::from([(me.name.clone(), me.clone())]);
        let seeds = seeds.into_iter().filter(|member| member.name != me.name).collect();
        let foca = Foca::new(me, config, rng, PostcardCodec);
        Members {
            foca,
            timers: BTreeMap::new(),
            next_timer_id: 0,
            seeds,
            next_announce: now,
            announce_count: 0,
            last_known,
            up: BTreeSet::new(),
        }
    }

    /// This member's own identity.
    pub fn me(&self) -> &Identity {
        self.foca.identity()
    }

    /// When [`Self::wake`] is due next.
    pub fn next_timer(&self) -> Option<Micros> {
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        timer.into_iter().chain((!self.seeds.is_empty()).then_some(self.next_announce)).min()
    }

    /// Runs all timers that are due.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<OutgoingMessage>) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            let mut runtime = AccumulatingRuntime::new();
            // Errors concern messages of other members or an identity no longer in use: nothing to do.
            let _ = self.foca.handle_timer(timer, &mut runtime);
            self.process_runtime(now, runtime, out);
        }
        if now >= self.next_announce && !self.seeds.is_empty() {
            self.next_announce = now + ANNOUNCE_INTERVAL;
            if self.foca.num_members() == 0 {
                let seed = self.seeds[self.announce_count % self.seeds.len()].clone();
                self.announce_count += 1;
                let mut runtime = AccumulatingRuntime::new();
                let _ = self.foca.announce(seed, &mut runtime);
                self.process_runtime(now, runtime, out);
            }
        }
    }

    /// Processes a message of another member. `false` if it is malformed.
    pub fn handle(&mut self, now: Micros, message: &[u8], out: &mut Vec<OutgoingMessage>) -> bool {
        if message.len() > MAX_PACKET_BYTES || self.last_known.len() >= MAX_MEMBERS {
            return message.len() <= MAX_PACKET_BYTES;
        }
        let mut runtime = AccumulatingRuntime::new();
        let result = self.foca.handle_data(message, &mut runtime);
        self.process_runtime(now, runtime, out);
        !matches!(
            result,
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig)
        )
    }

    /// Collects messages, timers and notifications of the library.
    fn process_runtime(
        &mut self,
        now: Micros,
        mut runtime: AccumulatingRuntime<Identity>,
        out: &mut Vec<OutgoingMessage>,
    ) {
        while let Some((to, message)) = runtime.to_send() {
            out.push(OutgoingMessage { to, message: message.to_vec() });
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            let at = now + u64::try_from(after.as_micros()).unwrap_or(Micros::MAX / 2);
            self.next_timer_id += 1;
            self.timers.insert((at, self.next_timer_id), timer);
        }
        while let Some(notification) = runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) | OwnedNotification::Rename(_, member) => {
                    self.up.insert(member.name.clone());
                    self.last_known.insert(member.name.clone(), member);
                }
                OwnedNotification::MemberDown(member) => {
                    // Ignores a late update about a start before the current one.
                    if self
                        .last_known
                        .get(&member.name)
                        .is_none_or(|last_known| last_known.boot <= member.boot)
                    {
                        self.up.remove(&member.name);
                    }
                    self.last_known.entry(member.name.clone()).or_insert(member);
                }
                OwnedNotification::Rejoin(member) => {
                    drop(self.last_known.insert(member.name.clone(), member))
                }
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    /// All members that this process has ever known, by name. This member itself is up.
    pub fn statuses(&self) -> Vec<MemberStatus> {
        let me = &self.foca.identity().name;
        let statuses = |(name, identity): (&Name, &Identity)| MemberStatus {
            identity: identity.clone(),
            is_up: name == me || self.up.contains(name),
        };
        self.last_known.iter().map(statuses).collect()
    }

    /// Last known identity of a member.
    pub fn last_identity(&self, name: &Name) -> Option<&Identity> {
        self.last_known.get(name)
    }

    /// Announces that this member leaves.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<OutgoingMessage>) {
        let mut runtime = AccumulatingRuntime::new();
        let _ = self.foca.leave_cluster(&mut runtime);
        self.process_runtime(now, runtime, out);
    }
}
