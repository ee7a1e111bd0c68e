//! Rows as an aligned table.

use serde_json::Value;
use std::fmt::Write as _;
use trouttrack_language::Row;

/// Columns that come first where they exist.
const FIRST: &[&str] = &["name", "id", "version", "entity"];
const GAP: &str = "  ";

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(s)) if s.is_empty() => "-".to_owned(),
        Some(Value::String(s)) => s.clone(),
        Some(Value::Bool(b)) => if *b { "yes" } else { "no" }.to_owned(),
        Some(Value::Array(list)) => {
            let cells: Vec<String> = list.iter().map(|v| cell(Some(v))).collect();
            cells.join(",")
        }
        Some(Value::Object(map)) => {
            let cells: Vec<String> = map.values().map(|v| cell(Some(v))).collect();
            cells.join(":")
        }
        Some(other) => other.to_string(),
    }
}

fn columns(rows: &[Row]) -> Vec<String> {
    let mut columns: Vec<String> = Vec::new();
    for key in rows.iter().flat_map(Row::keys) {
        if !columns.contains(key) {
            columns.push(key.clone());
        }
    }
    let rank = |c: &String| FIRST.iter().position(|f| f == c).unwrap_or(FIRST.len());
    columns.sort_by_key(rank);
    columns
}

/// Lays rows out as text.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// use trouttrackctl::output::table;
/// let row = json!({ "running": 3, "name": "e1" }).as_object().unwrap().clone();
/// assert_eq!(table(&[row]), "NAME  RUNNING\ne1    3\n(1 row)\n");
/// ```
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let columns = columns(rows);
    let head: Vec<String> = columns.iter().map(|c| c.to_uppercase()).collect();
    let mut lines: Vec<Vec<String>> = Vec::new();
    if !rows.is_empty() {
        lines.push(head);
    }
    for row in rows {
        lines.push(columns.iter().map(|c| cell(row.get(c))).collect());
    }
    let width = |i: usize| lines.iter().map(|l| l[i].chars().count()).max();
    let widths: Vec<usize> = (0..columns.len()).map(|i| width(i).unwrap_or(0)).collect();
    let mut out = String::new();
    for line in &lines {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(text, width)| format!("{text:<width$}"))
            .collect();
        let _ = writeln!(out, "{}", cells.join(GAP).trim_end());
    }
    let noun = if rows.len() == 1 { "row" } else { "rows" };
    let _ = writeln!(out, "({} {noun})", rows.len());
    out
}
