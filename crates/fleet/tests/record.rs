//! The record under faults one by one, in simulated time. Rules are asserted; times only as bounds of the simulation.

mod world;

use elderstage_fleet::SECOND;
use elderstage_fleet::change::Part;
use elderstage_fleet::keeper::Note;
use elderstage_fleet::record::{Order, Outcome, Role};
use world::{World, checks, name, proposal};

fn queue(world: &mut World, n: u64) -> usize {
    world.propose("op", Order::Propose(Box::new(proposal("fronts", n))))
}

fn known(client: usize) -> impl Fn(&World) -> bool {
    move |world| world.clients[client].outcome.is_some()
}

fn agree(world: &mut World) {
    let same = |world: &World| world.up().len() == world.keepers && checks::record(world).is_ok();
    assert!(world.until(30 * SECOND, same), "{:?}", checks::record(world));
}

/// A fleet with a leader and one change in its record.
fn founded(seed: u64, keepers: usize) -> World {
    let mut world = World::new(seed, keepers, 0, 0);
    let first = queue(&mut world, 0);
    assert!(world.until(20 * SECOND, known(first)));
    world
}

#[test]
fn a_record_is_founded_and_takes_commands_in_one_order() {
    for keepers in [3, 5] {
        let mut world = founded(1, keepers);
        let clients: Vec<usize> = (1..=20).map(|n| queue(&mut world, n)).collect();
        for client in clients {
            assert!(world.until(20 * SECOND, known(client)));
        }
        agree(&mut world);
        let founded = world.notes.iter().filter(|(.., note)| *note == Note::Founded).count();
        assert_eq!(founded, keepers);
        let leader = world.leader().unwrap();
        let numbers: Vec<u64> =
            world.keeper(leader).unwrap().replica().state().changes().map(|c| c.number).collect();
        assert_eq!(numbers, (1..=21).collect::<Vec<_>>());
    }
}

/// One command sent many times, to all keepers, is taken once, and each time answered alike.
#[test]
fn a_command_is_taken_once_however_often_it_is_sent() {
    let mut world = founded(2, 3);
    let first = queue(&mut world, 1);
    let again: Vec<usize> =
        (0..10).map(|_| world.send_command(world.clients[first].command.clone())).collect();
    for client in again {
        assert!(world.until(20 * SECOND, known(client)));
        assert_eq!(world.clients[client].outcome, world.clients[first].outcome);
    }
    agree(&mut world);
    let leader = world.leader().unwrap();
    assert_eq!(world.keeper(leader).unwrap().replica().state().changes().count(), 2);
}

/// Acknowledged means on the disks of a majority: read from the disks.
#[test]
fn what_is_acknowledged_is_on_a_majority_of_disks() {
    for seed in 0..20 {
        let mut world = founded(seed, 5);
        world.common.lost = 0.2;
        let client = queue(&mut world, 1);
        while !known(client)(&world) {
            world.run(1);
            assert!(world.now < 60 * SECOND);
        }
        let disks = checks::on_disk(&world, &world.clients[client].command);
        assert!(disks >= 3, "seed {seed}: on {disks} of 5 disks");
    }
}

#[test]
fn the_leader_is_killed_after_the_order_and_before_its_answer() {
    for seed in 0..20 {
        let mut world = founded(seed, 3);
        let leader = world.leader().unwrap();
        let client = queue(&mut world, 1);
        // Somewhere between the client's question and the answer.
        let steps = seed * 400;
        world.run(1000 + steps);
        world.kill(leader);
        assert!(world.until(30 * SECOND, known(client)), "seed {seed}: two of three go on");
        world.start(leader);
        agree(&mut world);
    }
}

#[test]
fn a_minority_takes_nothing_and_forgets_nothing() {
    let mut world = founded(4, 5);
    let leader = world.leader().unwrap();
    let other = (leader + 1) % 5;
    for of in (0..5).filter(|of| *of != leader && *of != other) {
        world.cut(leader, of, true);
        world.cut(other, of, true);
    }
    let clients: Vec<usize> = (1..=5).map(|n| queue(&mut world, n)).collect();
    world.run(20 * SECOND);
    let standing = world.keeper(leader).unwrap().replica().standing();
    assert_ne!(standing.role, Role::Leader, "a leader that hears no majority steps down");
    let inside = world.keeper(leader).unwrap().replica().state().changes().count();
    assert_eq!(inside, 1, "nothing is taken on the minority's side");
    world.heal();
    for client in clients {
        assert!(world.until(30 * SECOND, known(client)));
    }
    agree(&mut world);
}

/// A leader that can send and not hear, and one that can hear and not send.
#[test]
fn a_link_that_carries_one_way_only_does_not_stop_the_record() {
    for sends in [true, false] {
        let mut world = founded(5, 3);
        let leader = world.leader().unwrap();
        for of in (0..3).filter(|of| *of != leader) {
            let (one, other) = if sends { (of, leader) } else { (leader, of) };
            world.cut(one, other, false);
        }
        let client = queue(&mut world, 1);
        assert!(world.until(60 * SECOND, known(client)), "sends: {sends}");
        world.heal();
        agree(&mut world);
    }
}

#[test]
fn a_paused_leader_does_not_take_back_what_was_decided_meanwhile() {
    let mut world = founded(6, 3);
    let leader = world.leader().unwrap();
    world.pause(leader, 15 * SECOND);
    let client = queue(&mut world, 1);
    assert!(world.until(14 * SECOND, known(client)), "two of three go on");
    world.run(20 * SECOND);
    agree(&mut world);
}

/// A tail that is lost is said, the keeper has no voice until all has come back, and nothing is forgotten.
#[test]
fn a_keeper_that_lost_its_tail_says_so_and_begins_again() {
    for lost in [1, 3, 100] {
        let mut world = founded(7, 3);
        for n in 1..=5 {
            let client = queue(&mut world, n);
            assert!(world.until(20 * SECOND, known(client)));
        }
        world.run(SECOND);
        let leader = world.leader().unwrap();
        for of in [leader, (leader + 1) % 3] {
            world.kill(of);
            world.processes[of].disk.lose_tail(lost);
            world.start(of);
            let doubts = world.keeper(of).unwrap().replica().doubts().to_vec();
            assert!(doubts.iter().any(|doubt| doubt.contains("the log ends at entry")), "{doubts:?}");
            assert_eq!(world.keeper(of).unwrap().replica().standing().role, Role::Rejoining);
            let rejoined =
                |world: &World| world.keeper(of).is_some_and(|keeper| keeper.replica().trust().has_voice());
            assert!(world.until(30 * SECOND, rejoined), "{lost} lost");
        }
        agree(&mut world);
        let client = queue(&mut world, 9);
        assert!(world.until(20 * SECOND, known(client)));
        agree(&mut world);
    }
}

/// The case that the voice is withheld for: the only other copy is at the leader, which is then gone.
#[test]
fn what_two_of_three_had_is_not_forgotten_when_one_loses_it_and_the_other_is_killed() {
    let mut world = founded(8, 3);
    let leader = world.leader().unwrap();
    let (near, far) = ((leader + 1) % 3, (leader + 2) % 3);
    for of in [leader, near] {
        world.cut(of, far, true);
    }
    let client = queue(&mut world, 1);
    assert!(world.until(60 * SECOND, known(client)), "leader and one follower are a majority");
    let change = world.clients[client].outcome.clone().unwrap();
    world.kill(near);
    world.processes[near].disk.lose_tail(50);
    world.kill(leader);
    world.heal();
    world.start(near);
    world.run(30 * SECOND);
    // The far one and the one that lost it would be a majority without it.
    assert_eq!(world.leader(), None, "nobody is elected who may lack it");
    world.start(leader);
    agree(&mut world);
    assert!(matches!(change, Outcome::Queued { change: 2, .. }), "{change:?}");
    assert_eq!(world.keeper(far).unwrap().replica().state().changes().count(), 2);
}

#[test]
fn a_spoilt_block_is_found_and_what_follows_it_is_fetched_again() {
    let mut world = founded(9, 3);
    for n in 1..=10 {
        let client = queue(&mut world, n);
        assert!(world.until(20 * SECOND, known(client)));
    }
    let of = (world.leader().unwrap() + 1) % 3;
    world.kill(of);
    world.processes[of].disk.spoil(4);
    world.start(of);
    let doubts = world.keeper(of).unwrap().replica().doubts().to_vec();
    assert!(doubts.iter().any(|doubt| doubt.ends_with("is spoilt")), "{doubts:?}");
    agree(&mut world);
    let rejoined =
        |world: &World| world.keeper(of).is_some_and(|keeper| keeper.replica().trust().has_voice());
    assert!(world.until(30 * SECOND, rejoined));
}

/// A disk that can't be made sense of is refused; one of another keeper, too.
#[test]
fn a_disk_that_cannot_be_settled_is_refused_in_words() {
    let mut world = founded(10, 3);
    world.kill(0);
    let disk = world.processes[0].disk.clone();
    let spoilt = &mut world.processes[0].disk;
    for block in [&mut spoilt.hard, &mut spoilt.mark] {
        block.as_mut().unwrap()[17] ^= 1;
    }
    world.start(0);
    assert!(!world.is_up(0));
    assert_eq!(world.processes[0].ended.as_deref(), Some("neither term and vote nor the mark can be read"));
    world.processes[0].disk = disk;
    world.start(0);
    assert!(world.is_up(0));
    world.kill(1);
    world.processes[1].disk = world.processes[2].disk.clone();
    world.start(1);
    assert!(
        world.processes[1].ended.as_ref().unwrap().contains("is of keeper k3"),
        "{:?}",
        world.processes[1].ended
    );
}

/// Guards against a wiped keeper that founds a record of its own, or votes as if it never had.
#[test]
fn a_wiped_keeper_takes_the_record_from_the_others() {
    let mut world = founded(11, 3);
    for of in 0..3 {
        world.kill(of);
        world.processes[of].disk.wipe();
        world.start(of);
        assert_eq!(world.keeper(of).unwrap().replica().standing().role, Role::Blank);
        let rejoined =
            |world: &World| world.keeper(of).is_some_and(|keeper| keeper.replica().trust().has_voice());
        assert!(world.until(60 * SECOND, rejoined), "keeper {of}");
    }
    agree(&mut world);
    assert_eq!(world.keeper(0).unwrap().replica().state().changes().count(), 1);
}

/// All others gone, a wiped keeper founds nothing.
#[test]
fn a_wiped_keeper_alone_waits() {
    let mut world = founded(12, 3);
    (0..3).for_each(|of| world.kill(of));
    world.processes[0].disk.wipe();
    world.start(0);
    world.run(60 * SECOND);
    assert_eq!(world.keeper(0).unwrap().replica().standing().role, Role::Blank);
    world.start(1);
    world.start(2);
    agree(&mut world);
}

/// A write that stops between log and mark leaves more than the mark says: nothing was vouched for, nothing is lost.
#[test]
fn a_kill_between_log_and_mark_costs_nothing() {
    for seed in 0..10 {
        let mut world = founded(seed, 3);
        let of = (world.leader().unwrap() + seed as usize) % 3;
        world.processes[of].disk.torn = true;
        let client = queue(&mut world, 1);
        assert!(world.until(30 * SECOND, known(client)));
        assert!(!world.is_up(of), "the write was torn");
        world.start(of);
        let doubts = world.keeper(of).unwrap().replica().doubts().to_vec();
        assert_eq!(doubts, Vec::<String>::new());
        agree(&mut world);
    }
}

#[test]
fn a_keeper_whose_disk_is_full_ends_and_the_others_go_on() {
    let mut world = founded(13, 3);
    let leader = world.leader().unwrap();
    world.processes[leader].disk.full = true;
    let client = queue(&mut world, 1);
    assert!(world.until(30 * SECOND, known(client)));
    assert_eq!(world.processes[leader].ended.as_deref(), Some("no space left on device"));
    world.processes[leader].disk.full = false;
    world.start(leader);
    agree(&mut world);
}

/// Long past the bounds of the log a keeper that was away comes back by a snapshot, and a restart begins at one.
#[test]
fn a_keeper_far_behind_comes_back_by_a_snapshot() {
    let mut world = founded(14, 3);
    let away = (world.leader().unwrap() + 1) % 3;
    world.kill(away);
    let mut stops = Vec::new();
    for n in 0..700 {
        let client = queue(&mut world, n);
        assert!(world.until(20 * SECOND, known(client)), "{n}: {:?}", world.clients[client].refused);
        let Some(Outcome::Queued { change, .. }) = world.clients[client].outcome else { panic!() };
        let reason = "tried".to_owned();
        let stop = world.propose("op", Order::Stop { change, reason });
        stops.push(stop);
        assert!(world.until(20 * SECOND, known(stop)));
        world.forget_clients();
    }
    let leader = world.leader().unwrap();
    assert!(world.processes[leader].disk.snapshot.is_some(), "the log was compacted");
    assert!(world.processes[leader].disk.entries.len() < 1400);
    world.start(away);
    agree(&mut world);
    assert!(world.processes[away].disk.snapshot.is_some());
    for of in 0..3 {
        world.kill(of);
    }
    (0..3).for_each(|of| world.start(of));
    agree(&mut world);
    assert!(world.up().iter().all(|of| world.keeper(*of).unwrap().replica().doubts().is_empty()));
}

/// Guards against a record that no frame can carry: a keeper far behind could not be brought up again.
#[test]
fn large_proposals_are_refused_before_a_snapshot_outgrows_a_frame() {
    use elderstage_fleet::change::{What, digest_of};
    use elderstage_fleet::record::{Command, Proposer, State};
    let mut state = State::new(name("shop"));
    let mut refused = 0;
    for n in 0..100 {
        let mut large = proposal("fronts", n);
        let text = n.to_string().repeat(200_000 / n.to_string().len());
        large.what = What::Settings { digest: digest_of(text.as_bytes()), text };
        let proposer = Proposer { name: name("op"), run: n };
        let command = Command { proposer, number: 1, order: Order::Propose(Box::new(large)) };
        refused += u64::from(matches!(state.apply(n, &command), Outcome::Refused(_)));
    }
    assert!(refused > 0 && state.changes().count() > 30, "{refused}");
    assert!(state.encode().len() < elderstage_fleet::wire::MOST_FRAME / 2);
}

/// What is wrong is refused at the door and by the record, and changes nothing.
#[test]
fn a_wrong_command_is_refused_and_changes_nothing() {
    let mut world = founded(15, 3);
    let leader = world.leader().unwrap();
    let digest = world.keeper(leader).unwrap().replica().state().digest();
    let mut wrong = proposal("fronts", 1);
    wrong.stages[0].members = Part::Count(0);
    let one = world.propose("op", Order::Propose(Box::new(wrong)));
    let two = world.propose("op", Order::Rejoin { keeper: name("k1"), boot: 1 });
    world.run(5 * SECOND);
    assert!(world.clients[one].refused.as_ref().unwrap().contains("stages[0]"));
    assert!(world.clients[two].refused.as_ref().unwrap().contains("only a keeper"));
    assert_eq!(world.keeper(leader).unwrap().replica().state().digest(), digest);
    let three = world.propose("op", Order::Stop { change: 77, reason: "none".into() });
    assert!(world.until(20 * SECOND, |world| world.clients[three].refused.is_some()));
    assert!(world.clients[three].refused.as_ref().unwrap().contains("no change 77"));
    agree(&mut world);
}
