package figdeck.process

import figdeck.model.Address
import figdeck.standin.RunnerSettings
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.maps.shouldNotContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val EVENTS = 100
private const val KEY = "key-of-walkers"
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true},
  {"Name":"notes","Host":"$HOST","Prefix":"/notes/","Kind":"batch","TimeoutMs":15000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":3,"RunTargetMs":18000,"MaxWaitS":60,"MaxCount":100000}],
 "Limits":{"MaxBodyBytes":1000000},"Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

private fun request(
    method: String,
    target: String,
    id: String,
    body: String = "",
    headers: Map<String, String> = mapOf()
) =
    TestRequest(
        method,
        target,
        body,
        KEY,
        mapOf("Host" to HOST, "X-Attempt-Id" to id, "X-Deadline-Ms" to "4000") + headers
    )

private fun job(vararg bodies: String): String {
    val items = bodies.mapIndexed { i, body ->
        """{"Id":"item-$i","Path":"/notes/$i","Headers":{"X-Model":"m"},"Body":"${base64(body)}","Tokens":10}"""
    }
    return """{"Requests":[${items.joinToString(",")}]}"""
}

private suspend fun Fleet.results(daemon: Address, id: String): String =
    send(daemon, request("GET", "/lots/$id?After=0", "read", headers = mapOf("X-Wait-Ms" to "500"))).body

/** A host that does nothing for [duration]. Each of its items may run up to [maxRuns] times. */
private data class Silence(
    val name: String,
    val duration: Duration,
    val maxRuns: Int,
)

/** Runs [use] while the first of two daemons runs a job of two items with [EVENTS] events each. */
private suspend fun withRunningJob(
    eventInterval: Duration,
    use: suspend (Fleet, List<FleetProcess>, RunnerStandIn) -> Unit,
) {
    val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    Fleet().use { fleet ->
        RunnerStandIn(eventLoops, "r-1", RunnerSettings(EVENTS, eventInterval = eventInterval)).use { runner ->
            fleet.storePlanAndRunners(PLAN, mapOf("r-1" to runner))
            val daemons = listOf("a", "b").map { fleet.edgeDaemon("host-$it") }
            fleet.awaitReady(daemons)
            fleet.send(daemons[0].address, request("POST", "/notes/j", "job-1", job("x", "y"))).status shouldBe 202
            eventually(10.seconds) { runner.received.isNotEmpty() }
            use(fleet, daemons, runner)
        }
    }
    eventLoops.shutdownGracefully()
}

class EdgeEndToEndSpec : DescribeSpec({
    describe("two daemons on the users' platform") {
        val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val fleet = Fleet()
        val remainingBreaks = AtomicInteger(1)
        val firstRunner = RunnerStandIn(eventLoops, "r-1", RunnerSettings(remainingBreaks = remainingBreaks))
        val secondRunner = RunnerStandIn(eventLoops, "r-2", RunnerSettings(remainingBreaks = remainingBreaks))
        fleet.storePlanAndRunners(PLAN, mapOf("r-1" to firstRunner, "r-2" to secondRunner))
        val daemons = listOf("a", "b").map { fleet.edgeDaemon("host-$it") }
        fleet.awaitReady(daemons)
        afterSpec {
            fleet.close()
            firstRunner.close()
            secondRunner.close()
            eventLoops.shutdownGracefully()
        }

        it("forward a plain request with the team's name and without its key") {
            val responses = daemons.mapIndexed { i, daemon ->
                fleet.send(daemon.address, request("POST", "/desk/7?x=1", "p-$i", "hello"))
            }
            responses.map { it.status to it.body } shouldBe List(2) { 200 to "answer to hello" }
            responses[0].headers["x-response-stamp"]!! shouldContain "stamp-r-"
            val forwarded = (firstRunner.received + secondRunner.received).first { it.headers["x-attempt-id"] == "p-0" }
            forwarded.target shouldBe "/desk/7?x=1"
            forwarded.headers["x-tenant"] shouldBe "walkers"
            forwarded.headers["host"] shouldBe HOST
            forwarded.headers shouldNotContainKey "authorization"
        }

        it("refuse an unknown key and an unknown path") {
            val unknown = request("POST", "/desk/7", "p-9").copy(key = "other")
            fleet.send(daemons[0].address, unknown).status shouldBe 401
            fleet.send(daemons[0].address, request("POST", "/none/7", "p-9")).status shouldBe 404
        }

        it("resume a stream that an upstream aborts, within the same response") {
            val response = fleet.send(daemons[0].address, request("POST", "/chat/1", "s-1"))
            response.status shouldBe 200
            response.body shouldBe (1..5).joinToString("") { "id: $it\ndata: word $it\n\n" }
            val attempts = (firstRunner.received + secondRunner.received).filter { it.headers["x-attempt-id"] == "s-1" }
            attempts.map { it.headers["last-event-id"] }.toSet() shouldBe setOf(null, "2")
        }

        it("store a resent batch job once, run it and serve its results from every host") {
            val body = job("first", "impossible", "third")
            fleet.send(daemons[0].address, request("POST", "/notes/j", "job-1", body)).status shouldBe 202
            fleet.send(daemons[1].address, request("POST", "/notes/j", "job-1", body)).status shouldBe 202
            eventually(10.seconds) { "\"Next\":3" in fleet.results(daemons[1].address, "job-1") }
            val text = fleet.results(daemons[1].address, "job-1")
            text shouldBe fleet.results(daemons[0].address, "job-1")
            text shouldContain "\"Total\":3"
            val output = (1..5).joinToString("\\n") { "word $it" }
            text shouldContain """{"Id":"item-0","State":"completed","Output":"$output"}"""
            text shouldContain """{"Id":"item-1","State":"dead_letter","Output":""}"""
            fleet.send(daemons[1].address, request("GET", "/items/job-1?Id=item-2", "b")).body shouldBe "third"
            fleet.send(daemons[1].address, request("GET", "/lots/none?After=0", "b")).status shouldBe 404
        }

        it("delete a batch job through any host") {
            fleet.send(daemons[0].address, request("POST", "/notes/j", "job-2", job("first"))).status shouldBe 202
            fleet.send(daemons[1].address, request("DELETE", "/lots/job-2", "e")).status shouldBe 200
            fleet.send(daemons[0].address, request("DELETE", "/lots/job-2", "e")).status shouldBe 200
        }

        it("keep serving plain requests during an outage of the store, and refuse batch jobs") {
            fleet.platformFaults("outage=true")
            fleet.send(daemons[1].address, request("POST", "/desk/7", "o-1", "hello")).status shouldBe 200
            fleet.send(daemons[1].address, request("POST", "/notes/j", "job-3", job("first"))).status shouldBe 503
            val lateDaemon = fleet.edgeDaemon("host-c", seeds = daemons)
            fleet.awaitReady(listOf(lateDaemon))
            fleet.send(lateDaemon.address, request("POST", "/desk/7", "o-2", "hello")).status shouldBe 200
            fleet.platformFaults("outage=false")
        }
    }

    describe("a batch job whose host is lost") {
        it("is completed by another host from the stored items") {
            withRunningJob(eventInterval = 20.milliseconds) { fleet, daemons, _ ->
                daemons[0].kill()
                eventually(25.seconds) { "\"Next\":2" in fleet.results(daemons[1].address, "job-1") }
                fleet.results(daemons[1].address, "job-1") shouldContain "word $EVENTS"
            }
        }
    }

    // A run of 4 s. Slots are freed after 2.5 s without a confirmation by their holder, leases end after 3.5 s.
    describe("a host that is silent while it runs a batch job") {
        listOf(
            Silence("shorter than its lease and its slots last", 2_300.milliseconds, maxRuns = 1),
            Silence("longer than its lease", 6.seconds, maxRuns = 2),
        ).forEach { silence ->
            it("has each item listed once, complete, after a silence ${silence.name}") {
                withRunningJob(eventInterval = 40.milliseconds) { fleet, daemons, runner ->
                    eventually(10.seconds) { runner.received.size == 2 }
                    delay(500.milliseconds)
                    daemons[0].pause()
                    delay(silence.duration)
                    daemons[0].resume()
                    eventually(25.seconds) { daemons.all { "\"Next\":2" in fleet.results(it.address, "job-1") } }
                    val output = (1..EVENTS).joinToString("\\n") { "word $it" }
                    val text = daemons.map { fleet.results(it.address, "job-1") }.distinct().single()
                    listOf("item-0", "item-1").forEach { item ->
                        text shouldContain """{"Id":"$item","State":"completed","Output":"$output"}"""
                    }
                    val runs = runner.received.groupingBy { it.headers["x-attempt-id"] }.eachCount()
                    runs.filterValues { it > silence.maxRuns }.shouldBeEmpty()
                }
            }
        }
    }
})
