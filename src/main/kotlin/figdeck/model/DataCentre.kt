package figdeck.model

/** Identifies a data centre. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class DataCentre(public val value: String) {
    init {
        requireId("data centre", value)
    }

    override fun toString(): String = value
}
