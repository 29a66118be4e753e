//! Servers that have just started get no more than their share.

use elderstage::*;

use crate::harness::*;

#[test]
fn a_cold_server_gets_at_most_its_share() {
    let mut harness = Harness::new(&["r1a", "w1"]);
    let started = harness.now;
    harness.update_list(ListMode::Changes, vec![entry("r1b", ServerStatus::Running, started)]);
    let (mut warm, mut cold) = (0, 0);
    for id in 0..30 {
        let reader = sent_to(&harness.arrive(id, 100.0)).unwrap();
        if reader == "r1b" {
            cold += 1
        } else {
            warm += 1
        }
        harness.now += 20 * MS;
        let writer = sent_to(&harness.end_attempt(id, 0, &reader, Outcome::Read, 0)).unwrap();
        harness.first_token(id, 1, &writer);
        harness.end_attempt(id, 1, &writer, Outcome::Served, 0);
    }
    assert!(cold >= 1, "a cold server must be used, or it never becomes warm");
    assert!(
        f64::from(cold) <= 0.9 * f64::from(warm),
        "cold {cold} warm {warm}: the limit is 3 x 0.3 of a warm server"
    );
}

#[test]
fn a_cold_server_is_used_when_no_warm_one_is_left() {
    let mut harness = Harness::new(&["r1a", "w1"]);
    for id in 0..40 {
        harness.arrive(id, 100.0);
        harness.end_attempt(id, 0, "r1a", Outcome::Read, 0);
        harness.first_token(id, 1, "w1");
        harness.end_attempt(id, 1, "w1", Outcome::Served, 0);
    }
    let started = harness.now;
    let entries = vec![entry("r1a", ServerStatus::Gone, 0), entry("r1b", ServerStatus::Running, started)];
    harness.update_list(ListMode::Changes, entries);
    let mut reads = 0;
    for id in 100..130 {
        if sent_to(&harness.arrive(id, 100.0)).as_deref() == Some("r1b") {
            reads += 1;
            harness.end_attempt(id, 0, "r1b", Outcome::Read, 0);
        }
    }
    // Half of the 40 that a warm server took, times the rule's 3 x 0.3, less the room for uneven splits among
    // fronts.
    assert!((5..=18).contains(&reads), "{reads} reads");
}

#[test]
fn sixty_fronts_use_a_cold_server_within_its_limit() {
    let (mut cold, mut warm) = (0, 0);
    for seed in 0..60u64 {
        let settings = Settings { front_count: 60, ..example_settings() };
        let mut harness = Harness {
            router: Router::new(settings, seed * 977 + 3),
            now: 1_000_000_000,
            actions: Vec::new(),
        };
        let names = ["r1a", "r1b", "r1c", "r1d", "w1"].map(|name| entry(name, ServerStatus::Running, 0));
        harness.update_list(ListMode::Restored, names.to_vec());
        harness.update_list(ListMode::Changes, vec![entry("r1e", ServerStatus::Running, harness.now)]);
        // Two requests per front within the window of the rule.
        for turn in 0..2 {
            let id = (seed * 40_503 + turn * 7_919) as u32;
            match sent_to(&harness.arrive(id, 100.0)).as_deref() {
                Some("r1e") => cold += 1,
                Some(_) => warm += 1,
                None => {}
            }
            harness.now += 900 * MS;
        }
    }
    // A warm reader takes about a quarter of the sends; the limit is 3 x 0.3 of that.
    assert!(cold >= 1, "a cold server must be used, or it never becomes warm");
    assert!(f64::from(cold) <= 0.9 * f64::from(warm) / 4.0, "cold {cold} warm {warm}");
}

/// A new reader passed its draw, but was skipped because it was far down the order of 24 others.
#[test]
fn a_cold_reader_among_many_is_used_within_its_limit() {
    let (mut cold, mut all) = (0, 0);
    for me in 0..40 {
        let (mut harness, mut names) = sparse_front(me);
        names.push("r1new".into());
        harness.update_list(ListMode::Changes, vec![entry("r1new", ServerStatus::Running, harness.now)]);
        for id in 0..12 {
            let id = me * 1_000 + id;
            let reader = harness.arrive_with_idle_servers(&names, id, format!("s{id}")).unwrap();
            (all, cold) = (all + 1, cold + u32::from(reader == "r1new"));
            harness.serve_after_read(id, &reader);
            harness.now += 20 * MS;
        }
    }
    // The limit of the rule is 3 x 0.3 of what one of 24 warm readers takes.
    let limit = 0.9 * f64::from(all) / 24.0;
    assert!((0.3 * limit..=limit).contains(&f64::from(cold)), "{cold} of {all}");
}

/// In a release that replaced all readers, restarted fronts saw no warm reader, and each assumed that a new
/// reader should take the whole load: 24 reads in 0.64 s, and it fell over.
#[test]
fn fronts_started_in_a_rolling_release_keep_a_cold_reader_within_its_limit() {
    let names: Vec<String> = (0..24).map(|n| format!("r1{n}")).chain(["w1".into(), "w2".into()]).collect();
    let (mut one, mut all) = (0, 0);
    for me in 0..350 {
        let mut harness = front_of_sixty(me, &[]);
        let start = |name: &String| if name.starts_with('r') { harness.now - 1_000 * MS } else { 0 };
        let entries = names.iter().map(|name| entry(name, ServerStatus::Running, start(name))).collect();
        harness.update_list(ListMode::Full, entries);
        let reader = harness.arrive_with_idle_servers(&names, me, format!("s{me}"));
        (all, one) = (all + 1, one + u32::from(reader.as_deref() == Some("r17")));
    }
    // The limit of the rule is 3 x 0.3 of what one of 24 readers takes.
    let limit = 0.9 * f64::from(all) / 24.0;
    assert!((1.0..=limit).contains(&f64::from(one)), "{one} of {all}");
}

/// The draw used the share among all writers, although a KV state is fetched only by writers of its cell: new
/// writers stayed cold.
#[test]
fn a_cold_writer_gets_its_share_of_the_kv_states_of_its_cell() {
    let mut names: Vec<String> = (0..10).flat_map(|c| ["a", "b"].map(|n| format!("w{c}{n}"))).collect();
    names.push("r1".into());
    let (mut cold, mut all) = (0, 0);
    for me in 0..40 {
        let mut harness = front_of_sixty(me, &names.iter().map(String::as_str).collect::<Vec<_>>());
        harness.update_list(ListMode::Changes, vec![entry("w1new", ServerStatus::Running, harness.now)]);
        for n in 0..24 {
            let id = me * 1_000 + n;
            let reader = harness.arrive_with_idle_servers(&names, id, format!("s{id}")).unwrap();
            let writer = sent_to(&harness.end_attempt(id, 0, &reader, Outcome::Read, 0)).unwrap();
            (all, cold) = (all + 1, cold + u32::from(writer == "w1new"));
            harness.first_token(id, 1, &writer);
            harness.end_attempt(id, 1, &writer, Outcome::Served, 0);
            harness.now += 20 * MS;
        }
    }
    // The limit is 3 x 0.3 of the third that a warm writer of the cell takes.
    let limit = 0.9 * f64::from(all) / 3.0;
    assert!((0.15 * limit..=0.5 * limit).contains(&f64::from(cold)), "{cold} of {all}");
}

/// A precaution against a failure not seen so far: one prompt many times longer than usual is more than a new
/// reader can do in two seconds.
#[test]
fn a_cold_reader_gets_no_prompt_that_alone_overloads_it() {
    let (mut usual, mut long) = (0, 0);
    for me in 0..40 {
        let (mut harness, mut names) = sparse_front(me);
        names.push("r1new".into());
        harness.update_list(ListMode::Changes, vec![entry("r1new", ServerStatus::Running, harness.now)]);
        for n in 0..20 {
            names.iter().for_each(|name| drop(harness.report_load(name, 0.1, 0.0)));
            let (id, prompt) = (me * 1_000 + n, if n % 2 == 0 { 1_000.0 } else { 20_000.0 });
            let cold = sent_to(&harness.arrive_with_texts(id, format!("s{id}"), None, prompt)).as_deref()
                == Some("r1new");
            (usual, long) = (usual + u32::from(cold && n % 2 == 0), long + u32::from(cold && n % 2 == 1));
            harness.handle(Event::ClientGone { id: RequestId(id) });
            harness.end_attempt(id, 0, "r1new", Outcome::Cancelled, 0);
        }
    }
    assert!(usual > 0 && long == 0, "{usual} usual and {long} long prompts");
}

/// Few servers are mixed: a draw by the share among those alone sent the KV states of all cells to a mixed
/// server that had just started.
#[test]
fn a_cold_mixed_server_attracts_no_kv_states_from_other_cells() {
    let mut names: Vec<String> = (0..10).flat_map(|c| ["a", "b"].map(|n| format!("w{c}{n}"))).collect();
    names.extend(["r1".into(), "m9".into()]);
    let mut far = 0;
    for me in 0..40 {
        let mut harness = front_of_sixty(me, &names.iter().map(String::as_str).collect::<Vec<_>>());
        harness.update_list(ListMode::Changes, vec![entry("m8new", ServerStatus::Running, harness.now)]);
        for n in 0..12 {
            let id = me * 1_000 + n;
            let reader = harness.arrive_with_idle_servers(&names, id, format!("s{id}")).unwrap();
            far += u32::from(
                sent_to(&harness.end_attempt(id, 0, &reader, Outcome::Read, 0)).as_deref() == Some("m8new"),
            );
            harness.end_attempt(id, 1, "m8new", Outcome::NotSent, 0);
            harness.now += 20 * MS;
        }
    }
    assert!(far <= 4, "{far} of 480 states, although the writers of their cell had room");
}
