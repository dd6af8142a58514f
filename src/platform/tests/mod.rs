//! Tests of the users' dialect.

mod config;
mod notice;
mod store;
