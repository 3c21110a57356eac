//! The operators' JSON: read by hand, with every fault named, and written back.

use crate::prelude::*;

pub const DEFAULT_BODY_LIMIT: u64 = 64 * 1024 * 1024;

/// Reads one object and remembers what is wrong with it.
pub struct Reader<'value> {
    path: String,
    value: &'value JsonValue,
    known: BTreeSet<&'static str>,
}

impl<'value> Reader<'value> {
    pub fn new(
        path: impl Into<String>,
        value: &'value JsonValue,
        faults: &mut Vec<Fault>,
    ) -> Option<Self> {
        let path = path.into();
        if !value.is_object() {
            faults.push(Fault::new(path, "must be an object"));
            return None;
        }
        Some(Self {
            path,
            value,
            known: BTreeSet::new(),
        })
    }

    fn field(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    pub fn get(&mut self, name: &'static str) -> Option<&'value JsonValue> {
        self.known.insert(name);
        let value = &self.value[name];
        (!value.is_null()).then_some(value)
    }

    pub fn text(&mut self, name: &'static str, faults: &mut Vec<Fault>) -> Option<String> {
        let value = self.get(name)?;
        let text = value.as_str();
        if text.is_none() {
            faults.push(Fault::new(self.field(name), "must be a string"));
        }
        text.map(str::to_string)
    }

    pub fn needed_text(&mut self, name: &'static str, faults: &mut Vec<Fault>) -> String {
        if self.get(name).is_none() {
            faults.push(Fault::new(self.field(name), "is missing"));
        }
        self.text(name, faults).unwrap_or_default()
    }

    pub fn number(&mut self, name: &'static str, faults: &mut Vec<Fault>) -> Option<u64> {
        let value = self.get(name)?;
        let number = value.as_u64();
        if number.is_none() {
            faults.push(Fault::new(
                self.field(name),
                "must be a whole number from 0 up",
            ));
        }
        number
    }

    /// A number with fractions, in thousandths.
    pub fn thousandths(
        &mut self,
        name: &'static str,
        otherwise: u32,
        faults: &mut Vec<Fault>,
    ) -> u32 {
        let Some(value) = self.get(name) else {
            return otherwise * 1000;
        };
        match value.as_f64().map(|number| (number * 1000.0).round()) {
            Some(number) if (0.0..=4_000_000_000.0).contains(&number) => number as u32,
            _ => {
                faults.push(Fault::new(self.field(name), "must be a number from 0 up"));
                otherwise * 1000
            }
        }
    }

    /// A list of texts.
    pub fn texts(&mut self, name: &'static str, faults: &mut Vec<Fault>) -> Vec<String> {
        let mut texts = Vec::new();
        for (place, item) in self.list(name, faults).iter().enumerate() {
            match item.as_str() {
                Some(text) => texts.push(text.to_string()),
                None => {
                    let field = format!("{}[{place}]", self.field(name));
                    faults.push(Fault::new(field, "must be a string"));
                }
            }
        }
        texts
    }

    pub fn small(&mut self, name: &'static str, otherwise: u32, faults: &mut Vec<Fault>) -> u32 {
        match self.number(name, faults).map(u32::try_from) {
            Some(Ok(number)) => number,
            Some(Err(_)) => {
                faults.push(Fault::new(self.field(name), "is too large"));
                otherwise
            }
            None => otherwise,
        }
    }

    pub fn truth(&mut self, name: &'static str, faults: &mut Vec<Fault>) -> Option<bool> {
        let value = self.get(name)?;
        let truth = value.as_bool();
        if truth.is_none() {
            faults.push(Fault::new(self.field(name), "must be true or false"));
        }
        truth
    }

    pub fn list(&mut self, name: &'static str, faults: &mut Vec<Fault>) -> &'value [JsonValue] {
        match self.get(name) {
            None => &[],
            Some(JsonValue::Array(items)) => items,
            Some(_) => {
                faults.push(Fault::new(self.field(name), "must be a list"));
                &[]
            }
        }
    }

    /// Names every field that nobody asked for.
    pub fn finish(self, faults: &mut Vec<Fault>) {
        for (name, _) in self.value.entries() {
            if !self.known.contains(name) {
                faults.push(Fault::new(self.field(name), "is not a known field"));
            }
        }
    }
}

/// Reads the pools that a rule's requests are split over, by weight.
fn read_split(path: &str, reader: &mut Reader<'_>, faults: &mut Vec<Fault>) -> Vec<SplitPart> {
    let mut split = Vec::new();
    for (place, item) in reader.list("split", faults).iter().enumerate() {
        let part_path = format!("{path}.split[{place}]");
        if let Some(mut part) = Reader::new(part_path, item, faults) {
            split.push(SplitPart {
                pool: PoolName::new(part.needed_text("pool", faults)),
                weight: part.small("weight", 0, faults),
            });
            part.finish(faults);
        }
    }
    split
}

/// Reads what of a rule's requests may be repeated.
fn read_kind(path: &str, reader: &mut Reader<'_>, faults: &mut Vec<Fault>) -> RequestKind {
    match reader.text("kind", faults).as_deref() {
        None => RequestKind::ByMethod,
        Some("repeatable") => RequestKind::Repeatable,
        Some("once") => RequestKind::Once,
        Some("upload") => RequestKind::Upload,
        Some(_) => {
            let why = "must be repeatable, once or upload";
            faults.push(Fault::new(format!("{path}.kind"), why));
            RequestKind::ByMethod
        }
    }
}

fn read_rule(path: &str, value: &JsonValue, faults: &mut Vec<Fault>) -> Option<Value> {
    let mut reader = Reader::new(path, value, faults)?;
    let split = read_split(path, &mut reader, faults);
    let rule = Rule {
        host: reader.needed_text("host", faults),
        path: reader.needed_text("path", faults),
        // Why not needed beside a split: the parts name the pools then.
        pool: match split.first() {
            Some(part) => PoolName::new(
                reader
                    .text("pool", faults)
                    .unwrap_or_else(|| part.pool.to_string()),
            ),
            None => PoolName::new(reader.needed_text("pool", faults)),
        },
        homes: {
            let home = reader.text("home", faults);
            let homes = reader.texts("homes", faults);
            home.into_iter().chain(homes).map(Region::new).collect()
        },
        deadline: Duration::from_millis(reader.number("deadline_ms", faults).unwrap_or(2000)),
        body_limit: reader
            .number("body_limit", faults)
            .unwrap_or(DEFAULT_BODY_LIMIT),
        key_header: reader
            .text("key_header", faults)
            .map(|name| name.to_ascii_lowercase()),
        kind: read_kind(path, &mut reader, faults),
        split,
        target_latency: Duration::from_millis(
            reader.number("target_latency_ms", faults).unwrap_or(0),
        ),
        priority: reader.small("priority", 0, faults),
        most_attempts: reader.small("most_attempts", 0, faults),
    };
    reader.finish(faults);
    Some(Value::Rule { rule })
}

fn read_pool(path: &str, value: &JsonValue, faults: &mut Vec<Fault>) -> Option<Value> {
    let mut reader = Reader::new(path, value, faults)?;
    let pool = Pool {
        keyed: reader.truth("keyed", faults).unwrap_or(false),
        slices: reader.small("slices", 64, faults),
        instance_cap: reader.small("instance_cap", 64, faults),
        key_cap: reader.small("key_cap", 8, faults),
        cold_rate_milli: reader.thousandths("gentle_per_second", 6, faults),
        warm_span: Duration::from_millis(reader.number("warm_ms", faults).unwrap_or(5000)),
        key_space: match reader.text("key_space", faults).as_deref() {
            None | Some("hashed") => KeySpace::Hashed,
            Some("ranges") => KeySpace::Ranges,
            Some(_) => {
                let why = "must be hashed or ranges";
                faults.push(Fault::new(format!("{path}.key_space"), why));
                KeySpace::Hashed
            }
        },
        connection_limit: reader.small("connection_limit", 0, faults),
        health_path: reader.text("health_path", faults).unwrap_or_default(),
    };
    reader.finish(faults);
    Some(Value::Pool { pool })
}

fn read_area(path: &str, value: &JsonValue, faults: &mut Vec<Fault>) -> Option<Value> {
    let mut reader = Reader::new(path, value, faults)?;
    let area = AreaOrder {
        region: Region::new(reader.needed_text("region", faults)),
        closed: reader.truth("closed", faults).unwrap_or(false),
    };
    reader.finish(faults);
    Some(Value::Area { area })
}

fn read_put(path: &str, value: &JsonValue, drops: bool, faults: &mut Vec<Fault>) -> Option<Put> {
    let mut reader = Reader::new(path, value, faults)?;
    let kind = reader.needed_text("kind", faults);
    let name = reader.needed_text("name", faults);
    let expected = reader.number("edition", faults).map(Edition);
    let known = ["rule", "pool", "area"]
        .into_iter()
        .find(|known| *known == kind);
    let value = match (drops, known) {
        (_, None) => {
            faults.push(Fault::new(
                format!("{path}.kind"),
                "must be rule, pool or area",
            ));
            None
        }
        (true, Some(_)) => None,
        (false, Some(kind)) => {
            let inner = reader.get(kind);
            let inner_path = format!("{path}.{kind}");
            match (inner, kind) {
                (None, _) => {
                    faults.push(Fault::new(inner_path, "is missing"));
                    None
                }
                (Some(inner), "rule") => read_rule(&inner_path, inner, faults),
                (Some(inner), "pool") => read_pool(&inner_path, inner, faults),
                (Some(inner), _) => read_area(&inner_path, inner, faults),
            }
        }
    };
    reader.finish(faults);
    (drops || value.is_some()).then(|| Put {
        key: format!("{kind}/{name}"),
        expected,
        value,
        written: None,
    })
}

/// Reads a change set as far as it can be read, with every fault of its form.
pub fn read_form(text: &str) -> (Change, Vec<Fault>) {
    let mut change = Change {
        id: ChangeId::new(""),
        puts: Vec::new(),
        guards: Vec::new(),
    };
    let value = match jzon::parse(text) {
        Ok(value) => value,
        Err(error) => {
            return (
                change,
                vec![Fault::new("body", format!("is no JSON: {error}"))],
            )
        }
    };
    let mut faults = Vec::new();
    let Some(mut reader) = Reader::new("", &value, &mut faults) else {
        return (change, vec![Fault::new("body", "must be an object")]);
    };
    let id = reader.needed_text("id", &mut faults);
    if id.len() > 128 {
        faults.push(Fault::new("id", "has at most 128 characters"));
    }
    for (name, drops) in [("put", false), ("drop", true)] {
        for (place, item) in reader.list(name, &mut faults).iter().enumerate() {
            let path = format!("{name}[{place}]");
            change
                .puts
                .extend(read_put(&path, item, drops, &mut faults));
        }
    }
    reader.finish(&mut faults);
    if change.puts.is_empty() && faults.is_empty() {
        faults.push(Fault::new("put", "the change set is empty"));
    }
    change.id = ChangeId::new(id);
    (change, faults)
}

/// Reads which agents are to be taken off the roster.
pub fn read_drop(text: &str) -> Result<Vec<SocketAddr>, Vec<Fault>> {
    let value = jzon::parse(text)
        .map_err(|error| vec![Fault::new("body", format!("is no JSON: {error}"))])?;
    let mut faults = Vec::new();
    let mut dropped = Vec::new();
    if let Some(mut reader) = Reader::new("", &value, &mut faults) {
        for (place, item) in reader.list("drop", &mut faults).iter().enumerate() {
            match item.as_str().and_then(|text| text.parse().ok()) {
                Some(address) => dropped.push(address),
                None => faults.push(Fault::new(
                    format!("drop[{place}]"),
                    "must be an agent's IP number and control port",
                )),
            }
        }
        reader.finish(&mut faults);
    }
    if dropped.is_empty() && faults.is_empty() {
        faults.push(Fault::new("drop", "names no agent"));
    }
    match faults.is_empty() {
        true => Ok(dropped),
        false => Err(faults),
    }
}

/// Reads a change set whose form is without fault.
pub fn read_change(text: &str) -> Result<Change, Vec<Fault>> {
    match read_form(text) {
        (change, faults) if faults.is_empty() => Ok(change),
        (_, faults) => Err(faults),
    }
}

/// Writes what a rule says beyond where its requests go, as far as it says anything.
fn write_terms(rule: &Rule, json: &mut JsonValue) {
    let kind = match rule.kind {
        RequestKind::ByMethod => None,
        RequestKind::Repeatable => Some("repeatable"),
        RequestKind::Once => Some("once"),
        RequestKind::Upload => Some("upload"),
    };
    if let Some(kind) = kind {
        json["kind"] = kind.into();
    }
    if !rule.split.is_empty() {
        let parts: Vec<JsonValue> = rule
            .split
            .iter()
            .map(|part| jzon::object! { pool: part.pool.as_str(), weight: part.weight })
            .collect();
        json["split"] = parts.into();
    }
    if !rule.target_latency.is_zero() {
        json["target_latency_ms"] = (rule.target_latency.as_millis() as u64).into();
    }
    if rule.priority > 0 {
        json["priority"] = rule.priority.into();
    }
    if rule.most_attempts > 0 {
        json["most_attempts"] = rule.most_attempts.into();
    }
}

/// Writes one value of the standing book as the operators write it.
pub fn value_json(value: &Value) -> JsonValue {
    match value {
        Value::Rule { rule } => {
            let mut json = jzon::object! {
                host: rule.host.as_str(),
                path: rule.path.as_str(),
                pool: rule.pool.as_str(),
                deadline_ms: rule.deadline.as_millis() as u64,
                body_limit: rule.body_limit,
            };
            match rule.homes.as_slice() {
                [] => {}
                [home] => json["home"] = home.as_str().into(),
                homes => {
                    let homes: Vec<&str> = homes.iter().map(Region::as_str).collect();
                    json["homes"] = homes.into();
                }
            }
            write_terms(rule, &mut json);
            if let Some(header) = &rule.key_header {
                json["key_header"] = header.as_str().into();
            }
            json
        }
        Value::Pool { pool } => jzon::object! {
            keyed: pool.keyed,
            slices: pool.slices,
            instance_cap: pool.instance_cap,
            key_cap: pool.key_cap,
            gentle_per_second: pool.cold_rate(),
            warm_ms: pool.warm_span.as_millis() as u64,
            key_space: match pool.key_space {
                KeySpace::Hashed => "hashed",
                KeySpace::Ranges => "ranges",
            },
            connection_limit: pool.connection_limit,
            health_path: pool.health_path.as_str(),
        },
        Value::Area { area } => jzon::object! {
            region: area.region.as_str(),
            closed: area.closed,
        },
        _ => JsonValue::Null,
    }
}

/// Writes one item with its kind, name and edition.
pub fn item_json(key: &str, edition: Edition, value: &Value) -> JsonValue {
    let (kind, name) = key.split_once('/').unwrap_or((key, ""));
    let mut json = jzon::object! { kind: kind, name: name, edition: edition.0 };
    json[kind] = value_json(value);
    json
}

pub fn book_json(book: &Book) -> JsonValue {
    let items: Vec<JsonValue> = book
        .items
        .iter()
        .map(|(key, item)| item_json(key, item.edition, &item.value))
        .collect();
    jzon::object! { edition: book.edition.0, items: items }
}

pub fn faults_json(faults: &[Fault]) -> JsonValue {
    faults
        .iter()
        .map(|fault| jzon::object! { field: fault.field.as_str(), why: fault.why.as_str() })
        .collect::<Vec<JsonValue>>()
        .into()
}

/// The status and body of the answer to a proposed change.
pub fn verdict_json(verdict: &Verdict) -> (u16, JsonValue) {
    match verdict {
        Verdict::Accepted(edition) => (
            200,
            jzon::object! { outcome: "accepted", edition: edition.0 },
        ),
        Verdict::Repeat(edition) => (
            200,
            jzon::object! { outcome: "accepted", edition: edition.0, repeat: true },
        ),
        Verdict::IdTaken(edition) => (
            409,
            jzon::object! {
                outcome: "refused",
                why: "this id was used for another change set",
                edition: edition.0,
            },
        ),
        Verdict::Conflicts(conflicts) => {
            let list: Vec<JsonValue> = conflicts
                .iter()
                .map(|conflict| {
                    jzon::object! {
                        item: conflict.key.as_str(),
                        expected: conflict.expected.0,
                        present: conflict.present.0,
                    }
                })
                .collect();
            (409, jzon::object! { outcome: "refused", conflicts: list })
        }
        Verdict::Faulty(faults) => (
            400,
            jzon::object! { outcome: "refused", faults: faults_json(faults) },
        ),
        Verdict::NoMajority => (
            503,
            jzon::object! {
                outcome: "refused",
                why: "no majority of the seats could be reached; nothing was applied",
            },
        ),
        Verdict::TooFewAgents => (
            503,
            jzon::object! {
                outcome: "refused",
                why: "too few agents of the roster are in touch; nothing was applied",
            },
        ),
        Verdict::Unknown => (
            503,
            jzon::object! {
                outcome: "unknown",
                why: "the change was offered and may yet be accepted: \
                      send it again under the same id, or read it back",
            },
        ),
    }
}

pub fn status_json(status: &LedgerStatus) -> JsonValue {
    let editions: Vec<JsonValue> = ALL_BOOKS
        .iter()
        .zip(&status.editions)
        .map(|(name, edition)| jzon::object! { book: name.to_string(), edition: edition.0 })
        .collect();
    let seats: Vec<JsonValue> = status
        .seats
        .iter()
        .map(|(holder, alive)| {
            jzon::object! {
                node: holder.node.0,
                address: holder.address.to_string(),
                area: holder.area.as_str(),
                ledger: holder.ledger,
                alive: *alive,
            }
        })
        .collect();
    let duties: Vec<JsonValue> = status
        .duties
        .iter()
        .map(|(name, term)| {
            let mut json = jzon::object! { duty: *name };
            if let Some(term) = term {
                json["holder"] = term.holder.0.into();
                json["epoch"] = term.epoch.0.into();
            }
            json
        })
        .collect();
    let members: Vec<JsonValue> = status
        .members
        .iter()
        .map(|member| {
            let lag = status.editions[0]
                .0
                .saturating_sub(member.editions.first().copied().unwrap_or_default().0);
            jzon::object! {
                node: member.node.0,
                role: if member.role == Role::Proxy { "proxy" } else { "directory" },
                area: member.area.as_str(),
                serving: member.serving.to_string(),
                ready: member.ready,
                feed_lag: lag,
            }
        })
        .collect();
    let instances: Vec<JsonValue> = status
        .instances
        .iter()
        .map(|beat| {
            jzon::object! {
                id: beat.id.as_str(),
                incarnation: beat.incarnation.0,
                pool: beat.pool.as_str(),
                area: beat.area.as_str(),
                address: beat.address.to_string(),
                state: match beat.state {
                    InstanceState::Warming => "warming",
                    InstanceState::Serving => "serving",
                    InstanceState::Leaving => "leaving",
                },
            }
        })
        .collect();
    let unplaced: u64 = status
        .mapping
        .iter()
        .flat_map(|mapping| &mapping.groups)
        .map(|group| u64::from(group.unplaced))
        .sum();
    let roster: Vec<JsonValue> = status
        .roster
        .iter()
        .map(|(address, in_touch)| {
            jzon::object! { agent: address.to_string(), in_touch: *in_touch }
        })
        .collect();
    let groups = status
        .mapping
        .as_ref()
        .map_or(0, |mapping| mapping.groups.len());
    jzon::object! {
        node: status.node.0,
        area: status.area.as_str(),
        current: status.current,
        disk: if status.ailing { "refusing" } else { "well" },
        editions: editions,
        seats: seats,
        duties: duties,
        members: members,
        instances: instances,
        placed_groups: groups,
        unplaced_demand: unplaced,
        vouched: status.vouched.0,
        roster: roster,
    }
}
