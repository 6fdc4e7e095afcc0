//! Plots the 99th percentile of the time to first token over the load.

use plotters::prelude::*;

use crate::{deployment::Fault, table::Row};

const PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/plots/routing.svg");

pub fn draw(rows: &[Row]) {
    let root = SVGBackend::new(PATH, (900, 400)).into_drawing_area();
    root.fill(&WHITE).unwrap();
    let areas = root.split_evenly((1, 2));
    let mut names: Vec<&str> = rows.iter().map(|it| it.deployment.name).collect();
    names.dedup();
    for (area, name) in areas.iter().zip(names) {
        let steady = rows.iter().filter(|it| it.scenario.fault == Fault::None);
        let steady: Vec<&Row> = steady.filter(|it| it.deployment.name == name).collect();
        let highest = steady.iter().map(|it| it.naive.p99.max(it.real.p99)).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{name}: p99 to first token, s"), ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(45.0..125.0, 0.0..highest * 1.05)
            .unwrap();
        chart.configure_mesh().x_desc("load, %").draw().unwrap();
        let real: Vec<_> =
            steady.iter().map(|it| (it.scenario.load * 100.0, it.real.p99)).collect();
        let naive: Vec<_> =
            steady.iter().map(|it| (it.scenario.load * 100.0, it.naive.p99)).collect();
        for (line, label, color) in [(real, "router", BLUE), (naive, "naive", RED)] {
            let series = LineSeries::new(line, color.stroke_width(2)).point_size(3);
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
            chart.draw_series(series).unwrap().label(label).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).draw().unwrap();
    }
    root.present().unwrap();
}
