//! The daemon's arguments and settings file.

use std::process::Command;

fn walkhookd(settings: &std::path::Path, check: bool) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_walkhookd"));
    command.arg("--settings").arg(settings);
    if check {
        command.arg("--check");
    }
    let output = command.output().expect("it runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn bad_settings_start_nothing_and_exit_with_two() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.yaml");
    std::fs::write(&file, "cell: a\nhost: b\ncolour: red\n").expect("a file");
    for check in [true, false] {
        let (code, said) = walkhookd(&file, check);
        assert_eq!(code, Some(2));
        assert!(said.contains("bad.yaml:3: colour: unknown field"), "{said}");
        assert!(said.contains("listen: missing"), "{said}");
    }
    let (code, said) = walkhookd(&folder.path().join("none.yaml"), true);
    assert_eq!(code, Some(2));
    assert!(said.contains("none.yaml: can't be read"), "{said}");
}
