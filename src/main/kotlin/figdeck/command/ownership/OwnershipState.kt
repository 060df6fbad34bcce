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

/** What a host tells its peers of itself. */
public data class HostIdentity(
    public val host: HostId,
    public val address: Address,
    public val dataCentre: DataCentre,
)

/** The lease of this host as the table last confirmed it, by a renewal sent at [sentAt]. */
public data class HeldLease(
    public val lease: HostLease,
    public val version: Long,
    public val sentAt: Moment,
)

/**
 * Another host's row, unchanged since [unchangedSince].
 *
 * @property promisedAt when this host last promised not to end the lease.
 * @property expirySent whether this host has tried to end the lease; it may take effect late.
 */
public data class ObservedHost(
    public val row: HostRow,
    public val unchangedSince: Moment,
    public val promisedAt: Moment?,
    public val expirySent: Boolean,
)

/** A shard that this host owns under [epoch] while the shard's row stands at [version]. */
public data class OwnedShard(
    public val epoch: Epoch,
    public val version: Long,
    public val claimedAt: Moment,
)

/**
 * What a host knows of the fleet.
 *
 * @property attempts renewals sent and not settled: any of them may be in the table.
 * @property promises when this host sent the question that each guardian answered with a promise.
 * @property hosts the host rows of the latest scan, this host's among them.
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

/** The state of a host that has read nothing yet. */
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
