package figdeck.model

/** Identifies a batch job across the fleet. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class BatchId(public val value: String) {
    init {
        requireId("batch", value)
    }

    override fun toString(): String = value
}
