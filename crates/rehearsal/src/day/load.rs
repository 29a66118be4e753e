//! The clients' requests of a day.

use elderstage_config::Directive;

use crate::script::ScriptParser;

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

/// Parses the section `load`.
pub(super) fn load(parser: &mut ScriptParser<'_>, directive: &Directive) -> Load {
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
            "requests" => load.requests = parser.number(line, 0) as u64,
            "rate" => load.requests_per_s = parser.number(line, 0).max(0.001),
            "prompt" => {
                load.prompt_bytes = (parser.number(line, 0).max(1.0), parser.number(line, 1).max(1.0))
            }
            "words" => load.answer_words = (parser.number(line, 0).max(1.0), parser.number(line, 1).max(1.0)),
            "sessions" => {
                load.session_share = (parser.number(line, 0), parser.number(line, 1).max(1.0) as u64)
            }
            "leave" => load.disconnect_share = parser.number(line, 0),
            "cancel" => load.cancel_share = parser.number(line, 0),
            "cancel-in-call" => load.cancel_in_call_share = parser.number(line, 0),
            "slow" => load.pause_share = parser.number(line, 0),
            "retries" => load.retries = parser.number(line, 0) as u32,
            "mix" => {
                let tool = line.values.get(2).cloned().map(|tool| (tool, parser.number(line, 3)));
                load.mix.push(RouteShare {
                    route: parser.word(line, 0),
                    share: parser.number(line, 1),
                    tool,
                });
            }
            other => parser.add_error(line.position, format!("unknown directive {other} in load")),
        }
    }
    if load.mix.is_empty() {
        parser.add_error(directive.position, "load: expected a mix");
    }
    load
}
