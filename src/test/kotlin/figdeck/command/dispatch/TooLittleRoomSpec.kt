package figdeck.command.dispatch

import figdeck.bench.VirtualClock
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.SlotUsage
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val ENGINES = 4
private const val SLOTS = 8
private const val TEAMS = 10
private const val HOT_TEAM = 0
private const val HOT_FACTOR = 8.0

/** The load of each team relative to the mean, if one of them has four tenths of all. */
private val unevenSizes = List(TEAMS) { if (it == LARGE_TEAM) 4.0 else 6.0 / (TEAMS - 1) }
private val evenSizes = List(TEAMS) { 1.0 }
private const val LARGE_TEAM = 1
private const val WEIGHT_OF_MEAN = 100
private const val MEAN_USE = 0.6
private const val HIGH = 1.9
private const val LOW = 0.4

/** The part of a period with high load for which the mean is 1. */
private const val HIGH_PART = 0.4
private const val PROMPT_TOKENS = 450
private const val MEAN_OUTPUT = 100.0
private const val OUTPUT_SIGMA = 0.4
private const val SEEDS = 40
private val FIRST_EVENT = 150.milliseconds
private val PER_TOKEN = 5.5.milliseconds
private val MEAN_HOLD = FIRST_EVENT + PER_TOKEN * MEAN_OUTPUT
private val MAX_WAIT = 180.milliseconds
private val TICK = 50.milliseconds
private val HOT = 6.seconds..17.seconds
private val END = 18.seconds
private val policyBefore = DispatchPolicy(choose = mostFreeSlotsChoice, deadlineMargin = 0.0)
private val edgePolicy = policyBefore.copy(shareByHeldWork = true)
private val perTeam = MEAN_USE * ENGINES * SLOTS / MEAN_HOLD.toDouble(DurationUnit.SECONDS) / TEAMS
private val engines = (1..ENGINES).map {
    Upstream(
        UpstreamId("engine-$it"),
        Address("127.0.0.1", it),
        DataCentre("centre-a"),
        UpstreamKind.ENGINE,
        SLOTS,
        honoursFencing = false,
    )
}

/** A caller of [team] that asks first at [at] and whose answer has [output] tokens. */
private data class Caller(val team: Int, val at: Duration, val output: Int)

/** What came of the attempts of a group of callers. */
private data class Outcome(val asked: Int = 0, val served: Int = 0) {
    val share: Double get() = served.toDouble() / asked

    fun plus(isServed: Boolean) = Outcome(asked + 1, if (isServed) served + 1 else served)

    operator fun plus(other: Outcome) = Outcome(asked + other.asked, served + other.served)
}

/** The load of all teams relative to its mean, which is high and low in turns of 5 to 6 s together. */
private fun loadCurve(random: Random): (Duration) -> Double {
    val periods = generateSequence(random.nextDouble(5.0) to random.nextDouble(5.0, 6.0)) { (from, length) ->
        from + length to random.nextDouble(5.0, 6.0)
    }.take((END / 5.seconds).toInt() + 2).toList()
    return { at ->
        val seconds = at.toDouble(DurationUnit.SECONDS)
        val (from, length) = periods.lastOrNull { it.first <= seconds } ?: (periods[0].first - 5.5 to 5.5)
        if (seconds - from < length * HIGH_PART) HIGH else LOW
    }
}

/** The callers of [team], drawn from its own source so that the others are the same with and without a hot team. */
private fun callersOf(
    team: Int,
    size: Double,
    seed: Int,
    isHot: Boolean,
    load: (Duration) -> Double,
): List<Caller> {
    val random = Random(seed * TEAMS + team)
    val normal = random.asJavaRandom()
    val callers = mutableListOf<Caller>()
    val maxPerSecond = perTeam * size * HIGH * (if (isHot) HOT_FACTOR else 1.0)
    var at = Duration.ZERO
    while (at < END) {
        at += (-ln(1 - random.nextDouble()) / maxPerSecond).seconds
        val factor = if (isHot && at !in HOT) 1 / HOT_FACTOR else 1.0
        val output = MEAN_OUTPUT * exp(OUTPUT_SIGMA * normal.nextGaussian() - OUTPUT_SIGMA * OUTPUT_SIGMA / 2)
        if (random.nextDouble() < factor * load(at) / HIGH) callers += Caller(team, at, output.toInt().coerceAtLeast(1))
    }
    return callers
}

/** Plays callers that wait at most [MAX_WAIT] and return once, at the time that they were told. */
private class Contention(
    seed: Int,
    hotTeam: Int?,
    private val policy: DispatchPolicy = edgePolicy,
    private val sizes: List<Double> = evenSizes,
) {
    private val clock = VirtualClock()
    private var state = emptyDispatch(DataCentre("centre-a"))
    private var lastTicket = 0L
    private val asking = mutableMapOf<Long, Attempt>()

    /** The callers that asked first while the hot team was hot, by team, and their first attempts and returns. */
    val callers = mutableMapOf<Int, Outcome>()
    val newcomers = mutableMapOf<Int, Outcome>()
    val returns = mutableMapOf<Int, Outcome>()

    /** How long the refused attempts of the hot team had waited. */
    val hotRefusedAfter = mutableListOf<Duration>()

    init {
        val load = loadCurve(Random(seed))
        val all = (0..<TEAMS).flatMap { callersOf(it, sizes[it], seed, it == hotTeam, load) }
        all.forEach { caller -> clock.schedule(caller.at) { ask(caller, isReturn = false) } }
        tickUntilEnd()
        clock.runUntil(END + 4.seconds)
    }

    private data class Attempt(
        val caller: Caller,
        val isReturn: Boolean,
        val request: DispatchRequest,
        val since: Moment,
    )

    private fun ask(caller: Caller, isReturn: Boolean) {
        val ticket = ++lastTicket
        val request = DispatchRequest(
            candidates = engines,
            team = TeamId("team-${caller.team}"),
            weight = (sizes[caller.team] * WEIGHT_OF_MEAN).toInt(),
            lane = Lane.ONLINE,
            cost = PROMPT_TOKENS + 2 * MEAN_OUTPUT.toInt(),
            affinity = null,
            deadline = clock.now + MAX_WAIT,
            expected = ExpectedWork(PROMPT_TOKENS, MEAN_OUTPUT.toInt(), (MEAN_OUTPUT * 1.7).toInt()),
        )
        asking[ticket] = Attempt(caller, isReturn, request, clock.now)
        apply(admit(state, Arrival(ticket, request, ticket), policy, clock.now))
        if (ticket in asking) clock.schedule(MAX_WAIT) { giveUp(ticket) }
    }

    private fun giveUp(ticket: Long) {
        val attempt = asking[ticket] ?: return
        apply(cancelTicket(state, ticket, policy, clock.now))
        apply(refuseOverdue(state, Arrival(ticket, attempt.request, 0), clock.now))
    }

    private fun tickUntilEnd() {
        clock.schedule(TICK) {
            apply(tick(state, policy, clock.now))
            tickUntilEnd()
        }
    }

    private fun apply(step: DispatchStep) {
        state = step.state
        step.result.forEach { effect ->
            when (effect) {
                is DispatchEffect.Granted -> asking.remove(effect.ticket)?.let { hold(effect.ticket, it) }
                is DispatchEffect.Refused -> asking.remove(effect.ticket)?.let { sendBack(it, effect) }
                is DispatchEffect.Revoked -> error("no batch work runs here")
            }
        }
    }

    private fun hold(ticket: Long, attempt: Attempt) {
        record(attempt, isServed = true)
        val output = attempt.caller.output
        clock.schedule(FIRST_EVENT + PER_TOKEN * output) {
            val usage = SlotUsage(output, FIRST_EVENT, PER_TOKEN * output, isWhole = true)
            val release = Release(ticket, SlotOutcome.ANSWERED, PROMPT_TOKENS + output, ticket, usage)
            apply(release(state, release, policy, clock.now))
        }
    }

    private fun sendBack(attempt: Attempt, refused: DispatchEffect.Refused) {
        record(attempt, isServed = false)
        if (attempt.caller.at in HOT && attempt.caller.team == HOT_TEAM) hotRefusedAfter += clock.now - attempt.since
        if (!attempt.isReturn) {
            clock.schedule(refused.refusal.retryAfter ?: Duration.ZERO) { ask(attempt.caller, isReturn = true) }
        }
    }

    private fun record(attempt: Attempt, isServed: Boolean) {
        val team = attempt.caller.team
        if (attempt.caller.at !in HOT) return
        val attempts = if (attempt.isReturn) returns else newcomers
        attempts[team] = (attempts[team] ?: Outcome()).plus(isServed)
        if (isServed || attempt.isReturn) callers[team] = (callers[team] ?: Outcome()).plus(isServed)
    }
}

private fun List<Map<Int, Outcome>>.sumOver(teams: Iterable<Int>): Outcome =
    flatMap { byTeam -> teams.mapNotNull { byTeam[it] } }.fold(Outcome(), Outcome::plus)

class TooLittleRoomSpec : DescribeSpec({
    val usual = (1..SEEDS).map { Contention(it, hotTeam = null) }
    val hot = (1..SEEDS).map { Contention(it, HOT_TEAM) }
    val others = (0..<TEAMS) - HOT_TEAM

    describe("one team of ten at eight times its usual load") {
        // Guards against a hot team whose queued and running requests have its neighbours refused.
        it("costs the other nine under 2 % of what they get without it") {
            val without = usual.map { it.callers }.sumOver(others)
            val with = hot.map { it.callers }.sumOver(others)
            val lost = 1 - with.served.toDouble() / without.served
            withClue("the nine without $without and with the hot team $with") { lost shouldBeLessThan 0.02 }
        }

        // Guards against a rule that only makes the usual case as bad as that with a hot team.
        it("costs them under 2 % of what they got without it when slots were not shared by held work") {
            val without = (1..SEEDS).map { Contention(it, hotTeam = null, policyBefore).callers }.sumOver(others)
            val with = hot.map { it.callers }.sumOver(others)
            val lost = 1 - with.served.toDouble() / without.served
            withClue("the nine without $without and with the hot team $with") { lost shouldBeLessThan 0.02 }
        }

        // Guards against callers of the hot team that wait for a slot which their neighbours will get.
        it("has most of its refused callers refused at once") {
            val waits = hot.flatMap { it.hotRefusedAfter }
            val atOnce = waits.count { it == Duration.ZERO }
            withClue("$atOnce of ${waits.size}") { atOnce.toDouble() / waits.size shouldBeGreaterThan 0.5 }
        }
    }

    describe("one team of ten whose rate is six times that of each other") {
        val uneven = (1..SEEDS).map { Contention(it, hotTeam = null, sizes = unevenSizes) }
        val largeTeam = listOf(LARGE_TEAM)
        val smallTeams = (0..<TEAMS) - LARGE_TEAM

        // Guards against a team that is refused for holding more slots than others although it has a larger share.
        it("has its callers served as often as the others") {
            val large = uneven.map { it.callers }.sumOver(largeTeam)
            val small = uneven.map { it.callers }.sumOver(smallTeams)
            withClue("large $large, small $small") { large.share shouldBeGreaterThan small.share - 0.03 }
        }

        it("does not cost the others what they get where all are even") {
            val small = uneven.map { it.callers }.sumOver(smallTeams)
            val even = usual.map { it.callers }.sumOver(smallTeams)
            withClue("beside a large team $small, even $even") { small.share shouldBeGreaterThan even.share - 0.03 }
        }

        it("loses under 2 % to a small team at eight times its usual load, like the others") {
            val hotSmall = (1..SEEDS).map { Contention(it, HOT_TEAM, sizes = unevenSizes) }
            listOf(largeTeam, smallTeams - HOT_TEAM).forEach { teams ->
                val without = uneven.map { it.callers }.sumOver(teams)
                val with = hotSmall.map { it.callers }.sumOver(teams)
                val lost = 1 - with.served.toDouble() / without.served
                withClue("teams $teams without $without and with the hot team $with") { lost shouldBeLessThan 0.02 }
            }
        }
    }

    describe("a refused caller that returns when it was told") {
        // Guards against callers that starve over repeats while newcomers of their team are served.
        listOf("the hot team" to listOf(HOT_TEAM), "another team" to others).forEach { (name, teams) ->
            it("is served at least as often as the newcomers of $name") {
                val returned = hot.map { it.returns }.sumOver(teams)
                val new = hot.map { it.newcomers }.sumOver(teams)
                withClue("returned $returned, new $new") { returned.share shouldBeGreaterThanOrEqual new.share }
            }
        }
    }
})
