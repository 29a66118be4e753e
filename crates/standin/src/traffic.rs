//! The traffic log: one JSON line for each event, with the time and the observer that saw it.
//!
//! It records events and does not check them. The names of records and fields are a file format: the rules of
//! rehearsals read them.

use std::collections::BTreeMap;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use serde::{Deserialize, Serialize};

/// Longest time until a record is flushed to the file.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Current Unix time in microseconds.
pub fn unix_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// An event with its time and observer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time in microseconds.
    pub at: u64,
    /// Name of the engine, tool server, client driver or operator script that saw it.
    pub who: String,
    #[serde(flatten)]
    pub what: TrafficEvent,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum TrafficEvent {
    // ---- Engines ----
    /// The process of an engine has started.
    Up {
        cold: bool,
        #[serde(rename = "cold_from")]
        cold_start_share: f64,
        #[serde(rename = "cold_for")]
        cold_duration: u64,
        #[serde(rename = "fall_multiple")]
        overload_multiple: f64,
        #[serde(rename = "tip_after")]
        overload_window: u64,
    },
    /// The process of an engine has ended.
    Down,
    /// A cold engine has crashed under too much work.
    FellOver,
    /// An engine has received a request. `work` is its cost in microseconds of a warm engine.
    Received { rid: String, front: String, class: String, task: String, work: f64 },
    /// An engine has written the first token of an answer. From here on an unsafe request has run.
    Ran { rid: String },
    /// The response to the front has ended. `how` tells whether it was served, rejected or broken.
    Answered { rid: String, how: String },
    /// An engine has read a prompt and holds its state.
    StateHeld { rid: String },
    /// A writer has fetched the state.
    StateTaken { rid: String },
    /// An engine has received a request to release a state, whether or not it acts on it.
    ReleaseAsked { rid: String },
    /// An engine has released a state on request.
    StateReleased { rid: String },
    /// A state was lost with its process, or it expired.
    StateLost { rid: String },
    // ---- Tool servers ----
    /// A tool server has received a call.
    ToolReceived { rid: String, tool: String, effect: bool },
    /// The tool has run: the call has had its effect or has produced its result.
    ToolRan { rid: String, tool: String, effect: bool },
    /// The response to a tool call has ended.
    ToolAnswered { rid: String, how: String },
    // ---- Clients ----
    /// A client has sent a request. `total` is the longest allowed time to the final answer, in microseconds.
    Sent { rid: String, class: String, front: String, total: u64 },
    /// A client has received the first text of an answer.
    First { rid: String },
    /// A client has received the final outcome: `served`, `refused` or `failed`.
    Final { rid: String, outcome: String, retry_after_ms: Option<u64> },
    /// A client has disconnected or cancelled.
    Left { rid: String },
    /// The front's process died, or its connection broke, while a client's request was in progress.
    Lost { rid: String },
    // ---- Operator scripts ----
    /// A list of servers was given to all fronts; maps each server to its state.
    Listed { servers: BTreeMap<String, String> },
    /// A front was started, told to drain or killed, or has ended.
    Front { front: String, what: String },
    /// A fault was started or ended.
    Fault { what: String },
}

/// A message to the thread that writes the log.
enum LogMessage {
    Record(Box<Record>),
    Stop,
}

/// Handle for recording events. Cloning is cheap and recording never blocks.
#[derive(Clone)]
pub struct Log(Option<Sender<LogMessage>>);

/// Owner of the thread that collects and writes the records.
pub struct LogWriter {
    sender: Sender<LogMessage>,
    thread: JoinHandle<std::io::Result<Vec<Record>>>,
}

impl Log {
    /// Returns a log that discards all records.
    pub fn none() -> Log {
        Log(None)
    }

    /// Starts a log that collects the records, writes them to the file at `path` if given and sends a copy of
    /// each to `tap` if given.
    pub fn start(path: Option<&Path>, tap: Option<Sender<Record>>) -> std::io::Result<(Log, LogWriter)> {
        let file = path.map(std::fs::File::create).transpose()?;
        let (sender, receiver) = unbounded();
        let thread = std::thread::Builder::new()
            .name("traffic".into())
            .spawn(move || run_writer(&receiver, file.map(BufWriter::new), tap.as_ref()))?;
        Ok((Log(Some(sender.clone())), LogWriter { sender, thread }))
    }

    /// Records an event seen by `who`.
    pub fn record(&self, who: &str, event: TrafficEvent) {
        if let Some(sender) = &self.0 {
            // The send fails only after `LogWriter::finish`; by then nothing records any more.
            let _ = sender.send(LogMessage::Record(Box::new(Record {
                at: unix_us(),
                who: who.into(),
                what: event,
            })));
        }
    }
}

impl LogWriter {
    /// Ends the log and returns the records, ordered by time.
    pub fn finish(self) -> std::io::Result<Vec<Record>> {
        let _ = self.sender.send(LogMessage::Stop);
        let mut records = self
            .thread
            .join()
            .map_err(|_| std::io::Error::other("the thread that writes the traffic log panicked"))??;
        records.sort_by_key(|record| record.at);
        Ok(records)
    }
}

/// Collects and writes records until the log ends.
fn run_writer(
    messages: &Receiver<LogMessage>,
    mut file: Option<BufWriter<std::fs::File>>,
    tap: Option<&Sender<Record>>,
) -> std::io::Result<Vec<Record>> {
    let mut records = Vec::new();
    loop {
        match messages.recv_timeout(FLUSH_INTERVAL) {
            Ok(LogMessage::Record(record)) => {
                if let Some(file) = &mut file {
                    serde_json::to_writer(&mut *file, &record)?;
                    file.write_all(b"\n")?;
                }
                if let Some(tap) = tap {
                    // The receiver of the tap may have been dropped.
                    let _ = tap.send((*record).clone());
                }
                records.push(*record);
            }
            Err(RecvTimeoutError::Timeout) => {
                if let Some(file) = &mut file {
                    file.flush()?;
                }
            }
            Ok(LogMessage::Stop) | Err(RecvTimeoutError::Disconnected) => {
                if let Some(file) = &mut file {
                    file.flush()?;
                }
                return Ok(records);
            }
        }
    }
}

/// Parses records from JSON lines.
pub fn parse_records(text: &str) -> Result<Vec<Record>, serde_json::Error> {
    text.lines().filter(|line| !line.trim().is_empty()).map(serde_json::from_str).collect()
}
