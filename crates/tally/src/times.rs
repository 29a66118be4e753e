//! Times by powers of two in four steps each: 32 bytes a time that was met, any quantile within a fifth.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Steps of one power of two.
const STEPS: u64 = 4;
/// The highest step: 2^40 microseconds, twelve days.
const MOST: u16 = 40 * STEPS as u16;

/// How often times fell into each step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Times(BTreeMap<u16, u64>);

/// Four steps to each power of two: the two bits after the highest one tell which.
fn step(micros: u64) -> u16 {
    if micros < STEPS {
        return micros as u16;
    }
    let power = u64::from(micros.ilog2());
    let part = (micros >> (power - 2)) & (STEPS - 1);
    u16::try_from((power - 1) * STEPS + part).unwrap_or(MOST).min(MOST)
}

/// The lowest time of a step, in microseconds.
fn floor(step: u16) -> u64 {
    let (power, part) = (u64::from(step) / STEPS, u64::from(step) % STEPS);
    if power == 0 { part } else { (STEPS + part) << (power - 1) }
}

impl Times {
    pub fn record(&mut self, micros: u64) {
        let count = self.0.entry(step(micros)).or_default();
        *count = count.saturating_add(1);
    }

    pub fn add(&mut self, other: &Times) {
        for (step, n) in &other.0 {
            let count = self.0.entry((*step).min(MOST)).or_default();
            *count = count.saturating_add(*n);
        }
    }

    pub fn count(&self) -> u64 {
        self.0.values().fold(0, |sum: u64, n| sum.saturating_add(*n))
    }

    /// The lower bound, in microseconds, of the step in which this share of all times is reached.
    pub fn quantile(&self, share: f64) -> Option<u64> {
        let wanted = (share.clamp(0.0, 1.0) * self.count() as f64).ceil().max(1.0) as u64;
        let mut seen = 0u64;
        self.0.iter().find_map(|(step, n)| {
            seen = seen.saturating_add(*n);
            (seen >= wanted).then(|| floor(*step))
        })
    }
}

#[cfg(test)]
mod tests;
