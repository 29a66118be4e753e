//! The script of a rehearsal: the fleet, the load of the clients, and the faults with their times.
//!
//! Scripts are written in the syntax of the configuration. This module only parses and checks them; nothing is
//! started here. A parsed day names only engines, fronts and zones that it defines.

mod engines;
mod load;
mod steps;

use std::time::Duration;

use elderstage_config::{ConfigErrors, Directive, Position, parse_directives};

use crate::fleet::{DEFAULT_CLASSES, Engine, Kind, Site};
use crate::script::ScriptParser;

pub use load::{Load, RouteShare};
pub use steps::Step;

/// Time that a front has to end its requests when it is told to drain, if the script does not set it.
const DEFAULT_DRAIN_TIMEOUT_US: u64 = 10_000_000;

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

/// Parses `expect failed 0`, the largest number of requests that may end so.
fn expect(parser: &mut ScriptParser<'_>, directive: &Directive) -> Option<(LimitedOutcome, u64)> {
    let ended = match parser.word(directive, 0).as_str() {
        "refused" => LimitedOutcome::Refused,
        "failed" => LimitedOutcome::Failed,
        "lost" => LimitedOutcome::Lost,
        _ => {
            parser.add_error(directive.position, "expect: expected refused, failed or lost, and a number");
            return None;
        }
    };
    Some((ended, parser.number(directive, 1) as u64))
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
    let mut parser = ScriptParser::new(file);
    let (mut name, mut seed, mut zones) = (String::from("rehearsal"), 1, Vec::new());
    let (mut kinds, mut engines, mut fronts) = (Vec::<Kind>::new(), Vec::new(), Vec::new());
    let (mut extra_directives, mut load, mut steps) = (String::new(), None, Vec::new());
    let mut outcome_limits = Vec::new();
    let mut drain_timeout_us = DEFAULT_DRAIN_TIMEOUT_US;
    let mut link_tokens_per_s = [300_000.0, 150_000.0, 60_000.0];
    for directive in &all {
        match directive.name.as_str() {
            "rehearsal" => name = parser.word(directive, 0),
            "seed" => seed = parser.number(directive, 0) as u64,
            "zones" => zones.clone_from(&directive.values),
            "links" => link_tokens_per_s = [0, 1, 2].map(|index| parser.number(directive, index).max(1.0)),
            "kind" => kinds.push(engines::kind(&mut parser, directive)),
            "engine" => engines.extend(engines::engine(&mut parser, directive, &kinds)),
            "front" => {
                fronts.push(Front { name: parser.word(directive, 0), zone: parser.word(directive, 1) })
            }
            "drain" => drain_timeout_us = parser.time(directive, 0),
            "rules" | "class" | "route" => write_directive(directive, &mut extra_directives),
            "load" => load = Some(load::load(&mut parser, directive)),
            "expect" => outcome_limits.extend(expect(&mut parser, directive)),
            "at" => steps::timed_step(&mut parser, directive, &mut steps),
            other => parser.add_error(directive.position, format!("unknown directive {other}")),
        }
    }
    if !all.iter().any(|directive| directive.name == "class") {
        extra_directives.push_str(DEFAULT_CLASSES);
    }
    for (expected, is_missing) in
        [("an engine", engines.is_empty()), ("a front", fronts.is_empty()), ("a load", load.is_none())]
    {
        if is_missing {
            parser.add_error(Position::default(), format!("expected {expected}"));
        }
    }
    check_targets(&mut parser, &steps, &engines, &fronts, &zones);
    steps.sort_by_key(|(at, _)| *at);
    parser.finish(load.map(|load| Day {
        name,
        seed,
        site: Site { zones, kinds, engines, extra_directives, link_tokens_per_s },
        fronts,
        drain_timeout_us,
        load,
        outcome_limits,
        steps,
    }))
}

/// Adds an error for each step that names an engine, a front or a zone that the script does not define.
fn check_targets(
    parser: &mut ScriptParser<'_>,
    steps: &[(Duration, Step)],
    engines: &[Engine],
    fronts: &[Front],
    zones: &[String],
) {
    for (_, step) in steps {
        let (engine, front, zone) = steps::named_targets(step);
        if let Some(name) = engine.filter(|name| !engines.iter().any(|e| e.name == **name)) {
            parser.add_error(Position::default(), format!("no engine is called {name}"));
        }
        if let Some(name) = front.filter(|name| !fronts.iter().any(|f| f.name == **name)) {
            parser.add_error(Position::default(), format!("no front is called {name}"));
        }
        if let Some(name) = zone.filter(|name| !zones.contains(name)) {
            parser.add_error(Position::default(), format!("no zone is called {name}"));
        }
    }
}
