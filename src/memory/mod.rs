//! Memory that the process holds for others: bytes of messages that are being read, forwarded or
//! written. Each holder reserves its bytes before it holds them. If too few are left, holders that
//! make no progress lose their bytes to those that do.

mod account;
mod budget;
mod buffer;
mod shortage;

pub(crate) use account::{Account, Denied, Pool};
pub(crate) use budget::{Budget, Reservation};
pub(crate) use buffer::{MIN_RESERVED_COST, head_cost, hold, make_space};

#[cfg(test)]
mod tests;
