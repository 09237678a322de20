//! Tests of the scheduler's calls to the store.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, bounded};
use parsleytally::ownership::{Batch, OwnerRecord, SegmentId, SwapResult, WriteResult};
use parsleytally::types::{Epoch, Incarnation, NodeName, Revision, ShardId, Time};
use parsleytally_platform::store::MemoryStore;
use tokio::runtime::Handle;

use super::Input;
use super::store::{JournalWrite, StoreAnswer, StoreClient};

const SHARD: ShardId = ShardId(7);
const HOLD: Duration = Duration::from_secs(60);

struct Setup {
    store: Arc<MemoryStore>,
    client: StoreClient,
    answers: Receiver<Input>,
}

impl Setup {
    fn new() -> Self {
        let store = Arc::new(MemoryStore::new());
        let (sender, answers) = bounded(16);
        Self {
            client: StoreClient::new(store.clone(), Handle::current(), sender),
            store,
            answers,
        }
    }

    async fn answer(&self) -> StoreAnswer {
        let answers = self.answers.clone();
        let input = tokio::task::spawn_blocking(move || answers.recv()).await;
        match input.unwrap().unwrap() {
            Input::Store(answer) => answer,
            _ => panic!("not a store answer"),
        }
    }

    async fn swap(
        &self,
        expected_revision: Option<Revision>,
        owner: &str,
        epoch: u64,
    ) -> SwapResult {
        let node = NodeName::new(owner).unwrap();
        let first = OwnerRecord::successor(None, &node, Incarnation(1), HOLD, false);
        let record = OwnerRecord {
            epoch: Epoch(epoch),
            ..first
        };
        self.client
            .swap_owner(SHARD, expected_revision, &record, Time::ZERO);
        match self.answer().await {
            StoreAnswer::Swapped { result, .. } => result,
            other => panic!("{other:?}"),
        }
    }

    async fn write(&self, owner: Revision, secs: u64) -> WriteResult {
        let batch = Batch {
            seq: 1,
            segments: vec![(SegmentId(3), vec![1, 2, 3])],
        };
        self.client.write_journal(JournalWrite {
            shard: SHARD,
            epoch: Epoch(1),
            owner_revision: owner,
            head_revision: None,
            batch,
            sent_at: Time::from_secs(secs),
        });
        match self.answer().await {
            StoreAnswer::Written { result, .. } => result,
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retried_write_is_accepted_only_if_the_owner_record_is_unchanged() {
    for replaced in [false, true] {
        let setup = Setup::new();
        let SwapResult::Succeeded(owner) = setup.swap(None, "e1", 1).await else {
            panic!("the first swap succeeds");
        };
        setup.store.lose_answers(1);
        assert_eq!(setup.write(owner, 1).await, WriteResult::Unknown);
        if replaced {
            let swapped = setup.swap(Some(owner), "e2", 2).await;
            assert!(matches!(swapped, SwapResult::Succeeded(_)));
        }
        let sent_at = Time::from_secs(9);
        let expected = match replaced {
            true => WriteResult::Fenced,
            false => WriteResult::Accepted { sent_at },
        };
        assert_eq!(setup.write(owner, 9).await, expected);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_of_a_replaced_owner_is_fenced_and_changes_nothing() {
    let setup = Setup::new();
    let SwapResult::Succeeded(owner) = setup.swap(None, "e1", 1).await else {
        panic!("the first swap succeeds");
    };
    assert_eq!(setup.swap(None, "e2", 1).await, SwapResult::Conflict);
    let swapped = setup.swap(Some(owner), "e2", 2).await;
    assert!(matches!(swapped, SwapResult::Succeeded(_)));
    assert_eq!(setup.write(owner, 1).await, WriteResult::Fenced);
    let journal =
        parsleytally_platform::store::Store::range(&*setup.store, "/parsleytally/journals/");
    assert!(journal.await.unwrap().items.is_empty());
}
