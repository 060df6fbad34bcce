package figdeck.process

import figdeck.http.send
import figdeck.standin.RunnerSettings
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.BufferedReader
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val HTTP_OK = 200
private const val UNAVAILABLE = 503
private const val CONNECTIONS = 75
private val USE_INTERVAL = 100.milliseconds
private val SERVICE_TIME = 400.milliseconds
private val DEADLINE = 1_500.milliseconds
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"order","Host":"$HOST","Prefix":"/desk/order/","Kind":"non_idempotent","TimeoutMs":5000,
   "TargetLatencyMs":1000,"Service":"pool","MaxAttempts":2}],
 "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

/** A connection that its caller keeps open between requests. */
private class KeptConnection(daemon: FleetProcess) {
    private val socket = Socket(daemon.address.ip, daemon.address.port)
    private val input: BufferedReader = socket.getInputStream().bufferedReader()

    /** The status of the whole answer to the request [id], or null if the connection ended without one. */
    fun statusOf(path: String, id: String): Int? = try {
        socket.send(
            "POST $path HTTP/1.1\r\nHost: $HOST\r\nAuthorization: Bearer $KEY\r\nX-Attempt-Id: $id\r\n" +
                "X-Deadline-Ms: ${DEADLINE.inWholeMilliseconds}\r\nContent-Length: 0\r\n\r\n",
        )
        readStatus()
    } catch (_: IOException) {
        null
    }

    private fun readStatus(): Int? {
        val status = input.readLine()?.split(' ')?.get(1)?.toInt()
        val head = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        val length = head.find { it.startsWith("content-length", ignoreCase = true) }?.substringAfter(':')?.trim()
        val body = generateSequence { input.read().takeIf { it >= 0 } }.take(length?.toInt() ?: 0)
        return status.takeIf { length != null && body.count() == length.toInt() }
    }
}

/** The status of a request, or null if it ended without a whole answer, and when it was sent after the signal. */
private data class LateRequest(
    val id: String,
    val sentAfter: Duration,
    val status: Int?,
)

class EdgeStopSpec : DescribeSpec({
    describe("a planned stop while callers use connections that they have kept open") {
        val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val fleet = Fleet()
        val runner = RunnerStandIn(eventLoops, "r-1", RunnerSettings(serviceTime = SERVICE_TIME))
        val entry = storeRow("servers", "r-1", runner.encodeEntry("pool", slots = 64))
        fleet.writeRows(listOf(storeRow("op", "config", PLAN), entry))
        val daemon = fleet.edgeDaemon("host-a")
        fleet.awaitReady(listOf(daemon))
        val requests = coroutineScope {
            val kept = List(CONNECTIONS) { i ->
                async(Dispatchers.IO) { KeptConnection(daemon).also { it.statusOf("/desk/1", "first-$i") } }
            }.awaitAll()
            daemon.stop()
            kept.mapIndexed { i, connection ->
                async(Dispatchers.IO) {
                    val sentAfter = USE_INTERVAL * (i + 1)
                    delay(sentAfter)
                    val path = if (i % 2 == 0) "/desk/1" else "/desk/order/1"
                    LateRequest("late-$i", sentAfter, connection.statusOf(path, "late-$i"))
                }
            }.awaitAll()
        }
        val forwarded = runner.received.map { it.headers["x-attempt-id"] }.toSet()
        afterSpec {
            fleet.close()
            runner.close()
            eventLoops.shutdownGracefully()
        }

        // Guards against requests that are accepted too late in a planned stop and cut off when it ends.
        it("answers every request that it forwarded") {
            requests.filter { it.id in forwarded && it.status != HTTP_OK }.shouldBeEmpty()
        }

        it("forwards none of those that it refuses") {
            requests.filter { it.status == UNAVAILABLE && it.id in forwarded }.shouldBeEmpty()
        }

        it("serves requests as long as there is time for them, and refuses those that come later") {
            val enough = 8.seconds - DEADLINE - 1.seconds
            requests.filter { it.sentAfter < enough && it.status != HTTP_OK }.shouldBeEmpty()
            requests.count { it.status == UNAVAILABLE } shouldBeGreaterThan 0
        }

        it("ends before the platform kills the process") {
            daemon.process.waitFor(1, TimeUnit.SECONDS)
            daemon.process.isAlive shouldBe false
        }

        // Guards against a host that still counts as a member, and owns slots, limits and jobs, after it has ended.
        it("leaves the fleet with its end") {
            val members = fleet.send(fleet.platform.address, TestRequest("GET", "/rows-get?Table=member&part="))
            members.status shouldBe HTTP_OK
            members.body shouldNotContain "host-a"
        }
    }
})
