//! Answers as JSON or as tables.

use serde_json::Map;
use serde_json::Value;

/// Columns that come first, and one that comes last.
const FIRST: [&str; 2] = ["id", "name"];
const LAST: &str = "version";

/// Prints an answer.
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
        print!("{}", table(&rows));
    }
    if let Some(Value::Object(object)) = rest.remove("object") {
        print!("{}", lines(&object));
    }
    rest.retain(|_, v| !v.is_null());
    if map.contains_key("object") || map.contains_key("objects") {
        println!();
    }
    print!("{}", lines(&rest));
}

fn rank(name: &str) -> (usize, &str) {
    match FIRST.iter().position(|f| *f == name) {
        Some(place) => (place, name),
        None if name == LAST => (FIRST.len() + 1, name),
        None => (FIRST.len(), name),
    }
}

fn sorted(map: &Map<String, Value>) -> Vec<&String> {
    let mut names: Vec<&String> = map.keys().collect();
    names.sort_by_key(|n| rank(n));
    names
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(s) => s.clone(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        Value::Array(items) => items.iter().map(text).collect::<Vec<_>>().join(" "),
        Value::Object(map) => match (map.get("acknowledged"), map.get("of")) {
            (Some(held), Some(of)) => format!("{held} of {of} VMs"),
            _ => {
                let part = |n: &String| format!("{n} {}", text(&map[n]));
                sorted(map).into_iter().map(part).collect::<Vec<_>>().join(", ")
            }
        },
        Value::Number(n) => n.to_string(),
    }
}

fn lines(map: &Map<String, Value>) -> String {
    let width = map.keys().map(String::len).max().unwrap_or(0);
    sorted(map)
        .into_iter()
        .map(|n| format!("{n:width$}  {}\n", text(&map[n])))
        .collect()
}

fn table(rows: &[Value]) -> String {
    let rows: Vec<&Map<String, Value>> = rows.iter().filter_map(Value::as_object).collect();
    let Some(first) = rows.first() else {
        return "(none)\n".into();
    };
    let names = sorted(first);
    let mut cells = vec![names.iter().map(|n| n.to_uppercase()).collect::<Vec<_>>()];
    for row in rows {
        let cell = |n: &&String| row.get(*n).map(text).unwrap_or_default();
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
