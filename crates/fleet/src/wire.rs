//! What processes say to each other, and its form on a stream.
//!
//! A frame is a length (4 bytes, big-endian, of what follows), 16 bytes of a BLAKE3 digest, and a [`Frame`] by
//! postcard. What does not read, or is over [`MAX_FRAME_BYTES`], ends its connection and nothing else. The first frame of a
//! connection is a [`Hello`], which says who comes and of which fleet.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::BadProposal;
use crate::evidence::{GroupCounts, Report, ReportVersion};
use crate::members::MemberStatus;
use crate::name::Name;
use crate::record::{Change, Command, LogStatus, Outcome, ReplicaStatus};

/// Largest frame, in bytes: a snapshot of 256 waiting changes whose texts are of common size, or a keeper's whole
/// list of versions.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Of these forms a process speaks only one; a new one is a new number.
pub const PROTOCOL_VERSION: u32 = 1;
/// Length and digest before a frame.
const HEADER_BYTES: usize = 4 + DIGEST_BYTES;
const DIGEST_BYTES: usize = 16;

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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    #[serde(rename = "form")]
    pub protocol_version: u32,
    /// A member: its name and its fleet. A client that asks comes without.
    pub member: Option<(Name, FleetKey)>,
}

/// Tells a fleet from another of the same name: a digest of its name and of its keepers and where they are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey {
    pub name: Name,
    pub digest: [u8; DIGEST_BYTES],
}

impl FleetKey {
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

/// Between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Of the consensus library, between keepers.
    #[serde(rename = "Record")]
    Raft(Vec<u8>),
    /// What this keeper holds; `wants_reply`: the other is to say the same.
    #[serde(rename = "Holds")]
    LogStatus {
        #[serde(rename = "holds")]
        status: LogStatus,
        #[serde(rename = "ask")]
        wants_reply: bool,
    },
    Swim(Vec<u8>),
    Report(Box<Report>),
    /// A keeper to an agent, on its report: how far the record is.
    #[serde(rename = "Heard")]
    ReportAck {
        #[serde(rename = "taken")]
        applied_commands: u64,
    },
    /// Which reports a keeper holds, to one that may have newer ones.
    #[serde(rename = "Versions")]
    ReportVersions(Vec<ReportVersion>),
    Reports(Vec<Report>),
}

/// A client's question to any keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientRequest {
    Propose(Box<Command>),
    Show,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientResponse {
    /// A majority has it on disk, and this came of it.
    #[serde(rename = "Done")]
    Applied(Outcome),
    /// Not known to have been taken; asking again with the same proposer and number is harmless.
    #[serde(rename = "NotYet")]
    Unconfirmed(String),
    Refused(BadProposal),
    #[serde(rename = "Shown")]
    Status(Box<FleetStatus>),
}

/// How the fleet stands, as one keeper sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    pub fleet: Name,
    pub keeper: Name,
    pub keepers: Vec<Name>,
    #[serde(rename = "standing")]
    pub status: ReplicaStatus,
    /// What this keeper found wrong with its disk when it started.
    #[serde(rename = "doubts")]
    pub disk_faults: Vec<String>,
    /// Commands in the record, and a digest of what they came to.
    #[serde(rename = "taken")]
    pub applied_commands: u64,
    pub digest: String,
    pub changes: Vec<Change>,
    pub members: Vec<MemberStatus>,
    /// Members that count, and how many of them are silent.
    pub counting: u32,
    pub silent: u32,
    pub groups: Vec<(elderstage_tally::Key, GroupCounts)>,
}

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    #[error("a frame of {0} bytes, {MAX_FRAME_BYTES} at most")]
    TooLarge(usize),
    #[error("a frame whose digest does not match")]
    DigestMismatch,
    #[error("a frame that can't be read")]
    Malformed,
}

fn digest(bytes: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST_BYTES]);
    digest
}

/// A frame as it goes on a stream; an error where it is too large to be taken.
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

/// The first frame of these bytes and how many of them it took; `None` while it is not whole.
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
