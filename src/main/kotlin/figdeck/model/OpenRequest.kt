package figdeck.model

/**
 * The durable sign that a request has been accepted and has not ended.
 *
 * @property epoch the epoch of the journal under which it was accepted.
 * @property intent the latest sending that may have an effect; null while none was about to begin.
 */
public data class OpenRequest(
    public val id: RequestId,
    public val host: HostId,
    public val epoch: Epoch,
    public val intent: Intent?,
)

/** The intent to send a call that must not be repeated; durable before the call is sent. */
public data class Intent(
    public val upstream: UpstreamId,
    public val host: HostId,
    public val atMillis: Long,
)
