package figdeck.model

/** Identifies a team: the tenant on whose behalf requests run. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class TeamId(public val value: String) {
    init {
        requireId("team", value)
    }

    override fun toString(): String = value
}
