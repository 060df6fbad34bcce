package figdeck.process

import figdeck.standin.ReceivedRequest
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val DEADLY = "dead"
private const val UPSTREAMS = 4
private val RESTART_TIME = 700.milliseconds
private val TEST_TIME = 10.seconds

/** How long after the fifth crash the fleet may take to keep such requests from upstreams. */
private val REACTION_TIME = 3.seconds
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true}],
 "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

/** Upstreams that crash on [DEADLY] and start again after [RESTART_TIME] under another id. */
private class CrashingUpstreams(
    private val fleet: Fleet,
    private val eventLoops: EventLoopGroup,
) : AutoCloseable {
    private val running = CopyOnWriteArrayList<RunnerStandIn>()
    private val starts = AtomicInteger()
    private val crashed = ConcurrentHashMap.newKeySet<String>()

    /** When each deadly request reached an upstream. */
    val deadlyArrivals = CopyOnWriteArrayList<ComparableTimeMark>()

    /** The fifth crash, or the last one if there are fewer. */
    val decisiveCrash: ComparableTimeMark get() = deadlyArrivals.getOrNull(4) ?: deadlyArrivals.last()

    suspend fun start(replaced: String? = null) {
        val id = "upstream-${starts.incrementAndGet()}"
        val upstream = RunnerStandIn(eventLoops, id, isFatal = { it.isDeadly && onCrash(id) })
        running += upstream
        fleet.writeRows(listOf(storeRow("servers", id, upstream.encodeEntry("pool"))), listOfNotNull(replaced))
    }

    private fun onCrash(id: String): Boolean {
        deadlyArrivals += TimeSource.Monotonic.markNow()
        if (crashed.add(id)) {
            thread(isDaemon = true) {
                Thread.sleep(RESTART_TIME.inWholeMilliseconds)
                runBlocking { start(replaced = id) }
            }
        }
        return true
    }

    override fun close() = running.forEach { it.close() }
}

private val ReceivedRequest.isDeadly: Boolean get() = DEADLY in target + headers["x-prompt-prefix"].orEmpty()

/** A request of a caller, without what is new in each attempt. */
private data class RepeatedRequest(
    val target: String,
    val prompt: String? = null,
)

/** The requests of one kind that crash their upstreams, and sound ones that have all else in common with them. */
private data class CrashingLoad(
    val name: String,
    val deadly: (Int) -> RepeatedRequest,
    val sound: (Int) -> RepeatedRequest,
)

private val loads = listOf(
    CrashingLoad(
        name = "a part of a prompt that crashes each upstream that answers it",
        deadly = { RepeatedRequest("/chat/1", "intro${it % 3}:10,$DEADLY:10,deadly$it:5") },
        sound = { RepeatedRequest("/chat/1", "intro${it % 3}:10,topic${it % 40}:10,sound$it:5") },
    ),
    CrashingLoad(
        name = "a prompt that crashes each upstream as a whole, and is sent again and again",
        deadly = { RepeatedRequest("/chat/1", "intro1:10,topic1:10,$DEADLY:5") },
        sound = { RepeatedRequest("/chat/1", "intro${it % 3}:10,topic${it % 5}:10,sound$it:5") },
    ),
    CrashingLoad(
        name = "a call that crashes each service, and is sent again and again",
        deadly = { RepeatedRequest("/desk/1?page=$DEADLY") },
        sound = { RepeatedRequest("/desk/1?page=${it % 50}") },
    ),
)

private data class SentRequest(
    val at: ComparableTimeMark,
    val response: Deferred<TestResponse>,
)

/** Sends a request every [interval] for [TEST_TIME], to all [daemons] in turn, each under an id of its own. */
private suspend fun CoroutineScope.sendEvery(
    interval: Duration,
    fleet: Fleet,
    daemons: List<FleetProcess>,
    name: String,
    request: (Int) -> RepeatedRequest,
): List<SentRequest> = List((TEST_TIME / interval).toInt()) { i ->
    val (target, prompt) = request(i)
    val headers = mapOf("Host" to HOST, "X-Attempt-Id" to "$name-$i", "X-Deadline-Ms" to "4000") +
        listOfNotNull(prompt?.let { "X-Prompt-Prefix" to it })
    delay(interval)
    SentRequest(
        at = TimeSource.Monotonic.markNow(),
        response = async {
            fleet.send(daemons[i % daemons.size].address, TestRequest("POST", target, key = KEY, headers = headers))
        },
    )
}

class CrashingRequestSpec : DescribeSpec({
    loads.forEach { load ->
        describe(load.name) {
            val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
            val fleet = Fleet()
            val upstreams = CrashingUpstreams(fleet, eventLoops)
            fleet.writeRows(listOf(storeRow("op", "config", PLAN)))
            repeat(UPSTREAMS) { upstreams.start() }
            val daemons = listOf("a", "b").map { fleet.edgeDaemon("host-$it") }
            fleet.awaitReady(daemons)
            val sound = coroutineScope {
                launch { sendEvery(150.milliseconds, fleet, daemons, "deadly", load.deadly) }
                sendEvery(30.milliseconds, fleet, daemons, "sound", load.sound)
            }
            val statuses = sound.map { it.at to it.response.await().status }
            fleet.close()
            upstreams.close()
            eventLoops.shutdownGracefully()

            it("reaches at most three upstreams later than 3 s after the fifth crash") {
                upstreams.deadlyArrivals.shouldNotBeEmpty()
                val reactedAt = upstreams.decisiveCrash + REACTION_TIME
                upstreams.deadlyArrivals.count { it > reactedAt } shouldBeLessThanOrEqual 3
            }

            it("does not keep requests that have all else in common with it from being answered") {
                val reactedAt = upstreams.decisiveCrash + REACTION_TIME * 2
                val later = statuses.filter { (at, _) -> at > reactedAt }.map { (_, status) -> status }
                later.count { it == 200 }.toDouble() / later.size shouldBeGreaterThan 0.9
            }
        }
    }
})
