//! The order in which a request asks readers.
use super::*;

impl Router {
    /// Readers by where their texts are at home; near times go by a hash of session and server, weighted by
    /// what all fronts see alike: the writers of its cell, so that few states leave it. It stands until the
    /// list changes.
    pub(super) fn ranking(&mut self, id: ReqId) -> Ranking {
        let known = self.requests.get_mut(&id).and_then(|request| request.ranking.take());
        if let Some(ranking) = known.filter(|ranking| ranking.version == self.index.version) {
            return ranking;
        }
        let (salt, version) = (id.0.to_string(), self.index.version);
        let Some(request) = self.requests.get(&id) else { return Ranking { version, order: Vec::new() } };
        let ask = &request.ask;
        let text = ask.prefix.as_ref().filter(|_| ask.shared > SHARED * ask.prompt);
        let homes = HOMES / self.index.reader_weight.max(1.0);
        let place = |(slot, reader): (usize, &ReaderSlot)| {
            self.look();
            let home = hash(reader.name, ask.session.as_ref().map_or(&salt, |key| &key.0));
            let away = text.is_some_and(|key| unit(hash(reader.name, &key.0)) > homes);
            let home = (-unit(home).ln() / reader.share.part / reader.share.weight).to_bits();
            RankedReader { away, home, slot }
        };
        let mut order: Vec<RankedReader> = self.index.readers.iter().enumerate().map(place).collect();
        order.sort_unstable();
        Ranking { version, order }
    }

    /// The usable readers one after the other, found as they are asked for. Lagging reports order nothing:
    /// guards against herds, and sessions read anew elsewhere (seven times the work). Where few are asked,
    /// a cold reader that is drawn comes first: guards against a draw thinned twice.
    pub(super) fn readers_in_turn<'a>(
        &'a self,
        now: Time,
        request: &'a Request,
        order: &'a [RankedReader],
    ) -> impl Iterator<Item = &'a View> {
        let wary = self.wary(true, request.ask.class);
        let cold_readers = now < self.index.last_reader_start + self.set.cold_for;
        let turns = [(false, true), (false, false), (true, true), (true, false)];
        let turns = turns
            .into_iter()
            .filter(move |(unproven, cold)| (wary.active || !unproven) && (cold_readers || !cold));
        let of_turn = move |(unproven, cold): (bool, bool)| {
            let slots = order.iter().filter_map(|ranked| self.index.readers.get(ranked.slot));
            let slots = slots.filter(move |slot| self.is_cold(slot.ready_at, now) == cold);
            let views = slots.filter_map(|slot| self.views.get(&slot.server)).inspect(|_| self.look());
            views.filter(move |view| wary.of(view, now) == unproven && self.usable(view, request, now))
        };
        turns.flat_map(of_turn)
    }

    /// The usable readers by their read, where this front's own sends tell what waits at each.
    pub(super) fn readers_by_time<'a>(
        &'a self,
        now: Time,
        request: &Request,
        order: &[RankedReader],
    ) -> Vec<&'a View> {
        let (ask, wary) = (&request.ask, self.wary(true, request.ask.class));
        let roomy = self.scan().filter(|view| self.roomy(view, request, now));
        let near: BTreeSet<u32> = roomy.map(|view| view.entry.cell).collect();
        let key = |view: &View, ranked: &RankedReader| {
            let cell = view.entry.cell;
            let (kind, jam) =
                if near.contains(&cell) { (Kind::Near, 0.0) } else { (Kind::Far, self.jam(Some(cell), now)) };
            let hand = self.fits[kind as usize].at(ask.prompt).max(jam);
            let time = (self.read_time(view, ask, Kind::Read, now) + hand) * TIE / request.aim.max(1.0);
            (wary.of(view, now), ranked.away, time.round() as u64, ranked.home, ranked.slot)
        };
        let mut readers: Vec<_> = order
            .iter()
            .filter_map(|ranked| {
                let slot = self.index.readers.get(ranked.slot)?;
                let view = self.views.get(&slot.server).filter(|view| self.usable(view, request, now))?;
                self.look();
                Some((key(view, ranked), view))
            })
            .collect();
        readers.sort_unstable_by_key(|(key, _)| *key);
        readers.into_iter().map(|(_, view)| view).collect()
    }
}
