//! Reads the settings object of a deployment, as the simulator's wire and the configuration of a front node
//! give it, into [`Settings`]. It checks the type of each value, but not whether the values fit together.
//!
//! A missing key gets its neutral value: nothing allowed, no limit, no cost.

use std::fmt;

use serde_json::Value;

use crate::api::{Class, Discovery, RepeatGroup, RepeatPolicy, ReportField, Role, Settings, Tenant, Time};

/// An invalid value in the settings and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Keys and positions that lead to the value; empty for the whole object.
    pub path: String,
    /// What is wrong with the value.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            write!(formatter, "{}", self.message)
        } else {
            write!(formatter, "{}: {}", self.path, self.message)
        }
    }
}

impl std::error::Error for SettingsError {}

/// The names that the settings use, in the order of the positions that the router uses, and the limits for
/// sockets and clients, which the router does not need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingNames {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of servers.
    pub kinds: Vec<String>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// How long a connection may be idle before servers close it; `None` if the settings give no value.
    pub idle_close: Option<Time>,
    /// By class: how long its clients wait, over all their attempts.
    pub deadlines: Vec<Time>,
}

impl SettingNames {
    /// The longest time that a client of any class waits.
    pub fn longest_wait(&self) -> Time {
        self.deadlines.iter().copied().max().unwrap_or(NO_DEADLINE)
    }

    /// Whether requests, lists and sockets are read in the same way under both. Only the deadlines of clients
    /// may differ, since they may change at any time.
    pub fn has_same_layout(&self, other: &SettingNames) -> bool {
        *self == SettingNames { deadlines: self.deadlines.clone(), ..other.clone() }
    }
}

/// The deadline of a class that gives none: longer than any client waits, and far from the end of the clock.
const NO_DEADLINE: Time = u64::MAX >> 20;

/// A value and its path, which error messages name.
struct ValueAtPath<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> ValueAtPath<'a> {
    fn get(&self, key: &str) -> ValueAtPath<'a> {
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        ValueAtPath { value: self.value.get(key).unwrap_or(&Value::Null), path }
    }

    fn invalid<T>(&self, expected: &str) -> Result<T, SettingsError> {
        Err(SettingsError { path: self.path.clone(), message: format!("{} is not {expected}", self.value) })
    }

    fn number(&self, default: f64) -> Result<f64, SettingsError> {
        match self.value.as_f64() {
            Some(number) if number.is_finite() && number >= 0.0 => Ok(number),
            None if self.value.is_null() => Ok(default),
            _ => self.invalid("a number of 0 or more"),
        }
    }

    fn integer(&self, default: u64) -> Result<u64, SettingsError> {
        let number = self.number(default as f64)?;
        if number.fract() == 0.0 && number <= 9.0e18 {
            Ok(number as u64)
        } else {
            self.invalid("a whole number")
        }
    }

    fn integer_u32(&self, default: u32) -> Result<u32, SettingsError> {
        u32::try_from(self.integer(default.into())?)
            .or_else(|_| self.invalid("a whole number up to 4294967295"))
    }

    fn boolean(&self) -> Result<bool, SettingsError> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(boolean) => Ok(*boolean),
            _ => self.invalid("true or false"),
        }
    }

    fn string(&self) -> Result<&'a str, SettingsError> {
        match self.value {
            Value::Null => Ok(""),
            Value::String(string) => Ok(string),
            _ => self.invalid("a string"),
        }
    }

    fn array(&self) -> Result<Vec<ValueAtPath<'a>>, SettingsError> {
        match self.value {
            Value::Null => Ok(Vec::new()),
            Value::Array(items) => {
                let value_at =
                    |(index, value)| ValueAtPath { value, path: format!("{}[{index}]", self.path) };
                Ok(items.iter().enumerate().map(value_at).collect())
            }
            _ => self.invalid("a list"),
        }
    }
}

/// Reads the settings from JSON text.
pub fn read(text: &str) -> Result<Settings, SettingsError> {
    let object: Value = serde_json::from_str(text)
        .map_err(|error| SettingsError { path: String::new(), message: format!("bad JSON: {error}") })?;
    from_value(&object)
}

/// Reads the names and the limits for sockets and clients.
pub fn read_names(object: &Value) -> Result<SettingNames, SettingsError> {
    let root = ValueAtPath { value: object, path: String::new() };
    let strings = |key: &str| -> Result<Vec<String>, SettingsError> {
        root.get(key).array()?.iter().map(|item| item.string().map(str::to_owned)).collect()
    };
    let names_of = |key: &str| -> Result<Vec<String>, SettingsError> {
        root.get(key).array()?.iter().map(|item| item.get("name").string().map(str::to_owned)).collect()
    };
    let mut deadlines = Vec::new();
    for class in root.get("services").array()? {
        deadlines.push(class.get("give-up-us").integer(NO_DEADLINE)?);
    }
    let idle_close = root.get("limits").get("idle-close-us").integer(0)?;
    Ok(SettingNames {
        zones: strings("zones")?,
        kinds: strings("skus")?,
        classes: names_of("services")?,
        tenants: names_of("orgs")?,
        idle_close: Some(idle_close).filter(|time| *time > 0),
        deadlines,
    })
}

/// Reads the settings from parsed JSON.
pub fn from_value(object: &Value) -> Result<Settings, SettingsError> {
    let root = ValueAtPath { value: object, path: String::new() };
    if !object.is_object() {
        return root.invalid("an object");
    }
    let (domain, limits, rules) = (root.get("domain"), root.get("limits"), root.get("obligations"));
    let report = root.get("report");
    for part in [&domain, &limits, &rules, &report] {
        if !part.value.is_null() && !part.value.is_object() {
            return part.invalid("an object");
        }
    }
    let number_at = |value: &ValueAtPath, index: usize, default: f64| -> Result<f64, SettingsError> {
        value.array()?.get(index).map_or(Ok(default), |item| item.number(default))
    };
    let mut classes = Vec::new();
    for (index, class) in root.get("services").array()?.iter().enumerate() {
        let deadline = class.get("give-up-us").integer(NO_DEADLINE)?;
        let group = match class.get("group").string()? {
            "" | "all" => RepeatGroup::All,
            "zone" => RepeatGroup::Zone,
            "cell" => RepeatGroup::Cell,
            _ => return class.get("group").invalid("all, zone or cell"),
        };
        let repeat = match class.get("semantics").string()? {
            "pure" => RepeatPolicy::Safe,
            "token" => RepeatPolicy::Keyed { group, memory: class.get("memory-span-us").integer(0)? },
            "" | "side_effect" => RepeatPolicy::Unsafe,
            _ => return class.get("semantics").invalid("pure, token or side_effect"),
        };
        classes.push(Class {
            repeat,
            ttft_target: class.get("aim-us").integer(deadline)?,
            ttft_target_per_1000_tokens: number_at(&domain.get("aim-us-per-1000-prompt-tokens"), index, 0.0)?,
            tpot_target: number_at(&domain.get("token-aim-us"), index, 0.0)?,
            worth: class.get("worth").number(1.0)?,
            late_worth: class.get("late-value").number(0.0)?,
        });
    }
    let mut tenants = Vec::new();
    for tenant in root.get("orgs").array()? {
        tenants.push(Tenant { quota_per_s: tenant.get("quota-per-s").number(f64::MAX)? });
    }
    let mut roles = Vec::new();
    for role in domain.get("kind-role").array()? {
        roles.push(match role.string()? {
            "read" => Role::Prefill,
            "write" => Role::Decode,
            "both" => Role::Mixed,
            _ => return role.invalid("read, write or both"),
        });
    }
    let mut kv_tokens = Vec::new();
    for kind in domain.get("tokens-by-kind").array()? {
        kv_tokens.push(kind.number(0.0)?);
    }
    let mut report_fields = Vec::new();
    for field in report.get("fields").array()? {
        report_fields.push(match field.string()? {
            "rif" => ReportField::InFlight,
            "q" => ReportField::Queue,
            "busy" => ReportField::Busy,
            "lat_ms" => ReportField::LatencyMs,
            "x0" => ReportField::MemoryShare,
            "x1" => ReportField::PendingThousands,
            _ => ReportField::Other,
        });
    }
    Ok(Settings {
        front_number: root.get("me").integer_u32(0)?,
        zone: root.get("zone").integer_u32(0)?,
        front_count: root.get("n-instances").integer_u32(1)?.max(1),
        tick: root.get("tick-us").integer(0)?,
        classes,
        tenants,
        over_quota_worth: root.get("over-share-worth").number(1.0)?,
        roles,
        kv_tokens,
        writers_may_read: domain.get("self-prefill").boolean()?,
        may_reserve_places: domain.get("holds-allowed").boolean()?,
        may_resume: domain.get("resume").boolean()?,
        release_time_limit: domain.get("let-go-by-us").integer(0)?,
        discovery: match root.get("discovery").string()? {
            "" | "automatic" => Discovery::Pushed,
            "subscribe" => Discovery::Asked,
            _ => return root.get("discovery").invalid("automatic or subscribe"),
        },
        report_fields,
        reports_in_answers: report.get("how").string()? == "answers",
        may_cancel: limits.get("cancel").boolean()?,
        may_probe: limits.get("probes").boolean()?,
        may_advise: limits.get("retry-after").boolean()?,
        may_duplicate: limits.get("may-duplicate").boolean()?,
        max_attempts: limits.get("most-tries").integer_u32(1)?,
        connect_timeout: limits.get("connect-timeout-us").integer(0)?,
        max_retry_after: limits.get("max-retry-after-us").integer(0)?,
        answer_slack: rules.get("answer-slack-us").integer(0)?,
        resubscribe_within: rules.get("ask-within-us").integer(0)?,
        drain_grace: rules.get("drain-grace-us").integer(0)?,
        cold_start_share: rules.get("cold-from").number(1.0)?,
        cold_duration: rules.get("cold-us").integer(0)?,
        overload_multiple: rules.get("fall-multiple").number(f64::MAX)?,
        overload_window: rules.get("tip-after-us").integer(0)?,
    })
}
