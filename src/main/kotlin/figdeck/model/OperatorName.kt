package figdeck.model

/** Identifies the operator who made a change. */
@JvmInline
public value class OperatorName(public val value: String) {
    init {
        requireId("operator", value)
    }

    override fun toString(): String = value
}
