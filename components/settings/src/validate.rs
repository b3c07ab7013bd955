//! Converts the YAML tree to settings and collects all errors on the way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::workload::Priority;
use serde_saphyr::Spanned;

use crate::tree::{self, Diagnostic, Diagnostics, Node, Section, SettingsError};
use crate::{Class, Level, Listen, Membership, Platform, Requests, Settings, Tasks};

const MIN_KEY_LENGTH: usize = 16;
/// Smallest ratio of a timeout to its interval: this many renewals or digests in a row may be lost before a lease
/// expires or a host is considered dead.
const MIN_INTERVALS: u32 = 3;

pub(crate) fn settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let error = |diagnostics| SettingsError { file: file.to_owned(), diagnostics };
    let root_node: Spanned<Node> = match serde_saphyr::from_str(text) {
        Ok(node) => node,
        Err(yaml_error) => {
            let line = yaml_error.location().map_or(1, |location| location.line());
            let message = format!("invalid YAML: {yaml_error}");
            return Err(error(vec![Diagnostic { line, field: "(file)".to_owned(), message }]));
        }
    };
    let diagnostics = Diagnostics::default();
    let settings = root(Section::new(&diagnostics, String::new(), &root_node));
    let found = diagnostics.into_sorted();
    match settings {
        Some(settings) if found.is_empty() => Ok(settings),
        _ => Err(error(found)),
    }
}

// Reads every field before the first `?`, so that the errors of all fields are collected.
fn root(root: Section<'_>) -> Option<Settings> {
    let cell = root.value("cell", tree::name);
    let host = root.value("host", tree::name);
    let data_centre = root.value("data_centre", tree::name);
    let data_centres = root.values("data_centres", tree::name);
    let listen = root.section("listen").and_then(listen);
    let seeds = root.values("seeds", tree::address);
    let platform = root.section("platform").and_then(platform);
    let shared_key = root.value("shared_key", shared_key);
    let membership = membership(root.optional_section("membership"));
    let tasks = tasks(root.optional_section("tasks"));
    let requests = requests(root.optional_section("requests"));
    let classes: Vec<Option<Class>> = root.sections("classes").into_iter().map(class).collect();
    let stop_within = root.value_or("stop_within", Duration::from_secs(30), tree::duration);
    let log = root.value_or("log", Level::Info, level);
    if let Some(own) = &data_centre
        && !data_centres.contains(own)
    {
        root.error("data_centres", format!("must contain this host's own, `{own}`"));
    }
    check_unique_paths(&root, &classes);
    root.finish();
    Some(Settings {
        cell: cell?,
        host: host?,
        data_centre: data_centre?,
        data_centres,
        listen: listen?,
        seeds,
        platform: platform?,
        shared_key: shared_key?,
        membership,
        tasks,
        requests,
        classes: classes.into_iter().collect::<Option<_>>()?,
        stop_within,
        log,
    })
}

fn listen(section: Section<'_>) -> Option<Listen> {
    let callers = section.value("callers", tree::address);
    let operators = section.value("operators", tree::address);
    let peers = section.value("peers", tree::address);
    let relay = section.value("relay", tree::address);
    let addresses = [("callers", callers), ("operators", operators), ("peers", peers), ("relay", relay)];
    let mut used: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (field, address) in addresses {
        let Some(address) = address else { continue };
        if let Some(first) = used.insert(address, field) {
            section.error(field, format!("{address} is already the address of `{first}`"));
        }
        if address.port() == 0 {
            section.error(field, "must have a port other than 0, because others must know it");
        }
    }
    section.finish();
    Some(Listen { callers: callers?, operators: operators?, peers: peers?, relay: relay? })
}

fn platform(section: Section<'_>) -> Option<Platform> {
    let address = section.value("address", tree::address);
    let timeout = section.value_or("timeout", Duration::from_millis(1500), tree::duration);
    let calls_per_second = section.value_or("calls_per_second", 30, tree::number);
    if calls_per_second == 0 {
        section.error("calls_per_second", "must be at least 1");
    }
    section.finish();
    Some(Platform { address: address?, timeout, calls_per_second })
}

fn membership(section: Option<Section<'_>>) -> Membership {
    let default = Membership { heartbeat: Duration::from_millis(200), dead_after: Duration::from_millis(2000) };
    let Some(section) = section else { return default };
    let heartbeat = section.value_or("heartbeat", default.heartbeat, tree::duration);
    let dead_after = section.value_or("dead_after", default.dead_after, tree::duration);
    if dead_after < heartbeat * MIN_INTERVALS {
        section.error(
            "dead_after",
            format!(
                "must be at least {MIN_INTERVALS} times `heartbeat`, so that a lost digest does not mark a host dead"
            ),
        );
    }
    section.finish();
    Membership { heartbeat, dead_after }
}

fn tasks(section: Option<Section<'_>>) -> Tasks {
    let default = Tasks {
        lease: Duration::from_secs(15),
        renew_every: Duration::from_secs(1),
        partitions: 16,
        keep_finished: Duration::from_secs(3600),
    };
    let Some(section) = section else { return default };
    let lease = section.value_or("lease", default.lease, tree::duration);
    let renew_every = section.value_or("renew_every", default.renew_every, tree::duration);
    let partitions = section.value_or("partitions", default.partitions, tree::number);
    let keep_finished = section.value_or("keep_finished", default.keep_finished, tree::duration);
    if lease < renew_every * MIN_INTERVALS {
        section.error("lease", format!("must be at least {MIN_INTERVALS} times `renew_every`"));
    }
    if partitions == 0 {
        section.error("partitions", "must be at least 1");
    }
    section.finish();
    Tasks { lease, renew_every, partitions, keep_finished }
}

/// Smallest memory for the bodies of requests: while the largest body with an idempotency key moves to a larger buffer, it
/// is in memory twice.
const MIN_REQUEST_MEMORY: u64 = 4 * 1024 * 1024;

fn requests(section: Option<Section<'_>>) -> Requests {
    let default = Requests {
        max_body: 16 * 1024 * 1024,
        memory: 48 * 1024 * 1024,
        connections: 4096,
        queue: 2048,
        slots: 8,
        key_window: Duration::from_secs(600),
        max_remembered: 64 * 1024,
    };
    let Some(section) = section else { return default };
    let requests = Requests {
        max_body: section.value_or("max_body", default.max_body, tree::size),
        memory: section.value_or("memory", default.memory, tree::size),
        connections: section.value_or("connections", default.connections, tree::number),
        queue: section.value_or("queue", default.queue, tree::number),
        slots: section.value_or("slots", default.slots, tree::number),
        key_window: section.value_or("key_window", default.key_window, tree::duration),
        max_remembered: section.value_or("max_remembered", default.max_remembered, tree::size),
    };
    if requests.memory < MIN_REQUEST_MEMORY {
        section.error("memory", "must be at least 4MiB");
    }
    if requests.slots == 0 {
        section.error("slots", "must be at least 1");
    }
    section.finish();
    requests
}

fn class(section: Section<'_>) -> Option<Class> {
    let name = section.value("name", tree::name);
    let path = section.value("path", path);
    let service = section.value("service", tree::name);
    let priority = section.value_or("priority", Priority::Normal, priority);
    let deadline = section.value("deadline", tree::duration);
    let repeatable = section.value_or("repeatable", false, tree::flag);
    section.finish();
    Some(Class { name: name?, path: path?, service: service?, priority, deadline: deadline?, repeatable })
}

fn check_unique_paths(root: &Section<'_>, classes: &[Option<Class>]) {
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for class in classes.iter().flatten() {
        if let Some(first) = seen.insert(&class.path, &class.name) {
            root.error("classes", format!("`{}` and `{first}` have the same path {}", class.name, class.path));
        }
    }
}

fn shared_key(value: &str) -> Result<String, String> {
    // The value is a secret and must not appear in the message.
    if value.len() < MIN_KEY_LENGTH {
        return Err(format!("must have at least {MIN_KEY_LENGTH} characters"));
    }
    tree::text(value)
}

fn path(value: &str) -> Result<String, String> {
    if value.starts_with('/') { Ok(value.to_owned()) } else { Err("must start with `/`".to_owned()) }
}

fn priority(value: &str) -> Result<Priority, String> {
    match value {
        "urgent" => Ok(Priority::Urgent),
        "normal" => Ok(Priority::Normal),
        "patient" => Ok(Priority::Patient),
        other => Err(format!("`{other}` is not one of urgent, normal, patient")),
    }
}

fn level(value: &str) -> Result<Level, String> {
    match value {
        "debug" => Ok(Level::Debug),
        "info" => Ok(Level::Info),
        "warning" => Ok(Level::Warning),
        "error" => Ok(Level::Error),
        other => Err(format!("`{other}` is not one of debug, info, warning, error")),
    }
}
