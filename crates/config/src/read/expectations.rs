//! The expectations of a configuration.

use super::checks::check_unique;
use super::parser::ConfigParser;
use super::values::{parse_number, parse_time};
use crate::lines::Directive;
use crate::model::*;

pub(super) fn parse_share(parser: &mut ConfigParser<'_>, directive: &Directive, index: usize) -> f64 {
    let value =
        directive.values.get(index).and_then(|text| parse_number(text)).filter(|n| (0.0..=1.0).contains(n));
    value.unwrap_or_else(|| {
        let what = format!("{}: expected a share from 0 to 1 as value {}", directive.name, index + 1);
        parser.report_error(directive.value_position(index), what);
        0.0
    })
}

pub(super) fn parse_expectation(parser: &mut ConfigParser<'_>, directive: &Directive) -> ExpectationConfig {
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
pub(super) fn check_expectations(
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
