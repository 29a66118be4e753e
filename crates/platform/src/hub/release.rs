//! Selects the engines that a release is sent to, and records which engines can be reached.

use std::cmp::Reverse;
use std::net::SocketAddr;

use elderstage::{Outcome, RequestId, ServerId, Time};

use super::{Command, Hub};
use crate::leases::{ReleaseWave, wave_interval};

/// When the next wave of a release is due. The heap of timers orders by the fields in their order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaveTimer {
    pub(super) at: Time,
    pub(super) id: RequestId,
    pub(super) holder: ServerId,
    pub(super) round: u32,
    pub(super) wave: u32,
}

impl Hub {
    /// Records whether a server answered.
    pub(super) fn record_contact(&mut self, server: &ServerId, answered: bool, now: Time) {
        if answered {
            self.reachability.record_answer(server, now)
        } else {
            self.reachability.record_silence(server, now)
        }
    }

    /// Records what the outcome of an attempt or probe shows about whether a server can be reached.
    pub(super) fn record_outcome(&mut self, server: &ServerId, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Served | Outcome::Read | Outcome::Error | Outcome::Full => {
                self.record_contact(server, true, now)
            }
            Outcome::TimedOut | Outcome::NoConnection => self.record_contact(server, false, now),
            Outcome::Broken | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Sends one wave of a release: to the holder, to one engine of each zone, or to both.
    pub(super) fn send_release_wave(
        &mut self,
        now: Time,
        id: RequestId,
        wave: ReleaseWave,
        commands: &mut Vec<Command>,
    ) {
        let holder_address =
            self.directory.address(&wave.holder).map(|address| (wave.holder.clone(), address));
        let mut targets: Vec<(ServerId, SocketAddr)> = Vec::new();
        if wave.number == 0 {
            targets.extend(holder_address);
        }
        if wave.to_all_zones || targets.is_empty() {
            let salt = id.0 as usize;
            let zones = self.reachability.select_engine_per_zone(
                &self.directory,
                self.zone,
                &wave.calls_by_engine,
                wave.number,
                salt,
            );
            targets.extend(zones.into_iter().filter(|(server, _)| wave.number > 0 || *server != wave.holder));
        }
        if targets.is_empty() {
            // No engine is known at all, so none can be called and none holds any state.
            self.leases.remove(id);
            return;
        }
        let engines: Vec<ServerId> = targets.iter().map(|(server, _)| server.clone()).collect();
        let (round, wave_number) = (wave.round, wave.number);
        self.leases.record_wave(id, &wave.holder, round, &engines);
        let at = now + wave_interval(self.release_time_limit);
        self.wave_timers.push(Reverse(WaveTimer {
            at,
            id,
            holder: wave.holder.clone(),
            round,
            wave: wave_number,
        }));
        for (engine, dial) in targets {
            self.counts.releases += 1;
            let (trace, holder) = (wave.trace.clone(), wave.holder.clone());
            commands.push(Command::Release {
                id,
                trace,
                holder,
                release_number: round,
                engine,
                address: dial,
            });
        }
    }
}
