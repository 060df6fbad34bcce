package figdeck.model

/**
 * The durable marker of a request that has been accepted and has not ended yet.
 *
 * @property epoch the epoch of the journal under which it was accepted.
 * @property intent the latest recorded intent to send the request to an upstream; null if none was recorded.
 */
public data class OpenRequest(
    public val id: RequestId,
    public val host: HostId,
    public val epoch: Epoch,
    public val intent: Intent?,
)

/** The intent to send a non-idempotent call to [upstream]. It is made durable before the call is sent. */
public data class Intent(
    public val upstream: UpstreamId,
    public val host: HostId,
    public val atMillis: Long,
)
