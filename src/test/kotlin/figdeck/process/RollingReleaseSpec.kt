package figdeck.process

import figdeck.standin.RunnerSettings
import figdeck.standin.RunnerStandIn
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val RUNNERS = 3
private const val ROUNDS = 4
private const val ITEM_PATH = "/notes/1"
private val hosts = listOf("host-a", "host-b")
private val settleTime = 300.milliseconds
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"order","Host":"$HOST","Prefix":"/desk/order/","Kind":"non_idempotent","TimeoutMs":5000,
   "TargetLatencyMs":1000,"Service":"pool","MaxAttempts":2},
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":3,"Resumable":true},
  {"Name":"notes","Host":"$HOST","Prefix":"/notes/","Kind":"batch","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"RunTargetMs":10000,"MaxWaitS":60}],
 "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

/** Runs [use] with two daemons and the [runners], by their ids. */
private suspend fun withFleet(
    runners: (EventLoopGroup) -> Map<String, RunnerStandIn>,
    use: suspend (Fleet, List<FleetProcess>, Map<String, RunnerStandIn>) -> Unit,
) {
    val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val first = runners(eventLoops)
    Fleet().use { fleet ->
        fleet.storePlanAndRunners(PLAN, first)
        val daemons = hosts.map { fleet.edgeDaemon(it) }
        fleet.awaitReady(daemons)
        use(fleet, daemons, first)
    }
    first.values.forEach { it.close() }
    eventLoops.shutdownGracefully()
}

private val ids = AtomicInteger()

/** Sends a request for the weights [version]; null for any. */
private suspend fun Fleet.call(daemon: FleetProcess, path: String, version: Int?): TestResponse {
    val headers = mapOf("Host" to HOST, "X-Attempt-Id" to "call-${ids.incrementAndGet()}", "X-Deadline-Ms" to "4000")
    val asked = if (version == null) headers else headers + ("X-Expect-Version" to version.toString())
    return send(daemon.address, TestRequest("POST", path, key = KEY, headers = asked))
}

/** Sends a request for any weights to each slot of the pool at once, through alternating daemons. */
private suspend fun Fleet.statusesOfAllSlots(daemons: List<FleetProcess>, slots: Int): List<Int> = coroutineScope {
    List(slots) { i -> async { call(daemons[i % daemons.size], "/desk/slow", null).status } }.awaitAll()
}

/** The values of the counter of failed sends at [daemons] that ended as [ending]. */
private suspend fun Fleet.failedSends(daemons: List<FleetProcess>, ending: String): Double = daemons.sumOf { daemon ->
    val text = send(daemon.addresses[3], TestRequest("GET", "/metrics")).body
    Regex("^figdeck_failed_sends_total\\{ending=\"$ending\"[^}]*} (\\S+)$", RegexOption.MULTILINE)
        .find(text)?.groupValues?.get(1)?.toDouble() ?: 0.0
}

/** The ids of the items that [daemon] lists as completed when it gets [read]. */
private suspend fun Fleet.completedItems(daemon: FleetProcess, read: TestRequest): Set<String> =
    Regex("\"Id\":\"(i\\d)\",\"State\":\"completed\"").findAll(send(daemon.address, read).body)
        .map { it.groupValues[1] }.toSet()

private fun RunnerStandIn.countOf(path: String): Int = received.count { it.target == path }

class RollingReleaseSpec : DescribeSpec({
    // Guards against sound upstreams that are dropped for the weights that requests ask for, until the pool is empty.
    describe("a release that replaces all upstreams by ones with other weights") {
        listOf(false, true).forEach { namesItself ->
            it("takes no sound upstream out of use; each names itself when it rejects a request: $namesItself") {
                val settings = RunnerSettings(serviceTime = 700.milliseconds, namesItself = namesItself)
                withFleet({ loops ->
                    (1..RUNNERS).associate { "r-$it" to RunnerStandIn(loops, "r-$it", settings.copy(weights = 1)) }
                }) { fleet, daemons, first ->
                    val loops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                    val later = (1..RUNNERS).map { RunnerStandIn(loops, "n-$it", settings.copy(weights = 2)) }
                    val statuses = mutableListOf<Pair<Int, Int>>()
                    for ((i, id) in first.keys.withIndex()) {
                        val entry = storeRow("servers", "n-${i + 1}", later[i].encodeEntry("pool", slots = 1))
                        fleet.writeRows(listOf(entry), removedUpstreams = listOf(id))
                        delay(settleTime)
                        val newest = if (i < RUNNERS - 1) listOf(1, 2) else listOf(2)
                        repeat(ROUNDS) { round ->
                            val version = newest[round % newest.size]
                            statuses += version to fleet.call(daemons[round % 2], "/desk/quick", version).status
                        }
                    }
                    withClue(
                        "versions asked for, and statuses"
                    ) { statuses.map { it.second }.toSet() shouldBe setOf(200) }
                    fleet.call(daemons[0], "/desk/quick", 1).status shouldBe 421
                    fleet.statusesOfAllSlots(daemons, RUNNERS) shouldBe List(RUNNERS) { 200 }
                    later.map { it.countOf("/desk/slow") } shouldBe List(RUNNERS) { 1 }
                    fleet.failedSends(daemons, "not_run_replaced") shouldBe 0.0
                    (fleet.failedSends(daemons, "not_run_other_weights") > 0) shouldBe true
                    later.forEach { it.close() }
                    loops.shutdownGracefully()
                }
            }
        }
    }

    describe("a pool whose upstreams have different weights") {
        val settings = RunnerSettings(weights = 1)
        val mixed: (EventLoopGroup) -> Map<String, RunnerStandIn> = { loops ->
            (1..RUNNERS).associate { "n-$it" to RunnerStandIn(loops, "n-$it", settings.copy(weights = 2)) } +
                ("r-1" to RunnerStandIn(loops, "r-1", settings))
        }

        // Guards against requests that collect rejections although earlier answers tell where to go.
        it("sends a request to one that has the weights, by what earlier answers told") {
            withFleet(mixed) { fleet, daemons, runners ->
                // Which upstream answers is drawn at random; all must have told their weights.
                eventually(20.seconds) {
                    fleet.call(daemons[0], "/desk/any", null).status shouldBe 200
                    runners.values.none { it.countOf("/desk/any") == 0 }
                }
                runners.values.map { it.countOf("/desk/any") } shouldNotContain 0
                repeat(10) { fleet.call(daemons[0], "/desk/order/1", 1).status shouldBe 200 }
                runners.getValue("r-1").countOf("/desk/order/1") shouldBe 10
                runners.values.sumOf { it.countOf("/desk/order/1") } shouldBe 10
            }
        }

        it("rejects at once a request for weights that no upstream has, and says so") {
            withFleet(mixed) { fleet, daemons, runners ->
                // Which upstream answers is drawn at random; all must have told their weights.
                eventually(20.seconds) {
                    fleet.call(daemons[0], "/desk/any", null).status shouldBe 200
                    runners.values.none { it.countOf("/desk/any") == 0 }
                }
                val answer = fleet.call(daemons[0], "/desk/order/1", 3)
                answer.status shouldBe 421
                answer.body shouldContain "\"type\":\"weights_unavailable\""
                runners.values.sumOf { it.countOf("/desk/order/1") } shouldBe 0
            }
        }

        // Guards against a broken stream that is continued by other weights, or not at all.
        it("continues a broken stream at an upstream with the weights that it asks for") {
            val breaks = RunnerSettings(weights = 1, remainingBreaks = AtomicInteger(1))
            withFleet({ loops ->
                mapOf(
                    "n-1" to RunnerStandIn(loops, "n-1", settings.copy(weights = 2)),
                    "r-1" to RunnerStandIn(loops, "r-1", breaks),
                    "r-2" to RunnerStandIn(loops, "r-2", breaks),
                )
            }) { fleet, daemons, _ ->
                val answer = fleet.call(daemons[0], "/chat/1", 1)
                answer.status shouldBe 200
                (1..5).forEach { answer.body shouldContain "data: word $it\n" }
            }
        }

        // Guards against items that wait for ever or that take upstreams out of use.
        it("runs items of batch jobs at one that has the weights, and the others meanwhile") {
            withFleet(mixed) { fleet, daemons, runners ->
                val items = listOf("i1" to 1, "i2" to 2, "i3" to 3, "i4" to null).joinToString(",") { (id, version) ->
                    val headers = if (version == null) "" else "\"X-Expect-Version\":\"$version\""
                    """{"Id":"$id","Path":"$ITEM_PATH","Headers":{$headers},"Body":"","Tokens":10}"""
                }
                val headers = mapOf("Host" to HOST, "X-Attempt-Id" to "job-1", "X-Deadline-Ms" to "4000")
                val submission = TestRequest("POST", "/notes/", "{\"Requests\":[$items]}", KEY, headers)
                fleet.send(daemons[0].address, submission).status shouldBe 202
                val read = TestRequest("GET", "/lots/job-1?After=0", key = KEY, headers = headers)
                eventually(10.seconds) { fleet.completedItems(daemons[1], read).size == 3 }
                fleet.completedItems(daemons[1], read) shouldBe setOf("i1", "i2", "i4")
                delay(1_500.milliseconds)
                fleet.failedSends(daemons, "not_run_replaced") shouldBe 0.0
                val loops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                val third = RunnerStandIn(loops, "t-1", settings.copy(weights = 3))
                fleet.writeRows(listOf(storeRow("servers", "t-1", third.encodeEntry("pool"))))
                eventually(10.seconds) { fleet.completedItems(daemons[1], read).size == 4 }
                // An item that no upstream can run isn't sent again and again.
                runners.values.forEach { runner ->
                    (runner.received.count { it.headers["x-attempt-id"] == "i3" } <= 1) shouldBe true
                }
                third.close()
                loops.shutdownGracefully()
            }
        }
    }
})
