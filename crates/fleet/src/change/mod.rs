//! What can be proposed: a change of settings or program, with its stages.
//!
//! A proposal is checked whole before it goes into the record, by who proposes it and by every keeper; the record holds
//! only proposals that hold in themselves. Changes of one scope queue: one is under way, later ones wait. Carrying one
//! out by stages, with its judge, is the next step of this package.

mod proposal;

pub use proposal::{
    BadProposal, ChangeContent, MAX_SETTINGS_TEXT_BYTES, MemberShare, Proposal, Stage, content_digest,
};
