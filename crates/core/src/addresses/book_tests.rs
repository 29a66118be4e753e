use super::*;

const S: Time = 1_000_000;
const NAMES: [&str; 3] = ["unix:/run/x", "[::1]:80", "127.0.0.1:80"];

fn server(name: &str) -> ServerId {
    ServerId(name.into())
}

fn endpoints(of: usize) -> Vec<Endpoint> {
    vec![
        format!("unix:/run/{of}").parse().unwrap(),
        format!("[::1]:{}", 8000 + of).parse().unwrap(),
        format!("127.0.0.1:{}", 8000 + of).parse().unwrap(),
    ]
}

fn name(of: usize) -> String {
    format!("s{of}")
}

/// A book of `servers` servers with three addresses each.
fn book(servers: usize) -> AddressBook {
    let mut book = AddressBook::new(0.0);
    book.apply_list(0, (0..servers).map(|of| (server(&name(of)), endpoints(of), false)));
    book
}

fn order(book: &AddressBook, of: usize, now: Time) -> Vec<AddressFamily> {
    book.candidates(&server(&name(of)), now).into_iter().map(|choice| choice.endpoint.family()).collect()
}

const ALL: [AddressFamily; 3] = [AddressFamily::Unix, AddressFamily::V6, AddressFamily::V4];
const UNIX_LAST: [AddressFamily; 3] = [AddressFamily::V6, AddressFamily::V4, AddressFamily::Unix];

fn trials(book: &mut AddressBook, now: Time) -> Vec<Trial> {
    book.start_trials(now, 250_000, || true)
}

#[test]
fn a_failed_address_comes_last_until_a_trial_is_answered() {
    let (mut book, at) = (book(1), endpoints(0));
    assert_eq!(order(&book, 0, 0), ALL);
    book.record_failure(&at[0], S, S);
    assert_eq!(order(&book, 0, S), UNIX_LAST);
    // Guards against a real order as the first request to an address that has just failed.
    assert_eq!(order(&book, 0, 1000 * S), UNIX_LAST, "time alone does not bring it back");
    assert_eq!(trials(&mut book, S + FIRST_PAUSE - 1), []);
    let due = trials(&mut book, S + FIRST_PAUSE);
    assert_eq!(
        due,
        [Trial {
            server: server("s0"),
            endpoint: at[0].clone(),
            is_family_trial: false,
            is_padded: false,
            time_limit: 250_000
        }]
    );
    assert_eq!(trials(&mut book, S + FIRST_PAUSE), [], "one trial at a time");
    book.record_trial(&due[0], 2 * S, 2 * S - 1, false);
    assert_eq!(trials(&mut book, 2 * S + FIRST_PAUSE), [], "the pause is twice as long");
    let due = trials(&mut book, 2 * S + 2 * FIRST_PAUSE);
    book.record_trial(&due[0], 4 * S, 4 * S - 1, true);
    assert_eq!((order(&book, 0, 4 * S), book.failing_count()), (ALL.to_vec(), 0));
}

#[test]
fn concurrent_failures_count_once() {
    let (mut book, at) = (book(1), endpoints(0));
    for n in 0..100 {
        book.record_failure(&at[0], 2 * S + n, S);
    }
    let known = book.address(&at[0]).unwrap();
    assert_eq!((known.failures, known.next_trial_at), (1, 2 * S + FIRST_PAUSE));
    // Nor does a dial count that started before the last answer.
    book.record_answer(&at[0], 3 * S, None);
    book.record_failure(&at[0], 4 * S, 3 * S - 1);
    assert_eq!(book.address(&at[0]).unwrap().failures, 0);
}

#[test]
fn a_flapping_address_pauses_longer_each_time_until_it_works_for_a_while() {
    let (mut book, at) = (book(1), endpoints(0));
    let mut now = S;
    let mut waits = Vec::new();
    for _ in 0..8 {
        book.record_failure(&at[1], now, now);
        let until = book.address(&at[1]).unwrap().next_trial_at;
        waits.push(until - now);
        book.record_answer(&at[1], until, None);
        now = until + 3 * S;
    }
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]), "{waits:?}");
    assert_eq!((waits[0], waits[7]), (FIRST_PAUSE, LONGEST_PAUSE));
    now += PAUSE_RESET_AFTER;
    book.record_failure(&at[1], now, now);
    assert_eq!(book.address(&at[1]).unwrap().next_trial_at, now + FIRST_PAUSE);
}

#[test]
fn a_few_servers_mark_a_family_as_down_for_all() {
    let mut book = book(50);
    for of in 0..FAMILY_DOWN_SERVERS {
        assert_eq!(order(&book, 40, S), ALL);
        let at = endpoints(of);
        book.record_failure(&at[1], S, S);
        book.record_family_failures(&server(&name(of)), &at[2], &at[1..2], S);
    }
    assert!(book.family_down(AddressFamily::V6));
    assert_eq!(order(&book, 40, S), [AddressFamily::Unix, AddressFamily::V4, AddressFamily::V6]);
    // Meanwhile its single addresses are not tried. The family is, by one address at a time, a different one
    // each time.
    let first = trials(&mut book, S + FIRST_PAUSE);
    assert_eq!((first.len(), first[0].is_family_trial), (1, true));
    assert_eq!(trials(&mut book, S + FIRST_PAUSE), []);
    book.record_trial(&first[0], 2 * S, 2 * S - 1, false);
    let second = trials(&mut book, 20 * S);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].endpoint, first[0].endpoint);
    book.record_trial(&second[0], 20 * S, 20 * S - 1, true);
    assert_eq!(order(&book, 40, 20 * S), ALL, "one answer brings the family back");
    // Its failed addresses are tried spread over the first pause, not all at once.
    assert!(trials(&mut book, 20 * S).len() < FAMILY_DOWN_SERVERS);
    trials(&mut book, 20 * S + FIRST_PAUSE);
    assert_eq!(trials(&mut book, 21 * S), [], "all trials are in progress");
}

/// Guards against taking a restart of half the fleet for a dead network.
#[test]
fn dead_servers_do_not_mark_a_family_as_down() {
    let mut book = book(50);
    for of in 0..25 {
        for at in endpoints(of) {
            book.record_failure(&at, S, S);
        }
    }
    assert!(ALL.iter().all(|family| !book.family_down(*family)));
    assert_eq!(order(&book, 40, S), ALL);
    // Nor do repeated failures of one server, or failures that are long past.
    let at = endpoints(0);
    for n in 0..20 {
        book.record_family_failures(&server("s0"), &at[2], &at[1..2], n * S);
    }
    book.record_family_failures(&server("s1"), &endpoints(1)[2], &endpoints(1)[1..2], 20 * S);
    book.record_family_failures(
        &server("s2"),
        &endpoints(2)[2],
        &endpoints(2)[1..2],
        21 * S + FAMILY_FAILURE_LIFETIME,
    );
    assert!(!book.family_down(AddressFamily::V6));
    // Nor does a failure where an address of the same family won.
    for of in 0..9 {
        let other = [format!("127.0.0.2:{}", 8000 + of).parse().unwrap()];
        book.record_family_failures(&server(&name(of)), &endpoints(of)[2], &other, 100 * S);
    }
    assert!(!book.family_down(AddressFamily::V4));
}

#[test]
fn an_answer_by_a_family_clears_its_failures() {
    let mut book = book(9);
    for of in 0..9 {
        let at = endpoints(of);
        book.record_family_failures(&server(&name(of)), &at[2], &at[1..2], S);
        book.record_answer(&endpoints(8 - of)[1], S, None);
    }
    assert!(!book.family_down(AddressFamily::V6));
}

#[test]
fn a_server_without_a_working_address_is_dialed_a_few_times_at_once() {
    let (mut book, at) = (book(1), endpoints(0));
    for endpoint in &at {
        book.record_failure(endpoint, S, S);
    }
    assert_eq!(order(&book, 0, S).len(), 3);
    for endpoint in &at {
        for _ in 0..HALF_OPEN_DIALS {
            book.dial_started(endpoint);
        }
    }
    assert_eq!(order(&book, 0, S), []);
    book.dial_ended(&at[1]);
    assert_eq!(order(&book, 0, S), [AddressFamily::V6]);
}

/// A path that passes only small packets: connects and heads get through, bodies do not.
#[test]
fn an_address_that_loses_requests_is_doubtful_until_a_long_trial_is_answered() {
    let (mut book, at) = (book(1), endpoints(0));
    book.record_answer(&at[0], S, None);
    assert!(book.candidates(&server("s0"), S + 1)[0].is_proven);
    assert!(!book.candidates(&server("s0"), S + PROOF_LIFETIME)[0].is_proven, "a proof expires");
    book.record_no_answer(&at[0], 3 * S, 2 * S);
    assert!(
        !book.candidates(&server("s0"), 3 * S)[0].is_proven,
        "one unanswered request requires a new proof"
    );
    assert_eq!(order(&book, 0, 3 * S), ALL);
    book.record_answer(&at[0], 3 * S + 1, Some(1));
    book.record_no_answer(&at[0], 4 * S, 3 * S);
    assert_eq!(order(&book, 0, 4 * S), UNIX_LAST, "two unanswered requests make it doubtful");
    book.record_answer(&at[0], 4 * S, Some(1));
    assert_eq!(order(&book, 0, 4 * S), UNIX_LAST, "the answer to a small head does not clear it");
    let due = trials(&mut book, 5 * S);
    assert!(due[0].is_padded);
    book.record_trial(&due[0], 5 * S, 5 * S, false);
    assert_eq!(order(&book, 0, 5 * S), UNIX_LAST);
    let due = trials(&mut book, 10 * S);
    book.record_trial(&due[0], 10 * S, 10 * S, true);
    assert_eq!(order(&book, 0, 10 * S), ALL);
    // If no address of an engine gets an answer, all stay candidates: the engine itself may be at fault,
    // which is not decided here.
    for n in 0..6 {
        book.record_no_answer(&at[n % 3], (20 + n as Time) * S, (19 + n as Time) * S);
    }
    assert_eq!(order(&book, 0, 30 * S).len(), 3);
}

#[test]
fn a_changed_list_keeps_the_state_of_addresses_that_stay() {
    let (mut book, at) = (book(2), endpoints(0));
    book.record_connect(&at[1], 900);
    book.record_failure(&at[0], S, S);
    // A new server takes over two of the addresses; the second server is leaving.
    book.apply_list(2 * S, [(server("new"), at[..2].to_vec(), false), (server("s1"), endpoints(1), true)]);
    assert_eq!(book.address(&at[1]).unwrap().mean_connect, 900.0);
    assert_eq!(book.address(&at[0]).unwrap().failures, 1);
    assert!(!book.should_close(&at[0], 100 * S, S), "another server has it now");
    assert!(!book.should_close(&at[2], 2 * S, S), "the grace period is not over");
    assert!(book.should_close(&at[2], 3 * S, S) && book.should_close(&endpoints(1)[0], 3 * S, S));
    // An attempt or a release in progress still finds the removed server; later it is forgotten.
    assert_eq!(order(&book, 0, 3 * S).len(), 3);
    book.apply_list(2 * S + FORGET_SERVER_AFTER, [(server("new"), at[..2].to_vec(), false)]);
    assert_eq!(order(&book, 0, 3 * S + FORGET_SERVER_AFTER).len(), 0);
    assert!(book.address(&at[2]).is_none());
    // Later events of a forgotten address change nothing.
    book.record_failure(&at[2], 90 * S, 90 * S);
    book.dial_ended(&at[2]);
    book.record_answer(&at[2], 91 * S, None);
    assert!(book.address(&at[2]).is_none());
    assert!(trials(&mut book, 100 * S).iter().all(|trial| trial.server == server("new")));
}

/// The same engine behind two server ids: both share the state of its addresses.
#[test]
fn two_servers_with_one_address_share_its_state() {
    let at = endpoints(0);
    let mut book = AddressBook::new(0.0);
    book.apply_list(0, [(server("a"), at.clone(), false), (server("b"), at.clone(), false)]);
    book.record_failure(&at[0], S, S);
    for name in ["a", "b"] {
        let first = book.candidates(&server(name), S)[0].endpoint.clone();
        assert_eq!(first, at[1], "{name}");
    }
    assert_eq!(trials(&mut book, 10 * S).len(), 1);
}

#[test]
fn trials_are_limited_by_the_budget() {
    let mut book = book(20);
    for of in 0..20 {
        book.record_failure(&endpoints(of)[0], S, S);
    }
    let mut left = 5;
    let some = book.start_trials(10 * S, 250_000, || {
        left -= 1;
        left >= 0
    });
    assert_eq!(some.len(), 5);
    assert_eq!(trials(&mut book, 10 * S).len(), 15);
}

#[test]
fn pauses_are_limited_and_differ_between_fronts() {
    assert!(
        pause_length(1, 0.0) < pause_length(2, 0.0)
            && pause_length(60, 1.0) <= (LONGEST_PAUSE as f64 * 1.5) as Time
    );
    assert_ne!(pause_length(3, 0.1), pause_length(3, 0.9));
    assert_eq!(NAMES.map(|name| name.parse::<Endpoint>().unwrap().family()), ALL);
}

#[test]
fn a_slow_address_comes_after_a_fast_one_until_a_trial_is_fast() {
    let (mut book, at) = (book(1), endpoints(0));
    book.record_connect(&at[0], 120_000);
    book.record_answer(&at[0], S, Some(120_000));
    assert_eq!(order(&book, 0, S), ALL, "no other address is known to be faster");
    book.record_connect(&at[2], 300);
    book.record_answer(&at[2], S, Some(300));
    assert_eq!(order(&book, 0, S), UNIX_LAST);
    let due = trials(&mut book, 10 * S);
    assert_eq!((due.len(), &due[0].endpoint, due[0].time_limit), (1, &at[0], 250_000));
    book.record_trial(&due[0], 10 * S + 240_000, 10 * S, true);
    assert_eq!(order(&book, 0, 11 * S), UNIX_LAST);
    assert_eq!(trials(&mut book, 12 * S), [], "not again at once");
    let due = trials(&mut book, 16 * S);
    book.record_trial(&due[0], 16 * S + 600, 16 * S, true);
    assert_eq!(order(&book, 0, 17 * S), ALL);
    // A difference below the margin is ignored: the listed preference decides.
    book.record_connect(&at[0], 10_000);
    assert_eq!(order(&book, 0, 17 * S), ALL);
}

#[test]
fn an_answer_by_one_address_starts_trials_of_the_others() {
    let (mut book, at) = (book(2), endpoints(0));
    for n in 0..6 {
        for endpoint in &at {
            book.record_failure(endpoint, n * 20 * S, n * 20 * S);
        }
    }
    let now = 100 * S + 1;
    assert_eq!(trials(&mut book, now), []);
    book.record_answer(&at[2], now, None);
    let due = trials(&mut book, now + FIRST_PAUSE);
    assert_eq!(due.iter().map(|trial| &trial.endpoint).collect::<Vec<_>>(), [&at[1], &at[0]]);
}
