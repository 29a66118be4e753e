use std::time::Duration;

use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_last_consumed_byte_has_the_time_of_its_read() {
    let (mut arrivals, start) = (Arrivals::default(), Instant::now());
    assert_eq!(arrivals.last_consumed_at(0), None);
    arrivals.record(10, start + MS);
    assert_eq!(arrivals.last_consumed_at(10), None, "nothing is consumed");
    arrivals.record(10, start + 2 * MS);
    arrivals.record(10, start + 3 * MS);
    for (consumed, at) in [(1, 1), (10, 1), (11, 2), (20, 2), (21, 3), (30, 3)] {
        assert_eq!(arrivals.last_consumed_at(30 - consumed), Some(start + at * MS), "{consumed} bytes");
    }
    // All is consumed: the next bytes have their own time.
    arrivals.record(5, start + 9 * MS);
    assert_eq!(arrivals.last_consumed_at(5), Some(start + 3 * MS));
    assert_eq!(arrivals.last_consumed_at(4), Some(start + 9 * MS));
}

/// A time is never later than the true one, since a client would be given more than it has left.
#[test]
fn many_reads_are_taken_together_with_the_earliest_time() {
    let (mut arrivals, start) = (Arrivals::default(), Instant::now());
    const READS: u32 = 1_000;
    for n in 0..READS {
        arrivals.record(1, start + n * MS);
    }
    assert!(arrivals.reads.len() <= MAX_READS);
    let exact = MAX_READS as u32;
    for consumed in 1..=READS {
        let at = arrivals.last_consumed_at((READS - consumed) as usize).unwrap();
        let arrived_at = start + (consumed - 1) * MS;
        assert!(at <= arrived_at, "{consumed} bytes");
        assert!(at == arrived_at || consumed + exact <= READS + 1, "{consumed} bytes");
    }
}
