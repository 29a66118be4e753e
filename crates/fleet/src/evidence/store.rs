//! The reports that a keeper holds: of each member and boot the newest.

use std::collections::{BTreeMap, VecDeque};

use elderstage_tally::Tally;

use super::report::Report;
use crate::Micros;
use crate::members::MemberKind;
use crate::name::Name;

/// Members whose reports are held at most.
pub const MAX_MEMBERS: usize = 4096;
/// Boots of a member that are held one by one; the counts of older ones are added up, and late reports of those are
/// not taken. Guards against a member in a crash loop. Boots are told apart, not ordered: clocks may go back.
pub const MAX_BOOTS_PER_MEMBER: usize = 8;
/// Added-up boots whose late reports are known for such.
const MAX_MERGED_BOOTS: usize = 256;

/// Member, boot and version of a report.
pub type ReportVersion = (Name, u64, u64);

/// One member's reports.
#[derive(Clone, Debug)]
pub struct MemberReports {
    pub kind: MemberKind,
    pub zone: Name,
    pub boots: BTreeMap<u64, BootReport>,
    /// Of boots that are no longer held one by one, and the last of these.
    pub merged_counts: Tally,
    merged_boots: VecDeque<u64>,
    /// When a newer report last came, on this keeper's clock.
    pub last_report_at: Micros,
    /// How long it had been told of before, for its pace.
    pub first_report_at: Micros,
}

#[derive(Clone, Debug)]
pub struct BootReport {
    pub version: u64,
    pub tally: Tally,
    /// The order in which reports came here.
    arrival: u64,
}

impl MemberReports {
    /// The boot whose report came last.
    pub fn current(&self) -> Option<(u64, &BootReport)> {
        self.boots.iter().max_by_key(|(_, boot)| boot.arrival).map(|(n, boot)| (*n, boot))
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
        let mut all = self.merged_counts.clone();
        self.boots.values().for_each(|boot| all.add(&boot.tally));
        all
    }
}

#[derive(Clone, Debug, Default)]
pub struct ReportStore {
    members: BTreeMap<Name, MemberReports>,
    arrival: u64,
    /// Reports that brought nothing new, and those for which there is no room.
    pub stale: u64,
    pub refused: u64,
}

impl ReportStore {
    /// Takes a report; whether it was newer than what is held.
    pub fn take(&mut self, now: Micros, report: &Report) -> bool {
        if !self.members.contains_key(&report.member) && self.members.len() >= MAX_MEMBERS {
            self.refused += 1;
            return false;
        }
        let held = self.members.entry(report.member.clone()).or_insert_with(|| MemberReports {
            kind: report.kind,
            zone: report.zone.clone(),
            boots: BTreeMap::new(),
            merged_counts: Tally::default(),
            merged_boots: VecDeque::new(),
            last_report_at: now,
            first_report_at: now,
        });
        let known = held.boots.get(&report.boot).map(|boot| boot.version);
        if held.merged_boots.contains(&report.boot) || known.is_some_and(|version| version >= report.version)
        {
            self.stale += 1;
            return false;
        }
        self.arrival += 1;
        let boot = BootReport { version: report.version, tally: report.tally.clone(), arrival: self.arrival };
        held.boots.insert(report.boot, boot);
        (held.kind, held.zone, held.last_report_at) = (report.kind, report.zone.clone(), now);
        while held.boots.len() > MAX_BOOTS_PER_MEMBER {
            let oldest = held.boots.iter().min_by_key(|(_, boot)| boot.arrival).map(|(number, _)| *number);
            let Some((number, boot)) = oldest.and_then(|number| held.boots.remove_entry(&number)) else {
                break;
            };
            held.merged_counts.add(&boot.tally);
            held.merged_boots.push_back(number);
            if held.merged_boots.len() > MAX_MERGED_BOOTS {
                held.merged_boots.pop_front();
            }
        }
        true
    }

    pub fn members(&self) -> impl Iterator<Item = (&Name, &MemberReports)> {
        self.members.iter()
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// What is held, to be compared by another keeper.
    pub fn versions(&self) -> Vec<ReportVersion> {
        let of = |(name, held): (&Name, &MemberReports)| -> Vec<ReportVersion> {
            held.boots.iter().map(|(boot, of)| (name.clone(), *boot, of.version)).collect()
        };
        self.members.iter().flat_map(of).collect()
    }

    /// What is newer here than `peer_versions`, and no more bytes of it than about `max_bytes`.
    pub fn newer_than(&self, peer_versions: &[ReportVersion], max_bytes: usize) -> Vec<Report> {
        let peer_versions: BTreeMap<(&Name, u64), u64> =
            peer_versions.iter().map(|(name, boot, version)| ((name, *boot), *version)).collect();
        let (mut out, mut bytes) = (Vec::new(), 0);
        for (name, held) in &self.members {
            for (number, boot) in &held.boots {
                if peer_versions.get(&(name, *number)).is_some_and(|version| *version >= boot.version) {
                    continue;
                }
                // A group's key and counts take some hundred bytes.
                bytes += 128 + 256 * boot.tally.len();
                if bytes > max_bytes && !out.is_empty() {
                    return out;
                }
                out.extend(held.report(name, *number));
            }
        }
        out
    }
}
