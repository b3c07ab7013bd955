//! Claims move only when they must, and a paused owner does not act.

use std::time::{Duration, Instant};

use claim::{Authority, Claim, Owner, Step, View, next_step};

fn owner(host: &str, incarnation: u64) -> Owner {
    Owner { host: host.to_owned(), incarnation }
}

fn claim(owner: Option<Owner>, epoch: u64) -> Claim {
    Claim { owner, epoch, change: Default::default() }
}

fn look(claim: Option<&Claim>, winner: &str, owner_live: bool) -> Step {
    next_step(View { claim, own: &owner("a", 7), winner: Some(winner), owner_live })
}

#[test]
fn a_free_partition_goes_to_the_winner_alone() {
    assert_eq!(look(None, "a", false), Step::Take(1));
    assert_eq!(look(None, "b", false), Step::Leave);
    assert_eq!(look(Some(&claim(None, 4)), "a", false), Step::Take(5));
}

#[test]
fn a_live_owner_is_never_robbed() {
    assert_eq!(look(Some(&claim(Some(owner("b", 1)), 4)), "a", true), Step::Leave);
}

#[test]
fn a_dead_owners_partition_is_taken_with_a_higher_epoch() {
    assert_eq!(look(Some(&claim(Some(owner("b", 1)), 4)), "a", false), Step::Take(5));
}

#[test]
fn an_owner_releases_what_another_should_have() {
    assert_eq!(look(Some(&claim(Some(owner("a", 7)), 4)), "b", true), Step::Release);
    assert_eq!(look(Some(&claim(Some(owner("a", 7)), 4)), "a", true), Step::Keep);
}

#[test]
fn an_earlier_life_of_the_same_host_is_not_its_owner() {
    assert_eq!(look(Some(&claim(Some(owner("a", 6)), 4)), "a", false), Step::Take(5));
}

#[test]
fn a_pause_ends_authority_until_a_confirmation_that_was_not_itself_paused() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut authority = Authority::new(Duration::from_secs(1), start);
    assert!(authority.check(at(1)));
    assert!(!authority.check(at(10)), "paused for nine seconds");
    assert!(!authority.check(at(10)), "and not healed by looking again");
    authority.confirm(at(10), at(30));
    assert!(!authority.check(at(30)), "the confirmation is from before another pause");
    authority.confirm(at(30), at(31));
    assert!(authority.check(at(31)));
}
