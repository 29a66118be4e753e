//! The reports that a keeper holds: the newest of each member and boot.

use std::collections::{BTreeMap, VecDeque};

use elderstage_tally::Tally;

use super::report::Report;
use crate::Micros;
use crate::members::MemberKind;
use crate::name::Name;

/// Maximum number of members whose reports are held.
pub const MAX_MEMBERS: usize = 4096;
/// Boots of a member that are held individually. The counts of older boots are merged into one sum, and late reports
/// of those are ignored. Bounds the memory for a member in a crash loop. Boots are distinguished, not ordered: clocks
/// may go back.
pub const MAX_BOOTS_PER_MEMBER: usize = 8;
/// Merged boots that are remembered, so that their late reports are recognized.
const MAX_MERGED_BOOTS: usize = 256;

/// Member name, boot ID and version of a report.
pub type ReportVersion = (Name, u64, u64);

/// The reports of one member.
#[derive(Clone, Debug)]
pub struct MemberReports {
    pub kind: MemberKind,
    pub zone: Name,
    pub boots: BTreeMap<u64, BootReport>,
    /// Sum of the counts of merged boots, and the most recently merged boots.
    pub merged_counts: Tally,
    merged_boots: VecDeque<u64>,
    /// When a newer report last arrived, on this keeper's clock.
    pub last_report_at: Micros,
    /// When the first report arrived; used for the request rate.
    pub first_report_at: Micros,
}

/// The newest report of one boot.
#[derive(Clone, Debug)]
pub struct BootReport {
    pub version: u64,
    pub tally: Tally,
    /// Rank in the order of arrival at this keeper.
    arrival: u64,
}

impl MemberReports {
    /// The boot whose report arrived last.
    pub fn current(&self) -> Option<(u64, &BootReport)> {
        self.boots.iter().max_by_key(|(_, boot)| boot.arrival).map(|(n, boot)| (*n, boot))
    }

    /// The newest report of one boot, as received.
    pub fn report(&self, member: &Name, boot: u64) -> Option<Report> {
        let found = self.boots.get(&boot)?;
        Some(Report {
            member: member.clone(),
            kind: self.kind,
            zone: self.zone.clone(),
            boot,
            version: found.version,
            tally: found.tally.clone(),
        })
    }

    /// Sum of the counts of all boots.
    pub fn total(&self) -> Tally {
        let mut total = self.merged_counts.clone();
        self.boots.values().for_each(|boot| total.add(&boot.tally));
        total
    }
}

/// The reports of all members.
#[derive(Clone, Debug, Default)]
pub struct ReportStore {
    members: BTreeMap<Name, MemberReports>,
    arrival: u64,
    /// Number of reports that were not newer, and of those refused for lack of space.
    pub stale: u64,
    pub refused: u64,
}

impl ReportStore {
    /// Stores a report; `true` if it was newer than the held one.
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

    /// All members with their reports.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &MemberReports)> {
        self.members.iter()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no report.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Versions of all held reports, for another keeper to compare.
    pub fn versions(&self) -> Vec<ReportVersion> {
        let member_versions = |(name, held): (&Name, &MemberReports)| -> Vec<ReportVersion> {
            held.boots.iter().map(|(boot, report)| (name.clone(), *boot, report.version)).collect()
        };
        self.members.iter().flat_map(member_versions).collect()
    }

    /// Reports that are newer here than in `peer_versions`, up to about `max_bytes`.
    pub fn newer_than(&self, peer_versions: &[ReportVersion], max_bytes: usize) -> Vec<Report> {
        let peer_versions: BTreeMap<(&Name, u64), u64> =
            peer_versions.iter().map(|(name, boot, version)| ((name, *boot), *version)).collect();
        let (mut out, mut bytes) = (Vec::new(), 0);
        for (name, held) in &self.members {
            for (number, boot) in &held.boots {
                if peer_versions.get(&(name, *number)).is_some_and(|version| *version >= boot.version) {
                    continue;
                }
                // A group's key and counts take a few hundred bytes.
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
