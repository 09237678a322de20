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

struct Bench {
    store: Arc<MemoryStore>,
    client: StoreClient,
    answers: Receiver<Input>,
}

impl Bench {
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
            _ => panic!("an input that is no answer"),
        }
    }

    async fn swap(&self, expect: Option<Revision>, owner: &str, epoch: u64) -> SwapResult {
        let node = NodeName::new(owner).unwrap();
        let first = OwnerRecord::successor(None, &node, Incarnation(1), HOLD, false);
        let record = OwnerRecord {
            epoch: Epoch(epoch),
            ..first
        };
        self.client.swap_owner(SHARD, expect, &record, Time::ZERO);
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
            owner,
            head: None,
            batch,
            asked: Time::from_secs(secs),
        });
        match self.answer().await {
            StoreAnswer::Written { result, .. } => result,
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_was_lost_confirms_only_what_the_owner_record_shows() {
    for replaced in [false, true] {
        let bench = Bench::new();
        let SwapResult::Succeeded(owner) = bench.swap(None, "e1", 1).await else {
            panic!("the first swap is won");
        };
        bench.store.lose_answers(1);
        assert_eq!(bench.write(owner, 1).await, WriteResult::Unknown);
        if replaced {
            let won = bench.swap(Some(owner), "e2", 2).await;
            assert!(matches!(won, SwapResult::Succeeded(_)));
        }
        let asked = Time::from_secs(9);
        let expected = match replaced {
            true => WriteResult::Fenced,
            false => WriteResult::Accepted { sent_at: asked },
        };
        assert_eq!(bench.write(owner, 9).await, expected);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_of_a_replaced_owner_is_fenced_and_leaves_nothing() {
    let bench = Bench::new();
    let SwapResult::Succeeded(owner) = bench.swap(None, "e1", 1).await else {
        panic!("the first swap is won");
    };
    assert_eq!(bench.swap(None, "e2", 1).await, SwapResult::Conflict);
    let won = bench.swap(Some(owner), "e2", 2).await;
    assert!(matches!(won, SwapResult::Succeeded(_)));
    assert_eq!(bench.write(owner, 1).await, WriteResult::Fenced);
    let journal =
        parsleytally_platform::store::Store::range(&*bench.store, "/parsleytally/journals/");
    assert!(journal.await.unwrap().items.is_empty());
}
