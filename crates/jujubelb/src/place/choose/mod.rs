//! The worker for a task.

mod index;
mod score;

pub(crate) use index::Index;
pub(crate) use score::{NoPick, Outlook, Pick, Request, pick};

#[cfg(test)]
mod tests;
