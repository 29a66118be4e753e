//! The engines of a day.

use elderstage_config::Directive;
use elderstage_protocol::place::AddressFamily;
use elderstage_standin::model::{EngineSpec, Role};

use crate::day::steps::parse_family;
use crate::fleet::{Engine, Kind};
use crate::script::ScriptParser;

/// Parses the section `kind`.
pub(super) fn kind(parser: &mut ScriptParser<'_>, directive: &Directive) -> Kind {
    let name = parser.word(directive, 0);
    let mut spec = EngineSpec::default();
    for line in directive.body.iter().flatten() {
        match line.name.as_str() {
            "role" => match parser.word(line, 0).as_str() {
                "prefill" => spec.role = Role::Prefill,
                "decode" => spec.role = Role::Decode,
                "mixed" => spec.role = Role::Mixed,
                _ => parser.add_error(line.position, "role: expected prefill, decode or mixed"),
            },
            "slots" => spec.max_running = parser.number(line, 0) as usize,
            "queue" => spec.max_waiting = parser.number(line, 0) as usize,
            "kv-tokens" => spec.kv_tokens = parser.number(line, 0) as u64,
            "kept-tokens" => spec.prefix_cache_tokens = parser.number(line, 0) as u64,
            "read-per-s" => spec.read_tokens_per_s = parser.number(line, 0).max(1.0),
            "step" => spec.step_time_us = parser.time(line, 0),
            "step-per-answer" => spec.step_time_per_answer_us = parser.time(line, 0),
            "chunk" => spec.max_tokens_per_step = parser.number(line, 0).max(1.0) as u64,
            "cold-from" => spec.cold_start_share = parser.number(line, 0).clamp(0.01, 1.0),
            "cold-for" => spec.cold_duration = parser.time(line, 0),
            "fall-multiple" => spec.overload_multiple = parser.number(line, 0),
            "tip-after" => spec.overload_window = parser.time(line, 0),
            other => parser.add_error(line.position, format!("unknown directive {other} in kind {name}")),
        }
    }
    Kind { name, spec }
}

/// Parses a directive `engine`, whose kind must be one of `kinds`.
pub(super) fn engine(parser: &mut ScriptParser<'_>, directive: &Directive, kinds: &[Kind]) -> Option<Engine> {
    let (name, kind_name, zone) =
        (parser.word(directive, 0), parser.word(directive, 1), parser.word(directive, 2));
    let cell = if directive.values.len() > 3 { parser.number(directive, 3) as u32 } else { 0 };
    let address_families = address_families(parser, directive);
    let Some(kind) = kinds.iter().position(|kind| kind.name == kind_name) else {
        let message = format!("engine {name}: kind {kind_name} is not defined above");
        parser.add_error(directive.position, message);
        return None;
    };
    Some(Engine { name, kind, zone, cell, address_families })
}

/// The kinds of address of an engine, which follow its cell. IPv4 if none is named.
fn address_families(parser: &mut ScriptParser<'_>, directive: &Directive) -> Vec<AddressFamily> {
    let mut families = Vec::new();
    for word in directive.values.iter().skip(4) {
        match parse_family(word) {
            Some(family) if !families.contains(&family) => families.push(family),
            _ => parser.add_error(
                directive.position,
                "engine: expected unix, ipv6 or ipv4, each once, after the cell",
            ),
        }
    }
    if families.is_empty() { vec![AddressFamily::V4] } else { families }
}
