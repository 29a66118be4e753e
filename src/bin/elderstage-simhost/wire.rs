//! The text format of the simulator's wire: parses lines into events and formats actions as lines. It keeps
//! no state.
//!
//! Messages and fields that are not handled here are skipped, so that the simulator may add new ones.

use std::fmt;

use elderstage::{
    Action, Arrival, Event, ListMode, Outcome, RequestId, ServerEntry, ServerId, ServerStatus, TextKey,
};

/// An invalid line: which field is wrong, and why.
#[derive(Debug)]
pub struct LineError {
    field: String,
    what: String,
}

impl LineError {
    /// Describes what is wrong with `field`.
    pub fn new(field: impl Into<String>, what: impl Into<String>) -> LineError {
        LineError { field: field.into(), what: what.into() }
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "field {}: {}", self.field, self.what)
    }
}

/// The messages that this host handles, besides `MARK` and `ENGINE`; all others are skipped.
pub const HANDLED_MESSAGES: &[&str] = &[
    "END",
    "AT",
    "ATTACH",
    "SNAPSHOT_ROWS",
    "BACKENDS_CHANGED",
    "ACCEPT",
    "ANSWER",
    "STREAMING",
    "TIMED_OUT_CLIENT",
    "PROBE_DONE",
    "BOOKING",
    "HALT",
    "DEADLINE_HIT",
];

/// Fields that contain spaces: their value is the rest of the line.
const REST_OF_LINE_FIELDS: &[&str] = &["profile-data"];

/// One line: the name of a message and its fields.
pub struct Line<'a> {
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line into its fields. The fields of a message that is not handled are not read.
    pub fn parse(text: &'a str) -> Result<Line<'a>, LineError> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Vec::new();
        if name != "MARK" && name != "ENGINE" && !HANDLED_MESSAGES.contains(&name) {
            return Ok(Line { name, fields });
        }
        while !rest.is_empty() {
            let Some((key, remainder)) = rest.split_once('=') else {
                return Err(LineError::new(rest, "is not a name=value pair"));
            };
            if key.is_empty() || key.contains(' ') {
                return Err(LineError::new(key, "is not a name=value pair"));
            }
            let (value, remainder) = if REST_OF_LINE_FIELDS.contains(&key) {
                (remainder, "")
            } else {
                remainder.split_once(' ').unwrap_or((remainder, ""))
            };
            fields.push((key, value));
            rest = remainder;
        }
        Ok(Line { name, fields })
    }

    fn find(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == key).map(|(_, value)| *value)
    }

    /// The value of a field that must be present and not empty.
    pub fn text(&self, key: &str) -> Result<&'a str, LineError> {
        let found = self.find(key).filter(|value| !value.is_empty());
        found.ok_or_else(|| LineError::new(key, format!("is missing from {}", self.name)))
    }

    /// The value of a required field as a whole number.
    pub fn int(&self, key: &str) -> Result<u64, LineError> {
        parse_int(key, self.text(key)?)
    }

    fn int_or_0(&self, key: &str) -> Result<u64, LineError> {
        self.find(key).map_or(Ok(0), |value| parse_int(key, value))
    }

    fn int_u32(&self, key: &str) -> Result<u32, LineError> {
        u32::try_from(self.int_or_0(key)?).map_err(|_| LineError::new(key, "is out of range"))
    }

    fn id(&self) -> Result<RequestId, LineError> {
        self.text("id")?;
        Ok(RequestId(self.int_u32("id")?))
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, LineError> {
        let Some(value) = self.find(key) else {
            return Ok(default);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(LineError::new(key, format!("{value:?} is not a finite number of 0 or more"))),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, LineError> {
        match self.find(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(LineError::new(key, format!("{value:?} is not 0 or 1"))),
        }
    }

    fn server(&self) -> Result<ServerId, LineError> {
        Ok(ServerId(self.text("engine")?.into()))
    }

    fn load(&self) -> Result<Option<Vec<f64>>, LineError> {
        let Some(row) = self.find("health-info").filter(|row| !row.is_empty() && *row != "-") else {
            return Ok(None);
        };
        let values = row.split(',').map(|value| match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(LineError::new("health-info", format!("{value:?} is not a finite number"))),
        });
        values.collect::<Result<Vec<f64>, LineError>>().map(Some)
    }

    fn outcome(&self) -> Result<Outcome, LineError> {
        Ok(match self.text("disposition")? {
            "OK" => Outcome::Served,
            "INTERNAL" => Outcome::Error,
            "RESOURCE_EXHAUSTED" => Outcome::Full,
            "DEADLINE_EXCEEDED" => Outcome::TimedOut,
            "UNAVAILABLE" => Outcome::NoConnection,
            "ABORTED" => Outcome::Broken,
            "CANCELLED" => Outcome::Cancelled,
            "TOO_LATE" => Outcome::NotSent,
            "READ" => Outcome::Read,
            other => return Err(LineError::new("disposition", format!("{other:?} is not a known outcome"))),
        })
    }
}

fn parse_int(key: &str, value: &str) -> Result<u64, LineError> {
    let number = value.parse::<u64>().ok().filter(|number| *number <= 1 << 63);
    number.ok_or_else(|| LineError::new(key, format!("{value:?} is not a whole number from 0 to 2^63")))
}

/// The kind of list that a `BACKENDS_CHANGED` line announces.
pub fn parse_list_mode(line: &Line) -> Result<ListMode, LineError> {
    Ok(match line.text("mode")? {
        "update" => ListMode::Changes,
        "replace" => ListMode::Full,
        "restored" => ListMode::Restored,
        "unavailable" => ListMode::Failed,
        other => return Err(LineError::new("mode", format!("{other:?} is not a known list mode"))),
    })
}

/// The entry of a list on an `ENGINE` line.
pub fn parse_entry(line: &Line) -> Result<ServerEntry, LineError> {
    let listed = match line.text("status")? {
        "Running" => ServerStatus::Running,
        "Stopping" => ServerStatus::Draining,
        "Deleted" => ServerStatus::Gone,
        other => return Err(LineError::new("status", format!("{other:?} is not a known status"))),
    };
    Ok(ServerEntry {
        server: line.server()?,
        listed,
        kind: line.int_u32("shape")? as usize,
        zone: line.int_u32("site")?,
        cell: line.int_u32("block")?,
        weight: line.number("heft", 1.0)?,
        ready_at: line.int_or_0("ready-at-us")?,
    })
}

/// The event on a line, or `None` for a message that is not handled.
pub fn parse_event(line: &Line) -> Result<Option<Event>, LineError> {
    Ok(Some(match line.name {
        "ACCEPT" => Event::Arrived(Arrival {
            id: line.id()?,
            class: line.int_u32("tier-class")? as usize,
            tenant: line.int_u32("account")? as usize,
            session: line.find("session-id").map(|key| TextKey(key.into())),
            prefix: line.find("prefix-id").map(|key| TextKey(key.into())),
            time_left: line.int("time-left-us")?,
            output_time_hint: line.int_or_0("hint-us")?,
            prompt_tokens: line.number("n-prompt", 0.0)?,
            shared_tokens: line.number("shared-len", 0.0)?,
            max_output_tokens: line.number("n-max", 0.0)?,
            is_repeat: line.flag("repeat")?,
            is_resumed: line.flag("returned")?,
        }),
        "ANSWER" => Event::Ended {
            id: line.id()?,
            attempt: line.int_u32("hop")?,
            server: line.server()?,
            outcome: line.outcome()?,
            took: line.int_or_0("took-us")?,
            is_settled: line.flag("settled")?,
            note: line.int_or_0("note")?,
            load: line.load()?,
        },
        "STREAMING" => Event::Streaming {
            id: line.id()?,
            attempt: line.int_u32("hop")?,
            server: line.server()?,
            took: line.int_or_0("took-us")?,
        },
        "TIMED_OUT_CLIENT" => Event::ClientGone { id: line.id()? },
        "PROBE_DONE" => Event::Probed {
            server: line.server()?,
            outcome: line.outcome()?,
            took: line.int_or_0("took-us")?,
            load: line.load()?,
        },
        "BOOKING" => Event::Place {
            id: line.id()?,
            attempt: line.int_u32("hop")?,
            server: line.server()?,
            held: line.int("what")? == 1,
        },
        "DEADLINE_HIT" => Event::Timer { name: line.int("name")? },
        _ => return Ok(None),
    }))
}

/// Appends the line for an action to `out`.
pub fn write_action(action: &Action, out: &mut String) {
    let line = match action {
        Action::Send { id, server, timeout } => {
            format!("DELIVER id={} try-for-us={timeout} engine={}\n", id.0, server.0)
        }
        Action::Refuse { id, retry_after } => format!("NOT_NOW id={} retry-after-us={retry_after}\n", id.0),
        Action::Fail { id } => format!("ABORT id={}\n", id.0),
        Action::Cancel { id, attempt } => format!("RETRACT id={} hop={attempt}\n", id.0),
        Action::Release { id } => format!("UNHOLD id={}\n", id.0),
        Action::Probe { server } => format!("POLL engine={}\n", server.0),
        Action::Timer { after, name } => format!("NOTIFY_ME wait-us={after} name={name}\n"),
        Action::Subscribe => "KEEP_INFORMED active=1\n".to_string(),
        Action::Move { id } => format!("RELOCATE id={}\n", id.0),
    };
    out.push_str(&line);
}
