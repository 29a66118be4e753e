//! Proposals: a change of settings or program, with its stages.
//!
//! A proposal is validated as a whole before it enters the record, by the proposer and by every keeper; the record
//! holds only valid proposals. Changes of one scope queue: one is in progress, later ones wait. Carrying a change out
//! in stages and judging the stages is not implemented yet.

mod proposal;

pub use proposal::{
    BadProposal, ChangeContent, MAX_SETTINGS_TEXT_BYTES, MemberShare, Proposal, Stage, content_digest,
};
