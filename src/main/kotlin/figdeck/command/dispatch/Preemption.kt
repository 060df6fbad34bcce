package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.Moment
import kotlin.time.Duration

/**
 * The batch work whose slot online work gets; null if there is none. With expectations of all batch work, it is the
 * work with the most time left, since it would keep the slot for the longest time. Otherwise it is the work that has
 * held slots for the shortest time, since it loses the least.
 */
internal fun UpstreamState.workToRevoke(now: Moment): RunningRequest? {
    val candidates = running.values.filter { it.request.lane == Lane.BATCH && it.revokedAt == null }
    val meanOutput = candidates.mapNotNull { it.request.expected?.outputTokens }.average()
    return if (candidates.all { it.request.expected != null }) {
        candidates.maxByOrNull { expectedTimeLeft(it, meanOutput, now) }
    } else {
        candidates.maxByOrNull { it.since.monotonicNanos - it.request.slotTimeUsed.inWholeNanoseconds }
    }
}

/**
 * The time that [work] still needs. All work here runs at the same pace, so the average holding time stands for the
 * mean output. Work that was expected to be done before now has a negative time left.
 */
private fun UpstreamState.expectedTimeLeft(work: RunningRequest, meanOutput: Double, now: Moment): Duration {
    val output = work.request.expected?.outputTokens ?: 0
    return batch.averageHold * (output / meanOutput) - (now - work.since) - work.request.slotTimeUsed
}
