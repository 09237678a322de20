//! Linear Kalman filter with a full covariance matrix.

use super::Effect;

/// Standard deviations past which a measurement counts as that far only.
const MAX_SURPRISE: f64 = 3.0;

/// Estimated coefficients of one linear model.
#[derive(Debug)]
pub(crate) struct KalmanFilter {
    means: Vec<f64>,
    /// Variance that each coefficient gains within the time of forgetting.
    drifts: Vec<f64>,
    /// Covariance, row by row.
    spread: Vec<f64>,
    noise: f64,
}

impl KalmanFilter {
    pub(crate) fn new(noise: f64) -> Self {
        Self {
            means: Vec::new(),
            drifts: Vec::new(),
            spread: Vec::new(),
            noise: noise * noise,
        }
    }

    /// Adds a coefficient with its prior mean and standard deviation, and the
    /// standard deviation of its change within the time of forgetting.
    pub(crate) fn add_coefficient(&mut self, mean: f64, doubt: f64, drift: f64) {
        let old = self.means.len();
        let size = old + 1;
        let mut spread = vec![0.0; size * size];
        for row in 0..old {
            let from = &self.spread[row * old..(row + 1) * old];
            spread[row * size..row * size + old].copy_from_slice(from);
        }
        spread[size * size - 1] = doubt * doubt;
        self.means.push(mean);
        self.drifts.push(drift * drift);
        self.spread = spread;
    }

    /// Lets each variance grow by `share` of its drift, up to the drift.
    pub(crate) fn add_drift(&mut self, share: f64) {
        for at in 0..self.means.len() {
            let drift = self.drifts[at];
            self.inflate_variance(at, drift * share, drift);
        }
    }

    /// Lets the variance of one coefficient grow by `variance`, up to `most`.
    pub(crate) fn inflate_variance(&mut self, at: usize, variance: f64, most: f64) {
        let size = self.means.len();
        let own = &mut self.spread[at * size + at];
        *own = (*own + variance).min(most.max(*own));
    }

    /// Forgets what is known of one coefficient.
    pub(crate) fn reset_coefficient(&mut self, at: usize, mean: f64, doubt: f64) {
        let size = self.means.len();
        for other in 0..size {
            self.spread[at * size + other] = 0.0;
            self.spread[other * size + at] = 0.0;
        }
        self.spread[at * size + at] = doubt * doubt;
        self.means[at] = mean;
    }

    /// Number of coefficients.
    pub(crate) fn len(&self) -> usize {
        self.means.len()
    }

    pub(crate) fn predict(&self, row: &[f64]) -> f64 {
        row.iter().zip(&self.means).map(|(x, mean)| x * mean).sum()
    }

    /// Corrects the coefficients by one measurement.
    pub(crate) fn update(&mut self, row: &[f64], measured: f64) {
        let size = self.means.len();
        let weighted = self.weigh(row);
        let known: f64 = row.iter().zip(&weighted).map(|(x, w)| x * w).sum();
        let variance = known + self.noise;
        let limit = MAX_SURPRISE * variance.sqrt();
        let surprise = (measured - self.predict(row)).clamp(-limit, limit);
        for (mean, w) in self.means.iter_mut().zip(&weighted) {
            *mean += w / variance * surprise;
        }
        for a in 0..size {
            for b in 0..size {
                self.spread[a * size + b] -= weighted[a] * weighted[b] / variance;
            }
        }
    }

    pub(crate) fn effect(&self, at: usize) -> Effect {
        let size = self.means.len();
        Effect {
            mean: self.means[at],
            uncertainty: self.spread[at * size + at].max(0.0).sqrt(),
        }
    }

    /// Product of the covariance and `row`.
    fn weigh(&self, row: &[f64]) -> Vec<f64> {
        let lines = self.spread.chunks_exact(self.means.len());
        let dot = |line: &[f64]| line.iter().zip(row).map(|(a, b)| a * b).sum();
        lines.map(dot).collect()
    }
}
