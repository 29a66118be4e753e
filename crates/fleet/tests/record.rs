//! The record under single faults, in simulated time. Times are only bounds of the simulation.

mod world;

use elderstage_fleet::SECOND;
use elderstage_fleet::change::MemberShare;
use elderstage_fleet::keeper::Notice;
use elderstage_fleet::record::{Operation, Outcome, Role};
use world::{Simulation, checks, name, proposal};

fn propose_change(simulation: &mut Simulation, n: u64) -> usize {
    simulation.propose("op", Operation::Propose(Box::new(proposal("fronts", n))))
}

fn has_outcome(client: usize) -> impl Fn(&Simulation) -> bool {
    move |simulation| simulation.clients[client].outcome.is_some()
}

fn wait_for_agreement(simulation: &mut Simulation) {
    let all_agree = |simulation: &Simulation| {
        simulation.running_keepers().len() == simulation.keepers && checks::record(simulation).is_ok()
    };
    assert!(simulation.run_until(30 * SECOND, all_agree), "{:?}", checks::record(simulation));
}

/// A fleet with a leader and one change in its record.
fn new_fleet_with_leader(seed: u64, keepers: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, keepers, 0, 0);
    let first = propose_change(&mut simulation, 0);
    assert!(simulation.run_until(20 * SECOND, has_outcome(first)));
    simulation
}

#[test]
fn a_new_record_applies_commands_in_one_order() {
    for keepers in [3, 5] {
        let mut simulation = new_fleet_with_leader(1, keepers);
        let clients: Vec<usize> = (1..=20).map(|n| propose_change(&mut simulation, n)).collect();
        for client in clients {
            assert!(simulation.run_until(20 * SECOND, has_outcome(client)));
        }
        wait_for_agreement(&mut simulation);
        let new_fleet_with_leader =
            simulation.notices.iter().filter(|(.., notice)| *notice == Notice::Bootstrapped).count();
        assert_eq!(new_fleet_with_leader, keepers);
        let leader = simulation.leader().unwrap();
        let numbers: Vec<u64> =
            simulation.keeper(leader).unwrap().replica().state().changes().map(|c| c.number).collect();
        assert_eq!(numbers, (1..=21).collect::<Vec<_>>());
    }
}

/// A command sent many times to all keepers is applied once, with the same outcome each time.
#[test]
fn a_repeated_command_is_applied_once() {
    let mut simulation = new_fleet_with_leader(2, 3);
    let first = propose_change(&mut simulation, 1);
    let duplicates: Vec<usize> =
        (0..10).map(|_| simulation.send_command(simulation.clients[first].command.clone())).collect();
    for client in duplicates {
        assert!(simulation.run_until(20 * SECOND, has_outcome(client)));
        assert_eq!(simulation.clients[client].outcome, simulation.clients[first].outcome);
    }
    wait_for_agreement(&mut simulation);
    let leader = simulation.leader().unwrap();
    assert_eq!(simulation.keeper(leader).unwrap().replica().state().changes().count(), 2);
}

/// An acknowledged command is on the disks of a majority.
#[test]
fn an_acknowledged_command_is_on_a_majority_of_disks() {
    for seed in 0..20 {
        let mut simulation = new_fleet_with_leader(seed, 5);
        simulation.default_link.loss_rate = 0.2;
        let client = propose_change(&mut simulation, 1);
        while !has_outcome(client)(&simulation) {
            simulation.run(1);
            assert!(simulation.now < 60 * SECOND);
        }
        let copies = checks::on_disk(&simulation, &simulation.clients[client].command);
        assert!(copies >= 3, "seed {seed}: on {copies} of 5 disks");
    }
}

#[test]
fn the_leader_is_killed_between_request_and_response() {
    for seed in 0..20 {
        let mut simulation = new_fleet_with_leader(seed, 3);
        let leader = simulation.leader().unwrap();
        let client = propose_change(&mut simulation, 1);
        // Some time between the client's request and the response.
        let steps = seed * 400;
        simulation.run(1000 + steps);
        simulation.kill(leader);
        assert!(
            simulation.run_until(30 * SECOND, has_outcome(client)),
            "seed {seed}: two of three keepers go on"
        );
        simulation.start(leader);
        wait_for_agreement(&mut simulation);
    }
}

#[test]
fn a_minority_commits_nothing_and_loses_nothing() {
    let mut simulation = new_fleet_with_leader(4, 5);
    let leader = simulation.leader().unwrap();
    let other = (leader + 1) % 5;
    for index in (0..5).filter(|index| *index != leader && *index != other) {
        simulation.cut_link(leader, index, true);
        simulation.cut_link(other, index, true);
    }
    let clients: Vec<usize> = (1..=5).map(|n| propose_change(&mut simulation, n)).collect();
    simulation.run(20 * SECOND);
    let status = simulation.keeper(leader).unwrap().replica().status();
    assert_ne!(status.role, Role::Leader, "a leader without a majority steps down");
    let changes = simulation.keeper(leader).unwrap().replica().state().changes().count();
    assert_eq!(changes, 1, "nothing is committed on the side of the minority");
    simulation.heal_links();
    for client in clients {
        assert!(simulation.run_until(30 * SECOND, has_outcome(client)));
    }
    wait_for_agreement(&mut simulation);
}

/// A leader that can only send, and one that can only receive.
#[test]
fn a_one_way_link_does_not_stop_the_record() {
    for sends in [true, false] {
        let mut simulation = new_fleet_with_leader(5, 3);
        let leader = simulation.leader().unwrap();
        for index in (0..3).filter(|index| *index != leader) {
            let (one, other) = if sends { (index, leader) } else { (leader, index) };
            simulation.cut_link(one, other, false);
        }
        let client = propose_change(&mut simulation, 1);
        assert!(simulation.run_until(60 * SECOND, has_outcome(client)), "sends: {sends}");
        simulation.heal_links();
        wait_for_agreement(&mut simulation);
    }
}

#[test]
fn a_paused_leader_does_not_undo_commits_made_meanwhile() {
    let mut simulation = new_fleet_with_leader(6, 3);
    let leader = simulation.leader().unwrap();
    simulation.pause(leader, 15 * SECOND);
    let client = propose_change(&mut simulation, 1);
    assert!(simulation.run_until(14 * SECOND, has_outcome(client)), "two of three keepers go on");
    simulation.run(20 * SECOND);
    wait_for_agreement(&mut simulation);
}

/// A lost log tail is reported, the keeper does not vote until it has all entries again, and no change is lost.
#[test]
fn a_keeper_that_lost_its_log_tail_reports_it_and_rejoins() {
    for lost in [1, 3, 100] {
        let mut simulation = new_fleet_with_leader(7, 3);
        for n in 1..=5 {
            let client = propose_change(&mut simulation, n);
            assert!(simulation.run_until(20 * SECOND, has_outcome(client)));
        }
        simulation.run(SECOND);
        let leader = simulation.leader().unwrap();
        for index in [leader, (leader + 1) % 3] {
            simulation.kill(index);
            simulation.processes[index].disk.lose_tail(lost);
            simulation.start(index);
            let disk_faults = simulation.keeper(index).unwrap().replica().disk_faults().to_vec();
            assert!(
                disk_faults.iter().any(|doubt| doubt.contains("the log ends at entry")),
                "{disk_faults:?}"
            );
            assert_eq!(simulation.keeper(index).unwrap().replica().status().role, Role::Rejoining);
            let has_rejoined = |simulation: &Simulation| {
                simulation.keeper(index).is_some_and(|keeper| keeper.replica().participation().can_vote())
            };
            assert!(simulation.run_until(30 * SECOND, has_rejoined), "{lost} lost");
        }
        wait_for_agreement(&mut simulation);
        let client = propose_change(&mut simulation, 9);
        assert!(simulation.run_until(20 * SECOND, has_outcome(client)));
        wait_for_agreement(&mut simulation);
    }
}

/// Why a keeper that lost entries must not vote: the only other copy of the entry is at the leader, which is then
/// killed.
#[test]
fn a_committed_change_survives_when_one_of_its_two_keepers_loses_it_and_the_other_is_killed() {
    let mut simulation = new_fleet_with_leader(8, 3);
    let leader = simulation.leader().unwrap();
    let (follower, isolated) = ((leader + 1) % 3, (leader + 2) % 3);
    for index in [leader, follower] {
        simulation.cut_link(index, isolated, true);
    }
    let client = propose_change(&mut simulation, 1);
    assert!(simulation.run_until(60 * SECOND, has_outcome(client)), "leader and one follower are a majority");
    let change = simulation.clients[client].outcome.clone().unwrap();
    simulation.kill(follower);
    simulation.processes[follower].disk.lose_tail(50);
    simulation.kill(leader);
    simulation.heal_links();
    simulation.start(follower);
    simulation.run(30 * SECOND);
    // The isolated keeper and the one that lost the entry would be a majority without it.
    assert_eq!(simulation.leader(), None, "no keeper that may lack the entry is elected");
    simulation.start(leader);
    wait_for_agreement(&mut simulation);
    assert!(matches!(change, Outcome::Queued { change: 2, .. }), "{change:?}");
    assert_eq!(simulation.keeper(isolated).unwrap().replica().state().changes().count(), 2);
}

#[test]
fn a_corrupt_block_is_detected_and_the_entries_after_it_are_fetched_again() {
    let mut simulation = new_fleet_with_leader(9, 3);
    for n in 1..=10 {
        let client = propose_change(&mut simulation, n);
        assert!(simulation.run_until(20 * SECOND, has_outcome(client)));
    }
    let index = (simulation.leader().unwrap() + 1) % 3;
    simulation.kill(index);
    simulation.processes[index].disk.corrupt_entry(4);
    simulation.start(index);
    let disk_faults = simulation.keeper(index).unwrap().replica().disk_faults().to_vec();
    assert!(disk_faults.iter().any(|doubt| doubt.ends_with("is corrupt")), "{disk_faults:?}");
    wait_for_agreement(&mut simulation);
    let has_rejoined = |simulation: &Simulation| {
        simulation.keeper(index).is_some_and(|keeper| keeper.replica().participation().can_vote())
    };
    assert!(simulation.run_until(30 * SECOND, has_rejoined));
}

/// An ambiguous disk is refused, and so is the disk of another keeper.
#[test]
fn an_ambiguous_or_foreign_disk_is_refused_with_a_reason() {
    let mut simulation = new_fleet_with_leader(10, 3);
    simulation.kill(0);
    let disk = simulation.processes[0].disk.clone();
    let corrupt = &mut simulation.processes[0].disk;
    for block in [&mut corrupt.hard_state, &mut corrupt.watermark] {
        block.as_mut().unwrap()[17] ^= 1;
    }
    simulation.start(0);
    assert!(!simulation.is_up(0));
    assert_eq!(
        simulation.processes[0].exit_reason.as_deref(),
        Some("neither term and vote nor the mark file can be read")
    );
    simulation.processes[0].disk = disk;
    simulation.start(0);
    assert!(simulation.is_up(0));
    simulation.kill(1);
    simulation.processes[1].disk = simulation.processes[2].disk.clone();
    simulation.start(1);
    assert!(
        simulation.processes[1].exit_reason.as_ref().unwrap().contains("is of keeper k3"),
        "{:?}",
        simulation.processes[1].exit_reason
    );
}

/// A wiped keeper must not start a record of its own or vote as if it had never voted.
#[test]
fn a_wiped_keeper_copies_the_record_from_the_others() {
    let mut simulation = new_fleet_with_leader(11, 3);
    for index in 0..3 {
        simulation.kill(index);
        simulation.processes[index].disk.wipe();
        simulation.start(index);
        assert_eq!(simulation.keeper(index).unwrap().replica().status().role, Role::Blank);
        let has_rejoined = |simulation: &Simulation| {
            simulation.keeper(index).is_some_and(|keeper| keeper.replica().participation().can_vote())
        };
        assert!(simulation.run_until(60 * SECOND, has_rejoined), "keeper {index}");
    }
    wait_for_agreement(&mut simulation);
    assert_eq!(simulation.keeper(0).unwrap().replica().state().changes().count(), 1);
}

/// A wiped keeper does not start a new record while all others are down.
#[test]
fn a_wiped_keeper_without_peers_waits() {
    let mut simulation = new_fleet_with_leader(12, 3);
    (0..3).for_each(|index| simulation.kill(index));
    simulation.processes[0].disk.wipe();
    simulation.start(0);
    simulation.run(60 * SECOND);
    assert_eq!(simulation.keeper(0).unwrap().replica().status().role, Role::Blank);
    simulation.start(1);
    simulation.start(2);
    wait_for_agreement(&mut simulation);
}

/// A write that stops between log and watermark leaves more entries than the watermark says. None of them was
/// acknowledged, so nothing is lost.
#[test]
fn a_kill_between_log_and_watermark_loses_nothing() {
    for seed in 0..10 {
        let mut simulation = new_fleet_with_leader(seed, 3);
        let index = (simulation.leader().unwrap() + seed as usize) % 3;
        simulation.processes[index].disk.tear_next_write = true;
        let client = propose_change(&mut simulation, 1);
        assert!(simulation.run_until(30 * SECOND, has_outcome(client)));
        assert!(!simulation.is_up(index), "the write was interrupted");
        simulation.start(index);
        let disk_faults = simulation.keeper(index).unwrap().replica().disk_faults().to_vec();
        assert_eq!(disk_faults, Vec::<String>::new());
        wait_for_agreement(&mut simulation);
    }
}

#[test]
fn a_keeper_whose_disk_is_full_ends_and_the_others_go_on() {
    let mut simulation = new_fleet_with_leader(13, 3);
    let leader = simulation.leader().unwrap();
    simulation.processes[leader].disk.is_full = true;
    let client = propose_change(&mut simulation, 1);
    assert!(simulation.run_until(30 * SECOND, has_outcome(client)));
    assert_eq!(simulation.processes[leader].exit_reason.as_deref(), Some("no space left on device"));
    simulation.processes[leader].disk.is_full = false;
    simulation.start(leader);
    wait_for_agreement(&mut simulation);
}

/// A keeper that was down beyond the bounds of the log catches up by a snapshot, and a restart begins at one.
#[test]
fn a_keeper_far_behind_catches_up_by_a_snapshot() {
    let mut simulation = new_fleet_with_leader(14, 3);
    let absent = (simulation.leader().unwrap() + 1) % 3;
    simulation.kill(absent);
    let mut stops = Vec::new();
    for n in 0..700 {
        let client = propose_change(&mut simulation, n);
        assert!(
            simulation.run_until(20 * SECOND, has_outcome(client)),
            "{n}: {:?}",
            simulation.clients[client].refused
        );
        let Some(Outcome::Queued { change, .. }) = simulation.clients[client].outcome else { panic!() };
        let reason = "tried".to_owned();
        let stop = simulation.propose("op", Operation::Stop { change, reason });
        stops.push(stop);
        assert!(simulation.run_until(20 * SECOND, has_outcome(stop)));
        simulation.forget_clients();
    }
    let leader = simulation.leader().unwrap();
    assert!(simulation.processes[leader].disk.snapshot.is_some(), "the log was compacted");
    assert!(simulation.processes[leader].disk.entries.len() < 1400);
    simulation.start(absent);
    wait_for_agreement(&mut simulation);
    assert!(simulation.processes[absent].disk.snapshot.is_some());
    for index in 0..3 {
        simulation.kill(index);
    }
    (0..3).for_each(|index| simulation.start(index));
    wait_for_agreement(&mut simulation);
    assert!(
        simulation.running_keepers().iter().all(|index| simulation
            .keeper(*index)
            .unwrap()
            .replica()
            .disk_faults()
            .is_empty())
    );
}

/// A snapshot must fit into a frame: otherwise a keeper far behind could never catch up.
#[test]
fn large_proposals_are_refused_before_a_snapshot_exceeds_a_frame() {
    use elderstage_fleet::change::{ChangeContent, content_digest};
    use elderstage_fleet::record::{Command, Proposer, RecordState};
    let mut state = RecordState::new(name("shop"));
    let mut refused = 0;
    for n in 0..100 {
        let mut large = proposal("fronts", n);
        let text = n.to_string().repeat(200_000 / n.to_string().len());
        large.content = ChangeContent::Settings { digest: content_digest(text.as_bytes()), text };
        let proposer = Proposer { name: name("op"), run: n };
        let command = Command { proposer, number: 1, operation: Operation::Propose(Box::new(large)) };
        refused += u64::from(matches!(state.apply(n, &command), Outcome::Refused(_)));
    }
    assert!(refused > 0 && state.changes().count() > 30, "{refused}");
    assert!(state.encode().len() < elderstage_fleet::wire::MAX_FRAME_BYTES / 2);
}

/// An invalid command is refused by the keeper that gets it or by the record, and changes nothing.
#[test]
fn an_invalid_command_is_refused_and_changes_nothing() {
    let mut simulation = new_fleet_with_leader(15, 3);
    let leader = simulation.leader().unwrap();
    let digest = simulation.keeper(leader).unwrap().replica().state().digest();
    let mut wrong = proposal("fronts", 1);
    wrong.stages[0].members = MemberShare::Count(0);
    let one = simulation.propose("op", Operation::Propose(Box::new(wrong)));
    let two = simulation.propose("op", Operation::Rejoin { keeper: name("k1"), boot: 1 });
    simulation.run(5 * SECOND);
    assert!(simulation.clients[one].refused.as_ref().unwrap().contains("stages[0]"));
    assert!(simulation.clients[two].refused.as_ref().unwrap().contains("only a keeper"));
    assert_eq!(simulation.keeper(leader).unwrap().replica().state().digest(), digest);
    let three = simulation.propose("op", Operation::Stop { change: 77, reason: "none".into() });
    assert!(simulation.run_until(20 * SECOND, |simulation| simulation.clients[three].refused.is_some()));
    assert!(simulation.clients[three].refused.as_ref().unwrap().contains("no change 77"));
    wait_for_agreement(&mut simulation);
}
