use super::*;

#[test]
fn every_duration_lies_between_the_bounds_of_its_bucket() {
    let durations = (0..200).chain((2..40).flat_map(|n| [(1 << n) - 1, 1 << n, (1 << n) + 1, 3 << (n - 1)]));
    for micros in durations {
        let index = bucket(micros);
        assert!(lower_bound(index) <= micros && micros < lower_bound(index + 1), "{micros}: {index}");
        assert!(
            micros < BUCKETS_PER_POWER
                || lower_bound(index + 1) - lower_bound(index) <= micros.div_ceil(BUCKETS_PER_POWER),
            "{micros}: {index}"
        );
    }
    assert_eq!(bucket(u64::MAX), MAX_BUCKET);
}

#[test]
fn quantiles_are_accurate_to_one_bucket() {
    let mut durations = DurationHistogram::default();
    (1..=1000).for_each(|n| durations.record(n * 1000));
    let half = durations.quantile(0.5).unwrap();
    assert!((400_000..=500_000).contains(&half), "{half}");
    assert_eq!(DurationHistogram::default().quantile(0.5), None);
}
