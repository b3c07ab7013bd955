//! The configuration: how requests are routed to queues, and keys resolved to workspaces.

use std::time::Duration;

use model::Resources;
use work::key::{Credential, Denial, Digest};
use work::{Config, Queue, Workspace};

fn queue(name: &str, host: &str, prefix: &str, public: bool) -> Queue {
    Queue {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        public,
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: 1,
        stretch: 1.0,
        objective: Duration::ZERO,
        advice: None,
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let keys = keys.iter().map(|key| Digest::of(key)).collect();
    Workspace { name: name.to_owned(), keys, weight: 1.0, limit: Resources::ZERO }
}

fn routed_to<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a str> {
    config.route(host, path).map(|queue| queue.name.as_str())
}

#[test]
fn a_request_is_routed_to_the_queue_of_its_host_with_the_longest_prefix() {
    let queues = vec![
        queue("all", "one.example", "/", true),
        queue("plans", "One.example", "/plans/", true),
        queue("night", "one.example", "/plans/night/", true),
        queue("other", "two.example", "/plans/", true),
    ];
    let config = Config::new(1, queues, 0);
    assert_eq!(routed_to(&config, "one.example", "/plans/7"), Some("plans"));
    assert_eq!(routed_to(&config, "ONE.example", "/plans/night/7"), Some("night"));
    assert_eq!(routed_to(&config, "one.example", "/plan"), Some("all"));
    assert_eq!(routed_to(&config, "two.example", "/plans/7"), Some("other"));
    assert_eq!(routed_to(&config, "two.example", "/plan"), None);
    assert_eq!(routed_to(&config, "three.example", "/plans/7"), None);
    assert_eq!(
        routed_to(&config, "one.example", "/pl\u{e4}ne"),
        Some("all"),
        "a prefix doesn't match within a character"
    );
    assert_eq!(config.queue("night").map(|queue| queue.prefix.as_str()), Some("/plans/night/"));
}

#[test]
fn a_key_identifies_one_workspace_or_none() {
    let queues = vec![queue("open", "h", "/open/", true), queue("plans", "h", "/plans/", false)];
    let workspaces = vec![workspace("rail", &["a", "b", "b"]), workspace("port", &["c", "a"])];
    let config = Config::new(1, queues, 0).with_workspaces(workspaces);
    let admit = |queue: &str, key| {
        let queue = config.queue(queue).expect("the queue is configured");
        config.admit(queue, key).map(|workspace| workspace.map(|workspace| workspace.name.as_str()))
    };
    let key = |text| Credential::Key(Digest::of(text));
    assert_eq!(admit("plans", key("b")), Ok(Some("rail")));
    assert_eq!(admit("plans", key("c")), Ok(Some("port")));
    assert_eq!(admit("plans", key("a")), Err(Denial::Unknown), "two workspaces have the key");
    assert_eq!(config.workspaces_with_duplicate_keys().collect::<Vec<_>>(), ["rail", "port"]);
    assert_eq!(admit("plans", Credential::Nothing), Err(Denial::Missing));
    assert_eq!(admit("plans", Credential::Malformed), Err(Denial::Malformed));
    for credential in [Credential::Nothing, Credential::Malformed, key("a")] {
        assert_eq!(admit("open", credential), Ok(None), "a public queue needs no key");
    }
    assert_eq!(admit("open", key("c")), Ok(Some("port")), "a valid key assigns the call to its workspace");
}

#[test]
fn debug_output_of_a_digest_hides_the_key() {
    let shown = format!("{:?}", workspace("rail", &["a secret"]));
    assert!(shown.contains("Digest(..)"), "{shown}");
}
