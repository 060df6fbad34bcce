package figdeck.process

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val LOOKUPS = 150

class LookupSpec : DescribeSpec({
    describe("idempotent lookups within the team's rate") {
        it("are answered during an outage of the table longer than a lease") {
            Fleet().use { fleet ->
                val service = fleet.service("slots-1")
                val engine = fleet.engine("engine-1")
                val daemons = listOf("a", "b", "c").map { fleet.daemon("host-$it", "centre-$it") }
                val template = eveningTemplate(listOf(engine), listOf(service), rate = 40.0, burst = 20)
                val lookups = template.copy(routes = template.routes.map { it.copy(idempotent = true) })
                fleet.applyTemplate(daemons[0], lookups, daemons)
                fleet.awaitShards(daemons)
                fleet.platformFaults("outage=true")
                val start = TimeSource.Monotonic.markNow()
                val outcomes = coroutineScope {
                    List(LOOKUPS) { number ->
                        async {
                            delay((number * 100).milliseconds)
                            val request = TestRequest("POST", "/v1/services/slots/lane", "$number", STADO_KEY)
                            fleet.sendTimed(daemons[number % 3], request, start)
                        }
                    }.awaitAll()
                }
                withClue("${outcomes.summarize()}\n${fleet.describeStatuses(daemons)}") {
                    outcomes.groupingBy { it.response.status }.eachCount() shouldBe mapOf(200 to LOOKUPS)
                }
                // A chat turn needs a durable acceptance: it is refused, and the refusal says whether it ran.
                val turn = fleet.send(daemons[0].address, chatRequest(chatBody("Any lane?")))
                turn.status shouldBe 503
                Regex("\"ran\":\"(no|unknown)\"").findAll(turn.body).count() shouldBeGreaterThan 0
                fleet.platformFaults("outage=false")
                eventually(10.seconds) {
                    fleet.send(daemons[0].address, chatRequest(chatBody("Any lane?"))).status == 200
                }
            }
        }
    }
})
