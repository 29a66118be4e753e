//! Request counts of a process, cumulative since its start.
//!
//! A front counts its requests, the agent on its machine forwards the counts, and keepers add them up over
//! all members. This crate holds the counts and their format; it neither sends nor stores them. Counts never
//! decrease, so every later count includes the earlier ones. A report that is lost, duplicated, late or out
//! of order therefore changes nothing (`crates/fleet/src/evidence`).

mod times;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use times::DurationHistogram;

/// Maximum number of groups that one process counts separately. Classes times settings amount to a few dozen.
/// Further groups are counted under [`GroupKey::overflow`], so that memory stays bounded in a service whose
/// settings change every minute.
pub const MAX_GROUPS: usize = 1024;
/// Maximum length of a part of a key, in bytes. Digests have 64.
pub const MAX_TEXT_BYTES: usize = 128;

/// Identifies a group of requests that are counted together.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupKey {
    /// Class of the requests, by its name in the settings.
    pub class: String,
    /// Release of the program that served them.
    pub release: String,
    /// Digest of the settings under which they were served.
    pub settings: String,
    /// Checkpoint of the model; empty if unknown.
    #[serde(default)]
    pub checkpoint: String,
    /// Variant of the model; empty if unknown.
    #[serde(default)]
    pub variant: String,
}

impl GroupKey {
    /// The key under which all groups beyond [`MAX_GROUPS`] are counted.
    pub fn overflow() -> GroupKey {
        GroupKey { class: "(rest)".into(), ..GroupKey::default() }
    }

    /// Whether no part is longer than [`MAX_TEXT_BYTES`].
    pub fn is_within_limits(&self) -> bool {
        [&self.class, &self.release, &self.settings, &self.checkpoint, &self.variant]
            .iter()
            .all(|part| part.len() <= MAX_TEXT_BYTES)
    }
}

/// Counts of one group. Every request in `asked` is counted in exactly one of `in_time`, `late`, `refused`,
/// `failed`, `broken` and `gone`, or is still open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Requests that were received.
    pub asked: u64,
    /// Served completely, with the first token within the class's time target.
    pub in_time: u64,
    /// Served completely, with the first token after the class's time target.
    pub late: u64,
    /// Answered with a refusal.
    pub refused: u64,
    /// Answered with an error.
    pub failed: u64,
    /// Streams that broke off before their last event.
    pub broken: u64,
    /// The client disconnected before it had an answer.
    pub gone: u64,
    /// Time from the arrival of a request to the first event that was sent to the client.
    pub first_token: DurationHistogram,
    /// Mean time between the events of a stream, recorded once for each stream that was served completely.
    pub token_gap: DurationHistogram,
}

impl OutcomeCounts {
    /// Adds the counts of another process.
    pub fn add(&mut self, other: &OutcomeCounts) {
        for (count, other_count) in [
            (&mut self.asked, other.asked),
            (&mut self.in_time, other.in_time),
            (&mut self.late, other.late),
            (&mut self.refused, other.refused),
            (&mut self.failed, other.failed),
            (&mut self.broken, other.broken),
            (&mut self.gone, other.gone),
        ] {
            *count = count.saturating_add(other_count);
        }
        self.first_token.add(&other.first_token);
        self.token_gap.add(&other.token_gap);
    }

    /// Requests that have ended: they have their final answer, or their client has disconnected.
    pub fn ended(&self) -> u64 {
        [self.in_time, self.late, self.refused, self.failed, self.broken, self.gone]
            .iter()
            .fold(0, |sum: u64, n| sum.saturating_add(*n))
    }
}

/// All counts of one process, by group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally(BTreeMap<GroupKey, OutcomeCounts>);

impl Tally {
    /// The counts of a group, created if missing.
    pub fn counts_mut(&mut self, key: &GroupKey) -> &mut OutcomeCounts {
        let key = if self.0.len() >= MAX_GROUPS && !self.0.contains_key(key) {
            GroupKey::overflow()
        } else {
            key.clone()
        };
        self.0.entry(key).or_default()
    }

    /// All groups with their counts.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupKey, &OutcomeCounts)> {
        self.0.iter()
    }

    /// The number of groups.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing has been counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the counts of another process, group by group.
    pub fn add(&mut self, other: &Tally) {
        for (key, counts) in &other.0 {
            self.counts_mut(key).add(counts);
        }
    }

    /// The sum over all groups.
    pub fn sum(&self) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        self.0.values().for_each(|counts| sum.add(counts));
        sum
    }
}

/// Serialized as a list of groups, since JSON object keys cannot have several parts.
impl Serialize for Tally {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.iter())
    }
}

impl<'de> Deserialize<'de> for Tally {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Tally, D::Error> {
        let groups: Vec<(GroupKey, OutcomeCounts)> = Vec::deserialize(deserializer)?;
        if groups.len() > MAX_GROUPS + 1 {
            return Err(serde::de::Error::custom(format!(
                "{} groups, expected {MAX_GROUPS} at most",
                groups.len()
            )));
        }
        if let Some((key, _)) = groups.iter().find(|(key, _)| !key.is_within_limits()) {
            return Err(serde::de::Error::custom(format!(
                "class {:.40}: a part of the key is longer than {MAX_TEXT_BYTES} bytes",
                key.class
            )));
        }
        Ok(Tally(groups.into_iter().collect()))
    }
}

/// The report that a front writes for the agent on its machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallySnapshot {
    /// Start time of the process in microseconds, which distinguishes it from its predecessor. It is compared
    /// only with other starts of the same member, never with the clock of another machine.
    pub boot: u64,
    /// Increases with every report. Of the reports of one boot the one with the highest version is valid.
    pub version: u64,
    /// The counts.
    pub tally: Tally,
}

#[cfg(test)]
mod tests;
