//! A scripted day: the fleet, the load, and what goes wrong when. Written in the configuration's language.

use std::time::Duration;

use elderstage_config::{At, ConfigError, Directive, Errors, directives, number, time};
use elderstage_protocol::place::Family;
use elderstage_standin::host::DoorFault;
use elderstage_standin::model::{Role, Spec};
use elderstage_standin::tool::ToolFault;

use crate::fleet::{CLASSES, Engine, Kind, Site};

/// Shortest period of a fault that flaps, in microseconds: a listener takes some milliseconds to come and go.
const SHORTEST_PERIOD: u64 = 50_000;

/// What is done to the fleet or a front at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Hang(String),
    Slow(String, f64),
    /// An engine answers nothing of one class (by model name).
    Unanswered(String, String),
    /// What ails an engine's model ends.
    Well(String),
    Flush(String),
    Kill(String),
    Start {
        engine: String,
        cold: bool,
    },
    Full(String, bool),
    TableFull(String, bool),
    Freeze(String, bool),
    Handshake(String, Duration),
    /// What is wrong with one way into an engine, or into all of them.
    Address {
        engine: Option<String>,
        way: Family,
        fault: DoorFault,
    },
    /// No traffic passes between this zone and the others.
    Cut(String, bool),
    Break {
        engine: String,
        streams: u32,
        after: u64,
    },
    SlowLinks(f64),
    Tool(ToolFault),
    ToolKill,
    ToolStart,
    /// The list says this of a server: running, draining or gone.
    List(String, &'static str),
    FrontTerm(String),
    FrontKill(String),
    FrontStart(String),
    /// The next writers that go on with an order after its tool call die then: so many.
    KillAfterTool(u32),
}

/// A route's part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    pub route: String,
    pub share: f64,
    /// Tool that prompts ask for, and how many of them do.
    pub tool: Option<(String, f64)>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub requests: u64,
    /// Arrivals a second, Poisson.
    pub rate: f64,
    pub mix: Vec<Mix>,
    /// Bytes of a prompt, and words of an answer: from, to.
    pub prompt: (f64, f64),
    pub words: (f64, f64),
    /// Share of requests that go on with one of so many sessions.
    pub sessions: (f64, u64),
    pub leave: f64,
    pub cancel: f64,
    /// Of the requests that call a tool, the share that cancel during the call.
    pub cancel_in_call: f64,
    /// Share of clients that stop reading for a while.
    pub slow: f64,
    pub retries: u32,
}

/// An end that a script bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Refused,
    Failed,
    Lost,
}

#[derive(Clone, Debug)]
pub struct Front {
    pub name: String,
    pub zone: String,
}

#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub seed: u64,
    pub site: Site,
    pub fronts: Vec<Front>,
    pub load: Load,
    /// What may become of at most so many requests: refused, failed or lost.
    pub most: Vec<(Ended, u64)>,
    /// In the order of their times.
    pub steps: Vec<(Duration, Step)>,
}

impl Day {
    /// Plays only so many requests, with all times in proportion.
    pub fn shorten(&mut self, requests: u64) {
        let part = requests as f64 / self.load.requests.max(1) as f64;
        self.load.requests = requests;
        for (at, _) in &mut self.steps {
            *at = at.mul_f64(part);
        }
    }
}

struct Reader<'a> {
    file: &'a str,
    errors: Vec<ConfigError>,
}

impl Reader<'_> {
    fn wrong(&mut self, at: At, what: impl Into<String>) {
        self.errors.push(ConfigError::new(self.file, at, what));
    }

    fn number(&mut self, directive: &Directive, index: usize) -> f64 {
        match directive.values.get(index).and_then(|text| number(text)) {
            Some(value) if value >= 0.0 => value,
            _ => {
                let what = format!("{}: expected a number as value {}", directive.name, index + 1);
                self.wrong(directive.at, what);
                0.0
            }
        }
    }

    fn time(&mut self, directive: &Directive, index: usize) -> u64 {
        match directive.values.get(index).and_then(|text| time(text)) {
            Some(value) => value,
            None => {
                let what = format!("{}: expected a time as value {}", directive.name, index + 1);
                self.wrong(directive.at, what);
                0
            }
        }
    }

    fn word(&mut self, directive: &Directive, index: usize) -> String {
        match directive.values.get(index) {
            Some(word) => word.clone(),
            None => {
                let what = format!("{}: expected a word as value {}", directive.name, index + 1);
                self.wrong(directive.at, what);
                String::new()
            }
        }
    }

    fn kind(&mut self, directive: &Directive) -> Kind {
        let name = self.word(directive, 0);
        let mut spec = Spec::default();
        for line in directive.body.iter().flatten() {
            match line.name.as_str() {
                "role" => match self.word(line, 0).as_str() {
                    "prefill" => spec.role = Role::Prefill,
                    "decode" => spec.role = Role::Decode,
                    "mixed" => spec.role = Role::Mixed,
                    _ => self.wrong(line.at, "role: expected prefill, decode or mixed"),
                },
                "slots" => spec.slots = self.number(line, 0) as usize,
                "queue" => spec.queue = self.number(line, 0) as usize,
                "kv-tokens" => spec.kv_tokens = self.number(line, 0) as u64,
                "kept-tokens" => spec.kept_tokens = self.number(line, 0) as u64,
                "read-per-s" => spec.read_per_s = self.number(line, 0).max(1.0),
                "step" => spec.step = self.time(line, 0),
                "step-per-answer" => spec.step_per_answer = self.time(line, 0),
                "chunk" => spec.chunk = self.number(line, 0).max(1.0) as u64,
                "cold-from" => spec.cold_from = self.number(line, 0).clamp(0.01, 1.0),
                "cold-for" => spec.cold_for = self.time(line, 0),
                "fall-multiple" => spec.fall_multiple = self.number(line, 0),
                "tip-after" => spec.tip_after = self.time(line, 0),
                other => self.wrong(line.at, format!("unknown directive {other} in kind {name}")),
            }
        }
        Kind { name, spec }
    }

    fn load(&mut self, directive: &Directive) -> Load {
        let mut load = Load {
            requests: 1000,
            rate: 100.0,
            mix: Vec::new(),
            prompt: (200.0, 4000.0),
            words: (8.0, 40.0),
            sessions: (0.0, 1),
            leave: 0.0,
            cancel: 0.0,
            cancel_in_call: 0.0,
            slow: 0.0,
            retries: 1,
        };
        for line in directive.body.iter().flatten() {
            match line.name.as_str() {
                "requests" => load.requests = self.number(line, 0) as u64,
                "rate" => load.rate = self.number(line, 0).max(0.001),
                "prompt" => load.prompt = (self.number(line, 0).max(1.0), self.number(line, 1).max(1.0)),
                "words" => load.words = (self.number(line, 0).max(1.0), self.number(line, 1).max(1.0)),
                "sessions" => load.sessions = (self.number(line, 0), self.number(line, 1).max(1.0) as u64),
                "leave" => load.leave = self.number(line, 0),
                "cancel" => load.cancel = self.number(line, 0),
                "cancel-in-call" => load.cancel_in_call = self.number(line, 0),
                "slow" => load.slow = self.number(line, 0),
                "retries" => load.retries = self.number(line, 0) as u32,
                "mix" => {
                    let tool = line.values.get(2).cloned().map(|tool| (tool, self.number(line, 3)));
                    load.mix.push(Mix { route: self.word(line, 0), share: self.number(line, 1), tool });
                }
                other => self.wrong(line.at, format!("unknown directive {other} in load")),
            }
        }
        if load.mix.is_empty() {
            self.wrong(directive.at, "load: expected a mix");
        }
        load
    }

    /// `expect failed 0`: at most so many.
    fn expect(&mut self, directive: &Directive) -> Option<(Ended, u64)> {
        let ended = match self.word(directive, 0).as_str() {
            "refused" => Ended::Refused,
            "failed" => Ended::Failed,
            "lost" => Ended::Lost,
            _ => {
                self.wrong(directive.at, "expect: expected refused, failed or lost, and a number");
                return None;
            }
        };
        Some((ended, self.number(directive, 1) as u64))
    }

    /// Ways into an engine, after its cell; IPv4 where none is named.
    fn ways(&mut self, directive: &Directive) -> Vec<Family> {
        let mut ways = Vec::new();
        for word in directive.values.iter().skip(4) {
            match family(word) {
                Some(way) if !ways.contains(&way) => ways.push(way),
                _ => {
                    self.wrong(directive.at, "engine: expected unix, ipv6 or ipv4, each once, after the cell")
                }
            }
        }
        if ways.is_empty() { vec![Family::V4] } else { ways }
    }

    /// `at 2s address w1 ipv6 flaps 500ms silent for 5s`: off and on, half of each period.
    fn flaps(&mut self, directive: &Directive, begins: u64, steps: &mut Vec<(Duration, Step)>) -> bool {
        let words: Vec<&str> = directive.values.iter().skip(1).map(String::as_str).collect();
        let ["address", engine, way, "flaps", period, fault, "for", lasts] = words.as_slice() else {
            return false;
        };
        let (Some(way), Some(period), Some(fault), Some(lasts)) =
            (family(way), time(period), door_fault(fault), time(lasts))
        else {
            return false;
        };
        let engine = (*engine != "*").then(|| (*engine).to_owned());
        let step = |fault| Step::Address { engine: engine.clone(), way, fault };
        let period = period.max(SHORTEST_PERIOD);
        for begin in (begins..begins + lasts).step_by(period as usize) {
            steps.push((Duration::from_micros(begin), step(fault)));
            steps.push((Duration::from_micros(begin + period / 2), step(DoorFault::None)));
        }
        true
    }

    /// `at 2s hang w1 for 3s`: the step, and the one that ends it.
    fn at(&mut self, directive: &Directive, steps: &mut Vec<(Duration, Step)>) {
        let begins = self.time(directive, 0);
        if self.flaps(directive, begins, steps) {
            return;
        }
        let mut words = directive.values.iter().skip(1).cloned().collect::<Vec<_>>();
        let mut lasts = None;
        if words.len() >= 2 && words[words.len() - 2] == "for" {
            lasts = time(&words[words.len() - 1]);
            if lasts.is_none() {
                self.wrong(directive.at, "at: expected a time after for");
            }
            words.truncate(words.len() - 2);
        }
        let texts: Vec<&str> = words.iter().map(String::as_str).collect();
        let Some((step, end)) = step(&texts) else {
            let what = format!("at: expected something to do, not \"{}\"", texts.join(" "));
            return self.wrong(directive.at, what);
        };
        steps.push((Duration::from_micros(begins), step));
        match (lasts, end) {
            (Some(lasts), Some(end)) => steps.push((Duration::from_micros(begins + lasts), end)),
            (Some(_), None) => self.wrong(directive.at, "at: this takes no for"),
            _ => {}
        }
    }
}

fn family(word: &str) -> Option<Family> {
    [Family::Unix, Family::V6, Family::V4].into_iter().find(|family| family.to_string() == word)
}

fn door_fault(word: &str) -> Option<DoorFault> {
    Some(match word {
        "well" => DoorFault::None,
        "refuses" => DoorFault::Refuses,
        "silent" => DoorFault::Silent,
        "stalls" => DoorFault::Stalls,
        "closes" => DoorFault::Closes,
        "closes-on-request" => DoorFault::ClosesOnRequest,
        "stalls-after-head" => DoorFault::StallsAfterHead,
        "stalls-in-body" => DoorFault::StallsInBody,
        "stalls-after-continue" => DoorFault::StallsAfterContinue,
        "slow" => DoorFault::Slow,
        "missing" => DoorFault::Missing,
        "denied" => DoorFault::Denied,
        "unexpected" => DoorFault::Unexpected,
        _ => return None,
    })
}

/// A step, and the one that ends it where it may last for a time.
fn step(words: &[&str]) -> Option<(Step, Option<Step>)> {
    let own = |text: &str| text.to_owned();
    let wait = |text: &str| time(text).map(Duration::from_micros);
    Some(match words {
        ["hang", engine] => (Step::Hang(own(engine)), Some(Step::Well(own(engine)))),
        ["slow", engine, times] => (Step::Slow(own(engine), number(times)?), Some(Step::Well(own(engine)))),
        ["unanswered", engine, class] => {
            (Step::Unanswered(own(engine), own(class)), Some(Step::Well(own(engine))))
        }
        ["flush", engine] => (Step::Flush(own(engine)), None),
        ["kill", engine] => (Step::Kill(own(engine)), Some(Step::Start { engine: own(engine), cold: true })),
        ["start", engine] => (Step::Start { engine: own(engine), cold: false }, None),
        ["start", engine, "cold"] => (Step::Start { engine: own(engine), cold: true }, None),
        ["full", engine] => (Step::Full(own(engine), true), Some(Step::Full(own(engine), false))),
        ["table-full", engine] => {
            (Step::TableFull(own(engine), true), Some(Step::TableFull(own(engine), false)))
        }
        ["freeze-reports", engine] => {
            (Step::Freeze(own(engine), true), Some(Step::Freeze(own(engine), false)))
        }
        ["handshake", engine, time] => {
            (Step::Handshake(own(engine), wait(time)?), Some(Step::Handshake(own(engine), Duration::ZERO)))
        }
        ["address", engine, way, fault] => {
            let engine = (*engine != "*").then(|| own(engine));
            let (way, fault) = (family(way)?, door_fault(fault)?);
            let end = Step::Address { engine: engine.clone(), way, fault: DoorFault::None };
            (Step::Address { engine, way, fault }, Some(end))
        }
        ["cut", zone] => (Step::Cut(own(zone), true), Some(Step::Cut(own(zone), false))),
        ["break", engine, streams, "after", tokens] => {
            let (streams, after) = (streams.parse().ok()?, tokens.parse().ok()?);
            (Step::Break { engine: own(engine), streams, after }, None)
        }
        ["slow-links", times] => (Step::SlowLinks(number(times)?), Some(Step::SlowLinks(1.0))),
        ["tool", "slow", time] => {
            (Step::Tool(ToolFault::Slow(wait(time)?)), Some(Step::Tool(ToolFault::None)))
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
            (Step::List(own(server), state), Some(Step::List(own(server), "running")))
        }
        ["front-term", front] => (Step::FrontTerm(own(front)), Some(Step::FrontStart(own(front)))),
        ["front-kill", front] => (Step::FrontKill(own(front)), Some(Step::FrontStart(own(front)))),
        ["front-start", front] => (Step::FrontStart(own(front)), None),
        ["kill-after-tool", times] => (Step::KillAfterTool(times.parse().ok()?), None),
        _ => return None,
    })
}

/// A directive as it was written, for the configuration that fronts get.
fn text(directive: &Directive, out: &mut String) {
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
            body.iter().for_each(|line| text(line, out));
            out.push_str("}\n");
        }
    }
}

/// Reads a script. `file` is its name in messages.
pub fn parse(file: &str, source: &str) -> Result<Day, Errors> {
    let all = directives(file, source)?;
    let mut reader = Reader { file, errors: Vec::new() };
    let r = &mut reader;
    let (mut name, mut seed, mut zones) = (String::from("rehearsal"), 1, Vec::new());
    let (mut kinds, mut engines, mut fronts) = (Vec::<Kind>::new(), Vec::new(), Vec::new());
    let (mut rest, mut load, mut steps) = (String::new(), None, Vec::new());
    let mut most = Vec::new();
    let mut links = [300_000.0, 150_000.0, 60_000.0];
    for directive in &all {
        match directive.name.as_str() {
            "rehearsal" => name = r.word(directive, 0),
            "seed" => seed = r.number(directive, 0) as u64,
            "zones" => zones.clone_from(&directive.values),
            "links" => links = [0, 1, 2].map(|index| r.number(directive, index).max(1.0)),
            "kind" => kinds.push(r.kind(directive)),
            "engine" => {
                let (name, of, zone) = (r.word(directive, 0), r.word(directive, 1), r.word(directive, 2));
                let cell = if directive.values.len() > 3 { r.number(directive, 3) as u32 } else { 0 };
                let ways = r.ways(directive);
                match kinds.iter().position(|kind| kind.name == of) {
                    Some(kind) => engines.push(Engine { name, kind, zone, cell, ways }),
                    None => r.wrong(directive.at, format!("engine {name}: no kind {of} stands above")),
                }
            }
            "front" => fronts.push(Front { name: r.word(directive, 0), zone: r.word(directive, 1) }),
            "rules" | "class" | "route" => text(directive, &mut rest),
            "load" => load = Some(r.load(directive)),
            "expect" => most.extend(r.expect(directive)),
            "at" => r.at(directive, &mut steps),
            other => r.wrong(directive.at, format!("unknown directive {other}")),
        }
    }
    if !all.iter().any(|directive| directive.name == "class") {
        rest.push_str(CLASSES);
    }
    for (what, missing) in
        [("an engine", engines.is_empty()), ("a front", fronts.is_empty()), ("a load", load.is_none())]
    {
        if missing {
            r.wrong(At::default(), format!("expected {what}"));
        }
    }
    for (_, step) in &steps {
        let (engine, front, zone) = names(step);
        if let Some(name) = engine.filter(|name| !engines.iter().any(|e| e.name == **name)) {
            r.wrong(At::default(), format!("no engine is called {name}"));
        }
        if let Some(name) = front.filter(|name| !fronts.iter().any(|f| f.name == **name)) {
            r.wrong(At::default(), format!("no front is called {name}"));
        }
        if let Some(name) = zone.filter(|name| !zones.contains(name)) {
            r.wrong(At::default(), format!("no zone is called {name}"));
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    match load {
        Some(load) if reader.errors.is_empty() => Ok(Day {
            name,
            seed,
            site: Site { zones, kinds, engines, rest, links },
            fronts,
            load,
            most,
            steps,
        }),
        _ => {
            reader.errors.sort_by_key(|error| (error.at.line, error.at.column));
            Err(Errors(reader.errors))
        }
    }
}

/// The engine, front or zone that a step names.
fn names(step: &Step) -> (Option<&String>, Option<&String>, Option<&String>) {
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
