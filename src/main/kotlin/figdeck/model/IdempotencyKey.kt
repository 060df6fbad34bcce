package figdeck.model

/**
 * What tells a resent request from a new one: equal keys of one team with equal bodies are the same request.
 *
 * @property key the caller's idempotency key.
 * @property requestDigest the digest of the request's target and body.
 */
public data class IdempotencyKey(
    public val key: String,
    public val requestDigest: KeyHash,
)

/** The request that first came with an idempotency key, and the digest of its target and [requestDigest]. */
public data class IdempotencyRecord(
    public val id: RequestId,
    public val requestDigest: KeyHash,
)
