//! The planners' sheet: a CSV table that is the fleet's configuration.
//!
//! All faults of a sheet are found in one pass and named by row, and a sheet
//! with a fault is not used at all. The format is described in
//! [docs/SHEET.md](../../../../docs/SHEET.md).

use std::collections::{HashMap, HashSet};
use std::fmt;

pub mod row;

pub use row::{EngineTerms, Kind, Role, Row};

/// The columns that a sheet may have, in any order.
pub const COLUMNS: [&str; 12] = [
    "record",
    "name",
    "share",
    "rate",
    "burst",
    "service",
    "domain",
    "kind",
    "open",
    "repeatable",
    "address",
    "fenced",
];

/// How far the sum of all shares may be from 1.
const SHARE_TOLERANCE: f64 = 1e-6;
/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// One fault of a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line of the file, from 1; the header is line 1.
    pub line: u64,
    /// What is wrong, with the column where one is to blame.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for Fault {}

/// Reads a sheet as exported, or lists all its faults in order of line.
pub fn parse(bytes: &[u8]) -> Result<Vec<Row>, Vec<Fault>> {
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    let text = std::str::from_utf8(bytes).map_err(|error| vec![not_utf8(bytes, &error)])?;
    let delimiter = delimiter(text);
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(delimiter)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let header = header(&mut reader).map_err(|fault| vec![fault])?;
    let mut table = Table { decimal_comma: delimiter == b';', ..Table::default() };
    for record in reader.records() {
        match record {
            Ok(record) => table.read(&header, &record),
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                table.faults.push(Fault { line, reason: error.to_string() });
            }
        }
    }
    table.check_references();
    table.check_shares();
    if table.faults.is_empty() {
        return Ok(table.rows);
    }
    table.faults.sort_by_key(|fault| fault.line);
    Err(table.faults)
}

fn not_utf8(bytes: &[u8], error: &std::str::Utf8Error) -> Fault {
    let before = &bytes[..error.valid_up_to()];
    let line = before.iter().filter(|byte| **byte == b'\n').count() as u64 + 1;
    Fault { line, reason: "the file is not UTF-8; export it again as UTF-8".to_owned() }
}

/// Semicolons are what planners' tools write where the comma is the decimal sign.
fn delimiter(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or("");
    if header.matches(';').count() > header.matches(',').count() { b';' } else { b',' }
}

type Reader<'a> = csv::Reader<&'a [u8]>;

fn header(reader: &mut Reader<'_>) -> Result<HashMap<String, usize>, Fault> {
    let record = reader.headers().map_err(|error| Fault { line: 1, reason: error.to_string() })?;
    let mut header = HashMap::new();
    for (index, name) in record.iter().enumerate() {
        let name = name.to_ascii_lowercase();
        if !name.is_empty() && !COLUMNS.contains(&name.as_str()) {
            let known = COLUMNS.join(", ");
            let reason = format!("unknown column {name:?}; the columns are {known}");
            return Err(Fault { line: 1, reason });
        }
        if !name.is_empty() && header.insert(name.clone(), index).is_some() {
            return Err(Fault { line: 1, reason: format!("column {name:?} stands twice") });
        }
    }
    for needed in ["record", "name"] {
        if !header.contains_key(needed) {
            let reason = format!("the header line lacks the column {needed:?}");
            return Err(Fault { line: 1, reason });
        }
    }
    Ok(header)
}

/// One record with its columns by name.
struct Cells<'a> {
    header: &'a HashMap<String, usize>,
    record: &'a csv::StringRecord,
    decimal_comma: bool,
}

impl<'a> Cells<'a> {
    fn text(&self, column: &str) -> Result<&'a str, String> {
        let cell = self.header.get(column).and_then(|index| self.record.get(*index));
        match cell {
            Some(cell) if !cell.is_empty() => Ok(cell),
            _ => Err(format!("column {column:?} is empty")),
        }
    }

    fn name(&self, column: &str) -> Result<String, String> {
        let name = self.text(column)?;
        if name.len() > MAX_NAME_BYTES {
            return Err(format!("column {column:?} is longer than {MAX_NAME_BYTES} bytes"));
        }
        let legal = |c: char| c.is_alphanumeric() || "-_.".contains(c);
        if !name.chars().all(legal) {
            let reason = "letters, digits, '-', '_' and '.' are allowed";
            return Err(format!("column {column:?}: {name:?} is not a name ({reason})"));
        }
        Ok(name.to_owned())
    }

    fn number(&self, column: &str) -> Result<f64, String> {
        let text = self.text(column)?;
        let plain = if self.decimal_comma { text.replace(',', ".") } else { text.to_owned() };
        let number = plain.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
        number.ok_or_else(|| format!("column {column:?}: {text:?} is not a number from 0 up"))
    }

    fn flag(&self, column: &str) -> Result<bool, String> {
        match self.text(column).unwrap_or("no").to_ascii_lowercase().as_str() {
            "yes" | "true" | "1" => Ok(true),
            "no" | "false" | "0" => Ok(false),
            other => Err(format!("column {column:?}: {other:?} is neither yes nor no")),
        }
    }
}

/// Why a record cannot be what the planners meant, if so.
///
/// A stray quote makes one cell of several lines, whose records would be lost.
fn misread(header: &HashMap<String, usize>, record: &csv::StringRecord) -> Option<String> {
    if record.iter().any(|cell| cell.contains(['\n', '\r'])) {
        return Some(
            "a quoted cell spans several lines; a quote is missing or too many".to_owned(),
        );
    }
    let last = header.values().max().copied().unwrap_or(0);
    let beyond = record.iter().skip(last + 1).find(|cell| !cell.is_empty())?;
    Some(format!("the cell {beyond:?} stands beyond the last named column"))
}

#[derive(Default)]
struct Table {
    decimal_comma: bool,
    rows: Vec<Row>,
    lines: Vec<u64>,
    identities: HashMap<String, u64>,
    faults: Vec<Fault>,
}

impl Table {
    fn read(&mut self, header: &HashMap<String, usize>, record: &csv::StringRecord) {
        if record.iter().all(str::is_empty) {
            return;
        }
        let line = record.position().map_or(0, csv::Position::line);
        if let Some(reason) = misread(header, record) {
            return self.faults.push(Fault { line, reason });
        }
        let cells = Cells { header, record, decimal_comma: self.decimal_comma };
        let row = match row(&cells) {
            Ok(row) => row,
            Err(reason) => return self.faults.push(Fault { line, reason }),
        };
        if let Some(first) = self.identities.insert(row.identity(), line) {
            let reason = format!("{} stands already in line {first}", row.identity());
            self.faults.push(Fault { line, reason });
        }
        self.rows.push(row);
        self.lines.push(line);
    }

    fn check_references(&mut self) {
        let known: HashSet<&String> = self.identities.keys().collect();
        let kinds: HashMap<&str, Kind> = self.rows.iter().filter_map(service_kind).collect();
        let mut faults = Vec::new();
        for (row, line) in self.rows.iter().zip(&self.lines) {
            for wanted in references(row) {
                if !known.contains(&wanted) {
                    faults.push(Fault { line: *line, reason: format!("there is no {wanted}") });
                }
            }
            let Row::Upstream { service, role, .. } = row else {
                continue;
            };
            let kind = kinds.get(service.as_str()).copied();
            if kind.is_some_and(|kind| (kind == Kind::Plain) != (*role == Role::Plain)) {
                let reason = "column \"kind\" does not fit the kind of the service".to_owned();
                faults.push(Fault { line: *line, reason });
            }
        }
        self.faults.append(&mut faults);
    }

    fn check_shares(&mut self) {
        let mut shares = 0.0;
        let mut last = 1;
        for (row, line) in self.rows.iter().zip(&self.lines) {
            if let Row::Domain { share, .. } = row {
                shares += share;
                last = *line;
            }
        }
        if (shares - 1.0).abs() > SHARE_TOLERANCE && self.faults.is_empty() {
            let reason = format!("the shares of all domains sum to {shares}, not to 1");
            self.faults.push(Fault { line: last, reason });
        }
    }
}

fn service_kind(row: &Row) -> Option<(&str, Kind)> {
    match row {
        Row::Service { name, kind, .. } => Some((name, *kind)),
        _ => None,
    }
}

fn references(row: &Row) -> Vec<String> {
    match row {
        Row::Upstream { service, domain, .. } => {
            vec![format!("service {service}"), format!("domain {domain}")]
        }
        Row::Grant { team, service } => vec![format!("team {team}"), format!("service {service}")],
        _ => Vec::new(),
    }
}

fn row(cells: &Cells<'_>) -> Result<Row, String> {
    match cells.text("record")?.to_ascii_lowercase().as_str() {
        "domain" => Ok(Row::Domain { name: cells.name("name")?, share: cells.number("share")? }),
        "team" => Ok(Row::Team {
            name: cells.name("name")?,
            rate: cells.number("rate")?,
            burst: cells.number("burst")?,
        }),
        "service" => Ok(Row::Service {
            name: cells.name("name")?,
            kind: match cells.text("kind")? {
                "model" => Kind::Model,
                "plain" => Kind::Plain,
                other => return Err(format!("column \"kind\": {other:?} is not model or plain")),
            },
            open: cells.flag("open")?,
            repeatable: cells.flag("repeatable")?,
        }),
        "upstream" => upstream(cells),
        "grant" => Ok(Row::Grant { team: cells.name("name")?, service: cells.name("service")? }),
        other => {
            let known = "domain, team, service, upstream, grant";
            Err(format!("column \"record\": {other:?} is not one of {known}"))
        }
    }
}

fn upstream(cells: &Cells<'_>) -> Result<Row, String> {
    let role = match cells.text("kind")? {
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        "both" => Role::Both,
        "plain" => Role::Plain,
        other => {
            let known = "prefill, decode, both, plain";
            return Err(format!("column \"kind\": {other:?} is not one of {known}"));
        }
    };
    let address = cells.text("address")?;
    if address.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("column \"address\": {address:?} is not IP:PORT"));
    }
    Ok(Row::Upstream {
        name: cells.name("name")?,
        service: cells.name("service")?,
        domain: cells.name("domain")?,
        role,
        address: address.to_owned(),
        fenced: cells.flag("fenced")?,
    })
}
