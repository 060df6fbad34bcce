package figdeck.model

/**
 * Identifies an API key, so that operators can withdraw it without knowing the secret. At most [MAX_ID_LENGTH]
 * characters.
 */
@JvmInline
public value class KeyId(public val value: String) {
    init {
        requireId("key", value)
    }

    override fun toString(): String = value
}
