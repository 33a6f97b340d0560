//! Limits and weighted shares of those who use common resources, be they teams of a shard or
//! customers of a deployment.

use crate::model::Resources;

/// Dominant share of a user who occupies all there is, in millionths.
const ALL_MILLIONTHS: u64 = 1_000_000;

/// Weight-adjusted dominant share: the largest part over all resources of what a user occupies of
/// `capacity`, divided by its weight. All there is at weight 1 gives 1,000,000,000.
pub(crate) fn weighted(used: &Resources, capacity: &Resources, weight: u32) -> u64 {
    dominant(used, capacity) * 1_000 / u64::from(weight.max(1))
}

/// Dominant share of `capacity`, the largest over all resources, in millionths.
pub(crate) fn dominant(used: &Resources, capacity: &Resources) -> u64 {
    let part = |used: u64, all: u64| {
        let share = u128::from(used) * u128::from(ALL_MILLIONTHS) / u128::from(all.max(1));
        u64::try_from(share).unwrap_or(u64::MAX).min(ALL_MILLIONTHS)
    };
    amounts(used)
        .into_iter()
        .zip(amounts(capacity))
        .map(|(used, all)| part(used, all))
        .fold(0, u64::max)
}

/// Whether a user occupies a larger part of `capacity` than its weight is of `weights`, the sum over
/// all users. Multiplied out, since a part of large weights has no digits left.
pub(crate) fn exceeds_part(
    used: &Resources,
    capacity: &Resources,
    weight: u32,
    weights: u64,
) -> bool {
    let used = u128::from(dominant(used, capacity)) * u128::from(weights);
    used > u128::from(weight) * u128::from(ALL_MILLIONTHS)
}

/// How many tasks of a size fit into what `used` leaves of a limit. A resource at 0 has no limit;
/// `None` if the tasks need no resource that has one.
pub(crate) fn tasks_within(limit: &Resources, used: &Resources, size: &Resources) -> Option<u64> {
    let tasks = |limit: u64, used: u64, size: u64| limit.saturating_sub(used) / size;
    least(limit, used, size, tasks)
}

/// How many tasks of a size may start one by one, each while what counts is below the limit in each
/// limited resource that it needs, so that the last one may exceed it. A resource at 0 has no limit;
/// `None` if the tasks need no resource that has one.
pub(crate) fn starts_below(limit: &Resources, used: &Resources, size: &Resources) -> Option<u64> {
    let starts = |limit: u64, used: u64, size: u64| limit.saturating_sub(used).div_ceil(size);
    least(limit, used, size, starts)
}

/// How many tasks of a size may start together, so that all but one of them stay within the limit.
/// A resource at 0 has no limit; `None` if the tasks need no resource that has one.
pub(crate) fn members_within(limit: &Resources, used: &Resources, size: &Resources) -> Option<u64> {
    let members = |limit: u64, used: u64, size: u64| {
        let left = limit.checked_sub(used);
        left.map_or(0, |left| (left / size).saturating_add(1))
    };
    least(limit, used, size, members)
}

/// The least number of tasks over the resources that they need and that have a limit.
fn least(
    limit: &Resources,
    used: &Resources,
    size: &Resources,
    tasks: impl Fn(u64, u64, u64) -> u64,
) -> Option<u64> {
    let limited = amounts(limit).into_iter().zip(amounts(used));
    limited
        .zip(amounts(size))
        .filter(|((limit, _), size)| *limit > 0 && *size > 0)
        .map(|((limit, used), size)| tasks(limit, used, size))
        .min()
}

fn amounts(of: &Resources) -> [u64; 3] {
    [of.cpu.0, of.memory.0, u64::from(of.accelerators)]
}
