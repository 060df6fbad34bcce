package figdeck.http.client

/** Why an exchange gave no whole response. */
public sealed interface ExchangeFailure {
    /** What happened. */
    public val reason: String

    /** No byte of the request left this process. */
    public data class NotSent(override val reason: String) : ExchangeFailure

    /** The request, or a part of it, was sent; whether it took effect is unknown. */
    public data class Lost(override val reason: String) : ExchangeFailure
}
