//! Readers converge on the origin's map whichever deltas they miss.

use board::VersionedMap;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Set(u8, u8),
    Remove(u8),
    Pull,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..8, any::<u8>()).prop_map(|(key, value)| Step::Set(key, value)),
        (0u8..8).prop_map(Step::Remove),
        Just(Step::Pull),
    ]
}

proptest! {
    #[test]
    fn a_reader_that_pulls_last_equals_the_origin(steps in prop::collection::vec(step(), 0..200)) {
        let mut origin = VersionedMap::default();
        let mut reader = VersionedMap::default();
        for step in steps {
            match step {
                Step::Set(key, value) => { origin.set(key, value); }
                Step::Remove(key) => { origin.remove(&key); }
                Step::Pull => { reader.apply(origin.delta(reader.version())); }
            }
        }
        reader.apply(origin.delta(reader.version()));
        prop_assert_eq!(origin.iter().collect::<Vec<_>>(), reader.iter().collect::<Vec<_>>());
        prop_assert_eq!(origin.version(), reader.version());
    }
}

#[test]
fn an_older_delta_never_reverts_a_newer_board() {
    let mut origin = VersionedMap::default();
    origin.set("quota", 1);
    let old = origin.delta(0);
    origin.set("quota", 2);
    let mut reader = VersionedMap::default();
    assert!(reader.apply(origin.delta(0)));
    assert!(!reader.apply(old));
    assert_eq!(reader.get(&"quota"), Some(&2));
}

#[test]
fn a_delta_that_would_leave_a_gap_is_not_applied() {
    let mut origin = VersionedMap::default();
    origin.set("a", 1);
    origin.set("b", 1);
    origin.set("c", 1);
    let tail = origin.delta(2);
    let mut reader = VersionedMap::default();
    assert!(!reader.apply(tail));
    assert!(reader.is_empty());
}
