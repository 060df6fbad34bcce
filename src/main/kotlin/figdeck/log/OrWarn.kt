package figdeck.log

import arrow.core.Either

/** Returns the value, or logs the error to [log] as a warning and returns null. */
internal fun <T : Any> Either<String, T>.orWarn(log: PartLog): T? = onLeft { fault -> log.warn { fault } }.getOrNull()
