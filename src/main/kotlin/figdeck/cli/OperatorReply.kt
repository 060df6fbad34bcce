package figdeck.cli

/** What a daemon answered an operator. */
internal data class OperatorReply(
    val status: Int,
    val body: String,
)
