package figdeck.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

private const val CALLERS = 20

class DrainSpec : DescribeSpec({
    describe("a planned stop") {
        it("interrupts no request: streams complete and keep-alive connections are told to close") {
            Fleet().use { fleet ->
                val engine = fleet.engine("engine-1", "--token-micros=20000")
                val service = fleet.service("slots-1")
                val daemon = fleet.daemon("host-1")
                fleet.applyTemplate(daemon, eveningTemplate(listOf(engine), listOf(service)))
                val responses = coroutineScope {
                    val streams = List(8) {
                        async {
                            fleet.send(
                                daemon.address,
                                chatRequest(chatBody("p$it", maxTokens = 60, stream = true))
                            )
                        }
                    }
                    val calls = List(CALLERS) { caller ->
                        async {
                            delay((caller * 100).milliseconds)
                            fleet.send(
                                daemon.address,
                                TestRequest("POST", "/v1/services/slots/c", "$caller", STADO_KEY)
                            )
                        }
                    }
                    delay(500.milliseconds)
                    daemon.stop()
                    streams.map { it.await() } to calls.map { it.await() }
                }
                responses.first.map { it.status } shouldContainOnly listOf(200)
                responses.first.map { Regex("\"content\":").findAll(it.body).count() } shouldContainOnly listOf(60)
                val served = responses.second.filter { it.status == 200 }
                served.size shouldBeGreaterThan 4
                // The closed port refused the calls that were not served, so they never reached the service.
                fleet.send(service.address, TestRequest("GET", "/runs")).body.lines().size shouldBe served.size
                daemon.process.waitFor(10, TimeUnit.SECONDS) shouldBe true
            }
        }
    }
})
