//! The failure detector: silence, echoes, reordering and new lives.

use std::time::{Duration, Instant};

use member::{DetectorLimits, Digest, HostState, LastHeard, MemberTable, Peer, Presence, hash_host, highest_ranked};

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

fn heard(host: &str, life: u32, sequence: u64) -> LastHeard {
    LastHeard { host: hash_host(host), life, sequence }
}

fn table() -> MemberTable {
    MemberTable::new(peer("a"), 7, DetectorLimits::default())
}

#[test]
fn a_silent_host_is_dead_after_the_limit_and_not_before() {
    let (mut table, now) = (table(), Instant::now());
    table.receive(&digest("b", 1, 1), now);
    assert_eq!(table.state("b", now + Duration::from_millis(1900)), Some(HostState::Live));
    assert_eq!(table.state("b", now + Duration::from_millis(2001)), Some(HostState::Dead));
}

#[test]
fn a_lossy_link_does_not_flap_a_host() {
    let (mut table, start) = (table(), Instant::now());
    // Of the digests sent every 200 ms only every eighth arrives.
    for round in 0..20u64 {
        let now = start + Duration::from_millis(200 * 8 * round);
        table.receive(&digest("b", 1, round * 8 + 1), now);
        assert_eq!(table.state("b", now + Duration::from_millis(1599)), Some(HostState::Live));
    }
}

#[test]
fn an_older_digest_or_life_changes_nothing() {
    let (mut table, now) = (table(), Instant::now());
    let mut leaving = digest("b", 2, 5);
    leaving.presence = Presence::Leaving;
    table.receive(&leaving, now);
    assert!(!table.receive(&digest("b", 2, 4), now));
    assert!(!table.receive(&digest("b", 1, 99), now));
    assert_eq!(table.state("b", now), Some(HostState::Leaving));
    assert!(table.receive(&digest("b", 3, 1), now), "a new life is news");
    assert_eq!(table.state("b", now), Some(HostState::Live));
}

#[test]
fn authority_ends_before_a_peer_can_take_over() {
    let (mut table, start) = (table(), Instant::now());
    table.record_sent(1, start);
    let mut echo = digest("b", 1, 1);
    echo.heard = vec![heard("a", 7, 1)];
    table.receive(&echo, start);
    // Of two hosts `a` comes first by name, but it needs the other: `b` alone is no quorum, `a` alone is one.
    assert!(table.has_authority(|_| false, start + Duration::from_millis(900)));
    let limits = DetectorLimits::default();
    assert!(limits.echo_timeout < limits.dead_after);
}

#[test]
fn an_echo_of_an_earlier_life_gives_no_authority() {
    let (mut table, now) = (table(), Instant::now());
    table.record_sent(1, now);
    let mut echo = digest("b", 1, 1);
    echo.heard = vec![heard("a", 6, 1)];
    echo.from = peer("0");
    table.receive(&echo, now);
    assert!(!table.has_authority(|_| false, now));
}

/// A table of the host `own`, with digests of the others heard now, which hear each other but not `missed`.
fn seen_by(own: &str, others: &[&str], missed: &str, now: Instant) -> MemberTable {
    let mut table = MemberTable::new(peer(own), 7, DetectorLimits::default());
    table.tick(now);
    table.record_sent(1, now);
    for other in others {
        let mut said = digest(other, 1, 1);
        let hears = others.iter().chain([&own]).filter(|host| **host != *other && **host != missed);
        said.heard = hears.map(|host| heard(host, 7, 1)).collect();
        table.receive(&said, now);
    }
    table
}

#[test]
fn authority_needs_a_quorum_that_heard_us_lately() {
    let now = Instant::now();
    let table = seen_by("a", &["b", "c", "d"], "none", now);
    assert!(table.has_authority(|_| false, now));
    assert!(!table.has_authority(|_| false, now + Duration::from_millis(1001)));
    assert!(!seen_by("a", &["b", "c", "d"], "a", now).has_authority(|_| false, now), "none of them hears us");
}

#[test]
fn a_host_cut_off_from_its_peers_never_acts_beside_them() {
    let now = Instant::now();
    let later = now + Duration::from_millis(3000);
    // All others have become silent at once: is it them, or us? Without a quorum nothing may be done.
    let mut table = seen_by("b", &["a", "c"], "none", now);
    table.tick(later);
    assert!(!table.has_authority(|_| false, later));
    assert!(table.has_authority(|host| host == "a" || host == "c", later), "the platform has delisted them");
}

#[test]
fn of_two_halves_only_the_one_with_the_first_host_acts() {
    let now = Instant::now();
    let later = now + Duration::from_millis(3000);
    let alone = |own: &str, other: &str| {
        let mut table = seen_by(own, &[other], "none", now);
        table.tick(later);
        table.has_authority(|_| false, later)
    };
    assert!(alone("a", "b"));
    assert!(!alone("b", "a"));
}

#[test]
fn a_host_keeps_its_keys_until_a_quorum_misses_it() {
    let now = Instant::now();
    let hear_again = |missed: &str| {
        let mut table = seen_by("a", &["b", "c", "d"], "none", now);
        for step in 1..=25u64 {
            let at = now + Duration::from_millis(step * 100);
            table.tick(at);
            for other in ["b", "c"] {
                let mut said = digest(other, 1, step + 1);
                let hears = ["a", "b", "c", "d"].into_iter().filter(|host| *host != other && *host != missed);
                said.heard = hears.map(|host| heard(host, 1, step)).collect();
                table.receive(&said, at);
            }
        }
        table.responsible_hosts(true, |_| false, now + Duration::from_millis(2500))
    };
    assert_eq!(hear_again("none"), ["a", "b", "c", "d"], "only we don't hear it");
    assert_eq!(hear_again("d"), ["a", "b", "c"]);
}

#[test]
fn a_far_host_speaks_for_its_neighbours() {
    let (mut table, start) = (table(), Instant::now());
    let far = |host: &str, sequence: u64, hears: &[&str]| {
        let mut said = digest(host, 1, sequence);
        said.from.data_centre = "gt-2".to_owned();
        said.heard = hears.iter().map(|host| heard(host, 1, 1)).collect();
        said
    };
    table.receive(&far("x", 1, &[]), start);
    table.receive(&far("y", 1, &[]), start);
    for second in 1..=20u64 {
        let now = start + Duration::from_secs(second);
        table.tick(now);
        table.receive(&far("x", 1 + second, &["y"]), now);
        assert_eq!(table.state("y", now), Some(HostState::Live));
    }
    for second in 21..=30u64 {
        table.tick(start + Duration::from_secs(second));
        table.receive(&far("x", 1 + second, &[]), start + Duration::from_secs(second));
    }
    assert_eq!(table.state("y", start + Duration::from_secs(30)), Some(HostState::Dead));
}

#[test]
fn a_host_that_was_paused_itself_takes_nobody_for_dead() {
    let (mut table, start) = (table(), Instant::now());
    let at = |millis| start + Duration::from_millis(millis);
    table.tick(start);
    table.receive(&digest("b", 1, 1), at(100));
    table.tick(at(200));
    // Frozen for a minute: even the first look, before anything else ran, must not find others dead.
    assert_eq!(table.state("b", at(60_200)), Some(HostState::Live));
    table.tick(at(60_200));
    assert_eq!(table.state("b", at(60_300)), Some(HostState::Live));
    for step in 0..25 {
        table.tick(at(60_300 + step * 100));
    }
    assert_eq!(table.state("b", at(62_800)), Some(HostState::Dead), "silent while this host was awake");
}

#[test]
fn a_host_that_goes_moves_only_its_own_part() {
    let all = ["a", "b", "c", "d"];
    let without_b = ["a", "c", "d"];
    let mut moved = 0;
    for key in 0..1000 {
        let key = key.to_string();
        let before = highest_ranked(&key, all).unwrap();
        let after = highest_ranked(&key, without_b).unwrap();
        if before == "b" {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((150..350).contains(&moved), "about a quarter, not {moved}");
}
