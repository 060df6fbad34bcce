package figdeck.daemon.query.serving

import figdeck.log.PartLog
import figdeck.model.Row
import figdeck.model.valueOrNull
import figdeck.store.query.FeedReply
import figdeck.store.query.RowChange
import figdeck.store.query.TableFeed
import figdeck.store.query.allRows
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long the store waits for a change before it returns an empty response. */
private val FEED_WAIT = 2.seconds
private val MIN_RETRY_DELAY = 100.milliseconds
private val MAX_RETRY_DELAY = 500.milliseconds
private const val BACKOFF_FACTOR = 2
private const val MIN_JITTER = 0.5
private val log = PartLog("store")

/**
 * Receives the content and the changes of a table.
 *
 * @property replace receives the rows of the table that [keep] accepts.
 * @property change receives changes in their order; the list is empty if the store reported none.
 * @property fail is called when the store gave no answer.
 * @property keep tells which rows of the whole table matter. The others never are in memory together.
 */
internal data class TableFollower(
    val replace: suspend (List<Row>) -> Unit,
    val change: suspend (List<RowChange>) -> Unit,
    val fail: suspend () -> Unit = {},
    val keep: (Row) -> Boolean = allRows,
)

/**
 * Follows [table] until cancelled: reads a snapshot, then long-polls for changes after its version, and reads a new
 * snapshot if the store no longer has the history since then. Waits for [minInterval] after each response with changes.
 */
internal suspend fun TableFeed.follow(
    table: String,
    random: Random,
    minInterval: () -> Duration,
    follower: TableFollower,
) {
    var step: FollowStep = FollowStep.ReadSnapshot
    var retryDelay = Duration.ZERO
    while (true) {
        val next = advance(table, step, minInterval, follower)
        if (next == null) {
            follower.fail()
            if (retryDelay == Duration.ZERO) {
                log.warn { "table '$table' can't be read: retrying with a delay" }
            }
            retryDelay = (retryDelay * BACKOFF_FACTOR).coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
            // The random delay prevents all hosts from retrying at the same time.
            delay(retryDelay * (MIN_JITTER + random.nextDouble()))
        } else {
            if (retryDelay > Duration.ZERO) {
                log.info { "table '$table' can be read again" }
            }
            retryDelay = Duration.ZERO
            step = next
        }
    }
}

/** The next request to the store. */
private sealed interface FollowStep {
    data object ReadSnapshot : FollowStep

    data class ReadChanges(val after: Long) : FollowStep
}

/** Executes [step] and returns the next one, or null if the store gave no answer. */
private suspend fun TableFeed.advance(
    table: String,
    step: FollowStep,
    minInterval: () -> Duration,
    follower: TableFollower,
): FollowStep? = when (step) {
    FollowStep.ReadSnapshot -> snapshot(table, follower.keep).valueOrNull()?.let {
        follower.replace(it.rows)
        FollowStep.ReadChanges(it.version)
    }
    is FollowStep.ReadChanges -> when (val reply = changes(table, step.after, FEED_WAIT).valueOrNull()) {
        is FeedReply.Changes -> {
            follower.change(reply.changes)
            if (reply.changes.isNotEmpty()) {
                delay(minInterval())
            }
            FollowStep.ReadChanges(maxOf(step.after, reply.version))
        }
        FeedReply.HistoryLost -> {
            log.info { "reading a new snapshot of table '$table': its history since version ${step.after} is lost" }
            FollowStep.ReadSnapshot
        }
        null -> null
    }
}
