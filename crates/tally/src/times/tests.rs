use super::*;

#[test]
fn every_time_falls_between_its_step_and_the_next() {
    let times = (0..200).chain((2..40).flat_map(|n| [(1 << n) - 1, 1 << n, (1 << n) + 1, 3 << (n - 1)]));
    for micros in times {
        let at = step(micros);
        assert!(floor(at) <= micros && micros < floor(at + 1), "{micros}: {at}");
        assert!(micros < STEPS || floor(at + 1) - floor(at) <= micros.div_ceil(STEPS), "{micros}: {at}");
    }
    assert_eq!(step(u64::MAX), MOST);
}

#[test]
fn quantiles_are_within_a_step() {
    let mut times = Times::default();
    (1..=1000).for_each(|n| times.record(n * 1000));
    let half = times.quantile(0.5).unwrap();
    assert!((400_000..=500_000).contains(&half), "{half}");
    assert_eq!(Times::default().quantile(0.5), None);
}
