package figdeck.model

/** Names a key, so that operators can withdraw it without holding the secret. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class KeyId(public val value: String) {
    init {
        requireId("key", value)
    }

    override fun toString(): String = value
}
