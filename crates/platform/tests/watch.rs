//! Tests of the watch on discovery. The tests supply bytes and time. Times are in microseconds.

use elderstage::settings::SettingNames;
use elderstage::{ServerStatus, Time};
use elderstage_platform::list::List;
use elderstage_platform::values::{Item, ObjectSplitter, SplitError};
use elderstage_platform::watch::{Watch, WatchError};

const MS: Time = 1_000;
const START: Time = 5_000_000;

fn names() -> SettingNames {
    let words = |list: &[&str]| list.iter().map(|word| (*word).to_owned()).collect();
    SettingNames {
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

/// The same list in indented form, over many lines.
fn indented_list(seq: u64, health: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(&list(seq, health)).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// Passes text to the watch and returns the version and the state of the first server of each list.
fn take_lists(watch: &mut Watch, now: Time, text: &str) -> Vec<(u64, ServerStatus)> {
    let summary = |list: List| (list.version, list.hosts[0].entry.listed);
    watch.push(now, text.as_bytes(), &names()).unwrap().into_iter().map(summary).collect()
}

/// Guards against parsing line by line: a list over several lines was unreadable, and the node requested it again without end.
#[test]
fn lists_on_one_or_many_lines_are_parsed_in_any_split() {
    let text = format!(
        "\n{}\n\n{}\r\n{}{}\n",
        list(1, "SERVING"),
        indented_list(2, "DRAINING"),
        list(3, "SERVING"),
        { indented_list(4, "DRAINING") }
    );
    let expected = [
        (1, ServerStatus::Running),
        (2, ServerStatus::Draining),
        (3, ServerStatus::Running),
        (4, ServerStatus::Draining),
    ];
    for split in 1..text.len() {
        let mut watch = Watch::new(0);
        watch.start(START);
        let mut all = Vec::new();
        for piece in text.as_bytes().chunks(split) {
            all.extend(watch.push(START, piece, &names()).unwrap());
        }
        let all: Vec<_> = all.iter().map(|list| (list.version, list.hosts[0].entry.listed)).collect();
        assert_eq!(all, expected, "pieces of {split} bytes");
        assert_eq!(watch.start(START), 4);
    }
}

/// The content of an incomplete list must not be lost: the next watch requests the whole list.
#[test]
fn invalid_and_incomplete_lists_end_a_watch_and_the_next_requests_the_whole_list() {
    for (what, text) in [
        ("part of a line before the next heartbeat", "{\"seq\":9,\n\n"),
        ("a line that ends inside a name", "{\"seq\":9,\"hosts\":[{\"host\":\"a\n"),
        ("invalid bytes", "\u{0}\u{16}noise\n"),
        ("an array of lists", "[{\"seq\":9}]\n"),
        ("a version that is not a number", "{\"seq\":\"nine\"}\n"),
        (
            "an unknown health state",
            "{\"seq\":9,\"hosts\":[{\"host\":\"a\",\"dial\":\"1.1.1.1:1\",\"health\":\"ILL\"}]}\n",
        ),
    ] {
        let mut watch = Watch::new(7);
        assert_eq!(watch.start(START), 7);
        assert!(watch.push(START, text.as_bytes(), &names()).is_err(), "{what}");
        assert_eq!(watch.start(START), 0, "{what}");
    }
}

#[test]
fn an_object_that_never_ends_is_rejected_at_the_size_limit() {
    let mut splitter = ObjectSplitter::default();
    splitter.push(b"{\"a\":[");
    let piece = vec![b'1'; 1 << 20];
    let mut ended = None;
    for _ in 0..8 {
        splitter.push(&piece);
        match splitter.next_item() {
            Ok(None) => {}
            other => {
                ended = Some(other);
                break;
            }
        }
    }
    assert_eq!(ended, Some(Err(SplitError::TooLarge)));
    let mut splitter = ObjectSplitter::default();
    splitter.push(b" \r\n{}");
    assert_eq!(splitter.next_item(), Ok(Some(Item::Heartbeat)));
    assert_eq!(splitter.next_item(), Ok(Some(Item::Object(b"{}".to_vec()))));
    assert_eq!(splitter.next_item(), Ok(None));
}

/// The platform's rules expect the node to act on what a silent watch missed six seconds after the silence began. The next
/// watch has to be open and answered before, even if the last empty line came right before the silence.
#[test]
fn a_silent_watch_is_replaced_within_half_of_the_six_seconds_that_the_rules_allow() {
    let mut watch = Watch::new(1);
    watch.start(START);
    watch.record_head(START + MS);
    let mut now = START;
    for _ in 0..10 {
        now += 2_000 * MS;
        assert!(now < watch.deadline(), "a heartbeat every two seconds keeps the watch open");
        assert_eq!(take_lists(&mut watch, now, "\n"), []);
    }
    let silent_since = now;
    // Bytes that complete no item are no sign of life.
    now += 1_000 * MS;
    assert_eq!(take_lists(&mut watch, now, "{\"seq\":2,"), []);
    let broken_at = watch.deadline();
    let next = watch.retry_at(broken_at);
    watch.start(next);
    // The head of the next answer is late as well, which costs one more attempt.
    let next = watch.retry_at(watch.deadline());
    watch.start(next);
    watch.record_head(next + 100 * MS);
    let now = next + 200 * MS;
    assert_eq!(take_lists(&mut watch, now, &list(2, "DRAINING")), [(2, ServerStatus::Draining)]);
    assert!(now - silent_since <= 3_100 * MS, "{} ms after the silence began", (now - silent_since) / MS);
}

/// Guards against a delay before the next watch: a watch that was reset seconds before a drain was opened again only a
/// quarter of a second later. A watch that always ends as soon as it starts must not be retried in a tight loop.
#[test]
fn a_reset_watch_is_reopened_at_once_but_retries_are_rate_limited() {
    let mut watch = Watch::new(1);
    watch.start(START);
    watch.record_head(START + MS);
    let reset_at = START + 4_000 * MS;
    assert_eq!(watch.retry_at(reset_at), reset_at);
    let (mut now, mut tries) = (reset_at, 0);
    while now < reset_at + 1_000 * MS {
        watch.start(now);
        tries += 1;
        now = watch.retry_at(now + MS);
    }
    assert!(tries <= 10, "{tries} tries in one second");
}

/// While discovery is down its agent is silent, and what the agent learns when discovery is back counts at once.
#[test]
fn after_an_outage_the_first_list_arrives_within_one_retry_interval() {
    let (mut watch, restored_at) = (Watch::new(3), START + 8_000 * MS);
    let mut now = START;
    // Each watch is accepted but never answered.
    while now < restored_at {
        watch.start(now);
        now = watch.retry_at(watch.deadline());
    }
    assert!(now - restored_at <= 300 * MS, "{} ms after discovery is back", (now - restored_at) / MS);
    assert_eq!(watch.start(now), 3, "the watch starts from the known version");
    watch.record_head(now + 1);
    assert_eq!(take_lists(&mut watch, now + 2, &indented_list(9, "DRAINING")), [(9, ServerStatus::Draining)]);
}

/// An older list would undo a drain that is already known: it ends the watch, and whole lists are requested until discovery
/// has caught up. A discovery that keeps sending lower versions has renumbered them; its lists are accepted before the
/// platform's rules expect the node to act on them.
#[test]
fn an_older_version_is_rejected_until_the_versions_prove_to_be_renumbered() {
    let mut watch = Watch::new(0);
    watch.start(START);
    assert_eq!(take_lists(&mut watch, START, &list(9, "DRAINING")), [(9, ServerStatus::Draining)]);
    assert!(watch.push(START, list(8, "SERVING").as_bytes(), &names()).is_err());
    assert_eq!(watch.start(START), 0, "the whole list is requested");
    assert_eq!(
        take_lists(&mut watch, START, &list(9, "DRAINING")),
        [(9, ServerStatus::Draining)],
        "discovery has caught up"
    );
    let (mut now, mut accepted) = (START, Vec::new());
    while accepted.is_empty() && now < START + 6_000 * MS {
        now += 100 * MS;
        watch.start(now);
        let lists = watch.push(now, list(2, "SERVING").as_bytes(), &names());
        accepted = lists.into_iter().flatten().map(|list| list.version).collect();
    }
    assert_eq!(accepted, [2]);
    assert!(now - START >= 3_000 * MS && now - START <= 3_200 * MS, "{} ms", (now - START) / MS);
    assert_eq!(take_lists(&mut watch, now, &list(3, "DRAINING")), [(3, ServerStatus::Draining)]);
}

/// Guards against requests to an engine that drains: a discovery that has renumbered its versions tells the drain, and its
/// list is taken for an old one. Of the list that waits, the entries of engines that leave count at once.
#[test]
fn the_drains_of_an_older_version_count_at_once() {
    let mut watch = Watch::new(9);
    watch.start(START);
    let push = |watch: &mut Watch, health: &str| match watch.push(START, list(2, health).as_bytes(), &names())
    {
        Err(WatchError::OlderVersion { found: 2, known: 9, leaving }) => *leaving,
        other => panic!("{health}: {other:?}"),
    };
    for (health, statuses) in [
        ("SERVING", vec![]),
        ("DRAINING", vec![ServerStatus::Draining]),
        ("DELETED", vec![ServerStatus::Gone]),
    ] {
        let leaving = push(&mut watch, health);
        let listed: Vec<_> = leaving.hosts.iter().map(|host| host.entry.listed).collect();
        assert_eq!((leaving.version, leaving.is_complete, listed), (2, false, statuses), "{health}");
        assert_eq!(watch.start(START), 0);
    }
}

/// Guards against a discovery that never gives a list because it is slow: a list that arrives in pieces is taken, however
/// long it takes, and one that never ends is given up.
#[test]
fn a_list_that_arrives_in_pieces_is_taken() {
    let text = list(5, "DRAINING");
    let piece_bytes = text.len().div_ceil(12);
    let mut watch = Watch::new(1);
    watch.start(START);
    watch.record_head(START + MS);
    let (mut now, mut taken) = (START, Vec::new());
    for piece in text.as_bytes().chunks(piece_bytes) {
        now += 270 * MS;
        assert!(now < watch.deadline(), "{} ms after the head", (now - START) / MS);
        taken.extend(take_lists(&mut watch, now, std::str::from_utf8(piece).unwrap()));
    }
    assert_eq!(taken, [(5, ServerStatus::Draining)]);
    // Pieces of a list that never ends: each watch is given up, and the next one has more patience.
    for longest in [6_000, 11_000, 21_000] {
        let begin = now;
        watch.start(now);
        watch.record_head(now);
        take_lists(&mut watch, now, "{\"hosts\":[");
        while now < watch.deadline() {
            now += 250 * MS;
            take_lists(&mut watch, now, "1,");
        }
        let took = (now - begin) / MS;
        assert!((longest - 1_500..=longest).contains(&took), "{took} ms, {longest} at most");
    }
    // Pieces that stop are silence.
    watch.start(now);
    watch.record_head(now);
    take_lists(&mut watch, now, "{\"hosts\":[");
    assert!(watch.deadline() <= now + 2_500 * MS);
    watch.start(now);
    watch.record_head(now);
    assert_eq!(take_lists(&mut watch, now, &list(6, "SERVING")), [(6, ServerStatus::Running)]);
}

/// Guards against a discovery that never gives a list because its head is late: one watch without a head is kept beside the
/// next ones. It is replaced later and later, since discovery may be slower still, or may have forgotten it.
#[test]
fn one_watch_without_a_head_is_kept() {
    let (mut watch, mut now) = (Watch::new(1), START);
    let mut kept_at = Vec::new();
    while now < START + 40_000 * MS {
        watch.start(now);
        let late_at = watch.deadline();
        assert_eq!(late_at - now, 300 * MS, "the next one is opened as soon as ever");
        if watch.keep_unanswered(late_at) {
            kept_at.push((now - START) / MS);
        }
        now = watch.retry_at(late_at);
    }
    // The first is kept for 3 s, each later one for twice as long as the one before.
    assert_eq!(kept_at, [0, 2_700, 8_400, 20_100]);
    // An answer ends it, and so does the end of the kept connection.
    watch.record_head(now);
    for end in [Watch::forget_unanswered, |watch: &mut Watch| watch.record_head(START)] {
        watch.start(now);
        assert!(watch.keep_unanswered(now + 300 * MS));
        watch.start(now + 300 * MS);
        assert!(!watch.keep_unanswered(now + 600 * MS));
        end(&mut watch);
        watch.start(now + 600 * MS);
        assert!(watch.keep_unanswered(now + 900 * MS));
        now += 60_000 * MS;
    }
}
