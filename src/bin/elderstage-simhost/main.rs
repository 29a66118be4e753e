//! Hosts instances of the router on the simulator's wire: reads lines of text from standard input,
//! passes them to the routers as events and writes the routers' actions to standard output. It takes no
//! decisions itself.
//!
//! Each batch of input, from `MARK` to `END`, gets exactly one reply, which ends with `YIELD`.

mod wire;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;

use elderstage::{Action, Event, ListMode, Outcome, Router, ServerEntry, settings};
use wire::{Line, LineError};

/// The state of the process: all routers and all lists of servers.
#[derive(Default)]
struct Host {
    routers: BTreeMap<u64, Router>,
    /// Numbered lists of servers, shared by all instances of the process.
    lists: BTreeMap<u64, Rc<Vec<ServerEntry>>>,
    /// A list whose entries are still being read: its number, the number of missing entries, and the entries
    /// read so far.
    incomplete_list: Option<(u64, u64, Vec<ServerEntry>)>,
    /// Time of the current batch; `None` between batches.
    now: Option<u64>,
    batch_serial: String,
    /// The instance that the last `AT` line of the batch has selected.
    current_instance: Option<u64>,
    /// Actions of the current batch, in the order in which the instances acted.
    replies: Vec<(u64, Vec<Action>)>,
}

impl Host {
    fn handle_line(&mut self, text: &str, out: &mut String) -> Result<(), LineError> {
        let line = Line::parse(text)?;
        if let Some((list, missing, mut entries)) =
            self.incomplete_list.take_if(|(_, missing, _)| *missing > 0)
        {
            if line.name != "ENGINE" {
                return Err(LineError::new(
                    "hosts",
                    format!("{missing} ENGINE lines are missing from list {list}"),
                ));
            }
            entries.push(wire::parse_entry(&line)?);
            self.incomplete_list = Some((list, missing - 1, entries));
            self.finish_list();
            return Ok(());
        }
        if line.name != "MARK" && self.now.is_none() && wire::HANDLED_MESSAGES.contains(&line.name) {
            return Err(LineError::new(line.name, "comes before any MARK"));
        }
        match line.name {
            "MARK" => {
                if self.now.is_some() {
                    return Err(LineError::new("MARK", "the previous batch has no END"));
                }
                self.now = Some(line.int("time-us")?);
                self.batch_serial = line.text("serial")?.to_string();
                line.int("serial")?;
                self.current_instance = None;
            }
            "END" => {
                for (instance, actions) in self.replies.drain(..) {
                    if !actions.is_empty() {
                        out.push_str(&format!("FROM who={instance}\n"));
                        actions.iter().for_each(|action| wire::write_action(action, out));
                    }
                }
                out.push_str(&format!("YIELD serial={}\n", self.batch_serial));
                self.now = None;
            }
            "AT" => self.current_instance = Some(line.int("who")?),
            "SNAPSHOT_ROWS" => {
                self.incomplete_list = Some((line.int("list")?, line.int("hosts")?, Vec::new()));
                self.finish_list();
            }
            "ATTACH" => {
                let instance = self
                    .current_instance
                    .ok_or_else(|| LineError::new("who", "no AT line has selected an instance"))?;
                let settings = settings::read(line.text("profile-data")?);
                let settings = settings.map_err(|error| LineError::new("profile-data", error.to_string()))?;
                let router = Router::new(settings, line.int("salt")?);
                self.routers.insert(instance, router);
            }
            "HALT" => {
                let instance = self
                    .current_instance
                    .ok_or_else(|| LineError::new("who", "no AT line has selected an instance"))?;
                self.routers
                    .remove(&instance)
                    .ok_or_else(|| LineError::new("who", format!("{instance} is not attached")))?;
                self.replies.retain(|(replying, _)| *replying != instance);
            }
            "BACKENDS_CHANGED" => {
                let mode = wire::parse_list_mode(&line)?;
                let entries = if mode == ListMode::Failed {
                    Vec::new()
                } else {
                    let list = line.int("list")?;
                    let found = self.lists.get(&list);
                    found
                        .ok_or_else(|| LineError::new("list", format!("list {list} does not exist")))?
                        .as_ref()
                        .clone()
                };
                self.deliver(Event::Servers { mode, entries })?;
            }
            _ => {
                if let Some(event) = wire::parse_event(&line)? {
                    self.deliver(event)?;
                }
            }
        }
        Ok(())
    }

    fn finish_list(&mut self) {
        if let Some((list, _, entries)) = self.incomplete_list.take_if(|(_, missing, _)| *missing == 0) {
            self.lists.insert(list, Rc::new(entries));
        }
    }

    fn deliver(&mut self, event: Event) -> Result<(), LineError> {
        let instance = self
            .current_instance
            .ok_or_else(|| LineError::new("who", "no AT line has selected an instance"))?;
        let now = self.now.ok_or_else(|| LineError::new("MARK", "the event is outside a batch"))?;
        let router = self.routers.get_mut(&instance);
        let router = router.ok_or_else(|| LineError::new("who", format!("{instance} is not attached")))?;
        if let Event::Ended { outcome: Outcome::Served, is_settled: false, .. } = &event {
            return Err(LineError::new("settled", "must be 1 for the disposition OK"));
        }
        if self.replies.last().is_none_or(|(replying, _)| *replying != instance) {
            self.replies.push((instance, Vec::new()));
        }
        let actions = &mut self.replies.last_mut().expect("an entry was pushed if there was none").1;
        router.handle(now, event, actions);
        Ok(())
    }
}

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let (mut host, mut bytes, mut line_number) = (Host::default(), Vec::new(), 0u64);
    loop {
        bytes.clear();
        line_number += 1;
        match input.read_until(b'\n', &mut bytes) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => {
                eprintln!("elderstage-simhost: line {line_number}: cannot read: {error}");
                return ExitCode::FAILURE;
            }
        }
        let mut out = String::new();
        let handled = match std::str::from_utf8(&bytes) {
            Ok(text) => host.handle_line(text.trim_end_matches(['\n', '\r']), &mut out),
            Err(_) => Err(LineError::new("line", "is not UTF-8")),
        };
        if let Err(error) = handled {
            eprintln!("elderstage-simhost: line {line_number}: {error}");
            return ExitCode::FAILURE;
        }
        if !out.is_empty() && output.write_all(out.as_bytes()).and_then(|()| output.flush()).is_err() {
            eprintln!("elderstage-simhost: line {line_number}: cannot write the reply");
            return ExitCode::FAILURE;
        }
    }
}
