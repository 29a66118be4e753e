//! The dispatcher, and the pick of the writer.
use super::*;

impl Router {
    pub(super) fn held(&self) -> impl Iterator<Item = ReqId> {
        self.requests.iter().filter(|(_, request)| request.out.is_none()).map(|(id, _)| *id)
    }

    /// Places what is held, the most worthy first; a request that has just come changes nothing for others.
    pub(super) fn dispatch_held(&mut self, now: Time, only: Option<ReqId>, out: &mut Vec<Action>) {
        let mut queue: Vec<(bool, bool, Reverse<u64>, Time, ReqId)> = Vec::new();
        for id in self.held().filter(|id| only.is_none_or(|only| only == *id)) {
            let Some(request) = self.requests.get(&id) else { continue };
            let worth = self.set.classes.get(request.ask.class).map_or(0.0, |class| class.worth);
            let kept = self.texts.most_kept(&request.ask);
            let gain = worth * request.ask.prompt / (request.ask.prompt - kept).max(LEAST_READ);
            queue.push((request.late(now), request.over, Reverse(gain.to_bits()), request.arrived, id));
        }
        queue.sort_unstable();
        let mut misses = 0;
        for (_, _, _, _, id) in queue {
            if only.is_none() && self.examined_until > now {
                break;
            }
            let before = self.examined.get();
            let sent = if self.requests.get(&id).is_some_and(|request| request.state.is_some()) {
                self.hand_over(now, id, out)
            } else {
                match self.place(now, id) {
                    (Step::Take(server), kind) => self.send(now, id, &server, kind, out),
                    (Step::Ask(Some(server)), _) => self.ask(now, &server, out),
                    _ => false,
                }
            };
            misses += u32::from(!sent);
            if only.is_none() {
                self.charge(now, self.examined.get() - before);
            }
            if misses >= MISSES {
                break;
            }
        }
    }

    /// Held requests are tried at each event, and each may cost a pass over all servers: that has a share of the time.
    /// Guards against large fleets before which such passes take all of it, and all requests come late.
    fn charge(&mut self, now: Time, examined: u64) {
        let spare = now.saturating_sub(self.sweep_every());
        self.examined_until = self.examined_until.max(spare) + examined / EXAMINED_PER_US;
    }

    /// The first of these servers that takes a read, each asked for its load before it is passed over. No
    /// answer counts as busy: guards against fronts that see an idle fleet because they have nothing out. It
    /// leaves the next its turn: guards against a home that has fallen silent.
    fn first_of<'a>(
        &self,
        now: Time,
        ask: &Arrival,
        of: impl Iterator<Item = &'a View>,
        takes: impl Fn(&View) -> bool,
    ) -> Step {
        let wait = (PROBE_WAIT * self.least_aim()) as Time;
        let (mut told, most) = (0, if ask.session.is_some() { 1 } else { PROBES });
        for view in of {
            if self.may_ask && told >= most {
                break;
            }
            if self.fresh(view, now) {
                if takes(view) {
                    return Step::Take(view.entry.server.clone());
                }
                told += 1;
            } else if now >= view.probed + (FRESH * self.least_aim()) as Time {
                return Step::Ask(Some(view.entry.server.clone()));
            } else if now < view.probed + wait {
                return Step::Ask(None);
            }
        }
        Step::Next
    }

    /// Rules 1, 2 and 3 in this order; the request is held where none takes it.
    fn place(&mut self, now: Time, id: ReqId) -> (Step, Kind) {
        if !self.may_send(now, id, None) || !self.has_room(now, id) {
            return (Step::Next, Kind::Read);
        }
        let ranking = self.ranking(id);
        let step = self.place_read(now, id, &ranking.order);
        let Some(request) = self.requests.get_mut(&id) else { return (Step::Next, Kind::Read) };
        request.ranking = Some(ranking);
        match step {
            Step::Next => (self.place_whole(now, id), Kind::Whole),
            step => (step, Kind::Read),
        }
    }

    /// A server that may take this request, as far as its health and the guards tell.
    fn usable(&self, view: &View, request: &Request, now: Time) -> bool {
        Self::well(view, request.ask.class, now) && self.may_take(now, request, view)
    }

    /// A writer under its memory mark that begins a stream in time: guards against reads that none takes.
    fn roomy(&self, view: &View, request: &Request, now: Time) -> bool {
        let mark = if request.late(now) { ABSORB_MARK } else { MARK };
        let hand = || view.oldest(now).max(self.predict(view, Kind::Near, request.ask.prompt, now));
        view.role != Role::Prefill
            && self.usable(view, request, now)
            && self.memory(view, now) < mark
            && hand() < request.left(now)
    }

    fn has_room(&self, now: Time, id: ReqId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        self.scan().any(|view| self.roomy(view, request, now))
    }

    /// Readers by where their texts are at home; near times go by a hash of session and server, weighted by what all
    /// fronts see alike: the writers of its cell, so that few states leave it. It stands until the list changes.
    fn ranking(&mut self, id: ReqId) -> Ranking {
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

    /// Rules 1 and 2.
    fn place_read(&self, now: Time, id: ReqId, order: &[RankedReader]) -> Step {
        let Some(request) = self.requests.get(&id) else { return Step::Next };
        if request.tries + 1 >= self.set.most_tries {
            return Step::Next;
        }
        let (ask, left) = (&request.ask, request.left(now));
        let read = |view: &View| self.read_time(view, ask, Kind::Read, now);
        // Rule 1: an idle reader, unless so many reads by others are to be expected since its report that
        // some would wait: guards against herds there.
        let crowd = self.others() > RUNNING;
        let idle = |v: &View| !crowd && v.jobs.is_empty() && self.ahead(v, now) < LEAST_READ;
        // Rule 2: a running reader with nothing waiting that will be on time. No predicted end has passed,
        // and time is left for what other fronts sent since the report was true.
        let blind = if self.may_ask { BLIND * left.min(self.least_aim()) } else { 0.0 };
        let on_time = |v: &View| {
            v.jobs.len() <= 1
                && (!request.late(now) || self.ahead(v, now) < LEAST_READ)
                && v.jobs.values().all(|job| job.due >= now)
                && self.ahead(v, now) <= RUNNING * self.mean_read()
                && read(v) + blind <= left
        };
        if self.may_ask {
            let readers = || self.readers_in_turn(now, request, order);
            return match self.first_of(now, ask, readers(), idle) {
                Step::Next => self.first_of(now, ask, readers(), on_time),
                step => step,
            };
        }
        let readers = self.readers_by_time(now, request, order);
        match self.first_of(now, ask, readers.iter().copied(), idle) {
            Step::Next => self.first_of(now, ask, readers.iter().copied(), on_time),
            step => step,
        }
    }

    fn read_time(&self, view: &View, ask: &Arrival, kind: Kind, now: Time) -> f64 {
        self.predict(view, kind, self.ahead(view, now) + view.unread(ask), now)
    }

    /// The usable readers one after the other, found as they are asked for. Lagging reports order nothing: guards
    /// against herds, and sessions read anew elsewhere (seven times the work). Where few are asked, a cold reader
    /// that is drawn comes first: guards against a draw thinned twice.
    fn readers_in_turn<'a>(
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
        let wary = self.wary(true, request.ask.class);
        let of_turn = move |(unproven, cold): (bool, bool)| {
            let wary = Wary { ..wary };
            let slots = order.iter().filter_map(|ranked| self.index.readers.get(ranked.slot));
            let slots = slots.filter(move |slot| self.is_cold(slot.ready_at, now) == cold);
            let views = slots.filter_map(|slot| self.views.get(&slot.server)).inspect(|_| self.look());
            views.filter(move |view| wary.of(view, now) == unproven && self.usable(view, request, now))
        };
        turns.flat_map(of_turn)
    }

    /// The usable readers by their read, where this front's own sends tell what waits at each.
    fn readers_by_time<'a>(&'a self, now: Time, request: &Request, order: &[RankedReader]) -> Vec<&'a View> {
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

    /// Rule 3: a writer under its memory mark whose streams all have slack above this read.
    fn place_whole(&self, now: Time, id: ReqId) -> Step {
        let Some(request) = self.requests.get(&id) else { return Step::Next };
        let (ask, left, salt) = (&request.ask, request.left(now), id.0.to_string());
        let mut turns = TurnSalt::default();
        let absorbs = |view: &&View| {
            if view.role != Role::Mixed && !self.set.writers_read {
                return false;
            }
            let time = self.read_time(view, ask, Kind::Whole, now);
            time <= left
                && self.roomy(view, request, now)
                && self.memory(view, now) < ABSORB_MARK
                && Self::slack(view, now) > time
                && self.turn(view, time, now, &mut turns)
        };
        let mut absorbers: Vec<&View> = self.scan().filter(absorbs).collect();
        absorbers.sort_by_cached_key(|v| (v.role != Role::Mixed, hash(v.name, &salt)));
        self.first_of(now, ask, absorbers.iter().copied(), |_| true)
    }

    pub(super) fn ask(&mut self, now: Time, server: &ServerId, out: &mut Vec<Action>) -> bool {
        if let Some(view) = self.views.get_mut(server) {
            view.probed = now;
            out.push(Action::Probe { server: server.clone() });
        }
        false
    }

    /// Asks a few writers of the reader's cell for their load, to be known when the read returns.
    fn ask_writers(&mut self, now: Time, cell: u32, out: &mut Vec<Action>) {
        if !self.set.may_probe || self.set.report_fields.is_empty() {
            return;
        }
        let (salt, spacing) = (self.random().to_string(), (FRESH * self.least_aim()) as Time);
        let near = self.index.writers.get(&cell).into_iter().flatten();
        let near = near.filter_map(|server| self.views.get(server)).inspect(|_| self.look());
        let near = near.filter(|view| now >= view.probed + spacing);
        let mut near: Vec<_> = near.map(|view| view.entry.server.clone()).collect();
        near.sort_by_cached_key(|server| hash(name_hash(&server.0), &salt));
        for server in near.iter().take(PROBES_NEAR) {
            self.ask(now, server, out);
        }
    }

    /// Sends a read request on to the writer that costs least; ties at random, against herds.
    pub(super) fn hand_over(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) -> bool {
        let salt = self.random().to_string();
        match self.pick_writer(now, id, &salt) {
            Some((server, kind)) => self.send(now, id, &server, kind, out),
            None => false,
        }
    }

    /// The writer with the fewest tokens running, those of the reader's cell first: they are looked at in full, the
    /// others only where their tokens alone do not put them behind.
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

    fn send(&mut self, now: Time, id: ReqId, server: &ServerId, kind: Kind, out: &mut Vec<Action>) -> bool {
        let Some(view) = self.views.get(server) else { return false };
        if !self.may_send(now, id, Some(view)) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let reads = matches!(kind, Kind::Read | Kind::Whole);
        let unread = if reads { view.unread(&request.ask) } else { 0.0 };
        let x = if reads { self.ahead(view, now) + unread } else { request.ask.prompt };
        let time = self.predict(view, kind, x, now);
        let class = self.set.classes.get(request.ask.class);
        let tpot = class.map_or(0.0, |class| class.tpot_aim);
        let answer = if request.ask.hint > 0 && tpot > 0.0 {
            request.ask.hint as f64 / tpot
        } else {
            request.ask.max_out * ANSWER
        };
        let effect = kind != Kind::Read && class.is_none_or(|class| class.repeat == Repeat::Unsafe);
        let least = request.aim * if self.sparse() { GIVE_UP_AIMS } else { GIVE_UP_AIM };
        let patience = (GIVE_UP * time).max(least) * f64::from(1u32 << request.tries.min(DOUBLINGS));
        let left = request.deadline - now;
        let timeout = if effect { left } else { left.min(patience as Time).max(1) };
        let from = request.state.as_ref().and_then(|(at, _)| Some(self.views.get(at)?.entry.cell));
        let job = Job {
            kind,
            from,
            sent: now,
            due: now + time as Time,
            x,
            unread,
            tokens: request.ask.prompt + if kind == Kind::Read { 0.0 } else { answer },
            first: None,
        };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.out = Some((server.clone(), request.tries));
        request.ranking = None;
        request.tries += 1;
        if let Some(view) = self.views.get_mut(server) {
            if kind == Kind::Far {
                self.link_waits.insert(from, id, now);
            }
            view.jobs.insert(id, job);
            let (sent, answered) = &mut self.flow[view.role as usize];
            (*sent, *answered) = (*sent * FIT_KEEP + 1.0, *answered * FIT_KEEP);
        }
        out.push(Action::Send { id, server: server.clone(), timeout });
        if let (Kind::Read, Some(cell)) = (kind, self.views.get(server).map(|view| view.entry.cell)) {
            self.ask_writers(now, cell, out);
        }
        true
    }
}
