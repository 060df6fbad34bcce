package figdeck.daemon.command

import arrow.core.Either
import arrow.core.getOrElse
import figdeck.command.journal.Recovery
import figdeck.command.journal.recoveryOf
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.OpenRequest
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestRecord
import figdeck.model.RowCheck
import figdeck.model.Work
import figdeck.model.emptyConfiguration
import figdeck.model.map
import figdeck.query.RouteAccess
import figdeck.store.Store
import figdeck.store.query.StoreQueries
import figdeck.wire.decodeOpenRequest
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SCAN_PAGE_SIZE = 500
private const val MAX_CONCURRENT_RECOVERIES = 8
private const val MAX_RERUNS_PER_REQUEST = 60
private val READ_RETRY_DELAY = 200.milliseconds
private val RERUN_DELAY = 1.seconds
private val log = PartLog("recovery")

/**
 * The requests that a previous owner of a journal left open.
 *
 * @property host the host that accepted them.
 * @property fence the check that must hold for this daemon to record their outcomes.
 * @property beforeEpoch the epoch of the new owner; the requests were accepted under earlier epochs.
 */
internal data class AbandonedRequests(
    val host: HostId,
    val fence: RowCheck,
    val beforeEpoch: Epoch,
)

/**
 * Ends every request of [abandoned]: records the outcome that is known, or runs the request again. Returns false if
 * another owner claimed the journal meanwhile.
 */
internal suspend fun Services.recover(platform: Store, abandoned: AbandonedRequests): Boolean {
    awaitConfiguration()
    val open = scanOpen(platform.queries, abandoned)
    if (open.isNotEmpty()) {
        log.info { "recovering ${open.size} requests that host ${abandoned.host} left open" }
    }
    val owned = AtomicBoolean(true)
    val permits = Semaphore(MAX_CONCURRENT_RECOVERIES)
    coroutineScope {
        open.forEach { request ->
            launch {
                permits.withPermit {
                    if (owned.get() && !recover(request, abandoned.fence)) {
                        owned.set(false)
                    }
                }
            }
        }
    }
    return owned.get()
}

private suspend fun Services.awaitConfiguration() {
    while (control.snapshot.let { it.confirmedAt == null && it.configuration == emptyConfiguration }) {
        delay(READ_RETRY_DELAY)
    }
}

private suspend fun scanOpen(queries: StoreQueries, abandoned: AbandonedRequests): List<OpenRequest> {
    val prefix = openPrefix(abandoned.host)
    val found = mutableListOf<OpenRequest>()
    var after = prefix
    var more = true
    while (more) {
        val rows = retryUntilDone { queries.scanRows(prefix, after, SCAN_PAGE_SIZE) }
        found += rows.map { decodeOpenRequest(it.value) }.filter { it.epoch < abandoned.beforeEpoch }
        after = rows.lastOrNull()?.key ?: after
        more = rows.size == SCAN_PAGE_SIZE
    }
    return found
}

private suspend fun Services.recover(open: OpenRequest, fence: RowCheck): Boolean {
    val record = retryUntilDone { records.find(open.id).map { it.value } } ?: return true
    return when (val recovery = recoveryOf(record, open)) {
        Recovery.Drop -> true
        is Recovery.End -> recordEnd(record, recovery.outcome, fence)
        Recovery.Rerun -> {
            val rerun = rerun(record)
            recordEnd(record.copy(attempts = rerun.attempts), rerun.result.getOrElse { Outcome.Failed(it) }, fence)
        }
    }
}

private suspend fun Services.recordEnd(record: RequestRecord, outcome: Outcome, fence: RowCheck): Boolean {
    val ended = record.copy(endedAtMillis = clock().epochMillis, outcome = outcome)
    return journal.finishRecovered(ended, fence) == FinishResult.KEPT
}

/**
 * Runs the request of [record] until it is answered. If no attempt succeeds, refuses it with [Refusal.HostLost],
 * because the lost host may have run it.
 */
private suspend fun Services.rerun(record: RequestRecord): RerunResult {
    var last = RerunResult(record.attempts, Either.Left(Refusal.HostLost(record.host)))
    repeat(MAX_RERUNS_PER_REQUEST) {
        last = rerunOnce(record.copy(attempts = last.attempts))
        if (last.result.isRight()) {
            return last
        }
        delay(RERUN_DELAY)
    }
    return last.copy(result = Either.Left(Refusal.HostLost(record.host)))
}

private suspend fun Services.rerunOnce(record: RequestRecord): RerunResult {
    val index = control.snapshot.index
    val team = index.teams[record.team]
    val lost = RerunResult(record.attempts, Either.Left(Refusal.HostLost(record.host)))
    return when (val work = record.work) {
        is Work.Chat -> {
            val pool = index.models[work.model]
            if (team == null || pool == null) lost else rerunChat(record, team, pool, work)
        }
        is Work.ServiceCall ->
            index.routes[work.route]?.let { rerunCall(record, RouteAccess(it, team), work) } ?: lost
    }
}

private suspend fun <T> retryUntilDone(call: suspend () -> CallResult<T>): T {
    while (true) {
        val result = call()
        if (result is CallResult.Done) {
            return result.value
        }
        delay(READ_RETRY_DELAY)
    }
}
