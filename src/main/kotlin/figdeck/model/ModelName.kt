package figdeck.model

/** Identifies a language model. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class ModelName(public val value: String) {
    init {
        requireId("model", value)
    }

    override fun toString(): String = value
}
