//! The settings object of a deployment, as the simulator's wire and a front node's configuration give it, to the
//! module's `Settings`. A key that is missing has its neutral reading: nothing allowed, no bound, no cost.

use std::fmt;

use serde_json::Value;

use crate::api::{Class, Discovery, Group, Repeat, ReportField, Role, Settings, Tenant, Time};

/// What is wrong with the settings, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Keys and positions that lead to the value; empty for the whole.
    pub path: String,
    pub what: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            write!(to, "{}", self.what)
        } else {
            write!(to, "{}: {}", self.path, self.what)
        }
    }
}

impl std::error::Error for SettingsError {}

/// What the settings call things by name, in the order of the positions that the module knows, and the limits that
/// concern sockets and not the module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    /// Servers close a connection that was idle for so long; `None` where nothing is said.
    pub idle_close: Option<Time>,
    /// By class: how long its clients wait, over all their tries.
    pub deadlines: Vec<Time>,
}

impl Names {
    /// The longest time that a client of any class waits.
    pub fn longest_wait(&self) -> Time {
        self.deadlines.iter().copied().max().unwrap_or(NO_DEADLINE)
    }

    /// Whether requests, lists and sockets are read alike under both: how long clients wait may change at any time.
    pub fn reads_like(&self, other: &Names) -> bool {
        *self == Names { deadlines: self.deadlines.clone(), ..other.clone() }
    }
}

/// The time of a class that names none: more than any client waits, and far from the end of the clock.
const NO_DEADLINE: Time = u64::MAX >> 20;

/// A value and the path that leads to it, for messages.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn get(&self, key: &str) -> At<'a> {
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        At { value: self.value.get(key).unwrap_or(&Value::Null), path }
    }

    fn wrong<T>(&self, wanted: &str) -> Result<T, SettingsError> {
        Err(SettingsError { path: self.path.clone(), what: format!("{} is not {wanted}", self.value) })
    }

    fn number(&self, absent: f64) -> Result<f64, SettingsError> {
        match self.value.as_f64() {
            Some(number) if number.is_finite() && number >= 0.0 => Ok(number),
            None if self.value.is_null() => Ok(absent),
            _ => self.wrong("a number of 0 or more"),
        }
    }

    fn whole(&self, absent: u64) -> Result<u64, SettingsError> {
        let number = self.number(absent as f64)?;
        if number.fract() == 0.0 && number <= 9.0e18 {
            Ok(number as u64)
        } else {
            self.wrong("a whole number")
        }
    }

    fn small(&self, absent: u32) -> Result<u32, SettingsError> {
        u32::try_from(self.whole(absent.into())?).or_else(|_| self.wrong("a small whole number"))
    }

    fn flag(&self) -> Result<bool, SettingsError> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(flag) => Ok(*flag),
            _ => self.wrong("true or false"),
        }
    }

    fn word(&self) -> Result<&'a str, SettingsError> {
        match self.value {
            Value::Null => Ok(""),
            Value::String(word) => Ok(word),
            _ => self.wrong("a word"),
        }
    }

    fn list(&self) -> Result<Vec<At<'a>>, SettingsError> {
        match self.value {
            Value::Null => Ok(Vec::new()),
            Value::Array(items) => {
                let at = |(i, value)| At { value, path: format!("{}[{i}]", self.path) };
                Ok(items.iter().enumerate().map(at).collect())
            }
            _ => self.wrong("a list"),
        }
    }
}

/// From JSON text.
pub fn read(text: &str) -> Result<Settings, SettingsError> {
    let object: Value = serde_json::from_str(text)
        .map_err(|error| SettingsError { path: String::new(), what: format!("bad JSON: {error}") })?;
    from_value(&object)
}

/// The names that the settings give, by position.
pub fn names(object: &Value) -> Result<Names, SettingsError> {
    let root = At { value: object, path: String::new() };
    let words = |key: &str| -> Result<Vec<String>, SettingsError> {
        root.get(key).list()?.iter().map(|item| item.word().map(str::to_owned)).collect()
    };
    let named = |key: &str| -> Result<Vec<String>, SettingsError> {
        root.get(key).list()?.iter().map(|item| item.get("name").word().map(str::to_owned)).collect()
    };
    let mut deadlines = Vec::new();
    for class in root.get("services").list()? {
        deadlines.push(class.get("give-up-us").whole(NO_DEADLINE)?);
    }
    let idle_close = root.get("limits").get("idle-close-us").whole(0)?;
    Ok(Names {
        zones: words("zones")?,
        kinds: words("skus")?,
        classes: named("services")?,
        tenants: named("orgs")?,
        idle_close: Some(idle_close).filter(|time| *time > 0),
        deadlines,
    })
}

/// From parsed JSON.
pub fn from_value(object: &Value) -> Result<Settings, SettingsError> {
    let root = At { value: object, path: String::new() };
    if !object.is_object() {
        return root.wrong("an object");
    }
    let (domain, limits, rules) = (root.get("domain"), root.get("limits"), root.get("obligations"));
    let report = root.get("report");
    for part in [&domain, &limits, &rules, &report] {
        if !part.value.is_null() && !part.value.is_object() {
            return part.wrong("an object");
        }
    }
    let nth = |at: &At, index: usize, absent: f64| -> Result<f64, SettingsError> {
        at.list()?.get(index).map_or(Ok(absent), |item| item.number(absent))
    };
    let mut classes = Vec::new();
    for (index, class) in root.get("services").list()?.iter().enumerate() {
        let give_up = class.get("give-up-us").whole(NO_DEADLINE)?;
        let group = match class.get("group").word()? {
            "" | "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            _ => return class.get("group").wrong("all, zone or cell"),
        };
        let repeat = match class.get("semantics").word()? {
            "pure" => Repeat::Safe,
            "token" => Repeat::Keyed { group, memory: class.get("memory-span-us").whole(0)? },
            "" | "side_effect" => Repeat::Unsafe,
            _ => return class.get("semantics").wrong("pure, token or side_effect"),
        };
        classes.push(Class {
            repeat,
            ttft_aim: class.get("aim-us").whole(give_up)?,
            ttft_aim_per_1000: nth(&domain.get("aim-us-per-1000-prompt-tokens"), index, 0.0)?,
            tpot_aim: nth(&domain.get("token-aim-us"), index, 0.0)?,
            worth: class.get("worth").number(1.0)?,
            late_worth: class.get("late-value").number(0.0)?,
        });
    }
    let mut tenants = Vec::new();
    for tenant in root.get("orgs").list()? {
        tenants.push(Tenant { quota_per_s: tenant.get("quota-per-s").number(f64::MAX)? });
    }
    let mut roles = Vec::new();
    for role in domain.get("kind-role").list()? {
        roles.push(match role.word()? {
            "read" => Role::Prefill,
            "write" => Role::Decode,
            "both" => Role::Mixed,
            _ => return role.wrong("read, write or both"),
        });
    }
    let mut kv_tokens = Vec::new();
    for kind in domain.get("tokens-by-kind").list()? {
        kv_tokens.push(kind.number(0.0)?);
    }
    let mut report_fields = Vec::new();
    for field in report.get("fields").list()? {
        report_fields.push(match field.word()? {
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
        me: root.get("me").small(0)?,
        zone: root.get("zone").small(0)?,
        fronts: root.get("n-instances").small(1)?.max(1),
        tick: root.get("tick-us").whole(0)?,
        classes,
        tenants,
        over_share_worth: root.get("over-share-worth").number(1.0)?,
        roles,
        kv_tokens,
        writers_read: domain.get("self-prefill").flag()?,
        places_ahead: domain.get("holds-allowed").flag()?,
        resume: domain.get("resume").flag()?,
        let_go_by: domain.get("let-go-by-us").whole(0)?,
        discovery: match root.get("discovery").word()? {
            "" | "automatic" => Discovery::Pushed,
            "subscribe" => Discovery::Asked,
            _ => return root.get("discovery").wrong("automatic or subscribe"),
        },
        report_fields,
        reports_in_answers: report.get("how").word()? == "answers",
        may_cancel: limits.get("cancel").flag()?,
        may_probe: limits.get("probes").flag()?,
        may_advise: limits.get("retry-after").flag()?,
        may_duplicate: limits.get("may-duplicate").flag()?,
        most_tries: limits.get("most-tries").small(1)?,
        connect_timeout: limits.get("connect-timeout-us").whole(0)?,
        max_retry_after: limits.get("max-retry-after-us").whole(0)?,
        answer_slack: rules.get("answer-slack-us").whole(0)?,
        ask_within: rules.get("ask-within-us").whole(0)?,
        drain_grace: rules.get("drain-grace-us").whole(0)?,
        cold_from: rules.get("cold-from").number(1.0)?,
        cold_for: rules.get("cold-us").whole(0)?,
        fall_multiple: rules.get("fall-multiple").number(f64::MAX)?,
        tip_after: rules.get("tip-after-us").whole(0)?,
    })
}
