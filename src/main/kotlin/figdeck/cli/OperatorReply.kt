package figdeck.cli

/** A daemon's response to an operator's request. */
internal data class OperatorReply(
    val status: Int,
    val body: String,
)
