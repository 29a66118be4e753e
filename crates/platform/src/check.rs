//! What no front node could serve under: settings that are readable but leave something out, contradict each other or
//! leave no time. Each is one error that names the key and the reason; a running node keeps its old settings then.

use std::collections::BTreeSet;

use elderstage::settings::{Names, SettingsError};
use elderstage::{Settings, Time};

/// Deadlines are told to engines in whole milliseconds: a shorter one can't be told.
const LEAST_DEADLINE: Time = 1_000;

fn wrong<T>(path: impl Into<String>, what: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError { path: path.into(), what: what.into() })
}

/// Names by which requests or lists refer to something: each once, none empty.
fn distinct(key: &str, names: &[String]) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for (position, name) in names.iter().enumerate() {
        if name.is_empty() {
            return wrong(format!("{key}[{position}]"), "has no name");
        }
        if !seen.insert(name) {
            return wrong(format!("{key}[{position}]"), format!("{name:?} is named twice"));
        }
    }
    Ok(())
}

fn some(key: &str, names: &[String], without: &str) -> Result<(), SettingsError> {
    if names.is_empty() {
        wrong(key, format!("is empty or missing: {without}"))
    } else {
        distinct(key, names)
    }
}

fn classes(settings: &Settings, names: &Names) -> Result<(), SettingsError> {
    some("services", &names.classes, "no request could be of any class")?;
    let round = LEAST_DEADLINE.max(settings.tick);
    for (position, class) in settings.classes.iter().enumerate() {
        let deadline = names.deadlines.get(position).copied().unwrap_or(Time::MAX);
        if deadline < round {
            let what = format!(
                "{deadline} is shorter than a round trip ({round}): nothing could be answered in time"
            );
            return wrong(format!("services[{position}].give-up-us"), what);
        }
        if class.ttft_aim == 0 {
            return wrong(format!("services[{position}].aim-us"), "0 leaves no time for an answer");
        }
    }
    Ok(())
}

fn kinds(settings: &Settings, names: &Names) -> Result<(), SettingsError> {
    some("skus", &names.kinds, "no engine could be of any kind")?;
    let (roles, kinds) = (settings.roles.len(), names.kinds.len());
    if roles > 0 && roles != kinds {
        return wrong("domain.kind-role", format!("tells the roles of {roles} kinds, and there are {kinds}"));
    }
    Ok(())
}

fn zones(settings: &Settings, names: &Names) -> Result<(), SettingsError> {
    distinct("zones", &names.zones)?;
    let (zone, zones) = (settings.zone as usize, names.zones.len());
    if zones > 0 && zone >= zones {
        return wrong("zone", format!("{zone} is not the position of one of {zones} zones"));
    }
    Ok(())
}

fn limits(settings: &Settings) -> Result<(), SettingsError> {
    if settings.most_tries == 0 {
        return wrong("limits.most-tries", "0 allows no attempt");
    }
    if settings.connect_timeout == 0 {
        return wrong("limits.connect-timeout-us", "is 0 or missing: no connection could be made");
    }
    if settings.tick == 0 && settings.let_go_by == 0 {
        return wrong("tick-us", "is 0 or missing, and so is domain.let-go-by-us: no time to act in is told");
    }
    Ok(())
}

/// Whether a node could serve under these settings.
pub fn check(settings: &Settings, names: &Names) -> Result<(), SettingsError> {
    classes(settings, names)?;
    kinds(settings, names)?;
    zones(settings, names)?;
    distinct("orgs", &names.tenants)?;
    limits(settings)
}
