package figdeck.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val RATE = 40.0
private const val BURST = 20
private const val PEER_SECRET = "peer-secret"

/**
 * The result of a period of calls.
 *
 * @property served the calls that the service counted, or the tokens granted.
 * @property maxServed the number of calls that the limit allows in the period.
 */
private data class LoadResult(
    val sent: Int,
    val served: Int,
    val statuses: Map<Int, Int>,
    val seconds: Double,
) {
    val maxServed: Int get() = (RATE * seconds + BURST).toInt()
}

private class RateLimitedFleet : AutoCloseable {
    private val fleet = Fleet()
    private val engine = fleet.engine("engine-1")
    private val service = fleet.service("slots-1")
    val daemons = listOf("centre-a", "centre-b", "centre-c").mapIndexed { index, centre ->
        fleet.daemon("host-${index + 1}", centre)
    }
    private var nextCall = 0

    suspend fun start() {
        fleet.applyTemplate(daemons[0], eveningTemplate(listOf(engine), listOf(service), RATE, BURST), daemons)
        fleet.awaitShards(daemons)
        delay(3.seconds)
    }

    suspend fun platformFaults(query: String) = fleet.platformFaults(query)

    /** Sends [perSecond] calls per second to [targets] in turn for [time]. */
    suspend fun runLoad(
        perSecond: Int,
        time: Duration,
        targets: List<FleetProcess> = daemons
    ): LoadResult = coroutineScope {
        val before = runs()
        val start = TimeSource.Monotonic.markNow()
        val responses = List((perSecond * time.inWholeMilliseconds / 1_000).toInt()) { index ->
            val name = nextCall++
            async {
                delay(((index * 1_000L) / perSecond).milliseconds - start.elapsedNow())
                fleet.send(targets[index % targets.size].address, call(name)).status
            }
        }.awaitAll()
        val seconds = start.elapsedNow().inWholeMilliseconds / 1e3
        LoadResult(responses.size, runs() - before, responses.groupingBy { it }.eachCount(), seconds).also(::println)
    }

    /** Draws tokens as a peer from every daemon ten times per second for [time], and counts those granted. */
    suspend fun drawTokens(time: Duration): LoadResult {
        val start = TimeSource.Monotonic.markNow()
        var granted = 0
        var requested = 0
        while (start.elapsedNow() < time) {
            granted += daemons.sumOf { drawFrom(it) }
            requested += daemons.size
            delay(100.milliseconds)
        }
        return LoadResult(requested, granted, emptyMap(), start.elapsedNow().inWholeMilliseconds / 1e3).also(::println)
    }

    override fun close() = fleet.close()

    private suspend fun drawFrom(daemon: FleetProcess): Int {
        val request = TestRequest("POST", "/peer/draw", """[{"team":"stado","waiting":40}]""", PEER_SECRET)
        val granted = Regex("\"granted\":(\\d+)").find(fleet.send(daemon.peerAddress, request).body)
        return granted?.groupValues?.get(1)?.toInt() ?: 0
    }

    private fun call(name: Int) = TestRequest("POST", "/v1/services/slots/check", "$name", STADO_KEY)

    private suspend fun runs(): Int =
        fleet.send(service.address, TestRequest("GET", "/runs")).body.lines().filter { it.isNotBlank() }
            .sumOf { it.substringBefore(' ').toInt() }
}

class FleetLimitSpec : DescribeSpec({
    val fleet = RateLimitedFleet()
    beforeSpec { fleet.start() }
    afterSpec { fleet.close() }

    describe("three hosts and a team of 40 calls a second with burst 20") {
        it("serve all of 36 calls a second, distributed over all hosts") {
            val result = fleet.runLoad(36, 5.seconds)
            result.statuses shouldBe mapOf(200 to result.sent)
        }
        it("serve all of 36 calls a second at each host alone") {
            fleet.daemons.forEach { daemon ->
                val result = fleet.runLoad(36, 3.seconds, listOf(daemon))
                result.statuses shouldBe mapOf(200 to result.sent)
            }
        }
        it("serve no more than rate x time + burst out of 200 calls a second") {
            val result = fleet.runLoad(200, 6.seconds)
            result.served shouldBeLessThanOrEqual result.maxServed
            result.served shouldBeGreaterThan (result.maxServed * 3 / 4)
        }
        it("hold the limit while two hosts in turn are paused beyond their lease and resumed") {
            coroutineScope {
                val pauses = async {
                    fleet.daemons.drop(1).forEach { daemon ->
                        daemon.pause()
                        delay(6.seconds)
                        daemon.resume()
                    }
                }
                val result = fleet.runLoad(200, 14.seconds)
                pauses.await()
                result.served shouldBeLessThanOrEqual result.maxServed
                result.served shouldBeGreaterThan (result.maxServed / 4)
            }
        }
        it("hold the limit while replies of the table are lost") {
            delay(8.seconds)
            coroutineScope {
                fleet.platformFaults("loseReplies=true")
                val repair = async {
                    delay(3.seconds)
                    fleet.platformFaults("")
                }
                val result = fleet.runLoad(100, 8.seconds)
                repair.await()
                result.served shouldBeLessThanOrEqual result.maxServed
                result.served shouldBeGreaterThan (result.maxServed / 4)
            }
        }
        it("grant up to the rate and no more during an outage of the table longer than the lease") {
            delay(8.seconds)
            fleet.platformFaults("outage=true")
            delay(6.seconds)
            val result = fleet.drawTokens(6.seconds)
            fleet.platformFaults("")
            result.served shouldBeLessThanOrEqual result.maxServed
            result.served shouldBeGreaterThan (result.maxServed * 3 / 4)
        }
        it("serve again, and hold the limit, after a host is lost") {
            delay(8.seconds)
            fleet.daemons[0].kill()
            val result = fleet.runLoad(200, 10.seconds, fleet.daemons.drop(1))
            result.served shouldBeLessThanOrEqual result.maxServed
            fleet.runLoad(36, 4.seconds, fleet.daemons.drop(1)).statuses.keys shouldBe setOf(200)
        }
    }
})
