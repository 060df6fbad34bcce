package figdeck.model

/**
 * The durable record of an accepted request, which documents how it was processed.
 *
 * @property epoch the epoch of the host's journal under which it was accepted.
 * @property idempotencyKey identifies resends of the request; null if the request has no idempotency key.
 */
public data class RequestRecord(
    public val id: RequestId,
    public val team: TeamId?,
    public val work: Work,
    public val host: HostId,
    public val epoch: Epoch,
    public val revision: Revision,
    public val acceptedAtMillis: Long,
    public val idempotencyKey: IdempotencyKey?,
    public val attempts: List<Attempt>,
    public val endedAtMillis: Long?,
    public val outcome: Outcome?,
)

/** One attempt to run a request at an upstream. */
public data class Attempt(
    public val upstream: UpstreamId,
    public val host: HostId,
    public val startedAtMillis: Long,
    public val result: String,
)
