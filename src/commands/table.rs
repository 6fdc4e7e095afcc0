//! Tables for people: columns padded to their longest cell.

/// Lays rows out under a head line.
pub fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&head.map(String::from), &widths);
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
