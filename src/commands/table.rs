//! Text tables whose columns are as wide as their longest cell.

/// Formats rows as text under a header line.
pub fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&header.map(String::from), &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line<const N: usize>(cells: &[String; N], widths: &[usize; N]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("{}\n", padded.join("  ").trim_end())
}
