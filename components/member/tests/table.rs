//! Tests of the failure detector and of rendezvous hashing.

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
fn a_silent_host_is_dead_only_after_the_timeout() {
    let (mut table, now) = (table(), Instant::now());
    table.receive(&digest("b", 1, 1), now);
    assert_eq!(table.state("b", now + Duration::from_millis(1900)), Some(HostState::Live));
    assert_eq!(table.state("b", now + Duration::from_millis(2001)), Some(HostState::Dead));
}

#[test]
fn a_host_does_not_flap_on_a_lossy_link() {
    let (mut table, start) = (table(), Instant::now());
    // Digests are sent every 200 ms, but only every eighth one arrives.
    for round in 0..20u64 {
        let now = start + Duration::from_millis(200 * 8 * round);
        table.receive(&digest("b", 1, round * 8 + 1), now);
        assert_eq!(table.state("b", now + Duration::from_millis(1599)), Some(HostState::Live));
    }
}

#[test]
fn a_digest_with_an_older_sequence_or_incarnation_is_ignored() {
    let (mut table, now) = (table(), Instant::now());
    let mut leaving = digest("b", 2, 5);
    leaving.presence = Presence::Leaving;
    table.receive(&leaving, now);
    assert!(!table.receive(&digest("b", 2, 4), now));
    assert!(!table.receive(&digest("b", 1, 99), now));
    assert_eq!(table.state("b", now), Some(HostState::Leaving));
    assert!(table.receive(&digest("b", 3, 1), now), "a new incarnation may change the live hosts");
    assert_eq!(table.state("b", now), Some(HostState::Live));
}

#[test]
fn authority_ends_before_a_peer_can_take_over() {
    let (mut table, start) = (table(), Instant::now());
    table.record_sent(1, start);
    let mut echo = digest("b", 1, 1);
    echo.heard = vec![heard("a", 7, 1)];
    table.receive(&echo, start);
    // `a` is the first of the two hosts by name, so it is a quorum alone, while `b` alone is not.
    assert!(table.has_authority(|_| false, start + Duration::from_millis(900)));
    let limits = DetectorLimits::default();
    assert!(limits.echo_timeout < limits.dead_after);
}

#[test]
fn an_echo_of_a_previous_incarnation_gives_no_authority() {
    let (mut table, now) = (table(), Instant::now());
    table.record_sent(1, now);
    let mut echo = digest("b", 1, 1);
    echo.heard = vec![heard("a", 6, 1)];
    echo.from = peer("0");
    table.receive(&echo, now);
    assert!(!table.has_authority(|_| false, now));
}

/// The table of the host `own` after it received a digest of each of `others` at `now`. These hosts hear all hosts but
/// `unheard`.
fn table_after_digests(own: &str, others: &[&str], unheard: &str, now: Instant) -> MemberTable {
    let mut table = MemberTable::new(peer(own), 7, DetectorLimits::default());
    table.tick(now);
    table.record_sent(1, now);
    for other in others {
        let mut digest_of_other = digest(other, 1, 1);
        let hears = others.iter().chain([&own]).filter(|host| **host != *other && **host != unheard);
        digest_of_other.heard = hears.map(|host| heard(host, 7, 1)).collect();
        table.receive(&digest_of_other, now);
    }
    table
}

#[test]
fn authority_requires_recent_echoes_from_a_quorum() {
    let now = Instant::now();
    let table = table_after_digests("a", &["b", "c", "d"], "none", now);
    assert!(table.has_authority(|_| false, now));
    assert!(!table.has_authority(|_| false, now + Duration::from_millis(1001)));
    assert!(
        !table_after_digests("a", &["b", "c", "d"], "a", now).has_authority(|_| false, now),
        "no other host hears this host"
    );
}

#[test]
fn an_isolated_host_has_no_authority() {
    let now = Instant::now();
    let later = now + Duration::from_millis(3000);
    // All other hosts have become silent at once. They may have failed, or this host may be cut off from them.
    let mut table = table_after_digests("b", &["a", "c"], "none", now);
    table.tick(later);
    assert!(!table.has_authority(|_| false, later));
    assert!(table.has_authority(|host| host == "a" || host == "c", later), "the platform has delisted the others");
}

#[test]
fn of_two_equal_halves_only_the_one_with_the_first_host_has_authority() {
    let now = Instant::now();
    let later = now + Duration::from_millis(3000);
    let has_authority_alone = |own: &str, other: &str| {
        let mut table = table_after_digests(own, &[other], "none", now);
        table.tick(later);
        table.has_authority(|_| false, later)
    };
    assert!(has_authority_alone("a", "b"));
    assert!(!has_authority_alone("b", "a"));
}

#[test]
fn a_host_keeps_its_keys_until_a_quorum_stops_hearing_it() {
    let now = Instant::now();
    let responsible_after = |unheard: &str| {
        let mut table = table_after_digests("a", &["b", "c", "d"], "none", now);
        for step in 1..=25u64 {
            let at = now + Duration::from_millis(step * 100);
            table.tick(at);
            for other in ["b", "c"] {
                let mut digest_of_other = digest(other, 1, step + 1);
                let hears = ["a", "b", "c", "d"].into_iter().filter(|host| *host != other && *host != unheard);
                digest_of_other.heard = hears.map(|host| heard(host, 1, step)).collect();
                table.receive(&digest_of_other, at);
            }
        }
        table.responsible_hosts(true, |_| false, now + Duration::from_millis(2500))
    };
    assert_eq!(responsible_after("none"), ["a", "b", "c", "d"], "only this host does not hear `d`");
    assert_eq!(responsible_after("d"), ["a", "b", "c"]);
}

#[test]
fn digests_of_a_remote_host_keep_the_hosts_that_it_hears_alive() {
    let (mut table, start) = (table(), Instant::now());
    let remote_digest = |host: &str, sequence: u64, hears: &[&str]| {
        let mut digest_of_other = digest(host, 1, sequence);
        digest_of_other.from.data_centre = "gt-2".to_owned();
        digest_of_other.heard = hears.iter().map(|host| heard(host, 1, 1)).collect();
        digest_of_other
    };
    table.receive(&remote_digest("x", 1, &[]), start);
    table.receive(&remote_digest("y", 1, &[]), start);
    for second in 1..=20u64 {
        let now = start + Duration::from_secs(second);
        table.tick(now);
        table.receive(&remote_digest("x", 1 + second, &["y"]), now);
        assert_eq!(table.state("y", now), Some(HostState::Live));
    }
    for second in 21..=30u64 {
        table.tick(start + Duration::from_secs(second));
        table.receive(&remote_digest("x", 1 + second, &[]), start + Duration::from_secs(second));
    }
    assert_eq!(table.state("y", start + Duration::from_secs(30)), Some(HostState::Dead));
}

#[test]
fn a_paused_host_does_not_declare_others_dead() {
    let (mut table, start) = (table(), Instant::now());
    let at = |millis| start + Duration::from_millis(millis);
    table.tick(start);
    table.receive(&digest("b", 1, 1), at(100));
    table.tick(at(200));
    // The host was paused for a minute. Even a query before the first tick after the pause must not find others dead.
    assert_eq!(table.state("b", at(60_200)), Some(HostState::Live));
    table.tick(at(60_200));
    assert_eq!(table.state("b", at(60_300)), Some(HostState::Live));
    for step in 0..25 {
        table.tick(at(60_300 + step * 100));
    }
    assert_eq!(table.state("b", at(62_800)), Some(HostState::Dead), "silent while this host was running");
}

#[test]
fn removing_a_host_moves_only_its_own_keys() {
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
    assert!((150..350).contains(&moved), "expected about a quarter of the keys to move, but {moved} did");
}
