//! Takes values out of sections, and collects the errors and the effective values.

use std::net::SocketAddr;

use elderstage_protocol::place::Endpoint;

use super::EffectiveValue;
use super::values::{parse_number, parse_time};
use crate::lines::{ConfigError, Directive, Position, closest_name};
use crate::model::*;

/// The start of the first file: the position of errors about something that is missing.
pub(super) const FILE_START: Position = Position { file: 0, line: 1, column: 1, start: 0, end: 0 };

/// Maximum number of addresses of one server. A machine has fewer ways to be reached.
pub(super) const MAX_SERVER_ADDRESSES: usize = 8;

/// Parses sections and values, and collects the errors and the effective values.
pub(super) struct ConfigParser<'a> {
    /// Names of the files, by file index.
    pub(super) files: &'a [String],
    pub(super) errors: Vec<ConfigError>,
    pub(super) effective: Vec<EffectiveValue>,
    /// Whether some lines had syntax errors. Something that seems to be missing may be on such a line.
    pub(super) has_syntax_errors: bool,
}

/// The directives of one section. Each is taken at most once; those that remain are unknown.
pub(super) struct Section<'a> {
    pub(super) at: Position,
    pub(super) name: String,
    /// Name of the section among the effective values, such as `class ask`.
    pub(super) title: String,
    pub(super) directives: Vec<Option<&'a Directive>>,
    /// Names of the directives that the section may have.
    pub(super) known_directives: Vec<&'static str>,
}

/// The title of a section: its keyword and its name.
pub(super) fn section_title(directive: &Directive) -> String {
    let words: Vec<&str> =
        [directive.name.as_str()].into_iter().chain(directive.values.iter().map(String::as_str)).collect();
    words.join(" ")
}

/// Stands for a section that is not in the file: all its values are defaults.
pub(super) fn empty_section(name: &str) -> Directive {
    Directive {
        position: FILE_START,
        name: name.into(),
        values: Vec::new(),
        value_positions: Vec::new(),
        body: Some(Vec::new()),
    }
}

impl ConfigParser<'_> {
    pub(super) fn report_error(&mut self, at: Position, what: impl Into<String>) {
        let file = self.files.get(at.file).map_or("", String::as_str);
        self.errors.push(ConfigError::new(file, at, what));
    }

    /// Reports that something is missing, unless it may be on a line with a syntax error.
    pub(super) fn report_missing(&mut self, at: Position, what: impl Into<String>) {
        if !self.has_syntax_errors {
            self.report_error(at, what);
        }
    }

    /// Reports an unknown name, with the known name that is most similar to it.
    pub(super) fn report_unknown_name<'a>(
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

    pub(super) fn record_effective_value(
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
    pub(super) fn open_section<'a>(&mut self, directive: &'a Directive, has_name: bool) -> Section<'a> {
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
    pub(super) fn take_directive<'a>(
        &mut self,
        section: &mut Section<'a>,
        name: &'static str,
    ) -> Option<&'a Directive> {
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
    pub(super) fn parse_value<T>(
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

    pub(super) fn parse_time(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: Option<&str>,
    ) -> Micros {
        self.parse_value(section, name, default, "a time such as 300ms or 2s", parse_time, 1)
    }

    pub(super) fn parse_number(
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

    pub(super) fn parse_text(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: Option<&str>,
    ) -> String {
        let parse = |text: &str| Some(text.to_owned());
        self.parse_value(section, name, default, "one word or quoted text", parse, String::new())
    }

    pub(super) fn parse_address(
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
    pub(super) fn parse_server_addresses(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
    ) -> Vec<Endpoint> {
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

    pub(super) fn parse_bool(
        &mut self,
        section: &mut Section<'_>,
        name: &'static str,
        default: bool,
    ) -> bool {
        let parse = |text: &str| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        };
        self.parse_value(section, name, Some(if default { "yes" } else { "no" }), "yes or no", parse, false)
    }

    /// Reports every directive that was not taken as unknown.
    pub(super) fn finish_section(&mut self, section: Section<'_>) {
        for directive in section.directives.into_iter().flatten() {
            let what = format!("unknown directive {} in section \"{}\"", directive.name, section.name);
            self.report_error(directive.position, what);
            if let Some(error) = self.errors.last_mut() {
                error.suggestion = closest_name(&directive.name, section.known_directives.iter().copied());
            }
        }
    }
}
