//! What members count, added up over the fleet.
//!
//! A report is all that a member has counted since its start ([`Report`]): so a report that is lost, doubled, late or
//! out of order changes nothing, and a killed member's last report stays counted. Keepers each hold all reports
//! ([`ReportStore`]) and tell each other what is newer. A member that falls silent counts as worse, never as absent
//! ([`EvidenceSummary`]).

mod report;
mod store;
mod summary;

pub use report::{MAX_REPORT_BYTES, Report};
pub use store::{MemberReports, ReportStore, ReportVersion};
pub use summary::{EvidenceSummary, GroupCounts};
