package figdeck.command.ownership

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.Shard
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** The identity that a host publishes to its peers. */
public data class HostIdentity(
    public val host: HostId,
    public val address: Address,
    public val dataCentre: DataCentre,
)

/** The lease of this host as last confirmed by the table, for a renewal sent at [sentAt]. */
public data class HeldLease(
    public val lease: HostLease,
    public val version: Long,
    public val sentAt: Moment,
)

/**
 * A host's row as read from the table.
 *
 * @property unchangedSince when this host first read the row at its current version.
 * @property promisedAt when this host last promised not to end the lease.
 * @property expirySent whether this host has sent the end of the lease, which may still take effect.
 */
public data class ObservedHost(
    public val row: HostRow,
    public val unchangedSince: Moment,
    public val promisedAt: Moment?,
    public val expirySent: Boolean,
)

/** A shard that this host owns under [epoch], as long as the shard's row is at [version]. */
public data class OwnedShard(
    public val epoch: Epoch,
    public val version: Long,
    public val claimedAt: Moment,
)

/**
 * What a host knows of the members of the fleet and of the ownership of shards.
 *
 * @property held this host's own lease; null if it has none.
 * @property attempts the renewals that were sent and are not settled: any of them may have taken effect.
 * @property promises by guardian, when this host sent the request that the guardian answered with its latest promise.
 * @property hosts the host rows of the latest scan, including this host's own.
 */
public data class OwnershipState(
    public val self: HostIdentity,
    public val times: LeaseTimes,
    public val held: HeldLease?,
    public val attempts: PersistentList<RenewalPlan>,
    public val promises: PersistentMap<HostId, Moment>,
    public val hosts: PersistentMap<HostId, ObservedHost>,
    public val preferences: Preferences,
    public val shards: PersistentMap<Shard, ShardRow>,
    public val owned: PersistentMap<Shard, OwnedShard>,
    public val leaving: Boolean,
)

/** The state of a host before it has read the table. */
public fun initialOwnership(self: HostIdentity, times: LeaseTimes): OwnershipState = OwnershipState(
    self = self,
    times = times,
    held = null,
    attempts = persistentListOf(),
    promises = persistentMapOf(),
    hosts = persistentMapOf(),
    preferences = preferencesOf(emptySet()),
    shards = persistentMapOf(),
    owned = persistentMapOf(),
    leaving = false,
)
