//! The causes of the delay of late jobs, from logs.

use std::process::Command;

/// A log line with a timestamp in the given second.
fn line(second: f64, event: u64, fields: &str) -> String {
    format!(
        r#"{{"ts":"2026-01-01T00:00:{second:06.3}Z","host":"h","msg":"m","level":"INFO","event":{event},{fields}}}"#
    )
}

fn job_ended(second: f64, job: &str, took_ms: u64) -> String {
    let fields = r#""outcome":"Completed","queue":"checks","objective_ms":1000"#;
    line(second, 612, &format!(r#""job":"{job}","took_ms":{took_ms},{fields}"#))
}

fn ordered(second: f64, task: &str, outcome: &str) -> String {
    line(second, 613, &format!(r#""task":"{task}","outcome":"{outcome}""#))
}

fn advised(second: f64, unit: &str, took_ms: u64) -> String {
    line(second, 616, &format!(r#""unit":"{unit}","took_ms":{took_ms}"#))
}

fn run_ended(second: f64, task: &str, how: &str) -> String {
    line(second, 615, &format!(r#""task":"{task}","how":"{how}""#))
}

#[test]
fn late_jobs_are_counted_by_the_cause_of_their_delay() {
    let lines = [
        "not a line of ours".to_owned(),
        // On time.
        ordered(1.0, "a1.0.0.0", "Started"),
        run_ended(1.8, "a1.0.0.0", "Done"),
        job_ended(1.8, "a1", 900),
        // Delayed by the wait for its first start.
        ordered(4.0, "a2.0.0.0", "Started"),
        run_ended(4.5, "a2.0.0.0", "Done"),
        job_ended(4.5, "a2", 2500),
        // Delayed by a start order without an answer.
        ordered(5.0, "a3.0.0.0", "Unknown"),
        ordered(6.5, "a3.0.0.0", "Started"),
        run_ended(7.0, "a3.0.0.0", "Done"),
        job_ended(7.0, "a3", 2050),
        // Delayed by a failed run.
        ordered(8.0, "a4.0.0.0", "Started"),
        run_ended(8.9, "a4.0.0.0", "Failed"),
        ordered(9.0, "a4.0.0.0", "Started"),
        run_ended(9.5, "a4.0.0.0", "Done"),
        job_ended(9.5, "a4", 1550),
        // Its run took too long.
        ordered(10.0, "a5.0.0.0", "Started"),
        run_ended(12.0, "a5.0.0.0", "Done"),
        job_ended(12.0, "a5", 2050),
        line(13.0, 611, r#""job":"a6""#),
        // Delayed by two concurrent requests to the adviser and a later one, all before its first start.
        advised(15.0, "a7.0.0", 900),
        advised(15.1, "a7.0.0", 1000),
        advised(16.0, "a7.0.0", 500),
        ordered(16.0, "a7.0.0.0", "Started"),
        run_ended(16.5, "a7.0.0.0", "Done"),
        job_ended(16.5, "a7", 2500),
    ];
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("host.log");
    std::fs::write(&path, lines.join("\n")).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_walkhook"))
        .args(["--output", "json", "account"])
        .arg(&path)
        .output()
        .expect("walkhook runs");
    let rows: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let checks = &rows[1];
    assert_eq!(rows[0]["refusals"], 1, "{rows}");
    for (column, count) in [
        ("completed", 6),
        ("late", 5),
        ("waiting", 1),
        ("advice", 1),
        ("lost_order", 1),
        ("failed_run", 1),
        ("running", 1),
    ] {
        assert_eq!(checks[column], count, "{column}: {rows}");
    }
    assert_eq!(checks["first_start_p50_ms"], 100, "{rows}");
    assert_eq!(checks["first_start_p95_ms"], 2000, "{rows}");
}
