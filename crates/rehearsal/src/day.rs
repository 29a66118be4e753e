//! The script of a rehearsal: the fleet, the load of the clients, and the faults with their times.
//!
//! Scripts are written in the syntax of the configuration. This module only parses and checks them; nothing is
//! started here. A parsed day names only engines, fronts and zones that it defines.

use std::time::Duration;

use elderstage_config::{
    ConfigError, ConfigErrors, Directive, Position, parse_directives, parse_number, parse_time,
};
use elderstage_protocol::place::AddressFamily;
use elderstage_standin::host::AddressFault;
use elderstage_standin::model::{EngineSpec, Role};
use elderstage_standin::tool::ToolFault;

use crate::fleet::{DEFAULT_CLASSES, Engine, Kind, Site};

/// Shortest period of a flapping fault. A listener takes some milliseconds to close and to open again.
const MIN_FLAP_PERIOD_US: u64 = 50_000;
/// Time that a front has to end its requests when it is told to drain, if the script does not set it.
const DEFAULT_DRAIN_TIMEOUT_US: u64 = 10_000_000;

/// A change to the fleet or a front. Its `Debug` form is written into the traffic log, so the names of variants and
/// fields are part of that format.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// An engine stops working on its requests.
    Hang(String),
    /// An engine works slower by this factor.
    Slow(String, f64),
    /// An engine answers no request of one class (by model name).
    Unanswered(String, String),
    /// An engine's fault (hang, slow or unanswered) ends.
    Well(String),
    /// An engine drops its kept prompts.
    Flush(String),
    /// An engine's process dies.
    Kill(String),
    /// An engine's process starts, cold or warm.
    Start {
        /// Name of the engine.
        engine: String,
        /// Whether it starts cold.
        cold: bool,
    },
    /// An engine refuses all requests as too many, or stops doing so.
    Full(String, bool),
    /// An engine closes every new connection at once, as with a full connection table, or stops doing so.
    TableFull(String, bool),
    /// An engine's load reports stop changing, or change again.
    Freeze(String, bool),
    /// An engine serves a new connection only after this time.
    Handshake(String, Duration),
    /// Sets the fault of one address of an engine, or of all engines that have this kind of address.
    Address {
        /// Name of the engine, or `None` for all engines.
        engine: Option<String>,
        /// Family of the address.
        way: AddressFamily,
        /// The fault, or [`AddressFault::None`] to end it.
        fault: AddressFault,
    },
    /// No traffic passes between this zone and the others.
    Cut(String, bool),
    /// An engine breaks its next answer streams, each after some tokens.
    Break {
        /// Name of the engine.
        engine: String,
        /// Number of streams that break.
        streams: u32,
        /// Number of tokens after which each breaks.
        after: u64,
    },
    /// The transfer of states between engines is slower by this factor.
    SlowLinks(f64),
    /// Sets the fault of the tool server.
    Tool(ToolFault),
    /// The tool server dies.
    ToolKill,
    /// The tool server comes back.
    ToolStart,
    /// Sets the state of a server in the server list: running, draining or gone.
    List(String, &'static str),
    /// A front is told to drain (SIGTERM). A front that drains already ends its requests at once.
    FrontTerm(String),
    /// A front is killed (SIGKILL).
    FrontKill(String),
    /// A front is started again.
    FrontStart(String),
    /// This many more engines die when they receive a write that continues a request after a tool call with an
    /// effect.
    KillAfterTool(u32),
}

/// The part of one route in the load.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteShare {
    /// Name of the route.
    pub route: String,
    /// Weight of the route, relative to the sum over all routes.
    pub share: f64,
    /// Tool that prompts ask for, and the share of prompts that do.
    pub tool: Option<(String, f64)>,
}

/// The clients' requests of a day. Shares are between 0 and 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Number of requests.
    pub requests: u64,
    /// Rate of the Poisson arrivals.
    pub requests_per_s: f64,
    /// The routes that are called.
    pub mix: Vec<RouteShare>,
    /// Bytes of a prompt: from, to.
    pub prompt_bytes: (f64, f64),
    /// Words of an answer: from, to.
    pub answer_words: (f64, f64),
    /// Share of requests that continue a session, and the number of sessions.
    pub session_share: (f64, u64),
    /// Share of clients that close their connection after a random time.
    pub disconnect_share: f64,
    /// Share of clients that cancel after a random time.
    pub cancel_share: f64,
    /// Share of the clients whose request calls a tool that cancel during the call.
    pub cancel_in_call_share: f64,
    /// Share of clients that stop reading for a while.
    pub pause_share: f64,
    /// How often a client retries a refused request.
    pub retries: u32,
}

/// An outcome of requests whose number a script can limit. Its `Debug` form in lower case is written into reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitedOutcome {
    /// The front refused the request.
    Refused,
    /// The front answered with any other error.
    Failed,
    /// The connection broke, or the answer was malformed.
    Lost,
}

/// A front to start.
#[derive(Clone, Debug)]
pub struct Front {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
}

/// A parsed script.
#[derive(Clone, Debug)]
pub struct Day {
    /// Name in reports.
    pub name: String,
    /// Seed of the plan of requests.
    pub seed: u64,
    /// The engines, and the configuration that goes with them.
    pub site: Site,
    /// The fronts to start.
    pub fronts: Vec<Front>,
    /// Time in microseconds that a front has to end its requests when it is told to drain.
    pub drain_timeout_us: u64,
    /// The clients' requests.
    pub load: Load,
    /// Largest number of requests that may end with each outcome.
    pub outcome_limits: Vec<(LimitedOutcome, u64)>,
    /// The steps, sorted by their times since the start of the day.
    pub steps: Vec<(Duration, Step)>,
}

impl Day {
    /// Reduces the day to this number of requests and scales the times of all steps in proportion.
    pub fn shorten(&mut self, requests: u64) {
        let part = requests as f64 / self.load.requests.max(1) as f64;
        self.load.requests = requests;
        for (at, _) in &mut self.steps {
            *at = at.mul_f64(part);
        }
    }
}

/// Parses directives and collects all errors, so that a script is reported on in one go.
struct ScriptParser<'a> {
    file: &'a str,
    errors: Vec<ConfigError>,
}

impl ScriptParser<'_> {
    fn add_error(&mut self, at: Position, message: impl Into<String>) {
        self.errors.push(ConfigError::new(self.file, at, message));
    }

    /// The value at `index` as a number that is not negative, or 0 with an error.
    fn number(&mut self, directive: &Directive, index: usize) -> f64 {
        match directive.values.get(index).and_then(|text| parse_number(text)) {
            Some(value) if value >= 0.0 => value,
            _ => {
                let message = format!("{}: expected a number as value {}", directive.name, index + 1);
                self.add_error(directive.position, message);
                0.0
            }
        }
    }

    /// The value at `index` as a time in microseconds, or 0 with an error.
    fn time(&mut self, directive: &Directive, index: usize) -> u64 {
        match directive.values.get(index).and_then(|text| parse_time(text)) {
            Some(value) => value,
            None => {
                let message = format!("{}: expected a time as value {}", directive.name, index + 1);
                self.add_error(directive.position, message);
                0
            }
        }
    }

    /// The value at `index`, or an empty string with an error.
    fn word(&mut self, directive: &Directive, index: usize) -> String {
        match directive.values.get(index) {
            Some(word) => word.clone(),
            None => {
                let message = format!("{}: expected a word as value {}", directive.name, index + 1);
                self.add_error(directive.position, message);
                String::new()
            }
        }
    }

    fn kind(&mut self, directive: &Directive) -> Kind {
        let name = self.word(directive, 0);
        let mut spec = EngineSpec::default();
        for line in directive.body.iter().flatten() {
            match line.name.as_str() {
                "role" => match self.word(line, 0).as_str() {
                    "prefill" => spec.role = Role::Prefill,
                    "decode" => spec.role = Role::Decode,
                    "mixed" => spec.role = Role::Mixed,
                    _ => self.add_error(line.position, "role: expected prefill, decode or mixed"),
                },
                "slots" => spec.max_running = self.number(line, 0) as usize,
                "queue" => spec.max_waiting = self.number(line, 0) as usize,
                "kv-tokens" => spec.kv_tokens = self.number(line, 0) as u64,
                "kept-tokens" => spec.prefix_cache_tokens = self.number(line, 0) as u64,
                "read-per-s" => spec.read_tokens_per_s = self.number(line, 0).max(1.0),
                "step" => spec.step_time_us = self.time(line, 0),
                "step-per-answer" => spec.step_time_per_answer_us = self.time(line, 0),
                "chunk" => spec.max_tokens_per_step = self.number(line, 0).max(1.0) as u64,
                "cold-from" => spec.cold_start_share = self.number(line, 0).clamp(0.01, 1.0),
                "cold-for" => spec.cold_duration = self.time(line, 0),
                "fall-multiple" => spec.overload_multiple = self.number(line, 0),
                "tip-after" => spec.overload_window = self.time(line, 0),
                other => self.add_error(line.position, format!("unknown directive {other} in kind {name}")),
            }
        }
        Kind { name, spec }
    }

    fn load(&mut self, directive: &Directive) -> Load {
        let mut load = Load {
            requests: 1000,
            requests_per_s: 100.0,
            mix: Vec::new(),
            prompt_bytes: (200.0, 4000.0),
            answer_words: (8.0, 40.0),
            session_share: (0.0, 1),
            disconnect_share: 0.0,
            cancel_share: 0.0,
            cancel_in_call_share: 0.0,
            pause_share: 0.0,
            retries: 1,
        };
        for line in directive.body.iter().flatten() {
            match line.name.as_str() {
                "requests" => load.requests = self.number(line, 0) as u64,
                "rate" => load.requests_per_s = self.number(line, 0).max(0.001),
                "prompt" => {
                    load.prompt_bytes = (self.number(line, 0).max(1.0), self.number(line, 1).max(1.0))
                }
                "words" => load.answer_words = (self.number(line, 0).max(1.0), self.number(line, 1).max(1.0)),
                "sessions" => {
                    load.session_share = (self.number(line, 0), self.number(line, 1).max(1.0) as u64)
                }
                "leave" => load.disconnect_share = self.number(line, 0),
                "cancel" => load.cancel_share = self.number(line, 0),
                "cancel-in-call" => load.cancel_in_call_share = self.number(line, 0),
                "slow" => load.pause_share = self.number(line, 0),
                "retries" => load.retries = self.number(line, 0) as u32,
                "mix" => {
                    let tool = line.values.get(2).cloned().map(|tool| (tool, self.number(line, 3)));
                    load.mix.push(RouteShare {
                        route: self.word(line, 0),
                        share: self.number(line, 1),
                        tool,
                    });
                }
                other => self.add_error(line.position, format!("unknown directive {other} in load")),
            }
        }
        if load.mix.is_empty() {
            self.add_error(directive.position, "load: expected a mix");
        }
        load
    }

    /// Parses `expect failed 0`, the largest number of requests that may end so.
    fn expect(&mut self, directive: &Directive) -> Option<(LimitedOutcome, u64)> {
        let ended = match self.word(directive, 0).as_str() {
            "refused" => LimitedOutcome::Refused,
            "failed" => LimitedOutcome::Failed,
            "lost" => LimitedOutcome::Lost,
            _ => {
                self.add_error(directive.position, "expect: expected refused, failed or lost, and a number");
                return None;
            }
        };
        Some((ended, self.number(directive, 1) as u64))
    }

    /// The kinds of address of an engine, which follow its cell. IPv4 if none is named.
    fn address_families(&mut self, directive: &Directive) -> Vec<AddressFamily> {
        let mut families = Vec::new();
        for word in directive.values.iter().skip(4) {
            match parse_family(word) {
                Some(family) if !families.contains(&family) => families.push(family),
                _ => self.add_error(
                    directive.position,
                    "engine: expected unix, ipv6 or ipv4, each once, after the cell",
                ),
            }
        }
        if families.is_empty() { vec![AddressFamily::V4] } else { families }
    }

    /// Parses `at 2s address w1 ipv6 flaps 500ms silent for 5s`: the fault is on for the first half of each period.
    /// Returns false for any other step.
    fn flapping_fault(
        &mut self,
        directive: &Directive,
        start: u64,
        steps: &mut Vec<(Duration, Step)>,
    ) -> bool {
        let words: Vec<&str> = directive.values.iter().skip(1).map(String::as_str).collect();
        let ["address", engine, way, "flaps", period, fault, "for", duration] = words.as_slice() else {
            return false;
        };
        let (Some(way), Some(period), Some(fault), Some(duration)) =
            (parse_family(way), parse_time(period), parse_address_fault(fault), parse_time(duration))
        else {
            return false;
        };
        let engine = (*engine != "*").then(|| (*engine).to_owned());
        let step = |fault| Step::Address { engine: engine.clone(), way, fault };
        let period = period.max(MIN_FLAP_PERIOD_US);
        for begin in (start..start + duration).step_by(period as usize) {
            steps.push((Duration::from_micros(begin), step(fault)));
            steps.push((Duration::from_micros(begin + period / 2), step(AddressFault::None)));
        }
        true
    }

    /// Parses `at 2s hang w1 for 3s`: adds the step, and the step that ends it.
    fn timed_step(&mut self, directive: &Directive, steps: &mut Vec<(Duration, Step)>) {
        let start = self.time(directive, 0);
        if self.flapping_fault(directive, start, steps) {
            return;
        }
        let mut words = directive.values.iter().skip(1).cloned().collect::<Vec<_>>();
        let mut duration = None;
        if words.len() >= 2 && words[words.len() - 2] == "for" {
            duration = parse_time(&words[words.len() - 1]);
            if duration.is_none() {
                self.add_error(directive.position, "at: expected a time after for");
            }
            words.truncate(words.len() - 2);
        }
        let texts: Vec<&str> = words.iter().map(String::as_str).collect();
        let Some((step, end_step)) = parse_step(&texts) else {
            let message = format!("at: expected a step, found \"{}\"", texts.join(" "));
            return self.add_error(directive.position, message);
        };
        steps.push((Duration::from_micros(start), step));
        match (duration, end_step) {
            (Some(duration), Some(end_step)) => {
                steps.push((Duration::from_micros(start + duration), end_step))
            }
            (Some(_), None) => self.add_error(directive.position, "at: this step takes no duration (for)"),
            _ => {}
        }
    }
}

fn parse_family(word: &str) -> Option<AddressFamily> {
    [AddressFamily::Unix, AddressFamily::V6, AddressFamily::V4]
        .into_iter()
        .find(|family| family.to_string() == word)
}

fn parse_address_fault(word: &str) -> Option<AddressFault> {
    Some(match word {
        "well" => AddressFault::None,
        "refuses" => AddressFault::Refuses,
        "silent" => AddressFault::Silent,
        "stalls" => AddressFault::Stalls,
        "closes" => AddressFault::Closes,
        "closes-on-request" => AddressFault::ClosesOnRequest,
        "stalls-after-head" => AddressFault::StallsAfterHead,
        "stalls-in-body" => AddressFault::StallsInBody,
        "stalls-after-continue" => AddressFault::StallsAfterContinue,
        "slow" => AddressFault::Slow,
        "missing" => AddressFault::Missing,
        "denied" => AddressFault::Denied,
        "unexpected" => AddressFault::Unexpected,
        _ => return None,
    })
}

/// Parses a step. Returns also the step that ends it, if it can have a duration.
fn parse_step(words: &[&str]) -> Option<(Step, Option<Step>)> {
    let name = |text: &str| text.to_owned();
    let duration = |text: &str| parse_time(text).map(Duration::from_micros);
    Some(match words {
        ["hang", engine] => (Step::Hang(name(engine)), Some(Step::Well(name(engine)))),
        ["slow", engine, times] => {
            (Step::Slow(name(engine), parse_number(times)?), Some(Step::Well(name(engine))))
        }
        ["unanswered", engine, class] => {
            (Step::Unanswered(name(engine), name(class)), Some(Step::Well(name(engine))))
        }
        ["flush", engine] => (Step::Flush(name(engine)), None),
        ["kill", engine] => {
            (Step::Kill(name(engine)), Some(Step::Start { engine: name(engine), cold: true }))
        }
        ["start", engine] => (Step::Start { engine: name(engine), cold: false }, None),
        ["start", engine, "cold"] => (Step::Start { engine: name(engine), cold: true }, None),
        ["full", engine] => (Step::Full(name(engine), true), Some(Step::Full(name(engine), false))),
        ["table-full", engine] => {
            (Step::TableFull(name(engine), true), Some(Step::TableFull(name(engine), false)))
        }
        ["freeze-reports", engine] => {
            (Step::Freeze(name(engine), true), Some(Step::Freeze(name(engine), false)))
        }
        ["handshake", engine, time] => (
            Step::Handshake(name(engine), duration(time)?),
            Some(Step::Handshake(name(engine), Duration::ZERO)),
        ),
        ["address", engine, way, fault] => {
            let engine = (*engine != "*").then(|| name(engine));
            let (way, fault) = (parse_family(way)?, parse_address_fault(fault)?);
            let end_step = Step::Address { engine: engine.clone(), way, fault: AddressFault::None };
            (Step::Address { engine, way, fault }, Some(end_step))
        }
        ["cut", zone] => (Step::Cut(name(zone), true), Some(Step::Cut(name(zone), false))),
        ["break", engine, streams, "after", tokens] => {
            let (streams, after) = (streams.parse().ok()?, tokens.parse().ok()?);
            (Step::Break { engine: name(engine), streams, after }, None)
        }
        ["slow-links", times] => (Step::SlowLinks(parse_number(times)?), Some(Step::SlowLinks(1.0))),
        ["tool", "slow", time] => {
            (Step::Tool(ToolFault::Slow(duration(time)?)), Some(Step::Tool(ToolFault::None)))
        }
        ["tool", "dead"] => (Step::ToolKill, Some(Step::ToolStart)),
        ["tool", fault] => {
            let fault = match *fault {
                "hang" => ToolFault::Hang,
                "garbled" => ToolFault::Garbled,
                "lost" => ToolFault::Lost,
                "error" => ToolFault::Error,
                "well" => ToolFault::None,
                _ => return None,
            };
            (Step::Tool(fault), Some(Step::Tool(ToolFault::None)))
        }
        ["list", server, state] => {
            let state = ["running", "draining", "gone"].into_iter().find(|name| name == state)?;
            (Step::List(name(server), state), Some(Step::List(name(server), "running")))
        }
        ["front-term", front] => (Step::FrontTerm(name(front)), Some(Step::FrontStart(name(front)))),
        ["front-kill", front] => (Step::FrontKill(name(front)), Some(Step::FrontStart(name(front)))),
        ["front-start", front] => (Step::FrontStart(name(front)), None),
        ["kill-after-tool", times] => (Step::KillAfterTool(times.parse().ok()?), None),
        _ => return None,
    })
}

/// Writes a directive in the configuration's syntax, for the configuration that fronts get.
fn write_directive(directive: &Directive, out: &mut String) {
    out.push_str(&directive.name);
    for value in &directive.values {
        out.push_str(&format!(
            " \"{}\"",
            value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
        ));
    }
    match &directive.body {
        None => out.push('\n'),
        Some(body) => {
            out.push_str(" {\n");
            body.iter().for_each(|line| write_directive(line, out));
            out.push_str("}\n");
        }
    }
}

/// Parses a script. `file` is its name in error messages.
pub fn parse(file: &str, source: &str) -> Result<Day, ConfigErrors> {
    let all = parse_directives(file, source)?;
    let mut parser = ScriptParser { file, errors: Vec::new() };
    let p = &mut parser;
    let (mut name, mut seed, mut zones) = (String::from("rehearsal"), 1, Vec::new());
    let (mut kinds, mut engines, mut fronts) = (Vec::<Kind>::new(), Vec::new(), Vec::new());
    let (mut extra_directives, mut load, mut steps) = (String::new(), None, Vec::new());
    let mut outcome_limits = Vec::new();
    let mut drain_timeout_us = DEFAULT_DRAIN_TIMEOUT_US;
    let mut link_tokens_per_s = [300_000.0, 150_000.0, 60_000.0];
    for directive in &all {
        match directive.name.as_str() {
            "rehearsal" => name = p.word(directive, 0),
            "seed" => seed = p.number(directive, 0) as u64,
            "zones" => zones.clone_from(&directive.values),
            "links" => link_tokens_per_s = [0, 1, 2].map(|index| p.number(directive, index).max(1.0)),
            "kind" => kinds.push(p.kind(directive)),
            "engine" => {
                let (name, kind_name, zone) =
                    (p.word(directive, 0), p.word(directive, 1), p.word(directive, 2));
                let cell = if directive.values.len() > 3 { p.number(directive, 3) as u32 } else { 0 };
                let ways = p.address_families(directive);
                match kinds.iter().position(|kind| kind.name == kind_name) {
                    Some(kind) => engines.push(Engine { name, kind, zone, cell, address_families: ways }),
                    None => p.add_error(
                        directive.position,
                        format!("engine {name}: kind {kind_name} is not defined above"),
                    ),
                }
            }
            "front" => fronts.push(Front { name: p.word(directive, 0), zone: p.word(directive, 1) }),
            "drain" => drain_timeout_us = p.time(directive, 0),
            "rules" | "class" | "route" => write_directive(directive, &mut extra_directives),
            "load" => load = Some(p.load(directive)),
            "expect" => outcome_limits.extend(p.expect(directive)),
            "at" => p.timed_step(directive, &mut steps),
            other => p.add_error(directive.position, format!("unknown directive {other}")),
        }
    }
    if !all.iter().any(|directive| directive.name == "class") {
        extra_directives.push_str(DEFAULT_CLASSES);
    }
    for (expected, is_missing) in
        [("an engine", engines.is_empty()), ("a front", fronts.is_empty()), ("a load", load.is_none())]
    {
        if is_missing {
            p.add_error(Position::default(), format!("expected {expected}"));
        }
    }
    for (_, step) in &steps {
        let (engine, front, zone) = named_targets(step);
        if let Some(name) = engine.filter(|name| !engines.iter().any(|e| e.name == **name)) {
            p.add_error(Position::default(), format!("no engine is called {name}"));
        }
        if let Some(name) = front.filter(|name| !fronts.iter().any(|f| f.name == **name)) {
            p.add_error(Position::default(), format!("no front is called {name}"));
        }
        if let Some(name) = zone.filter(|name| !zones.contains(name)) {
            p.add_error(Position::default(), format!("no zone is called {name}"));
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    match load {
        Some(load) if parser.errors.is_empty() => Ok(Day {
            name,
            seed,
            site: Site { zones, kinds, engines, extra_directives, link_tokens_per_s },
            fronts,
            drain_timeout_us,
            load,
            outcome_limits,
            steps,
        }),
        _ => {
            parser.errors.sort_by_key(|error| (error.position.line, error.position.column));
            Err(ConfigErrors(parser.errors))
        }
    }
}

/// The engine, front or zone that a step names.
fn named_targets(step: &Step) -> (Option<&String>, Option<&String>, Option<&String>) {
    match step {
        Step::Hang(engine)
        | Step::Slow(engine, _)
        | Step::Unanswered(engine, _)
        | Step::Well(engine)
        | Step::Flush(engine)
        | Step::Kill(engine)
        | Step::Start { engine, .. }
        | Step::Full(engine, _)
        | Step::TableFull(engine, _)
        | Step::Freeze(engine, _)
        | Step::Handshake(engine, _)
        | Step::Break { engine, .. }
        | Step::List(engine, _) => (Some(engine), None, None),
        Step::FrontTerm(front) | Step::FrontKill(front) | Step::FrontStart(front) => {
            (None, Some(front), None)
        }
        Step::Address { engine, .. } => (engine.as_ref(), None, None),
        Step::Cut(zone, _) => (None, None, Some(zone)),
        Step::SlowLinks(_) | Step::Tool(_) | Step::ToolKill | Step::ToolStart | Step::KillAfterTool(_) => {
            (None, None, None)
        }
    }
}
