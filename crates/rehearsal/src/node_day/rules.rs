//! Checks the rules of a node's day on the records of its clients, of the engines and of discovery.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use elderstage_standin::ending::StreamEnding;
use elderstage_standin::platform::{
    AttemptEnd, EngineEvent, Role, SentHost, SentList, Traffic, answer_events, whole_answer,
};

use super::clients::{ClientRecord, Effect};
use crate::rules::RuleResult;

/// How long an engine may still get new requests after the node was told that it drains: the setting of the mock platform,
/// and 50 ms for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(2_050);
/// How much later than its time a request may get its final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Everything that was recorded of a day.
pub struct DayRecords<'a> {
    /// When the day started.
    pub started_at: Instant,
    /// What the clients received.
    pub clients: &'a [ClientRecord],
    /// What the engines received and did.
    pub traffic: &'a Traffic,
    /// The lists that the node was told, in order, the one of its configuration included.
    pub lists: &'a [SentList],
    /// When the node was killed.
    pub kills: &'a [Instant],
    /// Time that clients wait for the first event.
    pub wait: Duration,
}

/// Checks all rules.
pub fn check_rules(records: &DayRecords<'_>) -> Vec<RuleResult> {
    vec![
        check_answers(records),
        check_streams(records),
        check_effects(records),
        check_drains(records),
        check_held_states(records),
    ]
}

impl DayRecords<'_> {
    /// The time of a record, in microseconds since the start of the day.
    fn time(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.started_at).as_micros() as u64
    }

    /// Whether the node was killed while the client waited.
    fn was_killed_during(&self, client: &ClientRecord) -> bool {
        self.kills.iter().any(|killed_at| (client.sent_at..=client.ended_at).contains(killed_at))
    }
}

/// Each request gets one final answer in time.
fn check_answers(records: &DayRecords<'_>) -> RuleResult {
    let mut result = RuleResult::new("answered");
    for client in records.clients.iter().filter(|client| !records.was_killed_during(client)) {
        result.cases_judged += 1;
        let is_refusal = client.status != 0 && client.status != 200;
        let took = client.ended_at.duration_since(client.sent_at);
        let description = if client.is_overdue {
            "its answer does not end"
        } else if client.status == 0 {
            "its connection ends without an answer"
        } else if is_refusal && took > records.wait + ANSWER_SLACK {
            "it is refused too late"
        } else {
            continue;
        };
        result.add_violation(records.time(client.ended_at), &client.trace, description);
    }
    result
}

/// The events that a client of this request receives if its answer is whole.
fn wanted_events(client: &ClientRecord) -> String {
    match client.case.strip_prefix("ending-").and_then(StreamEnding::from_name) {
        Some(ending) => ending.events(&answer_events(&client.trace)).into_owned(),
        None => whole_answer(),
    }
}

/// A stream that its engine has finished is whole at its client, and no other stream is.
fn check_streams(records: &DayRecords<'_>) -> RuleResult {
    let mut result = RuleResult::new("whole");
    for client in records.clients.iter().filter(|client| !records.was_killed_during(client)) {
        let is_finished = records.traffic.attempts(&client.trace).contains(&AttemptEnd::Served);
        let is_whole = client.status == 200 && client.is_complete;
        if !is_finished && !is_whole {
            continue;
        }
        result.cases_judged += 1;
        let wanted = wanted_events(client);
        let description = if !is_finished {
            "its engine did not finish the stream, and it is whole at the client"
        } else if !is_whole && client.body == wanted {
            "its engine finished the stream, and it is cut behind its last event"
        } else if !is_whole {
            "its engine finished the stream, and it is cut at the client"
        } else if client.body != wanted {
            "it is served with other events than its engine made for it"
        } else {
            continue;
        };
        result.add_violation(records.time(client.ended_at), &client.trace, description);
    }
    result
}

/// Nothing that must not run twice is sent or refused after it may have run, and no two attempts are in progress together.
fn check_effects(records: &DayRecords<'_>) -> RuleResult {
    let mut result = RuleResult::new("effects");
    let once: BTreeMap<&str, &ClientRecord> = records
        .clients
        .iter()
        .filter(|client| client.effect == Effect::Once)
        .map(|client| (client.trace.as_str(), client))
        .collect();
    result.cases_judged = once.len() as u64;
    for violation in records.traffic.violations(|trace| once.contains_key(trace)) {
        result.add_violation(0, "engine", violation);
    }
    for (trace, client) in once {
        let may_have_run = |end: &AttemptEnd| matches!(end, AttemptEnd::Served | AttemptEnd::MayHaveRun);
        if matches!(client.status, 429 | 503) && records.traffic.attempts(trace).iter().any(may_have_run) {
            result.add_violation(
                records.time(client.ended_at),
                trace,
                "it is refused although it may have run",
            );
        }
    }
    result
}

/// What the node was told of an engine that drains or is gone.
#[derive(Clone, Copy)]
struct ToldDrain {
    at: Instant,
    version: u64,
    started_ms: u64,
}

/// The drains that the node knows, list by list.
#[derive(Default)]
struct ToldDrains {
    by_engine: BTreeMap<String, ToldDrain>,
    /// The start times of the engines on the newest list.
    listed: BTreeMap<String, u64>,
    newest_version: u64,
}

impl ToldDrains {
    fn apply(&mut self, list: &SentList) {
        for host in &list.hosts {
            self.apply_host(list, host);
        }
        let hosts = list.hosts.iter().map(|host| (host.name.clone(), host.started_ms));
        if !list.is_whole {
            self.listed.extend(hosts);
        } else if list.version >= self.newest_version {
            // A newer list without an engine says that it is gone.
            let before = std::mem::replace(&mut self.listed, hosts.collect());
            for (engine, started_ms) in before {
                if !self.listed.contains_key(&engine) {
                    self.tell(list, engine, started_ms);
                }
            }
        }
        self.newest_version = self.newest_version.max(list.version);
    }

    fn apply_host(&mut self, list: &SentList, host: &SentHost) {
        if host.health != "SERVING" {
            return self.tell(list, host.name.clone(), host.started_ms);
        }
        let is_over = self
            .by_engine
            .get(&host.name)
            .is_some_and(|told| list.version > told.version || host.started_ms > told.started_ms);
        if is_over {
            self.by_engine.remove(&host.name);
        }
    }

    /// Records that the node was told that an engine drains or is gone.
    fn tell(&mut self, list: &SentList, engine: String, started_ms: u64) {
        let told = ToldDrain { at: list.at, version: list.version, started_ms };
        let known = self.by_engine.entry(engine).or_insert(told);
        known.version = known.version.max(list.version);
        known.started_ms = known.started_ms.max(started_ms);
    }
}

/// Nothing new goes to an engine after the node was told that it drains, until something newer says otherwise.
fn check_drains(records: &DayRecords<'_>) -> RuleResult {
    let mut result = RuleResult::new("drains");
    let (mut told, mut next_list) = (ToldDrains::default(), records.lists.iter().peekable());
    for event in records.traffic.events() {
        let EngineEvent::Begun { trace, .. } = &event.pass else { continue };
        while let Some(list) = next_list.next_if(|list| list.at <= event.at) {
            told.apply(list);
        }
        let Some(drain) = told.by_engine.get(&event.engine) else { continue };
        result.cases_judged += 1;
        let after = event.at.duration_since(drain.at);
        if after > DRAIN_GRACE {
            let description = format!("it gets {trace} {} ms after the node was told", after.as_millis());
            result.add_violation(records.time(event.at), &event.engine, description);
        }
    }
    // Engines that drained and got nothing count as cases, too.
    next_list.for_each(|list| told.apply(list));
    result.cases_judged += told.by_engine.len() as u64;
    result
}

/// No state is held when all requests have ended.
fn check_held_states(records: &DayRecords<'_>) -> RuleResult {
    let mut result = RuleResult::new("pinned");
    let is_read = |pass: &EngineEvent| matches!(pass, EngineEvent::Ended { how: AttemptEnd::Read, .. });
    let events = records.traffic.events();
    result.cases_judged =
        events.iter().filter(|event| event.role == Role::Reader && is_read(&event.pass)).count() as u64;
    // What a killed node held is nobody's.
    let killed: BTreeSet<&str> = records
        .clients
        .iter()
        .filter(|client| records.was_killed_during(client))
        .map(|client| client.trace.as_str())
        .collect();
    for trace in records.traffic.held_states().iter().filter(|trace| !killed.contains(trace.as_str())) {
        result.add_violation(records.time(Instant::now()), trace, "its state is held at the end of the day");
    }
    result
}
