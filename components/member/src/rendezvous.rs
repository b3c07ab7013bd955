//! Rendezvous hashing. All hosts that see the same candidates choose the same one for a key, and adding or removing a
//! candidate moves only the keys of that candidate.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The candidate responsible for `key`, or `None` if there are no candidates.
pub fn highest_ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|candidate| (score(key, candidate), *candidate))
}

/// All candidates by descending rank for `key`; the first is the responsible one.
pub fn rank<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((score(key, candidate), *candidate)));
    ranked
}

fn score(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(candidate.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), seed)
}
