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
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 8
private const val STEADY_PER_SECOND = 7.0
private const val BURST_PER_SECOND = 35.0
private val HOLD = 700.milliseconds
private val MAX_WAIT = 180.milliseconds
private val TICK = 50.milliseconds
private val BURST = 5.seconds..6.5.seconds
private val END = 14.seconds
private val policy = DispatchPolicy(choose = mostFreeSlotsChoice, deadlineMargin = 0.0)
private val engine = Upstream(
    UpstreamId("engine-1"),
    Address("127.0.0.1", 1),
    DataCentre("centre-a"),
    UpstreamKind.ENGINE,
    SLOTS,
    honoursFencing = false,
)

/**
 * Callers that send to one engine at a pace below its capacity, but for a burst of three times the capacity. Each
 * returns once after a refusal, after the time that [returnAfter] makes of the one that it was told.
 */
private class BurstLoad(seed: Int, private val returnAfter: (Duration) -> Duration) {
    private val clock = VirtualClock()
    private val random = Random(seed)
    private var state = emptyDispatch(DataCentre("centre-a"))
    private var lastTicket = 0L
    private val refused = mutableMapOf<Long, () -> Unit>()

    /** The numbers of callers that asked and that got a slot, at once or on their return. */
    var asked = 0
        private set
    var served = 0
        private set

    fun play(): BurstLoad {
        scheduleNext()
        tickUntilEnd()
        clock.runUntil(END + 3.seconds)
        return this
    }

    private fun scheduleNext() {
        val elapsed = clock.now - Moment(0, 0)
        val perSecond = if (elapsed in BURST) BURST_PER_SECOND else STEADY_PER_SECOND
        val gap = (-ln(1 - random.nextDouble()) / perSecond).seconds
        if (elapsed + gap < END) {
            clock.schedule(gap) {
                asked++
                attempt(isReturn = false)
                scheduleNext()
            }
        }
    }

    private fun attempt(isReturn: Boolean) {
        val ticket = ++lastTicket
        val request = DispatchRequest(listOf(engine), TeamId("t"), 1, Lane.ONLINE, 10, null, clock.now + MAX_WAIT)
        if (!isReturn) refused[ticket] = { attempt(isReturn = true) }
        apply(admit(state, Arrival(ticket, request, ticket), policy, clock.now))
    }

    private fun tickUntilEnd() {
        if (clock.now - Moment(0, 0) < END + 2.seconds) {
            clock.schedule(TICK) {
                apply(tick(state, policy, clock.now))
                tickUntilEnd()
            }
        }
    }

    private fun apply(step: DispatchStep) {
        state = step.state
        step.result.forEach { effect ->
            when (effect) {
                is DispatchEffect.Granted -> {
                    served++
                    clock.schedule(HOLD) {
                        val release = Release(effect.ticket, SlotOutcome.ANSWERED, 10, effect.ticket)
                        apply(release(state, release, policy, clock.now))
                    }
                }
                is DispatchEffect.Refused -> refused.remove(effect.ticket)?.let { comeBack ->
                    clock.schedule(returnAfter(effect.refusal.retryAfter ?: Duration.ZERO), comeBack)
                }
                is DispatchEffect.Revoked -> error("no batch work runs here")
            }
        }
    }
}

private fun servedShare(returnAfter: (Duration) -> Duration): Double {
    val loads = (1..40).map { BurstLoad(it, returnAfter).play() }
    return loads.sumOf { it.served }.toDouble() / loads.sumOf { it.asked }
}

class RetryPacingSpec : DescribeSpec({
    describe("callers refused in a burst of three times the capacity") {
        it("are served more often when they return as told than after one fixed time") {
            val asTold = servedShare { it }
            listOf(100.milliseconds, 300.milliseconds, 1.seconds).forEach { fixed ->
                asTold shouldBeGreaterThan servedShare { fixed } + 0.01
            }
        }
    }

    describe("refusals at one upstream") {
        val start = Moment(0, 0)
        val idle = idleUpstream(engine, start)
        val overdue = SlotRefusal(RefusalReason.OVERDUE, Lane.ONLINE, team = null)
        val pace = idle.online.averageHold / SLOTS

        it("promise returns at the pace at which its slots become free") {
            var upstream = idle
            val promised = (1L..5L).map { ticket ->
                val step = upstream.refuse(ticket, overdue, 20.milliseconds, start)
                upstream = step.state
                (step.result.single() as DispatchEffect.Refused).refusal.retryAfter
            }
            promised shouldBe (0..4).map { 20.milliseconds + pace * it }
        }

        it("promise the earliest return again once the burst is over") {
            val during = idle.refuse(1, overdue, 20.milliseconds, start).state
            val after = during.refuse(2, overdue, 20.milliseconds, start + 5.seconds)
            (after.result.single() as DispatchEffect.Refused).refusal.retryAfter shouldBe 20.milliseconds
        }
    }

    describe("a request that waited in vain") {
        it("is refused without a place in the queue") {
            val start = Moment(0, 0)
            val request = DispatchRequest(listOf(engine), null, 1, Lane.ONLINE, 10, null, start)
            val step = refuseOverdue(emptyDispatch(), Arrival(1, request, 1), start)
            step.result.size shouldBe 1
            step.state.tickets.size shouldBe 0
            BurstLoad(1) { it }.play().served shouldBeGreaterThan 0
        }
    }
})
