//! Tests that `docs/PROVED.md` names exist.

use std::{fs, path::Path};

/// The concatenated test sources below a folder.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for file in fs::read_dir(folder).expect("a folder of tests").flatten() {
        let path = file.path();
        match path.is_dir() {
            true => text.push_str(&sources(&path)),
            false => text.push_str(&fs::read_to_string(&path).expect("a source file")),
        }
    }
    text
}

/// The names of tests that a page has in backticks as `module::name`, without their modules.
fn named_tests(page: &str) -> Vec<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    quoted.filter(|it| it.contains("::")).filter_map(|it| it.rsplit("::").next()).collect()
}

#[test]
fn every_test_that_the_page_of_proofs_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/PROVED.md")).expect("docs/PROVED.md");
    let product = sources(&root.join("tests/testsuite"));
    let core = sources(&root.join("crates/medlarlug-core/tests/testsuite"));
    let platform = sources(&root.join("platform/tests/testsuite"));

    let names = named_tests(&page);

    assert!(!names.is_empty(), "the page names no test");
    for name in names {
        let function = format!("fn {name}(");
        let is_there = [&product, &core, &platform].iter().any(|it| it.contains(&function));
        assert!(is_there, "no test `{name}`");
    }
}
