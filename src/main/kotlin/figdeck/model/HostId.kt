package figdeck.model

/** Identifies the host of a daemon. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class HostId(public val value: String) {
    init {
        requireId("host", value)
    }

    override fun toString(): String = value
}
