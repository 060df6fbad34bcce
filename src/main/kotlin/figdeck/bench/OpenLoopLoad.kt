package figdeck.bench

import figdeck.http.client.HttpClient
import figdeck.http.client.HttpReply
import figdeck.http.client.OutgoingRequest
import figdeck.model.Clock
import figdeck.model.Moment
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_LATENCY_MICROS = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val HTTP_OK = 200

/** An open-loop load: requests start at [ratePerSecond] for [duration], regardless of whether earlier ones are done. */
internal data class OpenLoopLoad(
    val ratePerSecond: Int,
    val duration: Duration,
)

/**
 * The result of a load. Latencies are measured from the time at which a request was due, so that they include the delay
 * of a late start.
 *
 * @property bytes the total size of the response bodies.
 * @property firstByte the latencies to the first byte of the response body.
 * @property lastByte the latencies to the end of the response body.
 */
internal data class LoadResult(
    val answered: Long,
    val failed: Long,
    val bytes: Long,
    val firstByte: ConcurrentHistogram,
    val lastByte: ConcurrentHistogram,
)

/** Sends the requests of [load], each created by [request], and waits for the last response. */
internal suspend fun HttpClient.runLoad(load: OpenLoopLoad, clock: Clock, request: () -> OutgoingRequest): LoadResult {
    val recorder = LoadRecorder(clock)
    val start = clock()
    coroutineScope {
        repeat((load.ratePerSecond * load.duration.inWholeSeconds).toInt()) { i ->
            val dueAt = start + (1.seconds * i / load.ratePerSecond)
            val wait = dueAt - clock()
            if (wait.isPositive()) {
                delay(wait)
            }
            launch { recorder.send(this@runLoad, request(), dueAt) }
        }
    }
    return recorder.result()
}

private class LoadRecorder(private val clock: Clock) {
    private val answered = AtomicLong()
    private val failed = AtomicLong()
    private val bytes = AtomicLong()
    private val firstByte = ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
    private val lastByte = ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)

    suspend fun send(client: HttpClient, request: OutgoingRequest, dueAt: Moment) {
        val status = client.exchange(request) { reply ->
            read(reply, dueAt)
            reply.status
        }
        if (status.getOrNull() == HTTP_OK) answered.incrementAndGet() else failed.incrementAndGet()
    }

    fun result(): LoadResult = LoadResult(answered.get(), failed.get(), bytes.get(), firstByte, lastByte)

    private suspend fun read(reply: HttpReply, dueAt: Moment) {
        var first = true
        reply.body.chunks.collect { chunk ->
            if (first) {
                firstByte.recordValue((clock() - dueAt).inWholeMicroseconds)
                first = false
            }
            bytes.addAndGet(chunk.size.toLong())
        }
        lastByte.recordValue((clock() - dueAt).inWholeMicroseconds)
    }
}

/** Returns the percentile [percent] of the recorded latencies. */
internal fun ConcurrentHistogram.percentile(percent: Double): Duration =
    getValueAtPercentile(percent).microseconds
