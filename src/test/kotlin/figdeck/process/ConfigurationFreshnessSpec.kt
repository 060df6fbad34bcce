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

private val UNKNOWN_KEY_REQUEST = chatRequest(chatBody("x"), "stolen")
private const val STATUS_CURRENT = 401
private const val STATUS_STALE = 503

/**
 * Sends an unknown key to [daemon] for [time] and returns the statuses: 401 while the daemon can confirm that its
 * configuration is current, 503 while it cannot.
 */
private suspend fun Fleet.probeStatuses(daemon: FleetProcess, time: Duration): Set<Int> {
    val start = TimeSource.Monotonic.markNow()
    val statuses = mutableSetOf<Int>()
    while (start.elapsedNow() < time) {
        statuses += send(daemon.address, UNKNOWN_KEY_REQUEST).status
        delay(20.milliseconds)
    }
    return statuses
}

private suspend fun Fleet.measureTimeUntil(daemon: FleetProcess, status: Int): Duration {
    val start = TimeSource.Monotonic.markNow()
    eventually(10.seconds) { send(daemon.address, UNKNOWN_KEY_REQUEST).status == status }
    return start.elapsedNow()
}

class ConfigurationFreshnessSpec : DescribeSpec({
    val fleet = Fleet()
    val engine = fleet.engine("engine-1")
    val service = fleet.service("slots-1")
    val link = SeverableLink(fleet.platform.address)
    val peers = listOf(fleet.daemon("host-1"), fleet.daemon("host-2", "centre-b"))
    val isolated = fleet.daemon("host-3", "centre-c", "--platform-address=${link.address}")

    suspend fun operator(method: String, target: String, body: String = "") =
        fleet.send(peers[0].operatorAddress, TestRequest(method, target, body, OPERATOR_SECRET))

    beforeSpec {
        val evening = eveningTemplate(listOf(engine), listOf(service))
        fleet.applyTemplate(peers[0], evening, peers + isolated)
        eventually(20.seconds) {
            "\"hosts\":3" in operator("PUT", "/v1/templates/evening", encodeTemplate(evening)).body
        }
    }
    afterSpec {
        link.close()
        fleet.close()
    }

    describe("a daemon that cannot reach the table but can reach its peers") {
        it("keeps serving while a peer confirms its configuration, and refuses a withdrawn key within 3 s") {
            val grant = """{"team":"stado","id":"guest","sha256":"${hashKey("guest-key").hex}"}"""
            operator("POST", "/v1/keys", grant).body shouldContain "\"missing\":[]"
            link.sever()
            fleet.probeStatuses(isolated, 5.seconds) shouldContainOnly setOf(STATUS_CURRENT)
            operator("DELETE", "/v1/keys/guest").body shouldContain "\"missing\":[]"
            val start = TimeSource.Monotonic.markNow()
            eventually(10.seconds) {
                fleet.send(isolated.address, chatRequest(chatBody("x"), "guest-key")).status == STATUS_CURRENT
            }
            println("key refused by the isolated daemon after ${start.elapsedNow()}")
            start.elapsedNow() shouldBeLessThan 3.seconds
        }
    }

    describe("a daemon that can reach neither the table nor its peers") {
        it("refuses within 3 s, reports that nothing ran, and serves again when its peers resume") {
            peers.forEach { it.pause() }
            val refusedAfter = fleet.measureTimeUntil(isolated, STATUS_STALE)
            val response = fleet.send(isolated.address, chatRequest(chatBody("x")))
            peers.forEach { it.resume() }
            println("an isolated daemon refuses after $refusedAfter")
            refusedAfter shouldBeLessThan 3.seconds
            response.body shouldContain "\"type\":\"stale_configuration\""
            response.body shouldContain "\"ran\":\"no\""
            println("it serves again after ${fleet.measureTimeUntil(isolated, STATUS_CURRENT)}")
        }
    }

    describe("an outage of the table for all daemons") {
        it("does not make any daemon treat its configuration as stale") {
            link.restore()
            (peers + isolated).forEach { fleet.measureTimeUntil(it, STATUS_CURRENT) }
            delay(1.seconds)
            fleet.platformFaults("outage=true")
            val statuses =
                coroutineScope { (peers + isolated).map { async { fleet.probeStatuses(it, 8.seconds) } }.awaitAll() }
            fleet.platformFaults("outage=false")
            statuses shouldBe List(3) { setOf(STATUS_CURRENT) }
        }
    }
})
