//! Loads configuration files with their includes, renders errors with the text that they refer to, and compares
//! configurations.
//!
//! This module resolves `include` only; the meaning of the other directives is in [`crate::read`]. The position of each
//! directive refers to the file that it was read from, included or not.

use std::fmt;
use std::path::{Path, PathBuf};

use ariadne::{Config as ReportConfig, IndexType, Label, Report, ReportKind, sources};

use crate::lines::{ConfigError, ConfigErrors, Directive, Position, parse_with_recovery};
use crate::model::Config;
use crate::read::{EffectiveValue, build_config};

/// Limits on nested includes and on files in total. A configuration that exceeds them is a mistake.
const MAX_INCLUDE_DEPTH: usize = 16;
const MAX_FILES: usize = 256;

/// The text of one configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Path of the file, as shown to the user.
    pub name: String,
    pub text: String,
}

/// A valid configuration, with its effective values and the files that it was read from.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    pub config: Config,
    pub effective: Vec<EffectiveValue>,
    /// All files, in the order in which they were read; [`Position::file`] is an index into them.
    pub files: Vec<SourceFile>,
}

/// The errors of a configuration, with the files that they refer to.
#[derive(Clone, Debug)]
pub struct LoadError {
    pub errors: ConfigErrors,
    pub files: Vec<SourceFile>,
}

impl fmt::Display for LoadError {
    /// Writes one line for each error: file, line, column, message.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.errors.fmt(f)
    }
}

impl std::error::Error for LoadError {}

impl LoadError {
    /// Renders each error with the line that it refers to and the invalid text underlined.
    pub fn render(&self, color: bool) -> String {
        let mut out = Vec::new();
        for error in &self.errors.0 {
            let span = |at: Position| (error.file.clone(), at.start..at.end);
            let report_config = ReportConfig::default().with_color(color).with_index_type(IndexType::Byte);
            let label =
                error.suggestion.as_ref().map_or("here".into(), |name| format!("did you mean {name}?"));
            let report = Report::build(ReportKind::Error, span(error.position))
                .with_config(report_config)
                .with_message(&error.message)
                .with_label(Label::new(span(error.position)).with_message(label))
                .finish();
            let files = self.files.iter().map(|file| (file.name.clone(), file.text.as_str()));
            // Writing to memory fails only if the file of the error is not known. The error then becomes one line.
            if report.write(sources(files), &mut out).is_err() {
                out.extend_from_slice(format!("{error}\n").as_bytes());
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Returns the content of a file.
pub type ReadFile<'a> = dyn FnMut(&Path) -> std::io::Result<Vec<u8>> + 'a;

/// Reads files and follows their includes, and collects the files and the errors.
struct Loader<'a> {
    files: Vec<SourceFile>,
    errors: Vec<ConfigError>,
    read_file: &'a mut ReadFile<'a>,
}

impl Loader<'_> {
    /// Returns the directives of a file, with each include replaced by the directives of the included file.
    /// `included_at` is the position of the include, and `open_files` are the files that directly or indirectly include
    /// this one.
    fn load_directives(
        &mut self,
        path: &Path,
        included_at: Position,
        open_files: &mut Vec<PathBuf>,
    ) -> Vec<Directive> {
        let name = path.display().to_string();
        let including_file =
            |loader: &Self| loader.files.get(included_at.file).map_or(name.clone(), |file| file.name.clone());
        let bytes = match (self.read_file)(path) {
            Ok(bytes) => bytes,
            Err(error) => {
                let file = including_file(self);
                self.errors.push(ConfigError::new(
                    &file,
                    included_at,
                    format!("cannot read {name}: {error}"),
                ));
                return Vec::new();
            }
        };
        let file_index = self.files.len();
        let (text, valid_up_to) = match String::from_utf8(bytes) {
            Ok(text) => (text, None),
            Err(error) => {
                let valid_up_to = error.utf8_error().valid_up_to();
                (String::from_utf8_lossy(error.as_bytes()).into_owned(), Some(valid_up_to))
            }
        };
        if let Some(valid_up_to) = valid_up_to {
            let before = &text[..valid_up_to];
            let line = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
            // The shown text has a replacement character here, and the range must end on a character boundary.
            let end = valid_up_to + char::REPLACEMENT_CHARACTER.len_utf8();
            let at = Position { file: file_index, line, column, start: valid_up_to, end };
            let what = "invalid UTF-8 byte; the file must be UTF-8 text";
            self.errors.push(ConfigError::new(&name, at, what));
        }
        self.files.push(SourceFile { name: name.clone(), text: text.clone() });
        if valid_up_to.is_some() {
            return Vec::new();
        }
        let (directives, errors) = parse_with_recovery(file_index, &name, &text);
        self.errors.extend(errors);
        open_files.push(path.to_owned());
        let expanded = self.expand_includes(directives, path, open_files);
        open_files.pop();
        expanded
    }

    /// Replaces each include among the directives of the file `path` by the directives of the included file.
    fn expand_includes(
        &mut self,
        directives: Vec<Directive>,
        path: &Path,
        open_files: &mut Vec<PathBuf>,
    ) -> Vec<Directive> {
        let mut out = Vec::new();
        for mut directive in directives {
            if directive.name != "include" {
                directive.body = directive.body.map(|body| self.expand_includes(body, path, open_files));
                out.push(directive);
                continue;
            }
            let name = path.display().to_string();
            let [file] = directive.values.as_slice() else {
                self.errors.push(ConfigError::new(
                    &name,
                    directive.position,
                    "include: expected the path of one file",
                ));
                continue;
            };
            let target = path.parent().unwrap_or(Path::new("")).join(file);
            let at = directive.value_position(0);
            if let Some(first) = open_files.iter().position(|path| *path == target) {
                let cycle: Vec<String> = open_files[first..]
                    .iter()
                    .chain([&target])
                    .map(|path| path.display().to_string())
                    .collect();
                let what = format!("include: cycle: {}", cycle.join(" -> "));
                self.errors.push(ConfigError::new(&name, at, what));
            } else if open_files.len() >= MAX_INCLUDE_DEPTH || self.files.len() >= MAX_FILES {
                let what = format!(
                    "include: expected at most {MAX_INCLUDE_DEPTH} nested files and {MAX_FILES} files in total"
                );
                self.errors.push(ConfigError::new(&name, at, what));
            } else {
                out.extend(self.load_directives(&target, at, open_files));
            }
        }
        out
    }
}

/// Loads a configuration with its includes, and reads files with `read_file`. The path of an include is relative to the
/// directory of the file that contains it.
pub fn load<'a>(path: &Path, read_file: &'a mut ReadFile<'a>) -> Result<LoadedConfig, Box<LoadError>> {
    let mut loader = Loader { files: Vec::new(), errors: Vec::new(), read_file };
    let directives = loader.load_directives(path, Position::default(), &mut Vec::new());
    let (files, errors) = (loader.files, loader.errors);
    let names: Vec<String> = files.iter().map(|file| file.name.clone()).collect();
    match build_config(&names, &directives, errors) {
        Ok((config, effective)) => Ok(LoadedConfig { config, effective, files }),
        Err(errors) => Err(Box::new(LoadError { errors, files })),
    }
}

/// Loads a configuration with its includes from the file system.
pub fn load_file(path: &Path) -> Result<LoadedConfig, Box<LoadError>> {
    load(path, &mut |path| std::fs::read(path))
}

/// The differences between the effective values of two configurations, one line each: removed sections, added sections,
/// changed values, and values that are no longer set. Each group is in the order of the sections.
pub fn diff(old: &[EffectiveValue], new: &[EffectiveValue]) -> Vec<String> {
    let find = |list: &[EffectiveValue], wanted: &EffectiveValue| {
        list.iter().find(|e| e.section == wanted.section && e.name == wanted.name).map(|e| e.value.clone())
    };
    let sections = |list: &[EffectiveValue]| -> Vec<String> {
        let mut names: Vec<String> = list.iter().map(|e| e.section.clone()).collect();
        names.dedup();
        names
    };
    let (old_sections, new_sections) = (sections(old), sections(new));
    let mut out = Vec::new();
    out.extend(
        old_sections.iter().filter(|name| !new_sections.contains(name)).map(|name| format!("- {name}")),
    );
    out.extend(
        new_sections.iter().filter(|name| !old_sections.contains(name)).map(|name| format!("+ {name}")),
    );
    for effective in new.iter().filter(|e| old_sections.contains(&e.section)) {
        let old_value = find(old, effective);
        if old_value.as_ref() != Some(&effective.value) {
            let old_value = old_value.unwrap_or_default();
            out.push(format!(
                "  {}: {}: {old_value} -> {}",
                effective.section, effective.name, effective.value
            ));
        }
    }
    for effective in old.iter().filter(|e| new_sections.contains(&e.section) && find(new, e).is_none()) {
        out.push(format!("  {}: {}: {} -> (not set)", effective.section, effective.name, effective.value));
    }
    out
}
