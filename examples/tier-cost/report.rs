//! Prints measured values, with the load average at the time of each row.

use std::fmt::Write;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::system;

/// One measured case.
#[derive(Clone, Debug)]
struct CostRow {
    experiment: &'static str,
    case: String,
    values: Vec<(&'static str, f64)>,
    load_average: f64,
}

/// The rows of a run.
#[derive(Clone, Debug, Default)]
pub struct CostReport {
    rows: Vec<CostRow>,
}

impl CostReport {
    /// Prints a row as one line of JSON and keeps it for the table. The name of a value ends in
    /// its unit.
    pub fn add(
        &mut self,
        experiment: &'static str,
        case: impl Into<String>,
        values: &[(&'static str, f64)],
    ) {
        let load_average = system::load_average();
        let row = CostRow { experiment, case: case.into(), values: values.to_vec(), load_average };
        println!("{}", row.json());
        self.rows.push(row);
    }

    /// Prints that a case was not measured, with the reason.
    pub fn skip(&self, experiment: &str, case: &str, reason: &str) {
        println!("{}", json!({ "experiment": experiment, "case": case, "not_measured": reason }));
    }

    /// All rows as a human-readable table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let values: Vec<String> =
                row.values.iter().map(|(name, value)| format!("{name} {value:.3}")).collect();
            writeln!(
                text,
                "{:<10} {:<28} load {:>5.1}  {}",
                row.experiment,
                row.case,
                row.load_average,
                values.join("  ")
            )
            .expect("writing to a string never fails");
        }
        text
    }
}

impl CostRow {
    fn json(&self) -> Value {
        let mut fields = Map::new();
        fields.insert("experiment".into(), self.experiment.into());
        fields.insert("case".into(), self.case.clone().into());
        for (name, value) in &self.values {
            fields.insert((*name).into(), json!(value));
        }
        fields.insert("load_average".into(), json!(self.load_average));
        Value::Object(fields)
    }
}
