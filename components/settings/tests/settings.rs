//! Valid settings are parsed; invalid ones report every error with its line and field.

const VALID: &str = "\
cell: ferroplan
host: entry-a1
data_centre: gt-1
data_centres: [gt-1, gt-2]
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  peers: 127.0.0.1:8082
  relay: 127.0.0.1:8083
seeds: [127.0.0.1:9082]
platform:
  address: 127.0.0.1:2379
  timeout: 1500ms
shared_key: a long enough shared key
classes:
  - name: slot-check
    path: /slots
    service: planner
    priority: urgent
    deadline: 300ms
    repeatable: true
";

const INVALID: &str = "\
cell: ferroplan
host: entry a1
data_centre: gt-1
data_centres: [gt-2]
listen:
  callers: localhost:8080
  operators: 127.0.0.1:8081
  peers: 127.0.0.1:8081
platform:
  address: 127.0.0.1:2379
  timeout: 1500
  retries: 3
shared_key: short
membership:
  heartbeat: 1s
  dead_after: 2s
classes:
  - name: slot-check
    path: slots
    service: planner
    priority: high
    deadline: 300ms
colour: red
";

#[test]
fn good_settings_are_read() {
    let settings = settings::parse("good.yaml", VALID).unwrap();
    assert_eq!(settings.classes[0].deadline.as_millis(), 300);
    assert_eq!(settings.tasks.partitions, 16, "the default");
}

#[test]
fn every_fault_is_shown_at_once_with_line_and_field() {
    let error = settings::parse("bad.yaml", INVALID).unwrap_err();
    insta::assert_snapshot!(error.to_string());
}

#[test]
fn the_shared_key_is_never_repeated() {
    let error = settings::parse("bad.yaml", INVALID).unwrap_err().to_string();
    assert!(!error.contains("short"), "{error}");
}

#[test]
fn broken_yaml_names_its_line() {
    let error = settings::parse("broken.yaml", "cell: x\nlisten: [1,\n").unwrap_err();
    assert_eq!(error.diagnostics.len(), 1);
    assert!(error.diagnostics[0].line >= 2, "{error}");
}
