package figdeck.daemon.query.serving

import figdeck.control.Control
import figdeck.control.serving.ColdUpstream
import figdeck.control.serving.ServingState
import figdeck.control.serving.coldUpstreams
import figdeck.control.serving.hasMainColdShare
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.UpstreamId
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private val CHECK_INTERVAL = 500.milliseconds

/** Logs each upstream that has become cold or has stopped being cold, until cancelled. */
internal suspend fun Control<ServingState>.logColdUpstreams(clock: Clock, decisions: DecisionLog) {
    var known = emptyMap<UpstreamId, ColdUpstream>()
    while (true) {
        delay(CHECK_INTERVAL)
        val current = coldUpstreams(snapshot, clock()).associateBy { it.id }
        (current - known.keys).values.forEach { logChange("upstream_cold", it, clock, decisions) }
        (known - current.keys).values.forEach { logChange("upstream_warm", it, clock, decisions) }
        known = current
    }
}

private fun Control<ServingState>.logChange(
    event: String,
    upstream: ColdUpstream,
    clock: Clock,
    decisions: DecisionLog,
) {
    val now = clock()
    val statement = upstream.statement
    decisions.note(event, upstream.id.value) {
        put("pool", upstream.pool.value)
        put("source", statement.source.name.lowercase())
        put("stated_ms", (statement.remaining ?: upstream.policy.duration).inWholeMilliseconds)
        put("learned_ms_ago", (now - statement.learnedAt).inWholeMilliseconds)
        put("per_second", upstream.limit.requestsPerSecond.toString())
        put("share", if (snapshot.fleet.hasMainColdShare(upstream.pool, now)) "main" else "own")
        put("members_read_ms_ago", snapshot.fleet.scan?.let { (now - it.sentAt).inWholeMilliseconds } ?: -1)
    }
}
