//! Malformed, foreign and truncated messages are refused cleanly; good ones survive the round trip.

use board::VersionedMap;
use model::Resources;
use model::task::{Attempt, End, Id};
use proptest::prelude::*;
use wire::{Answer, Fact, FactKey, Fault, Key, Request, TaskFact, TaskState, open, read, seal, write};

fn key() -> Key {
    Key::new("a shared key of a test cell")
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        prop_assert!(open::<Request>(&key(), &bytes).is_err());
    }

    #[test]
    fn a_sealed_but_random_payload_is_refused_or_decoded_without_panic(payload in prop::collection::vec(any::<u8>(), 0..256)) {
        let sealed = seal(&key(), &payload).unwrap();
        let _ = open::<Answer>(&key(), &sealed);
        let _ = open::<member::Digest>(&key(), &sealed);
    }

    #[test]
    fn any_changed_byte_breaks_the_seal(at in 0usize..64, flip in 1u8..=255) {
        let mut sealed = seal(&key(), &Request::Announce { partition: 3, epoch: 9 }).unwrap();
        let at = at % sealed.len();
        sealed[at] ^= flip;
        prop_assert!(open::<Request>(&key(), &sealed).is_err());
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
fn facts_with_every_state_and_end_survive_the_way() {
    let facts = facts_with_every_end();
    let sealed = seal(&key(), &facts).unwrap();
    assert_eq!(open::<Answer>(&key(), &sealed), Ok(facts));
}

#[test]
fn another_cells_key_is_refused() {
    let sealed = seal(&Key::new("another"), &Request::Epochs).unwrap();
    assert_eq!(open::<Request>(&key(), &sealed), Err(Fault::Seal));
}

#[tokio::test]
async fn frames_survive_the_stream_and_an_oversized_length_is_refused() {
    let (mut near, mut far) = tokio::io::duplex(1 << 16);
    write(&mut near, &key(), &Request::Epochs).await.unwrap();
    let (request, _) = read::<Request>(&mut far, &key()).await.unwrap().unwrap();
    assert_eq!(request, Request::Epochs);

    tokio::io::AsyncWriteExt::write_all(&mut near, &u32::MAX.to_be_bytes()).await.unwrap();
    assert!(read::<Request>(&mut far, &key()).await.is_err());
}

#[tokio::test]
async fn a_frame_that_breaks_off_is_an_error_not_an_end() {
    let (mut near, mut far) = tokio::io::duplex(1 << 16);
    tokio::io::AsyncWriteExt::write_all(&mut near, &[0, 0, 0, 40, 1, 2]).await.unwrap();
    drop(near);
    assert!(read::<Request>(&mut far, &key()).await.is_err());
}
