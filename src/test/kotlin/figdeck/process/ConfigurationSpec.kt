package figdeck.process

import figdeck.model.ListedHost
import figdeck.model.Template
import figdeck.model.hashKey
import figdeck.standin.encodeHosts
import figdeck.wire.command.encodeTemplate
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val PROPAGATION_LIMIT = 2.seconds
private val WITHDRAWAL_LIMIT = 3.seconds

private suspend fun Fleet.operator(daemon: FleetProcess, method: String, target: String, body: String = "") =
    send(daemon.operatorAddress, TestRequest(method, target, body, OPERATOR_SECRET))

private suspend fun Fleet.putTemplate(daemon: FleetProcess, template: Template, query: String = ""): TestResponse =
    operator(daemon, "PUT", "/v1/templates/${template.name}$query", encodeTemplate(template))

private fun TestResponse.revision(): Long? = Regex("\"revision\":(\\d+)").find(body)?.groupValues?.get(1)?.toLong()

private suspend fun Fleet.revisionOf(daemon: FleetProcess): Long? = operator(daemon, "GET", "/v1/status").revision()

/** Returns the time until every daemon in [daemons] has [revision] or a later one. */
private suspend fun Fleet.measurePropagation(revision: Long, daemons: List<FleetProcess>): Duration {
    val start = TimeSource.Monotonic.markNow()
    daemons.forEach { daemon -> eventually(10.seconds) { revisionOf(daemon)!! >= revision } }
    return start.elapsedNow()
}

class ConfigurationSpec : DescribeSpec({
    val fleet = Fleet()
    val engines = listOf(fleet.engine("engine-1", "--token-micros=20000"), fleet.engine("engine-2"))
    val service = fleet.service("slots-1")
    val evening = eveningTemplate(engines, listOf(service))
    val daemons = mutableListOf(fleet.daemon("host-1"), fleet.daemon("host-2", "centre-b"), fleet.daemon("host-3"))

    beforeSpec { fleet.applyTemplate(daemons[0], evening, daemons) }
    afterSpec { fleet.close() }

    suspend fun grant(id: String, key: String) {
        val grant = """{"team":"stado","id":"$id","sha256":"${hashKey(key).hex}"}"""
        val revision = fleet.operator(daemons[0], "POST", "/v1/keys", grant).revision()!!
        fleet.measurePropagation(revision, daemons)
    }

    describe("a change accepted by one daemon") {
        it("takes effect on all daemons within 2 s") {
            val times = List(5) { i ->
                val response = fleet.putTemplate(
                    daemons[i % 3],
                    evening.copy(teams = evening.teams.map { it.copy(weight = i + 2) })
                )
                fleet.measurePropagation(response.revision()!!, daemons)
            }
            println("a change takes effect on 3 daemons after $times")
            times.max() shouldBeLessThan PROPAGATION_LIMIT
        }

        it("takes effect on all daemons within 2 s while the table is slow") {
            fleet.platformFaults("slowMillis=200")
            val revision = fleet.putTemplate(daemons[1], evening).revision()!!
            val time = fleet.measurePropagation(revision, daemons)
            fleet.platformFaults("slowMillis=0")
            println("with 200 ms of added table latency, after $time")
            time shouldBeLessThan PROPAGATION_LIMIT
        }

        it("is accepted at most once when replies of the table are lost") {
            val before = fleet.revisionOf(daemons[0])!!
            val response = coroutineScope {
                fleet.platformFaults("loseReplies=true")
                val pending = async { fleet.putTemplate(daemons[0], evening, "?change=lost-reply") }
                delay(50.milliseconds)
                fleet.platformFaults("loseReplies=false")
                pending.await()
            }
            if (response.status == 200) {
                response.revision() shouldBe before + 1
            } else {
                // The daemon could not read the head of the configuration and therefore wrote nothing.
                response.body shouldContain "\"ran\":\"no\""
                fleet.revisionOf(daemons[0]) shouldBe before
            }
        }

        it("stays in force when a daemon is lost and restarted") {
            val revision = fleet.putTemplate(daemons[2], evening).revision()!!
            fleet.measurePropagation(revision, daemons)
            daemons[2].kill()
            daemons[2] = fleet.daemon("host-3")
            fleet.measurePropagation(revision, daemons) shouldBeLessThan PROPAGATION_LIMIT
            fleet.revisionOf(daemons[2]) shouldBe revision
        }
    }

    describe("concurrent changes of several operators") {
        it("are accepted once, and the refused operators receive a summary of the accepted change") {
            val before = fleet.revisionOf(daemons[0])!!
            val responses = coroutineScope {
                List(6) { i ->
                    async { fleet.putTemplate(daemons[i % 3], evening, "?expected=$before&operator=op-$i") }
                }.awaitAll()
            }
            responses.map { it.status }.sorted() shouldContainExactly listOf(200, 409, 409, 409, 409, 409)
            val conflicts = responses.filter { it.status == 409 }
            conflicts.forEach { it.body shouldContain "\"summary\":\"applied template evening\"" }
            fleet.measurePropagation(before + 1, daemons)
            fleet.revisionOf(daemons[0]) shouldBe before + 1
        }
    }

    describe("an invalid template") {
        it("is refused with the path of every fault, and no part of it is applied") {
            val before = fleet.revisionOf(daemons[0])
            val response = fleet.operator(
                daemons[0],
                "PUT",
                "/v1/templates/x",
                """{"name":"x","nonsense":1,"teams":[{}]}"""
            )
            response.status shouldBe 422
            listOf("nonsense", "teams[0].team", "teams[0].ratePerSecond", "teams[0].burst").forEach {
                response.body shouldContain "\"path\":\"$it\""
            }
            fleet.revisionOf(daemons[0]) shouldBe before
        }
    }

    describe("a withdrawn key") {
        it("is refused by every daemon within 3 s") {
            grant("guest", "guest-key")
            val request = TestRequest("POST", "/v1/services/slots/check", "{}", "guest-key")
            // The restarted daemon serves once it has its journal and a share of the team's limit.
            daemons.forEach { eventually(20.seconds) { fleet.send(it.address, request).status == 200 } }
            fleet.operator(daemons[0], "DELETE", "/v1/keys/guest").status shouldBe 200
            val start = TimeSource.Monotonic.markNow()
            val last = coroutineScope {
                daemons.map { daemon -> async { lastServed(fleet, daemon, request, start) } }.awaitAll()
            }
            println("a withdrawn key was last accepted after $last")
            last.max() shouldBeLessThan WITHDRAWAL_LIMIT
        }

        it("has its streams ended within 3 s, and the team can still read the result") {
            grant("watcher", "watcher-key")
            coroutineScope {
                val body = chatBody("a long walk", maxTokens = 400, stream = true)
                val started = TimeSource.Monotonic.markNow()
                val streams =
                    List(4) { async { fleet.send(daemons[it % 3].address, chatRequest(body, "watcher-key")) } }
                delay(500.milliseconds)
                fleet.operator(daemons[1], "DELETE", "/v1/keys/watcher").status shouldBe 200
                val responses = streams.awaitAll()
                started.elapsedNow() shouldBeLessThan WITHDRAWAL_LIMIT + 500.milliseconds
                val endedEarly = responses.filter { "key_withdrawn" in it.body }
                println("${endedEarly.size} of 4 streams were ended early, after ${started.elapsedNow()}")
                (endedEarly.size > 0) shouldBe true
                endedEarly.forEach { it.body shouldNotContain "\"finish_reason\":\"stop\"" }
                val id = endedEarly.first().headers.getValue("x-request-id")
                eventually(20.seconds) {
                    fleet.send(daemons[0].address, TestRequest("GET", "/v1/results/$id", key = STADO_KEY)).status == 200
                }
            }
        }
    }

    describe("an upstream that the hosts list shows as leaving") {
        it("receives no new requests after 3 s") {
            val listedHosts = engines.map {
                ListedHost(
                    it.name,
                    it.address,
                    evening.upstreams[0].dataCentre,
                    it == engines[0]
                )
            }
            fleet.send(fleet.platform.address, TestRequest("PUT", "/hosts", encodeHosts(listedHosts)))
            delay(3.seconds)
            val before = startedGenerations(fleet, engines[0])
            repeat(12) { fleet.send(daemons[it % 3].address, chatRequest(chatBody("walk $it"))).status shouldBe 200 }
            startedGenerations(fleet, engines[0]) shouldBe before
        }
    }
})

/** Sends [request] until it has failed for 1 s and returns the time from [start] to the last success. */
private suspend fun lastServed(
    fleet: Fleet,
    daemon: FleetProcess,
    request: TestRequest,
    start: TimeSource.Monotonic.ValueTimeMark
): Duration {
    var last = Duration.ZERO
    while (start.elapsedNow() - last < 1.seconds) {
        val sent = start.elapsedNow()
        if (fleet.send(daemon.address, request).status == 200) {
            last = sent
        }
        delay(10.milliseconds)
    }
    return last
}

private suspend fun startedGenerations(fleet: Fleet, engine: FleetProcess): String = fleet.send(
    engine.address,
    TestRequest("GET", "/load")
).body.substringAfter("\"started\":")
