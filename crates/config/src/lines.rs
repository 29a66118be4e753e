//! Lines to directives: words, quotes, braces and comments, each with its place.

use std::fmt;
use std::ops::Range;

use winnow::combinator::{alt, cut_err, delimited, preceded, repeat};
use winnow::stream::Location;
use winnow::token::{none_of, take_while};
use winnow::{LocatingSlice, ModalResult, Parser};

/// Where something stands. Line and column count from 1, the column in characters; the range is of bytes. The zero
/// place is that of nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct At {
    /// Number of the file, in the order in which files were read.
    pub file: usize,
    pub line: usize,
    pub column: usize,
    pub start: usize,
    pub end: usize,
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    pub at: At,
    pub what: String,
    /// A name that is close to a wrong one.
    pub near: Option<String>,
}

impl ConfigError {
    pub fn new(file: &str, at: At, what: impl Into<String>) -> ConfigError {
        ConfigError { file: file.into(), at, what: what.into(), near: None }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.at.line, self.at.column, self.what)?;
        match &self.near {
            Some(near) => write!(f, "; did you mean {near}?"),
            None => Ok(()),
        }
    }
}

/// All that is wrong with a configuration, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(pub Vec<ConfigError>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Errors {}

/// A directive with its words, and what stands in its braces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// Where its name stands.
    pub at: At,
    pub name: String,
    pub values: Vec<String>,
    /// Where each value stands.
    pub values_at: Vec<At>,
    pub body: Option<Vec<Directive>>,
}

impl Directive {
    /// Where a value stands; the name where there is no such value.
    pub fn value_at(&self, index: usize) -> At {
        self.values_at.get(index).copied().unwrap_or(self.at)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    Word(String),
    Open,
    Close,
    /// From the # on.
    Comment(String),
}

/// A token and its bytes in the line.
pub(crate) type Spanned = (Token, Range<usize>);

type Input<'a> = LocatingSlice<&'a str>;

fn special(c: char) -> bool {
    c.is_whitespace() || matches!(c, '{' | '}' | '#' | '"')
}

fn escape(input: &mut Input<'_>) -> ModalResult<char> {
    preceded('\\', cut_err(alt(('n'.value('\n'), '"', '\\')))).parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let piece = alt((none_of(['"', '\\']), escape));
    let text = repeat(0.., piece).fold(String::new, |mut text, c| {
        text.push(c);
        text
    });
    delimited('"', text, cut_err('"')).parse_next(input)
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    alt((
        '{'.value(Token::Open),
        '}'.value(Token::Close),
        preceded('#', take_while(0.., |_| true)).map(|text: &str| Token::Comment(format!("#{text}"))),
        quoted.map(Token::Word),
        take_while(1.., |c| !special(c)).map(|word: &str| Token::Word(word.into())),
    ))
    .parse_next(input)
}

/// The tokens of one line, each with its bytes; or where and why it cannot be read.
pub(crate) fn tokens(line: &str) -> Result<Vec<Spanned>, (Range<usize>, &'static str)> {
    let mut input = LocatingSlice::new(line);
    let mut out = Vec::new();
    loop {
        // Taking blanks cannot fail.
        let _: ModalResult<&str> = take_while(0.., char::is_whitespace).parse_next(&mut input);
        let start = input.current_token_start();
        if start >= line.len() {
            return Ok(out);
        }
        match token.with_span().parse_next(&mut input) {
            Ok((Token::Word(word), at)) if word.chars().any(|c| c.is_control() && c != '\n') => {
                return Err((at, "a control character cannot stand in a word"));
            }
            Ok(token) => out.push(token),
            Err(_) => return Err((start..line.len(), unreadable(&line[start..]))),
        }
    }
}

/// Only quoted words can be unreadable: by an escape, or for want of their end.
fn unreadable(text: &str) -> &'static str {
    let mut chars = text.chars().skip(1);
    while let Some(c) = chars.next() {
        if c == '\\' && !matches!(chars.next(), Some('n' | '"' | '\\')) {
            return "expected \\n, \\\" or \\\\ after a backslash";
        }
    }
    "expected a closing quote on this line"
}

/// The text without a byte order mark, which some editors put before it.
pub(crate) fn without_mark(text: &str) -> &str {
    text.strip_prefix('\u{feff}').unwrap_or(text)
}

/// The lines of a text with the byte at which each begins, without their ends (LF or CRLF).
pub(crate) fn lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let skipped = text.len() - without_mark(text).len();
    let mut start = skipped;
    text[skipped..].split_inclusive('\n').map(move |line| {
        let at = start;
        start += line.len();
        (at, line.trim_end_matches(['\n', '\r']))
    })
}

/// Reads a text into directives.
pub fn directives(file: &str, text: &str) -> Result<Vec<Directive>, Errors> {
    let (done, errors) = directives_of(0, file, text);
    if errors.is_empty() { Ok(done) } else { Err(Errors(errors)) }
}

/// All directives that can be read, and all that is wrong.
pub(crate) fn directives_of(number: usize, file: &str, text: &str) -> (Vec<Directive>, Vec<ConfigError>) {
    let (mut open, mut done, mut errors) = (Vec::<Directive>::new(), Vec::new(), Vec::new());
    for (index, (begins, line)) in lines(text).enumerate() {
        let place = |range: &Range<usize>| At {
            file: number,
            line: index + 1,
            column: line[..range.start].chars().count() + 1,
            start: begins + range.start,
            end: begins + range.end,
        };
        let mut wrong = |range: &Range<usize>, what: &str| {
            errors.push(ConfigError::new(file, place(range), what));
        };
        let tokens = match tokens(line) {
            Ok(tokens) => tokens,
            Err((range, what)) => {
                wrong(&range, what);
                continue;
            }
        };
        let mut words = Vec::new();
        let mut opened = false;
        for (token, range) in tokens {
            match token {
                Token::Comment(_) => {}
                Token::Word(_) if opened => wrong(&range, "expected the end of the line after {"),
                Token::Word(word) => words.push((word, range)),
                Token::Open if words.is_empty() || opened => wrong(&range, "expected a directive before {"),
                Token::Open => opened = true,
                Token::Close if !words.is_empty() => wrong(&range, "expected } on a line of its own"),
                Token::Close => match open.pop() {
                    None => wrong(&range, "} closes nothing"),
                    Some(section) => push(&mut open, &mut done, section),
                },
            }
        }
        let mut words = words.into_iter();
        if let Some((name, range)) = words.next() {
            let at = place(&range);
            let (values, values_at) = words.map(|(word, range)| (word, place(&range))).unzip();
            let directive = Directive { at, name, values, values_at, body: opened.then(Vec::new) };
            if opened {
                open.push(directive);
            } else {
                push(&mut open, &mut done, directive);
            }
        }
    }
    for section in &open {
        let what = format!("expected }} for section \"{}\" before the end of the file", section.name);
        errors.push(ConfigError::new(file, section.at, what));
    }
    (done, errors)
}

fn push(open: &mut [Directive], done: &mut Vec<Directive>, directive: Directive) {
    match open.last_mut().and_then(|outer| outer.body.as_mut()) {
        Some(body) => body.push(directive),
        None => done.push(directive),
    }
}

/// A word as it is written in a file.
pub(crate) fn quote(word: &str) -> String {
    if !word.is_empty() && !word.chars().any(special) {
        return word.into();
    }
    let inner = word.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
    format!("\"{inner}\"")
}

/// The name that is closest to a wrong one, if any is close: at most one slip in three letters.
pub(crate) fn near<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> Option<String> {
    let most = (name.chars().count() / 3).max(1);
    names
        .map(|other| (strsim::osa_distance(name, other), other))
        .filter(|(slips, _)| *slips <= most)
        .min()
        .map(|(_, other)| other.to_owned())
}
