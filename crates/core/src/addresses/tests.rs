use super::*;

const S: Time = 1_000_000;
const MS: Time = 1_000;

fn server(name: &str) -> ServerId {
    ServerId(name.into())
}

fn endpoints() -> Vec<Endpoint> {
    ["[::1]:80", "127.0.0.1:80"].iter().map(|text| text.parse().unwrap()).collect()
}

fn addresses() -> Addresses<u32> {
    let mut addresses = Addresses::new(ConnectionLimits { max_total: 2, ..ConnectionLimits::default() }, 0.0);
    addresses.apply_list(0, [(server("s"), endpoints(), false)]);
    addresses
}

fn needs(once: bool) -> ConnectionNeeds {
    ConnectionNeeds {
        must_not_repeat: once,
        proof: Proof::Continue,
        connect_limit: 250 * MS,
        attempt_limit: 10 * S,
    }
}

/// Carries out all steps of a race, with every dial and proof successful.
fn connect(addresses: &mut Addresses<u32>, race: &mut Race, now: Time) -> RaceStep<(u32, ConnectionAge)> {
    loop {
        match addresses.poll(now, race) {
            RaceStep::Dial(lane, _) => {
                addresses.record_dial(now, race.endpoint(lane), now, true);
                assert!(race.record_connected(lane));
            }
            RaceStep::Prove(lane, _) => assert!(addresses.record_proof(now, race, lane)),
            RaceStep::Reuse(..) => {}
            step => return step,
        }
    }
}

#[test]
fn unrepeatable_requests_are_always_proven_others_only_without_a_recent_proof() {
    let mut addresses = addresses();
    let mut now = S;
    let mut proofs = |addresses: &mut Addresses<u32>, once| {
        // The connection of the request before has rested.
        now += 30 * MS;
        let before = addresses.counts().proofs;
        let mut race = addresses.start_race(now, &server("s"), needs(once));
        let step = connect(addresses, &mut race, now);
        assert!(matches!(step, RaceStep::Send(0, _)), "{step:?}");
        addresses.return_connection(now, &endpoints()[0], 7, ConnectionAge::new(S));
        addresses.counts().proofs - before
    };
    assert_eq!(proofs(&mut addresses, false), 1, "nothing is known yet");
    assert_eq!(proofs(&mut addresses, false), 0, "it was proven just now");
    assert_eq!(proofs(&mut addresses, true), 1);
    // A server with one address leaves no alternative, so a request that may be repeated needs no proof.
    addresses.apply_list(S, [(server("s"), endpoints()[..1].to_vec(), false)]);
    let mut race = addresses.start_race(60 * S, &server("s"), needs(false));
    assert!(matches!(connect(&mut addresses, &mut race, 60 * S), RaceStep::Send(0, RemainingRequest::Whole)));
}

#[test]
fn an_address_that_rejects_the_expectation_is_proven_by_a_health_request_from_then_on() {
    let mut addresses = addresses();
    let mut race = addresses.start_race(S, &server("s"), needs(true));
    assert!(matches!(addresses.poll(S, &mut race), RaceStep::Dial(0, _)));
    race.record_connected(0);
    assert_eq!(addresses.poll(S, &mut race), RaceStep::Prove(0, Proof::Continue));
    addresses.record_expectation_failed(S, &mut race, 0, true);
    assert_eq!(addresses.poll(S, &mut race), RaceStep::Send(0, RemainingRequest::Whole));
    let mut race = addresses.start_race(2 * S, &server("s"), needs(true));
    assert!(matches!(addresses.poll(2 * S, &mut race), RaceStep::Dial(0, _)));
    race.record_connected(0);
    assert_eq!(addresses.poll(2 * S, &mut race), RaceStep::Prove(0, Proof::Health));
}

#[test]
fn idle_connections_make_room_and_attempts_beyond_the_limit_are_denied() {
    let mut addresses = addresses();
    let begin = |addresses: &mut Addresses<u32>, now| {
        let mut race = addresses.start_race(now, &server("s"), needs(false));
        connect(addresses, &mut race, now)
    };
    assert!(matches!(begin(&mut addresses, S), RaceStep::Send(0, _)));
    assert!(matches!(begin(&mut addresses, S), RaceStep::Send(0, _)));
    assert_eq!(begin(&mut addresses, S), RaceStep::Lost(RaceFailure::NoRoom));
    addresses.return_connection(S, &"127.0.0.1:80".parse().unwrap(), 9, ConnectionAge::new(S));
    assert!(matches!(begin(&mut addresses, S), RaceStep::Send(0, _)));
    assert_eq!(addresses.take_closing(), [9]);
    addresses.record_closed(&endpoints()[1]);
    addresses.record_closed(&endpoints()[0]);
    assert_eq!(addresses.counts().no_room, 2, "one for each address of the attempt that was denied");
}

#[test]
fn connections_of_a_leaving_server_are_closed_after_the_grace_period() {
    let mut addresses = addresses();
    addresses.return_connection(S, &endpoints()[0], 1, ConnectionAge::new(S));
    addresses.apply_list(2 * S, [(server("s"), endpoints(), true)]);
    addresses.run_maintenance(3 * S, 250 * MS);
    assert!(addresses.take_closing().is_empty(), "the grace period is not over");
    addresses.run_maintenance(4 * S, 250 * MS);
    assert_eq!(addresses.take_closing(), [1]);
    // A connection that is returned later is not kept.
    addresses.return_connection(5 * S, &endpoints()[0], 2, ConnectionAge::new(S));
    assert_eq!(addresses.take_closing(), [2]);
}

#[test]
fn a_family_that_goes_down_or_comes_back_is_reported_once() {
    let mut addresses = Addresses::<u32>::new(ConnectionLimits::default(), 0.0);
    let endpoint = |family: &str, n: usize| format!("{family}:{}", 80 + n).parse::<Endpoint>().unwrap();
    let pair = |n| vec![endpoint("[::1]", n), endpoint("127.0.0.1", n)];
    addresses.apply_list(0, (0..5).map(|n| (server(&format!("s{n}")), pair(n), false)));
    for n in 0..3 {
        let mut race = addresses.start_race(S, &server(&format!("s{n}")), needs(false));
        assert!(matches!(addresses.poll(S, &mut race), RaceStep::Dial(0, _)));
        addresses.record_dial(S, race.endpoint(0), S, false);
        race.record_failure(0);
        assert!(matches!(connect(&mut addresses, &mut race, S), RaceStep::Send(1, _)));
    }
    assert_eq!(addresses.run_maintenance(S, 250 * MS).families, [(AddressFamily::V6, true)]);
    assert_eq!(addresses.run_maintenance(S, 250 * MS).families, []);
    // The other servers are dialed by IPv4 at once.
    let mut race = addresses.start_race(S, &server("s4"), needs(false));
    assert!(matches!(addresses.poll(S, &mut race), RaceStep::Dial(0, _)));
    assert_eq!(race.endpoint(0).family(), AddressFamily::V4);
    let trials = addresses.run_maintenance(3 * S, 250 * MS).trials;
    assert_eq!((trials.len(), trials[0].is_family_trial), (1, true));
    addresses.record_trial(3 * S, &trials[0], 3 * S, true);
    assert_eq!(addresses.run_maintenance(3 * S, 250 * MS).families, [(AddressFamily::V6, false)]);
}

/// A path fails under requests: a request that may be repeated is given up once another address is known to
/// work; a request that must not run twice keeps waiting.
#[test]
fn requests_on_a_failed_path_are_given_up_when_another_address_works() {
    let mut addresses = addresses();
    let (failed_place, working_place) = (endpoints()[0].clone(), endpoints()[1].clone());
    let safe = addresses.record_sent(S, &server("s"), &failed_place, true);
    let once = addresses.record_sent(S, &server("s"), &failed_place, false);
    assert_eq!(addresses.run_maintenance(S + 100 * MS, 250 * MS), MaintenanceResult::default());
    // Two late waits make the address doubtful; nothing is known of the other one yet.
    let tended = addresses.run_maintenance(S + 250 * MS, 250 * MS);
    assert_eq!(
        (tended.trials.len(), tended.give_up.len()),
        (1, 0),
        "a trial finds out whether the other address works"
    );
    assert_eq!((&tended.trials[0].endpoint, tended.trials[0].time_limit), (&working_place, 100 * MS));
    let next = addresses.start_race(S + 250 * MS, &server("s"), needs(false));
    assert_eq!(*next.endpoint(0), working_place, "the next request uses the other address");
    let trials = addresses.run_maintenance(S + 255 * MS, 250 * MS).trials;
    assert!(
        trials.iter().all(|trial| trial.endpoint != failed_place),
        "it is doubtful, and its pause is not over"
    );
    let other = addresses.record_sent(S + 250 * MS, &server("s"), &working_place, true);
    addresses.record_first_byte(S + 260 * MS, other);
    assert_eq!(addresses.run_maintenance(S + 300 * MS, 250 * MS).give_up, [safe]);
    addresses.record_no_answer(S + 300 * MS, safe, false);
    assert!(addresses.run_maintenance(S + 350 * MS, 250 * MS).give_up.is_empty());
    addresses.record_first_byte(2 * S, once);
    assert_eq!((addresses.counts().late_waits, addresses.counts().given_up_waits), (2, 1));
}

/// A single late wait starts a trial; its failure marks the address without waiting for a second late
/// request.
#[test]
fn one_late_wait_starts_trials() {
    let mut addresses = addresses();
    let failed_place = endpoints()[0].clone();
    let safe = addresses.record_sent(S, &server("s"), &failed_place, true);
    let tended = addresses.run_maintenance(S + 200 * MS, 250 * MS);
    assert_eq!(tended.trials.len(), 2, "one for each address");
    for trial in &tended.trials {
        let has_answered = trial.endpoint != failed_place;
        addresses.record_trial(
            S + if has_answered { 201 } else { 300 } * MS,
            trial,
            S + 200 * MS,
            has_answered,
        );
        addresses.record_closed(&trial.endpoint);
    }
    assert_eq!(addresses.run_maintenance(S + 500 * MS, 250 * MS).give_up, [safe]);
    // An engine that is merely busy passes its trial, and its requests keep waiting.
    let busy = addresses.record_sent(2 * S, &server("s"), &endpoints()[1], true);
    let tended = addresses.run_maintenance(2 * S + 900 * MS, 250 * MS);
    let trial = tended.trials.iter().find(|trial| trial.endpoint == endpoints()[1]).unwrap();
    addresses.record_trial(2 * S + 901 * MS, trial, 2 * S + 900 * MS, true);
    assert!(addresses.run_maintenance(3 * S, 250 * MS).give_up.is_empty());
    addresses.record_first_byte(3 * S, busy);
}

/// A fault on one server's connection may affect its whole family: the next attempt, at another server, is
/// proven.
#[test]
fn a_connection_lost_under_a_request_invalidates_the_proofs_of_its_family() {
    let mut addresses = addresses();
    let other: Vec<Endpoint> =
        ["[::1]:81", "127.0.0.1:81"].iter().map(|text| text.parse().unwrap()).collect();
    addresses.apply_list(0, [(server("s"), endpoints(), false), (server("t"), other.clone(), false)]);
    for endpoint in [&endpoints()[0], &other[0], &other[1]] {
        addresses.record_other_answer(S, endpoint);
    }
    let proofs = |addresses: &mut Addresses<u32>| {
        let before = addresses.counts().proofs;
        let mut race = addresses.start_race(S, &server("t"), needs(false));
        connect(addresses, &mut race, S);
        addresses.counts().proofs - before
    };
    assert_eq!(proofs(&mut addresses), 0);
    let number = addresses.record_sent(S, &server("s"), &endpoints()[0], true);
    addresses.record_no_answer(S, number, true);
    assert_eq!(proofs(&mut addresses), 1);
}
