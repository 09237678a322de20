//! Linear Kalman filter with a full covariance matrix.

use super::Effect;

/// Standard deviations to which the deviation of a measurement from its prediction is
/// clamped, so that outliers have a limited influence.
const MAX_INNOVATION_DEVIATIONS: f64 = 3.0;

/// Estimates the coefficients of one linear model, which may drift over time.
#[derive(Debug)]
pub(crate) struct KalmanFilter {
    means: Vec<f64>,
    /// Variance added to each coefficient per forgetting time.
    drift_variances: Vec<f64>,
    /// Covariance matrix of the coefficients, in row-major order.
    covariance: Vec<f64>,
    /// Variance of the measurements.
    noise_variance: f64,
}

impl KalmanFilter {
    /// Creates a filter without coefficients; `std_dev` is that of the measurements.
    pub(crate) fn new(std_dev: f64) -> Self {
        Self {
            means: Vec::new(),
            drift_variances: Vec::new(),
            covariance: Vec::new(),
            noise_variance: std_dev * std_dev,
        }
    }

    /// Adds a coefficient with its prior mean and standard deviation; `drift` is the
    /// standard deviation of its change per forgetting time.
    pub(crate) fn add_coefficient(&mut self, mean: f64, std_dev: f64, drift: f64) {
        let old_size = self.means.len();
        let size = old_size + 1;
        let mut covariance = vec![0.0; size * size];
        for row in 0..old_size {
            let from = &self.covariance[row * old_size..(row + 1) * old_size];
            covariance[row * size..row * size + old_size].copy_from_slice(from);
        }
        covariance[size * size - 1] = std_dev * std_dev;
        self.means.push(mean);
        self.drift_variances.push(drift * drift);
        self.covariance = covariance;
    }

    /// Increases each variance by `fraction` of the coefficient's drift variance, up to the
    /// drift variance.
    pub(crate) fn add_drift(&mut self, fraction: f64) {
        for index in 0..self.means.len() {
            let drift = self.drift_variances[index];
            self.inflate_variance(index, drift * fraction, drift);
        }
    }

    /// Increases the variance of one coefficient by `variance`, up to `max`.
    pub(crate) fn inflate_variance(&mut self, index: usize, variance: f64, max: f64) {
        let size = self.means.len();
        let current = &mut self.covariance[index * size + index];
        *current = (*current + variance).min(max.max(*current));
    }

    /// Replaces one coefficient by a new one, uncorrelated with the others.
    pub(crate) fn reset_coefficient(&mut self, index: usize, mean: f64, std_dev: f64) {
        let size = self.means.len();
        for other in 0..size {
            self.covariance[index * size + other] = 0.0;
            self.covariance[other * size + index] = 0.0;
        }
        self.covariance[index * size + index] = std_dev * std_dev;
        self.means[index] = mean;
    }

    /// Number of coefficients.
    pub(crate) fn len(&self) -> usize {
        self.means.len()
    }

    /// Measurement expected for the row `row` of the observation matrix.
    pub(crate) fn predict(&self, row: &[f64]) -> f64 {
        row.iter().zip(&self.means).map(|(x, mean)| x * mean).sum()
    }

    /// Updates the coefficients with one measurement.
    pub(crate) fn update(&mut self, row: &[f64], measured: f64) {
        let size = self.means.len();
        let cross_covariance = self.covariance_times(row);
        let prediction_variance: f64 = row.iter().zip(&cross_covariance).map(|(x, w)| x * w).sum();
        let variance = prediction_variance + self.noise_variance;
        let limit = MAX_INNOVATION_DEVIATIONS * variance.sqrt();
        let innovation = (measured - self.predict(row)).clamp(-limit, limit);
        for (mean, w) in self.means.iter_mut().zip(&cross_covariance) {
            *mean += w / variance * innovation;
        }
        for a in 0..size {
            for b in 0..size {
                self.covariance[a * size + b] -=
                    cross_covariance[a] * cross_covariance[b] / variance;
            }
        }
    }

    /// Mean and standard deviation of one coefficient.
    pub(crate) fn effect(&self, index: usize) -> Effect {
        let size = self.means.len();
        Effect {
            mean: self.means[index],
            uncertainty: self.covariance[index * size + index].max(0.0).sqrt(),
        }
    }

    /// Product of the covariance matrix and `row`.
    fn covariance_times(&self, row: &[f64]) -> Vec<f64> {
        let matrix_rows = self.covariance.chunks_exact(self.means.len());
        let dot = |matrix_row: &[f64]| matrix_row.iter().zip(row).map(|(a, b)| a * b).sum();
        matrix_rows.map(dot).collect()
    }
}
