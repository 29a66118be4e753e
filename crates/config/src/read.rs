//! Builds the typed configuration from directives: checks names, values, defaults and references between sections.
//!
//! This module does not open files; see [`crate::source`]. All errors of a configuration are reported together, and a
//! configuration is returned only if there are none.

use std::net::SocketAddr;

use elderstage_protocol::place::Endpoint;

use crate::lines::{ConfigError, ConfigErrors, Directive, Position, closest_name, parse_with_recovery};
use crate::model::*;

/// Directives that are allowed outside of sections.
const TOP_LEVEL_DIRECTIVES: [&str; 11] = [
    "front",
    "rules",
    "connections",
    "expect",
    "zones",
    "class",
    "tool",
    "route",
    "kind",
    "server",
    "servers",
];
/// The start of the first file: the position of errors about something that is missing.
const FILE_START: Position = Position { file: 0, line: 1, column: 1, start: 0, end: 0 };

/// Maximum number of addresses of one server. A machine has fewer ways to be reached.
const MAX_SERVER_ADDRESSES: usize = 8;

/// Parses sections and values, and collects the errors and the effective values.
struct ConfigParser<'a> {
    /// Names of the files, by file index.
    files: &'a [String],
    errors: Vec<ConfigError>,
    effective: Vec<EffectiveValue>,
    /// Whether some lines had syntax errors. Something that seems to be missing may be on such a line.
    has_syntax_errors: bool,
}

/// One value that is in effect, and the position where it was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveValue {
    /// Title of the section, such as `front` or `class ask`.
    pub section: String,
    pub name: String,
    pub value: String,
    /// Position of the directive; `None` for a default.
    pub position: Option<Position>,
}

/// The directives of one section. Each is taken at most once; those that remain are unknown.
struct Section<'a> {
    at: Position,
    name: String,
    /// Name of the section among the effective values, such as `class ask`.
    title: String,
    directives: Vec<Option<&'a Directive>>,
    /// Names of the directives that the section may have.
    known_directives: Vec<&'static str>,
}

/// The title of a section: its keyword and its name.
fn section_title(directive: &Directive) -> String {
    let words: Vec<&str> =
        [directive.name.as_str()].into_iter().chain(directive.values.iter().map(String::as_str)).collect();
    words.join(" ")
}

/// Stands for a section that is not in the file: all its values are defaults.
fn empty_section(name: &str) -> Directive {
    Directive {
        position: FILE_START,
        name: name.into(),
        values: Vec::new(),
        value_positions: Vec::new(),
        body: Some(Vec::new()),
    }
}

impl ConfigParser<'_> {
    fn report_error(&mut self, at: Position, what: impl Into<String>) {
        let file = self.files.get(at.file).map_or("", String::as_str);
        self.errors.push(ConfigError::new(file, at, what));
    }

    /// Reports that something is missing, unless it may be on a line with a syntax error.
    fn report_missing(&mut self, at: Position, what: impl Into<String>) {
        if !self.has_syntax_errors {
            self.report_error(at, what);
        }
    }

    /// Reports an unknown name, with the known name that is most similar to it.
    fn report_unknown_name<'a>(
        &mut self,
        at: Position,
        what: impl Into<String>,
        name: &str,
        known_names: impl Iterator<Item = &'a str>,
    ) {
        let errors_before = self.errors.len();
        self.report_missing(at, what);
        if let Some(error) = self.errors.get_mut(errors_before) {
            error.suggestion = closest_name(name, known_names);
        }
    }

    fn record_effective_value(
        &mut self,
        section: &Section<'_>,
        name: &str,
        value: String,
        at: Option<Position>,
    ) {
        self.effective.push(EffectiveValue {
            section: section.title.clone(),
            name: name.into(),
            value,
            position: at,
        });
    }

    /// Starts to parse a section, and checks its name and its braces.
    fn open_section<'a>(&mut self, directive: &'a Directive, has_name: bool) -> Section<'a> {
        let expected_values = usize::from(has_name);
        if directive.values.len() != expected_values {
            let what = if has_name { "one name and {" } else { "{ and no name" };
            self.report_error(directive.position, format!("expected {} {what}", directive.name));
        }
        let directives = match &directive.body {
            Some(body) => body.iter().map(Some).collect(),
            None => {
                self.report_error(directive.position, format!("expected {{ after {}", directive.name));
                Vec::new()
            }
        };
        let name = directive.values.first().cloned().unwrap_or_default();
        Section {
            at: directive.position,
            title: section_title(directive),
            name,
            directives,
            known_directives: Vec::new(),
        }
    }

    /// Takes a directive out of the section; `None` if it is not set there.
    fn take_directive<'a>(&mut self, section: &mut Section<'a>, name: &'static str) -> Option<&'a Directive> {
        section.known_directives.push(name);
        let mut found: Option<&'a Directive> = None;
        for slot in &mut section.directives {
            if slot.is_some_and(|d| d.name == name) {
                let directive = slot.take()?;
                match found {
                    Some(first) => {
                        let what = format!("{name} is already set on line {}", first.position.line);
                        self.report_error(directive.position, what);
                    }
                    None => found = Some(directive),
                }
            }
        }
        if let Some(directive) = found
            && directive.body.is_some()
        {
            self.report_error(directive.position, format!("{name} takes no {{"));
        }
        found
    }

    /// Parses the single value of a directive with `parse`. If the directive is not set, parses `default`; without a
    /// default, reports an error. Returns `placeholder` after an error.
    fn parse_value<T>(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: Option<&str>,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
        placeholder: T,
    ) -> T {
        let Some(directive) = self.take_directive(section, name) else {
            let Some(default) = default else {
                self.report_missing(section.at, format!("expected {name} in section \"{}\"", section.name));
                return placeholder;
            };
            self.record_effective_value(section, name, default.into(), None);
            return parse(default).unwrap_or(placeholder);
        };
        let value = match directive.values.as_slice() {
            [value] => parse(value),
            _ => None,
        };
        let text = directive.values.join(" ");
        if value.is_none() {
            self.report_error(
                directive.value_position(0),
                format!("{name}: expected {expected}, not \"{text}\""),
            );
        }
        self.record_effective_value(section, name, text, Some(directive.position));
        value.unwrap_or(placeholder)
    }

    fn parse_time(&mut self, section: &mut Section<'_>, name: &'static str, default: Option<&str>) -> Micros {
        self.parse_value(section, name, default, "a time such as 300ms or 2s", parse_time, 1)
    }

    fn parse_number(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: Option<f64>,
        range: (f64, f64),
    ) -> f64 {
        let expected = format!("a number from {} to {}", range.0, range.1);
        let parse = |text: &str| parse_number(text).filter(|n| *n >= range.0 && *n <= range.1);
        let default = default.map(|value| value.to_string());
        self.parse_value(section, name, default.as_deref(), &expected, parse, range.0)
    }

    fn parse_text(&mut self, section: &mut Section<'_>, name: &'static str, default: Option<&str>) -> String {
        let parse = |text: &str| Some(text.to_owned());
        self.parse_value(section, name, default, "one word or quoted text", parse, String::new())
    }

    fn parse_address(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: Option<&str>,
    ) -> SocketAddr {
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let expected = "an address and port such as 127.0.0.1:8000";
        self.parse_value(section, name, default, expected, |text| text.parse().ok(), placeholder)
    }

    /// Parses one or more addresses, in the order of preference.
    fn parse_server_addresses(&mut self, section: &mut Section<'_>, name: &'static str) -> Vec<Endpoint> {
        let Some(directive) = self.take_directive(section, name) else {
            self.report_missing(section.at, format!("expected {name} in section \"{}\"", section.name));
            return Vec::new();
        };
        if directive.values.is_empty() || directive.values.len() > MAX_SERVER_ADDRESSES {
            let what = format!("{name}: expected from 1 to {MAX_SERVER_ADDRESSES} addresses");
            self.report_error(directive.position, what);
        }
        let mut endpoints: Vec<Endpoint> = Vec::new();
        for (index, value) in directive.values.iter().enumerate() {
            let number = index + 1;
            match value.parse::<Endpoint>() {
                Ok(endpoint) => match endpoints.iter().position(|other| *other == endpoint) {
                    Some(first) => {
                        let what = format!(
                            "{name}: value {number}: \"{value}\" is already given as value {}",
                            first + 1
                        );
                        self.report_error(directive.value_position(index), what);
                    }
                    None => endpoints.push(endpoint),
                },
                Err(error) => {
                    self.report_error(
                        directive.value_position(index),
                        format!("{name}: value {number}: \"{value}\": {error}"),
                    );
                }
            }
        }
        self.record_effective_value(section, name, directive.values.join(" "), Some(directive.position));
        endpoints
    }

    fn parse_bool(&mut self, section: &mut Section<'_>, name: &'static str, default: bool) -> bool {
        let parse = |text: &str| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        };
        self.parse_value(section, name, Some(if default { "yes" } else { "no" }), "yes or no", parse, false)
    }

    /// Reports every directive that was not taken as unknown.
    fn finish_section(&mut self, section: Section<'_>) {
        for directive in section.directives.into_iter().flatten() {
            let what = format!("unknown directive {} in section \"{}\"", directive.name, section.name);
            self.report_error(directive.position, what);
            if let Some(error) = self.errors.last_mut() {
                error.suggestion = closest_name(&directive.name, section.known_directives.iter().copied());
            }
        }
    }
}

/// Parses a time such as `300ms`, `2s`, `500us` or `1m`. The unit is required, because a bare number is ambiguous.
pub fn parse_time(text: &str) -> Option<Micros> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = match &text[digits.len()..] {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        "h" => 3600e6,
        _ => return None,
    };
    let value: f64 = digits.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
    Some((value * unit).round() as Micros)
}

/// Parses a number such as `20`, `0.5`, `160k` or `1M`.
pub fn parse_number(text: &str) -> Option<f64> {
    let (digits, unit) = match text.strip_suffix('k') {
        Some(digits) => (digits, 1e3),
        None => text.strip_suffix('M').map_or((text, 1.0), |digits| (digits, 1e6)),
    };
    digits.parse::<f64>().ok().filter(|v| v.is_finite()).map(|v| v * unit)
}

/// Parses a URL such as `http://127.0.0.1:9000/mcp` into its address and path.
fn parse_url(text: &str) -> Option<(SocketAddr, String)> {
    let rest = text.strip_prefix("http://")?;
    let (addr, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = if path.is_empty() { "/" } else { path };
    let is_printable = path.bytes().all(|b| b.is_ascii_graphic());
    Some((addr.parse().ok()?, path.to_owned())).filter(|_| is_printable)
}

fn parse_repeat(parser: &mut ConfigParser<'_>, section: &mut Section<'_>) -> RepeatName {
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

fn parse_class(parser: &mut ConfigParser<'_>, directive: &Directive) -> ClassConfig {
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

fn parse_tool(parser: &mut ConfigParser<'_>, directive: &Directive) -> ToolConfig {
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

fn parse_route(parser: &mut ConfigParser<'_>, directive: &Directive) -> RouteConfig {
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

fn parse_kind(parser: &mut ConfigParser<'_>, directive: &Directive) -> KindConfig {
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

fn parse_server(parser: &mut ConfigParser<'_>, directive: &Directive) -> ServerConfig {
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

fn parse_share(parser: &mut ConfigParser<'_>, directive: &Directive, index: usize) -> f64 {
    let value =
        directive.values.get(index).and_then(|text| parse_number(text)).filter(|n| (0.0..=1.0).contains(n));
    value.unwrap_or_else(|| {
        let what = format!("{}: expected a share from 0 to 1 as value {}", directive.name, index + 1);
        parser.report_error(directive.value_position(index), what);
        0.0
    })
}

fn parse_expectation(parser: &mut ConfigParser<'_>, directive: &Directive) -> ExpectationConfig {
    let mut section = parser.open_section(directive, true);
    let s = &mut section;
    let mut wants = Vec::new();
    if let Some(directive) = parser.take_directive(s, "never") {
        wants.push(Condition::Never(directive.values.clone()));
    }
    if let Some(directive) = parser.take_directive(s, "attempts") {
        match directive.values.as_slice() {
            [limit] if limit.parse::<u32>().is_ok_and(|limit| limit > 0) => {
                wants.push(Condition::Attempts(limit.parse().unwrap_or(1)));
            }
            _ => parser.report_error(directive.value_position(0), "attempts: expected a number from 1"),
        }
    }
    if let Some(directive) = parser.take_directive(s, "served") {
        let min_share = parse_share(parser, directive, 0);
        wants.push(Condition::Served(min_share));
    }
    if let Some(directive) = parser.take_directive(s, "answered-within") {
        match directive.values.first().and_then(|text| parse_time(text)) {
            Some(limit) => wants.push(Condition::AnsweredWithin(limit)),
            None => parser.report_error(
                directive.value_position(0),
                "answered-within: expected a time such as 300ms or 2s",
            ),
        }
    }
    if let Some(directive) = parser.take_directive(s, "share") {
        let server = directive.values.first().cloned().unwrap_or_default();
        let (low, high) = (parse_share(parser, directive, 1), parse_share(parser, directive, 2));
        if low > high {
            parser.report_error(directive.value_position(1), "share: expected the lower bound first");
        }
        wants.push(Condition::Share { server, low, high });
    }
    if wants.is_empty() {
        let what = "expected never, attempts, served, answered-within or share: this expects nothing";
        parser.report_missing(directive.position, what);
    }
    let mut take_names =
        |name| parser.take_directive(s, name).map(|directive| directive.values.clone()).unwrap_or_default();
    let (down, draining, full) = (take_names("down"), take_names("draining"), take_names("full"));
    let expect = ExpectationConfig {
        position: directive.position,
        name: s.name.clone(),
        route: parser.parse_text(s, "route", None),
        requests: parser.parse_number(s, "requests", Some(200.0), (1.0, 100_000.0)) as u64,
        rate: parser.parse_number(s, "rate", Some(20.0), (0.1, 100_000.0)),
        prompt: parser.parse_number(s, "prompt", Some(2000.0), (1.0, 1e7)) as usize,
        down,
        draining,
        full,
        conditions: wants,
    };
    parser.finish_section(section);
    expect
}

/// Checks that the routes and servers named by expectations exist: an expectation about a server that does not exist
/// proves nothing. `servers` is `None` if the list of servers is not known.
fn check_expectations(
    parser: &mut ConfigParser<'_>,
    expects: &[ExpectationConfig],
    routes: &[RouteConfig],
    servers: Option<&[ServerConfig]>,
) {
    check_unique(parser, "expect", expects.iter().map(|e| (e.position, e.name.as_str())));
    for expect in expects {
        if !routes.iter().any(|route| route.name == expect.route) {
            let what = format!("expect {}: no route is called {}", expect.name, expect.route);
            parser.report_unknown_name(
                expect.position,
                what,
                &expect.route,
                routes.iter().map(|route| route.name.as_str()),
            );
        }
        let Some(servers) = servers else { continue };
        let mut named_servers: Vec<&String> =
            expect.down.iter().chain(&expect.draining).chain(&expect.full).collect();
        for want in &expect.conditions {
            match want {
                Condition::Never(servers) => named_servers.extend(servers),
                Condition::Share { server, .. } => named_servers.push(server),
                _ => {}
            }
        }
        for name in named_servers {
            if !servers.iter().any(|server| server.name == *name) {
                let what = format!("expect {}: no server is called {name}", expect.name);
                parser.report_unknown_name(
                    expect.position,
                    what,
                    name,
                    servers.iter().map(|server| server.name.as_str()),
                );
            }
        }
    }
}

fn parse_connections(parser: &mut ConfigParser<'_>, directive: Option<&Directive>) -> ConnectionsConfig {
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

fn parse_front(parser: &mut ConfigParser<'_>, directive: &Directive) -> FrontConfig {
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

fn parse_rules(parser: &mut ConfigParser<'_>, directive: Option<&Directive>) -> RulesConfig {
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

/// Reports each name that is defined more than once. `what` is the keyword of the section.
fn check_unique<'a>(
    parser: &mut ConfigParser<'_>,
    what: &str,
    names: impl Iterator<Item = (Position, &'a str)>,
) {
    let mut positions = std::collections::BTreeMap::new();
    for (at, name) in names {
        if let Some(first) = positions.insert(name, at) {
            parser.report_error(at, format!("{what} {name} is already defined on line {}", first.line));
        }
    }
}

/// Checks the names of servers, and the kinds and zones that they refer to.
fn check_servers(
    parser: &mut ConfigParser<'_>,
    servers: &[ServerConfig],
    kinds: &[KindConfig],
    zones: &[String],
) {
    check_unique(parser, "server", servers.iter().map(|s| (s.position, s.name.as_str())));
    for server in servers {
        // The name is written into headers, metrics and logs.
        if server.name.is_empty() || !server.name.bytes().all(|b| b.is_ascii_graphic() && b != b'"') {
            let what = format!("server \"{}\": expected a name without spaces or quotes", server.name);
            parser.report_error(server.position, what);
        }
        if !kinds.iter().any(|kind| kind.name == server.kind) {
            let what = format!("server {}: no kind is called {}", server.name, server.kind);
            parser.report_unknown_name(
                server.position,
                what,
                &server.kind,
                kinds.iter().map(|kind| kind.name.as_str()),
            );
        }
        if !zones.contains(&server.zone) {
            let what = format!("server {}: no zone is called {}", server.name, server.zone);
            parser.report_unknown_name(server.position, what, &server.zone, zones.iter().map(String::as_str));
        }
    }
}

/// Parses a whole configuration that consists of one file, without includes. `file` is the name of the file in errors.
pub fn parse(file: &str, text: &str) -> Result<Config, ConfigErrors> {
    let (directives, errors) = parse_with_recovery(0, file, text);
    build_config(&[file.to_owned()], &directives, errors).map(|(config, _)| config)
}

/// Builds the configuration and the list of effective values from directives. `files` are the names of the files.
/// `syntax_errors` are the errors of parsing the lines. If there are any, missing directives and unknown names are not
/// reported, because they may be on a line that could not be parsed.
pub(crate) fn build_config(
    files: &[String],
    directives: &[Directive],
    syntax_errors: Vec<ConfigError>,
) -> Result<(Config, Vec<EffectiveValue>), ConfigErrors> {
    let mut parser_state = ConfigParser {
        files,
        has_syntax_errors: !syntax_errors.is_empty(),
        errors: syntax_errors,
        effective: Vec::new(),
    };
    let parser = &mut parser_state;
    let (mut front_sections, mut rules_sections, mut zones) = (Vec::new(), Vec::new(), Vec::new());
    let mut connections_sections = Vec::new();
    let mut expects = Vec::new();
    let (mut classes, mut tools, mut routes) = (Vec::new(), Vec::new(), Vec::new());
    let (mut kinds, mut servers, mut server_files) = (Vec::new(), Vec::new(), Vec::new());
    for directive in directives {
        match directive.name.as_str() {
            "front" => front_sections.push(directive),
            "rules" => rules_sections.push(directive),
            "connections" => connections_sections.push(directive),
            "expect" => expects.push(parse_expectation(parser, directive)),
            "zones" => zones.extend(directive.values.iter().cloned()),
            "class" => classes.push(parse_class(parser, directive)),
            "tool" => tools.push(parse_tool(parser, directive)),
            "route" => routes.push(parse_route(parser, directive)),
            "kind" => kinds.push(parse_kind(parser, directive)),
            "server" => servers.push(parse_server(parser, directive)),
            "servers" => match directive.values.as_slice() {
                [path] => server_files.push((directive.position, path.clone())),
                _ => parser.report_error(directive.position, "servers: expected the path of a file"),
            },
            other => {
                let what = format!("unknown directive {other}");
                parser.report_unknown_name(
                    directive.position,
                    what,
                    other,
                    TOP_LEVEL_DIRECTIVES.iter().copied(),
                );
            }
        }
    }
    let repeated = [&front_sections, &rules_sections, &connections_sections].map(|list| list.iter().skip(1));
    for section in repeated.into_iter().flatten() {
        parser.report_error(section.position, format!("{} is already defined in this file", section.name));
    }
    if let Some((at, _)) = server_files.get(1) {
        parser.report_error(*at, "servers is already set in this file");
    }
    let front = match front_sections.first() {
        Some(directive) => Some(parse_front(parser, directive)),
        None => {
            parser.report_missing(FILE_START, "expected a front section");
            None
        }
    };
    let rules = parse_rules(parser, rules_sections.first().copied());
    let connections = parse_connections(parser, connections_sections.first().copied());
    check_references(parser, front.as_ref(), &zones, &classes, &tools, &routes, &kinds);
    check_servers(parser, &servers, &kinds, &zones);
    // The front reads a separate file of servers while it runs, so those servers are not known here.
    check_expectations(parser, &expects, &routes, server_files.is_empty().then_some(servers.as_slice()));
    let servers_file = server_files.into_iter().next().map(|(_, path)| path);
    if servers.is_empty() && servers_file.is_none() {
        parser.report_missing(FILE_START, "expected a server, or servers with the path of a file");
    }
    let (mut errors, effective) = (parser_state.errors, parser_state.effective);
    match front {
        Some(front) if errors.is_empty() => {
            let config = Config {
                front,
                rules,
                connections,
                zones,
                classes,
                tools,
                routes,
                kinds,
                servers,
                servers_file,
                expectations: expects,
            };
            Ok((config, effective))
        }
        _ => {
            errors.sort_by_key(|error| (error.position.file, error.position.line, error.position.column));
            Err(ConfigErrors(errors))
        }
    }
}

/// Checks that names are unique, that required sections exist, and that sections refer only to names that exist.
/// Refuses a tool with a lasting effect on a route whose requests are safe to repeat.
fn check_references(
    parser: &mut ConfigParser<'_>,
    front: Option<&FrontConfig>,
    zones: &[String],
    classes: &[ClassConfig],
    tools: &[ToolConfig],
    routes: &[RouteConfig],
    kinds: &[KindConfig],
) {
    check_unique(parser, "class", classes.iter().map(|c| (c.position, c.name.as_str())));
    check_unique(parser, "tool", tools.iter().map(|t| (t.position, t.name.as_str())));
    check_unique(parser, "route", routes.iter().map(|t| (t.position, t.name.as_str())));
    check_unique(parser, "kind", kinds.iter().map(|k| (k.position, k.name.as_str())));
    for (section, is_missing) in
        [("class", classes.is_empty()), ("route", routes.is_empty()), ("kind", kinds.is_empty())]
    {
        if is_missing {
            parser.report_missing(FILE_START, format!("expected at least one {section}"));
        }
    }
    if zones.is_empty() {
        parser.report_missing(FILE_START, "expected zones with at least one name");
    }
    if let Some(front) = front
        && !zones.contains(&front.zone)
    {
        parser.report_missing(FILE_START, format!("front: no zone is called {}", front.zone));
    }
    if let Some(front) = front
        && front.number >= front.fronts
    {
        parser.report_missing(FILE_START, "front: expected number to be below fronts");
    }
    for route in routes {
        let class = classes.iter().find(|class| class.name == route.class);
        if class.is_none() {
            let what = format!("route {}: no class is called {}", route.name, route.class);
            parser.report_unknown_name(
                route.position,
                what,
                &route.class,
                classes.iter().map(|class| class.name.as_str()),
            );
        }
        for name in &route.tools {
            match tools.iter().find(|tool| tool.name == *name) {
                None => {
                    let what = format!("route {}: no tool is called {name}", route.name);
                    parser.report_unknown_name(
                        route.position,
                        what,
                        name,
                        tools.iter().map(|tool| tool.name.as_str()),
                    );
                }
                // A request that is safe to repeat may run again, and would then call the tool again.
                Some(tool) if tool.has_effect && class.is_some_and(|c| c.repeat == RepeatName::Safe) => {
                    let what = format!(
                        "route {}: tool {name} has a lasting effect, and class {} is safe to repeat",
                        route.name, route.class
                    );
                    parser.report_error(route.position, what);
                }
                Some(_) => {}
            }
        }
    }
}

/// Parses a file that lists servers, and checks it against the configuration that it belongs to. `file` is the name of
/// the file in errors.
pub fn parse_servers(file: &str, text: &str, config: &Config) -> Result<Vec<ServerConfig>, ConfigErrors> {
    let (directives, errors) = parse_with_recovery(0, file, text);
    let files = [file.to_owned()];
    let mut parser =
        ConfigParser { files: &files, has_syntax_errors: !errors.is_empty(), errors, effective: Vec::new() };
    let mut servers = Vec::new();
    for directive in &directives {
        match directive.name.as_str() {
            "server" => servers.push(parse_server(&mut parser, directive)),
            other => parser.report_error(directive.position, format!("expected server, not {other}")),
        }
    }
    check_servers(&mut parser, &servers, &config.kinds, &config.zones);
    if servers.is_empty() {
        parser.report_missing(FILE_START, "expected at least one server");
    }
    if parser.errors.is_empty() { Ok(servers) } else { Err(ConfigErrors(parser.errors)) }
}
