package figdeck.model

/**
 * The proof of an ownership that goes with every durable effect under it.
 *
 * @property check what must still hold in the table when the effect is written; a later owner makes it fail.
 */
public data class Fence(
    public val epoch: Epoch,
    public val check: RowCheck,
)
