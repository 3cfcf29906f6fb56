//! Prints answers as JSON or as tables.

use serde_json::Map;
use serde_json::Value;

/// Columns and fields that are printed first.
const FIRST_FIELDS: [&str; 2] = ["id", "name"];
/// Column or field that is printed last.
const LAST_FIELD: &str = "version";

/// Prints an answer: as JSON, or as a table of its objects followed by its other fields.
pub fn answer(value: &Value, json: bool) {
    if json {
        println!("{value:#}");
        return;
    }
    let Some(map) = value.as_object() else {
        println!("{value}");
        return;
    };
    let mut rest = map.clone();
    if let Some(Value::Array(rows)) = rest.remove("objects") {
        print!("{}", format_table(&rows));
    }
    if let Some(Value::Object(object)) = rest.remove("object") {
        print!("{}", format_fields(&object));
    }
    rest.retain(|_, v| !v.is_null());
    if map.contains_key("object") || map.contains_key("objects") {
        println!();
    }
    print!("{}", format_fields(&rest));
}

fn sort_key(name: &str) -> (usize, &str) {
    match FIRST_FIELDS.iter().position(|f| *f == name) {
        Some(position) => (position, name),
        None if name == LAST_FIELD => (FIRST_FIELDS.len() + 1, name),
        None => (FIRST_FIELDS.len(), name),
    }
}

fn sorted_names(map: &Map<String, Value>) -> Vec<&String> {
    let mut names: Vec<&String> = map.keys().collect();
    names.sort_by_key(|n| sort_key(n));
    names
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(s) => s.clone(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        Value::Array(items) => items.iter().map(format_value).collect::<Vec<_>>().join(" "),
        Value::Object(map) => match (map.get("acknowledged"), map.get("of")) {
            (Some(acknowledged), Some(of)) => format!("{acknowledged} of {of} VMs"),
            _ => {
                let part = |n: &String| format!("{n} {}", format_value(&map[n]));
                sorted_names(map)
                    .into_iter()
                    .map(part)
                    .collect::<Vec<_>>()
                    .join(", ")
            }
        },
        Value::Number(n) => n.to_string(),
    }
}

fn format_fields(map: &Map<String, Value>) -> String {
    let width = map.keys().map(String::len).max().unwrap_or(0);
    sorted_names(map)
        .into_iter()
        .map(|n| format!("{n:width$}  {}\n", format_value(&map[n])))
        .collect()
}

fn format_table(rows: &[Value]) -> String {
    let rows: Vec<&Map<String, Value>> = rows.iter().filter_map(Value::as_object).collect();
    let Some(first) = rows.first() else {
        return "(none)\n".into();
    };
    let names = sorted_names(first);
    let mut cells = vec![names.iter().map(|n| n.to_uppercase()).collect::<Vec<_>>()];
    for row in rows {
        let cell = |n: &&String| row.get(*n).map(format_value).unwrap_or_default();
        cells.push(names.iter().map(cell).collect());
    }
    let width = |column: usize| cells.iter().map(|c| c[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..names.len()).map(width).collect();
    let mut out = String::new();
    for row in &cells {
        let padded: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        out.push_str(padded.join("  ").trim_end());
        out.push('\n');
    }
    out
}
