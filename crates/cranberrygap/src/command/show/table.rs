//! Tables for people, the same rows as JSON for programs.

use std::fmt;

use serde::Serialize;
use serde::ser::{SerializeMap as _, SerializeSeq as _, Serializer};

/// Spaces between columns.
const GAP: usize = 2;

/// Rows under named columns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    columns: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

/// One row with its column names, for JSON.
struct Row<'table> {
    columns: &'static [&'static str],
    cells: &'table [String],
}

impl Table {
    /// A table without rows.
    #[must_use]
    pub const fn new(columns: &'static [&'static str]) -> Self {
        Self {
            columns,
            rows: Vec::new(),
        }
    }

    /// Adds a row with a cell for each column.
    ///
    /// # Panics
    ///
    /// When the number of cells is not that of the columns.
    pub fn push(&mut self, cells: Vec<String>) {
        assert_eq!(cells.len(), self.columns.len(), "a cell for each column");
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
        let width = |place: usize| {
            let cells = self.rows.iter().map(|row| row[place].chars().count());
            cells.max().unwrap_or(0).max(self.columns[place].len())
        };
        (0..self.columns.len()).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        let titles = self.columns.iter().map(|column| column.to_uppercase());
        let titles: Vec<String> = titles.collect();
        for row in std::iter::once(&titles).chain(&self.rows) {
            let padded = row.iter().zip(&widths).map(|(cell, width)| {
                let width = width + GAP;
                format!("{cell:<width$}")
            });
            let line: String = padded.collect();
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

impl Serialize for Table {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut list = serializer.serialize_seq(Some(self.rows.len()))?;
        for cells in &self.rows {
            list.serialize_element(&Row {
                columns: self.columns,
                cells,
            })?;
        }
        list.end()
    }
}

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.columns.len()))?;
        for (column, cell) in self.columns.iter().zip(self.cells) {
            map.serialize_entry(column, cell)?;
        }
        map.end()
    }
}
