use super::*;

#[test]
fn finds_shared_beginnings_and_drops_the_least_lately_used() {
    let text = |name: &str, n: usize| name.repeat(n).into_bytes();
    let shared = text("catalogue ", 64);
    let with = |tail: &str| blocks(&[shared.clone(), text(tail, 64)].concat());
    let mut kept = Kept::new(100 * BLOCK_TOKENS);
    kept.keep(&with("one "));
    assert_eq!(kept.found(&with("two ")), 10 * BLOCK_TOKENS);
    assert_eq!(kept.found(&blocks(&text("other ", 64))), 0);
    for n in 0..20 {
        kept.keep(&blocks(&text(&format!("text {n} "), 64)));
        assert!(kept.by_hash.len() <= 100 && kept.by_hash.len() == kept.by_use.len());
    }
    assert_eq!(kept.found(&with("one ")), 0, "dropped by now");
    kept.keep(&with("one "));
    kept.flush();
    assert_eq!(kept.found(&with("one ")), 0);
}
