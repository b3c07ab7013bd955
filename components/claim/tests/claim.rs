//! Tests of the changes of claims, and of the authority of a paused owner.

use std::time::{Duration, Instant};

use claim::{Authority, Claim, Owner, Step, View, next_step};

fn owner(host: &str, incarnation: u64) -> Owner {
    Owner { host: host.to_owned(), incarnation }
}

fn claim(owner: Option<Owner>, epoch: u64) -> Claim {
    Claim { owner, epoch, change: Default::default() }
}

fn step_of_host_a(claim: Option<&Claim>, winner: &str, owner_live: bool) -> Step {
    next_step(View { claim, own: &owner("a", 7), winner: Some(winner), owner_live })
}

#[test]
fn only_the_winner_claims_a_free_partition() {
    assert_eq!(step_of_host_a(None, "a", false), Step::Take(1));
    assert_eq!(step_of_host_a(None, "b", false), Step::Leave);
    assert_eq!(step_of_host_a(Some(&claim(None, 4)), "a", false), Step::Take(5));
}

#[test]
fn claim_of_a_live_owner_is_not_taken_over() {
    assert_eq!(step_of_host_a(Some(&claim(Some(owner("b", 1)), 4)), "a", true), Step::Leave);
}

#[test]
fn claim_of_a_dead_owner_is_taken_over_with_a_higher_epoch() {
    assert_eq!(step_of_host_a(Some(&claim(Some(owner("b", 1)), 4)), "a", false), Step::Take(5));
}

#[test]
fn owner_releases_a_partition_that_another_host_should_own() {
    assert_eq!(step_of_host_a(Some(&claim(Some(owner("a", 7)), 4)), "b", true), Step::Release);
    assert_eq!(step_of_host_a(Some(&claim(Some(owner("a", 7)), 4)), "a", true), Step::Keep);
}

#[test]
fn claim_of_an_earlier_incarnation_of_the_host_is_taken_over() {
    assert_eq!(step_of_host_a(Some(&claim(Some(owner("a", 6)), 4)), "a", false), Step::Take(5));
}

#[test]
fn pause_ends_authority_until_a_confirmation_without_a_pause() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut authority = Authority::new(Duration::from_secs(1), start);
    assert!(authority.check(at(1)));
    assert!(!authority.check(at(10)), "paused for nine seconds");
    assert!(!authority.check(at(10)), "another check does not restore it");
    authority.confirm(at(10), at(30));
    assert!(!authority.check(at(30)), "another pause came during the confirmation");
    authority.confirm(at(30), at(31));
    assert!(authority.check(at(31)));
}

#[test]
fn revoked_authority_returns_with_a_confirmation() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut authority = Authority::new(Duration::from_secs(1), start);
    authority.revoke();
    assert!(!authority.check(at(100)) && authority.is_revoked());
    authority.confirm(at(200), at(300));
    assert!(authority.check(at(400)) && !authority.is_revoked());
}
