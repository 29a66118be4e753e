//! Indexes over the views of servers: running servers by role and cell, cached texts, and KV states that wait
//! for a link; failed servers are listed in the router itself. They spare most events a pass over all
//! servers. They decide nothing.
//!
//! Each index holds exactly what a pass over the views would find.
use super::*;

/// A running reader, with what the ranking of readers needs.
pub(super) struct ReaderSlot {
    pub(super) server: ServerId,
    pub(super) name_hash: u64,
    pub(super) share: ReaderShare,
    pub(super) ready_at: Time,
}

/// What determines a reader's share of all reads: the writers of its cell per reader, and its own weight.
pub(super) struct ReaderShare {
    /// Square root of the writer weight per reader weight of the cell, with a lower bound.
    pub(super) fraction: f64,
    pub(super) weight: f64,
}

/// Everything that follows from the list of servers alone; rebuilt when the list changes.
#[derive(Default)]
pub(super) struct ServerIndex {
    /// Number of changes of the list so far.
    pub(super) version: u64,
    /// Running readers, ordered by server id.
    pub(super) readers: Vec<ReaderSlot>,
    /// Running writers and mixed servers by cell, ordered by server id.
    pub(super) writers: BTreeMap<u32, Vec<ServerId>>,
    /// Total weight of all running readers.
    pub(super) reader_weight: f64,
    /// Sum over all cells of the highest weight of writers and mixed servers seen at once.
    pub(super) peak_writer_weight: f64,
    /// When the most recently started reader became ready.
    pub(super) last_reader_start: Time,
}

/// The order in which a request tries readers, as far as it depends on neither time nor load.
pub(super) struct Ranking {
    /// Version of the [`ServerIndex`] that the ranking was built from.
    pub(super) version: u64,
    pub(super) order: Vec<RankedReader>,
}

/// A reader's place in a ranking; lower values come first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedReader {
    /// The shared prefix of the prompt has its home at other readers.
    pub(super) is_away: bool,
    /// Weighted draw from the hash of session and reader, as the bits of a positive float.
    pub(super) session_rank: u64,
    /// Position in [`ServerIndex::readers`].
    pub(super) slot: usize,
}

/// The servers that are assumed to cache a text, with the number of cached tokens.
#[derive(Default)]
struct CacheHolders {
    tokens_by_server: BTreeMap<ServerId, f64>,
    /// Largest value in `tokens_by_server`.
    max_tokens: f64,
}

/// Which servers cache which texts: the contents of [`ServerView::cached_texts`], ordered by text.
#[derive(Default)]
pub(super) struct CacheIndex(BTreeMap<TextKey, CacheHolders>);

impl CacheIndex {
    /// Adds a text of a server, or replaces its number of tokens.
    pub(super) fn insert(&mut self, key: &TextKey, server: &ServerId, tokens: f64) {
        let holders = self.0.entry(key.clone()).or_default();
        let previous = holders.tokens_by_server.insert(server.clone(), tokens);
        if previous.is_some_and(|previous| previous > tokens) {
            holders.update_max();
        }
        holders.max_tokens = holders.max_tokens.max(tokens);
    }

    /// Removes a text of a server.
    pub(super) fn remove(&mut self, key: &TextKey, server: &ServerId) {
        let Some(holders) = self.0.get_mut(key) else { return };
        holders.tokens_by_server.remove(server);
        if holders.tokens_by_server.is_empty() {
            self.0.remove(key);
        } else {
            holders.update_max();
        }
    }

    /// The most prompt tokens of a request that any single server is assumed to cache.
    pub(super) fn most_cached_tokens(&self, arrival: &Arrival) -> f64 {
        let cached =
            |key: &Option<TextKey>, limit: f64| Some(self.0.get(key.as_ref()?)?.max_tokens.min(limit));
        cached(&arrival.session, arrival.prompt_tokens)
            .unwrap_or(0.0)
            .max(cached(&arrival.prefix, arrival.shared_tokens).unwrap_or(0.0))
    }
}

impl CacheHolders {
    /// Recomputes the largest number of tokens.
    fn update_max(&mut self) {
        self.max_tokens = self.tokens_by_server.values().copied().fold(0.0, f64::max);
    }
}

/// KV states that wait for the link out of a cell: by cell and request, since when.
#[derive(Default)]
pub(super) struct PendingTransfers(BTreeMap<Option<u32>, BTreeMap<RequestId, Time>>);

impl PendingTransfers {
    /// Adds the KV state of a request that waits to leave a cell.
    pub(super) fn insert(&mut self, source_cell: Option<u32>, id: RequestId, since: Time) {
        self.0.entry(source_cell).or_default().insert(id, since);
    }

    /// Removes the KV state of a request.
    pub(super) fn remove(&mut self, source_cell: Option<u32>, id: RequestId) {
        let Some(waits) = self.0.get_mut(&source_cell) else { return };
        waits.remove(&id);
        if waits.is_empty() {
            self.0.remove(&source_cell);
        }
    }

    /// Age of the oldest KV state that waits to leave this cell.
    pub(super) fn oldest_age(&self, source_cell: Option<u32>, now: Time) -> f64 {
        let since = self.0.get(&source_cell).and_then(|waits| waits.values().min());
        since.map_or(0.0, |since| (now - since) as f64)
    }
}

/// Whether servers of a role that have not recently answered a class come last.
#[derive(Clone, Copy)]
pub(super) struct ProofRequirement {
    pub(super) is_active: bool,
    pub(super) class: usize,
    pub(super) lifetime: Time,
}

impl ProofRequirement {
    /// Whether the requirement applies and the server has not recently answered the class.
    pub(super) fn is_unmet_by(&self, view: &ServerView, now: Time) -> bool {
        let is_unproven = |health: &ClassHealth| now >= health.answered_at + self.lifetime;
        self.is_active && view.health.get(&self.class).is_none_or(is_unproven)
    }
}

impl Router {
    /// Rebuilds everything that follows from the list of servers.
    pub(super) fn rebuild_server_index(&mut self) {
        let mut index = ServerIndex { version: self.server_index.version + 1, ..ServerIndex::default() };
        let (mut weight_by_role, mut readers, mut writers) = ([0.0; 3], BTreeMap::new(), BTreeMap::new());
        for view in self.views.values().filter(|v| v.entry.listed == ServerStatus::Running) {
            let entry = &view.entry;
            let weight_by_cell = if view.role == Role::Prefill { &mut readers } else { &mut writers };
            *weight_by_cell.entry(entry.cell).or_insert(0.0) += entry.weight;
            weight_by_role[view.role as usize] += entry.weight;
            if view.role != Role::Prefill {
                index.writers.entry(entry.cell).or_default().push(entry.server.clone());
            }
        }
        for view in self.views.values().filter(|v| v.entry.listed == ServerStatus::Running) {
            let entry = &view.entry;
            if view.role == Role::Prefill {
                let cell_weights = writers.get(&entry.cell).zip(readers.get(&entry.cell));
                let writers_per_reader: f64 =
                    cell_weights.map_or(0.0, |(writers, readers)| writers / readers);
                let share = ReaderShare {
                    fraction: writers_per_reader.sqrt().max(MIN_READ_SHARE),
                    weight: entry.weight,
                };
                let (server, ready_at) = (entry.server.clone(), entry.ready_at);
                index.last_reader_start = index.last_reader_start.max(ready_at);
                index.readers.push(ReaderSlot { server, name_hash: view.name_hash, share, ready_at });
            }
        }
        (self.reader_weight_by_cell, self.writer_weight_by_cell) = (readers, writers);
        for (cell, weight) in &self.writer_weight_by_cell {
            self.peak_writer_weight_by_cell
                .entry(*cell)
                .and_modify(|peak| *peak = peak.max(*weight))
                .or_insert(*weight);
        }
        for (peak, weight) in self.peak_weight.iter_mut().zip(weight_by_role) {
            *peak = peak.max(weight);
        }
        index.reader_weight = self.reader_weight_by_cell.values().sum();
        index.peak_writer_weight = self.peak_writer_weight_by_cell.values().sum();
        self.server_index = index;
    }

    /// Records that a server caches the texts of a request after it has read or answered it.
    pub(super) fn record_cached_texts(&mut self, server: &ServerId, id: RequestId, found: f64, now: Time) {
        let (Some(view), Some(request)) = (self.views.get_mut(server), self.requests.get(&id)) else {
            return;
        };
        let arrival = &request.arrival;
        for (key, tokens) in
            [(&arrival.session, arrival.prompt_tokens), (&arrival.prefix, arrival.shared_tokens)]
        {
            if let Some(key) = key.as_ref().filter(|_| tokens > 0.0) {
                view.cached_texts.insert(key.clone(), (tokens, now));
                self.cache_index.insert(key, server, tokens);
            }
        }
        // A shared prefix that the server did not find has been evicted; older entries are then no longer
        // relied on.
        if found < MIN_PREFIX_FOUND * arrival.shared_tokens || view.cached_texts.len() > MAX_CACHED_TEXTS {
            view.cached_texts.retain(|key, (_, at)| {
                let is_kept = *at == now;
                if !is_kept {
                    self.cache_index.remove(key, server);
                }
                is_kept
            });
        }
    }

    /// Forgets what a server that has left or restarted cached, and its failures.
    pub(super) fn forget_server(&mut self, server: &ServerId, view: &ServerView) {
        view.cached_texts.keys().for_each(|key| self.cache_index.remove(key, server));
        self.failed_servers.remove(server);
    }
}
