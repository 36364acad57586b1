//! Aligned columns.

/// Formats rows with columns of equal width; the last column is not padded.
pub(super) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| {
        rows.iter()
            .filter_map(|r| r.get(c))
            .map(|s| s.chars().count())
            .max()
    };
    let widths: Vec<_> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    let mut out = String::new();
    for row in rows {
        let line: Vec<_> = row
            .iter()
            .zip(&widths)
            .map(|(cell, w)| format!("{cell:w$}"))
            .collect();
        out += line.join("  ").trim_end();
        out.push('\n');
    }
    out
}
