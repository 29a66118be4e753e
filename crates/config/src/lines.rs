//! Lines to directives: words, quotes, braces and comments, each with its place.

use std::fmt;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    /// From 1.
    pub line: usize,
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.what)
    }
}

/// All that is wrong with a file, in the order of its lines.
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
    pub line: usize,
    pub name: String,
    pub values: Vec<String>,
    pub body: Option<Vec<Directive>>,
}

enum Token {
    Word(String),
    Open,
    Close,
}

fn tokens(line: &str) -> Result<Vec<Token>, String> {
    let (mut out, mut chars) = (Vec::new(), line.chars().peekable());
    while let Some(c) = chars.next() {
        match c {
            '#' => break,
            '{' => out.push(Token::Open),
            '}' => out.push(Token::Close),
            '"' => {
                let mut word = String::new();
                loop {
                    match chars.next() {
                        None => return Err("expected a closing quote on this line".into()),
                        Some('"') => break,
                        Some('\\') => match chars.next() {
                            Some('n') => word.push('\n'),
                            Some(c @ ('"' | '\\')) => word.push(c),
                            _ => return Err("expected \\n, \\\" or \\\\ after a backslash".into()),
                        },
                        Some(c) => word.push(c),
                    }
                }
                out.push(Token::Word(word));
            }
            c if c.is_whitespace() => {}
            c => {
                let mut word = String::from(c);
                while let Some(c) =
                    chars.next_if(|c| !c.is_whitespace() && !matches!(c, '{' | '}' | '#' | '"'))
                {
                    word.push(c);
                }
                out.push(Token::Word(word));
            }
        }
    }
    Ok(out)
}

/// Reads a text into directives.
pub fn directives(file: &str, text: &str) -> Result<Vec<Directive>, Errors> {
    let (mut open, mut done, mut errors) = (Vec::<Directive>::new(), Vec::new(), Vec::new());
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        let mut wrong = |what: &str| {
            errors.push(ConfigError { file: file.into(), line: line_number, what: what.into() });
        };
        let tokens = match tokens(line) {
            Ok(tokens) => tokens,
            Err(what) => {
                wrong(&what);
                continue;
            }
        };
        let mut words = Vec::new();
        let mut opened = false;
        for token in tokens {
            match token {
                Token::Word(_) if opened => wrong("expected the end of the line after {"),
                Token::Word(word) => words.push(word),
                Token::Open if words.is_empty() || opened => wrong("expected a directive before {"),
                Token::Open => opened = true,
                Token::Close if !words.is_empty() => wrong("expected } on a line of its own"),
                Token::Close => match open.pop() {
                    None => wrong("} closes nothing"),
                    Some(section) => match open.last_mut().and_then(|outer| outer.body.as_mut()) {
                        Some(body) => body.push(section),
                        None => done.push(section),
                    },
                },
            }
        }
        let mut words = words.into_iter();
        if let Some(name) = words.next() {
            let directive =
                Directive { line: line_number, name, values: words.collect(), body: opened.then(Vec::new) };
            if opened {
                open.push(directive);
            } else {
                match open.last_mut().and_then(|outer| outer.body.as_mut()) {
                    Some(body) => body.push(directive),
                    None => done.push(directive),
                }
            }
        }
    }
    for section in &open {
        let what = format!("expected }} for section \"{}\" before the end of the file", section.name);
        errors.push(ConfigError { file: file.into(), line: section.line, what });
    }
    if errors.is_empty() { Ok(done) } else { Err(Errors(errors)) }
}
