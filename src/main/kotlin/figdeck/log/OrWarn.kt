package figdeck.log

import arrow.core.Either

/** Returns the right value, or logs the error as a warning and returns null. */
internal fun <T : Any> Either<String, T>.orWarn(log: PartLog): T? = onLeft { fault -> log.warn { fault } }.getOrNull()
