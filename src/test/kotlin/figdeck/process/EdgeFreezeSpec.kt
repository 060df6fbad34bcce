package figdeck.process

import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val WARM_UP_REQUESTS = 20
private const val REQUESTS = 30
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2}],
 "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

/** How long an upstream may get requests after its entry was removed. */
private val DRAIN_TIME = 2.seconds

/** How long after a freeze a host is excused. */
private val CONTACT_TIME = 3.seconds

private suspend fun Fleet.call(daemon: FleetProcess, id: String) {
    val headers = mapOf("Host" to HOST, "X-Attempt-Id" to id, "X-Deadline-Ms" to "4000")
    send(daemon.address, TestRequest("POST", "/desk/1", key = KEY, headers = headers)).status shouldBe 200
}

/** Runs [test] with a daemon and three upstreams, r-1 to r-3, that have all served requests. */
private suspend fun withUpstreams(test: suspend (Fleet, FleetProcess, List<RunnerStandIn>) -> Unit) {
    val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    Fleet().use { fleet ->
        val runners = (1..3).associate { "r-$it" to RunnerStandIn(eventLoops, "r-$it") }
        fleet.storePlanAndRunners(PLAN, runners)
        val daemon = fleet.edgeDaemon("host-a")
        fleet.awaitReady(listOf(daemon))
        repeat(WARM_UP_REQUESTS) { fleet.call(daemon, "first-$it") }
        runners.values.forEach { it.received.size shouldBeGreaterThan 0 }
        test(fleet, daemon, runners.values.toList())
        runners.values.forEach { it.close() }
    }
    eventLoops.shutdownGracefully()
}

class EdgeFreezeSpec : DescribeSpec({
    // Guards against a host that takes its own pause for an outage of the store and keeps upstreams that have left.
    describe("an upstream whose entry is removed after the owner of its slots was frozen") {
        it("gets no request once the time to drain is over and the host is in touch again") {
            withUpstreams { fleet, daemon, (gone, staying, _) ->
                daemon.pause()
                delay(4.seconds)
                daemon.resume()
                delay(900.milliseconds)
                fleet.writeRows(emptyList(), removedUpstreams = listOf("r-1"))
                delay(1.seconds)
                // Another change keeps the next answer of the store, two seconds later, from dropping r-1 in time.
                fleet.writeRows(emptyList(), removedUpstreams = listOf("r-3"))
                delay(maxOf(DRAIN_TIME, CONTACT_TIME - 900.milliseconds) - 1.seconds + 50.milliseconds)
                val before = gone.received.size
                repeat(REQUESTS) {
                    fleet.call(daemon, "later-$it")
                    delay(20.milliseconds)
                }
                gone.received.size - before shouldBe 0
                staying.received.size shouldBeGreaterThan REQUESTS - 1
            }
        }
    }

    // Guards against a host without upstreams after an outage in which no upstream could renew its entry.
    describe("upstreams whose entries expire in an outage of the store") {
        it("get requests until they have had the time to return") {
            withUpstreams { fleet, daemon, _ ->
                fleet.platformFaults("outage=true")
                delay(4.seconds)
                fleet.platformFaults("")
                fleet.writeRows(emptyList(), removedUpstreams = listOf("r-1", "r-2", "r-3"))
                repeat(REQUESTS) {
                    fleet.call(daemon, "later-$it")
                    delay(40.milliseconds)
                }
            }
        }
    }
})
