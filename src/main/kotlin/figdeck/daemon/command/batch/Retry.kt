package figdeck.daemon.command.batch

import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.TableTransaction
import figdeck.store.query.Lookup
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val MAX_BACKOFF = 5.seconds

/** Retries the idempotent [call] with exponential backoff until it succeeds or [shouldRetry] returns false. */
internal suspend fun <T> BatchServices.retryWhile(
    shouldRetry: () -> Boolean,
    call: suspend () -> CallResult<T>,
): CallResult<T> {
    var backoff = tuning.initialBackoff
    var result = call()
    while (result !is CallResult.Done && result !is CallResult.Refused && shouldRetry()) {
        delay(backoff)
        backoff = nextBackoff(backoff)
        result = call()
    }
    return result
}

/** Returns a condition that holds until [BatchTuning.storeTimeout] has passed. */
internal fun BatchServices.untilStoreTimeout(): () -> Boolean {
    val deadline = services.clock() + tuning.storeTimeout
    return { services.clock() < deadline }
}

internal fun nextBackoff(backoff: Duration): Duration = minOf(backoff * 2, MAX_BACKOFF)

/** The outcome of a transaction that is retried until its effect is known or the retries end. */
internal sealed interface CommitOutcome {
    /** The transaction took effect at table version [version]. */
    data class Committed(val version: Long) : CommitOutcome

    /** Another change came first, so the transaction never takes effect. */
    data object Conflicted : CommitOutcome

    /** The retries ended without a reply from the table, and the transaction did not take effect. */
    data object NotDone : CommitOutcome

    /** The retries ended without a decisive reply from the table, and the transaction may have taken effect. */
    data object Unknown : CommitOutcome
}

/**
 * Commits [transaction], whose checks let it take effect at most once, and retries it after a lost reply. A conflict
 * then means either that an earlier attempt took effect or that another change came first. [readVersion] reads the row
 * back to tell them apart: it returns the version that the earlier attempt wrote, or null after another change.
 */
internal suspend fun BatchServices.commitOnce(
    transaction: TableTransaction,
    shouldRetry: () -> Boolean,
    readVersion: suspend () -> CallResult<Lookup<Long>>,
): CommitOutcome {
    var anyUnknown = false
    val reply = retryWhile(shouldRetry) {
        platform.commands.commit(transaction).also { anyUnknown = anyUnknown || it is CallResult.Unknown }
    }
    return when (reply) {
        is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown ->
            if (anyUnknown) CommitOutcome.Unknown else CommitOutcome.NotDone
        is CallResult.Done -> when (val commitReply = reply.value) {
            is CommitReply.Committed -> CommitOutcome.Committed(commitReply.version)
            is CommitReply.Conflict -> if (anyUnknown) readBack(shouldRetry, readVersion) else CommitOutcome.Conflicted
        }
    }
}

private suspend fun BatchServices.readBack(
    shouldRetry: () -> Boolean,
    readVersion: suspend () -> CallResult<Lookup<Long>>,
): CommitOutcome = when (val read = retryWhile(shouldRetry, readVersion)) {
    is CallResult.Done -> read.value.value?.let { CommitOutcome.Committed(it) } ?: CommitOutcome.Conflicted
    is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown -> CommitOutcome.Unknown
}
