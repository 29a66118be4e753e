//! Requests coming and going.
use super::*;

impl Router {
    pub(super) fn arrived(&mut self, now: Time, ask: Arrival) {
        let aim = self.set.classes.get(ask.class).map_or(ask.time_left as f64, |class| {
            class.ttft_aim as f64 + class.ttft_aim_per_1000 * ask.prompt / 1000.0
        });
        let (tenant, bucket) = (self.set.tenants.get(ask.tenant), self.quota.get_mut(ask.tenant));
        let over = tenant.zip(bucket).is_some_and(|(tenant, (level, at))| {
            let rate = tenant.quota_per_s / f64::from(self.set.fronts);
            *level = (*level - rate * (now - *at) as f64 / 1e6).max(0.0);
            *at = now;
            let over = *level > QUOTA_SPAN * rate;
            *level += if over { 0.0 } else { 1.0 };
            over
        });
        let (step, since) = if self.came > 0 { (PACE_STEP, now - self.came) } else { (1.0, 0) };
        self.usual_prompt += step * (ask.prompt.max(1.0).ln() - self.usual_prompt);
        self.gap += step * (since as f64 - self.gap);
        self.came = now;
        let id = ask.id;
        // Guards against answers due after this front has ended.
        let deadline = (now + ask.time_left).min(self.stop.map_or(Time::MAX, |(_, _, end)| end));
        let request = Request { arrived: now, deadline, aim, over, ask, ..Request::default() };
        self.requests.insert(id, request);
    }

    pub(super) fn first(&mut self, now: Time, id: ReqId, server: &ServerId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        request.state = None;
        let Some(view) = self.views.get_mut(server) else { return };
        let Some(job) = view.jobs.get_mut(&id) else { return };
        job.first = Some(now);
        let job = job.clone();
        let class = request.ask.class;
        self.link_waits.remove(job.from, id);
        if job.kind == Kind::Whole {
            self.remember(server, id, job.tokens, now);
        }
        self.answered(server, class, now);
        self.learn(server, job.kind, job.x, (now - job.sent) as f64);
    }

    pub(super) fn ended(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let Event::Ended { id, server, outcome, settled, note, load, .. } = event else { return };
        let server = &server;
        self.report(now, server, load);
        let job = self.views.get_mut(server).and_then(|view| view.jobs.remove(&id));
        if let Some(job) = &job {
            self.link_waits.remove(job.from, id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.out = None;
        let let_go = std::mem::take(&mut request.let_go);
        // The state's time starts anew at what an attempt came to only where it is known to have arrived,
        // or where the state was let go of beside it: one that never came up, or was written to a silent
        // link, was never out. Guards against try after try.
        let arrived = matches!(outcome, Outcome::Full | Outcome::Error);
        let anew = arrived || (let_go && outcome != Outcome::NoConnection);
        if let Some((_, since)) = request.state.as_mut().filter(|_| anew) {
            *since = now;
        }
        // A state that a writer misses may be out of reach, behind a cut: let go of it before reading anew.
        let missed = outcome == Outcome::Full && note == 1;
        // Let go of beside an attempt that never came up, or that ran out of time: held to be gone. Where
        // the attempt had arrived it is let go of now: at a silent or hung server the next would find
        // nothing to fetch.
        let gone = let_go && matches!(outcome, Outcome::NoConnection | Outcome::TimedOut);
        if missed || gone || request.state.as_ref().is_some_and(|(_, since)| now > since + self.set.let_go_by)
        {
            request.state = None;
            out.push(Action::Release { id });
        }
        let class = request.ask.class;
        let whole = job.as_ref().is_some_and(|job| job.kind != Kind::Read);
        match outcome {
            Outcome::Read => {
                request.state = Some((server.clone(), now));
                let prompt = request.ask.prompt;
                if let Some(job) = job.as_ref().filter(|_| self.views.contains_key(server)) {
                    self.remember(server, id, note as f64, now);
                    let x = job.x - job.unread + (prompt - note as f64).max(0.0);
                    self.answered(server, class, now);
                    self.learn(server, Kind::Read, x, (now - job.sent) as f64);
                }
            }
            _ if missed => {}
            Outcome::Served | Outcome::NotSent | Outcome::Cancelled => {}
            // One broken connection says little of a server, and one that has died refuses the next at once:
            // guards against resets on the way that would suspend one server after the other.
            Outcome::Broken if self.broke(server, class) <= BROKE => {}
            _ => {
                self.strike(server, class, now);
                // What ran out of time took at least so long: guards against slow servers and jammed links
                // that would look quick, since only answers taught, and against time-outs too short for all.
                let took = |job: &&Job| outcome == Outcome::TimedOut || job.kind == Kind::Far;
                if let Some(job) = job.as_ref().filter(took) {
                    self.learn(server, job.kind, job.x, (now - job.sent) as f64);
                }
            }
        }
        // A read may have ended well as its connection broke: guards against its state waiting there unseen.
        if !whole && !outcome.never_ran() {
            out.push(Action::Release { id });
        }
        let closing = self.closing(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if whole && !outcome.never_ran() && request.ran.is_none() {
            request.ran = Some((server.clone(), job.map_or(now, |job| job.sent)));
        }
        request.ended |= settled;
        let over = request.ended || outcome == Outcome::NotSent || closing;
        if over || (!self.hand_over(now, id, out) && !self.may_send(now, id, None)) {
            self.finish(now, id, out);
        }
    }

    pub(super) fn gone(&mut self, now: Time, id: ReqId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        match &request.out {
            None => self.finish(now, id, out),
            Some((_, attempt)) if self.set.may_cancel => out.push(Action::Cancel { id, attempt: *attempt }),
            _ => {}
        }
    }

    pub(super) fn sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        self.armed = false;
        if self.asked.is_some_and(|at| now >= at) {
            self.asked = Some(now + self.set.ask_within / ASK_AGAIN);
            out.push(Action::Subscribe);
        }
        self.move_streams(now, out);
        let keep = (LET_GO * self.set.let_go_by as f64) as Time;
        self.let_go_beside_attempts(now, out);
        let stuck: Vec<ReqId> = self.held().collect();
        for id in stuck {
            let Some(request) = self.requests.get_mut(&id) else { return };
            if request.state.as_ref().is_some_and(|(_, since)| now >= since + keep) {
                request.state = None;
                out.push(Action::Release { id });
            }
            // The wait ends early for what has not been tried, at the aim for what is not read.
            let wait = if request.tries == 0 { HOLD * request.aim } else { request.aim };
            let early = request.state.is_none() && now >= request.arrived + wait as Time;
            if early || self.closing(now, id) {
                self.finish(now, id, out);
            }
        }
    }

    /// An attempt that was written may never arrive, and nothing tells: what it comes for is let go of all
    /// the same, once. A server keeps what an attempt waits for there, so this takes nothing from one that
    /// has arrived.
    fn let_go_beside_attempts(&mut self, now: Time, out: &mut Vec<Action>) {
        let keep = (LET_GO_BESIDE * self.set.let_go_by as f64) as Time;
        for (id, request) in &mut self.requests {
            let due = request.state.as_ref().is_some_and(|(_, since)| now >= since + keep);
            if due && request.out.is_some() && !request.let_go {
                request.let_go = true;
                out.push(Action::Release { id: *id });
            }
        }
    }

    /// Where this front ends, streams that it would cut go on elsewhere before: one after the other over the
    /// time that is left. Guards against all their clients coming again at once, which no reader can take.
    fn move_streams(&mut self, now: Time, out: &mut Vec<Action>) {
        let stop = self.stop.filter(|(due, _, _)| self.set.resume && now >= *due);
        let Some((_, last, end)) = stop else { return };
        let class = |request: &Request| self.set.classes.get(request.ask.class).map_or(0.0, |c| c.tpot_aim);
        // One that is past its time at the nominal pace is at a slow writer: its end is not known.
        let ends = |id: &ReqId, request: &Request| {
            let job = self.views.get(&request.out.as_ref()?.0)?.jobs.get(id)?;
            let tokens = job.tokens - request.ask.prompt;
            let at = job.first? + (tokens * NOMINAL * class(request)) as Time;
            Some(if at < now { Time::MAX } else { at }).filter(|at| *at > end)
        };
        let cut = self.requests.iter().filter(|(_, request)| request.streaming && !request.ended);
        let cut: Vec<_> = cut.filter_map(|(id, request)| Some((ends(id, request)?, *id))).collect();
        let Some((_, id)) = cut.iter().max() else { return };
        self.stop = Some((now + last.saturating_sub(now) / cut.len() as Time, last, end));
        if let Some(request) = self.requests.get_mut(id) {
            request.ended = true;
            out.push(Action::Move { id: *id });
        }
    }
}
