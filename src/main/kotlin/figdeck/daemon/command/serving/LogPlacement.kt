package figdeck.daemon.command.serving

import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.PlacementChange
import figdeck.command.dispatch.PoolPace
import figdeck.log.DecisionLog
import figdeck.log.LogLine
import figdeck.model.Moment
import figdeck.telemetry.Meters
import kotlin.math.roundToLong
import kotlin.time.Duration

private const val PERCENT = 100
private const val NANOS_PER_MICRO = 1_000

/** Writes one line for [change], with the observations from which it follows and their age. */
internal fun DecisionLog.notePlacement(change: PlacementChange, now: Moment) = when (change) {
    is PlacementChange.Pool -> note(
        if (change.comparison.isByCompletion) "placed_by_completion" else "placed_by_free_slots",
        change.pool.value,
    ) { putComparison(change.comparison) }
    is PlacementChange.Upstream -> note(if (change.isSlow) "slow" else "not_slow", change.id.value) {
        put("pool", change.pool.value)
        change.relativePace?.let { put("pace_percent", (it * PERCENT).roundToLong()) }
        put("token_us", change.pace.tokenNanos.slow.value.roundToLong() / NANOS_PER_MICRO)
        put("recent_token_us", change.pace.tokenNanos.fast.value.roundToLong() / NANOS_PER_MICRO)
        put("observations", change.pace.observations.toLong())
        change.pace.observedAt?.let { put("observed_ms_ago", (now - it).inWholeMilliseconds) }
        putComparison(change.comparison)
    }
}

/** Registers the metrics of the upstreams that count as slow, and returns how to record expected and seen times. */
internal fun Meters.observePlacement(state: () -> DispatchState): (Duration, Duration) -> Unit {
    gauge("figdeck.placement.slow.upstreams") { state().paces.values.sumOf { it.slow.size } }
    gauge("figdeck.placement.slowest.pace") { state().paces.values.maxOfOrNull { it.slowest } ?: 1.0 }
    gauge("figdeck.placement.pools.by.completion") { state().paces.values.count { it.isByCompletion } }
    return { expected, seen ->
        recordTime("figdeck.placement.slot.time", expected, listOf("kind", "expected"))
        recordTime("figdeck.placement.slot.time", seen, listOf("kind", "seen"))
        recordTime("figdeck.placement.slot.time", (seen - expected).absoluteValue, listOf("kind", "error"))
    }
}

private fun LogLine.putComparison(comparison: PoolPace) {
    put("median_token_us", comparison.tokenNanos.roundToLong() / NANOS_PER_MICRO)
    put("slowest_percent", (comparison.slowest * PERCENT).roundToLong())
    put("slow", comparison.slow.size.toLong())
    put("fast", comparison.fast.size.toLong())
    put("known", comparison.known.toLong())
    put("upstreams", comparison.upstreams.size.toLong())
}
