//! Least-squares fits of measured points.

/// Measured values of one quantity at several sizes.
pub struct Slope {
    pub name: &'static str,
    pub over: &'static str,
    pub unit: &'static str,
    pub points: Vec<(f64, f64)>,
}

/// A line fitted to the points, and the exponent of a power law fitted to them.
pub struct Fit {
    pub base: f64,
    pub rate: f64,
    pub exponent: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl Slope {
    pub fn new(name: &'static str, over: &'static str, unit: &'static str) -> Slope {
        Slope { name, over, unit, points: Vec::new() }
    }

    pub fn fit(&self) -> Fit {
        let (base, rate) = fit_line(&self.points);
        let logs: Vec<(f64, f64)> =
            self.points.iter().filter(|it| it.1 > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
        let (_, exponent) = fit_line(&logs);
        let largest = self.points.iter().map(|it| it.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |(x, y): &(f64, f64)| (y - base - rate * x).abs();
        let residual = self.points.iter().map(distance).fold(0.0, f64::max) / largest;
        Fit { base, rate, exponent, residual }
    }

    /// The fitted value at `size`, which may lie outside the measured range.
    pub fn at(&self, size: f64) -> f64 {
        let fit = self.fit();
        fit.base + fit.rate * size
    }

    pub fn print(&self) {
        let fit = self.fit();
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.4}")).collect();
        println!(
            "{:<44} {:<10} {:<9} {} | {:.4} + {:.6} x, exponent {:.2}, residual {:.1}%",
            self.name,
            self.over,
            self.unit,
            points.join(", "),
            fit.base,
            fit.rate,
            fit.exponent,
            fit.residual * 100.0
        );
    }
}

/// The intercept and the slope of the least-squares line.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let rate = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - rate * mean_x, rate)
}
