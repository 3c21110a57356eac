//! Linear regression through measured points, and percentiles.

use std::time::Duration;

use jzon::JsonValue;

/// A least squares line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// The largest distance of a point from the line, relative to the largest value.
    pub residual: f64,
}

/// The largest residual of points that count as a straight line.
pub const MAX_STRAIGHT_RESIDUAL: f64 = 0.05;

impl Fit {
    /// Fits a line to the points; none if they have fewer than two distinct x values.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let slope = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum::<f64>()
            / spread;
        let intercept = mean_y - slope * mean_x;
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let distance = points
            .iter()
            .map(|point| (point.1 - intercept - slope * point.0).abs())
            .fold(0.0, f64::max);
        let residual = if largest == 0.0 {
            0.0
        } else {
            distance / largest
        };
        Some(Self {
            slope,
            intercept,
            residual,
        })
    }

    /// Returns whether the points are close enough to the line to call the relation linear.
    pub fn is_straight(&self) -> bool {
        self.residual <= MAX_STRAIGHT_RESIDUAL
    }

    pub fn json(&self) -> JsonValue {
        jzon::object! {
            slope: self.slope,
            intercept: self.intercept,
            residual: self.residual,
            straight: self.is_straight(),
        }
    }
}

/// Returns a percentile of the values (nearest rank); none if there are no values.
pub fn percentile(values: &[Duration], percent: usize) -> Option<Duration> {
    let mut sorted = values.to_vec();
    sorted.sort();
    let index = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(index).copied()
}
