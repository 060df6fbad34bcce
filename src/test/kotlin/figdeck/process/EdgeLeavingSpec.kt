package figdeck.process

import figdeck.standin.RunnerSettings
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val REQUESTS = 30
private val hosts = listOf("host-a", "host-b")
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true}],
 "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

private suspend fun Fleet.call(daemon: FleetProcess, path: String, id: String): TestResponse {
    val headers = mapOf("Host" to HOST, "X-Attempt-Id" to id, "X-Deadline-Ms" to "4000")
    return send(daemon.address, TestRequest("POST", path, key = KEY, headers = headers))
}

/** The entry of [runner] as the upstream r-1 that started at [startedAtMillis]. */
private fun entryOf(runner: RunnerStandIn, startedAtMillis: Long): String =
    storeRow("servers", "r-1", runner.encodeEntry("pool", startedAtMillis = startedAtMillis))

/** Sends a request through [daemon] to [runner], and calls [change] before it answers. Returns the status. */
private suspend fun Fleet.callDuring(daemon: FleetProcess, runner: RunnerStandIn, change: suspend () -> Unit): Int =
    coroutineScope {
        val response = async { call(daemon, "/desk/1", "last") }
        eventually(5.seconds) { runner.received.isNotEmpty() }
        change()
        response.await().status
    }

/**
 * An upstream leaves without a report, starts again under its id, and is called by all hosts. If [isEarly], it starts
 * again before the last answer of its earlier start reaches [lastHost].
 */
private suspend fun Fleet.restartUpstream(eventLoops: EventLoopGroup, lastHost: String, isEarly: Boolean) {
    val earlier = RunnerStandIn(eventLoops, "r-1", RunnerSettings(isLeaving = true, serviceTime = 1.seconds))
    val later = RunnerStandIn(eventLoops, "r-1")
    val laterEntry = listOf(entryOf(later, startedAtMillis = 2))
    writeRows(listOf(storeRow("op", "config", PLAN), entryOf(earlier, startedAtMillis = 1)))
    val daemons = hosts.associateWith { edgeDaemon(it) }
    awaitReady(daemons.values.toList())
    val lastStatus = callDuring(daemons.getValue(lastHost), earlier) {
        writeRows(emptyList(), removedUpstreams = listOf("r-1"))
        if (isEarly) writeRows(laterEntry)
    }
    lastStatus shouldBe 200
    earlier.close()
    if (!isEarly) writeRows(laterEntry)
    daemons.forEach { (host, daemon) -> eventually(5.seconds) { call(daemon, "/desk/1", "again-$host").status == 200 } }
    later.close()
}

class EdgeLeavingSpec : DescribeSpec({
    // Guards against requests to an upstream whose answers say that it is leaving while its entry says "ready".
    describe("an upstream that says in its answers that it is leaving") {
        listOf("/desk/1", "/chat/1").forEach { path ->
            it("gets no request at $path from a host that has passed on such an answer") {
                val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                Fleet().use { fleet ->
                    val leaving = RunnerStandIn(eventLoops, "r-1", RunnerSettings(isLeaving = true))
                    val staying = RunnerStandIn(eventLoops, "r-2")
                    fleet.storePlanAndRunners(PLAN, mapOf("r-1" to leaving, "r-2" to staying))
                    val daemon = fleet.edgeDaemon("host-a")
                    fleet.awaitReady(listOf(daemon))
                    var sent = 0
                    while (leaving.received.isEmpty() && sent < REQUESTS) {
                        fleet.call(daemon, path, "first-${sent++}").status shouldBe 200
                    }
                    leaving.received.size shouldBe 1
                    repeat(REQUESTS) { fleet.call(daemon, path, "later-$it").status shouldBe 200 }
                    leaving.received.size shouldBe 1
                    staying.received.size shouldBeGreaterThan REQUESTS - 1
                    leaving.close()
                    staying.close()
                }
                eventLoops.shutdownGracefully()
            }
        }
    }

    // Guards against upstreams that get no more requests because an earlier start under their id has left.
    describe("an upstream that leaves without a report and starts again under its id") {
        hosts.forEach { lastHost ->
            listOf("before" to true, "after" to false).forEach { (order, isEarly) ->
                it("gets requests from all hosts if it starts $order the last answer of its earlier one to $lastHost") {
                    val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                    Fleet().use { it.restartUpstream(eventLoops, lastHost, isEarly) }
                    eventLoops.shutdownGracefully()
                }
            }
        }
    }
})
