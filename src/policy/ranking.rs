//! The order in which a request tries readers. Whether a reader accepts is decided in `placement`.
//!
//! All fronts compute the same ranking for a session from the same list of servers.
use super::*;

impl Router {
    /// Returns the request's ranking of all running readers, computed anew only if the list has changed.
    /// Readers that are a home of the shared prefix come first. Within them the order is a weighted hash of
    /// session and reader. The weights depend only on what all fronts see alike: the writers of the reader's
    /// cell, so that few KV states leave the cell, and the reader's own weight.
    pub(super) fn ranking(&mut self, id: RequestId) -> Ranking {
        let cached = self.requests.get_mut(&id).and_then(|request| request.ranking.take());
        if let Some(ranking) = cached.filter(|ranking| ranking.version == self.server_index.version) {
            return ranking;
        }
        let (salt, version) = (id.0.to_string(), self.server_index.version);
        let Some(request) = self.requests.get(&id) else { return Ranking { version, order: Vec::new() } };
        let arrival = &request.arrival;
        let shared_prefix = arrival
            .prefix
            .as_ref()
            .filter(|_| arrival.shared_tokens > MIN_SHARED_PREFIX * arrival.prompt_tokens);
        let home_share = PREFIX_HOMES / self.server_index.reader_weight.max(1.0);
        let rank = |(slot, reader): (usize, &ReaderSlot)| {
            self.count_examined();
            let draw = hash(reader.name_hash, arrival.session.as_ref().map_or(&salt, |key| &key.0));
            let is_away =
                shared_prefix.is_some_and(|key| unit_interval(hash(reader.name_hash, &key.0)) > home_share);
            let session_rank =
                (-unit_interval(draw).ln() / reader.share.fraction / reader.share.weight).to_bits();
            RankedReader { is_away, session_rank, slot }
        };
        let mut order: Vec<RankedReader> = self.server_index.readers.iter().enumerate().map(rank).collect();
        order.sort_unstable();
        Ranking { version, order }
    }

    /// Yields the usable readers in ranking order, computed lazily. Load reports do not influence the order,
    /// because they lag: reordering would cause herds, and sessions would be read again at other readers
    /// (seven times the work). Cold readers that pass their draw come first: few readers are tried for a
    /// request, so that a later place would thin the draw a second time.
    pub(super) fn readers_in_turn<'a>(
        &'a self,
        now: Time,
        request: &'a Request,
        order: &'a [RankedReader],
    ) -> impl Iterator<Item = &'a ServerView> {
        let requirement = self.proof_requirement(true, request.arrival.class);
        let has_cold_readers = now < self.server_index.last_reader_start + self.settings.cold_duration;
        let turns = [(false, true), (false, false), (true, true), (true, false)];
        let turns = turns.into_iter().filter(move |(is_unproven, is_cold)| {
            (requirement.is_active || !is_unproven) && (has_cold_readers || !is_cold)
        });
        let readers_of_turn = move |(is_unproven, is_cold): (bool, bool)| {
            let slots = order.iter().filter_map(|ranked| self.server_index.readers.get(ranked.slot));
            let slots = slots.filter(move |slot| self.is_cold(slot.ready_at, now) == is_cold);
            let views =
                slots.filter_map(|slot| self.views.get(&slot.server)).inspect(|_| self.count_examined());
            views.filter(move |view| {
                requirement.is_unmet_by(view, now) == is_unproven && self.is_usable(view, request, now)
            })
        };
        turns.flat_map(readers_of_turn)
    }

    /// The usable readers ordered by predicted read time, for fronts whose own sends show what waits at each
    /// reader.
    pub(super) fn readers_by_time<'a>(
        &'a self,
        now: Time,
        request: &Request,
        order: &[RankedReader],
    ) -> Vec<&'a ServerView> {
        let (arrival, requirement) = (&request.arrival, self.proof_requirement(true, request.arrival.class));
        let ready_writers = self.scan_servers().filter(|view| self.can_start_stream(view, request, now));
        let ready_cells: BTreeSet<u32> = ready_writers.map(|view| view.entry.cell).collect();
        let key = |view: &ServerView, ranked: &RankedReader| {
            let cell = view.entry.cell;
            let (kind, link_wait) = if ready_cells.contains(&cell) {
                (AttemptKind::LocalFetch, 0.0)
            } else {
                (AttemptKind::RemoteFetch, self.oldest_pending_transfer(Some(cell), now))
            };
            let fetch_time = self.latency_fits[kind as usize].predict(arrival.prompt_tokens).max(link_wait);
            let total_time = (self.predict_read(view, arrival, AttemptKind::Read, now) + fetch_time)
                * TIE_STEPS_PER_TARGET
                / request.ttft_target.max(1.0);
            (
                requirement.is_unmet_by(view, now),
                ranked.is_away,
                total_time.round() as u64,
                ranked.session_rank,
                ranked.slot,
            )
        };
        let mut readers: Vec<_> = order
            .iter()
            .filter_map(|ranked| {
                let slot = self.server_index.readers.get(ranked.slot)?;
                let view = self.views.get(&slot.server).filter(|view| self.is_usable(view, request, now))?;
                self.count_examined();
                Some((key(view, ranked), view))
            })
            .collect();
        readers.sort_unstable_by_key(|(key, _)| *key);
        readers.into_iter().map(|(_, view)| view).collect()
    }
}
