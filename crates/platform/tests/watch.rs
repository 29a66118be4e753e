//! The watch on discovery, on a clock that the test owns. Times are microseconds.

use elderstage::settings::Names;
use elderstage::{Listed, Time};
use elderstage_platform::list::List;
use elderstage_platform::values::{Item, ObjectSplitter, SplitError};
use elderstage_platform::watch::Watch;

const MS: Time = 1_000;
const START: Time = 5_000_000;

fn names() -> Names {
    let words = |list: &[&str]| list.iter().map(|word| (*word).to_owned()).collect();
    Names {
        zones: words(&["east"]),
        kinds: words(&["reads"]),
        classes: words(&["plain"]),
        tenants: Vec::new(),
        idle_close: None,
        deadlines: vec![1_000_000],
    }
}

fn list(seq: u64, health: &str) -> String {
    format!(
        "{{\"seq\":{seq},\"whole\":true,\"hosts\":[{{\"host\":\"a{{\\\"\",\"dial\":\"127.0.0.1:1\",\"site\":\"east\",\
         \"class\":\"reads\",\"health\":\"{health}\"}}]}}"
    )
}

/// The same list over many lines, as a printer for people writes it.
fn indented(seq: u64, health: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(&list(seq, health)).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

fn told(watch: &mut Watch, now: Time, text: &str) -> Vec<(u64, Listed)> {
    let of = |list: List| (list.seq, list.hosts[0].entry.listed);
    watch.take(now, text.as_bytes(), &names()).unwrap().into_iter().map(of).collect()
}

/// A list that is spread over lines was taken line by line, could not be read, and was asked for anew for ever.
#[test]
fn lists_are_taken_on_one_line_or_many_in_any_split() {
    let text =
        format!("\n{}\n\n{}\r\n{}{}\n", list(1, "SERVING"), indented(2, "DRAINING"), list(3, "SERVING"), {
            indented(4, "DRAINING")
        });
    let wanted = [(1, Listed::Running), (2, Listed::Draining), (3, Listed::Running), (4, Listed::Draining)];
    for split in 1..text.len() {
        let mut watch = Watch::new(0);
        watch.begin(START);
        let mut all = Vec::new();
        for piece in text.as_bytes().chunks(split) {
            all.extend(watch.take(START, piece, &names()).unwrap());
        }
        let all: Vec<_> = all.iter().map(|list| (list.seq, list.hosts[0].entry.listed)).collect();
        assert_eq!(all, wanted, "pieces of {split} bytes");
        assert_eq!(watch.begin(START), 4);
    }
}

/// What a broken-off list told must not be lost: the next watch asks for the whole list.
#[test]
fn noise_and_half_lists_end_a_watch_and_the_next_asks_for_everything() {
    for (what, text) in [
        ("half a line before the next beat", "{\"seq\":9,\n\n"),
        ("half a line inside a name", "{\"seq\":9,\"hosts\":[{\"host\":\"a\n"),
        ("noise", "\u{0}\u{16}noise\n"),
        ("a list of lists", "[{\"seq\":9}]\n"),
        ("no list", "{\"seq\":\"nine\"}\n"),
        (
            "an unknown health",
            "{\"seq\":9,\"hosts\":[{\"host\":\"a\",\"dial\":\"1.1.1.1:1\",\"health\":\"ILL\"}]}\n",
        ),
    ] {
        let mut watch = Watch::new(7);
        assert_eq!(watch.begin(START), 7);
        assert!(watch.take(START, text.as_bytes(), &names()).is_err(), "{what}");
        assert_eq!(watch.begin(START), 0, "{what}");
    }
}

#[test]
fn an_object_without_end_is_bounded() {
    let mut values = ObjectSplitter::default();
    values.push(b"{\"a\":[");
    let piece = vec![b'1'; 1 << 20];
    let mut ended = None;
    for _ in 0..8 {
        values.push(&piece);
        match values.next_item() {
            Ok(None) => {}
            other => {
                ended = Some(other);
                break;
            }
        }
    }
    assert_eq!(ended, Some(Err(SplitError::TooLarge)));
    let mut values = ObjectSplitter::default();
    values.push(b" \r\n{}");
    assert_eq!(values.next_item(), Ok(Some(Item::Heartbeat)));
    assert_eq!(values.next_item(), Ok(Some(Item::Object(b"{}".to_vec()))));
    assert_eq!(values.next_item(), Ok(None));
}

/// The page's clock: what a silent watch misses counts as told six seconds after it fell silent. The next one has to be
/// open and answered before, also where the last empty line came right before the silence.
#[test]
fn a_silent_watch_is_replaced_within_half_of_the_time_that_the_page_gives() {
    let mut watch = Watch::new(1);
    watch.begin(START);
    watch.answered(START + MS);
    let mut now = START;
    for _ in 0..10 {
        now += 2_000 * MS;
        assert!(now < watch.deadline(), "a beat every two seconds keeps it");
        assert_eq!(told(&mut watch, now, "\n"), []);
    }
    let silent_since = now;
    // Bytes that make nothing whole are no sign of life.
    now += 1_000 * MS;
    assert_eq!(told(&mut watch, now, "{\"seq\":2,"), []);
    let broken = watch.deadline();
    let next = watch.retry_at(broken);
    watch.begin(next);
    // Its head is late once more: one more try.
    let next = watch.retry_at(watch.deadline());
    watch.begin(next);
    watch.answered(next + 100 * MS);
    let now = next + 200 * MS;
    assert_eq!(told(&mut watch, now, &list(2, "DRAINING")), [(2, Listed::Draining)]);
    assert!(now - silent_since <= 3_100 * MS, "{} ms", (now - silent_since) / MS);
}

/// A watch that is reset seconds before a drain was taken up again a quarter of a second later; and one that is ended as
/// soon as it begins is not tried in a tight loop.
#[test]
fn a_watch_that_is_reset_is_taken_up_at_once_and_one_that_always_ends_now_and_then() {
    let mut watch = Watch::new(1);
    watch.begin(START);
    watch.answered(START + MS);
    let reset = START + 4_000 * MS;
    assert_eq!(watch.retry_at(reset), reset);
    let (mut now, mut tries) = (reset, 0);
    while now < reset + 1_000 * MS {
        watch.begin(now);
        tries += 1;
        now = watch.retry_at(now + MS);
    }
    assert!(tries <= 10, "{tries}");
}

/// While discovery is down its agent is silent, and what that gets at the return counts at once.
#[test]
fn after_an_outage_the_first_list_is_there_within_one_try() {
    let (mut watch, back) = (Watch::new(3), START + 8_000 * MS);
    let mut now = START;
    // Each watch is accepted and never answered.
    while now < back {
        watch.begin(now);
        now = watch.retry_at(watch.deadline());
    }
    assert!(now - back <= 300 * MS, "{} ms after the return", (now - back) / MS);
    assert_eq!(watch.begin(now), 3, "from the version that it knows");
    watch.answered(now + 1);
    assert_eq!(told(&mut watch, now + 2, &indented(9, "DRAINING")), [(9, Listed::Draining)]);
}

/// An older list would undo a drain that was told: it ends the watch, and whole lists are asked for until discovery has
/// caught up. One that goes on numbering lower has begun anew, and is believed before what it has counts as told.
#[test]
fn an_older_version_is_not_taken_until_it_proves_a_new_numbering() {
    let mut watch = Watch::new(0);
    watch.begin(START);
    assert_eq!(told(&mut watch, START, &list(9, "DRAINING")), [(9, Listed::Draining)]);
    assert!(watch.take(START, list(8, "SERVING").as_bytes(), &names()).is_err());
    assert_eq!(watch.begin(START), 0, "whole");
    assert_eq!(told(&mut watch, START, &list(9, "DRAINING")), [(9, Listed::Draining)], "it has caught up");
    let (mut now, mut taken) = (START, Vec::new());
    while taken.is_empty() && now < START + 6_000 * MS {
        now += 100 * MS;
        watch.begin(now);
        let lists = watch.take(now, list(2, "SERVING").as_bytes(), &names());
        taken = lists.into_iter().flatten().map(|list| list.seq).collect();
    }
    assert_eq!(taken, [2]);
    assert!(now - START >= 3_000 * MS && now - START <= 3_200 * MS, "{} ms", (now - START) / MS);
    assert_eq!(told(&mut watch, now, &list(3, "DRAINING")), [(3, Listed::Draining)]);
}
