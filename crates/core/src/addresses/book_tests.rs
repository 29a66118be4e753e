use super::*;

const S: Time = 1_000_000;
const NAMES: [&str; 3] = ["unix:/run/x", "[::1]:80", "127.0.0.1:80"];

fn server(name: &str) -> ServerId {
    ServerId(name.into())
}

fn places(of: usize) -> Vec<Place> {
    vec![
        format!("unix:/run/{of}").parse().unwrap(),
        format!("[::1]:{}", 8000 + of).parse().unwrap(),
        format!("127.0.0.1:{}", 8000 + of).parse().unwrap(),
    ]
}

fn name(of: usize) -> String {
    format!("s{of}")
}

/// So many servers with three addresses each.
fn book(servers: usize) -> Book {
    let mut book = Book::new(0.0);
    book.list(0, (0..servers).map(|of| (server(&name(of)), places(of), false)));
    book
}

fn order(book: &Book, of: usize, now: Time) -> Vec<Family> {
    book.order(&server(&name(of)), now).into_iter().map(|choice| choice.place.family()).collect()
}

const ALL: [Family; 3] = [Family::Unix, Family::V6, Family::V4];
const UNIX_LAST: [Family; 3] = [Family::V6, Family::V4, Family::Unix];

fn trials(book: &mut Book, now: Time) -> Vec<Trial> {
    book.trials(now, 250_000, || true)
}

#[test]
fn a_failed_address_comes_last_until_a_trial_has_proven_it() {
    let (mut book, at) = (book(1), places(0));
    assert_eq!(order(&book, 0, 0), ALL);
    book.failed(&at[0], S, S);
    assert_eq!(order(&book, 0, S), UNIX_LAST);
    // Guards against a real order as the first thing that goes to an address that has just been dead.
    assert_eq!(order(&book, 0, 1000 * S), UNIX_LAST, "time alone brings nothing back");
    assert_eq!(trials(&mut book, S + PAUSE - 1), []);
    let due = trials(&mut book, S + PAUSE);
    assert_eq!(
        due,
        [Trial { server: server("s0"), place: at[0].clone(), family: false, heavy: false, time: 250_000 }]
    );
    assert_eq!(trials(&mut book, S + PAUSE), [], "one at a time");
    book.tried(&due[0], 2 * S, 2 * S - 1, false);
    assert_eq!(trials(&mut book, 2 * S + PAUSE), [], "twice as long");
    let due = trials(&mut book, 2 * S + 2 * PAUSE);
    book.tried(&due[0], 4 * S, 4 * S - 1, true);
    assert_eq!((order(&book, 0, 4 * S), book.failing()), (ALL.to_vec(), 0));
}

#[test]
fn requests_under_way_together_count_as_one_failure() {
    let (mut book, at) = (book(1), places(0));
    for n in 0..100 {
        book.failed(&at[0], 2 * S + n, S);
    }
    let known = book.known(&at[0]).unwrap();
    assert_eq!((known.fails, known.until), (1, 2 * S + PAUSE));
    // What failed from before the last proof is no news either.
    book.proven(&at[0], 3 * S, None);
    book.failed(&at[0], 4 * S, 3 * S - 1);
    assert_eq!(book.known(&at[0]).unwrap().fails, 0);
}

#[test]
fn an_address_that_flaps_waits_longer_each_time_and_is_forgiven_after_a_good_while() {
    let (mut book, at) = (book(1), places(0));
    let mut now = S;
    let mut waits = Vec::new();
    for _ in 0..8 {
        book.failed(&at[1], now, now);
        let until = book.known(&at[1]).unwrap().until;
        waits.push(until - now);
        book.proven(&at[1], until, None);
        now = until + 3 * S;
    }
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]), "{waits:?}");
    assert_eq!((waits[0], waits[7]), (PAUSE, LONGEST_PAUSE));
    now += FORGIVEN;
    book.failed(&at[1], now, now);
    assert_eq!(book.known(&at[1]).unwrap().until, now + PAUSE);
}

#[test]
fn a_dead_family_is_found_by_a_few_servers_for_all_of_them() {
    let mut book = book(50);
    for of in 0..FAMILY_FAILS {
        assert_eq!(order(&book, 40, S), ALL);
        let at = places(of);
        book.failed(&at[1], S, S);
        book.beaten(&server(&name(of)), &at[2], &at[1..2], S);
    }
    assert!(book.family_down(Family::V6));
    assert_eq!(order(&book, 40, S), [Family::Unix, Family::V4, Family::V6]);
    // Single addresses of it are not tried meanwhile, the family is, by one address at a time, each time another.
    let first = trials(&mut book, S + PAUSE);
    assert_eq!((first.len(), first[0].family), (1, true));
    assert_eq!(trials(&mut book, S + PAUSE), []);
    book.tried(&first[0], 2 * S, 2 * S - 1, false);
    let second = trials(&mut book, 20 * S);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].place, first[0].place);
    book.tried(&second[0], 20 * S, 20 * S - 1, true);
    assert_eq!(order(&book, 40, 20 * S), ALL, "one that answers brings the family back");
    // What failed with it is tried within the first pause, not all in one moment.
    assert!(trials(&mut book, 20 * S).len() < FAMILY_FAILS);
    trials(&mut book, 20 * S + PAUSE);
    assert_eq!(trials(&mut book, 21 * S), [], "all of them are under way");
}

/// Guards against a restart of half the fleet that looks like a dead network.
#[test]
fn dead_servers_do_not_speak_for_their_families() {
    let mut book = book(50);
    for of in 0..25 {
        for at in places(of) {
            book.failed(&at, S, S);
        }
    }
    assert!(ALL.iter().all(|family| !book.family_down(*family)));
    assert_eq!(order(&book, 40, S), ALL);
    // Nor does one server, however often, nor failures that are long past.
    let at = places(0);
    for n in 0..20 {
        book.beaten(&server("s0"), &at[2], &at[1..2], n * S);
    }
    book.beaten(&server("s1"), &places(1)[2], &places(1)[1..2], 20 * S);
    book.beaten(&server("s2"), &places(2)[2], &places(2)[1..2], 21 * S + FAMILY_MEMORY);
    assert!(!book.family_down(Family::V6));
    // Nor where it is the same family that won.
    for of in 0..9 {
        let other = [format!("127.0.0.2:{}", 8000 + of).parse().unwrap()];
        book.beaten(&server(&name(of)), &places(of)[2], &other, 100 * S);
    }
    assert!(!book.family_down(Family::V4));
}

#[test]
fn a_success_by_a_family_in_between_clears_it() {
    let mut book = book(9);
    for of in 0..9 {
        let at = places(of);
        book.beaten(&server(&name(of)), &at[2], &at[1..2], S);
        book.proven(&places(8 - of)[1], S, None);
    }
    assert!(!book.family_down(Family::V6));
}

#[test]
fn a_server_with_nothing_else_is_tried_by_a_few_at_a_time() {
    let (mut book, at) = (book(1), places(0));
    for place in &at {
        book.failed(place, S, S);
    }
    assert_eq!(order(&book, 0, S).len(), 3);
    for place in &at {
        for _ in 0..HALF_OPEN {
            book.dialing(place);
        }
    }
    assert_eq!(order(&book, 0, S), []);
    book.dialed(&at[1]);
    assert_eq!(order(&book, 0, S), [Family::V6]);
}

/// A path that passes small packets only: connects and heads get through, bodies do not.
#[test]
fn an_address_that_swallows_requests_is_doubted_until_a_long_trial_is_answered() {
    let (mut book, at) = (book(1), places(0));
    book.proven(&at[0], S, None);
    assert!(book.order(&server("s0"), S + 1)[0].proven);
    assert!(!book.order(&server("s0"), S + PROVEN_FOR)[0].proven, "a proof holds for a time");
    book.silent(&at[0], 3 * S, 2 * S);
    assert!(!book.order(&server("s0"), 3 * S)[0].proven, "one asks for a proof");
    assert_eq!(order(&book, 0, 3 * S), ALL);
    book.proven(&at[0], 3 * S + 1, Some(1));
    book.silent(&at[0], 4 * S, 3 * S);
    assert_eq!(order(&book, 0, 4 * S), UNIX_LAST, "two make it doubtful");
    book.proven(&at[0], 4 * S, Some(1));
    assert_eq!(order(&book, 0, 4 * S), UNIX_LAST, "the answer to a small head says nothing");
    let due = trials(&mut book, 5 * S);
    assert!(due[0].heavy);
    book.tried(&due[0], 5 * S, 5 * S, false);
    assert_eq!(order(&book, 0, 5 * S), UNIX_LAST);
    let due = trials(&mut book, 10 * S);
    book.tried(&due[0], 10 * S, 10 * S, true);
    assert_eq!(order(&book, 0, 10 * S), ALL);
    // An engine that answers nothing anywhere keeps all its addresses: it may be the engine, which is not for here.
    for n in 0..6 {
        book.silent(&at[n % 3], (20 + n as Time) * S, (19 + n as Time) * S);
    }
    assert_eq!(order(&book, 0, 30 * S).len(), 3);
}

#[test]
fn a_changed_list_keeps_what_was_learned_and_forgets_what_is_gone() {
    let (mut book, at) = (book(2), places(0));
    book.connected(&at[1], 900);
    book.failed(&at[0], S, S);
    // The same addresses at another server, and one of them at both.
    book.list(2 * S, [(server("new"), at[..2].to_vec(), false), (server("s1"), places(1), true)]);
    assert_eq!(book.known(&at[1]).unwrap().connect, 900.0);
    assert_eq!(book.known(&at[0]).unwrap().fails, 1);
    assert!(!book.left(&at[0], 100 * S, S), "another server has it now");
    assert!(!book.left(&at[2], 2 * S, S), "the grace");
    assert!(book.left(&at[2], 3 * S, S) && book.left(&places(1)[0], 3 * S, S));
    // An attempt or a release under way still finds the server that is gone; later it is forgotten.
    assert_eq!(order(&book, 0, 3 * S).len(), 3);
    book.list(2 * S + FORGET, [(server("new"), at[..2].to_vec(), false)]);
    assert_eq!(order(&book, 0, 3 * S + FORGET).len(), 0);
    assert!(book.known(&at[2]).is_none());
    // What comes of it afterwards changes nothing.
    book.failed(&at[2], 90 * S, 90 * S);
    book.dialed(&at[2]);
    book.proven(&at[2], 91 * S, None);
    assert!(book.known(&at[2]).is_none());
    assert!(trials(&mut book, 100 * S).iter().all(|trial| trial.server == server("new")));
}

/// The same engine behind two server ids: what one learns, the other knows.
#[test]
fn two_servers_with_one_address_share_what_is_known_of_it() {
    let at = places(0);
    let mut book = Book::new(0.0);
    book.list(0, [(server("a"), at.clone(), false), (server("b"), at.clone(), false)]);
    book.failed(&at[0], S, S);
    for name in ["a", "b"] {
        let first = book.order(&server(name), S)[0].place.clone();
        assert_eq!(first, at[1], "{name}");
    }
    assert_eq!(trials(&mut book, 10 * S).len(), 1);
}

#[test]
fn trials_wait_for_their_budget() {
    let mut book = book(20);
    for of in 0..20 {
        book.failed(&places(of)[0], S, S);
    }
    let mut left = 5;
    let some = book.trials(10 * S, 250_000, || {
        left -= 1;
        left >= 0
    });
    assert_eq!(some.len(), 5);
    assert_eq!(trials(&mut book, 10 * S).len(), 15);
}

#[test]
fn pauses_are_bounded_and_differ_between_fronts() {
    assert!(pause(1, 0.0) < pause(2, 0.0) && pause(60, 1.0) <= (LONGEST_PAUSE as f64 * 1.5) as Time);
    assert_ne!(pause(3, 0.1), pause(3, 0.9));
    assert_eq!(NAMES.map(|name| name.parse::<Place>().unwrap().family()), ALL);
}

#[test]
fn a_slow_address_comes_after_a_quick_one_until_a_trial_is_quick_again() {
    let (mut book, at) = (book(1), places(0));
    book.connected(&at[0], 120_000);
    book.proven(&at[0], S, Some(120_000));
    assert_eq!(order(&book, 0, S), ALL, "nothing is known to be better");
    book.connected(&at[2], 300);
    book.proven(&at[2], S, Some(300));
    assert_eq!(order(&book, 0, S), UNIX_LAST);
    let due = trials(&mut book, 10 * S);
    assert_eq!((due.len(), &due[0].place, due[0].time), (1, &at[0], 250_000));
    book.tried(&due[0], 10 * S + 240_000, 10 * S, true);
    assert_eq!(order(&book, 0, 11 * S), UNIX_LAST);
    assert_eq!(trials(&mut book, 12 * S), [], "not at once again");
    let due = trials(&mut book, 16 * S);
    book.tried(&due[0], 16 * S + 600, 16 * S, true);
    assert_eq!(order(&book, 0, 17 * S), ALL);
    // A few times slower in small figures is no matter: preference counts.
    book.connected(&at[0], 10_000);
    assert_eq!(order(&book, 0, 17 * S), ALL);
}

#[test]
fn a_server_that_is_back_by_one_address_is_tried_by_the_others() {
    let (mut book, at) = (book(2), places(0));
    for n in 0..6 {
        for place in &at {
            book.failed(place, n * 20 * S, n * 20 * S);
        }
    }
    let now = 100 * S + 1;
    assert_eq!(trials(&mut book, now), []);
    book.proven(&at[2], now, None);
    let due = trials(&mut book, now + PAUSE);
    assert_eq!(due.iter().map(|trial| &trial.place).collect::<Vec<_>>(), [&at[1], &at[0]]);
}
