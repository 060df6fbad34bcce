package figdeck.model

/** Identifies a template. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class TemplateName(public val value: String) {
    init {
        requireId("template", value)
    }

    override fun toString(): String = value
}
