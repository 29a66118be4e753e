//! Keepers, agents, fronts and mock engines as processes on loopback, with a faulty link between each pair. The
//! tests assert invariants and counts, never times.

mod links;
mod processes;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

use elderstage_standin::platform::Platform;
use links::LinkFaults;
use processes::{Fleet, Front, PROGRAM, signal, wait_until};
use serde_json::Value;

const CUT: LinkFaults = LinkFaults { is_cut: true, delay: Duration::ZERO, duplicate_every: 0, swap_every: 0 };

/// Acknowledged changes are kept and applied once despite kills, pauses, cut links, and late, duplicated or reordered
/// frames.
#[test]
fn acknowledged_changes_survive_kills_pauses_and_cuts() {
    let mut fleet = Fleet::new(3, 0, 0);
    fleet.start_all();
    let mut numbers = vec![fleet.propose_until_accepted(0)];
    // The leader is killed while a proposal is in flight.
    let leader = fleet.leader();
    let file = fleet.proposal(1);
    let client_addresses: Vec<String> = fleet.client_addresses.values().map(ToString::to_string).collect();
    let mut client = Command::new(PROGRAM);
    client.args(["fleet", "propose"]).arg(&file).arg("--to").args(&client_addresses);
    let mut client = client.stdout(std::process::Stdio::piped()).spawn().unwrap();
    fleet.kill(&leader);
    let status = client.wait().unwrap();
    let is_accepted = status.code() == Some(0);
    if is_accepted {
        let mut output = String::new();
        client.stdout.take().unwrap().read_to_string(&mut output).unwrap();
        numbers.push(output.split_whitespace().nth(1).unwrap().parse().unwrap());
    }
    numbers.push(fleet.propose_until_accepted(2));
    fleet.start(&leader);
    // The next leader is paused while the others commit a change, then continues.
    let leader = fleet.leader();
    signal(fleet.id(&leader), "STOP");
    numbers.push(fleet.propose_until_accepted(3));
    signal(fleet.id(&leader), "CONT");
    // The leader is cut off in one direction only: it receives but cannot send.
    let leader = fleet.leader();
    let others: Vec<String> = fleet.keepers.iter().filter(|name| **name != leader).cloned().collect();
    for other in &others {
        fleet.links.set(&leader, other, CUT);
    }
    numbers.push(fleet.propose_until_accepted(4));
    fleet.links.heal();
    // Late, duplicated and reordered frames.
    for from in &fleet.keepers {
        for to in &fleet.keepers {
            let delay = Duration::from_millis(5);
            fleet.links.set(from, to, LinkFaults { is_cut: false, delay, duplicate_every: 3, swap_every: 4 });
        }
    }
    for n in 5..10 {
        numbers.push(fleet.propose_until_accepted(n));
    }
    fleet.links.heal();
    let change_count = fleet.show(&fleet.leader()).unwrap()["changes"].as_array().unwrap().len();
    // The proposal in flight may have been applied without a response to its client.
    assert!(
        change_count == numbers.len() || (!is_accepted && change_count == numbers.len() + 1),
        "{change_count} changes, {numbers:?} acknowledged"
    );
    let kept = fleet.wait_for_agreement(change_count);
    assert!(numbers.iter().all(|number| kept.contains(number)), "{numbers:?} acknowledged, {kept:?} kept");
    let mut once = numbers.clone();
    once.dedup();
    assert_eq!(once, numbers, "each command makes one change");
    // All keepers at once, as in a power failure.
    for name in fleet.keepers.clone() {
        fleet.kill(&name);
    }
    fleet.start_all();
    assert_eq!(fleet.wait_for_agreement(change_count), kept);
    let disk_faults: Vec<Value> =
        fleet.keepers.iter().map(|name| fleet.show(name).unwrap()["doubts"].clone()).collect();
    assert!(
        disk_faults.iter().all(|faults| faults.as_array().unwrap().is_empty()),
        "a kill leaves no disk fault: {disk_faults:?}"
    );
}

/// A disk that reverts to an earlier state, a corrupt one and a wiped one: each is reported or refused, and no change
/// is lost.
#[test]
fn disk_faults_are_reported_and_no_change_is_lost() {
    let mut fleet = Fleet::new(3, 0, 0);
    fleet.start_all();
    fleet.propose_until_accepted(0);
    fleet.wait_for_agreement(1);
    // The log loses its last entries; the mark file does not.
    let record = fleet.path("k2").join("record.redb");
    let old = fleet.path("old.redb");
    fleet.kill("k2");
    std::fs::copy(&record, &old).unwrap();
    fleet.start("k2");
    for n in 1..4 {
        fleet.propose_until_accepted(n);
    }
    fleet.wait_for_agreement(4);
    fleet.kill("k2");
    std::fs::copy(&old, &record).unwrap();
    fleet.start("k2");
    fleet.wait_for_agreement(4);
    let disk_faults = fleet.show("k2").unwrap()["doubts"].to_string();
    assert!(disk_faults.contains("the log ends at entry"), "{disk_faults}");
    // Corrupt bytes in an entry: detected by its digest or by the database.
    fleet.kill("k1");
    let record = fleet.path("k1").join("record.redb");
    let mut bytes = std::fs::read(&record).unwrap();
    let corrupted = corrupt_bytes(&mut bytes, b"{\"n\": 2}");
    assert!(corrupted > 0, "the proposal's text is in the file");
    std::fs::write(&record, &bytes).unwrap();
    if let Some(log_text) = fleet.try_start("k1", None) {
        assert!(log_text.contains("record.redb"), "refused with the file name: {log_text}");
        // As the error says: with the file moved away, the record comes from the other keepers.
        std::fs::rename(&record, fleet.path("spoilt.redb")).unwrap();
        fleet.start("k1");
    }
    fleet.wait_for_agreement(4);
    assert!(!fleet.show("k1").unwrap()["doubts"].as_array().unwrap().is_empty());
    // Wiped: the keeper starts no new record and copies the existing one.
    fleet.kill("k3");
    std::fs::remove_dir_all(fleet.path("k3")).unwrap();
    fleet.start("k3");
    fleet.wait_for_agreement(4);
    fleet.propose_until_accepted(4);
    fleet.wait_for_agreement(5);
}

/// Corrupts each occurrence of `text`; returns the number of occurrences.
fn corrupt_bytes(bytes: &mut [u8], text: &[u8]) -> usize {
    let offsets: Vec<usize> =
        (0..bytes.len().saturating_sub(text.len())).filter(|at| bytes[*at..].starts_with(text)).collect();
    for at in &offsets {
        bytes[at + 2] ^= 1;
    }
    offsets.len()
}

#[test]
fn a_keeper_whose_disk_is_full_ends_and_the_others_go_on() {
    let mut fleet = Fleet::new(3, 0, 0);
    fleet.start("k1");
    fleet.start("k2");
    // In blocks of the shell's ulimit: enough to start, too little for the following proposals.
    fleet.start_limited("k3", Some(8192));
    let big = "x".repeat(200 << 10);
    let mut accepted = 0;
    let ended = (0..60).any(|n| {
        let file = fleet.proposal(n);
        let text = format!("{{\"n\": {n}, \"big\": \"{big}\"}}");
        let mut proposal: Value = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
        proposal["what"]["settings"]["digest"] =
            elderstage_fleet::change::content_digest(text.as_bytes()).into();
        proposal["what"]["settings"]["text"] = text.into();
        std::fs::write(&file, proposal.to_string()).unwrap();
        let out = fleet.propose(&file, &[]);
        accepted += usize::from(out.status.success());
        fleet.running.get_mut("k3").unwrap().child.try_wait().unwrap().is_some()
    });
    assert!(ended, "the file size limit was never reached");
    let log_text = fleet.running["k3"].log_text();
    assert!(log_text.contains("k3/record.redb") || log_text.contains("k3/mark"), "{log_text}");
    fleet.kill("k3");
    fleet.start("k3");
    let change_count = fleet.show(&fleet.leader()).unwrap()["changes"].as_array().unwrap().len();
    assert!(change_count >= accepted && accepted > 0, "{change_count} of {accepted} acknowledged");
    fleet.wait_for_agreement(change_count);
}

/// Unknown peers, corrupt frames and a second fleet of the same name end their own connection and nothing else.
#[test]
fn unknown_peers_end_their_own_connection_and_nothing_else() {
    let mut fleet = Fleet::new(3, 0, 1);
    fleet.start_all();
    fleet.propose_until_accepted(0);
    let at = fleet.client_addresses["k1"];
    for bytes in [&b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"[..], &[0xff; 64], &[0, 0, 0, 20, 1, 2, 3], &[]] {
        let mut stream = TcpStream::connect(at).unwrap();
        let _ = stream.write_all(bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert_eq!(answer, b"", "an unknown peer gets no response");
    }
    // A fleet of the same name with other keepers.
    let text = std::fs::read_to_string(fleet.config("e1")).unwrap();
    let mut other: Value = serde_json::from_str(&text).unwrap();
    fleet.kill("e1");
    other["keepers"][1]["at"] = "127.0.0.1:9".into();
    std::fs::write(fleet.config("e1"), other.to_string()).unwrap();
    fleet.start("e1");
    let leader = "k1".to_owned();
    assert!(
        wait_until(|| fleet.running[&leader].log_contains("of another fleet named shop")),
        "{}",
        fleet.running[&leader].log_text()
    );
    std::fs::write(fleet.config("e1"), text).unwrap();
    fleet.kill("e1");
    fleet.start("e1");
    let seen = |fleet: &Fleet| {
        let shown = fleet.show("k1").unwrap();
        let members = shown["members"].as_array().unwrap();
        members.iter().any(|member| member["identity"]["name"] == "e1" && member["up"] == true)
    };
    assert!(wait_until(|| seen(&fleet)));
    fleet.propose_until_accepted(1);
    fleet.wait_for_agreement(2);
    assert!(fleet.running.values_mut().all(|process| process.child.try_wait().unwrap().is_none()));
}

/// An invalid file gives one error that names key and reason; nothing changes.
#[test]
fn invalid_files_are_refused_with_key_and_reason() {
    let mut fleet = Fleet::new(3, 0, 0);
    for (key, value, reason) in [
        ("keepers", serde_json::json!([]), "keepers: 0 keepers"),
        ("listen", "0.0.0.0:0".into(), "beyond_loopback"),
        ("zone", "No".into(), "is not a valid name"),
    ] {
        let text = std::fs::read_to_string(fleet.config("k1")).unwrap();
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config[key] = value;
        std::fs::write(fleet.config("k1"), config.to_string()).unwrap();
        let log_text = fleet.start_expecting_exit("k1");
        assert!(log_text.contains(reason) && log_text.contains("k1.json"), "{key}: {log_text}");
        std::fs::write(fleet.config("k1"), text).unwrap();
    }
    fleet.start_all();
    fleet.propose_until_accepted(0);
    let changes = fleet.show("k1").unwrap()["changes"].clone();
    for (at, value, reason) in [
        ("/stages/0/members", serde_json::json!({"count": 0}), "stages[0].members"),
        ("/what/settings/text", "{}".into(), "is not the text's"),
        ("/scope", "".into(), "is not a valid name"),
    ] {
        let file = fleet.proposal(1);
        let mut proposal: Value = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
        *proposal.pointer_mut(at).unwrap() = value;
        std::fs::write(&file, proposal.to_string()).unwrap();
        let out = fleet.propose(&file, &[]);
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && error.contains(reason), "{at}: {error}");
    }
    let stop = fleet.path("stop.json");
    std::fs::write(&stop, "{\"stop\": {\"change\": 9, \"reason\": \"no\"}}").unwrap();
    let out = fleet.propose(&stop, &[]);
    assert_eq!(out.status.code(), Some(1), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(fleet.show("k1").unwrap()["changes"], changes, "the refused files changed nothing");
    std::fs::write(&stop, "{\"stop\": {\"change\": 1, \"reason\": \"not today\"}}").unwrap();
    assert!(fleet.propose(&stop, &[]).status.success());
    let shown = Command::new(PROGRAM)
        .args(["fleet", "show", "--to", &fleet.client_addresses["k2"].to_string()])
        .output()
        .unwrap();
    let page = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(
        wait_until(|| fleet.show("k2").unwrap()["changes"][0]["phase"].to_string().contains("not today")),
        "{page}"
    );
    assert!(page.starts_with("fleet shop, seen by keeper k2"), "{page}");
}

/// Sum of a count over all groups at a keeper.
fn count_at_keeper(fleet: &Fleet, keeper: &str, what: &str) -> u64 {
    let Some(shown) = fleet.show(keeper) else { return 0 };
    let groups = shown["groups"].as_array().unwrap();
    groups.iter().map(|group| group[1]["counts"][what].as_u64().unwrap()).sum()
}

/// Three keepers, eight fronts with agents and eight engines: every keeper counts exactly what clients asked, whichever
/// process is killed, and fronts keep serving when all keepers are down.
#[test]
fn counts_are_what_clients_asked_and_fronts_serve_without_keepers() {
    let platform = Platform::start(3, 5).unwrap();
    let mut fleet = Fleet::new(3, 8, 8);
    fleet.start_all();
    let mut fronts: Vec<Option<Front>> =
        (1..=8).map(|n| Some(Front::start(&fleet, &format!("f{n}"), &platform))).collect();
    let mut asked = 0u64;
    let mut ask_all = |fronts: &[Option<Front>], round: u64| {
        for (n, front) in fronts.iter().enumerate() {
            let Some(front) = front else { continue };
            for i in 0..3 {
                assert_eq!(front.request(&format!("served-{round}-{n}-{i}")), 200);
                asked += 1;
            }
        }
        asked
    };
    let all = ask_all(&fronts, 0);
    for keeper in fleet.keepers.clone() {
        assert!(
            wait_until(|| count_at_keeper(&fleet, &keeper, "in_time") == all),
            "{}",
            count_at_keeper(&fleet, &keeper, "in_time")
        );
        assert_eq!(count_at_keeper(&fleet, &keeper, "asked"), all);
    }
    // A front and its agent are killed: their last report stays counted, and the member is silent, not absent.
    fronts[0] = None;
    fleet.kill("f1");
    // Meanwhile one keeper gets no reports from the agents and another is killed.
    for n in 1..=8 {
        fleet.links.set(&format!("f{n}"), "k3", CUT);
    }
    fleet.kill("k1");
    let all = ask_all(&fronts, 1);
    assert!(wait_until(|| count_at_keeper(&fleet, "k2", "in_time") == all));
    fleet.start("k1");
    for keeper in fleet.keepers.clone() {
        assert!(
            wait_until(|| count_at_keeper(&fleet, &keeper, "in_time") == all),
            "{keeper} gets the counts from the other keepers"
        );
    }
    fleet.links.heal();
    assert!(wait_until(|| fleet
        .show("k2")
        .is_some_and(|shown| shown["silent"] == 1 && shown["counting"] == 16)));
    let shown = fleet.show("k2").unwrap();
    let groups = shown["groups"].as_array().unwrap();
    assert_eq!(groups.len(), 1, "one class, one release, the same settings: {groups:?}");
    assert_eq!(groups[0][1]["silent"], 1, "the killed member is silent in its group");
    let has_unreported =
        || fleet.show("k2").is_some_and(|shown| shown["groups"][0][1]["unheard"].as_u64() > Some(0));
    assert!(wait_until(has_unreported), "the unreported requests are estimated");
    // The same front and agent again: their new counts are added.
    fleet.start("f1");
    fronts[0] = Some(Front::start(&fleet, "f1", &platform));
    let all = ask_all(&fronts, 2);
    assert!(
        wait_until(|| count_at_keeper(&fleet, "k3", "in_time") == all),
        "{} of {all}",
        count_at_keeper(&fleet, "k3", "in_time")
    );
    // All keepers down, then all agents too: fronts serve as before.
    for keeper in fleet.keepers.clone() {
        fleet.kill(&keeper);
    }
    ask_all(&fronts, 3);
    for name in fleet.members.clone() {
        fleet.kill(&name);
    }
    let all = ask_all(&fronts, 4);
    // After a restart of all of them, nothing that fronts counted meanwhile is lost.
    fleet.start_all();
    for keeper in fleet.keepers.clone() {
        assert!(
            wait_until(|| count_at_keeper(&fleet, &keeper, "in_time") == all),
            "{keeper}: {} of {all}",
            count_at_keeper(&fleet, &keeper, "in_time")
        );
    }
    assert_eq!(count_at_keeper(&fleet, "k1", "refused") + count_at_keeper(&fleet, "k1", "failed"), 0);
}
