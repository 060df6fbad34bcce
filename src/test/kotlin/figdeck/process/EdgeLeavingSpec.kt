package figdeck.process

import figdeck.standin.RunnerSettings
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val REQUESTS = 30
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
})
