use super::*;

#[test]
fn only_differences_in_two_comparisons_in_a_row_are_reported() {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let in_flight = Arc::new(InFlightAttempts::default());
    let (one, two) = (in_flight.begin(at(1)), in_flight.begin(at(1)));
    let mut comparison = Comparison::default();
    let believed = BTreeMap::from([(at(1), 3), (at(2), 1)]);
    assert_eq!(
        comparison.compare(&believed, &in_flight.snapshot()),
        [],
        "a first difference is not reported"
    );
    let believed = BTreeMap::from([(at(1), 3)]);
    let reported = comparison.compare(&believed, &in_flight.snapshot());
    assert_eq!(reported, [Difference { server: at(1), believed: 3, open: 2 }], "server 2 no longer differs");
    drop((one, two));
    assert_eq!(comparison.compare(&BTreeMap::new(), &in_flight.snapshot()), []);
    assert!(in_flight.snapshot().is_empty(), "ended attempts leave no entry");
}
