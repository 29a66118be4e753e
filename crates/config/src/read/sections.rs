//! The sections of a configuration: their values and defaults.

use std::net::SocketAddr;

use super::parser::{ConfigParser, Section, empty_section};
use super::values::{parse_time, parse_url};
use crate::lines::Directive;
use crate::model::*;

pub(super) fn parse_repeat(parser: &mut ConfigParser<'_>, section: &mut Section<'_>) -> RepeatName {
    let expected = "repeat: expected safe, unsafe, or keyed with all, zone or cell and a time";
    let Some(directive) = parser.take_directive(section, "repeat") else {
        parser.report_missing(section.at, format!("expected repeat in section \"{}\"", section.name));
        return RepeatName::Unsafe;
    };
    let words: Vec<&str> = directive.values.iter().map(String::as_str).collect();
    let parse_group = |word: &str| match word {
        "all" => Some(GroupName::All),
        "zone" => Some(GroupName::Zone),
        "cell" => Some(GroupName::Cell),
        _ => None,
    };
    let policy = match words.as_slice() {
        ["safe"] => Some(RepeatName::Safe),
        ["unsafe"] => Some(RepeatName::Unsafe),
        ["keyed", group, memory] => parse_group(group)
            .zip(parse_time(memory))
            .map(|(group, memory)| RepeatName::Keyed { group, memory }),
        _ => None,
    };
    policy.unwrap_or_else(|| {
        parser.report_error(directive.position, expected);
        RepeatName::Unsafe
    })
}

pub(super) fn parse_class(parser: &mut ConfigParser<'_>, directive: &Directive) -> ClassConfig {
    let errors_before = parser.errors.len();
    let mut section = parser.open_section(directive, true);
    let s = &mut section;
    let repeat = parse_repeat(parser, s);
    let first_token = parser.parse_time(s, "first-token", None);
    let give_up = parser.parse_time(s, "give-up", None);
    let class = ClassConfig {
        position: directive.position,
        name: s.name.clone(),
        repeat,
        ttft_target: first_token,
        first_token_per_1000: parser.parse_time(s, "first-token-per-1000", Some("0ms")),
        tpot_target: parser.parse_time(s, "token-gap", Some("60ms")),
        give_up,
        give_up_per_1000: parser.parse_time(s, "give-up-per-1000", Some("0ms")),
        total: parser.parse_time(s, "total", Some("120s")),
        worth: parser.parse_number(s, "worth", Some(1.0), (0.0, 1e6)),
        late_worth: parser.parse_number(s, "late-worth", Some(0.1), (0.0, 1.0)),
    };
    // Invalid values are already reported, and cannot be compared with each other.
    let all_valid = parser.errors.len() == errors_before;
    if all_valid && (class.ttft_target == 0 || class.give_up < class.ttft_target) {
        parser.report_error(directive.position, "expected first-token above 0 and no longer than give-up");
    }
    if all_valid && class.total < class.give_up {
        parser.report_error(directive.position, "expected total to be no shorter than give-up");
    }
    parser.finish_section(section);
    class
}

pub(super) fn parse_tool(parser: &mut ConfigParser<'_>, directive: &Directive) -> ToolConfig {
    let mut section = parser.open_section(directive, true);
    let s = &mut section;
    let placeholder = (SocketAddr::from(([0, 0, 0, 0], 0)), String::new());
    let expected = "a URL such as http://127.0.0.1:9000/mcp";
    let (addr, path) = parser.parse_value(s, "url", None, expected, parse_url, placeholder);
    let parse = |text: &str| match text {
        "none" => Some(false),
        "lasting" => Some(true),
        _ => None,
    };
    let tool = ToolConfig {
        position: directive.position,
        name: s.name.clone(),
        addr,
        path,
        has_effect: parser.parse_value(s, "effect", None, "none or lasting", parse, true),
        timeout: parser.parse_time(s, "timeout", Some("5s")),
        max_tries: parser.parse_number(s, "tries", Some(2.0), (1.0, 10.0)) as u32,
    };
    parser.finish_section(section);
    tool
}

pub(super) fn parse_route(parser: &mut ConfigParser<'_>, directive: &Directive) -> RouteConfig {
    let mut section = parser.open_section(directive, true);
    let s = &mut section;
    let tools =
        parser.take_directive(s, "tools").map(|directive| directive.values.clone()).unwrap_or_default();
    let name = s.name.clone();
    let route = RouteConfig {
        position: directive.position,
        class: parser.parse_text(s, "class", None),
        description: parser.parse_text(s, "description", Some(&format!("Answers a prompt on route {name}."))),
        model: parser.parse_text(s, "model", Some(&name)),
        tools,
        preamble: parser.parse_text(s, "preamble", Some("")),
        max_tokens: parser.parse_number(s, "max-tokens", Some(512.0), (1.0, 1e6)) as u32,
        max_turns: parser.parse_number(s, "most-turns", Some(4.0), (1.0, 64.0)) as u32,
        name,
    };
    parser.finish_section(section);
    route
}

pub(super) fn parse_kind(parser: &mut ConfigParser<'_>, directive: &Directive) -> KindConfig {
    let mut section = parser.open_section(directive, true);
    let s = &mut section;
    let parse = |text: &str| match text {
        "prefill" => Some(RoleName::Prefill),
        "decode" => Some(RoleName::Decode),
        "mixed" => Some(RoleName::Mixed),
        _ => None,
    };
    let parse_proof = |text: &str| match text {
        "continue" => Some(ProofName::Continue),
        "health" => Some(ProofName::Health),
        "none" => Some(ProofName::None),
        _ => None,
    };
    let expected = "continue, health or none";
    let kind = KindConfig {
        position: directive.position,
        name: s.name.clone(),
        role: parser.parse_value(s, "role", None, "prefill, decode or mixed", parse, RoleName::Mixed),
        kv_tokens: parser.parse_number(s, "kv-tokens", None, (1.0, 1e12)),
        proof: parser.parse_value(s, "proof", Some("continue"), expected, parse_proof, ProofName::None),
    };
    parser.finish_section(section);
    kind
}

pub(super) fn parse_server(parser: &mut ConfigParser<'_>, directive: &Directive) -> ServerConfig {
    let mut section = parser.open_section(directive, true);
    let s = &mut section;
    let parse = |text: &str| match text {
        "running" => Some(StateName::Running),
        "draining" => Some(StateName::Draining),
        "gone" => Some(StateName::Gone),
        _ => None,
    };
    let expected = "running, draining or gone";
    let server = ServerConfig {
        position: directive.position,
        name: s.name.clone(),
        endpoints: parser.parse_server_addresses(s, "address"),
        kind: parser.parse_text(s, "kind", None),
        zone: parser.parse_text(s, "zone", None),
        cell: parser.parse_number(s, "cell", Some(0.0), (0.0, 1e6)) as u32,
        weight: parser.parse_number(s, "weight", Some(1.0), (0.001, 1e6)),
        state: parser.parse_value(s, "state", Some("running"), expected, parse, StateName::Running),
        started: parser.parse_number(s, "started", Some(0.0), (0.0, 1e12)),
    };
    parser.finish_section(section);
    server
}

pub(super) fn parse_connections(
    parser: &mut ConfigParser<'_>,
    directive: Option<&Directive>,
) -> ConnectionsConfig {
    let empty = empty_section("connections");
    let mut section = parser.open_section(directive.unwrap_or(&empty), false);
    let s = &mut section;
    s.name = "connections".into();
    let connections = ConnectionsConfig {
        dials_per_s: parser.parse_number(s, "dials-per-second", Some(200.0), (1.0, 1e6)),
        dial_burst: parser.parse_number(s, "dials-at-once", Some(100.0), (1.0, 1e6)),
        max_per_server: parser.parse_number(s, "per-server", Some(512.0), (1.0, 1e6)) as usize,
        max_total: parser.parse_number(s, "in-all", Some(8192.0), (1.0, 1e6)) as usize,
        max_idle_per_address: parser.parse_number(s, "idle-per-address", Some(64.0), (0.0, 1e6)) as usize,
        idle_timeout: parser.parse_time(s, "idle", Some("20s")),
        max_age: parser.parse_time(s, "age", Some("600s")),
        max_uses: parser.parse_number(s, "uses", Some(10_000.0), (1.0, 1e9)) as u32,
    };
    parser.finish_section(section);
    connections
}

pub(super) fn parse_front(parser: &mut ConfigParser<'_>, directive: &Directive) -> FrontConfig {
    let mut section = parser.open_section(directive, false);
    let s = &mut section;
    s.name = "front".into();
    let front = FrontConfig {
        listen: parser.parse_address(s, "listen", Some("127.0.0.1:7080")),
        name: parser.parse_text(s, "name", Some("front")),
        zone: parser.parse_text(s, "zone", None),
        number: parser.parse_number(s, "number", Some(0.0), (0.0, 1e6)) as u32,
        fronts: parser.parse_number(s, "fronts", Some(1.0), (1.0, 1e6)) as u32,
        workers: parser.parse_number(s, "workers", Some(2.0), (1.0, 1024.0)) as usize,
        max_requests: parser.parse_number(s, "most-requests", Some(20_000.0), (1.0, 1e6)) as usize,
        idle_timeout: parser.parse_time(s, "idle", Some("60s")),
        stall_timeout: parser.parse_time(s, "stall", Some("10s")),
        send_buffer: parser.parse_number(s, "send-buffer", Some(262_144.0), (4096.0, 1e8)) as usize,
        max_head_bytes: parser.parse_number(s, "head", Some(16_384.0), (1024.0, 1e6)) as usize,
        max_body_bytes: parser.parse_number(s, "body", Some(1_048_576.0), (1024.0, 1e9)) as usize,
        max_answer_bytes: parser.parse_number(s, "answer", Some(1_048_576.0), (1024.0, 1e9)) as usize,
        drain_timeout: parser.parse_time(s, "drain", Some("30s")),
    };
    parser.finish_section(section);
    front
}

pub(super) fn parse_rules(parser: &mut ConfigParser<'_>, directive: Option<&Directive>) -> RulesConfig {
    let empty = empty_section("rules");
    let mut section = parser.open_section(directive.unwrap_or(&empty), false);
    let s = &mut section;
    s.name = "rules".into();
    let rules = RulesConfig {
        answer_slack: parser.parse_time(s, "answer-slack", Some("50ms")),
        drain_grace: parser.parse_time(s, "drain-grace", Some("2s")),
        release_time_limit: parser.parse_time(s, "let-go", Some("300ms")),
        cold_start_share: parser.parse_number(s, "cold-from", Some(0.3), (0.01, 1.0)),
        cold_duration: parser.parse_time(s, "cold-for", Some("12s")),
        overload_multiple: parser.parse_number(s, "fall-multiple", Some(4.0), (1.0, 1000.0)),
        overload_window: parser.parse_time(s, "tip-after", Some("2s")),
        max_attempts: parser.parse_number(s, "most-tries", Some(4.0), (1.0, 100.0)) as u32,
        connect_timeout: parser.parse_time(s, "connect", Some("250ms")),
        max_retry_after: parser.parse_time(s, "retry-after", Some("500ms")),
        writers_may_read: parser.parse_bool(s, "writers-read", true),
        may_probe: parser.parse_bool(s, "probes", true),
        reports_in_answers: parser.parse_bool(s, "reports-in-answers", true),
    };
    parser.finish_section(section);
    rules
}
