package figdeck.model

/**
 * Distinguishes a resent request from a new one: within a team, equal keys with equal digests mean the same request.
 *
 * @property key the idempotency key as sent by the caller.
 * @property requestDigest the digest of the request's target and body.
 */
public data class IdempotencyKey(
    public val key: String,
    public val requestDigest: KeyHash,
)

/** The first request with an idempotency key, and the digest of its target and body. */
public data class IdempotencyRecord(
    public val id: RequestId,
    public val requestDigest: KeyHash,
)
