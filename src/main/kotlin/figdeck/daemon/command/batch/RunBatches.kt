package figdeck.daemon.command.batch

import figdeck.command.batch.CANCELS_PREFIX
import figdeck.command.batch.MAX_RUNNING_SEGMENTS
import figdeck.control.confirmRunningJobs
import figdeck.control.startSegments
import figdeck.control.stopSegment
import figdeck.daemon.query.readPointers
import figdeck.model.BatchId
import figdeck.model.CallResult
import figdeck.model.SegmentId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_CANCEL_NOTICES = 1000
private val DROP_CHECK_INTERVAL = 100.milliseconds

/** Runs this host's segments of batch jobs until cancelled. */
internal suspend fun runBatches(batches: BatchServices): Unit = coroutineScope {
    launch { batches.pollCancellations() }
    launch { batches.sweepBatches() }
    val permits = Semaphore(batches.tuning.maxItemsInFlight)
    while (true) {
        if (batches.hasCapacity()) {
            batches.startWaitingSegments(this, permits)
        }
        delay(batches.tuning.pollInterval)
    }
}

private fun BatchServices.hasCapacity(): Boolean {
    val state = services.control.snapshot
    return !state.draining && state.batch.running.size < MAX_RUNNING_SEGMENTS
}

private suspend fun BatchServices.startWaitingSegments(scope: CoroutineScope, permits: Semaphore) {
    val waiting = platform.queries.readPointers(services.ownership)
    val chosen = services.control.run { state, now -> startSegments(state, waiting, now) }
    chosen.forEach { pointer -> scope.launch { runUntilDropped(pointer.id, permits) } }
}

/** Runs the segment [id] until it ends or the control state no longer lists it as running. */
private suspend fun BatchServices.runUntilDropped(id: SegmentId, permits: Semaphore) = coroutineScope {
    val run = launch { runSegment(id, permits) }
    val dropWatcher = launch { cancelWhenDropped(id, run) }
    run.join()
    dropWatcher.cancel()
    withContext(NonCancellable) { services.control.run { state, _ -> stopSegment(state, id) } }
}

private suspend fun BatchServices.cancelWhenDropped(id: SegmentId, run: Job) {
    while (run.isActive) {
        delay(DROP_CHECK_INTERVAL)
        if (id !in services.control.snapshot.batch.running) {
            run.cancel()
        }
    }
}

/** Reads the notices of cancelled jobs at intervals while segments run, so that the segments of these jobs stop. */
private suspend fun BatchServices.pollCancellations() {
    while (true) {
        if (services.control.snapshot.batch.running.isNotEmpty()) {
            checkCancellations()
        }
        delay(tuning.cancelCheckInterval)
    }
}

private suspend fun BatchServices.checkCancellations() {
    val askedAt = services.clock()
    val notices = platform.queries.scanRows(CANCELS_PREFIX, CANCELS_PREFIX, MAX_CANCEL_NOTICES)
    if (notices is CallResult.Done) {
        val cancelled = notices.value.map { BatchId(it.value) }.toSet()
        services.control.run { state, _ -> confirmRunningJobs(state, cancelled, askedAt) }
    }
}
