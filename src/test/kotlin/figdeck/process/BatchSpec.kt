package figdeck.process

import figdeck.model.KeyId
import figdeck.model.TeamId
import figdeck.model.TeamKey
import figdeck.model.Template
import figdeck.model.hashKey
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val OTHER_KEY = "other-key"
private const val ITEMS = 250
private val batchLines = (0 until ITEMS).map { batchLine("c$it", "p$it", 40) }

private fun Template.withOtherTeam(): Template {
    val keys = listOf(TeamKey(KeyId("other"), hashKey(OTHER_KEY)))
    return copy(teams = teams + teams.first().copy(id = TeamId("other"), keys = keys))
}

private suspend fun Fleet.count(daemon: FleetProcess, batch: String, field: String): Int =
    Regex("\"$field\":(\\d+)").find(read(daemon, batch).body)?.groupValues?.get(1)?.toInt() ?: -1

private suspend fun Fleet.started(engines: List<FleetProcess>): Int = engines.sumOf {
    Regex("\"started\":(\\d+)").find(send(it.address, TestRequest("GET", "/load")).body)!!.groupValues[1].toInt()
}

private suspend fun Fleet.awaitCompleted(daemon: FleetProcess, batch: String) =
    eventually(60.seconds) { "\"completed\"" in read(daemon, batch).body }

class BatchSpec : DescribeSpec({
    val fleet = Fleet()
    val engines = listOf(fleet.engine("engine-1"), fleet.engine("engine-2"))
    val service = fleet.service("slots-1")
    val daemons = mutableListOf(fleet.daemon("host-1"), fleet.daemon("host-2", "centre-b"))
    var expected = emptyList<String>()

    beforeSpec {
        fleet.applyTemplate(daemons[0], eveningTemplate(engines, listOf(service)).withOtherTeam(), daemons)
        val batch = fleet.submit(daemons[0], batchLines)
        fleet.awaitCompleted(daemons[0], batch)
        expected = outcomes(fleet.read(daemons[0], "$batch/results").body)
    }
    afterSpec { fleet.close() }

    suspend fun submit(name: String): String = fleet.submit(daemons[0], batchLines, mapOf("Idempotency-Key" to name))

    describe("a job of $ITEMS items") {
        it("has a result for each item when no fault occurs") {
            expected.map { it.substringBefore(':') } shouldBe (0 until ITEMS).map { "c$it" }
            expected.map { it.split(' ').size } shouldBe List(ITEMS) { 42 }
        }

        it("is not found by another team") {
            val batch = submit("foreign")
            for (call in listOf("GET" to batch, "GET" to "$batch/results", "POST" to "$batch/cancel")) {
                fleet.send(
                    daemons[0].address,
                    TestRequest(call.first, call.second, key = OTHER_KEY)
                ).status shouldBe 404
            }
            fleet.awaitCompleted(daemons[1], batch)
        }

        it("is the first job when it is resent, and its idempotency key with another body is refused") {
            val batch = submit("resent")
            submit("resent") shouldBe batch
            val headers = mapOf("Idempotency-Key" to "resent")
            val other = TestRequest("POST", "/v1/batches", batchLine("x", "y"), STADO_KEY, headers)
            fleet.send(daemons[1].address, other).status shouldBe 409
            fleet.awaitCompleted(daemons[1], batch)
            outcomes(fleet.read(daemons[1], "$batch/results").body) shouldBe expected
        }

        it("starts no item from 2 s after its cancellation is acknowledged and keeps the finished results") {
            val batch = submit("cancelled")
            eventually(20.seconds) { fleet.count(daemons[0], batch, "finished") > 0 }
            val response = fleet.send(daemons[1].address, TestRequest("POST", "$batch/cancel", key = STADO_KEY))
            response.body shouldContain "\"state\":\"cancelled\""
            val done = fleet.count(daemons[0], batch, "finished")
            delay(2.seconds)
            val started = fleet.started(engines)
            delay(3.seconds)
            fleet.started(engines) shouldBe started
            val results = outcomes(fleet.read(daemons[0], "$batch/results").body)
            results shouldBe expected.take(done)
            done shouldBeGreaterThan 0
        }

        for (seed in 1..2) {
            it("completes despite outages and lost replies of the platform at random times, seed $seed") {
                val random = Random(seed)
                val batch = submit("outage-$seed")
                for (fault in listOf("outage=true", "loseReplies=true", "outage=true").shuffled(random)) {
                    delay(random.nextLong(50, 600).milliseconds)
                    fleet.platformFaults(fault)
                    delay(random.nextLong(300, 2500).milliseconds)
                    fleet.platformFaults("outage=false")
                }
                fleet.awaitCompleted(daemons[1], batch)
                outcomes(fleet.read(daemons[1], "$batch/results").body) shouldBe expected
            }

            it("completes after its host is lost at a random time, seed $seed") {
                val batch = submit("kill-$seed")
                delay(Random(seed).nextLong(200, 2000).milliseconds)
                daemons[0].kill()
                fleet.awaitCompleted(daemons[1], batch)
                outcomes(fleet.read(daemons[1], "$batch/results").body) shouldBe expected
                daemons[0] = fleet.daemon("host-1")
                eventually(10.seconds) { fleet.read(daemons[0], batch).status == 200 }
            }
        }
    }
})
