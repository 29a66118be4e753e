//! Formats a configuration file in its canonical form: four spaces of indentation for each open section, one space
//! between words, quotes only where they are needed, comments kept, and no two empty lines in a row.
//!
//! Formatting never changes what a file says, and formatting twice gives the same text as formatting once.

use crate::lines::{ConfigErrors, Token, lines, parse_directives, quote_word, tokens};

/// Spaces of indentation for each open section.
const INDENT_WIDTH: usize = 4;

/// Returns the text of a file in canonical form, with the same meaning. A text with syntax errors is refused. `file` is
/// the name of the file in errors.
pub fn format_config(file: &str, text: &str) -> Result<String, ConfigErrors> {
    parse_directives(file, text)?;
    let (mut out, mut depth, mut after_empty_line) = (String::new(), 0usize, false);
    for (_, line) in lines(text) {
        // `directives` returned no error, so every line has valid tokens.
        let tokens = tokens(line).unwrap_or_default();
        if tokens.is_empty() {
            after_empty_line = !out.is_empty();
            continue;
        }
        let close_count = tokens.iter().filter(|(token, _)| *token == Token::CloseBrace).count();
        depth = depth.saturating_sub(close_count);
        // No empty line is kept at the start or the end of a section.
        if after_empty_line && close_count == 0 && !out.ends_with("{\n") {
            out.push('\n');
        }
        after_empty_line = false;
        let mut words: Vec<String> = Vec::new();
        let mut comment = None;
        for (token, _) in tokens {
            match token {
                Token::Word(word) => words.push(quote_word(&word)),
                Token::OpenBrace => words.push("{".into()),
                Token::CloseBrace => words.push("}".into()),
                Token::Comment(text) => comment = Some(text.trim_end().to_owned()),
            }
        }
        let opens_section = words.last().is_some_and(|word| word == "{");
        let gap = if words.is_empty() { "" } else { "  " };
        let line = words.join(" ") + &comment.map(|comment| format!("{gap}{comment}")).unwrap_or_default();
        out.push_str(&format!("{:width$}{line}\n", "", width = depth * INDENT_WIDTH));
        depth += usize::from(opens_section);
    }
    Ok(out)
}
