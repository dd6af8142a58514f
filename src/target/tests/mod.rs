//! Tests of the target side.

mod gate;
mod identity;
mod runner;
