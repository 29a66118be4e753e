//! The pick of the writer that fetches a state.
use super::*;

impl Router {
    /// Sends a read request on to the writer that costs least; ties at random, against herds.
    pub(super) fn hand_over(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) -> bool {
        let salt = self.random().to_string();
        match self.pick_writer(now, id, &salt) {
            Some((server, kind)) => self.send(now, id, &server, kind, out),
            None => false,
        }
    }

    /// The writer with the fewest tokens running, those of the reader's cell first: they are looked at in
    /// full, the others only where their tokens alone do not put them behind.
    fn pick_writer(&self, now: Time, id: ReqId, salt: &str) -> Option<(ServerId, Kind)> {
        let request = self.requests.get(&id)?;
        let (reader, _) = request.state.as_ref()?;
        if !self.may_send(now, id, None) {
            return None;
        }
        let cell = self.views.get(reader).map(|view| view.entry.cell);
        let (wary, jam) = (self.wary(false, request.ask.class), self.jam(cell, now));
        let tie = |view: &View| hash(view.name, salt);
        let mut best: Option<(WriterCost, &View)> = None;
        let near = cell.and_then(|cell| self.index.writers.get(&cell)).into_iter().flatten();
        let near = near.filter_map(|server| self.views.get(server)).inspect(|_| self.look());
        let far = self.scan().filter(|view| cell.is_none_or(|cell| view.entry.cell != cell));
        for view in near.chain(far).filter(|view| view.role != Role::Prefill) {
            let least = self.least_cost(view, cell, &request.ask, now);
            if best.as_ref().is_some_and(|(cost, _)| least > *cost) {
                continue;
            }
            let free = !request.late(now) || self.memory(view, now) < ABSORB_MARK;
            if !free || !self.may_take(now, request, view) {
                continue;
            }
            let cost = self.writer_cost(view, cell, request, &wary, jam, now);
            // The hash, which breaks ties at random, is worked out for ties alone.
            let better = best
                .as_ref()
                .is_none_or(|(least, than)| cost.cmp(least).then_with(|| tie(view).cmp(&tie(than))).is_lt());
            if better {
                best = Some((cost, view));
            }
        }
        best.map(|(_, view)| (view.entry.server.clone(), hand_kind(view, cell)))
    }

    /// What a writer costs at the least, told by its tokens alone.
    fn least_cost(&self, view: &View, cell: Option<u32>, ask: &Arrival, now: Time) -> WriterCost {
        let far = hand_kind(view, cell) == Kind::Far;
        let tokens = self.held_tokens(view, now);
        let handicap = if far { FAR_HANDICAP * (ask.prompt + tokens) } else { 0.0 };
        WriterCost { poor: 0, full: 0, warm: far && self.may_ask, tokens: (tokens + handicap) as u64 }
    }

    fn writer_cost(
        &self,
        view: &View,
        cell: Option<u32>,
        request: &Request,
        wary: &Wary,
        jam: f64,
        now: Time,
    ) -> WriterCost {
        let (ask, kind) = (&request.ask, hand_kind(view, cell));
        let (far, left) = (kind == Kind::Far, request.aim - (now - request.arrived) as f64);
        let tokens = self.held_tokens(view, now);
        let apart = f64::from(u32::from(far) + u32::from(wary.of(view, now)));
        let handicap = FAR_HANDICAP * apart * (ask.prompt + tokens);
        let time = self.predict(view, kind, ask.prompt, now);
        let late = time.max(view.oldest(now)).max(if far { jam } else { 0.0 }) > left;
        let suspect = Self::suspect(view, ask.class).is_some();
        WriterCost {
            poor: u32::from(!Self::well(view, ask.class, now)) + u32::from(suspect),
            full: u32::from(self.memory(view, now) >= MARK) + u32::from(late),
            warm: self.may_ask && (far || !self.cold(view, now)),
            tokens: (tokens + handicap) as u64,
        }
    }
}
