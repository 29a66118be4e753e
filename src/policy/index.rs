//! What is kept beside the views of servers, so that no event costs a pass over all of them: the running
//! servers by what they do, kept texts, servers under suspicion, and states that wait for a link. Each
//! holds what a pass would find.
use super::*;

/// A running reader, as the ranking of readers needs it.
pub(super) struct ReaderSlot {
    pub(super) server: ServerId,
    pub(super) name: u64,
    pub(super) share: ReaderShare,
    pub(super) ready_at: Time,
}

/// What part of all reads a reader gets: by the writers of its cell, and by its weight.
pub(super) struct ReaderShare {
    pub(super) part: f64,
    pub(super) weight: f64,
}

/// What follows from the list alone; made anew when it changes.
#[derive(Default)]
pub(super) struct ListIndex {
    /// Counts the changes of the list.
    pub(super) version: u64,
    /// In the order of their names.
    pub(super) readers: Vec<ReaderSlot>,
    /// Running writers and mixed servers by cell, in the order of their names.
    pub(super) writers: BTreeMap<u32, Vec<ServerId>>,
    /// Weight of all running readers, and the most of writers and mixed servers seen at once, over all cells.
    pub(super) reader_weight: f64,
    pub(super) paired_weight: f64,
    /// When the last reader started.
    pub(super) last_reader_start: Time,
}

/// The order in which a request would ask readers, as far as neither time nor load changes it.
pub(super) struct Ranking {
    /// Of the list from which it was made.
    pub(super) version: u64,
    pub(super) order: Vec<RankedReader>,
}

/// A place in a ranking; the lower, the earlier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedReader {
    /// The prompt's shared text has its homes elsewhere.
    pub(super) away: bool,
    pub(super) home: u64,
    /// Position in [`ListIndex::readers`].
    pub(super) slot: usize,
}

/// Where a text is held to be kept.
#[derive(Default)]
struct TextHolders {
    tokens: BTreeMap<ServerId, f64>,
    most: f64,
}

/// Which servers hold which texts: a copy of what the views keep, by text.
#[derive(Default)]
pub(super) struct TextIndex(BTreeMap<TextKey, TextHolders>);

impl TextIndex {
    pub(super) fn insert(&mut self, key: &TextKey, server: &ServerId, tokens: f64) {
        let holders = self.0.entry(key.clone()).or_default();
        let before = holders.tokens.insert(server.clone(), tokens);
        if before.is_some_and(|before| before > tokens) {
            holders.count();
        }
        holders.most = holders.most.max(tokens);
    }

    pub(super) fn remove(&mut self, key: &TextKey, server: &ServerId) {
        let Some(holders) = self.0.get_mut(key) else { return };
        holders.tokens.remove(server);
        if holders.tokens.is_empty() {
            self.0.remove(key);
        } else {
            holders.count();
        }
    }

    /// The most prompt tokens of a request that any server is held to keep.
    pub(super) fn most_kept(&self, ask: &Arrival) -> f64 {
        let of = |key: &Option<TextKey>, most: f64| Some(self.0.get(key.as_ref()?)?.most.min(most));
        of(&ask.session, ask.prompt).unwrap_or(0.0).max(of(&ask.prefix, ask.shared).unwrap_or(0.0))
    }
}

impl TextHolders {
    fn count(&mut self) {
        self.most = self.tokens.values().copied().fold(0.0, f64::max);
    }
}

/// States that wait for the link out of a cell: since when, by request.
#[derive(Default)]
pub(super) struct LinkWaits(BTreeMap<Option<u32>, BTreeMap<ReqId, Time>>);

impl LinkWaits {
    pub(super) fn insert(&mut self, from: Option<u32>, id: ReqId, since: Time) {
        self.0.entry(from).or_default().insert(id, since);
    }

    pub(super) fn remove(&mut self, from: Option<u32>, id: ReqId) {
        let Some(waits) = self.0.get_mut(&from) else { return };
        waits.remove(&id);
        if waits.is_empty() {
            self.0.remove(&from);
        }
    }

    /// Age of the oldest that leaves this cell.
    pub(super) fn oldest(&self, from: Option<u32>, now: Time) -> f64 {
        let sent = self.0.get(&from).and_then(|waits| waits.values().min());
        sent.map_or(0.0, |sent| (now - sent) as f64)
    }
}

/// Whether servers of a role that have not lately answered a class come last.
#[derive(Clone, Copy)]
pub(super) struct Wary {
    pub(super) active: bool,
    pub(super) class: usize,
    pub(super) life: Time,
}

impl Wary {
    pub(super) fn of(&self, view: &View, now: Time) -> bool {
        let unproven = |health: &Health| now >= health.answered + self.life;
        self.active && view.health.get(&self.class).is_none_or(unproven)
    }
}

impl Router {
    /// The list has changed: what follows from it is made anew.
    pub(super) fn list_changed(&mut self) {
        let mut index = ListIndex { version: self.index.version + 1, ..ListIndex::default() };
        let (mut all, mut readers, mut writers) = ([0.0; 3], BTreeMap::new(), BTreeMap::new());
        for view in self.views.values().filter(|v| v.entry.listed == Listed::Running) {
            let entry = &view.entry;
            let cells = if view.role == Role::Prefill { &mut readers } else { &mut writers };
            *cells.entry(entry.cell).or_insert(0.0) += entry.weight;
            all[view.role as usize] += entry.weight;
            if view.role != Role::Prefill {
                index.writers.entry(entry.cell).or_default().push(entry.server.clone());
            }
        }
        for view in self.views.values().filter(|v| v.entry.listed == Listed::Running) {
            let entry = &view.entry;
            if view.role == Role::Prefill {
                let cells = writers.get(&entry.cell).zip(readers.get(&entry.cell));
                let part: f64 = cells.map_or(0.0, |(room, all)| room / all);
                let share = ReaderShare { part: part.sqrt().max(LEAST_PART), weight: entry.weight };
                let (server, ready_at) = (entry.server.clone(), entry.ready_at);
                index.last_reader_start = index.last_reader_start.max(ready_at);
                index.readers.push(ReaderSlot { server, name: view.name, share, ready_at });
            }
        }
        (self.readers, self.writers) = (readers, writers);
        for (cell, now) in &self.writers {
            self.paired.entry(*cell).and_modify(|most| *most = most.max(*now)).or_insert(*now);
        }
        for (most, all) in self.most.iter_mut().zip(all) {
            *most = most.max(all);
        }
        index.reader_weight = self.readers.values().sum();
        index.paired_weight = self.paired.values().sum();
        self.index = index;
    }

    /// What a server is held to keep of a request's texts after it has read or written them.
    pub(super) fn remember(&mut self, server: &ServerId, id: ReqId, found: f64, now: Time) {
        let (Some(view), Some(request)) = (self.views.get_mut(server), self.requests.get(&id)) else {
            return;
        };
        let ask = &request.ask;
        for (key, tokens) in [(&ask.session, ask.prompt), (&ask.prefix, ask.shared)] {
            if let Some(key) = key.as_ref().filter(|_| tokens > 0.0) {
                view.kept.insert(key.clone(), (tokens, now));
                self.texts.insert(key, server, tokens);
            }
        }
        // Guards against texts that are gone: what an answer did not find is no longer counted on.
        if found < FOUND * ask.shared || view.kept.len() > KEPT_MOST {
            view.kept.retain(|key, (_, at)| {
                let stays = *at == now;
                if !stays {
                    self.texts.remove(key, server);
                }
                stays
            });
        }
    }

    /// A server has left or started anew: nothing is known of it any more.
    pub(super) fn forget_server(&mut self, server: &ServerId, view: &View) {
        view.kept.keys().for_each(|key| self.texts.remove(key, server));
        self.struck.remove(server);
    }
}
