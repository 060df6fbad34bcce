package figdeck.daemon.command.batch

import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.TableTransaction
import figdeck.store.query.Lookup
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val LONGEST_BACKOFF = 5.seconds

/** Repeats an idempotent [call] with growing pauses until it is done, as long as [goesOn]. */
internal suspend fun <T> BatchServices.retryWhile(
    goesOn: () -> Boolean,
    call: suspend () -> CallResult<T>,
): CallResult<T> {
    var backoff = pace.firstBackoff
    var result = call()
    while (result !is CallResult.Done && goesOn()) {
        delay(backoff)
        backoff = nextBackoff(backoff)
        result = call()
    }
    return result
}

/** A condition that holds for the patience of the pace from now on. */
internal fun BatchServices.patience(): () -> Boolean {
    val deadline = services.clock() + pace.patience
    return { services.clock() < deadline }
}

internal fun nextBackoff(backoff: Duration): Duration = minOf(backoff * 2, LONGEST_BACKOFF)

/** How a transaction ended that is tried until it is settled. */
internal sealed interface Settled {
    /** It took effect at table version [version]. */
    data class Committed(val version: Long) : Settled

    /** Another change came first, and it never takes effect. */
    data object Refused : Settled

    /** The table could not be asked in time, and it did not take effect. */
    data object NotDone : Settled

    /** The table could not be asked in time, and it may have taken effect. */
    data object Unknown : Settled
}

/**
 * Commits [transaction], whose checks let it take effect once at most. A lost reply is settled by trying again: a
 * conflict then means either that an earlier try took effect, which [ours] reads back as the version that it wrote, or
 * that another change came first, which it reads back as null.
 */
internal suspend fun BatchServices.commitOnce(
    transaction: TableTransaction,
    goesOn: () -> Boolean,
    ours: suspend () -> CallResult<Lookup<Long>>,
): Settled {
    var everUnknown = false
    val reply = retryWhile(goesOn) {
        platform.commands.commit(transaction).also { everUnknown = everUnknown || it is CallResult.Unknown }
    }
    return when (reply) {
        is CallResult.NotDone, is CallResult.Unknown -> if (everUnknown) Settled.Unknown else Settled.NotDone
        is CallResult.Done -> when (val decided = reply.value) {
            is CommitReply.Committed -> Settled.Committed(decided.version)
            is CommitReply.Conflict -> if (everUnknown) readBack(goesOn, ours) else Settled.Refused
        }
    }
}

private suspend fun BatchServices.readBack(
    goesOn: () -> Boolean,
    ours: suspend () -> CallResult<Lookup<Long>>,
): Settled = when (val read = retryWhile(goesOn, ours)) {
    is CallResult.Done -> read.value.value?.let { Settled.Committed(it) } ?: Settled.Refused
    is CallResult.NotDone, is CallResult.Unknown -> Settled.Unknown
}
