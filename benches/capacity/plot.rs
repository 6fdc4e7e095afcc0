//! Plots one chart for each given slope.

use plotters::prelude::*;

use crate::fit::Slope;

const PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/plots/capacity.svg");
const COLUMNS: usize = 3;
/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (340, 240);

pub fn draw(slopes: &[&Slope]) {
    let rows = slopes.len().div_ceil(COLUMNS);
    let size = (CHART_SIZE.0 * COLUMNS as u32, CHART_SIZE.1 * rows as u32);
    let root = SVGBackend::new(PATH, size).into_drawing_area();
    root.fill(&WHITE).unwrap();
    for (area, slope) in root.split_evenly((rows, COLUMNS)).iter().zip(slopes) {
        let (first, last) = (slope.points[0].0, slope.points[slope.points.len() - 1].0);
        let highest = slope.points.iter().map(|it| it.1).fold(f64::MIN_POSITIVE, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{}, {}", slope.name, slope.unit), ("sans-serif", 13))
            .margin(8)
            .x_label_area_size(26)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..last * 1.05, 0.0..highest * 1.1)
            .unwrap();
        chart.configure_mesh().disable_mesh().x_desc(slope.over).draw().unwrap();
        let fitted = [first, last].map(|it| (it, slope.at(it)));
        chart.draw_series(LineSeries::new(fitted, BLUE.stroke_width(1))).unwrap();
        let dots = slope.points.iter().map(|it| Circle::new(*it, 3, BLUE.filled()));
        chart.draw_series(dots).unwrap();
    }
    root.present().unwrap();
}
