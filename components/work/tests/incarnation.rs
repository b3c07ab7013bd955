//! Ids of workers' lives.

use work::WorkerIncarnation;

#[test]
fn an_id_names_a_worker_and_its_birth() {
    let life = WorkerIncarnation { name: "i-7f3a91c2", born: Some(1_773_080_999_115) };
    assert_eq!(life.id(), "i-7f3a91c2@1773080999115");
    assert_eq!(WorkerIncarnation::from_id(&life.id()), life);
}

#[test]
fn a_name_alone_is_a_life_where_no_birth_is_told() {
    let life = WorkerIncarnation::from_id("i-7f3a91c2");
    assert_eq!(life, WorkerIncarnation { name: "i-7f3a91c2", born: None });
    assert_eq!(life.id(), "i-7f3a91c2");
}

#[test]
fn what_could_be_taken_for_a_birth_is_no_name() {
    assert!(WorkerIncarnation::is_valid_name("i-7f3a91c2"));
    assert!(!WorkerIncarnation::is_valid_name("i-7f3a91c2@5"));
    assert!(!WorkerIncarnation::is_valid_name(""));
}
