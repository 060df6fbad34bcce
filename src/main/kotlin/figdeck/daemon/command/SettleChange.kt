package figdeck.daemon.command

import arrow.core.raise.Raise
import arrow.core.raise.ensure
import figdeck.daemon.query.readChange
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.ConfigurationChange
import figdeck.model.TableTransaction
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SETTLE_LIMIT = 8.seconds
private val SETTLE_PAUSE = 100.milliseconds

/** How a change came out that the table has decided. */
internal enum class Settled {
    /** The change is in force. */
    ACCEPTED,

    /** Another change came first, and this one never takes effect. */
    OVERTAKEN,
}

/**
 * Commits until the table has decided. Sending again is safe: every try checks the same version of the head, so one at
 * most takes effect, and a conflict after a lost reply is read back to see whose change came first.
 */
internal suspend fun Raise<ChangeFailure>.settle(
    store: ConfigurationStore,
    change: ConfigurationChange,
    transaction: TableTransaction,
): Settled {
    val startedAt = store.clock()
    var mayHaveRun = false
    var settled: Settled? = null
    while (settled == null) {
        val reply = store.platform.commands.commit(transaction)
        mayHaveRun = mayHaveRun || reply is CallResult.Unknown
        ensure(mayHaveRun || reply is CallResult.Done) { ChangeFailure.Unavailable }
        settled = (reply as? CallResult.Done)?.let { decided(store, change, it.value) }
        if (settled == null) {
            ensure(store.clock() - startedAt < SETTLE_LIMIT) { ChangeFailure.Unsettled(change.id) }
            delay(SETTLE_PAUSE)
        }
    }
    return settled
}

private suspend fun decided(store: ConfigurationStore, change: ConfigurationChange, reply: CommitReply): Settled? =
    when (reply) {
        is CommitReply.Committed -> Settled.ACCEPTED
        is CommitReply.Conflict -> ownerOf(store, change)
    }

/**
 * Whose change stands at that revision, after the head was found to have moved on; null when it can't be read now.
 * Where none stands, [change] can't take effect any more.
 */
private suspend fun ownerOf(store: ConfigurationStore, change: ConfigurationChange): Settled? =
    when (val read = store.platform.queries.readChange(change.revision)) {
        is CallResult.Done -> if (read.value?.id == change.id) Settled.ACCEPTED else Settled.OVERTAKEN
        is CallResult.NotDone, is CallResult.Unknown -> null
    }
