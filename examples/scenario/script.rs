//! The scenario language: one statement a line, `word word name=value ...`, `#` starts a comment.

use std::collections::BTreeMap;
use std::time::Duration;

use winnow::Parser;
use winnow::ascii::float;
use winnow::ascii::space0;
use winnow::ascii::space1;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::combinator::separated;
use winnow::combinator::separated_pair;
use winnow::combinator::terminated;
use winnow::error::ContextError;
use winnow::token::take_while;

/// A statement with its line in the file.
#[derive(Debug, Clone)]
pub(crate) struct Statement {
    pub(crate) line: usize,
    pub(crate) text: String,
    pub(crate) words: Vec<String>,
    pub(crate) options: Options,
}

/// The `name=value` parts of a statement.
#[derive(Debug, Clone, Default)]
pub(crate) struct Options(BTreeMap<String, String>);

enum Part {
    Word(String),
    Option(String, String),
}

impl Options {
    pub(crate) fn text<'a>(&'a self, name: &str, default: &'a str) -> &'a str {
        self.0.get(name).map_or(default, String::as_str)
    }

    pub(crate) fn number(&self, name: &str, default: u64) -> Result<u64, String> {
        let Some(text) = self.0.get(name) else {
            return Ok(default);
        };
        text.parse()
            .map_err(|_| format!("{name}={text} is not a whole number"))
    }

    pub(crate) fn duration(&self, name: &str, default: Duration) -> Result<Duration, String> {
        let Some(text) = self.0.get(name) else {
            return Ok(default);
        };
        // The error starts with the text of the value.
        duration(text).map_err(|e| format!("{name}={e}"))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
}

/// Parses a duration such as `250ms`, `3s` or `2m`.
pub(crate) fn duration(text: &str) -> Result<Duration, String> {
    let unit = alt(("ms".value(0.001), "s".value(1.0), "m".value(60.0)));
    let mut parser = (float::<_, f64, ContextError>, unit).map(|(n, unit): (f64, f64)| n * unit);
    let seconds = parser
        .parse(text)
        .map_err(|_| format!("{text} is not a duration such as 250ms, 3s or 2m"))?;
    Duration::try_from_secs_f64(seconds).map_err(|e| format!("{text}: {e}"))
}

fn token<'a>(input: &mut &'a str) -> Result<&'a str, ContextError> {
    take_while(1.., |c: char| !c.is_whitespace() && c != '=' && c != '#').parse_next(input)
}

fn part(input: &mut &str) -> Result<Part, ContextError> {
    let option = separated_pair(token, '=', token).map(|(n, v)| Part::Option(n.into(), v.into()));
    alt((option, token.map(|w| Part::Word(w.into())))).parse_next(input)
}

fn parts(input: &mut &str) -> Result<Vec<Part>, ContextError> {
    let comment = preceded('#', repeat::<_, _, (), _, _>(0.., winnow::token::any));
    let list = separated(0.., part, space1);
    preceded(space0, terminated(list, (space0, opt(comment)))).parse_next(input)
}

/// Parses a file; the error names the first line that is not a statement.
pub(crate) fn parse(text: &str) -> Result<Vec<Statement>, String> {
    let mut statements = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let list = parts.parse(line).map_err(|_| {
            format!(
                "line {}: not of the form `word word name=value ...`: {line}",
                n + 1
            )
        })?;
        let mut statement = Statement {
            line: n + 1,
            text: line.trim().into(),
            words: Vec::new(),
            options: Options::default(),
        };
        for part in list {
            match part {
                Part::Word(word) => statement.words.push(word),
                Part::Option(name, value) => {
                    statement.options.0.insert(name, value);
                }
            }
        }
        if !statement.words.is_empty() {
            statements.push(statement);
        }
    }
    Ok(statements)
}
