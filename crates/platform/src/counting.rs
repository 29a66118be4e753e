//! What a node counts of its requests for the agent beside it, where its configuration asks for that.
//!
//! Decides nothing and is read by nobody in this process: a node without it does the same.

use std::collections::HashMap;

use elderstage::{ReqId, Settings, Time};
use elderstage_tally::{Counts, Key, Tally};

#[derive(Debug)]
struct Asked {
    class: usize,
    at: Time,
    aim: Time,
    first: Option<Time>,
}

/// How a request came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served whole, in so many events.
    Served {
        events: u64,
    },
    Refused,
    Failed,
    Broken,
    Gone,
}

#[derive(Debug)]
pub struct Counting {
    release: String,
    /// By class: what it is counted under now, its aim for the first token, and for each prompt token, microseconds.
    classes: Vec<(Key, Time, f64)>,
    tally: Tally,
    open: HashMap<ReqId, Asked>,
}

impl Counting {
    /// `settings`: what the settings are known by; the classes' names are in their order.
    pub fn new(release: &str, digest: &str, names: &[String], settings: &Settings) -> Counting {
        let (tally, open) = (Tally::default(), HashMap::new());
        let mut counting = Counting { release: release.into(), classes: Vec::new(), tally, open };
        counting.under(digest, names, settings);
        counting
    }

    /// Counts under other settings from now on, also what is under way.
    pub fn under(&mut self, digest: &str, names: &[String], settings: &Settings) {
        let of = |(n, class): (usize, &elderstage::Class)| {
            let name = names.get(n).cloned().unwrap_or_else(|| n.to_string());
            let key =
                Key { class: name, release: self.release.clone(), settings: digest.into(), ..Key::default() };
            (key, class.ttft_aim, class.ttft_aim_per_1000 / 1000.0)
        };
        self.classes = settings.classes.iter().enumerate().map(of).collect();
    }

    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    fn counts(&mut self, class: usize) -> &mut Counts {
        let rest = Key::rest();
        self.tally.of(self.classes.get(class).map_or(&rest, |(key, ..)| key))
    }

    pub fn asked(&mut self, now: Time, id: ReqId, class: usize, prompt: f64) {
        let aim = self.classes.get(class).map_or(0, |(_, aim, per)| aim + (per * prompt.max(0.0)) as Time);
        self.counts(class).asked += 1;
        self.open.insert(id, Asked { class, at: now, aim, first: None });
    }

    pub fn first(&mut self, now: Time, id: ReqId) {
        if let Some(asked) = self.open.get_mut(&id) {
            asked.first.get_or_insert(now);
        }
    }

    /// The one end of a request; a second one is not counted.
    pub fn end(&mut self, now: Time, id: ReqId, end: End) {
        let Some(asked) = self.open.remove(&id) else { return };
        let counts = self.counts(asked.class);
        let wait = asked.first.map(|first| first.saturating_sub(asked.at));
        if let Some(wait) = wait {
            counts.first_token.record(wait);
        }
        match end {
            End::Served { events } => {
                let in_time = wait.is_some_and(|wait| wait <= asked.aim);
                *(if in_time { &mut counts.in_time } else { &mut counts.late }) += 1;
                if let Some(first) = asked.first.filter(|_| events > 1) {
                    counts.token_gap.record(now.saturating_sub(first) / (events - 1));
                }
            }
            End::Refused => counts.refused += 1,
            End::Failed => counts.failed += 1,
            End::Broken => counts.broken += 1,
            End::Gone => counts.gone += 1,
        }
    }
}
