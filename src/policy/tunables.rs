//! Tuned values: ratios of what is seen or of the settings.
/// Weight that a fit keeps of its past at each new answer: about ten answers of memory.
pub(super) const FIT_KEEP: f64 = 0.9;
/// A server's own pace, and one late attempt there, slow predictions by this factor at most.
pub(super) const PACE_MOST: f64 = 20.0;
/// Weight of one answer in a server's own pace (it shows within a few), and of an arrival in their gap.
pub(super) const PACE_STEP: f64 = 0.3;
/// An attempt is given up after this many predicted times, at least after this share of the aim, or whole
/// aims at fronts that see little: guards against reads begun anew while a crowded reader reads on.
pub(super) const GIVE_UP: f64 = 4.0;
pub(super) const GIVE_UP_AIM: f64 = 0.5;
pub(super) const GIVE_UP_AIMS: f64 = 2.0;
/// Memory mark: no read is begun when all writers hold more; the rest is room for answers to grow.
pub(super) const MARK: f64 = 0.85;
/// Memory mark of rule 3: a fuller writer's streams run too near their aim to wait for a read.
pub(super) const ABSORB_MARK: f64 = 0.75;
/// Fronts that have a turn of rule 3 at a writer at once: most have nothing to send then.
pub(super) const TURNS: f64 = 2.0;
/// Nominal pace of a stream, as a share of its TPOT aim: what it needs when nothing disturbs it.
pub(super) const NOMINAL: f64 = 0.6;
/// A request waits at the router for this share of its TTFT aim at most.
pub(super) const HOLD: f64 = 0.38;
/// First suspension after a failure, in shortest TTFT aims; it doubles so often, and is long enough that
/// trials of one suspect are at most this share of our requests.
pub(super) const SUSPEND: f64 = 0.5;
pub(super) const DOUBLINGS: u32 = 4;
pub(super) const TRIALS: f64 = 0.1;
/// Connections that may break at a server, between two answers, before it is suspected.
pub(super) const BROKE: u32 = 1;
/// Suspects of a role from which on servers are preferred that answered the class within so many aims.
pub(super) const WARY: usize = 2;
pub(super) const PROVEN: f64 = 12.0;
/// A state that no writer takes is let go after this share of the time that the rule allows.
pub(super) const LET_GO: f64 = 0.6;
/// One for which an attempt is out that may never have arrived: later, since most have, and a release is a
/// call. What the platform gives beyond the rule's time is left for a call that has to go to other servers.
pub(super) const LET_GO_BESIDE: f64 = 0.9;
/// Share of the cold budget that is used: the rest is room for uneven splits among fronts.
pub(super) const COLD_USE: f64 = 0.6;
/// Readers of a cell with hardly any writers still get this part of the others' reads.
pub(super) const LEAST_PART: f64 = 0.1;
/// Our sends since a report stand for at most so many fronts that saw the same one.
pub(super) const HERD: u32 = 4;
/// With so few fronts our own sends tell more of a reader than its report, which lags.
pub(super) const FEW_FRONTS: u32 = 8;
/// A report older than this many TTFT aims is no evidence.
pub(super) const REPORT_LIFE: f64 = 2.0;
/// A state that leaves its cell counts as this many times its tokens at the far writer.
pub(super) const FAR_HANDICAP: f64 = 4.0;
/// Places in a server's memory of kept texts; it starts anew when it is full.
pub(super) const KEPT_MOST: usize = 2000;
/// Held requests that fit nowhere before the rest is left for the next event.
pub(super) const MISSES: u32 = 8;
/// Servers that passes for held requests may look at in a microsecond, so that they take a small share of a
/// core.
pub(super) const EXAMINED_PER_US: u64 = 1;
/// Read times within the TTFT aim over this are a tie.
pub(super) const TIE: f64 = 20.0;
/// Reports are held to tell what was one shortest TTFT aim ago, however lately they came: the share of that
/// lag, or of a client's shorter time, that a predicted end leaves free for unseen queues.
pub(super) const BLIND: f64 = 0.5;
/// A text shared by more than this share of a prompt is kept at about so many readers, not at all of them.
pub(super) const SHARED: f64 = 0.5;
pub(super) const HOMES: f64 = 4.0;
/// Servers keep texts in blocks: a shared text of which less than this share was found is gone.
pub(super) const FOUND: f64 = 0.5;
/// Servers that tell their load before a rule counts as not met, only one where a text has its home: the next
/// reads it anew, which costs all more than it gains this one. Writers asked while a reader reads.
pub(super) const PROBES: usize = 3;
pub(super) const PROBES_NEAR: usize = 2;
/// Shares of the shortest TTFT aim that a report of waiting work is news for, and a probe may take.
pub(super) const FRESH: f64 = 0.25;
pub(super) const PROBE_WAIT: f64 = 0.05;
/// A reader with more reported work than this many mean reads has some that waits; so may one that is called
/// idle, where as many reads by others are to be expected since.
pub(super) const RUNNING: f64 = 8.0;
/// Until a writer's read has been seen, it is held to take this many times a reader's.
pub(super) const WRITER_READS: f64 = 3.0;
/// Reported waiting work that makes a writer full, as a share of its KV tokens.
pub(super) const QUEUED: f64 = 0.03;
/// Tokens below which a shorter read gains nothing.
pub(super) const LEAST_READ: f64 = 100.0;
/// Advice to come back is drawn from this share of the longest that clients follow, up to all of it.
pub(super) const ADVICE: f64 = 0.5;
pub(super) const SWEEP: u64 = 1;
/// Sweeps in the time that a held state has; an answer due within so many is given now.
pub(super) const SWEEPS: u64 = 10;
pub(super) const CLOSING: u64 = 2;
/// A failed call for the list is made again after this part of its span; ticks that a send takes to arrive.
pub(super) const ASK_AGAIN: u64 = 4;
pub(super) const TRAVEL: u64 = 4;
/// Streams are moved in this part of the time of a front that ends: before, many end by themselves and a
/// neighbour that ended first may not be back; after, there is no time for what was passed on to arrive.
pub(super) const MOVING: (f64, f64) = (0.35, 0.9);
/// Without a hint, the share of its longest that an answer takes; seconds of a tenant's share in its bucket.
pub(super) const ANSWER: f64 = 0.5;
pub(super) const QUOTA_SPAN: f64 = 2.0;
