//! Parses the directives of scripts, which are written in the syntax of the configuration.

use std::time::Duration;

use elderstage_config::{ConfigError, ConfigErrors, Directive, Position, parse_number, parse_time};

/// Reads the values of directives and collects all errors, so that a script is reported on in one go.
pub(crate) struct ScriptParser<'a> {
    file: &'a str,
    errors: Vec<ConfigError>,
}

impl<'a> ScriptParser<'a> {
    /// A parser without errors so far. `file` is its name in error messages.
    pub(crate) fn new(file: &'a str) -> ScriptParser<'a> {
        ScriptParser { file, errors: Vec::new() }
    }

    /// Adds an error.
    pub(crate) fn add_error(&mut self, at: Position, message: impl Into<String>) {
        self.errors.push(ConfigError::new(self.file, at, message));
    }

    /// The value at `index` as a number that is not negative, or 0 with an error.
    pub(crate) fn number(&mut self, directive: &Directive, index: usize) -> f64 {
        match directive.values.get(index).and_then(|text| parse_number(text)) {
            Some(value) if value >= 0.0 => value,
            _ => {
                let message = format!("{}: expected a number as value {}", directive.name, index + 1);
                self.add_error(directive.position, message);
                0.0
            }
        }
    }

    /// The value at `index` as a time in microseconds, or 0 with an error.
    pub(crate) fn time(&mut self, directive: &Directive, index: usize) -> u64 {
        match directive.values.get(index).and_then(|text| parse_time(text)) {
            Some(value) => value,
            None => {
                let message = format!("{}: expected a time as value {}", directive.name, index + 1);
                self.add_error(directive.position, message);
                0
            }
        }
    }

    /// The value at `index`, or an empty string with an error.
    pub(crate) fn word(&mut self, directive: &Directive, index: usize) -> String {
        match directive.values.get(index) {
            Some(word) => word.clone(),
            None => {
                let message = format!("{}: expected a word as value {}", directive.name, index + 1);
                self.add_error(directive.position, message);
                String::new()
            }
        }
    }

    /// Parses `at 2s hang w1 for 3s`: adds the step, and the step that ends it if there is one. `parse_step` parses the words
    /// between.
    pub(crate) fn timed_step<S>(
        &mut self,
        directive: &Directive,
        parse_step: impl Fn(&[&str]) -> Option<(S, Option<S>)>,
        steps: &mut Vec<(Duration, S)>,
    ) {
        let start = self.time(directive, 0);
        let mut words: Vec<&str> = directive.values.iter().skip(1).map(String::as_str).collect();
        let mut duration = None;
        if let [.., "for", time] = words.as_slice() {
            duration = parse_time(time);
            if duration.is_none() {
                self.add_error(directive.position, "at: expected a time after for");
            }
            words.truncate(words.len() - 2);
        }
        let Some((step, end_step)) = parse_step(&words) else {
            let message = format!("at: expected a step, found \"{}\"", words.join(" "));
            return self.add_error(directive.position, message);
        };
        steps.push((Duration::from_micros(start), step));
        match (duration, end_step) {
            (Some(duration), Some(end_step)) => {
                steps.push((Duration::from_micros(start + duration), end_step))
            }
            (Some(_), None) => self.add_error(directive.position, "at: this step takes no duration (for)"),
            _ => {}
        }
    }

    /// The result of the script, or all errors in the order of their positions.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, ConfigErrors> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => {
                self.errors.sort_by_key(|error| (error.position.line, error.position.column));
                Err(ConfigErrors(self.errors))
            }
        }
    }
}
