//! Files with their includes, read whole, and diagnostics that show the offending text.

use std::fmt;
use std::path::{Path, PathBuf};

use ariadne::{Config as Look, IndexType, Label, Report, ReportKind, sources};

use crate::lines::{At, ConfigError, Directive, Errors, parse_with_recovery};
use crate::model::Config;
use crate::read::{EffectiveValue, build_config};

/// Includes inside of includes, and files in all: beyond them somebody has made a mistake.
const DEEPEST: usize = 16;
const MOST_FILES: usize = 256;

/// One file as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    pub name: String,
    pub text: String,
}

/// A whole configuration, with what acts and the files that it came from.
#[derive(Clone, Debug)]
pub struct Loaded {
    pub config: Config,
    pub effective: Vec<EffectiveValue>,
    pub files: Vec<Source>,
}

/// What is wrong, with the files to show it in.
#[derive(Clone, Debug)]
pub struct Failed {
    pub errors: Errors,
    pub files: Vec<Source>,
}

impl fmt::Display for Failed {
    /// A line for each error: file, line, column, what.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.errors.fmt(f)
    }
}

impl std::error::Error for Failed {}

impl Failed {
    /// Each error with its line and the offending text underlined.
    pub fn render(&self, color: bool) -> String {
        let mut out = Vec::new();
        for error in &self.errors.0 {
            let at = |at: At| (error.file.clone(), at.start..at.end);
            let look = Look::default().with_color(color).with_index_type(IndexType::Byte);
            let here =
                error.suggestion.as_ref().map_or("here".into(), |near| format!("did you mean {near}?"));
            let report = Report::build(ReportKind::Error, at(error.at))
                .with_config(look)
                .with_message(&error.what)
                .with_label(Label::new(at(error.at)).with_message(here))
                .finish();
            let files = self.files.iter().map(|file| (file.name.clone(), file.text.as_str()));
            // Writing to memory fails only where a file is not known, and then the plain line is told.
            if report.write(sources(files), &mut out).is_err() {
                out.extend_from_slice(format!("{error}\n").as_bytes());
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Gives the bytes of a file.
pub type ReadFile<'a> = dyn FnMut(&Path) -> std::io::Result<Vec<u8>> + 'a;

struct Loader<'a> {
    files: Vec<Source>,
    errors: Vec<ConfigError>,
    read: &'a mut ReadFile<'a>,
}

impl Loader<'_> {
    /// A file's directives with its includes in their places. `from` is where it is included, `open` the files that
    /// include it.
    fn file(&mut self, path: &Path, from: At, open: &mut Vec<PathBuf>) -> Vec<Directive> {
        let name = path.display().to_string();
        let asked =
            |loader: &Self| loader.files.get(from.file).map_or(name.clone(), |file| file.name.clone());
        let bytes = match (self.read)(path) {
            Ok(bytes) => bytes,
            Err(error) => {
                let file = asked(self);
                self.errors.push(ConfigError::new(&file, from, format!("cannot read {name}: {error}")));
                return Vec::new();
            }
        };
        let number = self.files.len();
        let (text, good) = match String::from_utf8(bytes) {
            Ok(text) => (text, None),
            Err(error) => {
                let good = error.utf8_error().valid_up_to();
                (String::from_utf8_lossy(error.as_bytes()).into_owned(), Some(good))
            }
        };
        if let Some(good) = good {
            let before = &text[..good];
            let line = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
            // What stands there in the text that is shown. Guards against a range that cuts it.
            let end = good + char::REPLACEMENT_CHARACTER.len_utf8();
            let at = At { file: number, line, column, start: good, end };
            let what = "this byte is no UTF-8; the file must be UTF-8 text";
            self.errors.push(ConfigError::new(&name, at, what));
        }
        self.files.push(Source { name: name.clone(), text: text.clone() });
        if good.is_some() {
            return Vec::new();
        }
        let (directives, errors) = parse_with_recovery(number, &name, &text);
        self.errors.extend(errors);
        open.push(path.to_owned());
        let all = self.expand(directives, path, open);
        open.pop();
        all
    }

    fn expand(&mut self, directives: Vec<Directive>, path: &Path, open: &mut Vec<PathBuf>) -> Vec<Directive> {
        let mut out = Vec::new();
        for mut directive in directives {
            if directive.name != "include" {
                directive.body = directive.body.map(|body| self.expand(body, path, open));
                out.push(directive);
                continue;
            }
            let name = path.display().to_string();
            let [file] = directive.values.as_slice() else {
                self.errors.push(ConfigError::new(
                    &name,
                    directive.at,
                    "include: expected the path of one file",
                ));
                continue;
            };
            let target = path.parent().unwrap_or(Path::new("")).join(file);
            let at = directive.value_position(0);
            if let Some(first) = open.iter().position(|path| *path == target) {
                let way: Vec<String> =
                    open[first..].iter().chain([&target]).map(|path| path.display().to_string()).collect();
                let what = format!("include: a circle: {}", way.join(" -> "));
                self.errors.push(ConfigError::new(&name, at, what));
            } else if open.len() >= DEEPEST || self.files.len() >= MOST_FILES {
                let what = format!("include: at most {DEEPEST} files deep and {MOST_FILES} in all");
                self.errors.push(ConfigError::new(&name, at, what));
            } else {
                out.extend(self.file(&target, at, open));
            }
        }
        out
    }
}

/// Reads a configuration with its includes, whose paths start from the folder of the file that has them.
pub fn load<'a>(path: &Path, read_file: &'a mut ReadFile<'a>) -> Result<Loaded, Box<Failed>> {
    let mut loader = Loader { files: Vec::new(), errors: Vec::new(), read: read_file };
    let all = loader.file(path, At::default(), &mut Vec::new());
    let (files, errors) = (loader.files, loader.errors);
    let names: Vec<String> = files.iter().map(|file| file.name.clone()).collect();
    match build_config(&names, &all, errors) {
        Ok((config, effective)) => Ok(Loaded { config, effective, files }),
        Err(errors) => Err(Box::new(Failed { errors, files })),
    }
}

/// From the file system.
pub fn load_file(path: &Path) -> Result<Loaded, Box<Failed>> {
    load(path, &mut |path| std::fs::read(path))
}

/// What is different in effect between two configurations: a line each, in the order of the sections.
pub fn diff(old: &[EffectiveValue], new: &[EffectiveValue]) -> Vec<String> {
    let find = |list: &[EffectiveValue], of: &EffectiveValue| {
        list.iter().find(|e| e.section == of.section && e.name == of.name).map(|e| e.value.clone())
    };
    let sections = |list: &[EffectiveValue]| -> Vec<String> {
        let mut names: Vec<String> = list.iter().map(|e| e.section.clone()).collect();
        names.dedup();
        names
    };
    let (before, after) = (sections(old), sections(new));
    let mut out = Vec::new();
    out.extend(before.iter().filter(|name| !after.contains(name)).map(|name| format!("- {name}")));
    out.extend(after.iter().filter(|name| !before.contains(name)).map(|name| format!("+ {name}")));
    for effective in new.iter().filter(|e| before.contains(&e.section)) {
        let was = find(old, effective);
        if was.as_ref() != Some(&effective.value) {
            let was = was.unwrap_or_default();
            out.push(format!("  {}: {}: {was} -> {}", effective.section, effective.name, effective.value));
        }
    }
    for effective in old.iter().filter(|e| after.contains(&e.section) && find(new, e).is_none()) {
        out.push(format!("  {}: {}: {} -> (not set)", effective.section, effective.name, effective.value));
    }
    out
}
