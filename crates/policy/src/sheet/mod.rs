//! The parser of the sheet, a CSV table that holds the configuration of the fleet.
//!
//! One pass reports all faults of a sheet by line, and a sheet with any fault is
//! rejected entirely. The format is described in
//! [docs/SHEET.md](../../../../docs/SHEET.md).

use std::collections::{HashMap, HashSet};
use std::fmt;

pub mod row;

pub use row::{EngineTerms, Kind, Role, Row, Warming};

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

/// The maximum difference between 1 and the sum of all shares.
const SHARE_TOLERANCE: f64 = 1e-6;
/// The maximum length of a name.
const MAX_NAME_BYTES: usize = 100;

/// One fault of a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line of the file, counted from 1; the header is line 1.
    pub line: u64,
    /// What is wrong, with the name of the column if one cell is the cause.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for Fault {}

/// Parses an exported sheet, or returns all its faults in order of their lines.
///
/// The cells are separated by commas or semicolons; a UTF-8 byte order mark is skipped.
pub fn parse(bytes: &[u8]) -> Result<Vec<Row>, Vec<Fault>> {
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    let text = std::str::from_utf8(bytes).map_err(|error| vec![encoding_fault(bytes, &error)])?;
    let delimiter = detect_delimiter(text);
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(delimiter)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let header = read_header(&mut reader).map_err(|fault| vec![fault])?;
    let mut table = Table { has_decimal_comma: delimiter == b';', ..Table::default() };
    for record in reader.records() {
        match record {
            Ok(record) => table.add_record(&header, &record),
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

fn encoding_fault(bytes: &[u8], error: &std::str::Utf8Error) -> Fault {
    let before = &bytes[..error.valid_up_to()];
    let line = before.iter().filter(|byte| **byte == b'\n').count() as u64 + 1;
    Fault { line, reason: "the file is not valid UTF-8; export it as UTF-8".to_owned() }
}

/// Detects the delimiter from the header line.
///
/// Spreadsheet programs write semicolons in locales whose decimal separator is the comma.
fn detect_delimiter(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or("");
    if header.matches(';').count() > header.matches(',').count() { b';' } else { b',' }
}

type Reader<'a> = csv::Reader<&'a [u8]>;

/// Reads the header line into the index of each named column.
fn read_header(reader: &mut Reader<'_>) -> Result<HashMap<String, usize>, Fault> {
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
            return Err(Fault { line: 1, reason: format!("duplicate column {name:?}") });
        }
    }
    for required in ["record", "name"] {
        if !header.contains_key(required) {
            let reason = format!("the header has no column {required:?}");
            return Err(Fault { line: 1, reason });
        }
    }
    Ok(header)
}

/// The cells of one record, by column name.
struct Cells<'a> {
    header: &'a HashMap<String, usize>,
    record: &'a csv::StringRecord,
    /// Whether numbers may be written with a decimal comma.
    has_decimal_comma: bool,
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
        let is_allowed = |c: char| c.is_alphanumeric() || "-_.".contains(c);
        if !name.chars().all(is_allowed) {
            let allowed = "letters, digits, '-', '_' and '.'";
            return Err(format!("column {column:?}: invalid name {name:?}; allowed are {allowed}"));
        }
        Ok(name.to_owned())
    }

    fn number(&self, column: &str) -> Result<f64, String> {
        let text = self.text(column)?;
        let decimal = if self.has_decimal_comma { text.replace(',', ".") } else { text.to_owned() };
        let number = decimal.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
        number.ok_or_else(|| format!("column {column:?}: {text:?} is not a non-negative number"))
    }

    fn flag(&self, column: &str) -> Result<bool, String> {
        match self.text(column).unwrap_or("no").to_ascii_lowercase().as_str() {
            "yes" | "true" | "1" => Ok(true),
            "no" | "false" | "0" => Ok(false),
            other => Err(format!(
                "column {column:?}: {other:?} is not one of yes, true, 1, no, false, 0"
            )),
        }
    }
}

/// Checks for a record that the CSV reader accepts but that must be damaged.
///
/// An unbalanced quote turns several lines into one cell and would lose their records.
fn layout_fault(header: &HashMap<String, usize>, record: &csv::StringRecord) -> Option<String> {
    if record.iter().any(|cell| cell.contains(['\n', '\r'])) {
        return Some("a quoted cell spans several lines; the quotes may be unbalanced".to_owned());
    }
    let last = header.values().max().copied().unwrap_or(0);
    let extra = record.iter().skip(last + 1).find(|cell| !cell.is_empty())?;
    Some(format!("cell {extra:?} is beyond the last named column"))
}

/// The rows and faults found so far.
#[derive(Default)]
struct Table {
    has_decimal_comma: bool,
    rows: Vec<Row>,
    /// The line of each row in `rows`.
    lines: Vec<u64>,
    /// The line of each row identity.
    identities: HashMap<String, u64>,
    faults: Vec<Fault>,
}

impl Table {
    fn add_record(&mut self, header: &HashMap<String, usize>, record: &csv::StringRecord) {
        if record.iter().all(str::is_empty) {
            return;
        }
        let line = record.position().map_or(0, csv::Position::line);
        if let Some(reason) = layout_fault(header, record) {
            return self.faults.push(Fault { line, reason });
        }
        let cells = Cells { header, record, has_decimal_comma: self.has_decimal_comma };
        let row = match parse_row(&cells) {
            Ok(row) => row,
            Err(reason) => return self.faults.push(Fault { line, reason }),
        };
        if let Some(earlier) = self.identities.insert(row.identity(), line) {
            let reason = format!("{} is already defined in line {earlier}", row.identity());
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
            for reference in references(row) {
                if !known.contains(&reference) {
                    faults.push(Fault {
                        line: *line,
                        reason: format!("{reference} is not defined in the sheet"),
                    });
                }
            }
            let Row::Upstream { service, role, .. } = row else {
                continue;
            };
            let kind = kinds.get(service.as_str()).copied();
            if kind.is_some_and(|kind| (kind == Kind::Plain) != (*role == Role::Plain)) {
                let reason = format!(
                    "column \"kind\" must be plain exactly if service {service:?} is plain"
                );
                faults.push(Fault { line: *line, reason });
            }
        }
        self.faults.append(&mut faults);
    }

    fn check_shares(&mut self) {
        let mut sum = 0.0;
        let mut last_line = 1;
        for (row, line) in self.rows.iter().zip(&self.lines) {
            if let Row::Domain { share, .. } = row {
                sum += share;
                last_line = *line;
            }
        }
        if (sum - 1.0).abs() > SHARE_TOLERANCE && self.faults.is_empty() {
            let reason = format!("the shares of all domains sum to {sum}, not to 1");
            self.faults.push(Fault { line: last_line, reason });
        }
    }
}

fn service_kind(row: &Row) -> Option<(&str, Kind)> {
    match row {
        Row::Service { name, kind, .. } => Some((name, *kind)),
        _ => None,
    }
}

/// The identities of the rows that `row` refers to.
fn references(row: &Row) -> Vec<String> {
    match row {
        Row::Upstream { service, domain, .. } => {
            vec![format!("service {service}"), format!("domain {domain}")]
        }
        Row::Grant { team, service } => vec![format!("team {team}"), format!("service {service}")],
        _ => Vec::new(),
    }
}

fn parse_row(cells: &Cells<'_>) -> Result<Row, String> {
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
            warming: None,
        }),
        "upstream" => parse_upstream(cells),
        "grant" => Ok(Row::Grant { team: cells.name("name")?, service: cells.name("service")? }),
        other => {
            let known = "domain, team, service, upstream, grant";
            Err(format!("column \"record\": {other:?} is not one of {known}"))
        }
    }
}

fn parse_upstream(cells: &Cells<'_>) -> Result<Row, String> {
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
