package figdeck.command.ownership

import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.Shard

/** The owner of a shard: a host and its incarnation. */
public data class ShardOwner(
    public val host: HostId,
    public val incarnation: Long,
)

/** A shard's row at [version]; [owner] is null after a release. */
public data class ShardRow(
    public val shard: Shard,
    public val owner: ShardOwner?,
    public val epoch: Epoch,
    public val version: Long,
)
