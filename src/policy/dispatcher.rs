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
            let kept = self.scan().map(|view| view.kept(&request.ask)).fold(0.0, f64::max);
            let gain = worth * request.ask.prompt / (request.ask.prompt - kept).max(LEAST_READ);
            queue.push((request.late(now), request.over, Reverse(gain.to_bits()), request.arrived, id));
        }
        queue.sort_unstable();
        let mut misses = 0;
        for (_, _, _, _, id) in queue {
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
            if misses >= MISSES {
                break;
            }
        }
    }

    /// The first of these servers that takes a read, each asked for its load before it is passed over. No
    /// answer counts as busy: guards against fronts that see an idle fleet because they have nothing out. It
    /// leaves the next its turn: guards against a home that has fallen silent.
    fn first_of(&self, now: Time, ask: &Arrival, of: &[&View], takes: impl Fn(&View) -> bool) -> Step {
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
    fn place(&self, now: Time, id: ReqId) -> (Step, Kind) {
        let salt = id.0.to_string();
        let Some(request) = self.requests.get(&id) else { return (Step::Next, Kind::Read) };
        let (ask, left) = (&request.ask, request.left(now));
        let usable = |view: &&View| Self::well(view, ask.class, now) && self.may_send(now, id, Some(view));
        let (mut readers, writers): (Vec<&View>, Vec<&View>) =
            self.scan().filter(usable).partition(|v| v.role == Role::Prefill);
        // Writers under their memory mark that begin a stream in time: guards against reads that none takes.
        let room = |v: &&View| {
            let hand = v.oldest(now).max(self.predict(v, Kind::Near, ask.prompt, now));
            self.memory(v, now) < if request.late(now) { ABSORB_MARK } else { MARK } && hand < left
        };
        let room: Vec<&View> = writers.into_iter().filter(room).collect();
        let near: BTreeSet<u32> = room.iter().map(|v| v.entry.cell).collect();
        let read =
            |view: &View, kind: Kind| self.predict(view, kind, self.ahead(view, now) + view.unread(ask), now);
        readers.retain(|_| !room.is_empty() && request.tries + 1 < self.set.most_tries);
        // Readers by their read; near times go by a hash of session and server, weighted by what all fronts
        // see alike: the writers of its cell, so that few states leave it. Lagging reports order nothing:
        // guards against herds, and sessions read anew elsewhere (seven times the work). Where few are asked,
        // a cold reader that is drawn comes first: guards against a draw thinned twice.
        let wary = self.wary(true, ask.class, now);
        let text = ask.prefix.as_ref().filter(|_| ask.shared > SHARED * ask.prompt);
        let homes = HOMES / self.readers.values().sum::<f64>().max(1.0);
        let rank = |view: &&View| {
            let home = hash(&view.entry.server.0, ask.session.as_ref().map_or(&salt, |key| &key.0));
            let away = text.is_some_and(|key| unit(hash(&view.entry.server.0, &key.0)) > homes);
            let cell = &view.entry.cell;
            let part =
                self.writers.get(cell).zip(self.readers.get(cell)).map_or(0.0, |(room, all)| room / all);
            let home = (-unit(home).ln() / part.sqrt().max(LEAST_PART) / view.entry.weight).to_bits();
            let (kind, jam) =
                if near.contains(cell) { (Kind::Near, 0.0) } else { (Kind::Far, self.jam(Some(*cell), now)) };
            let time = read(view, Kind::Read) + self.fits[kind as usize].at(ask.prompt).max(jam);
            let times = if self.may_ask { 0.0 } else { time * TIE / request.aim.max(1.0) };
            (wary(view), self.may_ask && !self.cold(view, now), away, times.round() as u64, home)
        };
        readers.sort_by_cached_key(rank);
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
                && read(v, Kind::Read) + blind <= left
        };
        // Rule 3: a writer under its memory mark whose streams all have slack above this read.
        let absorbs = |v: &&View| {
            let time = read(v, Kind::Whole);
            self.turn(v, time, now)
                && self.memory(v, now) < ABSORB_MARK
                && time <= left
                && Self::slack(v, now) > time
        };
        let room = room.into_iter().filter(|v| v.role == Role::Mixed || self.set.writers_read);
        let mut absorbers: Vec<&View> = room.filter(absorbs).collect();
        absorbers.sort_by_cached_key(|v| (v.role != Role::Mixed, hash(&v.entry.server.0, &salt)));
        let step = match self.first_of(now, ask, &readers, idle) {
            Step::Next => self.first_of(now, ask, &readers, on_time),
            step => step,
        };
        match step {
            Step::Next => (self.first_of(now, ask, &absorbers, |_| true), Kind::Whole),
            step => (step, Kind::Read),
        }
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
        let near = self.scan().filter(|v| v.role != Role::Prefill && v.entry.cell == cell);
        let near = near.filter(|v| v.entry.listed == Listed::Running && now >= v.probed + spacing);
        let mut near: Vec<_> = near.map(|v| v.entry.server.clone()).collect();
        near.sort_by_cached_key(|server| hash(&server.0, &salt));
        for server in near.iter().take(PROBES_NEAR) {
            self.ask(now, server, out);
        }
    }

    /// Sends a read request on to the writer with the fewest tokens running; ties at random, against herds.
    pub(super) fn hand_over(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) -> bool {
        let salt = self.random().to_string();
        let Some(request) = self.requests.get(&id) else { return false };
        let Some((reader, _)) = &request.state else { return false };
        let left = request.aim - (now - request.arrived) as f64;
        let cell = self.views.get(reader).map(|view| view.entry.cell);
        let (wary, jam) = (self.wary(false, request.ask.class, now), self.jam(cell, now));
        let free = |v: &View| !request.late(now) || self.memory(v, now) < ABSORB_MARK;
        let usable = |v: &&View| v.role != Role::Prefill && free(v) && self.may_send(now, id, Some(v));
        let candidates = self.scan().filter(usable);
        let key = |view: &View| {
            let far = hand_kind(view, cell) == Kind::Far;
            let tokens = self.held_tokens(view, now);
            let apart = f64::from(u32::from(far) + u32::from(wary(view)));
            let handicap = FAR_HANDICAP * apart * (request.ask.prompt + tokens);
            let time = self.predict(view, hand_kind(view, cell), request.ask.prompt, now);
            let late = time.max(view.oldest(now)).max(if far { jam } else { 0.0 }) > left;
            let suspect = Self::suspect(view, request.ask.class).is_some();
            let poor = u32::from(!Self::well(view, request.ask.class, now)) + u32::from(suspect);
            let full = u32::from(self.memory(view, now) >= MARK) + u32::from(late);
            let warm = self.may_ask && (far || !self.cold(view, now));
            (poor, full, warm, (tokens + handicap) as u64, hash(&view.entry.server.0, &salt))
        };
        let Some(best) = candidates.min_by_key(|v| key(v)) else { return false };
        let (server, kind) = (best.entry.server.clone(), hand_kind(best, cell));
        self.send(now, id, &server, kind, out)
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
        request.tries += 1;
        if let Some(view) = self.views.get_mut(server) {
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
