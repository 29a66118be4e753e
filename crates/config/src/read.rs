//! Directives to the typed configuration, with all errors of a file in one go.

use std::net::SocketAddr;

use elderstage_protocol::place::Place;

use crate::lines::{At, ConfigError, Directive, Errors, closest_name, parse_with_recovery};
use crate::model::*;

/// What may stand outside of sections.
const SECTIONS: [&str; 11] = [
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
/// The beginning of the first file, for what is missing.
const FIRST: At = At { file: 0, line: 1, column: 1, start: 0, end: 0 };

/// Addresses of one server: more than a box has ways in.
const MOST_PLACES: usize = 8;

/// Gathers what is wrong, and reads values with a word on what was expected.
struct Reader<'a> {
    /// Names of the files, by their numbers.
    files: &'a [String],
    errors: Vec<ConfigError>,
    effective: Vec<Effective>,
    /// Some lines could not be read: what is missing may stand in them.
    torn: bool,
}

/// One value that acts, and where it was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effective {
    /// Such as `front` or `class ask`.
    pub section: String,
    pub name: String,
    pub value: String,
    /// None for a default.
    pub at: Option<At>,
}

/// The directives of one section, each taken at most once.
struct Section<'a> {
    at: At,
    name: String,
    /// As it is called in what acts.
    title: String,
    directives: Vec<Option<&'a Directive>>,
    /// Names that it may have.
    known: Vec<&'static str>,
}

fn title(directive: &Directive) -> String {
    let words: Vec<&str> =
        [directive.name.as_str()].into_iter().chain(directive.values.iter().map(String::as_str)).collect();
    words.join(" ")
}

/// A section that is not there: all its values are defaults.
fn empty(name: &str) -> Directive {
    Directive {
        at: FIRST,
        name: name.into(),
        values: Vec::new(),
        value_positions: Vec::new(),
        body: Some(Vec::new()),
    }
}

impl Reader<'_> {
    fn wrong(&mut self, at: At, what: impl Into<String>) {
        let file = self.files.get(at.file).map_or("", String::as_str);
        self.errors.push(ConfigError::new(file, at, what));
    }

    /// Something is not there.
    fn missing(&mut self, at: At, what: impl Into<String>) {
        if !self.torn {
            self.wrong(at, what);
        }
    }

    /// With the name that may have been meant.
    fn wrong_name<'a>(
        &mut self,
        at: At,
        what: impl Into<String>,
        name: &str,
        of: impl Iterator<Item = &'a str>,
    ) {
        let before = self.errors.len();
        self.missing(at, what);
        if let Some(error) = self.errors.get_mut(before) {
            error.suggestion = closest_name(name, of);
        }
    }

    fn acts(&mut self, section: &Section<'_>, name: &str, value: String, at: Option<At>) {
        self.effective.push(Effective { section: section.title.clone(), name: name.into(), value, at });
    }

    fn section<'a>(&mut self, directive: &'a Directive, named: bool) -> Section<'a> {
        let wanted = usize::from(named);
        if directive.values.len() != wanted {
            let what = if named { "one name and {" } else { "{ and no name" };
            self.wrong(directive.at, format!("expected {} {what}", directive.name));
        }
        let body = match &directive.body {
            Some(body) => body.iter().map(Some).collect(),
            None => {
                self.wrong(directive.at, format!("expected {{ after {}", directive.name));
                Vec::new()
            }
        };
        let name = directive.values.first().cloned().unwrap_or_default();
        Section { at: directive.at, title: title(directive), name, directives: body, known: Vec::new() }
    }

    /// The values of a directive; `None` where it is not given.
    fn take<'a>(&mut self, section: &mut Section<'a>, name: &'static str) -> Option<&'a Directive> {
        section.known.push(name);
        let mut found: Option<&'a Directive> = None;
        for slot in &mut section.directives {
            if slot.is_some_and(|d| d.name == name) {
                let directive = slot.take()?;
                match found {
                    Some(first) => {
                        let what = format!("{name} stands already on line {}", first.at.line);
                        self.wrong(directive.at, what);
                    }
                    None => found = Some(directive),
                }
            }
        }
        if let Some(directive) = found
            && directive.body.is_some()
        {
            self.wrong(directive.at, format!("{name} takes no {{"));
        }
        found
    }

    /// One value, read by `read`; `default` where it is not given, an error where there is none.
    fn one<T>(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: Option<&str>,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
        stand_in: T,
    ) -> T {
        let Some(directive) = self.take(section, name) else {
            let Some(default) = default else {
                self.missing(section.at, format!("expected {name} in section \"{}\"", section.name));
                return stand_in;
            };
            self.acts(section, name, default.into(), None);
            return read(default).unwrap_or(stand_in);
        };
        let value = match directive.values.as_slice() {
            [value] => read(value),
            _ => None,
        };
        let got = directive.values.join(" ");
        if value.is_none() {
            self.wrong(directive.value_position(0), format!("{name}: expected {expected}, not \"{got}\""));
        }
        self.acts(section, name, got, Some(directive.at));
        value.unwrap_or(stand_in)
    }

    fn time(&mut self, section: &mut Section<'_>, name: &'static str, default: Option<&str>) -> Micros {
        self.one(section, name, default, "a time such as 300ms or 2s", time, 1)
    }

    fn number(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: Option<f64>,
        range: (f64, f64),
    ) -> f64 {
        let expected = format!("a number from {} to {}", range.0, range.1);
        let read = |text: &str| number(text).filter(|n| *n >= range.0 && *n <= range.1);
        let default = default.map(|value| value.to_string());
        self.one(section, name, default.as_deref(), &expected, read, range.0)
    }

    fn text(&mut self, section: &mut Section<'_>, name: &'static str, default: Option<&str>) -> String {
        let read = |text: &str| Some(text.to_owned());
        self.one(section, name, default, "one word or quoted text", read, String::new())
    }

    fn addr(&mut self, section: &mut Section<'_>, name: &'static str, default: Option<&str>) -> SocketAddr {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let expected = "an address and port such as 127.0.0.1:8000";
        self.one(section, name, default, expected, |text| text.parse().ok(), nowhere)
    }

    /// One or more addresses, in the order of preference.
    fn places(&mut self, section: &mut Section<'_>, name: &'static str) -> Vec<Place> {
        let Some(directive) = self.take(section, name) else {
            self.missing(section.at, format!("expected {name} in section \"{}\"", section.name));
            return Vec::new();
        };
        if directive.values.is_empty() || directive.values.len() > MOST_PLACES {
            let what = format!("{name}: expected from 1 to {MOST_PLACES} addresses");
            self.wrong(directive.at, what);
        }
        let mut places: Vec<Place> = Vec::new();
        for (index, value) in directive.values.iter().enumerate() {
            let number = index + 1;
            match value.parse::<Place>() {
                Ok(place) => match places.iter().position(|other| *other == place) {
                    Some(first) => {
                        let what = format!(
                            "{name}: value {number}: \"{value}\" stands already as value {}",
                            first + 1
                        );
                        self.wrong(directive.value_position(index), what);
                    }
                    None => places.push(place),
                },
                Err(error) => {
                    self.wrong(
                        directive.value_position(index),
                        format!("{name}: value {number}: \"{value}\": {error}"),
                    );
                }
            }
        }
        self.acts(section, name, directive.values.join(" "), Some(directive.at));
        places
    }

    fn yes(&mut self, section: &mut Section<'_>, name: &'static str, default: bool) -> bool {
        let read = |text: &str| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        };
        self.one(section, name, Some(if default { "yes" } else { "no" }), "yes or no", read, false)
    }

    fn finish(&mut self, section: Section<'_>) {
        for directive in section.directives.into_iter().flatten() {
            let what = format!("unknown directive {} in section \"{}\"", directive.name, section.name);
            self.wrong(directive.at, what);
            if let Some(error) = self.errors.last_mut() {
                error.suggestion = closest_name(&directive.name, section.known.iter().copied());
            }
        }
    }
}

/// `300ms`, `2s`, `500us`, `1m`; the unit is required, since a bare number says too little.
pub fn time(text: &str) -> Option<Micros> {
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

/// `20`, `0.5`, `160k`, `1M`.
pub fn number(text: &str) -> Option<f64> {
    let (digits, unit) = match text.strip_suffix('k') {
        Some(digits) => (digits, 1e3),
        None => text.strip_suffix('M').map_or((text, 1.0), |digits| (digits, 1e6)),
    };
    digits.parse::<f64>().ok().filter(|v| v.is_finite()).map(|v| v * unit)
}

/// `http://127.0.0.1:9000/mcp`.
fn url(text: &str) -> Option<(SocketAddr, String)> {
    let rest = text.strip_prefix("http://")?;
    let (addr, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = if path.is_empty() { "/" } else { path };
    let clean = path.bytes().all(|b| b.is_ascii_graphic());
    Some((addr.parse().ok()?, path.to_owned())).filter(|_| clean)
}

fn repeat(reader: &mut Reader<'_>, section: &mut Section<'_>) -> RepeatName {
    let expected = "repeat: expected safe, unsafe, or keyed with all, zone or cell and a time";
    let Some(directive) = reader.take(section, "repeat") else {
        reader.missing(section.at, format!("expected repeat in section \"{}\"", section.name));
        return RepeatName::Unsafe;
    };
    let words: Vec<&str> = directive.values.iter().map(String::as_str).collect();
    let group = |word: &str| match word {
        "all" => Some(GroupName::All),
        "zone" => Some(GroupName::Zone),
        "cell" => Some(GroupName::Cell),
        _ => None,
    };
    let read = match words.as_slice() {
        ["safe"] => Some(RepeatName::Safe),
        ["unsafe"] => Some(RepeatName::Unsafe),
        ["keyed", of, memory] => {
            group(of).zip(time(memory)).map(|(group, memory)| RepeatName::Keyed { group, memory })
        }
        _ => None,
    };
    read.unwrap_or_else(|| {
        reader.wrong(directive.at, expected);
        RepeatName::Unsafe
    })
}

fn class(reader: &mut Reader<'_>, directive: &Directive) -> ClassConfig {
    let before = reader.errors.len();
    let mut section = reader.section(directive, true);
    let s = &mut section;
    let repeat = repeat(reader, s);
    let first_token = reader.time(s, "first-token", None);
    let give_up = reader.time(s, "give-up", None);
    let class = ClassConfig {
        at: directive.at,
        name: s.name.clone(),
        repeat,
        first_token,
        first_token_per_1000: reader.time(s, "first-token-per-1000", Some("0ms")),
        token_gap: reader.time(s, "token-gap", Some("60ms")),
        give_up,
        give_up_per_1000: reader.time(s, "give-up-per-1000", Some("0ms")),
        total: reader.time(s, "total", Some("120s")),
        worth: reader.number(s, "worth", Some(1.0), (0.0, 1e6)),
        late_worth: reader.number(s, "late-worth", Some(0.1), (0.0, 1.0)),
    };
    // Values that could not be read are told already, and say nothing of each other.
    let readable = reader.errors.len() == before;
    if readable && (class.first_token == 0 || class.give_up < class.first_token) {
        reader.wrong(directive.at, "expected first-token above 0 and no longer than give-up");
    }
    if readable && class.total < class.give_up {
        reader.wrong(directive.at, "expected total to be no shorter than give-up");
    }
    reader.finish(section);
    class
}

fn tool(reader: &mut Reader<'_>, directive: &Directive) -> ToolConfig {
    let mut section = reader.section(directive, true);
    let s = &mut section;
    let nowhere = (SocketAddr::from(([0, 0, 0, 0], 0)), String::new());
    let expected = "a URL such as http://127.0.0.1:9000/mcp";
    let (addr, path) = reader.one(s, "url", None, expected, url, nowhere);
    let read = |text: &str| match text {
        "none" => Some(false),
        "lasting" => Some(true),
        _ => None,
    };
    let tool = ToolConfig {
        at: directive.at,
        name: s.name.clone(),
        addr,
        path,
        effect: reader.one(s, "effect", None, "none or lasting", read, true),
        timeout: reader.time(s, "timeout", Some("5s")),
        tries: reader.number(s, "tries", Some(2.0), (1.0, 10.0)) as u32,
    };
    reader.finish(section);
    tool
}

fn route(reader: &mut Reader<'_>, directive: &Directive) -> RouteConfig {
    let mut section = reader.section(directive, true);
    let s = &mut section;
    let tools = reader.take(s, "tools").map(|d| d.values.clone()).unwrap_or_default();
    let name = s.name.clone();
    let route = RouteConfig {
        at: directive.at,
        class: reader.text(s, "class", None),
        description: reader.text(s, "description", Some(&format!("Answers a prompt on route {name}."))),
        model: reader.text(s, "model", Some(&name)),
        tools,
        preamble: reader.text(s, "preamble", Some("")),
        max_tokens: reader.number(s, "max-tokens", Some(512.0), (1.0, 1e6)) as u32,
        most_turns: reader.number(s, "most-turns", Some(4.0), (1.0, 64.0)) as u32,
        name,
    };
    reader.finish(section);
    route
}

fn kind(reader: &mut Reader<'_>, directive: &Directive) -> KindConfig {
    let mut section = reader.section(directive, true);
    let s = &mut section;
    let read = |text: &str| match text {
        "prefill" => Some(RoleName::Prefill),
        "decode" => Some(RoleName::Decode),
        "mixed" => Some(RoleName::Mixed),
        _ => None,
    };
    let proof = |text: &str| match text {
        "continue" => Some(ProofName::Continue),
        "health" => Some(ProofName::Health),
        "none" => Some(ProofName::None),
        _ => None,
    };
    let expected = "continue, health or none";
    let kind = KindConfig {
        at: directive.at,
        name: s.name.clone(),
        role: reader.one(s, "role", None, "prefill, decode or mixed", read, RoleName::Mixed),
        kv_tokens: reader.number(s, "kv-tokens", None, (1.0, 1e12)),
        proof: reader.one(s, "proof", Some("continue"), expected, proof, ProofName::None),
    };
    reader.finish(section);
    kind
}

fn server(reader: &mut Reader<'_>, directive: &Directive) -> ServerConfig {
    let mut section = reader.section(directive, true);
    let s = &mut section;
    let read = |text: &str| match text {
        "running" => Some(StateName::Running),
        "draining" => Some(StateName::Draining),
        "gone" => Some(StateName::Gone),
        _ => None,
    };
    let expected = "running, draining or gone";
    let server = ServerConfig {
        at: directive.at,
        name: s.name.clone(),
        places: reader.places(s, "address"),
        kind: reader.text(s, "kind", None),
        zone: reader.text(s, "zone", None),
        cell: reader.number(s, "cell", Some(0.0), (0.0, 1e6)) as u32,
        weight: reader.number(s, "weight", Some(1.0), (0.001, 1e6)),
        state: reader.one(s, "state", Some("running"), expected, read, StateName::Running),
        started: reader.number(s, "started", Some(0.0), (0.0, 1e12)),
    };
    reader.finish(section);
    server
}

fn share(reader: &mut Reader<'_>, directive: &Directive, index: usize) -> f64 {
    let value = directive.values.get(index).and_then(|text| number(text)).filter(|n| (0.0..=1.0).contains(n));
    value.unwrap_or_else(|| {
        let what = format!("{}: expected a share from 0 to 1 as value {}", directive.name, index + 1);
        reader.wrong(directive.value_position(index), what);
        0.0
    })
}

fn expect(reader: &mut Reader<'_>, directive: &Directive) -> ExpectConfig {
    let mut section = reader.section(directive, true);
    let s = &mut section;
    let mut wants = Vec::new();
    if let Some(d) = reader.take(s, "never") {
        wants.push(Want::Never(d.values.clone()));
    }
    if let Some(d) = reader.take(s, "attempts") {
        match d.values.as_slice() {
            [most] if most.parse::<u32>().is_ok_and(|most| most > 0) => {
                wants.push(Want::Attempts(most.parse().unwrap_or(1)));
            }
            _ => reader.wrong(d.value_position(0), "attempts: expected a number from 1"),
        }
    }
    if let Some(d) = reader.take(s, "served") {
        let least = share(reader, d, 0);
        wants.push(Want::Served(least));
    }
    if let Some(d) = reader.take(s, "answered-within") {
        match d.values.first().and_then(|text| time(text)) {
            Some(longest) => wants.push(Want::AnsweredWithin(longest)),
            None => reader.wrong(d.value_position(0), "answered-within: expected a time such as 300ms or 2s"),
        }
    }
    if let Some(d) = reader.take(s, "share") {
        let server = d.values.first().cloned().unwrap_or_default();
        let (low, high) = (share(reader, d, 1), share(reader, d, 2));
        if low > high {
            reader.wrong(d.value_position(1), "share: expected the lower bound first");
        }
        wants.push(Want::Share { server, low, high });
    }
    if wants.is_empty() {
        let what = "expected never, attempts, served, answered-within or share: this expects nothing";
        reader.missing(directive.at, what);
    }
    let mut names = |name| reader.take(s, name).map(|d| d.values.clone()).unwrap_or_default();
    let (down, draining, full) = (names("down"), names("draining"), names("full"));
    let expect = ExpectConfig {
        at: directive.at,
        name: s.name.clone(),
        route: reader.text(s, "route", None),
        requests: reader.number(s, "requests", Some(200.0), (1.0, 100_000.0)) as u64,
        rate: reader.number(s, "rate", Some(20.0), (0.1, 100_000.0)),
        prompt: reader.number(s, "prompt", Some(2000.0), (1.0, 1e7)) as usize,
        down,
        draining,
        full,
        wants,
    };
    reader.finish(section);
    expect
}

/// What expectations name must be there: one about a server that is gone says nothing.
fn check_expects(
    r: &mut Reader<'_>,
    expects: &[ExpectConfig],
    routes: &[RouteConfig],
    servers: Option<&[ServerConfig]>,
) {
    unique(r, "expect", expects.iter().map(|e| (e.at, e.name.as_str())));
    for expect in expects {
        if !routes.iter().any(|route| route.name == expect.route) {
            let what = format!("expect {}: no route is called {}", expect.name, expect.route);
            r.wrong_name(expect.at, what, &expect.route, routes.iter().map(|route| route.name.as_str()));
        }
        let Some(servers) = servers else { continue };
        let mut named: Vec<&String> =
            expect.down.iter().chain(&expect.draining).chain(&expect.full).collect();
        for want in &expect.wants {
            match want {
                Want::Never(servers) => named.extend(servers),
                Want::Share { server, .. } => named.push(server),
                _ => {}
            }
        }
        for name in named {
            if !servers.iter().any(|server| server.name == *name) {
                let what = format!("expect {}: no server is called {name}", expect.name);
                r.wrong_name(expect.at, what, name, servers.iter().map(|server| server.name.as_str()));
            }
        }
    }
}

fn connections(reader: &mut Reader<'_>, directive: Option<&Directive>) -> ConnectionsConfig {
    let empty = empty("connections");
    let mut section = reader.section(directive.unwrap_or(&empty), false);
    let s = &mut section;
    s.name = "connections".into();
    let connections = ConnectionsConfig {
        dials_per_s: reader.number(s, "dials-per-second", Some(200.0), (1.0, 1e6)),
        dials_at_once: reader.number(s, "dials-at-once", Some(100.0), (1.0, 1e6)),
        per_server: reader.number(s, "per-server", Some(512.0), (1.0, 1e6)) as usize,
        in_all: reader.number(s, "in-all", Some(8192.0), (1.0, 1e6)) as usize,
        idle_each: reader.number(s, "idle-per-address", Some(64.0), (0.0, 1e6)) as usize,
        idle: reader.time(s, "idle", Some("20s")),
        age: reader.time(s, "age", Some("600s")),
        uses: reader.number(s, "uses", Some(10_000.0), (1.0, 1e9)) as u32,
    };
    reader.finish(section);
    connections
}

fn front(reader: &mut Reader<'_>, directive: &Directive) -> FrontConfig {
    let mut section = reader.section(directive, false);
    let s = &mut section;
    s.name = "front".into();
    let front = FrontConfig {
        listen: reader.addr(s, "listen", Some("127.0.0.1:7080")),
        name: reader.text(s, "name", Some("front")),
        zone: reader.text(s, "zone", None),
        number: reader.number(s, "number", Some(0.0), (0.0, 1e6)) as u32,
        fronts: reader.number(s, "fronts", Some(1.0), (1.0, 1e6)) as u32,
        workers: reader.number(s, "workers", Some(2.0), (1.0, 1024.0)) as usize,
        most_requests: reader.number(s, "most-requests", Some(20_000.0), (1.0, 1e6)) as usize,
        idle: reader.time(s, "idle", Some("60s")),
        stall: reader.time(s, "stall", Some("10s")),
        send_buffer: reader.number(s, "send-buffer", Some(262_144.0), (4096.0, 1e8)) as usize,
        head: reader.number(s, "head", Some(16_384.0), (1024.0, 1e6)) as usize,
        body: reader.number(s, "body", Some(1_048_576.0), (1024.0, 1e9)) as usize,
        answer: reader.number(s, "answer", Some(1_048_576.0), (1024.0, 1e9)) as usize,
        drain: reader.time(s, "drain", Some("30s")),
    };
    reader.finish(section);
    front
}

fn rules(reader: &mut Reader<'_>, directive: Option<&Directive>) -> RulesConfig {
    let empty = empty("rules");
    let mut section = reader.section(directive.unwrap_or(&empty), false);
    let s = &mut section;
    s.name = "rules".into();
    let rules = RulesConfig {
        answer_slack: reader.time(s, "answer-slack", Some("50ms")),
        drain_grace: reader.time(s, "drain-grace", Some("2s")),
        let_go: reader.time(s, "let-go", Some("300ms")),
        cold_from: reader.number(s, "cold-from", Some(0.3), (0.01, 1.0)),
        cold_for: reader.time(s, "cold-for", Some("12s")),
        fall_multiple: reader.number(s, "fall-multiple", Some(4.0), (1.0, 1000.0)),
        tip_after: reader.time(s, "tip-after", Some("2s")),
        most_tries: reader.number(s, "most-tries", Some(4.0), (1.0, 100.0)) as u32,
        connect: reader.time(s, "connect", Some("250ms")),
        retry_after: reader.time(s, "retry-after", Some("500ms")),
        writers_read: reader.yes(s, "writers-read", true),
        probes: reader.yes(s, "probes", true),
        reports_in_answers: reader.yes(s, "reports-in-answers", true),
    };
    reader.finish(section);
    rules
}

fn unique<'a>(reader: &mut Reader<'_>, what: &str, names: impl Iterator<Item = (At, &'a str)>) {
    let mut seen = std::collections::BTreeMap::new();
    for (at, name) in names {
        if let Some(first) = seen.insert(name, at) {
            reader.wrong(at, format!("{what} {name} stands already on line {}", first.line));
        }
    }
}

/// Checks servers against the kinds and zones that they name.
fn check_servers(reader: &mut Reader<'_>, servers: &[ServerConfig], kinds: &[KindConfig], zones: &[String]) {
    unique(reader, "server", servers.iter().map(|s| (s.at, s.name.as_str())));
    for server in servers {
        // It stands in headers, metrics and logs.
        if server.name.is_empty() || !server.name.bytes().all(|b| b.is_ascii_graphic() && b != b'"') {
            let what = format!("server \"{}\": expected a name without spaces or quotes", server.name);
            reader.wrong(server.at, what);
        }
        if !kinds.iter().any(|kind| kind.name == server.kind) {
            let what = format!("server {}: no kind is called {}", server.name, server.kind);
            reader.wrong_name(server.at, what, &server.kind, kinds.iter().map(|kind| kind.name.as_str()));
        }
        if !zones.contains(&server.zone) {
            let what = format!("server {}: no zone is called {}", server.name, server.zone);
            reader.wrong_name(server.at, what, &server.zone, zones.iter().map(String::as_str));
        }
    }
}

/// Reads a whole configuration of one file. `file` is its name in messages.
pub fn parse(file: &str, text: &str) -> Result<Config, Errors> {
    let (all, errors) = parse_with_recovery(0, file, text);
    read(&[file.to_owned()], &all, errors).map(|(config, _)| config)
}

/// Makes directives into a configuration, with the values that act. `errors` are those of reading the lines: with
/// them, only what is there is told wrong, and not what may stand in a line that could not be read.
pub(crate) fn read(
    files: &[String],
    all: &[Directive],
    errors: Vec<ConfigError>,
) -> Result<(Config, Vec<Effective>), Errors> {
    let mut reader = Reader { files, torn: !errors.is_empty(), errors, effective: Vec::new() };
    let r = &mut reader;
    let (mut fronts, mut rule_sections, mut zones) = (Vec::new(), Vec::new(), Vec::new());
    let mut connection_sections = Vec::new();
    let mut expects = Vec::new();
    let (mut classes, mut tools, mut routes) = (Vec::new(), Vec::new(), Vec::new());
    let (mut kinds, mut servers, mut files) = (Vec::new(), Vec::new(), Vec::new());
    for directive in all {
        match directive.name.as_str() {
            "front" => fronts.push(directive),
            "rules" => rule_sections.push(directive),
            "connections" => connection_sections.push(directive),
            "expect" => expects.push(expect(r, directive)),
            "zones" => zones.extend(directive.values.iter().cloned()),
            "class" => classes.push(class(r, directive)),
            "tool" => tools.push(tool(r, directive)),
            "route" => routes.push(route(r, directive)),
            "kind" => kinds.push(kind(r, directive)),
            "server" => servers.push(server(r, directive)),
            "servers" => match directive.values.as_slice() {
                [path] => files.push((directive.at, path.clone())),
                _ => r.wrong(directive.at, "servers: expected the path of a file"),
            },
            other => {
                let what = format!("unknown directive {other}");
                r.wrong_name(directive.at, what, other, SECTIONS.iter().copied());
            }
        }
    }
    let doubled = [&fronts, &rule_sections, &connection_sections].map(|list| list.iter().skip(1));
    for doubled in doubled.into_iter().flatten() {
        r.wrong(doubled.at, format!("{} stands already in this file", doubled.name));
    }
    if let Some((at, _)) = files.get(1) {
        r.wrong(*at, "servers stands already in this file");
    }
    let front = match fronts.first() {
        Some(directive) => Some(front(r, directive)),
        None => {
            r.missing(FIRST, "expected a front section");
            None
        }
    };
    let rules = rules(r, rule_sections.first().copied());
    let connections = connections(r, connection_sections.first().copied());
    check(r, front.as_ref(), &zones, &classes, &tools, &routes, &kinds);
    check_servers(r, &servers, &kinds, &zones);
    // A followed list is known only where it is read.
    check_expects(r, &expects, &routes, files.is_empty().then_some(servers.as_slice()));
    let servers_file = files.into_iter().next().map(|(_, path)| path);
    if servers.is_empty() && servers_file.is_none() {
        r.missing(FIRST, "expected a server, or servers with the path of a file");
    }
    let (mut errors, effective) = (reader.errors, reader.effective);
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
                expects,
            };
            Ok((config, effective))
        }
        _ => {
            errors.sort_by_key(|error| (error.at.file, error.at.line, error.at.column));
            Err(Errors(errors))
        }
    }
}

/// What names another thing must name one that is there, and what would break a rule is refused.
fn check(
    r: &mut Reader<'_>,
    front: Option<&FrontConfig>,
    zones: &[String],
    classes: &[ClassConfig],
    tools: &[ToolConfig],
    routes: &[RouteConfig],
    kinds: &[KindConfig],
) {
    unique(r, "class", classes.iter().map(|c| (c.at, c.name.as_str())));
    unique(r, "tool", tools.iter().map(|t| (t.at, t.name.as_str())));
    unique(r, "route", routes.iter().map(|t| (t.at, t.name.as_str())));
    unique(r, "kind", kinds.iter().map(|k| (k.at, k.name.as_str())));
    for (what, empty) in
        [("class", classes.is_empty()), ("route", routes.is_empty()), ("kind", kinds.is_empty())]
    {
        if empty {
            r.missing(FIRST, format!("expected at least one {what}"));
        }
    }
    if zones.is_empty() {
        r.missing(FIRST, "expected zones with at least one name");
    }
    if let Some(front) = front
        && !zones.contains(&front.zone)
    {
        r.missing(FIRST, format!("front: no zone is called {}", front.zone));
    }
    if let Some(front) = front
        && front.number >= front.fronts
    {
        r.missing(FIRST, "front: expected number to be below fronts");
    }
    for route in routes {
        let class = classes.iter().find(|class| class.name == route.class);
        if class.is_none() {
            let what = format!("route {}: no class is called {}", route.name, route.class);
            r.wrong_name(route.at, what, &route.class, classes.iter().map(|class| class.name.as_str()));
        }
        for name in &route.tools {
            match tools.iter().find(|tool| tool.name == *name) {
                None => {
                    let what = format!("route {}: no tool is called {name}", route.name);
                    r.wrong_name(route.at, what, name, tools.iter().map(|tool| tool.name.as_str()));
                }
                // A safe request may run again, and would call the tool again.
                Some(tool) if tool.effect && class.is_some_and(|c| c.repeat == RepeatName::Safe) => {
                    let what = format!(
                        "route {}: tool {name} has a lasting effect, and class {} is safe to repeat",
                        route.name, route.class
                    );
                    r.wrong(route.at, what);
                }
                Some(_) => {}
            }
        }
    }
}

/// Reads a file of servers, checked against the configuration it belongs to.
pub fn parse_servers(file: &str, text: &str, config: &Config) -> Result<Vec<ServerConfig>, Errors> {
    let (all, errors) = parse_with_recovery(0, file, text);
    let files = [file.to_owned()];
    let mut reader = Reader { files: &files, torn: !errors.is_empty(), errors, effective: Vec::new() };
    let mut servers = Vec::new();
    for directive in &all {
        match directive.name.as_str() {
            "server" => servers.push(server(&mut reader, directive)),
            other => reader.wrong(directive.at, format!("expected server, not {other}")),
        }
    }
    check_servers(&mut reader, &servers, &config.kinds, &config.zones);
    if servers.is_empty() {
        reader.missing(FIRST, "expected at least one server");
    }
    if reader.errors.is_empty() { Ok(servers) } else { Err(Errors(reader.errors)) }
}
