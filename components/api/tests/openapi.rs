//! The committed OpenAPI document is up to date.

#[test]
fn the_committed_document_matches_the_interface() {
    let version = semver::Version::parse(api::VERSION).unwrap();
    let document = api::description().unwrap().openapi("walkhook", version).json().unwrap();
    let expected = format!("{}\n", serde_json::to_string_pretty(&document).unwrap());
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi.json");
    if std::env::var_os("WALKHOOK_WRITE_OPENAPI").is_some() {
        std::fs::write(path, &expected).unwrap();
    }
    let committed = std::fs::read_to_string(path).unwrap();
    assert!(committed == expected, "run this test with WALKHOOK_WRITE_OPENAPI=1 and commit docs/openapi.json");
}
