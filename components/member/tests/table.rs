//! The failure detector: silence, echoes, reordering and new lives.

use std::time::{Duration, Instant};

use member::{Digest, Limits, Peer, Presence, State, Table, winner};

fn peer(host: &str) -> Peer {
    Peer {
        host: host.to_owned(),
        data_centre: "gt-1".to_owned(),
        peers: "127.0.0.1:1".parse().unwrap(),
        relay: "127.0.0.1:2".parse().unwrap(),
    }
}

fn digest(host: &str, incarnation: u64, sequence: u64) -> Digest {
    Digest {
        cell: "ferroplan".to_owned(),
        from: peer(host),
        incarnation,
        sequence,
        presence: Presence::Serving,
        configuration: 0,
        facts: 0,
        heard: Vec::new(),
        known: Vec::new(),
    }
}

fn table() -> Table {
    Table::new(peer("a"), 7, Limits::default())
}

#[test]
fn a_silent_host_is_dead_after_the_limit_and_not_before() {
    let (mut table, now) = (table(), Instant::now());
    table.hear(&digest("b", 1, 1), now);
    assert_eq!(table.state("b", now + Duration::from_millis(1900)), Some(State::Live));
    assert_eq!(table.state("b", now + Duration::from_millis(2001)), Some(State::Dead));
}

#[test]
fn a_lossy_link_does_not_flap_a_host() {
    let (mut table, start) = (table(), Instant::now());
    // Of the digests sent every 200 ms only every eighth arrives.
    for round in 0..20u64 {
        let now = start + Duration::from_millis(200 * 8 * round);
        table.hear(&digest("b", 1, round * 8 + 1), now);
        assert_eq!(table.state("b", now + Duration::from_millis(1599)), Some(State::Live));
    }
}

#[test]
fn an_older_digest_or_life_changes_nothing() {
    let (mut table, now) = (table(), Instant::now());
    let mut leaving = digest("b", 2, 5);
    leaving.presence = Presence::Leaving;
    table.hear(&leaving, now);
    assert!(!table.hear(&digest("b", 2, 4), now));
    assert!(!table.hear(&digest("b", 1, 99), now));
    assert_eq!(table.state("b", now), Some(State::Leaving));
    assert!(table.hear(&digest("b", 3, 1), now), "a new life is news");
    assert_eq!(table.state("b", now), Some(State::Live));
}

#[test]
fn authority_ends_before_a_peer_can_take_over() {
    let (mut table, start) = (table(), Instant::now());
    table.sending(1, start);
    let mut echo = digest("b", 1, 1);
    echo.heard = vec![("a".to_owned(), 7, 1)];
    table.hear(&echo, start);
    assert!(table.echoed(start + Duration::from_millis(900)));
    assert!(!table.echoed(start + Duration::from_millis(1100)));
    let limits = Limits::default();
    assert!(limits.echo_within < limits.dead_after);
}

#[test]
fn an_echo_of_an_earlier_life_gives_no_authority() {
    let (mut table, now) = (table(), Instant::now());
    table.sending(1, now);
    let mut echo = digest("b", 1, 1);
    echo.heard = vec![("a".to_owned(), 6, 1)];
    table.hear(&echo, now);
    assert!(!table.echoed(now));
}

#[test]
fn a_host_that_was_paused_itself_takes_nobody_for_dead() {
    let (mut table, start) = (table(), Instant::now());
    let at = |millis| start + Duration::from_millis(millis);
    table.awake(start);
    table.hear(&digest("b", 1, 1), at(100));
    table.awake(at(200));
    // Frozen for a minute: even the first look, before anything else ran, must not find others dead.
    assert_eq!(table.state("b", at(60_200)), Some(State::Live));
    table.awake(at(60_200));
    assert_eq!(table.state("b", at(60_300)), Some(State::Live));
    for step in 0..25 {
        table.awake(at(60_300 + step * 100));
    }
    assert_eq!(table.state("b", at(62_800)), Some(State::Dead), "silent while this host was awake");
}

#[test]
fn a_host_that_goes_moves_only_its_own_part() {
    let all = ["a", "b", "c", "d"];
    let without_b = ["a", "c", "d"];
    let mut moved = 0;
    for key in 0..1000 {
        let key = key.to_string();
        let before = winner(&key, all).unwrap();
        let after = winner(&key, without_b).unwrap();
        if before == "b" {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((150..350).contains(&moved), "about a quarter, not {moved}");
}
