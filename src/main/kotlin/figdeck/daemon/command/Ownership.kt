package figdeck.daemon.command

import figdeck.model.Address
import figdeck.model.Fence
import figdeck.model.HostId
import figdeck.model.Shard

/** Another daemon as this one knows it. */
public data class Peer(
    public val host: HostId,
    public val address: Address,
)

/**
 * Which host owns what.
 *
 * @property fenceOf the fence of a shard, if this host owns it at this very moment; null otherwise.
 * @property ownerOf the host that owns a shard as far as this one knows; null for itself and for nobody.
 */
public data class Ownership(
    public val fenceOf: (Shard) -> Fence?,
    public val ownerOf: (Shard) -> Peer?,
)
