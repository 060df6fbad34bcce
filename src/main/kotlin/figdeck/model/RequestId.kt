package figdeck.model

/** Identifies an accepted request across the fleet. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class RequestId(public val value: String) {
    init {
        requireId("request", value)
    }

    override fun toString(): String = value
}
