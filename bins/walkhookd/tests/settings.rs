//! Exit codes and messages of the daemon for settings files that it cannot use.

use std::process::Command;

fn walkhookd(settings: &std::path::Path, check: bool) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_walkhookd"));
    command.arg("--settings").arg(settings);
    if check {
        command.arg("--check");
    }
    let output = command.output().expect("walkhookd can be started");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn invalid_settings_are_reported_with_exit_code_2() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("bad.yaml");
    std::fs::write(&file, "cell: a\nhost: b\ncolour: red\n").expect("a settings file");
    for check in [true, false] {
        let (exit_code, stderr) = walkhookd(&file, check);
        assert_eq!(exit_code, Some(2));
        assert!(stderr.contains("bad.yaml:3: colour: unknown field"), "{stderr}");
        assert!(stderr.contains("listen: missing"), "{stderr}");
    }
    let (exit_code, stderr) = walkhookd(&directory.path().join("none.yaml"), true);
    assert_eq!(exit_code, Some(2));
    assert!(stderr.contains("none.yaml: can't be read"), "{stderr}");
}
