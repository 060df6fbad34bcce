package figdeck.http.client

/** The reason why an exchange did not return a complete response. */
public sealed interface ExchangeFailure {
    /** A description of the failure for logs and results. */
    public val reason: String

    /**
     * No byte of the request was sent.
     *
     * @property isPeerAtFault whether it was not sent because of its peer, and not because of this host's own limits.
     */
    public data class NotSent(
        override val reason: String,
        public val isPeerAtFault: Boolean = true,
    ) : ExchangeFailure

    /** All or part of the request was sent, so it may have taken effect. */
    public data class Lost(override val reason: String, public val cause: LossCause) : ExchangeFailure
}

/** What ended an exchange before its response was complete. */
public enum class LossCause {
    /** The peer closed or reset the connection. */
    CONNECTION_ENDED,

    /** The peer sent bytes that are no response to the request. */
    INVALID_RESPONSE,

    /** The peer sent nothing for longer than allowed. */
    TIMEOUT,
}
