//! Stand-ins and cases of the second review. `cases NAME` runs one case; the exit code is 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod mesh;
mod relay;
mod store;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let code = match name.as_str() {
        "clock" => cases::clock(),
        "forged" => cases::forged(),
        "silent" => cases::silent(),
        "outage" => cases::outage(),
        "crashes" => cases::crashes(),
        _ => 2,
    };
    std::process::exit(code);
}
