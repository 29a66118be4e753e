use super::*;

#[test]
fn learns_from_usage_and_limits_absurd_counts() {
    let mut estimate = Estimate::default();
    assert_eq!(estimate.tokens(400), 100.0);
    for _ in 0..60 {
        estimate.record_prompt(300, 150);
    }
    assert!((estimate.tokens(300) - 150.0).abs() < 2.0);
    estimate.record_prompt(1, u64::MAX);
    estimate.record_prompt(usize::MAX, 1);
    estimate.record_prompt(10, 0);
    let tokens = estimate.tokens(300);
    assert!(tokens.is_finite() && tokens >= 300.0 / BYTES_PER_TOKEN_RANGE.1);
}
