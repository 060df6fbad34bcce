package figdeck.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

private const val CALLERS = 24
private const val TOKENS = 12

/** Sets the faults of an engine stand-in to those in [query], such as `silent=true`, and clears all others. */
private suspend fun Fleet.engineFaults(engine: FleetProcess, query: String = "") {
    send(engine.address, TestRequest("POST", "/faults?$query"))
}

private suspend fun Fleet.count(engine: FleetProcess, name: String): Int {
    val counts = send(engine.address, TestRequest("GET", "/counts")).body
    return counts.substringAfter("\"$name\":").substringBefore(',').trimEnd('}').toInt()
}

private fun content(response: TestResponse): String =
    response.body.substringAfter("\"content\":\"").substringBefore('"')

class FailingUpstreamsSpec : DescribeSpec({
    val fleet = Fleet()
    val engines = List(3) { fleet.engine("engine-$it", "--token-micros=10000") }
    val service = fleet.service("slots-1")
    val daemon = fleet.daemon("host-1")

    suspend fun turns(count: Int = CALLERS, maxTokens: Int = TOKENS): List<TestResponse> = coroutineScope {
        List(count) {
            async { fleet.send(daemon.address, chatRequest(chatBody("Is herd $it free?", maxTokens))) }
        }.awaitAll()
    }

    beforeSpec { fleet.applyTemplate(daemon, eveningTemplate(engines, listOf(service))) }
    afterSpec { fleet.close() }
    afterTest { engines.forEach { fleet.engineFaults(it) } }

    describe("chat turns while one or two of three engines fail") {
        it("get the same complete answers when engines abort them, with no repeated or foreign tokens") {
            val expected = turns().map { content(it) }
            expected.distinct().size shouldBeGreaterThan 5
            engines.take(2).forEach { fleet.engineFaults(it, "resetAfter=3") }
            val responses = turns()
            responses.map { it.status }.distinct() shouldBe listOf(200)
            responses.map { content(it) } shouldBe expected
        }

        it("wait only a few seconds for an engine that never answers") {
            val expected = turns().map { content(it) }
            fleet.engineFaults(engines[0], "silent=true")
            val first = measureTime { turns().map { content(it) } shouldBe expected }
            first.inWholeMilliseconds shouldBeLessThan 6_000
            val second = measureTime { turns().map { content(it) } shouldBe expected }
            second.inWholeMilliseconds shouldBeLessThan 2_500
        }

        it("get their own complete answers when an engine is slower than its timeout") {
            val expected = turns().map { content(it) }
            fleet.engineFaults(engines[1], "slowMillis=6000")
            turns().map { content(it) } shouldBe expected
        }
    }

    describe("a caller that disconnects") {
        it("leaves no running generation: its accepted turn runs once and ends") {
            val started = engines.sumOf { fleet.count(it, "started") }
            withTimeoutOrNull(500.milliseconds) {
                fleet.send(daemon.address, chatRequest(chatBody("A long walk", 100)))
            } shouldBe null
            eventually(5.seconds) { engines.sumOf { fleet.count(it, "running") } == 0 }
            engines.sumOf { fleet.count(it, "started") } shouldBe started + 1
        }
    }

    describe("online turns while batch items hold every slot") {
        it("complete within 1 s, and the batch job still completes every item once") {
            val lines = List(60) { batchLine("note-$it", "Route note $it", 200) }
            val job = fleet.submit(daemon, lines)
            eventually(20.seconds) { engines.sumOf { fleet.count(it, "running") } >= 24 }
            val slowest = (1..10).maxOf {
                measureTime { fleet.send(daemon.address, chatRequest(chatBody("Any slot?"))).status shouldBe 200 }
            }
            slowest.inWholeMilliseconds shouldBeLessThan 1_000
            engines.sumOf { fleet.count(it, "cancelled") } shouldBeGreaterThan 1
            eventually(60.seconds) {
                fleet.send(daemon.address, TestRequest("GET", job, key = STADO_KEY)).body.contains("\"completed\"")
            }
            val status = fleet.send(daemon.address, TestRequest("GET", job, key = STADO_KEY)).body
            status shouldContain "\"items\":60,\"finished\":60,\"failed\":0"
        }
    }
})
