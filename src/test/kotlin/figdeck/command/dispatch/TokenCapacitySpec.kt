package figdeck.command.dispatch

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.PoolName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val CAPACITY = 100L
private const val SLOTS = 8
private val start = Moment(0, 0)
private val freeSlotsPolicy = DispatchPolicy(choose = mostFreeSlotsChoice, deadlineMargin = 0.0)

private fun engine(name: String) =
    Upstream(UpstreamId(name), Address("127.0.0.1", 1), DataCentre("centre-a"), UpstreamKind.ENGINE, SLOTS, false)

private val one = listOf(engine("engine-1"))
private val other = listOf(engine("engine-2"))
private val two = listOf(engine("engine-1"), engine("engine-2"))

private fun request(candidates: List<Upstream>, tokens: Long, lane: Lane = Lane.ONLINE) = DispatchRequest(
    candidates = candidates,
    team = null,
    weight = 1,
    lane = lane,
    cost = tokens.toInt(),
    affinity = null,
    deadline = start + 60.seconds,
    demand = TokenDemand(tokens, CAPACITY),
)

private val placedPool = PoolName("engines")

/** Requests to [placedPool] are placed by expected completion. */
private val byCompletion = persistentMapOf(
    placedPool to PoolPace(1e6, 1e8, known = 2, setOf(), mapOf(), 2.0, isByCompletion = true, reviewedAt = start)
)

private val completionPolicy = freeSlotsPolicy.copy(completionChoice = expectedCompletionChoice)

private fun DispatchRequest.byCompletion() = copy(
    placement = PlacementContext(
        placedPool,
        HostId("host-1"),
        DataCentre("centre-a"),
        isOnlyGranter = true,
        upstreams = candidates.associate { it.id to null },
    )
)

private class TokenHarness(private val policy: DispatchPolicy = freeSlotsPolicy) {
    var state = emptyDispatch(DataCentre("centre-a")).copy(paces = byCompletion)
    val effects = mutableListOf<DispatchEffect>()

    val granted: List<Pair<Long, String>>
        get() = effects.filterIsInstance<DispatchEffect.Granted>().map { it.ticket to it.upstream.id.value }
    val revoked: List<Long> get() = effects.filterIsInstance<DispatchEffect.Revoked>().map { it.ticket }

    fun submit(ticket: Long, request: DispatchRequest) =
        apply(admit(state, Arrival(ticket, request, ticket), policy, start))

    fun finish(ticket: Long) =
        apply(release(state, Release(ticket, SlotOutcome.ANSWERED, 0, ticket), policy, start))

    fun tick() = apply(tick(state, policy, start))

    /** Queues [request] at [upstream], wherever it would have been placed. */
    fun queueAt(upstream: Upstream, ticket: Long, request: DispatchRequest) {
        val at = state.stateOf(upstream, start)
        val waiting = at.online.waiting.add(QueuedRequest(ticket, request, start))
        state = state.with(at.withQueue(Lane.ONLINE, at.online.copy(waiting = waiting)))
            .copy(tickets = state.tickets.put(ticket, upstream.id))
    }

    fun heldAt(name: String): Long =
        state.upstreams[UpstreamId(name)]?.running?.values.orEmpty().sumOf { it.request.demand?.tokens ?: 0 }

    private fun apply(step: DispatchStep) {
        state = step.state
        effects += step.result
    }
}

class TokenCapacitySpec : DescribeSpec({
    // Guards against engines that crash because the requests in their slots exceed their memory.
    describe("an engine with free slots") {
        it("gets no request whose tokens don't fit beside those that it holds") {
            val harness = TokenHarness()
            harness.submit(1, request(one, 60))
            harness.submit(2, request(one, 41))
            harness.granted shouldContainExactly listOf(1L to "engine-1")
            harness.finish(1)
            harness.granted shouldContainExactly listOf(1L to "engine-1", 2L to "engine-1")
        }

        it("gets requests up to its capacity") {
            val harness = TokenHarness()
            harness.submit(1, request(one, 60))
            harness.submit(2, request(one, 40))
            harness.granted.size shouldBe 2
        }

        // Guards against a large request that keeps smaller ones out of free slots.
        it("gets a later request that fits before an earlier one that does not") {
            val harness = TokenHarness()
            harness.submit(1, request(one, 60))
            harness.submit(2, request(one, 90))
            harness.submit(3, request(one, 40))
            harness.granted.map { it.first } shouldContainExactly listOf(1L, 3L)
        }

        it("is passed over for another engine with room") {
            val harness = TokenHarness()
            harness.submit(1, request(two, 60))
            harness.submit(2, request(two, 60))
            harness.granted.map { it.second }.toSet() shouldBe setOf("engine-1", "engine-2")
        }
    }

    // Guards against requests that are refused or queued at an engine without memory beside an idle one.
    describe("an engine without memory in a pool that is placed by expected completion") {
        it("is passed over for another engine with room, whichever is preferred") {
            repeat(20) { seed ->
                val harness = TokenHarness(completionPolicy)
                val first = 100L * seed
                harness.submit(first + 1, request(two, 60).byCompletion())
                harness.submit(first + 2, request(two, 60).byCompletion())
                harness.granted.map { it.second }.toSet() shouldBe setOf("engine-1", "engine-2")
            }
        }
    }

    // Guards against idle engines beside queues: a request that doesn't fit must not keep the engine from others.
    describe("an engine with a queued request that does not fit") {
        it("takes over a smaller one that waits elsewhere") {
            val harness = TokenHarness()
            harness.submit(1, request(one, 60))
            harness.submit(2, request(one, 90))
            // All slots of the other engine are held, so a request for both waits there if it has come first.
            repeat(SLOTS) { harness.submit(10L + it, request(other, 1)) }
            harness.queueAt(other.single(), 3, request(two, 30))
            harness.tick()
            harness.granted.last() shouldBe (3L to "engine-1")
        }
    }

    describe("batch work at an engine") {
        it("is not revoked for online work that would not fit without it either") {
            val harness = TokenHarness()
            harness.submit(1, request(one, 70))
            harness.submit(2, request(one, 20, Lane.BATCH))
            harness.submit(3, request(one, 40))
            harness.revoked.shouldBeEmpty()
        }

        it("is revoked for the tokens of online work, which waits until it has ended") {
            val harness = TokenHarness()
            harness.submit(1, request(one, 50, Lane.BATCH))
            harness.submit(2, request(one, 40, Lane.BATCH))
            harness.submit(3, request(one, 50))
            harness.revoked.size shouldBe 1
            harness.granted.map { it.first } shouldContainExactly listOf(1L, 2L)
            harness.finish(harness.revoked.single())
            harness.granted.map { it.first } shouldContainExactly listOf(1L, 2L, 3L)
        }

        it("is not revoked for online work that fits beside it") {
            val harness = TokenHarness()
            harness.submit(1, request(one, 30, Lane.BATCH))
            harness.submit(2, request(one, 70))
            harness.revoked.shouldBeEmpty()
        }
    }

    describe("a request") {
        it("larger than an engine exceeds its capacity") {
            TokenDemand(CAPACITY + 1, CAPACITY).exceedsCapacity shouldBe true
            TokenDemand(CAPACITY, CAPACITY).exceedsCapacity shouldBe false
        }
    }

    describe("requests of all sizes and both lanes, granted, revoked and ended in any order") {
        it("never hold more tokens at an engine than its capacity") {
            repeat(50) { seed ->
                val random = Random(seed)
                val harness = TokenHarness()
                repeat(200) { step ->
                    val ended = harness.state.tickets.keys.toList()
                    if (random.nextBoolean() || ended.isEmpty()) {
                        val lane = if (random.nextBoolean()) Lane.ONLINE else Lane.BATCH
                        harness.submit(step + 1L, request(two, random.nextLong(1, CAPACITY), lane))
                    } else {
                        harness.finish(ended.random(random))
                    }
                    two.forEach { harness.heldAt(it.id.value) shouldBeLessThanOrEqual CAPACITY }
                }
            }
        }
    }
})
