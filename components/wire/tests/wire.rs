//! Malformed, unauthenticated and truncated messages are rejected without a panic; valid messages round-trip.

use board::VersionedMap;
use model::Resources;
use model::task::{Attempt, End, Id};
use proptest::prelude::*;
use wire::{
    Answer, Fact, FactKey, Key, MessageError, Request, TaskFact, TaskState, decode, encode, read_frame, write_frame,
};

fn key() -> Key {
    Key::new("a shared key of a test cell")
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        prop_assert!(decode::<Request>(&key(), &bytes).is_err());
    }

    #[test]
    fn an_authenticated_random_payload_never_panics(payload in prop::collection::vec(any::<u8>(), 0..256)) {
        let encoded = encode(&key(), &payload).unwrap();
        let _ = decode::<Answer>(&key(), &encoded);
        let _ = decode::<member::Digest>(&key(), &encoded);
    }

    #[test]
    fn any_changed_byte_is_detected(at in 0usize..64, flip in 1u8..=255) {
        let mut encoded = encode(&key(), &Request::Announce { partition: 3, epoch: 9 }).unwrap();
        let at = at % encoded.len();
        encoded[at] ^= flip;
        prop_assert!(decode::<Request>(&key(), &encoded).is_err());
    }
}

fn facts_with_every_end() -> Answer {
    let ends = [End::Finished, End::Failed { message: "exit status 1".to_owned() }, End::Stopped, End::Lost];
    let address = Some("127.0.0.1:9".parse().unwrap());
    let states = ends.map(TaskState::Ended).into_iter().chain([
        TaskState::Starting,
        TaskState::Running(None),
        TaskState::Running(address),
        TaskState::Stopping,
    ]);
    let mut board = VersionedMap::default();
    for (index, state) in states.enumerate() {
        let task = Id { workload: "plan".to_owned(), life: 1, data_centre: "gt-1".to_owned(), index: index as u32 };
        let fact =
            TaskFact { worker: "w".to_owned(), state, resources: Resources::new(1, 1, 0), patient: true, unsaved: 3 };
        board.set(FactKey::Task(task, Attempt { epoch: 1, number: 1 }), Fact::Task(fact));
    }
    Answer::Facts(board.delta(0))
}

#[test]
fn facts_with_every_state_and_end_round_trip() {
    let facts = facts_with_every_end();
    let encoded = encode(&key(), &facts).unwrap();
    assert_eq!(decode::<Answer>(&key(), &encoded), Ok(facts));
}

#[test]
fn another_cells_key_is_refused() {
    let encoded = encode(&Key::new("another"), &Request::Epochs).unwrap();
    assert_eq!(decode::<Request>(&key(), &encoded), Err(MessageError::Authentication));
}

#[tokio::test]
async fn frames_round_trip_and_an_oversized_length_is_refused() {
    let (mut near, mut far) = tokio::io::duplex(1 << 16);
    write_frame(&mut near, &key(), &Request::Epochs).await.unwrap();
    let (request, _) = read_frame::<Request>(&mut far, &key()).await.unwrap().unwrap();
    assert_eq!(request, Request::Epochs);

    tokio::io::AsyncWriteExt::write_all(&mut near, &u32::MAX.to_be_bytes()).await.unwrap();
    assert!(read_frame::<Request>(&mut far, &key()).await.is_err());
}

#[tokio::test]
async fn a_truncated_frame_is_an_error_not_an_end_of_stream() {
    let (mut near, mut far) = tokio::io::duplex(1 << 16);
    tokio::io::AsyncWriteExt::write_all(&mut near, &[0, 0, 0, 40, 1, 2]).await.unwrap();
    drop(near);
    assert!(read_frame::<Request>(&mut far, &key()).await.is_err());
}
