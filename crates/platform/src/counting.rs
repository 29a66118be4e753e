//! Counts a node's requests by class for the agent on its machine, if the configuration asks for that.
//!
//! The counts influence no decision, and nothing in this process reads them back. Each request is counted with one end.

use std::collections::HashMap;

use elderstage::{RequestId, Settings, Time};
use elderstage_tally::{GroupKey, OutcomeCounts, Tally};

/// A request that is open.
#[derive(Debug)]
struct OpenRequest {
    class: usize,
    arrived_at: Time,
    /// The longest time to the first token that counts as in time.
    first_token_aim: Time,
    first_token_at: Option<Time>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request was served completely.
    Served {
        /// Number of stream events that were forwarded.
        events: u64,
    },
    /// The request was rejected without effect.
    Refused,
    /// The request failed without a stream.
    Failed,
    /// The stream broke off.
    Broken,
    /// The client disconnected.
    Gone,
}

/// The counts of a node's requests.
#[derive(Debug)]
pub struct ClassCounts {
    release: String,
    /// For each class: its current key in the tally, its aim for the time to the first token, and the addition to the aim for
    /// each prompt token, in microseconds.
    classes: Vec<(GroupKey, Time, f64)>,
    tally: Tally,
    open: HashMap<RequestId, OpenRequest>,
}

impl ClassCounts {
    /// Creates empty counts. `digest` identifies the settings; `names` are the names of their classes, in order.
    pub fn new(release: &str, digest: &str, names: &[String], settings: &Settings) -> ClassCounts {
        let (tally, open) = (Tally::default(), HashMap::new());
        let mut counting = ClassCounts { release: release.into(), classes: Vec::new(), tally, open };
        counting.set_settings(digest, names, settings);
        counting
    }

    /// Counts under other settings from now on, including the requests that are open.
    pub fn set_settings(&mut self, digest: &str, names: &[String], settings: &Settings) {
        let class_entry = |(index, class): (usize, &elderstage::Class)| {
            let name = names.get(index).cloned().unwrap_or_else(|| index.to_string());
            let key = GroupKey {
                class: name,
                release: self.release.clone(),
                settings: digest.into(),
                ..GroupKey::default()
            };
            (key, class.ttft_target, class.ttft_target_per_1000_tokens / 1000.0)
        };
        self.classes = settings.classes.iter().enumerate().map(class_entry).collect();
    }

    /// Returns the counts.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the counts of a class.
    fn counts(&mut self, class: usize) -> &mut OutcomeCounts {
        let rest = GroupKey::overflow();
        self.tally.counts_mut(self.classes.get(class).map_or(&rest, |(key, ..)| key))
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: Time, id: RequestId, class: usize, prompt: f64) {
        let first_token_aim =
            self.classes.get(class).map_or(0, |(_, aim, per)| aim + (per * prompt.max(0.0)) as Time);
        self.counts(class).asked += 1;
        self.open.insert(id, OpenRequest { class, arrived_at: now, first_token_aim, first_token_at: None });
    }

    /// Records the first event of a request's stream; later calls have no effect.
    pub fn record_first_event(&mut self, now: Time, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.first_token_at.get_or_insert(now);
        }
    }

    /// Records the end of a request; further ends of the same request are not counted.
    pub fn record_end(&mut self, now: Time, id: RequestId, end: RequestEnd) {
        let Some(request) = self.open.remove(&id) else { return };
        let counts = self.counts(request.class);
        let wait = request.first_token_at.map(|first| first.saturating_sub(request.arrived_at));
        if let Some(wait) = wait {
            counts.first_token.record(wait);
        }
        match end {
            RequestEnd::Served { events } => {
                let in_time = wait.is_some_and(|wait| wait <= request.first_token_aim);
                *(if in_time { &mut counts.in_time } else { &mut counts.late }) += 1;
                if let Some(first) = request.first_token_at.filter(|_| events > 1) {
                    counts.token_gap.record(now.saturating_sub(first) / (events - 1));
                }
            }
            RequestEnd::Refused => counts.refused += 1,
            RequestEnd::Failed => counts.failed += 1,
            RequestEnd::Broken => counts.broken += 1,
            RequestEnd::Gone => counts.gone += 1,
        }
    }
}
