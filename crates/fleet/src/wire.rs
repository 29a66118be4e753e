//! The messages between processes and their encoding on a stream. Does no I/O.
//!
//! A frame is a length (4 bytes, big-endian, of the bytes that follow), 16 bytes of a BLAKE3 digest, and a [`Frame`]
//! in postcard. A frame that is malformed or larger than [`MAX_FRAME_BYTES`] ends its connection and nothing else.
//! The first frame of a connection is a [`Hello`], which names the sender and its fleet.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::BadProposal;
use crate::evidence::{GroupCounts, Report, ReportVersion};
use crate::members::MemberStatus;
use crate::name::Name;
use crate::record::{Change, Command, LogStatus, Outcome, ReplicaStatus};

/// Largest frame: a snapshot of 256 waiting changes with settings texts of usual size, or a keeper's whole list of
/// report versions.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Version of the protocol. A process supports only one; an incompatible change needs a new number.
pub const PROTOCOL_VERSION: u32 = 1;
/// Length and digest before a frame.
const HEADER_BYTES: usize = 4 + DIGEST_BYTES;
const DIGEST_BYTES: usize = 16;

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    Hello(Hello),
    #[serde(rename = "Body")]
    MemberMessage(MemberMessage),
    #[serde(rename = "Ask")]
    ClientRequest(ClientRequest),
    #[serde(rename = "Answer")]
    ClientResponse(Box<ClientResponse>),
}

/// The first frame of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    #[serde(rename = "form")]
    pub protocol_version: u32,
    /// Name and fleet of a member; absent for a client.
    pub member: Option<(Name, FleetKey)>,
}

/// Distinguishes fleets of the same name: a digest of the name and of the keepers with their addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey {
    pub name: Name,
    pub digest: [u8; DIGEST_BYTES],
}

impl FleetKey {
    /// Computes the key of a fleet from its name and keepers.
    pub fn new<'a>(name: &Name, keepers: impl Iterator<Item = (&'a Name, std::net::SocketAddr)>) -> FleetKey {
        let mut hasher = blake3::Hasher::new_derive_key("elderstage fleet key");
        hasher.update(name.as_str().as_bytes());
        for (keeper, at) in keepers {
            hasher.update(format!("\n{keeper} {at}").as_bytes());
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        FleetKey { name: name.clone(), digest }
    }
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// A message of the consensus library, between keepers.
    #[serde(rename = "Record")]
    Raft(Vec<u8>),
    /// The sender's log status; `wants_reply` asks the receiver for its own.
    #[serde(rename = "Holds")]
    LogStatus {
        #[serde(rename = "holds")]
        status: LogStatus,
        #[serde(rename = "ask")]
        wants_reply: bool,
    },
    /// A message of the membership library.
    Swim(Vec<u8>),
    /// The counts of the sender.
    Report(Box<Report>),
    /// A keeper's answer to a report: the number of commands it has applied.
    #[serde(rename = "Heard")]
    ReportAck {
        #[serde(rename = "taken")]
        applied_commands: u64,
    },
    /// The versions of the reports that the sending keeper holds; the receiver returns newer reports.
    #[serde(rename = "Versions")]
    ReportVersions(Vec<ReportVersion>),
    /// Reports that the receiver does not have yet.
    Reports(Vec<Report>),
}

/// A client's request to any keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientRequest {
    /// Put a command into the record.
    Propose(Box<Command>),
    /// Return the state of the fleet.
    Show,
}

/// Response to a [`ClientRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientResponse {
    /// The command was applied with this outcome; a majority has it on disk.
    #[serde(rename = "Done")]
    Applied(Outcome),
    /// The command may or may not be applied. Sending it again with the same proposer and number is safe.
    #[serde(rename = "NotYet")]
    Unconfirmed(String),
    /// The command is invalid; nothing has changed.
    Refused(BadProposal),
    /// The state of the fleet.
    #[serde(rename = "Shown")]
    Status(Box<FleetStatus>),
}

/// State of the fleet as one keeper sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    pub fleet: Name,
    pub keeper: Name,
    pub keepers: Vec<Name>,
    #[serde(rename = "standing")]
    pub status: ReplicaStatus,
    /// Faults that this keeper found on its disk when it started.
    #[serde(rename = "doubts")]
    pub disk_faults: Vec<String>,
    /// Number of applied commands, and a digest of the state.
    #[serde(rename = "taken")]
    pub applied_commands: u64,
    pub digest: String,
    pub changes: Vec<Change>,
    pub members: Vec<MemberStatus>,
    /// Members with reports, and how many of them are silent.
    pub counting: u32,
    pub silent: u32,
    pub groups: Vec<(elderstage_tally::GroupKey, GroupCounts)>,
}

/// Why a frame is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    /// Length of the frame.
    #[error("frame of {0} bytes, expected at most {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The content does not match its digest.
    #[error("frame digest does not match its content")]
    DigestMismatch,
    /// The content is not a [`Frame`].
    #[error("malformed frame")]
    Malformed,
}

fn digest(bytes: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST_BYTES]);
    digest
}

/// Encodes a frame for a stream; an error if it is larger than the receiver accepts.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, BadFrame> {
    let bytes = postcard::to_stdvec(frame).map_err(|_| BadFrame::Malformed)?;
    let length = DIGEST_BYTES + bytes.len();
    if length > MAX_FRAME_BYTES {
        return Err(BadFrame::TooLarge(length));
    }
    let mut out = Vec::with_capacity(HEADER_BYTES + bytes.len());
    out.extend_from_slice(&(length as u32).to_be_bytes());
    out.extend_from_slice(&digest(&bytes));
    out.extend_from_slice(&bytes);
    Ok(out)
}

/// Decodes the first frame of `bytes` and returns it with its length; `None` while it is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, BadFrame> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(BadFrame::TooLarge(length));
    }
    if length < DIGEST_BYTES {
        return Err(BadFrame::Malformed);
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (received_digest, body) = frame.split_at(DIGEST_BYTES);
    if received_digest != digest(body) {
        return Err(BadFrame::DigestMismatch);
    }
    let (frame, rest_of_body) = postcard::take_from_bytes(body).map_err(|_| BadFrame::Malformed)?;
    if rest_of_body.is_empty() { Ok(Some((frame, 4 + length))) } else { Err(BadFrame::Malformed) }
}

#[cfg(test)]
mod tests;
