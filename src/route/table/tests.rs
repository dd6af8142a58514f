//! Tests of the choice of a route by host and path.

use crate::bundle::Bundle;
use crate::route::Table;

/// A table of routes for any host with these names and path prefixes.
fn table(routes: &[(&str, &str)]) -> Table {
    let routes = routes.iter().map(|(name, path)| {
        format!("[route {name}]\npath = {path}\nservice = s\nclass = short\nidempotent = yes\n")
    });
    let text = "[bundle]\nname = demo\n[class short]\nkind = short\n[group g]\n\
        [service s]\ngroup = g\n";
    let text = text.to_owned() + &routes.collect::<String>();
    Table::compile(&Bundle::read(&text).unwrap())
}

const ROUTES: &[(&str, &str)] = &[
    ("hire", "/hire/"),
    ("units", "/hire/units/"),
    ("scans", "/scans"),
    ("scans_in", "/scans/in/"),
];

macro_rules! route_tests {
    ($($(#[doc = $doc:literal])* $name:ident: $path:expr => $expected:expr,)*) => {
        $($(#[doc = $doc])*
        #[test]
        fn $name() {
            let table = table(ROUTES);
            let route = table.find("h", "GET", $path);
            assert_eq!(route.map(|route| route.name.as_str()), $expected);
        })*
    };
}

route_tests! {
    a_prefix_with_a_slash_begins_longer_paths: "/hire/units/7" => Some("units"),
    a_prefix_with_a_slash_begins_itself: "/hire/units/" => Some("units"),
    /// Guards against requests that a new route takes from another one, although its prefix does not
    /// begin their paths.
    a_prefix_with_a_slash_does_not_begin_the_path_without_it: "/hire/units" => Some("hire"),
    a_prefix_ends_at_a_segment: "/hire/unitsx" => Some("hire"),
    no_prefix_begins_a_shorter_path: "/hire" => None,
    a_prefix_without_a_slash_begins_itself: "/scans" => Some("scans"),
    a_prefix_without_a_slash_begins_whole_segments: "/scans/in" => Some("scans"),
    a_prefix_without_a_slash_begins_no_part_of_a_segment: "/scansx" => None,
    the_longest_of_both_kinds_matches: "/scans/in/1" => Some("scans_in"),
    repeated_slashes_are_segments: "/hire//units/" => Some("hire"),
}

#[test]
fn the_root_prefix_begins_every_path() {
    let table = table(&[("all", "/")]);
    for path in ["/", "/a", "/a/", "/a/b"] {
        assert!(table.find("h", "GET", path).is_some(), "{path}");
    }
}

#[test]
fn prefixes_that_differ_in_the_last_slash_are_two_routes() {
    let table = table(&[("with", "/a/"), ("without", "/a")]);
    let name = |path| &table.find("h", "GET", path).unwrap().name;
    assert_eq!(
        (name("/a").as_str(), name("/a/b").as_str()),
        ("without", "with")
    );
}
