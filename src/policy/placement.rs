//! Where a prompt is read: rules 1, 2 and 3.
use super::*;

impl Router {
    /// Rules 1, 2 and 3 in this order; the request is held where none takes it.
    pub(super) fn place(&mut self, now: Time, id: ReqId) -> (Step, Kind) {
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

    /// A server that may take this request, as far as its health and the guards tell.
    pub(super) fn usable(&self, view: &View, request: &Request, now: Time) -> bool {
        Self::well(view, request.ask.class, now) && self.may_take(now, request, view)
    }

    /// A writer under its memory mark that begins a stream in time: guards against reads that none takes.
    pub(super) fn roomy(&self, view: &View, request: &Request, now: Time) -> bool {
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

    pub(super) fn read_time(&self, view: &View, ask: &Arrival, kind: Kind, now: Time) -> f64 {
        self.predict(view, kind, self.ahead(view, now) + view.unread(ask), now)
    }
}
