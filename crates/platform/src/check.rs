//! Rejects settings under which no front node can serve: settings that parse but are incomplete, contradict each other or
//! leave no time. Parsing is done elsewhere. An error names the key and the reason; a running node keeps its old settings.

use std::collections::BTreeSet;

use elderstage::settings::{SettingNames, SettingsError};
use elderstage::{Settings, Time};

/// Shortest deadline, in microseconds: engines are sent deadlines in whole milliseconds.
const MIN_DEADLINE: Time = 1_000;

/// The error for a key.
fn invalid<T>(path: impl Into<String>, what: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError { path: path.into(), message: what.into() })
}

/// Checks names by which requests or lists refer to something: no name is empty or occurs twice.
fn check_distinct(key: &str, names: &[String]) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for (position, name) in names.iter().enumerate() {
        if name.is_empty() {
            return invalid(format!("{key}[{position}]"), "has no name");
        }
        if !seen.insert(name) {
            return invalid(format!("{key}[{position}]"), format!("{name:?} is named twice"));
        }
    }
    Ok(())
}

/// Checks names of which there has to be at least one. `without` says what is impossible without any.
fn check_not_empty(key: &str, names: &[String], without: &str) -> Result<(), SettingsError> {
    if names.is_empty() {
        invalid(key, format!("is empty or missing: {without}"))
    } else {
        check_distinct(key, names)
    }
}

fn check_classes(settings: &Settings, names: &SettingNames) -> Result<(), SettingsError> {
    check_not_empty("services", &names.classes, "no request could be of any class")?;
    let round_trip = MIN_DEADLINE.max(settings.tick);
    for (position, class) in settings.classes.iter().enumerate() {
        let deadline = names.deadlines.get(position).copied().unwrap_or(Time::MAX);
        if deadline < round_trip {
            let what = format!(
                "{deadline} is shorter than a round trip ({round_trip}): nothing could be answered in time"
            );
            return invalid(format!("services[{position}].give-up-us"), what);
        }
        if class.ttft_target == 0 {
            return invalid(format!("services[{position}].aim-us"), "0 leaves no time for an answer");
        }
    }
    Ok(())
}

fn check_kinds(settings: &Settings, names: &SettingNames) -> Result<(), SettingsError> {
    check_not_empty("skus", &names.kinds, "no engine could be of any kind")?;
    let (roles, kinds) = (settings.roles.len(), names.kinds.len());
    if roles > 0 && roles != kinds {
        return invalid(
            "domain.kind-role",
            format!("lists the roles of {roles} kinds, and there are {kinds} kinds"),
        );
    }
    Ok(())
}

fn check_zones(settings: &Settings, names: &SettingNames) -> Result<(), SettingsError> {
    check_distinct("zones", &names.zones)?;
    let (zone, zones) = (settings.zone as usize, names.zones.len());
    if zones > 0 && zone >= zones {
        return invalid("zone", format!("{zone} is not the position of one of {zones} zones"));
    }
    Ok(())
}

fn check_limits(settings: &Settings) -> Result<(), SettingsError> {
    if settings.max_attempts == 0 {
        return invalid("limits.most-tries", "0 allows no attempt");
    }
    if settings.connect_timeout == 0 {
        return invalid("limits.connect-timeout-us", "is 0 or missing: no connection could be made");
    }
    if settings.tick == 0 && settings.release_time_limit == 0 {
        return invalid(
            "tick-us",
            "is 0 or missing, and so is domain.let-go-by-us: there is no time limit to act in",
        );
    }
    Ok(())
}

/// Checks whether a node can serve under these settings.
pub fn check(settings: &Settings, names: &SettingNames) -> Result<(), SettingsError> {
    check_classes(settings, names)?;
    check_kinds(settings, names)?;
    check_zones(settings, names)?;
    check_distinct("orgs", &names.tenants)?;
    check_limits(settings)
}
