package figdeck.process

import figdeck.model.hashKey
import figdeck.wire.command.encodeTemplate
import io.kotest.assertions.withClue
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
 * Sends an unknown key to [daemon] for [time] and returns the answers: 401 while the daemon can confirm that its
 * configuration is current, 503 while it cannot.
 */
private suspend fun Fleet.probe(daemon: FleetProcess, time: Duration): List<TimedResponse> {
    val start = TimeSource.Monotonic.markNow()
    val outcomes = mutableListOf<TimedResponse>()
    while (start.elapsedNow() < time) {
        outcomes += sendTimed(daemon, UNKNOWN_KEY_REQUEST, start)
        delay(20.milliseconds)
    }
    return outcomes
}

/**
 * How long a daemon took to give an awaited answer.
 *
 * @property probes the answers until then, for the message of a failure.
 */
private data class Change(
    val after: Duration,
    val probes: List<TimedResponse>,
)

private suspend fun Fleet.awaitStatus(daemon: FleetProcess, status: Int, described: List<FleetProcess>): Change {
    val start = TimeSource.Monotonic.markNow()
    val probes = mutableListOf<TimedResponse>()
    val describe: suspend () -> String = { "${probes.summarize()}\n${describeStatuses(described)}" }
    eventually(10.seconds, describe) {
        probes += sendTimed(daemon, UNKNOWN_KEY_REQUEST, start)
        probes.last().response.status == status
    }
    return Change(start.elapsedNow(), probes)
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
            val probes = fleet.probe(isolated, 5.seconds)
            withClue("${probes.summarize()}\n${fleet.describeStatuses(peers + isolated)}") {
                probes.map { it.response.status }.toSet() shouldContainOnly setOf(STATUS_CURRENT)
            }
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
            val refusal = fleet.awaitStatus(isolated, STATUS_STALE, listOf(isolated))
            val response = fleet.send(isolated.address, chatRequest(chatBody("x")))
            val isolatedStatus = fleet.describeStatuses(listOf(isolated))
            peers.forEach { it.resume() }
            println("an isolated daemon refuses after ${refusal.after}")
            withClue("${refusal.probes.summarize()}\nafter the refusal $isolatedStatus") {
                refusal.after shouldBeLessThan 3.seconds
            }
            response.body shouldContain "\"type\":\"stale_configuration\""
            response.body shouldContain "\"ran\":\"no\""
            println("it serves again after ${fleet.awaitStatus(isolated, STATUS_CURRENT, peers + isolated).after}")
        }
    }

    describe("an outage of the table for all daemons") {
        it("does not make any daemon treat its configuration as stale") {
            link.restore()
            (peers + isolated).forEach { fleet.awaitStatus(it, STATUS_CURRENT, peers + isolated) }
            delay(1.seconds)
            fleet.platformFaults("outage=true")
            val probes =
                coroutineScope { (peers + isolated).map { async { fleet.probe(it, 8.seconds) } }.awaitAll() }
            val statuses = fleet.describeStatuses(peers + isolated)
            fleet.platformFaults("outage=false")
            withClue("${probes.flatten().summarize()}\nat the end $statuses") {
                val answers = probes.map { each -> each.map { it.response.status }.toSet() }
                answers shouldBe List(3) { setOf(STATUS_CURRENT) }
            }
        }
    }
})
