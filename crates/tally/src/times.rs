//! A histogram of durations. Each power of two is divided into four buckets, so any quantile is accurate to a
//! fifth. A bucket takes 32 bytes, and only buckets that have been used take any.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Buckets in each power of two.
const BUCKETS_PER_POWER: u64 = 4;
/// The highest bucket. It holds durations from 2^41 microseconds (25 days) on.
const MAX_BUCKET: u16 = 40 * BUCKETS_PER_POWER as u16;

/// A histogram: the number of durations in each bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DurationHistogram(BTreeMap<u16, u64>);

/// The bucket of a duration. The highest set bit selects the power of two, the two bits after it one of its
/// four buckets.
fn bucket(micros: u64) -> u16 {
    if micros < BUCKETS_PER_POWER {
        return micros as u16;
    }
    let power = u64::from(micros.ilog2());
    let part = (micros >> (power - 2)) & (BUCKETS_PER_POWER - 1);
    u16::try_from((power - 1) * BUCKETS_PER_POWER + part).unwrap_or(MAX_BUCKET).min(MAX_BUCKET)
}

/// The shortest duration of a bucket, in microseconds.
fn lower_bound(bucket: u16) -> u64 {
    let (power, part) = (u64::from(bucket) / BUCKETS_PER_POWER, u64::from(bucket) % BUCKETS_PER_POWER);
    if power == 0 { part } else { (BUCKETS_PER_POWER + part) << (power - 1) }
}

impl DurationHistogram {
    /// Counts a duration in microseconds.
    pub fn record(&mut self, micros: u64) {
        let count = self.0.entry(bucket(micros)).or_default();
        *count = count.saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &DurationHistogram) {
        for (bucket, n) in &other.0 {
            let count = self.0.entry((*bucket).min(MAX_BUCKET)).or_default();
            *count = count.saturating_add(*n);
        }
    }

    /// The number of durations in all buckets.
    pub fn count(&self) -> u64 {
        self.0.values().fold(0, |sum: u64, n| sum.saturating_add(*n))
    }

    /// The lower bound, in microseconds, of the bucket in which `fraction` of all durations is reached.
    /// `None` if there are no durations.
    pub fn quantile(&self, fraction: f64) -> Option<u64> {
        let rank = (fraction.clamp(0.0, 1.0) * self.count() as f64).ceil().max(1.0) as u64;
        let mut seen = 0u64;
        self.0.iter().find_map(|(bucket, n)| {
            seen = seen.saturating_add(*n);
            (seen >= rank).then(|| lower_bound(*bucket))
        })
    }
}

#[cfg(test)]
mod tests;
