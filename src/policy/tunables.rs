//! Tuned values. Most are ratios of observed values or of settings, so that they fit any deployment. They
//! hold no state and no rules.
//!
//! Names with `_TARGETS` are multiples of a TTFT target; the other units are in the comments.
/// Weight that a latency fit keeps of its past at each new sample: a memory of about ten samples. The counts
/// of sent and answered attempts decay alike.
pub(super) const FIT_DECAY: f64 = 0.9;
/// Upper bound of the factor by which a server's slowdown, or one overdue attempt there, raises a prediction.
pub(super) const MAX_SLOWDOWN: f64 = 20.0;
/// Weight of a new sample in moving averages: a server's slowdown (visible within a few answers), the time
/// between arrivals, prompt lengths and writers' tokens.
pub(super) const AVERAGE_WEIGHT: f64 = 0.3;
/// Time-out of an attempt, as a multiple of its predicted time.
pub(super) const TIMEOUT_FACTOR: f64 = 4.0;
/// Shortest time-out, as a multiple of the TTFT target.
pub(super) const MIN_TIMEOUT_TARGETS: f64 = 0.5;
/// Shortest time-out at fronts with sparse traffic, as a multiple of the TTFT target. A shorter one would
/// start a read again elsewhere while a crowded reader still works on it.
pub(super) const MIN_TIMEOUT_TARGETS_SPARSE: f64 = 2.0;
/// Memory limit of writers, as a share of KV memory. No read starts while all writers are above it; the rest
/// is room for answers to grow.
pub(super) const MEMORY_LIMIT: f64 = 0.85;
/// Memory limit for combined attempts (rule 3) and late requests. The streams of a fuller writer run too
/// close to their target to wait for a read.
pub(super) const MEMORY_LIMIT_COMBINED: f64 = 0.75;
/// Average number of fronts that have a turn at a writer at the same time (rule 3). Most of them have nothing
/// to send then.
pub(super) const COMBINED_TURNS: f64 = 2.0;
/// Nominal time per output token of an undisturbed stream, as a share of its TPOT target.
pub(super) const NOMINAL_TPOT_SHARE: f64 = 0.6;
/// Longest time that a request is held before its first attempt, as a multiple of the TTFT target.
pub(super) const MAX_HOLD_TARGETS: f64 = 0.38;
/// First ejection after a failure, as a multiple of the shortest TTFT target.
pub(super) const EJECTION_TARGETS: f64 = 0.5;
/// How many times ejections and time-outs double at most.
pub(super) const MAX_DOUBLINGS: u32 = 4;
/// Upper bound of the share of this front's requests that are trials of one suspect.
pub(super) const MAX_TRIAL_SHARE: f64 = 0.1;
/// Connections that may break at a server between two answers before it becomes a suspect.
pub(super) const TOLERATED_BREAKS: u32 = 1;
/// Number of suspects of a role from which on servers are preferred that have recently answered the class.
pub(super) const MIN_SUSPECTS: usize = 2;
/// How long an answer counts as recent, as a multiple of the shortest TTFT target.
pub(super) const PROOF_LIFE_TARGETS: f64 = 12.0;
/// A KV state that no writer takes is released after this share of the allowed time.
pub(super) const RELEASE_SHARE: f64 = 0.6;
/// The same for a state whose attempt is in flight and may never have arrived. It is later, because most
/// attempts have arrived and a release is a call. What the platform allows beyond the rule's time is left for
/// calls that must go to other servers.
pub(super) const RELEASE_SHARE_IN_FLIGHT: f64 = 0.9;
/// Share of the cold budget that is used; the rest is room for uneven splits among fronts.
pub(super) const COLD_BUDGET_SHARE: f64 = 0.6;
/// Lower bound of a reader's relative share of reads in a cell with hardly any writers.
pub(super) const MIN_READ_SHARE: f64 = 0.1;
/// Tokens sent since a report count for at most this many fronts that saw the same report.
pub(super) const MAX_HERD_FRONTS: u32 = 4;
/// Up to this many fronts, a front's own sends say more about a reader than its report, which lags.
pub(super) const FEW_FRONTS: u32 = 8;
/// A report older than this many shortest TTFT targets is no evidence.
pub(super) const REPORT_LIFE_TARGETS: f64 = 2.0;
/// Penalty of a writer in another cell, and of one without a recent answer where that is required, as a
/// multiple of the tokens of the KV state and the writer.
pub(super) const PENALTY_TOKEN_FACTOR: f64 = 4.0;
/// Most cached texts recorded for one server; when it is full, older entries are dropped.
pub(super) const MAX_CACHED_TEXTS: usize = 2000;
/// Held requests that may fail to be placed before the rest waits for the next event.
pub(super) const MAX_MISSES: u32 = 8;
/// Servers that passes for held requests may examine per microsecond, so that they take a small share of a
/// core.
pub(super) const EXAMINED_PER_US: u64 = 1;
/// Read times are compared in steps of the TTFT target divided by this; equal steps are a tie.
pub(super) const TIE_STEPS_PER_TARGET: f64 = 20.0;
/// Reports are assumed to describe the state one shortest TTFT target ago, however recently they arrived. A
/// predicted end leaves this share of that lag, or of the client's shorter time, free for queues not yet
/// reported.
pub(super) const REPORT_LAG_TARGETS: f64 = 0.5;
/// A text shared by more than this share of a prompt is cached at a few readers instead of all.
pub(super) const MIN_SHARED_PREFIX: f64 = 0.5;
/// About how many readers (by weight) cache such a text.
pub(super) const PREFIX_HOMES: f64 = 4.0;
/// Servers cache texts in blocks: a shared text of which less than this share was found has been evicted.
pub(super) const MIN_PREFIX_FOUND: f64 = 0.5;
/// Servers that must report before a rule counts as not met. It is one for a request with a session: the next
/// reader would read its text again, which costs all requests more than it gains this one.
pub(super) const MAX_PROBES: usize = 3;
/// Writers probed while a reader reads.
pub(super) const WRITER_PROBES: usize = 2;
/// How long a report of waiting work is fresh, as a multiple of the shortest TTFT target.
pub(super) const REPORT_FRESH_TARGETS: f64 = 0.25;
/// How long a probe may take, as a multiple of the shortest TTFT target.
pub(super) const PROBE_TIMEOUT_TARGETS: f64 = 0.05;
/// A reader with more reported work than this many mean reads has some that waits. The same number of reads
/// expected from other fronts makes a reader that reports idle count as crowded.
pub(super) const RUNNING_READS: f64 = 8.0;
/// Until a combined attempt has been seen, its read is assumed to take this multiple of a reader's time.
pub(super) const WRITER_READ_FACTOR: f64 = 3.0;
/// Reported waiting work that makes a writer full, as a share of its KV tokens.
pub(super) const FULL_QUEUE_SHARE: f64 = 0.03;
/// Tokens below which a shorter read gains nothing.
pub(super) const MIN_READ_TOKENS: f64 = 100.0;
/// Retry advice is drawn from this share of the longest time that clients follow, up to all of it.
pub(super) const MIN_RETRY_SHARE: f64 = 0.5;
/// Name of the sweep timer.
pub(super) const SWEEP_TIMER: u64 = 1;
/// Sweeps within the time after which a KV state must be released.
pub(super) const SWEEPS_PER_RELEASE: u64 = 10;
/// An answer due within this many sweeps is given now.
pub(super) const FINAL_SWEEPS: u64 = 2;
/// A failed call for the list is repeated after the time allowed for it divided by this.
pub(super) const SUBSCRIBE_RETRIES: u64 = 4;
/// Ticks that a send takes to arrive.
pub(super) const SEND_TICKS: u64 = 4;
/// Streams are moved in this part of a front's shutdown time. Before it, many streams end by themselves, and
/// a neighbour that shut down first may not be back yet; after it, moved streams have no time to arrive.
pub(super) const MOVE_WINDOW: (f64, f64) = (0.35, 0.9);
/// Slowest time per output token that is counted on where a stream must end before its front does, as a
/// multiple of the TPOT target.
pub(super) const SLOWEST_TPOT_TARGETS: f64 = 2.0;
/// Without a hint, the expected output as a share of the longest allowed output.
pub(super) const DEFAULT_OUTPUT_SHARE: f64 = 0.5;
/// Seconds of a tenant's quota that its bucket holds.
pub(super) const QUOTA_BURST_S: f64 = 2.0;
