package figdeck.command.dispatch

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 4
private const val FAILURES = 3
private const val PROBES = 6
private val start = Moment(0, 0)
private val id = UpstreamId("engine-1")
private val policy = DispatchPolicy()

private fun upstream(startedAtMillis: Long?) = Upstream(
    id,
    Address("127.0.0.1", 1),
    DataCentre("centre-a"),
    UpstreamKind.ENGINE,
    SLOTS,
    honoursFencing = false,
    startedAtMillis,
)

private fun request(startedAtMillis: Long?, now: Moment) = DispatchRequest(
    candidates = listOf(upstream(startedAtMillis)),
    team = TeamId("stado"),
    weight = 1,
    lane = Lane.ONLINE,
    cost = 10,
    affinity = null,
    deadline = now + 60.seconds,
)

private fun DispatchState.admit(ticket: Long, startedAtMillis: Long?, now: Moment): DispatchState =
    admit(this, Arrival(ticket, request(startedAtMillis, now), ticket), policy, now).state

private fun DispatchState.fail(ticket: Long, now: Moment): DispatchState =
    release(this, Release(ticket, SlotOutcome.FAILED, 10, ticket), policy, now).state

private fun DispatchState.isRunning(ticket: Long): Boolean = upstreams[id]?.running?.containsKey(ticket) == true

/** The state in which all requests and [PROBES] probes failed at the start 1, and the time of the last failure. */
private fun failedStart(): Pair<DispatchState, Moment> {
    val tickets = 1L..FAILURES
    val taken = tickets.fold(emptyDispatch()) { state, ticket -> state.admit(ticket, 1, start) }
    var now = start
    var state = tickets.fold(taken) { left, ticket -> left.fail(ticket, now) }
    repeat(PROBES) { probe ->
        now = state.upstreams.getValue(id).health.pausedUntil ?: now
        val ticket = 100L + probe
        state = state.admit(ticket, 1, now).fail(ticket, now)
    }
    return state to now
}

class RestartedUpstreamSpec : DescribeSpec({
    // Guards against a sound start of an upstream that is unused for up to 22.5 s because an earlier start failed.
    describe("an upstream that is paused after failures") {
        val (paused, now) = failedStart()
        val soon = now + 100.milliseconds

        it("gets no requests while it has not started again") {
            paused.admit(200, startedAtMillis = 1, soon).isRunning(200) shouldBe false
            paused.admit(200, startedAtMillis = null, soon).isRunning(200) shouldBe false
        }

        it("gets requests in all its slots at once when it has started again") {
            val tickets = 200L until 200 + SLOTS
            val state = tickets.fold(paused) { all, ticket -> all.admit(ticket, startedAtMillis = 2, soon) }
            tickets.filter { state.isRunning(it) } shouldBe tickets.toList()
        }

        it("stays in use when requests that began before it started again fail") {
            val before = (1L..FAILURES).fold(emptyDispatch()) { all, ticket -> all.admit(ticket, 1, start) }
            val later = before.admit(200, startedAtMillis = 2, soon)
            val failed = (1L..FAILURES).fold(later) { all, ticket -> all.fail(ticket, soon) }
            failed.admit(201, startedAtMillis = 2, soon).isRunning(201) shouldBe true
        }

        it("is paused again when requests of the later start fail") {
            val tickets = 200L until 200 + FAILURES
            val taken = tickets.fold(paused) { all, ticket -> all.admit(ticket, startedAtMillis = 2, soon) }
            val failed = tickets.fold(taken) { all, ticket -> all.fail(ticket, soon + 1.seconds) }
            failed.admit(300, startedAtMillis = 2, soon + 1.seconds).isRunning(300) shouldBe false
        }
    }
})
