package figdeck.daemon.command.jobs

import arrow.core.getOrElse
import figdeck.command.serving.JobMemoryLimits
import figdeck.command.serving.confirmRenewal
import figdeck.command.serving.replaceEvacuations
import figdeck.control.serving.adoptPlan
import figdeck.control.serving.updateEvacuations
import figdeck.control.serving.updateFleet
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Region
import figdeck.model.UpstreamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.FleetMember
import figdeck.model.serving.JobOwner
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.ServingPlanBuilder
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val engines = PoolName("engines")
private val centreN = DataCentre("centre-n")
private val centreS = DataCentre("centre-s")
private val regions = mapOf(centreN to Region("north"), centreS to Region("south"))
private val lost = JobOwner(HostId("lost"), "1")
private val upstreams = listOf(
    poolMember(engines, "engine-n", dataCentre = centreN),
    poolMember(engines, "engine-s", dataCentre = centreS),
)

private fun ServingPlanBuilder.batchRoute(
    name: String,
    regions: List<String>,
    pool: String = "engines",
) = route(name) {
    host = "desk.example"
    prefix = "/$name/"
    kind = CallKind.BATCH
    maxAttempts = 2
    batch = BatchPolicy(18.seconds, 60.seconds, null)
    homes = regions
    pool(pool)
}

private val plan: ServingPlan = servingPlan {
    version = 1
    batchRoute("everywhere", emptyList())
    batchRoute("nowhere", emptyList(), pool = "idle")
    batchRoute("northern", listOf("north"))
    batchRoute("eastern", listOf("east"))
    team("walkers") { }
    team("riders") { }
    team("southern") { homes = listOf("south") }
}.getOrElse { error(it.toString()) }

/** Runs [use] with a host in [centre] that has just read the plan and the members of the fleet. */
private suspend fun withJobs(
    centre: DataCentre,
    others: List<FleetMember> = emptyList(),
    limits: JobMemoryLimits? = null,
    use: suspend (TestHost, JobHost) -> Unit,
) {
    TestHost(fleetMember("host-1", dataCentre = centre), regions = regions).use { host ->
        host.setView(others, upstreams)
        host.control.run { state, _ -> adoptPlan(state, plan) }
        host.control.run { state, now -> updateFleet(state) { confirmRenewal(it, it.self, now) } }
        use(host, if (limits == null) JobHost(host) else JobHost(host, limits))
    }
}

private suspend fun TestHost.evacuate(centres: Set<DataCentre>) =
    control.run { state, _ -> updateEvacuations(state) { replaceEvacuations(centres.associateWith { 1L }) } }

class HomesJobsSpec : DescribeSpec({
    describe("a job whose owner is lost") {
        // Guards against bodies that reach a host in a region to which the route or the team is not confined.
        it("is taken over by a host at home, and its items run at home") {
            withJobs(centreN) { host, jobs ->
                jobs.submit("job-1", "northern", owner = lost)
                jobs.whileRunning { eventually(10.seconds) { jobs.doneJobs() == setOf("job-1") } }
                jobs.ownerOf("job-1") shouldBe jobs.services.self
                jobs.sentTo.toSet() shouldBe setOf(UpstreamId("engine-n"))
                host.control.snapshot.jobs.jobs.size shouldBe 1
            }
        }

        listOf("northern" to "walkers", "everywhere" to "southern", "eastern" to "walkers").forEach { (route, team) ->
            it("waits if this host is outside of the homes of $route and $team") {
                withJobs(if (team == "southern") centreN else centreS) { _, jobs ->
                    jobs.submit("job-1", route, team, lost)
                    jobs.submit("job-2", "everywhere", owner = lost)
                    jobs.whileRunning { eventually(10.seconds) { jobs.doneJobs() == setOf("job-2") } }
                    jobs.ownerOf("job-1") shouldBe lost
                }
            }
        }

        // Guards against a host without a region that counts as one at home.
        it("waits if the region of this host is not known") {
            withJobs(DataCentre("centre-x")) { _, jobs ->
                jobs.submit("job-1", "northern", owner = lost)
                jobs.submit("job-2", "everywhere", owner = lost)
                jobs.whileRunning { eventually(10.seconds) { jobs.doneJobs() == setOf("job-2") } }
                jobs.ownerOf("job-1") shouldBe lost
            }
        }

        // Guards against a job that nobody takes over because the hosts at home have fewer cores than the others.
        it("is taken over by exactly one host at home, also by a small one, and by any host without homes") {
            val big = (1..4).map { fleetMember("big-$it", cores = 8.0, dataCentre = centreS) }
            val small = (2..4).map { fleetMember("small-$it", dataCentre = centreN) }
            withJobs(centreN, big + small) { host, jobs ->
                (1..20).forEach { jobs.submit("job-$it", if (it <= 10) "northern" else "everywhere", owner = lost) }
                val state = host.control.snapshot
                val adopters = state.jobs.jobs.values.associate {
                    it.record.id.value to state.adopterOf(it.record, systemClock())?.host
                }
                (1..10).map { adopters["job-$it"] }.toSet() shouldBe (small.map { it.host } + HostId("host-1")).toSet()
                (11..20).map { adopters["job-$it"] }.all { id -> id in big.map { it.host } } shouldBe true
            }
        }

        // Guards against a job that is taken over outside of homes which this host has not read yet.
        it("waits while its route is not read") {
            withJobs(centreS) { host, jobs ->
                jobs.submit("job-1", "northern", owner = lost)
                val record = host.control.snapshot.jobs.jobs.values.single().record
                host.control.snapshot.copy(index = null).adopterOf(record, systemClock()) shouldBe null
            }
        }

        // Guards against operators who widen the homes of a job although only its route isn't read yet.
        it("is logged with the reason for which it waits") {
            withJobs(centreS) { host, jobs ->
                jobs.submit("job-1", "northern", owner = lost)
                val record = host.control.snapshot.jobs.jobs.values.single().record
                host.control.snapshot.strandedReason(record) shouldBe "no host at home"
                host.control.snapshot.copy(index = null).strandedReason(record) shouldBe "route not read"
            }
        }
    }

    describe("items of a job whose homes leave no upstream") {
        // Guards against items that only wait and keep all memory, so that sound jobs never start.
        it("wait, and hinder no other job") {
            withJobs(
                centreN,
                limits = JobMemoryLimits(held = 1_000, loading = 1_000, cached = 0, answers = 1_000_000)
            ) { _, jobs ->
                jobs.submit("job-1", "eastern")
                jobs.submit("job-2", "northern", team = "southern")
                jobs.submit("job-3", "northern")
                jobs.whileRunning {
                    eventually(10.seconds) { jobs.doneJobs() == setOf("job-3") }
                    delay(1_500.milliseconds)
                    jobs.doneJobs() shouldBe setOf("job-3")
                    jobs.services.memory.held.usedBytes shouldBe 0L
                }
                jobs.sentTo shouldBe listOf(UpstreamId("engine-n"))
            }
        }
    }

    describe("items that find no slot") {
        // Guards against items that keep all permits of their host, so that those of other teams never run.
        it("wait without a permit, so that the items of others run meanwhile") {
            withJobs(centreN) { _, jobs ->
                repeat(60) { jobs.submit("stuck-$it", "nowhere") }
                jobs.whileRunning {
                    delay(500.milliseconds)
                    jobs.submit("sound", "northern", team = "riders")
                    eventually(5.seconds) { jobs.doneJobs() == setOf("sound") }
                }
            }
        }
    }

    describe("items of a job while the data centres of all its upstreams are evacuated") {
        // Guards against items that are given up, or that never go on after the end of the evacuation.
        it("wait, and go on when one of them is open again") {
            withJobs(centreN) { host, jobs ->
                host.evacuate(setOf(centreN, centreS))
                jobs.submit("job-1", "everywhere")
                jobs.whileRunning {
                    delay(1_500.milliseconds)
                    jobs.sentTo.size shouldBe 0
                    jobs.services.memory.held.usedBytes shouldBe 0L
                    host.evacuate(setOf(centreN))
                    eventually(5.seconds) { jobs.doneJobs() == setOf("job-1") }
                }
                jobs.sentTo shouldBe listOf(UpstreamId("engine-s"))
            }
        }
    }
})
