//! The interface of the router: its settings, the events it takes and the actions it returns. Plain
//! data without decisions.
//!
//! All times are in microseconds on the caller's clock, which never goes backwards. Numbers of tokens are
//! `f64`.

use std::sync::Arc;

/// A point in time or a duration, in microseconds.
pub type Time = u64;

/// The id of a request, assigned by the host. An id is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u32);

/// The id of a server: its address. It stays the same when the server's process restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ServerId(pub Arc<str>);

/// The key of a session or of a shared prefix of prompts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TextKey(pub Arc<str>);

/// What servers of a kind do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Role {
    /// Reads prompts and never answers.
    Prefill,
    /// Writes answers; reads a prompt only if `Settings::writers_may_read` is set.
    Decode,
    /// Does both.
    #[default]
    Mixed,
}

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// May run any number of times.
    Safe,
    /// Servers of the group drop repeats for `memory` after the first send that may have run.
    Keyed { group: RepeatGroup, memory: Time },
    /// Must never run twice.
    Unsafe,
}

/// The servers that recognise and drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// All servers.
    All,
    /// The servers of the zone of the first attempt.
    Zone,
    /// The servers of the cell of the first attempt.
    Cell,
}

/// A class of requests with the same targets and the same rule for repeats.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether a request of the class may be repeated.
    pub repeat: RepeatPolicy,
    /// TTFT (time to first token) target, without the part for the prompt's length.
    pub ttft_target: Time,
    /// Added to the TTFT target for each 1,000 prompt tokens, in microseconds.
    pub ttft_target_per_1000_tokens: f64,
    /// TPOT (time per output token) target in microseconds: up to this mean gap between tokens an answer
    /// earns its full worth.
    pub tpot_target: f64,
    /// Worth of an answer that meets its targets.
    pub worth: f64,
    /// Worth of an answer that misses a target. Not used by the router.
    pub late_worth: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within the quota, over all fronts together.
    pub quota_per_s: f64,
}

/// How the front receives the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// The host sends it without being asked.
    #[default]
    Pushed,
    /// The router subscribes with [`Action::Subscribe`].
    Asked,
}

/// The meaning of one position in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in progress, waiting KV states included.
    InFlight,
    /// Requests that wait for a slot.
    Queue,
    /// Share of slots in use.
    Busy,
    /// Recent time to the end of a read or to the first token, in milliseconds.
    LatencyMs,
    /// Share of KV memory in use.
    MemoryShare,
    /// Thousands of prompt tokens that wait to be read or fetched.
    PendingThousands,
    /// A field that this version does not know.
    Other,
}

/// The configuration of one front's router.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this front.
    pub front_number: u32,
    /// Zone of this front. Not used by the router.
    pub zone: u32,
    /// Number of fronts of the deployment.
    pub front_count: u32,
    /// Resolution of the host's timers.
    pub tick: Time,
    /// Classes of requests, by number.
    pub classes: Vec<Class>,
    /// Tenants, by number.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota. Not used by the router.
    pub over_quota_worth: f64,
    /// Role of each kind of server, by the kind's number.
    pub roles: Vec<Role>,
    /// KV memory in tokens of each kind of server, by the kind's number.
    pub kv_tokens: Vec<f64>,
    /// Writers may read a prompt themselves if there is no KV state to fetch.
    pub writers_may_read: bool,
    /// A place at a writer may be reserved ahead. Not used by the router.
    pub may_reserve_places: bool,
    /// An interrupted stream can be resumed at another front.
    pub may_resume: bool,
    /// KV states and places held for a request without an attempt in flight must be released within this
    /// time.
    pub release_time_limit: Time,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// Meaning of each position in a load report.
    pub report_fields: Vec<ReportField>,
    /// Load reports arrive with outcomes. Otherwise they arrive with probes, if at all. Not used by the
    /// router.
    pub reports_in_answers: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed for their load.
    pub may_probe: bool,
    /// Refusals may advise when to retry.
    pub may_advise: bool,
    /// Several attempts of a request may run at once. Not used by the router.
    pub may_duplicate: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Time after which a connection attempt fails.
    pub connect_timeout: Time,
    /// Longest retry advice that clients follow.
    pub max_retry_after: Time,
    /// Margin after a request's deadline in which its final answer still counts as in time. Not used by the
    /// router.
    pub answer_slack: Time,
    /// Time allowed for repeating a failed subscription to the list of servers.
    pub resubscribe_within: Time,
    /// Time after the news that a server drains in which attempts may still reach it. Not used by the router.
    pub drain_grace: Time,
    /// Share of a warm server's work that a server can do right after its start.
    pub cold_start_share: f64,
    /// How long a server is cold after its start.
    pub cold_duration: Time,
    /// A cold server falls over when it gets more than this multiple of the work it can do.
    pub overload_multiple: f64,
    /// Window over which the work sent to a cold server is counted. Not used by the router.
    pub overload_window: Time,
}

/// The status of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ServerStatus {
    /// Takes new work.
    #[default]
    Running,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Has left.
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    pub server: ServerId,
    /// Status of the server.
    pub listed: ServerStatus,
    /// Position of its kind in [`Settings::roles`] and [`Settings::kv_tokens`].
    pub kind: usize,
    pub zone: u32,
    pub cell: u32,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// When its process last started; 0 if long ago.
    pub ready_at: Time,
}

/// What a message with a list of servers contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only the entries that have changed.
    Changes,
    /// All entries: a server that is missing has left.
    Full,
    /// All entries as last known before a restart of the front; they may be stale.
    Restored,
    /// A call for the list failed; there are no entries.
    Failed,
}

/// A request received from a client.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: RequestId,
    /// Position in [`Settings::classes`].
    pub class: usize,
    /// Position in [`Settings::tenants`].
    pub tenant: usize,
    /// The session that the request continues.
    pub session: Option<TextKey>,
    /// A prefix that the prompt shares with other requests.
    pub prefix: Option<TextKey>,
    /// Time until the client's deadline.
    pub time_left: Time,
    /// Estimated length of the answer: output tokens times the TPOT target; 0 if unknown.
    pub output_time_hint: Time,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Prompt tokens in the shared prefix.
    pub shared_tokens: f64,
    /// Maximum number of output tokens.
    pub max_output_tokens: f64,
    /// The client marks the request as a repeat. Not used by the router.
    pub is_repeat: bool,
    /// The client marks the request as one that comes again after an interruption. Not used by the router.
    pub is_resumed: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in full.
    Served,
    /// The server reported an error.
    Error,
    /// The server refused the attempt without running it.
    Full,
    /// The time-out of the attempt passed.
    TimedOut,
    /// No connection was established.
    NoConnection,
    /// The connection broke.
    Broken,
    /// Cancelled.
    Cancelled,
    /// Never sent by the host.
    NotSent,
    /// The prompt has been read and its KV state waits at the reader.
    Read,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent | Outcome::Read)
    }
}

/// An event that the host reports to the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of servers has arrived.
    Servers { mode: ListMode, entries: Vec<ServerEntry> },
    /// A client has sent a request.
    Arrived(Arrival),
    /// An attempt has ended.
    Ended {
        id: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        took: Time,
        /// The client needs no further final answer.
        is_settled: bool,
        /// For `Read`: prompt tokens found in the cache. For `Full`: 1 if the writer found no KV state to
        /// fetch.
        note: u64,
        /// Values by position, see [`Settings::report_fields`].
        load: Option<Vec<f64>>,
    },
    /// The first token of an answer has arrived.
    Streaming { id: RequestId, attempt: u32, server: ServerId, took: Time },
    /// The client has disconnected.
    ClientGone { id: RequestId },
    /// A probe has ended.
    Probed {
        server: ServerId,
        outcome: Outcome,
        took: Time,
        /// Values by position, see [`Settings::report_fields`].
        load: Option<Vec<f64>>,
    },
    /// A place at a server was reserved or lost. Ignored by the router.
    Place { id: RequestId, attempt: u32, server: ServerId, held: bool },
    /// A timer set with [`Action::Timer`] has expired.
    Timer { name: u64 },
    /// This front shuts down and is killed some time after `within`. Requests that arrive `late_after` from now
    /// or later must have ended by then; the streams of earlier ones may be cut.
    Stopping { within: Time, late_after: Time },
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt to a server and end it after `timeout`.
    Send { id: RequestId, server: ServerId, timeout: Time },
    /// Final answer: refused, and trying again does no harm. A `retry_after` of 0 means no advice.
    Refuse { id: RequestId, retry_after: Time },
    /// Final answer: failed. Whether trying again is harmless is unknown.
    Fail { id: RequestId },
    /// Cancel an attempt in flight.
    Cancel { id: RequestId, attempt: u32 },
    /// Release every KV state and place held for the request.
    Release { id: RequestId },
    /// Probe a server for its load.
    Probe { server: ServerId },
    /// Report [`Event::Timer`] with this name after this time.
    Timer { after: Time, name: u64 },
    /// Subscribe to changes of the list of servers.
    Subscribe,
    /// End a running stream cleanly; its client sends the request again.
    Move { id: RequestId },
}
