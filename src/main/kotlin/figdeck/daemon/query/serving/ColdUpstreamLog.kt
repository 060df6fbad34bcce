package figdeck.daemon.query.serving

import figdeck.command.serving.until
import figdeck.control.Control
import figdeck.control.serving.ColdUpstream
import figdeck.control.serving.ServingState
import figdeck.control.serving.coldUpstreams
import figdeck.control.serving.hasMainShare
import figdeck.log.DecisionLog
import figdeck.log.LogLine
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.UpstreamId
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private val CHECK_INTERVAL = 500.milliseconds

/** Logs each upstream that has become cold or has stopped being cold, until cancelled. */
internal suspend fun Control<ServingState>.logColdUpstreams(clock: Clock, decisions: DecisionLog) {
    var known = emptyMap<UpstreamId, ColdUpstream>()
    while (true) {
        delay(CHECK_INTERVAL)
        val now = clock()
        val state = snapshot
        val current = coldUpstreams(state, now).associateBy { it.id }
        (current - known.keys).values.forEach { upstream ->
            decisions.note("upstream_cold", upstream.id.value) { putCold(upstream, state, now) }
        }
        (known - current.keys).values.forEach { upstream ->
            decisions.note("upstream_warm", upstream.id.value) {
                put("reason", warmReason(upstream, state, now))
                putCold(upstream, state, now)
            }
        }
        known = current
    }
}

/** Why [upstream], which was cold before, isn't cold in [state]. */
internal fun warmReason(upstream: ColdUpstream, state: ServingState, now: Moment): String = when {
    upstream.id !in state.pools.members -> "removed"
    now < upstream.statement.until(upstream.policy) -> "corrected"
    else -> "time over"
}

private fun LogLine.putCold(upstream: ColdUpstream, state: ServingState, now: Moment) {
    val statement = upstream.statement
    put("pool", upstream.pool.value)
    put("source", statement.source.name.lowercase())
    put("stated_ms", (statement.remaining ?: upstream.policy.duration).inWholeMilliseconds)
    put("learned_ms_ago", (now - statement.learnedAt).inWholeMilliseconds)
    put("per_second", upstream.limit.requestsPerSecond.toString())
    put("share", if (state.fleet.hasMainShare(upstream.pool, now)) "main" else "own")
    put("members_read_ms_ago", state.fleet.scan?.let { (now - it.sentAt).inWholeMilliseconds } ?: -1)
}
