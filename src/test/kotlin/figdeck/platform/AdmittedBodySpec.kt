package figdeck.platform

import figdeck.command.serving.BodyMemoryLimits
import figdeck.command.serving.BodyMemoryUse
import figdeck.daemon.command.serving.BodyMemory
import figdeck.http.newHeaders
import figdeck.http.send
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.http.untilClosed
import figdeck.model.Address
import figdeck.model.systemClock
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_BODY_BYTES = 1_000_000
private const val SMALL_BODY = 10_000
private const val MEDIUM_BODY = 100_000
private const val TOO_LARGE_BESIDE = 200_000
private const val CALLERS = 12
private const val SLOW_CALLERS = 40
private const val SEQUENCE = 100
private const val READ_TIMEOUT_MILLIS = 5_000
private val HANDLE_TIME = 20.milliseconds
private val ARRIVAL_TIME = 500.milliseconds

/** Room for one body of [MAX_BODY_BYTES] at a time. */
private val limits = BodyMemoryLimits(small = 400_000, large = 3_500_000, submissions = 3_500_000)

private val terms = BodyTerms(MAX_BODY_BYTES, isSubmission = false, timeLeft = 10.seconds)

private fun head(bytes: Int) = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: $bytes\r\n\r\n"

private fun waitingHead(bytes: Int) =
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: $bytes\r\nExpect: 100-continue\r\n\r\n"

private const val CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

private fun chunk(bytes: Int) = "${bytes.toString(16)}\r\n${"a".repeat(bytes)}\r\n"

/** The lines of an answer's head, or none if the connection ended without one. */
private fun Socket.readHead(): List<String> {
    val input = getInputStream().bufferedReader()
    return generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
}

private fun List<String>.status(): String = firstOrNull()?.substringAfter(' ')?.take(3).orEmpty()

private fun List<String>.hasRetryAfter(): Boolean = any { it.startsWith("retry-after: ", ignoreCase = true) }

/** A server whose handler takes [HANDLE_TIME] for each body that it has read. */
private class BodyServer(private val eventLoops: MultiThreadIoEventLoopGroup) : AutoCloseable {
    val memory = BodyMemory(limits, systemClock)
    private val server = HttpServer(eventLoops, HttpServerLimits()) { call, responder ->
        memory.withBody(call, responder, terms) { body, bodyResponder ->
            if (body.isRight()) delay(HANDLE_TIME)
            body.fold({ bodyResponder.refuse(it) }, { bodyResponder.respond(200, newHeaders(), ByteArray(0)) })
        }
    }
    val address: Address = server.listen("127.0.0.1", 0)

    /** Sends [texts] on a connection of its own and returns the head of the answer. */
    fun answerTo(vararg texts: String): List<String> = connect().use { socket ->
        untilClosed { texts.forEach { socket.send(it) } }
        socket.readHead()
    }

    /** The statuses that [callers] get who each send a small body in two chunks, the second after all first ones. */
    suspend fun answersToSlow(callers: Int): List<String> {
        val sockets = List(callers) { connect().apply { send(CHUNKED_HEAD + chunk(1)) } }
        delay(ARRIVAL_TIME)
        sockets.forEach { untilClosed { it.send(chunk(1) + "0\r\n\r\n") } }
        return sockets.map { socket -> socket.use { it.readHead().status() } }
    }

    /** Runs [use] while a caller has sent the head of the largest body and a part of it; then sends the rest. */
    suspend fun whileFull(use: suspend () -> Unit): List<String> = connect().use { socket ->
        socket.send(head(MAX_BODY_BYTES) + "a".repeat(SMALL_BODY))
        eventually(5.seconds) { memory.usedNow.large > 0 }
        use()
        socket.send("a".repeat(MAX_BODY_BYTES - SMALL_BODY))
        socket.readHead()
    }

    /** Waits until no memory is reserved. */
    suspend fun awaitFree() = eventually(5.seconds) { memory.usedNow == BodyMemoryUse() }

    private fun connect() = Socket(address.ip, address.port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    override fun close() = server.close()
}

class AdmittedBodySpec : DescribeSpec({
    val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val server = BodyServer(eventLoops)

    // An answer may arrive before the memory of its request is free.
    beforeEach { server.awaitFree() }

    afterSpec {
        server.close()
        eventLoops.shutdownGracefully()
    }

    // Guards against bodies that are read without a bound on all of them together.
    describe("a server whose memory for bodies is taken by a large one") {
        it("refuses another large one before any of its body has come, and reads the first one to its end") {
            val first = server.whileFull {
                val refused = server.answerTo(head(MAX_BODY_BYTES))
                refused.status() shouldBe "503"
                refused.hasRetryAfter() shouldBe true
                refused.map { it.lowercase() } shouldContain "connection: close"
            }
            first.status() shouldBe "200"
        }

        it("refuses one whose caller waits to be told to send it, without telling so") {
            server.whileFull {
                server.answerTo(waitingHead(MAX_BODY_BYTES)).status() shouldBe "503"
            }
        }

        it("answers small ones, with a declared size and in chunks") {
            server.whileFull {
                server.answerTo(head(SMALL_BODY) + "a".repeat(SMALL_BODY)).status() shouldBe "200"
                server.answerTo(CHUNKED_HEAD + chunk(SMALL_BODY) + "0\r\n\r\n").status() shouldBe "200"
                server.answerTo(head(0)).status() shouldBe "200"
            }.status() shouldBe "200"
        }

        it("reads one in chunks that fits beside it") {
            server.whileFull {
                server.answerTo(CHUNKED_HEAD, chunk(MEDIUM_BODY), "0\r\n\r\n").status() shouldBe "200"
            }.status() shouldBe "200"
        }

        it("refuses one in chunks as soon as there is no room for what has come") {
            server.whileFull {
                val refused = server.answerTo(CHUNKED_HEAD, chunk(TOO_LARGE_BESIDE))
                refused.status() shouldBe "503"
                refused.hasRetryAfter() shouldBe true
            }
        }
    }

    describe("large bodies that come at once") {
        it("are each answered: those that fit with 200, the others with 503 and Retry-After") {
            val answers = coroutineScope {
                List(CALLERS) {
                    async(Dispatchers.IO) { server.answerTo(head(MAX_BODY_BYTES), "a".repeat(MAX_BODY_BYTES)) }
                }.awaitAll()
            }
            answers.map { it.status() }.toSet() shouldContainOnly setOf("200", "503")
            answers.filter { it.status() == "503" && !it.hasRetryAfter() }.shouldBeEmpty()
        }
    }

    // Guards against refusals while bodies of a few bytes hold memory that they don't need.
    describe("$SLOW_CALLERS callers that have each sent the first bytes of a body in chunks") {
        it("are each answered with 200") {
            server.answersToSlow(SLOW_CALLERS).groupingBy { it }.eachCount() shouldBe mapOf("200" to SLOW_CALLERS)
        }
    }

    describe("a caller that sends one large body after the other") {
        it("is not refused because of its own previous request") {
            val answers = List(SEQUENCE) { server.answerTo(head(MAX_BODY_BYTES), "a".repeat(MAX_BODY_BYTES)) }
            answers.groupingBy { it.status() }.eachCount() shouldBe mapOf("200" to SEQUENCE)
        }
    }

    describe("a server with room") {
        it("reads the largest body, also in chunks") {
            server.answerTo(head(MAX_BODY_BYTES), "a".repeat(MAX_BODY_BYTES)).status() shouldBe "200"
            server.awaitFree()
            server.answerTo(CHUNKED_HEAD, chunk(MAX_BODY_BYTES), "0\r\n\r\n").status() shouldBe "200"
        }

        it("tells a caller that waits to send its body") {
            server.answerTo(waitingHead(SMALL_BODY)).status() shouldBe "100"
        }

        it("refuses one that is declared as too large before any of it has come") {
            server.answerTo(head(MAX_BODY_BYTES + 1)).first() shouldContain "413"
        }

        it("has given back all memory when they are answered, or when their callers have gone") {
            Socket(server.address.ip, server.address.port).use { it.send(head(MAX_BODY_BYTES) + "a") }
            server.awaitFree()
        }
    }
})
