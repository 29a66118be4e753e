//! Parsing and validation of proposals. An error names the key and the reason.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::name::Name;

/// Largest settings text.
pub const MAX_SETTINGS_TEXT_BYTES: usize = 256 << 10;
/// Maximum number of stages of one change.
const MAX_STAGES: usize = 32;
/// Longest time of one stage: a day.
const MAX_STAGE_SECONDS: u64 = 86_400;
/// Longest path: PATH_MAX of common systems.
const MAX_PATH_BYTES: usize = 4096;
/// Hexadecimal digits of a BLAKE3 digest.
const DIGEST_HEX_DIGITS: usize = 64;

/// A proposed change: where, what and in which stages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Changes of one scope are carried out one after the other.
    pub scope: Name,
    #[serde(rename = "what")]
    pub content: ChangeContent,
    pub stages: Vec<Stage>,
    /// Ended requests of each judged class that a stage needs before it may advance.
    pub least_evidence: u64,
    /// A stage that is not judged good within this many seconds is rolled back.
    pub longest_stage_s: u64,
}

/// What a change replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeContent {
    /// The text of a settings file, and its BLAKE3 digest.
    Settings { digest: String, text: String },
    /// A release: the path of the program on every member, and its BLAKE3 digest.
    Program { digest: String, path: String },
}

/// A stage of a change: the members that have the change at the end of the stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    pub members: MemberShare,
}

/// A number or share of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberShare {
    /// A number of members.
    Count(u32),
    /// A percentage of the fleet.
    Percent(u32),
    /// All members.
    All,
}

/// Why a proposal is refused; nothing has changed.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[error("{key}: {reason}")]
pub struct BadProposal {
    pub key: String,
    pub reason: String,
}

fn invalid<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, BadProposal> {
    Err(BadProposal { key: key.into(), reason: reason.into() })
}

/// The digest that identifies settings and programs: BLAKE3 in hexadecimal.
pub fn content_digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

impl Proposal {
    /// Parses and validates the text of a proposal file.
    pub fn parse(text: &str) -> Result<Proposal, BadProposal> {
        if text.len() > 2 * MAX_SETTINGS_TEXT_BYTES {
            return invalid(
                "file",
                format!("{} bytes, expected at most {}", text.len(), 2 * MAX_SETTINGS_TEXT_BYTES),
            );
        }
        let proposal: Proposal = serde_json::from_str(text).or_else(|error| {
            invalid(format!("line {} column {}", error.line(), error.column()), error.to_string())
        })?;
        proposal.check()?;
        Ok(proposal)
    }

    /// Validates the proposal. Every keeper repeats this, since a proposal may come from any program.
    ///
    /// The reasons are part of the replicated state once a refused proposal is in the log: with other texts, the state
    /// digests of keepers of different builds would differ.
    pub fn check(&self) -> Result<(), BadProposal> {
        let is_hex_digest =
            |digest: &str| digest.len() == DIGEST_HEX_DIGITS && digest.bytes().all(|c| c.is_ascii_hexdigit());
        match &self.content {
            ChangeContent::Settings { digest, text } => {
                if text.len() > MAX_SETTINGS_TEXT_BYTES {
                    return invalid(
                        "what.settings.text",
                        format!("{} bytes, {MAX_SETTINGS_TEXT_BYTES} at most", text.len()),
                    );
                }
                let found = content_digest(text.as_bytes());
                if !digest.eq_ignore_ascii_case(&found) {
                    return invalid(
                        "what.settings.digest",
                        format!("{digest:.80} is not the text's, which is {found}"),
                    );
                }
            }
            ChangeContent::Program { digest, path } => {
                if !is_hex_digest(digest) {
                    return invalid(
                        "what.program.digest",
                        format!("{digest:.80} is not {DIGEST_HEX_DIGITS} hexadecimal digits"),
                    );
                }
                if !path.starts_with('/') || path.len() > MAX_PATH_BYTES || path.contains('\0') {
                    return invalid("what.program.path", "is no absolute path");
                }
            }
        }
        if self.stages.is_empty() || self.stages.len() > MAX_STAGES {
            return invalid("stages", format!("{} stages, 1 to {MAX_STAGES} wanted", self.stages.len()));
        }
        let mut previous: Option<MemberShare> = None;
        for (n, stage) in self.stages.iter().enumerate() {
            let key = format!("stages[{n}].members");
            match (previous, stage.members) {
                (_, MemberShare::Count(0)) => return invalid(key, "0 members is no stage"),
                (_, MemberShare::Percent(0)) | (_, MemberShare::Percent(101..)) => {
                    return invalid(key, "is not 1 to 100 percent");
                }
                (Some(MemberShare::All), _) => {
                    return invalid(key, "nothing comes after all members");
                }
                (Some(MemberShare::Count(last)), MemberShare::Count(now)) if now <= last => {
                    return invalid(key, format!("{now} after {last}: stages grow"));
                }
                (Some(MemberShare::Percent(last)), MemberShare::Percent(now)) if now <= last => {
                    return invalid(key, format!("{now} percent after {last}: stages grow"));
                }
                (Some(MemberShare::Percent(_)), MemberShare::Count(_)) => {
                    return invalid(key, "a count after a part of the fleet: whether it grows can't be told");
                }
                _ => {}
            }
            previous = Some(stage.members);
        }
        if previous != Some(MemberShare::All) {
            return invalid("stages", "the last one is not all members");
        }
        if self.least_evidence == 0 {
            return invalid("least_evidence", "0: a stage may not advance on nothing");
        }
        if !(1..=MAX_STAGE_SECONDS).contains(&self.longest_stage_s) {
            return invalid(
                "longest_stage_s",
                format!("{} is not 1 to {MAX_STAGE_SECONDS} seconds", self.longest_stage_s),
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
