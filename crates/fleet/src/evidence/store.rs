//! The reports that a keeper holds: of each member and boot the newest.

use std::collections::{BTreeMap, VecDeque};

use elderstage_tally::Tally;

use super::report::Report;
use crate::Time;
use crate::members::Kind;
use crate::name::Name;

/// Members whose reports are held at most.
pub const MOST_MEMBERS: usize = 4096;
/// Boots of a member that are held one by one; the counts of older ones are added up, and late reports of those are
/// not taken. Guards against a member in a crash loop. Boots are told apart, not ordered: clocks may go back.
pub const MOST_BOOTS: usize = 8;
/// Added-up boots whose late reports are known for such.
const MOST_ADDED_UP: usize = 256;

/// Member, boot and version of a report.
pub type Version = (Name, u64, u64);

/// One member's reports.
#[derive(Clone, Debug)]
pub struct Held {
    pub kind: Kind,
    pub zone: Name,
    pub boots: BTreeMap<u64, Boot>,
    /// Of boots that are no longer held one by one, and the last of these.
    pub earlier: Tally,
    added_up: VecDeque<u64>,
    /// When a newer report last came, on this keeper's clock.
    pub heard: Time,
    /// How long it had been told of before, for its pace.
    pub first: Time,
}

#[derive(Clone, Debug)]
pub struct Boot {
    pub version: u64,
    pub tally: Tally,
    /// The order in which reports came here.
    came: u64,
}

impl Held {
    /// The boot whose report came last.
    pub fn current(&self) -> Option<(u64, &Boot)> {
        self.boots.iter().max_by_key(|(_, boot)| boot.came).map(|(n, boot)| (*n, boot))
    }

    /// The newest report of one boot, as it came.
    pub fn report(&self, member: &Name, boot: u64) -> Option<Report> {
        let of = self.boots.get(&boot)?;
        Some(Report {
            member: member.clone(),
            kind: self.kind,
            zone: self.zone.clone(),
            boot,
            version: of.version,
            tally: of.tally.clone(),
        })
    }

    pub fn total(&self) -> Tally {
        let mut all = self.earlier.clone();
        self.boots.values().for_each(|boot| all.add(&boot.tally));
        all
    }
}

#[derive(Clone, Debug, Default)]
pub struct Store {
    members: BTreeMap<Name, Held>,
    came: u64,
    /// Reports that brought nothing new, and those for which there is no room.
    pub old: u64,
    pub refused: u64,
}

impl Store {
    /// Takes a report; whether it was newer than what is held.
    pub fn take(&mut self, now: Time, report: &Report) -> bool {
        if !self.members.contains_key(&report.member) && self.members.len() >= MOST_MEMBERS {
            self.refused += 1;
            return false;
        }
        let held = self.members.entry(report.member.clone()).or_insert_with(|| Held {
            kind: report.kind,
            zone: report.zone.clone(),
            boots: BTreeMap::new(),
            earlier: Tally::default(),
            added_up: VecDeque::new(),
            heard: now,
            first: now,
        });
        let known = held.boots.get(&report.boot).map(|boot| boot.version);
        if held.added_up.contains(&report.boot) || known.is_some_and(|version| version >= report.version) {
            self.old += 1;
            return false;
        }
        self.came += 1;
        let boot = Boot { version: report.version, tally: report.tally.clone(), came: self.came };
        held.boots.insert(report.boot, boot);
        (held.kind, held.zone, held.heard) = (report.kind, report.zone.clone(), now);
        while held.boots.len() > MOST_BOOTS {
            let oldest = held.boots.iter().min_by_key(|(_, boot)| boot.came).map(|(number, _)| *number);
            let Some((number, boot)) = oldest.and_then(|number| held.boots.remove_entry(&number)) else {
                break;
            };
            held.earlier.add(&boot.tally);
            held.added_up.push_back(number);
            if held.added_up.len() > MOST_ADDED_UP {
                held.added_up.pop_front();
            }
        }
        true
    }

    pub fn members(&self) -> impl Iterator<Item = (&Name, &Held)> {
        self.members.iter()
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// What is held, to be compared by another keeper.
    pub fn versions(&self) -> Vec<Version> {
        let of = |(name, held): (&Name, &Held)| -> Vec<Version> {
            held.boots.iter().map(|(boot, of)| (name.clone(), *boot, of.version)).collect()
        };
        self.members.iter().flat_map(of).collect()
    }

    /// What is newer here than `theirs`, and no more bytes of it than about `most`.
    pub fn newer_than(&self, theirs: &[Version], most: usize) -> Vec<Report> {
        let theirs: BTreeMap<(&Name, u64), u64> =
            theirs.iter().map(|(name, boot, version)| ((name, *boot), *version)).collect();
        let (mut out, mut bytes) = (Vec::new(), 0);
        for (name, held) in &self.members {
            for (number, boot) in &held.boots {
                if theirs.get(&(name, *number)).is_some_and(|version| *version >= boot.version) {
                    continue;
                }
                // A group's key and counts take some hundred bytes.
                bytes += 128 + 256 * boot.tally.len();
                if bytes > most && !out.is_empty() {
                    return out;
                }
                out.extend(held.report(name, *number));
            }
        }
        out
    }
}
