//! What a query asks.

use crate::command::{Table, quoted};
use serde_json::{Map, Value};
use std::fmt;

/// One row: fields by name.
pub type Row = Map<String, Value>;

/// A comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
    /// `~`: contains
    Contains,
}

impl Op {
    /// Every comparison; the longer of two that begin alike first.
    pub const SIGNS: &[(Self, &str)] = &[
        (Self::NotEqual, "!="),
        (Self::AtMost, "<="),
        (Self::AtLeast, ">="),
        (Self::Equal, "="),
        (Self::Less, "<"),
        (Self::Greater, ">"),
        (Self::Contains, "~"),
    ];

    fn sign(self) -> &'static str {
        let found = Self::SIGNS.iter().find(|(op, _)| *op == self);
        found.map_or("", |(_, sign)| sign)
    }
}

/// `FIELD OP VALUE`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The field.
    pub field: String,
    /// How it is compared.
    pub op: Op,
    /// With what.
    pub value: String,
}

/// Which way rows are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Direction {
    /// Smallest first.
    #[default]
    Ascending,
    /// Largest first.
    Descending,
}

/// `order by FIELD`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The field.
    pub field: String,
    /// Which way.
    pub direction: Direction,
}

/// A query.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The table.
    pub table: Table,
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// The order, if given.
    pub order: Option<Order>,
    /// The most rows, if given.
    pub limit: Option<usize>,
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.table)?;
        for (i, c) in self.conditions.iter().enumerate() {
            let word = if i == 0 { "where" } else { "and" };
            write!(
                f,
                " {word} {} {} {}",
                c.field,
                c.op.sign(),
                quoted(&c.value)
            )?;
        }
        if let Some(order) = &self.order {
            write!(f, " order by {}", order.field)?;
            if order.direction == Direction::Descending {
                f.write_str(" desc")?;
            }
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        Ok(())
    }
}
