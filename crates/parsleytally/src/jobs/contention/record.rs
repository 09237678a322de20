//! Learned effects as the store holds them, so that a successor does not have to learn them
//! again beside running services.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Contention, MIN_UNKNOWN_DEVIATION};
use crate::interference::Effect;
use crate::jobs::RecordError;
use crate::jobs::spec::{decode, encode};

/// What an owner has learned about the contention between images.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ContentionRecord {
    images: Vec<ImageRecord>,
}

/// What is known about the service tasks of one image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ImageRecord {
    image: Arc<str>,
    /// Estimated slowdown at zero utilization.
    best_slowdown: f64,
    /// Effects that are not unknown.
    effects: Vec<EffectRecord>,
}

/// Effect of a best-effort image, in utilization for each processor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct EffectRecord {
    best_effort: Arc<str>,
    mean: f64,
    uncertainty: f64,
}

impl ContentionRecord {
    /// Whether nothing was learned.
    pub fn is_empty(&self) -> bool {
        self.images.is_empty()
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] for bytes of another format version or an invalid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

impl Contention {
    /// Record of the learned effects.
    pub(in crate::jobs) fn record(&self) -> ContentionRecord {
        let images = self.best_slowdowns.iter();
        let images = images.map(|(image, best)| self.image_record(image, *best));
        ContentionRecord {
            images: images.collect(),
        }
    }

    fn image_record(&self, image: &Arc<str>, best_slowdown: f64) -> ImageRecord {
        let effects = self.model.known_effects(image);
        let effects = effects.filter(|(_, effect)| effect.uncertainty < MIN_UNKNOWN_DEVIATION);
        let effects = effects.map(|(best_effort, effect)| EffectRecord {
            best_effort,
            mean: effect.mean,
            uncertainty: effect.uncertainty,
        });
        ImageRecord {
            image: image.clone(),
            best_slowdown,
            effects: effects.collect(),
        }
    }

    /// Takes over what a predecessor has learned.
    pub(in crate::jobs) fn restore(&mut self, record: ContentionRecord) {
        for image in record.images {
            let effects = image.effects.into_iter().map(|effect| {
                let learned = Effect {
                    mean: effect.mean,
                    uncertainty: effect.uncertainty,
                };
                (effect.best_effort, learned)
            });
            self.model.restore(image.image.clone(), effects);
            self.best_slowdowns.insert(image.image, image.best_slowdown);
        }
    }
}
