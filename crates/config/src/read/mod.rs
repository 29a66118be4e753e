//! Builds the typed configuration from directives: checks names, values, defaults and references between sections.
//!
//! This module does not open files; see [`crate::source`]. All errors of a configuration are reported together, and a
//! configuration is returned only if there are none.

mod checks;
mod expectations;
mod parser;
mod sections;
mod values;

use crate::lines::{ConfigError, ConfigErrors, Directive, Position, parse_with_recovery};
use crate::model::*;

use checks::{check_references, check_servers};
use expectations::{check_expectations, parse_expectation};
use parser::{ConfigParser, FILE_START};
use sections::{
    parse_class, parse_connections, parse_front, parse_kind, parse_route, parse_rules, parse_server,
    parse_tool,
};

pub use values::{parse_number, parse_time};

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
    let mut parser = ConfigParser {
        files,
        has_syntax_errors: !syntax_errors.is_empty(),
        errors: syntax_errors,
        effective: Vec::new(),
    };
    let sections = Sections::collect(&mut parser, directives);
    sections.check_repeated(&mut parser);
    let front = match sections.front.first() {
        Some(directive) => Some(parse_front(&mut parser, directive)),
        None => {
            parser.report_missing(FILE_START, "expected a front section");
            None
        }
    };
    let rules = parse_rules(&mut parser, sections.rules.first().copied());
    let connections = parse_connections(&mut parser, sections.connections.first().copied());
    let Sections { zones, classes, tools, routes, kinds, servers, expectations, .. } = sections;
    check_references(&mut parser, front.as_ref(), &zones, &classes, &tools, &routes, &kinds);
    check_servers(&mut parser, &servers, &kinds, &zones);
    // The front reads a separate file of servers while it runs, so those servers are not known here.
    let known_servers = sections.server_files.is_empty().then_some(servers.as_slice());
    check_expectations(&mut parser, &expectations, &routes, known_servers);
    let servers_file = sections.server_files.into_iter().next().map(|(_, path)| path);
    if servers.is_empty() && servers_file.is_none() {
        parser.report_missing(FILE_START, "expected a server, or servers with the path of a file");
    }
    let (mut errors, effective) = (parser.errors, parser.effective);
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
                expectations,
            };
            Ok((config, effective))
        }
        _ => {
            errors.sort_by_key(|error| (error.position.file, error.position.line, error.position.column));
            Err(ConfigErrors(errors))
        }
    }
}

/// The sections of a configuration. Those that may occur once are parsed after all others were collected.
#[derive(Default)]
struct Sections<'a> {
    front: Vec<&'a Directive>,
    rules: Vec<&'a Directive>,
    connections: Vec<&'a Directive>,
    zones: Vec<String>,
    classes: Vec<ClassConfig>,
    tools: Vec<ToolConfig>,
    routes: Vec<RouteConfig>,
    kinds: Vec<KindConfig>,
    servers: Vec<ServerConfig>,
    /// Where `servers` is set, and the path.
    server_files: Vec<(Position, String)>,
    expectations: Vec<ExpectationConfig>,
}

impl<'a> Sections<'a> {
    /// Collects the sections, and reports directives that are unknown.
    fn collect(parser: &mut ConfigParser<'_>, directives: &'a [Directive]) -> Sections<'a> {
        let mut sections = Sections::default();
        for directive in directives {
            match directive.name.as_str() {
                "front" => sections.front.push(directive),
                "rules" => sections.rules.push(directive),
                "connections" => sections.connections.push(directive),
                "expect" => sections.expectations.push(parse_expectation(parser, directive)),
                "zones" => sections.zones.extend(directive.values.iter().cloned()),
                "class" => sections.classes.push(parse_class(parser, directive)),
                "tool" => sections.tools.push(parse_tool(parser, directive)),
                "route" => sections.routes.push(parse_route(parser, directive)),
                "kind" => sections.kinds.push(parse_kind(parser, directive)),
                "server" => sections.servers.push(parse_server(parser, directive)),
                "servers" => match directive.values.as_slice() {
                    [path] => sections.server_files.push((directive.position, path.clone())),
                    _ => parser.report_error(directive.position, "servers: expected the path of a file"),
                },
                other => {
                    let what = format!("unknown directive {other}");
                    let known = TOP_LEVEL_DIRECTIVES.iter().copied();
                    parser.report_unknown_name(directive.position, what, other, known);
                }
            }
        }
        sections
    }

    /// Reports sections that may occur once and occur again.
    fn check_repeated(&self, parser: &mut ConfigParser<'_>) {
        let repeated = [&self.front, &self.rules, &self.connections].map(|list| list.iter().skip(1));
        for section in repeated.into_iter().flatten() {
            let what = format!("{} is already defined in this file", section.name);
            parser.report_error(section.position, what);
        }
        if let Some((at, _)) = self.server_files.get(1) {
            parser.report_error(*at, "servers is already set in this file");
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
