//! Breadth-first search over the states of a world.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

use rand::seq::IndexedRandom;
use rand::{SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3::Xxh3;

use crate::world::{Action, World};

/// Result of a search.
pub(crate) enum Found {
    /// Every state that was reached keeps every promise.
    Nothing { states: usize, depth: usize },
    /// A promise is broken at the end of a path.
    Broken { promise: &'static str, path: String },
}

struct Node {
    parent: usize,
    action: Option<Action>,
    depth: usize,
}

/// Visits states from `start` until a promise breaks or `limit` states were seen.
pub(crate) fn search(start: World, limit: usize) -> Found {
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut nodes = vec![Node {
        parent: 0,
        action: None,
        depth: 0,
    }];
    let mut queue = VecDeque::from([(0, start)]);
    let mut depth = 0;
    while let Some((index, world)) = queue.pop_front() {
        depth = nodes[index].depth;
        for action in world.actions() {
            let mut next = world.clone();
            let broken = next.act(&action);
            if broken.is_none() && !seen.insert(fingerprint(&next)) {
                continue;
            }
            nodes.push(Node {
                parent: index,
                action: Some(action),
                depth: depth + 1,
            });
            let last = nodes.len() - 1;
            if let Some(promise) = broken {
                let path = path(&nodes, last);
                return Found::Broken { promise, path };
            }
            queue.push_back((last, next));
        }
        if nodes.len() >= limit {
            break;
        }
    }
    let states = nodes.len();
    Found::Nothing { states, depth }
}

/// Takes `walks` random paths of `steps` steps from `start`.
pub(crate) fn walk(start: &World, walks: u64, steps: usize) -> Found {
    let mut states = 0;
    for seed in 0..walks {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = start.clone();
        let mut taken = Vec::new();
        for _ in 0..steps {
            let actions = world.actions();
            let Some(action) = actions.choose(&mut rng) else {
                break;
            };
            let broken = world.act(action);
            taken.push(format!("{action:?}"));
            states += 1;
            if let Some(promise) = broken {
                let path = taken.join("\n");
                return Found::Broken { promise, path };
            }
        }
    }
    let depth = steps;
    Found::Nothing { states, depth }
}

fn fingerprint(world: &World) -> u128 {
    let mut hasher = Xxh3::new();
    world.hash(&mut hasher);
    hasher.digest128()
}

fn path(nodes: &[Node], mut index: usize) -> String {
    let mut steps = Vec::new();
    while let Some(action) = &nodes[index].action {
        steps.push(format!("{action:?}"));
        index = nodes[index].parent;
    }
    steps.reverse();
    steps.join("\n")
}
