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

private const val SEED = 6L
private const val CHECKS = 200
private const val TURNS = 50

/** A slot check whose body tells it from all others. */
private fun slotCheck(number: Int, headers: Map<String, String> = emptyMap()) =
    Ask("POST", "/v1/services/slots/check", "{\"check\":$number}", STADO_KEY, headers)

/** How often the service ran each body. */
private suspend fun Fleet.runs(service: Member): Map<String, Int> =
    send(service.address, Ask("GET", "/runs")).body.lines().filter { it.isNotEmpty() }.associate { line ->
        line.substringAfter("/check ") to line.substringBefore(' ').toInt()
    }

private fun Answer.saysNotRun(): Boolean = "\"ran\":\"no\"" in body

/** Compares each answer with what the service counted and with what [reader] can read. */
private suspend fun Fleet.compare(answers: List<Answer>, service: Member, reader: Member) {
    val runs = runs(service)
    answers.forEachIndexed { number, answer ->
        val times = runs["{\"check\":$number}"] ?: 0
        withClue("check $number, ran $times times, answered ${answer.status} ${answer.body}") {
            (times <= 1) shouldBe true
            if (answer.saysNotRun()) times shouldBe 0
            if (answer.status == 200) {
                times shouldBe 1
                val id = answer.headers.getValue("x-request-id")
                read(reader, "/v1/results/$id").body shouldBe answer.body
            }
        }
    }
}

private val Answer.content: String get() = Regex("\"content\":\"([^\"]*)\"").find(body)?.groupValues?.get(1).orEmpty()

/** Reads the result that [answer] was of, once it is there. */
private suspend fun Fleet.readLater(reader: Member, answer: Answer): Answer {
    val path = "/v1/results/${answer.headers.getValue("x-request-id")}"
    eventually(5.seconds) { read(reader, path).status == 200 }
    return read(reader, path)
}

class ExactlyOnceSpec : DescribeSpec({
    val fleet = Fleet()
    val engine = fleet.engine("engine-1", "--token-micros=40000")
    val service = fleet.service("slots-1")
    val daemons = listOf(fleet.daemon("host-1"), fleet.daemon("host-2"))

    beforeSpec {
        fleet.apply(daemons[0], eveningTemplate(listOf(engine), listOf(service), burst = 10_000), daemons)
    }
    afterSpec { fleet.close() }

    describe("slot checks") {
        it("run at most once, and as answered, through outages and lost replies of the table") {
            val random = Random(SEED)
            var turned = emptyList<Answer>()
            val answers = coroutineScope {
                val faults = async {
                    listOf("outage=true", "loseReplies=true", "outage=true", "loseReplies=true").forEach { fault ->
                        delay(random.nextLong(200, 900).milliseconds)
                        fleet.platformFaults(fault)
                        delay(random.nextLong(500, 3_000).milliseconds)
                        fleet.platformFaults("")
                    }
                }
                val checks = (0 until CHECKS).map { number ->
                    delay(40.milliseconds)
                    async { fleet.send(daemons[number % 2].address, slotCheck(number)) }
                }
                val turns = (0 until TURNS).map { number ->
                    async {
                        delay(160.milliseconds * number)
                        fleet.send(daemons[number % 2].address, chat(chatBody("turn $number", 20)))
                    }
                }
                faults.await()
                turned = turns.awaitAll()
                checks.awaitAll()
            }
            eventually(10.seconds) { fleet.send(daemons[1].address, slotCheck(CHECKS)).status == 200 }
            answers.count { it.status == 200 } shouldBeGreaterThan CHECKS / 4
            answers.count { it.saysNotRun() } shouldBeGreaterThan 0
            fleet.compare(answers, service, daemons[1])
            val whole = turned.filter { it.status == 200 }
            whole.size shouldBeGreaterThan TURNS / 4
            whole.forEach { fleet.readLater(daemons[1], it).content shouldBe it.content }
        }

        it("resent under their key run once and get the first one's id and answer") {
            val key = mapOf("Idempotency-Key" to "booking-1")
            val body = "{\"check\":1000}"
            val answers = coroutineScope {
                (0..9).map { async { fleet.send(daemons[it % 2].address, slotCheck(1000, key)) } }.awaitAll()
            }
            answers.map { it.status }.toSet() shouldBe setOf(200)
            answers.map { it.headers["x-request-id"] to it.body }.toSet().size shouldBe 1
            fleet.runs(service)[body] shouldBe 1
            val other = fleet.send(daemons[1].address, slotCheck(1001, key))
            other.status shouldBe 409
            other.body shouldContain "key_reused"
            fleet.runs(service)["{\"check\":1001}"] shouldBe null
        }
    }

    describe("a caller that hangs up") {
        it("finds the whole result later") {
            val id = fleet.acknowledge(daemons[0].address, chat(chatBody("Any slot?", 30, true)))
            fleet.read(daemons[1], "/v1/results/$id").body shouldContain "still_running"
            eventually(10.seconds) { fleet.read(daemons[1], "/v1/results/$id").status == 200 }
            val other = Ask("GET", "/v1/results/$id", key = KUUSALU_KEY)
            fleet.send(daemons[1].address, other).status shouldBe 404
            val explained = fleet.send(daemons[1].operatorAddress, Ask("GET", "/v1/explain/$id", key = OPERATOR_SECRET))
            Regex("\"step\":\"(\\w+)\",\"host\":\"([^\"]*)\"").findAll(explained.body).map { it.groupValues.drop(1) }
                .toList() shouldBe listOf("accepted", "sent", "ended").map { listOf(it, "host-1") }
        }
    }

    describe("a host lost right after it acknowledged") {
        it("leaves every chat turn to a whole readable result of another host") {
            val ids = coroutineScope {
                (1..10).map { turn ->
                    async { fleet.acknowledge(daemons[0].address, chat(chatBody("turn $turn", 50, true))) }
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
