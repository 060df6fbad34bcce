package figdeck.process

import figdeck.cli.EdgeDaemon
import figdeck.cli.EdgeSettings
import figdeck.cli.Placement
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.standin.RunnerSettings
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val REQUESTS = 12

private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true},
  {"Name":"notes","Host":"$HOST","Prefix":"/notes/","Kind":"batch","TimeoutMs":15000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":3,"RunTargetMs":18000,"MaxWaitS":60,"MaxCount":100000}],
 "Services":[{"Name":"pool","Engine":{"Stride":8}}],
 "Limits":{"MaxBodyBytes":1000000},"Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

private fun request(target: String, id: String, body: String = "") = TestRequest(
    "POST",
    target,
    body,
    KEY,
    mapOf(
        "Host" to HOST,
        "X-Attempt-Id" to id,
        "X-Deadline-Ms" to "4000",
        "X-Token-Usage" to "450,400",
        "X-Length-Hint" to "20",
    ),
)

private const val JOB = """{"Requests":[{"Id":"item-1","Path":"/notes/1","Body":"","Tokens":850,
  "Headers":{"X-Token-Usage":"450,400","X-Length-Hint":"20"}}]}"""

private fun settings(fleet: Fleet, placement: Placement): EdgeSettings {
    val addresses = List(4) { freeAddress() }
    return EdgeSettings(
        host = HostId("host-a"),
        dataCentre = DataCentre("centre-a"),
        callerAddress = addresses[0],
        readinessAddress = addresses[1],
        peerAddress = addresses[2],
        storeAddress = fleet.platform.address,
        metricsPort = addresses[3].port,
        terminationGrace = 8.seconds,
        fleetName = "figdeck",
        seeds = emptyList(),
        cores = 1.0,
        placement = placement,
    )
}

/** The metrics of a daemon after [REQUESTS] streams and one batch item, with [awaited] among them. */
private suspend fun metricsAfterRequests(placement: Placement, awaited: String): String {
    val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val metrics = Fleet().use { fleet ->
        RunnerStandIn(eventLoops, "r-1", RunnerSettings()).use { runner ->
            fleet.storePlanAndRunners(PLAN, mapOf("r-1" to runner))
            val settings = settings(fleet, placement)
            EdgeDaemon(settings, eventLoops).use { daemon ->
                daemon.start()
                eventually(20.seconds) {
                    fleet.send(settings.readinessAddress, TestRequest("GET", "/")).status == 200
                }
                repeat(REQUESTS) {
                    fleet.send(settings.callerAddress, request("/chat/1", "call-$it")).status shouldBe 200
                }
                fleet.send(settings.callerAddress, request("/notes/j", "job-1", JOB)).status shouldBe 202
                eventually(20.seconds) { runner.received.size == REQUESTS + 1 }
                val metricsAddress = Address(settings.callerAddress.ip, settings.metricsPort)
                var text = ""
                eventually(10.seconds) {
                    text = fleet.send(metricsAddress, TestRequest("GET", "/metrics")).body
                    awaited in text
                }
                text
            }
        }
    }
    eventLoops.shutdownGracefully()
    return metrics
}

class EdgeWorkSpec : DescribeSpec({
    describe("a daemon with the placement by expected completion") {
        // Guards against features or usage that get lost on the way from a caller's headers to the granting host.
        it("learns the work of streams and batch items from their headers and events") {
            val text = metricsAfterRequests(
                Placement.EXPECTED_COMPLETION,
                awaited = "figdeck_work_estimate_error_count{route=\"notes\"} 1",
            )
            text shouldContain "figdeck_work_estimate_error_count{route=\"chat\"} $REQUESTS"
            text shouldContain "figdeck_work_teams 1.0"
            // Eight outputs of 40 tokens against a hint of 20 are off by 2, and the others are expected.
            val sum = Regex("""figdeck_work_estimate_error_sum\{route="chat"} (\S+)""").find(text)!!.groupValues[1]
            (sum.toDouble() in 19.0..21.0) shouldBe true
        }
    }

    describe("a daemon with the placement by free slots") {
        it("learns nothing") {
            val text = metricsAfterRequests(Placement.FREE_SLOTS, awaited = "figdeck_control_delay")
            text shouldNotContain "figdeck_work"
        }
    }
})
