//! A router with its clock, and the requests and servers of the tests.

use elderstage::*;

pub const MS: Time = 1_000;

/// A router with its clock and the actions of the last event.
pub struct Harness {
    pub router: Router,
    pub now: Time,
    pub actions: Vec<Action>,
}

pub fn server(name: &str) -> ServerId {
    ServerId(name.into())
}

/// Names encode kind and cell: `r` is a reader, `w` a writer, `m` a mixed server; the digit after it is the
/// cell.
pub fn entry(name: &str, listed: ServerStatus, ready_at: Time) -> ServerEntry {
    let kind = match &name[..1] {
        "r" => 0,
        "w" => 1,
        _ => 2,
    };
    let cell = name[1..2].parse().unwrap();
    ServerEntry { server: server(name), listed, kind, zone: cell, cell, weight: 1.0, ready_at }
}

pub fn arrival(id: u32, prompt: f64) -> Arrival {
    Arrival {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        session: None,
        prefix: None,
        time_left: 6_000 * MS,
        output_time_hint: 0,
        prompt_tokens: prompt,
        shared_tokens: 0.0,
        max_output_tokens: 200.0,
        is_repeat: false,
        is_resumed: false,
    }
}

impl Harness {
    pub fn with(settings: Settings, names: &[&str]) -> Harness {
        let mut harness =
            Harness { router: Router::new(settings, 5), now: 1_000_000_000, actions: Vec::new() };
        harness.update_list(
            ListMode::Restored,
            names.iter().map(|n| entry(n, ServerStatus::Running, 0)).collect(),
        );
        harness
    }

    pub fn new(names: &[&str]) -> Harness {
        Harness::with(example_settings(), names)
    }

    /// Passes an event to the router and returns the actions except timers and probes.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.router.handle(self.now, event, &mut self.actions);
        self.actions
            .iter()
            .filter(|a| !matches!(a, Action::Timer { .. } | Action::Probe { .. }))
            .cloned()
            .collect()
    }

    pub fn update_list(&mut self, mode: ListMode, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::Servers { mode, entries })
    }

    pub fn arrive(&mut self, id: u32, prompt: f64) -> Vec<Action> {
        self.handle(Event::Arrived(arrival(id, prompt)))
    }

    pub fn end_attempt(
        &mut self,
        id: u32,
        attempt: u32,
        at: &str,
        outcome: Outcome,
        note: u64,
    ) -> Vec<Action> {
        let settled = outcome == Outcome::Served;
        let (id, server) = (RequestId(id), server(at));
        self.handle(Event::Ended {
            id,
            attempt,
            server,
            outcome,
            took: 0,
            is_settled: settled,
            note,
            load: None,
        })
    }

    pub fn first_token(&mut self, id: u32, attempt: u32, at: &str) -> Vec<Action> {
        self.handle(Event::Streaming { id: RequestId(id), attempt, server: server(at), took: 0 })
    }

    /// Advances the clock in sweep steps and returns all actions.
    pub fn advance(&mut self, span: Time) -> Vec<Action> {
        let (end, mut done) = (self.now + span, Vec::new());
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            done.extend(self.handle(Event::Timer { name: 1 }));
        }
        done
    }

    /// Completes a few requests so that latencies are known: a read takes 100 ms for each 1,000 tokens.
    pub fn learn_latencies(&mut self) {
        for id in 9_000..9_006 {
            let prompt = 1_000.0 + 500.0 * f64::from(id % 3);
            let reader = sent_to(&self.arrive(id, prompt)).unwrap();
            self.now += (prompt / 10.0) as Time * MS;
            let writer = sent_to(&self.end_attempt(id, 0, &reader, Outcome::Read, 0)).unwrap();
            self.now += 20 * MS;
            self.first_token(id, 1, &writer);
            self.now += 2_000 * MS;
            self.end_attempt(id, 1, &writer, Outcome::Served, 0);
        }
    }
}

/// The server of the only send among the actions, if there is one.
pub fn sent_to(actions: &[Action]) -> Option<String> {
    let mut sends = actions.iter().filter_map(|action| match action {
        Action::Send { server, .. } => Some(server.0.to_string()),
        _ => None,
    });
    let first = sends.next();
    assert!(sends.next().is_none(), "more than one send: {actions:?}");
    first
}

/// Number of final answers for a request.
pub fn final_answers(actions: &[Action], id: u32) -> usize {
    let is_final =
        |a: &&Action| matches!(a, Action::Refuse { id: i, .. } | Action::Fail { id: i } if i.0 == id);
    actions.iter().filter(is_final).count()
}

pub fn settings_with_repeat(repeat: RepeatPolicy) -> Settings {
    let mut settings = example_settings();
    settings.classes[0].repeat = repeat;
    settings
}

// ---- Failures that occur only with many fronts ----

/// One of 60 fronts, at servers that report memory and waiting work when probed.
pub fn front_of_sixty(me: u32, names: &[&str]) -> Harness {
    let report_fields = vec![ReportField::MemoryShare, ReportField::PendingThousands];
    let settings =
        Settings { front_number: me, front_count: 60, may_probe: true, report_fields, ..example_settings() };
    let router = Router::new(settings, u64::from(me) * 977 + 3);
    let mut harness = Harness { router, now: 1_000_000_000, actions: Vec::new() };
    harness
        .update_list(ListMode::Restored, names.iter().map(|n| entry(n, ServerStatus::Running, 0)).collect());
    harness
}

impl Harness {
    /// Reports a server's memory share and thousands of waiting tokens.
    pub fn report_load(&mut self, at: &str, memory: f64, thousands: f64) -> Vec<Action> {
        let load = Some(vec![memory, thousands]);
        self.handle(Event::Probed { server: server(at), outcome: Outcome::Served, took: 0, load })
    }

    /// A request with a session and, if given, a shared prefix of 80% of the prompt.
    pub fn arrive_with_texts(
        &mut self,
        id: u32,
        session: String,
        prefix: Option<&str>,
        prompt: f64,
    ) -> Vec<Action> {
        let key = |text: &str| Some(TextKey(text.into()));
        let (session, prefix, shared) = (key(&session), prefix.and_then(key), 0.8 * prompt);
        self.handle(Event::Arrived(Arrival { session, prefix, shared_tokens: shared, ..arrival(id, prompt) }))
    }
}

// ---- Failures that occur only with many fronts, each with sparse traffic ----

/// A front of a large fleet: 24 readers and two writers, one request every 1.3 s.
pub fn sparse_front(me: u32) -> (Harness, Vec<String>) {
    let names: Vec<String> = (0..24).map(|n| format!("r1{n}")).chain(["w1".into(), "w2".into()]).collect();
    let mut harness = front_of_sixty(me, &names.iter().map(String::as_str).collect::<Vec<_>>());
    for id in 9_000..9_006 {
        let reader = harness.arrive_with_idle_servers(&names, id, format!("s{id}")).unwrap();
        harness.serve_after_read(id, &reader);
        harness.now += 1_300 * MS;
    }
    (harness, names)
}

impl Harness {
    /// Returns where a session's read goes if all servers report that nothing waits there.
    pub fn arrive_with_idle_servers(&mut self, names: &[String], id: u32, session: String) -> Option<String> {
        names.iter().for_each(|name| drop(self.report_load(name, 0.1, 0.0)));
        sent_to(&self.arrive_with_texts(id, session, None, 1_000.0))
    }

    /// Ends the read successfully and lets a writer answer.
    pub fn serve_after_read(&mut self, id: u32, reader: &str) {
        let writer = sent_to(&self.end_attempt(id, 0, reader, Outcome::Read, 0)).unwrap();
        self.first_token(id, 1, &writer);
        self.end_attempt(id, 1, &writer, Outcome::Served, 0);
    }
}
