//! The script of a node's day: engines, load, and steps with their times.
//!
//! It is written in the syntax of the configuration and begins with `node-rehearsal NAME`.

use std::time::Duration;

use elderstage_config::{ConfigErrors, Directive, Position, parse_directives, parse_time};
use elderstage_standin::ending::StreamEnding;

use crate::script::ScriptParser;

/// The first directive of these scripts.
const TITLE_DIRECTIVE: &str = "node-rehearsal";
/// Cases of mock engines besides `ending-NAME`.
const CASES: [&str; 10] = [
    "plain",
    "writer-500",
    "writer-full",
    "writer-breaks",
    "writer-breaks-first",
    "late-breaks",
    "more-answer",
    "more-later",
    "more-interim",
    "more-report",
];
/// Time that clients wait for the first event, if the script does not set it.
const DEFAULT_WAIT: Duration = Duration::from_secs(4);

/// A change during the day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeStep {
    /// Discovery publishes another health of an engine.
    List {
        /// Name of the engine.
        engine: String,
        /// The health as discovery writes it.
        health: &'static str,
    },
    /// Discovery publishes that an engine has started anew and serves.
    Start(String),
    /// The node gets a configuration with another discovery, and SIGHUP.
    Reload(OtherDiscovery),
    /// The node gets SIGTERM, and a configuration with another discovery for its next process.
    Restart(OtherDiscovery),
    /// The node gets SIGKILL and is started again.
    Kill,
    /// Discovery is silent, or is no longer.
    Silence(bool),
}

/// The discovery that a new configuration names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherDiscovery {
    /// It learns of changes this much later than the first one.
    Behind(Duration),
    /// It numbers the lists from 1.
    Renumbered,
}

/// The requests of a day. Shares are between 0 and 1.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeLoad {
    /// Number of requests.
    pub requests: u64,
    /// Rate of the Poisson arrivals.
    pub requests_per_s: f64,
    /// What engines do with a request, and the weight of each case.
    pub cases: Vec<(String, f64)>,
    /// Share of requests that must not run twice.
    pub once_share: f64,
    /// Share of requests that ask for the rest of a broken stream from the beginning.
    pub resumed_share: f64,
    /// Time that clients wait for the first event.
    pub wait: Duration,
}

/// A parsed script.
#[derive(Clone, Debug)]
pub struct NodeDay {
    /// Name in reports.
    pub name: String,
    /// Seed of the plan of requests.
    pub seed: u64,
    /// Number of engines that read prompts.
    pub readers: usize,
    /// Number of engines that write answers.
    pub writers: usize,
    /// The requests.
    pub load: NodeLoad,
    /// The steps, sorted by their times since the start of the day.
    pub steps: Vec<(Duration, NodeStep)>,
}

impl NodeDay {
    /// Reduces the day to this number of requests and leaves out the steps that come after the last one.
    pub fn shorten(&mut self, requests: u64) {
        self.load.requests = requests;
        let end = Duration::from_secs_f64(requests as f64 / self.load.requests_per_s);
        self.steps.retain(|(at, _)| *at <= end);
    }

    /// Whether a script is one of a node's day.
    pub fn is_script(source: &str) -> bool {
        let first = source.lines().map(str::trim).find(|line| !line.is_empty() && !line.starts_with('#'));
        first.is_some_and(|line| line.split_whitespace().next() == Some(TITLE_DIRECTIVE))
    }

    /// Parses a script. `file` is its name in error messages.
    pub fn parse(file: &str, source: &str) -> Result<NodeDay, ConfigErrors> {
        let all = parse_directives(file, source)?;
        let mut parser = ScriptParser::new(file);
        let (mut name, mut seed, mut readers, mut writers) = (String::new(), 1, 1, 1);
        let (mut load, mut steps) = (None, Vec::new());
        for directive in &all {
            match directive.name.as_str() {
                TITLE_DIRECTIVE => name = parser.word(directive, 0),
                "seed" => seed = parser.number(directive, 0) as u64,
                "readers" => readers = parser.number(directive, 0).max(1.0) as usize,
                "writers" => writers = parser.number(directive, 0).max(1.0) as usize,
                "load" => load = Some(parse_load(&mut parser, directive)),
                "at" => parser.timed_step(directive, parse_step, &mut steps),
                other => parser.add_error(directive.position, format!("unknown directive {other}")),
            }
        }
        if load.is_none() {
            parser.add_error(Position::default(), "expected a load");
        }
        for (_, step) in &steps {
            if let NodeStep::List { engine, .. } | NodeStep::Start(engine) = step
                && !has_engine(engine, readers, writers)
            {
                parser.add_error(Position::default(), format!("no engine is called {engine}"));
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        parser.finish(load.map(|load| NodeDay { name, seed, readers, writers, load, steps }))
    }
}

/// Whether an engine of this name is started: `reader-0`, `writer-0` and so on.
fn has_engine(name: &str, readers: usize, writers: usize) -> bool {
    let number = |role: &str| name.strip_prefix(role)?.strip_prefix('-')?.parse::<usize>().ok();
    number("reader").is_some_and(|n| n < readers) || number("writer").is_some_and(|n| n < writers)
}

fn parse_load(parser: &mut ScriptParser<'_>, directive: &Directive) -> NodeLoad {
    let mut load = NodeLoad {
        requests: 200,
        requests_per_s: 100.0,
        cases: Vec::new(),
        once_share: 0.0,
        resumed_share: 0.0,
        wait: DEFAULT_WAIT,
    };
    for line in directive.body.iter().flatten() {
        match line.name.as_str() {
            "requests" => load.requests = parser.number(line, 0) as u64,
            "rate" => load.requests_per_s = parser.number(line, 0).max(0.1),
            "once" => load.once_share = parser.number(line, 0),
            "resumed" => load.resumed_share = parser.number(line, 0),
            "wait" => load.wait = Duration::from_micros(parser.time(line, 0)),
            "case" => {
                let case = parser.word(line, 0);
                let ending = case.strip_prefix("ending-").and_then(StreamEnding::from_name);
                if ending.is_none() && !CASES.contains(&case.as_str()) {
                    parser.add_error(line.position, format!("unknown case {case}"));
                }
                load.cases.push((case, parser.number(line, 1)));
            }
            other => parser.add_error(line.position, format!("unknown directive {other} in load")),
        }
    }
    if load.cases.is_empty() {
        parser.add_error(directive.position, "load: expected a case");
    }
    load
}

/// Parses a step. Returns also the step that ends it, if it can have a duration.
fn parse_step(words: &[&str]) -> Option<(NodeStep, Option<NodeStep>)> {
    let other_discovery = |words: &[&str]| match words {
        [] => Some(OtherDiscovery::Behind(Duration::ZERO)),
        ["behind", time] => parse_time(time).map(Duration::from_micros).map(OtherDiscovery::Behind),
        ["renumbered"] => Some(OtherDiscovery::Renumbered),
        _ => None,
    };
    let list = |engine: &str, health| NodeStep::List { engine: engine.to_owned(), health };
    Some(match words {
        ["list", engine, "draining"] => (list(engine, "DRAINING"), Some(list(engine, "SERVING"))),
        ["list", engine, "serving"] => (list(engine, "SERVING"), None),
        ["list", engine, "deleted"] => (list(engine, "DELETED"), Some(list(engine, "SERVING"))),
        ["start", engine] => (NodeStep::Start((*engine).to_owned()), None),
        ["reload", rest @ ..] => (NodeStep::Reload(other_discovery(rest)?), None),
        ["restart", rest @ ..] => (NodeStep::Restart(other_discovery(rest)?), None),
        ["kill"] => (NodeStep::Kill, None),
        ["discovery-silent"] => (NodeStep::Silence(true), Some(NodeStep::Silence(false))),
        _ => return None,
    })
}
