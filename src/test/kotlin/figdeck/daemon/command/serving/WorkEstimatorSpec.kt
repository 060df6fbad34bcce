package figdeck.daemon.command.serving

import figdeck.cli.Placement
import figdeck.cli.workEstimator
import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.serving.putMember
import figdeck.command.work.WorkBasis
import figdeck.command.work.noWorkEstimates
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.initialServingState
import figdeck.control.serving.updatePools
import figdeck.control.serving.updateSlots
import figdeck.daemon.command.LocalSlots
import figdeck.daemon.command.SlotDispatcher
import figdeck.log.DecisionLog
import figdeck.log.LineWriter
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.TeamId
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures
import figdeck.model.systemClock
import figdeck.process.eventually
import figdeck.telemetry.Meters
import figdeck.wire.serving.SlotRelease
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("engines")
private val team = TeamId("stado")

private fun slotRequest(ticket: Long, features: WorkFeatures?) = SlotRequest(
    ticket = ticket,
    from = HostId("host-1"),
    pool = pool,
    team = team,
    lane = Lane.ONLINE,
    cost = 850,
    affinity = null,
    excluded = emptySet(),
    maxWait = 100.milliseconds,
    features = features,
)

private fun features(hint: Int? = 90) = WorkFeatures("chat", 450, 0, 400, hint)

private fun usage(tokens: Int) = SlotUsage(tokens, 100.milliseconds, 1.seconds, isWhole = true)

/** A host that grants slots, with estimates if it has an estimator. */
private class GrantingHost(estimator: (Control<ServingState>) -> WorkEstimator?) : AutoCloseable {
    val control = Control(initialServingState(fleetMember("host-1")), systemClock)
    private val slots = LocalSlots(
        now = { control.snapshot.slots },
        decide = { decision ->
            control.run { state: ServingState, now ->
                updateSlots(state, now) { decision(it, now) }
            }
        },
    )
    val owner = SlotOwner(
        SlotDispatcher(slots, DispatchPolicy(), Random(1)),
        control,
        systemClock,
        work = estimator(control),
    ) { _, _ -> }
    private var last = 0L

    suspend fun start(): GrantingHost = apply {
        control.run { state, _ -> updatePools(state) { putMember(it, poolMember(pool, "engine-1")) } }
    }

    /** Grants a slot, and returns what was expected of the request. The slot is released with [usage]. */
    suspend fun use(features: WorkFeatures?, usage: SlotUsage?): ExpectedWork? {
        val ticket = ++last
        owner.acquire(slotRequest(ticket, features))
        return expected(ticket).also { owner.release(SlotRelease(ticket, SlotOutcome.ANSWERED, 850, usage = usage)) }
    }

    fun expected(ticket: Long): ExpectedWork? = engine().running.getValue(ticket).request.expected

    fun charged(): Double = engine().online.shares.finishTags.getValue(team)

    private fun engine() = control.snapshot.slots.upstreams.values.single()

    override fun close() = control.close()
}

class WorkEstimatorSpec : DescribeSpec({
    describe("a host whose placement depends on expected work") {
        val errors = mutableListOf<Pair<String, Double>>()
        val logged = ByteArrayOutputStream()

        suspend fun <R> onOwner(use: suspend (GrantingHost) -> R): R {
            errors.clear()
            logged.reset()
            return GrantingHost { control ->
                WorkEstimator(
                    control,
                    systemClock,
                    { route, ratio -> errors += route to ratio },
                    DecisionLog("work", LineWriter(PrintStream(logged))),
                )
            }.use { use(it.start()) }
        }

        // Guards against estimates that never change since releases don't reach the state.
        it("learns from the releases of slots that it granted") {
            onOwner { owner ->
                val expected = List(10) { owner.use(features(), usage(240))?.outputTokens }
                expected.take(8) shouldContainExactly List(8) { 90 }
                expected.drop(8).all { it != null && it in 230..251 } shouldBe true
                owner.control.snapshot.work.routes.getValue("chat").basis shouldBe WorkBasis.HISTORY
            }
        }

        it("records the error of each estimate, and logs only the change of what a route's estimates rest on") {
            onOwner { owner ->
                repeat(20) { owner.use(features(), usage(180)) }
                errors.size shouldBe 20
                errors.first() shouldBe ("chat" to 2.0)
                eventually(5.seconds) { logged.size() > 0 }
                val lines = logged.toString().lines().filter { it.isNotEmpty() }
                lines.size shouldBe 1
                lines.single() shouldContain "\"event\":\"work_basis\""
                lines.single() shouldContain "\"basis\":\"history\""
            }
        }

        it("charges what was seen in the end") {
            onOwner { owner ->
                owner.use(features(), usage(240))
                owner.charged() shouldBe 690.0
            }
        }

        it("estimates the work in a slot that an earlier owner granted, and learns from it") {
            onOwner { owner ->
                val held = HeldSlot(slotRequest(7, features()), poolMember(pool, "engine-1").upstream.id)
                owner.owner.confirm(HostId("host-1"), listOf(held))
                owner.expected(7) shouldBe ExpectedWork(450, 90, 180)
                owner.owner.release(SlotRelease(7, SlotOutcome.ANSWERED, 850, usage = usage(240)))
                owner.control.snapshot.work.teams.size shouldBe 1
            }
        }

        // Guards against hosts of an earlier version, and plain services, that are charged by a guess.
        it("uses the cost of a request without features") {
            onOwner { owner ->
                owner.use(null, null) shouldBe null
                owner.charged() shouldBe 850.0
                owner.control.snapshot.work shouldBe noWorkEstimates
                errors.shouldBeEmpty()
            }
        }
    }

    describe("a host whose placement doesn't depend on expected work") {
        // Guards against other shares in a deployment that didn't ask for estimates.
        it("charges the cost and learns nothing, whatever features and usage say") {
            val estimator = { control: Control<ServingState> ->
                workEstimator(Placement.FREE_SLOTS, control, systemClock, Meters())
            }
            GrantingHost(estimator).use { owner ->
                owner.start().use(features(), usage(240)) shouldBe null
                owner.charged() shouldBe 850.0
                owner.control.snapshot.work shouldBe noWorkEstimates
            }
        }
    }

    describe("the metrics") {
        it("show the error by route and the number of teams") {
            val meters = Meters()
            GrantingHost { workEstimator(Placement.EXPECTED_COMPLETION, it, systemClock, meters) }.use { owner ->
                owner.start().use(features(), usage(180))
                val text = meters.scrape()
                text shouldContain "figdeck_work_teams 1.0"
                text shouldContain "figdeck_work_estimate_error_count{route=\"chat\"} 1"
            }
        }

        // Guards against time series whose number grows with each renamed route.
        it("name at most 64 routes") {
            val meters = Meters()
            repeat(100) { meters.recordEstimateError("route-$it", 1.0) }
            meters.scrape() shouldContain "figdeck_work_estimate_error_count{route=\"other\"} 36"
            meters.scrape() shouldNotContain "route-64"
        }
    }
})
