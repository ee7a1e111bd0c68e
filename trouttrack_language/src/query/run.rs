//! Running a query over rows.

use super::types::{Condition, Direction, Op, Query, Row};
use serde_json::Value;
use std::cmp::Ordering;

/// Selects, orders and cuts rows.
///
/// Values that are numbers on both sides compare as numbers, others as text.
/// A row without the field matches only `!=`, and is ordered last.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// use trouttrack_language::{parse, run, Command, Row};
/// let row = |n: u32| -> Row { json!({ "name": format!("e{n}"), "running": n }).as_object().unwrap().clone() };
/// let Command::Show(query) = parse("show upstreams where running > 9 order by running desc").unwrap() else { panic!() };
/// let rows = run(&query, (8..12).map(row).collect());
/// assert_eq!(rows[0]["name"], "e11");
/// assert_eq!(rows.len(), 2);
/// ```
#[must_use]
pub fn run(query: &Query, mut rows: Vec<Row>) -> Vec<Row> {
    rows.retain(|row| query.conditions.iter().all(|c| holds(c, row)));
    if let Some(order) = &query.order {
        rows.sort_by(|a, b| {
            let by_field = order_of(a.get(&order.field), b.get(&order.field));
            match order.direction {
                Direction::Ascending => by_field,
                Direction::Descending => by_field.reverse(),
            }
        });
    }
    if let Some(limit) = query.limit {
        rows.truncate(limit);
    }
    rows
}

fn text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Array(list) => list.iter().map(text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn holds(c: &Condition, row: &Row) -> bool {
    let Some(value) = row.get(&c.field).filter(|v| !v.is_null()) else {
        return c.op == Op::NotEqual;
    };
    let ordering = compare(value, &c.value);
    match c.op {
        Op::Equal => ordering == Ordering::Equal,
        Op::NotEqual => ordering != Ordering::Equal,
        Op::Less => ordering == Ordering::Less,
        Op::AtMost => ordering != Ordering::Greater,
        Op::Greater => ordering == Ordering::Greater,
        Op::AtLeast => ordering != Ordering::Less,
        Op::Contains => text(value).contains(&c.value),
    }
}

fn compare(value: &Value, with: &str) -> Ordering {
    match (value.as_f64(), with.parse::<f64>()) {
        (Some(a), Ok(b)) => a.total_cmp(&b),
        _ => text(value).as_str().cmp(with),
    }
}

fn order_of(a: Option<&Value>, b: Option<&Value>) -> Ordering {
    match (a, b) {
        (None, None) => Ordering::Equal,
        (None, Some(_)) => Ordering::Greater,
        (Some(_), None) => Ordering::Less,
        (Some(a), Some(b)) => match (a.as_f64(), b.as_f64()) {
            (Some(a), Some(b)) => a.total_cmp(&b),
            _ => text(a).cmp(&text(b)),
        },
    }
}
