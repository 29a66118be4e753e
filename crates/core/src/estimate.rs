//! Estimates of prompt tokens and answer lengths, learned for each route from the engines' usage counts.
//!
//! Every arrival uses them: the router places reads by prompt tokens and weighs writers by the expected
//! answer tokens. The cost is two numbers for each route. A wrong estimate makes predicted read times wrong
//! by the same factor, which the router's own fits correct within some 10 answers. A change of a route's
//! language is learned as fast.

/// Bytes per token before any usage count: English text has about four.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Weight of one sample in the moving averages: a memory of ten answers, as in the router's fits.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Limits on bytes per token: a byte-level tokenizer has 1, long code or white space up to 16. They guard
/// against absurd usage counts.
const BYTES_PER_TOKEN_RANGE: (f64, f64) = (1.0, 16.0);

/// The estimates of one route.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    bytes_per_token: f64,
    /// Mean tokens of a turn's answer; 0 before the first sample.
    mean_answer_tokens: f64,
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate { bytes_per_token: BYTES_PER_TOKEN, mean_answer_tokens: 0.0 }
    }
}

impl Estimate {
    /// Estimated tokens of a text of `bytes` bytes; at least 1.
    pub fn tokens(&self, bytes: usize) -> f64 {
        (bytes as f64 / self.bytes_per_token).max(1.0)
    }

    /// Expected tokens of an answer; 0 before the first sample.
    pub fn answer_tokens(&self) -> f64 {
        self.mean_answer_tokens
    }

    /// Records an engine's token count of a prompt.
    pub fn record_prompt(&mut self, bytes: usize, tokens: u64) {
        if bytes > 0 && tokens > 0 {
            let measured =
                (bytes as f64 / tokens as f64).clamp(BYTES_PER_TOKEN_RANGE.0, BYTES_PER_TOKEN_RANGE.1);
            self.bytes_per_token += SAMPLE_WEIGHT * (measured - self.bytes_per_token);
        }
    }

    /// Records an engine's token count of an answer.
    pub fn record_answer(&mut self, tokens: u64) {
        let tokens = tokens as f64;
        self.mean_answer_tokens += if self.mean_answer_tokens == 0.0 {
            tokens
        } else {
            SAMPLE_WEIGHT * (tokens - self.mean_answer_tokens)
        };
    }
}

#[cfg(test)]
mod tests;
