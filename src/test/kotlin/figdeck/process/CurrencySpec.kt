package figdeck.process

import figdeck.model.hashKey
import figdeck.wire.command.encodeTemplate
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val PROBE = chat(chatBody("x"), "stolen")
private const val CURRENT = 401
private const val STALE = 503

/** What [daemon] answers to a stolen key over [time]: 401 where it knows its keys, 503 where it can't. */
private suspend fun Fleet.probe(daemon: Member, time: Duration): Set<Int> {
    val start = TimeSource.Monotonic.markNow()
    val seen = mutableSetOf<Int>()
    while (start.elapsedNow() < time) {
        seen += send(daemon.address, PROBE).status
        delay(20.milliseconds)
    }
    return seen
}

private suspend fun Fleet.timeUntil(daemon: Member, status: Int): Duration {
    val start = TimeSource.Monotonic.markNow()
    eventually(10.seconds) { send(daemon.address, PROBE).status == status }
    return start.elapsedNow()
}

class CurrencySpec : DescribeSpec({
    val fleet = Fleet()
    val engine = fleet.engine("engine-1")
    val service = fleet.service("slots-1")
    val link = Cut(fleet.platform.address)
    val others = listOf(fleet.daemon("host-1"), fleet.daemon("host-2", "centre-b"))
    val lone = fleet.daemon("host-3", "centre-c", "--platform-address=${link.address}")

    suspend fun operator(method: String, target: String, body: String = "") =
        fleet.send(others[0].operatorAddress, Ask(method, target, body, OPERATOR_SECRET))

    beforeSpec {
        val evening = eveningTemplate(listOf(engine), listOf(service))
        fleet.apply(others[0], evening, others + lone)
        eventually(20.seconds) {
            "\"hosts\":3" in operator("PUT", "/v1/templates/evening", encodeTemplate(evening)).body
        }
    }
    afterSpec {
        link.close()
        fleet.close()
    }

    describe("a daemon cut from the table alone") {
        it("goes on while a peer vouches, and a withdrawn key stops there within 3 s") {
            val grant = """{"team":"stado","id":"guest","sha256":"${hashKey("guest-key").hex}"}"""
            operator("POST", "/v1/keys", grant).body shouldContain "\"missing\":[]"
            link.sever()
            fleet.probe(lone, 5.seconds) shouldContainOnly setOf(CURRENT)
            operator("DELETE", "/v1/keys/guest").body shouldContain "\"missing\":[]"
            val start = TimeSource.Monotonic.markNow()
            eventually(10.seconds) { fleet.send(lone.address, chat(chatBody("x"), "guest-key")).status == CURRENT }
            println("withdrawn on the cut daemon after ${start.elapsedNow()}")
            start.elapsedNow() shouldBeLessThan 3.seconds
        }
    }

    describe("a daemon cut from the table and from its peers") {
        it("refuses within 3 s, says that nothing ran, and serves again once it hears") {
            others.forEach { it.pause() }
            val refusedAfter = fleet.timeUntil(lone, STALE)
            val answer = fleet.send(lone.address, chat(chatBody("x")))
            others.forEach { it.resume() }
            println("a lone daemon refuses after $refusedAfter")
            refusedAfter shouldBeLessThan 3.seconds
            answer.body shouldContain "\"type\":\"stale_configuration\""
            answer.body shouldContain "\"ran\":\"no\""
            println("and serves again after ${fleet.timeUntil(lone, CURRENT)}")
        }
    }

    describe("an outage of the table for all") {
        it("leaves every daemon sure of its keys") {
            link.mend()
            (others + lone).forEach { fleet.timeUntil(it, CURRENT) }
            delay(1.seconds)
            fleet.platformFaults("outage=true")
            val seen = coroutineScope { (others + lone).map { async { fleet.probe(it, 8.seconds) } }.awaitAll() }
            fleet.platformFaults("outage=false")
            seen shouldBe List(3) { setOf(CURRENT) }
        }
    }
})
