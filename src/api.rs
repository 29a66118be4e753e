//! The interface of the decision module: settings, events in, actions out. Data only.
//!
//! All times are microseconds on the caller's clock, which never goes backwards.

use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Time = u64;

/// A request, as the host names it. An id is never seen twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReqId(pub u32);

/// A server, by its address. It survives restarts of the server's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ServerId(pub Arc<str>);

/// A session or a shared beginning.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TextKey(pub Arc<str>);

/// What a kind of server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Role {
    /// Reads prompts; never answers.
    Prefill,
    /// Writes answers; reads a prompt only where `Settings::writers_read`.
    Decode,
    /// Does either.
    #[default]
    Mixed,
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May run any number of times.
    Safe,
    /// Repeats are dropped inside the group, for `memory` after the first send that may have run.
    Keyed { group: Group, memory: Time },
    /// Must never run twice.
    Unsafe,
}

/// Which servers drop repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub repeat: Repeat,
    /// TTFT aim, without the share for the prompt's length.
    pub ttft_aim: Time,
    /// Added to the TTFT aim for each 1,000 prompt tokens.
    pub ttft_aim_per_1000: f64,
    /// TPOT aim: the mean gap between tokens that earns full worth.
    pub tpot_aim: f64,
    pub worth: f64,
    pub late_worth: f64,
}

/// A tenant and the rate within its share, over all fronts together.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub quota_per_s: f64,
}

/// How the list of servers comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    Pushed,
    Asked,
}

/// What a position in a load report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests handled, states that wait included.
    InFlight,
    /// Requests that wait for a slot.
    Queue,
    /// Share of slots in use.
    Busy,
    /// Recent time to the end of a read or to the first token, in milliseconds.
    LatencyMs,
    /// Share of KV memory held.
    MemoryShare,
    /// Thousands of prompt tokens that wait to be read or fetched.
    PendingThousands,
    /// A field that this version does not know.
    Other,
}

/// All that an instance is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This front's number and zone, and how many fronts there are.
    pub me: u32,
    pub zone: u32,
    pub fronts: u32,
    pub tick: Time,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub over_share_worth: f64,
    /// By kind of server: its role, and its KV memory in tokens.
    pub roles: Vec<Role>,
    pub kv_tokens: Vec<f64>,
    /// A writer reads the prompt itself where there is no state to fetch.
    pub writers_read: bool,
    /// Places may be held ahead at a writer.
    pub places_ahead: bool,
    /// A broken stream can go on elsewhere.
    pub resume: bool,
    /// What is held for a request with no attempt out goes within this time.
    pub let_go_by: Time,
    pub discovery: Discovery,
    pub report_fields: Vec<ReportField>,
    /// Load reports come with outcomes; otherwise, if at all, with probes.
    pub reports_in_answers: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_advise: bool,
    pub may_duplicate: bool,
    pub most_tries: u32,
    pub connect_timeout: Time,
    pub max_retry_after: Time,
    pub answer_slack: Time,
    pub ask_within: Time,
    pub drain_grace: Time,
    pub cold_from: f64,
    pub cold_for: Time,
    pub fall_multiple: f64,
    pub tip_after: Time,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Listed {
    #[default]
    Running,
    Draining,
    Gone,
}

/// One line of a list of servers.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub server: ServerId,
    pub listed: Listed,
    pub kind: usize,
    pub zone: u32,
    pub cell: u32,
    pub weight: f64,
    /// When its process last started; 0 means long ago.
    pub ready_at: Time,
}

/// What a list of servers is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only the entries that changed.
    Changes,
    /// All of them: whoever is missing has left.
    Full,
    /// All of them as last known before a restart; may be stale.
    Restored,
    /// A call for the list failed; there are no entries.
    Failed,
}

/// A request that a client has sent.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: ReqId,
    pub class: usize,
    pub tenant: usize,
    pub session: Option<TextKey>,
    pub prefix: Option<TextKey>,
    pub time_left: Time,
    /// Rough length of the answer: tokens times the TPOT aim; 0 where there is none.
    pub hint: Time,
    pub prompt: f64,
    pub shared: f64,
    pub max_out: f64,
    pub repeat: bool,
    pub returned: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Broken,
    Cancelled,
    NotSent,
    /// The prompt has been read and its state waits at the reader.
    Read,
}

impl Outcome {
    /// Proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent | Outcome::Read)
    }
}

/// One thing that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    Servers {
        mode: ListMode,
        entries: Vec<Entry>,
    },
    Arrived(Arrival),
    Ended {
        id: ReqId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        took: Time,
        settled: bool,
        note: u64,
        load: Option<Vec<f64>>,
    },
    Streaming {
        id: ReqId,
        attempt: u32,
        server: ServerId,
        took: Time,
    },
    ClientGone {
        id: ReqId,
    },
    Probed {
        server: ServerId,
        outcome: Outcome,
        took: Time,
        load: Option<Vec<f64>>,
    },
    Place {
        id: ReqId,
        attempt: u32,
        server: ServerId,
        held: bool,
    },
    Timer {
        name: u64,
    },
    /// This front ends: nothing new comes, and what still runs after this time is cut.
    Stopping {
        within: Time,
    },
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        id: ReqId,
        server: ServerId,
        timeout: Time,
    },
    /// Final: turned away, and trying again does no harm. A `retry_after` of 0 is no advice.
    Refuse {
        id: ReqId,
        retry_after: Time,
    },
    /// Final: failed. Promises nothing.
    Fail {
        id: ReqId,
    },
    Cancel {
        id: ReqId,
        attempt: u32,
    },
    /// Let go of every state and place held for the request.
    Release {
        id: ReqId,
    },
    Probe {
        server: ServerId,
    },
    Timer {
        after: Time,
        name: u64,
    },
    /// Ask for changes of the list of servers from now on.
    Subscribe,
    /// End a running stream in good order; its client comes again.
    Move {
        id: ReqId,
    },
}
