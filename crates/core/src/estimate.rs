//! Tokens from bytes, and the length of answers: guesses until an engine's usage tells, learned by route.
//!
//! Acts on every arrival: the module places reads by prompt tokens and weighs writers by the tokens that an
//! answer will take. Costs two numbers a route. A wrong guess makes predicted reads too long or too short by the
//! same part, which the module's fits take up within some ten answers; a jump of a route's language is followed
//! as fast.

/// Bytes of one token before anything is known: English text has about four.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Weight of one answer in what is learned: ten answers of memory, as the module's fits have.
const STEP: f64 = 0.1;
/// Bounds on bytes a token: a tokenizer by bytes, and long code or white space. Guards against absurd usage.
const RANGE: (f64, f64) = (1.0, 16.0);

/// What is known of one route.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    bytes_per_token: f64,
    /// Mean tokens of a turn's answer; 0 before the first.
    answer: f64,
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate { bytes_per_token: BYTES_PER_TOKEN, answer: 0.0 }
    }
}

impl Estimate {
    /// Tokens of so many bytes; at least one.
    pub fn tokens(&self, bytes: usize) -> f64 {
        (bytes as f64 / self.bytes_per_token).max(1.0)
    }

    /// Tokens that an answer is likely to take; 0 when nothing is known.
    pub fn answer(&self) -> f64 {
        self.answer
    }

    /// Takes an engine's count of a prompt's tokens.
    pub fn saw_prompt(&mut self, bytes: usize, tokens: u64) {
        if bytes > 0 && tokens > 0 {
            let seen = (bytes as f64 / tokens as f64).clamp(RANGE.0, RANGE.1);
            self.bytes_per_token += STEP * (seen - self.bytes_per_token);
        }
    }

    /// Takes an engine's count of an answer's tokens.
    pub fn saw_answer(&mut self, tokens: u64) {
        let tokens = tokens as f64;
        self.answer += if self.answer == 0.0 { tokens } else { STEP * (tokens - self.answer) };
    }
}

#[cfg(test)]
mod tests;
