package figdeck.model

/** One message of a chat. */
public data class Message(
    public val role: String,
    public val content: String,
)
