package figdeck.command.batch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.BatchId
import figdeck.model.Refusal

/** The first job accepted under a resend key, and the digest of its body. */
public data class FirstJob(
    public val id: BatchId,
    public val digest: String,
)

/** Resolves a repeated upload to its [first] job, or refuses an idempotency key that was used with another body. */
public fun resolveResend(first: FirstJob, idempotencyKey: String?, digest: String): Either<Refusal, BatchId> =
    if (first.digest == digest) first.id.right() else Refusal.IdempotencyKeyReused(idempotencyKey.orEmpty()).left()
