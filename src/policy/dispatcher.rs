//! The dispatcher: held requests in their order, sends, and probes.
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

    /// Held requests are tried at each event, and each may cost a pass over all servers: that has a share
    /// of the time. Guards against large fleets before which such passes take all of it, and all requests
    /// come late.
    fn charge(&mut self, now: Time, examined: u64) {
        let spare = now.saturating_sub(self.sweep_every());
        self.examined_until = self.examined_until.max(spare) + examined / EXAMINED_PER_US;
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        id: ReqId,
        server: &ServerId,
        kind: Kind,
        out: &mut Vec<Action>,
    ) -> bool {
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
}
