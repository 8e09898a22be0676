//! The rows of the plan, added up.

use super::*;

const KIB: usize = 1024;
/// The program's code, tables and lists.
const PROGRAM_BYTES: usize = 9 * KIB * KIB;
/// The entries of a connection: its state, its place in the tables, its timers, and when its bytes came.
const CONNECTION_ENTRY: usize = 3 * KIB / 2;
/// What the allocator may keep, as a part of all else.
const ALLOCATOR_SHARE: usize = 16;

fn sum(plan: &MemoryPlan, clients: usize, hosts: usize) -> usize {
    let of_clients = plan.client_read + 2 * plan.client_write + CONNECTION_ENTRY;
    let of_hosts = LONGEST_COPIED_STATEMENT.max(RETAINED_BUFFER) + CONNECTION_ENTRY;
    let ids = plan.request_ids * REQUEST_ID_BYTES;
    PROGRAM_BYTES + plan.statements + plan.answers + clients * of_clients + hosts * of_hosts + ids
}

#[test]
fn all_rows_together_fit_the_limit_with_all_descriptors_in_use() {
    for (memory_mb, connections) in [(32, 504), (32, 120), (64, 504), (192, 504), (192, 120)] {
        let limit = memory_mb * KIB * KIB;
        let plan = MemoryPlan::of(memory_mb * KIB, connections);
        let sum = sum(&plan, connections, connections);
        assert!(sum + sum / ALLOCATOR_SHARE <= limit, "{memory_mb} MB: {sum} of {limit}: {plan:?}");
    }
}

#[test]
fn what_was_served_with_the_least_memory_fits_the_plan() {
    let plan = MemoryPlan::of(32 * KIB, 504);
    assert_eq!(plan.statements, 12 * KIB * KIB);
    assert!((MIN_CLIENT_READ..=MAX_CLIENT_READ).contains(&plan.client_read), "{plan:?}");
    assert!(plan.answers > 64 * KIB, "the longest answer that is held");
}

// Guards against: buffers of the system that grow with the number of connections beyond their part of the memory.
#[test]
fn what_the_system_holds_follows_from_the_memory() {
    for (memory_mb, connections) in [(32, 504), (32, 236), (64, 504), (128, 236), (192, 504), (192, 120)] {
        let plan = MemoryPlan::of(memory_mb * KIB, connections);
        let part = memory_mb * KIB * KIB / PARTS;
        assert!(plan.client_unsent * connections <= SYSTEM_PARTS * part, "{memory_mb} MB: {plan:?}");
        let least_shares = if (memory_mb, connections) == (32, 504) { 2 } else { 1 };
        assert!(
            plan.host_unread * connections <= least_shares * SYSTEM_PARTS * part,
            "{memory_mb} MB: {plan:?}"
        );
    }
}
