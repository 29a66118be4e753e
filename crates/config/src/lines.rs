//! Parses the text of a configuration file into directives, each with its position in the file.
//!
//! This module knows words, quotes, braces and comments. It does not know which directives exist or what their values
//! mean; see [`crate::read`]. Every directive and every value carries the position that it was read from.

use std::fmt;
use std::ops::Range;

use winnow::combinator::{alt, cut_err, delimited, preceded, repeat};
use winnow::stream::Location;
use winnow::token::{none_of, take_while};
use winnow::{LocatingSlice, ModalResult, Parser};

/// Position of a piece of text in a configuration file. Lines and columns count from 1, and columns are in characters.
/// The default value, with all fields zero, means that there is no position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Index of the file, in the order in which files are read.
    pub file: usize,
    pub line: usize,
    pub column: usize,
    /// First byte of the text in the file.
    pub start: usize,
    /// Byte after the last one of the text.
    pub end: usize,
}

/// One error in a configuration, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the file, as shown to the user.
    pub file: String,
    pub position: Position,
    /// What was wrong and what was expected.
    pub message: String,
    /// A known name that is similar to the unknown one.
    pub suggestion: Option<String>,
}

impl ConfigError {
    /// Makes an error without a suggestion.
    pub fn new(file: &str, at: Position, what: impl Into<String>) -> ConfigError {
        ConfigError { file: file.into(), position: at, message: what.into(), suggestion: None }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.position.line, self.position.column, self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(f, "; did you mean {suggestion}?"),
            None => Ok(()),
        }
    }
}

/// All errors of a configuration, in the order of its files and lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ConfigErrors {}

/// A directive: its name, its values and, for a section, the directives in its braces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// Position of the name.
    pub position: Position,
    pub name: String,
    pub values: Vec<String>,
    /// Position of each value.
    pub value_positions: Vec<Position>,
    /// The directives in the braces; `None` for a directive without braces.
    pub body: Option<Vec<Directive>>,
}

impl Directive {
    /// Position of a value, or of the name if there is no such value.
    pub fn value_position(&self, index: usize) -> Position {
        self.value_positions.get(index).copied().unwrap_or(self.position)
    }
}

/// The smallest unit of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    /// A word, with quotes and escapes resolved.
    Word(String),
    OpenBrace,
    CloseBrace,
    /// A comment, with its #.
    Comment(String),
}

/// A token and its byte range in the line.
pub(crate) type SpannedToken = (Token, Range<usize>);

type Input<'a> = LocatingSlice<&'a str>;

/// Whether a character ends a word that is not quoted.
fn is_special(c: char) -> bool {
    c.is_whitespace() || matches!(c, '{' | '}' | '#' | '"')
}

fn escape(input: &mut Input<'_>) -> ModalResult<char> {
    preceded('\\', cut_err(alt(('n'.value('\n'), '"', '\\')))).parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let character = alt((none_of(['"', '\\']), escape));
    let text = repeat(0.., character).fold(String::new, |mut text, c| {
        text.push(c);
        text
    });
    delimited('"', text, cut_err('"')).parse_next(input)
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    alt((
        '{'.value(Token::OpenBrace),
        '}'.value(Token::CloseBrace),
        preceded('#', take_while(0.., |_| true)).map(|text: &str| Token::Comment(format!("#{text}"))),
        quoted.map(Token::Word),
        take_while(1.., |c| !is_special(c)).map(|word: &str| Token::Word(word.into())),
    ))
    .parse_next(input)
}

/// Splits one line into tokens. An error is the byte range of the invalid text and the reason.
pub(crate) fn tokens(line: &str) -> Result<Vec<SpannedToken>, (Range<usize>, &'static str)> {
    let mut input = LocatingSlice::new(line);
    let mut out = Vec::new();
    loop {
        // Skipping white space cannot fail.
        let _: ModalResult<&str> = take_while(0.., char::is_whitespace).parse_next(&mut input);
        let start = input.current_token_start();
        if start >= line.len() {
            return Ok(out);
        }
        match token.with_span().parse_next(&mut input) {
            Ok((Token::Word(word), range)) if word.chars().any(|c| c.is_control() && c != '\n') => {
                return Err((range, "a word must not contain control characters"));
            }
            Ok(token) => out.push(token),
            Err(_) => return Err((start..line.len(), explain_token_error(&line[start..]))),
        }
    }
}

/// Why no token can be read at the start of `text`. Only a quoted word can fail: through an unknown escape or a missing
/// closing quote.
fn explain_token_error(text: &str) -> &'static str {
    let mut chars = text.chars().skip(1);
    while let Some(c) = chars.next() {
        if c == '\\' && !matches!(chars.next(), Some('n' | '"' | '\\')) {
            return "expected \\n, \\\" or \\\\ after a backslash";
        }
    }
    "expected a closing quote on this line"
}

/// Removes the byte order mark that some editors write at the start of a file.
pub(crate) fn strip_byte_order_mark(text: &str) -> &str {
    text.strip_prefix('\u{feff}').unwrap_or(text)
}

/// The lines of a text without their ends (LF or CRLF), each with its byte offset in the text.
pub(crate) fn lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mark_length = text.len() - strip_byte_order_mark(text).len();
    let mut next_start = mark_length;
    text[mark_length..].split_inclusive('\n').map(move |line| {
        let start = next_start;
        next_start += line.len();
        (start, line.trim_end_matches(['\n', '\r']))
    })
}

/// Parses the text of one file, without following includes. `file` is the name of the file in errors.
pub fn parse_directives(file: &str, text: &str) -> Result<Vec<Directive>, ConfigErrors> {
    let (directives, errors) = parse_with_recovery(0, file, text);
    if errors.is_empty() { Ok(directives) } else { Err(ConfigErrors(errors)) }
}

/// Parses the text of one file and continues after errors: returns all directives that can be read, and all errors.
/// `file_index` goes into the positions and `file` into the errors.
pub(crate) fn parse_with_recovery(
    file_index: usize,
    file: &str,
    text: &str,
) -> (Vec<Directive>, Vec<ConfigError>) {
    let (mut open_sections, mut top_level, mut errors) = (Vec::<Directive>::new(), Vec::new(), Vec::new());
    for (index, (line_start, line)) in lines(text).enumerate() {
        let position = |range: &Range<usize>| Position {
            file: file_index,
            line: index + 1,
            column: line[..range.start].chars().count() + 1,
            start: line_start + range.start,
            end: line_start + range.end,
        };
        let mut report_error = |range: &Range<usize>, what: &str| {
            errors.push(ConfigError::new(file, position(range), what));
        };
        let tokens = match tokens(line) {
            Ok(tokens) => tokens,
            Err((range, what)) => {
                report_error(&range, what);
                continue;
            }
        };
        let mut words = Vec::new();
        let mut opens_section = false;
        for (token, range) in tokens {
            match token {
                Token::Comment(_) => {}
                Token::Word(_) if opens_section => {
                    report_error(&range, "expected the end of the line after {")
                }
                Token::Word(word) => words.push((word, range)),
                Token::OpenBrace if words.is_empty() || opens_section => {
                    report_error(&range, "expected a directive before {")
                }
                Token::OpenBrace => opens_section = true,
                Token::CloseBrace if !words.is_empty() => {
                    report_error(&range, "expected } on a line of its own")
                }
                Token::CloseBrace => match open_sections.pop() {
                    None => report_error(&range, "} without a matching {"),
                    Some(section) => push_directive(&mut open_sections, &mut top_level, section),
                },
            }
        }
        let mut words = words.into_iter();
        if let Some((name, range)) = words.next() {
            let at = position(&range);
            let (values, value_positions) = words.map(|(word, range)| (word, position(&range))).unzip();
            let directive =
                Directive { position: at, name, values, value_positions, body: opens_section.then(Vec::new) };
            if opens_section {
                open_sections.push(directive);
            } else {
                push_directive(&mut open_sections, &mut top_level, directive);
            }
        }
    }
    for section in &open_sections {
        let what = format!("expected }} for section \"{}\" before the end of the file", section.name);
        errors.push(ConfigError::new(file, section.position, what));
    }
    (top_level, errors)
}

/// Adds a complete directive to the innermost open section, or to the top level if no section is open.
fn push_directive(open_sections: &mut [Directive], top_level: &mut Vec<Directive>, directive: Directive) {
    match open_sections.last_mut().and_then(|outer| outer.body.as_mut()) {
        Some(body) => body.push(directive),
        None => top_level.push(directive),
    }
}

/// A word as it is written in a file: quoted and escaped if necessary.
pub(crate) fn quote_word(word: &str) -> String {
    if !word.is_empty() && !word.chars().any(is_special) {
        return word.into();
    }
    let escaped = word.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
    format!("\"{escaped}\"")
}

/// The known name that is most similar to an unknown one, if it differs by at most one edit per three characters.
/// One edit is always allowed.
pub(crate) fn closest_name<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> Option<String> {
    let max_edits = (name.chars().count() / 3).max(1);
    names
        .map(|other| (strsim::osa_distance(name, other), other))
        .filter(|(edits, _)| *edits <= max_edits)
        .min()
        .map(|(_, other)| other.to_owned())
}
