package figdeck.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val SEED = 6L
private const val CHECKS = 200
private const val TURNS = 50

/** A slot check with a unique body. */
private fun slotCheck(number: Int, headers: Map<String, String> = emptyMap()) =
    TestRequest("POST", "/v1/services/slots/check", "{\"check\":$number}", STADO_KEY, headers)

/** Reads from [service] how often it ran each body. */
private suspend fun Fleet.readRunCounts(service: FleetProcess): Map<String, Int> =
    send(service.address, TestRequest("GET", "/runs")).body.lines().filter { it.isNotEmpty() }.associate { line ->
        line.substringAfter("/check ") to line.substringBefore(' ').toInt()
    }

private fun TestResponse.reportsNotRun(): Boolean = "\"ran\":\"no\"" in body

/** Checks each response against the runs that [service] counted and the result that [reader] returns. */
private suspend fun Fleet.verifyRuns(responses: List<TestResponse>, service: FleetProcess, reader: FleetProcess) {
    val runCounts = readRunCounts(service)
    responses.forEachIndexed { number, response ->
        val runCount = runCounts["{\"check\":$number}"] ?: 0
        withClue("check $number, ran $runCount times, response ${response.status} ${response.body}") {
            (runCount <= 1) shouldBe true
            if (response.reportsNotRun()) runCount shouldBe 0
            if (response.status == 200) {
                runCount shouldBe 1
                val id = response.headers.getValue("x-request-id")
                read(reader, "/v1/results/$id").body shouldBe response.body
            }
        }
    }
}

private val TestResponse.content: String get() = Regex(
    "\"content\":\"([^\"]*)\""
).find(body)?.groupValues?.get(1).orEmpty()

/** Waits until the result of the request behind [response] is available and reads it. */
private suspend fun Fleet.awaitResult(reader: FleetProcess, response: TestResponse): TestResponse {
    val path = "/v1/results/${response.headers.getValue("x-request-id")}"
    eventually(5.seconds) { read(reader, path).status == 200 }
    return read(reader, path)
}

class ExactlyOnceSpec : DescribeSpec({
    val fleet = Fleet()
    val engine = fleet.engine("engine-1", "--token-micros=40000")
    val service = fleet.service("slots-1")
    val daemons = listOf(fleet.daemon("host-1"), fleet.daemon("host-2"))

    beforeSpec {
        fleet.applyTemplate(daemons[0], eveningTemplate(listOf(engine), listOf(service), burst = 10_000), daemons)
    }
    afterSpec { fleet.close() }

    describe("slot checks") {
        it("run at most once, and as answered, through outages and lost replies of the table") {
            val random = Random(SEED)
            val faultTimes = mutableListOf<String>()
            var turnResponses = emptyList<TestResponse>()
            val start = TimeSource.Monotonic.markNow()
            val outcomes = coroutineScope {
                val faults = async {
                    listOf("outage=true", "loseReplies=true", "outage=true", "loseReplies=true").forEach { fault ->
                        delay(random.nextLong(200, 900).milliseconds)
                        val began = start.elapsedNow()
                        fleet.platformFaults(fault)
                        delay(random.nextLong(500, 3_000).milliseconds)
                        fleet.platformFaults("")
                        faultTimes += "$fault from $began to ${start.elapsedNow()}"
                    }
                }
                val checks = (0 until CHECKS).map { number ->
                    delay(40.milliseconds)
                    async { fleet.sendTimed(daemons[number % 2], slotCheck(number), start) }
                }
                val turns = (0 until TURNS).map { number ->
                    async {
                        delay(160.milliseconds * number)
                        fleet.send(daemons[number % 2].address, chatRequest(chatBody("turn $number", 20)))
                    }
                }
                faults.await()
                turnResponses = turns.awaitAll()
                checks.awaitAll()
            }
            eventually(10.seconds) { fleet.send(daemons[1].address, slotCheck(CHECKS)).status == 200 }
            val responses = outcomes.map { it.response }
            val summary = "${faultTimes.joinToString("\n")}\n${outcomes.summarize()}".also(::println)
            withClue(summary) {
                responses.count { it.status == 200 } shouldBeGreaterThan CHECKS / 4
            }
            responses.count { it.reportsNotRun() } shouldBeGreaterThan 0
            fleet.verifyRuns(responses, service, daemons[1])
            val completed = turnResponses.filter { it.status == 200 }
            completed.size shouldBeGreaterThan TURNS / 4
            completed.forEach { fleet.awaitResult(daemons[1], it).content shouldBe it.content }
        }

        it("resent with one idempotency key run once and get the same request id and response") {
            val key = mapOf("Idempotency-Key" to "booking-1")
            val body = "{\"check\":1000}"
            val responses = coroutineScope {
                (0..9).map { async { fleet.send(daemons[it % 2].address, slotCheck(1000, key)) } }.awaitAll()
            }
            responses.map { it.status }.toSet() shouldBe setOf(200)
            responses.map { it.headers["x-request-id"] to it.body }.toSet().size shouldBe 1
            fleet.readRunCounts(service)[body] shouldBe 1
            val other = fleet.send(daemons[1].address, slotCheck(1001, key))
            other.status shouldBe 409
            other.body shouldContain "key_reused"
            fleet.readRunCounts(service)["{\"check\":1001}"] shouldBe null
        }
    }

    describe("a caller that closes its connection") {
        it("can read the complete result later") {
            val id = fleet.sendAndHangUp(daemons[0].address, chatRequest(chatBody("Any slot?", 30, true)))
            fleet.read(daemons[1], "/v1/results/$id").body shouldContain "still_running"
            eventually(10.seconds) { fleet.read(daemons[1], "/v1/results/$id").status == 200 }
            val other = TestRequest("GET", "/v1/results/$id", key = KUUSALU_KEY)
            fleet.send(daemons[1].address, other).status shouldBe 404
            val explained = fleet.send(
                daemons[1].operatorAddress,
                TestRequest("GET", "/v1/explain/$id", key = OPERATOR_SECRET)
            )
            Regex("\"step\":\"(\\w+)\",\"host\":\"([^\"]*)\"").findAll(explained.body).map { it.groupValues.drop(1) }
                .toList() shouldBe listOf("accepted", "sent", "ended").map { listOf(it, "host-1") }
        }
    }

    describe("a host that is lost right after it acknowledged chat turns") {
        it("has every turn completed by another host, with a readable result") {
            val ids = coroutineScope {
                (1..10).map { turn ->
                    async { fleet.sendAndHangUp(daemons[0].address, chatRequest(chatBody("turn $turn", 50, true))) }
                }.awaitAll()
            }
            daemons[0].kill()
            ids.forEach { id ->
                eventually(30.seconds) { fleet.read(daemons[1], "/v1/results/$id").status == 200 }
                fleet.read(daemons[1], "/v1/results/$id").content.trim().split(' ').size shouldBe 50
            }
        }
    }
})
