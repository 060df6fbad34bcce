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

private val COMMIT_TIMEOUT = 8.seconds
private val COMMIT_RETRY_DELAY = 100.milliseconds

/** The outcome of a change that the table has decided. */
internal enum class ChangeOutcome {
    /** The change is in force. */
    ACCEPTED,

    /** Another change was committed first; this one never takes effect. */
    OVERTAKEN,
}

/**
 * Commits [transaction] until its outcome is known. Retries are safe: every attempt checks the same version of the
 * head, so at most one takes effect. After a conflict, which an earlier attempt with a lost reply can cause, the change
 * at that revision is read back to see which one was committed.
 */
internal suspend fun Raise<ChangeFailure>.commitUntilDecided(
    store: ConfigurationStore,
    change: ConfigurationChange,
    transaction: TableTransaction,
): ChangeOutcome {
    val startedAt = store.clock()
    var mayHaveCommitted = false
    var outcome: ChangeOutcome? = null
    while (outcome == null) {
        val reply = store.platform.commands.commit(transaction)
        mayHaveCommitted = mayHaveCommitted || reply is CallResult.Unknown
        ensure(mayHaveCommitted || reply is CallResult.Done) { ChangeFailure.Unavailable }
        outcome = (reply as? CallResult.Done)?.let { outcomeOf(store, change, it.value) }
        if (outcome == null) {
            ensure(store.clock() - startedAt < COMMIT_TIMEOUT) { ChangeFailure.Unsettled(change.id) }
            delay(COMMIT_RETRY_DELAY)
        }
    }
    return outcome
}

private suspend fun outcomeOf(
    store: ConfigurationStore,
    change: ConfigurationChange,
    reply: CommitReply,
): ChangeOutcome? =
    when (reply) {
        is CommitReply.Committed -> ChangeOutcome.ACCEPTED
        is CommitReply.Conflict -> readOutcome(store, change)
    }

/**
 * Reads the change at the revision of [change] after the head turned out to have moved on. Returns null if it cannot be
 * read now. If there is no change at that revision, [change] can no longer take effect.
 */
private suspend fun readOutcome(store: ConfigurationStore, change: ConfigurationChange): ChangeOutcome? =
    when (val read = store.platform.queries.readChange(change.revision)) {
        is CallResult.Done -> if (read.value?.id == change.id) ChangeOutcome.ACCEPTED else ChangeOutcome.OVERTAKEN
        is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown -> null
    }
