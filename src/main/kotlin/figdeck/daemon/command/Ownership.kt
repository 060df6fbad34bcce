package figdeck.daemon.command

import figdeck.model.Address
import figdeck.model.Fence
import figdeck.model.HostId
import figdeck.model.Shard

/** Another daemon and the address at which this one reaches it. */
public data class Peer(
    public val host: HostId,
    public val address: Address,
)

/**
 * The shards that hosts own.
 *
 * @property fenceOf returns the fence of a shard if this host owns the shard now; null otherwise.
 * @property ownerOf returns the other host that owns a shard as far as this host knows; null if this host or no host
 * owns it.
 */
public data class Ownership(
    public val fenceOf: (Shard) -> Fence?,
    public val ownerOf: (Shard) -> Peer?,
)
