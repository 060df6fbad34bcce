package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.right
import figdeck.command.serving.JobMemoryLimits
import figdeck.command.serving.recordStoreFailure
import figdeck.control.serving.adoptPlan
import figdeck.control.serving.updateJobs
import figdeck.control.serving.updatePools
import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.serving.CrashGuard
import figdeck.daemon.command.serving.CrashRiskWriter
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.fleetMember
import figdeck.log.DecisionLog
import figdeck.model.CallResult
import figdeck.model.DataCentre
import figdeck.model.Refusal
import figdeck.model.Region
import figdeck.model.TeamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.FleetMember
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.RelayAnswer
import figdeck.model.serving.ServingTeam
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.store.Store
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private val plan = servingPlan {
    version = 1
    route("notes") {
        host = "desk.example"
        prefix = "/notes/"
        kind = CallKind.BATCH
        batch = BatchPolicy(18.seconds, 60.seconds, maxWaitingTokens = 100)
        pool("engines")
    }
    team("stado") {}
}.getOrElse { error(it.toString()) }

private val route = plan.routes.single()
private val team = plan.teams.single()
private val job = Submission(
    id = JobId("job-1"),
    team = team,
    route = route,
    items = listOf(JobItem("item-1", "/notes/1", emptyMap(), ByteArray(10), tokens = 60)),
    planVersion = 1,
)

/** Within this time the caller of a job expects its acceptance. */
private val ACCEPTANCE_OBJECTIVE = 500.milliseconds

private val near = fleetMember("near")
private val far = fleetMember("far").copy(dataCentre = DataCentre("centre-b"))

private fun Store.thatAnswers(commit: suspend () -> CallResult<Nothing>?): Store =
    copy(commands = commands.copy(commit = { commit() ?: commands.commit(it) }))

/** A store that neither answers nor refuses. */
private fun Store.thatIsSilent(): Store = thatAnswers { awaitCancellation() }

/** A host with [store], whose relays are answered by [relay]. */
private class SubmittingHost(
    name: String,
    store: Store,
    relay: RelaySubmission = { _, _ -> null },
) : AutoCloseable {
    private val test = TestHost(fleetMember(name))
    private val crashRisks = CrashRiskWriter(test.control, systemClock, store)
    val services = JobServices(
        control = test.control,
        clock = systemClock,
        store = JobStore(store),
        progress = ProgressStore(store),
        cache = JobCache(100_000),
        memory = JobMemory(JobMemoryLimits(100_000, 100_000, 100_000, 100_000)),
        timeEstimator = ItemTimeEstimator(),
        slots = test.slots,
        crashGuard = CrashGuard(test.control, systemClock, crashRisks, Random(1), DecisionLog("prompts")),
        forward = { _, _, _ -> Unit.right() },
        random = Random(2),
        log = DecisionLog("jobs"),
        sharedParts = { emptyList() },
        sendFault = { null },
        relaySubmission = relay,
    )

    suspend fun start(members: List<FleetMember>, lacksStore: Boolean = false) {
        test.setView(members, emptyList())
        test.control.run { state, _ -> adoptPlan(state, plan) }
        if (lacksStore) {
            test.control.run { state, now -> updatePools(state) { recordStoreFailure(it, now) } }
        } else {
            test.control.run { state, now -> updateJobs(state) { it.copy(lastUpdateAt = now) } }
        }
    }

    override fun close() = test.close()
}

private suspend fun submitAt(
    store: Store,
    relay: RelaySubmission,
    submission: Submission = job,
): Either<Refusal, Unit> =
    SubmittingHost("self", store, relay).use { host ->
        host.start(listOf(near, far))
        host.services.submitAnywhere(submission)
    }

class RelaySubmissionSpec : DescribeSpec({
    val backends = MemoryBackends()
    val store = backends.platform(FaultInjector(null))

    // Guards against jobs that are lost to their caller for seconds, because the host that it reached lacks the store.
    describe("a store that is silent for one host of several") {
        it("lets a job be stored in time through a host that reaches it") {
            SubmittingHost("near", store).use { other ->
                other.start(emptyList())
                val (result, took) = measureTimedValue {
                    submitAt(store.thatIsSilent(), { _, relayed -> other.services.acceptRelayed(relayed) })
                }
                result shouldBe Unit.right()
                took shouldBeLessThan ACCEPTANCE_OBJECTIVE
                other.services.control.snapshot.jobs.jobs.keys shouldBe setOf(job.id)
            }
        }

        it("asks the next host if the first one lacks it too or is silent") {
            val answers = mapOf(near.host to RelayAnswer.NOT_STORED, far.host to RelayAnswer.STORED)
            submitAt(store.thatIsSilent(), { host, _ -> answers[host.host] }) shouldBe Unit.right()
            submitAt(store.thatIsSilent(), { host, _ ->
                if (host == near) awaitCancellation() else RelayAnswer.STORED
            }) shouldBe Unit.right()
        }

        it("keeps the body in this data centre if the job is confined to regions") {
            val asked = mutableListOf<FleetMember>()
            val confined = job.copy(team = ServingTeam(team.id, emptySet(), null, null, setOf(Region("north"))))
            submitAt(store.thatAnswers { CallResult.NotDone("away") }, { host, _ ->
                asked += host
                RelayAnswer.NOT_STORED
            }, confined)
            asked shouldContainExactlyInAnyOrder listOf(near)
        }
    }

    // Guards against duties that the fleet does twice although nothing has failed.
    describe("a store that answers") {
        it("is all that is needed") {
            var relays = 0
            submitAt(MemoryBackends().platform(FaultInjector(null)), { _, _ ->
                relays++
                RelayAnswer.STORED
            }) shouldBe Unit.right()
            relays shouldBe 0
        }
    }

    // Guards against a job that is refused as not kept, and runs all the same.
    describe("a job that no host is known to have stored") {
        val away = store.thatAnswers { CallResult.NotDone("away") }
        val uncertain = store.thatAnswers { CallResult.Unknown("no reply") }

        it("is refused as not kept if no host has written it") {
            submitAt(
                away,
                { _, _ -> RelayAnswer.NOT_STORED }
            ).leftOrNull().shouldBeInstanceOf<Refusal.StoreUnavailable>()
        }

        it("is refused as unconfirmed if one may have written it") {
            val results = listOf(
                "this host" to submitAt(uncertain, { _, _ -> RelayAnswer.NOT_STORED }),
                "a host that says so" to submitAt(away, { _, _ -> RelayAnswer.UNKNOWN }),
                "a host without an answer" to submitAt(away, { host, _ ->
                    if (host == near) null else RelayAnswer.NOT_STORED
                }),
            )
            results.forEach { (who, result) ->
                withClue(who) { result.leftOrNull().shouldBeInstanceOf<Refusal.Unconfirmed>() }
            }
        }
    }

    // Guards against a caller that repeats for ever what no host will store.
    describe("a job that the store refuses for good") {
        it("is refused at once, without asking other hosts") {
            var relays = 0
            submitAt(store.thatAnswers { CallResult.Refused("too large") }, { _, _ ->
                relays++
                RelayAnswer.NOT_STORED
            }).leftOrNull().shouldBeInstanceOf<Refusal.BadRequest>()
            relays shouldBe 0
        }
    }

    // Guards against jobs that are refused over a limit that was read before the outage.
    describe("a host that has not reached the store since it started") {
        it("leaves the limit of waiting tokens to the host that stores the job") {
            SubmittingHost("self", store.thatIsSilent(), { _, _ -> RelayAnswer.STORED }).use { host ->
                host.start(listOf(near), lacksStore = true)
                host.services.submitAnywhere(job) shouldBe Unit.right()
            }
        }
    }

    describe("a job that was written here without a reply, and then through another host") {
        it("is stored once and accepted") {
            val shared = MemoryBackends()
            val sound = shared.platform(FaultInjector(null))
            val losesReplies = sound.copy(
                commands = sound.commands.copy(commit = {
                    sound.commands.commit(it)
                    CallResult.Unknown("the reply was lost")
                })
            )
            SubmittingHost("near", sound).use { other ->
                other.start(emptyList())
                val unreadable = losesReplies.copy(
                    queries = losesReplies.queries.copy(readRow = { CallResult.Unknown("no reply") })
                )
                submitAt(unreadable, { _, relayed -> other.services.acceptRelayed(relayed) }) shouldBe Unit.right()
            }
            shared.rowsUnder("job/").size shouldBe 1
        }
    }

    // Guards against a team whose limit of waiting tokens is used up by jobs that do not exist.
    describe("a submission whose caller leaves before its end") {
        it("no longer counts against the limit of its team") {
            SubmittingHost("self", store.thatIsSilent()).use { host ->
                host.start(emptyList())
                withTimeoutOrNull(50.milliseconds) { host.services.submitAnywhere(job) } shouldBe null
                host.services.control.snapshot.jobs.pendingWrites.keys shouldBe emptySet()
            }
        }
    }

    describe("a host that is asked to store a job") {
        it("declines one of a team that it doesn't know") {
            SubmittingHost("near", store).use { host ->
                host.start(emptyList())
                val foreign = job.copy(team = ServingTeam(TeamId("other"), emptySet(), null, null))
                submitAt(store.thatAnswers { CallResult.NotDone("away") }, { _, relayed ->
                    host.services.acceptRelayed(relayed)
                }, foreign).isLeft() shouldBe true
            }
        }
    }
})
