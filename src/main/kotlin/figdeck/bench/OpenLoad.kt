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

private const val HIGHEST_MICROS = 60_000_000L
private const val DIGITS = 3
private const val OK = 200

/** An open-loop load: requests start at [ratePerSecond] for [length], whether or not earlier ones have ended. */
internal data class OpenLoad(
    val ratePerSecond: Int,
    val length: Duration,
)

/**
 * What a load saw. Times count from the moment at which a request was due, so that a late start shows.
 *
 * @property bytes the bytes of all bodies.
 */
internal data class LoadResult(
    val answered: Long,
    val failed: Long,
    val bytes: Long,
    val firstByte: ConcurrentHistogram,
    val whole: ConcurrentHistogram,
)

/** Runs [load] of requests like [request] and waits for the last answer. */
internal suspend fun HttpClient.run(load: OpenLoad, clock: Clock, request: () -> OutgoingRequest): LoadResult {
    val tally = Tally(clock)
    val start = clock()
    coroutineScope {
        repeat((load.ratePerSecond * load.length.inWholeSeconds).toInt()) { i ->
            val due = start + (1.seconds * i / load.ratePerSecond)
            val wait = due - clock()
            if (wait.isPositive()) {
                delay(wait)
            }
            launch { tally.send(this@run, request(), due) }
        }
    }
    return tally.result()
}

private class Tally(private val clock: Clock) {
    private val answered = AtomicLong()
    private val failed = AtomicLong()
    private val bytes = AtomicLong()
    private val firstByte = ConcurrentHistogram(HIGHEST_MICROS, DIGITS)
    private val whole = ConcurrentHistogram(HIGHEST_MICROS, DIGITS)

    suspend fun send(client: HttpClient, request: OutgoingRequest, due: Moment) {
        val status = client.exchange(request) { reply ->
            read(reply, due)
            reply.status
        }
        if (status.getOrNull() == OK) answered.incrementAndGet() else failed.incrementAndGet()
    }

    fun result(): LoadResult = LoadResult(answered.get(), failed.get(), bytes.get(), firstByte, whole)

    private suspend fun read(reply: HttpReply, due: Moment) {
        var first = true
        reply.body.chunks.collect { chunk ->
            if (first) {
                firstByte.recordValue((clock() - due).inWholeMicroseconds)
                first = false
            }
            bytes.addAndGet(chunk.size.toLong())
        }
        whole.recordValue((clock() - due).inWholeMicroseconds)
    }
}

/** The time within which [percent] of a hundred values lie. */
internal fun ConcurrentHistogram.percentile(percent: Double): Duration =
    getValueAtPercentile(percent).microseconds
