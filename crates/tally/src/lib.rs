//! What a process counts of its requests, cumulative since its start.
//!
//! A front counts; the agent beside it passes the counts on; keepers add them up over members. Nothing is ever
//! subtracted, so what was said once is said again with every later count: a report that is lost, doubled, late or
//! out of order changes nothing (`crates/fleet/src/evidence`).

mod times;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use times::Times;

/// Groups that one process keeps apart at most. Classes times settings is a few dozens; what comes beyond is
/// counted under [`Key::rest`], so that a service whose settings change each minute does not grow.
pub const MOST_GROUPS: usize = 1024;
/// Longest text of a part of a key, in bytes: digests are 64.
pub const MOST_TEXT: usize = 128;

/// What requests are told apart by.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Class of request, by its name in the settings.
    pub class: String,
    /// Release of the program that served it.
    pub release: String,
    /// Digest of the settings that it was served under.
    pub settings: String,
    /// Checkpoint and variant of the model, where they are known.
    #[serde(default)]
    pub checkpoint: String,
    #[serde(default)]
    pub variant: String,
}

impl Key {
    /// Stands for all groups beyond the bound.
    pub fn rest() -> Key {
        Key { class: "(rest)".into(), ..Key::default() }
    }

    /// Whether all parts are short enough to be passed on.
    pub fn fits(&self) -> bool {
        [&self.class, &self.release, &self.settings, &self.checkpoint, &self.variant]
            .iter()
            .all(|part| part.len() <= MOST_TEXT)
    }
}

/// Counts of one group. Every request taken ends in one of `in_time`, `late`, `refused`, `failed`, `broken` and
/// `gone`, or is still open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Taken.
    pub asked: u64,
    /// Served whole, the first token within the class's aim.
    pub in_time: u64,
    /// Served whole, the first token after the aim.
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    /// Streams that ended before their end.
    pub broken: u64,
    /// The client left before an answer.
    pub gone: u64,
    /// From arrival to the first event passed on.
    pub first_token: Times,
    /// Mean time between the events of a stream, one for each stream served whole.
    pub token_gap: Times,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        for (mine, theirs) in [
            (&mut self.asked, other.asked),
            (&mut self.in_time, other.in_time),
            (&mut self.late, other.late),
            (&mut self.refused, other.refused),
            (&mut self.failed, other.failed),
            (&mut self.broken, other.broken),
            (&mut self.gone, other.gone),
        ] {
            *mine = mine.saturating_add(theirs);
        }
        self.first_token.add(&other.first_token);
        self.token_gap.add(&other.token_gap);
    }

    /// Requests with their final answer, or without a client.
    pub fn ended(&self) -> u64 {
        [self.in_time, self.late, self.refused, self.failed, self.broken, self.gone]
            .iter()
            .fold(0, |sum: u64, n| sum.saturating_add(*n))
    }
}

/// All that one process has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally(BTreeMap<Key, Counts>);

impl Tally {
    /// The counts of a group, to be added to.
    pub fn of(&mut self, key: &Key) -> &mut Counts {
        let key =
            if self.0.len() >= MOST_GROUPS && !self.0.contains_key(key) { Key::rest() } else { key.clone() };
        self.0.entry(key).or_default()
    }

    pub fn groups(&self) -> impl Iterator<Item = (&Key, &Counts)> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn add(&mut self, other: &Tally) {
        for (key, counts) in &other.0 {
            self.of(key).add(counts);
        }
    }

    /// All groups together.
    pub fn sum(&self) -> Counts {
        let mut sum = Counts::default();
        self.0.values().for_each(|counts| sum.add(counts));
        sum
    }
}

/// On the wire and in files a list of groups: JSON has no keys of several parts.
impl Serialize for Tally {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(self.0.iter())
    }
}

impl<'de> Deserialize<'de> for Tally {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Tally, D::Error> {
        let groups: Vec<(Key, Counts)> = Vec::deserialize(from)?;
        if groups.len() > MOST_GROUPS + 1 {
            return Err(serde::de::Error::custom(format!("{} groups, {MOST_GROUPS} at most", groups.len())));
        }
        if let Some((key, _)) = groups.iter().find(|(key, _)| !key.fits()) {
            return Err(serde::de::Error::custom(format!(
                "class {:.40}: a part is over {MOST_TEXT} bytes",
                key.class
            )));
        }
        Ok(Tally(groups.into_iter().collect()))
    }
}

/// What a front writes for the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Tells this process from the one before: its start in microseconds. Compared for being the same and for order
    /// among starts of one member, never with another machine's clock.
    pub boot: u64,
    /// Rises with every file; of one boot the highest counts.
    pub version: u64,
    pub tally: Tally,
}

#[cfg(test)]
mod tests;
