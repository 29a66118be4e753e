//! Hosts instances of the decision module on the simulator's wire: text in, events to the routers,
//! their actions out as text. Decides nothing.

mod wire;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;

use elderstage::{Action, Entry, Event, ListMode, Outcome, Router, settings};
use wire::{Fail, Line};

/// All that one process hosts.
#[derive(Default)]
struct Host {
    routers: BTreeMap<u64, Router>,
    /// Numbered lists of servers; they belong to the process.
    lists: BTreeMap<u64, Rc<Vec<Entry>>>,
    /// A list whose entries are still being read: its number, how many are missing, the entries so far.
    open_list: Option<(u64, u64, Vec<Entry>)>,
    now: Option<u64>,
    serial: String,
    current: Option<u64>,
    reply: Vec<(u64, Vec<Action>)>,
}

impl Host {
    fn take(&mut self, text: &str, out: &mut String) -> Result<(), Fail> {
        let line = Line::parse(text)?;
        if let Some((list, missing, mut entries)) = self.open_list.take_if(|(_, missing, _)| *missing > 0) {
            if line.name != "ENGINE" {
                return Err(Fail::new(
                    "hosts",
                    format!("{missing} ENGINE lines are missing from list {list}"),
                ));
            }
            entries.push(wire::entry(&line)?);
            self.open_list = Some((list, missing - 1, entries));
            self.close_list();
            return Ok(());
        }
        if line.name != "MARK" && self.now.is_none() && wire::KNOWN.contains(&line.name) {
            return Err(Fail::new(line.name, "comes before any MARK"));
        }
        match line.name {
            "MARK" => {
                if self.now.is_some() {
                    return Err(Fail::new("MARK", "the batch before has no END"));
                }
                self.now = Some(line.int("time-us")?);
                self.serial = line.text("serial")?.to_string();
                line.int("serial")?;
                self.current = None;
            }
            "END" => {
                for (who, actions) in self.reply.drain(..) {
                    if !actions.is_empty() {
                        out.push_str(&format!("FROM who={who}\n"));
                        actions.iter().for_each(|action| wire::write(action, out));
                    }
                }
                out.push_str(&format!("YIELD serial={}\n", self.serial));
                self.now = None;
            }
            "AT" => self.current = Some(line.int("who")?),
            "SNAPSHOT_ROWS" => {
                self.open_list = Some((line.int("list")?, line.int("hosts")?, Vec::new()));
                self.close_list();
            }
            "ATTACH" => {
                let who = self.current.ok_or_else(|| Fail::new("who", "no AT line names the instance"))?;
                let set = settings::read(line.text("profile-data")?);
                let set = set.map_err(|error| Fail::new("profile-data", error.to_string()))?;
                let router = Router::new(set, line.int("salt")?);
                self.routers.insert(who, router);
            }
            "HALT" => {
                let who = self.current.ok_or_else(|| Fail::new("who", "no AT line names the instance"))?;
                self.routers
                    .remove(&who)
                    .ok_or_else(|| Fail::new("who", format!("{who} is not attached")))?;
                self.reply.retain(|(of, _)| *of != who);
            }
            "BACKENDS_CHANGED" => {
                let mode = wire::mode(&line)?;
                let entries = if mode == ListMode::Failed {
                    Vec::new()
                } else {
                    let list = line.int("list")?;
                    let found = self.lists.get(&list);
                    found.ok_or_else(|| Fail::new("list", format!("no list {list}")))?.as_ref().clone()
                };
                self.pass(Event::Servers { mode, entries })?;
            }
            _ => {
                if let Some(event) = wire::event(&line)? {
                    self.pass(event)?;
                }
            }
        }
        Ok(())
    }

    fn close_list(&mut self) {
        if let Some((list, _, entries)) = self.open_list.take_if(|(_, missing, _)| *missing == 0) {
            self.lists.insert(list, Rc::new(entries));
        }
    }

    fn pass(&mut self, event: Event) -> Result<(), Fail> {
        let who = self.current.ok_or_else(|| Fail::new("who", "no AT line names the instance"))?;
        let now = self.now.ok_or_else(|| Fail::new("MARK", "the event is outside a batch"))?;
        let router = self.routers.get_mut(&who);
        let router = router.ok_or_else(|| Fail::new("who", format!("{who} is not attached")))?;
        if let Event::Ended { outcome: Outcome::Served, settled: false, .. } = &event {
            return Err(Fail::new("settled", "an OK always settles its request"));
        }
        if self.reply.last().is_none_or(|(of, _)| *of != who) {
            self.reply.push((who, Vec::new()));
        }
        let actions = &mut self.reply.last_mut().expect("just pushed").1;
        router.handle(now, event, actions);
        Ok(())
    }
}

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let (mut host, mut bytes, mut number) = (Host::default(), Vec::new(), 0u64);
    loop {
        bytes.clear();
        number += 1;
        match input.read_until(b'\n', &mut bytes) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => {
                eprintln!("elderstage-simhost: line {number}: cannot read: {error}");
                return ExitCode::FAILURE;
            }
        }
        let mut out = String::new();
        let taken = match std::str::from_utf8(&bytes) {
            Ok(text) => host.take(text.trim_end_matches(['\n', '\r']), &mut out),
            Err(_) => Err(Fail::new("line", "is not UTF-8")),
        };
        if let Err(fail) = taken {
            eprintln!("elderstage-simhost: line {number}: {fail}");
            return ExitCode::FAILURE;
        }
        if !out.is_empty() && output.write_all(out.as_bytes()).and_then(|()| output.flush()).is_err() {
            eprintln!("elderstage-simhost: line {number}: cannot write the reply");
            return ExitCode::FAILURE;
        }
    }
}
