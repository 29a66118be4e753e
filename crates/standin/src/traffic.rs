//! What was seen on the sockets, as JSON lines: one record for each event, with the time and who saw it.

use std::collections::BTreeMap;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use serde::{Deserialize, Serialize};

/// Records that are written at the latest after this time.
const FLUSH: Duration = Duration::from_millis(100);

/// Microseconds of Unix time.
pub fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds of Unix time.
    pub at: u64,
    /// Name of the engine, tool server, client driver or hand that saw it.
    pub who: String,
    #[serde(flatten)]
    pub what: Seen,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Seen {
    // ---- Engines ----
    /// A process has started.
    Up {
        cold: bool,
        cold_from: f64,
        cold_for: u64,
        fall_multiple: f64,
        tip_after: u64,
    },
    Down,
    FellOver,
    /// A request has reached the engine. `work` is in microseconds of a warm engine.
    Received {
        rid: String,
        front: String,
        class: String,
        task: String,
        work: f64,
    },
    /// A writer has begun the answer: from here on an unsafe request has run.
    Ran {
        rid: String,
    },
    /// The answer to the front is over: a status, or how it broke.
    Answered {
        rid: String,
        how: String,
    },
    StateHeld {
        rid: String,
    },
    /// A writer has fetched the state.
    StateTaken {
        rid: String,
    },
    /// The front has asked to let go of a state, heard or not.
    ReleaseAsked {
        rid: String,
    },
    StateReleased {
        rid: String,
    },
    /// The state went with its process, or its holder let it expire.
    StateLost {
        rid: String,
    },
    // ---- Tool servers ----
    ToolReceived {
        rid: String,
        tool: String,
        effect: bool,
    },
    /// The call has had its effect, or given what it knows.
    ToolRan {
        rid: String,
        tool: String,
        effect: bool,
    },
    ToolAnswered {
        rid: String,
        how: String,
    },
    // ---- Clients ----
    /// `total`: the longest time to a final answer, in microseconds.
    Sent {
        rid: String,
        class: String,
        front: String,
        total: u64,
    },
    /// First piece of text.
    First {
        rid: String,
    },
    /// `served`, `refused` or `failed`; `text` is a hash of the answer's text.
    Final {
        rid: String,
        outcome: String,
        retry_after_ms: Option<u64>,
    },
    /// The client has left or cancelled.
    Left {
        rid: String,
    },
    /// The front's process died, or its connection broke, with the request out.
    Lost {
        rid: String,
    },
    // ---- Hands ----
    /// A list of servers was put in front of all fronts: each server's state.
    Listed {
        servers: BTreeMap<String, String>,
    },
    /// A front was started, told to drain, killed, or has ended.
    Front {
        front: String,
        what: String,
    },
    /// A fault was begun or ended.
    Fault {
        what: String,
    },
}

enum Line {
    Record(Box<Record>),
    Stop,
}

/// Where records go. Cheap to clone; never blocks the one who logs.
#[derive(Clone)]
pub struct Log(Option<Sender<Line>>);

/// Ends a log and waits until it is written.
pub struct Writer {
    sender: Sender<Line>,
    thread: JoinHandle<std::io::Result<Vec<Record>>>,
}

impl Log {
    /// Throws all records away.
    pub fn none() -> Log {
        Log(None)
    }

    /// Keeps the records, writes them to a file if one is named, and gives each to the tap if there is one.
    pub fn start(path: Option<&Path>, tap: Option<Sender<Record>>) -> std::io::Result<(Log, Writer)> {
        let file = path.map(std::fs::File::create).transpose()?;
        let (sender, receiver) = unbounded();
        let thread = std::thread::Builder::new()
            .name("traffic".into())
            .spawn(move || write(&receiver, file.map(BufWriter::new), tap.as_ref()))?;
        Ok((Log(Some(sender.clone())), Writer { sender, thread }))
    }

    pub fn see(&self, who: &str, what: Seen) {
        if let Some(sender) = &self.0 {
            // The writer ends only after all that log have stopped.
            let _ = sender.send(Line::Record(Box::new(Record { at: unix_us(), who: who.into(), what })));
        }
    }
}

impl Writer {
    /// Ends the log and gives the kept records, in the order in which they were seen.
    pub fn finish(self) -> std::io::Result<Vec<Record>> {
        let _ = self.sender.send(Line::Stop);
        let mut records =
            self.thread.join().map_err(|_| std::io::Error::other("the log's writer ended early"))??;
        records.sort_by_key(|record| record.at);
        Ok(records)
    }
}

fn write(
    lines: &Receiver<Line>,
    mut file: Option<BufWriter<std::fs::File>>,
    tap: Option<&Sender<Record>>,
) -> std::io::Result<Vec<Record>> {
    let mut kept = Vec::new();
    loop {
        match lines.recv_timeout(FLUSH) {
            Ok(Line::Record(record)) => {
                if let Some(file) = &mut file {
                    serde_json::to_writer(&mut *file, &record)?;
                    file.write_all(b"\n")?;
                }
                if let Some(tap) = tap {
                    // Whoever tapped may have stopped listening.
                    let _ = tap.send((*record).clone());
                }
                kept.push(*record);
            }
            Err(RecvTimeoutError::Timeout) => {
                if let Some(file) = &mut file {
                    file.flush()?;
                }
            }
            Ok(Line::Stop) | Err(RecvTimeoutError::Disconnected) => {
                if let Some(file) = &mut file {
                    file.flush()?;
                }
                return Ok(kept);
            }
        }
    }
}

/// Reads records back from JSON lines.
pub fn read(text: &str) -> Result<Vec<Record>, serde_json::Error> {
    text.lines().filter(|line| !line.trim().is_empty()).map(serde_json::from_str).collect()
}
