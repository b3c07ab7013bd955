//! Measures the cost of finding a request's queue and workspace for several numbers of queues, by index and by linear scan.
//!
//! `cargo run --release -p work --example routes`

use std::hint::black_box;
use std::time::{Duration, Instant};

use model::Resources;
use work::key::{Credential, Digest};
use work::{Config, Queue, Workspace};

const WORKSPACES: usize = 120;
const LOOKUPS: u32 = 200_000;

fn config(queues: usize) -> Config {
    let queue = |number: usize| Queue {
        name: format!("r-{number:05}"),
        host: format!("host{:02}.example", number % 20),
        prefix: format!("/queue{number:05}/"),
        public: false,
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        objective: Duration::from_secs(1),
        advice: None,
    };
    let workspace = |number: usize| Workspace {
        name: format!("team{number}"),
        keys: vec![Digest::of(&format!("key{number}")), Digest::of(&format!("other{number}"))],
        weight: 1.0,
        limit: Resources::ZERO,
    };
    let config = Config::new(1, (0..queues).map(queue).collect(), 1000);
    config.with_workspaces((0..WORKSPACES).map(workspace).collect())
}

/// Finds the queue by a linear scan, the method before the index was added.
fn scan<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Queue> {
    let fits = |queue: &&Queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix);
    config.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())
}

fn nanoseconds(mut lookup: impl FnMut(usize)) -> u128 {
    let began = Instant::now();
    (0..LOOKUPS as usize).for_each(&mut lookup);
    began.elapsed().as_nanos() / u128::from(LOOKUPS)
}

fn main() {
    println!("queues  by index ns  by scan ns  key ns  bytes between hosts");
    for count in [3, 40, 1400] {
        let config = config(count);
        let requests: Vec<(String, String)> = config
            .queues
            .iter()
            .map(|queue| (queue.host.clone(), format!("{}5c0e7a21d94b36f8", queue.prefix)))
            .collect();
        let request = |lookup: usize| &requests[lookup % requests.len()];
        let index = nanoseconds(|lookup| {
            let (host, path) = request(lookup);
            black_box(config.route(host, path));
        });
        let scan = nanoseconds(|lookup| {
            let (host, path) = request(lookup);
            black_box(scan(&config, host, path));
        });
        let keys: Vec<String> = (0..WORKSPACES).map(|number| format!("key{number}")).collect();
        let key = nanoseconds(|lookup| {
            let presented = Credential::Key(Digest::of(&keys[lookup % keys.len()]));
            let _ = black_box(config.admit(&config.queues[0], presented));
        });
        let bytes = postcard::to_stdvec(&config).map_or(0, |bytes| bytes.len());
        println!("{count:6}  {index:11}  {scan:10}  {key:6}  {bytes:19}");
    }
}
