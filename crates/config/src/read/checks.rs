//! Checks across sections: unique names, and references to names that exist.

use super::parser::{ConfigParser, FILE_START};
use crate::lines::Position;
use crate::model::*;

/// Reports each name that is defined more than once. `what` is the keyword of the section.
pub(super) fn check_unique<'a>(
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
pub(super) fn check_servers(
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

/// Checks that names are unique, that required sections exist, and that sections refer only to names that exist.
/// Refuses a tool with a lasting effect on a route whose requests are safe to repeat.
pub(super) fn check_references(
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
