//! The steps of a day: faults and changes with their times.

use std::time::Duration;

use elderstage_config::{Directive, parse_number, parse_time};
use elderstage_protocol::place::AddressFamily;
use elderstage_standin::ending::StreamEnding;
use elderstage_standin::host::AddressFault;
use elderstage_standin::tool::ToolFault;

use crate::script::ScriptParser;

/// Shortest period of a flapping fault. A listener takes some milliseconds to close and to open again.
const MIN_FLAP_PERIOD_US: u64 = 50_000;

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
    /// An engine ends its streams in this way.
    Ending(String, StreamEnding),
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

/// Parses `at 2s address w1 ipv6 flaps 500ms silent for 5s`: the fault is on for the first half of each period.
/// Returns false for any other step.
fn flapping_fault(directive: &Directive, start: u64, steps: &mut Vec<(Duration, Step)>) -> bool {
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

/// Parses a directive `at`: adds the step, and the step that ends it.
pub(super) fn timed_step(
    parser: &mut ScriptParser<'_>,
    directive: &Directive,
    steps: &mut Vec<(Duration, Step)>,
) {
    let start = parser.time(directive, 0);
    if !flapping_fault(directive, start, steps) {
        parser.timed_step(directive, parse_step, steps);
    }
}

pub(super) fn parse_family(word: &str) -> Option<AddressFamily> {
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
        ["ending", engine, ending] => (
            Step::Ending(name(engine), StreamEnding::from_name(ending)?),
            Some(Step::Ending(name(engine), StreamEnding::Plain)),
        ),
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

/// The engine, front or zone that a step names.
pub(super) fn named_targets(step: &Step) -> (Option<&String>, Option<&String>, Option<&String>) {
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
        | Step::Ending(engine, _)
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
