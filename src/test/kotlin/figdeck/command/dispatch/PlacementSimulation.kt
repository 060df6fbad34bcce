package figdeck.command.dispatch

import figdeck.bench.VirtualClock
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotUsage
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val TOKENS_PER_EVENT = 10
private const val MEAN_TOKENS = 150
private const val SLOTS = 8
private const val HOSTS = 12
private const val CENTRES = 3
private const val NOISE_FACTOR = 2.5
private const val NOISE_SHARE = 0.15
private const val COLD_FACTOR = 2.0
private const val CACHED_PREFIXES = 6
private val NOISE_PERIOD = 600.milliseconds
private val STEP = 12.milliseconds
private const val STEP_GROWTH = 0.02
private val PREFILL = 60.milliseconds
private val PREFIX_PREFILL = 90.milliseconds
private val COLD_TIME = 2.seconds
private val CONNECT_FAILURE = 5.milliseconds
private val ROUND_TRIP = 3.milliseconds
private val TICK = 50.milliseconds
private val WARM_UP = 10.seconds
private val DEADLINE = 30.seconds
internal val pool = PoolName("engines")

/**
 * A load on a pool of engines in virtual time.
 *
 * @property paceOf the time per token of each engine relative to the usual one.
 * @property spread the standard deviation of the logarithm of output lengths; 0 for a uniform distribution.
 * @property hotShare the share of requests with one common prefix, all from one host.
 * @property deadFrom when engine 0 dies; null if it doesn't.
 * @property deadUntil when it starts again.
 */
internal data class PlacementLoad(
    val name: String,
    val engines: Int = 12,
    val requestsPerSecond: Double = 26.0,
    val paceOf: (Int) -> Double = { 1.0 },
    val isNoisy: Boolean = false,
    val spread: Double = 0.0,
    val hotShare: Double = 0.0,
    val deadFrom: Duration? = null,
    val deadUntil: Duration? = null,
    val duration: Duration = 60.seconds,
    val seed: Long = 7,
)

/** The measurements of a run. Requests that arrive in the first seconds, while paces are unknown, are not included. */
internal data class PlacementResult(
    val firstEvents: List<Duration>,
    val completions: List<Duration>,
    val sentAway: Int,
    val sentToSlow: Int,
    val connections: Int,
    val refused: Int,
    val switches: Int,
    val changes: List<PlacementChange>,
) {
    operator fun plus(other: PlacementResult) = PlacementResult(
        firstEvents = firstEvents + other.firstEvents,
        completions = completions + other.completions,
        sentAway = sentAway + other.sentAway,
        sentToSlow = sentToSlow + other.sentToSlow,
        connections = connections + other.connections,
        refused = refused + other.refused,
        switches = switches + other.switches,
        changes = changes + other.changes,
    )
}

internal fun List<Duration>.percentile(percent: Int): Duration = sorted()[(size - 1) * percent / 100]

private class SimulatedRequest(
    val host: Int,
    val prefix: Int,
    val tokens: Int,
    val arrivedAt: Moment,
) {
    val excluded = mutableSetOf<UpstreamId>()
    var attempt = 0
    var generated = 0
    var firstEventAt: Moment? = null
    var sentAt: Moment? = null
    var sendFirstEventAt: Moment? = null
    var sentTokens = 0
    var lastEventAt: Moment? = null
}

/** An engine whose time per token grows slightly with each running request, and that caches some prefixes. */
private class SimulatedEngine(
    val pace: Double,
    val noiseSeed: Int?,
) {
    val running = mutableSetOf<Long>()
    var startedAt = 0L
    var isDead = false
    var coldUntil: Moment? = null
    private val prefixes = LinkedHashSet<Int>()

    fun tokenTime(now: Moment): Duration = STEP * factorAt(now) * (1 + STEP_GROWTH * running.size)

    fun firstEventTime(prefix: Int, now: Moment): Duration {
        val isCached = prefixes.remove(prefix)
        prefixes += prefix
        if (prefixes.size > CACHED_PREFIXES) prefixes.remove(prefixes.first())
        return (PREFILL + if (isCached) Duration.ZERO else PREFIX_PREFILL) * factorAt(now) +
            tokenTime(now) * TOKENS_PER_EVENT
    }

    fun restart(now: Moment) {
        isDead = false
        startedAt++
        coldUntil = now + COLD_TIME
        prefixes.clear()
    }

    private fun factorAt(now: Moment): Double {
        val period = now.monotonicNanos / NOISE_PERIOD.inWholeNanoseconds
        val isSlowed = noiseSeed != null && Random(noiseSeed * 1_000_003L + period).nextDouble() < NOISE_SHARE
        val isCold = coldUntil.let { it != null && now < it }
        return pace * (if (isSlowed) NOISE_FACTOR else 1.0) * if (isCold) COLD_FACTOR else 1.0
    }
}

/** Runs [load] with the decisions of the product under [policy]. */
internal class PlacementSimulation(private val load: PlacementLoad, private val policy: DispatchPolicy) {
    private val clock = VirtualClock()
    private val random = Random(load.seed)
    private val engines = List(load.engines) { SimulatedEngine(load.paceOf(it), if (load.isNoisy) it else null) }
    private val upstreams = List(load.engines) { engine("engine-$it", SLOTS, "centre-${it % CENTRES}") }
    private val requests = HashMap<Long, SimulatedRequest>()
    private val firstEvents = mutableListOf<Duration>()
    private val completions = mutableListOf<Duration>()
    private val changes = mutableListOf<PlacementChange>()
    private val connections = mutableSetOf<Pair<Int, Int>>()
    private var state = emptyDispatch(DataCentre("centre-0"))
    private var lastTicket = 0L
    private var sentAway = 0
    private var sentToSlow = 0
    private var refused = 0

    fun run(): PlacementResult {
        scheduleArrivals()
        load.deadFrom?.let { clock.schedule(it, ::kill) }
        load.deadUntil?.let { clock.schedule(it) { engines[0].restart(clock.now) } }
        repeatTick()
        clock.runUntil(load.duration + DEADLINE)
        return PlacementResult(
            firstEvents = firstEvents,
            completions = completions,
            sentAway = sentAway,
            sentToSlow = sentToSlow,
            connections = connections.size,
            refused = refused,
            switches = changes.count { it is PlacementChange.Pool },
            changes = changes,
        )
    }

    private fun scheduleArrivals() {
        var at = Duration.ZERO
        while (at < load.duration) {
            at += (-ln(1 - random.nextDouble()) / load.requestsPerSecond).seconds
            val isHot = random.nextDouble() < load.hotShare
            val host = if (isHot) 0 else random.nextInt(HOSTS)
            val prefix = if (isHot) 0 else 1 + random.nextInt(100)
            val tokens = length()
            clock.schedule(at) { submit(SimulatedRequest(host, prefix, tokens, clock.now)) }
        }
    }

    private fun length(): Int {
        val sigma = load.spread
        val tokens = if (sigma > 0) {
            val normal = List(12) { random.nextDouble() }.sum() - 6
            MEAN_TOKENS * exp(sigma * normal - sigma * sigma / 2)
        } else {
            MEAN_TOKENS * (0.5 + random.nextDouble())
        }
        return tokens.toInt().coerceIn(TOKENS_PER_EVENT, 16 * MEAN_TOKENS)
    }

    private fun repeatTick() {
        clock.schedule(TICK) {
            decide { tick(it, policy, clock.now) }
            repeatTick()
        }
    }

    private fun kill() {
        val engine = engines[0]
        engine.isDead = true
        engine.running.toList().forEach { end(it, 0, SlotOutcome.FAILED) }
    }

    private fun submit(request: SimulatedRequest) {
        val ticket = ++lastTicket
        requests[ticket] = request
        val arrival = Arrival(ticket, request.toDispatchRequest(), random.nextLong())
        decide { admit(it, arrival, policy, clock.now) }
    }

    private fun SimulatedRequest.toDispatchRequest() = DispatchRequest(
        candidates = upstreams.filterNot { it.id in excluded },
        team = TeamId("team-${host % 4}"),
        weight = 1,
        lane = Lane.ONLINE,
        cost = MEAN_TOKENS,
        affinity = prefix.toLong(),
        deadline = arrivedAt + DEADLINE,
        attempt = attempt,
        placement = PlacementContext(
            pool = pool,
            host = HostId("host-$host"),
            dataCentre = DataCentre("centre-${host % CENTRES}"),
            isOnlyGranter = true,
            upstreams = upstreams.indices.associate { upstreams[it].id to engines[it].startedAt },
            tokensPerEvent = TOKENS_PER_EVENT,
            coldTime = COLD_TIME,
        ),
    )

    private fun decide(decision: (DispatchState) -> DispatchStep) {
        val step = decision(state)
        changes += placementChanges(state, step.state)
        state = step.state
        step.result.forEach { effect ->
            when (effect) {
                is DispatchEffect.Granted -> send(effect.ticket, upstreams.indexOf(effect.upstream))
                is DispatchEffect.Refused -> if (requests.remove(effect.ticket) != null) refused++
                is DispatchEffect.Revoked -> error("no batch work runs here")
            }
        }
    }

    private fun send(ticket: Long, index: Int) {
        val request = requests.getValue(ticket)
        val engine = engines[index]
        val isAway = index % CENTRES != request.host % CENTRES
        count(request, index, isAway)
        request.sentAt = clock.now
        request.sendFirstEventAt = null
        request.sentTokens = 0
        if (engine.isDead) {
            clock.schedule(CONNECT_FAILURE) { end(ticket, index, SlotOutcome.FAILED) }
        } else {
            engine.running += ticket
            val path = if (isAway) ROUND_TRIP else Duration.ZERO
            clock.schedule(path + engine.firstEventTime(request.prefix, clock.now)) { event(ticket, index) }
        }
    }

    private fun count(request: SimulatedRequest, index: Int, isAway: Boolean) {
        if (isMeasured(request)) {
            connections += request.host to index
            if (isAway) sentAway++
            if (engines[index].pace > 1.0) sentToSlow++
        }
    }

    private fun event(ticket: Long, index: Int) {
        val engine = engines[index]
        val request = requests[ticket]
        if (request == null || ticket !in engine.running) return
        if (request.firstEventAt == null) {
            request.firstEventAt = clock.now
            if (isMeasured(request)) firstEvents += clock.now - request.arrivedAt
        }
        if (request.sendFirstEventAt == null) request.sendFirstEventAt = clock.now
        request.lastEventAt = clock.now
        request.generated += TOKENS_PER_EVENT
        request.sentTokens += TOKENS_PER_EVENT
        if (request.generated >= request.tokens) {
            if (isMeasured(request)) completions += clock.now - request.arrivedAt
            end(ticket, index, SlotOutcome.ANSWERED)
        } else {
            clock.schedule(engine.tokenTime(clock.now) * TOKENS_PER_EVENT) { event(ticket, index) }
        }
    }

    private fun end(ticket: Long, index: Int, outcome: SlotOutcome) {
        val request = requests.remove(ticket) ?: return
        engines[index].running -= ticket
        val usage = request.usage(outcome)
        val release = Release(ticket, outcome, request.sentTokens, random.nextLong(), usage)
        decide { release(it, release, policy, clock.now) }
        if (outcome == SlotOutcome.FAILED) {
            request.attempt++
            request.excluded += upstreams[index].id
            submit(request)
        }
    }

    private fun SimulatedRequest.usage(outcome: SlotOutcome): SlotUsage? {
        val first = sendFirstEventAt
        val sent = sentAt
        val last = lastEventAt
        return if (first == null || sent == null || last == null) {
            null
        } else {
            SlotUsage(sentTokens, first - sent, last - first, outcome == SlotOutcome.ANSWERED)
        }
    }

    private fun isMeasured(request: SimulatedRequest): Boolean = request.arrivedAt >= Moment(0, 0) + WARM_UP
}

internal fun engine(name: String, slots: Int = SLOTS, centre: String = "centre-0") = Upstream(
    UpstreamId(name),
    Address("127.0.0.1", 1),
    DataCentre(centre),
    UpstreamKind.ENGINE,
    slots,
    honoursFencing = false,
)
