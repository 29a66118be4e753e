//! The commands of the replicated log.

use serde::{Deserialize, Serialize};

use crate::change::{BadProposal, Proposal};
use crate::name::Name;

/// Who proposes: a name and a random number for this run, so that two runs of one proposer stay distinct.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Proposer {
    pub name: Name,
    pub run: u64,
}

/// An entry of the log. A command may be sent any number of times to any keeper: it is applied once, identified by
/// proposer and number. A proposer numbers its commands in ascending order and sends the next one only when it knows
/// the outcome of the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    pub proposer: Proposer,
    pub number: u64,
    #[serde(rename = "order")]
    pub operation: Operation,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Queue a change.
    Propose(Box<Proposal>),
    /// Stop the change with this number at an operator's request.
    Stop { change: u64, reason: String },
    /// A keeper whose disk may lack entries has started again. All entries it may have lost come before this one.
    Rejoin { keeper: Name, boot: u64 },
}

/// Maximum length of the reason of a stop.
pub const MAX_STOP_REASON_BYTES: usize = 1024;

/// A file that stops a change.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StopFile {
    stop: StopRequest,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StopRequest {
    change: u64,
    reason: String,
}

impl Operation {
    /// Parses an operator's file: a proposal, or `{"stop": {"change": 3, "reason": "..."}}`.
    pub fn parse(text: &str) -> Result<Operation, BadProposal> {
        let is_stop =
            serde_json::from_str::<serde_json::Value>(text).is_ok_and(|value| value.get("stop").is_some());
        if !is_stop {
            return Ok(Operation::Propose(Box::new(Proposal::parse(text)?)));
        }
        let StopFile { stop } = serde_json::from_str(text)
            .map_err(|error| BadProposal { key: "stop".into(), reason: error.to_string() })?;
        if stop.reason.trim().is_empty() || stop.reason.len() > MAX_STOP_REASON_BYTES {
            let reason = format!("1 to {MAX_STOP_REASON_BYTES} bytes are wanted");
            return Err(BadProposal { key: "stop.reason".into(), reason });
        }
        Ok(Operation::Stop { change: stop.change, reason: stop.reason })
    }
}
