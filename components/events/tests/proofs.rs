//! Every test named in `docs/PROOFS.md` exists.

use std::path::Path;

/// Finds the test names on the page: words in backquotes with at least three underscores and no slash.
fn test_names(page: &str) -> Vec<&str> {
    let words = page.split('`').skip(1).step_by(2);
    words.filter(|word| word.matches('_').count() >= 3 && !word.contains('/')).collect()
}

fn read_sources(folder: &Path, sources: &mut String) {
    let Ok(entries) = std::fs::read_dir(folder) else { return };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

#[test]
fn every_test_that_the_page_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut sources = String::new();
    for group in ["components", "bins"] {
        for package in std::fs::read_dir(root.join(group)).unwrap().flatten() {
            read_sources(&package.path().join("tests"), &mut sources);
        }
    }
    read_sources(&root.join("platform/tests"), &mut sources);
    let page = std::fs::read_to_string(root.join("docs/PROOFS.md")).unwrap();
    let names = test_names(&page);
    assert!(names.len() > 20, "too few test names found on the page");
    for name in names {
        assert!(sources.contains(&format!("fn {name}(")), "docs/PROOFS.md names `{name}`, but no test has that name");
    }
}
