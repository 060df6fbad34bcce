package figdeck.model

/** Names one change of the configuration, so that its author can find it after a lost reply. */
@JvmInline
public value class ChangeId(public val value: String) {
    init {
        requireId("change", value)
    }

    override fun toString(): String = value
}
