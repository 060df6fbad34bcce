package figdeck.model

/** Identifies a region, which contains one or more data centres. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class Region(public val value: String) {
    init {
        requireId("region", value)
    }

    override fun toString(): String = value
}
