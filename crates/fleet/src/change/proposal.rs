//! A proposal's file: read, checked, and told what is wrong by key and reason.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::name::Name;

/// Longest text of settings, in bytes.
pub const MOST_TEXT: usize = 256 << 10;
/// Stages of one change at most.
const MOST_STAGES: usize = 32;
/// Longest time of one stage: a day, in seconds.
const MOST_SECONDS: u64 = 86_400;
/// Longest path, in bytes (PATH_MAX of common systems).
const MOST_PATH: usize = 4096;
/// Hexadecimal digits of a BLAKE3 digest.
const DIGITS: usize = 64;

/// What is to be changed, where and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Changes of one scope go one after the other.
    pub scope: Name,
    pub what: What,
    pub stages: Vec<Stage>,
    /// Ended requests, of each class judged, that a stage needs before it may advance.
    pub least_evidence: u64,
    /// A stage that is not judged good within this time is taken back, in seconds.
    pub longest_stage_s: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// The text of a settings file, and its BLAKE3 digest.
    Settings { digest: String, text: String },
    /// A release: where every member finds the program, and the program's BLAKE3 digest.
    Program { digest: String, path: String },
}

/// So many members, or so large a part of them, have the change at the end of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    pub members: Part,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    Count(u32),
    /// Hundredths of the fleet.
    Percent(u32),
    All,
}

/// Why a proposal is not taken; nothing has changed.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[error("{key}: {reason}")]
pub struct BadProposal {
    pub key: String,
    pub reason: String,
}

fn bad<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, BadProposal> {
    Err(BadProposal { key: key.into(), reason: reason.into() })
}

/// The digest by which settings and programs are known.
pub fn digest_of(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

impl Proposal {
    /// Reads a proposal's file: whole, or one error.
    pub fn parse(text: &str) -> Result<Proposal, BadProposal> {
        if text.len() > 2 * MOST_TEXT {
            return bad("file", format!("{} bytes, {} at most", text.len(), 2 * MOST_TEXT));
        }
        let proposal: Proposal = serde_json::from_str(text).or_else(|error| {
            bad(format!("line {} column {}", error.line(), error.column()), error.to_string())
        })?;
        proposal.check()?;
        Ok(proposal)
    }

    /// Whether it holds in itself. Checked again by every keeper: a proposal may come from any program.
    pub fn check(&self) -> Result<(), BadProposal> {
        let digits = |digest: &str| digest.len() == DIGITS && digest.bytes().all(|c| c.is_ascii_hexdigit());
        match &self.what {
            What::Settings { digest, text } => {
                if text.len() > MOST_TEXT {
                    return bad("what.settings.text", format!("{} bytes, {MOST_TEXT} at most", text.len()));
                }
                let found = digest_of(text.as_bytes());
                if !digest.eq_ignore_ascii_case(&found) {
                    return bad(
                        "what.settings.digest",
                        format!("{digest:.80} is not the text's, which is {found}"),
                    );
                }
            }
            What::Program { digest, path } => {
                if !digits(digest) {
                    return bad(
                        "what.program.digest",
                        format!("{digest:.80} is not {DIGITS} hexadecimal digits"),
                    );
                }
                if !path.starts_with('/') || path.len() > MOST_PATH || path.contains('\0') {
                    return bad("what.program.path", "is no absolute path");
                }
            }
        }
        if self.stages.is_empty() || self.stages.len() > MOST_STAGES {
            return bad("stages", format!("{} stages, 1 to {MOST_STAGES} wanted", self.stages.len()));
        }
        let mut before: Option<Part> = None;
        for (n, stage) in self.stages.iter().enumerate() {
            let key = format!("stages[{n}].members");
            match (before, stage.members) {
                (_, Part::Count(0)) => return bad(key, "0 members is no stage"),
                (_, Part::Percent(0)) | (_, Part::Percent(101..)) => {
                    return bad(key, "is not 1 to 100 percent");
                }
                (Some(Part::All), _) => return bad(key, "nothing comes after all members"),
                (Some(Part::Count(last)), Part::Count(now)) if now <= last => {
                    return bad(key, format!("{now} after {last}: stages grow"));
                }
                (Some(Part::Percent(last)), Part::Percent(now)) if now <= last => {
                    return bad(key, format!("{now} percent after {last}: stages grow"));
                }
                (Some(Part::Percent(_)), Part::Count(_)) => {
                    return bad(key, "a count after a part of the fleet: whether it grows can't be told");
                }
                _ => {}
            }
            before = Some(stage.members);
        }
        if before != Some(Part::All) {
            return bad("stages", "the last one is not all members");
        }
        if self.least_evidence == 0 {
            return bad("least_evidence", "0: a stage may not advance on nothing");
        }
        if !(1..=MOST_SECONDS).contains(&self.longest_stage_s) {
            return bad(
                "longest_stage_s",
                format!("{} is not 1 to {MOST_SECONDS} seconds", self.longest_stage_s),
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
