package figdeck.command.ownership

import figdeck.command.Step
import figdeck.model.HostId
import figdeck.model.Moment
import kotlinx.collections.immutable.toPersistentMap

/**
 * Replaces the known host rows by [rows], the result of a full scan; the result tells whether the set of hosts that
 * can own shards has changed.
 */
public fun observeHosts(state: OwnershipState, rows: List<HostRow>, now: Moment): Step<OwnershipState, Boolean> {
    val hosts = rows.associate { it.lease.host to observed(state.hosts[it.lease.host], it, now) }
    return withHosts(state, hosts)
}

/** Plans to end every lease that has expired and that this host may end. */
public fun planExpiries(state: OwnershipState, now: Moment): Step<OwnershipState, List<ExpiryPlan>> {
    val expired = state.hosts.values.filter { host -> state.expiryOf(host)?.let { now >= it } ?: false }
    val hosts = state.hosts.putAll(expired.associate { it.row.lease.host to it.copy(expirySent = true) })
    return Step(state.copy(hosts = hosts), expired.map { ExpiryPlan(it.row.lease.host, it.row.version) })
}

/** Records that the lease of [plan] has ended. */
public fun confirmExpiry(state: OwnershipState, plan: ExpiryPlan): OwnershipState {
    val same = state.hosts[plan.host]?.row?.version == plan.version
    return if (same) withHosts(state, state.hosts.remove(plan.host)).state else state
}

/**
 * Promises the [incarnation] of [host] not to end its lease until one lease and one margin after [now]. The result is
 * false if that incarnation is unknown, or if this host has already sent the end of its lease, which may still take
 * effect.
 */
public fun promise(
    state: OwnershipState,
    host: HostId,
    incarnation: Long,
    now: Moment,
): Step<OwnershipState, Boolean> {
    val observed = state.hosts[host]?.takeIf { it.row.lease.incarnation == incarnation && !it.expirySent }
    val hosts = if (observed == null) state.hosts else state.hosts.put(host, observed.copy(promisedAt = now))
    return Step(state.copy(hosts = hosts), observed != null)
}

/** Records the promise of [guardian] to a request for [incarnation] that this host sent at [sentAt]. */
public fun confirmPromise(
    state: OwnershipState,
    guardian: HostId,
    incarnation: Long,
    sentAt: Moment,
): OwnershipState {
    val current = state.held?.lease?.incarnation == incarnation
    return if (current) state.copy(promises = state.promises.put(guardian, sentAt)) else state
}

private fun observed(before: ObservedHost?, row: HostRow, now: Moment): ObservedHost {
    val sameIncarnation = before?.row?.lease?.incarnation == row.lease.incarnation
    return if (before != null && before.row.version == row.version) {
        before
    } else {
        ObservedHost(row, now, before?.promisedAt.takeIf { sameIncarnation }, expirySent = false)
    }
}

private fun withHosts(state: OwnershipState, hosts: Map<HostId, ObservedHost>): Step<OwnershipState, Boolean> {
    val selfLeaving = listOfNotNull(state.self.host.takeIf { state.leaving })
    val leaving = hosts.filterValues { it.row.lease.leaving }.keys + selfLeaving
    val staying = (hosts.keys - leaving).ifEmpty { hosts.keys }
    val changed = staying != state.preferences.hosts
    val preferences = if (changed) preferencesOf(staying) else state.preferences
    return Step(state.copy(hosts = hosts.toPersistentMap(), preferences = preferences), changed)
}
