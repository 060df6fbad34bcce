package figdeck.process

import figdeck.standin.RunnerSettings
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val REQUESTS = 40
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"north","Host":"$HOST","Prefix":"/desk-north/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"AllowedRegions":["north"]},
  {"Name":"east","Host":"$HOST","Prefix":"/desk-east/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"AllowedRegions":["east"]},
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true},
  {"Name":"notes","Host":"$HOST","Prefix":"/notes/","Kind":"batch","TimeoutMs":15000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":3,"RunTargetMs":18000,"MaxWaitS":60,"MaxCount":100000}],
 "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":5000,"Burst":5000}]}"""

/** Callers count requests that reach the data centre later than this as a fault of the fleet. */
private val BOUND = 5.seconds
private const val REGIONS = """{"centre-a":"north","centre-b":"south"}"""

private fun request(method: String, target: String, id: String, body: String = "") = TestRequest(
    method,
    target,
    body,
    KEY,
    mapOf("Host" to HOST, "X-Attempt-Id" to id, "X-Deadline-Ms" to "4000", "X-Wait-Ms" to "100"),
)

private fun job(items: Int): String {
    val requests = (1..items).map {
        """{"Id":"item-$it","Path":"/notes/$it","Headers":{"X-Model":"m"},"Body":"${base64("x")}","Tokens":10}"""
    }
    return """{"Requests":[${requests.joinToString(",")}]}"""
}

private suspend fun Fleet.evacuate(vararg centres: String) =
    writeRows(centres.map { storeRow("op", "evacuate/$it", "{}") })

private suspend fun Fleet.endEvacuation(centre: String) {
    val row = """{"Table":"op","part":"","Key":"evacuate/$centre"}"""
    val body = """{"ExpectedRev":[],"Puts":[],"Remove":[$row]}"""
    send(platform.address, TestRequest("POST", "/rows-tx", body)).status shouldBe 200
}

private suspend fun Fleet.call(daemon: FleetProcess, id: String, path: String = "/desk/1"): TestResponse =
    send(daemon.address, request("POST", path, id))

/** The evacuations in the log of [daemon], which may begin with that of an earlier run at the same port. */
private fun evacuationNotes(daemon: FleetProcess): List<String> =
    daemon.log.readLines().mapNotNull { Regex("evacuation_(begun|ended)").find(it)?.value }

private fun RunnerStandIn.idsFrom(prefix: String): List<String> =
    received.map { it.headers.getValue("x-attempt-id") }.filter { it.startsWith(prefix) }

/** Two daemons, the second of which reaches the store over [link], and an upstream in each of two data centres. */
private class TwoCentres(
    val fleet: Fleet,
    val here: RunnerStandIn,
    val there: RunnerStandIn,
    val link: SeverableLink,
    val daemons: List<FleetProcess>,
) {
    private val lastCall = AtomicInteger()

    /** Sends [REQUESTS] requests to [daemon] and returns how many of them reached the second data centre. */
    suspend fun sendsThere(daemon: FleetProcess, path: String = "/desk/1"): Int {
        val prefix = "${daemon.name}-${lastCall.incrementAndGet()}-"
        repeat(REQUESTS) { fleet.call(daemon, "$prefix$it", path).status shouldBe 200 }
        return there.idsFrom(prefix).size
    }
}

private suspend fun withTwoCentres(use: suspend TwoCentres.() -> Unit) {
    val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val settings = RunnerSettings(eventCount = 20, eventInterval = 50.milliseconds)
    Fleet().use { fleet ->
        val here = RunnerStandIn(eventLoops, "r-here", settings)
        val there = RunnerStandIn(eventLoops, "r-there", settings)
        val link = SeverableLink(fleet.platform.address)
        val entries = listOf(
            storeRow("servers", "r-here", here.encodeEntry("pool", dataCentre = "centre-a")),
            storeRow("servers", "r-there", there.encodeEntry("pool", dataCentre = "centre-b")),
        )
        fleet.writeRows(listOf(storeRow("op", "config", PLAN)) + entries)
        val flags = listOf("--region=north", "--data-centre-regions=$REGIONS")
        val daemons = listOf(
            fleet.edgeDaemon("host-a", flags = flags),
            fleet.edgeDaemon("host-b", flags = flags + "--store-address=${link.address}"),
        )
        fleet.awaitReady(daemons)
        TwoCentres(fleet, here, there, link, daemons).use()
        listOf(here, there, link).forEach { it.close() }
    }
    eventLoops.shutdownGracefully()
}

/** Sends requests to both daemons while [use] runs. Returns the statuses other than 200. */
private suspend fun TwoCentres.underLoad(use: suspend () -> Unit): Map<String, Int> {
    val failures = ConcurrentHashMap<String, Int>()
    val load = daemons.map { daemon ->
        CoroutineScope(Dispatchers.Default).launch {
            var sent = 0
            while (isActive) {
                val id = "load-${daemon.name}-${sent++}"
                val status = fleet.call(daemon, id).status
                if (isActive && status != 200) {
                    failures[id] = status
                }
                delay(10.milliseconds)
            }
        }
    }
    use()
    load.forEach { it.cancelAndJoin() }
    return failures
}

class EvacuationFleetSpec : DescribeSpec({
    describe("two daemons under load while a data centre is evacuated") {
        // Guards against requests that reach an evacuated data centre, or that fail because of the evacuation.
        it("send nothing there from the bound on, lose no request, and send there again after the end") {
            withTwoCentres {
                val earlierNotes = daemons.map { evacuationNotes(it) }
                val failures = underLoad {
                    daemons.forEach { daemon ->
                        eventually(5.seconds) { there.idsFrom("load-${daemon.name}").size > 5 }
                    }
                    fleet.evacuate("centre-b")
                    delay(BOUND)
                    val reached = there.received.size
                    delay(1.seconds)
                    there.received.size shouldBe reached
                    val metrics = daemons.map { fleet.send(it.addresses[3], TestRequest("GET", "/metrics")).body }
                    metrics.forEach {
                        it shouldContain "figdeck_evacuated{data_centre=\"centre-b\"} 1"
                        it shouldContain "figdeck_evacuated_upstreams{pool=\"pool\"} 1"
                    }
                    fleet.endEvacuation("centre-b")
                    eventually(5.seconds) { there.received.size > reached + 10 }
                }
                failures shouldBe emptyMap()
                daemons.zip(earlierNotes).forEach { (daemon, earlier) ->
                    evacuationNotes(daemon).drop(earlier.size) shouldBe listOf("evacuation_begun", "evacuation_ended")
                }
            }
        }
    }

    describe("work that runs in a data centre when it is evacuated") {
        // Guards against an evacuation that breaks answers off, and against items that are sent there anew.
        it("ends there, while the items of a job go elsewhere") {
            withTwoCentres {
                val streams = (1..4).map { i ->
                    CoroutineScope(Dispatchers.Default).launch {
                        fleet.call(daemons[i % 2], "stream-$i", "/chat/1").body shouldContain "id: 20\n"
                    }
                }
                eventually(5.seconds) { (here.received + there.received).size == streams.size }
                val begun = there.idsFrom("stream-").size
                begun shouldBeGreaterThan 0
                fleet.evacuate("centre-b")
                delay(1.seconds)
                fleet.send(daemons[1].address, request("POST", "/notes/j", "job-1", job(items = 8))).status shouldBe 202
                streams.forEach { it.join() }
                there.idsFrom("stream-").distinct().size shouldBe begun
                eventually(15.seconds) {
                    "\"Next\":8" in fleet.send(daemons[0].address, request("GET", "/lots/job-1?After=0", "read")).body
                }
                there.received.filter { "/notes/" in it.target }.shouldBeEmpty()
            }
        }
    }

    describe("a pool whose data centres are all evacuated") {
        // Guards against callers that wait for nothing, and against items that never go on.
        it("refuses requests at once, and goes on with its jobs when one data centre is open again") {
            withTwoCentres {
                fleet.evacuate("centre-a", "centre-b")
                delay(1.seconds)
                val reached = here.received.size + there.received.size
                daemons.forEach { daemon ->
                    val refusal = fleet.call(daemon, "refused-${daemon.name}")
                    refusal.status shouldBe 503
                    refusal.headers["retry-after"] shouldBe "1.000"
                    refusal.body shouldContain "\"type\":\"evacuated\""
                    refusal.body shouldContain "\"ran\":\"no\""
                }
                fleet.send(daemons[0].address, request("POST", "/notes/j", "job-1", job(items = 4))).status shouldBe 202
                delay(2.seconds)
                here.received.size + there.received.size shouldBe reached
                fleet.endEvacuation("centre-a")
                eventually(10.seconds) {
                    "\"Next\":4" in fleet.send(daemons[1].address, request("GET", "/lots/job-1?After=0", "read")).body
                }
                there.received.size shouldBe reached
            }
        }
    }

    describe("a daemon that is cut off from the store") {
        // Guards against a host that guesses, in either direction, what it can't read.
        it("keeps to the evacuations that it last read, and to those of the store once it is back") {
            withTwoCentres {
                val (_, cutOff) = daemons
                fleet.evacuate("centre-b")
                daemons.forEach { daemon -> eventually(5.seconds) { sendsThere(daemon) == 0 } }
                link.sever()
                fleet.endEvacuation("centre-b")
                eventually(5.seconds) { sendsThere(daemons[0]) > 0 }
                repeat(3) { sendsThere(cutOff) shouldBe 0 }
                link.restore()
                eventually(10.seconds) { sendsThere(cutOff) > 0 }
            }
        }
    }

    describe("a daemon that starts while the store is away") {
        // Guards against a host that is ready without the evacuations that are in force.
        it("learns the evacuations from its peers") {
            withTwoCentres {
                fleet.evacuate("centre-b")
                daemons.forEach { daemon -> eventually(5.seconds) { sendsThere(daemon) == 0 } }
                fleet.platformFaults("outage=true")
                val late = fleet.edgeDaemon("host-c", seeds = daemons)
                fleet.awaitReady(listOf(late))
                sendsThere(late) shouldBe 0
                fleet.platformFaults("outage=false")
                fleet.endEvacuation("centre-b")
                eventually(10.seconds) { sendsThere(late) > 0 }
            }
        }
    }

    describe("requests to a route with homes") {
        // Guards against requests that leave their homes through one of the hosts, and against untrue refusals.
        it("reach upstreams at home only, from both hosts, and are refused at once without one") {
            withTwoCentres {
                daemons.forEach { daemon ->
                    sendsThere(daemon, "/desk-north/1") shouldBe 0
                    sendsThere(daemon) shouldBeGreaterThan 0
                    val refusal = fleet.call(daemon, "east-${daemon.name}", "/desk-east/1")
                    refusal.status shouldBe 503
                    refusal.body shouldContain "\"type\":\"no_home_upstream\""
                    refusal.body shouldContain "\"ran\":\"no\""
                    val metrics = fleet.send(daemon.addresses[3], TestRequest("GET", "/metrics")).body
                    metrics shouldContain "figdeck_home_refusals_total 1.0"
                    metrics shouldNotContain "data_centre="
                }
                (here.received + there.received).none { "/desk-east/" in it.target } shouldBe true
            }
        }
    }
})
