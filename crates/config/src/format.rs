//! A file in its one form: four blanks for each section, one between words, quotes only where they are needed,
//! comments kept, no two empty lines in a row.

use crate::lines::{Errors, Token, directives, lines, quote, tokens};

/// Blanks for each open section.
const INDENT: usize = 4;

/// The same file in its one form; what it says stays the same. A file that cannot be read is not touched.
pub fn format(file: &str, text: &str) -> Result<String, Errors> {
    directives(file, text)?;
    let (mut out, mut depth, mut empty) = (String::new(), 0usize, false);
    for (_, line) in lines(text) {
        // All lines were read above.
        let tokens = tokens(line).unwrap_or_default();
        if tokens.is_empty() {
            empty = !out.is_empty();
            continue;
        }
        let closes = tokens.iter().filter(|(token, _)| *token == Token::Close).count();
        depth = depth.saturating_sub(closes);
        // No empty line after the beginning of a section or before its end.
        if empty && closes == 0 && !out.ends_with("{\n") {
            out.push('\n');
        }
        empty = false;
        let mut words: Vec<String> = Vec::new();
        let mut comment = None;
        for (token, _) in tokens {
            match token {
                Token::Word(word) => words.push(quote(&word)),
                Token::Open => words.push("{".into()),
                Token::Close => words.push("}".into()),
                Token::Comment(text) => comment = Some(text.trim_end().to_owned()),
            }
        }
        let opens = words.last().is_some_and(|word| word == "{");
        let gap = if words.is_empty() { "" } else { "  " };
        let line = words.join(" ") + &comment.map(|comment| format!("{gap}{comment}")).unwrap_or_default();
        out.push_str(&format!("{:width$}{line}\n", "", width = depth * INDENT));
        depth += usize::from(opens);
    }
    Ok(out)
}
