//! Ids of worker incarnations.

use work::WorkerIncarnation;

#[test]
fn an_id_holds_the_name_and_start_time_of_a_worker() {
    let incarnation = WorkerIncarnation { name: "i-7f3a91c2", born: Some(1_773_080_999_115) };
    assert_eq!(incarnation.id(), "i-7f3a91c2@1773080999115");
    assert_eq!(WorkerIncarnation::from_id(&incarnation.id()), incarnation);
}

#[test]
fn a_name_alone_identifies_an_incarnation_without_a_start_time() {
    let incarnation = WorkerIncarnation::from_id("i-7f3a91c2");
    assert_eq!(incarnation, WorkerIncarnation { name: "i-7f3a91c2", born: None });
    assert_eq!(incarnation.id(), "i-7f3a91c2");
}

#[test]
fn a_name_must_not_look_like_an_id_with_a_start_time() {
    assert!(WorkerIncarnation::is_valid_name("i-7f3a91c2"));
    assert!(!WorkerIncarnation::is_valid_name("i-7f3a91c2@5"));
    assert!(!WorkerIncarnation::is_valid_name(""));
}
