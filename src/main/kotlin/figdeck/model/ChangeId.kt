package figdeck.model

/** Identifies a configuration change, so that its author can look it up after a lost reply. */
@JvmInline
public value class ChangeId(public val value: String) {
    init {
        requireId("change", value)
    }

    override fun toString(): String = value
}
