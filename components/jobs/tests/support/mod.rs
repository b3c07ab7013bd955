//! Builds workload records for the tests of this package.

use std::collections::BTreeMap;
use std::time::SystemTime;

use model::Resources;
use model::workload::{Intent, Kind, Priority, Record, Versioned, Workload};

/// A workload with `count` one-core tasks, all in the data centre `gt-1`.
pub fn versioned(name: &str, kind: Kind, count: u32, revision: u64) -> Versioned {
    let workload = Workload {
        name: name.to_owned(),
        team: "rail".to_owned(),
        kind,
        priority: Priority::Normal,
        instances: count,
        each: Resources::new(1, 1024, 0),
        run: "run".to_owned(),
        run_time: None,
    };
    let record = Record {
        workload,
        intent: Intent::Run,
        command: Default::default(),
        life: 1,
        shares: BTreeMap::from([("gt-1".to_owned(), count)]),
        accepted_at: SystemTime::UNIX_EPOCH,
    };
    Versioned { record, revision }
}
