//! Rendezvous hashing: every host that sees the same live hosts names the same one as responsible, and a
//! host that comes or goes moves only its own part.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The candidate responsible for `key`; `None` without candidates.
pub fn highest_ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|candidate| (score(key, candidate), *candidate))
}

/// All candidates, the one responsible for `key` first.
pub fn rank<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((score(key, candidate), *candidate)));
    ranked
}

fn score(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(candidate.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), seed)
}
