package figdeck.log

import arrow.core.Either

/** What was read, or null after a line in [log] that tells why it can't be. */
internal fun <T : Any> Either<String, T>.orWarn(log: PartLog): T? = onLeft { fault -> log.warn { fault } }.getOrNull()
