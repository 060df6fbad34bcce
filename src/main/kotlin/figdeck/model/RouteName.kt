package figdeck.model

/** Identifies a route to plain services. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class RouteName(public val value: String) {
    init {
        requireId("route", value)
    }

    override fun toString(): String = value
}
