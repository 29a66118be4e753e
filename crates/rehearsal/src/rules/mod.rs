//! The five rules, judged from what was seen on the sockets and nothing else.
//!
//! The checker knows the traffic of clients, engines and tool servers, the lists that were handed out, when fronts
//! were started, told to drain or killed, and the figures of the configuration. It asks no front anything.

mod answered;
mod cold;
mod drains;
mod effects;
mod pinned;

use std::collections::BTreeMap;

use elderstage_standin::traffic::{Record, Seen};

/// What a repeat of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Safe,
    /// Repeats are dropped by the engines for so long after the first send that may have run, in microseconds.
    Keyed {
        memory: u64,
    },
    Unsafe,
}

/// The figures of the rules; times in microseconds.
#[derive(Clone, Debug)]
pub struct Figures {
    pub classes: BTreeMap<String, Repeat>,
    pub answer_slack: u64,
    pub drain_grace: u64,
    pub let_go: u64,
    /// How long an attempt may be out without being seen: the time to connect.
    pub connect: u64,
    /// How late a list may be read by a front that follows a file.
    pub list_delay: u64,
}

/// One way in which a rule was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    pub at: u64,
    /// The request or server that it is about.
    pub of: String,
    pub how: String,
}

/// What became of one rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub rule: &'static str,
    /// Cases that were judged; a rule that was never put to the test proves nothing.
    pub judged: u64,
    pub broken: Vec<Break>,
}

impl Verdict {
    fn new(rule: &'static str) -> Verdict {
        Verdict { rule, judged: 0, broken: Vec::new() }
    }

    fn broke(&mut self, at: u64, of: &str, how: impl Into<String>) {
        self.broken.push(Break { at, of: of.into(), how: how.into() });
    }
}

/// Judges all five rules. Records must be in the order of their times.
pub fn judge(records: &[Record], figures: &Figures) -> [Verdict; 5] {
    [
        answered::judge(records, figures),
        effects::judge(records, figures),
        drains::judge(records, figures),
        cold::judge(records, figures),
        pinned::judge(records, figures),
    ]
}

/// The client's request of an engine's or tool's request id, `c17` of `c17/2/0`.
pub(crate) fn client(rid: &str) -> &str {
    rid.split('/').next().unwrap_or(rid)
}

/// The turn of an engine's or tool's request id, `c17/2` of `c17/2/0`.
pub(crate) fn turn(rid: &str) -> &str {
    rid.rfind('/').map_or(rid, |at| &rid[..at])
}

/// Answers of an engine that prove that nothing ran.
pub(crate) fn never_ran(how: &str) -> bool {
    matches!(how, "full" | "no-state")
}

/// When each front was killed outright.
pub(crate) fn killed(records: &[Record]) -> BTreeMap<&str, Vec<u64>> {
    let mut killed: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in records {
        if let Seen::Front { front, what } = &record.what
            && what == "killed"
        {
            killed.entry(front).or_default().push(record.at);
        }
    }
    killed
}

/// The front that each request of a client went to.
pub(crate) fn fronts(records: &[Record]) -> BTreeMap<&str, (&str, u64)> {
    let mut fronts = BTreeMap::new();
    for record in records {
        if let Seen::Sent { rid, front, .. } = &record.what {
            fronts.insert(rid.as_str(), (front.as_str(), record.at));
        }
    }
    fronts
}
