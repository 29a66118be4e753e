//! What the router knows about servers and requests: plain records, the latency fits and the hashes for
//! random draws. It takes no decision.
//!
//! The hashes and their salts must stay as they are: all fronts draw the same values from them.
use super::*;

/// What an attempt is for; its number is the index of its latency fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// Read a prompt at a reader; the KV state waits there.
    Read = 0,
    /// Read and answer at one server, a writer or a mixed server (rule 3).
    Combined = 1,
    /// Fetch a KV state from the same cell and answer.
    LocalFetch = 2,
    /// Fetch a KV state from another cell and answer.
    RemoteFetch = 3,
}

/// A line fitted to latencies (in microseconds) over tokens. Older samples decay. Holds the sums of 1, x, y,
/// x*x and x*y.
#[derive(Clone, Copy, Default)]
pub(super) struct LinearFit(pub(super) [f64; 5]);

impl LinearFit {
    /// Adds one latency `y` for `x` tokens.
    pub(super) fn add_sample(&mut self, x: f64, y: f64) {
        for (sum, new) in self.0.iter_mut().zip([1.0, x, y, x * x, x * y]) {
            *sum = *sum * FIT_DECAY + new;
        }
    }

    /// The latency for `x` tokens. Uses the mean if the samples give no rising line.
    pub(super) fn predict(&self, x: f64) -> f64 {
        let [count, sum_x, sum_y, sum_xx, sum_xy] = self.0;
        if count <= 0.0 {
            return 0.0;
        }
        let (mean_x, mean_y) = (sum_x / count, sum_y / count);
        let variance = sum_xx / count - mean_x * mean_x;
        let slope = if variance > 1.0 { (sum_xy / count - mean_x * mean_y) / variance } else { 0.0 };
        mean_y + slope.clamp(0.0, if mean_x > 0.0 { mean_y / mean_x } else { 0.0 }) * (x - mean_x)
    }
}

/// The result of looking for a server that reads a prompt.
pub(super) enum Placement {
    /// This server takes the request.
    Selected(ServerId),
    /// The next candidate is to be probed (its id), or its answer to a probe is due (`None`).
    Probing(Option<ServerId>),
    /// No server accepts the request now.
    NotFound,
}

/// The health of a server for one class. A server may fail one class and serve the others.
#[derive(Clone, Copy, Default)]
pub(super) struct ClassHealth {
    /// Failures since the server last answered the class.
    pub(super) failures: u32,
    /// Connections that broke since the server last answered the class.
    pub(super) broken_connections: u32,
    /// No attempts before this time, and afterwards a single trial at a time.
    pub(super) ejected_until: Time,
    /// When the last failure was recorded.
    pub(super) last_failure: Time,
    /// When the server last answered the class; 0 if never.
    pub(super) answered_at: Time,
}

/// An attempt in flight at a server, with the inputs of its prediction.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) kind: AttemptKind,
    /// Cell of the KV state that the attempt fetches.
    pub(super) source_cell: Option<u32>,
    pub(super) sent_at: Time,
    pub(super) predicted_end: Time,
    /// Predictor input: tokens to read here, those ahead included, or tokens to fetch.
    pub(super) work_tokens: f64,
    /// Prompt tokens that the server is assumed not to cache.
    pub(super) uncached_tokens: f64,
    /// KV tokens that the attempt will occupy.
    pub(super) kv_tokens: f64,
    pub(super) first_token_at: Option<Time>,
}

/// What the router knows about one server.
#[derive(Default)]
pub(super) struct ServerView {
    pub(super) entry: ServerEntry,
    /// Hash of the server's name, see [`name_hash`].
    pub(super) name_hash: u64,
    pub(super) role: Role,
    /// KV memory in tokens.
    pub(super) kv_capacity: f64,
    pub(super) attempts: BTreeMap<RequestId, Attempt>,
    /// By kind of attempt: relative slowdown against the shared fit; 0 means equally fast.
    pub(super) slowdown: [f64; 4],
    /// Cached texts: number of tokens, and when they were last recorded.
    pub(super) cached_texts: BTreeMap<TextKey, (f64, Time)>,
    /// Last load report: share of KV memory, waiting prompt tokens, and when it arrived.
    pub(super) load_report: Option<(f64, f64, Time)>,
    /// When the server was last probed.
    pub(super) last_probe: Time,
    /// Health by class.
    pub(super) health: BTreeMap<usize, ClassHealth>,
}

impl ServerView {
    /// Tokens of all attempts of this front at the server.
    pub(super) fn outstanding_tokens(&self) -> f64 {
        self.attempts.values().map(|attempt| attempt.kv_tokens).sum()
    }

    /// Attempts that have not produced a first token.
    pub(super) fn awaiting_first_token(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().filter(|attempt| attempt.first_token_at.is_none())
    }

    /// Age of the oldest attempt without a first token.
    pub(super) fn oldest_wait(&self, now: Time) -> f64 {
        self.awaiting_first_token()
            .map(|attempt| now.saturating_sub(attempt.sent_at) as f64)
            .fold(0.0, f64::max)
    }

    /// Prompt tokens that the server is assumed not to cache.
    pub(super) fn uncached_tokens(&self, arrival: &Arrival) -> f64 {
        (arrival.prompt_tokens - self.cached_tokens(arrival)).max(0.0)
    }

    /// Prompt tokens that the server is assumed to cache, of the session or of the shared prefix.
    pub(super) fn cached_tokens(&self, arrival: &Arrival) -> f64 {
        let cached =
            |key: &Option<TextKey>, limit: f64| Some(self.cached_texts.get(key.as_ref()?)?.0.min(limit));
        cached(&arrival.session, arrival.prompt_tokens)
            .unwrap_or(0.0)
            .max(cached(&arrival.prefix, arrival.shared_tokens).unwrap_or(0.0))
    }
}

/// What the router knows about one request that has no final answer.
#[derive(Default)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) arrived_at: Time,
    /// Latest time for the first token.
    pub(super) deadline: Time,
    /// The request may not be under way when this front is killed.
    pub(super) must_end_before_kill: bool,
    /// TTFT target in microseconds, including the part for the prompt's length.
    pub(super) ttft_target: f64,
    /// The tenant was over its quota when the request arrived.
    pub(super) is_over_quota: bool,
    pub(super) attempts: u32,
    /// Server and number of the attempt in flight.
    pub(super) in_flight: Option<(ServerId, u32)>,
    /// The reader that holds the KV state, and since when.
    pub(super) kv_state: Option<(ServerId, Time)>,
    /// The KV state was released while the attempt that fetches it is in flight, because that attempt may
    /// never have arrived.
    pub(super) is_state_released: bool,
    pub(super) ranking: Option<Ranking>,
    pub(super) is_streaming: bool,
    /// The client needs no further final answer: it has one, has left, or its stream was moved.
    pub(super) is_settled: bool,
    /// Server and send time of the first attempt that may have run.
    pub(super) may_have_run: Option<(ServerId, Time)>,
}

/// The cost of a writer for a KV state. Fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WriterCost {
    /// One for a writer that is not healthy, one more if it is a suspect.
    pub(super) health_penalty: u32,
    /// One for a writer whose memory is full, one more if it would start the stream late.
    pub(super) load_penalty: u32,
    /// False for a cold server of the state's cell that passed its draw: where few writers are probed, it
    /// comes first.
    pub(super) lacks_cold_preference: bool,
    /// Tokens at the writer, plus penalty tokens if it is in another cell and if it lacks a recent answer to
    /// the class.
    pub(super) total_tokens: u64,
}

/// Caches the salt for drawing turns: this front and the time slot. Most writers of one pass have the same
/// slot.
#[derive(Default)]
pub(super) struct TurnSalt(Option<(Time, String)>);

impl TurnSalt {
    /// The salt for a front and a time slot.
    pub(super) fn for_slot(&mut self, front: u32, slot: Time) -> &str {
        if self.0.as_ref().is_none_or(|(cached, _)| *cached != slot) {
            self.0 = None;
        }
        &self.0.get_or_insert_with(|| (slot, format!("{front} {slot}"))).1
    }
}

/// Maps a hash to a number above 0 and at most 1.
pub(super) fn unit_interval(hash: u64) -> f64 {
    ((hash & 0xffff_ffff) + 1) as f64 / 2f64.powi(32)
}

impl Request {
    /// Whether the TTFT target has passed. A late request is worth little: it takes only free capacity, after
    /// all requests that can still be in time.
    pub(super) fn is_late(&self, now: Time) -> bool {
        now >= self.arrived_at + self.ttft_target as Time
    }

    /// Time left until the TTFT target or, once that has passed, until the deadline. The deadline can come
    /// before the target.
    pub(super) fn time_left(&self, now: Time) -> f64 {
        let (age, until_deadline) =
            ((now - self.arrived_at) as f64, self.deadline.saturating_sub(now) as f64);
        if age < self.ttft_target { until_deadline.min(self.ttft_target - age) } else { until_deadline }
    }
}

/// One step of FNV-1a.
fn fnv_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}

/// The first part of [`hash`]: computed once for a server's name and reused for all draws.
pub(super) fn name_hash(name: &str) -> u64 {
    name.bytes().chain([0]).fold(0xcbf2_9ce4_8422_2325, fnv_step)
}

/// Hashes a name and another text (FNV-1a with a final mix).
pub(super) fn hash(name: u64, other: &str) -> u64 {
    let mixed = other.bytes().fold(name, fnv_step);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 8
}

/// Whether a writer would fetch a KV state of this cell locally or remotely.
pub(super) fn fetch_kind(view: &ServerView, source_cell: Option<u32>) -> AttemptKind {
    if source_cell.is_none_or(|cell| cell == view.entry.cell) {
        AttemptKind::LocalFetch
    } else {
        AttemptKind::RemoteFetch
    }
}
