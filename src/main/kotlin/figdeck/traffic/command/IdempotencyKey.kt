package figdeck.traffic.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.http.server.HttpCall
import figdeck.model.IdempotencyKey
import figdeck.model.Refusal
import figdeck.model.Team
import figdeck.model.hashKey

private const val IDEMPOTENCY_HEADER = "Idempotency-Key"
private const val MAX_KEY_LENGTH = 256

/** Returns the idempotency key of this call with [body], or null if the call has none. */
internal fun HttpCall.readIdempotencyKey(team: Team?, body: String): Either<Refusal, IdempotencyKey?> = either {
    headers.get(IDEMPOTENCY_HEADER)?.let { key ->
        ensure(key.length in 1..MAX_KEY_LENGTH) {
            Refusal.BadRequest(IDEMPOTENCY_HEADER, "use 1 to $MAX_KEY_LENGTH characters")
        }
        ensure(team != null) {
            Refusal.BadRequest(IDEMPOTENCY_HEADER, "no team came with it: send the team's key too")
        }
        IdempotencyKey(key, hashKey("$method $path\n$body"))
    }
}
