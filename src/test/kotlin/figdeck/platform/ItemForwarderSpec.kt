package figdeck.platform

import arrow.core.Either
import figdeck.daemon.command.jobs.ItemCall
import figdeck.daemon.command.serving.SendOptions
import figdeck.http.RawRequest
import figdeck.http.RawUpstream
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.send
import figdeck.http.wholeResponse
import figdeck.model.DataCentre
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.JobItem
import figdeck.model.serving.servingPlan
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.delay
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val RESUME_AFTER = 4L
private val settleTime = 200.milliseconds
private val route = servingPlan {
    version = 1
    route("notes") {
        host = "desk.example"
        prefix = "/notes/"
        kind = CallKind.BATCH
        maxAttempts = 2
        batch = BatchPolicy(18.seconds, 60.seconds, null)
        pool("engines")
    }
}.getOrNull()!!.routes.single()

/** What became of sending an item, and the requests that its upstream received. */
private data class Sent(
    val result: Either<ExchangeFailure, Unit>,
    val requests: List<RawRequest>,
)

private suspend fun send(path: String = "/notes/1", headers: Map<String, String> = emptyMap()): Sent {
    val requests = CopyOnWriteArrayList<RawRequest>()
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    return RawUpstream { request, socket ->
        requests += request
        socket.send(wholeResponse(""))
    }.use { server ->
        val options = SendOptions(
            upstream = Upstream(
                UpstreamId("i-1"),
                server.address,
                DataCentre("centre-a"),
                UpstreamKind.SERVICE,
                1,
                honoursFencing = false,
            ),
            timeLeft = 2.seconds,
            resumeAfter = RESUME_AFTER,
            headTimeout = 2.seconds,
            idleTimeout = 1.seconds,
            freshConnection = false,
        )
        val item = JobItem("item-1", path, headers, ByteArray(0), 10)
        val result = HttpClient(group).use { client ->
            httpItemForwarder(client)(ItemCall(item, route, TeamId("stado")), options) { reply ->
                reply.body.chunks.collect {}
            }.also { delay(settleTime) }
        }
        group.shutdownGracefully()
        Sent(result, requests)
    }
}

class ItemForwarderSpec : DescribeSpec({
    // Guards against an item whose path ends the request line and adds a request of another team.
    describe("an item with line breaks in its path") {
        it("reaches no upstream, and the send fails as not sent") {
            val sent = send(
                "/notes/1 HTTP/1.1\r\nHost: desk.example\r\n\r\nPOST /notes/2 HTTP/1.1\r\nX-Tenant: other\r\nX: "
            )
            sent.requests.map { it.head.first() } shouldBe emptyList()
            sent.result.leftOrNull().shouldBeInstanceOf<ExchangeFailure.NotSent>()
        }
    }

    describe("an item with a header that may not be sent") {
        for ((name, value) in listOf(
            "X Title" to "x",
            "" to "x",
            "X-Title" to "x\nX-Tenant: other",
            "X-Title" to " x"
        )) {
            it("reaches no upstream, and the send fails as not sent: '$name', ${value.length} characters") {
                val sent = send(headers = mapOf(name to value))
                sent.requests.map { it.head.first() } shouldBe emptyList()
                sent.result.leftOrNull().shouldBeInstanceOf<ExchangeFailure.NotSent>()
            }
        }
    }

    describe("an item with a header value whose letters have the low byte of a line break") {
        it("stays within its line") {
            val head = send(headers = mapOf("X-Title" to "a\u010D\u010AX-Tenant: other")).requests.single().head
            head.filter { it.startsWith("X-T") } shouldContainExactlyInAnyOrder
                listOf("X-Tenant: stado", "X-Title: a??X-Tenant: other")
        }
    }

    describe("an item that names headers of the gateway and of the connection") {
        it(
            "is sent with the gateway's own, one of each, and none of the connection's, whatever the case of its names"
        ) {
            val forged = mapOf(
                "x-tenant" to "other",
                "X-TENANT" to "third",
                "x-attempt-id" to "other",
                "X-ATTEMPT-ID" to "third",
                "x-expect-instance" to "other",
                "x-deadline-ms" to "999999",
                "last-event-id" to "77",
                "host" to "other.example",
                "authorization" to "Bearer other",
                "transfer-encoding" to "chunked",
                "content-length" to "5",
                "connection" to "upgrade, X-Attempt-Id, Host, X-Tenant, X-Hop",
                "upgrade" to "h2c",
                "expect" to "100-continue",
                "te" to "trailers",
                "x-hop" to "1",
                "X-Model" to "m",
            )
            val head = send(headers = forged).requests.single().head
            head.first() shouldBe "POST /notes/1 HTTP/1.1"
            val sentHeaders = head.drop(1).map { it.lowercase() }.filterNot { it.startsWith("traceparent") }
            sentHeaders shouldContainExactlyInAnyOrder
                listOf(
                    "x-model: m",
                    "x-attempt-id: item-1",
                    "host: desk.example",
                    "x-tenant: stado",
                    "x-expect-instance: i-1",
                    "x-deadline-ms: 2000",
                    "last-event-id: 4",
                    "content-length: 0",
                )
        }
    }
})
