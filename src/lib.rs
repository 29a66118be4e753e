//! The decisions of a router for language-model servers that work in two stages: a reader processes the
//! prompt (prefill), a writer streams the answer (decode).
//!
//! The library does no I/O, reads no clock and starts no threads. A front passes [`Event`]s to one [`Router`]
//! and carries out the [`Action`]s that it returns, in their order:
//!
//! ```
//! use elderstage::{
//!     Action, Arrival, Event, ListMode, RequestId, Router, ServerEntry, ServerId, ServerStatus,
//! };
//! # fn settings() -> elderstage::Settings { elderstage::example_settings() }
//! let mut router = Router::new(settings(), 7);
//! let mut actions = Vec::new();
//! let server = |name: &str, kind| ServerEntry {
//!     server: ServerId(name.into()), listed: ServerStatus::Running, kind, zone: 0, cell: 0, weight: 1.0,
//!     ready_at: 0,
//! };
//! let entries = vec![server("reader", 0), server("writer", 1)];
//! router.handle(1_000, Event::Servers { mode: ListMode::Full, entries }, &mut actions);
//! let arrival = Arrival {
//!     id: RequestId(1), class: 0, tenant: 0, session: None, prefix: None, time_left: 6_000_000,
//!     output_time_hint: 0, prompt_tokens: 900.0, shared_tokens: 0.0, max_output_tokens: 200.0,
//!     is_repeat: false, is_resumed: false,
//! };
//! router.handle(2_000, Event::Arrived(arrival), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server, .. } if &*server.0 == "reader")));
//! ```

mod api;
mod policy;
#[cfg(feature = "settings")]
pub mod settings;

pub use api::*;
pub use policy::Router;

/// Settings of a small fictitious deployment, for trying out the library and for tests.
pub fn example_settings() -> Settings {
    Settings {
        front_number: 0,
        zone: 0,
        front_count: 1,
        tick: 2_000,
        classes: vec![Class {
            repeat: RepeatPolicy::Safe,
            ttft_target: 1_000_000,
            ttft_target_per_1000_tokens: 40_000.0,
            tpot_target: 60_000.0,
            worth: 1.0,
            late_worth: 0.1,
        }],
        tenants: Vec::new(),
        over_quota_worth: 0.1,
        roles: vec![Role::Prefill, Role::Decode, Role::Mixed],
        kv_tokens: vec![100_000.0; 3],
        writers_may_read: true,
        may_reserve_places: false,
        may_resume: false,
        release_time_limit: 300_000,
        discovery: Discovery::Pushed,
        report_fields: Vec::new(),
        reports_in_answers: false,
        may_cancel: true,
        may_probe: false,
        may_advise: true,
        may_duplicate: false,
        max_attempts: 4,
        connect_timeout: 250_000,
        max_retry_after: 500_000,
        answer_slack: 8_000,
        resubscribe_within: 10_000_000,
        drain_grace: 1_000_000,
        cold_start_share: 0.3,
        cold_duration: 10_000_000,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
    }
}
