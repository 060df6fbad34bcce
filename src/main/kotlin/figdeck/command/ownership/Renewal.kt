package figdeck.command.ownership

import figdeck.command.Step
import figdeck.model.ABSENT
import figdeck.model.HostId
import figdeck.model.Moment
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

private const val GUARDIAN_COUNT = 2

/**
 * Plans the renewal of this host's lease, or its creation with [newIncarnation]. The result is null while the row of an
 * earlier incarnation exists, because that incarnation may still be running, and if a leaving host has no lease.
 */
public fun planRenewal(
    state: OwnershipState,
    newIncarnation: Long,
    now: Moment,
): Step<OwnershipState, RenewalPlan?> {
    val held = state.held
    val plan = when {
        held != null -> RenewalPlan(state.nextLease(held.lease), held.version, now)
        state.leaving || state.self.host in state.hosts -> null
        else -> RenewalPlan(state.nextLease(state.firstLease(newIncarnation)), ABSENT, now)
    }
    val attempts = if (plan == null) state.attempts else state.attempts.add(plan)
    return Step(state.copy(attempts = attempts), plan)
}

/** Records that [plan] took effect and that the row is at [version]. */
public fun confirmRenewal(state: OwnershipState, plan: RenewalPlan, version: Long): OwnershipState {
    val sameIncarnation = state.held?.lease?.incarnation == plan.lease.incarnation
    val kept = if (sameIncarnation) state else state.copy(owned = state.owned.clear(), promises = persistentMapOf())
    return kept.copy(held = HeldLease(plan.lease, version, plan.sentAt), attempts = persistentListOf())
}

/** Records that [plan] has not taken effect and never will. */
public fun withdrawRenewal(state: OwnershipState, plan: RenewalPlan): OwnershipState =
    state.copy(attempts = state.attempts.remove(plan))

/**
 * Settles renewals whose replies were lost or that met a conflict, by this host's [row] as read afterwards. If the row
 * is absent or belongs to another incarnation, the lease has been ended.
 */
public fun settleRenewals(state: OwnershipState, row: HostRow?): OwnershipState {
    val attempt = state.attempts.lastOrNull { it.lease == row?.lease }
    return when {
        row != null && attempt != null -> confirmRenewal(state, attempt, row.version)
        row != null && row.lease == state.held?.lease -> state
        else -> state.copy(held = null, owned = state.owned.clear())
    }
}

private fun OwnershipState.firstLease(incarnation: Long): HostLease =
    HostLease(self.host, self.address, self.dataCentre, incarnation, 0, emptyList(), leaving)

private fun OwnershipState.nextLease(lease: HostLease): HostLease {
    val last = attempts.maxOfOrNull { it.lease.renewal } ?: 0
    val guardians = attempts.lastOrNull()?.lease?.guardians ?: chooseGuardians()
    return lease.copy(renewal = maxOf(lease.renewal, last) + 1, guardians = guardians, leaving = leaving)
}

/** Chooses the next hosts after this one in the cyclic order of host names, those in other data centres first. */
private fun OwnershipState.chooseGuardians(): List<HostId> = hosts.values
    .map { it.row.lease }
    .filter { it.host != self.host && !it.leaving }
    .sortedWith(
        compareBy({ it.dataCentre == self.dataCentre }, { it.host.value < self.host.value }, { it.host.value }),
    )
    .take(GUARDIAN_COUNT)
    .map { it.host }
