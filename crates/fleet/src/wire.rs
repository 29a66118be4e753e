//! What processes say to each other, and its form on a stream.
//!
//! A frame is a length (4 bytes, big-endian, of what follows), 16 bytes of a BLAKE3 digest, and a [`Frame`] by
//! postcard. What does not read, or is over [`MOST_FRAME`], ends its connection and nothing else. The first frame of a
//! connection is a [`Hello`], which says who comes and of which fleet.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::BadProposal;
use crate::evidence::{Group, Report, Version};
use crate::members::Seen;
use crate::name::Name;
use crate::record::{Change, Command, Holds, Outcome, Standing};

/// Largest frame, in bytes: a snapshot of 256 waiting changes whose texts are of common size, or a keeper's whole
/// list of versions.
pub const MOST_FRAME: usize = 16 << 20;
/// Of these forms a process speaks only one; a new one is a new number.
pub const FORM: u32 = 1;
/// Length and digest before a frame.
const HEAD: usize = 4 + DIGEST;
const DIGEST: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    Hello(Hello),
    Body(Body),
    Ask(Ask),
    Answer(Box<Answer>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub form: u32,
    /// A member: its name and its fleet. A client that asks comes without.
    pub member: Option<(Name, FleetKey)>,
}

/// Tells a fleet from another of the same name: a digest of its name and of its keepers and where they are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey {
    pub name: Name,
    pub digest: [u8; DIGEST],
}

impl FleetKey {
    pub fn new<'a>(name: &Name, keepers: impl Iterator<Item = (&'a Name, std::net::SocketAddr)>) -> FleetKey {
        let mut hasher = blake3::Hasher::new_derive_key("elderstage fleet key");
        hasher.update(name.as_str().as_bytes());
        for (keeper, at) in keepers {
            hasher.update(format!("\n{keeper} {at}").as_bytes());
        }
        let mut digest = [0; DIGEST];
        hasher.finalize_xof().fill(&mut digest);
        FleetKey { name: name.clone(), digest }
    }
}

/// Between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Of the consensus library, between keepers.
    Record(Vec<u8>),
    /// What this keeper holds; `ask`: the other is to say the same.
    Holds {
        holds: Holds,
        ask: bool,
    },
    Swim(Vec<u8>),
    Report(Box<Report>),
    /// A keeper to an agent, on its report: how far the record is.
    Heard {
        taken: u64,
    },
    /// Which reports a keeper holds, to one that may have newer ones.
    Versions(Vec<Version>),
    Reports(Vec<Report>),
}

/// A client's question to any keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    Propose(Box<Command>),
    Show,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A majority has it on disk, and this came of it.
    Done(Outcome),
    /// Not known to have been taken; asking again with the same proposer and number is harmless.
    NotYet(String),
    Refused(BadProposal),
    Shown(Box<Shown>),
}

/// How the fleet stands, as one keeper sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    pub fleet: Name,
    pub keeper: Name,
    pub keepers: Vec<Name>,
    pub standing: Standing,
    /// What this keeper found wrong with its disk when it started.
    pub doubts: Vec<String>,
    /// Commands in the record, and a digest of what they came to.
    pub taken: u64,
    pub digest: String,
    pub changes: Vec<Change>,
    pub members: Vec<Seen>,
    /// Members that count, and how many of them are silent.
    pub counting: u32,
    pub silent: u32,
    pub groups: Vec<(elderstage_tally::Key, Group)>,
}

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    #[error("a frame of {0} bytes, {MOST_FRAME} at most")]
    TooLarge(usize),
    #[error("a frame whose digest does not match")]
    Garbled,
    #[error("a frame that can't be read")]
    Unread,
}

fn digest(bytes: &[u8]) -> [u8; DIGEST] {
    let mut digest = [0; DIGEST];
    digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..DIGEST]);
    digest
}

/// A frame as it goes on a stream; an error where it is too large to be taken.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, BadFrame> {
    let bytes = postcard::to_stdvec(frame).map_err(|_| BadFrame::Unread)?;
    let length = DIGEST + bytes.len();
    if length > MOST_FRAME {
        return Err(BadFrame::TooLarge(length));
    }
    let mut out = Vec::with_capacity(HEAD + bytes.len());
    out.extend_from_slice(&(length as u32).to_be_bytes());
    out.extend_from_slice(&digest(&bytes));
    out.extend_from_slice(&bytes);
    Ok(out)
}

/// The first frame of these bytes and how many of them it took; `None` while it is not whole.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, BadFrame> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MOST_FRAME {
        return Err(BadFrame::TooLarge(length));
    }
    if length < DIGEST {
        return Err(BadFrame::Unread);
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let (found, body) = frame.split_at(DIGEST);
    if found != digest(body) {
        return Err(BadFrame::Garbled);
    }
    let (frame, left) = postcard::take_from_bytes(body).map_err(|_| BadFrame::Unread)?;
    if left.is_empty() { Ok(Some((frame, 4 + length))) } else { Err(BadFrame::Unread) }
}

#[cfg(test)]
mod tests;
