//! Least squares through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The size that was varied.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// A straight line through points, and how far they are from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Change of the value per unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest
    /// value.
    pub largest_error: f64,
}

/// Largest relative distance at which points still count as linear.
pub const LINEAR_ERROR: f64 = 0.15;

impl Line {
    /// The least-squares line; none for fewer than two sizes.
    pub fn through(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let together: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let slope = together / spread;
        let intercept = mean_value - slope * mean_size;
        let line = Self {
            intercept,
            slope,
            largest_error: 0.0,
        };
        Some(Self {
            largest_error: line.largest_error(points),
            ..line
        })
    }

    /// The line's value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Whether the points lie close enough to the line.
    pub fn is_linear(&self) -> bool {
        self.largest_error <= LINEAR_ERROR
    }

    fn largest_error(&self, points: &[Point]) -> f64 {
        let largest_value = points.iter().map(|one| one.value.abs()).fold(0.0, f64::max);
        if largest_value == 0.0 {
            return 0.0;
        }
        points
            .iter()
            .map(|point| (point.value - self.at(point.size)).abs() / largest_value)
            .fold(0.0, f64::max)
    }
}
