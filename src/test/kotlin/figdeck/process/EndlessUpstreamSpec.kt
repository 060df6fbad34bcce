package figdeck.process

import figdeck.http.RawRequest
import figdeck.http.RawUpstream
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.send
import figdeck.http.untilClosed
import figdeck.platform.READY_STATE
import figdeck.platform.UpstreamMessage
import figdeck.platform.encodeUpstream
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.core.spec.style.scopes.DescribeSpecContainerScope
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.io.File
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"

/** All slots of the deployment's upstreams: 8 engines with 8 each and 4 plain services with 6 each. */
private const val CALLERS = 88
private const val ITEMS = 24
private const val SLOTS = CALLERS
private const val EVENTS = 5
private const val WARM_UP_REQUESTS = 100
private const val REPEATED_BYTES = 64 * 1024

/** All callers' blocks together fill the link of a machine of the deployment, 1,000 Mbit/s. */
private const val BLOCK_INTERVAL_MILLIS = REPEATED_BYTES * CALLERS / 125_000L

/** The memory of a machine of the deployment, which runs one daemon and nothing else. */
private const val MACHINE_MEMORY_KB = 460 * 1000L
private val DEADLINE = 800.milliseconds
private val OTHERS_DEADLINE = 1_500.milliseconds
private val OTHERS_INTERVAL = 25.milliseconds

/** How much later than its deadline a request may end, on a machine with other work. */
private val DEADLINE_MARGIN = 700.milliseconds
private val JOB_LIMIT = 20.seconds

private const val HEAD = "Content-Type: text/plain\r\nX-Response-Stamp: stamp\r\n"
private const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"

/** An answer to the attempt `id`, begun in order and continued by the blocks `0, 1, 2, ...` until its caller closes. */
private class EndlessAnswer(
    val name: String,
    val begin: (id: String) -> String,
    val block: (number: Long) -> String,
) {
    fun sendTo(socket: Socket, id: String) = untilClosed {
        socket.send(begin(id))
        generateSequence(0L) { it + 1 }.forEach {
            socket.send(block(it))
            Thread.sleep(BLOCK_INTERVAL_MILLIS)
        }
    }
}

private fun success(id: String) = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $id\r\n$HEAD"

private fun repeating(name: String, part: String, begin: (id: String) -> String): EndlessAnswer {
    val block = part.repeat(REPEATED_BYTES / part.length)
    return EndlessAnswer(name, begin) { block }
}

private fun events(name: String, data: String, eventsPerBlock: Int) =
    EndlessAnswer(name, { success(it) + "\r\n" }) { number ->
        val first = number * eventsPerBlock + 1
        buildString { for (id in first until first + eventsPerBlock) append("id: $id\ndata: $data\n\n") }
    }

private val answers = listOf(
    repeating("status line", "a") { "HTTP/1.1 200 " },
    repeating("header", "a") { "${success(it)}X-Long: " },
    repeating("headers", "X-Other: b\r\n") { success(it) },
    repeating("interim answers", "HTTP/1.1 100 Continue\r\n\r\n") { "" },
    repeating("body without length", "a") { "${success(it)}\r\n" },
    repeating("chunked body", "400\r\n${"a".repeat(1024)}\r\n") { success(it) + CHUNKED },
    repeating("chunks of one byte", "1\r\na\r\n") { success(it) + CHUNKED },
    repeating("chunk size", "0") { success(it) + CHUNKED },
    repeating("trailer", "X-Other: b\r\n") { "${success(it)}${CHUNKED}1\r\na\r\n0\r\n" },
    repeating("body of an error", "a") { "HTTP/1.1 500 Error\r\nX-Attempt-Id: $it\r\n$HEAD\r\n" },
    repeating("body of a refusal", "a") { "HTTP/1.1 503 Full\r\nX-Attempt-Id: $it\r\nX-Not-Executed: 1\r\n\r\n" },
    repeating("one event", "a") { "${success(it)}\r\nid: 1\ndata: " },
    repeating("comments", ":\n\n") { "${success(it)}\r\n" },
    events("events with rising ids", "a".repeat(1000), 64),
    events("small events with rising ids", "a", 4096),
    repeating("bytes after a whole answer", "a") { "${success(it)}Content-Length: 2\r\n\r\nok" },
)

/** A kind of online work: its requests are sent with [method] to routes of [kind]. */
private data class Work(
    val name: String,
    val kind: String,
    val method: String,
)

private val works = listOf(
    Work("lookups", """"Kind":"idempotent","MaxAttempts":2""", "GET"),
    Work("calls that may not be repeated", """"Kind":"non_idempotent","MaxAttempts":1""", "POST"),
    Work("streams", """"Kind":"streaming","MaxAttempts":2,"Resumable":true""", "POST"),
)
private const val ITEM_KIND = """"Kind":"batch","MaxAttempts":50,"RunTargetMs":18000,"MaxWaitS":60,"MaxCount":100000"""

private fun route(name: String, kind: String) =
    """{"Name":"$name","Host":"$HOST","Prefix":"/$name/","TimeoutMs":5000,"TargetLatencyMs":1000,
    "Service":"$name",$kind}"""

/** A plan with a route and a pool of its own for each of [answers], and one for other callers. */
private fun plan(kind: String): String {
    val routes = answers.indices.map { route("endless-$it", kind) } + route("sound", works.first().kind)
    return """{"Version":1,"Routes":[${routes.joinToString(",")}],"Limits":{"MaxBodyBytes":1000000},
        "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":5000,"Burst":5000}]}"""
}

private fun answerSoundly(request: RawRequest, socket: Socket) {
    val id = checkNotNull(request.header("X-Attempt-Id"))
    val sent = request.header("Last-Event-Id")?.toLong() ?: 0
    val body = (sent + 1..EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }
    socket.send("${success(id)}Content-Length: ${body.length}\r\n\r\n$body")
}

private fun RawUpstream.entry(pool: String): String =
    encodeUpstream(UpstreamMessage(pool, address.toString(), "centre-a", SLOTS, READY_STATE))

/** The largest resident size of a process so far, in kB; 0 if it has ended. */
private fun peakMemory(process: FleetProcess): Long =
    File("/proc/${process.process.pid()}/status").takeIf { it.exists() }?.readLines()
        ?.find { it.startsWith("VmHWM:") }?.filter { it.isDigit() }?.toLong() ?: 0

/** What was seen while upstreams sent bytes without end; [others] has the other callers' answers and times. */
private data class Outcome(
    val isAlive: Boolean,
    val peakMemoryKb: Long,
    val memoryErrors: List<String>,
    val others: List<Pair<Int, Duration>>,
    val failed: List<String>,
)

/** A daemon with the flags of a production host, and a pool for each of [answers]. */
private class EndlessFleet(kind: String, soundMembers: Boolean) : AutoCloseable {
    private val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val client = HttpClient(eventLoops)
    private val sound = RawUpstream(::answerSoundly)
    private val endless = answers.map { answer ->
        RawUpstream { request, socket -> answer.sendTo(socket, request.header("X-Attempt-Id").orEmpty()) }
    }
    private val entries = endless.mapIndexed { i, server -> storeRow("servers", "e-$i", server.entry("endless-$i")) } +
        storeRow("servers", "sound", sound.entry("sound")) +
        if (soundMembers) answers.indices.map { storeRow("servers", "s-$it", sound.entry("endless-$it")) } else listOf()
    private val rows = listOf(storeRow("op", "config", plan(kind))) + entries
    val fleet = Fleet()
    lateinit var daemon: FleetProcess
        private set

    /** The answers that other callers got, each with the time that it took. */
    val others = ConcurrentLinkedQueue<Pair<Int, Duration>>()

    suspend fun start() {
        fleet.writeRows(rows)
        daemon = fleet.edgeDaemon("host-a", jvmFlags = productionFlags())
        fleet.awaitReady(listOf(daemon))
        // The first requests of a process run code that is not compiled yet.
        repeat(WARM_UP_REQUESTS) { call("GET", "/sound/first-$it", OTHERS_DEADLINE) }
    }

    /** Sends a request, drops its answer and returns the status, or 0 if the answer was not whole. */
    suspend fun call(method: String, path: String, deadline: Duration): Int {
        val headers = newHeaders().set("Host", HOST).set("X-Attempt-Id", path).set("Authorization", "Bearer $KEY")
            .set("X-Deadline-Ms", deadline.inWholeMilliseconds)
        return client.exchange(OutgoingRequest(daemon.address, RequestLine(method, path), headers)) { reply ->
            reply.body.chunks.collect { }
            reply.status
        }.fold({ 0 }, { it })
    }

    /** Runs [use] while other callers send requests to the sound upstream. */
    suspend fun withOthers(use: suspend () -> Unit) = withContext(Dispatchers.Default) {
        val other: Job = launch {
            var number = 0
            while (isActive) {
                val path = "/sound/${number++}"
                launch {
                    var status = 0
                    val took = measureTime { status = call("GET", path, OTHERS_DEADLINE) }
                    others += status to took
                }
                delay(OTHERS_INTERVAL)
            }
        }
        use()
        // The last of them are answered, rather than cancelled.
        delay(OTHERS_DEADLINE)
        other.cancelAndJoin()
    }

    /** What the daemon and its callers have seen. [failed] are the places of an answer at which it did not go well. */
    fun outcome(failed: List<String>) = Outcome(
        isAlive = daemon.process.isAlive,
        peakMemoryKb = peakMemory(daemon),
        memoryErrors = memoryErrors(daemon),
        others = others.toList(),
        failed = failed,
    )

    override fun close() {
        fleet.close()
        (endless + sound).forEach { it.close() }
        client.close()
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

/** Sends [CALLERS] requests at once to the upstreams of each place in turn; those that end late are failed. */
private suspend fun runOnline(work: Work): Outcome = EndlessFleet(work.kind, soundMembers = false).use { endless ->
    endless.start()
    val late = mutableListOf<String>()
    endless.withOthers {
        answers.forEachIndexed { i, answer ->
            val slowest = coroutineScope {
                List(CALLERS) {
                    async { measureTime { endless.call(work.method, "/endless-$i/$it", DEADLINE) } }
                }.awaitAll().max()
            }
            if (slowest > DEADLINE + DEADLINE_MARGIN) late += "${answer.name}: $slowest"
        }
    }
    endless.outcome(late)
}

/** Submits a job for each place, whose items may also run at a sound upstream; those that don't end are failed. */
private suspend fun runItems(): Outcome = EndlessFleet(ITEM_KIND, soundMembers = true).use { endless ->
    endless.start()
    val unfinished = answers.indices.toMutableSet()
    endless.withOthers {
        answers.indices.reversed().forEach { endless.submit(it) }
        runCatching {
            eventually(JOB_LIMIT) {
                unfinished -= unfinished.filter { endless.isComplete(it) }.toSet()
                unfinished.isEmpty()
            }
        }
    }
    endless.outcome(unfinished.map { answers[it].name })
}

class EndlessUpstreamSpec : DescribeSpec({
    suspend fun DescribeSpecContainerScope.itKeepsServing(outcome: Outcome) {
        it("lives within the memory of its machine") {
            outcome.isAlive shouldBe true
            outcome.memoryErrors.shouldBeEmpty()
            outcome.peakMemoryKb shouldBeLessThan MACHINE_MEMORY_KB
        }

        it("answers all other callers in time") {
            outcome.others.filter { (status, took) -> status != 200 || took > OTHERS_DEADLINE }.shouldBeEmpty()
            outcome.others.size shouldBeGreaterThan CALLERS
        }
    }

    // Guards against a daemon that keeps what an upstream sends without end and ends with the requests of all callers.
    describe("a daemon with the memory of a production host whose upstreams send bytes without end") {
        works.forEach { work ->
            describe("to ${work.name}") {
                val outcome = runOnline(work)
                itKeepsServing(outcome)
                it("ends each request in time") { outcome.failed.shouldBeEmpty() }
            }
        }

        describe("to items of batch jobs") {
            val outcome = runItems()
            itKeepsServing(outcome)
            it("completes each item at a sound upstream") { outcome.failed.shouldBeEmpty() }
        }
    }
})

private fun EndlessFleet.jobRequest(method: String, target: String, id: String, body: String = "") = TestRequest(
    method,
    target,
    body,
    KEY,
    mapOf("Host" to HOST, "X-Attempt-Id" to id, "X-Deadline-Ms" to "4000")
)

private suspend fun EndlessFleet.submit(pool: Int) {
    val items = List(ITEMS) {
        """{"Id":"item-$pool-$it","Path":"/endless-$pool/$it","Headers":{"X-Model":"m"},"Body":"","Tokens":10}"""
    }
    val body = """{"Requests":[${items.joinToString(",")}]}"""
    fleet.send(daemon.address, jobRequest("POST", "/endless-$pool/job", "job-$pool", body)).status shouldBe 202
}

/** Whether all items of the job at [pool] are listed as completed, each with the whole output of a sound upstream. */
private suspend fun EndlessFleet.isComplete(pool: Int): Boolean {
    val listed = fleet.send(daemon.address, jobRequest("GET", "/lots/job-$pool?After=0", "read-$pool")).body
    val output = (1..EVENTS).joinToString("\\n")
    return listed.split("\"State\":\"completed\"").size == ITEMS + 1 &&
        listed.split("\"Output\":\"$output\"").size == ITEMS + 1
}
