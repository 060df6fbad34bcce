package figdeck.model

/** Names a region, which holds one or more data centres. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class Region(public val value: String) {
    init {
        requireId("region", value)
    }

    override fun toString(): String = value
}
