//! Converts the configuration and the list of servers into the types of the core and of the router.
//!
//! It reads no files and checks nothing: the configuration was checked when it was parsed.

use std::collections::HashMap;
use std::sync::RwLock;

use elderstage::{
    Class, Discovery, RepeatGroup, RepeatPolicy, ReportField, Role, ServerEntry, ServerId, ServerStatus,
    Settings, Time,
};
use elderstage_config::{
    Config, GroupName, Micros, ProofName, RepeatName, RoleName, ServerConfig, StateName,
};
use elderstage_core::addresses::{ConnectionLimits, Proof};
use elderstage_core::{ClassPlan, Limits, Plan, RoutePlan, ToolPlan};
use elderstage_protocol::{mcp, orca};

/// Shortest interval between two checks of the held requests; the resolution of the router's timers. In
/// microseconds.
const TICK_US: Time = 2_000;

/// Order of the values of a load report in the router's settings; [`load_values`] follows it.
const REPORT_FIELDS: [ReportField; 4] =
    [ReportField::Busy, ReportField::Queue, ReportField::MemoryShare, ReportField::PendingThousands];

/// The values of a load report in the order of [`REPORT_FIELDS`].
pub(crate) fn load_values(report: &orca::Report) -> Vec<f64> {
    let metric_or_zero = |name| report.named(name).unwrap_or(0.0);
    vec![
        report.application_utilization,
        metric_or_zero(orca::WAITING_METRIC),
        metric_or_zero(orca::KV_USAGE_METRIC),
        metric_or_zero(orca::PENDING_TOKENS_METRIC) / 1000.0,
    ]
}

fn repeat_policy(name: RepeatName) -> RepeatPolicy {
    match name {
        RepeatName::Safe => RepeatPolicy::Safe,
        RepeatName::Unsafe => RepeatPolicy::Unsafe,
        RepeatName::Keyed { group, memory } => {
            let group = match group {
                GroupName::All => RepeatGroup::All,
                GroupName::Zone => RepeatGroup::Zone,
                GroupName::Cell => RepeatGroup::Cell,
            };
            RepeatPolicy::Keyed { group, memory }
        }
    }
}

/// Converts the configuration to the plan of the core, including the settings of the router.
pub fn plan(config: &Config) -> Plan {
    let rules = &config.rules;
    let zone = config.zones.iter().position(|zone| *zone == config.front.zone).unwrap_or(0) as u32;
    let class = |class: &elderstage_config::ClassConfig| Class {
        repeat: repeat_policy(class.repeat),
        ttft_target: class.ttft_target,
        ttft_target_per_1000_tokens: class.first_token_per_1000 as f64,
        tpot_target: class.tpot_target as f64,
        worth: class.worth,
        late_worth: class.late_worth,
    };
    let role = |kind: &elderstage_config::KindConfig| match kind.role {
        RoleName::Prefill => Role::Prefill,
        RoleName::Decode => Role::Decode,
        RoleName::Mixed => Role::Mixed,
    };
    let settings = Settings {
        front_number: config.front.number,
        zone,
        front_count: config.front.fronts,
        tick: TICK_US,
        classes: config.classes.iter().map(class).collect(),
        tenants: Vec::new(),
        over_quota_worth: 0.0,
        roles: config.kinds.iter().map(role).collect(),
        kv_tokens: config.kinds.iter().map(|kind| kind.kv_tokens).collect(),
        writers_may_read: rules.writers_may_read,
        may_reserve_places: false,
        may_resume: false,
        release_time_limit: rules.release_time_limit,
        discovery: Discovery::Pushed,
        report_fields: REPORT_FIELDS.to_vec(),
        reports_in_answers: rules.reports_in_answers,
        may_cancel: true,
        may_probe: rules.may_probe,
        may_advise: true,
        may_duplicate: false,
        max_attempts: rules.max_attempts,
        connect_timeout: rules.connect_timeout,
        max_retry_after: rules.max_retry_after,
        answer_slack: rules.answer_slack,
        resubscribe_within: 0,
        drain_grace: rules.drain_grace,
        cold_start_share: rules.cold_start_share,
        cold_duration: rules.cold_duration,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_window,
    };
    let classes = config.classes.iter().map(|class| ClassPlan {
        repeat: repeat_policy(class.repeat),
        first_token_limit: class.give_up,
        first_token_limit_per_1000: class.give_up_per_1000 as f64,
        request_limit: class.total,
    });
    let tools = config.tools.iter().map(|tool| ToolPlan {
        name: tool.name.clone(),
        has_effect: tool.has_effect,
        timeout: tool.timeout,
        max_tries: tool.max_tries,
    });
    let tool_index = |name: &str| config.tools.iter().position(|tool| tool.name == name);
    let routes = config.routes.iter().map(|route| RoutePlan {
        name: route.name.clone(),
        class: config.classes.iter().position(|class| class.name == route.class).unwrap_or(0),
        tools: route.tools.iter().filter_map(|name| tool_index(name)).collect(),
        max_tokens: f64::from(route.max_tokens),
        max_legs: route.max_turns,
    });
    Plan {
        settings,
        classes: classes.collect(),
        tools: tools.collect(),
        routes: routes.collect(),
        limits: Limits {
            max_requests: config.front.max_requests,
            retry_after: rules.max_retry_after,
            ..Limits::default()
        },
    }
}

/// The bounds on connections that the configuration sets.
pub(crate) fn connection_bounds(config: &Config) -> ConnectionLimits {
    let connections = &config.connections;
    ConnectionLimits {
        dials_per_s: connections.dials_per_s,
        dial_burst: connections.dial_burst,
        max_per_server: connections.max_per_server,
        max_total: connections.max_total,
        max_idle_per_address: connections.max_idle_per_address,
        idle_timeout: connections.idle_timeout,
        max_age: connections.max_age,
        max_uses: connections.max_uses,
        grace: config.rules.drain_grace,
    }
}

/// The routes as MCP tools, the name of this front, and how connections to each server are proven.
pub(crate) struct Catalog {
    /// The routes, as `tools/list` shows them.
    pub tools: Vec<mcp::Tool>,
    /// Value of the `Via` header in requests to engines (RFC 9110, 7.6.3).
    pub via: String,
    proofs: RwLock<HashMap<ServerId, Proof>>,
}

impl Catalog {
    /// The catalog of a configuration; no server is listed yet.
    pub fn new(config: &Config) -> Catalog {
        let has_effect =
            |name: &String| config.tools.iter().any(|tool| tool.has_effect && tool.name == *name);
        let route_tool = |route: &elderstage_config::RouteConfig| mcp::Tool {
            name: route.name.clone(),
            description: route.description.clone(),
            read_only: !route.tools.iter().any(has_effect),
        };
        Catalog {
            tools: config.routes.iter().map(route_tool).collect(),
            via: format!("1.1 {} ({})", config.front.name, config.front.zone),
            proofs: RwLock::default(),
        }
    }

    /// How connections to this server are proven. Servers that are not listed need no proof.
    pub fn proof_for(&self, server: &ServerId) -> Proof {
        let proofs = self.proofs.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        proofs.get(server).copied().unwrap_or(Proof::None)
    }

    /// Replaces the list of servers and returns the entries for the router.
    pub fn update_servers(
        &self,
        config: &Config,
        servers: &[ServerConfig],
        clock_mapping: ClockMapping,
    ) -> Vec<ServerEntry> {
        let mut proofs = self.proofs.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        proofs.clear();
        for server in servers {
            let kind = config.kinds.iter().find(|kind| kind.name == server.kind);
            let proof = match kind.map_or(ProofName::None, |kind| kind.proof) {
                ProofName::Continue => Proof::Continue,
                ProofName::Health => Proof::Health,
                ProofName::None => Proof::None,
            };
            proofs.insert(ServerId(server.name.as_str().into()), proof);
        }
        entries(config, servers, |unix| clock_mapping.front_time(unix))
    }
}

/// Converts a list of servers to the entries of the router. `front_time` maps Unix times to the front's
/// clock.
pub fn entries(
    config: &Config,
    servers: &[ServerConfig],
    front_time: impl Fn(f64) -> Time,
) -> Vec<ServerEntry> {
    let entry = |server: &ServerConfig| ServerEntry {
        server: ServerId(server.name.as_str().into()),
        listed: match server.state {
            StateName::Running => ServerStatus::Running,
            StateName::Draining => ServerStatus::Draining,
            StateName::Gone => ServerStatus::Gone,
        },
        kind: config.kinds.iter().position(|kind| kind.name == server.kind).unwrap_or(0),
        zone: config.zones.iter().position(|zone| *zone == server.zone).unwrap_or(0) as u32,
        cell: server.cell,
        weight: server.weight,
        ready_at: front_time(server.started),
    };
    servers.iter().map(entry).collect()
}

/// The Unix time and the front's clock at the same moment; converts Unix times to the front's clock.
#[derive(Clone, Copy)]
pub(crate) struct ClockMapping {
    pub unix_s: f64,
    pub front_now: Micros,
}

impl ClockMapping {
    /// Reads both clocks.
    pub fn read(clock: elderstage_net::owner::Clock) -> ClockMapping {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        ClockMapping { unix_s: unix.as_secs_f64(), front_now: clock.now() }
    }

    /// Converts a Unix time in seconds to the front's clock. Returns 0 (long ago) if the time is unknown or lies
    /// before the clock's start.
    pub fn front_time(self, unix_s: f64) -> Time {
        if unix_s <= 0.0 {
            return 0;
        }
        (self.front_now as f64 + (unix_s - self.unix_s) * 1e6).max(0.0) as Time
    }
}
