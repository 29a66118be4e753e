use super::*;

#[test]
fn finds_shared_prefixes_and_evicts_the_least_recently_used() {
    let text = |name: &str, n: usize| name.repeat(n).into_bytes();
    let shared = text("catalogue ", 64);
    let with_tail = |tail: &str| block_hashes(&[shared.clone(), text(tail, 64)].concat());
    let mut cache = PrefixCache::new(100 * BLOCK_TOKENS);
    cache.insert(&with_tail("one "));
    assert_eq!(cache.cached_prefix_tokens(&with_tail("two ")), 10 * BLOCK_TOKENS);
    assert_eq!(cache.cached_prefix_tokens(&block_hashes(&text("other ", 64))), 0);
    for n in 0..20 {
        cache.insert(&block_hashes(&text(&format!("text {n} "), 64)));
        assert!(cache.use_by_hash.len() <= 100 && cache.use_by_hash.len() == cache.hash_by_use.len());
    }
    assert_eq!(
        cache.cached_prefix_tokens(&with_tail("one ")),
        0,
        "the prefix is still cached after 20 other prompts"
    );
    cache.insert(&with_tail("one "));
    cache.clear();
    assert_eq!(cache.cached_prefix_tokens(&with_tail("one ")), 0);
}
