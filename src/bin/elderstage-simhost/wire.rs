//! The words of the wire: lines to events, actions to lines.

use std::fmt;

use elderstage::{Action, Arrival, Entry, Event, ListMode, Listed, Outcome, ReqId, ServerId, TextKey};

/// What is wrong with a line.
#[derive(Debug)]
pub struct Fail {
    field: String,
    what: String,
}

impl Fail {
    pub fn new(field: impl Into<String>, what: impl Into<String>) -> Fail {
        Fail { field: field.into(), what: what.into() }
    }
}

impl fmt::Display for Fail {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "field {}: {}", self.field, self.what)
    }
}

/// The messages that this host acts on; others are skipped.
pub const KNOWN: &[&str] = &[
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

/// Fields of type text or object: they run to the line's end.
const TO_END: &[&str] = &["profile-data"];

/// One line: a name and its fields.
pub struct Line<'a> {
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Result<Line<'a>, Fail> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Vec::new();
        if name != "MARK" && name != "ENGINE" && !KNOWN.contains(&name) {
            return Ok(Line { name, fields });
        }
        while !rest.is_empty() {
            let Some((key, tail)) = rest.split_once('=') else {
                return Err(Fail::new(rest, "is no name=value pair"));
            };
            if key.is_empty() || key.contains(' ') {
                return Err(Fail::new(key, "is no name=value pair"));
            }
            let (value, tail) =
                if TO_END.contains(&key) { (tail, "") } else { tail.split_once(' ').unwrap_or((tail, "")) };
            fields.push((key, value));
            rest = tail;
        }
        Ok(Line { name, fields })
    }

    fn find(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == key).map(|(_, value)| *value)
    }

    pub fn text(&self, key: &str) -> Result<&'a str, Fail> {
        let found = self.find(key).filter(|value| !value.is_empty());
        found.ok_or_else(|| Fail::new(key, format!("is missing from {}", self.name)))
    }

    pub fn int(&self, key: &str) -> Result<u64, Fail> {
        whole(key, self.text(key)?)
    }

    fn int_or_0(&self, key: &str) -> Result<u64, Fail> {
        self.find(key).map_or(Ok(0), |value| whole(key, value))
    }

    fn small(&self, key: &str) -> Result<u32, Fail> {
        u32::try_from(self.int_or_0(key)?).map_err(|_| Fail::new(key, "is out of range"))
    }

    fn id(&self) -> Result<ReqId, Fail> {
        self.text("id")?;
        Ok(ReqId(self.small("id")?))
    }

    fn number(&self, key: &str, absent: f64) -> Result<f64, Fail> {
        let Some(value) = self.find(key) else {
            return Ok(absent);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(Fail::new(key, format!("{value:?} is no number of 0 or more"))),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, Fail> {
        match self.find(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(Fail::new(key, format!("{value:?} is neither 0 nor 1"))),
        }
    }

    fn server(&self) -> Result<ServerId, Fail> {
        Ok(ServerId(self.text("engine")?.into()))
    }

    fn load(&self) -> Result<Option<Vec<f64>>, Fail> {
        let Some(row) = self.find("health-info").filter(|row| !row.is_empty() && *row != "-") else {
            return Ok(None);
        };
        let values = row.split(',').map(|value| match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(Fail::new("health-info", format!("{value:?} is no number"))),
        });
        values.collect::<Result<Vec<f64>, Fail>>().map(Some)
    }

    fn outcome(&self) -> Result<Outcome, Fail> {
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
            other => return Err(Fail::new("disposition", format!("{other:?} is no outcome"))),
        })
    }
}

fn whole(key: &str, value: &str) -> Result<u64, Fail> {
    let number = value.parse::<u64>().ok().filter(|number| *number <= 1 << 63);
    number.ok_or_else(|| Fail::new(key, format!("{value:?} is no whole number from 0 to 2^63")))
}

pub fn mode(line: &Line) -> Result<ListMode, Fail> {
    Ok(match line.text("mode")? {
        "update" => ListMode::Changes,
        "replace" => ListMode::Full,
        "restored" => ListMode::Restored,
        "unavailable" => ListMode::Failed,
        other => return Err(Fail::new("mode", format!("{other:?} is no kind of list"))),
    })
}

pub fn entry(line: &Line) -> Result<Entry, Fail> {
    let listed = match line.text("status")? {
        "Running" => Listed::Running,
        "Stopping" => Listed::Draining,
        "Deleted" => Listed::Gone,
        other => return Err(Fail::new("status", format!("{other:?} is no status"))),
    };
    Ok(Entry {
        server: line.server()?,
        listed,
        kind: line.small("shape")? as usize,
        zone: line.small("site")?,
        cell: line.small("block")?,
        weight: line.number("heft", 1.0)?,
        ready_at: line.int_or_0("ready-at-us")?,
    })
}

/// The event on a line, if it is one that this host knows.
pub fn event(line: &Line) -> Result<Option<Event>, Fail> {
    Ok(Some(match line.name {
        "ACCEPT" => Event::Arrived(Arrival {
            id: line.id()?,
            class: line.small("tier-class")? as usize,
            tenant: line.small("account")? as usize,
            session: line.find("session-id").map(|key| TextKey(key.into())),
            prefix: line.find("prefix-id").map(|key| TextKey(key.into())),
            time_left: line.int("time-left-us")?,
            hint: line.int_or_0("hint-us")?,
            prompt: line.number("n-prompt", 0.0)?,
            shared: line.number("shared-len", 0.0)?,
            max_out: line.number("n-max", 0.0)?,
            repeat: line.flag("repeat")?,
            returned: line.flag("returned")?,
        }),
        "ANSWER" => Event::Ended {
            id: line.id()?,
            attempt: line.small("hop")?,
            server: line.server()?,
            outcome: line.outcome()?,
            took: line.int_or_0("took-us")?,
            settled: line.flag("settled")?,
            note: line.int_or_0("note")?,
            load: line.load()?,
        },
        "STREAMING" => Event::Streaming {
            id: line.id()?,
            attempt: line.small("hop")?,
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
            attempt: line.small("hop")?,
            server: line.server()?,
            held: line.int("what")? == 1,
        },
        "DEADLINE_HIT" => Event::Timer { name: line.int("name")? },
        _ => return Ok(None),
    }))
}

pub fn write(action: &Action, out: &mut String) {
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
