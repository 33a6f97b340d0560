//! Room on workers, and the sizes learned per class of tasks.

mod room;
mod size;

pub(crate) use room::{excess, is_confirmed};
pub(crate) use size::{Peak, Sizes, SizesState};

#[cfg(test)]
mod tests;
