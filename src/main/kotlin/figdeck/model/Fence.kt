package figdeck.model

/**
 * Proof of ownership that accompanies every durable write made under that ownership.
 *
 * @property check the table condition that must hold when the write is committed; it fails once there is a later owner.
 */
public data class Fence(
    public val epoch: Epoch,
    public val check: RowCheck,
)
