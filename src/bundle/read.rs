//! Reads bundles from INI text and validates them.

use std::collections::BTreeMap;

use crate::bundle::model::{
    Bundle, Class, ClassKind, DEFAULT_ATTEMPTS, Group, Route, Service, Tenant,
};
use crate::error::Result;
use crate::ini::{Document, Faults, Reader, Section};

const SECTION_KINDS: [&str; 6] = ["bundle", "tenant", "class", "group", "service", "route"];
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_RESERVED_SHORT_PERCENT: u64 = 25;
const MAX_NAME_BYTES: usize = 63;

impl Bundle {
    /// Reads a bundle from INI text.
    ///
    /// ```
    /// use bluebellgap::bundle::Bundle;
    /// let text = "[bundle]\nname = demo\n[class short]\nkind = short\n[group depot]\n\
    ///     [service booking]\ngroup = depot\n\
    ///     [route book]\npath = /book\nservice = booking\nclass = short\nidempotent = no\n";
    /// let bundle = Bundle::read(text).unwrap();
    /// assert_eq!(bundle.routes["book"].service, "booking");
    /// let undefined = text.replace("service = booking", "service = gone");
    /// let error = Bundle::read(&undefined).unwrap_err();
    /// assert!(error.to_string().contains("line 10: [route book] service"));
    /// ```
    ///
    /// # Errors
    /// [`crate::Error::Invalid`] lists every fault with its section, key and line.
    pub fn read(text: &str) -> Result<Self> {
        let mut faults = Faults::default();
        let document = Document::parse(text, &mut faults);
        document.check_kinds(&SECTION_KINDS, &mut faults);
        let mut bundle = Self::default();
        for section in &document.sections {
            bundle.read_section(section, &mut faults);
        }
        if bundle.name.is_empty() && !document.sections.iter().any(|s| s.kind == "bundle") {
            faults.add(&Section::parse("bundle", 1), "name", "is required");
        }
        bundle.check_sections(&document, &mut faults);
        faults.into_result(|| bundle)
    }

    /// Adds what one section defines, and reports its faults.
    fn read_section(&mut self, section: &Section, faults: &mut Faults) {
        let mut reader = Reader::new(section, faults);
        let name = section.name.clone();
        if section.kind != "bundle" && !is_valid_name(&name) {
            reader.reject("-", "name must be 1 to 63 letters, digits, '-', '_' or '.'");
        }
        match section.kind.as_str() {
            "bundle" => self.name = reader.required("name"),
            "tenant" => {
                self.tenants.insert(name, read_tenant(&mut reader));
            }
            "class" => {
                self.classes.insert(name, read_class(&mut reader));
            }
            "group" => {
                self.groups.insert(name, read_group(&mut reader));
            }
            "service" => {
                let group = reader.required("group");
                self.services.insert(name, Service { group });
            }
            "route" => {
                self.routes.insert(name, read_route(&mut reader));
            }
            _ => return,
        }
        reader.finish();
    }

    /// Reports undefined references, invalid paths and routes that match the same requests.
    fn check_sections(&self, document: &Document, faults: &mut Faults) {
        for section in document.of_kind("service") {
            let service = &self.services[&section.name];
            if !service.group.is_empty() && !self.groups.contains_key(&service.group) {
                let message = format!("no [group {}] in this bundle", service.group);
                faults.add(section, "group", message);
            }
        }
        for section in document.of_kind("route") {
            self.check_route(&self.routes[&section.name], section, faults);
        }
    }

    fn check_route(&self, route: &Route, section: &Section, faults: &mut Faults) {
        if !route.service.is_empty() && !self.services.contains_key(&route.service) {
            let message = format!("no [service {}] in this bundle", route.service);
            faults.add(section, "service", message);
        }
        for service in route.split.keys() {
            if !self.services.contains_key(service) {
                faults.add(
                    section,
                    "split",
                    format!("no [service {service}] in this bundle"),
                );
            }
        }
        if !route.class.is_empty() && !self.classes.contains_key(&route.class) {
            let message = format!("no [class {}] in this bundle", route.class);
            faults.add(section, "class", message);
        }
        if !route.path.is_empty() && !route.path.starts_with('/') {
            faults.add(section, "path", "must begin with '/'");
        }
        let duplicate = self
            .routes
            .iter()
            .find(|(name, other)| **name != section.name && matches_same_requests(other, route));
        if let Some((name, _)) = duplicate {
            let message = format!("matches the same requests as [route {name}]");
            faults.add(section, "path", message);
        }
    }

    /// Checks references, paths and timeouts of a bundle that was not read from INI text.
    ///
    /// # Errors
    /// Describes the first fault found.
    pub(crate) fn validate(&self) -> Result<(), String> {
        for (name, service) in &self.services {
            if !self.groups.contains_key(&service.group) {
                return Err(format!("service {name}: no group {}", service.group));
            }
        }
        for (name, route) in &self.routes {
            if !self.services.contains_key(&route.service) {
                return Err(format!("route {name}: no service {}", route.service));
            }
            if let Some(service) = route
                .split
                .keys()
                .find(|service| !self.services.contains_key(*service))
            {
                return Err(format!("route {name}: no service {service}"));
            }
            if !self.classes.contains_key(&route.class) {
                return Err(format!("route {name}: no class {}", route.class));
            }
            if !route.path.starts_with('/') || !(1..=MAX_TIMEOUT_MS).contains(&route.timeout_ms) {
                return Err(format!("route {name}: path or timeout out of range"));
            }
        }
        self.validate_tenants()
    }

    /// Checks that every key belongs to one tenant only. The error names the tenants and not the key.
    fn validate_tenants(&self) -> Result<(), String> {
        let mut holders = BTreeMap::new();
        for (name, tenant) in &self.tenants {
            for key in &tenant.keys {
                if key.expose().is_empty() {
                    return Err(format!("tenant {name}: a key is empty"));
                }
                match holders.insert(key, name) {
                    Some(other) if other != name => {
                        return Err(format!("tenant {name}: shares a key with tenant {other}"));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}

fn matches_same_requests(route: &Route, other: &Route) -> bool {
    route.host == other.host && route.path == other.path && route.method == other.method
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

fn read_tenant(reader: &mut Reader) -> Tenant {
    let weight = reader.number("weight", 1..=1_000, 1);
    Tenant {
        weight: u32::try_from(weight).unwrap_or(1),
        keys: Vec::new(),
        rank: None,
        quota: None,
    }
}

fn read_class(reader: &mut Reader) -> Class {
    let kind = match reader.required("kind").as_str() {
        "short" | "" => ClassKind::Short,
        "long" => ClassKind::Long,
        other => {
            reader.reject("kind", format!("'{other}' found, expected short or long"));
            ClassKind::Short
        }
    };
    Class { kind }
}

fn read_group(reader: &mut Reader) -> Group {
    let percent = reader.number(
        "reserved_short_percent",
        0..=90,
        DEFAULT_RESERVED_SHORT_PERCENT,
    );
    Group {
        reserved_short_percent: u32::try_from(percent).unwrap_or(0),
    }
}

fn read_route(reader: &mut Reader) -> Route {
    if reader.text("idempotent").is_none() {
        reader.reject("idempotent", "is required: yes or no");
    }
    Route {
        host: reader.text("host"),
        path: reader.required("path"),
        method: reader.text("method"),
        service: reader.required("service"),
        class: reader.required("class"),
        idempotent: reader.flag("idempotent", false),
        timeout_ms: reader.number("timeout_ms", 1..=MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS),
        split: read_split(reader),
        attempts: to_u32(reader.number("attempts", 1..=16, DEFAULT_ATTEMPTS.into())),
        objective_ms: reader.parsed("objective_ms", "milliseconds"),
        rank: to_u32(reader.number("rank", 0..=100, 0)),
        public: false,
    }
}

fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Reads the `split` of a route, such as `booking 9, booking-next 1`, as weights by service.
fn read_split(reader: &mut Reader) -> BTreeMap<String, u32> {
    let mut weights = BTreeMap::new();
    let text = reader.text("split").unwrap_or_default();
    for part in text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
    {
        let service_weight = part.split_once(' ').and_then(|(service, weight)| {
            let weight = weight.trim().parse::<u32>().ok().filter(|w| *w > 0)?;
            Some((service.to_owned(), weight))
        });
        match service_weight {
            Some((service, weight)) => {
                weights.insert(service, weight);
            }
            None => reader.reject(
                "split",
                format!("'{part}' found, expected 'service weight'"),
            ),
        }
    }
    weights
}
