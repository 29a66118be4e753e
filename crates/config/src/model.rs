//! The types of a configuration. Times are in microseconds.
//!
//! These types hold values only. They are built and checked in [`crate::read`], which also sets the defaults.

use std::net::SocketAddr;

use elderstage_protocol::place::Endpoint;

use crate::lines::Position;

/// A time in microseconds.
pub type Micros = u64;

/// The stages that an engine can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleName {
    Prefill,
    Decode,
    Mixed,
}

/// How a connection is checked before the body of a request that must not run twice is sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofName {
    /// The head is sent with `Expect: 100-continue`, and the body after the interim response.
    Continue,
    /// A health request on the same connection is answered first.
    Health,
    /// The connection is not checked.
    None,
}

/// The servers that recognise and drop repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupName {
    All,
    Zone,
    Cell,
}

/// How the requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatName {
    /// May run any number of times.
    Safe,
    /// The servers of `group` drop repeats with the same key, for `memory` after the first send that may have run.
    Keyed { group: GroupName, memory: Micros },
    /// Must never run twice.
    Unsafe,
}

/// A `class` section: how requests of one class may be repeated, and their time limits and worth.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassConfig {
    pub position: Position,
    pub name: String,
    pub repeat: RepeatName,
    /// Target time to first token (TTFT), without the part that depends on the prompt.
    pub ttft_target: Micros,
    /// Added to `first_token` for each 1,000 prompt tokens.
    pub first_token_per_1000: Micros,
    /// Target mean time between tokens (TPOT).
    pub tpot_target: Micros,
    /// Maximum wait for the first token of a turn.
    pub give_up: Micros,
    /// Added to `give_up` for each 1,000 prompt tokens.
    pub give_up_per_1000: Micros,
    /// Maximum time of the whole answer.
    pub total: Micros,
    /// Value of an answer in time, relative to other classes. It decides the order of waiting requests.
    pub worth: f64,
    /// Share of `worth` that a late answer still has.
    pub late_worth: f64,
}

/// A `tool` section: a tool on a tool server.
#[derive(Clone, Debug, PartialEq)]
pub struct ToolConfig {
    pub position: Position,
    pub name: String,
    pub addr: SocketAddr,
    pub path: String,
    /// Whether a call may have a lasting effect, so that it must not be made twice.
    pub has_effect: bool,
    /// Time limit of one call.
    pub timeout: Micros,
    /// Maximum calls of one request for one turn.
    pub max_tries: u32,
}

/// A `route` section: what a client can call, with its class, model and tools.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    pub position: Position,
    pub name: String,
    pub class: String,
    pub description: String,
    pub model: String,
    pub tools: Vec<String>,
    /// System message before the prompt; empty for none.
    pub preamble: String,
    /// Maximum tokens of one turn.
    pub max_tokens: u32,
    /// Maximum turns of the model in one request.
    pub max_turns: u32,
}

/// A `kind` section: properties that engines of one kind share.
#[derive(Clone, Debug, PartialEq)]
pub struct KindConfig {
    pub position: Position,
    pub name: String,
    pub role: RoleName,
    /// Size of the KV cache in tokens.
    pub kv_tokens: f64,
    pub proof: ProofName,
}

/// The state of a server, as the operator sets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateName {
    Running,
    Draining,
    Gone,
}

/// A `server` section: one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerConfig {
    pub position: Position,
    pub name: String,
    /// Addresses, in the order of preference.
    pub endpoints: Vec<Endpoint>,
    pub kind: String,
    pub zone: String,
    pub cell: u32,
    pub weight: f64,
    pub state: StateName,
    /// Unix time at which the server's process started, in seconds; 0 means long ago.
    pub started: f64,
}

/// The `front` section.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontConfig {
    pub listen: SocketAddr,
    pub name: String,
    pub zone: String,
    /// Index of this front among all fronts, from 0.
    pub number: u32,
    /// Number of fronts.
    pub fronts: u32,
    /// Number of worker threads.
    pub workers: usize,
    /// Maximum requests that the front holds at once.
    pub max_requests: usize,
    /// A connection without any traffic is closed after this time.
    pub idle_timeout: Micros,
    /// A client that receives nothing from its connection for this time is considered gone.
    pub stall_timeout: Micros,
    /// Bytes that the system buffers for a client that does not receive them. When the buffer is full, its stream
    /// waits.
    pub send_buffer: usize,
    /// Maximum bytes of the head of a request.
    pub max_head_bytes: usize,
    /// Maximum bytes of the body of a request.
    pub max_body_bytes: usize,
    /// Maximum bytes of one answer.
    pub max_answer_bytes: usize,
    /// Maximum time of a drain.
    pub drain_timeout: Micros,
}

/// The `rules` section: parameters of the routing rules, and what the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct RulesConfig {
    /// Tolerance with which the time limits of answers are checked.
    pub answer_slack: Micros,
    /// A server's connections are closed this long after the server was told to leave.
    pub drain_grace: Micros,
    /// Time limit for releasing what is held for a request without a running attempt.
    pub release_time_limit: Micros,
    /// Share of its full speed that an engine has at a cold start.
    pub cold_start_share: f64,
    /// Time after its start during which an engine is cold.
    pub cold_duration: Micros,
    /// Load that makes a cold engine fail, as a multiple of what it can do.
    pub overload_multiple: f64,
    /// Time for which that load must last to make a cold engine fail.
    pub overload_window: Micros,
    /// Maximum sends of one request.
    pub max_attempts: u32,
    /// Timeout of connecting.
    pub connect_timeout: Micros,
    /// Maximum time after which a refused client is told to retry.
    pub max_retry_after: Micros,
    /// Whether a writer prefills the prompt itself if there is no KV state to fetch.
    pub writers_may_read: bool,
    /// Whether the front may probe servers.
    pub may_probe: bool,
    /// Whether load reports come in answers; otherwise, if at all, in answers to probes.
    pub reports_in_answers: bool,
}

/// The `connections` section: limits on connections to engines and tool servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionsConfig {
    /// Connection attempts per second.
    pub dials_per_s: f64,
    /// Connection attempts that may start at once after an idle time.
    pub dial_burst: f64,
    /// Maximum connections to one server, open or being opened.
    pub max_per_server: usize,
    /// Maximum connections to all servers, open or being opened.
    pub max_total: usize,
    /// Maximum idle connections that are kept for one address.
    pub max_idle_per_address: usize,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Micros,
    /// Age after which a connection is not reused.
    pub max_age: Micros,
    /// Number of requests after which a connection is not reused.
    pub max_uses: u32,
}

/// One condition of an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// No request is sent to these servers.
    Never(Vec<String>),
    /// Maximum number of times that one request is sent.
    Attempts(u32),
    /// Minimum share of requests that are served.
    Served(f64),
    /// Maximum time from the arrival of a request to its final answer.
    AnsweredWithin(Micros),
    /// Bounds on the share of all sends that go to one server.
    Share { server: String, low: f64, high: f64 },
}

impl std::fmt::Display for Condition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Condition::Never(servers) => write!(f, "never {}", servers.join(" ")),
            Condition::Attempts(limit) => write!(f, "attempts {limit}"),
            Condition::Served(share) => write!(f, "served {share}"),
            Condition::AnsweredWithin(time) => write!(f, "answered-within {}ms", *time as f64 / 1e3),
            Condition::Share { server, low, high } => write!(f, "share {server} {low} {high}"),
        }
    }
}

/// An `expect` section: a scenario and the conditions that the configuration must meet in it.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectationConfig {
    pub position: Position,
    pub name: String,
    pub route: String,
    /// Number of requests in one run.
    pub requests: u64,
    /// Requests per second.
    pub rate: f64,
    /// Bytes of each prompt.
    pub prompt: usize,
    /// Servers that cannot be reached.
    pub down: Vec<String>,
    /// Servers that are draining.
    pub draining: Vec<String>,
    /// Servers that refuse every request because they are full.
    pub full: Vec<String>,
    pub conditions: Vec<Condition>,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub front: FrontConfig,
    pub rules: RulesConfig,
    pub connections: ConnectionsConfig,
    pub zones: Vec<String>,
    pub classes: Vec<ClassConfig>,
    pub tools: Vec<ToolConfig>,
    pub routes: Vec<RouteConfig>,
    pub kinds: Vec<KindConfig>,
    pub servers: Vec<ServerConfig>,
    /// Path of a file that lists servers. The front watches it for changes while it runs.
    pub servers_file: Option<String>,
    pub expectations: Vec<ExpectationConfig>,
}
