package figdeck.daemon.query.serving

import figdeck.log.PartLog
import figdeck.model.Row
import figdeck.model.valueOrNull
import figdeck.store.query.FeedReply
import figdeck.store.query.RowChange
import figdeck.store.query.TableFeed
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long the store waits for a change before it answers that there is none. */
private val FEED_WAIT = 2.seconds
private val MIN_RETRY_DELAY = 100.milliseconds
private val MAX_RETRY_DELAY = 500.milliseconds
private const val BACKOFF_FACTOR = 2
private const val MIN_JITTER = 0.5
private val log = PartLog("store")

/**
 * What follows a table.
 *
 * @property replace takes all rows of the table.
 * @property change takes changes in their order; the list is empty when the store had nothing to tell.
 */
internal data class TableFollower(
    val replace: suspend (List<Row>) -> Unit,
    val change: suspend (List<RowChange>) -> Unit,
)

/**
 * Follows [table] until cancelled: reads it whole, then waits for changes from that version on, and reads it whole
 * again when the store has lost the history between. At least [minInterval] passes between two requests that returned
 * changes.
 */
internal suspend fun TableFeed.follow(
    table: String,
    random: Random,
    minInterval: Duration,
    follower: TableFollower,
) {
    var step: FollowStep = FollowStep.ReadSnapshot
    var retryDelay = Duration.ZERO
    while (true) {
        val next = advance(table, step, minInterval, follower)
        if (next == null) {
            if (retryDelay == Duration.ZERO) {
                log.warn { "table '$table' can't be read: asked again until it can" }
            }
            retryDelay = (retryDelay * BACKOFF_FACTOR).coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
            // The pause differs between hosts, so that they don't return all at once.
            delay(retryDelay * (MIN_JITTER + random.nextDouble()))
        } else {
            if (retryDelay > Duration.ZERO) {
                log.info { "table '$table' is read again" }
            }
            retryDelay = Duration.ZERO
            step = next
        }
    }
}

/** What to ask the store next. */
private sealed interface FollowStep {
    data object ReadSnapshot : FollowStep

    data class ReadChanges(val after: Long) : FollowStep
}

/** The step after [step]; null when the store gave no answer. */
private suspend fun TableFeed.advance(
    table: String,
    step: FollowStep,
    minInterval: Duration,
    follower: TableFollower,
): FollowStep? = when (step) {
    FollowStep.ReadSnapshot -> snapshot(table).valueOrNull()?.let {
        follower.replace(it.rows)
        FollowStep.ReadChanges(it.version)
    }
    is FollowStep.ReadChanges -> when (val reply = changes(table, step.after, FEED_WAIT).valueOrNull()) {
        is FeedReply.Changes -> {
            follower.change(reply.changes)
            if (reply.changes.isNotEmpty()) {
                delay(minInterval)
            }
            FollowStep.ReadChanges(maxOf(step.after, reply.version))
        }
        FeedReply.HistoryLost -> {
            log.info { "table '$table' is read whole: its history since version ${step.after} is lost" }
            FollowStep.ReadSnapshot
        }
        null -> null
    }
}
