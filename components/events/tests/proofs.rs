//! Every test that `docs/PROOFS.md` names exists.

use std::path::Path;

/// Names of tests on the page: long words in backquotes, with underscores.
fn named(page: &str) -> Vec<&str> {
    let words = page.split('`').skip(1).step_by(2);
    words.filter(|word| word.matches('_').count() >= 3 && !word.contains('/')).collect()
}

fn read_tests(folder: &Path, text: &mut String) {
    let Ok(entries) = std::fs::read_dir(folder) else { return };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            read_tests(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

#[test]
fn every_test_that_the_page_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut tests = String::new();
    for group in ["components", "bins"] {
        for package in std::fs::read_dir(root.join(group)).unwrap().flatten() {
            read_tests(&package.path().join("tests"), &mut tests);
        }
    }
    read_tests(&root.join("platform/tests"), &mut tests);
    let page = std::fs::read_to_string(root.join("docs/PROOFS.md")).unwrap();
    let named = named(&page);
    assert!(named.len() > 20, "the page names its tests");
    for name in named {
        assert!(tests.contains(&format!("fn {name}(")), "docs/PROOFS.md names `{name}`, which is no test");
    }
}
