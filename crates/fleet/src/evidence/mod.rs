//! Request counts of the members, summed over the fleet.
//!
//! A report holds everything that a member has counted since its start ([`Report`]). So a lost, duplicated, late or
//! reordered report does not distort the sum, and the last report of a killed member stays counted. Each keeper holds
//! all reports ([`ReportStore`]); keepers exchange newer ones. A silent member makes a group look worse; it is never
//! left out ([`EvidenceSummary`]). This module does not judge a change by the counts.

mod report;
mod store;
mod summary;

pub use report::{MAX_REPORT_BYTES, Report};
pub use store::{MemberReports, ReportStore, ReportVersion};
pub use summary::{EvidenceSummary, GroupCounts};
