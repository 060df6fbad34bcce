package figdeck.process

import kotlin.time.Duration
import kotlin.time.TimeSource

private val errorType = Regex("\"type\":\"(\\w+)\"")
private val mayHaveRun = Regex("\"ran\":\"(\\w+)\"")

/** The [response] of [host], [took] after a request sent at [sentAt], a time since the start of the test's load. */
internal data class TimedResponse(
    val host: String,
    val sentAt: Duration,
    val took: Duration,
    val response: TestResponse,
)

/** Sends [request] to [daemon] and records the response with its times since [start]. */
internal suspend fun Fleet.sendTimed(
    daemon: FleetProcess,
    request: TestRequest,
    start: TimeSource.Monotonic.ValueTimeMark,
): TimedResponse {
    val sentAt = start.elapsedNow()
    val response = send(daemon.address, request)
    return TimedResponse(daemon.name, sentAt, start.elapsedNow() - sentAt, response)
}

/** Lists how often each host gave each answer, over which time, and how long the slowest took. */
internal fun List<TimedResponse>.summarize(): String =
    groupBy { it.host to it.response.describeAnswer() }.entries.joinToString("\n") { (key, outcomes) ->
        val slowest = outcomes.maxOf { it.took }
        "${key.first}: ${outcomes.size} x ${key.second}, sent at ${outcomes.minOf { it.sentAt }} to " +
            "${outcomes.maxOf { it.sentAt }}, slowest $slowest"
    }

private fun TestResponse.describeAnswer(): String {
    val type = errorType.find(body)?.groupValues?.get(1)
    val ran = mayHaveRun.find(body)?.groupValues?.get(1)
    return when {
        status == 0 -> "no answer ($body)"
        type == null -> "$status"
        else -> "$status $type, ran $ran"
    }
}

/** What [daemons] report to operators: their revision, its latest confirmation and whether the table is in doubt. */
internal suspend fun Fleet.describeStatuses(daemons: List<FleetProcess>): String = daemons.map { daemon ->
    "${daemon.name}: ${send(daemon.operatorAddress, TestRequest("GET", "/v1/status", key = OPERATOR_SECRET)).body}"
}.joinToString("\n")
