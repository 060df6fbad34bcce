package figdeck.command.ownership

import figdeck.model.Fence
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.RowCheck
import figdeck.model.Shard

/** The key of a host's row. */
public fun hostKey(host: HostId): String = "host/$host"

/** The key of a shard's row. */
public fun shardKey(shard: Shard): String = "shard/$shard"

/** Whether this host's lease is valid at [now]. */
public fun OwnershipState.isLeased(now: Moment): Boolean {
    val lease = held ?: return false
    return now < lease.sentAt + times.lease || isExtended(lease, now)
}

/** The guardians that may end this host's lease: those of the confirmed row and of all unsettled renewals. */
public fun OwnershipState.currentGuardians(): Set<HostId> =
    held?.lease?.guardians.orEmpty().toSet() + attempts.flatMap { it.lease.guardians }

/** This host's ownership of [shard], if it is valid at [now]. */
public fun OwnershipState.ownedAt(shard: Shard, now: Moment): OwnedShard? = owned[shard]?.takeIf { isLeased(now) }

/** The fence of [shard], if this host owns it at [now]. */
public fun OwnershipState.fenceOf(shard: Shard, now: Moment): Fence? =
    ownedAt(shard, now)?.let { Fence(it.epoch, RowCheck(shardKey(shard), it.version)) }

/** The other hosts that may own [shard], the most likely first. */
public fun OwnershipState.likelyOwners(shard: Shard): List<HostLease> =
    listOfNotNull(preferences.ownerOf(shard), shards[shard]?.owner?.host)
        .distinct()
        .filterNot { it == self.host }
        .mapNotNull { hosts[it]?.row?.lease }

/** The rows of the other hosts in the latest scan. */
public fun OwnershipState.otherHosts(): List<HostLease> =
    hosts.values.map { it.row.lease }.filterNot { it.host == self.host }

private fun OwnershipState.isExtended(lease: HeldLease, now: Moment): Boolean {
    val guardians = currentGuardians()
    val promised = guardians.all { guardian -> promises[guardian]?.let { now < it + times.lease } ?: false }
    return guardians.isNotEmpty() && promised && now < lease.sentAt + times.maxLease
}
